package steerer

import (
	"testing"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/sequencer"
	"github.com/stretchr/testify/require"
)

// Failure: a host keeps a target that has gone for good, because it asked one that started
// after that what has changed, and that one has never heard of the target.
func TestSyncResponseIsFullIfHistoryStartsAfterRequest(t *testing.T) {
	requester := hostWithTargets(10)
	responder := hostWithTargets(9) // The tenth has gone at position 2.
	responder.targetsPosition = sequencer.At(0, 2)
	responder.targets.history.resetTo(responder.targetsPosition)

	position := requester.targetsPosition
	answer := responder.SyncResponse(&messenger.SyncRequest{IncludeTargets: true, TargetsSince: position.Revision, TargetsSinceEra: position.Era})
	require.Equal(t, messenger.ScopeFull, answer.Scope)
	requester.applyPeerTargets(answer, "b1")
	require.Equal(t, sequencer.At(0, 2), requester.targetsPosition)
	require.True(t, requester.targets.byID["i-10000009"].missing)
	require.False(t, requester.targets.byID["i-10000008"].missing)
}

// Failure: as above, after the target was forgotten by a host that knew it.
func TestSyncResponseIsFullAfterMissingTargetExpired(t *testing.T) {
	s := hostWithTargets(10)
	missing := s.targets.byID["i-10000009"]
	s.markMissing(missing, sequencer.At(0, 2), "test")
	s.targetsPosition = sequencer.At(0, 3)
	request := &messenger.SyncRequest{IncludeTargets: true, TargetsSince: 1}
	require.Equal(t, messenger.ScopeDelta, s.SyncResponse(request).Scope)
	s.targets.remove(missing)
	require.Equal(t, messenger.ScopeFull, s.SyncResponse(request).Scope)
}

// Failure: as above, because the host that was asked is of an earlier release and does not say
// what it leaves out.
func TestSyncResponseWithoutScopeIsNotTreatedAsComplete(t *testing.T) {
	s := hostWithTargets(10)
	changed := s.targetState(s.targets.byID["i-10000003"])
	changed.Revision, changed.Draining = 2, true
	s.applyPeerTargets(&messenger.SyncResponse{TargetsRevision: 2, Targets: []messenger.TargetState{changed}}, "b1")
	require.True(t, s.targets.byID["i-10000003"].Draining)
	require.Equal(t, sequencer.At(0, 1), s.targetsPosition)
}
