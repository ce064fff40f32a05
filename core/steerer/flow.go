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
	// openingPatience is how long an opening packet may go without a copy and
	// without its flow opening before the target counts as refusing. Callers
	// send the first copy after 200 ms; the rest is for the network.
	openingPatience = 260 * time.Millisecond
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
	route  Route
	// opened says that a packet came that only an open flow sends. Until then the
	// flow counts in its target's opening.
	opened bool
	// askedFor says that the flow's first request was counted when it opened.
	askedFor bool
	// copied says that copies of the opening packet came, or that this host sent it on.
	copied bool
	// repeated says that the caller has repeated its opening packet at this host.
	repeated bool
	// queued says that the opening packet waits for its turn to be sent on.
	queued bool
	// sentOn counts the targets after the first to which this host has sent the opening
	// packet.
	sentOn uint8
	// waiting says that a request is under way.
	waiting bool
	// closed says that one end has closed the flow; it is kept for late repeats.
	closed bool
	// asked says that the flow has brought a request.
	asked bool
	// placed says that this host placed the flow at its target; it found any other open.
	placed bool
	// place counts the flow among those that its target holds; nil if it is not.
	place *limiter.TargetFlows
	// openedAt is when the first opening packet went out.
	openedAt timekeeper.Instant
	// sentEnd is the end of the data that the caller has sent, acknowledged the
	// highest byte that the caller has acknowledged.
	sentEnd      uint32
	acknowledged uint32
	// waitingSince is when the request under way began.
	waitingSince timekeeper.Instant
	// request is the first packet of the request that waits, if it is kept; of a flow that
	// has not opened it is the opening packet, if its service is short of connections.
	request []byte
	// paced is the flow's request that waits at this host, pacedFor how long the last
	// one waited. underWay is the service that counts the request that was passed on.
	paced    *pacedRequest
	pacedFor time.Duration
	underWay *service
	// lastData is when the last new data of the request under way was passed on.
	lastData timekeeper.Instant
	// expected is how long that request should take from its end, 0 if that is not known.
	expected time.Duration
	// assumed is how much longer it has taken so far, as a binary logarithm; see
	// estimator.Excess. It was learned while the request waited; 0 if nothing was.
	assumed float64
	// unconfirmed counts the bytes since the target last showed life.
	unconfirmed uint32
	lastPacket  timekeeper.Instant
	// bulkSpan is the last of the path's spans in which the flow sent much.
	bulkSpan timekeeper.Instant
	// countedFor is the service at which the flow counts for its caller; nil if it does not.
	countedFor *service
}

// flowCheck looks at a flow again at a deadline, because of something that began at a
// moment.
type flowCheck struct {
	key      flowKey
	since    timekeeper.Instant
	deadline timekeeper.Instant
}

// flowChecks are checks in the order in which they were added. One whose deadline is
// earlier than that of one before it waits for that.
type flowChecks []flowCheck

func (c *flowChecks) add(check flowCheck) { *c = append(*c, check) }

// eachDue takes out the checks that are due and calls do with each.
func (c *flowChecks) eachDue(now timekeeper.Instant, do func(flowCheck)) {
	done := 0
	for _, check := range *c {
		if !check.deadline.Passed(now) {
			break
		}
		done++
		do(check)
	}
	*c = (*c)[:copy(*c, (*c)[done:])]
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
	s.targets.noteInUse(f.target)
	s.takePlace(f)
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
	s.dropPaced(f)
	s.setWaiting(f, false)
	s.noteEnded(key, f)
	f.target.flows--
	s.releasePlace(f)
	if !f.opened {
		f.target.opening--
	}
	delete(s.flows, key)
}

func (s *Steerer) close(key flowKey, f *flow) {
	s.dropPaced(f)
	s.setWaiting(f, false)
	s.noteEnded(key, f)
	f.closed = true
	s.releasePlace(f) // Both ends close at once: a caller has nothing to wait for after its last answer.
}

// watchOpening looks at a flow again that has just been sent to a target.
func (s *Steerer) watchOpening(key flowKey, to *target) {
	s.unopened.add(flowCheck{key: key, since: s.now, deadline: s.now.Add(s.diagnoser.ResponseTimeout(to.AvailabilityZone, s.now))})
}

// checkOpenings looks at flows that should have opened by now.
//
// A flow opens within a round trip. What goes wrong if one waits for the caller's copy: a
// zone crashes, callers repeat themselves after 200 ms, and only then is the first of its
// targets checked; by then every caller of the zone has an opening packet or a request at
// a dead target. A target that has crashed and is back refuses new flows with a reset
// that goes straight to the caller, so that no copy ever shows it.
func (s *Steerer) checkOpenings() {
	s.unopened.eachDue(s.now, func(check flowCheck) {
		f := s.flows[check.key]
		if f == nil || f.opened || f.openedAt != check.since {
			return
		}
		s.opening.add(flowCheck{key: check.key, since: check.since, deadline: check.since.Add(openingPatience)})
		if f.target.health.lastProgress <= check.since {
			s.suspect(f.target, "openingSlow", check.since)
		}
		s.checkFull(f)
	})
	s.opening.eachDue(s.now, func(check flowCheck) {
		f := s.flows[check.key]
		if f == nil || f.opened || f.copied || f.lastPacket != f.openedAt {
			return
		}
		s.noteStall(f.target, "openingRefused", f.openedAt)
		s.forget(check.key, f)
	})
}

func (s *Steerer) expireFlows() {
	if !s.flowSweepDeadline.Passed(s.now) {
		return
	}
	s.flowSweepDeadline = s.now.Add(flowSweepEvery)
	idle := defaultIdle
	if s.settings != nil && s.settings.IdleTimeout > 0 {
		idle = s.settings.IdleTimeout
	}
	for key, f := range s.flows {
		if f.waiting && f.lastPacket.Add(f.route.Timeout).Passed(s.now) {
			s.setWaiting(f, false)
		}
		if !f.opened && f.openedAt.Add(maxOpening).Passed(s.now) {
			s.releasePlace(f)
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

// move counts a flow at another target.
func (s *Steerer) move(f *flow, to *target) {
	s.dropPaced(f)
	s.setWaiting(f, false)
	f.target.flows--
	to.flows++
	s.targets.noteInUse(to)
	if !f.opened {
		f.target.opening--
		to.opening++
	}
	s.releasePlace(f)
	f.target = to
	if !f.closed {
		s.takePlace(f)
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
		f.request = nil
		f.endUnderWay()
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
