package steerer

import (
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// leaveAtLeast covers two missed readiness checks of the fabric, half a
	// second apart, and one more for a check that was under way.
	leaveAtLeast = 1500 * time.Millisecond
	// leaveAtMost stays clear of the time at which the platform kills a process
	// that does not end by itself, 6 s after the first signal.
	leaveAtMost = 4 * time.Second
	// leaveQuiet is how long no packet may have come before the host ends. The
	// ends of a flow repeat a lost packet within 200 ms.
	leaveQuiet = 300 * time.Millisecond
)

// leaving is the state of a host that was asked to end.
type leaving struct {
	begun bool
	// earliest and latest bound when the process ends.
	earliest timekeeper.Instant
	latest   timekeeper.Instant
	// lastPacket is when the fabric last handed over a packet.
	lastPacket timekeeper.Instant
	ended      bool
}

// beginLeaving makes the host unready at once and lets it pass packets on until
// the fabric has noticed.
//
// What goes wrong otherwise: a process that ends at the signal drops every
// packet that the fabric still hands it, for about a second. Callers see
// repeats and late answers.
func (s *Steerer) beginLeaving() {
	if s.leaving.begun {
		return
	}
	s.leaving.begun = true
	s.leaving.earliest = s.now.Add(leaveAtLeast)
	s.leaving.latest = s.now.Add(leaveAtMost)
	for _, t := range s.targetsInUse() {
		s.passAllPaced(t, "leaving")
	}
	s.log("leaving", field("openFlows", itoa(len(s.flows))))
}

func (s *Steerer) leavingTick() {
	l := &s.leaving
	if !l.begun || l.ended || !l.earliest.Passed(s.now) {
		return
	}
	quiet := l.lastPacket.Add(leaveQuiet).Passed(s.now)
	if quiet || l.latest.Passed(s.now) {
		l.ended = true
		s.log("left", field("quiet", btoa(quiet)))
		s.emit(&Ended{})
	}
}
