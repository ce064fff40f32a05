package steerer

import (
	"slices"
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// heldPacketTimeout is how long a packet is kept for the first reads. A start takes 5 to
	// 90 ms, and up to 200 ms while other hosts have to be asked; after the caller's
	// next repeat there is little left to save.
	heldPacketTimeout = 300 * time.Millisecond
	// maxHeldPackets bounds the packets that are kept, to 0.7 MB of the largest.
	maxHeldPackets = 512
)

// heldPacket is a packet that came before this host knew where packets go.
type heldPacket struct {
	packet   Packet
	deadline timekeeper.Instant
}

// retransmits reports whether one packet is a repeat of another.
func (p *Packet) retransmits(other *Packet) bool {
	return p.Caller == other.Caller && p.Service == other.Service && p.isOpening() == other.isOpening() &&
		p.Sequence == other.Sequence && p.Length == other.Length
}

// canRoute reports whether this host has learned where packets go.
func (s *Steerer) canRoute() bool { return s.settings != nil && s.targetsPosition.Known() }

// forwardByTag passes on a packet of an open flow while this host knows targets and no
// settings yet, and reports whether it has. The tag alone says where the packet goes.
//
// What goes wrong if it waits for the settings: after a loss of all hosts a document of
// 400 KB keeps hosts with links of 2 Mbit/s for two seconds, and every feed of callers
// with it. Nothing is remembered of the flow: without its route nothing can be concluded
// from it.
func (s *Steerer) forwardByTag(p *Packet) bool {
	to, ok := s.targets.byTag[p.Tag]
	if !ok || p.isOpening() || !s.targetsPosition.Known() {
		return false
	}
	s.forward(to, 0, p.Data)
	return true
}

// holdPacket keeps a packet until this host knows where it goes.
//
// What goes wrong if it is dropped: after a loss of all hosts callers have repeated
// their packets already, and the next repeat comes after 0.4 to 1.6 s, while the
// host needs some milliseconds to learn its targets. One notices by answers that are
// late long after the hosts are back. A repeat takes the place of the packet that it
// repeats: two at once would look like a target that is silent.
func (s *Steerer) holdPacket(p *Packet) {
	kept := *p
	kept.Data = slices.Clone(p.Data)
	for i := range s.heldPackets {
		if s.heldPackets[i].packet.retransmits(p) {
			s.heldPackets[i].packet = kept
			return
		}
	}
	if len(s.heldPackets) == maxHeldPackets {
		s.dropUnroutable(p, "tooMany")
		return
	}
	s.heldPackets = append(s.heldPackets, heldPacket{packet: kept, deadline: s.now.Add(heldPacketTimeout)})
}

// releaseHeldPackets passes kept packets on as soon as this host knows where they go, and
// drops those that have waited too long.
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

// dropUnroutable gives up a packet of which nobody knows where it goes. Its caller
// repeats it.
func (s *Steerer) dropUnroutable(p *Packet, reason string) {
	s.counts.add(DropNotReady)
	s.log("packetDropped", field("flow", p.Caller.String()), field("reason", reason),
		field("version", formatUint(s.version())), field("targetsAgeMillis", s.targetsAge()))
}
