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
	// pressureSmoothing is the part of each answer in the moving mean of pressure: some 20
	// answers. A host sees 50 or more a second under a load worth pacing, so that a
	// crowd is noticed within half a second.
	pressureSmoothing = 0.05
	// congestionOnThreshold is the pressure at which requests begin to wait. Waiting times
	// spread about as much as their mean, so that one answer in thirty is late then,
	// and more soon. Ordinary days stay below 0.1.
	congestionOnThreshold = 0.3
	// congestionOffThreshold ends it; the distance keeps the two from alternating.
	congestionOffThreshold = 0.2
	// maxPressure bounds what one answer counts, so that the memory of a few that
	// hung is short.
	maxPressure = 4
	// slowdownSmoothing is the part of each answer in the moving mean of slowdown.
	slowdownSmoothing = 0.1
	// maxSlowdown bounds what one answer counts.
	maxSlowdown = 10
	// toleratedSlowdown is the slowdown that leaves the window as it is: a request may wait
	// for one other. With less, slots stand idle while hosts wait for answers; with
	// more, the urgent requests wait too long.
	toleratedSlowdown = 2
	// minGradient bounds how fast the window shrinks.
	minGradient = 0.5
	// windowHeadroom is what the window grows by while answers are not slow, in requests. It
	// is what finds out that there is room again.
	windowHeadroom = 1
	// windowSmoothing is the part of the way to its new size that the window goes with an
	// answer.
	windowSmoothing = 0.1
	// minWindow keeps a service from being shut.
	minWindow = 1
)

// Response is what a host learns when a request is answered.
type Response struct {
	// Latency is the time from passing the request on, Held how long it waited before.
	Latency    time.Duration
	QueueDelay time.Duration
	// BaselineLatency is the median of Took while nothing is pressed, Objective what the callers
	// hope for.
	BaselineLatency time.Duration
	Objective       time.Duration
	// InFlight is how many requests the host has at the service.
	InFlight int
}

// Load is what a host knows of the load of a service. The zero Load is calm.
type Load struct {
	// pressure is the moving mean of the part of the callers' spare time (objective
	// less usual) that waiting takes.
	pressure float64
	// slowdown is the moving mean of answer times as multiples of the usual.
	slowdown  float64
	congested bool
	window    float64
}

// Congested reports whether requests have to wait.
func (l *Load) Congested() bool { return l.congested }

// Pressure is the part of the callers' spare time that waiting takes, for operators.
func (l *Load) Pressure() float64 { return l.pressure }

// Window is how many requests the host may have under way while the service is pressed.
func (l *Load) Window() float64 { return l.window }

// HasCapacity reports whether one more request may be passed on.
func (l *Load) HasCapacity(inFlight int) bool { return float64(inFlight) < l.window }

// RecordResponse learns from an answer, and reports whether the service became pressed or
// calm with it.
//
// An answer tells nothing if the callers' objective is not known, or if it would be
// missed without any wait: then nobody gains by pacing.
func (l *Load) RecordResponse(a Response) bool {
	slack := a.Objective - a.BaselineLatency
	if a.BaselineLatency <= 0 || slack <= 0 {
		return false
	}
	waited := float64(a.Latency+a.QueueDelay-a.BaselineLatency) / float64(slack)
	l.pressure += pressureSmoothing * (min(max(waited, 0), maxPressure) - l.pressure)
	if l.slowdown == 0 {
		l.slowdown = 1
	}
	l.slowdown += slowdownSmoothing * (min(float64(a.Latency)/float64(a.BaselineLatency), maxSlowdown) - l.slowdown)
	before := l.congested
	l.congested = l.pressure > congestionOnThreshold || (before && l.pressure > congestionOffThreshold)
	if l.congested && !before {
		l.window = max(float64(a.InFlight), minWindow)
	}
	if l.congested {
		l.resize()
	}
	return l.congested != before
}

// resize moves the window to where answers take as long as is tolerated.
func (l *Load) resize() {
	gradient := min(max(toleratedSlowdown/l.slowdown, minGradient), 1)
	next := l.window*gradient + windowHeadroom
	l.window = max(l.window+windowSmoothing*(next-l.window), minWindow)
}
