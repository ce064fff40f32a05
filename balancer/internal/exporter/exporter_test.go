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

// Guards against alerts that never fire, or that fire for a healthy host: a counter that is
// exported only after its first event is missing while nothing has been counted.
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
