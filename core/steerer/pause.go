package steerer

import (
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// pauseThreshold is the gap between two ticks above which the process counts as paused;
	// ticks come every 50 ms.
	pauseThreshold = 200 * time.Millisecond
	// pauseGracePeriod is how long after a pause missing responses are no evidence: longer
	// than a probe and a caller's first retransmission timeout.
	pauseGracePeriod = 600 * time.Millisecond
	// stalePauseFactor times a route's timeout is the pause from which its packets count as
	// stale. Packets that came during the pause are on average half as old, and a third of
	// them are then of no use to any caller.
	stalePauseFactor = 1.5
	// staleWindow is how long after such a pause packets count as stale: the time in which
	// a host reads the packets queued in its socket, about a thousand. A caller whose packet
	// was not stale retransmits it after 200 ms, so a longer window costs more than it
	// saves.
	staleWindow = 20 * time.Millisecond
)

// pause detects that the process was paused.
type pause struct {
	lastTick timekeeper.Instant
	// graceDeadline is until when missing responses are no evidence; staleDeadline is until
	// when packets may have waited in the socket for as long as duration.
	graceDeadline timekeeper.Instant
	staleDeadline timekeeper.Instant
	duration      time.Duration
}

// detectPause detects a pause, so that this host does not suspect targets whose responses
// it has not read yet.
func (s *Steerer) detectPause() {
	gap := s.now.Since(s.pause.lastTick)
	s.diagnoser.ObserveLag(max(gap-TickInterval, 0), s.now)
	if gap > pauseThreshold {
		s.pause.staleDeadline = s.now.Add(staleWindow)
		s.pause.duration = gap
		s.pause.graceDeadline = s.now.Add(pauseGracePeriod)
		s.log("paused", field("gapMillis", formatMillis(gap)))
	}
	s.pause.lastTick = s.now
}

// isStale reports whether a packet is likely to have waited in the socket of the paused
// host for longer than its caller waits.
//
// Without this, when a host pauses for several seconds and resumes, its callers have been
// served by other hosts meanwhile, or have given up. All their requests reach the targets
// at once, and take slots for responses that no caller waits for. This shows as targets
// that are full just after a host resumes, and as requests that run after their callers'
// deadlines. A caller that still waits retransmits.
func (s *Steerer) isStale(p *Packet) bool {
	gap := s.now.Since(s.pause.lastTick)
	if !s.pause.staleDeadline.Passed(s.now) {
		gap = max(gap, s.pause.duration)
	}
	if gap <= pauseThreshold {
		return false
	}
	route, routed := s.settings.RouteAt(p.Service)
	return routed && route.Timeout > 0 && float64(gap) > stalePauseFactor*float64(route.Timeout)
}

func (s *Steerer) dropStale(p *Packet) {
	s.counters.add(DropStale)
	s.log("packetDropped", field("flow", p.Caller.String()), field("reason", "stale"))
}
