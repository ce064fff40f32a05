package steerer

import (
	"encoding/binary"
	"net/netip"
	"time"

	"cranberryspan.dev/core/timekeeper"
	"github.com/cespare/xxhash/v2"
)

const (
	// openingPatience is how long an opening packet may go without a copy and
	// without its flow opening before the target counts as refusing. Callers
	// send the first copy after 200 ms; the rest is for the network.
	openingPatience = 260 * time.Millisecond
	// windowBytes is what a caller sends at most without acknowledgement: 16
	// packets of 1,200 bytes. Data beyond it shows that the target lives.
	windowBytes = 16 * 1200
	// flowSweepEvery is how often forgotten flows are looked for.
	flowSweepEvery = time.Second
	// closedFlowMemory keeps a flow that ended for late repeats.
	closedFlowMemory = 2 * time.Second
	// defaultIdle is how long idle flows are kept before settings say so.
	defaultIdle = 15 * time.Second
)

// flow is what a host remembers of a flow whose packets it has seen. Nothing
// depends on it but the spread of new flows and the notice of silent targets.
type flow struct {
	target *target
	// earlier got the first opening packet if a copy went elsewhere.
	earlier *target
	route   Route
	// opened says that a packet came that only an open flow sends. Until then the
	// flow counts in its target's opening.
	opened bool
	// openedAt is when the first opening packet went out.
	openedAt timekeeper.Instant
	// sentEnd is the end of the data that the caller has sent, acknowledged the
	// highest byte that the caller has acknowledged.
	sentEnd      uint32
	acknowledged uint32
	// waiting says that a request is under way since waitingSince.
	waiting      bool
	waitingSince timekeeper.Instant
	// unconfirmed counts the bytes since the target last showed life.
	unconfirmed uint32
	lastPacket  timekeeper.Instant
	closed      bool
}

// openingCheck asks at its deadline whether a flow has opened.
type openingCheck struct {
	key      flowKey
	deadline timekeeper.Instant
}

func (s *Steerer) callerPacket(p *Packet) {
	s.leaving.lastPacket = s.now
	if p.opens() {
		s.openingPacket(p)
		return
	}
	s.laterPacket(p)
}

// openingPacket chooses a target for a new flow, or for the copy of an opening
// packet.
func (s *Steerer) openingPacket(p *Packet) {
	if s.settings == nil || s.targetsRevision == 0 {
		// The caller sends copies after 200 and 600 ms; by then this host knows.
		s.counts.add(DropUnknowing)
		return
	}
	key := flowKey{p.Caller, p.Service}
	route, ok := s.settings.RouteAt(p.Service)
	if !ok {
		s.refuse(p, "noRoute", Field{"version", utoa(s.settings.Version)})
		return
	}
	f := s.flows[key]
	if f != nil && (f.opened || f.closed) {
		s.forget(key, f) // The caller uses the port for a new flow.
		f = nil
	}
	service := route.serviceFor(key.hash())
	to := s.chooseForOpening(f, service, key)
	if to == nil {
		s.refuse(p, "noTarget", Field{"service", service}, Field{"targets", itoa(len(s.targets.byService[service]))})
		return
	}
	if f == nil {
		f = &flow{target: to, route: route, openedAt: s.now, lastPacket: s.now}
		if !s.remember(key, f) {
			s.sendTarget(to, to.tag, p.Data)
			return
		}
		s.opening = append(s.opening, openingCheck{key: key, deadline: s.now.Add(openingPatience)})
	} else {
		s.noteCopy(f, to)
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
func (s *Steerer) chooseForOpening(f *flow, service string, key flowKey) *target {
	if f == nil {
		return s.choose(service, key, nil)
	}
	if f.target.Service == service && f.target.health.lastProgress > f.openedAt {
		return f.target
	}
	return s.choose(service, key, f.target)
}

// noteCopy moves a flow that has not opened to another target.
func (s *Steerer) noteCopy(f *flow, to *target) {
	s.noteStall(f.target, "openingCopy")
	f.lastPacket = s.now
	if f.target != to {
		f.earlier = f.target
		s.move(f, to)
	}
}

// move counts a flow at another target.
func (s *Steerer) move(f *flow, to *target) {
	s.setWaiting(f, false)
	f.target.flows--
	to.flows++
	if !f.opened {
		f.target.opening--
		to.opening++
	}
	f.target = to
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
		s.resetFlow(p, f, to, "routeRemoved")
		return
	}
	if f == nil {
		f = &flow{target: to, route: route, opened: true, openedAt: s.now, sentEnd: p.Sequence, acknowledged: p.Acknowledged, lastPacket: s.now}
		if !s.remember(key, f) {
			s.sendTarget(to, 0, p.Data)
			return
		}
	}
	s.follow(f, to, p)
	s.observe(f, p)
	if to.health.unreachable() && f.route.Kind == KindIdempotent && p.Length > 0 {
		s.resetFlow(p, f, to, "targetUnreachable")
		s.forget(key, f)
		return
	}
	s.sendTarget(to, 0, p.Data)
	if p.Flags.Has(FlagReset) || p.Flags.Has(FlagEnd) {
		s.close(f)
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
	to.opening--
	f.sentEnd = p.Sequence
	f.acknowledged = p.Acknowledged
	s.noteProgress(to)
}

// observe reads from a caller's packet whether its target works.
func (s *Steerer) observe(f *flow, p *Packet) {
	if after(p.Acknowledged, f.acknowledged) {
		f.acknowledged = p.Acknowledged
		f.unconfirmed = 0
		s.noteProgress(f.target)
		if f.waiting {
			s.emit(&Answered{Route: f.route, Latency: s.now.Since(f.waitingSince)})
			s.setWaiting(f, false)
		}
	}
	if p.Length == 0 || f.closed {
		return
	}
	end := p.Sequence + p.Length
	if !after(end, f.sentEnd) {
		if f.waiting {
			s.noteStall(f.target, "dataRepeated")
		}
		return
	}
	f.unconfirmed += p.Length
	f.sentEnd = end
	if f.unconfirmed > windowBytes {
		f.unconfirmed = 0
		s.noteProgress(f.target)
	}
	if !f.waiting {
		s.setWaiting(f, true)
	}
}

func (s *Steerer) setWaiting(f *flow, waiting bool) {
	if f.waiting == waiting {
		return
	}
	f.waiting = waiting
	if waiting {
		f.waitingSince = s.now
		f.target.busy++
	} else {
		f.target.busy--
	}
}

// unknownTag handles a packet whose target this host does not know.
//
// The target may be new and this host late, or it has ended. A guess would be
// wrong either way: another target does not have the flow, and a reset breaks
// it if the target lives. The caller repeats the packet.
func (s *Steerer) unknownTag(p *Packet) {
	s.counts.add(DropUnknownTag)
	s.log("packetDropped", Field{"flow", p.Caller.String()}, Field{"reason", "unknownTarget"}, Field{"tag", p.Tag.String()}, Field{"targetsAgeMillis", s.targetsAge()})
}

// refuse tells a caller at once that its flow can't open. Nothing has run.
func (s *Steerer) refuse(p *Packet, reason string, inputs ...Field) {
	s.counts.add(Refused)
	s.emit(&ResetFlow{Caller: p.Caller, Service: p.Service})
	s.log("flowRefused", append([]Field{{"flow", p.Caller.String()}, {"service", p.Service.String()}, {"reason", reason}}, inputs...)...)
}

func (s *Steerer) resetFlow(p *Packet, f *flow, to *target, reason string) {
	s.counts.add(FlowReset)
	s.emit(&ResetFlow{Caller: p.Caller, Service: p.Service, Sequence: p.Acknowledged})
	fields := []Field{{"flow", p.Caller.String()}, {"reason", reason}, {"target", to.ID}}
	if f != nil {
		fields = append(fields, Field{"kind", f.route.Kind.String()})
	}
	s.log("flowReset", append(fields, to.health.fields(s.now)...)...)
}

// remember keeps a flow, unless there are too many. Nothing may be counted for a
// flow that is not kept: nobody would take it back.
func (s *Steerer) remember(key flowKey, f *flow) bool {
	if s.full() {
		s.counts.add(NotRemembered)
		return false
	}
	s.flows[key] = f
	f.target.flows++
	if !f.opened {
		f.target.opening++
	}
	return true
}

// full reports whether no further flow can be remembered.
func (s *Steerer) full() bool { return len(s.flows) >= s.config.MaxFlows }

func (s *Steerer) forget(key flowKey, f *flow) {
	if s.flows[key] != f {
		return
	}
	s.setWaiting(f, false)
	f.target.flows--
	if !f.opened {
		f.target.opening--
	}
	delete(s.flows, key)
}

func (s *Steerer) close(f *flow) {
	s.setWaiting(f, false)
	f.closed = true
}

// checkOpenings looks at flows that should have opened by now.
//
// A target that has crashed and is back refuses new flows with a reset that goes
// straight to the caller, so no copy ever shows it. One notices only that the
// flow neither opened nor was repeated.
func (s *Steerer) checkOpenings() {
	done := 0
	for _, check := range s.opening {
		if !check.deadline.Passed(s.now) {
			break
		}
		done++
		f := s.flows[check.key]
		if f == nil || f.opened || f.lastPacket != f.openedAt {
			continue
		}
		s.noteStall(f.target, "openingRefused")
		s.forget(check.key, f)
	}
	s.opening = s.opening[:copy(s.opening, s.opening[done:])]
}

func (s *Steerer) expireFlows() {
	if !s.pause.sweepDeadline.Passed(s.now) {
		return
	}
	s.pause.sweepDeadline = s.now.Add(flowSweepEvery)
	idle := defaultIdle
	if s.settings != nil && s.settings.IdleTimeout > 0 {
		idle = s.settings.IdleTimeout
	}
	for key, f := range s.flows {
		if f.waiting && f.lastPacket.Add(f.route.Timeout).Passed(s.now) {
			s.setWaiting(f, false)
		}
		keep := idle
		if f.closed {
			keep = closedFlowMemory
		}
		if f.lastPacket.Add(keep).Passed(s.now) {
			s.forget(key, f)
		}
	}
}

func (s *Steerer) logPlacement(p *Packet, f *flow, to *target) {
	s.log("flowPlaced",
		Field{"flow", p.Caller.String()}, Field{"route", f.route.Name}, Field{"copy", utoa(uint64(p.Acknowledged))},
		Field{"target", to.ID}, Field{"busy", itoa(to.busy)}, Field{"peersBusy", itoa(to.peersBusy)},
		Field{"flows", itoa(to.flows)}, Field{"version", utoa(s.settings.Version)}, Field{"targetsAgeMillis", s.targetsAge()})
}

// hash spreads flows; the copies of an opening packet have the same.
func (k flowKey) hash() uint64 { return hashAddresses(k.caller, k.service) }

func hashAddresses(a, b netip.AddrPort) uint64 {
	var buffer [36]byte
	x, y := a.Addr().As16(), b.Addr().As16()
	copy(buffer[:16], x[:])
	copy(buffer[16:32], y[:])
	binary.BigEndian.PutUint16(buffer[32:], a.Port())
	binary.BigEndian.PutUint16(buffer[34:], b.Port())
	return xxhash.Sum64(buffer[:])
}
