package steerer

import "cranberryspan.dev/core/warmer"

// isCold reports whether a target has just started, or its zone has just been taken back
// after an order to evacuate it.
//
// What goes wrong if only entries count: targets that idled through an order are slow
// like new ones, and write nothing, since they have not started. The whole zone is met
// by its full load in one moment.
func (s *Steerer) isCold(t *target) bool {
	if !t.warmUpDeadline.Passed(s.now) {
		return true
	}
	lifted, ok := s.evacuator.EndedAt(t.AvailabilityZone)
	return ok && !lifted.Add(s.settings.service(t.Service).WarmUp).Passed(s.now)
}

// coldFlowLimit is what a service's cold targets bear.
func (s *Steerer) coldFlowLimit(service string) warmer.RateLimit {
	return warmer.RateLimit{
		PerSecond:      s.settings.service(service).WarmUpFlowsPerSecond,
		BurstFactor:    s.config.ColdBurstFactor,
		BurstAllowance: s.config.ColdBurstAllowance,
	}
}

// warmUpAllows reports whether this host may place a new flow on a target as far as its warm-up
// goes. Hosts of other zones leave cold targets alone: they may be cut off from those
// that share them out.
func (s *Steerer) warmUpAllows(t *target) bool {
	if !s.isCold(t) {
		return true
	}
	bound := s.coldFlowLimit(t.Service)
	if !bound.Limited() {
		return true
	}
	return !s.leaving.started && t.AvailabilityZone == s.config.AvailabilityZone && s.warmer.Admits(t.ID, bound, s.now)
}

// recordColdFlow takes in that a new flow goes to a target.
func (s *Steerer) recordColdFlow(t *target) {
	if s.isCold(t) {
		s.warmer.RecordPlacement(t.ID, s.coldFlowLimit(t.Service), s.now)
	}
}

// updateWarmerHosts tells the warmer who may live in this host's zone.
func (s *Steerer) updateWarmerHosts() {
	if s.peers.zoneEpoch == s.peers.zones.generation {
		return
	}
	s.peers.zoneEpoch = s.peers.zones.generation
	var others []string
	for _, p := range s.peers.zones.hosts(s.config.AvailabilityZone) {
		if !p.shuttingDown {
			others = append(others, p.name)
		}
	}
	s.warmer.SetHosts(others)
}
