package steerer

import "slices"

// markInUse has a target looked at that has a flow, or was found silent.
func (t *targetTable) markInUse(one *target) {
	if !one.inUse {
		one.inUse = true
		t.inUse = append(t.inUse, one)
	}
}

// markGone has a target looked at that is no longer listed.
func (t *targetTable) markGone(one *target) {
	if !one.gone {
		one.gone = true
		t.gone = append(t.gone, one)
	}
}

// targetsInUse lists the targets of which this host may have something to tell or to do.
func (s *Steerer) targetsInUse() []*target {
	s.targets.entriesVisited += uint64(len(s.targets.inUse))
	return s.targets.inUse
}

// removeUnusedFromInUse takes out targets of which there is nothing to tell or do any more.
func (s *Steerer) removeUnusedFromInUse() {
	s.targets.inUse = slices.DeleteFunc(s.targetsInUse(), func(t *target) bool {
		t.inUse = t.flows > 0 || t.health.unreachable() || s.recentFastFailures(t)
		return !t.inUse
	})
}

// removeExpiredTargets forgets targets that no flow can name any more, and takes out those that are
// listed again.
func (s *Steerer) removeExpiredTargets() {
	s.targets.entriesVisited += uint64(len(s.targets.gone))
	s.targets.gone = slices.DeleteFunc(s.targets.gone, func(t *target) bool {
		if t.missing && t.flows == 0 && t.missingSince.Add(missingTargetRetention).Passed(s.now) {
			s.targets.remove(t)
			s.warmer.Forget(t.ID)
			s.connections.limiter.Forget(uint32(t.tag))
			t.gone = false
			return true
		}
		t.gone = t.missing
		return !t.gone
	})
}
