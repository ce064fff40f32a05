package steerer

import "fmt"

const (
	// maxQueuedFraction is the part of a host's window, the requests that it may have under
	// way, that may wait while the fleet has room.
	maxQueuedFraction = 0.25
	// slowerFactor is how many times as long as another a target has to take to count as
	// slower: more than chance makes of equal ones.
	slowerFactor = 1.5
)

// refusal is why a new flow doesn't get in.
type refusal uint8

const (
	notRefused refusal = iota
	// refusedNoCapacity flows do not fit into the room that all hosts share.
	refusedNoCapacity
	// refusedOverload flows would wait behind others at this host.
	refusedOverload
)

// refuseNewFlow refuses a new flow whose caller has had its share, or for which there is no
// room. It reports whether it did.
func (s *Steerer) refuseNewFlow(p *Packet, route *Route, service string, to *target) bool {
	if s.refuseThrottled(p, route, service) {
		return true
	}
	why := s.admissionDecision(*route, service, to)
	if why != notRefused {
		s.refuseForCapacity(p, *route, service, why)
	}
	return why != notRefused
}

// admissionDecision decides whether the request of a new flow has to be refused.
//
// What goes wrong if all get in: their callers wait for answers that can't be in time, and
// take the places of those that can. Nothing has run, so who doesn't get in is told at
// once. A host that hears no other goes by what waits at itself.
//
// Requests that may not run again are held by nobody, and so get in before others of their
// priority; where nothing is left for it they fare as all do, or callers of a low priority
// would get in while those of a higher one are refused.
func (s *Steerer) admissionDecision(route Route, service string, to *target) refusal {
	v := s.service(service)
	s.refreshCapacity(v)
	a := v.room.admitter
	a.RecordNewFlowRequest(route.Priority, s.processingTime(route, v), s.now)
	fits := a.HasPeerReports() && a.AdmitRatio(route.Priority) >= 1
	nothingLeft := a.HasPeerReports() && a.AdmitRatio(route.Priority) <= 0
	switch {
	case nothingLeft && a.MayShutOut():
		return refusedNoCapacity // Higher priorities need all of it.
	case !route.Kind.retryable() && !nothingLeft:
		if a.HasPeerReports() && a.Congested() && !a.Admit(route.Priority) {
			return refusedNoCapacity
		}
	case fits && s.wouldQueueTooLong(v, to), !fits && s.wouldQueue(v, to):
		return refusedOverload
	}
	return notRefused
}

// wouldQueue reports whether the request of a new flow would wait behind others that wait
// at this host already. Open flows can't be refused; with fewer of them less has to wait.
func (s *Steerer) wouldQueue(v *service, to *target) bool {
	return v.load.Congested() && s.queuedAtComparableTargets(v, to) > 0
}

// wouldQueueTooLong reports whether maxQueuedFraction of the host's window wait at this host. The
// request of a new flow would wait for as large a part of the time of an answer then. Fewer
// wait by chance, for a moment: while the fleet has room they are no reason to refuse anybody.
func (s *Steerer) wouldQueueTooLong(v *service, to *target) bool {
	return v.load.Congested() && float64(s.queuedAtComparableTargets(v, to)) >= maxQueuedFraction*v.load.Window()
}

// queuedAtComparableTargets counts the requests that wait at this host for targets that are no slower
// than a given one.
//
// What goes wrong if all count: some targets turn slow, and the requests of the flows that
// are open there wait. New flows are refused that would go to quick targets with slots free.
func (s *Steerer) queuedAtComparableTargets(v *service, to *target) int {
	waiting := 0
	most := slowerFactor * s.slowdown(to)
	for _, t := range v.queuingTargets {
		if s.slowdown(t) <= most {
			waiting += t.queue.Len()
		}
	}
	return waiting
}

// refuseForCapacity refuses a new flow for which there is no room, and says what is believed
// of it.
func (s *Steerer) refuseForCapacity(p *Packet, route Route, service string, why refusal) {
	v := s.service(service)
	a := v.room.admitter
	if why == refusedOverload {
		s.counts.add(RefusedOverload)
		s.refuseFlow(p, "overload", field("route", route.Name), field("service", service), field("waiting", formatInt(v.paced)))
		return
	}
	s.counts.add(RefusedNoCapacity)
	s.refuseFlow(p, "noRoom", field("route", route.Name), field("service", service), field("priority", formatInt(route.Priority)),
		field("zone", s.config.AvailabilityZone), field("room", formatSlots(a.Capacity())), field("demand", formatSlots(a.Demand().Total())),
		field("share", fmt.Sprintf("%.2f", a.AdmitRatio(route.Priority))), field("demandAgeMillis", formatMillis(a.OldestReportAge(s.now))))
}

// formatSlots writes a number of slots for logs.
func formatSlots(slots float64) string { return fmt.Sprintf("%.1f", slots) }

// recordRequestDemand takes in that a request begins in an open flow. The first request of a flow
// was counted when the flow opened.
func (s *Steerer) recordRequestDemand(f *flow) {
	if f.firstRequestCounted {
		f.firstRequestCounted = false
		return
	}
	v := s.service(f.target.Service)
	priority := f.route.Priority
	if !f.route.Kind.retryable() {
		priority = 0 // It can't be held here either.
	}
	v.room.admitter.RecordOpenFlowRequest(priority, s.processingTime(f.route, v), s.now)
	s.refreshCapacity(v)
}
