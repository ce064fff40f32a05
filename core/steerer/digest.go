package steerer

import (
	"strconv"

	"cranberryspan.dev/core/sequencer"
	"github.com/cespare/xxhash/v2"
)

// recordState records that the state of a target has changed, as first read at a position.
func (t *targetTable) recordState(tgt *target, seen sequencer.Position) {
	next := tgt.stateDigest()
	t.history.add(historyEntry{target: tgt, seen: seen, digestChange: next - tgt.digest})
	t.digestSum += next - tgt.digest
	tgt.digest = next
	tgt.seenPosition = seen
	t.markForRecount(tgt)
}

// digest is equal for tables that list the same targets in the same states, regardless of the
// order in which they were added. It is the sum of the targets' own digests.
func (t *targetTable) digest() uint64 { return t.digestSum }

// digestAt is the digest of the table without states that were first read after a position.
// It also reports whether the history goes back that far.
//
// If hosts compared their current digests, then while targets change continuously each host
// would have some changes that others do not. No two would agree, and none would learn that
// it has everything up to the last read of the platform, which shows as hosts that all read
// the platform themselves during a release.
func (t *targetTable) digestAt(position sequencer.Position) (uint64, bool) {
	switch {
	case !t.history.covers(position):
		return 0, false
	case !position.Before(t.history.latest):
		return t.digestSum, true
	}
	sum := t.digestSum
	for _, entry := range t.history.entries {
		if position.Before(entry.seen) {
			sum -= entry.digestChange
		}
	}
	t.entriesVisited += uint64(len(t.history.entries))
	return sum, true
}

// stateDigest is the digest of the state of a target that hosts exchange; 0 for a missing
// target.
func (t *target) stateDigest() uint64 {
	if t.missing {
		return 0
	}
	state := make([]byte, 0, 128)
	state = append(state, t.ID...)
	state = append(state, 0)
	state = append(state, t.Service...)
	state = append(state, 0)
	state = append(state, t.Address.String()...)
	if t.Draining {
		state = append(state, "\x00draining"...)
	}
	if t.Incarnation != 0 {
		state = append(state, 0)
		state = strconv.AppendInt(state, t.Incarnation, 10)
	}
	return xxhash.Sum64(state)
}
