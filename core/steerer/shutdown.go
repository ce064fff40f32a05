package steerer

import (
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// minShutdownDelay covers two missed readiness checks of the fabric, half a second apart,
	// and one more for a check that was in progress.
	minShutdownDelay = 1500 * time.Millisecond
	// maxShutdownDelay leaves a margin before the platform kills a process that does not exit
	// by itself, 6 s after the first signal.
	maxShutdownDelay = 4 * time.Second
	// shutdownQuietPeriod is how long no packet may have arrived before the process exits.
	// Both ends of a flow retransmit a lost packet within 200 ms.
	shutdownQuietPeriod = 300 * time.Millisecond
)

// shutdown is the state of a host's graceful shutdown.
type shutdown struct {
	started bool
	// The process exits between earliest and latest.
	earliest timekeeper.Instant
	latest   timekeeper.Instant
	// lastPacket is when the fabric last delivered a packet.
	lastPacket timekeeper.Instant
	ended      bool
}

// beginShutdown makes the host unready at once and keeps forwarding packets until the fabric
// has noticed.
//
// Without this, a process that exits at the signal drops every packet that the fabric still
// sends it, for about a second, which shows as retransmissions and late responses at callers.
func (s *Steerer) beginShutdown() {
	if s.shutdown.started {
		return
	}
	s.shutdown.started = true
	s.shutdown.earliest = s.now.Add(minShutdownDelay)
	s.shutdown.latest = s.now.Add(maxShutdownDelay)
	for _, t := range s.targetsInUse() {
		s.forwardAllQueued(t, "leaving")
	}
	s.log("leaving", field("openFlows", formatInt(len(s.flows))))
}

func (s *Steerer) shutdownTick() {
	state := &s.shutdown
	if !state.started || state.ended || !state.earliest.Passed(s.now) {
		return
	}
	quiet := state.lastPacket.Add(shutdownQuietPeriod).Passed(s.now)
	if quiet || state.latest.Passed(s.now) {
		state.ended = true
		s.log("left", field("quiet", formatBool(quiet)))
		s.emit(&Exit{})
	}
}
