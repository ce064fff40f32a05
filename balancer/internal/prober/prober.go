// Package prober asks targets how they are: a CoAP GET of /health, whose answer
// is JSON such as {"inFlight": 2}.
package prober

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"cranberryspan.dev/core/reducer"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
)

// Kind tells callers which sort of failure an Error is.
type Kind uint8

// KindSocket means that the socket can't be opened or read.
const KindSocket Kind = 1

// Error is the one error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

const (
	timeout     = 700 * time.Millisecond
	sweepEvery  = 100 * time.Millisecond
	maxBytes    = 1500
	maxOptions  = 16
	tokenLength = 8
)

// Prober sends probes from a socket of its own. It trusts nothing but the
// address and token of an answer.
type Prober struct {
	conn   *net.UDPConn
	events chan<- reducer.Event

	mu      sync.Mutex
	next    uint64
	waiting map[uint64]probe
}

type probe struct {
	target   netip.AddrPort
	deadline time.Time
}

// New opens the socket on a host's address.
func New(address netip.Addr, events chan<- reducer.Event) (*Prober, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, 0)))
	if err != nil {
		return nil, &Error{Op: "listen for probes", Kind: KindSocket, Err: err}
	}
	return &Prober{conn: conn, events: events, waiting: map[uint64]probe{}}, nil
}

// Run reads answers and watches deadlines until the context ends. Reader and
// sweeper report their ends on the returned channel, which gets two values.
func (p *Prober) Run(ctx context.Context) <-chan error {
	ends := make(chan error, 2)
	context.AfterFunc(ctx, func() { _ = p.conn.Close() })
	go func() {
		p.read(ctx)
		ends <- nil
	}()
	go func() {
		p.sweep(ctx)
		ends <- nil
	}()
	return ends
}

// Probe sends one probe.
func (p *Prober) Probe(target netip.AddrPort) {
	p.mu.Lock()
	p.next++
	token := p.next
	p.waiting[token] = probe{target: target, deadline: time.Now().Add(timeout)}
	p.mu.Unlock()
	data, err := encode(token)
	if err == nil {
		_, err = p.conn.WriteToUDPAddrPort(data, target)
	}
	_ = err // A probe that is not sent fails by its deadline.
}

func encode(token uint64) ([]byte, error) {
	var raw [tokenLength]byte
	binary.BigEndian.PutUint64(raw[:], token)
	var buffer [16]byte
	options, _, err := message.Options{}.SetPath(buffer[:], "/health")
	if err != nil {
		return nil, err
	}
	m := message.Message{Token: raw[:], Code: codes.GET, Options: options, MessageID: int32(uint16(token)), Type: message.NonConfirmable}
	data := make([]byte, maxBytes)
	n, err := coder.DefaultCoder.Encode(m, data)
	return data[:max(n, 0)], err
}

func (p *Prober) read(ctx context.Context) {
	buffer := make([]byte, maxBytes)
	m := message.Message{Options: make(message.Options, 0, maxOptions)}
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			continue // An earlier probe came back undeliverable.
		}
		if _, err := coder.DefaultCoder.Decode(buffer[:n], &m); err != nil || len(m.Token) != tokenLength {
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		p.answered(ctx, binary.BigEndian.Uint64(m.Token), from, m.Code == codes.Content, m.Payload)
	}
}

func (p *Prober) answered(ctx context.Context, token uint64, from netip.AddrPort, healthy bool, payload []byte) {
	p.mu.Lock()
	waiting, ok := p.waiting[token]
	ok = ok && waiting.target == from
	if ok {
		delete(p.waiting, token)
	}
	p.mu.Unlock()
	if !ok {
		return
	}
	var report struct {
		InFlight int `json:"inFlight"`
	}
	if json.Unmarshal(payload, &report) != nil {
		report.InFlight = 0
	}
	p.offer(ctx, &reducer.ProbeAnswered{Target: from, Healthy: healthy, InFlight: report.InFlight})
}

func (p *Prober) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, target := range p.overdue(now) {
				p.offer(ctx, &reducer.ProbeAnswered{Target: target})
			}
		}
	}
}

func (p *Prober) overdue(now time.Time) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	var targets []netip.AddrPort
	for token, waiting := range p.waiting {
		if now.After(waiting.deadline) {
			targets = append(targets, waiting.target)
			delete(p.waiting, token)
		}
	}
	return targets
}

func (p *Prober) offer(ctx context.Context, event reducer.Event) {
	select {
	case p.events <- event:
	case <-ctx.Done():
	}
}
