package reducer

import (
	"slices"

	"cranberryspan.dev/core/messenger"
)

// A host leaves in four steps, each of which can be repeated:
//
//  1. It streams its flows and identities to the hosts of its cell that stay,
//     while it goes on acting on them.
//  2. When all have what there is, it stops acting on anything, at one instant,
//     and sends each its last part: what changed since, the requests that run at
//     targets, and to one of them its votes.
//  3. When all have acknowledged, its phase is left. It passes packets on for a
//     little while, for hosts that have not heard.
//  4. The process ends.
//
// It must not stop by parts. A host that got its part would take the leaver for
// gone altogether, and act on flows that the leaver still holds for another.

// beginLeaving starts to hand every flow over, while still acting on them.
func (r *Reducer) beginLeaving() {
	if r.shutdown {
		return
	}
	r.shutdown = true
	r.log("hostLeaving")
	if r.settings == nil || !r.joining.over {
		r.end()
		return
	}
	r.detector.SetPhase(messenger.PhaseLeaving)
	r.startLeavingHandovers()
}

// startLeavingHandovers begins, or begins anew, with all hosts that stay.
func (r *Reducer) startLeavingHandovers() {
	clear(r.handovers)
	for _, name := range r.detector.Cell() {
		if name != r.self && r.stays(name) {
			r.startHandover(name, r.detector.Incarnation(), true)
		}
	}
}

// stays reports whether a host of the cell can take flows over for good.
func (r *Reducer) stays(name string) bool {
	state := r.detector.State(name)
	return r.takesPart(name, true) && state.Phase == messenger.PhaseReady && r.refusedBy[name] != state.Incarnation
}

// voteHolder returns the host that gets this host's votes when it leaves: the first
// of its cell that stays.
func (r *Reducer) voteHolder() string {
	for _, name := range r.detector.Cell() {
		if name != r.self && r.stays(name) {
			return name
		}
	}
	return ""
}

// handoverRefused begins anew without a host that turned out to leave itself.
func (r *Reducer) handoverRefused(from string, h *handoverOut) {
	r.refusedBy[from] = r.detector.State(from).Incarnation
	if h.last != nil {
		r.detector.AcceptVotes(h.last.Votes, h.last.DeniedRecipients, r.now)
	}
	r.startLeavingHandovers()
}

// leaveTick takes the next step of a leave when its time has come.
func (r *Reducer) leaveTick() {
	if !r.shutdown || r.ended || !r.joining.over {
		return
	}
	switch {
	case r.detector.Phase() == messenger.PhaseLeft:
		if r.leftDeadline.Passed(r.now) {
			r.end()
		}
	case !r.steppedDown:
		r.stepDown()
	case !r.pendingHandover(func(h *handoverOut) bool { return !h.acked }):
		r.detector.SetPhase(messenger.PhaseLeft)
		r.leftDeadline = r.now.Add(lingerSpan)
		r.log("hostLeft")
	}
}

// stepDown stops acting, once everything but the last parts is handed over.
func (r *Reducer) stepDown() {
	if r.pendingHandover(func(h *handoverOut) bool { return h.last != nil || len(h.flows)+len(h.identities) > 0 }) {
		return
	}
	if r.voteHolder() == "" && r.running() {
		// The last host of a cell has nobody to hand over to, so it finishes
		// what it has.
		return
	}
	r.steppedDown = true
	for _, name := range r.detector.Cell() {
		if h := r.handovers[name]; h != nil && r.stays(name) {
			r.sendChunk(name, h)
		}
	}
}

// pendingHandover reports whether a handover to a host that stays meets a
// condition.
func (r *Reducer) pendingHandover(meets func(h *handoverOut) bool) bool {
	for _, name := range r.detector.Cell() {
		if h := r.handovers[name]; h != nil && r.stays(name) && meets(h) {
			return true
		}
	}
	return false
}

func (r *Reducer) running() bool {
	return slices.ContainsFunc(r.active, func(q *request) bool {
		return q.state == stateSent || q.state == stateQueued || q.state == stateWitnessing
	})
}

func (r *Reducer) end() {
	if !r.ended {
		r.ended = true
		r.emit(&Ended{})
	}
}
