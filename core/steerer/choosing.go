package steerer

const (
	// openFlowLoad counts an open flow that waits for nothing as this part of a
	// request. Callers with long flows send about one request a second, which
	// takes some 50 ms: a twentieth.
	openFlowLoad = 0.05
	// otherZoneLoad is added for a target in another availability zone, in
	// requests a slot: work spills over only when each slot at home has a request
	// more to wait for. Traffic between zones is dear, and a flow across zones
	// stalls when the zones are cut off from each other.
	otherZoneLoad = 1.0
	// warmingLoad multiplies the load of a target that has just started. Such
	// targets take about 1.6 times as long.
	warmingLoad = 1.6
	// tieSpread orders targets of equal load by the flow's hash, so that hosts
	// which do not know of each other's choice make different ones. It is less
	// than the smallest difference in load.
	tieSpread = 0.01
	// suspectLoad puts a target that may be silent behind all that are not.
	suspectLoad = 1000
	// unreachableLoad puts a target that did not answer behind the merely suspect
	// ones. It is still taken if there is no other: a caller whose flow does not
	// open loses nothing over one that is refused.
	unreachableLoad = 10 * suspectLoad
)

// choose picks the target of a service for a new flow; nil if there is none. It
// passes over avoid unless there is no other.
func (s *Steerer) choose(service string, key flowKey, avoid *target) *target {
	var best *target
	var bestLoad float64
	hash := key.hash()
	for _, t := range s.targets.byService[service] {
		if !s.takesFlows(t) {
			continue
		}
		load := s.load(t, hash)
		if t == avoid {
			load += unreachableLoad
		}
		if best == nil || load < bestLoad {
			best, bestLoad = t, load
		}
	}
	return best
}

// takesFlows reports whether a target may get new flows at all.
func (s *Steerer) takesFlows(t *target) bool {
	return !t.Draining && !s.gone(t)
}

// load estimates how long a new request would wait at a target, in requests a
// slot.
//
// A flow that has not opened yet counts as a request. What goes wrong otherwise: a
// target that has crashed resets each new flow at once, so it has the least load of
// all, and callers are sent there again and again until it is found out.
func (s *Steerer) load(t *target, hash uint64) float64 {
	idle := max(t.flows-t.busy-t.opening, 0)
	load := (float64(t.underWay()) + openFlowLoad*float64(idle)) / float64(max(t.Slots, 1))
	if s.full() {
		load = 0 // New flows would not be counted, and all go to the least busy.
	}
	if !t.warmUpDeadline.Passed(s.now) {
		load = (load + 1/float64(max(t.Slots, 1))) * warmingLoad
	}
	if s.failsWork(t) {
		load += quickLoad
	}
	if t.AvailabilityZone != s.config.AvailabilityZone {
		load += otherZoneLoad
	}
	switch {
	case t.health.unreachable():
		load += unreachableLoad
	case t.health.suspect:
		load += suspectLoad
	}
	return load + tieSpread*tie(hash, t)
}

// tie is a number from 0 to 1 that differs by flow and target.
func tie(hash uint64, t *target) float64 {
	mixed := (hash ^ uint64(t.Number)) * 0x9e3779b97f4a7c15 // Fibonacci hashing.
	return float64(mixed>>40) / (1 << 24)
}
