package reducer

import (
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/resolver"
)

// targetFor returns the target of a request and updates the flow's record. Requests
// that continue the flow go to the flow's target while the settings list it. New
// requests go there too, unless it drains or is ejected: then they go to otherTarget,
// which is chosen when first needed. The later blocks of a transfer that began at
// otherTarget go there as well. A flow without streams and uploads moves to the new
// target altogether.
func (r *Reducer) targetFor(in *inbound) (uint16, bool) {
	f, known := r.flows.get(in.key, in.hash)
	if !known {
		return r.placeFlow(in)
	}
	s := in.service
	flags := in.packet.Flags
	t := s.registry[f.target]
	continues := !flags.Has(messenger.FlagOpensFlow) || (f.flags&flowLongLived != 0 && flags.Has(messenger.FlagStream))
	ejected := s.ejectedTargets(r.now)
	if !flags.Has(messenger.FlagOpensFlow) && flags.Has(messenger.FlagBlockwise) && f.flags&flowTransferMoved != 0 && s.registry[f.otherTarget].listed {
		r.touch(in, f)
		return f.otherTarget, true
	}
	if t.listed && (continues || (t.policy.State == resolver.TargetActive && !ejected[f.target])) {
		r.recordTransfer(in, &f, false)
		r.touchLongLived(in, f)
		return f.target, true
	}
	if f.otherTarget != noTarget && s.registry[f.otherTarget].usable(r.now) && !ejected[f.otherTarget] {
		r.recordTransfer(in, &f, true)
		r.touch(in, f)
		return f.otherTarget, true
	}
	index, ok := s.choose(in.hash, f.target, r.now)
	if !ok {
		return noTarget, false
	}
	r.count(CountFlowsMoved)
	if f.flags&flowLongLived != 0 && t.listed {
		// The target drains or is ejected: it keeps the flow's streams and uploads,
		// and the flow's new requests go to another target.
		f.otherTarget = index
		r.recordTransfer(in, &f, true)
	} else {
		f = flow{target: index, otherTarget: noTarget}
	}
	f.lastSeen = 0
	r.markException(in.service, in.hash, &f)
	r.touchLongLived(in, f)
	return index, true
}

// recordTransfer records at which of a flow's two targets a blockwise transfer
// begins, so that its later blocks go to the same one.
func (r *Reducer) recordTransfer(in *inbound, f *flow, moved bool) {
	const begins = messenger.FlagOpensFlow | messenger.FlagBlockwise
	if !in.packet.Flags.Has(begins) || moved == (f.flags&flowTransferMoved != 0) {
		return
	}
	f.flags ^= flowTransferMoved
	f.lastSeen = 0
}

// touchLongLived calls touch, and marks the flow as long-lived if the packet belongs
// to a stream or an upload.
func (r *Reducer) touchLongLived(in *inbound, f flow) {
	if in.packet.Flags&(messenger.FlagStream|messenger.FlagBlockwise) != 0 && f.flags&flowLongLived == 0 {
		f.flags |= flowLongLived
		f.lastSeen = 0
	}
	r.touch(in, f)
}

// placeFlow selects a target for a flow that has no record. A packet that can't open
// a flow belongs to one that was placed earlier, so it goes to the target that
// previousTarget gives.
func (r *Reducer) placeFlow(in *inbound) (uint16, bool) {
	var index uint16
	var ok bool
	if in.packet.Flags.Has(messenger.FlagOpensFlow) {
		index, ok = in.service.choose(in.hash, noTarget, r.now)
	} else {
		index, ok = in.service.previousTarget(in.hash, r.now)
	}
	if !ok {
		return noTarget, false
	}
	f := flow{target: index, otherTarget: noTarget}
	r.markException(in.service, in.hash, &f)
	r.touchLongLived(in, f)
	return index, true
}

// markException updates the flag that marks a flow as an exception: one whose target
// is not the one that the current placement table gives.
func (r *Reducer) markException(s *service, hash uint64, f *flow) {
	first, ok := s.tables[0].firstChoice(hash)
	if ok && first == f.target && f.otherTarget == noTarget {
		f.flags &^= flowException | flowCopied
		return
	}
	if f.flags&flowException == 0 {
		f.flags |= flowException
		f.flags &^= flowCopied
	}
	r.dirtyShards = flowShards
}
