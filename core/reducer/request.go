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
	// maxRetryTokens limits the retries of one burst.
	maxRetryTokens = 20
	// maxCachedResponseBytes limits the size of a response that is cached to answer
	// retransmissions of its request.
	maxCachedResponseBytes = 1024
	// maxHeldPackets limits the packets that are held until this host may run them.
	maxHeldPackets = 4096
	// holdTimeout is the longest time for which a packet is held. A host that has
	// just received an owner's records waits for the length of a lease before it
	// acts as the owner, in addition to the time that joining takes; packets that
	// arrive meanwhile must be held for longer than that.
	holdTimeout = 4 * time.Second
	// futileWaitAfter is how long a host may lack a quorum or contact before it
	// refuses requests at once instead of holding them.
	futileWaitAfter = 2 * time.Second
	// refuseTimeout is how long a refusal waits for the successor to store the
	// request's identity.
	refuseTimeout = 500 * time.Millisecond
	// sendValidity is how long after the decision a request may be sent: far less
	// than the margin by which a granted vote outlasts the lease.
	sendValidity = 100 * time.Millisecond
)

// requestState is the processing state of a request.
type requestState uint8

const (
	// stateQueued requests wait for a slot of their target; they have not run.
	stateQueued requestState = iota + 1
	// stateWitnessing requests wait until the successor has stored their identity.
	stateWitnessing
	// stateSent requests were sent to their target.
	stateSent
	// stateInDoubt requests may have been sent by an earlier owner.
	stateInDoubt
	// stateRefusing requests will not run on this host. The caller gets its reply as
	// soon as the successor has stored the identity, so that no late retransmission
	// runs there either.
	stateRefusing
	// stateCompleted requests need no more work on this host: the target's response has
	// arrived, the request was handed over to another host, or it was a stream's
	// registration whose deadline has passed.
	stateCompleted
	// stateRefused requests received a final Reply from this host.
	stateRefused
)

// request is a request that this host is responsible for. A non-idempotent one is
// retained for as long as the caller may retransmit it.
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
	// countedForTenant is set while the request counts in tenantInFlight.
	countedForTenant bool
	// active is set while the request is listed in Reducer.active.
	active     bool
	sentAt     timekeeper.Instant
	receivedAt timekeeper.Instant
	deadline   timekeeper.Instant
	// attemptDeadline is when an idempotent request is retried at another target.
	attemptDeadline timekeeper.Instant
	retainDeadline  timekeeper.Instant
	cachedResponse  []byte
	// witness names the successor that was asked to store the identity.
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

// identityOf returns the request's identity: a hash of its flow, token and message
// ID, which retransmissions have in common.
func identityOf(key resolver.FlowKey, e messenger.Exchange) uint64 {
	var b [19]byte
	binary.LittleEndian.PutUint64(b[0:], uint64(key))
	binary.LittleEndian.PutUint64(b[8:], e.Token)
	binary.LittleEndian.PutUint16(b[16:], e.MessageID)
	b[18] = e.TokenLength
	return xxhash.Sum64(b[:])
}

// handleRequest handles a request for whose flow this host is the owner or the
// fallback.
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

// serveAsFallback forwards an idempotent request to its target without tracking it.
//
// If this host tracked the request, it would not see the response, because other
// hosts forward that to the flow's owner. The request would occupy a slot of its
// target until its deadline, later requests would queue behind it or go to another
// target, and the caller would get the outcome "unknown" long after the response.
// This shows as uploads that are cut while hosts are replaced.
func (r *Reducer) serveAsFallback(in *inbound) {
	index, ok := r.targetFor(in)
	if !ok {
		q := r.newRequest(in, identityOf(in.key, in.packet.Exchange))
		r.refuse(q, OutcomeNotRun, RefuseNoTarget)
		return
	}
	r.sendPacketToTarget(in, index)
}

// admitNonIdempotent reports whether this host may run a non-idempotent request
// now. If not, it holds the packet, or tracks the request as one that may have run
// before.
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

// trackInDoubt tracks a request that an earlier owner may have sent to a target. If
// it did, the response still reaches the caller; if none arrives before the
// deadline, the outcome is unknown.
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

// handleDuplicate handles a retransmission of a request that this host tracks.
func (r *Reducer) handleDuplicate(in *inbound, q *request) {
	switch q.state {
	case stateCompleted:
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

// resendToTarget sends a retransmission of an idempotent request to the target that
// the request was sent to.
func (r *Reducer) resendToTarget(q *request, in *inbound) {
	if q.target != noTarget && q.service.registry[q.target].listed {
		r.sendPacketToTarget(in, q.target)
	}
}
