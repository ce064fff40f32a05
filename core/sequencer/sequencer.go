// Package sequencer orders what is known of the platform's history.
//
// The pattern: a store counts its changes with revisions, and hosts compare revisions
// to tell which of two views is the newer one. Then the store is restored from a backup.
// Its revisions go back and are given out again for other changes. A revision alone
// no longer says which history it belongs to: a view from before the restore looks newer
// than all that the store says, or, once the revision has been passed again, as if only
// the changes after it were missing.
//
// The answer: each restore begins an era, and a point in the history is an era with a
// revision (Position). Eras go first. Two positions of different eras say nothing of
// what lies between them, so whoever crosses an era reads everything anew (Continues).
//
// Weighed and left: to notice restores by revisions that go back. A reader that was cut
// off meanwhile sees none go back.
//
// The package knows no network and no clock.
package sequencer

import (
	"cmp"
	"strconv"
	"time"
)

// RewriteGracePeriod is how long a host waits for what the platform lost, by a restore or while it
// was away: writers write it again within about two seconds, the rest is for a read.
const RewriteGracePeriod = 2500 * time.Millisecond

// Position is a point in the platform's history. It is immutable and may be compared with
// ==. The zero value is before any history.
type Position struct {
	// Era counts the restores of the store; 0 if the platform tells none.
	Era uint64
	// Revision counts the changes within the history that the era belongs to; 0 if none
	// is known.
	Revision uint64
}

// At makes a position.
func At(era, revision uint64) Position { return Position{Era: era, Revision: revision} }

// Known reports whether the position is one in a history.
func (p Position) Known() bool { return p.Revision != 0 }

// Compare returns -1 if p is before other, 1 if it is after, and 0 if they are the same.
func (p Position) Compare(other Position) int {
	if c := cmp.Compare(p.Era, other.Era); c != 0 {
		return c
	}
	return cmp.Compare(p.Revision, other.Revision)
}

// Before reports whether p comes before other.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }

// ContinuesFrom reports whether changes alone lead from one position to the other: both are of
// one era, and the other is known.
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

// WithRevision returns the position after a change of the same era, or p if it includes
// the change already.
func (p Position) WithRevision(revision uint64) Position {
	p.Revision = max(p.Revision, revision)
	return p
}

// String writes the revision, with the era before it if there is one.
func (p Position) String() string {
	revision := strconv.FormatUint(p.Revision, 10)
	if p.Era == 0 {
		return revision
	}
	return strconv.FormatUint(p.Era, 10) + "/" + revision
}
