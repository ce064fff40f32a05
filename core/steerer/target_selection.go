package steerer

import (
	"slices"

	"cranberryspan.dev/core/estimator"
)

const (
	// idleFlowLoad counts an open flow that waits for nothing as this part of a
	// request. Callers with long flows send about one request a second, which
	// takes some 50 ms: a twentieth.
	idleFlowLoad = 0.05
	// crossZonePenalty is added for a target in another availability zone, in
	// requests a slot: work spills over only when each slot at home has a request
	// more to wait for. Traffic between zones is dear, and a flow across zones
	// stalls when the zones are cut off from each other.
	crossZonePenalty = 1.0
	// warmUpLoadFactor multiplies the load of a target that has just started. Such
	// targets take about 1.6 times as long.
	warmUpLoadFactor = 1.6
	// maxSlowdownPenalty bounds what is added for a target that takes longer than usual, in requests
	// a slot: less than suspectZonePenalty, since a slow target answers.
	maxSlowdownPenalty = 8
	// failingPenalty is added to the load of a target that fails its work, in requests a slot:
	// it gets flows only when its siblings are busy, so a false alarm costs little.
	failingPenalty = 2.0
	// tieBreakSpread orders targets of equal load by the flow's hash, so that hosts
	// which do not know of each other's choice make different ones. It is less
	// than the smallest difference in load.
	tieBreakSpread = 0.01
	// suspectZonePenalty is added for a target of a zone that seems to have fallen silent: more
	// than another zone costs and than a target that fails its work, so that the next
	// zone is asked, and less than what is known of single targets.
	suspectZonePenalty = 10
	// suspectPenalty puts a target that may be silent behind all that are not.
	suspectPenalty = 1000
	// unreachablePenalty puts a target that did not answer behind the merely suspect
	// ones. It is still taken if there is no other: a caller whose flow does not
	// open loses nothing over one that is refused.
	unreachablePenalty = 10 * suspectPenalty
)

// placement is what a new flow, or a copy of its opening packet, asks for.
type placement struct {
	route   Route
	service string
	hash    uint64
	// avoid is a target that is passed over unless there is no other; nil if none is.
	avoid *target
}

// zoneView is what a choice has to know of a zone.
type zoneView struct {
	// inRegion says that the route may run there.
	inRegion bool
	// evacuated zones get nothing; those that are a last resort only what nobody else
	// could take.
	evacuated  bool
	lastResort bool
	suspect    bool
	// slowness is the binary logarithm of the time that the service takes there, as a
	// multiple of the usual.
	slowness float64
}

// evaluateZones looks at all zones, since a choice looks at many targets of each.
func (s *Steerer) evaluateZones(c *placement) []zoneView {
	s.zoneViews = s.zoneViews[:0]
	obeys := len(s.evacuator.Zones()) > 0 && !s.partitioned()
	outOfTouch := s.ordersStale()
	nowhere := obeys && s.allZonesEvacuated()
	for _, zone := range s.targets.zones {
		evacuated := obeys && s.evacuator.Evacuates(zone)
		lastResort := evacuated && (outOfTouch || (nowhere && s.evacuator.PossiblyStale(zone, s.now)))
		s.zoneViews = append(s.zoneViews, zoneView{
			inRegion:   len(c.route.Regions) == 0 || slices.Contains(c.route.Regions, s.config.Regions[zone]),
			evacuated:  evacuated && !lastResort,
			lastResort: lastResort,
			suspect:    s.diagnoser.ZoneSuspect(zone, s.now),
			slowness:   s.zoneLogSlowdown(c.service, zone),
		})
	}
	return s.zoneViews
}

// penalty is what a zone adds to the load of its targets, in requests a slot.
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

// chooseTarget picks the target of a service for a new flow; nil if there is none.
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
			break // Only targets of other zones follow, each with more load than that.
		}
		if s.exclusionOf(t, views) != notExcluded || !s.warmUpAllows(t) {
			continue
		}
		connections, hasRoom := s.connectionLoad(t, constraint)
		if !hasRoom {
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
		return nil // Those that live are full: the caller should know at once.
	}
	return best
}

// exclusion is why a target may get no new flows of a route, whatever its load.
type exclusion uint8

const (
	notExcluded exclusion = iota
	// excludedDraining targets are draining, or no longer listed.
	excludedDraining
	// excludedRegion targets are in a region that the route does not allow.
	excludedRegion
	// excludedZone targets are in an evacuated zone.
	excludedZone
)

// exclusionOf says why a target may get no new flows.
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

// refuseWithoutTarget refuses a flow for which there is no target, and says why.
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

// targetLoad estimates how long a new request would take at a target: what others there make it
// wait for, in requests a slot, and by how much the target is slower than usual, in the
// same unit.
//
// A flow that has not opened yet counts as a request. What goes wrong otherwise: a
// target that has crashed resets each new flow at once, so it has the least load of
// all, and callers are sent there again and again until it is found out.
func (s *Steerer) targetLoad(t *target, view *zoneView, hash uint64) float64 {
	idle := max(t.flows-t.pendingRequests-t.halfOpen, 0)
	load := (float64(t.inFlight()) + idleFlowLoad*float64(idle)) / float64(max(t.Slots, 1))
	if s.flowTableFull() {
		load = 0 // New flows would not be counted, and all go to the least busy.
	}
	if s.isCold(t) {
		load = (load + 1/float64(max(t.Slots, 1))) * warmUpLoadFactor
	}
	if slowness := view.slowness + t.slowdownEstimate.LogSlowdown(); slowness > 0 {
		load += min((estimator.Slowdown(slowness)-1)*(1+load), maxSlowdownPenalty)
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
	case t.health.suspect || t.reportedUnresponsive(s.now) || s.missingAcrossRestore(t):
		load += suspectPenalty
	}
	return load + tieBreakSpread*tieBreak(hash, t)
}

// tieBreak is a number from 0 to 1 that differs by flow and target.
func tieBreak(hash uint64, t *target) float64 {
	mixed := (hash ^ uint64(t.Number)) * 0x9e3779b97f4a7c15 // Fibonacci hashing.
	return float64(mixed>>40) / (1 << 24)
}
