package steerer

import (
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// silentNewsFor is how long a host tells others of its zone that it has found a target
	// silent: some rounds of reports, so that all hear of it.
	silentNewsFor = time.Second
	// toldSilentMemory is how long another host's word keeps new flows from a target. A
	// wrong word costs little: its siblings take them.
	toldSilentMemory = time.Second
	// maxSilent bounds the targets that a report names.
	maxSilent = 32
)

// silentOfLate reports whether this host has found a target silent of late.
func (s *Steerer) silentOfLate(t *target) bool {
	return t.health.unreachable() && s.now.Since(t.health.silentSince) < silentNewsFor
}

// takeSilent takes in which targets another host of the zone has found silent. This host
// sends new flows elsewhere for a while, and checks those at which it has flows itself:
// nothing is reset on another's word.
//
// What goes wrong otherwise: a target crashes without a word, and each host of its zone
// finds it out by a caller of its own who waits for a repeat and a check. One notices by
// requests that are late at one target through one host after the other.
func (s *Steerer) takeSilent(from *peer, tags []uint32) {
	for _, tag := range tags {
		t, ok := s.told(from, tag)
		if !ok || t.health.unreachable() || s.now.Since(t.health.lastProgress) < freshProgress {
			continue
		}
		t.toldSilentDeadline = s.now.Add(toldSilentMemory)
		s.targets.noteUncounted(t)
		if t.flows > 0 {
			s.suspect(t, "toldSilent", s.now)
		}
	}
}

// toldSilent reports whether another host has found a target silent of late, and this one
// has seen no life of it since.
func (t *target) toldSilent(now timekeeper.Instant) bool { return !t.toldSilentDeadline.Passed(now) }

// noteTakenOver takes in that a flow comes to this host that another has carried so far. If
// the hosts of its target's zone have fallen silent, the target is checked at once.
//
// What goes wrong otherwise: a zone loses power. The fabric hands its callers' packets to
// the hosts of the next zone after a second. These have never sent anything to the lost
// zone's targets, so each caller waits once more for a repeat, by then of 1.6 s, and for a
// check. One notices by requests that fail at their deadline though they arrive at a host
// that works.
func (s *Steerer) noteTakenOver(to *target, p *Packet) {
	if p.Length > 0 && s.zoneHostsSilent(to.AvailabilityZone) {
		s.suspect(to, "zoneHostsSilent", s.now)
	}
}

// zoneHostsSilent reports whether no host of another zone has reported of late, though some
// did before.
func (s *Steerer) zoneHostsSilent(zone string) bool {
	heard, known := s.peers.zones.heard[zone]
	silent := s.now.Since(heard)
	return known && zone != s.config.AvailabilityZone && silent >= peerSilence && silent <= peerMemory
}
