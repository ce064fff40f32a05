package steerer

import (
	"maps"
	"slices"
	"time"

	"cranberryspan.dev/core/limiter"
	"cranberryspan.dev/core/timekeeper"
)

const (
	// tightShare is the part of what a service's targets hold beyond which its flows are
	// counted: chance alone never fills a target whose siblings are two thirds empty.
	tightShare = 1.0 / 3
	// calmShare is the part below which a service has plenty again.
	calmShare = 1.0 / 4
	// connectionsEvery is the time between two looks at which services are tight.
	connectionsEvery = reportEvery
	// plentyMargin times this host's share of the flows has to be below calmShare for a
	// service not to be looked at closely: flows are rounded up at each target.
	plentyMargin = 2
	// growthLooks is over how many looks flows are taken to have grown without word of it
	// from others: about half of the greatest age of a host's news.
	growthLooks = 2
	// connectionWeight times the flows over the places that are left is what a target's
	// connections add to its load, in requests a slot: a tenth of a request when half of its
	// places are taken, and at nine tenths a whole one, as much as another zone costs.
	connectionWeight = 0.1
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
	// deadline is when it is next worked out which services are tight.
	deadline timekeeper.Instant
	// uses tells what each route's callers do with a service, by service and route.
	uses map[string]map[string]*routeUse
	// unbounded takes the counts of services without a bound, which nobody reads.
	unbounded routeUse
	// toSendOn are the openings to be sent on.
	toSendOn []flowCheck
	// sendsOn counts the openings that this host has tried to send on since the last tick.
	sendsOn int
	// away is what other zones tell of the flows at their targets.
	away map[zoneService]zoneFlows
	// zoneTurn is where the next report begins among the services of which it tells zones.
	zoneTurn int
	// heard is when another host last told of its flows.
	heard timekeeper.Instant
}

// tightService is a service whose targets may run out of connections.
type tightService struct {
	name string
	// bound is how many flows each target holds.
	bound int
	// priorities are those of the routes whose flows last, the highest first.
	priorities []int
	// brief holds the names of the routes whose flows do not last.
	brief map[string]bool
	// manyBrief says that a good part of the callers open brief flows.
	manyBrief bool
	// flows is how many are open as far as known.
	flows int
	// places is how many flows all targets hold together.
	places int
	// home stands for flows at this zone's targets of which nobody tells.
	home limiter.UnreportedEstimate
	// homeMean is how many flows each of this zone's targets has on average.
	homeMean int
	// net is the sum of limiter.Target.Net over this zone's targets at each of the last
	// looks, the latest last.
	net []int
}

func newConnections(self string, start timekeeper.Instant) connections {
	return connections{
		limiter: limiter.New(self, start, defaultIdle),
		tight:   map[string]*tightService{},
		uses:    map[string]map[string]*routeUse{},
		away:    map[zoneService]zoneFlows{},
	}
}

// belief is what is known of the flows at a target of a tight service.
func (s *Steerer) belief(t *target, v *tightService) limiter.FlowEstimate {
	return s.connections.limiter.EstimateFlows(s.connections.limiter.Target(uint32(t.tag)), v.bound, s.guess(t, v), s.now)
}

// guess is what stands for the flows at a target of which nobody tells.
func (s *Steerer) guess(t *target, v *tightService) limiter.UnreportedEstimate {
	if t.AvailabilityZone == s.config.AvailabilityZone {
		return v.home
	}
	away := s.connections.away[zoneService{t.AvailabilityZone, v.name}]
	if away.deadline.Passed(s.now) {
		return limiter.UnreportedEstimate{}
	}
	return limiter.UnreportedEstimate{Min: away.mean}
}

// crowd is how the connections of a service's targets bear on a choice.
type crowd struct {
	service *tightService
	bound   limiter.FlowLimit
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
	flows, admits := l.Evaluate(l.Target(tag), tag, c.bound, s.guess(t, c.service), s.now)
	if !admits {
		return 0, false
	}
	return connectionWeight * float64(flows) / float64(c.bound.MaxFlows-flows), true
}

// connectionsTick works out which services are short of connections, and sends on openings
// that wait for it.
func (s *Steerer) connectionsTick() {
	c := &s.connections
	c.sendsOn = 0
	s.sendOnWaiting()
	if s.settings == nil || !c.deadline.Passed(s.now) {
		return
	}
	c.deadline = s.now.Add(connectionsEvery)
	if s.settings.IdleTimeout > 0 {
		c.limiter.SetIdleTimeout(s.settings.IdleTimeout)
	}
	c.limiter.SetLivePeers(s.hostsInZone() - 1)
	c.limiter.Sweep(s.now)
	for _, service := range s.settings.Services {
		s.lookAtConnections(service)
	}
	s.sweepConnections()
}

// sweepConnections forgets services that have no bound any more, or are no longer published,
// and old word of other zones.
func (s *Steerer) sweepConnections() {
	c := &s.connections
	for _, names := range [][]string{s.tightNames(), slices.Sorted(maps.Keys(c.uses))} {
		for _, name := range names {
			if s.settings.service(name).MaxConnections <= 0 {
				delete(c.tight, name)
				delete(c.uses, name)
			}
		}
	}
	maps.DeleteFunc(c.away, func(_ zoneService, told zoneFlows) bool { return told.deadline.Passed(s.now) })
}

// lookAtConnections works out whether a service is short of connections, in this host's
// zone or as a whole.
func (s *Steerer) lookAtConnections(service Service) {
	if service.MaxConnections <= 0 {
		return // What is known of it is swept; see sweepConnections.
	}
	known := s.connections.tight[service.Name]
	v := tightService{name: service.Name, bound: service.MaxConnections}
	s.classifyRoutes(&v)
	if known == nil && s.plentyOfConnections(service) {
		return
	}
	s.guessHome(&v, known)
	own, homeFlows, homePlaces := 0, 0, 0
	for _, t := range s.targets.choices(service.Name) {
		if s.gone(t) {
			continue
		}
		b := s.belief(t, &v)
		flows := b.Total()
		own += b.Local
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

// plentyOfConnections reports whether this host's own flows show that a service is far from
// short of connections. It says so only while no host tells of flows, so that they are all
// that is known, and leaves a margin for what a look at each target would add by rounding.
//
// What goes wrong without it: a host looks at thousands of targets several times a second
// that hold a hundredth of the flows that they may.
func (s *Steerer) plentyOfConnections(service Service) bool {
	if s.connections.limiter.HasReports() || len(s.connections.away) > 0 {
		return false
	}
	own := 0
	for _, use := range s.connections.uses[service.Name] {
		own += use.held
	}
	all, near := len(s.targets.byService[service.Name]), len(s.targets.nearChoices(service.Name))
	few := func(hosts, targets int) bool {
		return float64(plentyMargin*own*hosts) <= calmShare*float64(targets*service.MaxConnections)
	}
	return few(1+s.hostsHeardOf(), all) && few(s.hostsInZone(), near)
}

// guessHome works out what stands for the flows at the own zone's targets of which nobody
// tells. before is what was known of the service at the last look; nil if it was not tight.
func (s *Steerer) guessHome(v, before *tightService) {
	own, told, net, targets, tellers := 0, 0, 0, 0, 0
	for _, t := range s.targets.choices(v.name) {
		if t.AvailabilityZone != s.config.AvailabilityZone || s.gone(t) {
			continue
		}
		one := s.connections.limiter.Target(uint32(t.tag))
		own += one.Local()
		told += one.Reported()
		net += one.NetOpened()
		tellers += s.connections.limiter.Reporters(one)
		targets++
	}
	if before != nil {
		v.net = before.net[max(len(before.net)-growthLooks, 0):]
	}
	v.net = append(slices.Clone(v.net), net)
	v.home = limiter.UnreportedEstimate{
		PerHost: s.connections.limiter.PerHost(own, told, targets, tellers),
		Growth:  float64(max(net-v.net[0], 0)) / float64(max(targets, 1)),
	}
}

// setTight keeps whether a service is short of connections, and logs a change.
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

// noteFullTargets keeps and logs which targets have become full, or have room again.
func (s *Steerer) noteFullTargets(v *tightService) {
	for _, t := range s.targets.choices(v.name) {
		b := s.belief(t, v)
		room := v.bound - checkPlaces - b.Total()
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

// logConnections logs an event of a target with what its flows are believed to be.
func (s *Steerer) logConnections(event string, t *target, v *tightService, b limiter.FlowEstimate, inputs ...Field) {
	fields := []Field{
		field("service", v.name), field("own", itoa(b.Local)), field("told", itoa(b.Reported)), field("estimated", itoa(b.Estimated)),
		field("bound", itoa(v.bound)), field("toldAgeMillis", ageText(s.now, s.connections.heard)),
	}
	s.logTarget(event, t, append(fields, inputs...)...)
}
