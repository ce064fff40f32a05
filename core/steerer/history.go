package steerer

import (
	"slices"

	"cranberryspan.dev/core/sequencer"
)

// maxHistory bounds the changes of targets that are kept. During a release of a large fleet
// that is some ten seconds of them, far more than hosts are behind.
const maxHistory = 4096

// sighting is a state of a target that this host has taken in, and the position at which it
// was first read.
type sighting struct {
	target *target
	seen   sequencer.Position
	// digestChange is by how much the state has changed the digest of the table.
	digestChange uint64
}

// history lists the states that were taken in last, in that order.
type history struct {
	sightings []sighting
	// begin is a position such that all that was seen after it is listed: targets that went
	// before it may not be known here.
	begin sequencer.Position
	// latest is the latest position at which any state was seen.
	latest sequencer.Position
}

// reaches reports whether all that was seen after a position is listed.
//
// What goes wrong if a host tells what has changed since before its own start: it has never
// heard of the targets that went before that, so the other keeps them for good. One notices
// by flows that go to a target that left long ago, through one host only.
func (h *history) reaches(position sequencer.Position) bool { return !position.Before(h.begin) }

// add lists a state. The older half goes when there are too many.
func (h *history) add(one sighting) {
	if len(h.sightings) == maxHistory {
		dropped := h.sightings[:maxHistory/2]
		for _, old := range dropped {
			h.begin = h.begin.Later(old.seen)
		}
		h.sightings = h.sightings[:copy(h.sightings, h.sightings[maxHistory/2:])]
	}
	h.sightings = append(h.sightings, one)
	h.latest = h.latest.Later(one.seen)
}

// restart has the list begin at a position: that of the first list, or of a new era.
func (h *history) restart(position sequencer.Position) {
	h.sightings = slices.DeleteFunc(h.sightings, func(one sighting) bool { return !position.Before(one.seen) })
	h.begin = position
}

// seenAfter lists, in a fixed order, the targets whose states were first read after a
// position that the history reaches.
func (t *table) seenAfter(position sequencer.Position) []*target {
	var list []*target
	t.visits += uint64(len(t.history.sightings))
	for _, one := range t.history.sightings {
		if one.seen == one.target.seen && position.Before(one.seen) {
			list = append(list, one.target)
		}
	}
	return list
}
