package reducer

import (
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/timekeeper"
)

// joinState is the progress of a host toward owning flows.
type joinState struct {
	startedAt timekeeper.Instant
	// recordsFrom holds the hosts that have handed over their records, with the
	// time.
	recordsFrom map[string]timekeeper.Instant
	// recordsLackQuorum is set if some of these hosts had no quorum.
	recordsLackQuorum bool
	// expectedPeers holds the hosts that acted as owners according to the hosts that
	// have handed over.
	expectedPeers map[string]bool
	// ready is set once the host is ready, at readyAt. It may act as an owner only
	// after mayActFrom.
	ready      bool
	readyAt    timekeeper.Instant
	mayActFrom timekeeper.Instant
	// uncertaintyDeadline is until when callers may retransmit requests from before
	// the start whose identities no host could hand over.
	uncertaintyDeadline timekeeper.Instant
}

func newJoinState(now timekeeper.Instant) joinState {
	return joinState{startedAt: now, recordsFrom: map[string]timekeeper.Instant{}, expectedPeers: map[string]bool{}}
}

// mayAct reports whether the host is ready and has since waited until every vote
// that other hosts obtained without knowing of it has expired.
func (j *joinState) mayAct(now timekeeper.Instant) bool {
	return j.ready && j.mayActFrom.Passed(now)
}

// hasRecordsOf reports whether a host has handed over its records; for the empty
// string, whether any host has.
func (j *joinState) hasRecordsOf(host string) bool {
	if host == "" {
		return len(j.recordsFrom) > 0
	}
	_, ok := j.recordsFrom[host]
	return ok
}

// rejoin starts joining again after the host lost its ownership during a pause or
// partition.
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

// advanceJoin makes a joining host ready once every live host of its cell has
// handed over its records, or once no host of the cell has anything to hand over.
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
		live := state.Liveness == messenger.LivenessAlive || state.Liveness == messenger.LivenessSuspect
		owning := state.Phase == messenger.PhaseReady || state.Phase == messenger.PhaseLeaving
		if !done && ((live && owning) || (r.joining.expectedPeers[name] && state.Liveness != messenger.LivenessDead && !r.hasLeft(state) && !isJoining(state))) {
			return false
		}
	}
	return true
}

// recordsMissing reports whether a host of the cell may have run requests and has
// not handed over its records.
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
	r.joining.mayActFrom = r.now.Add(r.detector.LeaseDuration())
	r.detector.SetPhase(messenger.PhaseReady)
	r.log("hostReady")
}

// Ready reports whether the host has joined and may act as an owner.
func (r *Reducer) Ready() bool {
	return r.settings != nil && r.joining.mayAct(r.now) && !r.shuttingDown
}

// Accepting reports whether the fabric should send packets to this host. A joining
// host accepts packets already: it forwards them, and serves idempotent requests
// itself. An isolated host withdraws, since other hosts can serve more.
func (r *Reducer) Accepting() bool {
	return r.settings != nil && !r.shuttingDown && !r.isIsolated() && r.hasDiscoveredPeers()
}

// peerDiscoveryTimeout is how long a starting host waits to receive heartbeats from
// all others: two rounds of heartbeats, and the delay after which the others
// reconnect to it. Hosts that are down are never discovered.
const peerDiscoveryTimeout = time.Second

// hasDiscoveredPeers reports whether this host knows the state of every other host,
// or has waited for them for peerDiscoveryTimeout.
//
// Without this, a host that has received no heartbeat yet acts as if it were the
// only one. Responses that the fabric delivers to it go straight to their callers,
// while the owners of their flows, which sent the requests, wait for them until the
// deadline, with a slot at the target taken. This shows as uploads that are
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
