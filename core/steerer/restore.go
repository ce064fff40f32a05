package steerer

import (
	"cranberryspan.dev/core/sequencer"
	"cranberryspan.dev/core/timekeeper"
)

// The platform's store may be restored from a backup that is some seconds old; see package
// sequencer. A host keeps using the state it has until it has a full list of the new era,
// from the platform or from another host, while the age of its state grows.

// recordEra records that the platform has reached an era, according to a read or another
// host. The first era that this host learns of does not indicate a restore.
func (s *Steerer) recordEra(era uint64, by string) {
	previous := s.platformReads.era
	if era <= previous {
		return
	}
	s.platformReads.era = era
	lacksState := !s.targetsPosition.Known() && s.settings == nil
	if previous == 0 || lacksState {
		return
	}
	s.counters.add(StoreRestored)
	s.log("storeRestored", field("fromEra", formatUint(previous)), field("toEra", formatUint(era)), field("by", by),
		field("version", formatUint(s.version())), field("revision", s.targetsPosition.String()), field("targetsAgeMillis", s.targetsAge()))
}

// inEndedEra reports whether this host's targets belong to an era that has ended.
func (s *Steerer) inEndedEra() bool {
	return s.targetsPosition.Known() && s.targetsPosition.Era < s.platformReads.era
}

// rereadAfterRestore makes a host that found a restore by a read of its own read the other
// source again, too. The other hosts learn of it from this one.
func (s *Steerer) rereadAfterRestore() {
	if s.inEndedEra() {
		s.platformReads.targets.urgent = true
	}
	if orders := s.evacuator.Orders().Position; orders.Known() && orders.Era < s.platformReads.era {
		s.platformReads.settings.urgent = true
	}
}

// inLaterEra reports whether a position belongs to a later era than this host's list.
func (s *Steerer) inLaterEra(seen sequencer.Position) bool {
	return s.targetsPosition.Known() && s.targetsPosition.Era < seen.Era
}

// recordCompleteList records that this host's targets are complete as of a later position
// than before, and how many of them went missing.
func (s *Steerer) recordCompleteList(earlier sequencer.Position, missing int, from string) {
	switch {
	case !earlier.Known():
		s.targets.history.resetTo(s.targetsPosition)
		s.logInitialTargets(from)
	case earlier.Era < s.targetsPosition.Era:
		s.recordNewEraList(earlier, missing, from)
	}
}

// recordNewEraList sets the positions of all targets to that of the first list of a new era,
// so that states from hosts that have only an earlier list cannot override it. Conflicts with
// an earlier restore apply for another RewriteGracePeriod, because this restore may have
// undone what was written again since.
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

// restoreConflict is how a restored store contradicts what was known of a target.
type restoreConflict struct {
	// wasDraining is set if the target was draining, and the restored store lists it as
	// ready.
	wasDraining bool
	// wasMissing is set if the target was no longer listed, and the restored store lists it
	// as ready.
	wasMissing bool
	// absentFromBackup is set if the target was listed, without draining, and the restored
	// store lacks it.
	absentFromBackup bool
	// deadline is until when the other fields apply.
	deadline timekeeper.Instant
}

func (r restoreConflict) String() string {
	if r.wasDraining {
		return "draining"
	}
	return "no longer listed"
}

// restoreConflictOf returns how a restored store, whose record was read at a position,
// contradicts what was known of a target; known is nil for a target that is new to this host.
//
// Without this, if a target began to drain or terminated after the backup was made, every
// host sends it new flows until the lost update is written again, and these are cut when it
// terminates. Its address may have been given to another target, which does not respond to
// them. This shows as flows that do not open, or are cut, in the seconds after
// "storeRestored".
func (s *Steerer) restoreConflictOf(known *target, record Target, seen sequencer.Position) restoreConflict {
	if !s.inLaterEra(seen) || known == nil || known.Incarnation != record.Incarnation || record.Draining {
		return restoreConflict{}
	}
	if !known.Draining && !known.missing {
		return restoreConflict{}
	}
	return restoreConflict{wasDraining: known.Draining, wasMissing: known.missing, deadline: s.now.Add(sequencer.RewriteGracePeriod)}
}

// wasDrainingBeforeRestore reports whether a target gets no new flows because it was
// draining, or had drained and terminated, before the platform was restored.
func (s *Steerer) wasDrainingBeforeRestore(t *target) bool {
	return t.restored.wasDraining && !t.restored.deadline.Passed(s.now)
}

// missingFromBackup reports whether a target is missing only because the platform was
// restored from a backup that lacks it. It writes its entry again within about two seconds.
//
// Without this, it would get no flows until then. If all targets of a service were replaced
// after the backup was made, the old ones would get no flows because they have drained, and
// the new ones none because they are idle, so that no progress shows that they are alive.
// Every caller would be refused.
func (s *Steerer) missingFromBackup(t *target) bool {
	return t.restored.absentFromBackup && !t.restored.deadline.Passed(s.now)
}

// missingAcrossRestore reports whether a target gets new flows only if no other target can
// serve them, because it went missing without draining before the platform was restored, or
// has been missing since, and has made no progress recently.
//
// If it got none at all, then after entries expire during a fault of the platform and the
// platform is restored, callers would be refused although every target of their service
// works. This would show as refusals in the seconds after "targetsReread".
func (s *Steerer) missingAcrossRestore(t *target) bool {
	r := &t.restored
	return (r.wasMissing || r.absentFromBackup) && !r.wasDraining && !r.deadline.Passed(s.now) && !s.hasRecentProgress(t)
}

// avoidedAfterRestore reports whether a target is avoided because of what was known of it
// before the platform was restored.
func (s *Steerer) avoidedAfterRestore(t *target) bool {
	return s.wasDrainingBeforeRestore(t) || s.missingAcrossRestore(t)
}
