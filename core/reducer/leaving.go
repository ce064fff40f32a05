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
	if r.shuttingDown {
		return
	}
	r.shuttingDown = true
	r.log("hostLeaving")
	if r.settings == nil || !r.joining.ready {
		r.finishLeaving()
		return
	}
	r.detector.SetPhase(messenger.PhaseLeaving)
	r.startLeavingHandovers()
}

// startLeavingHandovers begins, or begins anew, with all hosts that stay.
func (r *Reducer) startLeavingHandovers() {
	clear(r.handovers)
	for _, name := range r.detector.Cell() {
		if name != r.self && r.isStaying(name) {
			r.startHandover(name, r.detector.Incarnation(), true)
		}
	}
}

// isStaying reports whether a host of the cell can take flows over for good.
func (r *Reducer) isStaying(name string) bool {
	state := r.detector.State(name)
	return r.actsAsOwner(name, true) && state.Phase == messenger.PhaseReady && r.handoverRefusedBy[name] != state.Incarnation
}

// voteRecipient returns the host that gets this host's votes when it leaves: the first
// of its cell that stays.
func (r *Reducer) voteRecipient() string {
	for _, name := range r.detector.Cell() {
		if name != r.self && r.isStaying(name) {
			return name
		}
	}
	return ""
}

// handoverRefused begins anew without a host that turned out to leave itself.
func (r *Reducer) handoverRefused(from string, h *outgoingHandover) {
	r.handoverRefusedBy[from] = r.detector.State(from).Incarnation
	if h.unackedChunk != nil {
		r.detector.AcceptVotes(h.unackedChunk.Votes, h.unackedChunk.DeniedRecipients, r.now)
	}
	r.startLeavingHandovers()
}

// advanceLeave takes the next step of a leave when its time has come.
func (r *Reducer) advanceLeave() {
	if !r.shuttingDown || r.ended || !r.joining.ready {
		return
	}
	switch {
	case r.detector.Phase() == messenger.PhaseLeft:
		if r.lingerDeadline.Passed(r.now) {
			r.finishLeaving()
		}
	case !r.steppedDown:
		r.stepDown()
	case !r.anyHandover(func(h *outgoingHandover) bool { return !h.acked }):
		r.detector.SetPhase(messenger.PhaseLeft)
		r.lingerDeadline = r.now.Add(lingerDuration)
		r.log("hostLeft")
	}
}

// stepDown stops acting, once everything but the last parts is handed over.
func (r *Reducer) stepDown() {
	if r.anyHandover(func(h *outgoingHandover) bool { return h.unackedChunk != nil || len(h.flows)+len(h.identities) > 0 }) {
		return
	}
	if r.voteRecipient() == "" && r.hasUnfinishedRequests() {
		// The last host of a cell has nobody to hand over to, so it finishes
		// what it has.
		return
	}
	r.steppedDown = true
	for _, name := range r.detector.Cell() {
		if h := r.handovers[name]; h != nil && r.isStaying(name) {
			r.sendHandoverChunk(name, h)
		}
	}
}

// anyHandover reports whether a handover to a host that stays meets a
// condition.
func (r *Reducer) anyHandover(matches func(h *outgoingHandover) bool) bool {
	for _, name := range r.detector.Cell() {
		if h := r.handovers[name]; h != nil && r.isStaying(name) && matches(h) {
			return true
		}
	}
	return false
}

func (r *Reducer) hasUnfinishedRequests() bool {
	return slices.ContainsFunc(r.active, func(q *request) bool {
		return q.state == stateSent || q.state == stateQueued || q.state == stateWitnessing
	})
}

func (r *Reducer) finishLeaving() {
	if !r.ended {
		r.ended = true
		r.emit(&Ended{})
	}
}
