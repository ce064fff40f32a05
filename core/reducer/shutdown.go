package reducer

import (
	"slices"

	"cranberryspan.dev/core/messenger"
)

// A graceful shutdown has four steps, each of which can be repeated:
//
//  1. The host sends its flows and identities in chunks to the hosts of its cell that
//     stay, while it continues to act on them.
//  2. When all have received them, it stops acting on all flows at one instant, and
//     sends each host its last chunk: what has changed since, the requests that are
//     running at targets, and to one of them its votes.
//  3. When all have acknowledged, its phase becomes left. It forwards packets for
//     forwardAfterLeaveDuration, for hosts that do not know yet that it has left.
//  4. The process ends.
//
// The host must not stop acting on flows one by one. A host that receives its last
// chunk considers the sender as left. It would act on flows that the sender still
// owns until other hosts have received their last chunks.

// beginShutdown starts a graceful shutdown: the host hands over all flows while it
// still acts on them.
func (r *Reducer) beginShutdown() {
	if r.shuttingDown {
		return
	}
	r.shuttingDown = true
	r.log("hostLeaving")
	if r.settings == nil || !r.joining.ready {
		r.finishShutdown()
		return
	}
	r.detector.SetPhase(messenger.PhaseLeaving)
	r.startShutdownHandovers()
}

// startShutdownHandovers starts, or restarts, the handovers to all hosts that stay.
func (r *Reducer) startShutdownHandovers() {
	clear(r.handovers)
	for _, name := range r.detector.Cell() {
		if name != r.self && r.isStaying(name) {
			r.startHandover(name, r.detector.Incarnation(), true)
		}
	}
}

// isStaying reports whether a host of the cell can take over flows permanently.
func (r *Reducer) isStaying(name string) bool {
	state := r.detector.State(name)
	return r.actsAsOwner(name, true) && state.Phase == messenger.PhaseReady && r.handoverRefusedBy[name] != state.Incarnation
}

// voteRecipient returns the host that receives this host's votes when it shuts
// down: the first host of its cell that stays.
func (r *Reducer) voteRecipient() string {
	for _, name := range r.detector.Cell() {
		if name != r.self && r.isStaying(name) {
			return name
		}
	}
	return ""
}

// handleHandoverRefusal restarts the handovers without a host that is itself shutting
// down.
func (r *Reducer) handleHandoverRefusal(from string, h *outgoingHandover) {
	r.handoverRefusedBy[from] = r.detector.State(from).Incarnation
	if h.unackedChunk != nil {
		r.detector.AcceptVotes(h.unackedChunk.Votes, h.unackedChunk.DeniedRecipients, r.now)
	}
	r.startShutdownHandovers()
}

// advanceShutdown takes the next step of a graceful shutdown when it is due.
func (r *Reducer) advanceShutdown() {
	if !r.shuttingDown || r.shutdownComplete || !r.joining.ready {
		return
	}
	switch {
	case r.detector.Phase() == messenger.PhaseLeft:
		if r.forwardDeadline.Passed(r.now) {
			r.finishShutdown()
		}
	case !r.steppedDown:
		r.stepDown()
	case !r.anyHandover(func(h *outgoingHandover) bool { return !h.acked }):
		r.detector.SetPhase(messenger.PhaseLeft)
		r.forwardDeadline = r.now.Add(forwardAfterLeaveDuration)
		r.log("hostLeft")
	}
}

// stepDown stops acting on flows once everything but the last chunks is handed
// over.
func (r *Reducer) stepDown() {
	if r.anyHandover(func(h *outgoingHandover) bool { return h.unackedChunk != nil || len(h.flows)+len(h.identities) > 0 }) {
		return
	}
	if r.voteRecipient() == "" && r.hasUnfinishedRequests() {
		// The last host of a cell has no host to hand over to, so it first finishes
		// its requests.
		return
	}
	r.steppedDown = true
	for _, name := range r.detector.Cell() {
		if h := r.handovers[name]; h != nil && r.isStaying(name) {
			r.sendHandoverChunk(name, h)
		}
	}
}

// anyHandover reports whether a handover to a host that stays satisfies matches.
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

func (r *Reducer) finishShutdown() {
	if !r.shutdownComplete {
		r.shutdownComplete = true
		r.emit(&Ended{})
	}
}
