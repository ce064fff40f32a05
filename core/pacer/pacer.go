// Package pacer decides which requests wait while a service is asked for more than its
// targets can do.
//
// The pattern: callers come in a crowd, or half of the targets are lost. Targets queue
// some requests for each slot and refuse the rest. While their queues are full every
// answer comes late, the urgent ones like the others, and requests that can't be in
// time any more take the slots of those that still can. Not one host sees the whole
// load, and none can see a target's queue.
//
// The answer: each host bounds the requests that it has under way at a service by what
// answer times tell it (Load), as delay-based congestion control does (TCP Vegas; the
// gradient limits of adaptive concurrency). Requests of open flows beyond the bound
// wait at the host, in a Line for each target, and those go first that can still be in
// time (earliest deadline first, without those whose deadline can't be met). No host
// has to be told of another's load: they all see the same queues.
//
// Nothing here waits for long: each request has a moment after which it goes before
// all others, and one at which it is passed on whatever the load.
//
// The package knows no network and no clock. Its state is plain values that belong to
// one owner and change in place, since they are touched by each answer.
package pacer

import "time"

const (
	// pressureStep is the part of each answer in the moving mean of pressure: some 20
	// answers. A host sees 50 or more a second under a load worth pacing, so that a
	// crowd is noticed within half a second.
	pressureStep = 0.05
	// pressedAbove is the pressure at which requests begin to wait. Waiting times
	// spread about as much as their mean, so that one answer in thirty is late then,
	// and more soon. Ordinary days stay below 0.1.
	pressedAbove = 0.3
	// calmBelow ends it; the distance keeps the two from alternating.
	calmBelow = 0.2
	// maxPressure bounds what one answer counts, so that the memory of a few that
	// hung is short.
	maxPressure = 4
	// slowdownStep is the part of each answer in the moving mean of slowdown.
	slowdownStep = 0.1
	// maxSlowdown bounds what one answer counts.
	maxSlowdown = 10
	// tolerance is the slowdown that leaves the window as it is: a request may wait
	// for one other. With less, slots stand idle while hosts wait for answers; with
	// more, the urgent requests wait too long.
	tolerance = 2
	// leastGradient bounds how fast the window shrinks.
	leastGradient = 0.5
	// headroom is what the window grows by while answers are not slow, in requests. It
	// is what finds out that there is room again.
	headroom = 1
	// windowStep is the part of the way to its new size that the window goes with an
	// answer.
	windowStep = 0.1
	// leastWindow keeps a service from being shut.
	leastWindow = 1
)

// Answer is what a host learns when a request is answered.
type Answer struct {
	// Took is the time from passing the request on, Held how long it waited before.
	Took time.Duration
	Held time.Duration
	// Usual is the median of Took while nothing is pressed, Objective what the callers
	// hope for.
	Usual     time.Duration
	Objective time.Duration
	// UnderWay is how many requests the host has at the service.
	UnderWay int
}

// Load is what a host knows of the load of a service. The zero Load is calm.
type Load struct {
	// pressure is the moving mean of the part of the callers' spare time (objective
	// less usual) that waiting takes.
	pressure float64
	// slowdown is the moving mean of answer times as multiples of the usual.
	slowdown float64
	pressed  bool
	window   float64
}

// Pressed reports whether requests have to wait.
func (l *Load) Pressed() bool { return l.pressed }

// Pressure is the part of the callers' spare time that waiting takes, for operators.
func (l *Load) Pressure() float64 { return l.pressure }

// Window is how many requests the host may have under way while the service is pressed.
func (l *Load) Window() float64 { return l.window }

// Room reports whether one more request may be passed on.
func (l *Load) Room(underWay int) bool { return float64(underWay) < l.window }

// Answered learns from an answer, and reports whether the service became pressed or
// calm with it.
//
// An answer tells nothing if the callers' objective is not known, or if it would be
// missed without any wait: then nobody gains by pacing.
func (l *Load) Answered(a Answer) bool {
	spare := a.Objective - a.Usual
	if a.Usual <= 0 || spare <= 0 {
		return false
	}
	waited := float64(a.Took+a.Held-a.Usual) / float64(spare)
	l.pressure += pressureStep * (min(max(waited, 0), maxPressure) - l.pressure)
	if l.slowdown == 0 {
		l.slowdown = 1
	}
	l.slowdown += slowdownStep * (min(float64(a.Took)/float64(a.Usual), maxSlowdown) - l.slowdown)
	before := l.pressed
	l.pressed = l.pressure > pressedAbove || (before && l.pressure > calmBelow)
	if l.pressed && !before {
		l.window = max(float64(a.UnderWay), leastWindow)
	}
	if l.pressed {
		l.resize()
	}
	return l.pressed != before
}

// resize moves the window to where answers take as long as is tolerated.
func (l *Load) resize() {
	gradient := min(max(tolerance/l.slowdown, leastGradient), 1)
	next := l.window*gradient + headroom
	l.window = max(l.window+windowStep*(next-l.window), leastWindow)
}
