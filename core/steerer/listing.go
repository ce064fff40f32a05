package steerer

import (
	"slices"
	"time"

	"cranberryspan.dev/core/sequencer"
	"cranberryspan.dev/core/timekeeper"
)

const (
	// lapseProgress is how recent the sign of life must be of a target that vanished from
	// the list without draining, and still gets flows for sequencer.RewriteTime.
	lapseProgress = time.Second
	// missingMemory is how long a target is remembered after it vanished: open
	// flows still name it, for as long as a flow may last.
	missingMemory = 70 * time.Second
	// targetSweepEvery is how often targets are looked for that are to be checked again or
	// forgotten, which are due after seconds.
	targetSweepEvery = 250 * time.Millisecond
)

// takeList takes in what the platform lists.
func (s *Steerer) takeList(list TargetList) {
	if list.Since.Known() {
		s.takeChanges(list)
		return
	}
	s.takeWholeList(list)
}

// takeChanges takes in what has changed since a position that this host has reached. The
// work follows what has changed, not how many targets there are.
func (s *Steerer) takeChanges(list TargetList) {
	if !s.targetsPosition.ContinuesFrom(list.Since) || s.targetsPosition.Before(list.Since) {
		return // This host has turned to another era since it asked.
	}
	s.noteMalformed(list.Malformed, list.Position)
	for _, record := range list.Targets {
		s.takeRecord(record, list.Position, fromPlatform)
	}
	for _, id := range list.Gone {
		if t, known := s.targets.byID[id]; known && !t.missing && t.seen.Before(list.Position) {
			s.takeMissing(t, list.Position, fromPlatform)
		}
	}
	s.targetsPosition = s.targetsPosition.Later(list.Position)
}

// takeWholeList takes in a complete list of targets. One without a revision says nothing to a
// host that has one.
func (s *Steerer) takeWholeList(list TargetList) {
	if list.Position.Before(s.targetsPosition) || (s.targetsPosition.Known() && !list.Position.Known()) {
		return
	}
	s.malformed = s.stillMalformed(list.Malformed)
	s.noteMalformed(list.Malformed, list.Position)
	listed := make(map[string]bool, len(list.Targets))
	for _, record := range list.Targets {
		listed[record.ID] = true
		s.takeRecord(record, list.Position, fromPlatform)
	}
	s.endList(listed, list.Position, fromPlatform)
}

// endList takes in that a list is complete as of a position: what it lacks is missing.
func (s *Steerer) endList(listed map[string]bool, position sequencer.Position, from string) {
	missing := 0
	for _, t := range s.targets.ordered() {
		if !listed[t.ID] && !t.missing && t.seen.Before(position) {
			s.takeMissing(t, position, from)
			missing++
		}
	}
	earlier := s.targetsPosition
	s.targetsPosition = position
	s.noteListed(earlier, missing, from)
}

// logFirstTargets logs the first list of targets in one line.
//
// What goes wrong with a line for each target: after its start a host of a large
// fleet writes nothing else. The bound on lines leaves out how its first flows were
// placed, and a small host spends its share of the processor on lines before it
// takes packets.
func (s *Steerer) logFirstTargets(from string) {
	draining := 0
	for _, t := range s.targets.byID {
		if t.Draining {
			draining++
		}
	}
	s.log("targetsKnown", field("targets", itoa(len(s.targets.byID))), field("draining", itoa(draining)),
		field("revision", s.targetsPosition.String()), field("from", from))
}

// takeRecord takes in the state of a target as seen at a position. The first list is no
// news to others: told like changes, it would fill the reports of each host that starts
// for changeMemory, and all of them after a loss of all hosts.
func (s *Steerer) takeRecord(record Target, seen sequencer.Position, from string) {
	known, ok := s.targets.byID[record.ID]
	if ok && !known.missing && known.same(record) {
		s.takeWarmUp(known, record.WarmUp, from)
		return
	}
	if ok && !known.olderThan(record.Born, seen) {
		return
	}
	reborn := ok && record.Born != known.Born
	restored := s.forgottenByRestore(known, record, seen)
	t, shared := s.targets.put(record)
	t.restored = restored
	if s.targetsPosition.Known() {
		s.diagnoser.ObserveActivity(t.AvailabilityZone, s.now) // It has started, or changed, just now.
	}
	t.missing = false
	t.unreadable = false
	s.targets.noteState(t, seen)
	if reborn {
		s.beginLife(t, from)
	}
	t.warmUpDeadline = s.now.Add(record.WarmUp)
	if s.targetsPosition.Known() {
		s.noteChange(t)
		s.log("targetChanged", field("target", t.ID), field("service", t.Service), field("address", t.Address.String()),
			field("draining", btoa(t.Draining)), field("revision", seen.String()), field("from", from))
	}
	if shared {
		s.log("targetUnused", field("target", t.ID), field("reason", "tagTaken"), field("tag", t.tag.String()))
	}
}

// takeWarmUp takes in for how much longer a known target is cold.
//
// What goes wrong if other hosts are not told: a target turns cold without a restart,
// and only the host that reads the platform spares it. What goes wrong if any word of
// another host holds: one that has not learned of it yet ends the warm-up.
func (s *Steerer) takeWarmUp(t *target, warmUp time.Duration, from string) {
	deadline := s.now.Add(warmUp)
	if from != fromPlatform {
		deadline = max(deadline, t.warmUpDeadline)
	}
	// Less than a round of reports is what is left of a warm-up that all know.
	if turnedCold := warmUp > reportEvery && t.warmUpDeadline.Passed(s.now); turnedCold {
		s.noteChange(t)
		s.log("targetCold", field("target", t.ID), field("millis", millis(warmUp)), field("from", from))
	}
	t.warmUpDeadline = deadline
}

// takeMissing takes in that a target is no longer listed, as seen at a position.
func (s *Steerer) takeMissing(t *target, seen sequencer.Position, from string) {
	if s.crosses(seen) && !t.Draining && !s.drainedBeforeRestore(t) {
		t.restored = restoredState{lacked: true, deadline: s.now.Add(sequencer.RewriteGracePeriod)}
	}
	t.missing = true
	s.targets.noteState(t, seen)
	s.targets.noteGone(t)
	s.targets.passTag(t)
	t.missingSince = s.now
	s.noteChange(t)
	s.logTarget("targetMissing", t, field("draining", btoa(t.Draining)), field("revision", seen.String()), field("from", from))
}

// gone reports whether a target may get no new flows because it is not listed.
//
// What goes wrong if a missing target is dropped at once: while the platform is
// in trouble entries of live targets vanish, at worst all of them, and callers
// are refused although every target works.
func (s *Steerer) gone(t *target) bool {
	if !t.missing || t.unreadable {
		return t.unreadable
	}
	if s.lackedByCopy(t) {
		return false
	}
	since := max(t.missingSince, s.reading.returnedAt)
	lapsing := !since.Add(sequencer.RewriteGracePeriod).Passed(s.now) || s.reading.failedSince != 0
	lives := s.livesNow(t)
	return !lapsing || !lives
}

// livesNow reports whether flows show that a target lives.
func (s *Steerer) livesNow(t *target) bool {
	return t.health.lastProgress != 0 && s.now.Since(t.health.lastProgress) < lapseProgress
}

// targetsTick does what is due for targets, whether or not flows use them.
func (s *Steerer) targetsTick() {
	if !s.targetSweepDeadline.Passed(s.now) {
		return
	}
	s.targetSweepDeadline = s.now.Add(targetSweepEvery)
	s.sweepGone()
	s.noteZoneHosts()
	s.checkUnreachable()
	s.sweepInUse()
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
func (s *Steerer) targetsAge() string { return ageText(s.now, s.reading.targets.confirmed) }

// ageText writes how long ago a moment was, in milliseconds, for logs.
func ageText(now, moment timekeeper.Instant) string {
	if moment == 0 {
		return "never"
	}
	return millis(now.Since(moment))
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
