package detector

import (
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/resolver"
	"cranberryspan.dev/core/timekeeper"
)

// member is what this host knows of one other host.
type member struct {
	host        resolver.Host
	inCell      bool
	incarnation uint64
	refutations uint64
	liveness    messenger.Liveness
	phase       messenger.Phase
	revision    uint64
	// lastHeardAt is when the host last answered a ping of ours.
	lastHeardAt timekeeper.Instant
	// suspectDeadline is when a suspect outside the cell is given up.
	suspectDeadline timekeeper.Instant
	// leaseDeadline is when the host's vote for us ends.
	leaseDeadline timekeeper.Instant
	// leaseVotes names the votes that came with the lease.
	leaseVotes []string
	// ackedViewVersion is the version of this host's view of the cell that the host has
	// acknowledged.
	ackedViewVersion uint64
	// heldVotes names every vote that the host held at its last word; unsettled
	// those of them that can't give anybody up yet.
	heldVotes      []string
	unsettledVotes []string
	// grantDeadline is when our vote for the host ends.
	grantDeadline timekeeper.Instant
	// stateLostAt is when the host last lost its memory, as far as is known: when it
	// was given up, or came back without having left. Zero is never.
	stateLostAt timekeeper.Instant
	// heldQuorum says that the host has held a quorum under this incarnation.
	heldQuorum bool
	// declaredDeadBy names the cell members that gave up this incarnation.
	declaredDeadBy map[string]bool
	// left says that the host left by plan and has not come back.
	left bool
	// leftAt is when this host heard of that.
	leftAt timekeeper.Instant
	// pingDeadline is when a ping outside the cell counts as unanswered.
	pingDeadline timekeeper.Instant
}

// startIncarnation starts a new incarnation of the host: nothing that was said about an
// earlier one counts any more.
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

// isNewer reports whether a rumor is about a later state of the host than what is
// known; a refutation revives a host without a new incarnation.
func (m *member) isNewer(r messenger.MemberState) bool {
	return r.Incarnation > m.incarnation || (r.Incarnation == m.incarnation && r.Refutations > m.refutations)
}

// setPhase moves the host to a phase of its present incarnation.
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

func (m *member) rumor() messenger.MemberState {
	return messenger.MemberState{Host: m.host.Name, Incarnation: m.incarnation, Refutations: m.refutations, Liveness: m.liveness, Phase: m.phase}
}

// canVote reports whether the host's Acks count as votes.
func canVote(phase messenger.Phase) bool {
	return phase == messenger.PhaseReady || phase == messenger.PhaseLeaving
}
