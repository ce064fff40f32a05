// Package transporter implements one end of a flow: it sends a byte stream in packets that are
// acknowledged and retransmitted, and reassembles the stream of the other end.
package transporter

import (
	"time"

	"cranberryspan.dev/platform/platformtest"
)

const (
	// sendWindow is the maximum number of packets in flight.
	sendWindow = 16
	// initialTimeout is the time until the first retransmission of a packet. It doubles with
	// each retransmission, up to maxTimeout.
	initialTimeout = 200 * time.Millisecond
	maxTimeout     = 1600 * time.Millisecond
	// maxRetransmissions is the number of retransmissions of a packet after which the flow is
	// given up.
	maxRetransmissions = 8
)

// SendFunc sends one packet of the flow.
type SendFunc func(flags byte, seq, ack uint32, data []byte)

// Endpoint is one end of an open flow. It is not safe for concurrent use.
type Endpoint struct {
	send        SendFunc
	nextSeq     uint32
	expectedSeq uint32
	unsent      []byte
	inFlight    []segment
}

type segment struct {
	seq             uint32
	data            []byte
	retransmissions int
	retransmitAt    time.Time
	timeout         time.Duration
}

// New returns an endpoint whose first byte has sequence number seq. The first byte of the other
// end has sequence number expected.
func New(seq, expected uint32, send SendFunc) *Endpoint {
	return &Endpoint{send: send, nextSeq: seq, expectedSeq: expected}
}

// Write queues bytes and sends as many packets as the window allows.
func (e *Endpoint) Write(data []byte, now time.Time) {
	e.unsent = append(e.unsent, data...)
	e.sendUnsent(now)
}

func (e *Endpoint) sendUnsent(now time.Time) {
	for len(e.unsent) > 0 && len(e.inFlight) < sendWindow {
		n := min(len(e.unsent), platformtest.MaxData)
		s := segment{seq: e.nextSeq, data: append([]byte(nil), e.unsent[:n]...), retransmitAt: now.Add(initialTimeout), timeout: initialTimeout}
		e.unsent = e.unsent[n:]
		e.nextSeq += uint32(n)
		e.inFlight = append(e.inFlight, s)
		e.send(platformtest.FlagAck, s.seq, e.expectedSeq, s.data)
	}
}

// Receive processes a packet of the other end and returns the next bytes of the stream.
// Data out of order is discarded. Every packet with data is acknowledged at once.
func (e *Endpoint) Receive(p platformtest.Packet, now time.Time) []byte {
	unacknowledged := e.inFlight[:0]
	for _, s := range e.inFlight {
		if int32(p.Ack-(s.seq+uint32(len(s.data)))) < 0 {
			unacknowledged = append(unacknowledged, s)
		}
	}
	e.inFlight = unacknowledged
	e.sendUnsent(now)
	if len(p.Data) == 0 {
		return nil
	}
	var data []byte
	if p.Seq == e.expectedSeq {
		data = p.Data
		e.expectedSeq += uint32(len(p.Data))
	}
	e.Acknowledge()
	return data
}

// Acknowledge sends an acknowledgement of the data received so far.
func (e *Endpoint) Acknowledge() { e.send(platformtest.FlagAck, e.nextSeq, e.expectedSeq, nil) }

// Tick retransmits packets whose timeout has passed and reports whether the flow is given up.
func (e *Endpoint) Tick(now time.Time) (gaveUp bool) {
	for i := range e.inFlight {
		s := &e.inFlight[i]
		if now.Before(s.retransmitAt) {
			continue
		}
		if s.retransmissions == maxRetransmissions {
			return true
		}
		s.retransmissions++
		s.timeout = min(2*s.timeout, maxTimeout)
		s.retransmitAt = now.Add(s.timeout)
		e.send(platformtest.FlagAck, s.seq, e.expectedSeq, s.data)
	}
	return false
}
