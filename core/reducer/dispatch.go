package reducer

import (
	"slices"
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/resolver"
	"cranberryspan.dev/core/timekeeper"
)

// enqueue starts a request, queues it while its target is full, or refuses it
// where waiting is of no use: better at once than at the deadline.
func (r *Reducer) enqueue(q *request) {
	policy := &q.service.settings.Policy
	tenant := q.service.settings.Tenant
	t := q.service.registry[q.target]
	if r.tenantLoad[tenant] >= policy.MaxTenantInFlight {
		r.refuse(q, OutcomeNotRun, RefuseTenantFull)
		return
	}
	if t.inFlight < t.room(r.now) {
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

// countForTenant counts a request for its tenant until it leaves.
func (r *Reducer) countForTenant(q *request) {
	q.counted = true
	r.tenantLoad[q.service.settings.Tenant]++
}

// expectedWait estimates how long a request that queues now waits for its turn,
// from what requests took of late.
func (t *target) expectedWait(now timekeeper.Instant) time.Duration {
	return t.serviceTime * time.Duration(len(t.queue)+1) / time.Duration(t.room(now))
}

// noteServiceTime takes in how long a request was at the target, as a moving
// average over about eight requests.
func (t *target) noteServiceTime(took time.Duration) {
	const weight = 8
	if t.serviceTime == 0 {
		t.serviceTime = took
		return
	}
	t.serviceTime += (took - t.serviceTime) / weight
}

// start takes a place at the target and sends the request, through the
// successor if it may run only once.
func (r *Reducer) start(q *request) {
	q.inFlight = true
	q.service.registry[q.target].inFlight++
	if q.nonIdempotent() && r.askWitness(q) {
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
		e.Deadline = r.now.Add(sendSpan)
	} else {
		share := q.deadline.Until(q.since) / maxAttempts
		jitter := time.Duration(r.random.Int64N(int64(share)/4 + 1))
		q.attemptDeadline = r.now.Add(share + jitter)
	}
	r.sendTarget(e)
}

// leave gives up a request's place at its target and starts the next one.
func (r *Reducer) leave(q *request) {
	if q.counted {
		q.counted = false
		r.tenantLoad[q.service.settings.Tenant]--
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
	r.startNext(t)
}

func (r *Reducer) startNext(t *target) {
	for len(t.queue) > 0 && t.inFlight < t.room(r.now) {
		next := t.queue[0]
		t.queue = slices.Delete(t.queue, 0, 1)
		r.start(next)
	}
}

// requestTick handles deadlines and forgets what is over.
func (r *Reducer) requestTick() {
	kept := r.active[:0]
	// Requests that start while the list is walked are added behind it.
	walked := r.active
	r.active = nil
	for _, q := range walked {
		r.age(q)
		if q.state == stateAnswered || q.state == stateRefused {
			q.active = false
			if !q.nonIdempotent() {
				r.forget(q)
			}
			continue
		}
		kept = append(kept, q)
	}
	r.active = append(kept, r.active...)
	for _, id := range r.serviceIDs {
		r.forgetOld(r.services[id])
		r.drainQueues(r.services[id])
	}
}

// drainQueues starts queued requests whose room came from a peer's news.
func (r *Reducer) drainQueues(s *service) {
	for _, t := range s.registry {
		if len(t.queue) > 0 {
			r.startNext(t)
		}
	}
}

func (r *Reducer) age(q *request) {
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
			r.conclude(q)
		}
	case stateOrphan:
		if q.deadline.Passed(r.now) {
			r.refuse(q, OutcomeUnknown, RefuseUncertain)
		}
	case stateSent:
		r.ageSent(q)
	case stateAnswered, stateRefused:
	}
}

func (r *Reducer) ageSent(q *request) {
	if q.deadline.Passed(r.now) {
		r.blame(q)
		if q.packet.Flags.Has(messenger.FlagStream) {
			// The answer to a stream's registration may have gone straight to
			// the caller, so nothing is said here.
			r.leave(q)
			q.state = stateAnswered
			return
		}
		r.refuse(q, OutcomeUnknown, RefuseUnanswered)
		return
	}
	if q.retriable() && q.attemptDeadline.Passed(r.now) {
		r.blame(q)
		r.retry(q)
	}
}

func (r *Reducer) blame(q *request) {
	if q.target != noTarget {
		q.service.registry[q.target].failedRequests++
	}
}

// retry sends an idempotent request to another target if the budget allows.
func (r *Reducer) retry(q *request) bool {
	q.attemptDeadline = timekeeper.Never
	s := q.service
	if q.attempts >= maxAttempts || s.retryTokens < 1 {
		return false
	}
	at, ok := s.choose(q.hash, q.target, r.now)
	if !ok {
		return false
	}
	s.retryTokens--
	r.count(CountRetry)
	r.leave(q)
	q.tried = q.target
	q.target = at
	r.enqueue(q)
	return true
}

func (r *Reducer) forget(q *request) {
	if r.requests[q.id] == q {
		delete(r.requests, q.id)
	}
	token := tokenOf(q.key, q.packet.Exchange)
	if r.byToken[token] == q {
		delete(r.byToken, token)
	}
	r.spare = append(r.spare, q)
}

// forgetOld drops requests that no caller repeats any more.
func (r *Reducer) forgetOld(s *service) {
	n := 0
	for n < len(s.forget) && s.forget[n].forgetDeadline.Passed(r.now) && !s.forget[n].active {
		r.forget(s.forget[n])
		n++
	}
	s.forget = slices.Delete(s.forget, 0, n)
}
