package steerer

import (
	"slices"

	"cranberryspan.dev/core/timekeeper"
)

// maxRedispatchesPerFlow limits the targets to which this host sends an opening packet
// after the first: a caller gives up after 1.4 s, and each redispatch takes a round trip, a
// probe and one or two ticks.
const maxRedispatchesPerFlow = 8

// maxRedispatchesPerTick limits the redispatches between two ticks: with thousands of
// targets they take a few milliseconds.
const maxRedispatchesPerTick = 25

// saveOpeningPacket keeps the opening packet of a flow whose service is constrained, so
// that it can be redispatched.
func (s *Steerer) saveOpeningPacket(f *flow, p *Packet) {
	if s.connections.constrained[f.target.Service] != nil {
		f.bufferedRequest = slices.Clone(p.Data)
	}
}

// possiblyFull reports whether the target of a half-open flow was found full recently.
// Retransmissions of its opening packet are then sent to another target even if this one
// responds.
//
// An estimate is not enough: if the target has accepted the flow and its response was lost,
// the retransmission would open the flow at a second target.
func (s *Steerer) possiblyFull(f *flow) bool {
	v := s.connections.constrained[f.target.Service]
	return v != nil && !f.established && f.target.foundFullBefore(s.now)
}

// foundFullBefore reports whether a target was found full less than minProbeInterval before
// the given time.
func (t *target) foundFullBefore(at timekeeper.Instant) bool {
	return t.foundFullAt != 0 && t.foundFullAt < at && at.Since(t.foundFullAt) < minProbeInterval
}

// watchResentOpening starts the opening timer again for a retransmission if its target may
// be full, too: the caller's next retransmission comes 400 ms later.
func (s *Steerer) watchResentOpening(key flowKey, f *flow) {
	if f.bufferedRequest != nil {
		f.openingSentAt = s.now
		s.watchOpening(key, f.target)
	}
}

// probeIfPossiblyFull probes the target of a flow that should have been established by now,
// if its service is constrained.
//
// Without this, with probes only for targets that are unresponsive as a whole, a full
// target is not noticed: it responds on the flows that it holds, and the callers that it
// does not accept wait for their retransmission timeouts. This shows as flows that take 200
// ms to open at targets that work.
func (s *Steerer) probeIfPossiblyFull(f *flow) {
	v := s.connections.constrained[f.target.Service]
	if v == nil || f.bufferedRequest == nil || !s.missingResponsesAreEvidence() {
		return
	}
	s.probe(f.target, s.probeTimeout(f.target, f.openingSentAt))
}

// handleFullTarget handles a probe whose connection the target closed at once. If flows are
// half-open there, the target is full. One of them may be the flow that filled it, so only
// some are redispatched; see certainlyNotAccepted. The target may be probed again at once
// for the next flow that does not open there.
func (s *Steerer) handleFullTarget(t *target) {
	v := s.connections.constrained[t.Service]
	if v == nil {
		return
	}
	var keys, notAccepted []flowKey
	for _, timer := range s.overdueOpenings {
		f := s.flows[timer.key]
		if f != nil && f.target == t && !f.established && f.bufferedRequest != nil && f.openingSentAt == timer.since {
			keys = append(keys, timer.key)
			if f.certainlyNotAccepted() {
				notAccepted = append(notAccepted, timer.key)
			}
		}
	}
	if len(keys) == 0 {
		return
	}
	for _, key := range keys {
		s.uncountConnection(s.flows[key]) // The flow holds no connection there, or one of those that fill the target.
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

// redispatchQueued redispatches as many of the queued opening packets as a tick allows.
//
// Without the limit, when a target with hundreds of half-open flows is found full, a target
// among thousands is chosen for each of them in one event, and all other packets wait.
func (s *Steerer) redispatchQueued() {
	c := &s.connections
	for len(c.redispatchQueue) > 0 && c.redispatchesThisTick < maxRedispatchesPerTick {
		timer := c.redispatchQueue[0]
		c.redispatchQueue = c.redispatchQueue[1:]
		f := s.flows[timer.key]
		if f == nil {
			continue
		}
		f.queuedForRedispatch = false
		if !f.established && f.bufferedRequest != nil && f.openingSentAt == timer.since {
			c.redispatchesThisTick++
			s.redispatch(timer.key, f)
		}
	}
}

// certainlyNotAccepted reports whether a half-open flow at a full target cannot be open
// there: the target was already found full when the flow was placed, or the caller has
// retransmitted its opening packet at this host.
//
// If all half-open flows were redispatched, this host would open a flow at a second target
// when the first has accepted it as its last and the caller continues through another host.
// This would show as resets of established flows.
func (f *flow) certainlyNotAccepted() bool {
	return f.openingResentByCaller || f.target.foundFullBefore(f.openingSentAt)
}

// redispatch sends an opening packet that its target does not accept to another target.
//
// In general an opening packet goes to one target at a time: if two targets respond, it is
// undefined which of them has the flow. A full target does not respond.
func (s *Steerer) redispatch(key flowKey, f *flow) {
	if f.redispatches == maxRedispatchesPerFlow {
		return
	}
	route, ok := s.settings.RouteAt(key.service)
	if !ok || route.pickService(key.hash()) != f.target.Service {
		return // The settings have changed; the caller's retransmission is handled by the new ones.
	}
	f.route = route
	c := placement{route: route, service: f.target.Service, hash: key.hash(), avoid: f.target}
	to := s.chooseTarget(c)
	if to == nil || to == f.target {
		return // The caller retransmits, and is refused if there is still no other target.
	}
	s.counters.add(FlowRedispatched)
	s.log("flowSentOn", field("flow", key.caller.String()), field("from", f.target.ID), field("target", to.ID), field("waitedMillis", formatMillis(s.now.Since(f.openingSentAt))))
	s.recordOverriddenOrder(to)
	s.recordColdFlow(to)
	s.moveFlow(f, to)
	f.redispatches++
	f.openingResent = true // The handshake time no longer measures the network path.
	f.openingSentAt, f.lastPacket = s.now, s.now
	s.watchOpening(key, to)
	s.forward(to, to.tag, f.bufferedRequest)
}

// anyTargetFull reports whether a target is excluded only because it is full.
func (s *Steerer) anyTargetFull(c *placement, views []zoneView) bool {
	constraint := s.constraintFor(c)
	return constraint != nil && slices.ContainsFunc(s.targets.candidates(c.service), func(t *target) bool {
		_, available := s.connectionLoad(t, constraint)
		return !available && s.exclusionOf(t, views) == notExcluded
	})
}

// refuseAllFull refuses a flow because all targets are full.
func (s *Steerer) refuseAllFull(p *Packet, c *placement) {
	s.counters.add(RefusedFull)
	v := s.connections.constrained[c.service]
	limit := v.limitFor(&c.route)
	s.refuseFlow(p, "connections", field("service", c.service), field("priority", formatInt(c.route.Priority)), field("flows", formatInt(v.flows)), field("places", formatInt(v.capacity)),
		field("bound", formatInt(limit.MaxFlows)), field("reserved", formatInt(limit.Reserved)), field("toldAgeMillis", formatAge(s.now, s.connections.lastFlowReport)))
}

// connectionsAt returns the estimated number of flows at a target and its connection limit;
// both 0 if its service is not constrained.
func (s *Steerer) connectionsAt(t *target) (flows, limit int) {
	v := s.connections.constrained[t.Service]
	if v == nil {
		return 0, 0
	}
	return s.estimateFlows(t, v).Total(), v.limit
}

// needsFlowReport reports whether a host whose first report has just arrived should receive
// this host's flow counts at once.
//
// Without this, a restarted host assumes that the targets are empty, and sends a burst of
// opening packets to full targets.
func (s *Steerer) needsFlowReport(p *peer) bool {
	return len(s.connections.constrained) > 0 && p.zone == s.config.AvailabilityZone
}
