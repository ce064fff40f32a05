// Package meterer counts the bytes of connections other than callers' flows: platform reads,
// and sync requests between hosts. The steerer has to account for them, since they delay the
// packets of flows on a slow link.
package meterer

import (
	"context"
	"net"
	"sync/atomic"
)

// Meter counts the bytes of the connections that it opens and accepts. It is safe for
// concurrent use.
type Meter struct {
	received atomic.Uint64
	sent     atomic.Uint64
	dialer   net.Dialer
}

// New returns a Meter with all counts at 0.
func New() *Meter { return &Meter{} }

// Totals returns the bytes received and sent so far.
func (m *Meter) Totals() (received, sent uint64) {
	return m.received.Load(), m.sent.Load()
}

// Dial opens a connection whose bytes are counted.
func (m *Meter) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := m.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: conn, meter: m}, nil
}

// WrapListener returns a listener that counts the bytes of the connections it accepts.
func (m *Meter) WrapListener(listener net.Listener) net.Listener {
	return &meteredListener{Listener: listener, meter: m}
}

type meteredListener struct {
	net.Listener
	meter *Meter
}

func (l *meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: conn, meter: l.meter}, nil
}

type meteredConn struct {
	net.Conn
	meter *Meter
}

func (c *meteredConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.meter.received.Add(uint64(n))
	return n, err
}

func (c *meteredConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.meter.sent.Add(uint64(n))
	return n, err
}
