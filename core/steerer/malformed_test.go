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

// Another program overwrites a target's entry while the target keeps working. Guards against
// sending new flows to the target because the entry is skipped as if it were absent, and
// against resetting its open flows because the target is considered to have crashed.
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

// Guards against losing a target for good after its entry was overwritten and its next
// heartbeat has written it again.
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

// A malformed entry stays in the list for minutes while the list is read every second. Guards
// against a log line per read.
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

// Guards against a log line per read if the platform cannot list changes and the full list is
// read each time.
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

// Another program's entry has an ID with the number of a target, so both map to the same tag.
// Guards against accepting both, which sends packets of one flow to two targets. The first
// one keeps the tag; once that target is missing, the other may have it.
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
