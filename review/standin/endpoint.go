package main

import "time"

const (
	sendWindow         = 16
	firstTimeout       = 200 * time.Millisecond
	maxTimeout         = 1600 * time.Millisecond
	maxRetransmissions = 8
)

// endpoint is one end of an open flow. Its owner holds a lock while it calls it.
type endpoint struct {
	send     func(flags byte, seq, ack uint32, data []byte)
	next     uint32
	expected uint32
	unsent   [][]byte
	inFlight []segment
}

type segment struct {
	seq          uint32
	data         []byte
	tries        int
	timeout      time.Duration
	retransmitAt time.Time
}

// write sends a message in packets.
func (e *endpoint) write(message []byte, now time.Time) {
	for len(message) > 0 {
		n := min(len(message), maxData)
		e.unsent = append(e.unsent, message[:n])
		message = message[n:]
	}
	e.sendUnsent(now)
}

func (e *endpoint) sendUnsent(now time.Time) {
	for len(e.unsent) > 0 && len(e.inFlight) < sendWindow {
		s := segment{seq: e.next, data: e.unsent[0], timeout: firstTimeout, retransmitAt: now.Add(firstTimeout)}
		e.unsent = e.unsent[1:]
		e.next += uint32(len(s.data))
		e.inFlight = append(e.inFlight, s)
		e.send(flagAck, s.seq, e.expected, s.data)
	}
}

// receive handles a packet of the other end and returns the next bytes of its stream.
func (e *endpoint) receive(p *packet, now time.Time) []byte {
	kept := e.inFlight[:0]
	for _, s := range e.inFlight {
		if int32(p.ack-(s.seq+uint32(len(s.data)))) < 0 {
			kept = append(kept, s)
		}
	}
	e.inFlight = kept
	e.sendUnsent(now)
	if len(p.data) == 0 {
		return nil
	}
	var received []byte
	if p.seq == e.expected {
		received = p.data
		e.expected += uint32(len(p.data))
	}
	e.acknowledge()
	return received
}

func (e *endpoint) acknowledge() { e.send(flagAck, e.next, e.expected, nil) }

// tick retransmits what is overdue, and reports whether the other end does not respond any more.
func (e *endpoint) tick(now time.Time) bool {
	for i := range e.inFlight {
		s := &e.inFlight[i]
		if now.Before(s.retransmitAt) {
			continue
		}
		if s.tries == maxRetransmissions {
			return true
		}
		s.tries++
		s.timeout = min(2*s.timeout, maxTimeout)
		s.retransmitAt = now.Add(s.timeout)
		e.send(flagAck, s.seq, e.expected, s.data)
	}
	return false
}
