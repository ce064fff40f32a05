package reducer

import (
	"cmp"
	"slices"
	"time"

	"cranberryspan.dev/core/detector"
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/placer"
	"cranberryspan.dev/core/resolver"
	"cranberryspan.dev/core/timekeeper"
)

const (
	handoverChunkRecords = 400
	handoverResendAfter  = 500 * time.Millisecond
	// copyBytesPerSecond is the bandwidth limit for copying exceptions to
	// successors.
	copyBytesPerSecond = 2048
	// flowRecordBytes is the size of an encoded FlowRecord.
	flowRecordBytes = 24
	// forwardAfterLeaveDuration is how long a host that has left still forwards packets.
	forwardAfterLeaveDuration = time.Second
)

// outgoingHandover is the transfer of flow records and request identities to one
// host.
type outgoingHandover struct {
	// incarnation is that of the receiver if it is joining, or of this host if this
	// host is shutting down.
	incarnation  uint64
	shuttingDown bool
	// session distinguishes this handover from earlier ones; sequence numbers its
	// chunks.
	session  uint64
	sequence uint64
	// flows and identities remain to be sent.
	flows      []messenger.FlowRecord
	identities []uint64
	// unackedChunk is the chunk that has not been acknowledged yet.
	unackedChunk *messenger.Handover
	// doneSent is set once the last chunk has been sent; acked, once it has been
	// acknowledged.
	doneSent bool
	acked    bool
	// resendAt is when unackedChunk is sent again.
	resendAt timekeeper.Instant
}

// advanceHandovers starts handovers to joining hosts and sends the next chunks.
func (r *Reducer) advanceHandovers() {
	for _, name := range r.detector.Cell() {
		if name == r.self {
			continue
		}
		state := r.detector.State(name)
		h := r.handovers[name]
		if h != nil && h.incarnation != state.Incarnation && !h.shuttingDown {
			delete(r.handovers, name)
			h = nil
		}
		if h == nil && r.canHandOverTo(state) {
			h = r.startHandover(name, state.Incarnation, false)
		}
		if h != nil && !h.acked && h.resendAt.Passed(r.now) {
			r.sendHandoverChunk(name, h)
		}
	}
	r.advanceShutdown()
}

// canHandOverTo reports whether this host can hand over to a joining host. Only a
// host with a quorum knows that its records are the valid ones. A host in phase
// waited collects the records of hosts without a quorum too, to bootstrap a cell
// that has none.
func (r *Reducer) canHandOverTo(state detector.State) bool {
	if !isJoining(state) || state.Liveness != messenger.LivenessAlive || !r.Ready() {
		return false
	}
	return state.Phase == messenger.PhaseWaited || r.detector.HasQuorum(r.now)
}

func (r *Reducer) startHandover(to string, incarnation uint64, shuttingDown bool) *outgoingHandover {
	r.lastHandoverSession++
	h := &outgoingHandover{incarnation: incarnation, shuttingDown: shuttingDown, session: r.lastHandoverSession}
	for shard := range flowShards {
		r.flows.each(shard, func(key resolver.FlowKey, f flow) (flow, bool) {
			hash := placer.Hash(key)
			if r.isNextOwner(to, hash) {
				h.flows = append(h.flows, r.recordOf(key, f))
			}
			return f, true
		})
	}
	// Iteration over the flow table has no defined order, and equal events must
	// give equal effects.
	slices.SortFunc(h.flows, func(a, b messenger.FlowRecord) int { return cmp.Compare(a.Key, b.Key) })
	h.identities = r.knownIdentities()
	r.handovers[to] = h
	return h
}

// isNextOwner reports whether a host will own a flow once it has joined, or once
// this host has left.
func (r *Reducer) isNextOwner(to string, hash uint64) bool {
	bucket := placer.BucketOf(hash)
	if r.cells.Home(bucket) != r.localCell {
		return false
	}
	order := r.rankers[r.localCell].Rank(bucket)
	for _, name := range order.Names() {
		switch {
		case name == to:
			return true
		case name == r.self && !r.shuttingDown:
			return false
		case name != r.self && r.shuttingDown && r.isStaying(name):
			return false
		case name != r.self && !r.shuttingDown && r.actsAsOwner(name, true):
			return false
		}
	}
	return false
}

func (r *Reducer) recordOf(key resolver.FlowKey, f flow) messenger.FlowRecord {
	s := r.services[key.Service()]
	record := messenger.FlowRecord{Key: key, LongLived: f.flags&flowLongLived != 0}
	if s == nil {
		return record
	}
	record.Target = s.registry[f.target].address
	if f.otherTarget != noTarget {
		record.NewWorkTarget = s.registry[f.otherTarget].address
		record.BlockTransferMoved = f.flags&flowTransferMoved != 0
	}
	return record
}

// knownIdentities returns the identity of every request that callers may still
// retransmit.
func (r *Reducer) knownIdentities() []uint64 {
	ids := slices.Clone(r.identities.order)
	for _, id := range r.serviceIDs {
		for _, q := range r.services[id].retained {
			ids = append(ids, q.id)
		}
	}
	return ids
}

// addToHandovers adds a flow that was opened or moved during a handover to the
// handover.
func (r *Reducer) addToHandovers(key resolver.FlowKey, hash uint64, f flow) {
	if len(r.handovers) == 0 {
		return
	}
	for _, name := range r.detector.Cell() {
		if h := r.handovers[name]; h != nil && !h.doneSent && r.isNextOwner(name, hash) {
			h.flows = append(h.flows, r.recordOf(key, f))
		}
	}
}

// sendHandoverChunk sends the next chunk of a handover, or resends the
// unacknowledged one. Once it sends the chunk with Done set, this host no longer
// acts on the flows, so nothing can be added afterwards.
func (r *Reducer) sendHandoverChunk(to string, h *outgoingHandover) {
	h.resendAt = r.now.Add(handoverResendAfter)
	if h.unackedChunk != nil {
		r.sendPeer(to, h.unackedChunk)
		return
	}
	allSent := len(h.flows)+len(h.identities) == 0
	if allSent && h.shuttingDown && !r.steppedDown {
		return
	}
	h.sequence++
	chunk := &messenger.Handover{Sequence: h.sequence, Incarnation: h.incarnation, Session: h.session, Leaving: h.shuttingDown}
	n := min(handoverChunkRecords, len(h.flows))
	chunk.Flows = h.flows[:n:n]
	h.flows = h.flows[n:]
	m := min(handoverChunkRecords, len(h.identities))
	chunk.Identities = h.identities[:m:m]
	h.identities = h.identities[m:]
	if len(h.flows)+len(h.identities) == 0 && (!h.shuttingDown || r.steppedDown) {
		r.finishHandover(to, h, chunk)
	}
	chunk.WitnessedIdentities = r.witnessed.groupByOwner(chunk.Identities)
	h.unackedChunk = chunk
	r.sendPeer(to, chunk)
}

func (r *Reducer) finishHandover(to string, h *outgoingHandover, chunk *messenger.Handover) {
	chunk.Done = true
	chunk.Quorum = r.detector.HasQuorum(r.now)
	chunk.Unsent = r.takeUnsentRequests(to)
	// Add the requests that have run or were refused since startHandover.
	chunk.Identities = append(slices.Clone(chunk.Identities), r.knownIdentities()...)
	chunk.Requests = r.takeRunningRequests(to)
	chunk.IdentitiesIncompleteFor = max(0, r.outcomesUncertainUntil().Until(r.now))
	for _, name := range r.detector.Cell() {
		if name != r.self && name != to && r.actsAsOwner(name, true) {
			chunk.AlivePeers = append(chunk.AlivePeers, name)
		}
	}
	h.doneSent = true
	if !h.shuttingDown || to == r.voteRecipient() {
		chunk.Votes, chunk.DeniedRecipients = r.detector.ReleaseVotes(to, h.shuttingDown)
	}
	if !h.shuttingDown {
		r.handedOverTo[to] = h.incarnation
	}
}

// outcomesUncertainUntil returns until when the hosts of the cell together may not
// know every request that callers may still retransmit. The loss of one host's
// state is harmless, since its successor has stored the identities of its requests.
// If two hosts lost their state, one may have stored those of the other.
func (r *Reducer) outcomesUncertainUntil() timekeeper.Instant {
	window := r.maxExchangeLifetime()
	lost, until := 0, timekeeper.Instant(0)
	for _, name := range r.detector.Cell() {
		state := r.detector.State(name)
		if name != r.self && r.lostStateRecently(state, window) {
			lost++
			until = max(until, state.StateLostAt.Add(window))
		}
	}
	if lost < 2 {
		until = 0
	}
	return max(until, r.joining.uncertaintyDeadline)
}

// takeRunningRequests returns the requests that are running at targets, so that the
// next owner sends their final reply, and marks them as answered here.
func (r *Reducer) takeRunningRequests(to string) []messenger.RequestRecord {
	var records []messenger.RequestRecord
	for _, q := range r.active {
		if q.state != stateSent || !r.isNextOwner(to, q.hash) {
			continue
		}
		records = append(records, messenger.RequestRecord{
			Key:       q.key,
			Exchange:  q.packet.Exchange,
			Flags:     q.packet.Flags,
			Target:    q.service.registry[q.target].address,
			Remaining: max(q.deadline.Until(r.now), 0),
		})
		r.releaseSlot(q)
		q.state = stateCompleted
	}
	return records
}

// takeUnsentRequests removes the requests that have not been sent to a target from
// this host's tables and returns them for the next owner to run. They travel with
// the records, because the next owner may already have stored their identities and
// would not run a plain forwarded datagram.
func (r *Reducer) takeUnsentRequests(to string) []messenger.Forward {
	var unsent []messenger.Forward
	for _, q := range r.active {
		notSent := q.state == stateQueued || q.state == stateWitnessing
		if !notSent || !r.isNextOwner(to, q.hash) {
			continue
		}
		r.releaseSlot(q)
		q.state = stateCompleted
		r.removeUnsent(q)
		in := inbound{key: q.key, hash: q.hash, service: q.service, direction: messenger.DirectionToTarget, packet: &q.packet}
		in.packet.Deadline = q.deadline
		unsent = append(unsent, r.forwardOf(&in))
	}
	return unsent
}

// removeUnsent removes a request from the tables at once, without retaining it.
func (r *Reducer) removeUnsent(q *request) {
	delete(r.requests, q.id)
	delete(r.byToken, tokenOf(q.key, q.packet.Exchange))
	q.service.retained = slices.DeleteFunc(q.service.retained, func(other *request) bool { return other == q })
}

// handleHandover imports the records of a chunk and acknowledges it. If this host is
// itself shutting down, it refuses the chunk of another host that is.
func (r *Reducer) handleHandover(from string, body *messenger.Handover) {
	if r.settings == nil {
		return
	}
	ack := &messenger.HandoverAck{Sequence: body.Sequence, Incarnation: body.Incarnation, Session: body.Session}
	if !body.Leaving && body.Incarnation != r.detector.Incarnation() {
		return
	}
	if body.Leaving && r.shuttingDown {
		ack.Refused = true
		r.sendPeer(from, ack)
		return
	}
	r.importFlowRecords(body.Flows, false)
	deadline := r.now.Add(r.maxExchangeLifetime())
	for _, id := range body.Identities {
		if !r.isKnownUnsent(id, body.WitnessedIdentities) {
			r.identities.add(id, deadline)
		}
	}
	for i := range body.Requests {
		r.importRequest(&body.Requests[i])
	}
	if body.Done {
		r.finishIncomingHandover(from, body)
		for i := range body.Unsent {
			r.importUnsent(from, &body.Unsent[i])
		}
	}
	r.sendPeer(from, ack)
}

// importUnsent takes over a request that its owner has not sent to a target.
func (r *Reducer) importUnsent(from string, f *messenger.Forward) {
	id := identityOf(f.Key, f.Exchange)
	r.identities.remove(id)
	r.handleForward(f, r.now)
	if h := r.heldPacketByID(id); h != nil {
		h.unsentBy = hostIncarnation{host: from, incarnation: r.detector.State(from).Incarnation}
	}
}

// isKnownUnsent reports whether this host holds a request that its owner has not
// sent, and whose identity another host stores only as a witness for that owner.
//
// Without this, a request is lost when an owner sends its identity to its successor
// as witness, and hands the unsent request over to a joining host before the
// successor confirms. The records of the successor then arrive with the identity
// among them. The joining host assumes that the request has run, and its caller
// waits for a response that no host gives, which shows as requests that end with an
// unknown outcome while hosts are replaced.
func (r *Reducer) isKnownUnsent(id uint64, witnessed []messenger.OwnerIdentities) bool {
	h := r.heldPacketByID(id)
	if h == nil || h.unsentBy == (hostIncarnation{}) {
		return false
	}
	for _, w := range witnessed {
		if h.unsentBy == (hostIncarnation{host: w.Owner, incarnation: w.Incarnation}) && slices.Contains(w.Identities, id) {
			return true
		}
	}
	return false
}

// handoverID identifies one handover from a peer.
type handoverID struct {
	incarnation uint64
	session     uint64
}

func (r *Reducer) finishIncomingHandover(from string, body *messenger.Handover) {
	if body.IdentitiesIncompleteFor > 0 {
		r.joining.uncertaintyDeadline = max(r.joining.uncertaintyDeadline, r.now.Add(body.IdentitiesIncompleteFor))
	}
	handover := handoverID{incarnation: r.detector.State(from).Incarnation, session: body.Session}
	if r.votesAcceptedFrom[from] != handover {
		// The chunk is resent if its acknowledgement was lost, by which time the
		// votes may already have been transferred further.
		r.votesAcceptedFrom[from] = handover
		r.detector.AcceptVotes(body.Votes, body.DeniedRecipients, r.now)
	}
	if body.Leaving {
		r.leaveHandoverFrom[from] = r.detector.State(from).Incarnation
		return
	}
	r.joining.recordsFrom[from] = r.now
	r.joining.recordsLackQuorum = r.joining.recordsLackQuorum || !body.Quorum
	for _, name := range body.AlivePeers {
		r.joining.expectedPeers[name] = true
	}
}

// importFlowRecords stores the targets of flows received from a peer. asCopies is
// set if this host is only the successor, so that it does not copy the records
// further.
func (r *Reducer) importFlowRecords(records []messenger.FlowRecord, asCopies bool) {
	for _, record := range records {
		s, ok := r.services[record.Key.Service()]
		if !ok {
			continue
		}
		index, ok := s.byAddr[record.Target]
		if !ok {
			continue
		}
		hash := placer.Hash(record.Key)
		f := flow{target: index, otherTarget: noTarget, lastSeen: max(seconds(r.now), 1)}
		if record.LongLived {
			f.flags |= flowLongLived
		}
		if other, ok := s.byAddr[record.NewWorkTarget]; ok {
			f.otherTarget = other
			if record.BlockTransferMoved {
				f.flags |= flowTransferMoved
			}
		}
		r.markException(s, hash, &f)
		if asCopies {
			f.flags |= flowCopied
		}
		r.flows.put(record.Key, hash, f)
	}
}

func (r *Reducer) importRequest(record *messenger.RequestRecord) {
	s, ok := r.services[record.Key.Service()]
	if !ok {
		return
	}
	id := identityOf(record.Key, record.Exchange)
	if _, ok := r.requests[id]; ok {
		return
	}
	packet := messenger.Packet{
		Kind:     messenger.KindRequest,
		Flags:    record.Flags,
		Exchange: record.Exchange,
		Deadline: r.now.Add(max(record.Remaining, time.Millisecond)),
	}
	in := inbound{key: record.Key, hash: placer.Hash(record.Key), service: s, packet: &packet}
	q := r.newRequest(&in, id)
	q.state = stateInDoubt
	if index, ok := s.byAddr[record.Target]; ok && !q.nonIdempotent() {
		// A retransmission goes to the same target again, since the response may be
		// lost.
		q.state = stateSent
		q.target = index
		q.attemptDeadline = timekeeper.Never
	}
}

func (r *Reducer) handleHandoverAck(from string, body *messenger.HandoverAck) {
	h, ok := r.handovers[from]
	if !ok || body.Sequence != h.sequence || body.Incarnation != h.incarnation || body.Session != h.session {
		return
	}
	if body.Refused {
		r.handleHandoverRefusal(from, h)
		return
	}
	h.unackedChunk = nil
	if h.doneSent {
		h.acked = true
		return
	}
	r.sendHandoverChunk(from, h)
}
