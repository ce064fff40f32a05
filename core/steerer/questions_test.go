package steerer_test

import (
	"testing"
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

// Failure: while targets change without a pause no two hosts agree, and each asks another
// several times a second.
func TestTargetsThatChangeWithoutAPauseAreNotAskedForAllTheTime(t *testing.T) {
	h := newLargeHost(largeFleets[0])
	h.asked = nil
	for range 10 * int(time.Second/steerer.TickEvery) {
		h.change(1)
		h.tick()
		h.answerAsked()
	}
	require.GreaterOrEqual(t, len(h.asked), 5)
	require.LessOrEqual(t, len(h.asked), 20, "two a second")
}

// answerAsked answers a question that the host has asked since the last tick, as a host that
// knows all but the newest change.
func (h *largeHost) answerAsked() {
	if !h.asking {
		return
	}
	h.asking = false
	at := h.asked[len(h.asked)-1]
	h.steerer.Reduce(&steerer.HostAnswered{At: h.now, From: at.Host, Knowledge: &messenger.SyncResponse{SettingsRevision: 1, Scope: messenger.ScopeDelta, TargetsRevision: h.revision - 1}})
}
