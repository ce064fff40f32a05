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
	// oldest lists the identities in the order in which they came.
	oldest []uint64
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
		s.oldest = append(s.oldest, id)
	}
	s.deadlines[id] = max(s.deadlines[id], deadline)
}

func (s *identitySet) expire(now timekeeper.Instant) {
	n := 0
	for n < len(s.oldest) && s.deadlines[s.oldest[n]].Passed(now) {
		delete(s.deadlines, s.oldest[n])
		n++
	}
	if n > 0 {
		s.oldest = slices.Delete(s.oldest, 0, n)
	}
}

// witnessLink is the stream of identities to one successor. At most one message
// is unacknowledged; what comes meanwhile goes into the next one, so that the
// batches grow with the load and a lone request waits for nothing.
type witnessLink struct {
	sequence uint64
	unacked  []*request
	pending  []*request
	// final holds identities that nothing waits for.
	final          []uint64
	resendDeadline timekeeper.Instant
}

const (
	witnessResendAfter = 300 * time.Millisecond
	maxWitnessBatch    = 512
)

// successorOf returns the host that takes a bucket over if this host dies, and
// the host that is next in rank, whether it lives or not.
func (r *Reducer) successorOf(bucket placer.Bucket) (successor, next string) {
	order := r.rankers[r.ownCell].Rank(bucket)
	names := order.Names()
	for _, name := range names[slices.Index(names, r.self)+1:] {
		state := r.detector.State(name)
		if r.hasLeft(state) {
			continue
		}
		if next == "" {
			next = name
		}
		if state.Phase == messenger.PhaseReady && state.Liveness == messenger.LivenessAlive {
			return name, next
		}
	}
	return "", next
}

// askWitness has the successor hold a request's identity before the request is
// sent, and reports whether there is a successor to wait for.
//
// What goes wrong without it: the owner sends a request to its target and dies.
// The caller repeats the datagram, the new owner knows nothing of it and sends
// it again. One notices by a request that runs twice right after a host died.
// With it, the new owner knows the identity and waits for the first answer.
func (r *Reducer) askWitness(q *request) bool {
	bucket := placer.BucketOf(q.hash)
	successor, next := r.successorOf(bucket)
	if next != "" && next != successor {
		r.noteGap(next, q.service.settings.Policy.RepeatWindow)
	}
	if successor == "" {
		r.count(CountUnwitnessed)
		return false
	}
	q.heldBy = successor
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
	if len(link.unacked) > 0 || len(link.pending)+len(link.final) == 0 {
		return
	}
	n := min(len(link.pending), maxWitnessBatch)
	link.unacked = append(link.unacked[:0], link.pending[:n]...)
	link.pending = slices.Delete(link.pending, 0, n)
	link.sequence++
	r.sendWitness(peer, link)
	link.final = link.final[:0]
}

func (r *Reducer) sendWitness(peer string, link *witnessLink) {
	ids := make([]uint64, 0, len(link.unacked)+len(link.final))
	for _, q := range link.unacked {
		ids = append(ids, q.id)
	}
	ids = append(ids, link.final...)
	link.resendDeadline = r.now.Add(witnessResendAfter)
	r.sendPeer(peer, &messenger.Witness{Sequence: link.sequence, Identities: ids})
}

// witness holds identities for another owner.
func (r *Reducer) witness(from string, body *messenger.Witness) {
	if r.settings == nil || r.detector.Phase() != messenger.PhaseReady {
		return
	}
	deadline := r.now.Add(r.repeatWindow())
	for _, id := range body.Identities {
		r.identities.add(id, deadline)
	}
	r.sendPeer(from, &messenger.WitnessAck{Sequence: body.Sequence})
}

func (r *Reducer) witnessAcked(from string, sequence uint64) {
	link, ok := r.witnessLinks[from]
	if !ok || sequence != link.sequence {
		return
	}
	acked := slices.Clone(link.unacked)
	link.unacked = link.unacked[:0]
	for _, q := range acked {
		if q.state == stateWitnessing && q.heldBy == from {
			r.count(CountWitnessed)
			r.sendWitnessed(q)
		}
	}
	r.flushWitness(from, link)
}

// sendWitnessed sends a request whose identity is held, if this host's right
// has not ended meanwhile. Otherwise the request stays unsent: whoever owns the
// flow next holds its identity and does not run it either.
func (r *Reducer) sendWitnessed(q *request) {
	if q.deadline.Passed(r.now) {
		r.refuse(q, OutcomeNotRun, RefuseDeadline)
		return
	}
	if r.permission(placer.BucketOf(q.hash), q.service) == permissionWait {
		return
	}
	r.send(q)
}

// witnessTick repeats messages that may be lost and gives up on successors that
// no longer take part.
func (r *Reducer) witnessTick() {
	for _, peer := range r.detector.Cell() {
		link, ok := r.witnessLinks[peer]
		if !ok {
			continue
		}
		state := r.detector.State(peer)
		if state.Liveness != messenger.LivenessAlive || state.Phase != messenger.PhaseReady {
			r.abandonWitness(peer, link)
			continue
		}
		if len(link.unacked) > 0 && link.resendDeadline.Passed(r.now) {
			r.sendWitness(peer, link)
		}
		r.flushWitness(peer, link)
	}
}

// abandonWitness asks the next successor instead, or sends without one. The
// requests are safe to send: nobody has sent them yet.
func (r *Reducer) abandonWitness(peer string, link *witnessLink) {
	waiting := append(slices.Clone(link.unacked), link.pending...)
	link.unacked = link.unacked[:0]
	link.pending = link.pending[:0]
	link.final = link.final[:0]
	for _, q := range waiting {
		if q.state != stateWitnessing || q.heldBy != peer {
			continue
		}
		r.noteGap(peer, q.service.settings.Policy.RepeatWindow)
		if !r.askWitness(q) {
			r.sendWitnessed(q)
		}
	}
}

// journalIdentity tells the successor of a request that got a final answer
// without running: a late copy must not run after the caller was told so.
func (r *Reducer) journalIdentity(q *request) {
	if r.ownCell != r.cells.Home(placer.BucketOf(q.hash)) || len(r.detector.Cell()) < 2 {
		return
	}
	successor, _ := r.successorOf(placer.BucketOf(q.hash))
	if successor == "" {
		return
	}
	link := r.witnessLinkTo(successor)
	link.final = append(link.final, q.id)
}
