package steerer

import (
	"fmt"
	"slices"

	"cranberryspan.dev/core/pacer"
	"cranberryspan.dev/core/timekeeper"
)

const (
	// maxQueuedRequests limits the requests queued at a host, to about 5 MB if all of them
	// are of the largest size.
	maxQueuedRequests = 4096
	// maxQueuedPackets limits the packets of a queued request to what a caller sends without
	// an acknowledgment.
	maxQueuedPackets = windowBytes / 1200
	// spareLoad is the load of a target, in requests per slot, below which it has slots to
	// spare for requests that will miss their objective.
	spareLoad = 2.0 / 3
)

// queuedRequest is a request of an open flow that is queued at this host.
type queuedRequest struct {
	key     flowKey
	flow    *flow
	service *service
	// packets are the request's packets as received from the caller.
	packets  [][]byte
	queuedAt timekeeper.Instant
}

// mayQueue reports whether a request that begins on an open flow may be queued here.
//
// Only retryable requests may be: if this host dies with them, their callers retry. Other
// requests, such as uploads, open a flow each and are forwarded at once, so that they meet
// short queues at the targets.
func (s *Steerer) mayQueue(f *flow, v *service) bool {
	if !f.route.Kind.retryable() || f.route.Timeout <= 0 {
		return false
	}
	if s.shutdown.started || f.target.health.unreachable() || s.queued >= maxQueuedRequests {
		return false
	}
	return v.load.Congested() && (f.target.queue.Len() > 0 || !v.load.HasCapacity(v.inFlight))
}

// enqueue queues a request if its service has no capacity for it, and reports whether it did.
func (s *Steerer) enqueue(key flowKey, f *flow, p *Packet) bool {
	v := s.service(f.target.Service)
	if !s.mayQueue(f, v) {
		return false
	}
	f.queued = &queuedRequest{key: key, flow: f, service: v, packets: [][]byte{slices.Clone(p.Data)}, queuedAt: s.now}
	if f.target.queue.Len() == 0 {
		v.queuingTargets = append(v.queuingTargets, f.target)
	}
	f.target.queue.Add(f.queued, s.now, s.queueLimits(f.route))
	v.queued++
	s.queued++
	s.counters.add(RequestQueued)
	return true
}

// queueLimits returns what determines how long requests of a route may be queued.
func (s *Steerer) queueLimits(route Route) pacer.RouteParams {
	limits := pacer.RouteParams{Objective: route.LatencyObjective, Timeout: route.Timeout, Priority: route.Priority}
	if baseline, ok := s.baselines[route.Name]; ok {
		limits.BaselineLatency = baseline.median
	}
	return limits
}

// queuePacket handles a later packet of a flow whose request is queued, and reports whether
// the packet must not be forwarded. Retransmissions are dropped: the data that they repeat is
// queued here.
func (s *Steerer) queuePacket(f *flow, p *Packet) bool {
	switch {
	case p.Flags.Has(FlagReset):
		return false // The caller has closed the flow and expects no response.
	case p.Flags.Has(FlagEnd) || len(f.queued.packets) == maxQueuedPackets:
		s.forwardQueued(f.queued, "more")
		return false
	}
	if end := p.Sequence + p.Length; sequenceAfter(end, f.sentEnd) {
		f.sentEnd = end
		f.queued.packets = append(f.queued.packets, slices.Clone(p.Data))
	}
	return true
}

// forwardQueued forwards a queued request, or resets its flow if the route has been removed.
func (s *Steerer) forwardQueued(r *queuedRequest, reason string) {
	f := r.flow
	s.dequeue(f)
	if s.removedRoutes[r.key.service] {
		p := Packet{Caller: r.key.caller, Service: r.key.service, Acknowledged: f.acknowledged}
		s.resetFlow(&p, f, f.target, "routeRemoved")
		return
	}
	f.queuedFor = s.now.Since(r.queuedAt)
	s.log("requestPaced", field("flow", r.key.caller.String()), field("route", f.route.Name), field("target", f.target.ID),
		field("heldMillis", formatMillis(f.queuedFor)), field("reason", reason), field("underWay", formatInt(r.service.inFlight)),
		field("window", fmt.Sprintf("%.1f", r.service.load.Window())), field("pressure", fmt.Sprintf("%.2f", r.service.load.MeanWait())))
	s.beginRequest(r.key, f, r.packets[0])
	for _, data := range r.packets {
		s.forward(f.target, 0, data)
	}
}

// discardQueued drops the queued request of a flow, if there is one.
func (s *Steerer) discardQueued(f *flow) {
	if f.queued != nil {
		s.dequeue(f)
	}
}

// dequeue removes a flow's request from the queue of its target.
func (s *Steerer) dequeue(f *flow) {
	r, t := f.queued, f.target
	t.queue.Remove(r)
	f.queued = nil
	r.service.queued--
	s.queued--
	if t.queue.Len() == 0 {
		r.service.queuingTargets = slices.DeleteFunc(r.service.queuingTargets, func(other *target) bool { return other == t })
	}
}

// forwardAllQueued forwards all requests queued for a target.
func (s *Steerer) forwardAllQueued(t *target, reason string) {
	for r, waits := t.queue.Oldest(); waits; r, waits = t.queue.Oldest() {
		s.forwardQueued(r, reason)
	}
}

// forwardWithinWindow forwards queued requests of a service while its window has capacity,
// those for the least loaded targets first.
func (s *Steerer) forwardWithinWindow(v *service) {
	for v.queued > 0 && v.load.HasCapacity(v.inFlight) {
		r := s.nextToForward(v)
		if r == nil {
			return
		}
		s.forwardQueued(r, "room")
	}
}

// nextToForward picks the queued request to forward next: one for the least loaded of the
// targets that may get a request now; nil if there is none.
func (s *Steerer) nextToForward(v *service) *queuedRequest {
	var best *queuedRequest
	var bestLoad float64
	for _, t := range v.queuingTargets {
		load := t.inFlightPerSlot()
		if best != nil && load >= bestLoad {
			continue
		}
		if r, ok := t.queue.Next(s.now, load < spareLoad); ok {
			best, bestLoad = r, load
		}
	}
	return best
}

// inFlightPerSlot is the number of requests in flight at a target per slot.
func (t *target) inFlightPerSlot() float64 {
	return float64(t.inFlight()) / float64(max(t.Slots, 1))
}

// queueTick forwards queued requests that are overdue, and those for which there is capacity.
func (s *Steerer) queueTick() {
	s.expireInFlight()
	if s.queued == 0 {
		return
	}
	for _, name := range s.servicesWithQueue() {
		v := s.services[name]
		for _, t := range slices.Clone(v.queuingTargets) {
			for r, due := t.queue.Overdue(s.now); due; r, due = t.queue.Overdue(s.now) {
				s.forwardQueued(r, "overdue")
			}
		}
		s.forwardWithinWindow(v)
	}
}

// servicesWithQueue lists the services with queued requests in sorted order, so that equal
// events give equal effects.
func (s *Steerer) servicesWithQueue() []string {
	var names []string
	for name, v := range s.services {
		if v.queued > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
