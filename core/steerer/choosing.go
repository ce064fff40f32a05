package steerer

import (
	"slices"

	"cranberryspan.dev/core/estimator"
)

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
	// maxSlowLoad bounds what is added for a target that takes longer than usual, in requests
	// a slot: less than doubtedLoad, since a slow target answers.
	maxSlowLoad = 8
	// failsWorkLoad is added to the load of a target that fails its work, in requests a slot:
	// it gets flows only when its siblings are busy, so a false alarm costs little.
	failsWorkLoad = 2.0
	// tieSpread orders targets of equal load by the flow's hash, so that hosts
	// which do not know of each other's choice make different ones. It is less
	// than the smallest difference in load.
	tieSpread = 0.01
	// doubtedLoad is added for a target of a zone that seems to have fallen silent: more
	// than another zone costs and than a target that fails its work, so that the next
	// zone is asked, and less than what is known of single targets.
	doubtedLoad = 10
	// suspectLoad puts a target that may be silent behind all that are not.
	suspectLoad = 1000
	// unreachableLoad puts a target that did not answer behind the merely suspect
	// ones. It is still taken if there is no other: a caller whose flow does not
	// open loses nothing over one that is refused.
	unreachableLoad = 10 * suspectLoad
)

// choice is what a new flow, or a copy of its opening packet, asks for.
type choice struct {
	route   Route
	service string
	hash    uint64
	// avoid is a target that is passed over unless there is no other; nil if none is.
	avoid *target
}

// zoneView is what a choice has to know of a zone.
type zoneView struct {
	// region says that the route may run there.
	region bool
	// evacuated zones get nothing; those that are a last resort only what nobody else
	// could take.
	evacuated  bool
	lastResort bool
	doubted    bool
	// slowness is the binary logarithm of the time that the service takes there, as a
	// multiple of the usual.
	slowness float64
}

// views looks at all zones, since a choice looks at many targets of each.
func (s *Steerer) views(c *choice) []zoneView {
	s.zoneViews = s.zoneViews[:0]
	obeys := len(s.evacuator.Zones()) > 0 && !s.cutOff()
	outOfTouch := s.outOfTouch()
	nowhere := obeys && s.evacuatesAll()
	for _, zone := range s.targets.zones {
		evacuated := obeys && s.evacuator.Evacuates(zone)
		lastResort := evacuated && (outOfTouch || (nowhere && s.evacuator.PossiblyStale(zone, s.now)))
		s.zoneViews = append(s.zoneViews, zoneView{
			region:     len(c.route.Regions) == 0 || slices.Contains(c.route.Regions, s.config.Regions[zone]),
			evacuated:  evacuated && !lastResort,
			lastResort: lastResort,
			doubted:    s.diagnoser.ZoneSuspect(zone, s.now),
			slowness:   s.zoneExcess(c.service, zone),
		})
	}
	return s.zoneViews
}

// load is what a zone adds to the load of its targets, in requests a slot.
func (v *zoneView) load() float64 {
	load := 0.0
	if v.doubted {
		load += doubtedLoad
	}
	if v.lastResort {
		load += evacuatedLoad
	}
	return load
}

// choose picks the target of a service for a new flow; nil if there is none.
func (s *Steerer) choose(c choice) *target {
	var best *target
	var bestLoad float64
	views := s.views(&c)
	crowd, full := s.crowdOf(&c), false
	if t := s.trial(c, views, crowd); t != nil {
		return t
	}
	if t := s.chooseSampled(&c, views, crowd); t != nil {
		return t
	}
	for _, t := range s.targets.choices(c.service) {
		if best != nil && bestLoad < otherZoneLoad && t.AvailabilityZone != s.config.AvailabilityZone {
			break // Only targets of other zones follow, each with more load than that.
		}
		if s.excluded(t, views) != notExcluded || !s.admits(t) {
			continue
		}
		connections, room := s.connectionLoad(t, crowd)
		if !room {
			full = true
			continue
		}
		load := connections + s.load(t, &views[t.zone], c.hash) + views[t.zone].load()
		if t == c.avoid {
			load += unreachableLoad
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
	// excludedLeaving targets are draining, or no longer listed.
	excludedLeaving
	// excludedRegion targets are in a region that the route does not allow.
	excludedRegion
	// excludedZone targets are in an evacuated zone.
	excludedZone
)

// excluded says why a target may get no new flows.
func (s *Steerer) excluded(t *target, views []zoneView) exclusion {
	view := &views[t.zone]
	switch {
	case t.Draining || s.gone(t) || s.drainedBeforeRestore(t):
		return excludedLeaving
	case !view.region:
		return excludedRegion
	case view.evacuated:
		return excludedZone
	}
	return notExcluded
}

// refuseWithoutTarget refuses a flow for which there is no target, and says why.
func (s *Steerer) refuseWithoutTarget(p *Packet, c choice) {
	var counts [excludedZone + 1]int
	views := s.views(&c)
	for _, t := range s.targets.choices(c.service) {
		counts[s.excluded(t, views)]++
	}
	reason := "noTarget"
	switch {
	case s.anyFull(&c, views):
		s.refuseFull(p, &c)
		return
	case counts[notExcluded] > 0:
		reason = "coldTargets"
	case counts[excludedZone] > 0:
		reason = "zoneEvacuated"
	case counts[excludedRegion] > 0:
		reason = "outsideRegions"
	}
	s.refuse(p, reason, field("service", c.service), field("leaving", itoa(counts[excludedLeaving])),
		field("outsideRegions", itoa(counts[excludedRegion])), field("evacuated", itoa(counts[excludedZone])), field("cold", itoa(counts[notExcluded])))
}

// load estimates how long a new request would take at a target: what others there make it
// wait for, in requests a slot, and by how much the target is slower than usual, in the
// same unit.
//
// A flow that has not opened yet counts as a request. What goes wrong otherwise: a
// target that has crashed resets each new flow at once, so it has the least load of
// all, and callers are sent there again and again until it is found out.
func (s *Steerer) load(t *target, view *zoneView, hash uint64) float64 {
	idle := max(t.flows-t.busy-t.opening, 0)
	load := (float64(t.underWay()) + openFlowLoad*float64(idle)) / float64(max(t.Slots, 1))
	if s.full() {
		load = 0 // New flows would not be counted, and all go to the least busy.
	}
	if s.cold(t) {
		load = (load + 1/float64(max(t.Slots, 1))) * warmingLoad
	}
	if slowness := view.slowness + t.pace.LogSlowdown(); slowness > 0 {
		load += min((estimator.Slowdown(slowness)-1)*(1+load), maxSlowLoad)
	}
	if s.failsWork(t) {
		load += failsWorkLoad
	}
	if t.AvailabilityZone != s.config.AvailabilityZone {
		load += otherZoneLoad
	}
	switch {
	case t.health.unreachable():
		load += unreachableLoad
	case t.health.suspect || t.toldSilent(s.now) || s.vanishedOverRestore(t):
		load += suspectLoad
	}
	return load + tieSpread*tie(hash, t)
}

// tie is a number from 0 to 1 that differs by flow and target.
func tie(hash uint64, t *target) float64 {
	mixed := (hash ^ uint64(t.Number)) * 0x9e3779b97f4a7c15 // Fibonacci hashing.
	return float64(mixed>>40) / (1 << 24)
}
