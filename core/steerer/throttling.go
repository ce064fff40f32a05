package steerer

import (
	"fmt"

	"cranberryspan.dev/core/throttler"
)

// shortOrPressed reports whether a service is asked for more than its targets can do. A host
// that hears no other does not know what all callers ask, and goes by its own answers.
func (s *Steerer) shortOrPressed(service string) bool {
	v, ok := s.services[service]
	if !ok {
		return false
	}
	a := v.room.admitter
	return a.Overloaded() || (!a.HasPeerReports() && v.load.Congested())
}

// throttled refuses a new flow whose caller has used up a quota, or has had more than its
// share of a service that is short of room. It reports whether it did.
//
// What goes wrong otherwise: one caller that repeats itself without pause takes the room
// of all, since whoever asks most gets most. Nothing has run, so the caller is told at
// once.
//
// Quotas come first: what they refuse is no demand for the service's room, or it would look
// as if others were refused for want of room, and shares would shrink.
func (s *Steerer) throttled(p *Packet, route *Route, service string) bool {
	if quota, exceeded := s.throttler.ExceededQuota(p.Caller.Addr(), route.Name, s.now); exceeded {
		s.counts.add(RefusedCallerQuota)
		s.refuse(p, "callerQuota", field("quota", quota.String()), field("requestsPerSecond", perSecond(quota.PerSecond)))
		return true
	}
	asked := throttler.Request{Caller: p.Caller.Addr(), Service: service, Overloaded: s.shortOrPressed(service)}
	if verdict := s.throttler.Check(asked, s.now); verdict.Refused {
		s.counts.add(RefusedCallerShare)
		s.refuse(p, "callerShare", field("service", service), field("prefix", verdict.Prefix.String()),
			field("share", perSecond(verdict.ForwardedRate)), field("fairShare", perSecond(verdict.FairShare)))
		return true
	}
	return false
}

// perSecond writes a rate for logs.
func perSecond(rate float64) string { return fmt.Sprintf("%.1f", rate) }

// notePassed counts a new flow for its caller.
func (s *Steerer) notePassed(key flowKey, f *flow) {
	f.countedFor = s.service(f.target.Service)
	s.throttler.Charge(key.caller.Addr(), f.route.Name, s.now)
	s.throttler.FlowStarted(throttler.Request{Caller: key.caller.Addr(), Service: f.countedFor.name}, s.now)
}

// noteEnded counts the end of a flow for its caller, once.
//
// What goes wrong if it counts for the service of the flow's target: the flow, or its target,
// has gone to another service meanwhile, and at the first its caller keeps the weight of an
// open flow for good.
func (s *Steerer) noteEnded(key flowKey, f *flow) {
	if f.countedFor == nil {
		return
	}
	ended := throttler.Request{Caller: key.caller.Addr(), Service: f.countedFor.name}
	f.countedFor = nil
	s.throttler.FlowEnded(ended, s.now)
}

// chargeRequest counts a request of an open flow for its caller's quotas, also if it has
// to wait here. The first was counted with the flow.
func (s *Steerer) chargeRequest(p *Packet, f *flow) {
	if f.asked {
		s.throttler.Charge(p.Caller.Addr(), f.route.Name, s.now)
	}
	f.asked = true
}

// shareQuotas divides the quotas by the live hosts of this host's zone, over which the
// fabric spreads each caller's flows evenly.
func (s *Steerer) shareQuotas() {
	if !s.throttler.HasQuotas() {
		return
	}
	s.throttler.DivideQuotas(s.hostsInZone(), s.now)
}
