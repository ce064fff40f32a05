package steerer

import "fmt"

const (
	// maxQueuedFraction is the number of requests that may be queued at this host while the
	// fleet has capacity, as a fraction of the host's window (the requests that it may have in
	// flight).
	maxQueuedFraction = 0.25
	// slowerFactor is the ratio of the slowdowns of two targets above which one counts as
	// slower than the other. Equally fast targets rarely differ by this much.
	slowerFactor = 1.5
)

// refusal is the reason for which a new flow is refused.
type refusal uint8

const (
	notRefused refusal = iota
	// refusedNoCapacity means that the flow exceeds the capacity that all hosts share.
	refusedNoCapacity
	// refusedOverload means that the flow's request would be queued behind others at this
	// host.
	refusedOverload
)

// refuseNewFlow refuses a new flow whose caller has used up its quota or fair share, or for
// which there is no capacity. It reports whether it did.
func (s *Steerer) refuseNewFlow(p *Packet, route *Route, service string, to *target) bool {
	if s.refuseThrottled(p, route, service) {
		return true
	}
	reason := s.admissionDecision(*route, service, to)
	if reason != notRefused {
		s.refuseForCapacity(p, *route, service, reason)
	}
	return reason != notRefused
}

// admissionDecision decides whether to refuse a new flow.
//
// If all flows were admitted, callers would wait for responses that come too late, and take
// capacity from requests that could be served in time. A refused caller is notified at once
// and may retry, since none of its requests has run yet. A host without reports from peers
// decides by its own queue.
//
// Requests that must not run twice are never queued at a host, and are therefore admitted
// before others of their priority. If no capacity is left for their priority, they are refused
// like all others; otherwise callers of a low priority would be admitted while those of a
// higher one are refused.
func (s *Steerer) admissionDecision(route Route, service string, to *target) refusal {
	v := s.service(service)
	s.refreshCapacity(v)
	a := v.capacity.admitter
	a.RecordNewFlowRequest(route.Priority, s.processingTime(route, v), s.now)
	fits := a.HasPeerReports() && a.AdmitRatio(route.Priority) >= 1
	noCapacityLeft := a.HasPeerReports() && a.AdmitRatio(route.Priority) <= 0
	switch {
	case noCapacityLeft && a.MayShutOut():
		return refusedNoCapacity // Higher priorities need the full capacity.
	case !route.Kind.retryable() && !noCapacityLeft:
		if a.HasPeerReports() && a.Congested() && !a.Admit(route.Priority) {
			return refusedNoCapacity
		}
	case fits && s.wouldQueueTooLong(v, to), !fits && s.wouldQueue(v, to):
		return refusedOverload
	}
	return notRefused
}

// wouldQueue reports whether the request of a new flow would wait behind requests already
// queued at this host. Open flows can't be refused, but the fewer flows open, the fewer
// requests are queued.
func (s *Steerer) wouldQueue(v *service, to *target) bool {
	return v.load.Congested() && s.queuedAtComparableTargets(v, to) > 0
}

// wouldQueueTooLong reports whether the queue at this host has reached maxQueuedFraction of
// the host's window. A new flow's request would then wait for about that fraction of a
// response time. Shorter queues form briefly by chance; while the fleet has capacity they are
// no reason to refuse a flow.
func (s *Steerer) wouldQueueTooLong(v *service, to *target) bool {
	return v.load.Congested() && float64(s.queuedAtComparableTargets(v, to)) >= maxQueuedFraction*v.load.Window()
}

// queuedAtComparableTargets counts the requests queued at this host for targets that are no
// slower than the given one.
//
// If requests for slower targets counted too, a few slow targets with queued requests on their
// open flows would cause new flows to be refused that could go to fast targets with free
// slots.
func (s *Steerer) queuedAtComparableTargets(v *service, to *target) int {
	queued := 0
	maxSlowdown := slowerFactor * s.slowdown(to)
	for _, t := range v.queuingTargets {
		if s.slowdown(t) <= maxSlowdown {
			queued += t.queue.Len()
		}
	}
	return queued
}

// refuseForCapacity refuses a new flow for lack of capacity, and logs the estimates that led
// to the decision.
func (s *Steerer) refuseForCapacity(p *Packet, route Route, service string, reason refusal) {
	v := s.service(service)
	a := v.capacity.admitter
	if reason == refusedOverload {
		s.counters.add(RefusedOverload)
		s.refuseFlow(p, "overload", field("route", route.Name), field("service", service), field("waiting", formatInt(v.queued)))
		return
	}
	s.counters.add(RefusedNoCapacity)
	s.refuseFlow(p, "noRoom", field("route", route.Name), field("service", service), field("priority", formatInt(route.Priority)),
		field("zone", s.config.AvailabilityZone), field("room", formatSlots(a.Capacity())), field("demand", formatSlots(a.Demand().Total())),
		field("share", fmt.Sprintf("%.2f", a.AdmitRatio(route.Priority))), field("demandAgeMillis", formatMillis(a.OldestReportAge(s.now))))
}

// formatSlots formats a number of slots for logs.
func formatSlots(slots float64) string { return fmt.Sprintf("%.1f", slots) }

// recordRequestDemand records the demand of a request that begins on an open flow. The first
// request of a flow was recorded when the flow opened.
func (s *Steerer) recordRequestDemand(f *flow) {
	if f.firstRequestCounted {
		f.firstRequestCounted = false
		return
	}
	v := s.service(f.target.Service)
	priority := f.route.Priority
	if !f.route.Kind.retryable() {
		priority = 0 // It can't be queued at this host, so it counts at the highest priority.
	}
	v.capacity.admitter.RecordOpenFlowRequest(priority, s.processingTime(f.route, v), s.now)
	s.refreshCapacity(v)
}
