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

// ProxyFault is a fault that a proxy applies to the traffic that other hosts send to its host.
type ProxyFault struct {
	// Drop discards datagrams and leaves new connections open without forwarding any data;
	// Delay delays datagrams and the start of new connections.
	Drop  bool
	Delay time.Duration
	// Reset closes new connections at once.
	Reset bool
}

// proxy listens on the advertised address of a host and forwards to its real one, upstream. Each
// host has one, so that faults can affect the traffic to one host and not its own traffic to
// others.
type proxy struct {
	upstream netip.AddrPort
	conn     *net.UDPConn
	listener net.Listener
	running  sync.WaitGroup

	mu sync.Mutex
	// datagramFaults holds the faults of datagrams by the sender's address. connectionFault
	// applies to all new connections, since their source address does not identify the host.
	datagramFaults  map[netip.AddrPort]ProxyFault
	connectionFault ProxyFault
}

func newProxy(ctx context.Context, advertised, upstream netip.AddrPort) (*proxy, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(advertised))
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", advertised.String())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	p := &proxy{upstream: upstream, conn: conn, listener: listener, datagramFaults: map[netip.AddrPort]ProxyFault{}}
	p.running.Go(p.forwardDatagrams)
	p.running.Go(func() { p.acceptLoop(ctx) })
	return p, nil
}

func (p *proxy) close() {
	_ = p.conn.Close()
	_ = p.listener.Close()
	p.running.Wait()
}

func (p *proxy) setFault(from netip.AddrPort, fault ProxyFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.datagramFaults[from] = fault
	p.connectionFault = fault
}

func (p *proxy) forwardDatagrams() {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // The error reports that an earlier datagram was undeliverable.
		}
		p.mu.Lock()
		fault := p.datagramFaults[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		p.mu.Unlock()
		if fault.Drop {
			continue
		}
		data := append([]byte(nil), buffer[:n]...)
		time.AfterFunc(fault.Delay, func() { _, _ = p.conn.WriteToUDPAddrPort(data, p.upstream) })
	}
}

func (p *proxy) acceptLoop(ctx context.Context) {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forwardConnection(ctx, client)
	}
}

func (p *proxy) forwardConnection(ctx context.Context, client net.Conn) {
	defer func() { _ = client.Close() }()
	p.mu.Lock()
	fault := p.connectionFault
	p.mu.Unlock()
	switch {
	case fault.Reset:
		return
	case fault.Drop:
		select { // The connection stays open without any data.
		case <-ctx.Done():
		case <-time.After(5 * time.Second):
		}
		return
	}
	time.Sleep(fault.Delay)
	server, err := net.Dial("tcp4", p.upstream.String())
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
