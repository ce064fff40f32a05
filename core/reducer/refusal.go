package reducer

import (
	"time"

	"cranberryspan.dev/core/placer"
)

// refuse gives a request its final answer on the system's behalf.
//
// What goes wrong with a refusal that is simply sent: the caller is told that a
// check did not run; this host dies; a late copy of the datagram reaches the
// next owner, which has never heard of it, and runs. One notices by a booked
// commitment whose order was withdrawn. So "not run" is only said while this
// host may still decide alone, and after its successor holds the identity.
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

// sendFinalReply sends a request's final answer.
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

// retryAfter tells a caller when to come back: when the queue that is there now
// will be worked off, with some jitter, so that callers don't come together.
func (r *Reducer) retryAfter(q *request) time.Duration {
	wait := time.Second
	if q.target != noTarget {
		t := q.service.registry[q.target]
		wait += time.Duration(len(t.queue)/max(1, t.policy.Slots)) * 100 * time.Millisecond
	}
	return wait + time.Duration(r.random.Int64N(int64(wait)))
}
