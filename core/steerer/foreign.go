package steerer

import "cranberryspan.dev/core/sequencer"

// takeMalformed takes in the listed entries that name no target.
//
// Such an entry is another program's, or was written over a target's own. A target
// whose entry is lost so gets no new flows at once: nothing says any more that it is
// to have them, and to which service it belongs. Its open flows stay. Their packets
// name it by tag and number, which nothing else has, so they reach it or nobody, and a
// reset would break flows whose target most likely lives: it writes its entry again
// with its next heartbeat.
//
// An entry is logged once, until it changes: it may lie there for days, and the list
// is read every second.
func (s *Steerer) takeMalformed(entries []MalformedTarget, seen sequencer.Position) {
	logged := s.malformed
	s.malformed = make(map[uint64]bool, len(entries))
	for _, entry := range entries {
		s.malformed[entry.Digest] = true
		t, known := s.targets.byID[entry.ID]
		if !logged[entry.Digest] {
			s.counts.add(TargetMalformed)
			s.log("targetMalformed", field("target", entry.ID), field("error", entry.Err.Error()),
				field("known", btoa(known)), field("revision", seen.String()))
		}
		if known && !t.unreadable && t.seen.Before(seen) {
			t.unreadable = true
			s.takeMissing(t, seen, "platform")
		}
	}
}
