// Package measurer measures how the system's costs grow: with targets, hosts,
// flows and requests. The capacity page is worked out from these slopes.
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

// The two-year target.
const (
	TargetHosts         = 610
	TargetTargets       = 3800
	TargetServices      = 2100
	TargetZones         = 7
	TargetFlows         = 19_000_000
	TargetFlowsASecond  = 30_000
	TargetChangesADay   = 790
	TargetDeathsADay    = 26
	TargetRestartsADay  = 1100
	BoundControlBytes   = 14_000
	BoundMemoryBytes    = 128 << 20
	BoundProcessorShare = 0.048
	BoundPropagation    = 9 * time.Second
)

// SettingsPoint is the cost of a settings tree of a size.
type SettingsPoint struct {
	Targets    int
	Services   int
	Bytes      int
	Compressed int
	Resolve    time.Duration
	// Adopt is the whole change of revision for a host; Change the same where
	// one target starts to drain.
	Adopt  time.Duration
	Change time.Duration
	// Memory is what a host holds with the tree and no flows.
	Memory int
}

// LargeTree is a tree with so many targets behind so many services.
func LargeTree(hosts, targets, services int) driver.SettingsTree {
	tree := driver.SettingsTree{Defaults: []string{"exchangeLifetime: 2s"}}
	for zone := range TargetZones {
		n := (hosts + TargetZones - 1 - zone) / TargetZones
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

// Settings measures one size.
func Settings(targets, services int) SettingsPoint {
	tree := LargeTree(TargetHosts, targets, services)
	document := tree.Document()
	point := SettingsPoint{Targets: targets, Services: services, Bytes: len(document)}
	began := time.Now()
	driver.MustResolve(document)
	point.Resolve = time.Since(began)

	before := heap()
	now := timekeeper.Instant(time.Second)
	host := reducer.New(reducer.Config{Self: "a1", Incarnation: 1, Seed: 1, Timing: detector.DefaultTiming(), Start: now})
	began = time.Now()
	host.Reduce(&reducer.SettingsPublished{At: now, Revision: 1, Document: document})
	point.Adopt = time.Since(began)
	tree.Services[0].DrainingTargetNumbers = tree.Services[0].TargetNumbers[:1]
	changed := tree.Document()
	began = time.Now()
	host.Reduce(&reducer.SettingsPublished{At: now, Revision: 2, Document: changed})
	point.Change = time.Since(began)
	for _, effect := range host.Reduce(&reducer.PeerMessage{At: now, From: "a2", Body: &messenger.SettingsRequest{}}) {
		if e, ok := effect.(*reducer.ToPeer); ok {
			if d, ok := e.Body.(*messenger.SettingsDocument); ok {
				point.Compressed = len(d.Compressed)
			}
		}
	}
	point.Memory = int(heap() - before)
	runtime.KeepAlive(host)
	return point
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// FleetPoint is the control traffic of a fleet without flows.
type FleetPoint struct {
	Hosts int
	// Messages and Bytes are per host and second; MaxBytes is the busiest host's.
	Messages float64
	Bytes    float64
	MaxBytes float64
	// Processor is the share of a core that a host spends, with encoding.
	Processor float64
	// Propagation is how long a revision takes until it is in force everywhere.
	Propagation time.Duration
	// Reads is how many hosts read the revision from the platform.
	Reads int
	// Probes is per host and second.
	Probes float64
}

// Fleet measures one size. The tree has few services, since the cost of
// settings is measured by itself.
func Fleet(hosts int) FleetPoint {
	tree := LargeTree(hosts, 40, 10)
	f := driver.New(1, tree.Document())
	f.Start(tree.HostNames()...)
	// The rumors of so many hosts starting at once must have died down.
	f.Step(75 * time.Second)
	f.MeasureControlBytes = true
	f.ControlMessages = 0
	f.Probes = 0
	const span = 5 * time.Second
	began := time.Now()
	f.Step(span)
	worked := time.Since(began)
	point := FleetPoint{Hosts: hosts, Messages: perHostSecond(f.ControlMessages, hosts, span)}
	total := 0
	for _, bytes := range f.ControlBytes {
		total += bytes
		point.MaxBytes = max(point.MaxBytes, float64(bytes)/span.Seconds())
	}
	point.Bytes = perHostSecond(total, hosts, span)
	point.Processor = worked.Seconds() / float64(hosts) / span.Seconds()
	point.Probes = perHostSecond(f.Probes, hosts, span)
	tree.Services[0].DrainingTargetNumbers = tree.Services[0].TargetNumbers[:1]
	reads := f.PlatformReads
	revision := f.Publish(tree.Document())
	published := f.Now
	f.StepUntil(30*time.Second, func() bool { return inForce(f, revision) })
	point.Propagation = f.Now.Until(published)
	point.Reads = f.PlatformReads - reads
	return point
}

func perHostSecond(n, hosts int, span time.Duration) float64 {
	return float64(n) / float64(hosts) / span.Seconds()
}

func inForce(f *driver.Simulation, revision uint64) bool {
	for _, name := range f.HostNames() {
		if f.Reducer(name).Revision() != revision {
			return false
		}
	}
	return true
}

// FlowPoint is the cost of the flows that one host owns.
type FlowPoint struct {
	Flows int
	// BytesAFlow is memory.
	BytesAFlow float64
	// Packet is the time for a packet of a known flow.
	Packet time.Duration
	// SweepTick is the time of the slowest of the ticks that go once through the
	// whole table.
	SweepTick time.Duration
}

// Flows measures one size.
func Flows(flows int) FlowPoint {
	tree := driver.SettingsTree{HostsPerZone: []int{1}, Services: []driver.SettingsService{{TargetNumbers: []int{1, 2, 3, 4}, AddressNumber: 1}}, Defaults: []string{"exchangeLifetime: 1s"}}
	now := timekeeper.Instant(time.Second)
	host := reducer.New(reducer.Config{Self: "a1", Incarnation: 1, Seed: 1, Timing: detector.DefaultTiming(), Start: now})
	host.Reduce(&reducer.SettingsPublished{At: now, Revision: 1, Document: tree.Document()})
	for !host.Ready() {
		now = now.Add(reducer.TickInterval)
		host.Reduce(&reducer.Tick{At: now})
	}
	before := heap()
	for n := range flows {
		host.Reduce(flowPacket(n, now))
	}
	point := FlowPoint{Flows: flows, BytesAFlow: float64(heap()-before) / float64(flows)}
	const packets = 200_000
	events := make([]*reducer.CallerPacket, 4096)
	for i := range events {
		events[i] = flowPacket(i*97%flows, now)
	}
	began := time.Now()
	for i := range packets {
		host.Reduce(events[i%len(events)])
	}
	point.Packet = time.Since(began) / packets
	for range 256 {
		now = now.Add(reducer.TickInterval)
		began = time.Now()
		host.Reduce(&reducer.Tick{At: now})
		point.SweepTick = max(point.SweepTick, time.Since(began))
	}
	return point
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

// HandoverPoint is the cost of a planned leave.
type HandoverPoint struct {
	Flows int
	// Span is from the signal until the host has left, with links of a
	// millisecond; Bytes is what the leaver sends.
	Span  time.Duration
	Bytes int
}

// Handover measures one size, in a cell of three hosts.
func Handover(flows int) HandoverPoint {
	tree := driver.SettingsTree{HostsPerZone: []int{3}, Services: []driver.SettingsService{{TargetNumbers: []int{1, 2, 3, 4}, AddressNumber: 1}}, Defaults: []string{"exchangeLifetime: 1s"}}
	f := driver.New(1, tree.Document())
	f.Start(tree.HostNames()...)
	f.Step(5 * time.Second)
	for n := range 3 * flows {
		id := driver.RequestID{Caller: flowPacket(n, 0).Caller, Service: driver.ServiceAddress(1)}
		f.SendPacket(f.Reducer("a1").Owner(keyOf(id)), id, messenger.Packet{Kind: messenger.KindControl})
		if n%1000 == 0 {
			f.Step(reducer.TickInterval)
		}
	}
	f.Step(time.Second)
	owned := f.Reducer("a1").Snapshot().Flows
	f.MeasureControlBytes = true
	began := f.Now
	f.Shutdown("a1")
	f.StepUntil(5*time.Minute, func() bool { return f.Reducer("a1").Snapshot().Phase == "left" })
	return HandoverPoint{Flows: owned, Span: f.Now.Until(began), Bytes: f.ControlBytes["a1"]}
}

func keyOf(id driver.RequestID) resolver.FlowKey {
	key, _ := resolver.NewFlowKey(id.Caller, 1)
	return key
}

// RequestPoint is the control traffic that requests cause which must run once.
type RequestPoint struct {
	ASecond int
	// BytesARequest is over both the owner and its successor.
	BytesARequest float64
}

// Requests measures one rate, over a cell of three hosts.
func Requests(aSecond int) RequestPoint {
	tree := driver.SettingsTree{HostsPerZone: []int{3}, Services: []driver.SettingsService{{TargetNumbers: []int{1, 2, 3, 4}, AddressNumber: 1}}, Defaults: []string{"exchangeLifetime: 1s", "slots: 10000"}}
	f := driver.New(1, tree.Document())
	f.Start(tree.HostNames()...)
	f.Step(5 * time.Second)
	f.MeasureControlBytes = true
	const span = 4 * time.Second
	idle := measureBytes(f, func() { f.Step(span) })
	perTick := max(1, aSecond*int(reducer.TickInterval)/int(time.Second))
	n := 0
	busy := measureBytes(f, func() {
		for end := f.Now.Add(span); f.Now < end; {
			for range perTick {
				n++
				id := driver.RequestID{Caller: flowPacket(n, 0).Caller, Service: driver.ServiceAddress(1), Exchange: messenger.Exchange{MessageID: uint16(n), Token: uint64(n), TokenLength: 8}}
				f.SendPacketAfter(time.Duration(n%20)*time.Millisecond, "", id, messenger.Packet{Kind: messenger.KindRequest, Flags: messenger.FlagOpensFlow})
			}
			f.Step(reducer.TickInterval)
		}
	})
	return RequestPoint{ASecond: n * int(time.Second) / int(span), BytesARequest: float64(busy-idle) / float64(n)}
}

func measureBytes(f *driver.Simulation, do func()) int {
	clear(f.ControlBytes)
	do()
	total := 0
	for _, bytes := range f.ControlBytes {
		total += bytes
	}
	return total
}

// String is a row for people.
func (p FleetPoint) String() string {
	return fmt.Sprintf("%d hosts: %.1f messages and %.0f bytes a second, %s", p.Hosts, p.Messages, p.Bytes, p.Propagation)
}
