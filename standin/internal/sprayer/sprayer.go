// Package sprayer emulates the fabric. It sends every packet of a caller or target to a random
// host among those that announce themselves, and sends the packets of hosts to callers and targets.
//
// Targets see a distinct source address for each return address. Since an IPv6 prefix cannot be
// routed on a single machine, the fabric maps each return address to its own socket and keeps the
// mapping while it runs.
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

// Error is the error type of this package.
type Error struct {
	Op  string
	Err error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

const (
	maxDatagramBytes   = 64 << 10
	receiveBufferBytes = 4 << 20
	// announcementTTL is the time for which an announcement is valid.
	announcementTTL = 600 * time.Millisecond
)

// Fabric is an emulated fabric.
type Fabric struct {
	hostConn     *net.UDPConn
	control      net.Listener
	serviceConns map[netip.AddrPort]*net.UDPConn
	hostNames    map[netip.AddrPort]string

	mu             sync.Mutex
	returnConns    map[netip.Addr]*net.UDPConn
	announcedUntil map[string]time.Time
	cutHosts       map[string]bool
	receivingHosts []netip.AddrPort
	random         *rand.Rand
}

// New opens hostListen, the address to which hosts send, the control address and every service
// address of the settings. The seed determines the choice of hosts.
func New(hostListen, control netip.AddrPort, settings *resolver.Settings, seed uint64) (*Fabric, error) {
	f := &Fabric{
		serviceConns:   map[netip.AddrPort]*net.UDPConn{},
		hostNames:      map[netip.AddrPort]string{},
		returnConns:    map[netip.Addr]*net.UDPConn{},
		announcedUntil: map[string]time.Time{},
		cutHosts:       map[string]bool{},
		random:         rand.New(rand.NewPCG(seed, seed)),
	}
	var err error
	if f.hostConn, err = listen(hostListen); err != nil {
		return nil, err
	}
	for _, service := range settings.Services {
		if f.serviceConns[service.Address], err = listen(service.Address); err != nil {
			return nil, err
		}
	}
	for _, host := range settings.Hosts {
		f.hostNames[host.FabricAddress] = host.Name
	}
	if f.control, err = net.Listen("tcp", control.String()); err != nil {
		return nil, &Error{Op: "listen for control", Err: err}
	}
	return f, nil
}

func listen(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, &Error{Op: "listen", Err: err}
	}
	_ = conn.SetReadBuffer(receiveBufferBytes)
	return conn, nil
}

// Run forwards packets until ctx is done. The returned channel then receives the result.
func (f *Fabric) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	server := f.controlServer()
	var readers sync.WaitGroup
	context.AfterFunc(ctx, func() {
		_ = server.Close()
		f.closeAll()
	})
	for address, conn := range f.serviceConns {
		readers.Go(func() {
			f.readLoop(ctx, conn, func(from netip.AddrPort, data []byte) { f.sendToRandomHost(from, address, data) })
		})
	}
	readers.Go(func() {
		f.readLoop(ctx, f.hostConn, func(from netip.AddrPort, data []byte) { f.handleFromHost(ctx, from, data) })
	})
	go func() {
		err := server.Serve(f.control)
		readers.Wait()
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		done <- err
	}()
	return done
}

func (f *Fabric) closeAll() {
	_ = f.hostConn.Close()
	for _, conn := range f.serviceConns {
		_ = conn.Close()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.returnConns {
		_ = conn.Close()
	}
}

// controlServer returns the control server. POST /cut?host=NAME disconnects a host from the
// fabric, POST /heal?host=NAME reconnects it, and GET /hosts returns the number of hosts that
// receive packets.
func (f *Fabric) controlServer() *http.Server {
	mux := http.NewServeMux()
	setCut := func(cut bool) http.HandlerFunc {
		return func(_ http.ResponseWriter, request *http.Request) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.cutHosts[request.URL.Query().Get("host")] = cut
			f.updateReceivingHosts()
		}
	}
	mux.HandleFunc("POST /cut", setCut(true))
	mux.HandleFunc("POST /heal", setCut(false))
	mux.HandleFunc("GET /hosts", func(w http.ResponseWriter, _ *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.updateReceivingHosts()
		_, _ = fmt.Fprintln(w, len(f.receivingHosts))
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
}

func (f *Fabric) readLoop(ctx context.Context, conn *net.UDPConn, handle func(netip.AddrPort, []byte)) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // The error reports that an earlier packet was undeliverable.
		}
		handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buffer[:n])
	}
}

// sendToRandomHost sends an encapsulated packet to a random host.
func (f *Fabric) sendToRandomHost(from, to netip.AddrPort, payload []byte) {
	data, err := encoder.EncodeEncapsulatedPacket(encoder.EncapsulatedPacket{From: from, To: to, Payload: payload})
	if err != nil {
		return
	}
	if host, ok := f.pickHost(); ok {
		_, _ = f.hostConn.WriteToUDPAddrPort(data, host)
	}
}

func (f *Fabric) pickHost() (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.receivingHosts) == 0 {
		return netip.AddrPort{}, false
	}
	return f.receivingHosts[f.random.IntN(len(f.receivingHosts))], true
}

// updateReceivingHosts updates the list of hosts that receive packets: those with a valid
// announcement that are not disconnected by POST /cut. The caller must hold mu.
func (f *Fabric) updateReceivingHosts() {
	now := time.Now()
	f.receivingHosts = f.receivingHosts[:0]
	for address, name := range f.hostNames {
		if until, ok := f.announcedUntil[name]; ok && now.Before(until) && !f.cutHosts[name] {
			f.receivingHosts = append(f.receivingHosts, address)
		}
	}
}

// handleFromHost processes an announcement or an encapsulated packet from a host. A packet whose
// source is a service address goes to a caller, any other from a return address to a target.
func (f *Fabric) handleFromHost(ctx context.Context, from netip.AddrPort, data []byte) {
	name, ok := f.hostNames[from]
	if !ok {
		return
	}
	if a, err := encoder.DecodeAnnouncement(data); err == nil {
		f.handleAnnouncement(a)
		return
	}
	packet, err := encoder.DecodeEncapsulatedPacket(data)
	if err != nil || f.isCut(name) {
		return
	}
	if conn, ok := f.serviceConns[packet.From]; ok {
		_, _ = conn.WriteToUDPAddrPort(packet.Payload, packet.To)
		return
	}
	if conn := f.returnConn(ctx, packet.From); conn != nil {
		_, _ = conn.WriteToUDPAddrPort(packet.Payload, packet.To)
	}
}

func (f *Fabric) isCut(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cutHosts[name]
}

func (f *Fabric) handleAnnouncement(a encoder.Announcement) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.announcedUntil[a.Host] = time.Time{}
	if a.Accepting {
		f.announcedUntil[a.Host] = time.Now().Add(announcementTTL)
	}
	f.updateReceivingHosts()
}

// returnConn returns the socket of a return address and opens it on first use.
func (f *Fabric) returnConn(ctx context.Context, address netip.AddrPort) *net.UDPConn {
	f.mu.Lock()
	defer f.mu.Unlock()
	if conn, ok := f.returnConns[address.Addr()]; ok {
		return conn
	}
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil || ctx.Err() != nil {
		return nil
	}
	f.returnConns[address.Addr()] = conn
	go f.readLoop(ctx, conn, func(from netip.AddrPort, data []byte) { f.sendToRandomHost(from, address, data) })
	return conn
}
