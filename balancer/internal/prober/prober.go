// Package prober sends health probes to targets: a CoAP GET of /health, to which a healthy
// target responds with JSON such as {"inFlight": 2}.
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

// Kind classifies errors.
type Kind uint8

// KindSocket means that the socket can't be opened.
const KindSocket Kind = 1

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

const (
	probeTimeout     = 700 * time.Millisecond
	sweepInterval    = 100 * time.Millisecond
	maxDatagramBytes = 1500
	maxOptions       = 16
	tokenLength      = 8
)

// Prober sends probes from its own socket. It accepts a response only if address and token
// match a pending probe.
type Prober struct {
	conn   *net.UDPConn
	events chan<- reducer.Event

	mu        sync.Mutex
	lastToken uint64
	pending   map[uint64]pendingProbe
}

type pendingProbe struct {
	target   netip.AddrPort
	deadline time.Time
}

// New opens the socket on a host's address.
func New(address netip.Addr, events chan<- reducer.Event) (*Prober, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, 0)))
	if err != nil {
		return nil, &Error{Op: "listen for probes", Kind: KindSocket, Err: err}
	}
	return &Prober{conn: conn, events: events, pending: map[uint64]pendingProbe{}}, nil
}

// Run reads responses and expires probes until the context is canceled. The returned
// channel receives two values, nil from each of the two goroutines when it stops.
func (p *Prober) Run(ctx context.Context) <-chan error {
	done := make(chan error, 2)
	context.AfterFunc(ctx, func() { _ = p.conn.Close() })
	go func() {
		p.read(ctx)
		done <- nil
	}()
	go func() {
		p.sweep(ctx)
		done <- nil
	}()
	return done
}

// Probe sends one probe.
func (p *Prober) Probe(target netip.AddrPort) {
	p.mu.Lock()
	p.lastToken++
	token := p.lastToken
	p.pending[token] = pendingProbe{target: target, deadline: time.Now().Add(probeTimeout)}
	p.mu.Unlock()
	data, err := encode(token)
	if err == nil {
		_, err = p.conn.WriteToUDPAddrPort(data, target)
	}
	_ = err // A probe that could not be sent fails at its deadline.
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
	data := make([]byte, maxDatagramBytes)
	n, err := coder.DefaultCoder.Encode(m, data)
	return data[:max(n, 0)], err
}

func (p *Prober) read(ctx context.Context) {
	buffer := make([]byte, maxDatagramBytes)
	m := message.Message{Options: make(message.Options, 0, maxOptions)}
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			continue // The error reports that an earlier probe was undeliverable.
		}
		if _, err := coder.DefaultCoder.Decode(buffer[:n], &m); err != nil || len(m.Token) != tokenLength {
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		p.handleResponse(ctx, binary.BigEndian.Uint64(m.Token), from, m.Code == codes.Content, m.Payload)
	}
}

func (p *Prober) handleResponse(ctx context.Context, token uint64, from netip.AddrPort, healthy bool, payload []byte) {
	p.mu.Lock()
	pending, ok := p.pending[token]
	ok = ok && pending.target == from
	if ok {
		delete(p.pending, token)
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
	p.emit(ctx, &reducer.ProbeCompleted{Target: from, Healthy: healthy, InFlight: report.InFlight})
}

func (p *Prober) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, target := range p.removeExpired(now) {
				p.emit(ctx, &reducer.ProbeCompleted{Target: target})
			}
		}
	}
}

func (p *Prober) removeExpired(now time.Time) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	var targets []netip.AddrPort
	for token, pending := range p.pending {
		if now.After(pending.deadline) {
			targets = append(targets, pending.target)
			delete(p.pending, token)
		}
	}
	return targets
}

func (p *Prober) emit(ctx context.Context, event reducer.Event) {
	select {
	case p.events <- event:
	case <-ctx.Done():
	}
}
