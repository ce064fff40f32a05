package steerer

import (
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// minSlowHandshake is the time up to which a handshake, from the opening packet to the
	// caller's next packet, never counts as slow. Callers, hosts and targets are a few
	// milliseconds apart, and a third of a probe's timeout leaves time for the probe
	// itself.
	minSlowHandshake = 50 * time.Millisecond
	// slowHandshakeFactor times the median handshake time is slow where callers are more
	// distant, but a handshake longer than maxNormalHandshake is always slow: a probe times
	// out after 150 ms.
	slowHandshakeFactor = 3
	maxNormalHandshake  = 120 * time.Millisecond
	// slowHandshakeHold is how long a slow handshake marks the path as slow: several
	// handshakes happen every second.
	slowHandshakeHold = 2 * time.Second
	// linkLoadWindow is the window over which the bytes on the host's link are counted, and
	// busyLinkFraction the fraction of the link's capacity in it above which the link is busy.
	linkLoadWindow   = 100 * time.Millisecond
	busyLinkFraction = 0.5
	// maxHarmlessQueueDelay is the queueing delay in the link up to which the path does not
	// count as slow: as long as a slow handshake. A queue holds at most one window of each
	// bulk flow.
	maxHarmlessQueueDelay = minSlowHandshake
	// bulkPacketBytes is the size from which a packet belongs to a large request; large
	// requests are sent in full packets.
	bulkPacketBytes = 1000
	// bulkTransferFraction is the fraction of the link's capacity above which reads of the
	// platform and responses between hosts delay the packets of flows: such a transfer
	// takes all capacity that the flows leave.
	bulkTransferFraction = 0.3
	// fullLinkHold is how long a full link marks the path as slow: longer than a caller's
	// first retransmission timeout and the probe that follows.
	fullLinkHold = 600 * time.Millisecond
	// packetOverheadBytes is the size of the IP, UDP and frame headers of a packet.
	packetOverheadBytes = 46
)

// path is the state of the network path between this host and all callers, targets and
// hosts.
//
// Missing responses are no evidence while the path is slow. Without this, when a few uploads
// fill a small host's link, packets are queued in it for longer than callers' retransmission
// timeouts and longer than a probe may take. Every target looks unresponsive, and the host
// resets flows whose targets work. This shows as resets only on hosts with small links, of
// flows to targets that other hosts reach.
type path struct {
	// slowDeadline is until when the path counts as slow.
	slowDeadline timekeeper.Instant
	// windowDeadline is when receivedBytes and sentBytes restart from zero.
	windowDeadline timekeeper.Instant
	receivedBytes  int
	sentBytes      int
	// bulkFlows counts the bulk flows in the current window.
	bulkFlows int
	// handshake estimates the median handshake time of flows.
	handshake medianEstimator
}

// slow reports whether packets may be delayed on the path.
func (p *path) slow(now timekeeper.Instant) bool { return !p.slowDeadline.Passed(now) }

// recordHandshake records the handshake time of a flow from its first packet after the
// opening packet. If the opening packet was sent again, the first one was lost or its
// target unresponsive, and the time says nothing about the path.
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

// recordLinkBytes counts the bytes of a packet on the host's link, which carries it in and
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
	if float64(max(p.receivedBytes, p.sentBytes)) <= rate*linkLoadWindow.Seconds()*busyLinkFraction {
		return
	}
	queueDelay := time.Duration(float64(p.bulkFlows*windowBytes) / rate * float64(time.Second))
	if queueDelay > maxHarmlessQueueDelay {
		s.markPathSlow("linkFull", queueDelay, fullLinkHold)
	}
}

// recordTransfers records what reads of the platform and responses between hosts have put
// on the link since the last tick.
//
// Without this, when a host with a small link reads a large settings document, the
// responses to its probes are queued behind it, working targets look unresponsive, and
// their flows are reset.
func (s *Steerer) recordTransfers(received, sent int) {
	rate := float64(s.config.LinkBytesPerSecond)
	if rate > 0 && float64(max(received, sent)) > rate*TickInterval.Seconds()*bulkTransferFraction {
		s.markPathSlow("transfer", TickInterval, fullLinkHold)
	}
}

// recordBulkFlow counts a flow, once per window, if the packet belongs to a large request.
func (s *Steerer) recordBulkFlow(f *flow, p *Packet) {
	if p.Length >= bulkPacketBytes && f.bulkWindow != s.path.windowDeadline {
		f.bulkWindow = s.path.windowDeadline
		s.path.bulkFlows++
	}
}

// markPathSlow marks the path as slow for the given time.
func (s *Steerer) markPathSlow(cause string, took, hold time.Duration) {
	if !s.path.slow(s.now) {
		s.log("pathSlow", field("cause", cause), field("millis", formatMillis(took)))
	}
	s.path.slowDeadline = max(s.path.slowDeadline, s.now.Add(hold))
}
