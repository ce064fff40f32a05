package steerer

import (
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// pauseThreshold is a gap between two ticks that shows that the process stood
	// still; ticks come every 50 ms.
	pauseThreshold = 200 * time.Millisecond
	// pauseGracePeriod is how long after a pause nothing is concluded from silence:
	// longer than a liveness check and a caller's first repeat.
	pauseGracePeriod = 600 * time.Millisecond
	// stalePauseFactor times a route's timeout is how long a pause has to be for its packets
	// to be taken for old. What came during the pause is on average half as old, and
	// a third of it is of no use to anybody then.
	stalePauseFactor = 1.5
	// staleWindow is how long after such a pause packets are taken for old: the time in
	// which a host reads what waits, some thousand packets. A caller whose packet was
	// fresh repeats it after 200 ms, so a longer span costs more than it saves.
	staleWindow = 20 * time.Millisecond
)

// pause notices that the process stood still.
type pause struct {
	lastTick timekeeper.Instant
	// graceDeadline is until when silence means nothing, staleDeadline until when
	// packets may have waited in the socket for as long as gap.
	graceDeadline timekeeper.Instant
	staleDeadline timekeeper.Instant
	duration      time.Duration
}

// detectPause keeps a host that stood still from blaming targets: their answers
// were there, it only did not look.
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

// isStale reports whether a packet is likely to have waited in the host's socket, while it
// stood still, for longer than its caller waits.
//
// What goes wrong if they are passed on: a host stands still for some seconds and wakes.
// Its callers have been served by others meanwhile, or have given up. All that they
// asked of it reaches the targets in one moment, and takes their slots for answers that
// nobody waits for. One notices by targets that are full just after a host wakes, and by
// requests that they run after their callers' deadlines. What a caller still waits for
// it repeats.
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
	s.counts.add(DropStale)
	s.log("packetDropped", field("flow", p.Caller.String()), field("reason", "stale"))
}
