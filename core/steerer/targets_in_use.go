package steerer

import "slices"

// markInUse adds a target that has a flow, or is suspect or unreachable, to the targets in use.
func (t *targetTable) markInUse(one *target) {
	if !one.inUse {
		one.inUse = true
		t.inUse = append(t.inUse, one)
	}
}

// markMissing adds a target that is no longer listed to the missing targets.
func (t *targetTable) markMissing(one *target) {
	if !one.inMissing {
		one.inMissing = true
		t.missing = append(t.missing, one)
	}
}

// targetsInUse returns the targets that this host may have to report or act on.
func (s *Steerer) targetsInUse() []*target {
	s.targets.entriesVisited += uint64(len(s.targets.inUse))
	return s.targets.inUse
}

// removeUnusedFromInUse removes targets that need no report or action any more from the
// targets in use.
func (s *Steerer) removeUnusedFromInUse() {
	s.targets.inUse = slices.DeleteFunc(s.targetsInUse(), func(t *target) bool {
		t.inUse = t.flows > 0 || t.health.unreachable() || t.health.suspect || s.recentFastFailures(t)
		return !t.inUse
	})
}

// removeExpiredTargets removes missing targets that no flow can refer to any more, and
// takes those that are listed again out of the missing targets.
func (s *Steerer) removeExpiredTargets() {
	s.targets.entriesVisited += uint64(len(s.targets.missing))
	s.targets.missing = slices.DeleteFunc(s.targets.missing, func(t *target) bool {
		if t.missing && t.flows == 0 && t.missingSince.Add(missingTargetRetention).Passed(s.now) {
			s.targets.remove(t)
			s.warmer.Forget(t.ID)
			s.connections.limiter.Forget(uint32(t.tag))
			t.inMissing = false
			return true
		}
		t.inMissing = t.missing
		return !t.inMissing
	})
}
