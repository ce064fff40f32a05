package main

import (
	"context"
	"fmt"
	"time"
)

// reorderWindow is the bound reorder_window_ms.
const reorderWindow = 2 * time.Second

const (
	// foreignInterval is how often the other writer writes, and foreignBeats how many times.
	foreignInterval = 1300 * time.Millisecond
	foreignBeats    = 6
)

// foreignEntry shows what becomes of a backend's open flows when another writer's entry, of a
// service that no configuration names, lies for a moment under the backend's key.
func foreignEntry(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	d.region, d.zones, d.hostsPerZone = "viti-levu", []string{"suva", "nausori", "lautoka"}, []int{3, 3, 2}
	d.configMs, d.drainMs, d.reportsBorn = 5000, 5000, true
	if err := d.chooseAddresses(); err != nil {
		return false, err
	}
	for n := range 14 {
		d.addBackend(fmt.Sprintf("i-%010x", 0x5a00000100+n), "order-desk", d.zones[n%3])
	}
	for n := range 4 {
		d.addBackend(fmt.Sprintf("i-%010x", 0x5b00000200+n), "menu-press", d.zones[n%3])
	}
	victim, other := d.backends[0], d.backends[14]
	tally, order := d.routeAddress(8443), d.routeAddress(8080)
	d.publish(7, []route{
		{"r-tally", "idempotent", "order-desk", tally, 2000, 400, 2},
		{"r-order", "non_idempotent", "order-desk", order, 2500, 400, 1},
	}, []string{"order-desk", "menu-press"})
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
			go q.keepAsking(load, tally, "GET", fmt.Sprintf("tally-%d-%d", zone, n), 300*time.Millisecond, 2000*time.Millisecond)
			go q.keepAsking(load, order, "POST", fmt.Sprintf("order-%d-%d", zone, n), 400*time.Millisecond, 2500*time.Millisecond)
		}
	}
	wait(ctx, 8*time.Second)
	open := openFlows(victim)
	at := time.Now()
	if trouble {
		writeForeign(ctx, d, victim, other.address.String())
	} else {
		wait(ctx, foreignBeats*foreignInterval)
	}
	wait(ctx, 5*time.Second)
	stop()
	misled, reset := judgeMisled(d, victim, open, at), judgeResets(d, victim, open, at)
	return misled || reset, d.healthy(ctx)
}

// writeForeign lets another writer, whose server has the same ID as a backend, write its entry a few
// times. The backend goes on writing its own.
func writeForeign(ctx context.Context, d *deployment, victim *backend, address string) {
	born := time.Now().UnixMilli()
	for n := range foreignBeats {
		d.store.put("servers/"+victim.id, entry{
			Service: "kiosk-audit", Address: address, Zone: victim.zone, Version: "v9", Capacity: 2,
			Condition: "ready", Sequence: uint64(n + 1), Born: born,
		})
		d.record.printf("another writer writes its entry, of the service kiosk-audit, under the key of backend %s", victim.id)
		wait(ctx, foreignInterval)
	}
}

// openFlows returns the flows that are open at a backend.
func openFlows(b *backend) map[flowKey]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	open := map[flowKey]bool{}
	for key, f := range b.flows {
		if !f.openedAt.IsZero() {
			open[key] = true
		}
	}
	return open
}

// judgeMisled reports whether, of a flow that was open at a backend, three or more packets reached
// other backends and none its own for a span of reorderWindow.
func judgeMisled(d *deployment, own *backend, open map[flowKey]bool, from time.Time) bool {
	here, elsewhere := map[flowKey][]time.Time{}, map[flowKey][]arrival{}
	for _, a := range d.arrivals() {
		switch {
		case !open[a.flow] || a.at.Before(from):
		case a.backend == own.id && a.intended == own.number:
			here[a.flow] = append(here[a.flow], a.at)
		case a.backend != own.id:
			elsewhere[a.flow] = append(elsewhere[a.flow], a)
		}
	}
	misled := 0
	for key := range open {
		if window, ok := misledWindow(elsewhere[key], here[key]); ok {
			misled++
			d.record.printf("flow %s: from %.3f on, %d packets reach backend %s in %v and none its own, %s", key.from, d.record.since(window[0].at), len(window), window[0].backend, reorderWindow, own.id)
		}
	}
	d.record.result("open flows of backend %s: %d; misled for %v: %d", own.id, len(open), reorderWindow, misled)
	return misled > 0
}

func misledWindow(elsewhere []arrival, here []time.Time) ([]arrival, bool) {
	for i, first := range elsewhere {
		end := first.at.Add(reorderWindow)
		var window []arrival
		for _, a := range elsewhere[i:] {
			if !a.at.After(end) {
				window = append(window, a)
			}
		}
		own := false
		for _, at := range here {
			own = own || (!at.Before(first.at) && !at.After(end))
		}
		if len(window) >= 3 && !own {
			return window, true
		}
	}
	return nil, false
}

// judgeResets reports whether the load balancer reset a flow that was open at a backend which still
// holds it.
func judgeResets(d *deployment, own *backend, open map[flowKey]bool, from time.Time) bool {
	broken := 0
	for _, q := range d.requesters {
		q.mu.Lock()
		resets := q.resets
		q.mu.Unlock()
		for _, r := range resets {
			if _, held := own.holds(r.flow); open[r.flow] && held && r.at.After(from) {
				broken++
				d.record.printf("flow %s: at %.3f %s resets it, while backend %s serves and holds it", r.flow.from, d.record.since(r.at), d.hostAt(r.by), own.id)
			}
		}
	}
	d.record.result("open flows of backend %s reset by the load balancer while it serves and holds them: %d", own.id, broken)
	return broken > 0
}
