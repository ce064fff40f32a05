package pacer

import (
	"slices"
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// turnShare is the part of a route's timeout after which a request goes before all
	// that came later. Until then the host serves those that can still be in time.
	turnShare = 0.35
	// lastShare is the part after which it is passed on whatever the load, so that its
	// target serves or refuses it while its caller still has more than half of the
	// time.
	lastShare = 0.45
	// answerAllowance times the usual is set aside for the answer of a request that is
	// to be in time: some answers take longer than the median.
	answerAllowance = 2
)

// request is a request that waits. Its payload is what its owner needs to pass it on.
type request[T comparable] struct {
	payload T
	// priority is that of the route; 0 goes first.
	priority int
	// aimDeadline is until when the request has to be passed on to be in time,
	// turnDeadline when it goes before all others, lastDeadline when it is passed on
	// whatever the load.
	aimDeadline  timekeeper.Instant
	turnDeadline timekeeper.Instant
	lastDeadline timekeeper.Instant
}

// Limits says what a route's callers hope for and how long they wait.
type Limits struct {
	Usual     time.Duration
	Objective time.Duration
	Timeout   time.Duration
	Priority  int
}

// Line holds the requests that wait for one target, in the order in which they came.
// The zero Line is empty.
type Line[T comparable] struct {
	waiting []request[T]
}

// Len is how many requests wait.
func (l *Line[T]) Len() int { return len(l.waiting) }

// Add lets a request wait from now on.
func (l *Line[T]) Add(payload T, now timekeeper.Instant, limits Limits) {
	l.waiting = append(l.waiting, request[T]{
		payload:      payload,
		priority:     limits.Priority,
		aimDeadline:  now.Add(limits.Objective - answerAllowance*limits.Usual),
		turnDeadline: now.Add(time.Duration(turnShare * float64(limits.Timeout))),
		lastDeadline: now.Add(time.Duration(lastShare * float64(limits.Timeout))),
	})
}

// Remove takes a request out.
func (l *Line[T]) Remove(payload T) {
	l.waiting = slices.DeleteFunc(l.waiting, func(r request[T]) bool { return r.payload == payload })
}

// First is the request that has waited longest; false if none waits.
func (l *Line[T]) First() (T, bool) { return l.at(min(len(l.waiting), 1) - 1) }

// Next is the request that goes next: the oldest whose turn has come, else of
// those that can be in time one of the highest priority, the oldest first. One that
// will be late goes only if the target has slots to spare: it would take the place of
// another that comes in a moment and can be in time.
func (l *Line[T]) Next(now timekeeper.Instant, spare bool) (T, bool) {
	best := -1
	for i := range l.waiting {
		r := &l.waiting[i]
		if r.turnDeadline.Passed(now) {
			return r.payload, true
		}
		inTime := !r.aimDeadline.Passed(now)
		if inTime && (best < 0 || r.priority < l.waiting[best].priority) {
			best = i
		}
	}
	if best < 0 && spare {
		return l.First()
	}
	return l.at(best)
}

// Overdue is a request that may wait no longer.
func (l *Line[T]) Overdue(now timekeeper.Instant) (T, bool) {
	return l.at(slices.IndexFunc(l.waiting, func(r request[T]) bool { return r.lastDeadline.Passed(now) }))
}

// at is the request at an index; false if that is below zero.
func (l *Line[T]) at(i int) (T, bool) {
	if i < 0 {
		var none T
		return none, false
	}
	return l.waiting[i].payload, true
}
