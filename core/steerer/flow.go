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
	// openingRefusedTimeout is how long after its opening packet a flow may remain
	// half-open without a retransmission before the target counts as refusing it. Callers
	// send the first retransmission after 200 ms; the rest allows for the network.
	openingRefusedTimeout = 260 * time.Millisecond
	// flowSweepInterval is the interval between sweeps for expired flows.
	flowSweepInterval = time.Second
	// closedFlowRetention is how long a closed flow is kept for late retransmissions.
	closedFlowRetention = 2 * time.Second
	// defaultIdleTimeout is how long idle flows are kept until settings are known.
	defaultIdleTimeout = 15 * time.Second
)

// flow is the state that a host keeps of a flow whose packets it has seen. Packets of an
// established flow are forwarded by their tag, without it. It is used to balance new flows, to
// queue requests, and to detect slow and unresponsive targets.
type flow struct {
	target *target
	route  Route
	// established is set once a packet has come that a caller sends only in an established
	// flow. Until then the flow counts in its target's halfOpen.
	established bool
	// firstRequestCounted reports whether the flow's first request was counted when the
	// flow was opened.
	firstRequestCounted bool
	// openingResent reports whether the opening packet was retransmitted by the caller or
	// redispatched by this host.
	openingResent bool
	// openingResentByCaller reports whether the caller has retransmitted its opening packet
	// at this host.
	openingResentByCaller bool
	// queuedForRedispatch reports whether the opening packet is in the redispatch queue.
	queuedForRedispatch bool
	// redispatches counts the targets after the first to which this host has sent the
	// opening packet.
	redispatches uint8
	// awaitingResponse reports whether a request is in flight.
	awaitingResponse bool
	// closed reports whether one end has closed the flow. It is kept for late
	// retransmissions.
	closed bool
	// hasSentRequest reports whether the caller has sent a request.
	hasSentRequest bool
	// placedHere reports whether this host placed the flow at its target. Other flows were
	// already established when this host first saw them.
	placedHere bool
	// connectionCount is the count of its target's flows in which the flow is included; nil
	// if it is not counted.
	connectionCount *limiter.TargetFlows
	// openingSentAt is when the opening packet was sent, or sent again in a way that restarts
	// its timer; in a flow that was already established, when this host first saw it.
	openingSentAt timekeeper.Instant
	// sentEnd is the end of the data that the caller has sent; acknowledged is the next
	// byte that the caller expects.
	sentEnd      uint32
	acknowledged uint32
	// requestStartedAt is when the request in flight began.
	requestStartedAt timekeeper.Instant
	// bufferedRequest is the first packet of the request in flight, if it is kept. In a
	// half-open flow it is the opening packet, if the service is constrained.
	bufferedRequest []byte
	// queued is the flow's request that is queued at this host; queuedFor is how long the
	// last one was queued. inFlightAt is the service in whose inFlight the forwarded
	// request is counted.
	queued     *queuedRequest
	queuedFor  time.Duration
	inFlightAt *service
	// lastData is when new data of the request in flight was last forwarded.
	lastData timekeeper.Instant
	// expectedLatency is how long the response should take from the end of the request; 0
	// if unknown.
	expectedLatency time.Duration
	// assumedLogSlowdown is the log slowdown (log2) of the request in flight so far; see
	// estimator.LogSlowdown. It was reported to the estimator while the response was
	// overdue; 0 if nothing was.
	assumedLogSlowdown float64
	// unconfirmedBytes counts the bytes forwarded since the target last made progress.
	unconfirmedBytes uint32
	lastPacket       timekeeper.Instant
	// bulkWindow identifies the last link load window in which the flow was counted as a
	// bulk flow.
	bulkWindow timekeeper.Instant
	// callerCountedAt is the service at which the flow counts for its caller; nil if it
	// does not count.
	callerCountedAt *service
}

// flowTimer checks a flow at a deadline. since identifies the event that started the timer:
// the timer is obsolete if the flow's state has changed since then.
type flowTimer struct {
	key      flowKey
	since    timekeeper.Instant
	deadline timekeeper.Instant
}

// flowTimers holds timers in the order in which they were added. A timer with an earlier
// deadline than the one before it expires only together with that one.
type flowTimers []flowTimer

func (c *flowTimers) add(timer flowTimer) { *c = append(*c, timer) }

// expire removes the timers whose deadline has passed and calls onExpired with each.
func (c *flowTimers) expire(now timekeeper.Instant, onExpired func(flowTimer)) {
	done := 0
	for _, timer := range *c {
		if !timer.deadline.Passed(now) {
			break
		}
		done++
		onExpired(timer)
	}
	*c = (*c)[:copy(*c, (*c)[done:])]
}

// rememberFlow adds a flow to the flow table unless the table is full. Nothing may be
// counted for a flow that is not in the table, since the count would never be undone.
func (s *Steerer) rememberFlow(key flowKey, f *flow) bool {
	if s.flowTableFull() {
		s.counters.add(FlowTableFull)
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

// flowTableFull reports whether no further flow can be added to the flow table.
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
	s.uncountConnection(f) // Both ends close at once: a caller has nothing to wait for after its last response.
}

// watchOpening starts the timer of an opening packet that has just been sent to a target.
func (s *Steerer) watchOpening(key flowKey, to *target) {
	s.awaitedOpenings.add(flowTimer{key: key, since: s.now, deadline: s.now.Add(s.diagnoser.ResponseTimeout(to.AvailabilityZone, s.now))})
}

// checkOpenings checks flows that should have been established by now.
//
// A flow is established within a round trip. If the host waited for the caller's
// retransmission instead, the first target of a crashed zone would be probed only after
// 200 ms, when every caller of the zone already has an opening packet or a request at a dead
// target. A target that refuses new flows after a crash resets them straight to the caller,
// so that there is no retransmission at all.
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
		retention := idle
		if f.closed {
			retention = closedFlowRetention
		}
		if f.lastPacket.Add(retention).Passed(s.now) {
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

// hash distributes flows. It is the same for all retransmissions of an opening packet.
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
