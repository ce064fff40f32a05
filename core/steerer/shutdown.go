package steerer

import (
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// minShutdownDelay covers two missed readiness checks of the fabric, half a
	// second apart, and one more for a check that was under way.
	minShutdownDelay = 1500 * time.Millisecond
	// maxShutdownDelay stays clear of the time at which the platform kills a process
	// that does not end by itself, 6 s after the first signal.
	maxShutdownDelay = 4 * time.Second
	// shutdownQuietPeriod is how long no packet may have come before the host ends. The
	// ends of a flow repeat a lost packet within 200 ms.
	shutdownQuietPeriod = 300 * time.Millisecond
)

// shutdown is the state of a host that was asked to end.
type shutdown struct {
	started bool
	// earliest and latest bound when the process ends.
	earliest timekeeper.Instant
	latest   timekeeper.Instant
	// lastPacket is when the fabric last handed over a packet.
	lastPacket timekeeper.Instant
	ended      bool
}

// beginShutdown makes the host unready at once and lets it pass packets on until
// the fabric has noticed.
//
// What goes wrong otherwise: a process that ends at the signal drops every
// packet that the fabric still hands it, for about a second. Callers see
// repeats and late answers.
func (s *Steerer) beginShutdown() {
	if s.leaving.started {
		return
	}
	s.leaving.started = true
	s.leaving.earliest = s.now.Add(minShutdownDelay)
	s.leaving.latest = s.now.Add(maxShutdownDelay)
	for _, t := range s.targetsInUse() {
		s.forwardAllQueued(t, "leaving")
	}
	s.log("leaving", field("openFlows", formatInt(len(s.flows))))
}

func (s *Steerer) shutdownTick() {
	l := &s.leaving
	if !l.started || l.ended || !l.earliest.Passed(s.now) {
		return
	}
	quiet := l.lastPacket.Add(shutdownQuietPeriod).Passed(s.now)
	if quiet || l.latest.Passed(s.now) {
		l.ended = true
		s.log("left", field("quiet", formatBool(quiet)))
		s.emit(&Exit{})
	}
}
