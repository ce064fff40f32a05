package exchanger

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"cranberryspan.dev/balancer/internal/meterer"
	"cranberryspan.dev/core/encoder"
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

// unusedAddress returns a loopback address that nothing listens on.
func unusedAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func makeTargets(n int) []messenger.TargetState {
	var list []messenger.TargetState
	for i := range n {
		list = append(list, messenger.TargetState{
			ID: fmt.Sprintf("i-%010x", i), Revision: 7, Service: "ledger", AvailabilityZone: "pa-hall", Slots: 3,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8080),
		})
	}
	return list
}

// runExchange runs two hosts, one of which sends a sync request to the other, and returns
// the resulting event.
func runExchange(t *testing.T, handler RequestHandler) *steerer.SyncResponseReceived {
	t.Helper()
	decode := func(document []byte) (*steerer.Settings, error) {
		return steerer.NewSettings(uint64(len(document)), nil, nil, 0), nil
	}
	events := make(chan steerer.Event, 1)
	server, err := New(unusedAddress(t), 0, encoder.New("b1", nil), decode, handler, meterer.New(), events)
	require.NoError(t, err)
	client, err := New(unusedAddress(t), 0, encoder.New("a1", nil), decode, handler, meterer.New(), events)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := server.Run(ctx)
	client.Request(ctx, &steerer.SendSyncRequest{Host: "b1", Address: netip.MustParseAddrPort(server.listener.Addr().String()), Request: &messenger.SyncRequest{IncludeTargets: true}, Timeout: 500 * time.Millisecond})
	event, ok := (<-events).(*steerer.SyncResponseReceived)
	require.True(t, ok)
	cancel()
	require.NoError(t, <-done)
	return event
}

// Settings and targets arrive unchanged, with as many targets as are expected in two years,
// and the targets are compressed well.
func TestExchangeTransfersState(t *testing.T) {
	all := makeTargets(3800)
	event := runExchange(t, func(context.Context, *messenger.SyncRequest) (*messenger.SyncResponse, error) {
		return &messenger.SyncResponse{SettingsRevision: 12, CompressedSettings: make([]byte, 12), TargetsRevision: 9, Targets: makeTargets(3800)}, nil
	})
	require.NoError(t, event.Err)
	require.Equal(t, all, event.Response.Targets)
	require.Equal(t, uint64(12), event.Settings.Version)
	require.Less(t, len(event.Response.CompressedTargets), 60_000, "of some 350,000")
}

// Guards against a host waiting forever for a sync response: when the other host accepts the
// connection and does not respond, the request must time out.
func TestRequestToUnresponsiveHostTimesOut(t *testing.T) {
	start := time.Now()
	event := runExchange(t, func(ctx context.Context, _ *messenger.SyncRequest) (*messenger.SyncResponse, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	var failure *Error
	require.ErrorAs(t, event.Err, &failure)
	require.Equal(t, KindUnreachable, failure.Kind)
	require.Less(t, time.Since(start), 10*exchangeTimeout)
}

// On a slow link a host serves one sync request at a time, on a fast one several.
func TestConcurrentRequestLimitDependsOnLinkRate(t *testing.T) {
	require.Equal(t, 1, concurrentRequestLimit(250_000))
	require.Equal(t, 4, concurrentRequestLimit(25_000_000))
	require.Equal(t, 4, concurrentRequestLimit(0))
}

// Guards against compressing the same list of thousands of targets for each sync request:
// when many hosts start together, the few that have the list receive many requests.
func TestFullTargetListIsCompressedOnce(t *testing.T) {
	var x Exchanger
	first := &messenger.SyncResponse{TargetsRevision: 9, Scope: messenger.ScopeFull, Targets: makeTargets(100)}
	require.NoError(t, x.compressSyncResponse(first))
	again := &messenger.SyncResponse{TargetsRevision: 9, Scope: messenger.ScopeFull, Targets: makeTargets(100)}
	require.NoError(t, x.compressSyncResponse(again))
	require.Same(t, &first.CompressedTargets[0], &again.CompressedTargets[0])
	later := &messenger.SyncResponse{TargetsRevision: 10, Scope: messenger.ScopeFull, Targets: makeTargets(101)}
	require.NoError(t, x.compressSyncResponse(later))
	require.NoError(t, decompressTargets(later))
	require.Len(t, later.Targets, 101)
	changes := &messenger.SyncResponse{TargetsRevision: 10, Scope: messenger.ScopeDelta, Targets: makeTargets(1)}
	require.NoError(t, x.compressSyncResponse(changes))
	require.NoError(t, decompressTargets(changes))
	require.Len(t, changes.Targets, 1)
}

// Guards against a starting host treating warm targets as cold: a full list compressed while
// targets are cold must not be cached, since it contains the remaining duration of their
// slow start.
func TestTargetListWithColdTargetsIsNotCached(t *testing.T) {
	var x Exchanger
	cold := makeTargets(2)
	cold[0].WarmUp = time.Second
	require.NoError(t, x.compressSyncResponse(&messenger.SyncResponse{TargetsRevision: 9, Scope: messenger.ScopeFull, Targets: cold}))
	warm := &messenger.SyncResponse{TargetsRevision: 9, Scope: messenger.ScopeFull, Targets: makeTargets(2)}
	require.NoError(t, x.compressSyncResponse(warm))
	require.NoError(t, decompressTargets(warm))
	require.Equal(t, makeTargets(2), warm.Targets)
}
