package reducer

import (
	"slices"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/timekeeper"
)

// heldPacket is a packet that is held until this host may act on it or another host
// owns it.
type heldPacket struct {
	in       inbound
	packet   messenger.Packet
	id       uint64
	reason   Reason
	deadline timekeeper.Instant
	// unsentBy is the owner that handed the request over without having sent it;
	// zero for any other packet.
	unsentBy hostIncarnation
}

// hostIncarnation identifies one incarnation of a host.
type hostIncarnation struct {
	host        string
	incarnation uint64
}

// heldPacketByID returns the held packet with a request identity, or nil.
func (r *Reducer) heldPacketByID(id uint64) *heldPacket {
	if !r.heldIDs[id] {
		return nil
	}
	i := slices.IndexFunc(r.heldPackets, func(h heldPacket) bool { return h.id == id })
	if i < 0 {
		return nil
	}
	return &r.heldPackets[i]
}

// hold keeps a request while it is not settled whether this host may act on it. If
// waiting is futile, it refuses the request at once.
func (r *Reducer) hold(in *inbound, id uint64, reason Reason) {
	if r.heldIDs[id] {
		r.count(DropDuplicate)
		return
	}
	if len(r.heldPackets) >= maxHeldPackets {
		r.count(DropHeldOverflow)
		return
	}
	deadline := r.now.Add(holdTimeout)
	if in.packet.Deadline != 0 {
		deadline = min(deadline, in.packet.Deadline)
	}
	if r.waitIsFutile(reason) {
		deadline = r.now
	}
	h := heldPacket{in: *in, packet: *in.packet, id: id, reason: reason, deadline: deadline}
	if deadline.Passed(r.now) {
		r.refuseHeld(&h)
		return
	}
	r.heldIDs[id] = true
	r.heldPackets = append(r.heldPackets, h)
}

// waitIsFutile reports whether it has been clear for a while that this host will
// not get permission, for example because it has lacked a quorum for
// futileWaitAfter.
func (r *Reducer) waitIsFutile(reason Reason) bool {
	switch reason {
	case RefuseNoOwner:
		return r.joining.ready
	case RefuseIsolated:
		return r.isIsolated()
	default:
	}
	return r.joining.ready && r.noQuorumSince != timekeeper.Never && r.noQuorumSince.Add(futileWaitAfter).Passed(r.now)
}

func (r *Reducer) refuseHeld(h *heldPacket) {
	in := h.in
	in.packet = &h.packet
	q := r.newRequest(&in, h.id)
	outcome := OutcomeNotRun
	if q.nonIdempotent() {
		// Another host may have run an earlier transmission of the datagram.
		outcome = OutcomeUnknown
	}
	r.refuse(q, outcome, h.reason)
}

func (r *Reducer) retryHeldPackets() {
	held := r.heldPackets
	r.heldPackets = nil
	for i := range held {
		h := &held[i]
		delete(r.heldIDs, h.id)
		if h.deadline.Passed(r.now) {
			r.refuseHeld(h)
			continue
		}
		before := len(r.heldPackets)
		in := h.in
		in.packet = &h.packet
		in.service = r.services[in.key.Service()]
		if in.service == nil {
			r.count(DropUnknownService)
			continue
		}
		r.route(&in)
		if len(r.heldPackets) > before {
			r.heldPackets[before].deadline = h.deadline
			r.heldPackets[before].unsentBy = h.unsentBy
		}
	}
}
