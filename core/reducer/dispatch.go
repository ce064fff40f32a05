package reducer

import (
	"slices"
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/resolver"
	"cranberryspan.dev/core/timekeeper"
)

// dispatch starts a request or, if its target has no free slot, queues it. It
// refuses the request at once if its tenant has too many requests queued and in
// flight, if the queue is full, or if the wait would exceed the deadline.
func (r *Reducer) dispatch(q *request) {
	policy := &q.service.settings.Policy
	tenant := q.service.settings.Tenant
	t := q.service.registry[q.target]
	if r.tenantInFlight[tenant] >= policy.MaxTenantInFlight {
		r.refuse(q, OutcomeNotRun, RefuseTenantFull)
		return
	}
	if t.inFlight < t.concurrencyLimit(r.now) {
		r.countForTenant(q)
		r.start(q)
		return
	}
	limit := policy.MaxQueueLength
	if policy.Priority == resolver.PriorityLow || q.packet.Flags.Has(messenger.FlagBlockwise) {
		limit /= 2
	}
	switch {
	case len(t.queue) >= limit:
		r.refuse(q, OutcomeNotRun, RefuseQueueFull)
	case r.now.Add(t.expectedWait(r.now)) >= q.deadline:
		r.refuse(q, OutcomeNotRun, RefuseTooLate)
	default:
		r.countForTenant(q)
		q.state = stateQueued
		t.queue = append(t.queue, q)
	}
}

// countForTenant counts a request for its tenant until releaseSlot is called.
func (r *Reducer) countForTenant(q *request) {
	q.countedForTenant = true
	r.tenantInFlight[q.service.settings.Tenant]++
}

// expectedWait estimates how long a request that is queued now waits before it is
// sent, from the average service time.
func (t *target) expectedWait(now timekeeper.Instant) time.Duration {
	return t.serviceTime * time.Duration(len(t.queue)+1) / time.Duration(t.concurrencyLimit(now))
}

// updateServiceTime adds the service time of one request to the target's
// exponential moving average, which covers about 8 requests.
func (t *target) updateServiceTime(elapsed time.Duration) {
	const weight = 8
	if t.serviceTime == 0 {
		t.serviceTime = elapsed
		return
	}
	t.serviceTime += (elapsed - t.serviceTime) / weight
}

// start occupies a slot of the target and sends the request. A non-idempotent
// request is sent only after the successor, if there is one, has stored its
// identity.
func (r *Reducer) start(q *request) {
	q.inFlight = true
	q.service.registry[q.target].inFlight++
	if q.nonIdempotent() && r.sendToWitness(q) {
		q.state = stateWitnessing
		return
	}
	r.send(q)
}

func (r *Reducer) send(q *request) {
	q.state = stateSent
	q.sentAt = r.now
	q.attempts++
	e := ToTarget{
		Target:  q.service.registry[q.target].address,
		Return:  resolver.ReturnAddress(q.service.settings.ReturnPrefix, q.key),
		Payload: q.packet.Payload,
	}
	if q.nonIdempotent() {
		e.Deadline = r.now.Add(sendValidity)
	} else {
		attemptTimeout := q.deadline.Until(q.receivedAt) / maxAttempts
		jitter := time.Duration(r.random.Int64N(int64(attemptTimeout)/4 + 1))
		q.attemptDeadline = r.now.Add(attemptTimeout + jitter)
	}
	r.sendTarget(e)
}

// releaseSlot frees a request's slot or queue entry at its target, stops counting it
// for its tenant, and starts the next queued request.
func (r *Reducer) releaseSlot(q *request) {
	if q.countedForTenant {
		q.countedForTenant = false
		r.tenantInFlight[q.service.settings.Tenant]--
	}
	if q.target == noTarget {
		return
	}
	t := q.service.registry[q.target]
	if q.state == stateQueued {
		t.queue = slices.DeleteFunc(t.queue, func(other *request) bool { return other == q })
	}
	if !q.inFlight {
		return
	}
	q.inFlight = false
	t.inFlight--
	r.startQueued(t)
}

func (r *Reducer) startQueued(t *target) {
	for len(t.queue) > 0 && t.inFlight < t.concurrencyLimit(r.now) {
		next := t.queue[0]
		t.queue = slices.Delete(t.queue, 0, 1)
		r.start(next)
	}
}

// advanceRequests handles deadlines, starts queued requests, and removes finished
// ones: idempotent requests at once, others once callers no longer retransmit them.
func (r *Reducer) advanceRequests() {
	kept := r.active[:0]
	// Requests that are added during the loop are appended afterwards.
	current := r.active
	r.active = nil
	for _, q := range current {
		r.checkDeadline(q)
		if q.state == stateCompleted || q.state == stateRefused {
			q.active = false
			if !q.nonIdempotent() {
				r.removeRequest(q)
			}
			continue
		}
		kept = append(kept, q)
	}
	r.active = append(kept, r.active...)
	for _, id := range r.serviceIDs {
		r.removeExpired(r.services[id])
		r.drainQueues(r.services[id])
	}
}

// drainQueues starts queued requests for which slots became free because a peer
// reported a lower load or its report expired.
func (r *Reducer) drainQueues(s *service) {
	for _, t := range s.registry {
		if len(t.queue) > 0 {
			r.startQueued(t)
		}
	}
}

func (r *Reducer) checkDeadline(q *request) {
	switch q.state {
	case stateQueued:
		if q.deadline.Passed(r.now) {
			r.refuse(q, OutcomeNotRun, RefuseDeadline)
		}
	case stateWitnessing:
		if q.deadline.Passed(r.now) {
			r.refuse(q, OutcomeNotRun, RefuseDeadline)
		}
	case stateRefusing:
		if q.deadline.Passed(r.now) {
			q.outcome = OutcomeUnknown
			r.sendFinalReply(q)
		}
	case stateInDoubt:
		if q.deadline.Passed(r.now) {
			r.refuse(q, OutcomeUnknown, RefuseUncertain)
		}
	case stateSent:
		r.checkSentDeadline(q)
	case stateCompleted, stateRefused:
	}
}

func (r *Reducer) checkSentDeadline(q *request) {
	if q.deadline.Passed(r.now) {
		r.recordFailure(q)
		if q.packet.Flags.Has(messenger.FlagStream) {
			// The response to a stream's registration may have gone to the caller
			// without passing this host, so no reply is sent.
			r.releaseSlot(q)
			q.state = stateCompleted
			return
		}
		r.refuse(q, OutcomeUnknown, RefuseUnanswered)
		return
	}
	if q.retriable() && q.attemptDeadline.Passed(r.now) {
		r.recordFailure(q)
		r.retry(q)
	}
}

func (r *Reducer) recordFailure(q *request) {
	if q.target != noTarget {
		q.service.registry[q.target].failedRequests++
	}
}

// retry dispatches an idempotent request to another target if the retry budget
// allows, and reports whether it did.
func (r *Reducer) retry(q *request) bool {
	q.attemptDeadline = timekeeper.Never
	s := q.service
	if q.attempts >= maxAttempts || s.retryTokens < 1 {
		return false
	}
	index, ok := s.choose(q.hash, q.target, r.now)
	if !ok {
		return false
	}
	s.retryTokens--
	r.count(CountRetries)
	r.releaseSlot(q)
	q.previousTarget = q.target
	q.target = index
	r.dispatch(q)
	return true
}

func (r *Reducer) removeRequest(q *request) {
	if r.requests[q.id] == q {
		delete(r.requests, q.id)
	}
	token := tokenOf(q.key, q.packet.Exchange)
	if r.byToken[token] == q {
		delete(r.byToken, token)
	}
	r.freeRequests = append(r.freeRequests, q)
}

// removeExpired removes the oldest requests that callers no longer retransmit, up to
// the first that is still active or may be retransmitted.
func (r *Reducer) removeExpired(s *service) {
	n := 0
	for n < len(s.retained) && s.retained[n].retainDeadline.Passed(r.now) && !s.retained[n].active {
		r.removeRequest(s.retained[n])
		n++
	}
	s.retained = slices.Delete(s.retained, 0, n)
}
