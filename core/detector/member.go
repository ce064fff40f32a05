package detector

import (
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/resolver"
	"cranberryspan.dev/core/timekeeper"
)

// member is this host's state of one other host.
type member struct {
	host        resolver.Host
	inCell      bool
	incarnation uint64
	refutations uint64
	liveness    messenger.Liveness
	phase       messenger.Phase
	revision    uint64
	// lastHeardAt is when the host last answered a ping or, for a host outside the
	// cell, last sent a heartbeat or had its state updated by gossip. It is also set
	// when the host is first listed, when a new incarnation of it is recorded, and when
	// the local host resumes from a pause, so that timeouts start from then.
	lastHeardAt timekeeper.Instant
	// suspectDeadline is when a suspect host outside the cell is declared dead.
	suspectDeadline timekeeper.Instant
	// leaseDeadline is when the host's vote for the local host expires.
	leaseDeadline timekeeper.Instant
	// leaseVotes lists the names whose votes came with the lease.
	leaseVotes []string
	// ackedViewVersion is the version of the local cell view that the host has
	// acknowledged.
	ackedViewVersion uint64
	// heldVotes lists every name whose vote the host held at its last Ack;
	// provisionalVotes lists those among them that do not yet count for declaring a
	// host dead.
	heldVotes        []string
	provisionalVotes []string
	// grantDeadline is when the local host's vote for the host expires.
	grantDeadline timekeeper.Instant
	// stateLostAt is when the host is last known to have lost its in-memory state:
	// when it was declared dead, or restarted without a graceful shutdown. Zero
	// means never.
	stateLostAt timekeeper.Instant
	// heldQuorum is set if the host has held a quorum in this incarnation.
	heldQuorum bool
	// declaredDeadBy names the cell members that declared this incarnation dead.
	declaredDeadBy map[string]bool
	// left is set if the host shut down gracefully and has not become ready again
	// since.
	left bool
	// leftAt is when the local host learned of the shutdown.
	leftAt timekeeper.Instant
	// pingDeadline is when a ping to a host outside the cell counts as unanswered.
	pingDeadline timekeeper.Instant
}

// startIncarnation records a new incarnation of the host and discards the votes,
// leases and declarations of death of the earlier one.
func (m *member) startIncarnation(incarnation uint64, now timekeeper.Instant) {
	if m.incarnation != 0 && !m.left {
		m.stateLostAt = now
	}
	m.incarnation = incarnation
	m.refutations = 0
	m.declaredDeadBy = map[string]bool{}
	m.leaseDeadline = 0
	m.leaseVotes = nil
	m.heldVotes = nil
	m.ackedViewVersion = 0
	m.grantDeadline = 0
	m.heldQuorum = false
	m.pingDeadline = 0
}

// isNewer reports whether a member state is later than the recorded one. A
// refutation restores a host to alive without a new incarnation.
func (m *member) isNewer(state messenger.MemberState) bool {
	return state.Incarnation > m.incarnation || (state.Incarnation == m.incarnation && state.Refutations > m.refutations)
}

// setPhase records the phase of the host's current incarnation.
func (m *member) setPhase(phase messenger.Phase, now timekeeper.Instant) {
	m.phase = phase
	switch phase {
	case messenger.PhaseLeft:
		if !m.left {
			m.leftAt = now
		}
		m.left = true
	case messenger.PhaseReady, messenger.PhaseLeaving:
		m.left = false
	case messenger.PhaseJoining, messenger.PhaseWaited:
	}
}

func (m *member) state() messenger.MemberState {
	return messenger.MemberState{Host: m.host.Name, Incarnation: m.incarnation, Refutations: m.refutations, Liveness: m.liveness, Phase: m.phase}
}

// canVote reports whether the Acks of a host in this phase count as votes.
func canVote(phase messenger.Phase) bool {
	return phase == messenger.PhaseReady || phase == messenger.PhaseLeaving
}
