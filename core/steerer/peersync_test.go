package steerer_test

import (
	"testing"
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

// Guards against several sync requests a second from each host while targets change
// continuously and no two hosts agree.
func TestSyncRequestRateIsBoundedWhileTargetsChange(t *testing.T) {
	h := newLargeHost(largeFleets[0])
	h.syncRequests = nil
	for range 10 * int(time.Second/steerer.TickInterval) {
		h.receiveChanges(1)
		h.tick()
		h.respondToSyncRequest()
	}
	require.GreaterOrEqual(t, len(h.syncRequests), 5)
	require.LessOrEqual(t, len(h.syncRequests), 20, "two a second")
}

// respondToSyncRequest responds to a sync request that the host has sent since the last tick,
// like a host that knows all but the latest change.
func (h *largeHost) respondToSyncRequest() {
	if !h.syncRequestPending {
		return
	}
	h.syncRequestPending = false
	request := h.syncRequests[len(h.syncRequests)-1]
	h.steerer.Reduce(&steerer.SyncResponseReceived{At: h.now, From: request.Host, Response: &messenger.SyncResponse{SettingsRevision: 1, Scope: messenger.ScopeDelta, TargetsRevision: h.revision - 1}})
}
