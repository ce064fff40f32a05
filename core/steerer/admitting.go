package steerer

import "fmt"

const (
	// maxWaitingShare is the part of a host's window, the requests that it may have under
	// way, that may wait while the fleet has room.
	maxWaitingShare = 0.25
	// slowerTimes is how many times as long as another a target has to take to count as
	// slower: more than chance makes of equal ones.
	slowerTimes = 1.5
)

// refusal is why a new flow doesn't get in.
type refusal uint8

const (
	notRefused refusal = iota
	// refusedNoRoom flows do not fit into the room that all hosts share.
	refusedNoRoom
	// refusedOverload flows would wait behind others at this host.
	refusedOverload
)

// refusesNew refuses a new flow whose caller has had its share, or for which there is no
// room. It reports whether it did.
func (s *Steerer) refusesNew(p *Packet, route *Route, service string, to *target) bool {
	if s.throttled(p, route, service) {
		return true
	}
	why := s.refuses(*route, service, to)
	if why != notRefused {
		s.refuseForRoom(p, *route, service, why)
	}
	return why != notRefused
}

// refuses decides whether the request of a new flow has to be refused.
//
// What goes wrong if all get in: their callers wait for answers that can't be in time, and
// take the places of those that can. Nothing has run, so who doesn't get in is told at
// once. A host that hears no other goes by what waits at itself.
//
// Requests that may not run again are held by nobody, and so get in before others of their
// priority; where nothing is left for it they fare as all do, or callers of a low priority
// would get in while those of a higher one are refused.
func (s *Steerer) refuses(route Route, service string, to *target) refusal {
	v := s.service(service)
	s.assess(v)
	a := v.room.admitter
	a.RecordNewFlowRequest(route.Priority, s.work(route, v), s.now)
	fits := a.HasPeerReports() && a.AdmitRatio(route.Priority) >= 1
	nothingLeft := a.HasPeerReports() && a.AdmitRatio(route.Priority) <= 0
	switch {
	case nothingLeft && a.MayShutOut():
		return refusedNoRoom // Higher priorities need all of it.
	case !route.Kind.repeatable() && !nothingLeft:
		if a.HasPeerReports() && a.Congested() && !a.Admit(route.Priority) {
			return refusedNoRoom
		}
	case fits && s.wouldBeLate(v, to), !fits && s.wouldWait(v, to):
		return refusedOverload
	}
	return notRefused
}

// wouldWait reports whether the request of a new flow would wait behind others that wait
// at this host already. Open flows can't be refused; with fewer of them less has to wait.
func (s *Steerer) wouldWait(v *service, to *target) bool {
	return v.load.Congested() && s.waitingBeside(v, to) > 0
}

// wouldBeLate reports whether maxWaitingShare of the host's window wait at this host. The
// request of a new flow would wait for as large a part of the time of an answer then. Fewer
// wait by chance, for a moment: while the fleet has room they are no reason to refuse anybody.
func (s *Steerer) wouldBeLate(v *service, to *target) bool {
	return v.load.Congested() && float64(s.waitingBeside(v, to)) >= maxWaitingShare*v.load.Window()
}

// waitingBeside counts the requests that wait at this host for targets that are no slower
// than a given one.
//
// What goes wrong if all count: some targets turn slow, and the requests of the flows that
// are open there wait. New flows are refused that would go to quick targets with slots free.
func (s *Steerer) waitingBeside(v *service, to *target) int {
	waiting := 0
	most := slowerTimes * s.slowness(to)
	for _, t := range v.lines {
		if s.slowness(t) <= most {
			waiting += t.line.Len()
		}
	}
	return waiting
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
		field("zone", s.config.AvailabilityZone), field("room", slotsText(a.Capacity())), field("demand", slotsText(a.Demand().Total())),
		field("share", fmt.Sprintf("%.2f", a.AdmitRatio(route.Priority))), field("demandAgeMillis", millis(a.OldestReportAge(s.now))))
}

// slotsText writes a number of slots for logs.
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
	v.room.admitter.RecordOpenFlowRequest(priority, s.work(f.route, v), s.now)
	s.assess(v)
}
