package steerer

import (
	"testing"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/sequencer"
	"github.com/stretchr/testify/require"
)

// Failure: a host keeps a target that has gone for good, because it asked one that started
// after that what has changed, and that one has never heard of the target.
func TestHostThatStartedLaterTellsAllThatItKnows(t *testing.T) {
	asking := serviceOf(10)
	started := serviceOf(9) // The tenth has gone at position 2.
	started.targetsPosition = sequencer.At(0, 2)
	started.targets.history.restart(started.targetsPosition)

	position := asking.targetsPosition
	answer := started.Knowledge(&messenger.SyncRequest{IncludeTargets: true, TargetsSince: position.Revision, TargetsSinceEra: position.Era})
	require.Equal(t, messenger.ScopeFull, answer.Scope)
	asking.takeTargets(answer, "b1")
	require.Equal(t, sequencer.At(0, 2), asking.targetsPosition)
	require.True(t, asking.targets.byID["i-10000009"].missing)
	require.False(t, asking.targets.byID["i-10000008"].missing)
}

// Failure: as above, after the target was forgotten by a host that knew it.
func TestHostThatHasForgottenATargetTellsAllThatItKnows(t *testing.T) {
	s := serviceOf(10)
	gone := s.targets.byID["i-10000009"]
	s.takeMissing(gone, sequencer.At(0, 2), "test")
	s.targetsPosition = sequencer.At(0, 3)
	request := &messenger.SyncRequest{IncludeTargets: true, TargetsSince: 1}
	require.Equal(t, messenger.ScopeDelta, s.Knowledge(request).Scope)
	s.targets.remove(gone)
	require.Equal(t, messenger.ScopeFull, s.Knowledge(request).Scope)
}

// Failure: as above, because the host that was asked is of an earlier release and does not say
// what it leaves out.
func TestAnswerThatMayLackSomethingIsNotTakenForComplete(t *testing.T) {
	s := serviceOf(10)
	changed := s.state(s.targets.byID["i-10000003"])
	changed.Revision, changed.Draining = 2, true
	s.takeTargets(&messenger.SyncResponse{TargetsRevision: 2, Targets: []messenger.TargetState{changed}}, "b1")
	require.True(t, s.targets.byID["i-10000003"].Draining)
	require.Equal(t, sequencer.At(0, 1), s.targetsPosition)
}
