package steerer

import (
	"slices"
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// heldPacketTimeout is how long a packet is held until the first settings and targets
	// are read. A start takes 5 to 90 ms, and up to 200 ms if they come from other hosts.
	// After the caller's next retransmission holding a packet saves little.
	heldPacketTimeout = 300 * time.Millisecond
	// maxHeldPackets limits the held packets, to 0.7 MB if all have the maximum size.
	maxHeldPackets = 512
)

// heldPacket is a packet that came before this host was ready to forward it.
type heldPacket struct {
	packet   Packet
	deadline timekeeper.Instant
}

// retransmits reports whether one packet is a retransmission of another.
func (p *Packet) retransmits(other *Packet) bool {
	return p.Caller == other.Caller && p.Service == other.Service && p.isOpening() == other.isOpening() &&
		p.Sequence == other.Sequence && p.Length == other.Length
}

// canRoute reports whether this host has settings and targets.
func (s *Steerer) canRoute() bool { return s.settings != nil && s.targetsPosition.Known() }

// forwardByTag forwards a packet of an established flow while this host has targets but no
// settings yet, and reports whether it did. The tag alone identifies the target.
//
// Without this, packets wait for the settings: after a loss of all hosts a settings document
// of 400 KB keeps hosts with 2 Mbit/s links busy for two seconds, and every long-lived flow
// stalls that long. The flow is not added to the flow table: without its route nothing can be
// concluded from it.
func (s *Steerer) forwardByTag(p *Packet) bool {
	to, ok := s.targets.byTag[p.Tag]
	if !ok || p.isOpening() || !s.targetsPosition.Known() {
		return false
	}
	s.forward(to, 0, p.Data)
	return true
}

// holdPacket holds a packet until this host is ready to forward it.
//
// If the packet were dropped, its flow would stall until its caller retransmits. After a loss
// of all hosts callers have already retransmitted, so the next retransmission comes only after
// 0.4 to 1.6 s, while the host needs a few milliseconds to read its targets. This shows as
// responses that are late long after the hosts are back. A retransmission replaces the packet
// that it repeats: forwarding both at once would look like an unresponsive target.
func (s *Steerer) holdPacket(p *Packet) {
	held := *p
	held.Data = slices.Clone(p.Data)
	for i := range s.heldPackets {
		if s.heldPackets[i].packet.retransmits(p) {
			s.heldPackets[i].packet = held
			return
		}
	}
	if len(s.heldPackets) == maxHeldPackets {
		s.dropUnroutable(p, "tooMany")
		return
	}
	s.heldPackets = append(s.heldPackets, heldPacket{packet: held, deadline: s.now.Add(heldPacketTimeout)})
}

// releaseHeldPackets forwards held packets as soon as this host is ready, and drops those
// that were held too long.
func (s *Steerer) releaseHeldPackets() {
	if len(s.heldPackets) == 0 {
		return
	}
	if s.canRoute() {
		held := s.heldPackets
		s.heldPackets = nil
		for i := range held {
			s.forwardPacket(&held[i].packet)
		}
		return
	}
	s.heldPackets = slices.DeleteFunc(s.heldPackets, func(h heldPacket) bool {
		if s.forwardByTag(&h.packet) {
			return true
		}
		expired := h.deadline.Passed(s.now)
		if expired {
			s.dropUnroutable(&h.packet, "tooLong")
		}
		return expired
	})
}

// dropUnroutable drops a packet that this host cannot forward yet. Its caller retransmits
// it.
func (s *Steerer) dropUnroutable(p *Packet, reason string) {
	s.counters.add(DropNotReady)
	s.log("packetDropped", field("flow", p.Caller.String()), field("reason", reason),
		field("version", formatUint(s.version())), field("targetsAgeMillis", s.targetsAge()))
}
