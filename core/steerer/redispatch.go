package steerer

import (
	"slices"

	"cranberryspan.dev/core/timekeeper"
)

// maxRedispatchesPerFlow bounds the targets to which this host sends an opening packet after the first:
// a caller gives up after 1.4 s, and each takes a round trip, a check and a tick or two.
const maxRedispatchesPerFlow = 8

// maxRedispatchesPerTick bounds the openings that are sent on between two ticks: some milliseconds' work
// among thousands of targets.
const maxRedispatchesPerTick = 25

// saveOpeningPacket keeps the opening packet of a flow whose service is short of connections, so
// that it can be sent on.
func (s *Steerer) saveOpeningPacket(f *flow, p *Packet) {
	if s.connections.constrained[f.target.Service] != nil {
		f.bufferedRequest = slices.Clone(p.Data)
	}
}

// possiblyFull reports whether the target of a flow that has not opened was found full of late.
// Copies of its opening packet then go elsewhere although the target works.
//
// What goes wrong if belief is enough: the target has taken the flow, its answer is lost, and
// the copy opens the flow at a second target.
func (s *Steerer) possiblyFull(f *flow) bool {
	v := s.connections.constrained[f.target.Service]
	return v != nil && !f.established && f.target.foundFullBefore(s.now)
}

// foundFullBefore reports whether a target was found full within some time before a moment.
func (t *target) foundFullBefore(at timekeeper.Instant) bool {
	return t.foundFullAt != 0 && t.foundFullAt < at && at.Since(t.foundFullAt) < minProbeInterval
}

// watchResentOpening looks at a copy of an opening packet as at the first, if its target may be full,
// too: the caller's next copy comes 400 ms later.
func (s *Steerer) watchResentOpening(key flowKey, f *flow) {
	if f.bufferedRequest != nil {
		f.openingSentAt = s.now
		s.watchOpening(key, f.target)
	}
}

// probeIfPossiblyFull checks the target of a flow that should have opened by now, if its service is
// short of connections.
//
// What goes wrong if only silence of the whole target counts: a full target answers those
// that it holds, so it shows life, and the callers that it does not take wait for their
// repeats. One notices by openings that take 200 ms at targets that work.
func (s *Steerer) probeIfPossiblyFull(f *flow) {
	v := s.connections.constrained[f.target.Service]
	if v == nil || f.bufferedRequest == nil || !s.silenceIsEvidence() {
		return
	}
	s.probe(f.target, s.probeTimeout(f.target, f.openingSentAt))
}

// handleFullTarget takes in that a target has cut a check short. If flows wait there to open, it is
// full. It may have become so by what it has just taken, so only some are sent on; see
// certainlyNotAccepted. For the next flow that waits there it may be checked again at once.
func (s *Steerer) handleFullTarget(t *target) {
	v := s.connections.constrained[t.Service]
	if v == nil {
		return
	}
	var keys, notAccepted []flowKey
	for _, check := range s.overdueOpenings {
		f := s.flows[check.key]
		if f != nil && f.target == t && !f.established && f.bufferedRequest != nil && f.openingSentAt == check.since {
			keys = append(keys, check.key)
			if f.certainlyNotAccepted() {
				notAccepted = append(notAccepted, check.key)
			}
		}
	}
	if len(keys) == 0 {
		return
	}
	for _, key := range keys {
		s.uncountConnection(s.flows[key]) // It holds none there, or one among those that fill the target.
	}
	before := s.estimateFlows(t, v)
	t.foundFullAt = s.now
	t.health.probeDeadline = s.now
	s.connections.limiter.MarkFull(s.connections.limiter.Target(uint32(t.tag)), v.limit, s.unreportedFlows(t, v), s.now)
	s.logConnections("targetFull", t, v, s.estimateFlows(t, v), field("cause", "checkCut"), field("believed", formatInt(before.Total())), field("waiting", formatInt(len(keys))))
	for _, key := range notAccepted {
		if f := s.flows[key]; !f.queuedForRedispatch {
			f.queuedForRedispatch = true
			s.connections.redispatchQueue = append(s.connections.redispatchQueue, flowTimer{key: key, since: f.openingSentAt})
		}
	}
	s.redispatchQueued()
}

// redispatchQueued sends on as many of the openings that wait for it as a tick allows.
//
// What goes wrong without a bound: a target with hundreds of openings turns out to be full,
// a choice among thousands of targets is made for each, and all other packets wait behind.
func (s *Steerer) redispatchQueued() {
	c := &s.connections
	for len(c.redispatchQueue) > 0 && c.redispatchesThisTick < maxRedispatchesPerTick {
		check := c.redispatchQueue[0]
		c.redispatchQueue = c.redispatchQueue[1:]
		f := s.flows[check.key]
		if f == nil {
			continue
		}
		f.queuedForRedispatch = false
		if !f.established && f.bufferedRequest != nil && f.openingSentAt == check.since {
			c.redispatchesThisTick++
			s.redispatch(check.key, f)
		}
	}
}

// certainlyNotAccepted reports whether a flow that waits at a full target can't be open there: it was
// placed when the target was full already, or its caller has repeated itself here.
//
// What goes wrong if all that wait are sent on: a target takes a flow as its last, the caller
// goes on through another host, and this one opens the flow at a second target. One notices
// by resets of flows that were open.
func (f *flow) certainlyNotAccepted() bool {
	return f.openingResentByCaller || f.target.foundFullBefore(f.openingSentAt)
}

// redispatch sends an opening packet that its target does not take to another.
//
// In general an opening packet goes to one target at a time, since two that both answer
// leave it open which of them has the flow. One that is full answers nothing.
func (s *Steerer) redispatch(key flowKey, f *flow) {
	if f.redispatches == maxRedispatchesPerFlow {
		return
	}
	route, ok := s.settings.RouteAt(key.service)
	if !ok || route.pickService(key.hash()) != f.target.Service {
		return // Settings have changed; its caller's repeat goes by them.
	}
	f.route = route
	c := placement{route: route, service: f.target.Service, hash: key.hash(), avoid: f.target}
	to := s.chooseTarget(c)
	if to == nil || to == f.target {
		return // Its caller repeats itself, and is refused if there is still none.
	}
	s.counts.add(FlowRedispatched)
	s.log("flowSentOn", field("flow", key.caller.String()), field("from", f.target.ID), field("target", to.ID), field("waitedMillis", formatMillis(s.now.Since(f.openingSentAt))))
	s.recordColdFlow(to)
	s.moveFlow(f, to)
	f.redispatches++
	f.openingResent = true // How long it takes from now on says nothing of the path.
	f.openingSentAt, f.lastPacket = s.now, s.now
	s.watchOpening(key, to)
	s.forward(to, to.tag, f.bufferedRequest)
}

// anyTargetFull reports whether a target is passed over only because it is full.
func (s *Steerer) anyTargetFull(c *placement, views []zoneView) bool {
	constraint := s.constraintFor(c)
	return constraint != nil && slices.ContainsFunc(s.targets.candidates(c.service), func(t *target) bool {
		_, hasRoom := s.connectionLoad(t, constraint)
		return !hasRoom && s.exclusionOf(t, views) == notExcluded
	})
}

// refuseAllFull refuses a flow because all targets are full.
func (s *Steerer) refuseAllFull(p *Packet, c *placement) {
	s.counts.add(RefusedFull)
	v := s.connections.constrained[c.service]
	bound := v.limitFor(&c.route)
	s.refuseFlow(p, "connections", field("service", c.service), field("priority", formatInt(c.route.Priority)), field("flows", formatInt(v.flows)), field("places", formatInt(v.capacity)),
		field("bound", formatInt(bound.MaxFlows)), field("reserved", formatInt(bound.Reserved)), field("toldAgeMillis", formatAge(s.now, s.connections.lastFlowReport)))
}

// connectionsAt is how many flows a target holds as far as known, and how many it may; 0 if
// its service has plenty.
func (s *Steerer) connectionsAt(t *target) (flows, bound int) {
	v := s.connections.constrained[t.Service]
	if v == nil {
		return 0, 0
	}
	return s.estimateFlows(t, v).Total(), v.limit
}

// needsFlowReport reports whether a host that has just been heard of should learn at once what
// this one holds.
//
// What goes wrong otherwise: a host starts again, takes the targets to be empty, and sends
// a crowd of opening packets to targets that are full.
func (s *Steerer) needsFlowReport(p *peer) bool {
	return len(s.connections.constrained) > 0 && p.zone == s.config.AvailabilityZone
}
