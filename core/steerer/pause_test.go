package steerer_test

import (
	"testing"
	"time"

	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

// Symptom: targets are full just after a host wakes, and run requests whose callers have
// given up. Sequence: a host stands still for 5 s while packets come; it wakes and reads
// them all. Cause: nothing tells old packets from new ones.
func TestPausedHostDropsStalePackets(t *testing.T) {
	f := newFleet(t, 1)
	f.now = f.now.Add(5 * time.Second)
	old := f.caller(1, checkRoute)
	old.open("a1", 0)
	require.Empty(t, old.target, "read before the host knows that it stood still")
	f.reduce("a1", &steerer.Tick{})
	old.open("a1", 1)
	require.Empty(t, old.target, "read right after")
	upload := f.caller(3, uploadRoute)
	upload.open("a1", 0)
	require.NotEmpty(t, upload.target, "its caller waits for 5 s")
	require.Equal(t, uint64(2), f.hosts["a1"].steerer.Snapshot().Counters[steerer.DropStale])
	f.step(steerer.TickInterval)
	fresh := f.caller(2, checkRoute)
	fresh.open("a1", 0)
	require.NotEmpty(t, fresh.target)
}

// Symptom: callers that wait for long get no answer. Sequence: a host stands still for
// 2 s, less than callers wait. Cause: what came in a pause is dropped though it is of use.
func TestPauseShorterThanTimeoutDropsNothing(t *testing.T) {
	f := newFleet(t, 1)
	f.now = f.now.Add(2 * time.Second)
	c := f.caller(1, checkRoute)
	c.open("a1", 0)
	require.NotEmpty(t, c.target)
}
