package steerer

import (
	"math/rand/v2"
	"slices"
	"testing"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/sequencer"
	"github.com/stretchr/testify/require"
)

// Failure: a host that asks what has changed is not told of a change, and never learns of it.
func TestHistoryTellsEachChangeAfterAPosition(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	s := New(Config{Self: "a1", AvailabilityZone: "a"})
	s.targetsPosition = sequencer.At(0, 1)
	s.takeRecord(Target{ID: "i-20000000", Number: 0x20000000, Service: "ledger", AvailabilityZone: "a"}, sequencer.At(0, 2), "test")
	last := uint64(2)
	for range 3 * maxHistory {
		last += random.Uint64N(3)
		// News overtakes other news on its way from host to host.
		changeSomething(s, random, sequencer.At(0, last-min(random.Uint64N(20), last-1)))
		since := sequencer.At(0, last-min(random.Uint64N(4*maxHistory), last-1))
		var want []*target
		for _, one := range s.targets.ordered() {
			if since.Before(one.seen) {
				want = append(want, one)
			}
		}
		got := s.targets.seenAfter(since)
		require.ElementsMatch(t, want, slices.Compact(sortedByID(got)))
	}
}

func sortedByID(list []*target) []*target {
	slices.SortFunc(list, func(x, y *target) int { return int(x.Number) - int(y.Number) })
	return list
}

// Failure: each question of another host costs as much as there are targets.
func TestAnswerGoesThroughWhatHasChanged(t *testing.T) {
	s := serviceOf(12_000)
	s.takeMissing(s.targets.byID["i-10000005"], sequencer.At(0, 2), "test")
	s.targetsPosition = sequencer.At(0, 2)
	before := s.targets.visits
	k := s.Knowledge(&messenger.KnowledgeRequest{Targets: true, Since: 1})
	require.Len(t, k.Targets, 1)
	require.LessOrEqual(t, s.targets.visits-before, uint64(maxHistory))
}
