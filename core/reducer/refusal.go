package reducer

import (
	"time"

	"cranberryspan.dev/core/placer"
)

// refuse ends a request with a final reply from the load balancer.
//
// A non-idempotent request is reported as not run only while this host has
// permission to run it, and only after the successor, if there is one, has stored
// its identity. Without this, when this host reports that a request did not run and
// then dies, a late retransmission reaches the next owner, which has no record of
// the request and runs it. This shows as a request that takes effect although its
// caller has given it up or replaced it, because it was reported as not run.
func (r *Reducer) refuse(q *request, outcome Outcome, reason Reason) {
	r.releaseSlot(q)
	q.outcome, q.reason = outcome, reason
	if outcome == OutcomeUnknown || !q.nonIdempotent() {
		r.sendFinalReply(q)
		return
	}
	if r.checkPermission(placer.BucketOf(q.hash), q.service) != permissionGranted {
		q.outcome = OutcomeUnknown
		r.sendFinalReply(q)
		return
	}
	q.state = stateRefusing
	q.deadline = r.now.Add(refuseTimeout)
	if !r.sendToWitness(q) {
		r.sendFinalReply(q)
	}
}

// sendFinalReply sends the final reply to a request and counts its reason.
func (r *Reducer) sendFinalReply(q *request) {
	q.state = stateRefused
	r.count(q.reason)
	r.emitReply(q, q.outcome, q.reason)
}

func (r *Reducer) emitReply(q *request, outcome Outcome, reason Reason) {
	r.emit(&Reply{
		Caller:     q.key.Caller(),
		Service:    q.service.settings.Address,
		Exchange:   q.packet.Exchange,
		Flags:      q.packet.Flags,
		Outcome:    outcome,
		Reason:     reason,
		RetryAfter: r.retryAfter(q),
	})
}

// retryAfter returns how long a caller should wait before it retries: one second and
// about as long as the target's current queue takes at 100 ms a request, and up to
// twice that by jitter, so that callers don't all retry at the same time.
func (r *Reducer) retryAfter(q *request) time.Duration {
	wait := time.Second
	if q.target != noTarget {
		t := q.service.registry[q.target]
		wait += time.Duration(len(t.queue)/max(1, t.policy.Slots)) * 100 * time.Millisecond
	}
	return wait + time.Duration(r.random.Int64N(int64(wait)))
}
