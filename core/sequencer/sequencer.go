// Package sequencer orders points in the platform's history.
//
// The platform's store counts its changes with revisions, and hosts compare revisions to decide
// which of two states is newer. When the store is restored from a backup, its revisions go back
// and are assigned again to other changes. A revision alone then no longer identifies the
// history that it belongs to: a state from before the restore looks newer than that of the
// store, or, once the store has passed the same revision again, as if it lacked only the
// changes after it.
//
// Each restore therefore begins an era, and a point in the history is an era with a revision
// (Position). Positions are ordered by era first. Between two positions of different eras the
// changes are unknown, so a host that moves from one era to another reads the full state again
// (ContinuesFrom).
//
// Rejected alternative: detecting a restore by revisions that go back. A host that was isolated
// during the restore does not see them go back.
//
// The package does no I/O and reads no clock.
package sequencer

import (
	"cmp"
	"strconv"
	"time"
)

// RewriteGracePeriod is how long a host waits for the platform to regain what it lost in a
// restore or while it was unavailable: writers write it again within about two seconds, and the
// rest is for reading it.
const RewriteGracePeriod = 2500 * time.Millisecond

// Position is a point in the platform's history. It is immutable and can be compared with ==.
// The zero value is before any history.
type Position struct {
	// Era counts the restores of the store; 0 if the platform reports no era.
	Era uint64
	// Revision counts the changes within the history that the era belongs to; 0 if it is
	// unknown.
	Revision uint64
}

// At returns the position with the given era and revision.
func At(era, revision uint64) Position { return Position{Era: era, Revision: revision} }

// Known reports whether the position has a revision.
func (p Position) Known() bool { return p.Revision != 0 }

// Compare returns -1 if p is before other, 1 if it is after, and 0 if they are equal.
func (p Position) Compare(other Position) int {
	if c := cmp.Compare(p.Era, other.Era); c != 0 {
		return c
	}
	return cmp.Compare(p.Revision, other.Revision)
}

// Before reports whether p is before other.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }

// ContinuesFrom reports whether p can be reached from other by applying changes alone: both are
// of the same era, and other has a revision.
func (p Position) ContinuesFrom(other Position) bool {
	return other.Known() && p.Era == other.Era
}

// Later returns the later of two positions.
func (p Position) Later(other Position) Position {
	if p.Before(other) {
		return other
	}
	return p
}

// WithRevision returns the position after a change of the same era, or p if it already includes
// the change.
func (p Position) WithRevision(revision uint64) Position {
	p.Revision = max(p.Revision, revision)
	return p
}

// String returns the revision, preceded by the era if there is one.
func (p Position) String() string {
	revision := strconv.FormatUint(p.Revision, 10)
	if p.Era == 0 {
		return revision
	}
	return strconv.FormatUint(p.Era, 10) + "/" + revision
}
