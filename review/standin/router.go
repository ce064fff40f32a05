package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	readinessInterval = 500 * time.Millisecond
	missesUntilOut    = 2
)

// router forwards the packets of requesters to the hosts of their zone.
type router struct {
	hosts  []*host
	conn   *net.UDPConn
	client *http.Client

	mu     sync.Mutex
	misses map[*host]int
}

func newRouter(ctx context.Context, hosts []*host) (*router, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	r := &router{hosts: hosts, conn: conn, misses: map[*host]int{}, client: &http.Client{Timeout: readinessInterval, Transport: &http.Transport{DisableKeepAlives: true}}}
	for _, h := range hosts {
		r.misses[h] = missesUntilOut
		go r.check(ctx, h)
	}
	return r, nil
}

func (r *router) check(ctx context.Context, h *host) {
	for ctx.Err() == nil {
		response, err := r.client.Get(fmt.Sprintf("http://%s/v1/readyz", h.ready))
		ready := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		r.mu.Lock()
		if ready {
			r.misses[h] = 0
		} else {
			r.misses[h]++
		}
		r.mu.Unlock()
		wait(ctx, readinessInterval)
	}
}

func (r *router) inRotation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, misses := range r.misses {
		if misses < missesUntilOut {
			n++
		}
	}
	return n
}

func (r *router) forward(zone string, p *packet) {
	if h := r.pick(zone, p); h != nil {
		_, _ = r.conn.WriteToUDPAddrPort(p.encode(), h.packets) // A lost packet is sent again.
	}
}

// pick selects a host by rendezvous hashing ("steady").
func (r *router) pick(zone string, p *packet) *host {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all, ready, elsewhere []*host
	for _, h := range r.hosts {
		in := r.misses[h] < missesUntilOut
		switch {
		case h.zone == zone && in:
			all, ready = append(all, h), append(ready, h)
		case h.zone == zone:
			all = append(all, h)
		case in:
			elsewhere = append(elsewhere, h)
		}
	}
	candidates := ready
	switch {
	case len(ready) == 0 && len(elsewhere) > 0:
		candidates = elsewhere
	case 2*len(ready) < len(all):
		candidates = all
	}
	var best *host
	var bestWeight uint64
	for _, h := range candidates {
		if w := weight(h.name, p.from, p.to); best == nil || w > bestWeight {
			best, bestWeight = h, w
		}
	}
	return best
}

func weight(name string, from, to netip.AddrPort) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, from, to, name)
	mixed := h.Sum64() * 0x9e3779b97f4a7c15
	return mixed ^ mixed>>32
}
