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
	// hostReportMaxAge is how long a report of a host of the own zone counts: some rounds of
	// reports, so that the mean over those that were heard rests on several.
	hostReportMaxAge = 600 * time.Millisecond
	// zoneReportMaxAge is the same for a report from another zone, of which each host hears less
	// often.
	zoneReportMaxAge = 4 * time.Second
	// minCorrection and maxCorrection bound what waiting times may change of the room
	// that is believed. Beyond them the estimate is wrong rather than inexact.
	minCorrection = 0.8
	maxCorrection = 1.35
	// correctionGain is how far one answer moves the correction if its wait differs from
	// waitSetpoint by all of the callers' spare time, and less in proportion: so little that
	// the correction moves more slowly than news of demand travels.
	correctionGain = 0.01
	// correctionHoldDuration is how long after a service became short the correction doesn't fall: what
	// got in before it was noticed still waits.
	correctionHoldDuration = time.Second
	// waitSetpoint is the part of the callers' spare time that requests should wait on
	// average. Waits spread about as much as their mean, so with this few callers are late;
	// with less, slots stand idle between two requests while callers are refused.
	waitSetpoint = 0.4
	// minRefusalWait is the mean wait below which nobody is refused. Requests that arrive by chance
	// wait for that long at targets with slots free: a caller who is refused then would have
	// been served in time.
	minRefusalWait = 0.1
	// minShutoutWait is the mean wait above which a priority for which nothing is left is shut
	// out. All its callers lose then, so the estimate alone is no ground: callers who are
	// counted in two zones while they move look like a crowd, too. Answers that use up a
	// quarter of what callers can spare show that targets are full.
	minShutoutWait = 0.25
	// waitSmoothing is the part of each answer in the mean wait: some ten answers, a few tenths
	// of a second at a host under load.
	waitSmoothing = 0.1
	// maxWait bounds what one answer counts.
	maxWait = 2
	// demandLag is how old what is known of demand is on average, with the time that the
	// meter takes.
	demandLag = 600 * time.Millisecond
	// maxAttempts is how often a caller that is refused asks in all.
	maxAttempts = 3
	// reportThreshold is the part of the room that has to be asked for before a host
	// tells others: far enough below all of it that every host has been told in time.
	reportThreshold = 0.5
)

// report is what another host has told of demand.
type report struct {
	demand     Demand
	receivedAt timekeeper.Instant
}

// ServiceState is what a host knows of a service besides demand.
type ServiceState struct {
	// Capacity is how many slots its living targets have, in slots of usual speed; 0 if none is
	// believed to live: a caller that is let in all the same loses nothing then.
	Capacity float64
	// ZoneHosts is how many hosts of the own zone live, this one among them.
	ZoneHosts int
	// HasPeerReports says that another host of the own zone has reported of late, or one of another
	// zone if the own has no other. One that is alone sees all that its callers ask in its
	// own window.
	HasPeerReports bool
}

// Admitter is what a host knows of the room of one service.
type Admitter struct {
	localMeter meter
	// hostReports and zones are the latest reports of other hosts of the own zone, by host, and
	// of other zones, by zone.
	hostReports map[string]report
	zoneReports map[string]report

	// state, demand and short are as of the last Assess; demand without the repeats of
	// refused callers.
	state      ServiceState
	demand     Demand
	overloaded bool
	// admitRatios are the parts of new requests that fit in, by priority; credits what is left
	// of them from earlier requests.
	admitRatios [PriorityLevels]float64
	credits     [PriorityLevels]float64
	// meanRatios is the mean of shares over demandLag, up to assessed.
	meanRatios [PriorityLevels]float64
	assessedAt timekeeper.Instant

	// wait is the mean wait of admitted requests, in parts of the callers' spare time.
	wait float64
	// correction is the factor by which the room differs from the slots of living targets.
	correction float64
	// correctionHoldDeadline is until when the correction doesn't fall.
	correctionHoldDeadline timekeeper.Instant
}

// New makes the admitter of a service of which nothing is known.
func New() *Admitter {
	a := &Admitter{hostReports: map[string]report{}, zoneReports: map[string]report{}, correction: 1}
	a.admitAll()
	a.meanRatios = a.admitRatios
	return a
}

// RecordNewFlowRequest takes in that a flow opens for a request, which keeps a slot busy for the time
// work.
func (a *Admitter) RecordNewFlowRequest(priority int, work time.Duration, now timekeeper.Instant) {
	a.localMeter.addNew(levelIndex(priority), work, now)
}

// RecordOpenFlowRequest takes in a request of an open flow, which keeps a slot busy for the time work.
func (a *Admitter) RecordOpenFlowRequest(priority int, work time.Duration, now timekeeper.Instant) {
	a.localMeter.addOpen(levelIndex(priority), work, now)
}

// ApplyHostReport takes in what another host of the own zone tells of its callers.
func (a *Admitter) ApplyHostReport(host string, demand Demand, now timekeeper.Instant) {
	a.hostReports[host] = report{demand: demand, receivedAt: now}
}

// ApplyZoneReport takes in what a host of another zone tells of all callers there.
func (a *Admitter) ApplyZoneReport(zone string, demand Demand, now timekeeper.Instant) {
	a.zoneReports[zone] = report{demand: demand, receivedAt: now}
}

// LocalDemand is what this host's callers ask.
func (a *Admitter) LocalDemand(now timekeeper.Instant) Demand { return a.localMeter.demand(now) }

// ZoneDemand is what all callers of the own zone ask: the mean over the hosts that were heard of
// late, this one among them, times those that live. Callers are spread evenly over hosts,
// and in a large zone a host hears only some of the others within a second.
func (a *Admitter) ZoneDemand(now timekeeper.Instant) Demand {
	var reported fixedPointSum
	count := 1
	for _, r := range a.hostReports {
		if now.Since(r.receivedAt) <= hostReportMaxAge {
			reported.add(&r.demand)
			count++
		}
	}
	sum := a.localMeter.demand(now).Plus(reported.demand())
	return sum.Times(float64(max(a.state.ZoneHosts, count)) / float64(count))
}

// fleetDemand is what callers of all zones ask that were heard of late.
func (a *Admitter) fleetDemand(now timekeeper.Instant) Demand {
	var reported fixedPointSum
	for _, r := range a.zoneReports {
		if now.Since(r.receivedAt) <= zoneReportMaxAge {
			reported.add(&r.demand)
		}
	}
	return a.ZoneDemand(now).Plus(reported.demand())
}

// Assess works out anew which shares fit in, and reports whether the service has become
// short of room or calm.
func (a *Admitter) Assess(now timekeeper.Instant, state ServiceState) bool {
	a.dropExpiredReports(now)
	a.state = state
	a.updateMeanRatios(now)
	a.demand = a.withoutRetries(a.fleetDemand(now))
	before := a.overloaded
	a.overloaded = state.HasPeerReports && state.Capacity > 0 && a.wait >= minRefusalWait && a.demand.Total() > a.Capacity()
	if a.overloaded && !before {
		a.correctionHoldDeadline = now.Add(correctionHoldDuration)
	}
	if a.overloaded {
		a.admitRatios = admitRatiosFor(a.Capacity(), a.demand)
	} else {
		a.admitAll()
	}
	return a.overloaded != before
}

// dropExpiredReports drops what is too old to count.
func (a *Admitter) dropExpiredReports(now timekeeper.Instant) {
	for host, r := range a.hostReports {
		if now.Since(r.receivedAt) > hostReportMaxAge {
			delete(a.hostReports, host)
		}
	}
	for zone, r := range a.zoneReports {
		if now.Since(r.receivedAt) > zoneReportMaxAge {
			delete(a.zoneReports, zone)
		}
	}
}

// admitAll lets all new requests in.
func (a *Admitter) admitAll() {
	for i := range a.admitRatios {
		a.admitRatios[i] = 1
	}
}

// updateMeanRatios keeps the mean of the shares that were in force while demand was measured.
func (a *Admitter) updateMeanRatios(now timekeeper.Instant) {
	step := 1 - math.Exp(-float64(now.Since(a.assessedAt))/float64(demandLag))
	for i, ratio := range a.admitRatios {
		a.meanRatios[i] += step * (ratio - a.meanRatios[i])
	}
	a.assessedAt = now
}

// withoutRetries takes the repeats of refused callers out of what is asked.
//
// What goes wrong otherwise: a crowd ends, what is asked still counts each refused caller
// three times, so the next are refused, too, and ask again. One notices by refusals
// seconds after the crowd. If callers don't repeat themselves, the shares come to rest at
// the same figures: what is divided here is multiplied in attemptRatioFor.
func (a *Admitter) withoutRetries(requested Demand) Demand {
	for i := range requested.New {
		requested.New[i] /= attemptsPerCaller(a.meanRatios[i])
	}
	return requested
}

// attemptsPerCaller is how often a caller asks on average where a share of all tries gets in.
func attemptsPerCaller(ratio float64) float64 {
	attempts, refused := 0.0, 1.0
	for range maxAttempts {
		attempts += refused
		refused *= 1 - ratio
	}
	return attempts
}

// attemptRatioFor is the share of tries that has to get in so that a part of the callers does.
func attemptRatioFor(callerRatio float64) float64 {
	if callerRatio >= 1 {
		return 1
	}
	return 1 - math.Pow(1-max(callerRatio, 0), 1.0/maxAttempts)
}

// admitRatiosFor shares out room among new requests, the highest priority first. A priority of
// which nothing was asked of late fits in if anything is left.
func admitRatiosFor(capacity float64, demand Demand) [PriorityLevels]float64 {
	var ratios [PriorityLevels]float64
	for i := range ratios {
		capacity -= demand.Open[i]
		switch {
		case demand.New[i] > 0:
			ratios[i] = attemptRatioFor(capacity / demand.New[i])
		case capacity > 0:
			ratios[i] = 1
		}
		capacity -= demand.New[i]
	}
	return ratios
}

// Admit decides whether a new request gets in. Shares are taken evenly in time: of a share
// of a third every third gets in.
func (a *Admitter) Admit(priority int) bool {
	i := levelIndex(priority)
	if a.admitRatios[i] >= 1 {
		return true
	}
	a.credits[i] += a.admitRatios[i]
	if a.credits[i] < 1 {
		return false
	}
	a.credits[i]--
	return true
}

// RecordWait learns from an answer how long its request waited beyond what is usual, as a
// part of the time that its callers can spare. A request that its target turned away
// counts as having waited all of it.
func (a *Admitter) RecordWait(wait float64) {
	wait = min(max(wait, 0), maxWait)
	a.wait += waitSmoothing * (wait - a.wait)
	if a.overloaded && (wait < waitSetpoint || a.correctionHoldDeadline.Passed(a.assessedAt)) {
		next := a.correction + correctionGain*(waitSetpoint-wait)
		a.correction = min(max(next, minCorrection), maxCorrection)
	}
}

// HasPeerReports reports whether this host hears enough of others to know the demand.
func (a *Admitter) HasPeerReports() bool { return a.state.HasPeerReports }

// Overloaded reports whether the service is asked for more than it has room for.
func (a *Admitter) Overloaded() bool { return a.overloaded }

// Capacity is how many slots are shared out, as waiting times have corrected it.
func (a *Admitter) Capacity() float64 { return a.state.Capacity * a.correction }

// Demand is what all callers ask, as of the last Assess, each caller counted once however
// often it repeats itself after a refusal.
func (a *Admitter) Demand() Demand { return a.demand }

// AdmitRatio is the part of new requests of a priority that fits in.
func (a *Admitter) AdmitRatio(priority int) float64 { return a.admitRatios[levelIndex(priority)] }

// MeanWait is the mean wait of admitted requests, in parts of the callers' spare time.
func (a *Admitter) MeanWait() float64 { return a.wait }

// Queueing reports whether admitted requests wait at targets.
func (a *Admitter) Queueing() bool { return a.wait >= minRefusalWait }

// MayShutOut reports whether admitted requests wait for so long that room is surely short, and
// a priority may be shut out: callers that would be served in time are not refused by an
// estimate alone.
func (a *Admitter) MayShutOut() bool { return a.wait >= minShutoutWait }

// Congested reports whether admitted requests wait for longer than they should.
func (a *Admitter) Congested() bool { return a.wait > waitSetpoint }

// OldestReportAge is how old the oldest report is on which the demand rests; 0 if there is none.
func (a *Admitter) OldestReportAge(now timekeeper.Instant) time.Duration {
	oldest := now
	for _, r := range a.hostReports {
		oldest = min(oldest, r.receivedAt)
	}
	for _, r := range a.zoneReports {
		oldest = min(oldest, r.receivedAt)
	}
	return now.Since(oldest)
}

// ShouldReport reports whether others have to hear of the demand: the service may run short.
func (a *Admitter) ShouldReport() bool { return a.demand.Total() > reportThreshold*a.state.Capacity }
