// Package measurer measures how the costs of the system grow with the numbers of targets, hosts,
// flows and requests. The capacity estimates are derived from these measurements.
package measurer

import (
	"fmt"
	"net/netip"
	"runtime"
	"time"

	"cranberryspan.dev/core/detector"
	"cranberryspan.dev/core/driver"
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/reducer"
	"cranberryspan.dev/core/resolver"
	"cranberryspan.dev/core/timekeeper"
)

// The planned size in two years, and the limits that must hold at this size.
const (
	PlannedHosts             = 610
	PlannedTargets           = 3800
	PlannedServices          = 2100
	PlannedZones             = 7
	PlannedFlows             = 19_000_000
	PlannedNewFlowsPerSecond = 30_000
	PlannedChangesPerDay     = 790
	PlannedHostCrashesPerDay = 26
	PlannedRestartsPerDay    = 1100
	MaxControlBytesPerSecond = 14_000
	MaxMemoryBytes           = 128 << 20
	MaxCPUShare              = 0.048
	MaxPropagation           = 9 * time.Second
)

// SettingsCost is the cost of a settings tree of a given size.
type SettingsCost struct {
	Targets         int
	Services        int
	DocumentBytes   int
	CompressedBytes int
	ResolveTime     time.Duration
	// AdoptTime is the time in which a host adopts its first revision, ChangeTime the time in
	// which it adopts a revision in which one target starts to drain.
	AdoptTime  time.Duration
	ChangeTime time.Duration
	// MemoryBytes is the heap memory of a host with the tree and without flows.
	MemoryBytes int
}

// LargeSettings returns a tree with the given numbers of hosts, targets and services.
func LargeSettings(hosts, targets, services int) driver.SettingsTree {
	tree := driver.SettingsTree{Defaults: []string{"exchangeLifetime: 2s"}}
	for zone := range PlannedZones {
		n := (hosts + PlannedZones - 1 - zone) / PlannedZones
		tree.HostsPerZone = append(tree.HostsPerZone, n)
		tree.CellsPerZone = max(tree.CellsPerZone, (n+resolver.MaxCellHosts-1)/resolver.MaxCellHosts)
	}
	next := 1
	for i := range services {
		n := targets*(i+1)/services - targets*i/services
		s := driver.SettingsService{AddressNumber: i + 1}
		for range n {
			s.TargetNumbers = append(s.TargetNumbers, next)
			next++
		}
		tree.Services = append(tree.Services, s)
	}
	return tree
}

// MeasureSettings measures the cost of a settings tree of one size.
func MeasureSettings(targets, services int) SettingsCost {
	tree := LargeSettings(PlannedHosts, targets, services)
	document := tree.Document()
	cost := SettingsCost{Targets: targets, Services: services, DocumentBytes: len(document)}
	startedAt := time.Now()
	driver.MustResolve(document)
	cost.ResolveTime = time.Since(startedAt)

	before := heapBytes()
	now := timekeeper.Instant(time.Second)
	host := reducer.New(reducer.Config{Self: "a1", Incarnation: 1, Seed: 1, Timing: detector.DefaultTiming(), Start: now})
	startedAt = time.Now()
	host.Reduce(&reducer.SettingsPublished{At: now, Revision: 1, Document: document})
	cost.AdoptTime = time.Since(startedAt)
	tree.Services[0].DrainingTargetNumbers = tree.Services[0].TargetNumbers[:1]
	changed := tree.Document()
	startedAt = time.Now()
	host.Reduce(&reducer.SettingsPublished{At: now, Revision: 2, Document: changed})
	cost.ChangeTime = time.Since(startedAt)
	for _, effect := range host.Reduce(&reducer.PeerMessage{At: now, From: "a2", Body: &messenger.SettingsRequest{}}) {
		if e, ok := effect.(*reducer.ToPeer); ok {
			if d, ok := e.Body.(*messenger.SettingsDocument); ok {
				cost.CompressedBytes = len(d.Compressed)
			}
		}
	}
	cost.MemoryBytes = int(heapBytes() - before)
	runtime.KeepAlive(host)
	return cost
}

// heapBytes returns the size of the heap after garbage collection. It collects twice, since the
// contents of a sync.Pool survive the first collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// FleetCost is the control traffic of a fleet without flows.
type FleetCost struct {
	Hosts int
	// MessagesPerSecond and BytesPerSecond are means over all hosts, MaxBytesPerSecond is the
	// value of the busiest host.
	MessagesPerSecond float64
	BytesPerSecond    float64
	MaxBytesPerSecond float64
	// CPUShare is the fraction of a core that a host uses, including encoding.
	CPUShare float64
	// Propagation is the time until a revision is in force at all hosts.
	Propagation time.Duration
	// PlatformReads is the number of hosts that read the revision from the platform.
	PlatformReads int
	// ProbesPerSecond is the mean over all hosts.
	ProbesPerSecond float64
}

// MeasureFleet measures the cost of a fleet of one size. The tree has few services, since the
// cost of settings is measured separately.
func MeasureFleet(hosts int) FleetCost {
	tree := LargeSettings(hosts, 40, 10)
	simulation := driver.New(1, tree.Document())
	simulation.Start(tree.HostNames()...)
	// Wait until the gossip about the simultaneous start of all hosts has ended.
	simulation.Step(75 * time.Second)
	simulation.MeasureControlBytes = true
	simulation.ControlMessages = 0
	simulation.Probes = 0
	const duration = 5 * time.Second
	startedAt := time.Now()
	simulation.Step(duration)
	elapsed := time.Since(startedAt)
	cost := FleetCost{Hosts: hosts, MessagesPerSecond: perHostPerSecond(simulation.ControlMessages, hosts, duration)}
	total := 0
	for _, bytes := range simulation.ControlBytes {
		total += bytes
		cost.MaxBytesPerSecond = max(cost.MaxBytesPerSecond, float64(bytes)/duration.Seconds())
	}
	cost.BytesPerSecond = perHostPerSecond(total, hosts, duration)
	cost.CPUShare = elapsed.Seconds() / float64(hosts) / duration.Seconds()
	cost.ProbesPerSecond = perHostPerSecond(simulation.Probes, hosts, duration)
	tree.Services[0].DrainingTargetNumbers = tree.Services[0].TargetNumbers[:1]
	reads := simulation.PlatformReads
	revision := simulation.Publish(tree.Document())
	published := simulation.Now
	simulation.StepUntil(30*time.Second, func() bool { return inForceEverywhere(simulation, revision) })
	cost.Propagation = simulation.Now.Until(published)
	cost.PlatformReads = simulation.PlatformReads - reads
	return cost
}

func perHostPerSecond(n, hosts int, duration time.Duration) float64 {
	return float64(n) / float64(hosts) / duration.Seconds()
}

func inForceEverywhere(simulation *driver.Simulation, revision uint64) bool {
	for _, name := range simulation.HostNames() {
		if simulation.Reducer(name).Revision() != revision {
			return false
		}
	}
	return true
}

// FlowCost is the cost of the flows that a host owns.
type FlowCost struct {
	Flows int
	// BytesPerFlow is the heap memory per flow.
	BytesPerFlow float64
	// PacketTime is the time to process a packet of a known flow.
	PacketTime time.Duration
	// SlowestTick is the time of the slowest tick during one sweep of the full flow table.
	SlowestTick time.Duration
}

// MeasureFlows measures the cost of the given number of flows at one host.
func MeasureFlows(flows int) FlowCost {
	tree := driver.SettingsTree{HostsPerZone: []int{1}, Services: []driver.SettingsService{{TargetNumbers: []int{1, 2, 3, 4}, AddressNumber: 1}}, Defaults: []string{"exchangeLifetime: 1s"}}
	now := timekeeper.Instant(time.Second)
	host := reducer.New(reducer.Config{Self: "a1", Incarnation: 1, Seed: 1, Timing: detector.DefaultTiming(), Start: now})
	host.Reduce(&reducer.SettingsPublished{At: now, Revision: 1, Document: tree.Document()})
	for !host.Ready() {
		now = now.Add(reducer.TickInterval)
		host.Reduce(&reducer.Tick{At: now})
	}
	before := heapBytes()
	for n := range flows {
		host.Reduce(callerPacket(n, now))
	}
	cost := FlowCost{Flows: flows, BytesPerFlow: float64(heapBytes()-before) / float64(flows)}
	const packets = 200_000
	// The flows of consecutive events are 97 apart, which spreads them over the flow table.
	events := make([]*reducer.CallerPacket, 4096)
	for i := range events {
		events[i] = callerPacket(i*97%flows, now)
	}
	startedAt := time.Now()
	for i := range packets {
		host.Reduce(events[i%len(events)])
	}
	cost.PacketTime = time.Since(startedAt) / packets
	// Each tick sweeps one of the 256 shards of the flow table.
	for range 256 {
		now = now.Add(reducer.TickInterval)
		startedAt = time.Now()
		host.Reduce(&reducer.Tick{At: now})
		cost.SlowestTick = max(cost.SlowestTick, time.Since(startedAt))
	}
	return cost
}

func callerPacket(n int, now timekeeper.Instant) *reducer.CallerPacket {
	return &reducer.CallerPacket{
		At:      now,
		Arrived: now,
		Caller:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, byte(n >> 16), byte(n >> 8), byte(n)}), 40000),
		Service: driver.ServiceAddress(1),
		Packet:  messenger.Packet{Kind: messenger.KindControl},
	}
}

// HandoverCost is the cost of a graceful shutdown.
type HandoverCost struct {
	Flows int
	// Duration is the time from the start of the shutdown until the host has left, with the
	// link latency driver.MessageLatency; Bytes is the control traffic sent by the host that
	// shuts down.
	Duration time.Duration
	Bytes    int
}

// MeasureHandover measures the graceful shutdown of a host with about the given number of flows,
// in a cell of three hosts.
func MeasureHandover(flows int) HandoverCost {
	tree := driver.SettingsTree{HostsPerZone: []int{3}, Services: []driver.SettingsService{{TargetNumbers: []int{1, 2, 3, 4}, AddressNumber: 1}}, Defaults: []string{"exchangeLifetime: 1s"}}
	simulation := driver.New(1, tree.Document())
	simulation.Start(tree.HostNames()...)
	simulation.Step(5 * time.Second)
	for n := range 3 * flows {
		id := driver.RequestID{Caller: callerPacket(n, 0).Caller, Service: driver.ServiceAddress(1)}
		simulation.SendPacket(simulation.Reducer("a1").Owner(flowKeyOf(id)), id, messenger.Packet{Kind: messenger.KindControl})
		if n%1000 == 0 {
			simulation.Step(reducer.TickInterval)
		}
	}
	simulation.Step(time.Second)
	owned := simulation.Reducer("a1").Snapshot().Flows
	simulation.MeasureControlBytes = true
	startedAt := simulation.Now
	simulation.Shutdown("a1")
	simulation.StepUntil(5*time.Minute, func() bool { return simulation.Reducer("a1").Snapshot().Phase == "left" })
	return HandoverCost{Flows: owned, Duration: simulation.Now.Until(startedAt), Bytes: simulation.ControlBytes["a1"]}
}

func flowKeyOf(id driver.RequestID) resolver.FlowKey {
	key, _ := resolver.NewFlowKey(id.Caller, 1)
	return key
}

// RequestCost is the control traffic caused by non-idempotent requests.
type RequestCost struct {
	RequestsPerSecond int
	// BytesPerRequest is the number of control bytes per request that all hosts of the cell
	// send, beyond those that they send without requests.
	BytesPerRequest float64
}

// MeasureRequests measures the cost at one request rate, in a cell of three hosts.
func MeasureRequests(perSecond int) RequestCost {
	tree := driver.SettingsTree{HostsPerZone: []int{3}, Services: []driver.SettingsService{{TargetNumbers: []int{1, 2, 3, 4}, AddressNumber: 1}}, Defaults: []string{"exchangeLifetime: 1s", "slots: 10000"}}
	simulation := driver.New(1, tree.Document())
	simulation.Start(tree.HostNames()...)
	simulation.Step(5 * time.Second)
	simulation.MeasureControlBytes = true
	const duration = 4 * time.Second
	idleBytes := controlBytesDuring(simulation, func() { simulation.Step(duration) })
	perTick := max(1, perSecond*int(reducer.TickInterval)/int(time.Second))
	n := 0
	loadedBytes := controlBytesDuring(simulation, func() {
		for end := simulation.Now.Add(duration); simulation.Now < end; {
			for range perTick {
				n++
				id := driver.RequestID{Caller: callerPacket(n, 0).Caller, Service: driver.ServiceAddress(1), Exchange: messenger.Exchange{MessageID: uint16(n), Token: uint64(n), TokenLength: 8}}
				simulation.SendPacketAfter(time.Duration(n%20)*time.Millisecond, "", id, messenger.Packet{Kind: messenger.KindRequest, Flags: messenger.FlagOpensFlow})
			}
			simulation.Step(reducer.TickInterval)
		}
	})
	return RequestCost{RequestsPerSecond: n * int(time.Second) / int(duration), BytesPerRequest: float64(loadedBytes-idleBytes) / float64(n)}
}

func controlBytesDuring(simulation *driver.Simulation, action func()) int {
	clear(simulation.ControlBytes)
	action()
	total := 0
	for _, bytes := range simulation.ControlBytes {
		total += bytes
	}
	return total
}

// String returns a one-line summary.
func (c FleetCost) String() string {
	return fmt.Sprintf("%d hosts: %.1f messages and %.0f bytes a second, %s", c.Hosts, c.MessagesPerSecond, c.BytesPerSecond, c.Propagation)
}
