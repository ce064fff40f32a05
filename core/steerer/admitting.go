package steerer

import (
	"fmt"
	"slices"
	"time"

	"cranberryspan.dev/core/admitter"
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/timekeeper"
)

const (
	// assessEvery is how old the view of a service's room may be. Reports change it about
	// as often.
	assessEvery = 50 * time.Millisecond
	// lineShare is the part of a host's window that may wait while the fleet has room.
	lineShare = 0.25
	// maxDemands bounds the services of a report.
	maxDemands = 8
	// zoneHostMemory is how long a report of any host of another zone shows that the
	// zone's targets can be reached.
	zoneHostMemory = 4 * time.Second
)

// room is what a host knows of the room of a service.
type room struct {
	admitter *admitter.Admitter
	// assessDeadline is when the view is next to be made anew.
	assessDeadline timekeeper.Instant
	// opening is the usual time until a flow opens: what answers take besides work.
	opening usualTime
	// work holds the usual time of work, by route: the median, with what requests wait on
	// calm days, is close to the mean of the work alone.
	work map[string]*usualTime
}

// short reports whether a service is asked for more than it has room for.
func (s *Steerer) short(service string) bool {
	v, ok := s.services[service]
	return ok && v.room.admitter.Short()
}

// refusal is why a new flow doesn't get in.
type refusal uint8

const (
	notRefused refusal = iota
	// refusedNoRoom flows have no part in the room that all hosts share.
	refusedNoRoom
	// refusedOverload flows would wait behind others at this host.
	refusedOverload
)

// refuses decides whether the request of a new flow has to be refused.
//
// What goes wrong if all get in: their callers wait for answers that can't be in time, and
// take the places of those that can. Nothing has run, so who doesn't get in is told at
// once. A host that hears no other goes by what waits at itself.
func (s *Steerer) refuses(route Route, service string) refusal {
	v := s.service(service)
	s.assess(v)
	a := v.room.admitter
	a.AskedNew(route.Priority, s.work(route, v), s.now)
	fits := a.Known() && a.Share(route.Priority) >= 1
	switch {
	case !route.Kind.repeatable():
		if a.Known() && a.Crowded() && !a.Admit(route.Priority) {
			return refusedNoRoom
		}
	case a.Known() && a.Share(route.Priority) <= 0:
		return refusedNoRoom // Higher priorities need all of it.
	case fits && s.wouldBeLate(v), !fits && s.wouldWait(v):
		return refusedOverload
	}
	return notRefused
}

// wouldWait reports whether the request of a new flow would wait behind others that wait
// at this host already. Open flows can't be refused; with fewer of them less has to wait.
func (s *Steerer) wouldWait(v *service) bool { return v.load.Pressed() && v.paced > 0 }

// wouldBeLate reports whether so many requests wait at this host that another would wait
// for a good part of the time that answers take. While the fleet has room, a few that wait are the unevenness
// of the moment, and no ground to refuse anybody.
func (s *Steerer) wouldBeLate(v *service) bool {
	return v.load.Pressed() && float64(v.paced) >= lineShare*v.load.Window()
}

// refuseForRoom refuses a new flow for which there is no room, and says what is believed
// of it.
func (s *Steerer) refuseForRoom(p *Packet, route Route, service string, why refusal) {
	v := s.service(service)
	a := v.room.admitter
	if why == refusedOverload {
		s.counts.add(RefusedOverload)
		s.refuse(p, "overload", field("route", route.Name), field("service", service), field("waiting", itoa(v.paced)))
		return
	}
	s.counts.add(RefusedNoRoom)
	s.refuse(p, "noRoom", field("route", route.Name), field("service", service), field("priority", itoa(route.Priority)),
		field("zone", s.config.AvailabilityZone), field("room", slotsText(a.Room())), field("demand", slotsText(a.Demand().Total())),
		field("share", fmt.Sprintf("%.2f", a.Share(route.Priority))), field("demandAgeMillis", millis(a.Age(s.now))))
}

func slotsText(slots float64) string { return fmt.Sprintf("%.1f", slots) }

// noteAsked takes in that a request begins in an open flow. The first request of a flow
// was counted when the flow opened.
func (s *Steerer) noteAsked(f *flow) {
	if f.askedFor {
		f.askedFor = false
		return
	}
	v := s.service(f.target.Service)
	priority := f.route.Priority
	if !f.route.Kind.repeatable() {
		priority = 0 // It can't be held here either.
	}
	v.room.admitter.AskedOpen(priority, s.work(f.route, v), s.now)
	s.assess(v)
}

// noteOpeningTime takes in how long a flow took to open.
func (s *Steerer) noteOpeningTime(f *flow) {
	if !f.copied {
		s.service(f.target.Service).room.opening.add(s.now.Since(f.openedAt), false)
	}
}

// work is for how long a request of a route keeps a slot busy on average; 0 if unknown.
// What an answer takes on its way is what a flow takes to open.
func (s *Steerer) work(route Route, v *service) time.Duration {
	w, ok := v.room.work[route.Name]
	if !ok || !w.known() || route.LatencyObjective <= w.median {
		return 0
	}
	return w.median
}

// learnRoom learns from an answer how long requests wait at a service.
func (s *Steerer) learnRoom(f *flow, took time.Duration) {
	u, ok := s.usual[f.route.Name]
	if !ok || !s.pause.trustDeadline.Passed(s.now) {
		return
	}
	v := s.service(f.target.Service)
	a := v.room.admitter
	if !u.tooQuick(took) {
		v.room.learnWork(f.route.Name, took)
	}
	spare := f.route.LatencyObjective - u.median
	switch {
	case !u.known():
	case spare <= 0:
	case u.tooQuick(took):
		if a.Short() {
			a.Answered(1) // A full target has turned the request away.
		}
	default:
		a.Answered(float64(took-u.median) / float64(spare))
	}
}

// learnWork learns from an answer how long work takes. While many slots are taken, answers
// tell more of waiting than of work.
func (r *room) learnWork(route string, took time.Duration) {
	w, ok := r.work[route]
	if !ok {
		w = &usualTime{}
		r.work[route] = w
	}
	w.add(max(took-r.opening.median, shortestUsual), r.admitter.Tells() || r.admitter.Waits())
}

// assess brings the view of a service's room up to date.
func (s *Steerer) assess(v *service) {
	if !v.room.assessDeadline.Passed(s.now) {
		return
	}
	v.room.assessDeadline = s.now.Add(assessEvery)
	a := v.room.admitter
	reach := s.look()
	view := admitter.View{Room: s.roomOf(v.name), ZoneHosts: 1 + reach.living, InTouch: reach.heard}
	if !a.Assess(s.now, view) {
		return
	}
	event := "serviceFits"
	if a.Short() {
		event = "serviceShort"
	}
	s.log(event, field("service", v.name), field("room", slotsText(a.Room())), field("slots", slotsText(view.Room)),
		field("demand", slotsText(a.Demand().Total())), field("wait", fmt.Sprintf("%.2f", a.Wait())), field("zoneHosts", itoa(view.ZoneHosts)))
}

// assessTick brings the views of services up to date that may run short; those of others
// follow what is asked and told.
func (s *Steerer) assessTick() {
	for _, name := range s.askedServices() {
		if v := s.services[name]; v.room.admitter.Tells() || v.room.admitter.Short() {
			s.assess(v)
		}
	}
}

// askedServices lists the services of which anything is known, so that equal events give
// equal effects.
func (s *Steerer) askedServices() []string {
	names := make([]string, 0, len(s.services))
	for name := range s.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// roomOf adds up the slots of a service's targets that live, as far as this host knows, in
// slots of usual speed.
func (s *Steerer) roomOf(service string) float64 {
	sum := 0.0
	views := s.views(&choice{service: service})
	reach := s.look()
	for _, t := range s.targets.byService[service] {
		zone := &views[t.zone]
		lost := t.health.unreachable() || t.health.suspect || t.toldSilent(s.now)
		if t.Draining || s.gone(t) || lost || zone.evacuated || zone.doubted || reach.unheard(t.AvailabilityZone) {
			continue
		}
		speed := 1 / t.slownessBesideSiblings()
		if s.cold(t) {
			speed /= warmingLoad
		}
		sum += float64(max(t.Slots, 1)) * speed
	}
	return sum
}

// reach is which hosts and zones are heard from. All services share it: looking at each
// host for each of them would cost most of what admission costs.
type reach struct {
	deadline timekeeper.Instant
	// living counts the other hosts of the own zone that live as far as anybody says, heard
	// says that one of them has reported of late.
	living int
	heard  bool
	// known are the other zones of which a host has ever been heard, fresh those of which
	// one has been of late.
	known map[string]bool
	fresh map[string]bool
}

// unheard reports whether another zone has hosts and none has been heard of late: what is
// asked there is not known, and its targets may be out of reach.
func (r *reach) unheard(zone string) bool { return r.known[zone] && !r.fresh[zone] }

// look brings up to date which hosts and zones are heard from.
func (s *Steerer) look() *reach {
	r := &s.reach
	if !r.deadline.Passed(s.now) {
		return r
	}
	*r = reach{deadline: s.now.Add(assessEvery), known: map[string]bool{}, fresh: map[string]bool{}}
	silence := s.mentionSilence()
	for _, p := range s.peers.ordered() {
		switch {
		case p.zone != s.config.AvailabilityZone:
			r.known[p.zone] = r.known[p.zone] || p.heard != 0
			r.fresh[p.zone] = r.fresh[p.zone] || (p.heard != 0 && s.now.Since(p.heard) < zoneHostMemory)
		case p.mentioned(s.now, silence):
			r.living++
			r.heard = r.heard || p.hears(s.now)
		}
	}
	return r
}

// addRoom adds to a snapshot how full services are.
func (s *Steerer) addRoom(snapshot *Snapshot) {
	fullest := 0.0
	for _, v := range s.services {
		a := v.room.admitter
		if s.short(v.name) {
			snapshot.Short++
		}
		demand, room := a.Demand().Total(), a.Room()
		if demand > fullest*room {
			fullest = demand / max(room, 1)
			snapshot.Demand, snapshot.Room = demand, room
		}
	}
}

// addDemands writes into a report what callers ask of the services that may run short.
func (s *Steerer) addDemands(r *messenger.Report, to *peer) {
	for _, name := range s.askedServices() {
		a := s.services[name].room.admitter
		if !a.Tells() {
			continue
		}
		if to.zone == s.config.AvailabilityZone && len(r.Demands) < maxDemands {
			r.Demands = append(r.Demands, toldDemand(name, a.Own(s.now)))
		}
		if to.zone != s.config.AvailabilityZone && len(r.ZoneDemands) < maxDemands {
			r.ZoneDemands = append(r.ZoneDemands, toldDemand(name, a.Zone(s.now)))
		}
	}
}

// openLevel marks what open flows ask: their priority p is told as -1-p.
func openLevel(level int) int { return -1 - level }

// toldDemand writes a demand for a report.
func toldDemand(service string, demand admitter.Demand) messenger.ServiceDemand {
	told := messenger.ServiceDemand{Service: service}
	add := func(priority int, slots float64) {
		if slots >= 0.001 {
			told.Asked = append(told.Asked, messenger.PriorityDemand{Priority: priority, MilliSlots: uint32(slots * 1000)})
		}
	}
	for level := range admitter.Levels {
		add(level, demand.New[level])
		add(openLevel(level), demand.Open[level])
	}
	return told
}

// demandOf reads a demand from a report.
func demandOf(told messenger.ServiceDemand) admitter.Demand {
	var demand admitter.Demand
	for _, asked := range told.Asked {
		slots := float64(asked.MilliSlots) / 1000
		if asked.Priority < 0 {
			demand.Open[min(openLevel(asked.Priority), admitter.Levels-1)] += slots
		} else {
			demand.New[min(asked.Priority, admitter.Levels-1)] += slots
		}
	}
	return demand
}

// takeDemands takes in what a report tells of demand. Services that nobody lists are left
// out, so that no word makes this host keep them.
func (s *Steerer) takeDemands(r *messenger.Report, from *peer) {
	near := from.zone == s.config.AvailabilityZone
	all := r.ZoneDemands
	if near {
		all = r.Demands
	}
	for _, told := range all {
		if len(s.targets.byService[told.Service]) == 0 {
			continue
		}
		v := s.service(told.Service)
		if near {
			v.room.admitter.TakeHost(from.name, demandOf(told), s.now)
		} else {
			v.room.admitter.TakeZone(from.zone, demandOf(told), s.now)
		}
		s.assess(v)
	}
}
