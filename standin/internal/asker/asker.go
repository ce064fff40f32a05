// Package asker stands in for callers: it opens flows and asks requests in them.
package asker

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"cranberryspan.dev/platform/platformtest"
	"cranberryspan.dev/standin/internal/transporter"
)

const (
	maxDatagram = 2048
	tickEvery   = 10 * time.Millisecond
	// firstCopy and secondCopy are when an opening packet is sent again, openEnd
	// when the attempt ends.
	firstCopy  = 200 * time.Millisecond
	secondCopy = 600 * time.Millisecond
	openEnd    = 1400 * time.Millisecond
	firstSeq   = 1000
)

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes.
const (
	// OutcomeAnswered is a whole answer to the request that was asked.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeShed is a target's word that it ran nothing.
	OutcomeShed
	// OutcomeNotOpened means that no target took the flow; nothing ran.
	OutcomeNotOpened
	// OutcomeReset means that an open flow was reset, by its target.
	OutcomeReset
	// OutcomeCut means that an open flow was reset, by a balancer.
	OutcomeCut
	// OutcomeTimeout means that the deadline passed.
	OutcomeTimeout
	// OutcomeWrong is an answer to something else.
	OutcomeWrong
)

func (o Outcome) String() string {
	return [...]string{"", "answered", "shed", "notOpened", "reset", "cut", "timeout", "wrong"}[o]
}

// Hand hands a packet to the routers.
type Hand func(platformtest.Packet)

// Caller is one address that opens flows, each from a port of its own.
type Caller struct {
	address netip.Addr
	conn    *net.UDPConn
	hand    Hand
	ends    sync.WaitGroup

	mu    sync.Mutex
	flows map[uint16]*Flow
	port  uint16
}

// Flow is one flow.
type Flow struct {
	caller  *Caller
	local   netip.AddrPort
	service netip.AddrPort
	end     *transporter.End
	echo    uint32
	began   time.Time
	copies  uint32
	open    bool
	// last says that the target wants no further request in this flow.
	last bool
	// ended is set when the flow is of no more use.
	ended  Outcome
	buffer []byte
	news   chan struct{}
}

// New starts a caller that takes packets at a port.
func New(ctx context.Context, address netip.Addr, packetPort uint16, hand Hand) (*Caller, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, packetPort)))
	if err != nil {
		return nil, err
	}
	c := &Caller{address: address, conn: conn, hand: hand, flows: map[uint16]*Flow{}, port: 1024}
	c.ends.Go(c.read)
	go c.tick(ctx)
	return c, nil
}

// Close frees the caller's address, and returns when it is free.
func (c *Caller) Close() {
	_ = c.conn.Close()
	c.ends.Wait()
}

// Open sends the opening packet of a new flow.
func (c *Caller) Open(service netip.AddrPort) *Flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	f := &Flow{caller: c, local: netip.AddrPortFrom(c.address, c.port), service: service, began: time.Now(), news: make(chan struct{}, 1)}
	c.flows[c.port] = f
	f.send(platformtest.FlagOpen, firstSeq, 0, nil)
	return f
}

// Local is the flow's end at the caller.
func (f *Flow) Local() netip.AddrPort { return f.local }

func (f *Flow) send(flags byte, seq, ack uint32, data []byte) {
	echo := f.echo
	if flags == platformtest.FlagOpen {
		echo = 0
	}
	f.caller.hand(platformtest.Packet{From: f.local, To: f.service, Echo: echo, Flags: flags, Seq: seq, Ack: ack, Data: data})
}

func (c *Caller) read() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // An earlier packet came back undeliverable.
		}
		if p, ok := platformtest.Decode(append([]byte(nil), buffer[:n]...)); ok {
			c.handle(p)
		}
	}
}

func (c *Caller) handle(p platformtest.Packet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f, ok := c.flows[p.To.Port()]
	if !ok || f.service != p.From || f.ended != 0 {
		return
	}
	switch {
	case p.Flags&platformtest.FlagReset != 0:
		f.reset(p)
	case !p.ChecksumValid:
		f.finish(OutcomeWrong)
	case p.Flags&platformtest.FlagOpen != 0 && !f.open:
		f.open = true
		f.echo = p.Echo
		f.end = transporter.New(firstSeq+1, p.Seq+1, f.send)
		f.end.Acknowledge()
	case f.open && p.Flags&platformtest.FlagOpen == 0:
		f.echo = p.Echo
		f.buffer = append(f.buffer, f.end.Receive(p, time.Now())...)
	}
	f.wake()
}

func (f *Flow) reset(p platformtest.Packet) {
	switch {
	case !f.open:
		f.finish(OutcomeNotOpened)
	case p.ChecksumValid:
		f.finish(OutcomeReset)
	default:
		f.finish(OutcomeCut)
	}
}

func (f *Flow) finish(outcome Outcome) {
	if f.ended == 0 {
		f.ended = outcome
	}
}

func (f *Flow) wake() {
	select {
	case f.news <- struct{}{}:
	default:
	}
}

func (c *Caller) tick(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.mu.Lock()
			for _, f := range c.flows {
				f.tick(now)
			}
			c.mu.Unlock()
		}
	}
}

func (f *Flow) tick(now time.Time) {
	age := now.Sub(f.began)
	switch {
	case f.ended != 0:
	case f.open:
		if f.end.Tick(now) {
			f.finish(OutcomeTimeout)
			f.wake()
		}
	case age > openEnd:
		f.finish(OutcomeNotOpened)
		f.wake()
	case (f.copies == 0 && age > firstCopy) || (f.copies == 1 && age > secondCopy):
		f.copies++
		f.send(platformtest.FlagOpen, firstSeq, f.copies, nil)
	}
}

// Ask sends a request and waits for its answer until the deadline.
func (f *Flow) Ask(ctx context.Context, id, kind string, bytes int, deadline time.Time) Outcome {
	asked := false
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for {
		f.caller.mu.Lock()
		if f.open && !asked {
			asked = true
			f.end.Write(append(fmt.Appendf(nil, "%s %s %d\n", id, kind, bytes), make([]byte, bytes)...), time.Now())
		}
		outcome := f.outcome(id)
		f.caller.mu.Unlock()
		if outcome != 0 {
			return outcome
		}
		select {
		case <-f.news:
		case <-timer.C:
			return OutcomeTimeout
		case <-ctx.Done():
			return OutcomeTimeout
		}
	}
}

// outcome reads the answer if it is whole; the caller holds mu.
func (f *Flow) outcome(id string) Outcome {
	at := bytes.IndexByte(f.buffer, '\n')
	if at < 0 {
		return f.ended
	}
	var got, word string
	var length int
	if _, err := fmt.Sscanf(string(f.buffer[:at]), "%s %s %d", &got, &word, &length); err != nil || got != id {
		return OutcomeWrong
	}
	if len(f.buffer) < at+1+length {
		return f.ended
	}
	f.buffer = f.buffer[at+1+length:]
	if word == "shed" {
		return OutcomeShed
	}
	f.last = word == "last"
	return OutcomeAnswered
}

// Last reports whether the target wants no further request in this flow.
func (f *Flow) Last() bool {
	f.caller.mu.Lock()
	defer f.caller.mu.Unlock()
	return f.last
}

// Close ends the flow at the caller and tells the target.
func (f *Flow) Close() {
	f.caller.mu.Lock()
	defer f.caller.mu.Unlock()
	if f.ended == 0 && f.open {
		f.send(platformtest.FlagReset, 0, 0, nil)
	}
	delete(f.caller.flows, f.local.Port())
}
