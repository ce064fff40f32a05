package driver

import (
	"encoding/binary"
	"net/netip"
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/reducer"
)

// Target is a target that answers every request after Work.
type Target struct {
	Address netip.AddrPort
	Work    time.Duration
	// Down makes the target silent.
	Down bool
	// Lies makes the target's health endpoint fail while requests are answered.
	Lies bool
	// Shed makes the target refuse every request without running it.
	Shed bool
	// Runs counts the executions of each request.
	Runs     map[RequestID]int
	InFlight int
	// Standing is work that the target reports beside what is in flight.
	Standing int
}

// Target returns the target at an address, made on first use.
func (f *Fleet) Target(address netip.AddrPort) *Target {
	t, ok := f.targets[address]
	if !ok {
		t = &Target{Address: address, Work: 5 * time.Millisecond, Runs: map[RequestID]int{}}
		f.targets[address] = t
	}
	return t
}

// Targets returns every target that was ever used, by address.
func (f *Fleet) Targets() map[netip.AddrPort]*Target { return f.targets }

func (f *Fleet) toTarget(h *host, e reducer.ToTarget) {
	name, target := h.name, f.Target(e.Target)
	f.schedule(Latency, func() {
		note := f.packets[binary.BigEndian.Uint64(e.Payload)]
		f.Sent = append(f.Sent, TargetPacket{At: f.Now, Host: name, Target: e.Target, ID: note.id, Packet: note.packet})
		if target.Down || note.packet.Kind != messenger.KindRequest {
			return
		}
		f.run(target, e.Return, note)
	})
}

// run executes a request at a target and sends its answer.
func (f *Fleet) run(target *Target, back netip.Addr, note packetNote) {
	flags := messenger.FlagPiggybacked | note.packet.Flags&messenger.FlagStream
	work := target.Work
	if target.Shed {
		flags |= messenger.FlagRefused
		work = 0
	} else {
		target.Runs[note.id]++
		target.InFlight++
	}
	f.schedule(work, func() {
		if flags&messenger.FlagRefused == 0 {
			target.InFlight--
		}
		f.AnswerFrom(target.Address, back, note.id, flags)
	})
}

// AnswerFrom sends an answer from a target to a return address, through a
// random host.
func (f *Fleet) AnswerFrom(target netip.AddrPort, back netip.Addr, id RequestID, flags messenger.Flags) {
	packet := messenger.Packet{Kind: messenger.KindResponse, Flags: flags, Exchange: id.Exchange}
	packet.Payload = f.note(id, packet)
	if host := f.randomHost(); host != "" {
		f.after(Latency, host, &reducer.TargetPacket{Target: target, Return: back, Packet: packet})
	}
}

func (f *Fleet) probe(h *host, address netip.AddrPort) {
	target := f.Target(address)
	name := h.name
	f.Probes++
	f.schedule(2*Latency, func() {
		f.deliver(name, &reducer.ProbeAnswered{Target: address, Healthy: !target.Down && !target.Lies, InFlight: target.InFlight + target.Standing})
	})
}
