package admitter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cranberryspan.dev/core/admitter"
	"cranberryspan.dev/core/timekeeper"
	"github.com/stretchr/testify/require"
)

// overloadedAdmitter makes an admitter whose callers ask for the given slots of a room, and whose
// admitted requests wait as long as is aimed at.
func overloadedAdmitter(capacity float64, demand admitter.Demand) *admitter.Admitter {
	a := admitter.New()
	for range 50 {
		a.RecordWait(0.4)
	}
	a.ApplyZoneReport("z", demand, 0)
	a.Assess(0, admitter.ServiceState{Capacity: capacity, ZoneHosts: 2, HasPeerReports: true})
	return a
}

func ExampleAdmitter_AdmitRatio() {
	var demand admitter.Demand
	demand.Open[0] = 20
	demand.New[1] = 50
	demand.New[2] = 60
	a := overloadedAdmitter(100, demand)
	fmt.Printf("short: %v; urgent callers: %.2f; others, who ask three times: %.2f\n", a.Overloaded(), a.AdmitRatio(1), a.AdmitRatio(2))
	// Output: short: true; urgent callers: 1.00; others, who ask three times: 0.21
}

// Higher priorities fit in before lower ones get anything, and all together never get more
// than there is.
func TestAdmitRatiosFitCapacity(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 1))
	for range 2000 {
		var demand admitter.Demand
		for i := range admitter.PriorityLevels {
			demand.New[i] = random.Float64() * 20 * float64(random.IntN(2))
			demand.Open[i] = random.Float64() * 5 * float64(random.IntN(2))
		}
		capacity := random.Float64() * 120
		a := overloadedAdmitter(capacity, demand)
		open, admitted, full := 0.0, 0.0, false
		for i := range admitter.PriorityLevels {
			open += demand.Open[i]
			served := 1 - cube(1-a.AdmitRatio(i))
			admitted += demand.New[i] * served
			if full {
				require.Zero(t, a.AdmitRatio(i), "nothing is left for lower priorities")
			}
			full = full || a.AdmitRatio(i) < 1
		}
		if a.Overloaded() {
			require.LessOrEqual(t, admitted, max(a.Capacity(), 0)+1e-6)
		} else {
			require.LessOrEqual(t, open+admitted, a.Capacity()+1e-6)
		}
	}
}

// Symptom: callers of a low priority get in while those of a higher one are refused.
// Sequence: a crowd; nothing was metered of a lower priority. Cause: a share of all for
// whom nothing is known to be asked.
func TestUnmeteredLowPriorityIsNotAdmittedFirst(t *testing.T) {
	var demand admitter.Demand
	demand.New[1] = 40
	a := overloadedAdmitter(20, demand)
	require.True(t, a.Overloaded())
	require.Less(t, a.AdmitRatio(1), 1.0)
	require.LessOrEqual(t, a.AdmitRatio(2), a.AdmitRatio(1))
}

func cube(x float64) float64 { return x * x * x }

// Symptom: of a share of a half ten requests in a row get in, and queues fill. Cause: each
// request is let in at random.
func TestAdmissionsAreSpacedEvenly(t *testing.T) {
	var demand admitter.Demand
	demand.New[2] = 150
	a := overloadedAdmitter(100, demand)
	ratio := a.AdmitRatio(2)
	in := 0
	for n := 1; n <= 300; n++ {
		if a.Admit(2) {
			in++
		}
		require.InDelta(t, ratio*float64(n), float64(in), 1)
	}
}

// Symptom: an old report decides. Sequence: a zone is heard of once. Cause: reports that
// don't age.
func TestReportsExpire(t *testing.T) {
	var demand admitter.Demand
	demand.New[1] = 50
	a := overloadedAdmitter(30, demand)
	require.True(t, a.Overloaded())
	a.Assess(timekeeper.Instant(10*time.Second), admitter.ServiceState{Capacity: 30, ZoneHosts: 2, HasPeerReports: true})
	require.False(t, a.Overloaded())
	require.Zero(t, a.Demand().Total())
}

// Symptom: admitted requests are late although the estimate says that they fit in.
// Sequence: work takes longer than hosts believe, for seconds. Cause: room that answers
// don't correct.
func TestWaitsCorrectCapacity(t *testing.T) {
	var demand admitter.Demand
	demand.New[1] = 150
	a := overloadedAdmitter(100, demand)
	before := a.Capacity()
	for n := range 400 {
		now := timekeeper.Instant(time.Duration(n) * 10 * time.Millisecond)
		a.ApplyZoneReport("z", demand, now)
		a.RecordWait(1)
		a.Assess(now, admitter.ServiceState{Capacity: 100, ZoneHosts: 2, HasPeerReports: true})
	}
	require.Less(t, a.Capacity(), 0.9*before)
	require.GreaterOrEqual(t, a.Capacity(), 0.7*before, "what is off by more is not waiting time's to mend")
}

func BenchmarkRecordAndAdmit(b *testing.B) {
	a := admitter.New()
	now := timekeeper.Instant(0)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		a.RecordNewFlowRequest(1, workDuration, now)
		a.Admit(1)
	}
}

// Symptom: a host believes that three times as much is asked as callers need, and goes on
// refusing when less would fit in. Sequence: callers want one and a half times the room;
// those that are refused ask twice more. Cause: tries that are taken for callers.
func TestRetriesDoNotCountAsDemand(t *testing.T) {
	const capacity, wanted = 100.0, 150.0
	a := overloadedAdmitter(capacity, admitter.Demand{})
	for n := range 100 {
		now := timekeeper.Instant(time.Duration(n) * 50 * time.Millisecond)
		refused := 1 - a.AdmitRatio(1)
		var attempts admitter.Demand
		attempts.New[1] = wanted * (1 + refused + refused*refused)
		a.ApplyZoneReport("z", attempts, now)
		a.RecordWait(0.4)
		a.Assess(now, admitter.ServiceState{Capacity: capacity, ZoneHosts: 2, HasPeerReports: true})
	}
	require.InDelta(t, wanted, a.Demand().Total(), 0.05*wanted)
	require.InDelta(t, capacity/wanted, 1-cube(1-a.AdmitRatio(1)), 0.05, "two in three callers are served")
}

// Symptom: all callers are refused in an outage that is over. Sequence: a host believes
// that no target lives; one does. Cause: a share of no room.
func TestUnknownCapacityAdmitsAll(t *testing.T) {
	var demand admitter.Demand
	demand.New[1] = 50
	a := overloadedAdmitter(0, demand)
	require.False(t, a.Overloaded())
	require.True(t, a.Admit(1))
}

// Symptom: a run that is repeated with equal events decides otherwise. Sequence: twelve
// hosts tell their demand. Cause: floats that are added up in the order of a map.
func TestDemandSumsAreOrderIndependent(t *testing.T) {
	hosts, zones := map[float64]int{}, map[float64]int{}
	now := timekeeper.Instant(time.Millisecond)
	for range 200 {
		a := admitter.New()
		view := admitter.ServiceState{Capacity: 1, ZoneHosts: 1, HasPeerReports: true}
		a.Assess(0, view)
		for i := range 12 {
			var d admitter.Demand
			d.New[0] = 0.1 * float64(i*i+1) / 3
			a.ApplyHostReport(string(rune('a'+i)), d, now)
			a.ApplyZoneReport(string(rune('a'+i)), d, now)
		}
		hosts[a.ZoneDemand(now).New[0]]++
		a.Assess(now, view)
		zones[a.Demand().New[0]]++
	}
	require.Len(t, hosts, 1)
	require.Len(t, zones, 1)
}
