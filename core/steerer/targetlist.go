package steerer

import (
	"slices"
	"time"

	"cranberryspan.dev/core/sequencer"
	"cranberryspan.dev/core/timekeeper"
)

const (
	// recentProgressWindow is how recently a target must have shown progress to keep getting
	// flows for sequencer.RewriteGracePeriod after it went missing without draining.
	recentProgressWindow = time.Second
	// missingTargetRetention is how long a missing target is kept: packets of its open flows
	// still carry its tag, for as long as a flow may last.
	missingTargetRetention = 70 * time.Second
	// targetSweepInterval is the interval between sweeps for targets to probe again or to
	// drop. Both become due only after seconds.
	targetSweepInterval = 250 * time.Millisecond
)

// applyTargetList applies a list of targets that the platform has sent.
func (s *Steerer) applyTargetList(list TargetList) {
	if list.Since.Known() {
		s.applyTargetChanges(list)
		return
	}
	s.applyFullTargetList(list)
}

// applyTargetChanges applies the changes since a position that this host has reached. The
// cost depends on the number of changes, not of targets.
func (s *Steerer) applyTargetChanges(list TargetList) {
	if !s.targetsPosition.ContinuesFrom(list.Since) || s.targetsPosition.Before(list.Since) {
		return // This host has moved to another era since the request, or lacks earlier changes.
	}
	s.recordMalformed(list.Malformed, list.Position)
	for _, record := range list.Targets {
		s.applyTarget(record, list.Position, fromPlatform)
	}
	for _, id := range list.MissingIDs {
		if t, known := s.targets.byID[id]; known && !t.missing && t.seenPosition.Before(list.Position) {
			s.markMissing(t, list.Position, fromPlatform)
		}
	}
	s.targetsPosition = s.targetsPosition.Later(list.Position)
}

// applyFullTargetList applies a full list of targets. A list without a revision is ignored by
// a host that has one with a revision.
func (s *Steerer) applyFullTargetList(list TargetList) {
	if list.Position.Before(s.targetsPosition) || (s.targetsPosition.Known() && !list.Position.Known()) {
		return
	}
	s.loggedMalformed = s.retainMalformed(list.Malformed)
	s.recordMalformed(list.Malformed, list.Position)
	listed := make(map[string]bool, len(list.Targets))
	for _, record := range list.Targets {
		listed[record.ID] = true
		s.applyTarget(record, list.Position, fromPlatform)
	}
	s.completeTargetList(listed, list.Position, fromPlatform)
}

// completeTargetList records that a list is complete as of a position: targets that it lacks
// are missing.
func (s *Steerer) completeTargetList(listed map[string]bool, position sequencer.Position, from string) {
	missing := 0
	for _, t := range s.targets.ordered() {
		if !listed[t.ID] && !t.missing && t.seenPosition.Before(position) {
			s.markMissing(t, position, from)
			missing++
		}
	}
	earlier := s.targetsPosition
	s.targetsPosition = position
	s.recordCompleteList(earlier, missing, from)
}

// logInitialTargets logs the first list of targets in one line.
//
// With a line per target, a host of a large fleet would log nothing else after its start. The
// log's rate limit would then drop the lines about its first flows, and a small host would
// spend its processor time on log lines instead of packets.
func (s *Steerer) logInitialTargets(from string) {
	draining := 0
	for _, t := range s.targets.byID {
		if t.Draining {
			draining++
		}
	}
	s.log("targetsKnown", field("targets", formatInt(len(s.targets.byID))), field("draining", formatInt(draining)),
		field("revision", s.targetsPosition.String()), field("from", from))
}

// applyTarget applies the state of a target as read at a position. The first list is not
// queued for reports: for changeRetention it would fill the reports of a host that has
// started, and after a loss of all hosts those of every host.
func (s *Steerer) applyTarget(record Target, seen sequencer.Position, from string) {
	known, ok := s.targets.byID[record.ID]
	if ok && !known.missing && known.equalIgnoringWarmUp(record) {
		s.applyWarmUp(known, record.WarmUp, from)
		return
	}
	if ok && !known.olderThan(record.Incarnation, seen) {
		return
	}
	restarted := ok && record.Incarnation != known.Incarnation
	restored := s.restoreConflictOf(known, record, seen)
	t, tagTaken := s.targets.upsert(record)
	t.restored = restored
	if s.targetsPosition.Known() {
		s.diagnoser.ObserveActivity(t.AvailabilityZone, s.now) // It has just started or changed.
	}
	t.missing = false
	t.malformed = false
	s.targets.recordState(t, seen)
	if restarted {
		s.resetForRestart(t, from)
	}
	t.warmUpDeadline = s.now.Add(record.WarmUp)
	if s.targetsPosition.Known() {
		s.queueChange(t)
		s.log("targetChanged", field("target", t.ID), field("service", t.Service), field("address", t.Address.String()),
			field("draining", formatBool(t.Draining)), field("revision", seen.String()), field("from", from))
	}
	if tagTaken {
		s.log("targetUnused", field("target", t.ID), field("reason", "tagTaken"), field("tag", t.tag.String()))
	}
}

// applyWarmUp sets how much longer a known target is cold.
//
// A warm-up without a restart must be reported, or only the host that reads the platform
// would limit new flows to the target. Another host's report must not shorten the warm-up,
// because a host that does not know of it yet would end it.
func (s *Steerer) applyWarmUp(t *target, warmUp time.Duration, from string) {
	deadline := s.now.Add(warmUp)
	if from != fromPlatform {
		deadline = max(deadline, t.warmUpDeadline)
	}
	// A remainder below one report interval belongs to a warm-up that all hosts already know.
	if turnedCold := warmUp > reportInterval && t.warmUpDeadline.Passed(s.now); turnedCold {
		s.queueChange(t)
		s.log("targetCold", field("target", t.ID), field("millis", formatMillis(warmUp)), field("from", from))
	}
	t.warmUpDeadline = deadline
}

// markMissing records that a target is no longer listed, as read at a position.
func (s *Steerer) markMissing(t *target, seen sequencer.Position, from string) {
	if s.inLaterEra(seen) && !t.Draining && !s.wasDrainingBeforeRestore(t) {
		t.restored = restoreConflict{absentFromBackup: true, deadline: s.now.Add(sequencer.RewriteGracePeriod)}
	}
	t.missing = true
	s.targets.recordState(t, seen)
	s.targets.markMissing(t)
	s.targets.handOverTag(t)
	t.missingSince = s.now
	s.queueChange(t)
	s.logTarget("targetMissing", t, field("draining", formatBool(t.Draining)), field("revision", seen.String()), field("from", from))
}

// excludedAsMissing reports whether a target gets no new flows because it is not listed.
//
// A missing target is not excluded at once: while the platform has faults, entries of live
// targets, at worst all of them, may be lost from the list, and callers would be refused
// although every target works.
func (s *Steerer) excludedAsMissing(t *target) bool {
	if !t.missing || t.malformed {
		return t.malformed
	}
	if s.missingFromBackup(t) {
		return false
	}
	since := max(t.missingSince, s.platformReads.recoveredAt)
	inGracePeriod := !since.Add(sequencer.RewriteGracePeriod).Passed(s.now) || s.platformReads.failedSince != 0
	alive := s.hasRecentProgress(t)
	return !inGracePeriod || !alive
}

// hasRecentProgress reports whether flows show that a target is alive.
func (s *Steerer) hasRecentProgress(t *target) bool {
	return t.health.lastProgress != 0 && s.now.Since(t.health.lastProgress) < recentProgressWindow
}

// targetsTick runs the periodic work on targets, whether they have flows or not.
func (s *Steerer) targetsTick() {
	if !s.targetSweepDeadline.Passed(s.now) {
		return
	}
	s.targetSweepDeadline = s.now.Add(targetSweepInterval)
	s.removeExpiredTargets()
	s.updateWarmerHosts()
	s.reprobeTargets()
	s.removeUnusedFromInUse()
}

// flowsTo lists the flows to a target in a fixed order.
func (s *Steerer) flowsTo(t *target) []flowKey {
	var keys []flowKey
	for key, f := range s.flows {
		if f.target == t {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(x, y flowKey) int {
		if c := x.caller.Compare(y.caller); c != 0 {
			return c
		}
		return x.service.Compare(y.service)
	})
	return keys
}

// targetsAge formats the age of the list of targets, for logs.
func (s *Steerer) targetsAge() string { return formatAge(s.now, s.platformReads.targets.confirmed) }

// formatAge formats the time since a moment in milliseconds, for logs.
func formatAge(now, moment timekeeper.Instant) string {
	if moment == 0 {
		return "never"
	}
	return formatMillis(now.Since(moment))
}

// age is the time since a confirmation; unknownAge if there is none.
func age(now, confirmed timekeeper.Instant) time.Duration {
	if confirmed == 0 {
		return unknownAge
	}
	return now.Since(confirmed)
}

// unknownAge is the age of state that was never confirmed.
const unknownAge = time.Hour
