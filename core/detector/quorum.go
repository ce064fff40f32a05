package detector

import (
	"slices"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/timekeeper"
)

// cellMembership is the sorted members of a cell under one settings revision.
type cellMembership struct {
	names    []string
	revision uint64
}

// priorMembership is an earlier membership whose quorum is still required.
//
// Without this, a change of membership allows two disjoint quorums. Cell {x, y, z}
// becomes {x, y}. x has the new revision, y and z do not. x alone is half of the
// new cell and its tiebreaker, hence a quorum; {y, z} is a quorum of the old cell;
// both act as owners, which shows as a request that runs twice right after a change
// of hosts. So x needs a quorum of both memberships until a quorum of the old one has
// the new revision or, if the old hosts never return, until deadline. The deadline is
// safe only if the operator has stopped the removed hosts.
type priorMembership struct {
	cellMembership
	requiredRevision uint64
	deadline         timekeeper.Instant
}

func (d *Detector) changeMembership(names []string, revision uint64, now timekeeper.Instant) {
	slices.Sort(names)
	if slices.Equal(names, d.membership.names) {
		d.membership.revision = revision
		return
	}
	if len(d.membership.names) > 0 {
		d.priorMemberships = append(d.priorMemberships, priorMembership{cellMembership: d.membership, requiredRevision: revision, deadline: now.Add(d.timing.MembershipOverlap)})
	}
	d.membership = cellMembership{names: names, revision: revision}
}

func (d *Detector) inPriorMembership(name string) bool {
	for _, prior := range d.priorMemberships {
		if slices.Contains(prior.names, name) {
			return true
		}
	}
	return false
}

func (d *Detector) expirePriorMemberships(now timekeeper.Instant) {
	d.priorMemberships = slices.DeleteFunc(d.priorMemberships, func(prior priorMembership) bool {
		if prior.deadline.Passed(now) {
			return true
		}
		return d.isQuorum(prior.cellMembership, d.countsForSelf, func(m *member) []string {
			if m.revision < prior.requiredRevision {
				return nil
			}
			return m.leasedVotes(now)
		})
	})
}

// isQuorum reports whether the votes held by this host that satisfy countsHeld,
// together with the votes that votesOf returns for the members of membership, are a
// quorum: more than half of the votes, or half including the vote of the first
// member.
//
// Votes are counted by name, not by host: a host that shuts down gracefully
// transfers its vote to one that stays (see heldVote). Each name's vote is held by
// one host at any time, so any two quorums have a name in common, and with it the
// host that holds its vote.
func (d *Detector) isQuorum(membership cellMembership, countsHeld func(v heldVote) bool, votesOf func(m *member) []string) bool {
	cast := map[string]bool{}
	for name, v := range d.heldVotes {
		if countsHeld(v) {
			cast[name] = true
		}
	}
	for _, name := range membership.names {
		if m, ok := d.members[name]; ok {
			for _, vote := range votesOf(m) {
				cast[vote] = true
			}
		}
	}
	count := 0
	for _, name := range membership.names {
		if cast[name] {
			count++
		}
	}
	size := len(membership.names)
	return count*2 > size || (count*2 == size && size > 0 && cast[membership.names[0]])
}

// leasedVotes returns the votes that a host currently casts for this one.
func (m *member) leasedVotes(now timekeeper.Instant) []string {
	if m.leaseDeadline.Passed(now) {
		return nil
	}
	return m.leaseVotes
}

// HasQuorum reports whether this host holds the votes of a quorum of its cell.
func (d *Detector) HasQuorum(now timekeeper.Instant) bool {
	if !canVote(d.phase) || len(d.membership.names) == 0 {
		return false
	}
	d.now = max(d.now, now)
	leased := func(m *member) []string { return m.leasedVotes(now) }
	if !d.isQuorum(d.membership, d.countsForSelf, leased) {
		return false
	}
	for _, prior := range d.priorMemberships {
		if !d.isQuorum(prior.cellMembership, d.countsForSelf, leased) {
			return false
		}
	}
	return true
}

// ConfirmedDead reports whether hosts with a quorum of the votes, this host among
// them, have declared the current incarnation of a host dead, so that it holds no
// lease.
func (d *Detector) ConfirmedDead(name string) bool {
	subject, ok := d.members[name]
	if !ok || subject.liveness != messenger.LivenessDead || !canVote(d.phase) {
		return false
	}
	final := func(v heldVote) bool { return v.countsAgainstFrom.Passed(d.now) }
	return d.isQuorum(d.membership, final, func(m *member) []string {
		if !subject.declaredDeadBy[m.host.Name] {
			return nil
		}
		return slices.DeleteFunc(slices.Clone(m.leaseVotes), func(name string) bool {
			return slices.Contains(m.provisionalVotes, name)
		})
	})
}

// voteAccountedFor reports whether a cell member is responsive, or its vote is held
// by a responsive host.
func (d *Detector) voteAccountedFor(name string, now timekeeper.Instant) bool {
	if m, ok := d.members[name]; ok && d.isResponsive(m, now) {
		return true
	}
	return d.isVoteHeldInCell(name, now)
}

func (d *Detector) isResponsive(m *member, now timekeeper.Instant) bool {
	return m.liveness == messenger.LivenessAlive && !m.lastHeardAt.Add(d.timing.Lease).Passed(now)
}

// isVoteHeldInCell reports whether a responsive cell peer holds the vote of a name.
func (d *Detector) isVoteHeldInCell(vote string, now timekeeper.Instant) bool {
	for _, name := range d.membership.names {
		m, ok := d.members[name]
		if ok && name != vote && d.isResponsive(m, now) && slices.Contains(m.heldVotes, vote) {
			return true
		}
	}
	return false
}

// CanBootstrapCell reports whether every other host of the cell is responsive or has
// transferred its vote to a responsive host, and none is still joining: each
// responsive one is ready, or has waited out the longest exchange lifetime since its
// start. Such a cell can start without handovers, as after a failure of the whole
// zone.
func (d *Detector) CanBootstrapCell(now timekeeper.Instant) bool {
	for _, name := range d.membership.names {
		if name == d.self {
			continue
		}
		if !d.voteAccountedFor(name, now) {
			return false
		}
		if m := d.members[name]; d.isResponsive(m, now) && m.phase != messenger.PhaseWaited && m.phase != messenger.PhaseReady {
			return false
		}
	}
	return true
}

// Cell returns the sorted names of all hosts of the local cell, including this one.
func (d *Detector) Cell() []string { return d.membership.names }

// InCell reports whether a host is a member of the local cell.
func (d *Detector) InCell(name string) bool { return slices.Contains(d.membership.names, name) }

// State is the detector's current state of a host.
type State struct {
	Host        string
	Liveness    messenger.Liveness
	Phase       messenger.Phase
	Incarnation uint64
	Revision    uint64
	// HeldQuorum is set if the host has held a quorum in this incarnation.
	HeldQuorum bool
	// StateLostAt is when the host is last known to have lost its in-memory state:
	// when it was declared dead, or restarted without a graceful shutdown. Zero
	// means never.
	StateLostAt timekeeper.Instant
	// LeftAt is when the local host learned that the host had left.
	LeftAt timekeeper.Instant
}

// State returns the current state of a host, which may be the local one.
func (d *Detector) State(name string) State {
	if name == d.self {
		return State{Host: name, Liveness: messenger.LivenessAlive, Phase: d.phase, Incarnation: d.incarnation, Revision: d.revision}
	}
	m, ok := d.members[name]
	if !ok {
		return State{Host: name}
	}
	return State{Host: name, Liveness: m.liveness, Phase: m.phase, Incarnation: m.incarnation, Revision: m.revision, HeldQuorum: m.heldQuorum, StateLostAt: m.stateLostAt, LeftAt: m.leftAt}
}

// Others returns the sorted names of all other hosts.
func (d *Detector) Others() []string { return d.names }

// HighestRevision returns the highest settings revision that any live host has
// reported, and one host that has it; the host is empty if that is the local
// revision.
func (d *Detector) HighestRevision() (uint64, string) {
	highest, host := d.revision, ""
	for _, name := range d.names {
		m := d.members[name]
		if m.revision > highest && m.liveness == messenger.LivenessAlive {
			highest, host = m.revision, name
		}
	}
	return highest, host
}
