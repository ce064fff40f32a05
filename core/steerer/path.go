package steerer

import (
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// minSlowHandshake is how long a flow may take to open, from its opening packet to the
	// caller's next one, on a path that can be trusted. Callers, hosts and targets
	// are some milliseconds apart; a third of a check's patience leaves the check
	// room.
	minSlowHandshake = 50 * time.Millisecond
	// slowHandshakeFactor times the usual is slow where callers are further away, but
	// maxNormalHandshake always is: a check is given up after 150 ms.
	slowHandshakeFactor = 3
	maxNormalHandshake  = 120 * time.Millisecond
	// slowHandshakeHold is how long a slow opening counts: some openings come each second.
	slowHandshakeHold = 2 * time.Second
	// linkLoadWindow is over what time the bytes on the host's link are added up, and
	// busyLinkShare the part of what the link can carry in it that makes the link busy.
	linkLoadWindow = 100 * time.Millisecond
	busyLinkShare  = 0.5
	// maxHarmlessQueueDelay is how long packets wait at most in a link that does not harm: as long
	// as a slow opening. A queue holds at most a window of each flow that sends much.
	maxHarmlessQueueDelay = minSlowHandshake
	// bulkPacketBytes tells packets of large requests, which come in full packets.
	bulkPacketBytes = 1000
	// bulkTransferShare is the part of what the link can carry that reads of the platform and
	// answers between hosts take while they hold up packets of flows: such a transfer
	// takes all that the flows leave.
	bulkTransferShare = 0.3
	// fullLinkHold is how long a full link counts: longer than a caller's first repeat
	// and the check that follows it.
	fullLinkHold = 600 * time.Millisecond
	// packetOverheadBytes is what a packet takes on the link beside itself: the heads of
	// IP, UDP and the frame.
	packetOverheadBytes = 46
)

// path is what a host knows of the way between itself and everybody else.
//
// What goes wrong without it: some uploads fill a small host's link, and packets wait
// in it for longer than callers wait before they repeat them, and longer than a
// liveness check takes. Every target looks silent, and the host resets flows whose
// targets work. One notices by resets on hosts with small links only, of targets
// which other hosts reach. So silence means nothing while the path is slow.
type path struct {
	// slowDeadline is until when silence means nothing.
	slowDeadline timekeeper.Instant
	// windowDeadline is when received and sent start from zero again.
	windowDeadline timekeeper.Instant
	receivedBytes  int
	sentBytes      int
	// bulkFlows counts the flows that have sent much since then.
	bulkFlows int
	// handshake is how long flows usually take to open.
	handshake medianEstimator
}

// slow reports whether packets may wait on the path.
func (p *path) slow(now timekeeper.Instant) bool { return !p.slowDeadline.Passed(now) }

// recordHandshake learns from a flow's first packet after its opening packet. A copy of
// that says that the first was lost, or its target silent, and nothing of the path.
func (s *Steerer) recordHandshake(f *flow) {
	if f.openingResent {
		return
	}
	took := s.now.Since(f.openingSentAt)
	limit := min(max(minSlowHandshake, slowHandshakeFactor*s.path.handshake.median), maxNormalHandshake)
	if took > limit {
		s.markPathSlow("openingTook", took, slowHandshakeHold)
	}
	s.path.handshake.add(took, false)
	s.diagnoser.ObserveRoundTrip(f.target.AvailabilityZone, took)
}

// recordLinkBytes adds up what a packet puts on the host's link, which carries it in and
// out again.
func (s *Steerer) recordLinkBytes(received, sent int) {
	if s.config.LinkBytesPerSecond <= 0 {
		return
	}
	p := &s.path
	if p.windowDeadline.Passed(s.now) {
		p.windowDeadline = s.now.Add(linkLoadWindow)
		p.receivedBytes, p.sentBytes, p.bulkFlows = 0, 0, 0
	}
	p.receivedBytes += received
	p.sentBytes += sent
	rate := float64(s.config.LinkBytesPerSecond)
	if float64(max(p.receivedBytes, p.sentBytes)) <= rate*linkLoadWindow.Seconds()*busyLinkShare {
		return
	}
	queueDelay := time.Duration(float64(p.bulkFlows*windowBytes) / rate * float64(time.Second))
	if queueDelay > maxHarmlessQueueDelay {
		s.markPathSlow("linkFull", queueDelay, fullLinkHold)
	}
}

// recordTransfers takes in what reads of the platform and answers between hosts have put
// on the link since the last tick.
//
// What goes wrong without it: a host with a small link reads a large document of
// settings. The answers of liveness checks wait behind it, targets that work look
// silent, and their flows are reset.
func (s *Steerer) recordTransfers(received, sent int) {
	rate := float64(s.config.LinkBytesPerSecond)
	if rate > 0 && float64(max(received, sent)) > rate*TickInterval.Seconds()*bulkTransferShare {
		s.markPathSlow("transfer", TickInterval, fullLinkHold)
	}
}

// recordBulkFlow counts the flows that send much at the same time.
func (s *Steerer) recordBulkFlow(f *flow, p *Packet) {
	if p.Length >= bulkPacketBytes && f.bulkWindow != s.path.windowDeadline {
		f.bulkWindow = s.path.windowDeadline
		s.path.bulkFlows++
	}
}

// markPathSlow distrusts silence for a while.
func (s *Steerer) markPathSlow(cause string, took, hold time.Duration) {
	if !s.path.slow(s.now) {
		s.log("pathSlow", field("cause", cause), field("millis", formatMillis(took)))
	}
	s.path.slowDeadline = max(s.path.slowDeadline, s.now.Add(hold))
}
