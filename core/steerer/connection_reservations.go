package steerer

import (
	"maps"
	"slices"
	"time"

	"cranberryspan.dev/core/limiter"
)

const (
	// probeReserve are left free at each target, for liveness checks and for routes whose flows
	// end soon.
	probeReserve = 1
	// priorityReserveShare of a target's places is kept from each class of flows for those of
	// higher priority: as many as come while a host's news is on its way.
	priorityReserveShare = 0.05
	// shortLivedLimit is within what time of its opening packet a brief flow leaves its place: that
	// of a request or two, and far less than flows idle.
	shortLivedLimit = 2 * time.Second
	// shortLivedShare is the part of a route's flows that have to be brief for all to count so.
	shortLivedShare = 0.5
	// shortLivedReserveShare is the part of the flows asked for beyond which places are reserved for
	// brief ones.
	shortLivedReserveShare = 0.1
	// routeUsageDecay is the part of a route's counts that is kept from one look to the next, so
	// that they tell of the last seconds.
	routeUsageDecay = 0.95
	// maxReserveDivisor bounds what is kept back: a quarter of the places, or one for checks
	// where there are fewer than four.
	maxReserveDivisor = 4
)

// routeUsage is what a route's callers do with a service through this host.
type routeUsage struct {
	priority int
	// openFlows counts their flows that hold places.
	openFlows int
	// requestedFlows counts the flows that they have asked for of late; it fades with each look, as
	// the next two do.
	requestedFlows float64
	// establishedFlows counts those that opened.
	establishedFlows float64
	// shortLivedFlows counts those that opened and left their places within shortLivedLimit.
	shortLivedFlows float64
}

// countConnection counts a flow at its target until uncountConnection takes it back.
func (s *Steerer) countConnection(f *flow) {
	if f.connectionCount != nil {
		return
	}
	f.connectionCount = s.connections.limiter.Target(uint32(f.target.tag))
	f.placedHere = !f.established
	if f.placedHere {
		f.connectionCount.AddOpened(s.now)
	} else {
		f.connectionCount.AddDiscovered()
	}
	s.usageOf(f.target.Service, &f.route).openFlows++
}

// uncountConnection takes back what countConnection counted, if it has.
func (s *Steerer) uncountConnection(f *flow) {
	if f.connectionCount == nil {
		return
	}
	switch {
	case !f.established:
		f.connectionCount.CancelOpened() // No place comes free: most likely it had none.
	case f.placedHere:
		f.connectionCount.RemoveOpened(s.now)
	default:
		f.connectionCount.RemoveDiscovered(s.now)
	}
	f.connectionCount = nil
	use := s.usageOf(f.target.Service, &f.route)
	use.openFlows = max(use.openFlows-1, 0) // Flows are older than the bound, if it has just been set.
	if f.established && s.now.Since(f.openingSentAt) < shortLivedLimit {
		use.shortLivedFlows++
	}
}

// usageOf is what a route's callers do with a service. Nothing is kept for services without a
// bound: nobody asks, and routes come and go.
func (s *Steerer) usageOf(service string, route *Route) *routeUsage {
	if s.settings.service(service).MaxConnections <= 0 {
		return &s.connections.unlimitedUsage
	}
	routes := s.connections.routeUsage[service]
	if routes == nil {
		routes = map[string]*routeUsage{}
		s.connections.routeUsage[service] = routes
	}
	use := routes[route.Name]
	if use == nil {
		use = &routeUsage{}
		routes[route.Name] = use
	}
	use.priority = route.Priority
	return use
}

// limitFor is what a target of the service holds, as a flow of a route asks for it.
//
// What goes wrong if all flows are alike: those that last collect at the targets until there
// is room for nothing else, and callers with short flows, or with more urgent ones, find
// every place taken by flows that idle. Short flows may use the place that is kept for
// checks, since both leave it at once.
func (v *constrainedService) limitFor(route *Route) limiter.FlowLimit {
	if v.shortLivedRoutes[route.Name] {
		return limiter.FlowLimit{MaxFlows: v.limit, ShortLived: true}
	}
	rank := 0
	if v.reserveForShortLived {
		rank++
	}
	for at := 0; at < len(v.longLivedPriorities) && v.longLivedPriorities[at] < route.Priority; at++ {
		rank++
	}
	step := int(priorityReserveShare*float64(v.limit) + 0.5)
	return limiter.FlowLimit{MaxFlows: v.limit, Reserved: min(probeReserve+rank*step, max(v.limit/maxReserveDivisor, probeReserve), v.limit-1)}
}

// classifyRoutes tells the routes whose flows last from those whose flows are brief, by what
// this host's callers do.
func (s *Steerer) classifyRoutes(v *constrainedService) {
	v.shortLivedRoutes = map[string]bool{}
	asked, brief := 0.0, 0.0
	uses := s.connections.routeUsage[v.name]
	for _, route := range slices.Sorted(maps.Keys(uses)) {
		use := uses[route]
		if use.unused() {
			delete(uses, route)
			continue
		}
		asked += use.requestedFlows
		switch {
		case use.shortLived():
			v.shortLivedRoutes[route] = true
			brief += use.requestedFlows
		case !slices.Contains(v.longLivedPriorities, use.priority):
			v.longLivedPriorities = append(v.longLivedPriorities, use.priority)
		}
		use.requestedFlows *= routeUsageDecay
		use.establishedFlows *= routeUsageDecay
		use.shortLivedFlows *= routeUsageDecay
	}
	slices.Sort(v.longLivedPriorities)
	v.reserveForShortLived = brief > shortLivedReserveShare*asked
}

// shortLived reports whether most of a route's flows leave their places soon. It stays true while
// none opens: what they did fades alike.
func (u *routeUsage) shortLived() bool { return u.shortLivedFlows > shortLivedShare*u.establishedFlows }

// unused reports whether a route's callers have not used a service of late.
func (u *routeUsage) unused() bool { return u.openFlows == 0 && u.requestedFlows < 1 }
