package reducer

import (
	"encoding/binary"
	"slices"
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/placer"
	"cranberryspan.dev/core/resolver"
	"cranberryspan.dev/core/timekeeper"
	"github.com/cespare/xxhash/v2"
)

const (
	maxAttempts = 3
	// maxRetryTokens bounds how many retries may come in one burst.
	maxRetryTokens = 20
	// maxKeptAnswer bounds the answers that are kept for repeats of a request.
	maxKeptAnswer = 1024
	// maxHeld bounds the packets that wait for this host's permission.
	maxHeld = 4096
	// holdSpan is how long a packet waits for permission at most.
	holdSpan = 2 * time.Second
	// refuseSpan is how long a refusal waits until the successor knows of it.
	refuseSpan = 500 * time.Millisecond
	// sendSpan is how long a decision to send stays good: far less than a
	// lease's grant exceeds the lease.
	sendSpan = 100 * time.Millisecond
)

// requestState is how far a request has come.
type requestState uint8

const (
	// stateQueued requests wait for room at their target; they have not run.
	stateQueued requestState = iota + 1
	// stateWitnessing requests wait until the successor holds their identity.
	stateWitnessing
	// stateSent requests are at their target.
	stateSent
	// stateOrphan requests may have been sent by an earlier owner.
	stateOrphan
	// stateRefusing requests will not run here; their caller is told as soon as
	// the successor holds the identity, so that no late copy runs there either.
	stateRefusing
	// stateAnswered requests got their target's answer.
	stateAnswered
	// stateRefused requests got a final Reply from this host.
	stateRefused
)

// request is one request that this host is responsible for, kept for as long
// as the caller may repeat it if it must not run twice.
type request struct {
	id       uint64
	key      resolver.FlowKey
	hash     uint64
	service  *service
	packet   messenger.Packet
	state    requestState
	outcome  Outcome
	reason   Reason
	target   uint16
	tried    uint16
	attempts uint8
	inFlight bool
	active   bool
	since    timekeeper.Instant
	deadline timekeeper.Instant
	// attemptDeadline is when an idempotent request is tried elsewhere.
	attemptDeadline timekeeper.Instant
	forgetDeadline  timekeeper.Instant
	answer          []byte
	// heldBy names the successor that is asked to hold the identity.
	heldBy string
}

func (q *request) careful() bool { return !q.packet.Flags.Has(messenger.FlagIdempotent) }

func (q *request) retriable() bool {
	const pinned = messenger.FlagStream | messenger.FlagBlock
	return !q.careful() && q.packet.Flags&pinned == 0
}

type tokenKey struct {
	key    resolver.FlowKey
	token  uint64
	length uint8
}

func tokenOf(key resolver.FlowKey, e messenger.Exchange) tokenKey {
	return tokenKey{key: key, token: e.Token, length: e.TokenLength}
}

// identityOf hashes what makes a request the same request.
func identityOf(key resolver.FlowKey, e messenger.Exchange) uint64 {
	var b [19]byte
	binary.LittleEndian.PutUint64(b[0:], uint64(key))
	binary.LittleEndian.PutUint64(b[8:], e.Token)
	binary.LittleEndian.PutUint16(b[16:], e.MessageID)
	b[18] = e.TokenLength
	return xxhash.Sum64(b[:])
}

// request takes in a request at the host that is responsible for its flow.
func (r *Reducer) request(in *inbound, role role) {
	id := identityOf(in.key, in.packet.Exchange)
	if q, ok := r.requests[id]; ok {
		r.repeated(in, q)
		return
	}
	if in.packet.Flags.Has(messenger.FlagOpens) && !r.mayOpen() {
		r.hold(in, id, RefuseIsolated)
		return
	}
	if needsCare(in) && !r.admitCareful(in, id, role) {
		return
	}
	q := r.newRequest(in, id)
	at, ok := r.targetFor(in)
	if !ok {
		r.refuse(q, OutcomeNotRun, RefuseNoTarget)
		return
	}
	q.target = at
	in.service.retryTokens = min(in.service.retryTokens+in.service.settings.Policy.RetryShare, maxRetryTokens)
	r.enqueue(q)
}

// admitCareful decides whether a request that may run only once may run here
// and now. If not, it holds the packet or notes that it may have run before.
func (r *Reducer) admitCareful(in *inbound, id uint64, role role) bool {
	if r.identities.has(id) {
		r.orphan(in, id)
		return false
	}
	if role != roleOwner {
		r.hold(in, id, RefuseNoOwner)
		return false
	}
	switch r.permission(placer.BucketOf(in.hash), in.service) {
	case permissionGranted:
		return true
	case permissionUncertain:
		r.count(RefuseUncertain)
		r.orphan(in, id)
	case permissionWait:
		r.hold(in, id, RefuseHeld)
	}
	return false
}

// orphan notes a request that an earlier owner may have sent to a target. If it
// did, the answer still finds its caller; if none comes, the outcome is unknown.
func (r *Reducer) orphan(in *inbound, id uint64) {
	q := r.newRequest(in, id)
	q.state = stateOrphan
}

func (r *Reducer) newRequest(in *inbound, id uint64) *request {
	var q *request
	if n := len(r.spare); n > 0 {
		q = r.spare[n-1]
		r.spare = r.spare[:n-1]
	} else {
		q = &request{}
	}
	policy := &in.service.settings.Policy
	*q = request{
		id:             id,
		key:            in.key,
		hash:           in.hash,
		service:        in.service,
		packet:         *in.packet,
		target:         noTarget,
		tried:          noTarget,
		since:          r.now,
		deadline:       r.now.Add(policy.RequestDeadline),
		forgetDeadline: r.now.Add(policy.RepeatWindow),
		active:         true,
	}
	if in.packet.Deadline != 0 {
		q.deadline = min(q.deadline, in.packet.Deadline)
	}
	r.requests[id] = q
	r.byToken[tokenOf(q.key, q.packet.Exchange)] = q
	r.active = append(r.active, q)
	if q.careful() {
		in.service.forget = append(in.service.forget, q)
	}
	return q
}

// repeated handles a datagram whose request is known.
func (r *Reducer) repeated(in *inbound, q *request) {
	switch q.state {
	case stateAnswered:
		if q.answer != nil {
			r.sendCaller(ToCaller{Caller: q.key.Caller(), Service: q.service.settings.Address, Payload: q.answer})
			return
		}
		if q.careful() {
			r.reply(q, OutcomeUnknown, RefuseUncertain)
			return
		}
		r.resend(q, in)
	case stateRefused:
		r.reply(q, q.outcome, q.reason)
	case stateSent:
		if !q.careful() {
			r.resend(q, in)
			return
		}
		r.count(DropDuplicate)
	case stateQueued, stateWitnessing, stateRefusing, stateOrphan:
		r.count(DropDuplicate)
	}
}

// resend passes a repeated idempotent request on to where it went before.
func (r *Reducer) resend(q *request, in *inbound) {
	if q.target != noTarget && q.service.registry[q.target].present {
		r.pass(in, q.target)
	}
}

// targetFor finds the target of a request and remembers the flow.
func (r *Reducer) targetFor(in *inbound) (uint16, bool) {
	f, known := r.flows.get(in.key, in.hash)
	if !known {
		return r.placeFlow(in)
	}
	s := in.service
	flags := in.packet.Flags
	t := s.registry[f.target]
	continues := !flags.Has(messenger.FlagOpens) || (f.flags&flowLong != 0 && flags.Has(messenger.FlagStream))
	ejected := s.eject(r.now)
	if t.present && (continues || (t.policy.State == resolver.TargetActive && !ejected[f.target])) {
		r.touchLong(in, f)
		return f.target, true
	}
	if f.other != noTarget && s.registry[f.other].usable(r.now) && !ejected[f.other] {
		r.touch(in, f)
		return f.other, true
	}
	at, ok := s.choose(in.hash, f.target, r.now)
	if !ok {
		return noTarget, false
	}
	r.count(CountMoved)
	if f.flags&flowLong != 0 && t.present {
		// The target drains: it keeps the flow's streams and uploads, and the
		// flow's new work goes elsewhere.
		f.other = at
	} else {
		f = flow{target: at, other: noTarget}
	}
	f.seen = 0
	r.markException(in.service, in.hash, &f)
	r.touchLong(in, f)
	return at, true
}

// touchLong is touch, and marks flows that carry streams or uploads.
func (r *Reducer) touchLong(in *inbound, f flow) {
	if in.packet.Flags&(messenger.FlagStream|messenger.FlagBlock) != 0 && f.flags&flowLong == 0 {
		f.flags |= flowLong
		f.seen = 0
	}
	r.touch(in, f)
}

// placeFlow places a flow that this host does not know. A packet that can only
// continue a flow goes where such a flow would have been put before the last
// change, and never opens a new one elsewhere.
func (r *Reducer) placeFlow(in *inbound) (uint16, bool) {
	var at uint16
	var ok bool
	if in.packet.Flags.Has(messenger.FlagOpens) {
		at, ok = in.service.choose(in.hash, noTarget, r.now)
	} else {
		at, ok = in.service.earlier(in.hash, r.now)
	}
	if !ok {
		return noTarget, false
	}
	f := flow{target: at, other: noTarget}
	r.markException(in.service, in.hash, &f)
	r.touchLong(in, f)
	r.journalFlow(in.key, in.hash, f)
	return at, true
}

// markException sets whether a flow is elsewhere than a newcomer would look.
func (r *Reducer) markException(s *service, hash uint64, f *flow) {
	first, ok := s.tables[0].first(hash)
	if ok && first == f.target && f.other == noTarget {
		f.flags &^= flowException | flowCopied
		return
	}
	if f.flags&flowException == 0 {
		f.flags |= flowException
		f.flags &^= flowCopied
	}
	r.dirtyShards = flowShards
}

// enqueue starts a request, or queues it while its target is full.
func (r *Reducer) enqueue(q *request) {
	t := q.service.registry[q.target]
	if t.inFlight < t.room(r.now) {
		r.start(q)
		return
	}
	limit := q.service.settings.Policy.QueueLength
	if q.service.settings.Policy.Priority == resolver.PriorityLow || q.packet.Flags.Has(messenger.FlagBlock) {
		limit /= 2
	}
	if len(t.queue) >= limit {
		r.refuse(q, OutcomeNotRun, RefuseQueueFull)
		return
	}
	q.state = stateQueued
	t.queue = append(t.queue, q)
}

// start takes a place at the target and sends the request, through the
// successor if it may run only once.
func (r *Reducer) start(q *request) {
	q.inFlight = true
	q.service.registry[q.target].inFlight++
	if q.careful() && r.askWitness(q) {
		q.state = stateWitnessing
		return
	}
	r.send(q)
}

func (r *Reducer) send(q *request) {
	q.state = stateSent
	q.attempts++
	e := ToTarget{
		Target:  q.service.registry[q.target].address,
		Return:  resolver.ReturnAddress(q.service.settings.ReturnPrefix, q.key),
		Payload: q.packet.Payload,
	}
	if q.careful() {
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

// refuse gives a request its final answer on the system's behalf.
//
// What goes wrong with a refusal that is simply sent: the caller is told that a
// check did not run; this host dies; a late copy of the datagram reaches the
// next owner, which has never heard of it, and runs. One notices by a booked
// commitment whose order was withdrawn. So "not run" is only said while this
// host may still decide alone, and after its successor holds the identity.
func (r *Reducer) refuse(q *request, outcome Outcome, reason Reason) {
	r.leave(q)
	q.outcome, q.reason = outcome, reason
	if outcome == OutcomeUnknown || !q.careful() {
		r.conclude(q)
		return
	}
	if r.permission(placer.BucketOf(q.hash), q.service) != permissionGranted {
		q.outcome = OutcomeUnknown
		r.conclude(q)
		return
	}
	q.state = stateRefusing
	q.deadline = r.now.Add(refuseSpan)
	if !r.askWitness(q) {
		r.conclude(q)
	}
}

// conclude sends a request's final answer.
func (r *Reducer) conclude(q *request) {
	q.state = stateRefused
	r.count(q.reason)
	r.reply(q, q.outcome, q.reason)
}

func (r *Reducer) reply(q *request, outcome Outcome, reason Reason) {
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
			if !q.careful() {
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

// heldPacket waits until this host may act on it or another host owns it.
type heldPacket struct {
	in       inbound
	packet   messenger.Packet
	id       uint64
	reason   Reason
	deadline timekeeper.Instant
}

// hold keeps a request while it is not settled whether this host may act on it.
// Where waiting is of no use, the caller is told at once.
func (r *Reducer) hold(in *inbound, id uint64, reason Reason) {
	if r.heldIDs[id] {
		r.count(DropDuplicate)
		return
	}
	if len(r.held) >= maxHeld {
		r.count(DropHeldOverflow)
		return
	}
	deadline := r.now.Add(holdSpan)
	if in.packet.Deadline != 0 {
		deadline = min(deadline, in.packet.Deadline)
	}
	if r.hopeless(reason) {
		deadline = r.now
	}
	h := heldPacket{in: *in, packet: *in.packet, id: id, reason: reason, deadline: deadline}
	if deadline.Passed(r.now) {
		r.refuseHeld(&h)
		return
	}
	r.heldIDs[id] = true
	r.held = append(r.held, h)
}

// hopeless reports whether it has been clear for a while that this host can't
// get permission.
func (r *Reducer) hopeless(reason Reason) bool {
	switch reason {
	case RefuseNoOwner:
		return r.joining.over
	case RefuseIsolated:
		return r.isolated()
	default:
	}
	return r.joining.over && r.powerless != timekeeper.Never && r.powerless.Add(holdSpan).Passed(r.now)
}

func (r *Reducer) refuseHeld(h *heldPacket) {
	in := h.in
	in.packet = &h.packet
	q := r.newRequest(&in, h.id)
	outcome := OutcomeNotRun
	if q.careful() {
		// An earlier copy of the datagram may have run at another host.
		outcome = OutcomeUnknown
	}
	r.refuse(q, outcome, h.reason)
}

func (r *Reducer) heldTick() {
	held := r.held
	r.held = nil
	for i := range held {
		h := &held[i]
		delete(r.heldIDs, h.id)
		if h.deadline.Passed(r.now) {
			r.refuseHeld(h)
			continue
		}
		before := len(r.held)
		in := h.in
		in.packet = &h.packet
		in.service = r.services[in.key.Service()]
		if in.service == nil {
			r.count(DropUnknownService)
			continue
		}
		r.route(&in)
		if len(r.held) > before {
			r.held[before].deadline = h.deadline
		}
	}
}
