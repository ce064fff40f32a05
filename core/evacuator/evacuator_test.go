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
	given := evacuator.Orders{Position: sequencer.At(0, 10)}.WithZone("pa-hall", 12)
	fmt.Println(e.Apply(given, start), e.Evacuates("pa-hall"))
	fmt.Println(e.Apply(given.WithoutZone("pa-hall", 15), start), e.Evacuates("pa-hall"))
	// Output:
	// [{pa-hall true}] true
	// [{pa-hall false}] false
}

// Symptom: a zone that was taken back gets no flows, or one that is evacuated gets some.
// Sequence: an order is given, taken back and given again; a host that was cut off
// tells one of the earlier states. Cause: the last that was heard holds, not the newest.
func TestOlderOrdersAreIgnored(t *testing.T) {
	e := evacuator.New()
	issued := evacuator.Orders{}.WithZone("a", 5)
	revoked := issued.WithoutZone("a", 8)
	again := revoked.WithZone("a", 9)
	for _, orders := range []evacuator.Orders{issued, again, revoked, issued, {Position: sequencer.At(0, 2)}} {
		e.Apply(orders, start)
	}
	require.True(t, e.Evacuates("a"))
	_, cold := e.EndedAt("a")
	require.False(t, cold)
}

func TestEndOfOrderIsRecorded(t *testing.T) {
	e := evacuator.New()
	given := evacuator.Orders{}.WithZone("a", 5).WithZone("b", 6)
	require.Equal(t, []evacuator.Change{{Zone: "a", Active: true}, {Zone: "b", Active: true}}, e.Apply(given, start))
	require.Equal(t, []evacuator.Change{{Zone: "a"}}, e.Apply(given.WithoutZone("a", 7), start.Add(time.Second)))
	at, ok := e.EndedAt("a")
	require.True(t, ok)
	require.Equal(t, start.Add(time.Second), at)
	_, ok = e.EndedAt("b")
	require.False(t, ok)
	e.Apply(given.WithZone("a", 9), start)
	_, ok = e.EndedAt("a")
	require.False(t, ok, "an order that is given again ends the memory of the one before")
}

// Any host that has heard the newest state, from whomever and in whatever order, obeys
// exactly the orders that an oracle lists: the operators' own sequence.
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

// Symptom: new flows go into a zone that is about to fail. Sequence: an order is given; the
// platform is restored from a copy that lacks it; the order is given again, or not.
// Cause: an order that ends though nobody has taken it back.
func TestOrdersLostInRestoreAreRetainedForGracePeriod(t *testing.T) {
	e := evacuator.New()
	given := evacuator.Orders{Position: sequencer.At(3, 500)}.WithZone("a", 501).WithZone("b", 502)
	e.Apply(given, start)
	restored := evacuator.Orders{Position: sequencer.At(4, 460)}
	require.Empty(t, e.Apply(restored, start))
	require.Equal(t, []string{"a", "b"}, e.Zones())
	require.Empty(t, e.Apply(restored.WithZone("a", 461), start), "it has never ended")
	require.Empty(t, e.Expire(start.Add(sequencer.RewriteGracePeriod/2)))
	require.Equal(t, []evacuator.Change{{Zone: "b"}}, e.Expire(start.Add(sequencer.RewriteGracePeriod)))
	require.Equal(t, []string{"a"}, e.Zones())
	require.Empty(t, e.Apply(given, start), "the ended era convinces nobody")
	require.Equal(t, []evacuator.Change{{Zone: "a"}}, e.Apply(restored.WithRevision(470), start), "one that is taken back ends at once")
	_, lifted := e.EndedAt("b")
	require.True(t, lifted)
}

// Symptom: an order ends that nobody has taken back. Sequence: word comes of a new era, with
// no revision. Cause: 0 of a later era is after all of the earlier.
func TestOrdersWithoutRevisionAreIgnored(t *testing.T) {
	e := evacuator.New()
	given := evacuator.Orders{Position: sequencer.At(3, 500)}.WithZone("a", 501)
	e.Apply(given, start)
	require.Empty(t, e.Apply(evacuator.Orders{Position: sequencer.At(4, 0)}, start))
	require.Equal(t, given, e.Orders())
}

// Symptom: an order that two restores in a row have undone ends before operators could give
// it again. Sequence: the second restore comes two seconds after the first. Cause: a time
// that runs from the first.
func TestSecondRestoreRestartsGracePeriod(t *testing.T) {
	e := evacuator.New()
	e.Apply(evacuator.Orders{Position: sequencer.At(3, 500)}.WithZone("a", 501), start)
	e.Apply(evacuator.Orders{Position: sequencer.At(4, 460)}, start)
	second := start.Add(2 * time.Second)
	e.Apply(evacuator.Orders{Position: sequencer.At(5, 460)}, second)
	require.Empty(t, e.Expire(second.Add(2*time.Second)))
	require.Len(t, e.Expire(second.Add(sequencer.RewriteGracePeriod+time.Millisecond)), 1)
}
