package soaker

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Harm says what a proxy does to what comes from a host.
type Harm struct {
	// Drop swallows datagrams and lets connections hang; Delay holds both up.
	Drop  bool
	Delay time.Duration
	// Reset breaks connections.
	Reset bool
}

// proxy stands on the advertised address of a host, before its real one. So what
// hosts tell each other can be harmed, each direction by itself.
type proxy struct {
	real     netip.AddrPort
	conn     *net.UDPConn
	listener net.Listener
	ends     sync.WaitGroup

	mu sync.Mutex
	// from holds the harm to datagrams by the sender's address; toHere that to
	// connections, whose sender shows no address of its own.
	from   map[netip.AddrPort]Harm
	toHere Harm
}

func newProxy(ctx context.Context, advertised, real netip.AddrPort) (*proxy, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(advertised))
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", advertised.String())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	p := &proxy{real: real, conn: conn, listener: listener, from: map[netip.AddrPort]Harm{}}
	p.ends.Go(p.datagrams)
	p.ends.Go(func() { p.connections(ctx) })
	return p, nil
}

func (p *proxy) close() {
	_ = p.conn.Close()
	_ = p.listener.Close()
	p.ends.Wait()
}

func (p *proxy) harm(from netip.AddrPort, h Harm) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.from[from] = h
	p.toHere = h
}

func (p *proxy) datagrams() {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // An earlier datagram came back undeliverable.
		}
		p.mu.Lock()
		h := p.from[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		p.mu.Unlock()
		if h.Drop {
			continue
		}
		data := append([]byte(nil), buffer[:n]...)
		time.AfterFunc(h.Delay, func() { _, _ = p.conn.WriteToUDPAddrPort(data, p.real) })
	}
}

func (p *proxy) connections(ctx context.Context) {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connection(ctx, client)
	}
}

func (p *proxy) connection(ctx context.Context, client net.Conn) {
	defer func() { _ = client.Close() }()
	p.mu.Lock()
	h := p.toHere
	p.mu.Unlock()
	switch {
	case h.Reset:
		return
	case h.Drop:
		select { // A silent connection: open, and nothing comes.
		case <-ctx.Done():
		case <-time.After(5 * time.Second):
		}
		return
	}
	time.Sleep(h.Delay)
	server, err := net.Dial("tcp4", p.real.String())
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{client, server}, {server, client}} {
		go func() {
			_, _ = io.Copy(pair[0], pair[1])
			done <- struct{}{}
		}()
	}
	<-done
}
