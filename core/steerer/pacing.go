package steerer

import (
	"fmt"
	"slices"
	"time"

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
	// underWayUsuals times the usual is how long a request counts as under way, and
	// leastUnderWay the least. A target's queue holds some four requests a slot, so that
	// an answer takes five times the usual at the most. A target that resets a flow
	// tells its caller alone; the host would count the request until its timeout.
	underWayUsuals = 8
	leastUnderWay  = 200 * time.Millisecond
	// unknownUnderWay is used before anything is known of a route.
	unknownUnderWay = time.Second
)

// service is what a host knows of the load of a service.
type service struct {
	name string
	load pacer.Load
	// underWay counts the requests that this host has passed on, paced those that
	// wait.
	underWay int
	paced    int
	// lines are the targets at which requests wait, in the order in which the first
	// of them came.
	lines []*target
}

// pacedRequest is a request of an open flow that waits at this host.
type pacedRequest struct {
	key  flowKey
	flow *flow
	// packets are as they came from the caller.
	packets [][]byte
	arrived timekeeper.Instant
}

// underWayCheck ends the count of a request whose answer nobody has seen.
type underWayCheck struct {
	key      flowKey
	since    timekeeper.Instant
	deadline timekeeper.Instant
}

func (s *Steerer) service(name string) *service {
	v, ok := s.services[name]
	if !ok {
		v = &service{name: name}
		s.services[name] = v
	}
	return v
}

// pressed reports whether a service is asked for more than its targets can do.
func (s *Steerer) pressed(name string) bool {
	v, ok := s.services[name]
	return ok && v.load.Pressed()
}

// mayPace reports whether a request that begins in an open flow may wait here.
//
// Only requests that may run again do: their callers ask again if this host dies with
// them. Checks and uploads open a flow each, and are passed on at once, so that they
// meet short queues at the targets.
func (s *Steerer) mayPace(f *flow, v *service) bool {
	return f.route.Kind == KindIdempotent && f.route.Timeout > 0 && !s.leaving.begun &&
		!f.target.health.unreachable() && s.paced < maxPaced && v.load.Pressed() && (f.target.line.Len() > 0 || !v.load.Room(v.underWay))
}

// pace lets a request wait if its service has no room for it, and reports whether it
// does.
func (s *Steerer) pace(key flowKey, f *flow, p *Packet) bool {
	v := s.service(f.target.Service)
	if !s.mayPace(f, v) {
		return false
	}
	f.paced = &pacedRequest{key: key, flow: f, packets: [][]byte{slices.Clone(p.Data)}, arrived: s.now}
	if f.target.line.Len() == 0 {
		v.lines = append(v.lines, f.target)
	}
	f.target.line.Add(pacer.NewRequest(f.paced, s.now, s.limits(f.route)))
	v.paced++
	s.paced++
	s.counts.add(RequestPaced)
	return true
}

// limits says what the callers of a route hope for.
func (s *Steerer) limits(route Route) pacer.Limits {
	limits := pacer.Limits{Objective: route.LatencyObjective, Timeout: route.Timeout, Priority: route.Priority}
	if u, ok := s.usual[route.Name]; ok {
		limits.Usual = u.median
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

// passPaced passes a request on that has left its target's line.
func (s *Steerer) passPaced(r *pacedRequest, reason string) {
	f := r.flow
	s.unline(f)
	if s.removed[r.key.service] {
		p := Packet{Caller: r.key.caller, Service: r.key.service, Acknowledged: f.acknowledged}
		s.resetFlow(&p, f, f.target, "routeRemoved")
		return
	}
	v := s.service(f.target.Service)
	f.pacedFor = s.now.Since(r.arrived)
	s.log("requestPaced", field("flow", r.key.caller.String()), field("route", f.route.Name), field("target", f.target.ID),
		field("heldMillis", millis(f.pacedFor)), field("reason", reason), field("underWay", itoa(v.underWay)),
		field("window", fmt.Sprintf("%.1f", v.load.Window())), field("pressure", fmt.Sprintf("%.2f", v.load.Pressure())))
	s.beginRequest(r.key, f)
	f.keepRequest(r.packets[0])
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
	t.line.Drop(func(other *pacedRequest) bool { return other == r })
	f.paced = nil
	v := s.service(t.Service)
	v.paced--
	s.paced--
	if t.line.Len() == 0 {
		v.lines = slices.DeleteFunc(v.lines, func(other *target) bool { return other == t })
	}
}

// passAllPaced passes on all that waits for a target.
func (s *Steerer) passAllPaced(t *target, reason string) {
	for t.line.Len() > 0 {
		s.passPaced(t.line.First().Payload, reason)
	}
}

// beginRequest counts a request that is passed on.
func (s *Steerer) beginRequest(key flowKey, f *flow) {
	s.setWaiting(f, true)
	span := unknownUnderWay
	if u, ok := s.usual[f.route.Name]; ok && u.known() {
		span = max(underWayUsuals*u.median, leastUnderWay)
	}
	f.underWay = s.service(f.target.Service)
	f.underWay.underWay++
	s.underWay = append(s.underWay, underWayCheck{key: key, since: s.now, deadline: s.now.Add(span)})
}

// endUnderWay ends the count of a request.
func (f *flow) endUnderWay() {
	if f.underWay != nil {
		f.underWay.underWay--
		f.underWay = nil
	}
}

// checkUnderWay ends the count of requests whose answers nobody has seen.
func (s *Steerer) checkUnderWay() {
	done := 0
	for _, check := range s.underWay {
		if !check.deadline.Passed(s.now) {
			break
		}
		done++
		if f := s.flows[check.key]; f != nil && f.waiting && f.waitingSince == check.since {
			f.endUnderWay()
		}
	}
	s.underWay = s.underWay[:copy(s.underWay, s.underWay[done:])]
}

// learnLoad learns from an answer how pressed its service is. An answer that came
// too quickly for work says nothing of the time that work takes, and neither do answers
// that were late because this host stood still.
func (s *Steerer) learnLoad(f *flow, took time.Duration) {
	u, ok := s.usual[f.route.Name]
	if !ok || !u.known() || u.tooQuick(took) || !s.pause.trustDeadline.Passed(s.now) {
		return
	}
	v := s.service(f.target.Service)
	changed := v.load.Answered(pacer.Answer{Took: took, Held: f.pacedFor, Usual: u.median, Objective: f.route.LatencyObjective, UnderWay: v.underWay})
	if changed {
		event := "serviceCalm"
		if v.load.Pressed() {
			event = "servicePressed"
		}
		s.log(event, field("service", v.name), field("pressure", fmt.Sprintf("%.2f", v.load.Pressure())),
			field("underWay", itoa(v.underWay)), field("paced", itoa(v.paced)), field("tookMillis", millis(took)), field("usualMillis", millis(u.median)))
	}
}

// passOn passes on the requests of a service for which there is room, those for the
// least busy targets first.
func (s *Steerer) passOn(v *service) {
	for v.paced > 0 && v.load.Room(v.underWay) {
		t := s.nextLine(v)
		if t == nil {
			return
		}
		r, _ := t.line.Take(s.now, s.spare(t))
		s.passPaced(r.Payload, "room")
	}
}

// nextLine picks the least busy of the targets for which a request may go now.
func (s *Steerer) nextLine(v *service) *target {
	var best *target
	var least float64
	for _, t := range v.lines {
		load := t.underWayPerSlot()
		if t.line.Has(s.now, s.spare(t)) && (best == nil || load < least) {
			best, least = t, load
		}
	}
	return best
}

// underWayPerSlot is how many requests a target has, as far as the zone's hosts know.
func (t *target) underWayPerSlot() float64 {
	return float64(t.busy+t.opening+t.peersBusy) / float64(max(t.Slots, 1))
}

// spare reports whether a target has slots to spare for requests that will be late.
func (s *Steerer) spare(t *target) bool { return t.underWayPerSlot() < spareShare }

// pacingTick passes on what has waited long enough, and what there is room for.
func (s *Steerer) pacingTick() {
	s.checkUnderWay()
	if s.paced == 0 {
		return
	}
	for _, name := range s.serviceNames() {
		v := s.services[name]
		for _, t := range slices.Clone(v.lines) {
			for r, due := t.line.TakeOverdue(s.now); due; r, due = t.line.TakeOverdue(s.now) {
				s.passPaced(r.Payload, "overdue")
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

// wouldWait reports whether the request of a new flow would wait behind others that
// wait at this host already.
//
// What goes wrong if the flow is taken: its caller waits for an answer that can't be in
// time, and takes the place of one that can. Nothing has run, so it is told at once.
// Open flows can't be refused; with fewer of them less has to wait.
func (s *Steerer) wouldWait(route Route, to *target) bool {
	return route.Kind == KindIdempotent && s.pressed(to.Service) && s.service(to.Service).paced > 0
}
