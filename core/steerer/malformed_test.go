package steerer_test

import (
	"testing"
	"time"

	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

func countLogged(f *fleet, name, event string) int {
	n := 0
	for _, line := range f.hosts[name].logs {
		if line.Event == event {
			n++
		}
	}
	return n
}

// Symptom: new flows go to a target that the platform does not name any more, or open
// flows are reset though their target works. Sequence: another program writes over a
// target's entry; the target serves on. Cause: the entry is passed over as if it were
// not there, which leaves the target in use for a while, or the target is taken for
// dead.
func TestTargetWithMalformedEntryKeepsOpenFlowsAndGetsNoNewOnes(t *testing.T) {
	f := newFleet(t, 2)
	c := requestAt(f, "a1", restartedTarget, 100)
	f.malformEntry(restartedTarget)
	f.step(1300 * time.Millisecond)
	c.ackResponse("a1")
	c.sendRequest("a1")
	require.Equal(t, restartedTarget, f.lastTarget("a1"), "the open flow goes on")
	c.ackResponse("a1")
	for _, name := range f.names {
		require.NotEmpty(t, statusOf(f, name, restartedTarget).AvoidReason, name)
		for n := range 60 {
			other := f.caller(2000+n, checkRoute)
			other.open(name, 0)
			require.NotEqual(t, restartedTarget, other.target)
		}
		require.Empty(t, f.hosts[name].resets)
	}
}

// Symptom: a target is lost for good. Sequence: its entry is written over, and its next
// heartbeat writes it again. Cause: a state that nothing takes back.
func TestTargetIsUsedAgainOnceItsEntryIsRewritten(t *testing.T) {
	f := newFleet(t, 1)
	target := f.targets[restartedTarget]
	f.malformEntry(restartedTarget)
	f.step(1300 * time.Millisecond)
	require.NotEmpty(t, statusOf(f, "a1", restartedTarget).AvoidReason)
	f.malformed = nil
	f.targets[restartedTarget] = target
	f.revision++
	f.step(1300 * time.Millisecond)
	require.Empty(t, statusOf(f, "a1", restartedTarget).AvoidReason)
}

// Symptom: the log says nothing but that an entry can't be read. Sequence: it lies there
// for minutes, and the list is read every second. Cause: a line for each read.
func TestMalformedEntryIsLoggedOncePerChange(t *testing.T) {
	f := newFleet(t, 1)
	f.malformed = []steerer.MalformedTarget{{ID: "readme", Digest: 1, Err: errMalformedEntry}, {Digest: 2, Err: errMalformedEntry}}
	f.revision++
	f.step(5 * time.Second)
	require.Equal(t, 2, countLogged(f, "a1", "targetMalformed"))
	f.malformed[0].Digest = 3
	f.revision++
	f.step(5 * time.Second)
	require.Equal(t, 3, countLogged(f, "a1", "targetMalformed"))
	require.Equal(t, uint64(3), f.hosts["a1"].steerer.Snapshot().Counters[steerer.TargetMalformed])
	f.malformEntry(restartedTarget)
	for range 5 {
		f.revision++ // Other entries change.
		f.step(1300 * time.Millisecond)
	}
	require.Equal(t, 1, countLogged(f, "a1", "targetMissing"))
}

// Failure: the log says nothing but that an entry can't be read, because the store tells no
// changes and the whole list is read each time.
func TestMalformedEntryIsLoggedOnceAcrossFullLists(t *testing.T) {
	f := newFleet(t, 1)
	f.malformed = []steerer.MalformedTarget{{ID: "readme", Digest: 1, Err: errMalformedEntry}, {Digest: 2, Err: errMalformedEntry}}
	for range 5 {
		clear(f.listings)
		f.revision++
		f.step(1300 * time.Millisecond)
	}
	require.Equal(t, 2, countLogged(f, "a1", "targetMalformed"))
}

// Symptom: packets of one flow reach two targets. Sequence: another writer's entry has an
// ID with the number of a target's, so that both have one tag. Cause: both are taken.
// The one that was there first keeps the tag; once it is gone, the other may have it.
func TestTargetWithDuplicateTagGetsNoFlows(t *testing.T) {
	f := newFleet(t, 1)
	duplicate := f.targets[restartedTarget]
	duplicate.ID = "x-10000001"
	f.targets[duplicate.ID] = duplicate
	f.revision++
	f.step(1300 * time.Millisecond)
	require.Equal(t, "another target has its tag", statusOf(f, "a1", duplicate.ID).AvoidReason)
	require.Empty(t, statusOf(f, "a1", restartedTarget).AvoidReason)
	f.remove(restartedTarget)
	f.step(4 * time.Second)
	require.Empty(t, statusOf(f, "a1", duplicate.ID).AvoidReason)
	require.NotEmpty(t, statusOf(f, "a1", restartedTarget).AvoidReason)
}
