package steerer

import (
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// slowOpening is how long a flow may take to open, from its opening packet to the
	// caller's next one, on a path that can be trusted. Callers, hosts and targets
	// are some milliseconds apart; a third of a check's patience leaves the check
	// room.
	slowOpening = 50 * time.Millisecond
	// openingGrowth times the usual is slow where callers are further away, but
	// slowestOpening always is: a check is given up after 150 ms.
	openingGrowth  = 3
	slowestOpening = 120 * time.Millisecond
	// slowMemory is how long a slow opening counts: some openings come each second.
	slowMemory = 2 * time.Second
	// loadSpan is over what time the bytes on the host's link are added up, and
	// loadShare the part of what the link can carry in it that makes the link busy.
	loadSpan  = 100 * time.Millisecond
	loadShare = 0.5
	// longQueue is how long packets wait at most in a link that does not harm: as long
	// as a slow opening. A queue holds at most a window of each flow that sends much.
	longQueue = slowOpening
	// bulkBytes tells packets of large requests, which come in full packets.
	bulkBytes = 1000
	// bulkShare is the part of what the link can carry that reads of the platform and
	// answers between hosts take while they hold up packets of flows: such a transfer
	// takes all that the flows leave.
	bulkShare = 0.3
	// loadMemory is how long a full link counts: longer than a caller's first repeat
	// and the check that follows it.
	loadMemory = 600 * time.Millisecond
	// packetOverhead is what a packet takes on the link beside itself: the heads of
	// IP, UDP and the frame.
	packetOverhead = 46
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
	// spanDeadline is when received and sent start from zero again.
	spanDeadline timekeeper.Instant
	received     int
	sent         int
	// senders counts the flows that have sent much since then.
	senders int
	// opening is how long flows usually take to open.
	opening usualTime
}

// slow reports whether packets may wait on the path.
func (p *path) slow(now timekeeper.Instant) bool { return !p.slowDeadline.Passed(now) }

// noteOpened learns from a flow's first packet after its opening packet. A copy of
// that says that the first was lost, or its target silent, and nothing of the path.
func (s *Steerer) noteOpened(f *flow) {
	if f.copied {
		return
	}
	took := s.now.Since(f.openedAt)
	limit := min(max(slowOpening, openingGrowth*s.path.opening.median), slowestOpening)
	if took > limit {
		s.pathSlow("openingTook", took, slowMemory)
	}
	s.path.opening.add(took, false)
	s.diagnoser.ObserveRoundTrip(f.target.AvailabilityZone, took)
}

// noteBytes adds up what a packet puts on the host's link, which carries it in and
// out again.
func (s *Steerer) noteBytes(received, sent int) {
	if s.config.LinkBytesPerSecond <= 0 {
		return
	}
	p := &s.path
	if p.spanDeadline.Passed(s.now) {
		p.spanDeadline = s.now.Add(loadSpan)
		p.received, p.sent, p.senders = 0, 0, 0
	}
	p.received += received
	p.sent += sent
	rate := float64(s.config.LinkBytesPerSecond)
	if float64(max(p.received, p.sent)) <= rate*loadSpan.Seconds()*loadShare {
		return
	}
	queue := time.Duration(float64(p.senders*windowBytes) / rate * float64(time.Second))
	if queue > longQueue {
		s.pathSlow("linkFull", queue, loadMemory)
	}
}

// noteTransfers takes in what reads of the platform and answers between hosts have put
// on the link since the last tick.
//
// What goes wrong without it: a host with a small link reads a large document of
// settings. The answers of liveness checks wait behind it, targets that work look
// silent, and their flows are reset.
func (s *Steerer) noteTransfers(received, sent int) {
	rate := float64(s.config.LinkBytesPerSecond)
	if rate > 0 && float64(max(received, sent)) > rate*TickEvery.Seconds()*bulkShare {
		s.pathSlow("transfer", TickEvery, loadMemory)
	}
}

// noteBulk counts the flows that send much at the same time.
func (s *Steerer) noteBulk(f *flow, p *Packet) {
	if p.Length >= bulkBytes && f.bulkSpan != s.path.spanDeadline {
		f.bulkSpan = s.path.spanDeadline
		s.path.senders++
	}
}

// pathSlow distrusts silence for a while.
func (s *Steerer) pathSlow(cause string, took, memory time.Duration) {
	if !s.path.slow(s.now) {
		s.log("pathSlow", field("cause", cause), field("millis", millis(took)))
	}
	s.path.slowDeadline = max(s.path.slowDeadline, s.now.Add(memory))
}
