package steerer

import (
	"fmt"
	"slices"

	"cranberryspan.dev/core/pacer"
	"cranberryspan.dev/core/timekeeper"
)

const (
	// maxPaced bounds the requests that wait at a host, to some 5 MB of the largest.
	maxPaced = 4096
	// maxPacedPackets bounds the packets of one of them: what a caller sends at most
	// without acknowledgement.
	maxPacedPackets = windowBytes / 1200
	// spareShare is the part of a target's slots below which it has some to spare for
	// requests that will be late.
	spareShare = 2.0 / 3
)

// pacedRequest is a request of an open flow that waits at this host.
type pacedRequest struct {
	key     flowKey
	flow    *flow
	service *service
	// packets are as they came from the caller.
	packets [][]byte
	arrived timekeeper.Instant
}

// mayPace reports whether a request that begins in an open flow may wait here.
//
// Only requests that may run again do: their callers ask again if this host dies with
// them. Checks and uploads open a flow each, and are passed on at once, so that they
// meet short queues at the targets.
func (s *Steerer) mayPace(f *flow, v *service) bool {
	if !f.route.Kind.repeatable() || f.route.Timeout <= 0 {
		return false
	}
	if s.leaving.begun || f.target.health.unreachable() || s.paced >= maxPaced {
		return false
	}
	return v.load.Congested() && (f.target.line.Len() > 0 || !v.load.HasCapacity(v.underWay))
}

// pace lets a request wait if its service has no room for it, and reports whether it
// does.
func (s *Steerer) pace(key flowKey, f *flow, p *Packet) bool {
	v := s.service(f.target.Service)
	if !s.mayPace(f, v) {
		return false
	}
	f.paced = &pacedRequest{key: key, flow: f, service: v, packets: [][]byte{slices.Clone(p.Data)}, arrived: s.now}
	if f.target.line.Len() == 0 {
		v.lines = append(v.lines, f.target)
	}
	f.target.line.Add(f.paced, s.now, s.limits(f.route))
	v.paced++
	s.paced++
	s.counts.add(RequestPaced)
	return true
}

// limits says what the callers of a route hope for.
func (s *Steerer) limits(route Route) pacer.RouteParams {
	limits := pacer.RouteParams{Objective: route.LatencyObjective, Timeout: route.Timeout, Priority: route.Priority}
	if u, ok := s.usual[route.Name]; ok {
		limits.BaselineLatency = u.median
	}
	return limits
}

// pacedPacket takes in a later packet of a flow whose request waits, and reports
// whether the packet has to wait, too. Repeats are of no use: what they repeat is here.
func (s *Steerer) pacedPacket(f *flow, p *Packet) bool {
	switch {
	case p.Flags.Has(FlagReset):
		return false // Nobody waits for the answer any more: the flow is closed.
	case p.Flags.Has(FlagEnd) || len(f.paced.packets) == maxPacedPackets:
		s.passPaced(f.paced, "more")
		return false
	}
	if end := p.Sequence + p.Length; after(end, f.sentEnd) {
		f.sentEnd = end
		f.paced.packets = append(f.paced.packets, slices.Clone(p.Data))
	}
	return true
}

// passPaced passes on a request that waits.
func (s *Steerer) passPaced(r *pacedRequest, reason string) {
	f := r.flow
	s.unline(f)
	if s.removed[r.key.service] {
		p := Packet{Caller: r.key.caller, Service: r.key.service, Acknowledged: f.acknowledged}
		s.resetFlow(&p, f, f.target, "routeRemoved")
		return
	}
	f.pacedFor = s.now.Since(r.arrived)
	s.log("requestPaced", field("flow", r.key.caller.String()), field("route", f.route.Name), field("target", f.target.ID),
		field("heldMillis", millis(f.pacedFor)), field("reason", reason), field("underWay", itoa(r.service.underWay)),
		field("window", fmt.Sprintf("%.1f", r.service.load.Window())), field("pressure", fmt.Sprintf("%.2f", r.service.load.Pressure())))
	s.beginRequest(r.key, f, r.packets[0])
	for _, data := range r.packets {
		s.sendTarget(f.target, 0, data)
	}
}

// dropPaced forgets the request of a flow that waits here.
func (s *Steerer) dropPaced(f *flow) {
	if f.paced != nil {
		s.unline(f)
	}
}

// unline takes a flow's request out of the line of its target.
func (s *Steerer) unline(f *flow) {
	r, t := f.paced, f.target
	t.line.Remove(r)
	f.paced = nil
	r.service.paced--
	s.paced--
	if t.line.Len() == 0 {
		r.service.lines = slices.DeleteFunc(r.service.lines, func(other *target) bool { return other == t })
	}
}

// passAllPaced passes on all that waits for a target.
func (s *Steerer) passAllPaced(t *target, reason string) {
	for r, waits := t.line.Oldest(); waits; r, waits = t.line.Oldest() {
		s.passPaced(r, reason)
	}
}

// passOn passes on the requests of a service for which there is room, those for the
// least busy targets first.
func (s *Steerer) passOn(v *service) {
	for v.paced > 0 && v.load.HasCapacity(v.underWay) {
		r := s.nextPaced(v)
		if r == nil {
			return
		}
		s.passPaced(r, "room")
	}
}

// nextPaced picks the request that goes next: for the least busy of the targets for
// which one may go now; nil if there is none.
func (s *Steerer) nextPaced(v *service) *pacedRequest {
	var best *pacedRequest
	var least float64
	for _, t := range v.lines {
		load := t.underWayPerSlot()
		if best != nil && load >= least {
			continue
		}
		if r, ok := t.line.Next(s.now, load < spareShare); ok {
			best, least = r, load
		}
	}
	return best
}

// underWayPerSlot is how many requests each of a target's slots has.
func (t *target) underWayPerSlot() float64 {
	return float64(t.underWay()) / float64(max(t.Slots, 1))
}

// pacingTick passes on what has waited long enough, and what there is room for.
func (s *Steerer) pacingTick() {
	s.checkUnderWay()
	if s.paced == 0 {
		return
	}
	for _, name := range s.serviceNames() {
		v := s.services[name]
		for _, t := range slices.Clone(v.lines) {
			for r, due := t.line.Overdue(s.now); due; r, due = t.line.Overdue(s.now) {
				s.passPaced(r, "overdue")
			}
		}
		s.passOn(v)
	}
}

// serviceNames lists the services with requests that wait, so that equal events give
// equal effects.
func (s *Steerer) serviceNames() []string {
	var names []string
	for name, v := range s.services {
		if v.paced > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
