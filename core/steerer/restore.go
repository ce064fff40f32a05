package steerer

import (
	"cranberryspan.dev/core/sequencer"
	"cranberryspan.dev/core/timekeeper"
)

// The platform's store may be restored from a copy that is some seconds old; see package
// sequencer. What this host knew goes on serving until it has a whole list of the new
// era, from the platform or from another host, while its age grows.

// recordEra takes in that the platform has reached an era, as a read or another host says. The
// first that this host hears of says nothing of a restore.
func (s *Steerer) recordEra(era uint64, by string) {
	previous := s.reading.era
	if era <= previous {
		return
	}
	s.reading.era = era
	knowsNothing := !s.targetsPosition.Known() && s.settings == nil
	if previous == 0 || knowsNothing {
		return
	}
	s.counts.add(StoreRestored)
	s.log("storeRestored", field("fromEra", formatUint(previous)), field("toEra", formatUint(era)), field("by", by),
		field("version", formatUint(s.version())), field("revision", s.targetsPosition.String()), field("targetsAgeMillis", s.targetsAge()))
}

// inEndedEra reports whether the targets known here are of an era that has ended.
func (s *Steerer) inEndedEra() bool {
	return s.targetsPosition.Known() && s.targetsPosition.Era < s.reading.era
}

// rereadAfterRestore has a host that learned of a restore by a read of its own read the other
// source anew, too. The other hosts hear of it from this one.
func (s *Steerer) rereadAfterRestore() {
	if s.inEndedEra() {
		s.reading.targets.urgent = true
	}
	if orders := s.evacuator.Orders().Position; orders.Known() && orders.Era < s.reading.era {
		s.reading.settings.urgent = true
	}
}

// inLaterEra reports whether what was seen at a position is of a later era than this host's list.
func (s *Steerer) inLaterEra(seen sequencer.Position) bool {
	return s.targetsPosition.Known() && s.targetsPosition.Era < seen.Era
}

// recordCompleteList takes in that this host's targets are complete as of a later position than
// before, and how many of them were missing.
func (s *Steerer) recordCompleteList(earlier sequencer.Position, missing int, from string) {
	switch {
	case !earlier.Known():
		s.targets.history.resetTo(s.targetsPosition)
		s.logInitialTargets(from)
	case earlier.Era < s.targetsPosition.Era:
		s.recordNewEraList(earlier, missing, from)
	}
}

// recordNewEraList dates all that is known of targets to the list of a new era. Word of hosts
// that have only seen an earlier one says nothing against it. What an earlier restore has
// undone may be written again for as long after this one.
func (s *Steerer) recordNewEraList(earlier sequencer.Position, missing int, from string) {
	avoided := 0
	s.targets.history.resetTo(s.targetsPosition)
	for _, t := range s.targets.byID {
		if t.seenPosition.Era < s.targetsPosition.Era {
			t.seenPosition = s.targetsPosition
		}
		if !t.restored.deadline.Passed(s.now) {
			t.restored.deadline = s.now.Add(sequencer.RewriteGracePeriod)
		}
		if s.avoidedAfterRestore(t) {
			avoided++
		}
	}
	s.peers.reportNow = true
	s.log("targetsReread", field("targets", formatInt(len(s.targets.byID))), field("missing", formatInt(missing)), field("doubted", formatInt(avoided)),
		field("earlierRevision", earlier.String()), field("revision", s.targetsPosition.String()), field("from", from))
}

// restoreConflict is what a restored store contradicts of what was known of a target.
type restoreConflict struct {
	// wasDraining says that the target was draining, and the restored store lists it as ready.
	wasDraining bool
	// wasMissing says that it was no longer listed, and the restored store lists it as ready.
	wasMissing bool
	// absentFromBackup says that it was listed, without draining, and the restored store lacks it.
	absentFromBackup bool
	// deadline is until when the other fields count.
	deadline timekeeper.Instant
}

func (r restoreConflict) String() string {
	if r.wasDraining {
		return "draining"
	}
	return "no longer listed"
}

// restoreConflictOf returns what a restored store, whose record was seen at a position, has
// forgotten of a target; known is nil for a target that is new to this host.
//
// What goes wrong without it: a target drains, or has left, and the copy is from before
// that. New flows go to it until it has said so again, at once on every host, and end with
// it; its address may have been given to another target, which does not answer them. One
// notices by flows that do not open, or are cut, in the seconds after "storeRestored".
func (s *Steerer) restoreConflictOf(known *target, record Target, seen sequencer.Position) restoreConflict {
	if !s.inLaterEra(seen) || known == nil || known.Incarnation != record.Incarnation || record.Draining {
		return restoreConflict{}
	}
	if !known.Draining && !known.missing {
		return restoreConflict{}
	}
	return restoreConflict{wasDraining: known.Draining, wasMissing: known.missing, deadline: s.now.Add(sequencer.RewriteGracePeriod)}
}

// wasDrainingBeforeRestore reports whether a target gets no new flows because it was draining,
// or had drained and left, before the platform was restored.
func (s *Steerer) wasDrainingBeforeRestore(t *target) bool {
	return t.restored.wasDraining && !t.restored.deadline.Passed(s.now)
}

// missingFromBackup reports whether a target is missing only since the platform was restored from
// a copy that lacks it: it writes its entry again within about two seconds.
//
// What goes wrong if it gets no flows until then: all targets of a service were replaced after
// the copy was made. The old ones have drained, the new ones are idle, so that nothing shows
// that they live, and every caller is refused.
func (s *Steerer) missingFromBackup(t *target) bool {
	return t.restored.absentFromBackup && !t.restored.deadline.Passed(s.now)
}

// missingAcrossRestore reports whether a target gets new flows only where no other may serve
// them, because it had vanished without draining before the platform was restored, or has
// been missing from then on, and has not shown of late that it lives.
//
// What goes wrong if it gets none at all: entries lapse while the platform is in trouble, and
// then it is restored. All targets of a service are refused, though each of them works. One
// notices by refusals in the seconds after "targetsReread".
func (s *Steerer) missingAcrossRestore(t *target) bool {
	r := &t.restored
	return (r.wasMissing || r.absentFromBackup) && !r.wasDraining && !r.deadline.Passed(s.now) && !s.hasRecentProgress(t)
}

// avoidedAfterRestore reports whether a target is avoided for what was known of it before the
// platform was restored.
func (s *Steerer) avoidedAfterRestore(t *target) bool {
	return s.wasDrainingBeforeRestore(t) || s.missingAcrossRestore(t)
}
