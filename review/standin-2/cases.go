package main

import (
	"sort"
	"time"
)

// scenario is what a case plays.
type scenario struct {
	rule string
	// perSecond is how many requests a second a cold backend bears; 0 is any number.
	perSecond float64
	run       func(r *rig, trouble bool)
}

var cases = map[string]scenario{
	"coldReturn": {"FAILBACK", 4, coldReturn},
	"clockBack":  {"DRAIN", 0, clockBack},
}

const settle = 8 * time.Second

const (
	// flapStep, the time between two steps, and flapLength are those of srv_flap in the file of the
	// site kowhai-climate-grown.
	flapStep   = 1910 * time.Millisecond
	flapLength = 6990 * time.Millisecond
	flapRounds = 5
)

// coldReturn has a ledger backend of two zones go down and up by turns, under its ID and cold after
// each start.
func coldReturn(r *rig, trouble bool) {
	time.Sleep(settle)
	for n := range flapRounds {
		list := []*backend{r.ofService("ledger", zoneNames[0])[n%5], r.ofService("ledger", zoneNames[1])[n%5]}
		if trouble {
			r.record.say("two ledger backends go down and up by turns for %v", flapLength)
			r.flap(list)
		}
		time.Sleep(settle)
	}
	r.checkColdBackends()
}

// flap has backends go down and up by turns; they are up in the end.
func (r *rig) flap(list []*backend) {
	end := time.Now().Add(flapLength)
	for time.Now().Before(end) {
		for _, b := range list {
			b.crash()
		}
		time.Sleep(min(flapStep, time.Until(end)))
		for _, b := range list {
			if err := b.start(true); err != nil {
				r.record.say("backend %s: %v", b.id, err)
			}
		}
		time.Sleep(min(flapStep, time.Until(end)))
	}
}

// checkColdBackends checks FAILBACK: the opening packets that a cold backend took in one second,
// of those that were sent and arrived inside that second.
func (r *rig) checkColdBackends() {
	limit := r.perSecond*warmUpOverage + warmUpAllowance
	most := 0
	for _, b := range r.backends {
		b.mu.Lock()
		var cold []opening
		for _, one := range b.openings {
			if one.cold {
				cold = append(cold, one)
			}
		}
		b.mu.Unlock()
		sort.Slice(cold, func(i, j int) bool { return cold[i].arrived.Before(cold[j].arrived) })
		worst := 0
		for i := range cold {
			n := 0
			for _, one := range cold[i:] {
				if one.born == cold[i].born && one.arrived.Sub(cold[i].sent) < time.Second && !one.sent.Before(cold[i].sent) {
					n++
				}
			}
			worst = max(worst, n)
		}
		most = max(most, worst)
		if float64(worst) > limit {
			r.record.say("FAILBACK: cold backend %s (%s) got %d requests in one second, at most %g are allowed", b.id, b.zone, worst, limit)
			r.fail("FAILBACK")
		}
	}
	r.record.say("most requests in one second at a cold backend: %d, at most %g are allowed", most, limit)
}

// clockBack has backends go down and up twice under their IDs while the clock of their machine jumps
// ahead and back. Later they drain.
func clockBack(r *rig, trouble bool) {
	time.Sleep(settle)
	var list []*backend
	for _, zone := range zoneNames[:2] {
		list = append(list, r.ofService("ledger", zone)[0])
	}
	restart := func(ahead time.Duration) {
		for _, b := range list {
			b.crash()
		}
		time.Sleep(clockBackDown)
		for _, b := range list {
			b.setClockAhead(ahead)
			if err := b.start(false); err != nil {
				r.record.say("backend %s: %v", b.id, err)
			}
			r.record.say("backend %s is up again, born %d", b.id, b.born)
		}
	}
	ahead := time.Duration(0)
	if trouble {
		ahead = clockStep
		r.record.say("the clocks of two backends' machines jump ahead by %v", clockStep)
	}
	restart(ahead)
	time.Sleep(clockBackUp)
	if trouble {
		r.record.say("the clocks jump back")
	}
	restart(0)
	time.Sleep(settle + 4*time.Second)
	for _, b := range list {
		r.playing.Add(1)
		go func() {
			defer r.playing.Done()
			r.drainAndLeave(b)
		}()
	}
	r.playing.Wait()
}

const (
	clockStep     = 2 * time.Second
	clockBackUp   = 700 * time.Millisecond
	clockBackDown = 700 * time.Millisecond
	drainingFor   = 8 * time.Second
)

// drainAndLeave has a backend drain and leave, and checks DRAIN: it may get no request later than
// drain_timeout_ms after the store has accepted that it is draining.
func (r *rig) drainAndLeave(b *backend) {
	accepted := b.drain()
	time.Sleep(drainingFor)
	b.crash()
	r.store.remove("servers/" + b.id)
	late := 0
	var latest time.Duration
	for _, one := range b.openings {
		if one.arrived.After(accepted.Add(drainLimit)) {
			late++
			latest = one.arrived.Sub(accepted)
		}
	}
	r.record.say("backend %s: %d requests later than %v after the store accepted that it drains, the last after %v", b.id, late, drainLimit, latest)
	if late > 0 {
		r.fail("DRAIN")
	}
}
