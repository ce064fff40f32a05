package steerer

import "cranberryspan.dev/core/warmer"

// cold reports whether a target has just started, or its zone has just been taken back
// after an order to evacuate it.
//
// What goes wrong if only entries count: targets that idled through an order are slow
// like new ones, and write nothing, since they have not started. The whole zone is met
// by its full load in one moment.
func (s *Steerer) cold(t *target) bool {
	if !t.warmUpDeadline.Passed(s.now) {
		return true
	}
	lifted, ok := s.evacuator.EndedAt(t.AvailabilityZone)
	return ok && !lifted.Add(s.settings.service(t.Service).WarmUp).Passed(s.now)
}

// coldBound is what a service's cold targets bear.
func (s *Steerer) coldBound(service string) warmer.RateLimit {
	return warmer.RateLimit{
		PerSecond:      s.settings.service(service).WarmUpPerSecond,
		BurstFactor:    s.config.ColdOverage,
		BurstAllowance: s.config.ColdAllowance,
	}
}

// admits reports whether this host may place a new flow on a target as far as its warm-up
// goes. Hosts of other zones leave cold targets alone: they may be cut off from those
// that share them out.
func (s *Steerer) admits(t *target) bool {
	if !s.cold(t) {
		return true
	}
	bound := s.coldBound(t.Service)
	if !bound.Limited() {
		return true
	}
	return !s.leaving.begun && t.AvailabilityZone == s.config.AvailabilityZone && s.warmer.Admits(t.ID, bound, s.now)
}

// notePlaced takes in that a new flow goes to a target.
func (s *Steerer) notePlaced(t *target) {
	if s.cold(t) {
		s.warmer.RecordPlacement(t.ID, s.coldBound(t.Service), s.now)
	}
}

// noteZoneHosts tells the warmer who may live in this host's zone.
func (s *Steerer) noteZoneHosts() {
	if s.peers.zoneEpoch == s.peers.zones.epoch {
		return
	}
	s.peers.zoneEpoch = s.peers.zones.epoch
	var others []string
	for _, p := range s.peers.zones.of(s.config.AvailabilityZone) {
		if !p.leaving {
			others = append(others, p.name)
		}
	}
	s.warmer.SetHosts(others)
}
