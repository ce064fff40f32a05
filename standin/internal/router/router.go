// Package router stands in for the operators' routers: it hands the packets of
// callers to the hosts of their zone that are ready.
package router

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"cranberryspan.dev/platform/platformtest"
	"github.com/cespare/xxhash/v2"
)

const (
	checkInterval = 500 * time.Millisecond
	// unhealthyThreshold is after how many missed checks a host is out of rotation.
	unhealthyThreshold = 2
)

// Host is one host as routers know it.
type Host struct {
	Name          string
	Zone          string
	PacketAddress netip.AddrPort
	ReadyAddress  netip.AddrPort
}

// Fault says what happens to the packets to a host.
type Fault struct {
	Drop  bool
	Delay time.Duration
}

// Router hands packets on.
type Router struct {
	hosts  []Host
	conn   *net.UDPConn
	client *http.Client

	mu           sync.Mutex
	failedChecks map[string]int
	faults       map[string]Fault
}

// New makes a router whose hosts are all out of rotation.
func New(hosts []Host) (*Router, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	r := &Router{
		hosts: hosts, conn: conn, failedChecks: map[string]int{}, faults: map[string]Fault{},
		client: &http.Client{Timeout: checkInterval, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	for _, h := range hosts {
		r.failedChecks[h.Name] = unhealthyThreshold
	}
	return r, nil
}

// Run checks hosts until the context ends, and reports its end.
func (r *Router) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	var checks sync.WaitGroup
	for _, h := range r.hosts {
		checks.Go(func() { r.checkLoop(ctx, h) })
	}
	go func() {
		checks.Wait()
		done <- r.conn.Close()
	}()
	return done
}

func (r *Router) checkLoop(ctx context.Context, h Host) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		ready := r.checkReady(ctx, h)
		r.mu.Lock()
		if ready {
			r.failedChecks[h.Name] = 0
		} else {
			r.failedChecks[h.Name]++
		}
		r.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *Router) checkReady(ctx context.Context, h Host) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s", h.ReadyAddress, platformtest.ReadyPath), nil)
	if err != nil {
		return false
	}
	response, err := r.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// InRotation lists the hosts that get packets.
func (r *Router) InRotation() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for _, h := range r.hosts {
		if r.failedChecks[h.Name] < unhealthyThreshold {
			names = append(names, h.Name)
		}
	}
	return names
}

// SetFault sets the fault of the packets to a host.
func (r *Router) SetFault(host string, fault Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[host] = fault
}

// Forward hands a packet of a caller to a host of its zone.
func (r *Router) Forward(zone string, p platformtest.Packet) {
	h, fault, ok := r.pickHost(zone, p)
	if !ok || fault.Drop {
		return
	}
	r.ForwardTo(h.PacketAddress, p, fault.Delay)
}

// ForwardTo hands a packet to a host of the test's choice.
func (r *Router) ForwardTo(host netip.AddrPort, p platformtest.Packet, delay time.Duration) {
	data := platformtest.Encode(p)
	send := func() { _, _ = r.conn.WriteToUDPAddrPort(data, host) } // Lost packets are repeated.
	if delay > 0 {
		time.AfterFunc(delay, send)
		return
	}
	send()
}

// pickHost chooses by rendezvous hashing over the zone's hosts in rotation; over all
// of the zone if fewer than half are; over all zones' if none is.
func (r *Router) pickHost(zone string, p platformtest.Packet) (Host, Fault, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var inZone, readyInZone, otherZones []Host
	for _, h := range r.hosts {
		inRotation := r.failedChecks[h.Name] < unhealthyThreshold
		if h.Zone == zone {
			inZone = append(inZone, h)
			if inRotation {
				readyInZone = append(readyInZone, h)
			}
		} else if inRotation {
			otherZones = append(otherZones, h)
		}
	}
	candidates := readyInZone
	switch {
	case len(readyInZone) == 0 && len(otherZones) > 0:
		candidates = otherZones
	case 2*len(readyInZone) < len(inZone):
		candidates = inZone
	}
	var best Host
	var bestScore uint64
	for _, h := range candidates {
		if score := xxhash.Sum64String(h.Name + p.From.String() + p.To.String()); score >= bestScore {
			best, bestScore = h, score
		}
	}
	return best, r.faults[best.Name], len(candidates) > 0
}
