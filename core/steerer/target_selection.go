package steerer

import (
	"slices"

	"cranberryspan.dev/core/estimator"
)

const (
	// idleFlowLoad is the load of an open flow with no request in flight, as a fraction of
	// a request. Callers with long-lived flows send about one request a second, which takes
	// about 50 ms: a twentieth.
	idleFlowLoad = 0.05
	// crossZonePenalty is added for a target in another availability zone, in requests per
	// slot: traffic spills over only when each slot in the local zone has one more request
	// queued. Cross-zone traffic is expensive, and a cross-zone flow stalls when the zones
	// are partitioned.
	crossZonePenalty = 1.0
	// warmUpLoadFactor multiplies the load of a target that has just started. Such targets
	// take about 1.6 times as long.
	warmUpLoadFactor = 1.6
	// maxSlowdownPenalty limits the penalty for a target that is slower than its baseline,
	// in requests per slot. It is less than suspectZonePenalty because a slow target still
	// responds.
	maxSlowdownPenalty = 8
	// failingPenalty is added for a target with fast failures, in requests per slot: it
	// gets flows only when the other targets of its service are loaded, so a false positive
	// costs little.
	failingPenalty = 2.0
	// tieBreakSpread orders targets of equal load by the flow's hash, so that hosts that do
	// not know each other's choices choose different targets. It is less than the load of
	// an idle flow on a target with fewer than five slots.
	tieBreakSpread = 0.01
	// suspectZonePenalty is added for a target in a zone that seems unresponsive: more than
	// crossZonePenalty and failingPenalty, so that another zone is used, and less than
	// suspectPenalty, which applies to a target that is itself suspect.
	suspectZonePenalty = 10
	// suspectPenalty ranks a target that may be unresponsive after all that are not.
	suspectPenalty = 1000
	// unreachablePenalty ranks an unreachable target after those that are only suspect. It
	// is still used if there is no other: a flow that cannot be established costs its
	// caller no more than a refused one.
	unreachablePenalty = 10 * suspectPenalty
)

// placement describes a new flow, or a retransmitted opening packet, that needs a target.
type placement struct {
	route   Route
	service string
	hash    uint64
	// avoid is a target that is skipped unless there is no other; nil if there is none to
	// avoid.
	avoid *target
}

// zoneView is the state of a zone that matters to one placement.
type zoneView struct {
	// inRegion reports whether the route may run in the zone's region.
	inRegion bool
	// Targets in evacuated zones get no new flows. Those in last-resort zones get only
	// flows that no other target could serve.
	evacuated  bool
	lastResort bool
	suspect    bool
	// logSlowdown is the log slowdown (log2) of the service in this zone compared with its
	// baseline.
	logSlowdown float64
}

// evaluateZones returns the view of every zone. It is computed once per placement, since a
// placement compares many targets of each zone.
func (s *Steerer) evaluateZones(c *placement) []zoneView {
	s.zoneViews = s.zoneViews[:0]
	ordersApply := len(s.evacuator.Zones()) > 0 && !s.partitioned()
	outdated := s.staleInIsolation()
	allEvacuated := ordersApply && s.allZonesEvacuated()
	for _, zone := range s.targets.zones {
		evacuated := ordersApply && s.evacuator.Evacuates(zone)
		lastResort := evacuated && (outdated || (allEvacuated && s.evacuator.PossiblyStale(zone, s.now)))
		s.zoneViews = append(s.zoneViews, zoneView{
			inRegion:    len(c.route.Regions) == 0 || slices.Contains(c.route.Regions, s.config.Regions[zone]),
			evacuated:   evacuated && !lastResort,
			lastResort:  lastResort,
			suspect:     s.diagnoser.ZoneSuspect(zone, s.now),
			logSlowdown: s.zoneLogSlowdown(c.service, zone),
		})
	}
	return s.zoneViews
}

// penalty is added to the load of each target in the zone, in requests per slot.
func (v *zoneView) penalty() float64 {
	load := 0.0
	if v.suspect {
		load += suspectZonePenalty
	}
	if v.lastResort {
		load += evacuatedZonePenalty
	}
	return load
}

// chooseTarget picks a target of the service for a new flow; nil if there is none.
func (s *Steerer) chooseTarget(c placement) *target {
	var best *target
	var bestLoad float64
	views := s.evaluateZones(&c)
	constraint, full := s.constraintFor(&c), false
	if t := s.pickTrialTarget(c, views, constraint); t != nil {
		return t
	}
	if t := s.chooseSampled(&c, views, constraint); t != nil {
		return t
	}
	for _, t := range s.targets.candidates(c.service) {
		if best != nil && bestLoad < crossZonePenalty && t.AvailabilityZone != s.config.AvailabilityZone {
			break // The remaining targets are in other zones, each with a load of at least crossZonePenalty.
		}
		if s.exclusionOf(t, views) != notExcluded || !s.warmUpAllows(t) {
			continue
		}
		connections, available := s.connectionLoad(t, constraint)
		if !available {
			full = true
			continue
		}
		load := connections + s.targetLoad(t, &views[t.zone], c.hash) + views[t.zone].penalty()
		if t == c.avoid {
			load += unreachablePenalty
		}
		if best == nil || load < bestLoad {
			best, bestLoad = t, load
		}
	}
	if full && best != nil && best.health.unreachable() {
		return nil // All reachable targets are full, so the flow is refused at once.
	}
	return best
}

// exclusion is the reason why a target may get no new flows of a route, whatever its load.
type exclusion uint8

const (
	notExcluded exclusion = iota
	// excludedDraining targets are draining, or no longer listed by the platform.
	excludedDraining
	// excludedRegion targets are in a region that the route does not allow.
	excludedRegion
	// excludedZone targets are in an evacuated zone.
	excludedZone
)

// exclusionOf returns the reason why a target may get no new flows.
func (s *Steerer) exclusionOf(t *target, views []zoneView) exclusion {
	view := &views[t.zone]
	switch {
	case t.Draining || s.excludedAsMissing(t) || s.wasDrainingBeforeRestore(t):
		return excludedDraining
	case !view.inRegion:
		return excludedRegion
	case view.evacuated:
		return excludedZone
	}
	return notExcluded
}

// refuseWithoutTarget refuses a flow for which there is no target, and logs the reason.
func (s *Steerer) refuseWithoutTarget(p *Packet, c placement) {
	var counts [excludedZone + 1]int
	views := s.evaluateZones(&c)
	for _, t := range s.targets.candidates(c.service) {
		counts[s.exclusionOf(t, views)]++
	}
	reason := "noTarget"
	switch {
	case s.anyTargetFull(&c, views):
		s.refuseAllFull(p, &c)
		return
	case counts[notExcluded] > 0:
		reason = "coldTargets"
	case counts[excludedZone] > 0:
		reason = "zoneEvacuated"
	case counts[excludedRegion] > 0:
		reason = "outsideRegions"
	}
	s.refuseFlow(p, reason, field("service", c.service), field("leaving", formatInt(counts[excludedDraining])),
		field("outsideRegions", formatInt(counts[excludedRegion])), field("evacuated", formatInt(counts[excludedZone])), field("cold", formatInt(counts[notExcluded])))
}

// targetLoad estimates how long a new request would take at a target, in requests per slot:
// the queueing caused by other requests, plus penalties, among them one for a target slower
// than its baseline.
//
// A half-open flow counts as a request. Without this, a crashed target, which resets each
// new flow at once, has the least load of all and gets new flows again and again until it
// is detected.
func (s *Steerer) targetLoad(t *target, view *zoneView, hash uint64) float64 {
	idle := max(t.flows-t.pendingRequests-t.halfOpen, 0)
	load := (float64(t.inFlight()) + idleFlowLoad*float64(idle)) / float64(max(t.Slots, 1))
	if s.flowTableFull() {
		load = 0 // New flows could not be counted, and all would go to the least loaded target.
	}
	if s.isCold(t) {
		load = (load + 1/float64(max(t.Slots, 1))) * warmUpLoadFactor
	}
	if logSlowdown := view.logSlowdown + t.slowdownEstimate.LogSlowdown(); logSlowdown > 0 {
		load += min((estimator.Slowdown(logSlowdown)-1)*(1+load), maxSlowdownPenalty)
	}
	if s.failsFast(t) {
		load += failingPenalty
	}
	if t.AvailabilityZone != s.config.AvailabilityZone {
		load += crossZonePenalty
	}
	switch {
	case t.health.unreachable():
		load += unreachablePenalty
	case t.health.suspect || t.reportedUnreachable(s.now) || s.missingAcrossRestore(t):
		load += suspectPenalty
	}
	return load + tieBreakSpread*tieBreak(hash, t)
}

// tieBreak returns a number from 0 to 1 that differs by flow and target.
func tieBreak(hash uint64, t *target) float64 {
	mixed := (hash ^ uint64(t.Number)) * 0x9e3779b97f4a7c15 // Fibonacci hashing.
	return float64(mixed>>40) / (1 << 24)
}
