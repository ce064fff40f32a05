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

// overloadedAdmitter returns an Admitter with the given capacity and demand, in slots, whose
// admitted requests wait as long as the setpoint.
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

// Guards against admission of lower priorities while higher ones are refused, and against
// admissions beyond the capacity, over random demands.
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

// Guards against admission of a low priority while a higher one is refused: when no demand of the
// low priority was metered before a load peak, and it gets an admit ratio of 1.
func TestUnmeteredLowPriorityIsNotAdmittedFirst(t *testing.T) {
	var demand admitter.Demand
	demand.New[1] = 40
	a := overloadedAdmitter(20, demand)
	require.True(t, a.Overloaded())
	require.Less(t, a.AdmitRatio(1), 1.0)
	require.LessOrEqual(t, a.AdmitRatio(2), a.AdmitRatio(1))
}

func cube(x float64) float64 { return x * x * x }

// Guards against bursts that fill queues: when each request is admitted at random, ten in a row may
// be admitted at an admit ratio of a half.
func TestAdmissionsAreSpacedEvenly(t *testing.T) {
	var demand admitter.Demand
	demand.New[2] = 150
	a := overloadedAdmitter(100, demand)
	ratio := a.AdmitRatio(2)
	admitted := 0
	for n := 1; n <= 300; n++ {
		if a.Admit(2) {
			admitted++
		}
		require.InDelta(t, ratio*float64(n), float64(admitted), 1)
	}
}

// Guards against decisions from an old report: when a zone has reported once, and reports don't
// expire.
func TestReportsExpire(t *testing.T) {
	var demand admitter.Demand
	demand.New[1] = 50
	a := overloadedAdmitter(30, demand)
	require.True(t, a.Overloaded())
	a.Assess(timekeeper.Instant(10*time.Second), admitter.ServiceState{Capacity: 30, ZoneHosts: 2, HasPeerReports: true})
	require.False(t, a.Overloaded())
	require.Zero(t, a.Demand().Total())
}

// Guards against late requests within the estimated capacity: when requests take longer than hosts
// estimate for seconds, and waits don't correct the capacity.
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

// Guards against a demand estimated at three times the real one, and refusals that continue when
// the demand is lower: when the demand is one and a half times the capacity, refused callers retry
// twice, and each attempt counts as a caller.
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

// Guards against the refusal of all callers after an outage: when a host takes all targets for dead
// although one is live, and the admit ratio of a capacity of 0 is 0.
func TestUnknownCapacityAdmitsAll(t *testing.T) {
	var demand admitter.Demand
	demand.New[1] = 50
	a := overloadedAdmitter(0, demand)
	require.False(t, a.Overloaded())
	require.True(t, a.Admit(1))
}

// Guards against different decisions on equal events: when the demands that twelve hosts report
// are added as floating-point numbers in the random order of a map.
func TestDemandSumsAreOrderIndependent(t *testing.T) {
	hosts, zones := map[float64]int{}, map[float64]int{}
	now := timekeeper.Instant(time.Millisecond)
	for range 200 {
		a := admitter.New()
		state := admitter.ServiceState{Capacity: 1, ZoneHosts: 1, HasPeerReports: true}
		a.Assess(0, state)
		for i := range 12 {
			var d admitter.Demand
			d.New[0] = 0.1 * float64(i*i+1) / 3
			a.ApplyHostReport(string(rune('a'+i)), d, now)
			a.ApplyZoneReport(string(rune('a'+i)), d, now)
		}
		hosts[a.ZoneDemand(now).New[0]]++
		a.Assess(now, state)
		zones[a.Demand().New[0]]++
	}
	require.Len(t, hosts, 1)
	require.Len(t, zones, 1)
}
