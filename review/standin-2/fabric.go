package main

import (
	"hash/fnv"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	readinessInterval = 500 * time.Millisecond
	missesUntilOut    = 2
)

// fabric is the platform's routers.
type fabric struct {
	hosts []*host

	mu     sync.Mutex
	misses map[*host]int
}

func newFabric(hosts []*host) *fabric {
	f := &fabric{hosts: hosts, misses: map[*host]int{}}
	for _, h := range hosts {
		f.misses[h] = missesUntilOut
		go f.check(h)
	}
	return f
}

func (f *fabric) check(h *host) {
	client := &http.Client{Timeout: readinessInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for range time.Tick(readinessInterval) {
		ready := false
		if resp, err := client.Get("http://" + h.readyAddress.String() + "/v1/readyz"); err == nil {
			ready = resp.StatusCode == http.StatusOK
			_ = resp.Body.Close()
		}
		f.mu.Lock()
		if ready {
			f.misses[h] = 0
		} else {
			f.misses[h]++
		}
		f.mu.Unlock()
	}
}

func (f *fabric) allReady() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts {
		if f.misses[h] > 0 {
			return false
		}
	}
	return true
}

// pick selects the host of a packet: by a hash of the four addresses and ports over the hosts of
// the zone that are in rotation, so that only the flows of a host that leaves move.
func (f *fabric) pick(zone string, p *packet) *host {
	f.mu.Lock()
	defer f.mu.Unlock()
	var in, all, elsewhere []*host
	for _, h := range f.hosts {
		ready := f.misses[h] < missesUntilOut
		switch {
		case h.zone == zone && ready:
			in, all = append(in, h), append(all, h)
		case h.zone == zone:
			all = append(all, h)
		case ready:
			elsewhere = append(elsewhere, h)
		}
	}
	if 2*len(in) < len(all) {
		if len(in) == 0 && len(elsewhere) > 0 {
			all = elsewhere
		}
		in = all
	}
	var best *host
	var bestHash uint64
	for _, h := range in {
		sum := fnv.New64a()
		_, _ = sum.Write([]byte(p.src.String() + p.dst.String() + h.name))
		if weight := mix(sum.Sum64()); best == nil || weight > bestHash {
			best, bestHash = h, weight
		}
	}
	return best
}

func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (f *fabric) forward(conn *net.UDPConn, zone string, p *packet) {
	if h := f.pick(zone, p); h != nil {
		_, _ = conn.WriteToUDPAddrPort(p.encode(), h.packetAddress)
	}
}
