package steerer

import (
	"math/rand/v2"
	"slices"
	"testing"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/sequencer"
	"github.com/stretchr/testify/require"
)

// Guards against a response that omits a change, which the requester would then never learn
// of.
func TestHistoryListsEachChangeAfterPosition(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	s := New(Config{Self: "a1", AvailabilityZone: "a"})
	s.targetsPosition = sequencer.At(0, 1)
	last, compared := uint64(2), 0
	for range 3 * maxHistoryEntries {
		last += random.Uint64N(3)
		// Reports may deliver changes out of order.
		applyRandomChange(s, random, sequencer.At(0, last-min(random.Uint64N(20), last-1)))
		since := sequencer.At(0, last-min(random.Uint64N(50), last-1))
		if !s.targets.history.covers(since) {
			continue // The history is incomplete since then, so no host is sent changes since then.
		}
		compared++
		require.ElementsMatch(t, s.changedSinceByScan(since), slices.Compact(sortedByID(s.targets.changedSince(since))))
	}
	require.Greater(t, compared, maxHistoryEntries/2)
}

// Guards against listing changes since a position after which the history is incomplete.
func TestHistoryCoversOnlyWhatIsComplete(t *testing.T) {
	s := New(Config{Self: "a1", AvailabilityZone: "a"})
	s.targetsPosition = sequencer.At(0, 1)
	for n := range uint64(2 * maxHistoryEntries) {
		s.applyTarget(Target{ID: "i-01", Number: 1, Service: "ledger", AvailabilityZone: "a", Draining: n%2 == 0}, sequencer.At(0, 2+n), "test")
		s.applyTarget(Target{ID: "i-02", Number: 2, Service: "ledger", AvailabilityZone: "a"}, sequencer.At(0, 2), "test")
	}
	require.False(t, s.targets.history.covers(sequencer.At(0, 1)), "i-02 is no longer listed")
	begin := s.targets.history.completeSince
	require.True(t, s.targets.history.covers(begin))
	require.ElementsMatch(t, s.changedSinceByScan(begin), slices.Compact(s.targets.changedSince(begin)))
}

// changedSinceByScan scans all targets for those whose states were read after a position.
func (s *Steerer) changedSinceByScan(position sequencer.Position) []*target {
	var list []*target
	for _, one := range s.targets.ordered() {
		if position.Before(one.seenPosition) {
			list = append(list, one)
		}
	}
	return list
}

func sortedByID(list []*target) []*target {
	slices.SortFunc(list, func(x, y *target) int { return int(x.Number) - int(y.Number) })
	return list
}

// Guards against a cost per sync request that grows with the number of targets.
func TestSyncResponseCostFollowsChanges(t *testing.T) {
	s := hostWithTargets(12_000)
	s.markMissing(s.targets.byID["i-10000005"], sequencer.At(0, 2), "test")
	s.targetsPosition = sequencer.At(0, 2)
	before := s.targets.entriesVisited
	response := s.SyncResponse(&messenger.SyncRequest{IncludeTargets: true, TargetsSince: 1})
	require.Len(t, response.Targets, 1)
	require.LessOrEqual(t, s.targets.entriesVisited-before, uint64(maxHistoryEntries))
}
