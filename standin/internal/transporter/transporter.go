// Package transporter is one end of a flow: it turns bytes into packets that are
// acknowledged and repeated, and back.
package transporter

import (
	"time"

	"cranberryspan.dev/platform/platformtest"
)

const (
	// window is how many packets an end has under way at most.
	window = 16
	// firstTimeout is when a packet is repeated; the pause doubles up to
	// maxTimeout.
	firstTimeout = 200 * time.Millisecond
	maxTimeout   = 1600 * time.Millisecond
	// maxRepeats is after how many repeats of a packet an end gives up.
	maxRepeats = 8
)

// Sender sends one packet of the flow.
type Sender func(flags byte, seq, ack uint32, data []byte)

// End is one end of a flow that is open. It is not safe for concurrent use.
type End struct {
	send     Sender
	next     uint32
	expected uint32
	waiting  []byte
	flight   []segment
}

type segment struct {
	seq     uint32
	data    []byte
	repeats int
	due     time.Time
	timeout time.Duration
}

// New makes an end that sends its first byte as seq and expects the other's as
// expected.
func New(seq, expected uint32, send Sender) *End {
	return &End{send: send, next: seq, expected: expected}
}

// Write queues bytes.
func (e *End) Write(data []byte, now time.Time) {
	e.waiting = append(e.waiting, data...)
	e.fill(now)
}

func (e *End) fill(now time.Time) {
	for len(e.waiting) > 0 && len(e.flight) < window {
		n := min(len(e.waiting), platformtest.MaxData)
		s := segment{seq: e.next, data: append([]byte(nil), e.waiting[:n]...), due: now.Add(firstTimeout), timeout: firstTimeout}
		e.waiting = e.waiting[n:]
		e.next += uint32(n)
		e.flight = append(e.flight, s)
		e.send(platformtest.FlagAck, s.seq, e.expected, s.data)
	}
}

// Receive takes in a packet of the other end and returns the bytes that are new.
// It acknowledges all data at once.
func (e *End) Receive(p platformtest.Packet, now time.Time) []byte {
	kept := e.flight[:0]
	for _, s := range e.flight {
		if int32(p.Ack-(s.seq+uint32(len(s.data)))) < 0 {
			kept = append(kept, s)
		}
	}
	e.flight = kept
	e.fill(now)
	if len(p.Data) == 0 {
		return nil
	}
	var fresh []byte
	if p.Seq == e.expected {
		fresh = p.Data
		e.expected += uint32(len(p.Data))
	}
	e.Acknowledge()
	return fresh
}

// Acknowledge tells the other end what has come.
func (e *End) Acknowledge() { e.send(platformtest.FlagAck, e.next, e.expected, nil) }

// Tick repeats what is overdue and reports whether the end gives up.
func (e *End) Tick(now time.Time) (gaveUp bool) {
	for i := range e.flight {
		s := &e.flight[i]
		if now.Before(s.due) {
			continue
		}
		if s.repeats == maxRepeats {
			return true
		}
		s.repeats++
		s.timeout = min(2*s.timeout, maxTimeout)
		s.due = now.Add(s.timeout)
		e.send(platformtest.FlagAck, s.seq, e.expected, s.data)
	}
	return false
}
