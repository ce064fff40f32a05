// Package router emulates the operators' routers, which send the packets of callers to ready
// hosts of the callers' zone.
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
	readinessCheckInterval = 500 * time.Millisecond
	// unhealthyThreshold is the number of consecutive failed readiness checks after which a
	// host is out of rotation.
	unhealthyThreshold = 2
)

// Host is a host to which the router sends packets.
type Host struct {
	Name          string
	Zone          string
	PacketAddress netip.AddrPort
	ReadyAddress  netip.AddrPort
}

// Fault is a fault in the path from the router to a host.
type Fault struct {
	Drop  bool
	Delay time.Duration
}

// Router sends the packets of callers to hosts.
type Router struct {
	hosts  []Host
	conn   *net.UDPConn
	client *http.Client

	mu                    sync.Mutex
	failedReadinessChecks map[string]int
	faults                map[string]Fault
}

// New returns a router whose hosts are all out of rotation.
func New(hosts []Host) (*Router, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	r := &Router{
		hosts: hosts, conn: conn, failedReadinessChecks: map[string]int{}, faults: map[string]Fault{},
		client: &http.Client{Timeout: readinessCheckInterval, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	for _, h := range hosts {
		r.failedReadinessChecks[h.Name] = unhealthyThreshold
	}
	return r, nil
}

// Run checks the readiness of the hosts until ctx is done. The returned channel then receives the
// result.
func (r *Router) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	var checks sync.WaitGroup
	for _, h := range r.hosts {
		checks.Go(func() { r.readinessCheckLoop(ctx, h) })
	}
	go func() {
		checks.Wait()
		done <- r.conn.Close()
	}()
	return done
}

func (r *Router) readinessCheckLoop(ctx context.Context, h Host) {
	ticker := time.NewTicker(readinessCheckInterval)
	defer ticker.Stop()
	for {
		ready := r.checkReady(ctx, h)
		r.mu.Lock()
		if ready {
			r.failedReadinessChecks[h.Name] = 0
		} else {
			r.failedReadinessChecks[h.Name]++
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

// InRotation returns the names of the hosts that are in rotation.
func (r *Router) InRotation() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for _, h := range r.hosts {
		if r.failedReadinessChecks[h.Name] < unhealthyThreshold {
			names = append(names, h.Name)
		}
	}
	return names
}

// SetFault sets the fault in the path to a host.
func (r *Router) SetFault(host string, fault Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[host] = fault
}

// Forward sends a packet of a caller in the given zone to the host that pickHost selects.
func (r *Router) Forward(zone string, p platformtest.Packet) {
	h, fault, ok := r.pickHost(zone, p)
	if !ok || fault.Drop {
		return
	}
	r.ForwardTo(h.PacketAddress, p, fault.Delay)
}

// ForwardTo sends a packet to the given host after a delay.
func (r *Router) ForwardTo(host netip.AddrPort, p platformtest.Packet, delay time.Duration) {
	data := platformtest.Encode(p)
	send := func() { _, _ = r.conn.WriteToUDPAddrPort(data, host) } // Lost packets are retransmitted.
	if delay > 0 {
		time.AfterFunc(delay, send)
		return
	}
	send()
}

// pickHost selects a host by rendezvous hashing among the hosts of the zone that are in rotation.
// If fewer than half are, it selects among all hosts of the zone; if none is, among the hosts of
// other zones that are in rotation, if any.
func (r *Router) pickHost(zone string, p platformtest.Packet) (Host, Fault, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var inZone, readyInZone, otherZones []Host
	for _, h := range r.hosts {
		inRotation := r.failedReadinessChecks[h.Name] < unhealthyThreshold
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
