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
	// capacityRefreshInterval is how long a computed view of a service's capacity is used.
	// Reports change it about as often.
	capacityRefreshInterval = 50 * time.Millisecond
	// zoneReportTTL is how long a report of any host of another zone counts as evidence that
	// the zone's targets can be reached.
	zoneReportTTL = 4 * time.Second
)

// capacityState is what a host knows of the capacity of a service.
type capacityState struct {
	admitter *admitter.Admitter
	// refreshDeadline is when the view of the capacity has to be recomputed.
	refreshDeadline timekeeper.Instant
	// handshakeTime is the median time that a flow takes to open, which estimates the part of
	// a response time that is not processing.
	handshakeTime medianEstimator
	// processingTimes holds the median processing time by route. The samples include the
	// queueing that occurs under normal load, so that their median is close to the mean of the
	// processing alone.
	//
	// Steerer.baselines learns from the same responses and differs: it holds the full time
	// that callers wait, including the network, and keeps its full weight when more than half
	// of the capacity is demanded, since it defines which responses are late. If processing
	// times included the queueing during overload, the overload would look even larger.
	processingTimes map[string]*medianEstimator
	// overallProcessingTime is the median over all routes whose latency objective exceeds
	// their processing time.
	overallProcessingTime medianEstimator
}

// recordHandshakeTime records how long a flow took to open.
func (s *Steerer) recordHandshakeTime(f *flow) {
	if !f.openingResent {
		s.service(f.target.Service).capacity.handshakeTime.add(s.now.Since(f.openingSentAt), false)
	}
}

// processingTime is how long a request of a route occupies a slot on average; 0 if unknown.
// The time that a response takes besides processing is estimated by the time that a flow takes
// to open.
//
// A route without enough samples counts like the service's other requests. If it counted as 0,
// its callers would take capacity that is reserved for higher priorities.
func (s *Steerer) processingTime(route Route, v *service) time.Duration {
	w, ok := v.capacity.processingTimes[route.Name]
	switch {
	case ok && w.known() && route.LatencyObjective > w.median:
		return w.median
	case v.capacity.overallProcessingTime.known():
		return v.capacity.overallProcessingTime.median
	}
	return 0
}

// recordQueueingDelay learns from a response how long requests wait at the targets of a
// service.
func (s *Steerer) recordQueueingDelay(f *flow, took time.Duration) {
	u, ok := s.baselines[f.route.Name]
	if !ok || !s.pause.graceDeadline.Passed(s.now) {
		return
	}
	v := s.service(f.target.Service)
	a := v.capacity.admitter
	if !u.implausiblyFast(took) {
		v.capacity.recordProcessingTime(&f.route, took)
	}
	slack := f.route.LatencyObjective - u.median
	switch {
	case !u.known():
	case slack <= 0:
	case u.implausiblyFast(took):
		if a.Overloaded() {
			a.RecordWait(1) // A full target has refused the request.
		}
	default:
		a.RecordWait(float64(took-u.median) / float64(slack))
	}
}

// recordProcessingTime records a response time, less the handshake time, as a sample of the
// processing time. While many slots are occupied, response times say more about queueing than
// about processing, so such samples count as distorted.
func (r *capacityState) recordProcessingTime(route *Route, took time.Duration) {
	w, ok := r.processingTimes[route.Name]
	if !ok {
		w = &medianEstimator{}
		r.processingTimes[route.Name] = w
	}
	processing := max(took-r.handshakeTime.median, minMedian)
	distorted := r.admitter.ShouldReport() || r.admitter.Queueing()
	w.add(processing, distorted)
	if route.LatencyObjective > w.median {
		r.overallProcessingTime.add(processing, distorted)
	}
}

// forgetProcessingTimes drops the processing times of routes that are not in the settings.
func (s *Steerer) forgetProcessingTimes(settings *Settings) {
	for _, v := range s.services {
		maps.DeleteFunc(v.capacity.processingTimes, func(name string, _ *medianEstimator) bool {
			_, listed := settings.routeByName(name)
			return !listed
		})
	}
}

// refreshCapacity recomputes the view of a service's capacity if it is due, and logs when the
// service becomes overloaded or ceases to be.
func (s *Steerer) refreshCapacity(v *service) {
	if !v.capacity.refreshDeadline.Passed(s.now) {
		return
	}
	v.capacity.refreshDeadline = s.now.Add(capacityRefreshInterval)
	a := v.capacity.admitter
	visibility := s.currentVisibility()
	state := admitter.ServiceState{Capacity: s.reachableCapacity(v.name), ZoneHosts: 1 + visibility.livePeers, HasPeerReports: visibility.connected()}
	if !a.Assess(s.now, state) {
		return
	}
	event := "serviceFits"
	if a.Overloaded() {
		event = "serviceShort"
	}
	s.log(event, field("service", v.name), field("room", formatSlots(a.Capacity())), field("slots", formatSlots(state.Capacity)),
		field("demand", formatSlots(a.Demand().Total())), field("wait", fmt.Sprintf("%.2f", a.MeanWait())), field("zoneHosts", formatInt(state.ZoneHosts)))
}

// refreshCapacities refreshes the capacity of services that may become overloaded. That of the
// others is refreshed by requests and reports.
func (s *Steerer) refreshCapacities() {
	for _, name := range s.sortedServices() {
		if v := s.services[name]; v.capacity.admitter.ShouldReport() || v.capacity.admitter.Overloaded() {
			s.refreshCapacity(v)
		}
	}
}

// sortedServices lists all services with any state in sorted order, so that equal events give
// equal effects.
func (s *Steerer) sortedServices() []string {
	names := make([]string, 0, len(s.services))
	for name := range s.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// reachableCapacity is the capacity of a service's targets that this host considers alive, in
// slots of baseline speed. It leaves out zones that are evacuated, suspect or silent.
func (s *Steerer) reachableCapacity(service string) float64 {
	var capacity microSlots
	views := s.evaluateZones(&placement{service: service})
	visibility := s.currentVisibility()
	for zone, slots := range s.updateSlotTotals(service).byZone {
		view := &views[zone]
		if !view.evacuated && !view.suspect && !visibility.zoneSilent(s.targets.zones[zone]) {
			capacity += slots
		}
	}
	return float64(capacity) / float64(oneSlot)
}

// peerVisibility is which hosts and zones have sent reports, as of some time before deadline.
// All services share it: iterating over all hosts for each service would make up most of the
// cost of admission.
type peerVisibility struct {
	deadline timekeeper.Instant
	// livePeers counts the other hosts of the local zone that are alive according to any
	// host's reports, peerReporting says that one of them has reported recently, zoneHasPeers that
	// any are known, alive or not.
	livePeers     int
	peerReporting bool
	zoneHasPeers  bool
	// knownZones are the other zones of which a host has reported within peerRetention,
	// recentZones those of which one has reported recently.
	knownZones  map[string]bool
	recentZones map[string]bool
}

// zoneSilent reports whether another zone has hosts of which none has reported recently: its
// demand is not known, and its targets may be out of reach.
func (r *peerVisibility) zoneSilent(zone string) bool {
	return r.knownZones[zone] && !r.recentZones[zone]
}

// connected reports whether this host gets enough reports to share capacity with other hosts.
// The only host of a zone sees all demand of the zone's callers and needs reports of other
// zones only. A host that has peers in its zone and gets no reports of them may be
// partitioned, and knows only a fraction of the demand.
func (r *peerVisibility) connected() bool {
	return r.peerReporting || (!r.zoneHasPeers && len(r.recentZones) > 0)
}

// currentVisibility returns which hosts and zones have sent reports, and recomputes it if it
// is due.
func (s *Steerer) currentVisibility() *peerVisibility {
	r := &s.visibility
	if !r.deadline.Passed(s.now) {
		return r
	}
	localZone := s.config.AvailabilityZone
	*r = peerVisibility{deadline: s.now.Add(capacityRefreshInterval), knownZones: map[string]bool{}, recentZones: map[string]bool{}}
	r.zoneHasPeers = len(s.peers.zones.hosts(localZone)) > 0
	r.livePeers = s.countAlive().sameZone
	for _, p := range s.peers.recent {
		r.peerReporting = r.peerReporting || (p.zone == localZone && p.reportedRecently(s.now))
	}
	for zone, lastReport := range s.peers.zones.lastReport {
		sinceReport := s.now.Since(lastReport)
		if zone == localZone || sinceReport > peerRetention {
			continue
		}
		r.knownZones[zone] = true
		if sinceReport < zoneReportTTL {
			r.recentZones[zone] = true
		}
	}
	return r
}

// addCapacity adds to a snapshot how many services are overloaded, and the demand and capacity
// of the service with the highest load, which is the ratio of the two.
func (s *Steerer) addCapacity(snapshot *Snapshot) {
	highestLoad := 0.0
	for _, v := range s.services {
		a := v.capacity.admitter
		if a.Overloaded() {
			snapshot.Overloaded++
		}
		demand, capacity := a.Demand().Total(), a.Capacity()
		if demand > highestLoad*capacity {
			highestLoad = demand / max(capacity, 1)
			snapshot.Demand, snapshot.Capacity = demand, capacity
		}
	}
}
