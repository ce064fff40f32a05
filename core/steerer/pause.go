package steerer

import (
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// pausedGap is a gap between two ticks that shows that the process stood
	// still; ticks come every 50 ms.
	pausedGap = 200 * time.Millisecond
	// pauseDistrust is how long after a pause nothing is concluded from silence:
	// longer than a liveness check and a caller's first repeat.
	pauseDistrust = 600 * time.Millisecond
	// staleTimeouts times a route's timeout is how long a pause has to be for its packets
	// to be taken for old. What came during the pause is on average half as old, and
	// a third of it is of no use to anybody then.
	staleTimeouts = 1.5
	// staleSpan is how long after such a pause packets are taken for old: the time in
	// which a host reads what waits, some thousand packets. A caller whose packet was
	// fresh repeats it after 200 ms, so a longer span costs more than it saves.
	staleSpan = 20 * time.Millisecond
)

// pause notices that the process stood still.
type pause struct {
	lastTick timekeeper.Instant
	// trustDeadline is until when silence means nothing, staleDeadline until when
	// packets may have waited in the socket for as long as gap.
	trustDeadline timekeeper.Instant
	staleDeadline timekeeper.Instant
	gap           time.Duration
}

// notePause keeps a host that stood still from blaming targets: their answers
// were there, it only did not look.
func (s *Steerer) notePause() {
	gap := s.now.Since(s.pause.lastTick)
	s.diagnoser.ObserveLag(max(gap-TickEvery, 0), s.now)
	if gap > pausedGap {
		s.pause.staleDeadline = s.now.Add(staleSpan)
		s.pause.gap = gap
		s.pause.trustDeadline = s.now.Add(pauseDistrust)
		s.log("paused", field("gapMillis", millis(gap)))
	}
	s.pause.lastTick = s.now
}

// stale reports whether a packet is likely to have waited in the host's socket, while it
// stood still, for longer than its caller waits.
//
// What goes wrong if they are passed on: a host stands still for some seconds and wakes.
// Its callers have been served by others meanwhile, or have given up. All that they
// asked of it reaches the targets in one moment, and takes their slots for answers that
// nobody waits for. One notices by targets that are full just after a host wakes, and by
// requests that they run after their callers' deadlines. What a caller still waits for
// it repeats.
func (s *Steerer) stale(p *Packet) bool {
	gap := s.now.Since(s.pause.lastTick)
	if !s.pause.staleDeadline.Passed(s.now) {
		gap = max(gap, s.pause.gap)
	}
	if gap <= pausedGap {
		return false
	}
	route, routed := s.settings.RouteAt(p.Service)
	return routed && route.Timeout > 0 && float64(gap) > staleTimeouts*float64(route.Timeout)
}

func (s *Steerer) dropStale(p *Packet) {
	s.counts.add(DropStale)
	s.log("packetDropped", field("flow", p.Caller.String()), field("reason", "stale"))
}
