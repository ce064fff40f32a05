package steerer

import (
	"maps"
	"slices"
	"time"

	"cranberryspan.dev/core/limiter"
)

const (
	// checkPlaces are left free at each target, for liveness checks and for routes whose flows
	// end soon.
	checkPlaces = 1
	// reservedShare of a target's places is kept from each class of flows for those of
	// higher priority: as many as come while a host's news is on its way.
	reservedShare = 0.05
	// briefSpan is within what time of its opening packet a brief flow leaves its place: that
	// of a request or two, and far less than flows idle.
	briefSpan = 2 * time.Second
	// briefShare is the part of a route's flows that have to be brief for all to count so.
	briefShare = 0.5
	// manyBriefShare is the part of the flows asked for beyond which places are reserved for
	// brief ones.
	manyBriefShare = 0.1
	// useMemory is the part of a route's counts that is kept from one look to the next, so
	// that they tell of the last seconds.
	useMemory = 0.95
	// reservedDivisor bounds what is kept back: a quarter of the places, or one for checks
	// where there are fewer than four.
	reservedDivisor = 4
)

// routeUse is what a route's callers do with a service through this host.
type routeUse struct {
	priority int
	// held counts their flows that hold places.
	held int
	// asked counts the flows that they have asked for of late; it fades with each look, as
	// the next two do.
	asked float64
	// opened counts those that opened.
	opened float64
	// left counts those that opened and left their places within briefSpan.
	left float64
}

// takePlace counts a flow at its target until releasePlace takes it back.
func (s *Steerer) takePlace(f *flow) {
	if f.place != nil {
		return
	}
	f.place = s.connections.limiter.Target(uint32(f.target.tag))
	f.placed = !f.opened
	if f.placed {
		f.place.AddOpened(s.now)
	} else {
		f.place.AddDiscovered()
	}
	s.use(f.target.Service, &f.route).held++
}

// releasePlace takes back what takePlace counted, if it has.
func (s *Steerer) releasePlace(f *flow) {
	if f.place == nil {
		return
	}
	switch {
	case !f.opened:
		f.place.CancelOpened() // No place comes free: most likely it had none.
	case f.placed:
		f.place.RemoveOpened(s.now)
	default:
		f.place.RemoveDiscovered(s.now)
	}
	f.place = nil
	use := s.use(f.target.Service, &f.route)
	use.held = max(use.held-1, 0) // Flows are older than the bound, if it has just been set.
	if f.opened && s.now.Since(f.openedAt) < briefSpan {
		use.left++
	}
}

// use is what a route's callers do with a service. Nothing is kept for services without a
// bound: nobody asks, and routes come and go.
func (s *Steerer) use(service string, route *Route) *routeUse {
	if s.settings.service(service).MaxConnections <= 0 {
		return &s.connections.unbounded
	}
	routes := s.connections.uses[service]
	if routes == nil {
		routes = map[string]*routeUse{}
		s.connections.uses[service] = routes
	}
	use := routes[route.Name]
	if use == nil {
		use = &routeUse{}
		routes[route.Name] = use
	}
	use.priority = route.Priority
	return use
}

// boundFor is what a target of the service holds, as a flow of a route asks for it.
//
// What goes wrong if all flows are alike: those that last collect at the targets until there
// is room for nothing else, and callers with short flows, or with more urgent ones, find
// every place taken by flows that idle. Short flows may use the place that is kept for
// checks, since both leave it at once.
func (v *tightService) boundFor(route *Route) limiter.FlowLimit {
	if v.brief[route.Name] {
		return limiter.FlowLimit{MaxFlows: v.bound, ShortLived: true}
	}
	rank := 0
	if v.manyBrief {
		rank++
	}
	for at := 0; at < len(v.priorities) && v.priorities[at] < route.Priority; at++ {
		rank++
	}
	step := int(reservedShare*float64(v.bound) + 0.5)
	return limiter.FlowLimit{MaxFlows: v.bound, Reserved: min(checkPlaces+rank*step, max(v.bound/reservedDivisor, checkPlaces), v.bound-1)}
}

// classifyRoutes tells the routes whose flows last from those whose flows are brief, by what
// this host's callers do.
func (s *Steerer) classifyRoutes(v *tightService) {
	v.brief = map[string]bool{}
	asked, brief := 0.0, 0.0
	uses := s.connections.uses[v.name]
	for _, route := range slices.Sorted(maps.Keys(uses)) {
		use := uses[route]
		if use.idle() {
			delete(uses, route)
			continue
		}
		asked += use.asked
		switch {
		case use.brief():
			v.brief[route] = true
			brief += use.asked
		case !slices.Contains(v.priorities, use.priority):
			v.priorities = append(v.priorities, use.priority)
		}
		use.asked *= useMemory
		use.opened *= useMemory
		use.left *= useMemory
	}
	slices.Sort(v.priorities)
	v.manyBrief = brief > manyBriefShare*asked
}

// brief reports whether most of a route's flows leave their places soon. It stays true while
// none opens: what they did fades alike.
func (u *routeUse) brief() bool { return u.left > briefShare*u.opened }

// idle reports whether a route's callers have not used a service of late.
func (u *routeUse) idle() bool { return u.held == 0 && u.asked < 1 }
