package steerer

import (
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// unresponsiveReportDuration is how long a host tells others of its zone that it has found a target
	// silent: some rounds of reports, so that all hear of it.
	unresponsiveReportDuration = time.Second
	// reportedUnresponsiveTTL is how long another host's word keeps new flows from a target. A
	// wrong word costs little: its siblings take them.
	reportedUnresponsiveTTL = time.Second
	// maxReportedUnresponsive bounds the targets that a report names.
	maxReportedUnresponsive = 32
)

// recentlyUnreachable reports whether this host has found a target silent of late.
func (s *Steerer) recentlyUnreachable(t *target) bool {
	return t.health.unreachable() && s.now.Since(t.health.unreachableSince) < unresponsiveReportDuration
}

// applyUnresponsiveReport takes in which targets another host of the zone has found silent. This host
// sends new flows elsewhere for a while, and checks those at which it has flows itself:
// nothing is reset on another's word.
//
// What goes wrong otherwise: a target crashes without a word, and each host of its zone
// finds it out by a caller of its own who waits for a repeat and a check. One notices by
// requests that are late at one target through one host after the other.
func (s *Steerer) applyUnresponsiveReport(from *peer, tags []uint32) {
	for _, tag := range tags {
		t, ok := s.reportedTarget(from, tag)
		if !ok || t.health.unreachable() || s.now.Since(t.health.lastProgress) < recentProgressAge {
			continue
		}
		t.reportedUnresponsiveDeadline = s.now.Add(reportedUnresponsiveTTL)
		s.targets.markForRecount(t)
		if t.flows > 0 {
			s.suspect(t, "toldSilent", s.now)
		}
	}
}

// reportedUnresponsive reports whether another host has found a target silent of late, and this one
// has seen no life of it since.
func (t *target) reportedUnresponsive(now timekeeper.Instant) bool {
	return !t.reportedUnresponsiveDeadline.Passed(now)
}

// probeIfZoneLost takes in that a flow comes to this host that another has carried so far. If
// the hosts of its target's zone have fallen silent, the target is checked at once.
//
// What goes wrong otherwise: a zone loses power. The fabric hands its callers' packets to
// the hosts of the next zone after a second. These have never sent anything to the lost
// zone's targets, so each caller waits once more for a repeat, by then of 1.6 s, and for a
// check. One notices by requests that fail at their deadline though they arrive at a host
// that works.
func (s *Steerer) probeIfZoneLost(to *target, p *Packet) {
	if p.Length > 0 && s.zoneHostsSilent(to.AvailabilityZone) {
		s.suspect(to, "zoneHostsSilent", s.now)
	}
}

// zoneHostsSilent reports whether no host of another zone has reported of late, though some
// did before.
func (s *Steerer) zoneHostsSilent(zone string) bool {
	heard, known := s.peers.zones.lastReport[zone]
	silent := s.now.Since(heard)
	return known && zone != s.config.AvailabilityZone && silent >= peerTimeout && silent <= peerRetention
}
