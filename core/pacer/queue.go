package pacer

import (
	"slices"
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// agingFraction is the fraction of a route's timeout after which a request goes before all
	// later ones. Until then the host prefers requests that can still be on time.
	agingFraction = 0.35
	// forcedFraction is the fraction of a route's timeout after which a request is forwarded
	// whatever the load, so that its target serves or rejects it while its caller still has more
	// than half of the time.
	forcedFraction = 0.45
	// latencyAllowance is the latency that is allowed for when deciding whether a request can
	// be on time, as a multiple of the baseline: some responses take longer than the median.
	latencyAllowance = 2
)

// queuedRequest is a request in a queue. Its payload is what the owner needs to forward it.
type queuedRequest[T comparable] struct {
	payload T
	// priority is that of the route; 0 goes first.
	priority int
	// onTimeDeadline is until when the request has to be forwarded to be on time, agingDeadline
	// when it goes before all others, forcedDeadline when it is forwarded whatever the load.
	onTimeDeadline timekeeper.Instant
	agingDeadline  timekeeper.Instant
	forcedDeadline timekeeper.Instant
}

// RouteParams holds the baseline latency, latency objective, timeout and priority of a route.
type RouteParams struct {
	BaselineLatency time.Duration
	Objective       time.Duration
	Timeout         time.Duration
	Priority        int
}

// Queue holds the requests that wait for one target, in order of arrival. The zero Queue is empty.
type Queue[T comparable] struct {
	requests []queuedRequest[T]
}

// Len returns the number of queued requests.
func (q *Queue[T]) Len() int { return len(q.requests) }

// Add appends a request to the queue.
func (q *Queue[T]) Add(payload T, now timekeeper.Instant, params RouteParams) {
	q.requests = append(q.requests, queuedRequest[T]{
		payload:        payload,
		priority:       params.Priority,
		onTimeDeadline: now.Add(params.Objective - latencyAllowance*params.BaselineLatency),
		agingDeadline:  now.Add(time.Duration(agingFraction * float64(params.Timeout))),
		forcedDeadline: now.Add(time.Duration(forcedFraction * float64(params.Timeout))),
	})
}

// Remove removes a request from the queue.
func (q *Queue[T]) Remove(payload T) {
	q.requests = slices.DeleteFunc(q.requests, func(r queuedRequest[T]) bool { return r.payload == payload })
}

// Oldest returns the request that has waited longest; false if the queue is empty.
func (q *Queue[T]) Oldest() (T, bool) { return q.at(min(len(q.requests), 1) - 1) }

// Next returns the request to forward next: the oldest request past its aging deadline, or else,
// among those that can be on time, the oldest of the highest priority. If all will be late, it
// returns the oldest, but only if the target has free slots: otherwise a late request would take
// the slot of one that is about to arrive and can be on time.
func (q *Queue[T]) Next(now timekeeper.Instant, hasFreeSlots bool) (T, bool) {
	best := -1
	for i := range q.requests {
		r := &q.requests[i]
		if r.agingDeadline.Passed(now) {
			return r.payload, true
		}
		onTime := !r.onTimeDeadline.Passed(now)
		if onTime && (best < 0 || r.priority < q.requests[best].priority) {
			best = i
		}
	}
	if best < 0 && hasFreeSlots {
		return q.Oldest()
	}
	return q.at(best)
}

// Overdue returns a request past its forced deadline; false if there is none.
func (q *Queue[T]) Overdue(now timekeeper.Instant) (T, bool) {
	return q.at(slices.IndexFunc(q.requests, func(r queuedRequest[T]) bool { return r.forcedDeadline.Passed(now) }))
}

// at returns the request at an index; false if the index is negative.
func (q *Queue[T]) at(i int) (T, bool) {
	if i < 0 {
		var none T
		return none, false
	}
	return q.requests[i].payload, true
}
