package steerer

import (
	"testing"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/sequencer"
	"github.com/stretchr/testify/require"
)

// A host requests changes from a host that started after a target went missing and never knew
// that target. Guards against a response of changes only, after which the requester keeps the
// target for good.
func TestSyncResponseIsFullIfHistoryStartsAfterRequest(t *testing.T) {
	requester := hostWithTargets(10)
	responder := hostWithTargets(9) // The tenth went missing at position 2.
	responder.targetsPosition = sequencer.At(0, 2)
	responder.targets.history.resetTo(responder.targetsPosition)

	position := requester.targetsPosition
	response := responder.SyncResponse(&messenger.SyncRequest{IncludeTargets: true, TargetsSince: position.Revision, TargetsSinceEra: position.Era})
	require.Equal(t, messenger.ScopeFull, response.Scope)
	requester.applyPeerTargets(response, "b1")
	require.Equal(t, sequencer.At(0, 2), requester.targetsPosition)
	require.True(t, requester.targets.byID["i-10000009"].missing)
	require.False(t, requester.targets.byID["i-10000008"].missing)
}

// As above, for a host that has known the target and has since dropped it.
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

// As above, for a response of an earlier release, which does not say what it leaves out.
func TestSyncResponseWithoutScopeIsNotTreatedAsComplete(t *testing.T) {
	s := hostWithTargets(10)
	changed := s.targetState(s.targets.byID["i-10000003"])
	changed.Revision, changed.Draining = 2, true
	s.applyPeerTargets(&messenger.SyncResponse{TargetsRevision: 2, Targets: []messenger.TargetState{changed}}, "b1")
	require.True(t, s.targets.byID["i-10000003"].Draining)
	require.Equal(t, sequencer.At(0, 1), s.targetsPosition)
}
