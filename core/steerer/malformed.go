package steerer

import "cranberryspan.dev/core/sequencer"

// maxLoggedMalformed bounds the entries of which is kept that they were logged: other programs may
// write any number.
const maxLoggedMalformed = 1000

// recordMalformed takes in listed entries that name no target.
//
// Such an entry is another program's, or was written over a target's own. A target
// whose entry is lost so gets no new flows at once: nothing says any more that it is
// to have them, and to which service it belongs. Its open flows stay. Their packets
// name it by tag and number, which nothing else has, so they reach it or nobody, and a
// reset would break flows whose target most likely lives: it writes its entry again
// with its next heartbeat.
//
// An entry is logged once, until it changes: it may lie there for days.
func (s *Steerer) recordMalformed(entries []MalformedTarget, seen sequencer.Position) {
	for _, entry := range entries {
		t, known := s.targets.byID[entry.ID]
		if !s.loggedMalformed[entry.Digest] {
			s.counts.add(TargetMalformed)
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

// retainMalformed returns those of the entries that were logged that a whole list still has.
func (s *Steerer) retainMalformed(entries []MalformedTarget) map[uint64]bool {
	still := map[uint64]bool{}
	for _, entry := range entries {
		if s.loggedMalformed[entry.Digest] {
			still[entry.Digest] = true
		}
	}
	return still
}
