package pacer

import (
	"slices"
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// agingFraction is the part of a route's timeout after which a request goes before all
	// that came later. Until then the host serves those that can still be in time.
	agingFraction = 0.35
	// forcedFraction is the part after which it is passed on whatever the load, so that its
	// target serves or refuses it while its caller still has more than half of the
	// time.
	forcedFraction = 0.45
	// latencyAllowance times the usual is set aside for the answer of a request that is
	// to be in time: some answers take longer than the median.
	latencyAllowance = 2
)

// queuedRequest is a request that waits. Its payload is what its owner needs to pass it on.
type queuedRequest[T comparable] struct {
	payload T
	// priority is that of the route; 0 goes first.
	priority int
	// onTimeDeadline is until when the request has to be passed on to be in time,
	// agingDeadline when it goes before all others, forcedDeadline when it is passed on
	// whatever the load.
	onTimeDeadline timekeeper.Instant
	agingDeadline  timekeeper.Instant
	forcedDeadline timekeeper.Instant
}

// RouteParams says what a route's callers hope for and how long they wait.
type RouteParams struct {
	BaselineLatency time.Duration
	Objective       time.Duration
	Timeout         time.Duration
	Priority        int
}

// Queue holds the requests that wait for one target, in the order in which they came.
// The zero Line is empty.
type Queue[T comparable] struct {
	requests []queuedRequest[T]
}

// Len is how many requests wait.
func (l *Queue[T]) Len() int { return len(l.requests) }

// Add lets a request wait from now on.
func (l *Queue[T]) Add(payload T, now timekeeper.Instant, params RouteParams) {
	l.requests = append(l.requests, queuedRequest[T]{
		payload:        payload,
		priority:       params.Priority,
		onTimeDeadline: now.Add(params.Objective - latencyAllowance*params.BaselineLatency),
		agingDeadline:  now.Add(time.Duration(agingFraction * float64(params.Timeout))),
		forcedDeadline: now.Add(time.Duration(forcedFraction * float64(params.Timeout))),
	})
}

// Remove takes a request out.
func (l *Queue[T]) Remove(payload T) {
	l.requests = slices.DeleteFunc(l.requests, func(r queuedRequest[T]) bool { return r.payload == payload })
}

// Oldest is the request that has waited longest; false if none waits.
func (l *Queue[T]) Oldest() (T, bool) { return l.at(min(len(l.requests), 1) - 1) }

// Next is the request that goes next: the oldest whose turn has come, else of
// those that can be in time one of the highest priority, the oldest first. One that
// will be late goes only if the target has slots to spare: it would take the place of
// another that comes in a moment and can be in time.
func (l *Queue[T]) Next(now timekeeper.Instant, hasFreeSlots bool) (T, bool) {
	best := -1
	for i := range l.requests {
		r := &l.requests[i]
		if r.agingDeadline.Passed(now) {
			return r.payload, true
		}
		onTime := !r.onTimeDeadline.Passed(now)
		if onTime && (best < 0 || r.priority < l.requests[best].priority) {
			best = i
		}
	}
	if best < 0 && hasFreeSlots {
		return l.Oldest()
	}
	return l.at(best)
}

// Overdue is a request that may wait no longer.
func (l *Queue[T]) Overdue(now timekeeper.Instant) (T, bool) {
	return l.at(slices.IndexFunc(l.requests, func(r queuedRequest[T]) bool { return r.forcedDeadline.Passed(now) }))
}

// at is the request at an index; false if that is below zero.
func (l *Queue[T]) at(i int) (T, bool) {
	if i < 0 {
		var none T
		return none, false
	}
	return l.requests[i].payload, true
}
