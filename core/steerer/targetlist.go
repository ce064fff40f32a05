package steerer

import (
	"slices"
	"time"

	"cranberryspan.dev/core/sequencer"
	"cranberryspan.dev/core/timekeeper"
)

const (
	// recentProgressWindow is how recent the sign of life must be of a target that vanished from
	// the list without draining, and still gets flows for sequencer.RewriteTime.
	recentProgressWindow = time.Second
	// missingTargetRetention is how long a target is remembered after it vanished: open
	// flows still name it, for as long as a flow may last.
	missingTargetRetention = 70 * time.Second
	// targetSweepInterval is how often targets are looked for that are to be checked again or
	// forgotten, which are due after seconds.
	targetSweepInterval = 250 * time.Millisecond
)

// applyTargetList takes in what the platform lists.
func (s *Steerer) applyTargetList(list TargetList) {
	if list.Since.Known() {
		s.applyTargetChanges(list)
		return
	}
	s.applyFullTargetList(list)
}

// applyTargetChanges takes in what has changed since a position that this host has reached. The
// work follows what has changed, not how many targets there are.
func (s *Steerer) applyTargetChanges(list TargetList) {
	if !s.targetsPosition.ContinuesFrom(list.Since) || s.targetsPosition.Before(list.Since) {
		return // This host has turned to another era since it asked.
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

// applyFullTargetList takes in a complete list of targets. One without a revision says nothing to a
// host that has one.
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

// completeTargetList takes in that a list is complete as of a position: what it lacks is missing.
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
// What goes wrong with a line for each target: after its start a host of a large
// fleet writes nothing else. The bound on lines leaves out how its first flows were
// placed, and a small host spends its share of the processor on lines before it
// takes packets.
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

// applyTarget takes in the state of a target as seen at a position. The first list is no
// news to others: told like changes, it would fill the reports of each host that starts
// for changeRetention, and all of them after a loss of all hosts.
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
		s.diagnoser.ObserveActivity(t.AvailabilityZone, s.now) // It has started, or changed, just now.
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

// applyWarmUp takes in for how much longer a known target is cold.
//
// What goes wrong if other hosts are not told: a target turns cold without a restart,
// and only the host that reads the platform spares it. What goes wrong if any word of
// another host holds: one that has not learned of it yet ends the warm-up.
func (s *Steerer) applyWarmUp(t *target, warmUp time.Duration, from string) {
	deadline := s.now.Add(warmUp)
	if from != fromPlatform {
		deadline = max(deadline, t.warmUpDeadline)
	}
	// Less than a round of reports is what is left of a warm-up that all know.
	if turnedCold := warmUp > reportInterval && t.warmUpDeadline.Passed(s.now); turnedCold {
		s.queueChange(t)
		s.log("targetCold", field("target", t.ID), field("millis", formatMillis(warmUp)), field("from", from))
	}
	t.warmUpDeadline = deadline
}

// markMissing takes in that a target is no longer listed, as seen at a position.
func (s *Steerer) markMissing(t *target, seen sequencer.Position, from string) {
	if s.inLaterEra(seen) && !t.Draining && !s.wasDrainingBeforeRestore(t) {
		t.restored = restoreConflict{absentFromBackup: true, deadline: s.now.Add(sequencer.RewriteGracePeriod)}
	}
	t.missing = true
	s.targets.recordState(t, seen)
	s.targets.markGone(t)
	s.targets.handOverTag(t)
	t.missingSince = s.now
	s.queueChange(t)
	s.logTarget("targetMissing", t, field("draining", formatBool(t.Draining)), field("revision", seen.String()), field("from", from))
}

// excludedAsMissing reports whether a target may get no new flows because it is not listed.
//
// What goes wrong if a missing target is dropped at once: while the platform is
// in trouble entries of live targets vanish, at worst all of them, and callers
// are refused although every target works.
func (s *Steerer) excludedAsMissing(t *target) bool {
	if !t.missing || t.malformed {
		return t.malformed
	}
	if s.missingFromBackup(t) {
		return false
	}
	since := max(t.missingSince, s.reading.recoveredAt)
	inGracePeriod := !since.Add(sequencer.RewriteGracePeriod).Passed(s.now) || s.reading.failedSince != 0
	alive := s.hasRecentProgress(t)
	return !inGracePeriod || !alive
}

// hasRecentProgress reports whether flows show that a target lives.
func (s *Steerer) hasRecentProgress(t *target) bool {
	return t.health.lastProgress != 0 && s.now.Since(t.health.lastProgress) < recentProgressWindow
}

// targetsTick does what is due for targets, whether or not flows use them.
func (s *Steerer) targetsTick() {
	if !s.targetSweepDeadline.Passed(s.now) {
		return
	}
	s.targetSweepDeadline = s.now.Add(targetSweepInterval)
	s.removeExpiredTargets()
	s.updateWarmerHosts()
	s.probeUnreachable()
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

// targetsAge tells how old the knowledge of targets is, for logs.
func (s *Steerer) targetsAge() string { return formatAge(s.now, s.reading.targets.confirmed) }

// formatAge writes how long ago a moment was, in milliseconds, for logs.
func formatAge(now, moment timekeeper.Instant) string {
	if moment == 0 {
		return "never"
	}
	return formatMillis(now.Since(moment))
}

// age is how old a confirmation is; unknownAge if there is none.
func age(now, confirmed timekeeper.Instant) time.Duration {
	if confirmed == 0 {
		return unknownAge
	}
	return now.Since(confirmed)
}

// unknownAge stands for knowledge that was never confirmed.
const unknownAge = time.Hour
