package reducer

import (
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/timekeeper"
)

// joinState is how far a host has come on its way to owning flows.
type joinState struct {
	startedAt timekeeper.Instant
	// recordsFrom names the hosts whose records have come, with the time.
	recordsFrom map[string]timekeeper.Instant
	// recordsLackQuorum says that some of these hosts held no quorum.
	recordsLackQuorum bool
	// expectedPeers names hosts that others said were alive.
	expectedPeers map[string]bool
	// ready says that the host is ready; actDeadline is when it may act.
	ready       bool
	readyAt     timekeeper.Instant
	actDeadline timekeeper.Instant
	// uncertaintyDeadline is until when requests from before the start may be
	// repeated whose identities nobody could hand over.
	uncertaintyDeadline timekeeper.Instant
}

func newJoinState(now timekeeper.Instant) joinState {
	return joinState{startedAt: now, recordsFrom: map[string]timekeeper.Instant{}, expectedPeers: map[string]bool{}}
}

// mayAct reports whether the host has waited, after it became ready, until
// every vote that others got without knowing so has run out.
func (j *joinState) mayAct(now timekeeper.Instant) bool {
	return j.ready && j.actDeadline.Passed(now)
}

// hasRecordsOf reports whether the records of a host have come; true for no host.
func (j *joinState) hasRecordsOf(host string) bool {
	if host == "" {
		return len(j.recordsFrom) > 0
	}
	_, ok := j.recordsFrom[host]
	return ok
}

// rejoin starts over after the host lost its place while it was paused.
func (r *Reducer) rejoin() {
	r.log("hostRejoins")
	r.joining = newJoinState(r.now)
	clear(r.handedOverTo)
	clear(r.handovers)
	for i := range r.heldPackets {
		r.heldPackets[i].unsentBy = hostIncarnation{} // Another host may have run it meanwhile.
	}
	for _, q := range r.active {
		if q.nonIdempotent() && (q.state == stateQueued || q.state == stateWitnessing) {
			// Another host may have run it meanwhile.
			r.releaseSlot(q)
			q.state = stateInDoubt
		}
	}
}

// advanceJoin moves a joining host on: to ready when every live host of its cell
// has handed over, or when the whole cell has nothing to hand over.
func (r *Reducer) advanceJoin() {
	if r.joining.ready || r.shuttingDown {
		return
	}
	if r.joining.startedAt.Add(r.maxExchangeLifetime()).Passed(r.now) && r.detector.Phase() == messenger.PhaseJoining {
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
	if len(r.joining.recordsFrom) == 0 || r.joining.recordsLackQuorum {
		return false
	}
	for _, name := range r.detector.Cell() {
		if name == r.self {
			continue
		}
		_, done := r.joining.recordsFrom[name]
		state := r.detector.State(name)
		alive := state.Liveness == messenger.LivenessAlive || state.Liveness == messenger.LivenessSuspect
		owning := state.Phase == messenger.PhaseReady || state.Phase == messenger.PhaseLeaving
		if !done && ((alive && owning) || (r.joining.expectedPeers[name] && state.Liveness != messenger.LivenessDead && !r.hasLeft(state) && !isJoining(state))) {
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
		if _, done := r.joining.recordsFrom[name]; !done {
			return true
		}
	}
	return false
}

func (r *Reducer) becomeReady() {
	r.joining.ready = true
	r.joining.readyAt = r.now
	r.joining.actDeadline = r.now.Add(r.detector.LeaseDuration())
	r.detector.SetPhase(messenger.PhaseReady)
	r.log("hostReady")
}

// Ready reports whether the host has joined and may act as an owner.
func (r *Reducer) Ready() bool {
	return r.settings != nil && r.joining.mayAct(r.now) && !r.shuttingDown
}

// Accepting reports whether the fabric should hand packets to this host. A host
// that joins takes packets already: it forwards them, and serves what may run
// twice. An isolated host withdraws, since others can do more.
func (r *Reducer) Accepting() bool {
	return r.settings != nil && !r.shuttingDown && !r.isIsolated() && r.hasDiscoveredPeers()
}

// peerDiscoveryTimeout is how long a host that starts waits to hear the others: two
// rounds of heartbeats, and the pause after which others dial it again. Those
// that are down stay unheard.
const peerDiscoveryTimeout = time.Second

// hasDiscoveredPeers reports whether this host knows how the others are, or has waited
// for them long enough.
//
// What goes wrong otherwise: a host that has heard nobody takes itself for the
// only one. Answers that the fabric hands it go straight to their callers, and
// the owners of their flows, which sent the requests, wait for them until their
// deadline with a place at the target taken. One notices by uploads that are
// answered "unknown" while hosts are replaced.
func (r *Reducer) hasDiscoveredPeers() bool {
	if r.startedAt.Add(peerDiscoveryTimeout).Passed(r.now) {
		return true
	}
	for _, name := range r.detector.Others() {
		if r.detector.State(name).Liveness == messenger.LivenessUnknown {
			return false
		}
	}
	return true
}
