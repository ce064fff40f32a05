package steerer

import (
	"slices"
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// holdSpan is how long a packet is kept for the first reads. A start takes 5 to
	// 90 ms, and up to 200 ms while other hosts have to be asked; after the caller's
	// next repeat there is little left to save.
	holdSpan = 300 * time.Millisecond
	// maxHeld bounds the packets that are kept, to 0.7 MB of the largest.
	maxHeld = 512
)

// heldPacket is a packet that came before this host knew where packets go.
type heldPacket struct {
	packet   Packet
	deadline timekeeper.Instant
}

// sameWork reports whether one packet is a repeat of another.
func (p *Packet) sameWork(other *Packet) bool {
	return p.Caller == other.Caller && p.Service == other.Service && p.opens() == other.opens() &&
		p.Sequence == other.Sequence && p.Length == other.Length
}

// knows reports whether this host has learned where packets go.
func (s *Steerer) knows() bool { return s.settings != nil && s.targetsPosition.Known() }

// passUnrouted passes on a packet of an open flow while this host knows targets and no
// settings yet, and reports whether it has. The tag alone says where the packet goes.
//
// What goes wrong if it waits for the settings: after a loss of all hosts a document of
// 400 KB keeps hosts with links of 2 Mbit/s for two seconds, and every feed of callers
// with it. Nothing is remembered of the flow: without its route nothing can be concluded
// from it.
func (s *Steerer) passUnrouted(p *Packet) bool {
	to, ok := s.targets.byTag[p.Tag]
	if !ok || p.opens() || !s.targetsPosition.Known() {
		return false
	}
	s.sendTarget(to, 0, p.Data)
	return true
}

// hold keeps a packet until this host knows where it goes.
//
// What goes wrong if it is dropped: after a loss of all hosts callers have repeated
// their packets already, and the next repeat comes after 0.4 to 1.6 s, while the
// host needs some milliseconds to learn its targets. One notices by answers that are
// late long after the hosts are back. A repeat takes the place of the packet that it
// repeats: two at once would look like a target that is silent.
func (s *Steerer) hold(p *Packet) {
	kept := *p
	kept.Data = slices.Clone(p.Data)
	for i := range s.held {
		if s.held[i].packet.sameWork(p) {
			s.held[i].packet = kept
			return
		}
	}
	if len(s.held) == maxHeld {
		s.dropUnknowing(p, "tooMany")
		return
	}
	s.held = append(s.held, heldPacket{packet: kept, deadline: s.now.Add(holdSpan)})
}

// releaseHeld passes kept packets on as soon as this host knows where they go, and
// drops those that have waited too long.
func (s *Steerer) releaseHeld() {
	if len(s.held) == 0 {
		return
	}
	if s.knows() {
		held := s.held
		s.held = nil
		for i := range held {
			s.steer(&held[i].packet)
		}
		return
	}
	s.held = slices.DeleteFunc(s.held, func(h heldPacket) bool {
		if s.passUnrouted(&h.packet) {
			return true
		}
		late := h.deadline.Passed(s.now)
		if late {
			s.dropUnknowing(&h.packet, "tooLong")
		}
		return late
	})
}

// dropUnknowing gives up a packet of which nobody knows where it goes. Its caller
// repeats it.
func (s *Steerer) dropUnknowing(p *Packet, reason string) {
	s.counts.add(DropUnknowing)
	s.log("packetDropped", field("flow", p.Caller.String()), field("reason", reason),
		field("version", utoa(s.version())), field("targetsAgeMillis", s.targetsAge()))
}
