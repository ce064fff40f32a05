// Package asker emulates callers, which open flows and send requests in them.
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
	maxDatagramBytes = 2048
	tickInterval     = 10 * time.Millisecond
	// firstRetransmit and secondRetransmit are the ages of a flow at which its opening packet
	// is retransmitted; openTimeout is the age at which the flow is given up.
	firstRetransmit  = 200 * time.Millisecond
	secondRetransmit = 600 * time.Millisecond
	openTimeout      = 1400 * time.Millisecond
	initialSeq       = 1000
)

// Outcome is the outcome of a request.
type Outcome uint8

// The outcomes.
const (
	// OutcomeAnswered means that the complete response to the request was received.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeRefused means that the target refused the request without executing it.
	OutcomeRefused
	// OutcomeNotOpened means that no target accepted the flow; nothing was executed.
	OutcomeNotOpened
	// OutcomeResetByTarget means that the open flow was reset by its target.
	OutcomeResetByTarget
	// OutcomeResetByBalancer means that the open flow was reset by a host.
	OutcomeResetByBalancer
	// OutcomeTimeout means that the deadline passed, or that packets of the flow remained
	// unacknowledged.
	OutcomeTimeout
	// OutcomeWrongResponse means that the response belongs to a different request or is
	// corrupt.
	OutcomeWrongResponse
)

func (o Outcome) String() string {
	return [...]string{"", "answered", "shed", "notOpened", "reset", "cut", "timeout", "wrong"}[o]
}

// SendFunc passes a packet to the router.
type SendFunc func(platformtest.Packet)

// Caller is a caller with one address. Each of its flows has its own port.
type Caller struct {
	address netip.Addr
	conn    *net.UDPConn
	send    SendFunc
	reading sync.WaitGroup

	mu       sync.Mutex
	flows    map[uint16]*Flow
	lastPort uint16
}

// Flow is one flow of a caller.
type Flow struct {
	caller          *Caller
	local           netip.AddrPort
	service         netip.AddrPort
	endpoint        *transporter.Endpoint
	echo            uint32
	startedAt       time.Time
	retransmissions uint32
	opened          bool
	// noMoreRequests is set when the target has asked for no further requests in this flow.
	noMoreRequests bool
	// outcome is set when the flow has failed.
	outcome  Outcome
	received []byte
	updated  chan struct{}
}

// New starts a caller that receives packets at the given address and port.
func New(ctx context.Context, address netip.Addr, packetPort uint16, send SendFunc) (*Caller, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, packetPort)))
	if err != nil {
		return nil, err
	}
	c := &Caller{address: address, conn: conn, send: send, flows: map[uint16]*Flow{}, lastPort: 1024}
	c.reading.Go(c.readLoop)
	go c.tickLoop(ctx)
	return c, nil
}

// Close closes the caller's socket and waits until its address is released.
func (c *Caller) Close() {
	_ = c.conn.Close()
	c.reading.Wait()
}

// Open sends the opening packet of a new flow.
func (c *Caller) Open(service netip.AddrPort) *Flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastPort++
	f := &Flow{caller: c, local: netip.AddrPortFrom(c.address, c.lastPort), service: service, startedAt: time.Now(), updated: make(chan struct{}, 1)}
	c.flows[c.lastPort] = f
	f.send(platformtest.FlagOpen, initialSeq, 0, nil)
	return f
}

// LocalAddress returns the address and port of the caller's end of the flow.
func (f *Flow) LocalAddress() netip.AddrPort { return f.local }

func (f *Flow) send(flags byte, seq, ack uint32, data []byte) {
	echo := f.echo
	if flags == platformtest.FlagOpen {
		echo = 0
	}
	f.caller.send(platformtest.Packet{From: f.local, To: f.service, Echo: echo, Flags: flags, Seq: seq, Ack: ack, Data: data})
}

func (c *Caller) readLoop() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // The error reports that an earlier packet was undeliverable.
		}
		if p, ok := platformtest.Decode(append([]byte(nil), buffer[:n]...)); ok {
			c.handlePacket(p)
		}
	}
}

func (c *Caller) handlePacket(p platformtest.Packet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f, ok := c.flows[p.To.Port()]
	if !ok || f.service != p.From || f.outcome != 0 {
		return
	}
	switch {
	case p.Flags&platformtest.FlagReset != 0:
		f.handleReset(p)
	case !p.ChecksumValid:
		f.finish(OutcomeWrongResponse)
	case p.Flags&platformtest.FlagOpen != 0 && !f.opened:
		f.opened = true
		f.echo = p.Echo
		f.endpoint = transporter.New(initialSeq+1, p.Seq+1, f.send)
		f.endpoint.Acknowledge()
	case f.opened && p.Flags&platformtest.FlagOpen == 0:
		f.echo = p.Echo
		f.received = append(f.received, f.endpoint.Receive(p, time.Now())...)
	}
	f.notify()
}

// handleReset sets the outcome of a flow that was reset. A reset by the load balancer has no valid
// checksum, unlike one by the target.
func (f *Flow) handleReset(p platformtest.Packet) {
	switch {
	case !f.opened:
		f.finish(OutcomeNotOpened)
	case p.ChecksumValid:
		f.finish(OutcomeResetByTarget)
	default:
		f.finish(OutcomeResetByBalancer)
	}
}

func (f *Flow) finish(outcome Outcome) {
	if f.outcome == 0 {
		f.outcome = outcome
	}
}

func (f *Flow) notify() {
	select {
	case f.updated <- struct{}{}:
	default:
	}
}

func (c *Caller) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
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

// tick retransmits packets and ends the flow after a timeout. In an opening packet, the
// acknowledgement number holds the number of the retransmission.
func (f *Flow) tick(now time.Time) {
	age := now.Sub(f.startedAt)
	switch {
	case f.outcome != 0:
	case f.opened:
		if f.endpoint.Tick(now) {
			f.finish(OutcomeTimeout)
			f.notify()
		}
	case age > openTimeout:
		f.finish(OutcomeNotOpened)
		f.notify()
	case (f.retransmissions == 0 && age > firstRetransmit) || (f.retransmissions == 1 && age > secondRetransmit):
		f.retransmissions++
		f.send(platformtest.FlagOpen, initialSeq, f.retransmissions, nil)
	}
}

// Do sends a request and waits for the response until the deadline.
func (f *Flow) Do(ctx context.Context, id, kind string, bytes int, deadline time.Time) Outcome {
	sent := false
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for {
		f.caller.mu.Lock()
		if f.opened && !sent {
			sent = true
			f.endpoint.Write(append(fmt.Appendf(nil, "%s %s %d\n", id, kind, bytes), make([]byte, bytes)...), time.Now())
		}
		outcome := f.readResponse(id)
		f.caller.mu.Unlock()
		if outcome != 0 {
			return outcome
		}
		select {
		case <-f.updated:
		case <-timer.C:
			return OutcomeTimeout
		case <-ctx.Done():
			return OutcomeTimeout
		}
	}
}

// readResponse consumes the response to a request if it is complete, and otherwise returns the
// outcome of the flow, which is zero while the flow is usable. f.caller.mu must be held.
func (f *Flow) readResponse(id string) Outcome {
	newline := bytes.IndexByte(f.received, '\n')
	if newline < 0 {
		return f.outcome
	}
	var got, status string
	var length int
	if _, err := fmt.Sscanf(string(f.received[:newline]), "%s %s %d", &got, &status, &length); err != nil || got != id {
		return OutcomeWrongResponse
	}
	if len(f.received) < newline+1+length {
		return f.outcome
	}
	f.received = f.received[newline+1+length:]
	if status == "shed" {
		return OutcomeRefused
	}
	f.noMoreRequests = status == "last"
	return OutcomeAnswered
}

// NoMoreRequests reports whether the target has asked for no further requests in this flow.
func (f *Flow) NoMoreRequests() bool {
	f.caller.mu.Lock()
	defer f.caller.mu.Unlock()
	return f.noMoreRequests
}

// Close closes the flow and, if it is open, sends a reset to the target.
func (f *Flow) Close() {
	f.caller.mu.Lock()
	defer f.caller.mu.Unlock()
	if f.outcome == 0 && f.opened {
		f.send(platformtest.FlagReset, 0, 0, nil)
	}
	delete(f.caller.flows, f.local.Port())
}
