package steerer

import (
	"fmt"

	"cranberryspan.dev/core/throttler"
)

// overloadedOrCongested reports whether a service is asked for more than its targets can do. A host
// that hears no other does not know what all callers ask, and goes by its own answers.
func (s *Steerer) overloadedOrCongested(service string) bool {
	v, ok := s.services[service]
	if !ok {
		return false
	}
	a := v.room.admitter
	return a.Overloaded() || (!a.HasPeerReports() && v.load.Congested())
}

// refuseThrottled refuses a new flow whose caller has used up a quota, or has had more than its
// share of a service that is short of room. It reports whether it did.
//
// What goes wrong otherwise: one caller that repeats itself without pause takes the room
// of all, since whoever asks most gets most. Nothing has run, so the caller is told at
// once.
//
// Quotas come first: what they refuse is no demand for the service's room, or it would look
// as if others were refused for want of room, and shares would shrink.
func (s *Steerer) refuseThrottled(p *Packet, route *Route, service string) bool {
	if quota, exceeded := s.throttler.ExceededQuota(p.Caller.Addr(), route.Name, s.now); exceeded {
		s.counts.add(RefusedCallerQuota)
		s.refuseFlow(p, "callerQuota", field("quota", quota.String()), field("requestsPerSecond", formatRate(quota.PerSecond)))
		return true
	}
	asked := throttler.Request{Caller: p.Caller.Addr(), Service: service, Overloaded: s.overloadedOrCongested(service)}
	if verdict := s.throttler.Check(asked, s.now); verdict.Refused {
		s.counts.add(RefusedCallerShare)
		s.refuseFlow(p, "callerShare", field("service", service), field("prefix", verdict.Prefix.String()),
			field("share", formatRate(verdict.ForwardedRate)), field("fairShare", formatRate(verdict.FairShare)))
		return true
	}
	return false
}

// formatRate writes a rate for logs.
func formatRate(rate float64) string { return fmt.Sprintf("%.1f", rate) }

// recordFlowStart counts a new flow for its caller.
func (s *Steerer) recordFlowStart(key flowKey, f *flow) {
	f.callerCountedAt = s.service(f.target.Service)
	s.throttler.Charge(key.caller.Addr(), f.route.Name, s.now)
	s.throttler.FlowStarted(throttler.Request{Caller: key.caller.Addr(), Service: f.callerCountedAt.name}, s.now)
}

// recordFlowEnd counts the end of a flow for its caller, once.
//
// What goes wrong if it counts for the service of the flow's target: the flow, or its target,
// has gone to another service meanwhile, and at the first its caller keeps the weight of an
// open flow for good.
func (s *Steerer) recordFlowEnd(key flowKey, f *flow) {
	if f.callerCountedAt == nil {
		return
	}
	ended := throttler.Request{Caller: key.caller.Addr(), Service: f.callerCountedAt.name}
	f.callerCountedAt = nil
	s.throttler.FlowEnded(ended, s.now)
}

// chargeQuota counts a request of an open flow for its caller's quotas, also if it has
// to wait here. The first was counted with the flow.
func (s *Steerer) chargeQuota(p *Packet, f *flow) {
	if f.hasSentRequest {
		s.throttler.Charge(p.Caller.Addr(), f.route.Name, s.now)
	}
	f.hasSentRequest = true
}

// divideQuotas divides the quotas by the live hosts of this host's zone, over which the
// fabric spreads each caller's flows evenly.
func (s *Steerer) divideQuotas() {
	if !s.throttler.HasQuotas() {
		return
	}
	s.throttler.DivideQuotas(s.aliveInZone(), s.now)
}
