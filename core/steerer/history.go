package steerer

import (
	"slices"

	"cranberryspan.dev/core/sequencer"
)

// maxHistoryEntries bounds the changes of targets that are kept. During a release of a large fleet
// that is some ten seconds of them, far more than hosts are behind.
const maxHistoryEntries = 4096

// historyEntry is a state of a target that this host has taken in, and the position at which it
// was first read.
type historyEntry struct {
	target   *target
	observed sequencer.Position
	// digestChange is by how much the state has changed the digest of the table.
	digestChange uint64
}

// history lists the states that were taken in last, in that order.
type history struct {
	entries []historyEntry
	// completeSince is a position such that all that was seen after it is listed: targets that went
	// before it may not be known here.
	completeSince sequencer.Position
	// latest is the latest position at which any state was seen.
	latest sequencer.Position
}

// covers reports whether all that was seen after a position is listed.
//
// What goes wrong if a host tells what has changed since before its own start: it has never
// heard of the targets that went before that, so the other keeps them for good. One notices
// by flows that go to a target that left long ago, through one host only.
func (h *history) covers(position sequencer.Position) bool { return !position.Before(h.completeSince) }

// add lists a state. The older half goes when there are too many.
func (h *history) add(entry historyEntry) {
	if len(h.entries) == maxHistoryEntries {
		dropped := h.entries[:maxHistoryEntries/2]
		for _, old := range dropped {
			h.completeSince = h.completeSince.Later(old.observed)
		}
		h.entries = h.entries[:copy(h.entries, h.entries[maxHistoryEntries/2:])]
	}
	h.entries = append(h.entries, entry)
	h.latest = h.latest.Later(entry.observed)
}

// resetTo has the list begin at a position: that of the first list, or of a new era.
func (h *history) resetTo(position sequencer.Position) {
	h.entries = slices.DeleteFunc(h.entries, func(entry historyEntry) bool { return !position.Before(entry.observed) })
	h.completeSince = position
}

// changedSince lists, in a fixed order, the targets whose states were first read after a
// position that the history reaches.
func (t *targetTable) changedSince(position sequencer.Position) []*target {
	var list []*target
	t.entriesVisited += uint64(len(t.history.entries))
	for _, entry := range t.history.entries {
		if entry.observed == entry.target.seenPosition && position.Before(entry.observed) {
			list = append(list, entry.target)
		}
	}
	return list
}
