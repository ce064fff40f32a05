package steerer

import (
	"maps"
	"slices"
	"time"

	"cranberryspan.dev/core/limiter"
	"cranberryspan.dev/core/timekeeper"
)

const (
	// constrainedShare is the part of what a service's targets hold beyond which its flows are
	// counted: chance alone never fills a target whose siblings are two thirds empty.
	constrainedShare = 1.0 / 3
	// unconstrainedShare is the part below which a service has plenty again.
	unconstrainedShare = 1.0 / 4
	// connectionCheckInterval is the time between two looks at which services are tight.
	connectionCheckInterval = reportInterval
	// unconstrainedMargin times this host's share of the flows has to be below unconstrainedShare for a
	// service not to be looked at closely: flows are rounded up at each target.
	unconstrainedMargin = 2
	// growthChecks is over how many looks flows are taken to have grown without word of it
	// from others: about half of the greatest age of a host's news.
	growthChecks = 2
	// connectionWeight times the flows over the places that are left is what a target's
	// connections add to its load, in requests a slot: a tenth of a request when half of its
	// places are taken, and at nine tenths a whole one, as much as another zone costs.
	connectionWeight = 0.1
	// openingAbandonTimeout is how long a flow that does not open holds a place: callers give up after
	// 1.4 s.
	openingAbandonTimeout = 1500 * time.Millisecond
)

// connectionState is what a host knows of services whose targets hold a bounded number of
// flows.
type connectionState struct {
	limiter *limiter.Limiter
	// constrained holds the services whose flows are counted and spread evenly.
	constrained map[string]*constrainedService
	// deadline is when it is next worked out which services are tight.
	deadline timekeeper.Instant
	// routeUsage tells what each route's callers do with a service, by service and route.
	routeUsage map[string]map[string]*routeUsage
	// unlimitedUsage takes the counts of services without a bound, which nobody reads.
	unlimitedUsage routeUsage
	// redispatchQueue are the openings to be sent on.
	redispatchQueue []flowTimer
	// redispatchesThisTick counts the openings that this host has tried to send on since the last tick.
	redispatchesThisTick int
	// remoteZoneFlows is what other zones tell of the flows at their targets.
	remoteZoneFlows map[zoneService]remoteZoneFlows
	// zoneReportCursor is where the next report begins among the services of which it tells zones.
	zoneReportCursor int
	// lastFlowReport is when another host last told of its flows.
	lastFlowReport timekeeper.Instant
}

// constrainedService is a service whose targets may run out of connections.
type constrainedService struct {
	name string
	// limit is how many flows each target holds.
	limit int
	// longLivedPriorities are those of the routes whose flows last, the highest first.
	longLivedPriorities []int
	// shortLivedRoutes holds the names of the routes whose flows do not last.
	shortLivedRoutes map[string]bool
	// reserveForShortLived says that a good part of the callers open brief flows.
	reserveForShortLived bool
	// flows is how many are open as far as known.
	flows int
	// capacity is how many flows all targets hold together.
	capacity int
	// localUnreported stands for flows at this zone's targets of which nobody tells.
	localUnreported limiter.UnreportedEstimate
	// localMeanFlows is how many flows each of this zone's targets has on average.
	localMeanFlows int
	// localNetHistory is the sum of limiter.Target.Net over this zone's targets at each of the last
	// looks, the latest last.
	localNetHistory []int
}

func newConnectionState(self string, start timekeeper.Instant) connectionState {
	return connectionState{
		limiter:         limiter.New(self, start, defaultIdleTimeout),
		constrained:     map[string]*constrainedService{},
		routeUsage:      map[string]map[string]*routeUsage{},
		remoteZoneFlows: map[zoneService]remoteZoneFlows{},
	}
}

// estimateFlows is what is known of the flows at a target of a tight service.
func (s *Steerer) estimateFlows(t *target, v *constrainedService) limiter.FlowEstimate {
	return s.connections.limiter.EstimateFlows(s.connections.limiter.Target(uint32(t.tag)), v.limit, s.unreportedFlows(t, v), s.now)
}

// unreportedFlows is what stands for the flows at a target of which nobody tells.
func (s *Steerer) unreportedFlows(t *target, v *constrainedService) limiter.UnreportedEstimate {
	if t.AvailabilityZone == s.config.AvailabilityZone {
		return v.localUnreported
	}
	away := s.connections.remoteZoneFlows[zoneService{t.AvailabilityZone, v.name}]
	if away.deadline.Passed(s.now) {
		return limiter.UnreportedEstimate{}
	}
	return limiter.UnreportedEstimate{Min: away.mean}
}

// connectionConstraint is how the connections of a service's targets bear on a choice.
type connectionConstraint struct {
	service *constrainedService
	limit   limiter.FlowLimit
}

// constraintFor returns what a choice has to know of connections; nil if the service has plenty.
func (s *Steerer) constraintFor(c *placement) *connectionConstraint {
	v := s.connections.constrained[c.service]
	if v == nil {
		return nil
	}
	return &connectionConstraint{service: v, limit: v.limitFor(&c.route)}
}

// connectionLoad is what the flows at a target add to its load, in requests a slot. It
// reports whether the target has room for one more.
//
// What goes wrong without it: flows that wait for nothing weigh little, so a target that
// answers quickly collects them until it is full. It then says nothing to opening packets,
// and their callers wait for their own repeats while its siblings have room.
func (s *Steerer) connectionLoad(t *target, c *connectionConstraint) (float64, bool) {
	if c == nil {
		return 0, true
	}
	l, tag := s.connections.limiter, uint32(t.tag)
	flows, admits := l.Evaluate(l.Target(tag), tag, c.limit, s.unreportedFlows(t, c.service), s.now)
	if !admits {
		return 0, false
	}
	return connectionWeight * float64(flows) / float64(c.limit.MaxFlows-flows), true
}

// connectionTick works out which services are short of connections, and sends on openings
// that wait for it.
func (s *Steerer) connectionTick() {
	c := &s.connections
	c.redispatchesThisTick = 0
	s.redispatchQueued()
	if s.settings == nil || !c.deadline.Passed(s.now) {
		return
	}
	c.deadline = s.now.Add(connectionCheckInterval)
	if s.settings.IdleTimeout > 0 {
		c.limiter.SetIdleTimeout(s.settings.IdleTimeout)
	}
	c.limiter.SetLivePeers(s.aliveInZone() - 1)
	c.limiter.Sweep(s.now)
	for _, service := range s.settings.Services {
		s.updateConstraint(service)
	}
	s.sweepConnectionState()
}

// sweepConnectionState forgets services that have no bound any more, or are no longer published,
// and old word of other zones.
func (s *Steerer) sweepConnectionState() {
	c := &s.connections
	for _, names := range [][]string{s.constrainedServiceNames(), slices.Sorted(maps.Keys(c.routeUsage))} {
		for _, name := range names {
			if s.settings.service(name).MaxConnections <= 0 {
				delete(c.constrained, name)
				delete(c.routeUsage, name)
			}
		}
	}
	maps.DeleteFunc(c.remoteZoneFlows, func(_ zoneService, told remoteZoneFlows) bool { return told.deadline.Passed(s.now) })
}

// updateConstraint works out whether a service is short of connections, in this host's
// zone or as a whole.
func (s *Steerer) updateConstraint(service Service) {
	if service.MaxConnections <= 0 {
		return // What is known of it is swept; see sweepConnectionState.
	}
	known := s.connections.constrained[service.Name]
	v := constrainedService{name: service.Name, limit: service.MaxConnections}
	s.classifyRoutes(&v)
	if known == nil && s.clearlyUnconstrained(service) {
		return
	}
	s.estimateLocalUnreported(&v, known)
	own, localFlows, localCapacity := 0, 0, 0
	for _, t := range s.targets.candidates(service.Name) {
		if s.excludedAsMissing(t) {
			continue
		}
		b := s.estimateFlows(t, &v)
		flows := b.Total()
		own += b.Local
		v.flows += flows
		v.capacity += v.limit
		if t.AvailabilityZone == s.config.AvailabilityZone {
			localFlows += flows
			localCapacity += v.limit
		}
	}
	// Callers are spread evenly over the hosts: what this one has stands for all.
	v.flows = max(v.flows, own*(1+s.alivePeers()))
	v.localMeanFlows = localFlows * v.limit / max(localCapacity, 1)
	threshold := constrainedShare
	if known != nil {
		threshold = unconstrainedShare
	}
	tight := float64(v.flows) > threshold*float64(v.capacity) || float64(localFlows) > threshold*float64(localCapacity)
	s.setConstrained(&v, tight, known != nil)
	if tight {
		s.updateFullTargets(&v)
	}
}

// clearlyUnconstrained reports whether this host's own flows show that a service is far from
// short of connections. It says so only while no host tells of flows, so that they are all
// that is known, and leaves a margin for what a look at each target would add by rounding.
//
// What goes wrong without it: a host looks at thousands of targets several times a second
// that hold a hundredth of the flows that they may.
func (s *Steerer) clearlyUnconstrained(service Service) bool {
	if s.connections.limiter.HasReports() || len(s.connections.remoteZoneFlows) > 0 {
		return false
	}
	own := 0
	for _, use := range s.connections.routeUsage[service.Name] {
		own += use.openFlows
	}
	all, sameZone := len(s.targets.byService[service.Name]), len(s.targets.localCandidates(service.Name))
	unconstrained := func(hosts, targets int) bool {
		return float64(unconstrainedMargin*own*hosts) <= unconstrainedShare*float64(targets*service.MaxConnections)
	}
	return unconstrained(1+s.alivePeers(), all) && unconstrained(s.aliveInZone(), sameZone)
}

// estimateLocalUnreported works out what stands for the flows at the own zone's targets of which nobody
// tells. before is what was known of the service at the last look; nil if it was not tight.
func (s *Steerer) estimateLocalUnreported(v, before *constrainedService) {
	own, reported, net, targets, reporters := 0, 0, 0, 0, 0
	for _, t := range s.targets.candidates(v.name) {
		if t.AvailabilityZone != s.config.AvailabilityZone || s.excludedAsMissing(t) {
			continue
		}
		one := s.connections.limiter.Target(uint32(t.tag))
		own += one.Local()
		reported += one.Reported()
		net += one.NetOpened()
		reporters += s.connections.limiter.Reporters(one)
		targets++
	}
	if before != nil {
		v.localNetHistory = before.localNetHistory[max(len(before.localNetHistory)-growthChecks, 0):]
	}
	v.localNetHistory = append(slices.Clone(v.localNetHistory), net)
	v.localUnreported = limiter.UnreportedEstimate{
		PerHost: s.connections.limiter.PerHost(own, reported, targets, reporters),
		Growth:  float64(max(net-v.localNetHistory[0], 0)) / float64(max(targets, 1)),
	}
}

// setConstrained keeps whether a service is short of connections, and logs a change.
func (s *Steerer) setConstrained(v *constrainedService, tight, was bool) {
	if !tight {
		delete(s.connections.constrained, v.name)
	} else {
		s.connections.constrained[v.name] = v
	}
	if tight != was {
		event := "connectionsPlenty"
		if tight {
			event = "connectionsTight"
		}
		s.log(event, field("service", v.name), field("flows", formatInt(v.flows)), field("places", formatInt(v.capacity)), field("bound", formatInt(v.limit)))
	}
}

// updateFullTargets keeps and logs which targets have become full, or have room again.
func (s *Steerer) updateFullTargets(v *constrainedService) {
	for _, t := range s.targets.candidates(v.name) {
		b := s.estimateFlows(t, v)
		room := v.limit - probeReserve - b.Total()
		switch {
		case !t.believedFull && room <= 0:
			t.believedFull = true
			s.logConnections("targetFull", t, v, b)
		case t.believedFull && room > int(priorityReserveShare*float64(v.limit)):
			t.believedFull = false
			s.logConnections("targetHasRoom", t, v, b)
		}
	}
}

// logConnections logs an event of a target with what its flows are believed to be.
func (s *Steerer) logConnections(event string, t *target, v *constrainedService, b limiter.FlowEstimate, inputs ...Field) {
	fields := []Field{
		field("service", v.name), field("own", formatInt(b.Local)), field("told", formatInt(b.Reported)), field("estimated", formatInt(b.Estimated)),
		field("bound", formatInt(v.limit)), field("toldAgeMillis", formatAge(s.now, s.connections.lastFlowReport)),
	}
	s.logTarget(event, t, append(fields, inputs...)...)
}
