package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// deployment is a small installation on loopback addresses: hosts, store, backends and requesters.
type deployment struct {
	region       string
	zones        []string
	hostsPerZone []int
	// configMs and drainMs are the bounds config_propagation_ms and drain_timeout_ms;
	// moreSettings are lines of further bounds.
	configMs, drainMs int
	moreSettings      string
	reportsBorn       bool

	block        int
	basePort     int
	dir          string
	binary       string
	record       *recorder
	store        *store
	storeAddress netip.AddrPort
	server       *http.Server
	hosts        []*host
	backends     []*backend
	router       *router
	requesters   []*requester
}

// address returns 127.block.third.fourth with a port counted from the base port.
func (d *deployment) address(third, fourth, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(d.block), byte(third), byte(fourth)}), uint16(d.basePort+port))
}

// The ports of a deployment, counted from its base port.
const (
	portControl = iota
	portReady
	portPackets
	portAdmin
	portStore
	portBackend
)

// The third bytes of addresses; hosts use 1 and up, one for each zone.
const (
	thirdStore      = 200
	thirdBackends   = 100
	thirdRequesters = 150
	thirdRoutes     = 180
)

// routeAddress returns the address of a route, which only stands in the configuration and in the heads
// of packets.
func (d *deployment) routeAddress(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(d.address(thirdRoutes, 1, 0).Addr(), port)
}

func (d *deployment) seeds() string {
	var seeds []string
	for _, h := range d.hosts[:min(3, len(d.hosts))] {
		seeds = append(seeds, h.control.String())
	}
	return strings.Join(seeds, ",")
}

// chooseAddresses finds a block of loopback addresses whose ports are free.
func (d *deployment) chooseAddresses() error {
	for range 50 {
		d.block, d.basePort = 20+rand.IntN(200), 20000+10*rand.IntN(1000)
		if d.free() {
			return nil
		}
	}
	return fmt.Errorf("no free ports found")
}

func (d *deployment) free() bool {
	for port := range portBackend + 1 {
		a := d.address(1, 1, port).String()
		tcp, err := net.Listen("tcp4", a)
		if err != nil {
			return false
		}
		_ = tcp.Close()
		udp, err := net.ListenPacket("udp4", a)
		if err != nil {
			return false
		}
		_ = udp.Close()
	}
	return true
}

// start starts store, backends, hosts and router, and waits until all hosts are in rotation.
func (d *deployment) start(ctx context.Context) error {
	d.storeAddress = d.address(thirdStore, 1, portStore)
	listener, err := net.Listen("tcp4", d.storeAddress.String())
	if err != nil {
		return err
	}
	d.server = &http.Server{Handler: d.store.handler()}
	go func() { _ = d.server.Serve(listener) }() // Ends when end closes the server.
	go func() {
		for ctx.Err() == nil {
			d.store.expire()
			wait(ctx, 200*time.Millisecond)
		}
	}()
	for _, b := range d.backends {
		if err := b.start(); err != nil {
			return err
		}
	}
	for zone, count := range d.hostsPerZone {
		for n := 1; n <= count; n++ {
			name := fmt.Sprintf("edge-%s-%d", d.zones[zone], n)
			d.hosts = append(d.hosts, &host{
				name: name, zone: d.zones[zone], binary: d.binary,
				control: d.address(zone+1, n, portControl), ready: d.address(zone+1, n, portReady),
				packets: d.address(zone+1, n, portPackets), admin: d.address(zone+1, n, portAdmin),
				settings: filepath.Join(d.dir, name+".yaml"), log: logPath(d.dir, name),
			})
		}
	}
	for _, h := range d.hosts {
		if err := h.writeSettings(d); err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
	}
	if d.router, err = newRouter(ctx, d.hosts); err != nil {
		return err
	}
	for end := time.Now().Add(15 * time.Second); d.router.inRotation() < len(d.hosts); {
		if time.Now().After(end) {
			return fmt.Errorf("only %d of %d hosts are in rotation", d.router.inRotation(), len(d.hosts))
		}
		time.Sleep(50 * time.Millisecond)
	}
	d.record.printf("all %d hosts are in rotation", len(d.hosts))
	return nil
}

// end ends all processes that were started.
func (d *deployment) end() {
	for _, h := range d.hosts {
		h.end(syscall.SIGKILL, 5*time.Second)
	}
	for _, b := range d.backends {
		b.crash()
	}
	if d.server != nil {
		_ = d.server.Close()
	}
}

func (d *deployment) addBackend(id, service, zone string) *backend {
	n := len(d.backends) + 1
	b := newBackend(id, service, zone, d.address(thirdBackends, n, portBackend))
	b.packetPort, b.store, b.record, b.reportsBorn = uint16(d.basePort+portPackets), d.store, d.record, d.reportsBorn
	d.backends = append(d.backends, b)
	return b
}

func (d *deployment) addRequester(ctx context.Context, zone string) (*requester, error) {
	address := d.address(thirdRequesters, len(d.requesters)+1, 0).Addr()
	q, err := newRequester(ctx, address, uint16(d.basePort+portPackets), zone, d.router, d.record)
	if err == nil {
		d.requesters = append(d.requesters, q)
	}
	return q, err
}

// healthy returns an error if a host has ended by itself, or if the case was interrupted.
func (d *deployment) healthy(ctx context.Context) error {
	for _, h := range d.hosts {
		if !h.running() {
			return fmt.Errorf("host %s has ended", h.name)
		}
	}
	return ctx.Err()
}

// hostAt returns the name of the host that sends from a packet address.
func (d *deployment) hostAt(a netip.AddrPort) string {
	for _, h := range d.hosts {
		if h.packets == a {
			return h.name
		}
	}
	return a.String()
}

// arrivals returns all datagrams that backends received.
func (d *deployment) arrivals() []arrival {
	var all []arrival
	for _, b := range d.backends {
		b.mu.Lock()
		all = append(all, b.arrivals...)
		b.mu.Unlock()
	}
	return all
}

// route is a route of the configuration.
type route struct {
	name, kind, service string
	address             netip.AddrPort
	timeoutMs, aimMs    int
	priority            int
}

// publish writes a version of the configuration.
func (d *deployment) publish(version int, routes []route, services []string) {
	type document map[string]any
	var list, names []document
	for _, r := range routes {
		list = append(list, document{
			"name": r.name, "host": r.address.Addr().String(), "prefix": fmt.Sprintf("/%d/", r.address.Port()), "type": r.kind,
			"timeout_ms": r.timeoutMs, "target_latency_ms": r.aimMs, "priority": r.priority, "service": r.service, "max_attempts": 2,
		})
	}
	for _, s := range services {
		names = append(names, document{"name": s, "health_check_path": "/healthz", "max_connections": 2000, "protocol": "h1", "tls_enabled": false})
	}
	d.store.put("op/config", document{
		"version": version, "routes": list, "services": names,
		"limits": document{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	d.record.printf("the store accepts configuration %d", version)
}
