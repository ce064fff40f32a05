package reducer

import (
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/resolver"
)

// targetFor finds the target of a request and remembers the flow.
func (r *Reducer) targetFor(in *inbound) (uint16, bool) {
	f, known := r.flows.get(in.key, in.hash)
	if !known {
		return r.placeFlow(in)
	}
	s := in.service
	flags := in.packet.Flags
	t := s.registry[f.target]
	continues := !flags.Has(messenger.FlagOpensFlow) || (f.flags&flowLong != 0 && flags.Has(messenger.FlagStream))
	ejected := s.eject(r.now)
	if !flags.Has(messenger.FlagOpensFlow) && flags.Has(messenger.FlagBlockwise) && f.flags&flowMoved != 0 && s.registry[f.other].present {
		r.touch(in, f)
		return f.other, true
	}
	if t.present && (continues || (t.policy.State == resolver.TargetActive && !ejected[f.target])) {
		r.noteTransfer(in, &f, false)
		r.touchLong(in, f)
		return f.target, true
	}
	if f.other != noTarget && s.registry[f.other].usable(r.now) && !ejected[f.other] {
		r.noteTransfer(in, &f, true)
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
		r.noteTransfer(in, &f, true)
	} else {
		f = flow{target: at, other: noTarget}
	}
	f.seen = 0
	r.markException(in.service, in.hash, &f)
	r.touchLong(in, f)
	return at, true
}

// noteTransfer remembers at which of a flow's targets a transfer in blocks
// begins, so that its later blocks follow it.
func (r *Reducer) noteTransfer(in *inbound, f *flow, moved bool) {
	const begins = messenger.FlagOpensFlow | messenger.FlagBlockwise
	if !in.packet.Flags.Has(begins) || moved == (f.flags&flowMoved != 0) {
		return
	}
	f.flags ^= flowMoved
	f.seen = 0
}

// touchLong is touch, and marks flows that carry streams or uploads.
func (r *Reducer) touchLong(in *inbound, f flow) {
	if in.packet.Flags&(messenger.FlagStream|messenger.FlagBlockwise) != 0 && f.flags&flowLong == 0 {
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
	if in.packet.Flags.Has(messenger.FlagOpensFlow) {
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
