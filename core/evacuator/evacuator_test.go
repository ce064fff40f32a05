package evacuator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cranberryspan.dev/core/evacuator"
	"cranberryspan.dev/core/sequencer"
	"cranberryspan.dev/core/timekeeper"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const start = timekeeper.Instant(time.Second)

func ExampleEvacuator() {
	e := evacuator.New()
	issued := evacuator.Orders{Position: sequencer.At(0, 10)}.WithZone("pa-hall", 12)
	fmt.Println(e.Apply(issued, start), e.Evacuates("pa-hall"))
	fmt.Println(e.Apply(issued.WithoutZone("pa-hall", 15), start), e.Evacuates("pa-hall"))
	// Output:
	// [{pa-hall true}] true
	// [{pa-hall false}] false
}

// Guards against obsolete orders: when an order is issued, withdrawn and reissued, and a host
// that was isolated reports one of the earlier states, the latest state must apply rather than
// the last one received. Otherwise a zone whose order was withdrawn gets no flows, or an
// evacuated zone gets some.
func TestOlderOrdersAreIgnored(t *testing.T) {
	e := evacuator.New()
	issued := evacuator.Orders{}.WithZone("a", 5)
	withdrawn := issued.WithoutZone("a", 8)
	reissued := withdrawn.WithZone("a", 9)
	for _, orders := range []evacuator.Orders{issued, reissued, withdrawn, issued, {Position: sequencer.At(0, 2)}} {
		e.Apply(orders, start)
	}
	require.True(t, e.Evacuates("a"))
	_, ended := e.EndedAt("a")
	require.False(t, ended)
}

func TestEndOfOrderIsRecorded(t *testing.T) {
	e := evacuator.New()
	issued := evacuator.Orders{}.WithZone("a", 5).WithZone("b", 6)
	require.Equal(t, []evacuator.Change{{Zone: "a", Active: true}, {Zone: "b", Active: true}}, e.Apply(issued, start))
	require.Equal(t, []evacuator.Change{{Zone: "a"}}, e.Apply(issued.WithoutZone("a", 7), start.Add(time.Second)))
	at, ok := e.EndedAt("a")
	require.True(t, ok)
	require.Equal(t, start.Add(time.Second), at)
	_, ok = e.EndedAt("b")
	require.False(t, ok)
	e.Apply(issued.WithZone("a", 9), start)
	_, ok = e.EndedAt("a")
	require.False(t, ok, "an order that is given again ends the memory of the one before")
}

// Whichever hosts it receives the states from and in whatever order, a host with the latest
// state applies exactly the orders of the oracle, which follows the sequence of the operators.
func TestOrdersAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := []string{"a", "b", "c"}
		states := []evacuator.Orders{{Position: sequencer.At(0, 1)}}
		oracle := map[string]bool{}
		for revision := uint64(2); revision < 12; revision++ {
			zone := rapid.SampledFrom(zones).Draw(t, "zone")
			last := states[len(states)-1]
			oracle[zone] = !oracle[zone]
			if oracle[zone] {
				states = append(states, last.WithZone(zone, revision))
			} else {
				states = append(states, last.WithoutZone(zone, revision))
			}
		}
		e := evacuator.New()
		newest := -1
		for range 20 {
			at := rapid.IntRange(0, len(states)-1).Draw(t, "heard")
			newest = max(newest, at)
			e.Apply(states[at], start)
			require.Equal(t, states[newest], e.Orders())
		}
		e.Apply(states[len(states)-1], start)
		for _, zone := range zones {
			require.Equal(t, oracle[zone], e.Evacuates(zone))
		}
		require.True(t, slices.IsSorted(e.Orders().Zones))
	})
}

// Guards against new flows to a zone that is about to fail: when the platform is restored from
// a backup that lacks an order, the order must not end before it could be reissued, since the
// operators have not withdrawn it.
func TestOrdersLostInRestoreAreRetainedForGracePeriod(t *testing.T) {
	e := evacuator.New()
	issued := evacuator.Orders{Position: sequencer.At(3, 500)}.WithZone("a", 501).WithZone("b", 502)
	e.Apply(issued, start)
	restored := evacuator.Orders{Position: sequencer.At(4, 460)}
	require.Empty(t, e.Apply(restored, start))
	require.Equal(t, []string{"a", "b"}, e.Zones())
	require.Empty(t, e.Apply(restored.WithZone("a", 461), start), "it has never ended")
	require.Empty(t, e.Expire(start.Add(sequencer.RewriteGracePeriod/2)))
	require.Equal(t, []evacuator.Change{{Zone: "b"}}, e.Expire(start.Add(sequencer.RewriteGracePeriod)))
	require.Equal(t, []string{"a"}, e.Zones())
	require.Empty(t, e.Apply(issued, start), "the ended era convinces nobody")
	require.Equal(t, []evacuator.Change{{Zone: "a"}}, e.Apply(restored.WithRevision(470), start), "one that is taken back ends at once")
	_, ended := e.EndedAt("b")
	require.True(t, ended)
}

// Guards against ending an order that the operators have not withdrawn: when a host receives
// orders of a new era without a revision, revision 0 of the later era counts as after all
// revisions of the earlier.
func TestOrdersWithoutRevisionAreIgnored(t *testing.T) {
	e := evacuator.New()
	issued := evacuator.Orders{Position: sequencer.At(3, 500)}.WithZone("a", 501)
	e.Apply(issued, start)
	require.Empty(t, e.Apply(evacuator.Orders{Position: sequencer.At(4, 0)}, start))
	require.Equal(t, issued, e.Orders())
}

// Guards against ending an order before operators could reissue it: when a second restore
// follows the first within two seconds, a grace period that runs from the first is too short.
func TestSecondRestoreRestartsGracePeriod(t *testing.T) {
	e := evacuator.New()
	e.Apply(evacuator.Orders{Position: sequencer.At(3, 500)}.WithZone("a", 501), start)
	e.Apply(evacuator.Orders{Position: sequencer.At(4, 460)}, start)
	second := start.Add(2 * time.Second)
	e.Apply(evacuator.Orders{Position: sequencer.At(5, 460)}, second)
	require.Empty(t, e.Expire(second.Add(2*time.Second)))
	require.Len(t, e.Expire(second.Add(sequencer.RewriteGracePeriod+time.Millisecond)), 1)
}
