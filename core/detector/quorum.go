package detector

import (
	"slices"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/timekeeper"
)

// roster is the members of a cell under one settings revision, sorted.
type roster struct {
	names    []string
	revision uint64
}

// fencedRoster is an earlier roster whose quorum still counts.
//
// What goes wrong without it: cell {x, y, z} becomes {x, y}. x has the new
// revision, y and z have not. x alone is half of the new cell and its
// tiebreaker, so a quorum; {y, z} is a quorum of the old one; both act. One
// notices by a request that runs twice right after a change of hosts. So x
// needs a quorum of both rosters until a quorum of the old one has the new
// revision, or, where the old hosts are gone for good, until deadline. The
// second way rests on the operator having stopped the hosts that were removed.
type fencedRoster struct {
	roster
	needed   uint64
	deadline timekeeper.Instant
}

func (d *Detector) changeRoster(names []string, revision uint64, now timekeeper.Instant) {
	slices.Sort(names)
	if slices.Equal(names, d.cell.names) {
		d.cell.revision = revision
		return
	}
	if len(d.cell.names) > 0 {
		d.fenced = append(d.fenced, fencedRoster{roster: d.cell, needed: revision, deadline: now.Add(d.timing.Fence)})
	}
	d.cell = roster{names: names, revision: revision}
}

func (d *Detector) fencing(name string) bool {
	for _, f := range d.fenced {
		if slices.Contains(f.names, name) {
			return true
		}
	}
	return false
}

func (d *Detector) expireFences(now timekeeper.Instant) {
	d.fenced = slices.DeleteFunc(d.fenced, func(f fencedRoster) bool {
		if f.deadline.Passed(now) {
			return true
		}
		return d.quorum(f.roster, func(name string) bool {
			m, ok := d.members[name]
			return ok && m.revision >= f.needed && !m.leaseDeadline.Passed(now)
		})
	})
}

// quorum reports whether the hosts of a roster that satisfy counts, with this
// host, are a quorum: more than half, or half with the first name of the
// roster. Hosts that left for good and were not admitted since are no part of
// the roster; the tiebreaker then does not count, since a host that has not
// heard of the leave counts another roster.
func (d *Detector) quorum(r roster, counts func(name string) bool) bool {
	size, votes, left, tiebreaker := 0, 0, 0, false
	for i, name := range r.names {
		if m, ok := d.members[name]; ok && m.left {
			left++
			continue
		}
		size++
		if name == d.self || counts(name) {
			votes++
			tiebreaker = tiebreaker || i == 0
		}
	}
	return votes*2 > size || (votes*2 == size && left == 0 && tiebreaker)
}

// HasQuorum reports whether this host holds the votes of a quorum of its cell.
func (d *Detector) HasQuorum(now timekeeper.Instant) bool {
	if !votes(d.phase) || len(d.cell.names) == 0 {
		return false
	}
	leased := func(name string) bool {
		m, ok := d.members[name]
		return ok && !m.leaseDeadline.Passed(now)
	}
	if !d.quorum(d.cell, leased) {
		return false
	}
	for _, f := range d.fenced {
		if !d.quorum(f.roster, leased) {
			return false
		}
	}
	return true
}

// Denied reports whether a quorum of the cell, this host among it, has given
// the present incarnation of a host up, so that it can't hold a lease.
func (d *Detector) Denied(name string) bool {
	m, ok := d.members[name]
	if !ok || m.liveness != messenger.LivenessDead {
		return false
	}
	return d.quorum(d.cell, func(other string) bool { return m.deniedBy[other] })
}

// WholeCellWaits reports whether every host of the cell answers and none holds
// a quorum: all have waited since their start, or are ready but powerless. Such
// a cell starts from nothing, as after a failure of the whole zone.
func (d *Detector) WholeCellWaits(now timekeeper.Instant) bool {
	for _, name := range d.cell.names {
		if name == d.self {
			continue
		}
		m, ok := d.members[name]
		if !ok || m.liveness != messenger.LivenessAlive || m.silentSince.Add(d.timing.Lease).Passed(now) {
			return false
		}
		if m.phase != messenger.PhaseWaited && m.phase != messenger.PhaseReady {
			return false
		}
	}
	return true
}

// Cell returns the names of the own cell's hosts, sorted, this host included.
func (d *Detector) Cell() []string { return d.cell.names }

// InCell reports whether a host is of the own cell.
func (d *Detector) InCell(name string) bool { return slices.Contains(d.cell.names, name) }

// State is what the detector believes of a host.
type State struct {
	Host        string
	Liveness    messenger.Liveness
	Phase       messenger.Phase
	Incarnation uint64
	Revision    uint64
	// Covered is the host's last word on whether this host holds its recent
	// request identities.
	Covered bool
	// Acted says that the host has held a quorum under this incarnation.
	Acted bool
	// DeadAt is when the host was given up.
	DeadAt timekeeper.Instant
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
	return State{Host: name, Liveness: m.liveness, Phase: m.phase, Incarnation: m.incarnation, Revision: m.revision, Covered: m.covered, Acted: m.acted, DeadAt: m.deadAt}
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
