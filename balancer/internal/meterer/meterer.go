// Package meterer counts the bytes of connections that are not callers' flows: reads of
// the platform, and answers between hosts. The steerer must know of them, since they
// hold up the packets of flows on a small link.
package meterer

import (
	"context"
	"net"
	"sync/atomic"
)

// Meterer counts the bytes of the connections that it opens and accepts. It is safe for
// concurrent use.
type Meterer struct {
	received atomic.Uint64
	sent     atomic.Uint64
	dialer   net.Dialer
}

// New makes a Meterer.
func New() *Meterer { return &Meterer{} }

// Totals returns the bytes received and sent so far.
func (m *Meterer) Totals() (received, sent uint64) {
	return m.received.Load(), m.sent.Load()
}

// Dial opens a connection whose bytes are counted.
func (m *Meterer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := m.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: conn, meterer: m}, nil
}

// Listener returns a listener whose connections are counted.
func (m *Meterer) Listener(listener net.Listener) net.Listener {
	return &meteredListener{Listener: listener, meterer: m}
}

type meteredListener struct {
	net.Listener
	meterer *Meterer
}

func (l *meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: conn, meterer: l.meterer}, nil
}

type meteredConn struct {
	net.Conn
	meterer *Meterer
}

func (c *meteredConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.meterer.received.Add(uint64(n))
	return n, err
}

func (c *meteredConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.meterer.sent.Add(uint64(n))
	return n, err
}
