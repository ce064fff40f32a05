package reducer_test

import (
	"net/netip"
	"runtime"
	"testing"
	"time"

	"cranberryspan.dev/core/detector"
	"cranberryspan.dev/core/driver"
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/reducer"
	"cranberryspan.dev/core/timekeeper"
	"github.com/stretchr/testify/require"
)

// readySingleHost returns a ready host that owns all flows, and its current time.
func readySingleHost(tb testing.TB) (*reducer.Reducer, timekeeper.Instant) {
	tb.Helper()
	tree := threeZoneTree()
	tree.HostsPerZone = []int{1}
	tree.Defaults = []string{"exchangeLifetime: 1s", "slots: 10000", "queueLength: 0"}
	now := timekeeper.Instant(time.Second)
	host := reducer.New(reducer.Config{Self: "a1", Incarnation: 1, Seed: 1, Timing: detector.DefaultTiming(), Start: now})
	host.Reduce(&reducer.SettingsPublished{At: now, Revision: 1, Document: tree.Document()})
	for !host.Ready() {
		now = now.Add(reducer.TickInterval)
		host.Reduce(&reducer.Tick{At: now})
	}
	return host, now
}

func flowPacket(n int, now timekeeper.Instant) *reducer.CallerPacket {
	return &reducer.CallerPacket{
		At:      now,
		Arrived: now,
		Caller:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, byte(n >> 16), byte(n >> 8), byte(n)}), 40000),
		Service: driver.ServiceAddress(1),
		Packet:  messenger.Packet{Kind: messenger.KindControl},
	}
}

const manyFlows = 400_000

// addFlows adds manyFlows flows to a host's flow table.
func addFlows(host *reducer.Reducer, now timekeeper.Instant) {
	for n := range manyFlows {
		host.Reduce(flowPacket(n, now))
	}
}

// BenchmarkKnownFlow measures the handling of a packet whose flow is one of 400,000
// in the owner's flow table.
func BenchmarkKnownFlow(b *testing.B) {
	host, now := readySingleHost(b)
	addFlows(host, now)
	events := make([]*reducer.CallerPacket, 4096)
	for i := range events {
		events[i] = flowPacket(i*97%manyFlows, now)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		host.Reduce(events[i%len(events)])
	}
}

// BenchmarkRequestAndAnswer measures the handling of an idempotent request and its
// response on a flow in the flow table.
func BenchmarkRequestAndAnswer(b *testing.B) {
	host, now := readySingleHost(b)
	addFlows(host, now)
	request := flowPacket(5, now)
	request.Packet.Kind = messenger.KindRequest
	request.Packet.Flags = messenger.FlagIdempotent | messenger.FlagOpensFlow
	response := &reducer.TargetPacket{At: now}
	tick := &reducer.Tick{}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		request.Packet.Exchange = messenger.Exchange{MessageID: uint16(i), Token: uint64(i), TokenLength: 8}
		for _, effect := range host.Reduce(request) {
			if e, ok := effect.(*reducer.ToTarget); ok {
				response.Target, response.Return = e.Target, e.Return
			}
		}
		response.Packet = messenger.Packet{Kind: messenger.KindResponse, Flags: messenger.FlagPiggybacked, Exchange: request.Packet.Exchange}
		host.Reduce(response)
		if i%100 == 0 {
			tick.At = now
			host.Reduce(tick)
		}
	}
}

// Guards against a higher cost per flow: a packet of a flow in the flow table must
// not allocate, and a flow must take less than 128 bytes of memory.
func TestKnownFlowCost(t *testing.T) {
	host, now := readySingleHost(t)
	before := heapBytes()
	addFlows(host, now)
	perFlow := float64(heapBytes()-before) / manyFlows
	t.Logf("%.1f bytes a flow", perFlow)
	require.Less(t, perFlow, 128.0)
	event := flowPacket(77, now)
	host.Reduce(event)
	require.Zero(t, testing.AllocsPerRun(1000, func() { host.Reduce(event) }))
	runtime.KeepAlive(host)
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
