package steerer

// windowBytes is what a caller sends at most without acknowledgement: 16
// packets of 1,200 bytes. Data beyond it shows that the target lives.
const windowBytes = 16 * 1200

func (s *Steerer) callerPacket(p *Packet) {
	if s.stale(p) {
		s.dropStale(p)
		return
	}
	s.leaving.lastPacket = s.now
	s.noteBytes(len(p.Data)+packetOverhead, 0)
	if !s.knows() {
		if !s.passUnrouted(p) {
			s.hold(p)
		}
		return
	}
	s.steer(p)
}

// steer sends a packet to its target.
func (s *Steerer) steer(p *Packet) {
	if p.opens() {
		s.openingPacket(p)
		return
	}
	s.laterPacket(p)
}

// openingPacket chooses a target for a new flow, or for the copy of an opening
// packet.
func (s *Steerer) openingPacket(p *Packet) {
	key := flowKey{p.Caller, p.Service}
	route, ok := s.settings.RouteAt(p.Service)
	if !ok {
		s.refuse(p, "noRoute", field("version", utoa(s.settings.Version)))
		return
	}
	f := s.flows[key]
	if f != nil && (f.opened || f.closed) {
		s.forget(key, f) // The caller uses the port for a new flow.
		f = nil
	}
	service := route.serviceFor(key.hash())
	c := choice{route: route, service: service, hash: key.hash()}
	if f == nil {
		s.use(service, &route).asked++
	}
	to := s.chooseForOpening(f, &c)
	if to == nil {
		s.refuseWithoutTarget(p, c)
		return
	}
	if f == nil && s.refusesNew(p, &route, service, to) {
		return
	}
	if f == nil || f.target != to {
		s.notePlaced(to)
	}
	if f == nil {
		f = &flow{target: to, route: route, askedFor: true, openedAt: s.now, lastPacket: s.now}
		if !s.remember(key, f) {
			s.sendTarget(to, to.tag, p.Data)
			return
		}
		s.keepOpening(f, p)
		s.notePassed(key, f)
		s.watchOpening(key, to)
	} else {
		s.noteCopy(f, to)
		s.watchCopy(key, f)
	}
	s.logPlacement(p, f, to)
	s.sendTarget(to, to.tag, p.Data)
}

// chooseForOpening places a new flow, or the copy of an opening packet.
//
// What goes wrong if every copy goes where the first went: the target is silent
// and the attempt ends after 1.4 s. If every copy goes elsewhere: the answer of
// the first target was merely lost, and two targets believe in the flow. So a
// copy goes elsewhere only if the first target has shown no life since.
func (s *Steerer) chooseForOpening(f *flow, c *choice) *target {
	if f == nil {
		return s.choose(*c)
	}
	stays := f.target.Service == c.service && s.excluded(f.target, s.views(c)) == notExcluded
	if stays && f.target.health.lastProgress > f.openedAt && !s.mayBeFull(f) {
		return f.target
	}
	c.avoid = f.target
	return s.choose(*c)
}

// noteCopy moves a flow that has not opened to another target.
func (s *Steerer) noteCopy(f *flow, to *target) {
	s.noteStall(f.target, "openingCopy", f.openedAt)
	f.copied = true
	f.repeated = true
	f.lastPacket = s.now
	if f.target != to {
		s.move(f, to)
	}
}

// laterPacket passes a packet on to the target that its tag names.
func (s *Steerer) laterPacket(p *Packet) {
	key := flowKey{p.Caller, p.Service}
	f := s.flows[key]
	to, ok := s.targets.byTag[p.Tag]
	if !ok {
		s.unknownTag(p)
		return
	}
	route, routed := s.settings.RouteAt(p.Service)
	if !routed && s.removed[p.Service] {
		// The flow's route was dropped; the caller should learn it at once.
		if f != nil {
			s.dropPaced(f)
		}
		s.resetFlow(p, f, to, "routeRemoved")
		return
	}
	if f == nil {
		f = &flow{target: to, route: route, opened: true, openedAt: s.now, sentEnd: p.Sequence, acknowledged: p.Acknowledged, lastPacket: s.now}
		if !s.remember(key, f) {
			s.sendTarget(to, 0, p.Data)
			return
		}
		s.noteTakenOver(to, p)
	}
	s.noteBulk(f, p)
	s.follow(f, to, p)
	if f.paced != nil && s.pacedPacket(f, p) {
		return
	}
	if s.observe(key, f, p) {
		return
	}
	if to.health.unreachable() && f.route.Kind.repeatable() && p.Length > 0 {
		s.resetFlow(p, f, to, "targetUnreachable")
		s.forget(key, f)
		return
	}
	s.sendTarget(to, 0, p.Data)
	if p.Flags.Has(FlagReset) || p.Flags.Has(FlagEnd) {
		s.close(key, f)
	}
}

// follow notes that a flow is open, and at which target.
func (s *Steerer) follow(f *flow, to *target, p *Packet) {
	f.lastPacket = s.now
	if f.target != to {
		s.move(f, to)
	}
	if f.opened {
		return
	}
	f.opened = true
	f.request = nil
	if !f.closed {
		s.takePlace(f)
	}
	s.use(to.Service, &f.route).opened++
	s.noteOpened(f)
	s.noteOpeningTime(f)
	to.opening--
	f.sentEnd = p.Sequence
	f.acknowledged = p.Acknowledged
	s.noteProgress(to)
}

// observe reads from a caller's packet whether its target works, and whether a request
// begins. It reports whether the packet has to wait at this host.
func (s *Steerer) observe(key flowKey, f *flow, p *Packet) bool {
	if after(p.Acknowledged, f.acknowledged) {
		f.acknowledged = p.Acknowledged
		f.unconfirmed = 0
		s.noteProgress(f.target)
		s.answered(f)
	}
	if p.Length == 0 || f.closed {
		return false
	}
	end := p.Sequence + p.Length
	if !after(end, f.sentEnd) {
		if f.waiting {
			s.noteStall(f.target, "dataRepeated", f.waitingSince)
		}
		return false
	}
	f.unconfirmed += p.Length
	f.sentEnd = end
	if f.unconfirmed > windowBytes {
		f.unconfirmed = 0
		s.noteProgress(f.target)
	}
	if f.waiting {
		f.lastData = s.now
		return false
	}
	s.noteAsked(f)
	s.chargeRequest(p, f)
	if s.pace(key, f, p) {
		return true
	}
	f.pacedFor = 0
	s.beginRequest(key, f, p.Data)
	return false
}

// answered takes in that the caller has the beginning of an answer.
func (s *Steerer) answered(f *flow) {
	if !f.waiting {
		return
	}
	took := s.now.Since(f.waitingSince)
	s.emit(&Answered{Route: f.route, Latency: took + f.pacedFor})
	s.learnLoad(f, took)
	s.learnRoom(f, took)
	s.noteAnswer(f, took)
	s.setWaiting(f, false)
	s.passOn(s.service(f.target.Service))
}

// unknownTag handles a packet whose target this host does not know.
//
// The target may be new and this host late, or it has ended. A guess would be
// wrong either way: another target does not have the flow, and a reset breaks
// it if the target lives. The caller repeats the packet.
func (s *Steerer) unknownTag(p *Packet) {
	s.counts.add(DropUnknownTag)
	s.log("packetDropped", field("flow", p.Caller.String()), field("reason", "unknownTarget"), field("tag", p.Tag.String()), field("targetsAgeMillis", s.targetsAge()))
}

// refuse tells a caller at once that its flow can't open. Nothing has run.
func (s *Steerer) refuse(p *Packet, reason string, inputs ...Field) {
	s.counts.add(Refused)
	s.emit(&ResetFlow{Caller: p.Caller, Service: p.Service})
	s.log("flowRefused", append([]Field{field("flow", p.Caller.String()), field("service", p.Service.String()), field("reason", reason)}, inputs...)...)
}

func (s *Steerer) resetFlow(p *Packet, f *flow, to *target, reason string) {
	s.counts.add(FlowReset)
	s.emit(&ResetFlow{Caller: p.Caller, Service: p.Service, Sequence: p.Acknowledged})
	fields := []Field{field("flow", p.Caller.String()), field("reason", reason), field("target", to.ID)}
	if f != nil {
		fields = append(fields, field("kind", f.route.Kind.String()))
	}
	s.log("flowReset", append(fields, to.health.fields(s.now)...)...)
}

func (s *Steerer) logPlacement(p *Packet, f *flow, to *target) {
	s.log("flowPlaced",
		field("flow", p.Caller.String()), field("route", f.route.Name), field("copy", utoa(uint64(p.Acknowledged))),
		field("target", to.ID), field("busy", itoa(to.busy)), field("peersBusy", itoa(to.peersBusy)),
		field("flows", itoa(to.flows)), field("version", utoa(s.settings.Version)), field("targetsAgeMillis", s.targetsAge()))
}
