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
	liveness    messenger.Liveness
	phase       messenger.Phase
	revision    uint64
	// silentSince is when the host last answered a ping of ours.
	silentSince timekeeper.Instant
	// suspectDeadline is when a suspect outside the cell is given up.
	suspectDeadline timekeeper.Instant
	// leaseDeadline is when the host's vote for us ends.
	leaseDeadline timekeeper.Instant
	// grantDeadline is when our vote for the host ends.
	grantDeadline timekeeper.Instant
	// deadAt is when we gave the host up.
	deadAt timekeeper.Instant
	// covered is the host's last word on whether we hold its request identities.
	covered bool
	// acted says that the host has held a quorum under this incarnation.
	acted bool
	// deniedBy names the cell members that gave up this incarnation.
	deniedBy map[string]bool
	// left says that the host left for good and has not been admitted since, so
	// that it is no part of its cell's roster.
	left bool
	// pingDeadline is when a ping outside the cell counts as unanswered.
	pingDeadline timekeeper.Instant
}

// renew starts a new incarnation of the host: nothing that was said about an
// earlier one counts any more.
func (m *member) renew(incarnation uint64) {
	m.incarnation = incarnation
	m.deniedBy = map[string]bool{}
	m.leaseDeadline = 0
	m.grantDeadline = 0
	m.covered = false
	m.acted = false
	m.pingDeadline = 0
}

// enter moves the host to a phase of its present incarnation.
func (m *member) enter(phase messenger.Phase) {
	m.phase = phase
	switch phase {
	case messenger.PhaseLeft:
		m.left = true
	case messenger.PhaseReady, messenger.PhaseLeaving:
		m.left = false
	case messenger.PhaseJoining, messenger.PhaseWaited:
	}
}

func (m *member) rumor() messenger.Rumor {
	return messenger.Rumor{Host: m.host.Name, Incarnation: m.incarnation, Liveness: m.liveness, Phase: m.phase}
}

// votes reports whether the host's Acks count as votes.
func votes(phase messenger.Phase) bool {
	return phase == messenger.PhaseReady || phase == messenger.PhaseLeaving
}
