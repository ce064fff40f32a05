// Package admitter decides which new requests are admitted while a service is overloaded.
//
// Half of a service's targets may fail, or a load peak may arrive, or both. If all requests are
// admitted, all of them are late, the urgent ones included. If each host refuses requests
// according to its own queue, slots are idle behind one host while another host admits too much,
// and the most important requests are refused as readily as the rest. No host sees more than a
// small fraction of the demand.
//
// Hosts therefore report the demand of their callers to each other, by priority and in slots
// (Demand). Each host adds up the demand of all callers, compares it with the slots of the live
// targets, and computes the fraction of each priority's requests that fits (the admit ratio).
// Priorities are served in order, highest first; within each, the requests of open flows count
// first, since they can't be refused. All hosts arrive at nearly the same ratios, so callers of
// all zones are treated alike. A host spreads its admissions evenly over time.
//
// The estimate is wrong where requests take longer or shorter than estimated, or where the load
// of targets is uneven. The capacity is therefore corrected by how long admitted requests wait,
// and while they don't wait nobody is refused, whatever the estimate says.
//
// Alternatives considered: a priority threshold that each host moves according to its own queue
// (DAGOR) admits and refuses whole priorities in alternation, where a fraction of one would fit.
// Credits issued by targets (Breakwater) need code at the targets. A fraction of a window that
// each host derives from its own responses (package pacer) takes seconds to find the window, and
// admits as much in a zone with normal load as in one with a load peak; it remains the fallback
// while a host receives no reports.
//
// The package does no network I/O and reads no clock. Its state is plain values with a single
// owner, changed in place, since every new request updates them.
package admitter

import (
	"math"
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// hostReportMaxAge is how long a report of a host of the local zone counts: several report
	// intervals, so that the mean over the reporting hosts includes several of them.
	hostReportMaxAge = 600 * time.Millisecond
	// zoneReportMaxAge is the same for a report from another zone, which a host receives less
	// often.
	zoneReportMaxAge = 4 * time.Second
	// minCorrection and maxCorrection limit how far waits may correct the estimated capacity.
	// Beyond them the estimate is wrong rather than inexact.
	minCorrection = 0.8
	maxCorrection = 1.35
	// correctionGain is how far one response moves the correction if its wait differs from
	// waitSetpoint by the whole slack of its callers, and proportionally less if it differs by
	// less: so little that the correction changes more slowly than reports of demand spread.
	correctionGain = 0.01
	// correctionHoldDuration is how long after the start of an overload the correction doesn't
	// fall: requests admitted before the overload was detected are still waiting.
	correctionHoldDuration = time.Second
	// waitSetpoint is the mean wait that the correction aims at, as a fraction of the callers'
	// slack (latency objective minus baseline latency). Waits spread about as much as their
	// mean, so few requests are late at this value; at a lower one, slots are idle between two
	// requests while callers are refused.
	waitSetpoint = 0.4
	// minRefusalWait is the mean wait below which nobody is refused. Requests that arrive at
	// random wait that long at targets with free slots: a refused caller would have been served
	// on time.
	minRefusalWait = 0.1
	// minShutoutWait is the mean wait from which a priority without remaining capacity may be
	// refused entirely. All its callers lose then, so the estimate alone is not sufficient:
	// callers that are counted in two zones while they move look like a load peak, too.
	// Responses that use up a quarter of the callers' slack show that targets are full.
	minShutoutWait = 0.25
	// waitSmoothing is the weight of each response in the mean wait: a mean over about ten
	// responses, a few tenths of a second at a host under load.
	waitSmoothing = 0.1
	// maxWait limits the wait that one response counts for.
	maxWait = 2
	// demandLag is the mean age of the data on demand, including the averaging of the meter.
	demandLag = 600 * time.Millisecond
	// maxAttempts is how many attempts a caller makes in all if each is refused.
	maxAttempts = 3
	// reportThreshold is the demand, as a fraction of the capacity, above which a host reports
	// it: so far below the full capacity that every host has received a report in time.
	reportThreshold = 0.5
)

// report is a report of demand from another host.
type report struct {
	demand     Demand
	receivedAt timekeeper.Instant
}

// ServiceState is a host's view of a service, except for its demand.
type ServiceState struct {
	// Capacity is the number of slots of the live targets, in slots of baseline speed. It is 0
	// if no target appears to be live. All requests are admitted then, which costs their callers
	// nothing.
	Capacity float64
	// ZoneHosts is the number of live hosts in the local zone, this one included.
	ZoneHosts int
	// HasPeerReports says that another host of the local zone has reported recently, or a host
	// of another zone if the local zone has no other host: the only host of a zone sees all
	// demand of its callers. A host without such reports doesn't know the full demand and
	// decides by the latency that it observes (package pacer).
	HasPeerReports bool
}

// Admitter tracks demand and capacity of one service, as one host sees them.
type Admitter struct {
	localMeter meter
	// hostReports and zoneReports are the latest reports of other hosts of the local zone, by
	// host, and of other zones, by zone.
	hostReports map[string]report
	zoneReports map[string]report

	// state, demand and overloaded are as of the last Assess; demand doesn't include the retries
	// of refused callers.
	state      ServiceState
	demand     Demand
	overloaded bool
	// admitRatios is the fraction of new requests that are admitted, by priority; credits is the
	// fraction of a request carried over from earlier requests.
	admitRatios [PriorityLevels]float64
	credits     [PriorityLevels]float64
	// meanRatios is the mean of admitRatios over demandLag, as of assessedAt.
	meanRatios [PriorityLevels]float64
	assessedAt timekeeper.Instant

	// wait is the mean wait of admitted requests, as a fraction of the callers' slack.
	wait float64
	// correction is the ratio of the corrected capacity to the slots of live targets.
	correction float64
	// correctionHoldDeadline is until when the correction doesn't fall.
	correctionHoldDeadline timekeeper.Instant
}

// New returns the Admitter of a service without any data.
func New() *Admitter {
	a := &Admitter{hostReports: map[string]report{}, zoneReports: map[string]report{}, correction: 1}
	a.admitAll()
	a.meanRatios = a.admitRatios
	return a
}

// RecordNewFlowRequest records a request that opens a flow and occupies a slot for the duration
// work.
func (a *Admitter) RecordNewFlowRequest(priority int, work time.Duration, now timekeeper.Instant) {
	a.localMeter.addNew(levelIndex(priority), work, now)
}

// RecordOpenFlowRequest records a request of an open flow that occupies a slot for the duration
// work.
func (a *Admitter) RecordOpenFlowRequest(priority int, work time.Duration, now timekeeper.Instant) {
	a.localMeter.addOpen(levelIndex(priority), work, now)
}

// ApplyHostReport applies a report of the demand at another host of the local zone.
func (a *Admitter) ApplyHostReport(host string, demand Demand, now timekeeper.Instant) {
	a.hostReports[host] = report{demand: demand, receivedAt: now}
}

// ApplyZoneReport applies a report of the demand in another zone.
func (a *Admitter) ApplyZoneReport(zone string, demand Demand, now timekeeper.Instant) {
	a.zoneReports[zone] = report{demand: demand, receivedAt: now}
}

// LocalDemand returns the demand of this host's callers.
func (a *Admitter) LocalDemand(now timekeeper.Instant) Demand { return a.localMeter.demand(now) }

// ZoneDemand returns the demand of all callers of the local zone: the mean over the hosts that have
// reported recently, this one included, times the number of live hosts. Callers are spread evenly
// over hosts, and in a large zone a host receives reports from only some of the others within a
// second.
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

// fleetDemand returns the demand of the local zone and of all zones that have reported recently.
func (a *Admitter) fleetDemand(now timekeeper.Instant) Demand {
	var reported fixedPointSum
	for _, r := range a.zoneReports {
		if now.Since(r.receivedAt) <= zoneReportMaxAge {
			reported.add(&r.demand)
		}
	}
	return a.ZoneDemand(now).Plus(reported.demand())
}

// Assess recomputes the admit ratios, and reports whether an overload of the service has begun or
// ended.
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

// dropExpiredReports drops reports that are too old to count.
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

// admitAll sets the admit ratio of every priority to 1.
func (a *Admitter) admitAll() {
	for i := range a.admitRatios {
		a.admitRatios[i] = 1
	}
}

// updateMeanRatios updates the mean of the admit ratios that applied while demand was measured.
func (a *Admitter) updateMeanRatios(now timekeeper.Instant) {
	step := 1 - math.Exp(-float64(now.Since(a.assessedAt))/float64(demandLag))
	for i, ratio := range a.admitRatios {
		a.meanRatios[i] += step * (ratio - a.meanRatios[i])
	}
	a.assessedAt = now
}

// withoutRetries removes the retries of refused callers from the demand.
//
// Without this, demand still counts each refused caller three times after a load peak has ended,
// so the next callers are refused and retry, too, which shows as refusals seconds after the peak.
// If callers don't retry, the admit ratios converge to the same values: attemptRatioFor undoes the
// division here.
func (a *Admitter) withoutRetries(requested Demand) Demand {
	for i := range requested.New {
		requested.New[i] /= attemptsPerCaller(a.meanRatios[i])
	}
	return requested
}

// attemptsPerCaller returns the mean number of attempts of a caller if the given fraction of all
// attempts is admitted.
func attemptsPerCaller(ratio float64) float64 {
	attempts, refused := 0.0, 1.0
	for range maxAttempts {
		attempts += refused
		refused *= 1 - ratio
	}
	return attempts
}

// attemptRatioFor returns the fraction of attempts to admit so that the given fraction of callers
// is admitted.
func attemptRatioFor(callerRatio float64) float64 {
	if callerRatio >= 1 {
		return 1
	}
	return 1 - math.Pow(1-max(callerRatio, 0), 1.0/maxAttempts)
}

// admitRatiosFor divides the capacity among new requests, the highest priority first. A priority
// without recent demand is admitted if any capacity is left.
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

// Admit reports whether to admit a new request. Admissions are spread evenly over time: at a ratio
// of one third, every third request is admitted.
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

// RecordWait records how long the request of a response waited beyond the baseline latency, as a
// fraction of its callers' slack, and corrects the capacity. A request that its target rejected
// counts as having waited for the whole slack.
func (a *Admitter) RecordWait(wait float64) {
	wait = min(max(wait, 0), maxWait)
	a.wait += waitSmoothing * (wait - a.wait)
	if a.overloaded && (wait < waitSetpoint || a.correctionHoldDeadline.Passed(a.assessedAt)) {
		next := a.correction + correctionGain*(waitSetpoint-wait)
		a.correction = min(max(next, minCorrection), maxCorrection)
	}
}

// HasPeerReports reports whether this host receives enough reports to estimate the demand.
func (a *Admitter) HasPeerReports() bool { return a.state.HasPeerReports }

// Overloaded reports whether the demand exceeds the capacity of the service.
func (a *Admitter) Overloaded() bool { return a.overloaded }

// Capacity returns the number of slots to divide among requests, as corrected by waits.
func (a *Admitter) Capacity() float64 { return a.state.Capacity * a.correction }

// Demand returns the demand of all callers as of the last Assess. It counts each caller once,
// however often the caller retries after a refusal.
func (a *Admitter) Demand() Demand { return a.demand }

// AdmitRatio returns the fraction of new requests of a priority that are admitted.
func (a *Admitter) AdmitRatio(priority int) float64 { return a.admitRatios[levelIndex(priority)] }

// MeanWait returns the mean wait of admitted requests, as a fraction of the callers' slack.
func (a *Admitter) MeanWait() float64 { return a.wait }

// Queueing reports whether admitted requests wait at targets.
func (a *Admitter) Queueing() bool { return a.wait >= minRefusalWait }

// MayShutOut reports whether admitted requests wait for so long that the service is certainly
// overloaded, and a priority may be refused entirely: callers that would be served on time are not
// refused because of an estimate alone.
func (a *Admitter) MayShutOut() bool { return a.wait >= minShutoutWait }

// Congested reports whether the mean wait of admitted requests exceeds waitSetpoint.
func (a *Admitter) Congested() bool { return a.wait > waitSetpoint }

// OldestReportAge returns the age of the oldest report in the demand; 0 if there is none.
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

// ShouldReport reports whether the demand has to be reported to other hosts: the service may become
// overloaded.
func (a *Admitter) ShouldReport() bool { return a.demand.Total() > reportThreshold*a.state.Capacity }
