// Package pacer decides which requests are queued at the host while a service is congested, that
// is, while latency shows queueing at its targets.
//
// A load peak may arrive, or half of the targets may fail. Targets queue some requests for each
// slot and reject the rest. While their queues are full every response is late, those to urgent
// requests included, and requests that can no longer be on time take the slots of requests that
// still can. No host sees the whole load, and none sees the queue of a target.
//
// Each host therefore limits its requests in flight at a service according to the latency of
// responses (Load), as delay-based congestion control does (TCP Vegas; the gradient limits of
// adaptive concurrency). Requests of open flows beyond the limit wait at the host, in a Queue for
// each target, and those that can still be on time go first (earliest deadline first, without
// requests whose deadline can't be met). Hosts need no reports of each other's load: they all
// observe the same target queues.
//
// No request waits for long: after one deadline it goes before all others, and after another it is
// forwarded whatever the load.
//
// The package does no network I/O and reads no clock. Its state is plain values with a single
// owner, changed in place, since every response updates them.
package pacer

import "time"

const (
	// waitSmoothing is the weight of each response in the mean wait: a mean over about 20
	// responses. A host sees 50 or more per second under a load that causes congestion, so that
	// a load peak is detected within half a second.
	waitSmoothing = 0.05
	// congestionOnThreshold is the mean wait, as a fraction of the callers' slack, at which
	// congestion begins and requests are queued. Waits spread about as much as their mean, so
	// that one response in thirty is late at this mean, and soon more. Under normal load it
	// stays below 0.1.
	congestionOnThreshold = 0.3
	// congestionOffThreshold is the mean wait at which congestion ends; the difference between
	// the thresholds is the hysteresis that prevents alternation.
	congestionOffThreshold = 0.2
	// maxWait limits the wait that one response counts for, so that a few stalled requests
	// don't affect the average for long.
	maxWait = 4
	// slowdownSmoothing is the weight of each response in the moving average of slowdown.
	slowdownSmoothing = 0.1
	// maxSlowdown limits the slowdown that one response counts for.
	maxSlowdown = 10
	// toleratedSlowdown is the slowdown above which the window is scaled down: a request may
	// wait for one other. With less, slots are idle while hosts wait for responses; with more,
	// urgent requests wait too long.
	toleratedSlowdown = 2
	// minGradient limits how fast the window shrinks.
	minGradient = 0.5
	// windowHeadroom is the number of requests by which the window grows while responses are not
	// slow. The growth detects that capacity is available again.
	windowHeadroom = 1
	// windowSmoothing is the fraction of the distance to its new size that the window moves with
	// each response.
	windowSmoothing = 0.1
	// minWindow keeps a service from being blocked completely.
	minWindow = 1
)

// Response describes the response to a request.
type Response struct {
	// Latency is the time since the request was forwarded, QueueDelay the time that it was
	// queued at the host before.
	Latency    time.Duration
	QueueDelay time.Duration
	// BaselineLatency is the median of Latency while the service is not congested, Objective the
	// latency objective of the callers.
	BaselineLatency time.Duration
	Objective       time.Duration
	// InFlight is the number of requests that the host has in flight at the service.
	InFlight int
}

// Load tracks the load of a service as one host sees it. The zero Load is not congested.
type Load struct {
	// meanWait is the moving average of the time that requests wait, as a fraction of the
	// callers' slack (objective minus baseline latency).
	meanWait float64
	// slowdown is the moving average of latency as a multiple of the baseline latency.
	slowdown  float64
	congested bool
	window    float64
}

// Congested reports whether the service is congested, so that requests may have to wait.
func (l *Load) Congested() bool { return l.congested }

// MeanWait returns the mean wait as a fraction of the callers' slack, for operators.
func (l *Load) MeanWait() float64 { return l.meanWait }

// Window returns how many requests the host may have in flight while the service is congested.
func (l *Load) Window() float64 { return l.window }

// HasCapacity reports whether one more request may be forwarded.
func (l *Load) HasCapacity(inFlight int) bool { return float64(inFlight) < l.window }

// RecordResponse updates the load with a response, and reports whether congestion of the service
// has begun or ended with it.
//
// It ignores responses whose baseline latency or objective is not known, and those whose objective
// would be missed without any wait: queueing helps no request then.
func (l *Load) RecordResponse(r Response) bool {
	slack := r.Objective - r.BaselineLatency
	if r.BaselineLatency <= 0 || slack <= 0 {
		return false
	}
	wait := float64(r.Latency+r.QueueDelay-r.BaselineLatency) / float64(slack)
	l.meanWait += waitSmoothing * (min(max(wait, 0), maxWait) - l.meanWait)
	if l.slowdown == 0 {
		l.slowdown = 1
	}
	l.slowdown += slowdownSmoothing * (min(float64(r.Latency)/float64(r.BaselineLatency), maxSlowdown) - l.slowdown)
	before := l.congested
	l.congested = l.meanWait > congestionOnThreshold || (before && l.meanWait > congestionOffThreshold)
	if l.congested && !before {
		l.window = max(float64(r.InFlight), minWindow)
	}
	if l.congested {
		l.resize()
	}
	return l.congested != before
}

// resize moves the window towards the size at which the slowdown is the tolerated one.
func (l *Load) resize() {
	gradient := min(max(toleratedSlowdown/l.slowdown, minGradient), 1)
	next := l.window*gradient + windowHeadroom
	l.window = max(l.window+windowSmoothing*(next-l.window), minWindow)
}
