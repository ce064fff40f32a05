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
	checkEvery = 500 * time.Millisecond
	// maxMisses is after how many missed checks a host is out of rotation.
	maxMisses = 2
)

// Host is one host as routers know it.
type Host struct {
	Name   string
	Zone   string
	Packet netip.AddrPort
	Ready  netip.AddrPort
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

	mu     sync.Mutex
	misses map[string]int
	faults map[string]Fault
}

// New makes a router whose hosts are all out of rotation.
func New(hosts []Host) (*Router, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	r := &Router{
		hosts: hosts, conn: conn, misses: map[string]int{}, faults: map[string]Fault{},
		client: &http.Client{Timeout: checkEvery, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	for _, h := range hosts {
		r.misses[h.Name] = maxMisses
	}
	return r, nil
}

// Run checks hosts until the context ends, and reports its end.
func (r *Router) Run(ctx context.Context) <-chan error {
	end := make(chan error, 1)
	var checks sync.WaitGroup
	for _, h := range r.hosts {
		checks.Go(func() { r.watch(ctx, h) })
	}
	go func() {
		checks.Wait()
		end <- r.conn.Close()
	}()
	return end
}

func (r *Router) watch(ctx context.Context, h Host) {
	ticker := time.NewTicker(checkEvery)
	defer ticker.Stop()
	for {
		ready := r.check(ctx, h)
		r.mu.Lock()
		if ready {
			r.misses[h.Name] = 0
		} else {
			r.misses[h.Name]++
		}
		r.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *Router) check(ctx context.Context, h Host) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s", h.Ready, platformtest.ReadyPath), nil)
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

// Rotation lists the hosts that get packets.
func (r *Router) Rotation() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for _, h := range r.hosts {
		if r.misses[h.Name] < maxMisses {
			names = append(names, h.Name)
		}
	}
	return names
}

// Harm sets the fault of the packets to a host.
func (r *Router) Harm(host string, fault Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[host] = fault
}

// Hand hands a packet of a caller to a host of its zone.
func (r *Router) Hand(zone string, p platformtest.Packet) {
	h, fault, ok := r.pick(zone, p)
	if !ok || fault.Drop {
		return
	}
	r.HandTo(h.Packet, p, fault.Delay)
}

// HandTo hands a packet to a host of the test's choice.
func (r *Router) HandTo(host netip.AddrPort, p platformtest.Packet, delay time.Duration) {
	data := platformtest.Encode(p)
	send := func() { _, _ = r.conn.WriteToUDPAddrPort(data, host) } // Lost packets are repeated.
	if delay > 0 {
		time.AfterFunc(delay, send)
		return
	}
	send()
}

// pick chooses by rendezvous hashing over the zone's hosts in rotation; over all
// of the zone if fewer than half are; over all zones' if none is.
func (r *Router) pick(zone string, p platformtest.Packet) (Host, Fault, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var own, ready, anywhere []Host
	for _, h := range r.hosts {
		in := r.misses[h.Name] < maxMisses
		if h.Zone == zone {
			own = append(own, h)
			if in {
				ready = append(ready, h)
			}
		} else if in {
			anywhere = append(anywhere, h)
		}
	}
	candidates := ready
	switch {
	case len(ready) == 0 && len(anywhere) > 0:
		candidates = anywhere
	case 2*len(ready) < len(own):
		candidates = own
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
