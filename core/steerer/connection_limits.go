package steerer

import (
	"maps"
	"slices"
	"time"

	"cranberryspan.dev/core/limiter"
	"cranberryspan.dev/core/timekeeper"
)

const (
	// constrainedFraction is the fraction of its connection limit above which a service is
	// constrained: its flows are counted and balanced. Random placement alone never fills a
	// target while the other targets of its service are two thirds empty.
	constrainedFraction = 1.0 / 3
	// unconstrainedFraction is the fraction below which a service is no longer constrained.
	unconstrainedFraction = 1.0 / 4
	// connectionCheckInterval is the interval between checks of which services are
	// constrained.
	connectionCheckInterval = reportInterval
	// unconstrainedMargin is how many times the number of flows, extrapolated from this host's
	// own, has to fit into unconstrainedFraction for the targets of a service not to be
	// scanned. The margin allows for the flow counts that are rounded up at each target.
	unconstrainedMargin = 2
	// growthChecks is the number of checks over which unreported flows of other hosts are
	// assumed to grow: about half the maximum age of a host's report.
	growthChecks = 2
	// connectionWeight times the ratio of used to free connections is added to a target's
	// load, in requests per slot: a tenth of a request when half its connections are used,
	// and nearly a whole one, which is crossZonePenalty, at nine tenths.
	connectionWeight = 0.1
	// openingAbandonTimeout is how long a half-open flow counts towards the connection
	// limit: callers give up after 1.4 s.
	openingAbandonTimeout = 1500 * time.Millisecond
)

// connectionState holds what a host knows about services whose targets have a connection
// limit.
type connectionState struct {
	limiter *limiter.Limiter
	// constrained holds the constrained services by name. Their flows are counted and
	// balanced.
	constrained map[string]*constrainedService
	// deadline is the time of the next check of which services are constrained.
	deadline timekeeper.Instant
	// routeUsage holds the usage of each service by each route, by service and route name.
	routeUsage map[string]map[string]*routeUsage
	// unlimitedUsage receives the counts of services without a connection limit; it is
	// never read.
	unlimitedUsage routeUsage
	// redispatchQueue holds the opening packets that wait to be redispatched.
	redispatchQueue []flowTimer
	// redispatchesThisTick counts the redispatches that this host has tried since the last
	// tick.
	redispatchesThisTick int
	// remoteZoneFlows holds what other zones report about the flows at their targets.
	remoteZoneFlows map[zoneService]remoteZoneFlows
	// zoneReportCursor is the index of the first constrained service in the last report to
	// another zone. It rotates when not all of them fit.
	zoneReportCursor int
	// lastFlowReport is when another host last reported its flows.
	lastFlowReport timekeeper.Instant
}

// constrainedService is a service whose targets may run out of connections.
type constrainedService struct {
	name string
	// limit is how many flows each target can hold.
	limit int
	// longLivedPriorities holds the priorities of the routes with long-lived flows, the
	// highest priority first.
	longLivedPriorities []int
	// shortLivedRoutes holds the names of the routes with short-lived flows.
	shortLivedRoutes map[string]bool
	// reserveForShortLived reports whether enough of the requested flows are short-lived
	// for connections to be reserved for them.
	reserveForShortLived bool
	// flows is the estimated number of open flows.
	flows int
	// capacity is how many flows all targets together can hold.
	capacity int
	// localUnreported estimates the flows at local-zone targets that no host reports.
	localUnreported limiter.UnreportedEstimate
	// localMeanFlows is the mean number of flows per target in the local zone.
	localMeanFlows int
	// localNetHistory holds the sum of limiter.TargetFlows.NetOpened over the targets in
	// the local zone at each of the last checks, the latest last.
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

// estimateFlows estimates the flows at a target of a constrained service.
func (s *Steerer) estimateFlows(t *target, v *constrainedService) limiter.FlowEstimate {
	return s.connections.limiter.EstimateFlows(s.connections.limiter.Target(uint32(t.tag)), v.limit, s.unreportedFlows(t, v), s.now)
}

// unreportedFlows estimates the flows at a target that no host reports.
func (s *Steerer) unreportedFlows(t *target, v *constrainedService) limiter.UnreportedEstimate {
	if t.AvailabilityZone == s.config.AvailabilityZone {
		return v.localUnreported
	}
	remote := s.connections.remoteZoneFlows[zoneService{t.AvailabilityZone, v.name}]
	if remote.deadline.Passed(s.now) {
		return limiter.UnreportedEstimate{}
	}
	return limiter.UnreportedEstimate{Min: remote.mean}
}

// connectionConstraint is how the connection limit of a service restricts a placement.
type connectionConstraint struct {
	service *constrainedService
	limit   limiter.FlowLimit
}

// constraintFor returns the connection constraint of a placement; nil if the service is not
// constrained.
func (s *Steerer) constraintFor(c *placement) *connectionConstraint {
	v := s.connections.constrained[c.service]
	if v == nil {
		return nil
	}
	return &connectionConstraint{service: v, limit: v.limitFor(&c.route)}
}

// connectionLoad returns what the flows at a target add to its load, in requests per slot,
// and reports whether the target can hold one more.
//
// Without this, a target that responds quickly collects idle flows, which add little load,
// until it is full. It then does not respond to opening packets, and their callers wait for
// their own retransmission timeouts while other targets have connections available.
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

// connectionTick updates which services are constrained, and redispatches queued opening
// packets.
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

// sweepConnectionState removes services that no longer have a connection limit or are no
// longer published, and expired reports of other zones.
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
	maps.DeleteFunc(c.remoteZoneFlows, func(_ zoneService, reported remoteZoneFlows) bool { return reported.deadline.Passed(s.now) })
}

// updateConstraint updates whether a service is constrained, in the local zone or over all
// zones.
func (s *Steerer) updateConstraint(service Service) {
	if service.MaxConnections <= 0 {
		return // sweepConnectionState removes its state.
	}
	previous := s.connections.constrained[service.Name]
	v := constrainedService{name: service.Name, limit: service.MaxConnections}
	s.classifyRoutes(&v)
	if previous == nil && s.clearlyUnconstrained(service) {
		return
	}
	s.estimateLocalUnreported(&v, previous)
	local, localFlows, localCapacity := 0, 0, 0
	for _, t := range s.targets.candidates(service.Name) {
		if s.excludedAsMissing(t) {
			continue
		}
		estimate := s.estimateFlows(t, &v)
		flows := estimate.Total()
		local += estimate.Local
		v.flows += flows
		v.capacity += v.limit
		if t.AvailabilityZone == s.config.AvailabilityZone {
			localFlows += flows
			localCapacity += v.limit
		}
	}
	// Callers are spread evenly over the hosts, so each host has about as many flows as
	// this one.
	v.flows = max(v.flows, local*(1+s.alivePeers()))
	v.localMeanFlows = localFlows * v.limit / max(localCapacity, 1)
	threshold := constrainedFraction
	if previous != nil {
		threshold = unconstrainedFraction
	}
	constrained := float64(v.flows) > threshold*float64(v.capacity) || float64(localFlows) > threshold*float64(localCapacity)
	s.setConstrained(&v, constrained, previous != nil)
	if constrained {
		s.updateFullTargets(&v)
	}
}

// clearlyUnconstrained reports whether this host's own flows show that a service is far
// from its connection limit, so that its targets need not be scanned. It is true only while
// no host reports flows, so that the local ones are all that is known, and it leaves a
// margin for the rounding at each target.
//
// Without this, a host scans thousands of targets that are at a hundredth of their limit,
// several times a second.
func (s *Steerer) clearlyUnconstrained(service Service) bool {
	if s.connections.limiter.HasReports() || len(s.connections.remoteZoneFlows) > 0 {
		return false
	}
	local := 0
	for _, usage := range s.connections.routeUsage[service.Name] {
		local += usage.openFlows
	}
	all, sameZone := len(s.targets.byService[service.Name]), len(s.targets.localCandidates(service.Name))
	unconstrained := func(hosts, targets int) bool {
		return float64(unconstrainedMargin*local*hosts) <= unconstrainedFraction*float64(targets*service.MaxConnections)
	}
	return unconstrained(1+s.alivePeers(), all) && unconstrained(s.aliveInZone(), sameZone)
}

// estimateLocalUnreported estimates the flows at the targets of the local zone that no host
// reports. before is the state at the last check; nil if the service was not constrained
// then.
func (s *Steerer) estimateLocalUnreported(v, previous *constrainedService) {
	local, reported, net, targets, reporters := 0, 0, 0, 0, 0
	for _, t := range s.targets.candidates(v.name) {
		if t.AvailabilityZone != s.config.AvailabilityZone || s.excludedAsMissing(t) {
			continue
		}
		one := s.connections.limiter.Target(uint32(t.tag))
		local += one.Local()
		reported += one.Reported()
		net += one.NetOpened()
		reporters += s.connections.limiter.Reporters(one)
		targets++
	}
	if previous != nil {
		v.localNetHistory = previous.localNetHistory[max(len(previous.localNetHistory)-growthChecks, 0):]
	}
	v.localNetHistory = append(slices.Clone(v.localNetHistory), net)
	v.localUnreported = limiter.UnreportedEstimate{
		PerHost: s.connections.limiter.PerHost(local, reported, targets, reporters),
		Growth:  float64(max(net-v.localNetHistory[0], 0)) / float64(max(targets, 1)),
	}
}

// setConstrained records whether a service is constrained, and logs a change.
func (s *Steerer) setConstrained(v *constrainedService, constrained, wasConstrained bool) {
	if !constrained {
		delete(s.connections.constrained, v.name)
	} else {
		s.connections.constrained[v.name] = v
	}
	if constrained != wasConstrained {
		event := "connectionsPlenty"
		if constrained {
			event = "connectionsTight"
		}
		s.log(event, field("service", v.name), field("flows", formatInt(v.flows)), field("places", formatInt(v.capacity)), field("bound", formatInt(v.limit)))
	}
}

// updateFullTargets records and logs which targets have become full or are no longer full.
func (s *Steerer) updateFullTargets(v *constrainedService) {
	for _, t := range s.targets.candidates(v.name) {
		estimate := s.estimateFlows(t, v)
		available := v.limit - probeReserve - estimate.Total()
		switch {
		case !t.estimatedFull && available <= 0:
			t.estimatedFull = true
			s.logConnections("targetFull", t, v, estimate)
		case t.estimatedFull && available > int(priorityReserveFraction*float64(v.limit)):
			t.estimatedFull = false
			s.logConnections("targetHasRoom", t, v, estimate)
		}
	}
}

// logConnections logs an event of a target together with the estimate of its flows.
func (s *Steerer) logConnections(event string, t *target, v *constrainedService, estimate limiter.FlowEstimate, inputs ...Field) {
	fields := []Field{
		field("service", v.name), field("own", formatInt(estimate.Local)), field("told", formatInt(estimate.Reported)), field("estimated", formatInt(estimate.Estimated)),
		field("bound", formatInt(v.limit)), field("toldAgeMillis", formatAge(s.now, s.connections.lastFlowReport)),
	}
	s.logTarget(event, t, append(fields, inputs...)...)
}
