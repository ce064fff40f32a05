package steerer

import (
	"fmt"

	"cranberryspan.dev/core/throttler"
)

// overloadedOrCongested reports whether the demand for a service exceeds its capacity. A host
// without reports from peers does not know the full demand, and decides by the latency that it
// observes.
func (s *Steerer) overloadedOrCongested(service string) bool {
	v, ok := s.services[service]
	if !ok {
		return false
	}
	a := v.capacity.admitter
	return a.Overloaded() || (!a.HasPeerReports() && v.load.Congested())
}

// refuseThrottled refuses a new flow whose caller has used up a quota, or has exceeded its
// fair share of an overloaded service. It reports whether it did.
//
// Without this, a single caller that repeats requests without pause takes the capacity of all
// others, since the most active caller gets the most. Nothing has run yet, so the caller is
// notified at once.
//
// Quotas are checked first: what they refuse must not count as demand for the service, or
// others would seem to be refused for lack of capacity, and fair shares would shrink.
func (s *Steerer) refuseThrottled(p *Packet, route *Route, service string) bool {
	if quota, exceeded := s.throttler.ExceededQuota(p.Caller.Addr(), route.Name, s.now); exceeded {
		s.counters.add(RefusedCallerQuota)
		s.refuseFlow(p, "callerQuota", field("quota", quota.String()), field("requestsPerSecond", formatRate(quota.PerSecond)))
		return true
	}
	request := throttler.Request{Caller: p.Caller.Addr(), Service: service, Overloaded: s.overloadedOrCongested(service)}
	if decision := s.throttler.Check(request, s.now); decision.Refused {
		s.counters.add(RefusedCallerShare)
		s.refuseFlow(p, "callerShare", field("service", service), field("prefix", decision.Prefix.String()),
			field("share", formatRate(decision.ForwardedRate)), field("fairShare", formatRate(decision.FairShare)))
		return true
	}
	return false
}

// formatRate formats a rate for logs.
func formatRate(rate float64) string { return fmt.Sprintf("%.1f", rate) }

// recordFlowStart counts a new flow for its caller.
func (s *Steerer) recordFlowStart(key flowKey, f *flow) {
	f.callerCountedAt = s.service(f.target.Service)
	s.throttler.Charge(key.caller.Addr(), f.route.Name, s.now)
	s.throttler.FlowStarted(throttler.Request{Caller: key.caller.Addr(), Service: f.callerCountedAt.name}, s.now)
}

// recordFlowEnd counts the end of a flow for its caller, once.
//
// It counts for the service for which the start was counted. If it counted for the current
// service of the flow's target, and the flow or its target had moved to another service, the
// caller would keep the weight of an open flow at the first service forever.
func (s *Steerer) recordFlowEnd(key flowKey, f *flow) {
	if f.callerCountedAt == nil {
		return
	}
	ended := throttler.Request{Caller: key.caller.Addr(), Service: f.callerCountedAt.name}
	f.callerCountedAt = nil
	s.throttler.FlowEnded(ended, s.now)
}

// chargeQuota counts a request on an open flow towards its caller's quotas, even if it is
// queued here. The first request was counted with the flow.
func (s *Steerer) chargeQuota(p *Packet, f *flow) {
	if f.hasSentRequest {
		s.throttler.Charge(p.Caller.Addr(), f.route.Name, s.now)
	}
	f.hasSentRequest = true
}

// divideQuotas divides the quotas by the number of hosts of the local zone that are alive,
// over which the fabric spreads each caller's flows evenly.
func (s *Steerer) divideQuotas() {
	if !s.throttler.HasQuotas() {
		return
	}
	s.throttler.DivideQuotas(s.aliveInZone(), s.now)
}
