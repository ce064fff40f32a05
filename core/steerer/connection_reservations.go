package steerer

import (
	"maps"
	"slices"
	"time"

	"cranberryspan.dev/core/limiter"
)

const (
	// probeReserve is the number of connections left free at each target for probes and for
	// routes with short-lived flows.
	probeReserve = 1
	// priorityReserveFraction is the fraction of a target's connections that is reserved, at
	// each priority level, for flows of higher priority. It covers the flows that other
	// hosts open before their reports arrive.
	priorityReserveFraction = 0.05
	// shortLivedLimit is the lifetime, from the opening packet, up to which a flow counts
	// as short-lived: that of a request or two, and far less than the idle time of
	// long-lived flows.
	shortLivedLimit = 2 * time.Second
	// shortLivedFraction is the fraction of a route's flows above which all of them count as
	// short-lived.
	shortLivedFraction = 0.5
	// shortLivedReserveFraction is the fraction of short-lived flows among the requested ones
	// above which connections are reserved for them.
	shortLivedReserveFraction = 0.1
	// routeUsageDecay is the fraction of a route's counts that is kept from one check to
	// the next, so that they reflect the last seconds.
	routeUsageDecay = 0.95
	// maxReserveDivisor limits the reservations at a target to a quarter of its
	// connections, or to one for probes if it has fewer than four.
	maxReserveDivisor = 4
)

// routeUsage is the usage of a service by a route's callers through this host.
type routeUsage struct {
	priority int
	// openFlows counts their flows that hold connections.
	openFlows int
	// requestedFlows counts the flows requested recently. It decays with each check, as do
	// the next two counts.
	requestedFlows float64
	// establishedFlows counts the flows that were established.
	establishedFlows float64
	// shortLivedFlows counts the flows that were established and ended within
	// shortLivedLimit.
	shortLivedFlows float64
}

// countConnection counts a flow at its target until uncountConnection undoes it.
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

// uncountConnection undoes countConnection if the flow is counted.
func (s *Steerer) uncountConnection(f *flow) {
	if f.connectionCount == nil {
		return
	}
	switch {
	case !f.established:
		f.connectionCount.CancelOpened() // No connection becomes free: most likely the flow held none.
	case f.placedHere:
		f.connectionCount.RemoveOpened(s.now)
	default:
		f.connectionCount.RemoveDiscovered(s.now)
	}
	f.connectionCount = nil
	usage := s.usageOf(f.target.Service, &f.route)
	usage.openFlows = max(usage.openFlows-1, 0) // Flows may be older than the connection limit, if it has just been set.
	if f.established && s.now.Since(f.openingSentAt) < shortLivedLimit {
		usage.shortLivedFlows++
	}
}

// usageOf returns the usage of a service by a route. Nothing is kept for services without a
// connection limit: it would not be used, and would accumulate as routes come and go.
func (s *Steerer) usageOf(service string, route *Route) *routeUsage {
	if s.settings.service(service).MaxConnections <= 0 {
		return &s.connections.unlimitedUsage
	}
	routes := s.connections.routeUsage[service]
	if routes == nil {
		routes = map[string]*routeUsage{}
		s.connections.routeUsage[service] = routes
	}
	usage := routes[route.Name]
	if usage == nil {
		usage = &routeUsage{}
		routes[route.Name] = usage
	}
	usage.priority = route.Priority
	return usage
}

// limitFor returns the connection limit that applies to the flows of a route.
//
// Without different limits, long-lived flows accumulate at the targets until all
// connections are used, and callers with short-lived flows, or with a higher priority, find
// every connection held by an idle flow. Short-lived flows may use the connection that is
// reserved for probes, since both release it soon.
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
	step := int(priorityReserveFraction*float64(v.limit) + 0.5)
	return limiter.FlowLimit{MaxFlows: v.limit, Reserved: min(probeReserve+rank*step, max(v.limit/maxReserveDivisor, probeReserve), v.limit-1)}
}

// classifyRoutes separates the routes with long-lived flows from those with short-lived
// flows, by the flows of this host's callers.
func (s *Steerer) classifyRoutes(v *constrainedService) {
	v.shortLivedRoutes = map[string]bool{}
	requested, shortLived := 0.0, 0.0
	usages := s.connections.routeUsage[v.name]
	for _, route := range slices.Sorted(maps.Keys(usages)) {
		usage := usages[route]
		if usage.unused() {
			delete(usages, route)
			continue
		}
		requested += usage.requestedFlows
		switch {
		case usage.shortLived():
			v.shortLivedRoutes[route] = true
			shortLived += usage.requestedFlows
		case !slices.Contains(v.longLivedPriorities, usage.priority):
			v.longLivedPriorities = append(v.longLivedPriorities, usage.priority)
		}
		usage.requestedFlows *= routeUsageDecay
		usage.establishedFlows *= routeUsageDecay
		usage.shortLivedFlows *= routeUsageDecay
	}
	slices.Sort(v.longLivedPriorities)
	v.reserveForShortLived = shortLived > shortLivedReserveFraction*requested
}

// shortLived reports whether most of a route's flows end soon. The result does not change
// while none is established, since both counts decay alike.
func (u *routeUsage) shortLived() bool {
	return u.shortLivedFlows > shortLivedFraction*u.establishedFlows
}

// unused reports whether a route's callers have not used a service recently.
func (u *routeUsage) unused() bool { return u.openFlows == 0 && u.requestedFlows < 1 }
