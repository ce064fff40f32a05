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

// shortOf makes an admitter whose callers ask for the given slots of a room, and whose
// admitted requests wait as long as is aimed at.
func shortOf(room float64, demand admitter.Demand) *admitter.Admitter {
	a := admitter.New()
	for range 50 {
		a.Answered(0.4)
	}
	a.TakeZone("z", demand, 0)
	a.Assess(0, admitter.View{Room: room, ZoneHosts: 2, InTouch: true})
	return a
}

func ExampleAdmitter_Share() {
	var demand admitter.Demand
	demand.Open[0] = 20
	demand.New[1] = 50
	demand.New[2] = 60
	a := shortOf(100, demand)
	fmt.Printf("short: %v; urgent callers: %.2f; others, who ask three times: %.2f\n", a.Short(), a.Share(1), a.Share(2))
	// Output: short: true; urgent callers: 1.00; others, who ask three times: 0.21
}

// Higher priorities fit in before lower ones get anything, and all together never get more
// than there is.
func TestSharesFitIntoTheRoom(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 1))
	for range 2000 {
		var demand admitter.Demand
		for i := range admitter.Levels {
			demand.New[i] = random.Float64() * 20 * float64(random.IntN(2))
			demand.Open[i] = random.Float64() * 5 * float64(random.IntN(2))
		}
		room := random.Float64() * 120
		a := shortOf(room, demand)
		open, admitted, full := 0.0, 0.0, false
		for i := range admitter.Levels {
			open += demand.Open[i]
			served := 1 - cube(1-a.Share(i))
			admitted += demand.New[i] * served
			if full {
				require.Zero(t, a.Share(i), "nothing is left for lower priorities")
			}
			full = full || a.Share(i) < 1
		}
		if a.Short() {
			require.LessOrEqual(t, admitted, max(a.Room(), 0)+1e-6)
		} else {
			require.LessOrEqual(t, open+admitted, a.Room()+1e-6)
		}
	}
}

// Symptom: callers of a low priority get in while those of a higher one are refused.
// Sequence: a crowd; nothing was metered of a lower priority. Cause: a share of all for
// whom nothing is known to be asked.
func TestLowerPriorityWithoutMeteredDemandIsNotLetInBefore(t *testing.T) {
	var demand admitter.Demand
	demand.New[1] = 40
	a := shortOf(20, demand)
	require.True(t, a.Short())
	require.Less(t, a.Share(1), 1.0)
	require.LessOrEqual(t, a.Share(2), a.Share(1))
}

func cube(x float64) float64 { return x * x * x }

// Symptom: of a share of a half ten requests in a row get in, and queues fill. Cause: each
// request is let in at random.
func TestSharesAreTakenEvenlyInTime(t *testing.T) {
	var demand admitter.Demand
	demand.New[2] = 150
	a := shortOf(100, demand)
	share := a.Share(2)
	in := 0
	for n := 1; n <= 300; n++ {
		if a.Admit(2) {
			in++
		}
		require.InDelta(t, share*float64(n), float64(in), 1)
	}
}

// Symptom: an old report decides. Sequence: a zone is heard of once. Cause: reports that
// don't age.
func TestWordsAge(t *testing.T) {
	var demand admitter.Demand
	demand.New[1] = 50
	a := shortOf(30, demand)
	require.True(t, a.Short())
	a.Assess(timekeeper.Instant(10*time.Second), admitter.View{Room: 30, ZoneHosts: 2, InTouch: true})
	require.False(t, a.Short())
	require.Zero(t, a.Demand().Total())
}

// Symptom: admitted requests are late although the estimate says that they fit in.
// Sequence: work takes longer than hosts believe, for seconds. Cause: room that answers
// don't correct.
func TestWaitsCorrectTheRoom(t *testing.T) {
	var demand admitter.Demand
	demand.New[1] = 150
	a := shortOf(100, demand)
	before := a.Room()
	for n := range 400 {
		now := timekeeper.Instant(time.Duration(n) * 10 * time.Millisecond)
		a.TakeZone("z", demand, now)
		a.Answered(1)
		a.Assess(now, admitter.View{Room: 100, ZoneHosts: 2, InTouch: true})
	}
	require.Less(t, a.Room(), 0.9*before)
	require.GreaterOrEqual(t, a.Room(), 0.7*before, "what is off by more is not waiting time's to mend")
}

func BenchmarkAskedAndAdmit(b *testing.B) {
	a := admitter.New()
	now := timekeeper.Instant(0)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		a.AskedNew(1, work, now)
		a.Admit(1)
	}
}

// Symptom: a host believes that three times as much is asked as callers need, and goes on
// refusing when less would fit in. Sequence: callers want one and a half times the room;
// those that are refused ask twice more. Cause: tries that are taken for callers.
func TestRepeatsOfRefusedCallersAreNoDemand(t *testing.T) {
	const room, wanted = 100.0, 150.0
	a := shortOf(room, admitter.Demand{})
	for n := range 100 {
		now := timekeeper.Instant(time.Duration(n) * 50 * time.Millisecond)
		refused := 1 - a.Share(1)
		var tries admitter.Demand
		tries.New[1] = wanted * (1 + refused + refused*refused)
		a.TakeZone("z", tries, now)
		a.Answered(0.4)
		a.Assess(now, admitter.View{Room: room, ZoneHosts: 2, InTouch: true})
	}
	require.InDelta(t, wanted, a.Demand().Total(), 0.05*wanted)
	require.InDelta(t, room/wanted, 1-cube(1-a.Share(1)), 0.05, "two in three callers are served")
}

// Symptom: all callers are refused in an outage that is over. Sequence: a host believes
// that no target lives; one does. Cause: a share of no room.
func TestWithoutKnownRoomNobodyIsRefused(t *testing.T) {
	var demand admitter.Demand
	demand.New[1] = 50
	a := shortOf(0, demand)
	require.False(t, a.Short())
	require.True(t, a.Admit(1))
}

// Symptom: a run that is repeated with equal events decides otherwise. Sequence: twelve
// hosts tell their demand. Cause: floats that are added up in the order of a map.
func TestSumsDoNotDependOnOrder(t *testing.T) {
	hosts, zones := map[float64]int{}, map[float64]int{}
	now := timekeeper.Instant(time.Millisecond)
	for range 200 {
		a := admitter.New()
		view := admitter.View{Room: 1, ZoneHosts: 1, InTouch: true}
		a.Assess(0, view)
		for i := range 12 {
			var d admitter.Demand
			d.New[0] = 0.1 * float64(i*i+1) / 3
			a.TakeHost(string(rune('a'+i)), d, now)
			a.TakeZone(string(rune('a'+i)), d, now)
		}
		hosts[a.Zone(now).New[0]]++
		a.Assess(now, view)
		zones[a.Demand().New[0]]++
	}
	require.Len(t, hosts, 1)
	require.Len(t, zones, 1)
}
