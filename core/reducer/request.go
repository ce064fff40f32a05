package reducer

import (
	"encoding/binary"
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
	// maxCachedResponseBytes bounds the answers that are kept for repeats of a request.
	maxCachedResponseBytes = 1024
	// maxHeldPackets bounds the packets that wait for this host's permission.
	maxHeldPackets = 4096
	// holdTimeout is how long a packet waits for permission at most. A host that has
	// just got an owner's records waits a lease before it acts, on top of what its
	// joining takes; the packets that come meanwhile must outlast that.
	holdTimeout = 4 * time.Second
	// futileWaitAfter is how long a host may lack what it needs before it refuses at
	// once instead of holding.
	futileWaitAfter = 2 * time.Second
	// refuseTimeout is how long a refusal waits until the successor knows of it.
	refuseTimeout = 500 * time.Millisecond
	// sendValidity is how long a decision to send stays good: far less than a
	// lease's grant exceeds the lease.
	sendValidity = 100 * time.Millisecond
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
	// stateInDoubt requests may have been sent by an earlier owner.
	stateInDoubt
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
	id             uint64
	key            resolver.FlowKey
	hash           uint64
	service        *service
	packet         messenger.Packet
	state          requestState
	outcome        Outcome
	reason         Reason
	target         uint16
	previousTarget uint16
	attempts       uint8
	inFlight       bool
	// countedForTenant says that the request counts for its tenant.
	countedForTenant bool
	active           bool
	sentAt           timekeeper.Instant
	receivedAt       timekeeper.Instant
	deadline         timekeeper.Instant
	// attemptDeadline is when an idempotent request is tried elsewhere.
	attemptDeadline timekeeper.Instant
	retainDeadline  timekeeper.Instant
	cachedResponse  []byte
	// witness names the successor that is asked to hold the identity.
	witness string
}

func (q *request) nonIdempotent() bool { return !q.packet.Flags.Has(messenger.FlagIdempotent) }

func (q *request) retriable() bool {
	const pinned = messenger.FlagStream | messenger.FlagBlockwise
	return !q.nonIdempotent() && q.packet.Flags&pinned == 0
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

// handleRequest takes in a request at the host that is responsible for its flow.
func (r *Reducer) handleRequest(in *inbound, role role) {
	id := identityOf(in.key, in.packet.Exchange)
	if q, ok := r.requests[id]; ok {
		r.handleDuplicate(in, q)
		return
	}
	if in.packet.Flags.Has(messenger.FlagOpensFlow) && !r.acceptsNewWork() {
		r.hold(in, id, RefuseIsolated)
		return
	}
	if isNonIdempotent(in) && !r.admitNonIdempotent(in, id, role) {
		return
	}
	if role == roleFallback {
		r.serveAsFallback(in)
		return
	}
	q := r.newRequest(in, id)
	index, ok := r.targetFor(in)
	if !ok {
		r.refuse(q, OutcomeNotRun, RefuseNoTarget)
		return
	}
	q.target = index
	in.service.retryTokens = min(in.service.retryTokens+in.service.settings.Policy.RetryBudget, maxRetryTokens)
	r.dispatch(q)
}

// serveAsFallback sends an idempotent request on without keeping anything of it.
//
// What goes wrong if this host waits for the answer: other hosts know the flow's
// owner and hand the answer there, so it never comes here. The request keeps a
// place at its target taken until its deadline, later ones queue behind it or go
// to another target, and the caller is told "unknown" long after its answer. One
// notices by uploads that are cut while hosts are replaced.
func (r *Reducer) serveAsFallback(in *inbound) {
	index, ok := r.targetFor(in)
	if !ok {
		q := r.newRequest(in, identityOf(in.key, in.packet.Exchange))
		r.refuse(q, OutcomeNotRun, RefuseNoTarget)
		return
	}
	r.passToTarget(in, index)
}

// admitNonIdempotent decides whether a request that may run only once may run here
// and now. If not, it holds the packet or notes that it may have run before.
func (r *Reducer) admitNonIdempotent(in *inbound, id uint64, role role) bool {
	if r.identities.has(id) {
		r.trackInDoubt(in, id)
		return false
	}
	if role != roleOwner {
		r.hold(in, id, RefuseNoOwner)
		return false
	}
	switch r.checkPermission(placer.BucketOf(in.hash), in.service) {
	case permissionGranted:
		return true
	case permissionUncertain:
		r.count(RefuseUncertain)
		r.trackInDoubt(in, id)
	case permissionWait:
		r.hold(in, id, RefuseHeld)
	}
	return false
}

// trackInDoubt notes a request that an earlier owner may have sent to a target. If it
// did, the answer still finds its caller; if none comes, the outcome is unknown.
func (r *Reducer) trackInDoubt(in *inbound, id uint64) {
	q := r.newRequest(in, id)
	q.state = stateInDoubt
}

func (r *Reducer) newRequest(in *inbound, id uint64) *request {
	var q *request
	if n := len(r.freeRequests); n > 0 {
		q = r.freeRequests[n-1]
		r.freeRequests = r.freeRequests[:n-1]
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
		previousTarget: noTarget,
		receivedAt:     r.now,
		deadline:       r.now.Add(policy.RequestDeadline),
		retainDeadline: r.now.Add(policy.ExchangeLifetime),
		active:         true,
	}
	if in.packet.Deadline != 0 {
		q.deadline = min(q.deadline, in.packet.Deadline)
	}
	r.requests[id] = q
	r.byToken[tokenOf(q.key, q.packet.Exchange)] = q
	r.active = append(r.active, q)
	if q.nonIdempotent() {
		in.service.retained = append(in.service.retained, q)
	}
	return q
}

// handleDuplicate handles a datagram whose request is known.
func (r *Reducer) handleDuplicate(in *inbound, q *request) {
	switch q.state {
	case stateAnswered:
		if q.cachedResponse != nil {
			r.sendCaller(ToCaller{Caller: q.key.Caller(), Service: q.service.settings.Address, Payload: q.cachedResponse})
			return
		}
		if q.nonIdempotent() {
			r.emitReply(q, OutcomeUnknown, RefuseUncertain)
			return
		}
		r.resendToTarget(q, in)
	case stateRefused:
		r.emitReply(q, q.outcome, q.reason)
	case stateSent:
		if !q.nonIdempotent() {
			r.resendToTarget(q, in)
			return
		}
		r.count(DropDuplicate)
	case stateQueued, stateWitnessing, stateRefusing, stateInDoubt:
		r.count(DropDuplicate)
	}
}

// resendToTarget passes a repeated idempotent request on to where it went before.
func (r *Reducer) resendToTarget(q *request, in *inbound) {
	if q.target != noTarget && q.service.registry[q.target].listed {
		r.passToTarget(in, q.target)
	}
}
