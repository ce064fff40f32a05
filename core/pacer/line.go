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

// Request is a request that waits. T is what its owner needs to pass it on.
type Request[T any] struct {
	Payload T
	// Priority is that of the route; 0 goes first.
	Priority int
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

// NewRequest makes a request that begins to wait now.
func NewRequest[T any](payload T, now timekeeper.Instant, limits Limits) Request[T] {
	return Request[T]{
		Payload:      payload,
		Priority:     limits.Priority,
		aimDeadline:  now.Add(limits.Objective - answerAllowance*limits.Usual),
		turnDeadline: now.Add(time.Duration(turnShare * float64(limits.Timeout))),
		lastDeadline: now.Add(time.Duration(lastShare * float64(limits.Timeout))),
	}
}

// Line holds the requests that wait for one target, in the order in which they came.
// The zero Line is empty.
type Line[T any] struct {
	waiting []Request[T]
}

// Len is how many requests wait.
func (l *Line[T]) Len() int { return len(l.waiting) }

// Add lets a request wait.
func (l *Line[T]) Add(r Request[T]) { l.waiting = append(l.waiting, r) }

// Take takes out the request that goes next: the oldest whose turn has come, else of
// those that can be in time one of the highest priority, the oldest first. One that
// will be late goes only if the target has slots to spare: it would take the place of
// another that comes in a moment and can be in time.
func (l *Line[T]) Take(now timekeeper.Instant, spare bool) (Request[T], bool) {
	at := l.next(now, spare)
	if at < 0 {
		return Request[T]{}, false
	}
	r := l.waiting[at]
	l.waiting = slices.Delete(l.waiting, at, at+1)
	return r, true
}

// Has reports whether Take would find a request.
func (l *Line[T]) Has(now timekeeper.Instant, spare bool) bool { return l.next(now, spare) >= 0 }

func (l *Line[T]) next(now timekeeper.Instant, spare bool) int {
	best := -1
	for i := range l.waiting {
		r := &l.waiting[i]
		if r.turnDeadline.Passed(now) {
			return i
		}
		inTime := !r.aimDeadline.Passed(now)
		if inTime && (best < 0 || r.Priority < l.waiting[best].Priority) {
			best = i
		}
	}
	if best < 0 && spare && len(l.waiting) > 0 {
		return 0
	}
	return best
}

// TakeOverdue takes out a request that may wait no longer.
func (l *Line[T]) TakeOverdue(now timekeeper.Instant) (Request[T], bool) {
	at := slices.IndexFunc(l.waiting, func(r Request[T]) bool { return r.lastDeadline.Passed(now) })
	if at < 0 {
		return Request[T]{}, false
	}
	r := l.waiting[at]
	l.waiting = slices.Delete(l.waiting, at, at+1)
	return r, true
}

// First is the request that has waited longest.
func (l *Line[T]) First() Request[T] { return l.waiting[0] }

// Drop takes a request out that is not to be passed on.
func (l *Line[T]) Drop(is func(payload T) bool) {
	l.waiting = slices.DeleteFunc(l.waiting, func(r Request[T]) bool { return is(r.Payload) })
}
