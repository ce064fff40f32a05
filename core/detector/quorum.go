package detector

import (
	"slices"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/timekeeper"
)

// cellMembership is the members of a cell under one settings revision, sorted.
type cellMembership struct {
	names    []string
	revision uint64
}

// priorMembership is an earlier roster whose quorum still counts.
//
// What goes wrong without it: cell {x, y, z} becomes {x, y}. x has the new
// revision, y and z have not. x alone is half of the new cell and its
// tiebreaker, so a quorum; {y, z} is a quorum of the old one; both act. One
// notices by a request that runs twice right after a change of hosts. So x
// needs a quorum of both rosters until a quorum of the old one has the new
// revision, or, where the old hosts are gone for good, until deadline. The
// second way rests on the operator having stopped the hosts that were removed.
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
	for _, f := range d.priorMemberships {
		if slices.Contains(f.names, name) {
			return true
		}
	}
	return false
}

func (d *Detector) expirePriorMemberships(now timekeeper.Instant) {
	d.priorMemberships = slices.DeleteFunc(d.priorMemberships, func(f priorMembership) bool {
		if f.deadline.Passed(now) {
			return true
		}
		return d.isQuorum(f.cellMembership, d.countsForSelf, func(m *member) []string {
			if m.revision < f.requiredRevision {
				return nil
			}
			return m.leasedVotes(now)
		})
	})
}

// isQuorum reports whether the votes in this host's hands that count as own, with
// those that the other hosts of a roster cast for a matter, are a quorum: more than half, or
// half with the vote of the first name of the roster.
//
// What is counted is names, not hosts: a host that leaves by plan gives its vote
// to one that stays (see heldVote). Each name's vote is in one hand at any time, so
// any two quorums have a name in common, and with it the hand that holds it.
func (d *Detector) isQuorum(r cellMembership, countsAsOwn func(v heldVote) bool, votesOf func(m *member) []string) bool {
	cast := map[string]bool{}
	for name, v := range d.heldVotes {
		if countsAsOwn(v) {
			cast[name] = true
		}
	}
	for _, name := range r.names {
		if m, ok := d.members[name]; ok {
			for _, vote := range votesOf(m) {
				cast[vote] = true
			}
		}
	}
	count := 0
	for _, name := range r.names {
		if cast[name] {
			count++
		}
	}
	size := len(r.names)
	return count*2 > size || (count*2 == size && size > 0 && cast[r.names[0]])
}

// leasedVotes returns the votes that a host casts for this one at present.
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
	for _, f := range d.priorMemberships {
		if !d.isQuorum(f.cellMembership, d.countsForSelf, leased) {
			return false
		}
	}
	return true
}

// ConfirmedDead reports whether hosts with a quorum of the votes, this host among them,
// have given the present incarnation of a host up, so that it holds no lease.
func (d *Detector) ConfirmedDead(name string) bool {
	denied, ok := d.members[name]
	if !ok || denied.liveness != messenger.LivenessDead || !canVote(d.phase) {
		return false
	}
	settled := func(v heldVote) bool { return v.countsAgainstFrom.Passed(d.now) }
	return d.isQuorum(d.membership, settled, func(m *member) []string {
		if !denied.declaredDeadBy[m.host.Name] {
			return nil
		}
		return slices.DeleteFunc(slices.Clone(m.leaseVotes), func(name string) bool {
			return slices.Contains(m.unsettledVotes, name)
		})
	})
}

// voteAccountedFor reports whether a cell member answers, or somebody who answers holds
// its vote.
func (d *Detector) voteAccountedFor(name string, now timekeeper.Instant) bool {
	if m, ok := d.members[name]; ok && d.isResponsive(m, now) {
		return true
	}
	return d.isVoteHeldInCell(name, now)
}

func (d *Detector) isResponsive(m *member, now timekeeper.Instant) bool {
	return m.liveness == messenger.LivenessAlive && !m.lastHeardAt.Add(d.timing.Lease).Passed(now)
}

// isVoteHeldInCell reports whether a cell peer that answers holds the vote of a name.
func (d *Detector) isVoteHeldInCell(vote string, now timekeeper.Instant) bool {
	for _, name := range d.membership.names {
		m, ok := d.members[name]
		if ok && name != vote && d.isResponsive(m, now) && slices.Contains(m.heldVotes, vote) {
			return true
		}
	}
	return false
}

// CanBootstrapCell reports whether every host of the cell answers, or left, and
// none is on its way in: all have waited since their start, or are ready. Such
// a cell can start from nothing, as after a failure of the whole zone.
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

// Cell returns the names of the own cell's hosts, sorted, this host included.
func (d *Detector) Cell() []string { return d.membership.names }

// InCell reports whether a host is of the own cell.
func (d *Detector) InCell(name string) bool { return slices.Contains(d.membership.names, name) }

// State is what the detector believes of a host.
type State struct {
	Host        string
	Liveness    messenger.Liveness
	Phase       messenger.Phase
	Incarnation uint64
	Revision    uint64
	// HeldQuorum says that the host has held a quorum under this incarnation.
	HeldQuorum bool
	// StateLostAt is when the host last lost its memory, as far as is known: when it
	// was given up, or came back without having left. Zero is never.
	StateLostAt timekeeper.Instant
	// LeftAt is when this host heard that the host had left.
	LeftAt timekeeper.Instant
}

// State returns what is believed of a host, this one included.
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

// Others returns the names of all other hosts, sorted.
func (d *Detector) Others() []string { return d.names }

// HighestRevision returns the highest settings revision that any host named,
// and one live host that has it.
func (d *Detector) HighestRevision() (uint64, string) {
	best, host := d.revision, ""
	for _, name := range d.names {
		m := d.members[name]
		if m.revision > best && m.liveness == messenger.LivenessAlive {
			best, host = m.revision, name
		}
	}
	return best, host
}
