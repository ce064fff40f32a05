package steerer

import (
	"slices"

	"cranberryspan.dev/core/sequencer"
)

// maxHistoryEntries limits the changes of targets that are kept. During a release of a large
// fleet that covers about ten seconds, far more than hosts lag behind.
const maxHistoryEntries = 4096

// historyEntry is a state of a target that this host has applied, with the position at which
// it was first read.
type historyEntry struct {
	target *target
	seen   sequencer.Position
	// digestChange is by how much the state changed the digest of the table.
	digestChange uint64
}

// history lists the states applied last, in that order.
type history struct {
	entries []historyEntry
	// completeSince is a position after which all changes are listed. Targets that went
	// missing before it may be unknown here.
	completeSince sequencer.Position
	// latest is the latest position at which any state was read.
	latest sequencer.Position
}

// covers reports whether all changes after a position are listed.
//
// A host must not list changes since a position before its own start: it does not know the
// targets that went missing before that, so the requester would keep them for good. This would
// show as flows that go to a target that terminated long ago, through one host only.
func (h *history) covers(position sequencer.Position) bool { return !position.Before(h.completeSince) }

// add appends a state. The older half is dropped when the history is full.
func (h *history) add(entry historyEntry) {
	if len(h.entries) == maxHistoryEntries {
		dropped := h.entries[:maxHistoryEntries/2]
		for _, old := range dropped {
			h.completeSince = h.completeSince.Later(old.seen)
		}
		h.entries = h.entries[:copy(h.entries, h.entries[maxHistoryEntries/2:])]
	}
	h.entries = append(h.entries, entry)
	h.latest = h.latest.Later(entry.seen)
}

// resetTo makes the history start at a position: that of the first list, or of the first list
// of a new era.
func (h *history) resetTo(position sequencer.Position) {
	h.entries = slices.DeleteFunc(h.entries, func(entry historyEntry) bool { return !position.Before(entry.seen) })
	h.completeSince = position
}

// changedSince lists, in a fixed order, the targets whose states were first read after a
// position that the history covers.
func (t *targetTable) changedSince(position sequencer.Position) []*target {
	var list []*target
	t.entriesVisited += uint64(len(t.history.entries))
	for _, entry := range t.history.entries {
		if entry.seen == entry.target.seenPosition && position.Before(entry.seen) {
			list = append(list, entry.target)
		}
	}
	return list
}
