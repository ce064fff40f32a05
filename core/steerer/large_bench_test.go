package steerer_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"cranberryspan.dev/core/encoder"
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/sequencer"
	"cranberryspan.dev/core/steerer"
	"cranberryspan.dev/core/timekeeper"
)

// largeFleet is the size of a fleet whose callers open a flow for each request.
type largeFleet struct {
	hosts   int
	targets int
	zones   int
}

// largeFleets are the fleets of these benchmarks. Each of the last two is twice the size of
// the one before.
var largeFleets = []largeFleet{
	{hosts: 300, targets: 480, zones: 3},
	{hosts: 300, targets: 3000, zones: 5},
	{hosts: 585, targets: 6000, zones: 5},
	{hosts: 1170, targets: 12000, zones: 5},
}

func (l largeFleet) String() string { return fmt.Sprintf("%dx%d", l.hosts, l.targets) }

// zone returns the zone of the host or target with a number.
func (l largeFleet) zone(n int) string { return string(rune('a' + n%l.zones)) }

const (
	// busyTargets is how many targets have requests of a given host in flight.
	busyTargets = 3
	// maxFlowsPerTarget is the connection limit of a target.
	maxFlowsPerTarget = 2000
)

// settings are those of two services with many flows per target.
func (l largeFleet) settings() *steerer.Settings {
	services := []steerer.Service{
		{Name: "ledger", HealthPath: "/healthz", MaxConnections: maxFlowsPerTarget},
		{Name: "intake", HealthPath: "/healthz", MaxConnections: maxFlowsPerTarget},
	}
	return steerer.NewSettings(1, objectiveRoutes(), services, 15*time.Second)
}

// list returns the fleet's targets: one in five belongs to intake, the others to ledger.
func (l largeFleet) list() []steerer.Target {
	var list []steerer.Target
	for n := range l.targets {
		id := fmt.Sprintf("i-%08x", 0x10000000+n)
		number, _ := steerer.ParseTargetNumber(id)
		service := "ledger"
		if n/l.zones%5 == 4 {
			service = "intake"
		}
		list = append(list, steerer.Target{ID: id, Number: number, Service: service, AvailabilityZone: l.zone(n), Slots: 2, Address: netip.MustParseAddrPort("10.64.0.1:8080")})
	}
	return list
}

// largeHost is one host that gets reports from all others.
type largeHost struct {
	fleet   largeFleet
	targets []steerer.Target
	steerer *steerer.Steerer
	codec   *encoder.MessageCodec
	now     timekeeper.Instant
	// sameZone and crossZone hold one report from each other host of the local zone and of
	// other zones.
	sameZone  []*steerer.ReportReceived
	crossZone []*steerer.ReportReceived
	callers   int
	sent      []*steerer.SendReport
	// syncRequests are the sync requests to other hosts; syncRequestPending says that the last
	// one has no response yet.
	syncRequests       []*steerer.SendSyncRequest
	syncRequestPending bool
	// reports and changes count what the host received; revision is that of the last change.
	reports  int
	changes  int
	revision uint64
}

func newLargeHost(l largeFleet) *largeHost {
	h := &largeHost{fleet: l, targets: l.list(), now: timekeeper.Instant(2 * time.Second), revision: 1, codec: encoder.New("a0", nil)}
	h.steerer = steerer.New(steerer.Config{
		Self: "a0", Address: netip.MustParseAddrPort("10.1.0.1:7000"), AvailabilityZone: "a", MaxFlows: 100_000,
		SettingsPropagationLimit: 5 * time.Second, DrainingPropagationLimit: 5 * time.Second, LinkBytesPerSecond: 1_250_000, Start: timekeeper.Instant(time.Second),
	})
	h.steerer.Reduce(&steerer.SettingsRead{At: h.now, Started: h.now, Published: steerer.Published{Settings: l.settings()}})
	h.steerer.Reduce(&steerer.TargetsRead{At: h.now, Started: h.now, List: steerer.TargetList{Position: sequencer.At(0, 1), Targets: h.targets}})
	for n := 1; n < l.hosts; n++ {
		h.addPeer(n)
	}
	for _, r := range append(h.sameZone, h.crossZone...) {
		h.receive(r)
	}
	return h
}

// addPeer creates the report of another host.
func (h *largeHost) addPeer(n int) {
	zone := n % h.fleet.zones
	name := fmt.Sprintf("%s%d", h.fleet.zone(n), n)
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(zone + 1), byte(n >> 8), byte(n)}), 7000)
	r := &messenger.Report{
		Address: address, AvailabilityZone: h.fleet.zone(n), Incarnation: 1, LinkBytesPerSecond: 1_250_000,
		SettingsRevision: 1, TargetsRevision: 1, TargetsDigest: 1, Uptime: time.Minute,
	}
	e := &steerer.ReportReceived{From: name, Report: r}
	if zone != 0 {
		r.ReceiverZoneHosts = h.fleet.hosts / h.fleet.zones
		h.crossZone = append(h.crossZone, e)
		return
	}
	r.InFlight = map[uint32]uint16{}
	for i := range busyTargets {
		r.InFlight[uint32(h.targets[(n+i*100)%h.fleet.targets].Number)] = 1
	}
	h.sameZone = append(h.sameZone, e)
}

func (h *largeHost) receive(e *steerer.ReportReceived) {
	e.At = h.now
	h.perform(h.steerer.Reduce(e))
}

// tick advances the clock by one tick and collects the reports that the host sends.
func (h *largeHost) tick() {
	h.now = h.now.Add(steerer.TickInterval)
	h.perform(h.steerer.Reduce(&steerer.Tick{At: h.now}))
}

func (h *largeHost) perform(effects []steerer.Effect) {
	for _, effect := range slices.Clone(effects) {
		switch e := effect.(type) {
		case *steerer.SendReport:
			h.sent = append(h.sent, e)
		case *steerer.SendSyncRequest:
			h.syncRequests = append(h.syncRequests, e)
			h.syncRequestPending = true
		case *steerer.ReadSettings:
			h.steerer.Reduce(&steerer.SettingsRead{At: h.now, Started: h.now, Published: steerer.Published{Settings: h.fleet.settings()}})
		case *steerer.ReadTargets:
			h.steerer.Reduce(&steerer.TargetsRead{At: h.now, Started: h.now, Err: errPlatformDown})
		}
	}
}

// runFlow opens a flow, sends a request on it, acknowledges the response and closes the flow.
func (h *largeHost) runFlow(f *fleet) {
	h.callers++
	c := f.caller(h.callers%50_000, checkRoute)
	for step, p := range []steerer.Packet{c.packet(steerer.FlagOpen, 0, "open"), c.packet(steerer.FlagAck, 100, "ask"), c.packet(steerer.FlagAck, 0, "thank"), c.packet(steerer.FlagAck|steerer.FlagEnd, 0, "end")} {
		switch step {
		case 0:
			p.Acknowledged = 0
		case 2, 3:
			p.Acknowledged += 500
			p.Sequence += 100
		}
		if step > 0 {
			p.Tag = c.tag
		}
		for _, effect := range h.steerer.Reduce(&steerer.CallerPacket{At: h.now, Packet: p}) {
			if e, ok := effect.(*steerer.ForwardPacket); ok && step == 0 {
				c.tag = e.Tag
			}
		}
		h.now = h.now.Add(10 * time.Microsecond)
	}
}

// receiveChanges receives a report of a host of the local zone with changes of some targets:
// each begins to drain, and is ready again at its next change.
func (h *largeHost) receiveChanges(count int) {
	r := *h.sameZone[h.reports%len(h.sameZone)].Report
	h.reports++
	h.revision++
	r.TargetsRevision = h.revision
	for range count {
		t := &h.targets[h.changes%len(h.targets)]
		h.changes++
		t.Draining = !t.Draining
		r.TargetChanges = append(r.TargetChanges, messenger.TargetState{
			ID: t.ID, Revision: h.revision, Service: t.Service, Address: t.Address,
			AvailabilityZone: t.AvailabilityZone, Slots: t.Slots, Draining: t.Draining,
		})
	}
	h.receive(&steerer.ReportReceived{From: h.sameZone[(h.reports-1)%len(h.sameZone)].From, Report: &r})
}

// runSecond simulates a second of a host: 20 ticks, 16 reports of the local zone and 4 of
// others, and the given number of flows. Each report of the local zone contains the given
// number of changes.
func (h *largeHost) runSecond(f *fleet, flows, changes int) {
	for tick := range 20 {
		for range flows / 20 {
			h.runFlow(f)
		}
		if tick%5 == 0 {
			h.receive(h.crossZone[h.reports%len(h.crossZone)])
			h.reports++
		} else {
			h.receiveChanges(changes)
		}
		h.tick()
	}
}

// runIdleSecond simulates a second in which the host receives nothing, and discards the reports
// that it sends.
func (h *largeHost) runIdleSecond() {
	for range 20 {
		h.tick()
	}
	h.sent = h.sent[:0]
}

// eachFleet runs a benchmark at each size.
func eachFleet(b *testing.B, run func(b *testing.B, h *largeHost)) {
	for _, l := range largeFleets {
		b.Run(l.String(), func(b *testing.B) {
			h := newLargeHost(l)
			b.ReportAllocs()
			b.ResetTimer()
			run(b, h)
		})
	}
}

// BenchmarkLargeReport receives reports of hosts of the local zone, or of other zones, in
// batches of 16 without a tick in between.
func BenchmarkLargeReport(b *testing.B) {
	for _, sameZone := range []bool{true, false} {
		b.Run(fmt.Sprintf("near=%v", sameZone), func(b *testing.B) {
			eachFleet(b, func(b *testing.B, h *largeHost) {
				from := h.crossZone
				if sameZone {
					from = h.sameZone
				}
				for n := range b.N {
					if n%16 == 0 {
						b.StopTimer()
						h.runIdleSecond()
						b.StartTimer()
					}
					h.receive(from[n%len(from)])
				}
			})
		})
	}
}

// BenchmarkLargeTick runs ticks, one in five of which sends a round of reports.
func BenchmarkLargeTick(b *testing.B) {
	eachFleet(b, func(b *testing.B, h *largeHost) {
		for n := range b.N {
			h.receive(h.sameZone[n%len(h.sameZone)])
			h.sent = h.sent[:0]
			h.tick()
		}
	})
}

// BenchmarkLargeFlow handles requests with a flow of their own, four packets of a caller each,
// 20 per second.
func BenchmarkLargeFlow(b *testing.B) {
	eachFleet(b, func(b *testing.B, h *largeHost) {
		f := &fleet{}
		for n := range b.N {
			if n%20 == 0 {
				b.StopTimer()
				h.runIdleSecond()
				b.StartTimer()
			}
			h.runFlow(f)
		}
	})
}

// BenchmarkLargeSecond is a second of a host with 20 flows, idle or during a release,
// including the encoding of the reports that it sends.
func BenchmarkLargeSecond(b *testing.B) {
	for _, changes := range []int{0, 3} {
		b.Run(fmt.Sprintf("changes=%d", 16*changes), func(b *testing.B) {
			eachFleet(b, func(b *testing.B, h *largeHost) { h.benchSeconds(b, changes) })
		})
	}
}

// benchSeconds runs simulated seconds and measures the reports that the host sends: how many
// per second, and the mean encoded size of those to the local zone and of those to other
// zones, which are the ones that set ReceiverZoneHosts.
func (h *largeHost) benchSeconds(b *testing.B, changes int) {
	f := &fleet{}
	encodedBytes := [2]int{}
	reports := [2]int{}
	for b.Loop() {
		h.runSecond(f, 20, changes)
		for _, e := range h.sent {
			data, err := h.codec.Encode(e.Host, e.Report)
			if err != nil {
				b.Fatal(err)
			}
			kind := 0
			if e.Report.ReceiverZoneHosts != 0 {
				kind = 1
			}
			encodedBytes[kind] += len(data)
			reports[kind]++
		}
		h.sent = h.sent[:0]
	}
	b.ReportMetric(float64(encodedBytes[0])/float64(max(reports[0], 1)), "B/near")
	b.ReportMetric(float64(encodedBytes[1])/float64(max(reports[1], 1)), "B/far")
	b.ReportMetric(float64(reports[0]+reports[1])/float64(b.N), "reports")
}
