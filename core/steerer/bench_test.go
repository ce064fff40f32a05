package steerer_test

import (
	"flag"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"cranberryspan.dev/core/encoder"
	"cranberryspan.dev/core/sequencer"
	"cranberryspan.dev/core/steerer"
	"cranberryspan.dev/core/timekeeper"
	"github.com/stretchr/testify/require"
)

// hostWithoutPeers returns a host without peers that has the given number of ledger targets.
func hostWithoutPeers(targets, maxFlows int) *steerer.Steerer {
	s := steerer.New(steerer.Config{Self: "a1", AvailabilityZone: "a", MaxFlows: maxFlows, SettingsPropagationLimit: 3 * time.Second, DrainingPropagationLimit: 3 * time.Second, Start: timekeeper.Instant(time.Second)})
	at := timekeeper.Instant(2 * time.Second)
	s.Reduce(&steerer.SettingsRead{At: at, Started: at, Published: steerer.Published{Settings: newSettings(1, routes())}})
	var list []steerer.Target
	for n := range targets {
		id := fmt.Sprintf("i-%08x", 0x10000000+n)
		number, _ := steerer.ParseTargetNumber(id)
		list = append(list, steerer.Target{ID: id, Number: number, Service: "ledger", AvailabilityZone: string(rune('a' + n%7)), Slots: 3})
	}
	s.Reduce(&steerer.TargetsRead{At: at, Started: at, List: steerer.TargetList{Position: sequencer.At(0, 1), Targets: list}})
	return s
}

// BenchmarkOpeningPacket places new flows among different numbers of targets. The largest is
// the size of the fleet that is planned for two years ahead.
func BenchmarkOpeningPacket(b *testing.B) {
	for _, targets := range []int{14, 150, 3800} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			s := hostWithoutPeers(targets, 1<<20)
			f := &fleet{}
			b.ReportAllocs()
			for n := range b.N {
				p := f.caller(n, readRoute).packet(steerer.FlagOpen, 0, "open")
				p.Acknowledged = 0
				s.Reduce(&steerer.CallerPacket{At: timekeeper.Instant(3 * time.Second), Packet: p})
			}
		})
	}
}

// BenchmarkEstablishedFlowPacket forwards a packet of a flow in the flow table.
func BenchmarkEstablishedFlowPacket(b *testing.B) {
	s := hostWithoutPeers(150, 1<<20)
	c := (&fleet{}).caller(1, readRoute)
	at := timekeeper.Instant(3 * time.Second)
	opened := c.packet(steerer.FlagOpen, 0, "open")
	opened.Acknowledged = 0
	for _, effect := range s.Reduce(&steerer.CallerPacket{At: at, Packet: opened}) {
		if e, ok := effect.(*steerer.ForwardPacket); ok {
			c.tag = e.Tag
		}
	}
	event := &steerer.CallerPacket{At: at, Packet: c.packet(steerer.FlagAck, 0, "ack")}
	b.ReportAllocs()
	for b.Loop() {
		s.Reduce(event)
	}
}

// A flow in the flow table takes less memory than the memory budget of the process assumes.
func TestFlowsTakeLittleMemory(t *testing.T) {
	const flows, maxBytesPerFlow = 50_000, 512
	s := hostWithoutPeers(150, flows)
	f := &fleet{}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for n := range flows {
		p := f.caller(n, readRoute).packet(steerer.FlagOpen, 0, "open")
		p.Acknowledged = 0
		s.Reduce(&steerer.CallerPacket{At: timekeeper.Instant(3 * time.Second), Packet: p})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	bytesPerFlow := int(after.HeapAlloc-before.HeapAlloc) / s.Snapshot().Flows
	t.Logf("%d bytes a flow", bytesPerFlow)
	require.Less(t, bytesPerFlow, maxBytesPerFlow)
}

// largestZone is the number of hosts in each of the seven zones of the largest simulated
// fleet. make capacity passes 87, the size planned for two years ahead, which takes minutes.
var largestZone = flag.Int("largestZone", 15, "hosts of each zone in the largest fleet")

// Guards against control traffic that fills the links of a large fleet: hosts must not report
// to every other host as the fleet grows.
func TestControlTrafficDoesNotGrowWithTheFleet(t *testing.T) {
	for _, perZone := range []int{3, *largestZone} {
		f := newFleet(t, perZone, perZone, perZone, perZone, perZone, perZone, perZone)
		for n := range 3800 - len(f.targets) {
			f.addTarget(fmt.Sprintf("i-%08x", 0x30000000+n), "ledger", string(rune('a'+n%7)))
		}
		f.step(8 * time.Second)
		f.reportBytes, f.reads = 0, 0
		f.step(4 * time.Second)
		bytes, reads := f.reportBytes/len(f.names)/4, f.reads
		t.Logf("%d hosts: %d bytes a second and host sent, %.1f reads a second", len(f.names), bytes, float64(reads)/4)
		f.settings = newSettings(2, routes())
		published := f.now
		for slices.ContainsFunc(f.names, func(name string) bool { return f.hosts[name].steerer.Snapshot().Version < 2 }) {
			f.step(steerer.TickInterval)
			require.Less(t, f.now.Since(published), 9*time.Second, "a change is in force everywhere")
		}
		t.Logf("%d hosts: a change in force everywhere after %s", len(f.names), f.now.Since(published))
		require.Less(t, bytes, 14_000)
		require.Less(t, reads, 4*120, "of 2,000 that the platform allows")
	}
}

func encodedSize(t tester, e *steerer.SendReport) int {
	data, err := encoder.New("a1", nil).Encode(e.Host, e.Report)
	require.NoError(t, err)
	return len(data)
}
