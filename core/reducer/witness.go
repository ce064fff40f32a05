package reducer

import (
	"slices"
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/placer"
	"cranberryspan.dev/core/timekeeper"
)

// identitySet stores the identities of requests that other owners may have run, for
// as long as callers may retransmit them.
type identitySet struct {
	deadlines map[uint64]timekeeper.Instant
	// order lists the identities in order of arrival.
	order []uint64
}

func newIdentitySet() identitySet {
	return identitySet{deadlines: map[uint64]timekeeper.Instant{}}
}

func (s *identitySet) has(id uint64) bool {
	_, ok := s.deadlines[id]
	return ok
}

func (s *identitySet) add(id uint64, deadline timekeeper.Instant) {
	if _, ok := s.deadlines[id]; !ok {
		s.order = append(s.order, id)
	}
	s.deadlines[id] = max(s.deadlines[id], deadline)
}

// remove deletes the identity of a request that is known not to have run.
func (s *identitySet) remove(id uint64) {
	// expire removes the identity from s.order.
	delete(s.deadlines, id)
}

func (s *identitySet) expire(now timekeeper.Instant) {
	n := 0
	for n < len(s.order) && s.deadlines[s.order[n]].Passed(now) {
		delete(s.deadlines, s.order[n])
		n++
	}
	if n > 0 {
		s.order = slices.Delete(s.order, 0, n)
	}
}

// witnessedTTL is how long a witness records for which owner it stores an identity.
// The request may be unsent at its owner for up to holdTimeout, and then held by
// the next owner for as long again.
const witnessedTTL = 2 * holdTimeout

// witnessedIdentity is an identity that is stored for an owner.
type witnessedIdentity struct {
	id       uint64
	owner    hostIncarnation
	deadline timekeeper.Instant
}

// witnessedSet lists the identities that are stored for owners, in order of
// arrival.
type witnessedSet []witnessedIdentity

func (s *witnessedSet) add(id uint64, owner hostIncarnation, deadline timekeeper.Instant) {
	*s = append(*s, witnessedIdentity{id: id, owner: owner, deadline: deadline})
}

func (s *witnessedSet) expire(now timekeeper.Instant) {
	n := 0
	for n < len(*s) && (*s)[n].deadline.Passed(now) {
		n++
	}
	*s = slices.Delete(*s, 0, n)
}

// groupByOwner groups those of ids that are stored for an owner, by owner. If an
// identity was stored for two owners, only the later one counts, since the earlier
// one may have handed the request over to it.
func (s witnessedSet) groupByOwner(ids []uint64) []messenger.OwnerIdentities {
	owners := make(map[uint64]hostIncarnation, len(s))
	for _, entry := range s {
		owners[entry.id] = entry.owner
	}
	var groups []messenger.OwnerIdentities
	for _, id := range ids {
		owner, ok := owners[id]
		if !ok {
			continue
		}
		groupIndex := slices.IndexFunc(groups, func(g messenger.OwnerIdentities) bool {
			return owner == hostIncarnation{host: g.Owner, incarnation: g.Incarnation}
		})
		if groupIndex < 0 {
			groupIndex = len(groups)
			groups = append(groups, messenger.OwnerIdentities{Owner: owner.host, Incarnation: owner.incarnation})
		}
		groups[groupIndex].Identities = append(groups[groupIndex].Identities, id)
	}
	return groups
}

// witnessLink is the state of sending identities to one successor. At most one
// message is unacknowledged; identities that are added meanwhile go into the next one,
// so that batches grow with the load and a single request is sent without delay.
type witnessLink struct {
	sequence uint64
	unacked  []*request
	pending  []*request
	resendAt timekeeper.Instant
}

const (
	witnessResendAfter = 300 * time.Millisecond
	maxWitnessBatch    = 512
)

// successorOf returns the host that takes over a bucket if this host dies, or the
// empty string if there is none: the next host in rank order that has not left,
// that no quorum has declared dead, and that has this host's records. It may be
// unresponsive at present.
func (r *Reducer) successorOf(bucket placer.Bucket) string {
	order := r.rankers[r.localCell].Rank(bucket)
	names := order.Names()
	for _, name := range names[slices.Index(names, r.self)+1:] {
		state := r.detector.State(name)
		dead := state.Liveness == messenger.LivenessDead && r.detector.ConfirmedDead(name)
		unready := isJoining(state) && r.handedOverTo[name] != state.Incarnation
		if !r.hasLeft(state) && !dead && !unready {
			return name
		}
	}
	return ""
}

// sendToWitness has the successor store a request's identity as a witness before
// the request is sent to a target, and reports whether there is a successor to wait
// for.
//
// Without this, an owner may send a request to its target and die. The caller
// retransmits the datagram, and the new owner, which has no record of the request,
// sends it again, which shows as a request that runs twice right after a host died.
// With the identity stored, the new owner recognizes the request and waits for the
// first response.
//
// An unresponsive successor is waited for until a quorum has declared it dead.
// Proceeding without it would be wrong: it may be alive on the other side of a
// partition and about to take over, on the assumption that it has all identities.
func (r *Reducer) sendToWitness(q *request) bool {
	successor := r.successorOf(placer.BucketOf(q.hash))
	if successor == "" {
		r.count(CountUnwitnessed)
		return false
	}
	q.witness = successor
	link := r.witnessLinkTo(successor)
	link.pending = append(link.pending, q)
	r.flushWitness(successor, link)
	return true
}

func (r *Reducer) witnessLinkTo(peer string) *witnessLink {
	link, ok := r.witnessLinks[peer]
	if !ok {
		link = &witnessLink{}
		r.witnessLinks[peer] = link
	}
	return link
}

func (r *Reducer) flushWitness(peer string, link *witnessLink) {
	if len(link.unacked) > 0 || len(link.pending) == 0 {
		return
	}
	n := min(len(link.pending), maxWitnessBatch)
	link.unacked = append(link.unacked[:0], link.pending[:n]...)
	link.pending = slices.Delete(link.pending, 0, n)
	link.sequence++
	r.sendWitnessRequest(peer, link)
}

func (r *Reducer) sendWitnessRequest(peer string, link *witnessLink) {
	ids := make([]uint64, 0, len(link.unacked))
	for _, q := range link.unacked {
		ids = append(ids, q.id)
	}
	link.resendAt = r.now.Add(witnessResendAfter)
	body := &messenger.WitnessRequest{Sequence: link.sequence, Identities: ids}
	if via := r.relayTo(peer); via != "" {
		body.Owner, body.Recipient = r.self, peer
		peer = via
	}
	r.sendPeer(peer, body)
}

// relayTo returns a host of the cell through which to reach a peer that does not
// respond to this host although no quorum has declared it dead. It returns the empty
// string if the direct link works or no other host is available.
//
// Without this, when one link inside a cell breaks, the owner waits for a successor
// that is alive but unreachable from here, and every request whose owner and
// successor are these two is refused, which shows as refusals for a fraction of all
// callers while every host is healthy.
func (r *Reducer) relayTo(peer string) string {
	if r.detector.State(peer).Liveness == messenger.LivenessAlive {
		return ""
	}
	for _, name := range r.detector.Cell() {
		state := r.detector.State(name)
		if name != r.self && name != peer && state.Liveness == messenger.LivenessAlive && state.Phase == messenger.PhaseReady {
			return name
		}
	}
	return ""
}

// handleWitnessRequest stores request identities for another owner, or relays the request
// to the host that is to store them.
func (r *Reducer) handleWitnessRequest(from string, body *messenger.WitnessRequest) {
	if body.Recipient != "" && body.Recipient != r.self {
		r.sendPeer(body.Recipient, body)
		return
	}
	owner := from
	if body.Owner != "" {
		owner = body.Owner
	}
	if r.settings == nil || (isJoining(r.detector.State(r.self)) && !r.joining.hasRecordsOf(owner)) {
		return
	}
	deadline := r.now.Add(r.maxExchangeLifetime())
	ownerIncarnation := hostIncarnation{host: owner, incarnation: r.detector.State(owner).Incarnation}
	for _, id := range body.Identities {
		if h := r.heldPacketByID(id); h != nil && h.unsentBy == ownerIncarnation {
			continue // A retransmission from before the owner handed over the request.
		}
		r.identities.add(id, deadline)
		r.witnessed.add(id, ownerIncarnation, r.now.Add(witnessedTTL))
	}
	ack := &messenger.WitnessAck{Sequence: body.Sequence}
	if owner != from {
		ack.Successor, ack.Recipient = r.self, owner
	}
	r.sendPeer(from, ack)
}

func (r *Reducer) handleWitnessAck(from string, body *messenger.WitnessAck) {
	if body.Recipient != "" && body.Recipient != r.self {
		r.sendPeer(body.Recipient, body)
		return
	}
	if body.Successor != "" {
		from = body.Successor
	}
	link, ok := r.witnessLinks[from]
	if !ok || body.Sequence != link.sequence {
		return
	}
	acked := slices.Clone(link.unacked)
	link.unacked = link.unacked[:0]
	for _, q := range acked {
		if q.witness == from {
			r.count(CountWitnessed)
			r.resumeRequest(q)
		}
	}
	r.flushWitness(from, link)
}

// resumeRequest sends or refuses a request whose identity the witness has stored,
// if this host still has permission.
func (r *Reducer) resumeRequest(q *request) {
	switch q.state {
	case stateWitnessing:
		if r.checkPermission(placer.BucketOf(q.hash), q.service) != permissionWait {
			r.send(q)
		}
	case stateRefusing:
		if r.checkPermission(placer.BucketOf(q.hash), q.service) == permissionWait {
			q.outcome = OutcomeUnknown
		}
		r.sendFinalReply(q)
	case stateQueued, stateSent, stateInDoubt, stateCompleted, stateRefused:
	}
}

// advanceWitnesses resends messages that may be lost, and reassigns requests whose
// witness is no longer the successor.
func (r *Reducer) advanceWitnesses() {
	for _, peer := range r.detector.Cell() {
		link, ok := r.witnessLinks[peer]
		if !ok {
			continue
		}
		r.reassignWitness(peer, link)
		if len(link.unacked) > 0 && link.resendAt.Passed(r.now) {
			r.sendWitnessRequest(peer, link)
		}
		r.flushWitness(peer, link)
	}
}

// reassignWitness moves requests from a witness that was declared dead or has left
// to the next successor, or resumes them without one. This is safe because they
// have not been sent to a target yet.
func (r *Reducer) reassignWitness(peer string, link *witnessLink) {
	waiting := append(slices.Clone(link.unacked), link.pending...)
	if len(waiting) == 0 || r.successorOf(placer.BucketOf(waiting[0].hash)) == peer {
		return
	}
	link.unacked = link.unacked[:0]
	link.pending = link.pending[:0]
	for _, q := range waiting {
		stillWaiting := q.state == stateWitnessing || q.state == stateRefusing
		if stillWaiting && q.witness == peer && !r.sendToWitness(q) {
			r.resumeRequest(q)
		}
	}
}
