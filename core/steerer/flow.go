package steerer

import (
	"encoding/binary"
	"net/netip"
	"time"

	"cranberryspan.dev/core/limiter"
	"cranberryspan.dev/core/timekeeper"
	"github.com/cespare/xxhash/v2"
)

const (
	// openingRefusedTimeout is how long an opening packet may go without a copy and
	// without its flow opening before the target counts as refusing. Callers
	// send the first copy after 200 ms; the rest is for the network.
	openingRefusedTimeout = 260 * time.Millisecond
	// flowSweepInterval is how often forgotten flows are looked for.
	flowSweepInterval = time.Second
	// closedFlowRetention keeps a flow that ended for late repeats.
	closedFlowRetention = 2 * time.Second
	// defaultIdleTimeout is how long idle flows are kept before settings say so.
	defaultIdleTimeout = 15 * time.Second
)

// flow is what a host remembers of a flow whose packets it has seen. Nothing
// depends on it but the spread of new flows and the notice of silent targets.
type flow struct {
	target *target
	route  Route
	// established says that a packet came that only an open flow sends. Until then the
	// flow counts in its target's opening.
	established bool
	// firstRequestCounted says that the flow's first request was counted when it opened.
	firstRequestCounted bool
	// openingResent says that copies of the opening packet came, or that this host sent it on.
	openingResent bool
	// openingResentByCaller says that the caller has repeated its opening packet at this host.
	openingResentByCaller bool
	// queuedForRedispatch says that the opening packet waits for its turn to be sent on.
	queuedForRedispatch bool
	// redispatches counts the targets after the first to which this host has sent the opening
	// packet.
	redispatches uint8
	// awaitingResponse says that a request is under way.
	awaitingResponse bool
	// closed says that one end has closed the flow; it is kept for late repeats.
	closed bool
	// hasSentRequest says that the flow has brought a request.
	hasSentRequest bool
	// placedHere says that this host placed the flow at its target; it found any other open.
	placedHere bool
	// connectionCount counts the flow among those that its target holds; nil if it is not.
	connectionCount *limiter.TargetFlows
	// openingSentAt is when the first opening packet went out.
	openingSentAt timekeeper.Instant
	// sentEnd is the end of the data that the caller has sent, acknowledged the
	// highest byte that the caller has acknowledged.
	sentEnd      uint32
	acknowledged uint32
	// requestStartedAt is when the request under way began.
	requestStartedAt timekeeper.Instant
	// bufferedRequest is the first packet of the request that waits, if it is kept; of a flow that
	// has not opened it is the opening packet, if its service is short of connections.
	bufferedRequest []byte
	// paced is the flow's request that waits at this host, pacedFor how long the last
	// one waited. underWay is the service that counts the request that was passed on.
	paced      *queuedRequest
	pacedFor   time.Duration
	inFlightAt *service
	// lastData is when the last new data of the request under way was passed on.
	lastData timekeeper.Instant
	// expectedLatency is how long that request should take from its end, 0 if that is not known.
	expectedLatency time.Duration
	// assumedExcess is how much longer it has taken so far, as a binary logarithm; see
	// estimator.Excess. It was learned while the request waited; 0 if nothing was.
	assumedExcess float64
	// unconfirmedBytes counts the bytes since the target last showed life.
	unconfirmedBytes uint32
	lastPacket       timekeeper.Instant
	// bulkWindow is the last of the path's spans in which the flow sent much.
	bulkWindow timekeeper.Instant
	// callerCountedAt is the service at which the flow counts for its caller; nil if it does not.
	callerCountedAt *service
}

// flowTimer looks at a flow again at a deadline, because of something that began at a
// moment.
type flowTimer struct {
	key      flowKey
	since    timekeeper.Instant
	deadline timekeeper.Instant
}

// flowTimers are checks in the order in which they were added. One whose deadline is
// earlier than that of one before it waits for that.
type flowTimers []flowTimer

func (c *flowTimers) add(timer flowTimer) { *c = append(*c, timer) }

// expire takes out the checks that are due and calls do with each.
func (c *flowTimers) expire(now timekeeper.Instant, onExpired func(flowTimer)) {
	done := 0
	for _, check := range *c {
		if !check.deadline.Passed(now) {
			break
		}
		done++
		onExpired(check)
	}
	*c = (*c)[:copy(*c, (*c)[done:])]
}

// rememberFlow keeps a flow, unless there are too many. Nothing may be counted for a
// flow that is not kept: nobody would take it back.
func (s *Steerer) rememberFlow(key flowKey, f *flow) bool {
	if s.flowTableFull() {
		s.counts.add(FlowTableFull)
		return false
	}
	s.flows[key] = f
	f.target.flows++
	s.targets.markInUse(f.target)
	s.countConnection(f)
	if !f.established {
		f.target.halfOpen++
	}
	return true
}

// flowTableFull reports whether no further flow can be remembered.
func (s *Steerer) flowTableFull() bool { return len(s.flows) >= s.config.MaxFlows }

func (s *Steerer) forgetFlow(key flowKey, f *flow) {
	if s.flows[key] != f {
		return
	}
	s.discardQueued(f)
	s.setAwaitingResponse(f, false)
	s.recordFlowEnd(key, f)
	f.target.flows--
	s.uncountConnection(f)
	if !f.established {
		f.target.halfOpen--
	}
	delete(s.flows, key)
}

func (s *Steerer) closeFlow(key flowKey, f *flow) {
	s.discardQueued(f)
	s.setAwaitingResponse(f, false)
	s.recordFlowEnd(key, f)
	f.closed = true
	s.uncountConnection(f) // Both ends close at once: a caller has nothing to wait for after its last answer.
}

// watchOpening looks at a flow again that has just been sent to a target.
func (s *Steerer) watchOpening(key flowKey, to *target) {
	s.awaitedOpenings.add(flowTimer{key: key, since: s.now, deadline: s.now.Add(s.diagnoser.ResponseTimeout(to.AvailabilityZone, s.now))})
}

// checkOpenings looks at flows that should have opened by now.
//
// A flow opens within a round trip. What goes wrong if one waits for the caller's copy: a
// zone crashes, callers repeat themselves after 200 ms, and only then is the first of its
// targets checked; by then every caller of the zone has an opening packet or a request at
// a dead target. A target that has crashed and is back refuses new flows with a reset
// that goes straight to the caller, so that no copy ever shows it.
func (s *Steerer) checkOpenings() {
	s.awaitedOpenings.expire(s.now, func(timer flowTimer) {
		f := s.flows[timer.key]
		if f == nil || f.established || f.openingSentAt != timer.since {
			return
		}
		s.overdueOpenings.add(flowTimer{key: timer.key, since: timer.since, deadline: timer.since.Add(openingRefusedTimeout)})
		if f.target.health.lastProgress <= timer.since {
			s.suspect(f.target, "openingSlow", timer.since)
		}
		s.probeIfPossiblyFull(f)
	})
	s.overdueOpenings.expire(s.now, func(timer flowTimer) {
		f := s.flows[timer.key]
		if f == nil || f.established || f.openingResent || f.lastPacket != f.openingSentAt {
			return
		}
		s.recordStall(f.target, "openingRefused", f.openingSentAt)
		s.forgetFlow(timer.key, f)
	})
}

func (s *Steerer) expireFlows() {
	if !s.flowSweepDeadline.Passed(s.now) {
		return
	}
	s.flowSweepDeadline = s.now.Add(flowSweepInterval)
	idle := defaultIdleTimeout
	if s.settings != nil && s.settings.IdleTimeout > 0 {
		idle = s.settings.IdleTimeout
	}
	for key, f := range s.flows {
		if f.awaitingResponse && f.lastPacket.Add(f.route.Timeout).Passed(s.now) {
			s.setAwaitingResponse(f, false)
		}
		if !f.established && f.openingSentAt.Add(openingAbandonTimeout).Passed(s.now) {
			s.uncountConnection(f)
		}
		keep := idle
		if f.closed {
			keep = closedFlowRetention
		}
		if f.lastPacket.Add(keep).Passed(s.now) {
			s.forgetFlow(key, f)
		}
	}
}

// moveFlow counts a flow at another target.
func (s *Steerer) moveFlow(f *flow, to *target) {
	s.discardQueued(f)
	s.setAwaitingResponse(f, false)
	f.target.flows--
	to.flows++
	s.targets.markInUse(to)
	if !f.established {
		f.target.halfOpen--
		to.halfOpen++
	}
	s.uncountConnection(f)
	f.target = to
	if !f.closed {
		s.countConnection(f)
	}
}

func (s *Steerer) setAwaitingResponse(f *flow, waiting bool) {
	if f.awaitingResponse == waiting {
		return
	}
	f.awaitingResponse = waiting
	if waiting {
		f.requestStartedAt = s.now
		f.target.pendingRequests++
	} else {
		f.target.pendingRequests--
		f.bufferedRequest = nil
		f.endInFlight()
	}
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
