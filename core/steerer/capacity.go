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
	// capacityRefreshInterval is how old the view of a service's room may be. Reports change it about
	// as often.
	capacityRefreshInterval = 50 * time.Millisecond
	// zoneReportTTL is how long a report of any host of another zone shows that the
	// zone's targets can be reached.
	zoneReportTTL = 4 * time.Second
)

// capacityState is what a host knows of the room of a service.
type capacityState struct {
	admitter *admitter.Admitter
	// refreshDeadline is when the view has to be made anew.
	refreshDeadline timekeeper.Instant
	// handshakeTime is the usual time until a flow opens: what answers take besides work.
	handshakeTime medianEstimator
	// processing holds the usual time of work, by route: the median of times that contain what
	// requests wait on calm days, which is close to the mean of the work alone. Steerer.usual
	// learns from the same answers and differs: it holds all that callers wait for, with the
	// time on the way, and goes on learning where more than half of the room is asked for,
	// since lateness is measured against it. A time of work that took in the waits of a crowd
	// would make the crowd look larger still.
	processingTimes map[string]*medianEstimator
	// overallProcessingTime is that time over all routes whose callers wait for longer than work takes.
	overallProcessingTime medianEstimator
}

// recordHandshakeTime takes in how long a flow took to open.
func (s *Steerer) recordHandshakeTime(f *flow) {
	if !f.openingResent {
		s.service(f.target.Service).room.handshakeTime.add(s.now.Since(f.openingSentAt), false)
	}
}

// processing is how long a request of a route keeps a slot busy on average; 0 if unknown.
// What an answer takes on its way is what a flow takes to open.
//
// What goes wrong if a route of which little is known counts as nothing: its callers take
// room that higher priorities are told is theirs. So it counts as the service's other
// requests do.
func (s *Steerer) processingTime(route Route, v *service) time.Duration {
	w, ok := v.room.processingTimes[route.Name]
	switch {
	case ok && w.known() && route.LatencyObjective > w.median:
		return w.median
	case v.room.overallProcessingTime.known():
		return v.room.overallProcessingTime.median
	}
	return 0
}

// recordQueueingDelay learns from an answer how long requests wait at a service.
func (s *Steerer) recordQueueingDelay(f *flow, took time.Duration) {
	u, ok := s.baselines[f.route.Name]
	if !ok || !s.pause.graceDeadline.Passed(s.now) {
		return
	}
	v := s.service(f.target.Service)
	a := v.room.admitter
	if !u.implausiblyFast(took) {
		v.room.recordProcessingTime(&f.route, took)
	}
	spare := f.route.LatencyObjective - u.median
	switch {
	case !u.known():
	case spare <= 0:
	case u.implausiblyFast(took):
		if a.Overloaded() {
			a.RecordWait(1) // A full target has turned the request away.
		}
	default:
		a.RecordWait(float64(took-u.median) / float64(spare))
	}
}

// recordProcessingTime learns from an answer how long work takes. While many slots are taken, answers
// tell more of waiting than of work.
func (r *capacityState) recordProcessingTime(route *Route, took time.Duration) {
	w, ok := r.processingTimes[route.Name]
	if !ok {
		w = &medianEstimator{}
		r.processingTimes[route.Name] = w
	}
	processing := max(took-r.handshakeTime.median, minMedian)
	doubtful := r.admitter.ShouldReport() || r.admitter.Queueing()
	w.add(processing, doubtful)
	if route.LatencyObjective > w.median {
		r.overallProcessingTime.add(processing, doubtful)
	}
}

// forgetProcessingTimes drops what is known of the work of routes that settings don't list.
func (s *Steerer) forgetProcessingTimes(settings *Settings) {
	for _, v := range s.services {
		maps.DeleteFunc(v.room.processingTimes, func(name string, _ *medianEstimator) bool {
			_, listed := settings.routeByName(name)
			return !listed
		})
	}
}

// refreshCapacity brings the view of a service's room up to date.
func (s *Steerer) refreshCapacity(v *service) {
	if !v.room.refreshDeadline.Passed(s.now) {
		return
	}
	v.room.refreshDeadline = s.now.Add(capacityRefreshInterval)
	a := v.room.admitter
	reach := s.currentVisibility()
	view := admitter.ServiceState{Capacity: s.reachableCapacity(v.name), ZoneHosts: 1 + reach.livePeers, HasPeerReports: reach.connected()}
	if !a.Assess(s.now, view) {
		return
	}
	event := "serviceFits"
	if a.Overloaded() {
		event = "serviceShort"
	}
	s.log(event, field("service", v.name), field("room", formatSlots(a.Capacity())), field("slots", formatSlots(view.Capacity)),
		field("demand", formatSlots(a.Demand().Total())), field("wait", fmt.Sprintf("%.2f", a.MeanWait())), field("zoneHosts", formatInt(view.ZoneHosts)))
}

// capacityTick brings the views of services up to date that may run short; those of others
// follow what is asked and told.
func (s *Steerer) capacityTick() {
	for _, name := range s.sortedServices() {
		if v := s.services[name]; v.room.admitter.ShouldReport() || v.room.admitter.Overloaded() {
			s.refreshCapacity(v)
		}
	}
}

// sortedServices lists the services of which anything is known, so that equal events give
// equal effects.
func (s *Steerer) sortedServices() []string {
	names := make([]string, 0, len(s.services))
	for name := range s.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// reachableCapacity is the slots of a service's targets that live, as far as this host knows, in slots
// of usual speed.
func (s *Steerer) reachableCapacity(service string) float64 {
	var room microSlots
	views := s.evaluateZones(&placement{service: service})
	reach := s.currentVisibility()
	for zone, slots := range s.updateSlotTotals(service).byZone {
		view := &views[zone]
		if !view.evacuated && !view.suspect && !reach.zoneSilent(s.targets.zones[zone]) {
			room += slots
		}
	}
	return float64(room) / float64(oneSlot)
}

// peerVisibility is which hosts and zones are heard from, as of some moment before deadline. All
// services share it: looking at each host for each of them would cost most of what admission
// costs.
type peerVisibility struct {
	deadline timekeeper.Instant
	// livePeers counts the other hosts of the own zone that live as far as anybody says, heard
	// says that one of them has reported of late, neighbours that any are known, living or
	// not.
	livePeers    int
	peerHeard    bool
	zoneHasPeers bool
	// knownZones are the other zones of which a host has been heard within peerRetention, fresh those
	// of which one has been of late.
	knownZones  map[string]bool
	recentZones map[string]bool
}

// zoneSilent reports whether another zone has hosts and none has been heard of late: what is
// asked there is not known, and its targets may be out of reach.
func (r *peerVisibility) zoneSilent(zone string) bool {
	return r.knownZones[zone] && !r.recentZones[zone]
}

// connected reports whether this host hears enough of others to share room with them. The only
// host of a zone sees all that the zone's callers ask; what it needs is word of other zones.
// One that has neighbours and hears none of them may be cut off, and knows only a part.
func (r *peerVisibility) connected() bool {
	return r.peerHeard || (!r.zoneHasPeers && len(r.recentZones) > 0)
}

// currentVisibility brings up to date which hosts and zones are heard from.
func (s *Steerer) currentVisibility() *peerVisibility {
	r := &s.reach
	if !r.deadline.Passed(s.now) {
		return r
	}
	own := s.config.AvailabilityZone
	*r = peerVisibility{deadline: s.now.Add(capacityRefreshInterval), knownZones: map[string]bool{}, recentZones: map[string]bool{}}
	r.zoneHasPeers = len(s.peers.zones.hosts(own)) > 0
	r.livePeers = s.countAlive().sameZone
	for _, p := range s.peers.recent {
		r.peerHeard = r.peerHeard || (p.zone == own && p.reportedRecently(s.now))
	}
	for zone, heard := range s.peers.zones.lastReport {
		silent := s.now.Since(heard)
		if zone == own || silent > peerRetention {
			continue
		}
		r.knownZones[zone] = true
		if silent < zoneReportTTL {
			r.recentZones[zone] = true
		}
	}
	return r
}

// addCapacity adds to a snapshot how full services are.
func (s *Steerer) addCapacity(snapshot *Snapshot) {
	highestLoad := 0.0
	for _, v := range s.services {
		a := v.room.admitter
		if a.Overloaded() {
			snapshot.Overloaded++
		}
		demand, room := a.Demand().Total(), a.Capacity()
		if demand > highestLoad*room {
			highestLoad = demand / max(room, 1)
			snapshot.Demand, snapshot.Capacity = demand, room
		}
	}
}
