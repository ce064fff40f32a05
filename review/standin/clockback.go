package main

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"
)

const (
	// clockJump is how far the time of day on a machine jumps ahead.
	clockJump = 2 * time.Second
	// drainTimeout is the bound drain_timeout_ms.
	drainTimeout = 5 * time.Second
)

// clockBack shows whether a draining backend gets new requests if it has started twice in quick
// succession while the time of day on its machine jumped ahead and back.
func clockBack(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	d.region, d.zones, d.hostsPerZone = "viti-levu", []string{"suva", "nausori", "lautoka"}, []int{3, 3, 2}
	d.configMs, d.drainMs, d.reportsBorn = 5000, 5000, true
	if err := d.chooseAddresses(); err != nil {
		return false, err
	}
	for n := range 14 {
		d.addBackend(fmt.Sprintf("i-%010x", 0x5a00000100+n), "order-desk", d.zones[n%3])
	}
	for _, b := range d.backends {
		b.work = 61 * time.Millisecond
	}
	victim := d.backends[0]
	var ahead atomic.Int64
	victim.clock = func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }
	order := netip.MustParseAddrPort("198.18.0.1:8080")
	d.publish(7, []route{{"r-order", "non_idempotent", "order-desk", order, 2500, 400, 1}}, []string{"order-desk"})
	if err := d.start(ctx); err != nil {
		return false, err
	}
	load, stop := context.WithCancel(ctx)
	defer stop()
	for zone, name := range d.zones {
		for n := range 12 {
			q, err := d.addRequester(load, name)
			if err != nil {
				return false, err
			}
			go q.askOnce(load, order, fmt.Sprintf("order-%d-%d", zone, n), 200*time.Millisecond, 2500*time.Millisecond)
		}
	}
	wait(ctx, 6*time.Second)
	if err := flap(ctx, d, victim, &ahead, trouble); err != nil {
		return false, err
	}
	wait(ctx, 8*time.Second)
	for _, q := range d.requesters {
		q.mu.Lock()
		q.unanswered = nil // What the backend's crashes cost is not the matter here.
		q.mu.Unlock()
	}
	confirmed := victim.drain()
	wait(ctx, drainTimeout+2*time.Second)
	victim.leave()
	wait(ctx, 3*time.Second) // Longer than the deadline of a request.
	stop()
	return judgeDrain(d, victim, confirmed), d.healthy(ctx)
}

// flap takes a backend down and up twice, with a period of 1.4 s. The first start is with the clock
// ahead.
func flap(ctx context.Context, d *deployment, b *backend, ahead *atomic.Int64, trouble bool) error {
	const half = 700 * time.Millisecond
	if trouble {
		ahead.Store(int64(clockJump))
		d.record.printf("the time of day on the machine of backend %s jumps ahead by %v", b.id, clockJump)
	}
	for n := range 2 {
		b.crash()
		wait(ctx, half)
		if n == 1 && trouble {
			ahead.Store(0)
			d.record.printf("the time of day on the machine of backend %s jumps back", b.id)
		}
		if err := b.start(); err != nil {
			return err
		}
		wait(ctx, half)
	}
	return nil
}

// judgeDrain reports whether a request reached a backend later than drainTimeout after the store
// accepted that it is draining. A request reaches it with the packet that opens its flow.
func judgeDrain(d *deployment, own *backend, confirmed time.Time) bool {
	early, late := 0, 0
	for _, a := range d.arrivals() {
		if a.backend != own.id || a.intended != own.number || a.flags != flagOpen || a.at.Before(confirmed) {
			continue
		}
		if a.at.Sub(confirmed) <= drainTimeout {
			early++
			continue
		}
		late++
		d.record.printf("flow %s opens at backend %s %.3f s after its draining was confirmed", a.flow.from, own.id, a.at.Sub(confirmed).Seconds())
	}
	lost := 0
	for _, q := range d.requesters {
		q.mu.Lock()
		for _, attempt := range q.unanswered {
			lost += own.runs(attempt)
		}
		q.mu.Unlock()
	}
	d.record.result("non-idempotent requests that draining backend %s ran and that were never answered: %d", own.id, lost)
	d.record.result("flows that opened at draining backend %s: %d up to %v after the confirmation, %d later", own.id, early, drainTimeout, late)
	return late > 0
}
