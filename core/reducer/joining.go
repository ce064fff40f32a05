package reducer

import (
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/timekeeper"
)

// joining is how far a host has come on its way to owning flows.
type joining struct {
	since timekeeper.Instant
	// doneFrom names the hosts whose records have come, with the time.
	doneFrom map[string]timekeeper.Instant
	// powerlessDone says that some of these hosts held no quorum.
	powerlessDone bool
	// expected names hosts that others said were alive.
	expected map[string]bool
	// over says that the host is ready; actDeadline is when it may act.
	over        bool
	readyAt     timekeeper.Instant
	actDeadline timekeeper.Instant
	// uncertainDeadline is until when requests from before the start may be
	// repeated whose identities nobody could hand over.
	uncertainDeadline timekeeper.Instant
}

func newJoining(now timekeeper.Instant) joining {
	return joining{since: now, doneFrom: map[string]timekeeper.Instant{}, expected: map[string]bool{}}
}

// mayAct reports whether the host has waited, after it became ready, until
// every vote that others got without knowing so has run out.
func (j *joining) mayAct(now timekeeper.Instant) bool {
	return j.over && j.actDeadline.Passed(now)
}

// hasRecordsOf reports whether the records of a host have come; true for no host.
func (j *joining) hasRecordsOf(host string) bool {
	if host == "" {
		return len(j.doneFrom) > 0
	}
	_, ok := j.doneFrom[host]
	return ok
}

// rejoin starts over after the host lost its place while it was paused.
func (r *Reducer) rejoin() {
	r.log("hostRejoins")
	r.joining = newJoining(r.now)
	clear(r.handedTo)
	clear(r.handovers)
	for i := range r.held {
		r.held[i].unsentBy = hostStart{} // Another host may have run it meanwhile.
	}
	for _, q := range r.active {
		if q.nonIdempotent() && (q.state == stateQueued || q.state == stateWitnessing) {
			// Another host may have run it meanwhile.
			r.leave(q)
			q.state = stateOrphan
		}
	}
}

// joinTick moves a joining host on: to ready when every live host of its cell
// has handed over, or when the whole cell has nothing to hand over.
func (r *Reducer) joinTick() {
	if r.joining.over || r.shutdown {
		return
	}
	if r.joining.since.Add(r.exchangeLifetime()).Passed(r.now) && r.detector.Phase() == messenger.PhaseJoining {
		r.detector.SetPhase(messenger.PhaseWaited)
	}
	if r.recordsComplete() {
		r.becomeReady()
		return
	}
	if r.detector.Phase() == messenger.PhaseWaited && r.detector.CanBootstrapCell(r.now) && !r.recordsMissing() {
		r.becomeReady()
	}
}

func (r *Reducer) recordsComplete() bool {
	if len(r.joining.doneFrom) == 0 || r.joining.powerlessDone {
		return false
	}
	for _, name := range r.detector.Cell() {
		if name == r.self {
			continue
		}
		_, done := r.joining.doneFrom[name]
		state := r.detector.State(name)
		alive := state.Liveness == messenger.LivenessAlive || state.Liveness == messenger.LivenessSuspect
		owning := state.Phase == messenger.PhaseReady || state.Phase == messenger.PhaseLeaving
		if !done && ((alive && owning) || (r.joining.expected[name] && state.Liveness != messenger.LivenessDead && !r.hasLeft(state) && !isJoining(state))) {
			return false
		}
	}
	return true
}

// recordsMissing reports whether a host of the cell may have run requests and
// has not handed its records over.
func (r *Reducer) recordsMissing() bool {
	for _, name := range r.detector.Cell() {
		if name == r.self || !r.detector.State(name).HeldQuorum {
			continue
		}
		if _, done := r.joining.doneFrom[name]; !done {
			return true
		}
	}
	return false
}

func (r *Reducer) becomeReady() {
	r.joining.over = true
	r.joining.readyAt = r.now
	r.joining.actDeadline = r.now.Add(r.detector.LeaseDuration())
	r.detector.SetPhase(messenger.PhaseReady)
	r.log("hostReady")
}

// Ready reports whether the host has joined and may act as an owner.
func (r *Reducer) Ready() bool {
	return r.settings != nil && r.joining.mayAct(r.now) && !r.shutdown
}

// Accepting reports whether the fabric should hand packets to this host. A host
// that joins takes packets already: it forwards them, and serves what may run
// twice. An isolated host withdraws, since others can do more.
func (r *Reducer) Accepting() bool {
	return r.settings != nil && !r.shutdown && !r.isolated() && r.knowsOthers()
}

// acquaintanceSpan is how long a host that starts waits to hear the others: two
// rounds of heartbeats, and the pause after which others dial it again. Those
// that are down stay unheard.
const acquaintanceSpan = time.Second

// knowsOthers reports whether this host knows how the others are, or has waited
// for them long enough.
//
// What goes wrong otherwise: a host that has heard nobody takes itself for the
// only one. Answers that the fabric hands it go straight to their callers, and
// the owners of their flows, which sent the requests, wait for them until their
// deadline with a place at the target taken. One notices by uploads that are
// answered "unknown" while hosts are replaced.
func (r *Reducer) knowsOthers() bool {
	if r.startedAt.Add(acquaintanceSpan).Passed(r.now) {
		return true
	}
	for _, name := range r.detector.Others() {
		if r.detector.State(name).Liveness == messenger.LivenessUnknown {
			return false
		}
	}
	return true
}
