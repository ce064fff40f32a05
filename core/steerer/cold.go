package steerer

import "cranberryspan.dev/core/warmer"

// isCold reports whether a target has started recently, or whether the evacuation order for
// its zone has been withdrawn recently.
//
// Without the second condition, targets that were idle during an evacuation would count as
// warm, though they are as slow as new ones: they have not restarted, so their entries do not
// change. The zone would get its full load at once.
func (s *Steerer) isCold(t *target) bool {
	if !t.warmUpDeadline.Passed(s.now) {
		return true
	}
	endedAt, ok := s.evacuator.EndedAt(t.AvailabilityZone)
	return ok && !endedAt.Add(s.settings.service(t.Service).WarmUp).Passed(s.now)
}

// coldFlowLimit is the rate limit for new flows to a cold target of a service.
func (s *Steerer) coldFlowLimit(service string) warmer.RateLimit {
	return warmer.RateLimit{
		PerSecond:      s.settings.service(service).WarmUpPerSecond,
		BurstFactor:    s.config.ColdBurstFactor,
		BurstAllowance: s.config.ColdBurstAllowance,
	}
}

// warmUpAllows reports whether the slow start of a target lets this host place a new flow on
// it. Hosts of other zones place no flows on cold targets: they may be partitioned from the
// hosts that share the rate limit. Hosts that are shutting down place none either: the others
// no longer count them among those that share it.
func (s *Steerer) warmUpAllows(t *target) bool {
	if !s.isCold(t) {
		return true
	}
	limit := s.coldFlowLimit(t.Service)
	if !limit.Limited() {
		return true
	}
	return !s.shutdown.started && t.AvailabilityZone == s.config.AvailabilityZone && s.warmer.Admits(t.ID, limit, s.now)
}

// recordColdFlow records that a new flow goes to a target, if the target is cold.
func (s *Steerer) recordColdFlow(t *target) {
	if s.isCold(t) {
		s.warmer.RecordPlacement(t.ID, s.coldFlowLimit(t.Service), s.now)
	}
}

// updateWarmerHosts passes the other hosts of the local zone that are not shutting down to the
// warmer.
func (s *Steerer) updateWarmerHosts() {
	if s.peers.warmerGeneration == s.peers.zones.generation {
		return
	}
	s.peers.warmerGeneration = s.peers.zones.generation
	var others []string
	for _, p := range s.peers.zones.hosts(s.config.AvailabilityZone) {
		if !p.shuttingDown {
			others = append(others, p.name)
		}
	}
	s.warmer.SetHosts(others)
}
