package main

import (
	"context"
	"fmt"
	"net/netip"
	"time"
)

const (
	// cutLasts is how long the backends are cut off, stabilityWindow the bound
	// stability_window_ms.
	cutLasts        = 5 * time.Second
	stabilityWindow = 5 * time.Second
	// longPause is the pause of a requester between two requests, shorter than the
	// configuration's idle_timeout_ms of 15 s.
	longPause = 12 * time.Second
)

// evacuatedZone shows what becomes of open flows of an evacuated zone after two of its backends were
// cut off from all hosts for a while.
func evacuatedZone(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	d.region, d.zones, d.hostsPerZone = "sicilia", []string{"pa-hall", "ct-hall", "me-hall"}, []int{3, 3, 2}
	d.configMs, d.drainMs, d.reportsBorn = 5000, 5000, false
	d.moreSettings = "evacuatedWithin: 5000ms\ncoldOverage: 1.5\ncoldAllowance: 5\n"
	if err := d.chooseAddresses(); err != nil {
		return false, err
	}
	for n := range 14 {
		d.addBackend(fmt.Sprintf("i-%010x", 0x6a00000100+n), "ledger", d.zones[n%3])
	}
	cut := []*backend{d.backends[0], d.backends[3]}
	dash := d.routeAddress(8443)
	d.publish(7, []route{{"r-dash", "idempotent", "ledger", dash, 2500, 400, 2}}, []string{"ledger"})
	if err := d.start(ctx); err != nil {
		return false, err
	}
	load, stop := context.WithCancel(ctx)
	defer stop()
	for zone, name := range d.zones {
		for n := range 16 {
			q, err := d.addRequester(load, name)
			if err != nil {
				return false, err
			}
			for m := range 2 {
				go q.keepAsking(load, dash, "GET", fmt.Sprintf("dash-%d-%d-%d", zone, n, m), 300*time.Millisecond, 2500*time.Millisecond)
			}
		}
	}
	wait(ctx, 4*time.Second)
	idle, err := askWithLongPause(load, d, dash)
	if err != nil {
		return false, err
	}
	wait(ctx, time.Second)
	d.store.put("op/evacuate/"+d.zones[0], struct{}{})
	d.record.printf("the store accepts the order to evacuate %s", d.zones[0])
	if trouble {
		for _, b := range cut {
			if err := b.cutOff(); err != nil {
				return false, err
			}
		}
	}
	wait(ctx, cutLasts)
	if trouble {
		for _, b := range cut {
			if err := b.reconnect(); err != nil {
				return false, err
			}
		}
	}
	healed := time.Now()
	wait(ctx, longPause)
	stop()
	broken := false
	for _, b := range cut {
		open := map[flowKey]bool{}
		for _, f := range idle {
			open[f.key] = true
		}
		broken = judgeResets(d, b, open, healed.Add(stabilityWindow)) || broken
	}
	return broken, d.healthy(ctx)
}

// askWithLongPause opens flows in the first zone, sends one request on each, and another one after a
// long pause.
func askWithLongPause(ctx context.Context, d *deployment, dash netip.AddrPort) ([]*clientFlow, error) {
	var flows []*clientFlow
	for n := range 30 {
		q, err := d.addRequester(ctx, d.zones[0])
		if err != nil {
			return nil, err
		}
		f := q.open(dash)
		flows = append(flows, f)
		go func() {
			f.do(ctx, "GET", fmt.Sprintf("paused-%d-1", n), 2500*time.Millisecond)
			wait(ctx, longPause)
			f.do(ctx, "GET", fmt.Sprintf("paused-%d-2", n), 2500*time.Millisecond)
		}()
	}
	return flows, nil
}
