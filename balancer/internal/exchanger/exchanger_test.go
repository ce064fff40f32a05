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

// freeAddress is an address of this host that nobody listens on.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func targets(n int) []messenger.TargetState {
	var list []messenger.TargetState
	for i := range n {
		list = append(list, messenger.TargetState{
			ID: fmt.Sprintf("i-%010x", i), Revision: 7, Service: "ledger", AvailabilityZone: "pa-hall", Slots: 3,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8080),
		})
	}
	return list
}

// exchange runs two hosts, one of which asks the other.
func exchange(t *testing.T, answer Answerer) *steerer.SyncResponseReceived {
	t.Helper()
	decode := func(document []byte) (*steerer.Settings, error) {
		return steerer.NewSettings(uint64(len(document)), nil, nil, 0), nil
	}
	events := make(chan steerer.Event, 1)
	served, err := New(freeAddress(t), 0, encoder.New("b1", nil), decode, answer, meterer.New(), events)
	require.NoError(t, err)
	asking, err := New(freeAddress(t), 0, encoder.New("a1", nil), decode, answer, meterer.New(), events)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	end := served.Run(ctx)
	asking.Ask(ctx, &steerer.SendSyncRequest{Host: "b1", Address: netip.MustParseAddrPort(served.listener.Addr().String()), Request: &messenger.SyncRequest{IncludeTargets: true}, Timeout: 500 * time.Millisecond})
	event, ok := (<-events).(*steerer.SyncResponseReceived)
	require.True(t, ok)
	cancel()
	require.NoError(t, <-end)
	return event
}

// All that a host knows arrives, as many targets as the two-year size has, and
// takes little on the way.
func TestKnowledgeArrives(t *testing.T) {
	all := targets(3800)
	event := exchange(t, func(context.Context, *messenger.SyncRequest) (*messenger.SyncResponse, error) {
		return &messenger.SyncResponse{SettingsRevision: 12, CompressedSettings: make([]byte, 12), TargetsRevision: 9, Targets: targets(3800)}, nil
	})
	require.NoError(t, event.Err)
	require.Equal(t, all, event.Knowledge.Targets)
	require.Equal(t, uint64(12), event.Settings.Version)
	require.Less(t, len(event.Knowledge.CompressedTargets), 60_000, "of some 350,000")
}

// Symptom: a host waits for ever for what it lacks. Sequence: the other takes the
// connection and says nothing. Cause: questions without a time-out.
func TestSilentHostIsGivenUp(t *testing.T) {
	began := time.Now()
	event := exchange(t, func(ctx context.Context, _ *messenger.SyncRequest) (*messenger.SyncResponse, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	var failure *Error
	require.ErrorAs(t, event.Err, &failure)
	require.Equal(t, KindUnreachable, failure.Kind)
	require.Less(t, time.Since(began), 10*exchangeTimeout)
}

// Small links answer one question at a time, large ones some.
func TestSmallLinksAnswerFewQuestionsAtOnce(t *testing.T) {
	require.Equal(t, 1, answersAtOnce(250_000))
	require.Equal(t, 4, answersAtOnce(25_000_000))
	require.Equal(t, 4, answersAtOnce(0))
}

// Failure: hosts that start together ask the few that know, and these compress the same list
// of thousands of targets for each of them.
func TestWholeListIsCompressedOnce(t *testing.T) {
	var x Exchanger
	first := &messenger.SyncResponse{TargetsRevision: 9, Scope: messenger.ScopeFull, Targets: targets(100)}
	require.NoError(t, x.pack(first))
	again := &messenger.SyncResponse{TargetsRevision: 9, Scope: messenger.ScopeFull, Targets: targets(100)}
	require.NoError(t, x.pack(again))
	require.Same(t, &first.CompressedTargets[0], &again.CompressedTargets[0])
	later := &messenger.SyncResponse{TargetsRevision: 10, Scope: messenger.ScopeFull, Targets: targets(101)}
	require.NoError(t, x.pack(later))
	require.NoError(t, unpackTargets(later))
	require.Len(t, later.Targets, 101)
	changes := &messenger.SyncResponse{TargetsRevision: 10, Scope: messenger.ScopeDelta, Targets: targets(1)}
	require.NoError(t, x.pack(changes))
	require.NoError(t, unpackTargets(changes))
	require.Len(t, changes.Targets, 1)
}

// Failure: a host that starts spares targets that have long been warm, because it was told a
// list that was compressed while they were cold.
func TestListWithColdTargetsIsCompressedAnew(t *testing.T) {
	var x Exchanger
	cold := targets(2)
	cold[0].WarmUp = time.Second
	require.NoError(t, x.pack(&messenger.SyncResponse{TargetsRevision: 9, Scope: messenger.ScopeFull, Targets: cold}))
	warm := &messenger.SyncResponse{TargetsRevision: 9, Scope: messenger.ScopeFull, Targets: targets(2)}
	require.NoError(t, x.pack(warm))
	require.NoError(t, unpackTargets(warm))
	require.Equal(t, targets(2), warm.Targets)
}
