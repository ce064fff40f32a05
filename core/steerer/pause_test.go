package steerer_test

import (
	"testing"
	"time"

	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

// Guards against targets being full just after a host resumes, and running requests whose
// callers have given up: when a host is paused for 5 s while packets arrive, and reads them
// all after it resumes, it must drop the stale ones.
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

// Guards against callers with long timeouts getting no response: when a host is paused for
// 2 s, less than callers wait, the packets that arrived during the pause are still useful.
func TestPauseShorterThanTimeoutDropsNothing(t *testing.T) {
	f := newFleet(t, 1)
	f.now = f.now.Add(2 * time.Second)
	c := f.caller(1, checkRoute)
	c.open("a1", 0)
	require.NotEmpty(t, c.target)
}
