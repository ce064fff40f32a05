// Package admitter decides which new requests get in while a service has too little room.
//
// The pattern: half of a service's targets are lost, or callers come in a crowd, or both.
// If all requests get in, all are late, the urgent ones like the others. If each host
// refuses by what waits at itself, slots stand idle behind one host while another host
// lets in too much, and requests that matter most are refused as readily as the rest. No
// host sees more than a small part of what is asked.
//
// The answer: hosts tell each other in their reports what their callers ask, by priority
// and in slots (Demand). Each host adds that up to what all callers ask, compares it with
// the slots of the targets that live, and works out which share of each priority fits
// in: what open flows ask counts first, since it can't be refused, then the highest
// priority, and so on. All hosts come to nearly the same shares, so callers of all zones
// fare alike. A host takes its share evenly in time.
//
// The estimate is off where work takes longer or shorter than believed, or where targets
// are filled unevenly. So the room that is used follows how long admitted requests wait,
// and while they don't wait nobody is refused, whatever the estimate says.
//
// What was weighed: a threshold of priority that each host moves by its own queue (DAGOR)
// lets whole priorities in and out by turns, where a share of one would fit. Credits that
// targets hand out (Breakwater) need code at the targets. A share of a window found by a
// host's own answers (package pacer) takes seconds to find the window, and gives a calm
// zone as much as a crowded one; it stays as what a host falls back to while it hears no
// other.
//
// The package knows no network and no clock. Its state is plain values that belong to one
// owner and change in place, since each new request touches them.
package admitter

import (
	"math"
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// hostMemory is how long a report of a host of the own zone counts: some rounds of
	// reports, so that the mean over those that were heard rests on several.
	hostMemory = 600 * time.Millisecond
	// zoneMemory is the same for a report from another zone, of which each host hears less
	// often.
	zoneMemory = 4 * time.Second
	// leastCorrection and mostCorrection bound what waiting times may change of the room
	// that is believed. Beyond them the estimate is wrong rather than inexact.
	leastCorrection = 0.8
	mostCorrection  = 1.35
	// correctionStep is how far one answer moves the correction if its wait differs from
	// aimedWait by all of the callers' spare time, and less in proportion: so little that
	// the correction moves more slowly than news of demand travels.
	correctionStep = 0.01
	// settleSpan is how long after a service became short the correction doesn't fall: what
	// got in before it was noticed still waits.
	settleSpan = time.Second
	// aimedWait is the part of the callers' spare time that requests should wait on
	// average. Waits spread about as much as their mean, so with this few callers are late;
	// with less, slots stand idle between two requests while callers are refused.
	aimedWait = 0.4
	// idleWait is the mean wait below which nobody is refused. Requests that arrive by chance
	// wait for that long at targets with slots free: a caller who is refused then would have
	// been served in time.
	idleWait = 0.1
	// certainWait is the mean wait above which a priority for which nothing is left is shut
	// out. All its callers lose then, so the estimate alone is no ground: callers who are
	// counted in two zones while they move look like a crowd, too. Answers that use up a
	// quarter of what callers can spare show that targets are full.
	certainWait = 0.25
	// waitStep is the part of each answer in the mean wait: some ten answers, a few tenths
	// of a second at a host under load.
	waitStep = 0.1
	// mostWait bounds what one answer counts.
	mostWait = 2
	// newsSpan is how old what is known of demand is on average, with the time that the
	// meter takes.
	newsSpan = 600 * time.Millisecond
	// mostTries is how often a caller that is refused asks in all.
	mostTries = 3
	// reportedFullness is the part of the room that has to be asked for before a host
	// tells others: far enough below all of it that every host has been told in time.
	reportedFullness = 0.5
)

// report is what another host has told of demand.
type report struct {
	demand Demand
	heard  timekeeper.Instant
}

// View is what a host knows of a service besides demand.
type View struct {
	// Room is how many slots its living targets have, in slots of usual speed; 0 if none is
	// believed to live: a caller that is let in all the same loses nothing then.
	Room float64
	// ZoneHosts is how many hosts of the own zone live, this one among them.
	ZoneHosts int
	// InTouch says that another host of the own zone has reported of late, or one of another
	// zone if the own has no other. One that is alone sees all that its callers ask in its
	// own window.
	InTouch bool
}

// Admitter is what a host knows of the room of one service.
type Admitter struct {
	own meter
	// hosts and zones are the latest reports of other hosts of the own zone, by host, and
	// of other zones, by zone.
	hosts map[string]report
	zones map[string]report

	// view, demand and short are as of the last Assess; demand without the repeats of
	// refused callers.
	view   View
	demand Demand
	short  bool
	// shares are the parts of new requests that fit in, by priority; credits what is left
	// of them from earlier requests.
	shares  [Levels]float64
	credits [Levels]float64
	// inForce is the mean of shares over newsSpan, up to assessed.
	inForce  [Levels]float64
	assessed timekeeper.Instant

	// wait is the mean wait of admitted requests, in parts of the callers' spare time.
	wait float64
	// correction is the factor by which the room differs from the slots of living targets.
	correction float64
	// settledDeadline is until when the correction doesn't fall.
	settledDeadline timekeeper.Instant
}

// New makes the admitter of a service of which nothing is known.
func New() *Admitter {
	a := &Admitter{hosts: map[string]report{}, zones: map[string]report{}, correction: 1}
	a.admitAll()
	a.inForce = a.shares
	return a
}

// AskedNew takes in that a flow opens for a request, which keeps a slot busy for the time
// work.
func (a *Admitter) AskedNew(priority int, work time.Duration, now timekeeper.Instant) {
	a.own.addNew(level(priority), work, now)
}

// AskedOpen takes in a request of an open flow, which keeps a slot busy for the time work.
func (a *Admitter) AskedOpen(priority int, work time.Duration, now timekeeper.Instant) {
	a.own.addOpen(level(priority), work, now)
}

// TakeHost takes in what another host of the own zone tells of its callers.
func (a *Admitter) TakeHost(host string, demand Demand, now timekeeper.Instant) {
	a.hosts[host] = report{demand: demand, heard: now}
}

// TakeZone takes in what a host of another zone tells of all callers there.
func (a *Admitter) TakeZone(zone string, demand Demand, now timekeeper.Instant) {
	a.zones[zone] = report{demand: demand, heard: now}
}

// Own is what this host's callers ask.
func (a *Admitter) Own(now timekeeper.Instant) Demand { return a.own.demand(now) }

// Zone is what all callers of the own zone ask: the mean over the hosts that were heard of
// late, this one among them, times those that live. Callers are spread evenly over hosts,
// and in a large zone a host hears only some of the others within a second.
func (a *Admitter) Zone(now timekeeper.Instant) Demand {
	var told total
	count := 1
	for _, r := range a.hosts {
		if now.Since(r.heard) <= hostMemory {
			told.add(&r.demand)
			count++
		}
	}
	sum := a.own.demand(now).Plus(told.demand())
	return sum.Times(float64(max(a.view.ZoneHosts, count)) / float64(count))
}

// fleet is what callers of all zones ask that were heard of late.
func (a *Admitter) fleet(now timekeeper.Instant) Demand {
	var told total
	for _, r := range a.zones {
		if now.Since(r.heard) <= zoneMemory {
			told.add(&r.demand)
		}
	}
	return a.Zone(now).Plus(told.demand())
}

// Assess works out anew which shares fit in, and reports whether the service has become
// short of room or calm.
func (a *Admitter) Assess(now timekeeper.Instant, view View) bool {
	a.forget(now)
	a.view = view
	a.noteShares(now)
	a.demand = a.firstTries(a.fleet(now))
	before := a.short
	a.short = view.InTouch && view.Room > 0 && a.wait >= idleWait && a.demand.Total() > a.Room()
	if a.short && !before {
		a.settledDeadline = now.Add(settleSpan)
	}
	if a.short {
		a.shares = sharesOf(a.Room(), a.demand)
	} else {
		a.admitAll()
	}
	return a.short != before
}

// forget drops what is too old to count.
func (a *Admitter) forget(now timekeeper.Instant) {
	for host, r := range a.hosts {
		if now.Since(r.heard) > hostMemory {
			delete(a.hosts, host)
		}
	}
	for zone, r := range a.zones {
		if now.Since(r.heard) > zoneMemory {
			delete(a.zones, zone)
		}
	}
}

// admitAll lets all new requests in.
func (a *Admitter) admitAll() {
	for i := range a.shares {
		a.shares[i] = 1
	}
}

// noteShares keeps the mean of the shares that were in force while demand was measured.
func (a *Admitter) noteShares(now timekeeper.Instant) {
	step := 1 - math.Exp(-float64(now.Since(a.assessed))/float64(newsSpan))
	for i, share := range a.shares {
		a.inForce[i] += step * (share - a.inForce[i])
	}
	a.assessed = now
}

// firstTries takes the repeats of refused callers out of what is asked.
//
// What goes wrong otherwise: a crowd ends, what is asked still counts each refused caller
// three times, so the next are refused, too, and ask again. One notices by refusals
// seconds after the crowd. If callers don't repeat themselves, the shares come to rest at
// the same figures: what is divided here is multiplied in shareOf.
func (a *Admitter) firstTries(asked Demand) Demand {
	for i := range asked.New {
		asked.New[i] /= triesAt(a.inForce[i])
	}
	return asked
}

// triesAt is how often a caller asks on average where a share of all tries gets in.
func triesAt(share float64) float64 {
	tries, refused := 0.0, 1.0
	for range mostTries {
		tries += refused
		refused *= 1 - share
	}
	return tries
}

// shareOf is the share of tries that has to get in so that a part of the callers does.
func shareOf(part float64) float64 {
	if part >= 1 {
		return 1
	}
	return 1 - math.Pow(1-max(part, 0), 1.0/mostTries)
}

// sharesOf shares out room among new requests, the highest priority first. A priority of
// which nothing was asked of late fits in if anything is left.
func sharesOf(room float64, demand Demand) [Levels]float64 {
	var shares [Levels]float64
	for i := range shares {
		room -= demand.Open[i]
		switch {
		case demand.New[i] > 0:
			shares[i] = shareOf(room / demand.New[i])
		case room > 0:
			shares[i] = 1
		}
		room -= demand.New[i]
	}
	return shares
}

// Admit decides whether a new request gets in. Shares are taken evenly in time: of a share
// of a third every third gets in.
func (a *Admitter) Admit(priority int) bool {
	i := level(priority)
	if a.shares[i] >= 1 {
		return true
	}
	a.credits[i] += a.shares[i]
	if a.credits[i] < 1 {
		return false
	}
	a.credits[i]--
	return true
}

// Answered learns from an answer how long its request waited beyond what is usual, as a
// part of the time that its callers can spare. A request that its target turned away
// counts as having waited all of it.
func (a *Admitter) Answered(wait float64) {
	wait = min(max(wait, 0), mostWait)
	a.wait += waitStep * (wait - a.wait)
	if a.short && (wait < aimedWait || a.settledDeadline.Passed(a.assessed)) {
		next := a.correction + correctionStep*(aimedWait-wait)
		a.correction = min(max(next, leastCorrection), mostCorrection)
	}
}

// Known reports whether this host hears enough of others to know the demand.
func (a *Admitter) Known() bool { return a.view.InTouch }

// Short reports whether the service is asked for more than it has room for.
func (a *Admitter) Short() bool { return a.short }

// Room is how many slots are shared out, as waiting times have corrected it.
func (a *Admitter) Room() float64 { return a.view.Room * a.correction }

// Demand is what all callers ask, as of the last Assess, each caller counted once however
// often it repeats itself after a refusal.
func (a *Admitter) Demand() Demand { return a.demand }

// Share is the part of new requests of a priority that fits in.
func (a *Admitter) Share(priority int) float64 { return a.shares[level(priority)] }

// Wait is the mean wait of admitted requests, in parts of the callers' spare time.
func (a *Admitter) Wait() float64 { return a.wait }

// Waits reports whether admitted requests wait at targets.
func (a *Admitter) Waits() bool { return a.wait >= idleWait }

// Certain reports whether admitted requests wait for so long that room is surely short, and
// a priority may be shut out: callers that would be served in time are not refused by an
// estimate alone.
func (a *Admitter) Certain() bool { return a.wait >= certainWait }

// Crowded reports whether admitted requests wait for longer than they should.
func (a *Admitter) Crowded() bool { return a.wait > aimedWait }

// Age is how old the oldest report is on which the demand rests; 0 if there is none.
func (a *Admitter) Age(now timekeeper.Instant) time.Duration {
	oldest := now
	for _, r := range a.hosts {
		oldest = min(oldest, r.heard)
	}
	for _, r := range a.zones {
		oldest = min(oldest, r.heard)
	}
	return now.Since(oldest)
}

// Tells reports whether others have to hear of the demand: the service may run short.
func (a *Admitter) Tells() bool { return a.demand.Total() > reportedFullness*a.view.Room }
