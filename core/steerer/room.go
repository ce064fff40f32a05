package steerer

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"cranberryspan.dev/core/admitter"
	"cranberryspan.dev/core/timekeeper"
)

const (
	// assessEvery is how old the view of a service's room may be. Reports change it about
	// as often.
	assessEvery = 50 * time.Millisecond
	// zoneHostMemory is how long a report of any host of another zone shows that the
	// zone's targets can be reached.
	zoneHostMemory = 4 * time.Second
)

// room is what a host knows of the room of a service.
type room struct {
	admitter *admitter.Admitter
	// assessDeadline is when the view has to be made anew.
	assessDeadline timekeeper.Instant
	// opening is the usual time until a flow opens: what answers take besides work.
	opening usualTime
	// work holds the usual time of work, by route: the median of times that contain what
	// requests wait on calm days, which is close to the mean of the work alone. Steerer.usual
	// learns from the same answers and differs: it holds all that callers wait for, with the
	// time on the way, and goes on learning where more than half of the room is asked for,
	// since lateness is measured against it. A time of work that took in the waits of a crowd
	// would make the crowd look larger still.
	work map[string]*usualTime
	// anyWork is that time over all routes whose callers wait for longer than work takes.
	anyWork usualTime
}

// noteOpeningTime takes in how long a flow took to open.
func (s *Steerer) noteOpeningTime(f *flow) {
	if !f.copied {
		s.service(f.target.Service).room.opening.add(s.now.Since(f.openedAt), false)
	}
}

// work is how long a request of a route keeps a slot busy on average; 0 if unknown.
// What an answer takes on its way is what a flow takes to open.
//
// What goes wrong if a route of which little is known counts as nothing: its callers take
// room that higher priorities are told is theirs. So it counts as the service's other
// requests do.
func (s *Steerer) work(route Route, v *service) time.Duration {
	w, ok := v.room.work[route.Name]
	switch {
	case ok && w.known() && route.LatencyObjective > w.median:
		return w.median
	case v.room.anyWork.known():
		return v.room.anyWork.median
	}
	return 0
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
		v.room.learnWork(&f.route, took)
	}
	spare := f.route.LatencyObjective - u.median
	switch {
	case !u.known():
	case spare <= 0:
	case u.tooQuick(took):
		if a.Overloaded() {
			a.RecordWait(1) // A full target has turned the request away.
		}
	default:
		a.RecordWait(float64(took-u.median) / float64(spare))
	}
}

// learnWork learns from an answer how long work takes. While many slots are taken, answers
// tell more of waiting than of work.
func (r *room) learnWork(route *Route, took time.Duration) {
	w, ok := r.work[route.Name]
	if !ok {
		w = &usualTime{}
		r.work[route.Name] = w
	}
	work := max(took-r.opening.median, shortestUsual)
	doubtful := r.admitter.ShouldReport() || r.admitter.Queueing()
	w.add(work, doubtful)
	if route.LatencyObjective > w.median {
		r.anyWork.add(work, doubtful)
	}
}

// forgetWork drops what is known of the work of routes that settings don't list.
func (s *Steerer) forgetWork(settings *Settings) {
	for _, v := range s.services {
		maps.DeleteFunc(v.room.work, func(name string, _ *usualTime) bool {
			_, listed := settings.named(name)
			return !listed
		})
	}
}

// assess brings the view of a service's room up to date.
func (s *Steerer) assess(v *service) {
	if !v.room.assessDeadline.Passed(s.now) {
		return
	}
	v.room.assessDeadline = s.now.Add(assessEvery)
	a := v.room.admitter
	reach := s.currentReach()
	view := admitter.ServiceState{Capacity: s.roomOf(v.name), ZoneHosts: 1 + reach.living, HasPeerReports: reach.inTouch()}
	if !a.Assess(s.now, view) {
		return
	}
	event := "serviceFits"
	if a.Overloaded() {
		event = "serviceShort"
	}
	s.log(event, field("service", v.name), field("room", slotsText(a.Capacity())), field("slots", slotsText(view.Capacity)),
		field("demand", slotsText(a.Demand().Total())), field("wait", fmt.Sprintf("%.2f", a.MeanWait())), field("zoneHosts", itoa(view.ZoneHosts)))
}

// assessTick brings the views of services up to date that may run short; those of others
// follow what is asked and told.
func (s *Steerer) assessTick() {
	for _, name := range s.askedServices() {
		if v := s.services[name]; v.room.admitter.ShouldReport() || v.room.admitter.Overloaded() {
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

// roomOf is the slots of a service's targets that live, as far as this host knows, in slots
// of usual speed.
func (s *Steerer) roomOf(service string) float64 {
	var room microSlots
	views := s.views(&choice{service: service})
	reach := s.currentReach()
	for zone, slots := range s.countSlots(service).byZone {
		view := &views[zone]
		if !view.evacuated && !view.doubted && !reach.unheard(s.targets.zones[zone]) {
			room += slots
		}
	}
	return float64(room) / float64(slot)
}

// reach is which hosts and zones are heard from, as of some moment before deadline. All
// services share it: looking at each host for each of them would cost most of what admission
// costs.
type reach struct {
	deadline timekeeper.Instant
	// living counts the other hosts of the own zone that live as far as anybody says, heard
	// says that one of them has reported of late, neighbours that any are known, living or
	// not.
	living     int
	heard      bool
	neighbours bool
	// known are the other zones of which a host has been heard within peerMemory, fresh those
	// of which one has been of late.
	known map[string]bool
	fresh map[string]bool
}

// unheard reports whether another zone has hosts and none has been heard of late: what is
// asked there is not known, and its targets may be out of reach.
func (r *reach) unheard(zone string) bool { return r.known[zone] && !r.fresh[zone] }

// inTouch reports whether this host hears enough of others to share room with them. The only
// host of a zone sees all that the zone's callers ask; what it needs is word of other zones.
// One that has neighbours and hears none of them may be cut off, and knows only a part.
func (r *reach) inTouch() bool { return r.heard || (!r.neighbours && len(r.fresh) > 0) }

// currentReach brings up to date which hosts and zones are heard from.
func (s *Steerer) currentReach() *reach {
	r := &s.reach
	if !r.deadline.Passed(s.now) {
		return r
	}
	own := s.config.AvailabilityZone
	*r = reach{deadline: s.now.Add(assessEvery), known: map[string]bool{}, fresh: map[string]bool{}}
	r.neighbours = len(s.peers.zones.of(own)) > 0
	r.living = s.countLiving().near
	for _, p := range s.peers.recent {
		r.heard = r.heard || (p.zone == own && p.hears(s.now))
	}
	for zone, heard := range s.peers.zones.heard {
		silent := s.now.Since(heard)
		if zone == own || silent > peerMemory {
			continue
		}
		r.known[zone] = true
		if silent < zoneHostMemory {
			r.fresh[zone] = true
		}
	}
	return r
}

// addRoom adds to a snapshot how full services are.
func (s *Steerer) addRoom(snapshot *Snapshot) {
	fullest := 0.0
	for _, v := range s.services {
		a := v.room.admitter
		if a.Overloaded() {
			snapshot.Short++
		}
		demand, room := a.Demand().Total(), a.Capacity()
		if demand > fullest*room {
			fullest = demand / max(room, 1)
			snapshot.Demand, snapshot.Room = demand, room
		}
	}
}
