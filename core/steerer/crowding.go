package steerer

import (
	"slices"

	"cranberryspan.dev/core/timekeeper"
)

// maxSentOn bounds the targets to which this host sends an opening packet after the first:
// a caller gives up after 1.4 s, and each takes a round trip, a check and a tick or two.
const maxSentOn = 8

// maxSendsOn bounds the openings that are sent on between two ticks: some milliseconds' work
// among thousands of targets.
const maxSendsOn = 25

// keepOpening keeps the opening packet of a flow whose service is short of connections, so
// that it can be sent on.
func (s *Steerer) keepOpening(f *flow, p *Packet) {
	if s.connections.tight[f.target.Service] != nil {
		f.request = slices.Clone(p.Data)
	}
}

// mayBeFull reports whether the target of a flow that has not opened was found full of late.
// Copies of its opening packet then go elsewhere although the target works.
//
// What goes wrong if belief is enough: the target has taken the flow, its answer is lost, and
// the copy opens the flow at a second target.
func (s *Steerer) mayBeFull(f *flow) bool {
	v := s.connections.tight[f.target.Service]
	return v != nil && !f.opened && f.target.foundFullOf(s.now)
}

// foundFullOf reports whether a target was found full within some time before a moment.
func (t *target) foundFullOf(at timekeeper.Instant) bool {
	return t.foundFullAt != 0 && t.foundFullAt < at && at.Since(t.foundFullAt) < probeEvery
}

// watchCopy looks at a copy of an opening packet as at the first, if its target may be full,
// too: the caller's next copy comes 400 ms later.
func (s *Steerer) watchCopy(key flowKey, f *flow) {
	if f.request != nil {
		f.openedAt = s.now
		s.watchOpening(key, f.target)
	}
}

// checkFull checks the target of a flow that should have opened by now, if its service is
// short of connections.
//
// What goes wrong if only silence of the whole target counts: a full target answers those
// that it holds, so it shows life, and the callers that it does not take wait for their
// repeats. One notices by openings that take 200 ms at targets that work.
func (s *Steerer) checkFull(f *flow) {
	v := s.connections.tight[f.target.Service]
	if v == nil || f.request == nil || !s.trusts() {
		return
	}
	s.probe(f.target, s.checkPatience(f.target, f.openedAt))
}

// foundFull takes in that a target has cut a check short. If flows wait there to open, it is
// full. It may have become so by what it has just taken, so only some are sent on; see
// neverTaken. For the next flow that waits there it may be checked again at once.
func (s *Steerer) foundFull(t *target) {
	v := s.connections.tight[t.Service]
	if v == nil {
		return
	}
	var keys, never []flowKey
	for _, check := range s.opening {
		f := s.flows[check.key]
		if f != nil && f.target == t && !f.opened && f.request != nil && f.openedAt == check.since {
			keys = append(keys, check.key)
			if f.neverTaken() {
				never = append(never, check.key)
			}
		}
	}
	if len(keys) == 0 {
		return
	}
	for _, key := range keys {
		s.releasePlace(s.flows[key]) // It holds none there, or one among those that fill the target.
	}
	before := s.belief(t, v)
	t.foundFullAt = s.now
	t.health.probeDeadline = s.now
	s.connections.limiter.MarkFull(s.connections.limiter.Target(uint32(t.tag)), v.bound, s.guess(t, v), s.now)
	s.logConnections("targetFull", t, v, s.belief(t, v), field("cause", "checkCut"), field("believed", itoa(before.Total())), field("waiting", itoa(len(keys))))
	for _, key := range never {
		if f := s.flows[key]; !f.queued {
			f.queued = true
			s.connections.toSendOn = append(s.connections.toSendOn, flowCheck{key: key, since: f.openedAt})
		}
	}
	s.sendOnWaiting()
}

// sendOnWaiting sends on as many of the openings that wait for it as a tick allows.
//
// What goes wrong without a bound: a target with hundreds of openings turns out to be full,
// a choice among thousands of targets is made for each, and all other packets wait behind.
func (s *Steerer) sendOnWaiting() {
	c := &s.connections
	for len(c.toSendOn) > 0 && c.sendsOn < maxSendsOn {
		check := c.toSendOn[0]
		c.toSendOn = c.toSendOn[1:]
		f := s.flows[check.key]
		if f == nil {
			continue
		}
		f.queued = false
		if !f.opened && f.request != nil && f.openedAt == check.since {
			c.sendsOn++
			s.sendOn(check.key, f)
		}
	}
}

// neverTaken reports whether a flow that waits at a full target can't be open there: it was
// placed when the target was full already, or its caller has repeated itself here.
//
// What goes wrong if all that wait are sent on: a target takes a flow as its last, the caller
// goes on through another host, and this one opens the flow at a second target. One notices
// by resets of flows that were open.
func (f *flow) neverTaken() bool { return f.repeated || f.target.foundFullOf(f.openedAt) }

// sendOn sends an opening packet that its target does not take to another.
//
// In general an opening packet goes to one target at a time, since two that both answer
// leave it open which of them has the flow. One that is full answers nothing.
func (s *Steerer) sendOn(key flowKey, f *flow) {
	if f.sentOn == maxSentOn {
		return
	}
	route, ok := s.settings.RouteAt(key.service)
	if !ok || route.serviceFor(key.hash()) != f.target.Service {
		return // Settings have changed; its caller's repeat goes by them.
	}
	f.route = route
	c := choice{route: route, service: f.target.Service, hash: key.hash(), avoid: f.target}
	to := s.choose(c)
	if to == nil || to == f.target {
		return // Its caller repeats itself, and is refused if there is still none.
	}
	s.counts.add(SentOn)
	s.log("flowSentOn", field("flow", key.caller.String()), field("from", f.target.ID), field("target", to.ID), field("waitedMillis", millis(s.now.Since(f.openedAt))))
	s.notePlaced(to)
	s.move(f, to)
	f.sentOn++
	f.copied = true // How long it takes from now on says nothing of the path.
	f.openedAt, f.lastPacket = s.now, s.now
	s.watchOpening(key, to)
	s.sendTarget(to, to.tag, f.request)
}

// anyFull reports whether a target is passed over only because it is full.
func (s *Steerer) anyFull(c *choice, views []zoneView) bool {
	crowd := s.crowdOf(c)
	return crowd != nil && slices.ContainsFunc(s.targets.choices(c.service), func(t *target) bool {
		_, room := s.connectionLoad(t, crowd)
		return !room && s.excluded(t, views) == notExcluded
	})
}

// refuseFull refuses a flow because all targets are full.
func (s *Steerer) refuseFull(p *Packet, c *choice) {
	s.counts.add(RefusedFull)
	v := s.connections.tight[c.service]
	bound := v.boundFor(&c.route)
	s.refuse(p, "connections", field("service", c.service), field("priority", itoa(c.route.Priority)), field("flows", itoa(v.flows)), field("places", itoa(v.places)),
		field("bound", itoa(bound.MaxFlows)), field("reserved", itoa(bound.Reserved)), field("toldAgeMillis", ageText(s.now, s.connections.heard)))
}

// connectionsOf is how many flows a target holds as far as known, and how many it may; 0 if
// its service has plenty.
func (s *Steerer) connectionsOf(t *target) (flows, bound int) {
	v := s.connections.tight[t.Service]
	if v == nil {
		return 0, 0
	}
	return s.belief(t, v).Total(), v.bound
}

// tellsOfFlows reports whether a host that has just been heard of should learn at once what
// this one holds.
//
// What goes wrong otherwise: a host starts again, takes the targets to be empty, and sends
// a crowd of opening packets to targets that are full.
func (s *Steerer) tellsOfFlows(p *peer) bool {
	return len(s.connections.tight) > 0 && p.zone == s.config.AvailabilityZone
}
