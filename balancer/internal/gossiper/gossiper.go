// Package gossiper exchanges reports with other hosts as authenticated datagrams. It uses
// UDP instead of connections, since a report is useless once the next one is due, and an
// unresponsive peer must not delay reports to the others.
package gossiper

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"

	"cranberryspan.dev/core/encoder"
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/steerer"
)

// Kind classifies errors.
type Kind uint8

// KindSocket means that the socket can't be opened or read.
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

// Counters count received datagrams that can't be decoded, can't be authenticated or contain
// no report, failed sends, and the bytes sent. They are safe for concurrent use.
type Counters struct {
	Rejected   atomic.Uint64
	SendFailed atomic.Uint64
	SentBytes  atomic.Uint64
}

// Gossiper manages the socket for reports.
type Gossiper struct {
	conn     *net.UDPConn
	codec    *encoder.MessageCodec
	events   chan<- steerer.Event
	Counters Counters
}

// New opens the socket. Received reports are sent to events.
func New(address netip.AddrPort, codec *encoder.MessageCodec, events chan<- steerer.Event) (*Gossiper, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, &Error{Op: "listen for reports", Kind: KindSocket, Err: err}
	}
	return &Gossiper{conn: conn, codec: codec, events: events}, nil
}

// Run reads reports until the context is canceled. The returned channel receives the error
// that stopped it, or nil.
func (g *Gossiper) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	context.AfterFunc(ctx, func() { _ = g.conn.Close() })
	go func() { done <- g.read(ctx) }()
	return done
}

func (g *Gossiper) read(ctx context.Context) error {
	buffer := make([]byte, encoder.MaxDatagramBytes)
	for {
		n, _, err := g.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return &Error{Op: "read report", Kind: KindSocket, Err: err}
		}
		from, body, err := g.codec.Decode(buffer[:n])
		report, ok := body.(*messenger.Report)
		if err != nil || !ok {
			g.Counters.Rejected.Add(1)
			continue
		}
		select {
		case g.events <- &steerer.ReportReceived{From: from, Report: report}:
		case <-ctx.Done():
			return nil
		}
	}
}

// Send sends a report, without retransmission.
func (g *Gossiper) Send(e *steerer.SendReport) {
	data, err := g.codec.Encode(e.Host, e.Report)
	if err == nil {
		_, err = g.conn.WriteToUDPAddrPort(data, e.Address)
	}
	if err != nil {
		g.Counters.SendFailed.Add(1)
		return
	}
	g.Counters.SentBytes.Add(uint64(len(data)))
}
