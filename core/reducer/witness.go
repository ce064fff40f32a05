package reducer

import (
	"slices"
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/placer"
	"cranberryspan.dev/core/timekeeper"
)

// identitySet remembers requests that other owners may have run, for as long as
// callers may repeat them.
type identitySet struct {
	deadlines map[uint64]timekeeper.Instant
	// order lists the identities in the order in which they came.
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

// remove forgets an identity of a request that is known not to have run.
func (s *identitySet) remove(id uint64) {
	// Its place in the order goes when its turn comes.
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

// witnessedTTL is how long a host remembers for whom it holds an identity: a
// request is unsent at its owner, and then held at the next, for holdTimeout each at
// most.
const witnessedTTL = 2 * holdTimeout

// witnessedIdentity is an identity that is held for an owner.
type witnessedIdentity struct {
	id       uint64
	owner    hostIncarnation
	deadline timekeeper.Instant
}

// witnessedSet remembers for whom identities are held, in the order in which they
// came.
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

// groupByOwner groups those of some identities that are held for an owner, by owner. Of an
// identity that was held for two owners only the later counts: the earlier one may
// have handed its request over to that.
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
		at := slices.IndexFunc(groups, func(g messenger.OwnerIdentities) bool {
			return owner == hostIncarnation{host: g.Owner, incarnation: g.Incarnation}
		})
		if at < 0 {
			at = len(groups)
			groups = append(groups, messenger.OwnerIdentities{Owner: owner.host, Incarnation: owner.incarnation})
		}
		groups[at].Identities = append(groups[at].Identities, id)
	}
	return groups
}

// witnessLink is the stream of identities to one successor. At most one message
// is unacknowledged; what comes meanwhile goes into the next one, so that the
// batches grow with the load and a lone request waits for nothing.
type witnessLink struct {
	sequence       uint64
	unacked        []*request
	pending        []*request
	resendDeadline timekeeper.Instant
}

const (
	witnessResendAfter = 300 * time.Millisecond
	maxWitnessBatch    = 512
)

// successorOf returns the host that takes a bucket over if this host dies, or
// nothing if there is none: the next in rank that has not left, that no quorum
// has given up, and that has this host's records. It may be silent at present.
func (r *Reducer) successorOf(bucket placer.Bucket) string {
	order := r.rankers[r.ownCell].Rank(bucket)
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

// sendToWitness has the successor hold a request's identity before the request is
// sent, and reports whether there is a successor to wait for.
//
// What goes wrong without it: the owner sends a request to its target and dies.
// The caller repeats the datagram, the new owner knows nothing of it and sends
// it again. One notices by a request that runs twice right after a host died.
// With it, the new owner knows the identity and waits for the first answer.
//
// A successor that is silent is waited for until a quorum has given it up. To
// go on without it would be wrong: it may live behind a cut, about to take over
// in the belief that it was told of everything.
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
	r.sendWitness(peer, link)
}

func (r *Reducer) sendWitness(peer string, link *witnessLink) {
	ids := make([]uint64, 0, len(link.unacked))
	for _, q := range link.unacked {
		ids = append(ids, q.id)
	}
	link.resendDeadline = r.now.Add(witnessResendAfter)
	body := &messenger.WitnessRequest{Sequence: link.sequence, Identities: ids}
	if via := r.relayTo(peer); via != "" {
		body.Owner, body.Recipient = r.self, peer
		peer = via
	}
	r.sendPeer(peer, body)
}

// relayTo returns a host of the cell through which a peer may be reached that
// does not answer here, though no quorum has given it up; empty where the direct
// link is good or nobody else is there.
//
// What goes wrong without it: one link inside a cell breaks. The owner waits for
// a successor that lives and that it can't reach, and every check between the
// two is refused. One notices by refusals for a part of all callers while every
// host is well.
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

// handleWitness holds identities for another owner.
func (r *Reducer) handleWitness(from string, body *messenger.WitnessRequest) {
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
			continue // A repeat from before the owner handed the request over.
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

// resumeRequest sends or refuses a request whose identity is held, if this host's right
// has not ended meanwhile.
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
	case stateQueued, stateSent, stateInDoubt, stateAnswered, stateRefused:
	}
}

// advanceWitnesses repeats messages that may be lost, and moves requests whose
// successor is no longer the one that was asked.
func (r *Reducer) advanceWitnesses() {
	for _, peer := range r.detector.Cell() {
		link, ok := r.witnessLinks[peer]
		if !ok {
			continue
		}
		r.reassignWitness(peer, link)
		if len(link.unacked) > 0 && link.resendDeadline.Passed(r.now) {
			r.sendWitness(peer, link)
		}
		r.flushWitness(peer, link)
	}
}

// reassignWitness asks the next successor instead of one that was given up or left,
// or sends without one. The requests are safe to send: nobody has sent them yet.
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
