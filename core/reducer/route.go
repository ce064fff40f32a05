package reducer

import (
	"net/netip"
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/placer"
	"cranberryspan.dev/core/resolver"
	"cranberryspan.dev/core/timekeeper"
)

// maxHops limits how often a packet is forwarded between hosts that disagree about
// its owner.
const maxHops = 3

// inbound is a received packet with the flow and service that it belongs to.
type inbound struct {
	key       resolver.FlowKey
	hash      uint64
	service   *service
	direction messenger.Direction
	// target is the address that a response came from.
	target netip.AddrPort
	packet *messenger.Packet
	hops   uint8
}

// role is the part that this host plays for a flow.
type role uint8

const (
	// roleOwner means that this host keeps the flow's records.
	roleOwner role = iota + 1
	// roleFallback means that this host serves the flow because its owner can't be
	// reached. It serves idempotent requests only.
	roleFallback
	// roleForward means that this host forwards the packet to another host.
	roleForward
)

// staleAfter limits how long a packet may wait in the socket before the host reads
// it. Together with the maximum delay of the network it must stay below the exchange
// lifetime.
//
// Without this, when a host is paused for longer than callers retransmit their
// requests, a datagram that waited in its socket is read after every host has
// dropped the request's identity, and the request runs again. This shows as a
// non-idempotent request that runs a second time when a host resumes.
const staleAfter = time.Second

func (r *Reducer) isStale(arrived timekeeper.Instant) bool {
	if arrived.Add(staleAfter).Passed(r.now) {
		r.count(DropStale)
		return true
	}
	return false
}

func (r *Reducer) handleCallerPacket(e *CallerPacket) {
	if r.isStale(e.Arrived) {
		return
	}
	if r.settings == nil {
		r.count(DropUnknownService)
		return
	}
	settings, ok := r.settings.ServiceByAddress(e.Service)
	if !ok {
		r.count(DropUnknownService)
		return
	}
	key, ok := resolver.NewFlowKey(e.Caller, settings.ID)
	if !ok || e.Caller.Port() == 0 {
		r.count(DropUnknownCaller)
		return
	}
	r.route(&inbound{
		key:       key,
		hash:      placer.Hash(key),
		service:   r.services[settings.ID],
		direction: messenger.DirectionToTarget,
		packet:    &e.Packet,
	})
}

func (r *Reducer) handleTargetPacket(e *TargetPacket) {
	key := resolver.FlowKeyFromAddress(e.Return)
	s, ok := r.services[key.Service()]
	if !ok || !s.settings.ReturnPrefix.Contains(e.Return) || !s.acceptsResponsesFrom(e.Target, r.addressUses) {
		// A packet from an address that is no target of the service must not
		// reach the service's caller: the address may belong to another service
		// now.
		r.count(DropUnknownTarget)
		return
	}
	r.route(&inbound{
		key:       key,
		hash:      placer.Hash(key),
		service:   s,
		direction: messenger.DirectionToCaller,
		target:    e.Target,
		packet:    &e.Packet,
	})
}

// handleForward handles a packet that another host forwarded because it considers
// this host the owner of the flow.
func (r *Reducer) handleForward(f *messenger.Forward, arrived timekeeper.Instant) {
	if f.Direction == messenger.DirectionToTarget && r.isStale(arrived) {
		return
	}
	s, ok := r.services[f.Key.Service()]
	if !ok {
		r.count(DropUnknownService)
		return
	}
	if f.Direction == messenger.DirectionToCaller && !s.acceptsResponsesFrom(f.Target, r.addressUses) {
		r.count(DropUnknownTarget)
		return
	}
	packet := messenger.Packet{Kind: f.Kind, Flags: f.Flags, Exchange: f.Exchange, Payload: f.Payload}
	if f.Remaining > 0 {
		packet.Deadline = r.now.Add(f.Remaining)
	}
	r.route(&inbound{
		key:       f.Key,
		hash:      placer.Hash(f.Key),
		service:   s,
		direction: f.Direction,
		target:    f.Target,
		packet:    &packet,
		hops:      f.Hops,
	})
}

// route forwards a packet to the owner of its flow, or handles it on this host.
func (r *Reducer) route(in *inbound) {
	if in.direction == messenger.DirectionToCaller && bypassesOwner(in.packet) {
		r.deliverToCaller(in)
		return
	}
	owner, role := r.ownerOf(placer.BucketOf(in.hash), isNonIdempotent(in))
	if role == roleForward {
		if in.hops < maxHops {
			r.forwardTo(owner, in)
			return
		}
		if isNonIdempotent(in) {
			r.count(DropHopLimit)
			return
		}
		role = roleFallback
	}
	if role == roleOwner {
		r.count(CountOwned)
	} else {
		r.count(CountFallback)
	}
	r.handleLocally(in, role)
}

// bypassesOwner reports whether a packet from a target goes to the caller without
// passing the flow's owner. This holds for notifications of a stream and for control
// packets: the return address contains all that is needed to deliver them.
func bypassesOwner(packet *messenger.Packet) bool {
	if packet.Kind != messenger.KindResponse {
		return true
	}
	return packet.Flags.Has(messenger.FlagStream) && !packet.Flags.Has(messenger.FlagPiggybacked)
}

// isNonIdempotent reports whether a packet is a non-idempotent request, which only
// the flow's owner may handle.
func isNonIdempotent(in *inbound) bool {
	return in.direction == messenger.DirectionToTarget &&
		in.packet.Kind == messenger.KindRequest &&
		!in.packet.Flags.Has(messenger.FlagIdempotent)
}

func (r *Reducer) forwardTo(owner string, in *inbound) {
	r.count(CountForwarded)
	r.forwards = append(r.forwards, r.forwardOf(in))
	r.sendPeer(owner, &r.forwards[len(r.forwards)-1])
}

func (r *Reducer) forwardOf(in *inbound) messenger.Forward {
	var remaining time.Duration
	if in.packet.Deadline != 0 {
		remaining = max(in.packet.Deadline.Until(r.now), time.Millisecond)
	}
	return messenger.Forward{
		Key:              in.key,
		Direction:        in.direction,
		Hops:             in.hops + 1,
		SettingsRevision: r.Revision(),
		Target:           in.target,
		Kind:             in.packet.Kind,
		Flags:            in.packet.Flags,
		Exchange:         in.packet.Exchange,
		Remaining:        remaining,
		Payload:          in.packet.Payload,
	}
}

// ownerOf returns the host to which packets of a bucket go, and this host's role.
// The owner is the first host of the bucket's home cell, in rank order, that acts as
// an owner. ownerOnly is set for requests that only the owner may run; for other
// requests a suspect host is skipped at once.
//
// If no host acts as an owner, this host is the fallback. For a request that only the
// owner may run, a host of the home cell that has not stepped down or left is the
// owner instead, and holds the request until it has permission.
func (r *Reducer) ownerOf(bucket placer.Bucket, ownerOnly bool) (string, role) {
	order := r.rankers[r.cells.Home(bucket)].Rank(bucket)
	for i, name := range order.Names() {
		if name != r.self {
			if r.actsAsOwner(name, ownerOnly) {
				return name, roleForward
			}
			if via := r.relayToOwner(name, ownerOnly); via != "" {
				return via, roleForward
			}
			continue
		}
		if r.steppedDown {
			continue
		}
		if r.joining.ready || r.joining.hasRecordsOf(r.firstActingOwner(order.Names()[i+1:])) {
			return name, roleOwner
		}
	}
	if ownerOnly && r.detector.Phase() != messenger.PhaseLeft && r.cells.Home(bucket) == r.localCell && !r.steppedDown {
		return r.self, roleOwner
	}
	return r.self, roleFallback
}

// relayToOwner returns the host that relays a request that only the owner may run,
// if this host can't reach the owner but the owner's death is not confirmed. It
// returns "" if there is none.
func (r *Reducer) relayToOwner(owner string, ownerOnly bool) string {
	state := r.detector.State(owner)
	unreachable := state.Liveness == messenger.LivenessDead && state.Phase == messenger.PhaseReady && state.Incarnation != 0
	if !ownerOnly || !unreachable || !r.detector.InCell(owner) || r.detector.ConfirmedDead(owner) {
		return ""
	}
	return r.relayTo(owner)
}

// firstActingOwner returns the first of the named hosts that acts as an owner; "" if none
// does.
func (r *Reducer) firstActingOwner(names []string) string {
	for _, name := range names {
		if r.actsAsOwner(name, false) {
			return name
		}
	}
	return ""
}

// actsAsOwner reports whether another host currently acts as an owner. With
// ownerOnly, a suspect host counts too.
func (r *Reducer) actsAsOwner(name string, ownerOnly bool) bool {
	state := r.detector.State(name)
	switch state.Liveness {
	case messenger.LivenessAlive:
	case messenger.LivenessSuspect:
		if !ownerOnly {
			return false
		}
	case messenger.LivenessUnknown, messenger.LivenessDead:
		return false
	}
	switch state.Phase {
	case messenger.PhaseReady, messenger.PhaseLeaving:
		// Its records may arrive before the heartbeat that reports its shutdown.
		return r.leaveHandoverFrom[name] != state.Incarnation
	case messenger.PhaseJoining, messenger.PhaseWaited:
		return r.handedOverTo[name] == state.Incarnation && state.Incarnation != 0
	case messenger.PhaseLeft:
		return false
	}
	return false
}

// handleLocally handles a packet for which this host is the owner or the fallback.
func (r *Reducer) handleLocally(in *inbound, role role) {
	if in.direction == messenger.DirectionToCaller {
		r.handleResponse(in)
		return
	}
	switch in.packet.Kind {
	case messenger.KindRequest:
		r.handleRequest(in, role)
	case messenger.KindControl, messenger.KindResponse:
		r.handleControl(in)
	}
}

// handleControl sends an acknowledgement or reset to the targets of its flow.
func (r *Reducer) handleControl(in *inbound) {
	f, known := r.flows.get(in.key, in.hash)
	if !known {
		index, ok := in.service.previousTarget(in.hash, r.now)
		if !ok {
			r.count(DropNoTarget)
			return
		}
		f = flow{target: index, otherTarget: noTarget}
	}
	r.touch(in, f)
	if in.service.registry[f.target].listed {
		r.sendPacketToTarget(in, f.target)
	}
	// If the flow has two targets, an acknowledgement does not show which of them
	// it is for; the wrong one ignores it (RFC 7252, section 4.2).
	if f.otherTarget != noTarget && in.service.registry[f.otherTarget].listed {
		r.sendPacketToTarget(in, f.otherTarget)
	}
}

func (r *Reducer) sendPacketToTarget(in *inbound, index uint16) {
	r.sendTarget(ToTarget{
		Target:  in.service.registry[index].address,
		Return:  resolver.ReturnAddress(in.service.settings.ReturnPrefix, in.key),
		Payload: in.packet.Payload,
	})
}

func (r *Reducer) deliverToCaller(in *inbound) {
	r.sendCaller(ToCaller{
		Caller:  in.key.Caller(),
		Service: in.service.settings.Address,
		Payload: in.packet.Payload,
	})
}

// touch updates the time at which a flow was last used. To avoid a write to the flow
// table for each packet, the time has a resolution of resolutionSeconds, which is
// enough for expiry.
func (r *Reducer) touch(in *inbound, f flow) {
	const resolutionSeconds = 8
	now := seconds(r.now)
	if f.lastSeen+resolutionSeconds > now && f.lastSeen != 0 {
		return
	}
	f.lastSeen = max(now, 1)
	r.flows.put(in.key, in.hash, f)
	r.addToHandovers(in.key, in.hash, f)
}
