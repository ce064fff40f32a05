package steerer_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"cranberryspan.dev/core/encoder"
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/sequencer"
	"cranberryspan.dev/core/steerer"
	"cranberryspan.dev/core/timekeeper"
)

// The large fleet of these benchmarks: hosts and targets of three zones, whose callers
// open a flow for each request.
const (
	largeHosts   = 300
	largeTargets = 480
	// busyTargets is how many targets each host has requests at.
	busyTargets = 3
)

// largeHost is one host that hears of all others.
type largeHost struct {
	steerer *steerer.Steerer
	sealer  *encoder.Sealer
	now     timekeeper.Instant
	// reports are one from each other host, those of the own zone first.
	near    []*steerer.ReportReceived
	far     []*steerer.ReportReceived
	callers int
	sent    []*steerer.SendReport
}

func newLargeHost() *largeHost {
	h := &largeHost{now: timekeeper.Instant(2 * time.Second), sealer: encoder.New("a1", nil)}
	h.steerer = steerer.New(steerer.Config{
		Self: "a1", Address: netip.MustParseAddrPort("10.1.0.1:7000"), AvailabilityZone: "a", MaxFlows: 100_000,
		SettingsWithin: 5 * time.Second, DrainingWithin: 5 * time.Second, LinkBytesPerSecond: 1_250_000, Start: timekeeper.Instant(time.Second),
	})
	h.steerer.Reduce(&steerer.SettingsRead{At: h.now, Started: h.now, Published: steerer.Published{Settings: settingsOf(1, objectiveRoutes())}})
	var list []steerer.Target
	for n := range largeTargets {
		id := fmt.Sprintf("i-%08x", 0x10000000+n)
		number, _ := steerer.NumberOf(id)
		list = append(list, steerer.Target{ID: id, Number: number, Service: "ledger", AvailabilityZone: string(rune('a' + n%3)), Slots: 2, Address: netip.MustParseAddrPort("10.64.0.1:8080")})
	}
	h.steerer.Reduce(&steerer.TargetsRead{At: h.now, Started: h.now, List: steerer.TargetList{Position: sequencer.At(0, 1), Targets: list}})
	for n := 1; n < largeHosts; n++ {
		h.addPeer(n, list)
	}
	for _, r := range append(h.near, h.far...) {
		h.receive(r)
	}
	return h
}

// addPeer makes the report of another host.
func (h *largeHost) addPeer(n int, targets []steerer.Target) {
	zone := n % 3
	name := fmt.Sprintf("%c%d", 'a'+zone, n)
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(zone + 1), byte(n >> 8), byte(n)}), 7000)
	r := &messenger.Report{
		Address: address, AvailabilityZone: string(rune('a' + zone)), Incarnation: 1, LinkBytesPerSecond: 1_250_000,
		Version: 1, TargetsRevision: 1, TargetsDigest: 1, Uptime: time.Minute,
	}
	e := &steerer.ReportReceived{From: name, Report: r}
	if zone != 0 {
		r.ZoneHosts = largeHosts / 3
		h.far = append(h.far, e)
		return
	}
	r.Busy = map[uint32]uint16{}
	for i := range busyTargets {
		r.Busy[uint32(targets[(n+i*100)%largeTargets].Number)] = 1
	}
	h.near = append(h.near, e)
}

func (h *largeHost) receive(e *steerer.ReportReceived) {
	e.At = h.now
	h.steerer.Reduce(e)
}

// tick lets a tick pass, and seals the reports that come of it.
func (h *largeHost) tick() {
	h.now = h.now.Add(steerer.TickEvery)
	for _, effect := range h.steerer.Reduce(&steerer.Tick{At: h.now}) {
		switch e := effect.(type) {
		case *steerer.SendReport:
			h.sent = append(h.sent, e)
		case *steerer.ReadSettings:
			h.steerer.Reduce(&steerer.SettingsRead{At: h.now, Started: h.now, Published: steerer.Published{Settings: settingsOf(1, objectiveRoutes())}})
		case *steerer.ReadTargets:
			h.steerer.Reduce(&steerer.TargetsRead{At: h.now, Started: h.now, Err: errDown})
		}
	}
}

// flow is a request that opens a flow, is answered, and ends it.
func (h *largeHost) flow(f *fleet) {
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
			if e, ok := effect.(*steerer.ToTarget); ok && step == 0 {
				c.tag = e.Tag
			}
		}
		h.now = h.now.Add(10 * time.Microsecond)
	}
}

// BenchmarkLargeReport takes in a report of a host of the own zone, or of another, of
// which some come between two ticks.
func BenchmarkLargeReport(b *testing.B) {
	h := newLargeHost()
	for _, part := range []struct {
		name string
		from []*steerer.ReportReceived
	}{{"near", h.near}, {"far", h.far}} {
		b.Run(part.name, func(b *testing.B) {
			b.ReportAllocs()
			for n := range b.N {
				if n%16 == 0 {
					b.StopTimer()
					h.second()
					b.StartTimer()
				}
				h.receive(part.from[n%len(part.from)])
			}
		})
	}
}

// second lets a second pass in which nothing comes.
func (h *largeHost) second() {
	for range 20 {
		h.tick()
	}
	h.sent = h.sent[:0]
}

// BenchmarkLargeTick lets ticks pass, of which one in five sends a round of reports.
func BenchmarkLargeTick(b *testing.B) {
	h := newLargeHost()
	b.ReportAllocs()
	for n := range b.N {
		h.receive(h.near[n%len(h.near)])
		h.sent = h.sent[:0]
		h.tick()
	}
}

// BenchmarkLargeFlow carries requests with a flow of their own, four packets of a caller
// each, 20 a second.
func BenchmarkLargeFlow(b *testing.B) {
	h, f := newLargeHost(), &fleet{}
	b.ReportAllocs()
	for n := range b.N {
		if n%20 == 0 {
			b.StopTimer()
			h.second()
			b.StartTimer()
		}
		h.flow(f)
	}
}

// BenchmarkLargeSecond is a second of a host: 20 ticks, 12 reports of the own zone and 4
// of others, 20 flows, and the reports that it seals.
func BenchmarkLargeSecond(b *testing.B) {
	h, f := newLargeHost(), &fleet{}
	near, far := 0, 0
	sealed := [2]int{}
	reports := [2]int{}
	b.ReportAllocs()
	for b.Loop() {
		for tick := range 20 {
			h.flow(f)
			if tick%5 != 0 {
				h.receive(h.near[near%len(h.near)])
				near++
			}
			if tick%5 == 0 {
				h.receive(h.far[far%len(h.far)])
				far++
			}
			h.tick()
			for _, e := range h.sent {
				data, err := h.sealer.Seal(e.Host, e.Report)
				if err != nil {
					b.Fatal(err)
				}
				kind := 0
				if e.Report.ZoneHosts != 0 {
					kind = 1
				}
				sealed[kind] += len(data)
				reports[kind]++
			}
			h.sent = h.sent[:0]
		}
	}
	b.ReportMetric(float64(sealed[0])/float64(max(reports[0], 1)), "B/near")
	b.ReportMetric(float64(sealed[1])/float64(max(reports[1], 1)), "B/far")
	b.ReportMetric(float64(reports[0]+reports[1])/float64(b.N), "reports")
}
