package exporter

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Symptom: an alarm on a counter never fires, or fires for a host that is well.
// Sequence: nothing was counted yet. Cause: counters that appear with their first
// event only.
func TestZeroCountersAreExported(t *testing.T) {
	e, err := New(netip.MustParseAddrPort("127.0.0.1:0"), "a1", 20*time.Millisecond)
	require.NoError(t, err)
	e.Histogram("answer_latency", map[string]string{"route": "r"}).RecordDuration(time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	done := e.Run(ctx, func(context.Context) { e.SetCounter("decisions", "flowReset", 0) })
	require.Eventually(t, func() bool {
		response, err := http.Get("http://" + e.listener.Addr().String() + "/metrics")
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		text, err := io.ReadAll(response.Body)
		return err == nil && strings.Contains(string(text), `cranberryspan_decisions{host="a1",reason="flowReset"} 0`) &&
			strings.Contains(string(text), "cranberryspan_answer_latency_bucket")
	}, 10*time.Second, 20*time.Millisecond)
	cancel()
	require.NoError(t, <-done)
	require.NoError(t, <-done)
}
