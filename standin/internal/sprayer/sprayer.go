// Package sprayer is a small stand-in for the fabric. It hands every packet, in
// both directions, to a random host among those that announce themselves.
//
// Targets see one address for each return address. On one machine there is no
// way to route a whole IPv6 prefix, so the sprayer gives each return address a
// socket of its own and keeps the pair for as long as it runs.
package sprayer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"cranberryspan.dev/core/encoder"
	"cranberryspan.dev/core/resolver"
)

// Error is the one error type of this package.
type Error struct {
	Op  string
	Err error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

const (
	maxDatagram = 64 << 10
	bufferBytes = 4 << 20
	// announceSpan is how long an announcement holds.
	announceSpan = 600 * time.Millisecond
)

// Sprayer is the fabric.
type Sprayer struct {
	inside   *net.UDPConn
	control  net.Listener
	services map[netip.AddrPort]*net.UDPConn
	listed   map[netip.AddrPort]string

	mu        sync.Mutex
	returns   map[netip.Addr]*net.UDPConn
	announced map[string]time.Time
	cut       map[string]bool
	open      []netip.AddrPort
	random    *rand.Rand
}

// New opens the inside address, to which hosts send, and every service address
// of the settings. seed makes the choice of hosts repeatable.
func New(inside, control netip.AddrPort, settings *resolver.Settings, seed uint64) (*Sprayer, error) {
	s := &Sprayer{
		services:  map[netip.AddrPort]*net.UDPConn{},
		listed:    map[netip.AddrPort]string{},
		returns:   map[netip.Addr]*net.UDPConn{},
		announced: map[string]time.Time{},
		cut:       map[string]bool{},
		random:    rand.New(rand.NewPCG(seed, seed)),
	}
	var err error
	if s.inside, err = listen(inside); err != nil {
		return nil, err
	}
	for _, service := range settings.Services {
		if s.services[service.Address], err = listen(service.Address); err != nil {
			return nil, err
		}
	}
	for _, host := range settings.Hosts {
		s.listed[host.FabricAddress] = host.Name
	}
	if s.control, err = net.Listen("tcp", control.String()); err != nil {
		return nil, &Error{Op: "listen for control", Err: err}
	}
	return s, nil
}

func listen(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, &Error{Op: "listen", Err: err}
	}
	_ = conn.SetReadBuffer(bufferBytes)
	return conn, nil
}

// Run moves packets until the context ends, and reports its end.
func (s *Sprayer) Run(ctx context.Context) <-chan error {
	end := make(chan error, 1)
	server := s.controlServer()
	var readers sync.WaitGroup
	context.AfterFunc(ctx, func() {
		_ = server.Close()
		s.closeAll()
	})
	for address, conn := range s.services {
		readers.Go(func() {
			s.read(ctx, conn, func(from netip.AddrPort, data []byte) { s.spray(from, address, data) })
		})
	}
	readers.Go(func() { s.read(ctx, s.inside, func(from netip.AddrPort, data []byte) { s.fromHost(ctx, from, data) }) })
	go func() {
		err := server.Serve(s.control)
		readers.Wait()
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		end <- err
	}()
	return end
}

func (s *Sprayer) closeAll() {
	_ = s.inside.Close()
	for _, conn := range s.services {
		_ = conn.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.returns {
		_ = conn.Close()
	}
}

// controlServer cuts hosts off the fabric: POST /cut?host=NAME, /heal?host=NAME.
func (s *Sprayer) controlServer() *http.Server {
	mux := http.NewServeMux()
	set := func(cut bool) http.HandlerFunc {
		return func(_ http.ResponseWriter, request *http.Request) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.cut[request.URL.Query().Get("host")] = cut
			s.renew()
		}
	}
	mux.HandleFunc("POST /cut", set(true))
	mux.HandleFunc("POST /heal", set(false))
	mux.HandleFunc("GET /hosts", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.renew()
		_, _ = fmt.Fprintln(w, len(s.open))
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
}

func (s *Sprayer) read(ctx context.Context, conn *net.UDPConn, handle func(netip.AddrPort, []byte)) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // An earlier packet came back undeliverable.
		}
		handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buffer[:n])
	}
}

// spray hands a packet to a random host.
func (s *Sprayer) spray(from, to netip.AddrPort, payload []byte) {
	data, err := encoder.EncodeEncapsulatedPacket(encoder.EncapsulatedPacket{From: from, To: to, Payload: payload})
	if err != nil {
		return
	}
	if host, ok := s.pick(); ok {
		_, _ = s.inside.WriteToUDPAddrPort(data, host)
	}
}

func (s *Sprayer) pick() (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) == 0 {
		return netip.AddrPort{}, false
	}
	return s.open[s.random.IntN(len(s.open))], true
}

// renew lists the hosts that get packets. The caller holds mu.
func (s *Sprayer) renew() {
	now := time.Now()
	s.open = s.open[:0]
	for address, name := range s.listed {
		if until, ok := s.announced[name]; ok && now.Before(until) && !s.cut[name] {
			s.open = append(s.open, address)
		}
	}
}

// fromHost takes a packet, or an announcement, from a host.
func (s *Sprayer) fromHost(ctx context.Context, from netip.AddrPort, data []byte) {
	name, ok := s.listed[from]
	if !ok {
		return
	}
	if a, err := encoder.DecodeAnnouncement(data); err == nil {
		s.announce(a)
		return
	}
	d, err := encoder.DecodeEncapsulatedPacket(data)
	if err != nil || s.isCut(name) {
		return
	}
	if conn, ok := s.services[d.From]; ok {
		_, _ = conn.WriteToUDPAddrPort(d.Payload, d.To)
		return
	}
	if conn := s.returnSocket(ctx, d.From); conn != nil {
		_, _ = conn.WriteToUDPAddrPort(d.Payload, d.To)
	}
}

func (s *Sprayer) isCut(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut[name]
}

func (s *Sprayer) announce(a encoder.Announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announced[a.Host] = time.Time{}
	if a.Accepting {
		s.announced[a.Host] = time.Now().Add(announceSpan)
	}
	s.renew()
}

// returnSocket returns the socket that stands for a return address.
func (s *Sprayer) returnSocket(ctx context.Context, address netip.AddrPort) *net.UDPConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if conn, ok := s.returns[address.Addr()]; ok {
		return conn
	}
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil || ctx.Err() != nil {
		return nil
	}
	s.returns[address.Addr()] = conn
	go s.read(ctx, conn, func(from netip.AddrPort, data []byte) { s.spray(from, address, data) })
	return conn
}
