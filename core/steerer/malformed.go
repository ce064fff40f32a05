package steerer

import "cranberryspan.dev/core/sequencer"

// maxLoggedMalformed limits how many logged entries are remembered, because other programs
// may write any number of them.
const maxLoggedMalformed = 1000

// recordMalformed records listed entries that cannot be parsed as a target.
//
// Such an entry belongs to another program, or was written over a target's own entry. A
// target that loses its entry this way gets no new flows from then on, because no valid entry
// says any more that it should get them and which service it belongs to. Its open flows stay.
// Their packets name it by tag and number, which no other target has, so they reach either
// this target or none. A reset would break flows whose target is most likely alive: it writes
// its entry again with its next heartbeat.
//
// An entry is logged once, until it changes, because it may stay in the list for days.
func (s *Steerer) recordMalformed(entries []MalformedTarget, seen sequencer.Position) {
	for _, entry := range entries {
		t, known := s.targets.byID[entry.ID]
		if !s.loggedMalformed[entry.Digest] {
			s.counters.add(TargetMalformed)
			s.log("targetMalformed", field("target", entry.ID), field("error", entry.Err.Error()),
				field("known", formatBool(known)), field("revision", seen.String()))
		}
		if len(s.loggedMalformed) < maxLoggedMalformed {
			s.loggedMalformed[entry.Digest] = true
		}
		if known && !t.malformed && t.seenPosition.Before(seen) {
			t.malformed = true
			s.markMissing(t, seen, fromPlatform)
		}
	}
}

// retainMalformed returns the logged entries that are still in a full list.
func (s *Steerer) retainMalformed(entries []MalformedTarget) map[uint64]bool {
	retained := map[uint64]bool{}
	for _, entry := range entries {
		if s.loggedMalformed[entry.Digest] {
			retained[entry.Digest] = true
		}
	}
	return retained
}
