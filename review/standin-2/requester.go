package main

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	secondOpening = 200 * time.Millisecond
	thirdOpening  = 600 * time.Millisecond
	openingEnds   = 1400 * time.Millisecond
	resetWindow   = 76800
	firstPort     = 20000
	lastPort      = 60000
)

// requester is an address from which requesters of a zone send.
type requester struct {
	rig  *rig
	zone string
	ip   netip.Addr
	conn *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[netip.AddrPort]chan received // by service address, with the requester's port
}

type received struct {
	p       packet
	genuine bool
}

func newRequester(r *rig, zone string, ip netip.Addr) (*requester, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, packetPort)))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(1 << 20)
	q := &requester{rig: r, zone: zone, ip: ip, conn: conn, port: firstPort, flows: map[netip.AddrPort]chan received{}}
	go q.readLoop()
	return q, nil
}

func (q *requester) readLoop() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := q.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, genuine, ok := decode(append([]byte(nil), buffer[:n]...))
		if !ok {
			continue
		}
		q.mu.Lock()
		in := q.flows[netip.AddrPortFrom(q.ip, p.dst.Port())]
		q.mu.Unlock()
		if in != nil {
			select {
			case in <- received{p, genuine}:
			default:
			}
		}
	}
}

// open reserves a port for a flow.
func (q *requester) open() (netip.AddrPort, chan received) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for {
		q.port++
		if q.port > lastPort {
			q.port = firstPort
		}
		at := netip.AddrPortFrom(q.ip, q.port)
		if _, used := q.flows[at]; !used {
			in := make(chan received, 64)
			q.flows[at] = in
			return at, in
		}
	}
}

func (q *requester) close(at netip.AddrPort) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.flows, at)
}

// outcome is how an attempt ended.
type outcome int

const (
	succeeded outcome = iota
	notOpened
	wasReset
	timedOut
)

func (o outcome) String() string {
	return [...]string{"success", "not opened", "reset", "timed out"}[o]
}

// client is one open flow of a requester.
type client struct {
	q        *requester
	route    route
	self     netip.AddrPort
	in       chan received
	echo     uint32
	seq, ack uint32
	openAt   time.Time
	resets   int
}

func (c *client) name() string { return flowName(c.self, c.route.address) }

func (c *client) send(flags byte, seq uint32, data []byte) {
	p := packet{src: c.self, dst: c.route.address, echo: c.echo, flags: flags, seq: seq, ack: c.ack, data: data}
	c.q.rig.fabric.forward(c.q.conn, c.q.zone, &p)
}

// dial opens a flow.
func (q *requester) dial(rt route) (*client, outcome) {
	at, in := q.open()
	c := &client{q: q, route: rt, self: at, in: in, seq: q.rig.random()}
	q.rig.openingWillBeSent(c.name())
	start := time.Now()
	times := []time.Duration{secondOpening, thirdOpening, openingEnds}
	for copies := 0; ; copies++ {
		p := packet{src: c.self, dst: rt.address, flags: flagSYN, seq: c.seq, ack: uint32(copies)}
		q.rig.fabric.forward(q.conn, q.zone, &p)
		deadline := start.Add(times[copies])
		for {
			r, ok := c.receive(deadline)
			if !ok {
				break
			}
			if r.p.flags&flagRST != 0 {
				c.end()
				return nil, wasReset
			}
			if r.genuine && r.p.flags&(flagSYN|flagACK) == flagSYN|flagACK && r.p.ack == c.seq+1 {
				c.seq++
				c.ack = r.p.seq + 1
				c.echo = r.p.echo
				c.openAt = time.Now()
				return c, succeeded
			}
		}
		if copies == len(times)-1 {
			c.end()
			return nil, notOpened
		}
	}
}

func (c *client) receive(deadline time.Time) (received, bool) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case r := <-c.in:
		return r, true
	case <-timer.C:
		return received{}, false
	}
}

// request sends a request and waits for its response until a deadline.
func (c *client) request(id string, within time.Duration) outcome {
	text := []byte(fmt.Sprintf("%s\n%s %s\n", id, c.route.kind, strings.Repeat("x", 60)))
	deadline := time.Now().Add(within)
	wait, acked := firstRepeat, false
	repeatAt := time.Now()
	seq := c.seq
	for time.Now().Before(deadline) {
		if !acked && !time.Now().Before(repeatAt) {
			c.send(flagACK, seq, text)
			repeatAt = time.Now().Add(wait)
			wait = min(2*wait, longestRepeat)
		}
		until := deadline
		if !acked && repeatAt.Before(until) {
			until = repeatAt
		}
		r, ok := c.receive(until)
		if !ok {
			continue
		}
		if r.p.flags&flagRST != 0 {
			if distance := int32(r.p.seq - c.ack); distance > resetWindow || distance < -resetWindow {
				continue
			}
			c.q.rig.flowReset(c.name(), r.genuine)
			return wasReset
		}
		if !r.genuine || r.p.flags&flagSYN != 0 {
			continue
		}
		c.echo = r.p.echo
		if int32(r.p.ack-seq) > 0 {
			acked = true
			c.seq = seq + uint32(len(text))
		}
		if len(r.p.data) == 0 {
			continue
		}
		if r.p.seq == c.ack {
			c.ack += uint32(len(r.p.data))
			c.send(flagACK, c.seq, nil)
			if !strings.HasPrefix(string(r.p.data), id+"\n") {
				c.q.rig.record.say("MIXED: request %s was answered with %q", id, r.p.data)
				c.q.rig.fail("MIXED")
			}
			return succeeded
		}
		c.send(flagACK, c.seq, nil)
	}
	return timedOut
}

// finish closes the flow.
func (c *client) finish() {
	c.send(flagACK|flagFIN, c.seq, nil)
	c.end()
}

func (c *client) end() { c.q.close(c.self) }
