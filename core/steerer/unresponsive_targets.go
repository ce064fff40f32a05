package steerer

import (
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// unreachableReportDuration is how long a host reports an unreachable target to the
	// other hosts of its zone: several rounds of reports, so that all of them receive it.
	unreachableReportDuration = time.Second
	// reportedUnreachableTTL is how long another host's report keeps new flows from a
	// target. A wrong report costs little: the other targets of the service take the flows.
	reportedUnreachableTTL = time.Second
	// maxReportedUnreachable limits the number of targets in a report.
	maxReportedUnreachable = 32
)

// recentlyUnreachable reports whether this host has recently found a target unreachable.
func (s *Steerer) recentlyUnreachable(t *target) bool {
	return t.health.unreachable() && s.now.Since(t.health.unreachableSince) < unreachableReportDuration
}

// applyUnreachableReport applies the report of another host of the zone about unreachable
// targets. This host sends new flows to other targets for a while, and probes the reported
// ones at which it has flows itself: no flow is reset because of another host's report.
//
// Without this, when a target crashes without sending resets, each host of its zone detects
// it only through a caller of its own that waits for a retransmission timeout and a probe.
// This shows as requests to one target that are late through one host after the other.
func (s *Steerer) applyUnreachableReport(from *peer, tags []uint32) {
	for _, tag := range tags {
		t, ok := s.reportedTarget(from, tag)
		if !ok || t.health.unreachable() || s.now.Since(t.health.lastProgress) < recentProgressAge {
			continue
		}
		t.reportedUnreachableDeadline = s.now.Add(reportedUnreachableTTL)
		s.targets.markForRecount(t)
		if t.flows > 0 {
			s.suspect(t, "toldSilent", s.now)
		}
	}
}

// reportedUnreachable reports whether another host has recently reported a target as
// unreachable, and this one has seen no progress of it since.
func (t *target) reportedUnreachable(now timekeeper.Instant) bool {
	return !t.reportedUnreachableDeadline.Passed(now)
}

// probeIfZoneLost handles a flow that another host has carried so far. If the hosts of its
// target's zone are silent, the target is probed at once.
//
// Without this, when a zone loses power, the fabric hands its callers' packets to the hosts
// of another zone after a second. These have never sent anything to the lost zone's
// targets, so each caller waits for another retransmission timeout, by then 1.6 s, and for
// a probe. This shows as requests that fail at their deadline although they reach a working
// host.
func (s *Steerer) probeIfZoneLost(to *target, p *Packet) {
	if p.Length > 0 && s.zoneHostsSilent(to.AvailabilityZone) {
		s.suspect(to, "zoneHostsSilent", s.now)
	}
}

// zoneHostsSilent reports whether no host of another zone has sent a report recently,
// although some did before.
func (s *Steerer) zoneHostsSilent(zone string) bool {
	lastReport, known := s.peers.zones.lastReport[zone]
	age := s.now.Since(lastReport)
	return known && zone != s.config.AvailabilityZone && age >= peerTimeout && age <= peerRetention
}
