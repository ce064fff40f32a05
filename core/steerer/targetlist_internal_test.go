package steerer

import (
	"testing"

	"cranberryspan.dev/core/sequencer"
	"github.com/stretchr/testify/require"
)

// Guards against a cost per incremental list that grows with the number of targets on the
// host that reads the platform for the fleet.
func TestCostOfIncrementalListFollowsChanges(t *testing.T) {
	s := hostWithTargets(12_000)
	drained := s.targets.byID["i-10000005"].Target
	drained.Draining = true
	before := s.targets.entriesVisited
	s.applyTargetList(TargetList{Since: sequencer.At(0, 1), Position: sequencer.At(0, 3), Targets: []Target{drained}, MissingIDs: []string{"i-10000007"}})
	require.Equal(t, before, s.targets.entriesVisited)
	require.True(t, s.targets.byID["i-10000005"].Draining)
	require.True(t, s.targets.byID["i-10000007"].missing)
	require.Equal(t, sequencer.At(0, 3), s.targetsPosition)
}

// Guards against applying an incremental list to a list that it does not follow: one of
// another era after a restore, or one that lacks earlier changes.
func TestIncrementalListIsAppliedOnlyToItsBase(t *testing.T) {
	for _, since := range []sequencer.Position{sequencer.At(0, 2), sequencer.At(1, 1)} {
		s := hostWithTargets(10)
		s.applyTargetList(TargetList{Since: since, Position: sequencer.At(since.Era, 5), MissingIDs: []string{"i-10000007"}})
		require.False(t, s.targets.byID["i-10000007"].missing, since)
		require.Equal(t, sequencer.At(0, 1), s.targetsPosition, since)
	}
}

// A target waits for a tag that another target owns. Guards against a wait that never ends
// once the owner has gone missing, because the waiting target's own entry does not change.
func TestTagOfMissingTargetIsReassigned(t *testing.T) {
	s := hostWithTargets(10)
	first := s.targets.byID["i-10000007"]
	duplicate := first.Target
	duplicate.ID = "x-10000007"
	s.applyTargetList(TargetList{Since: sequencer.At(0, 1), Position: sequencer.At(0, 2), Targets: []Target{duplicate}})
	require.Empty(t, s.targets.byID[duplicate.ID].listedUnder)
	s.applyTargetList(TargetList{Since: sequencer.At(0, 2), Position: sequencer.At(0, 3), MissingIDs: []string{first.ID}})
	require.Equal(t, "ledger", s.targets.byID[duplicate.ID].listedUnder)
}
