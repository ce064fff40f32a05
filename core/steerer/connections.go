package steerer

import (
	"maps"
	"slices"
	"time"

	"cranberryspan.dev/core/limiter"
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/timekeeper"
)

const (
	// tightShare is the part of what a service's targets hold beyond which its flows are
	// counted: chance alone never fills a target whose siblings are two thirds empty.
	tightShare = 1.0 / 3
	// connectionsEvery is how often it is looked at how tight services are.
	connectionsEvery = reportEvery
	// calmShare is below which a service has plenty again.
	calmShare = 1.0 / 4
	// growthLooks is over how many looks flows are taken to have grown unheard: half of the
	// time that a host's news is old at the most.
	growthLooks = 2
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
	// brief ones. useMemory is what is left of what was asked for and placed at each look:
	// that of some seconds.
	manyBriefShare = 0.1
	useMemory      = 0.95
	// mostReserved is the part of a target's places that is kept back at most: a quarter.
	mostReserved = 4
	// connectionLoad times the flows over the places that are left is what a target's
	// connections add to its load, in requests a slot: at half of its places a target is
	// worth a tenth of a request more, at nine tenths a whole one, as much as another zone
	// costs.
	connectionLoad = 0.1
	// maxToldFlows bounds the targets of which one report tells, so that it fits a datagram.
	maxToldFlows = 120
	// zoneFlowsMemory is how long what another zone tells of its targets counts: one of its
	// hosts is heard each half second in a larger fleet.
	zoneFlowsMemory = 5 * time.Second
	// maxOpening is how long a flow that does not open holds a place: callers give up after
	// 1.4 s.
	maxOpening = 1500 * time.Millisecond
)

// connections is what a host knows of services whose targets hold a bounded number of
// flows.
type connections struct {
	limiter *limiter.Limiter
	// tight holds the services whose flows are counted and spread evenly.
	tight map[string]*tightService
	// deadline is when it is next looked at which are.
	deadline timekeeper.Instant
	// turn is where the next report begins among the targets that it tells of.
	turn int
	// uses tells what each route's callers do with a service, by service and route.
	uses map[string]map[string]*routeUse
	// away is what other zones tell of the flows at their targets.
	away map[zoneService]zoneFlows
	// heard is when another host last told of its flows.
	heard timekeeper.Instant
}

// routeUse is what a route's callers do with a service through this host.
type routeUse struct {
	priority int
	// held counts their flows that hold places.
	held int
	// asked counts the flows that they have asked for of late, opened those that opened, and
	// left those of them that left their places within briefSpan.
	asked  float64
	opened float64
	left   float64
}

// tightService is a service whose targets may run out of connections.
type tightService struct {
	name string
	// bound is how many flows each target holds.
	bound int
	// priorities are those of the routes whose flows last, the highest first, and brief
	// the routes whose flows do not.
	priorities []int
	brief      map[string]bool
	// manyBrief says that a good part of the callers open brief flows.
	manyBrief bool
	// flows is how many are open as far as known, places how many there may be.
	flows  int
	places int
	// home is what the targets of this host's zone hold, away the mean of what those of
	// other zones do, by word of these.
	home     limiter.Guess
	homeMean int
	// net is what this host had placed at the zone's targets at its last looks.
	net []int
}

// zoneFlows is what another zone tells of a service.
type zoneFlows struct {
	mean     int
	deadline timekeeper.Instant
}

type zoneService struct{ zone, service string }

func newConnections(self string, start timekeeper.Instant) connections {
	return connections{limiter: limiter.New(self, start, defaultIdle), tight: map[string]*tightService{}, uses: map[string]map[string]*routeUse{}, away: map[zoneService]zoneFlows{}}
}

// takePlace counts a flow at its target until releasePlace takes it back.
func (s *Steerer) takePlace(f *flow) {
	if f.place != nil {
		return
	}
	f.place = s.connections.limiter.Target(uint32(f.target.tag))
	if f.opened {
		f.place.Seen()
	} else {
		f.place.Placed(s.now)
	}
	s.use(f.target.Service, &f.route).held++
}

func (s *Steerer) releasePlace(f *flow) {
	if f.place == nil {
		return
	}
	f.place.Ended(s.now)
	f.place = nil
	use := s.use(f.target.Service, &f.route)
	use.held--
	if f.opened && s.now.Since(f.openedAt) < briefSpan {
		use.left++
	}
}

func (s *Steerer) use(service string, route *Route) *routeUse {
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

// boundFor is how many flows a target may have for one more of a route to be placed.
//
// What goes wrong if all flows are alike: those that last collect at the targets until there
// is room for nothing else, and callers with short flows, or with more urgent ones, find
// every place taken by flows that idle. Short flows may use the place that is kept for
// checks, since both leave it at once.
func (v *tightService) boundFor(route *Route) limiter.Bound {
	if v.brief[route.Name] {
		return limiter.Bound{Flows: v.bound, Brief: true}
	}
	rank := 0
	if v.manyBrief {
		rank++
	}
	for at := 0; at < len(v.priorities) && v.priorities[at] < route.Priority; at++ {
		rank++
	}
	step := int(reservedShare*float64(v.bound) + 0.5)
	return limiter.Bound{Flows: v.bound, Reserved: min(checkPlaces+rank*step, v.bound/mostReserved)}
}

// belief is what is known of the flows at a target of a tight service.
func (s *Steerer) belief(t *target, v *tightService) limiter.Belief {
	return s.connections.limiter.Belief(s.connections.limiter.Target(uint32(t.tag)), v.bound, s.guess(t, v), s.now)
}

// guess is what stands for the flows at a target of which nobody tells.
func (s *Steerer) guess(t *target, v *tightService) limiter.Guess {
	if t.AvailabilityZone == s.config.AvailabilityZone {
		return v.home
	}
	away := s.connections.away[zoneService{t.AvailabilityZone, v.name}]
	if away.deadline.Passed(s.now) {
		return limiter.Guess{}
	}
	return limiter.Guess{Least: away.mean}
}

// crowd is how the connections of a service's targets bear on a choice.
type crowd struct {
	service *tightService
	bound   limiter.Bound
}

// crowdOf returns what a choice has to know of connections; nil if the service has plenty.
func (s *Steerer) crowdOf(c *choice) *crowd {
	v := s.connections.tight[c.service]
	if v == nil {
		return nil
	}
	return &crowd{service: v, bound: v.boundFor(&c.route)}
}

// connectionLoad is what the flows at a target add to its load, in requests a slot. It
// reports whether the target has room for one more.
//
// What goes wrong without it: flows that wait for nothing weigh little, so a target that
// answers quickly collects them until it is full. It then says nothing to opening packets,
// and their callers wait for their own repeats while its siblings have room.
func (s *Steerer) connectionLoad(t *target, c *crowd) (float64, bool) {
	if c == nil {
		return 0, true
	}
	l, tag := s.connections.limiter, uint32(t.tag)
	if !l.Admits(l.Target(tag), tag, c.bound, s.guess(t, c.service), s.now) {
		return 0, false
	}
	flows := s.belief(t, c.service).Sum()
	return connectionLoad * float64(flows) / float64(c.bound.Flows-flows), true
}

// connectionsTick looks at which services are short of connections.
func (s *Steerer) connectionsTick() {
	c := &s.connections
	if s.settings == nil || !c.deadline.Passed(s.now) {
		return
	}
	c.deadline = s.now.Add(connectionsEvery)
	if s.settings.IdleTimeout > 0 {
		c.limiter.SetIdle(s.settings.IdleTimeout)
	}
	c.limiter.SetNear(s.nearHosts())
	c.limiter.Sweep(s.now)
	for _, service := range s.settings.Services {
		s.lookAtConnections(service)
	}
}

// nearHosts counts the other hosts of the own zone that live.
func (s *Steerer) nearHosts() int {
	count := 0
	silence := s.mentionSilence()
	for _, p := range s.peers.ordered() {
		if p.zone == s.config.AvailabilityZone && p.mentioned(s.now, silence) {
			count++
		}
	}
	return count
}

// lookAtConnections works out whether a service is short of connections, in this host's
// zone or as a whole.
func (s *Steerer) lookAtConnections(service Service) {
	known := s.connections.tight[service.Name]
	if service.MaxConnections <= 0 {
		delete(s.connections.tight, service.Name)
		return
	}
	v := tightService{name: service.Name, bound: service.MaxConnections}
	s.guessHome(&v, known)
	s.sortRoutes(&v)
	own, homeFlows, homePlaces := 0, 0, 0
	for _, t := range s.targets.byService[service.Name] {
		if s.gone(t) {
			continue
		}
		b := s.belief(t, &v)
		flows := b.Sum()
		own += b.Own
		v.flows += flows
		v.places += v.bound
		if t.AvailabilityZone == s.config.AvailabilityZone {
			homeFlows += flows
			homePlaces += v.bound
		}
	}
	// Callers are spread evenly over the hosts: what this one has stands for all.
	v.flows = max(v.flows, own*(1+s.hostsHeardOf()))
	v.homeMean = homeFlows * v.bound / max(homePlaces, 1)
	share := tightShare
	if known != nil {
		share = calmShare
	}
	tight := float64(v.flows) > share*float64(v.places) || float64(homeFlows) > share*float64(homePlaces)
	s.setTight(&v, tight, known != nil)
	if tight {
		s.noteFullTargets(&v)
	}
}

// guessHome works out what stands for the flows at the own zone's targets of which nobody
// tells.
func (s *Steerer) guessHome(v, before *tightService) {
	own, told, net, targets := 0, 0, 0, 0
	for _, t := range s.targets.byService[v.name] {
		if t.AvailabilityZone != s.config.AvailabilityZone || s.gone(t) {
			continue
		}
		one := s.connections.limiter.Target(uint32(t.tag))
		own += one.Own()
		told += one.Told()
		net += one.Net()
		targets++
	}
	if before != nil {
		v.net = before.net[max(len(before.net)-growthLooks, 0):]
	}
	v.net = append(slices.Clone(v.net), net)
	v.home = limiter.Guess{
		PerHost: s.connections.limiter.PerHost(own, told, targets),
		Growth:  float64(max(net-v.net[0], 0)) / float64(max(targets, 1)),
	}
}

func (s *Steerer) setTight(v *tightService, tight, was bool) {
	if !tight {
		delete(s.connections.tight, v.name)
	} else {
		s.connections.tight[v.name] = v
	}
	if tight != was {
		event := "connectionsPlenty"
		if tight {
			event = "connectionsTight"
		}
		s.log(event, field("service", v.name), field("flows", itoa(v.flows)), field("places", itoa(v.places)), field("bound", itoa(v.bound)))
	}
}

// noteFullTargets logs which targets have become full, or have room again.
func (s *Steerer) noteFullTargets(v *tightService) {
	for _, t := range s.targets.byService[v.name] {
		b := s.belief(t, v)
		room := v.bound - checkPlaces - b.Sum()
		switch {
		case !t.full && room <= 0:
			t.full = true
			s.logConnections("targetFull", t, v, b)
		case t.full && room > int(reservedShare*float64(v.bound)):
			t.full = false
			s.logConnections("targetHasRoom", t, v, b)
		}
	}
}

func (s *Steerer) logConnections(event string, t *target, v *tightService, b limiter.Belief, inputs ...Field) {
	fields := []Field{
		field("service", v.name), field("own", itoa(b.Own)), field("told", itoa(b.Told)), field("estimated", itoa(b.Estimated)),
		field("bound", itoa(v.bound)), field("toldAgeMillis", ageText(s.now, s.connections.heard)),
	}
	s.logTarget(event, t, append(fields, inputs...)...)
}

// sortRoutes tells the routes whose flows last from those whose flows are brief, by what
// this host's callers do.
func (s *Steerer) sortRoutes(v *tightService) {
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

// toldFlows is what a host is told of this host's flows, by target: one of the own zone of
// all, others of those in their zone. Nobody is told of services that have plenty.
func (s *Steerer) toldFlows(to *peer) map[uint32]uint16 {
	if len(s.connections.tight) == 0 || to.zone == "" {
		return nil
	}
	var tags []uint32
	for _, t := range s.targets.ordered() {
		near := to.zone == s.config.AvailabilityZone || to.zone == t.AvailabilityZone
		if near && s.connections.tight[t.Service] != nil && !s.gone(t) {
			tags = append(tags, uint32(t.tag))
		}
	}
	if len(tags) > maxToldFlows {
		c := &s.connections
		c.turn = (c.turn + maxToldFlows) % len(tags)
		tags = append(tags[c.turn:], tags[:c.turn]...)[:maxToldFlows]
	}
	flows := s.connections.limiter.Flows(tags)
	if len(flows) == 0 && len(tags) > 0 {
		flows[tags[0]] = 0 // A host that tells nothing is taken to hold what others do.
	}
	return flows
}

// addZoneFlows tells a host of another zone how many flows the targets of this zone have on
// average, of services that are short of connections.
//
// What goes wrong otherwise: a zone's targets are full, and its hosts send their callers to
// another zone's, of which they know only their own flows. One notices by targets that turn
// out to be full though believed to be empty.
func (s *Steerer) addZoneFlows(r *messenger.Report) {
	for _, name := range s.tightNames() {
		v := s.connections.tight[name]
		at := slices.IndexFunc(r.ZoneDemands, func(d messenger.ServiceDemand) bool { return d.Service == name })
		if at < 0 {
			at = len(r.ZoneDemands)
			r.ZoneDemands = append(r.ZoneDemands, messenger.ServiceDemand{Service: name})
		}
		r.ZoneDemands[at].Flows = uint32(v.homeMean)
	}
}

func (s *Steerer) tightNames() []string {
	var names []string
	for name := range s.connections.tight {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// takeZoneFlows takes in what another zone tells of the flows at its targets.
func (s *Steerer) takeZoneFlows(r *messenger.Report) {
	if r.AvailabilityZone == s.config.AvailabilityZone {
		return
	}
	for _, d := range r.ZoneDemands {
		if d.Flows > 0 {
			key := zoneService{r.AvailabilityZone, d.Service}
			s.connections.away[key] = zoneFlows{mean: int(d.Flows), deadline: s.now.Add(zoneFlowsMemory)}
		}
	}
}

// takeFlows takes in which flows another host has.
func (s *Steerer) takeFlows(p *peer, r *messenger.Report) {
	s.takeZoneFlows(r)
	if len(r.Flows) == 0 {
		return
	}
	flows := make(map[uint32]uint16, len(r.Flows))
	for tag, n := range r.Flows {
		if t, ok := s.told(p, tag); ok {
			flows[tag] = n
			if s.connections.tight[t.Service] == nil {
				s.connections.deadline = 0
			}
		}
	}
	s.connections.heard = s.now
	near := p.zone == s.config.AvailabilityZone
	s.connections.limiter.Take(p.name, limiter.Word{Incarnation: r.Incarnation, Near: near, Flows: flows}, s.now)
}
