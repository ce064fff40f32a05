package steerer

// windowBytes is the maximum that a caller sends without an acknowledgement: 16 packets of
// 1,200 bytes. Data beyond it shows that the target makes progress.
const windowBytes = 16 * 1200

func (s *Steerer) callerPacketReceived(p *Packet) {
	if s.isStale(p) {
		s.dropStale(p)
		return
	}
	s.shutdown.lastPacket = s.now
	s.recordLinkBytes(len(p.Data)+packetOverheadBytes, 0)
	if !s.canRoute() {
		if !s.forwardByTag(p) {
			s.holdPacket(p)
		}
		return
	}
	s.forwardPacket(p)
}

// forwardPacket forwards a packet to its target.
func (s *Steerer) forwardPacket(p *Packet) {
	if p.isOpening() {
		s.handleOpeningPacket(p)
		return
	}
	s.handleLaterPacket(p)
}

// handleOpeningPacket chooses a target for a new flow, or for a retransmitted opening
// packet.
func (s *Steerer) handleOpeningPacket(p *Packet) {
	key := flowKey{p.Caller, p.Service}
	route, ok := s.settings.RouteAt(p.Service)
	if !ok {
		s.refuseFlow(p, "noRoute", field("version", formatUint(s.settings.Version)))
		return
	}
	f := s.flows[key]
	if f != nil && (f.established || f.closed) {
		s.forgetFlow(key, f) // The caller reuses the port for a new flow.
		f = nil
	}
	service := route.pickService(key.hash())
	c := placement{route: route, service: service, hash: key.hash()}
	if f == nil {
		s.usageOf(service, &route).requestedFlows++
	}
	to := s.chooseForOpening(f, &c)
	if to == nil {
		s.refuseWithoutTarget(p, c)
		return
	}
	if f == nil && s.refuseNewFlow(p, &route, service, to) {
		return
	}
	if f == nil || f.target != to {
		s.recordColdFlow(to)
	}
	if f == nil {
		f = &flow{target: to, route: route, firstRequestCounted: true, openingSentAt: s.now, lastPacket: s.now}
		if !s.rememberFlow(key, f) {
			s.forward(to, to.tag, p.Data)
			return
		}
		s.saveOpeningPacket(f, p)
		s.recordFlowStart(key, f)
		s.watchOpening(key, to)
	} else {
		s.recordOpeningResent(f, to)
		s.watchResentOpening(key, f)
	}
	s.logPlacement(p, f, to)
	s.recordOverriddenOrder(to)
	s.forward(to, to.tag, p.Data)
}

// chooseForOpening chooses the target of a new flow, or of a retransmitted opening packet.
//
// If every retransmission went to the first target, an attempt at an unresponsive target
// would fail after 1.4 s. If every one went to another target, a lost response of the first
// target would leave the flow open at two targets. So a retransmission goes to another
// target only if the first has made no progress since.
func (s *Steerer) chooseForOpening(f *flow, c *placement) *target {
	if f == nil {
		return s.chooseTarget(*c)
	}
	keepTarget := f.target.Service == c.service && s.exclusionOf(f.target, s.evaluateZones(c)) == notExcluded
	if keepTarget && f.target.health.lastProgress > f.openingSentAt && !s.possiblyFull(f) {
		return f.target
	}
	c.avoid = f.target
	return s.chooseTarget(*c)
}

// recordOpeningResent records a retransmitted opening packet, and moves the half-open flow
// if another target was chosen.
func (s *Steerer) recordOpeningResent(f *flow, to *target) {
	s.recordStall(f.target, "openingCopy", f.openingSentAt)
	f.openingResent = true
	f.openingResentByCaller = true
	f.lastPacket = s.now
	if f.target != to {
		s.moveFlow(f, to)
	}
}

// handleLaterPacket forwards a packet to the target that its tag identifies.
func (s *Steerer) handleLaterPacket(p *Packet) {
	key := flowKey{p.Caller, p.Service}
	f := s.flows[key]
	to, ok := s.targets.byTag[p.Tag]
	if !ok {
		s.dropUnknownTag(p)
		return
	}
	route, routed := s.settings.RouteAt(p.Service)
	if !routed && s.removedRoutes[p.Service] {
		// The flow's route was removed; the caller should learn of it at once.
		if f != nil {
			s.discardQueued(f)
		}
		s.resetFlow(p, f, to, "routeRemoved")
		return
	}
	if f == nil {
		f = &flow{target: to, route: route, established: true, openingSentAt: s.now, sentEnd: p.Sequence, acknowledged: p.Acknowledged, lastPacket: s.now}
		if !s.rememberFlow(key, f) {
			s.forward(to, 0, p.Data)
			return
		}
		s.probeIfZoneLost(to, p)
	}
	s.recordBulkFlow(f, p)
	s.recordEstablished(f, to, p)
	if f.queued != nil && s.queuePacket(f, p) {
		return
	}
	if s.observeData(key, f, p) {
		return
	}
	if s.resetIfUnreachable(key, f, p) {
		return
	}
	s.forward(to, 0, p.Data)
	if p.Flags.Has(FlagReset) || p.Flags.Has(FlagEnd) {
		s.closeFlow(key, f)
	}
}

// recordEstablished records that a flow is established, and at which target.
func (s *Steerer) recordEstablished(f *flow, to *target, p *Packet) {
	f.lastPacket = s.now
	moved := f.target != to
	if moved {
		s.moveFlow(f, to)
	}
	if f.established {
		return
	}
	if !moved && !f.openingResent {
		s.recordZoneContact(to.AvailabilityZone, to.ID)
	}
	f.established = true
	f.bufferedRequest = nil
	if !f.closed {
		s.countConnection(f)
	}
	s.usageOf(to.Service, &f.route).establishedFlows++
	s.recordHandshake(f)
	s.recordHandshakeTime(f)
	to.halfOpen--
	f.sentEnd = p.Sequence
	f.acknowledged = p.Acknowledged
	s.recordProgress(to)
}

// observeData infers from a caller's packet whether the target makes progress, and whether
// a request begins. It reports whether the packet is queued at this host.
func (s *Steerer) observeData(key flowKey, f *flow, p *Packet) bool {
	if sequenceAfter(p.Acknowledged, f.acknowledged) {
		f.acknowledged = p.Acknowledged
		f.unconfirmedBytes = 0
		s.recordProgress(f.target)
		s.responseStarted(f)
	}
	if p.Length == 0 || f.closed {
		return false
	}
	end := p.Sequence + p.Length
	if !sequenceAfter(end, f.sentEnd) {
		if f.awaitingResponse {
			s.recordStall(f.target, "dataRepeated", f.requestStartedAt)
		}
		return false
	}
	f.unconfirmedBytes += p.Length
	f.sentEnd = end
	if f.unconfirmedBytes > windowBytes {
		f.unconfirmedBytes = 0
		s.recordProgress(f.target)
	}
	if f.awaitingResponse {
		f.lastData = s.now
		return false
	}
	s.recordRequestDemand(f)
	s.chargeQuota(p, f)
	if s.enqueue(key, f, p) {
		return true
	}
	f.queuedFor = 0
	s.beginRequest(key, f, p.Data)
	return false
}

// responseStarted handles a caller's acknowledgement of the beginning of a response.
func (s *Steerer) responseStarted(f *flow) {
	if !f.awaitingResponse {
		return
	}
	took := s.now.Since(f.requestStartedAt)
	s.emit(&ObserveLatency{Route: f.route, Latency: took + f.queuedFor})
	s.observeLoad(f, took)
	s.recordQueueingDelay(f, took)
	s.recordResponse(f, took)
	s.setAwaitingResponse(f, false)
	s.forwardWithinWindow(s.service(f.target.Service))
}

// dropUnknownTag drops a packet whose tag this host does not know.
//
// Either the target is new and this host has not learned of it yet, or it has exited. Any
// other action could be wrong: another target does not have the flow, and a reset breaks
// the flow if the target is alive. The caller retransmits the packet.
func (s *Steerer) dropUnknownTag(p *Packet) {
	s.counters.add(DropUnknownTag)
	s.log("packetDropped", field("flow", p.Caller.String()), field("reason", "unknownTarget"), field("tag", p.Tag.String()), field("targetsAgeMillis", s.targetsAge()))
}

// refuseFlow resets a flow that cannot be opened, so that its caller learns of it at once. No
// request has run.
func (s *Steerer) refuseFlow(p *Packet, reason string, inputs ...Field) {
	s.counters.add(Refused)
	s.emit(&ResetFlow{Caller: p.Caller, Service: p.Service})
	s.log("flowRefused", append([]Field{field("flow", p.Caller.String()), field("service", p.Service.String()), field("reason", reason)}, inputs...)...)
}

func (s *Steerer) resetFlow(p *Packet, f *flow, to *target, reason string) {
	s.counters.add(FlowReset)
	s.emit(&ResetFlow{Caller: p.Caller, Service: p.Service, Sequence: p.Acknowledged})
	fields := []Field{field("flow", p.Caller.String()), field("reason", reason), field("target", to.ID)}
	if f != nil {
		fields = append(fields, field("kind", f.route.Kind.String()))
	}
	s.log("flowReset", append(fields, to.health.fields(s.now)...)...)
}

func (s *Steerer) logPlacement(p *Packet, f *flow, to *target) {
	s.log("flowPlaced",
		field("flow", p.Caller.String()), field("route", f.route.Name), field("copy", formatUint(uint64(p.Acknowledged))),
		field("target", to.ID), field("busy", formatInt(to.pendingRequests)), field("peersBusy", formatInt(to.peersInFlight)),
		field("flows", formatInt(to.flows)), field("version", formatUint(s.settings.Version)), field("targetsAgeMillis", s.targetsAge()))
}
