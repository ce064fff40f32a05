package steerer

import (
	"fmt"
	"maps"
	"time"

	"cranberryspan.dev/core/estimator"
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/timekeeper"
)

const (
	// maxUploadGap is how long a caller on a slow link may pause between two packets of an
	// upload, including retransmissions, before its request may count as overdue.
	maxUploadGap = time.Second
	// overdueFactor is how many times its expected latency a request must wait before the wait
	// counts as evidence about its target. Few requests take so long by chance.
	overdueFactor = 3
	// maxFastFailures limits the targets that a report lists for fast failures,
	// maxSlowdownReports those whose slowdown it contains, so that it fits into a datagram.
	maxFastFailures    = 32
	maxSlowdownReports = 32
	// slowZoneLogSlowdown is the difference in log slowdown from another zone above which a
	// zone counts as slow: 1.4 times.
	slowZoneLogSlowdown = 0.5
	// verySlowZoneLogSlowdown is the log slowdown above which a zone counts as slow
	// regardless of the other zones: 2.8 times the baseline. It exceeds slowZoneLogSlowdown because
	// during overload a host does not know all requests in flight, and responses take longer
	// than the known ones explain.
	verySlowZoneLogSlowdown = 1.5
)

// serviceZone identifies the targets of a service in an availability zone.
type serviceZone struct {
	service string
	zone    string
}

// slowdownEstimates is what a host has estimated about the speed of targets, besides the
// estimate kept with each target.
type slowdownEstimates struct {
	// zones holds the slowdown of each zone of a service from which responses came recently.
	zones map[serviceZone]*estimator.Zone
	// active lists the targets with an estimate, in the order in which they got one.
	active []*target
	// reportStart is the index in active at which the reports of the current round start; the
	// next round, after roundDeadline, starts at nextReportStart.
	reportStart     int
	nextReportStart int
	roundDeadline   timekeeper.Instant
	// overdue holds the requests to check for being overdue. It is not sorted by deadline:
	// requests of routes with long response times must not delay the checks of others.
	overdue []flowTimer
}

// zoneSlowdown returns the estimate for a service's targets in a zone, and creates it if there
// is none.
func (s *Steerer) zoneSlowdown(service, zone string) *estimator.Zone {
	key := serviceZone{service, zone}
	z, ok := s.slowdowns.zones[key]
	if !ok {
		z = &estimator.Zone{}
		s.slowdowns.zones[key] = z
	}
	return z
}

// zoneLogSlowdown is the log slowdown (log2 of latency over baseline) of a service in a zone;
// 0 without an estimate.
func (s *Steerer) zoneLogSlowdown(service, zone string) float64 {
	if z, ok := s.slowdowns.zones[serviceZone{service, zone}]; ok {
		return z.LogSlowdown()
	}
	return 0
}

// slowdown is the estimated latency of a target relative to the baseline: 1 is the baseline, 2
// twice as long.
func (s *Steerer) slowdown(t *target) float64 {
	return estimator.Slowdown(s.zoneLogSlowdown(t.Service, t.AvailabilityZone) + t.slowdownEstimate.LogSlowdown())
}

// slowdownWithinZone is the latency of a target relative to the others of its zone, at least
// 1. Unlike slowdown it leaves out what all of them have in common: during overload that is
// queueing, which does not reduce their capacity.
func (t *target) slowdownWithinZone() float64 {
	return estimator.Slowdown(max(t.slowdownEstimate.LogSlowdown(), 0))
}

// setExpectedResponse records when the response to a request that begins is expected.
//
// All times count from the caller's last data packet. Counted from its first one, uploads over
// slow links would make their target count as slow, which shows as a target that is avoided
// though it responds as soon as it has the full request.
func (s *Steerer) setExpectedResponse(key flowKey, f *flow) {
	f.expectedLatency, f.assumedLogSlowdown, f.lastData = 0, 0, s.now
	u, ok := s.baselines[f.route.Name]
	if !ok || !u.known() {
		return
	}
	f.expectedLatency = time.Duration(float64(u.fromRequestEnd.median) * estimator.QueueingFactor(f.target.inFlight(), f.target.Slots))
	s.slowdowns.overdue = append(s.slowdowns.overdue, flowTimer{key: key, since: s.now, deadline: f.overdueAt()})
}

// overdueAt is the time from which the wait of a request counts as evidence about its target.
func (f *flow) overdueAt() timekeeper.Instant {
	wait := overdueFactor * f.expectedLatency
	if f.route.Kind == KindUpload {
		wait = max(wait, maxUploadGap)
	}
	return f.lastData.Add(wait)
}

// checkOverdue records the waits of overdue requests as latency samples.
//
// If only responses counted, a target that hangs or takes seconds would get new flows until
// its first response, which shows as callers that all wait at one target while other targets
// are idle. A request that stays overdue gives a further sample each time its wait has
// doubled, until its route's timeout if there is one.
func (s *Steerer) checkOverdue() {
	overdue := s.slowdowns.overdue
	kept := overdue[:0]
	for _, timer := range overdue {
		f := s.flows[timer.key]
		if f == nil || !f.awaitingResponse || f.requestStartedAt != timer.since {
			continue
		}
		if from := f.overdueAt(); !from.Passed(s.now) {
			timer.deadline = from // The caller has sent more data.
		}
		if timer.deadline.Passed(s.now) && s.missingResponsesAreEvidence() {
			waited := s.now.Since(f.lastData)
			s.recordLatency(f, waited)
			timer.deadline = s.now.Add(waited)
		}
		if f.route.Timeout <= 0 || !timer.since.Add(f.route.Timeout).Passed(s.now) {
			kept = append(kept, timer)
		}
	}
	s.slowdowns.overdue = kept
}

// recordLatency updates the estimates of a target and its zone from the time that a request
// took, or has been waiting. It skips cold targets, which are expected to be slow, and
// responses that were late because this host was paused.
func (s *Steerer) recordLatency(f *flow, took time.Duration) {
	t := f.target
	if f.expectedLatency == 0 || !s.pause.graceDeadline.Passed(s.now) || s.isCold(t) {
		return
	}
	z := s.zoneSlowdown(t.Service, t.AvailabilityZone)
	logSlowdown := estimator.LogSlowdown(took, f.expectedLatency, 1)
	if f.assumedLogSlowdown != 0 {
		z.ReplaceSample(f.assumedLogSlowdown, logSlowdown, s.now)
		t.slowdownEstimate.ReplaceSample(f.assumedLogSlowdown-z.LogSlowdown(), logSlowdown-z.LogSlowdown(), s.now)
	} else {
		t.slowdownEstimate.Observe(z.Observe(logSlowdown, s.now), s.now)
	}
	f.assumedLogSlowdown = logSlowdown
	s.refreshEstimate(t, "own")
}

// refreshEstimate recomputes the estimate of a target. For the log, cause says where the new
// samples come from: "own", the name of another host, or "age".
func (s *Steerer) refreshEstimate(t *target, cause string) {
	if !t.slowdownTracked {
		t.slowdownTracked = true
		s.slowdowns.active = append(s.slowdowns.active, t)
	}
	if !t.slowdownEstimate.Refresh(s.now) {
		return
	}
	s.targets.markForRecount(t)
	event := "targetQuickAgain"
	if t.slowdownEstimate.Slow() {
		event = "targetSlow"
		s.counters.add(TargetSlow)
		t.slowdownEstimate.ScheduleTrial(s.aliveInZone(), s.random.Float64(), s.now)
	}
	all, local := t.slowdownEstimate.Samples()
	s.log(event, field("target", t.ID), field("service", t.Service), field("zone", t.AvailabilityZone),
		field("times", fmt.Sprintf("%.2f", estimator.Slowdown(t.slowdownEstimate.MeanLogSlowdown()))), field("samples", fmt.Sprintf("%.1f", all)),
		field("own", fmt.Sprintf("%.1f", local)), field("cause", cause))
}

// estimatesTick checks for overdue requests and drops expired estimates.
func (s *Steerer) estimatesTick() {
	s.checkOverdue()
	maps.DeleteFunc(s.slowdowns.zones, func(_ serviceZone, z *estimator.Zone) bool {
		z.Refresh(s.now)
		return z.NoData()
	})
	kept := s.slowdowns.active[:0]
	for _, t := range s.slowdowns.active {
		s.refreshEstimate(t, "age")
		if t.slowdownEstimate.NoData() {
			t.slowdownTracked = false
			continue
		}
		kept = append(kept, t)
	}
	clear(s.slowdowns.active[len(kept):])
	s.slowdowns.active = kept
}

// pickTrialTarget picks a slow target for a new flow, so that its recovery is noticed; nil if
// no trial is due. In that case it may reset the slowdown of zones in views, so that the flow
// may go to a slow zone.
//
// Without trials, a slow target gets no flows, so no host learns that it has recovered. If
// estimates only expired instead, all hosts of the zone would use the target again at the same
// moment, and it would have a queue of callers before its first response.
//
// There are no trials while requests of the service are queued at this host: some may wait for
// the slow target, and the new flow would be refused because of them though fast targets are
// idle.
func (s *Steerer) pickTrialTarget(c placement, views []zoneView, constraint *connectionConstraint) *target {
	if c.avoid != nil || s.service(c.service).queued > 0 || !s.service(c.service).trials.Allow() {
		return nil
	}
	var due *target
	for _, t := range s.slowdowns.active {
		if t.Service != c.service || !t.slowdownEstimate.TrialDue(s.now) || !s.trialAllowed(t, views) {
			continue
		}
		if _, available := s.connectionLoad(t, constraint); !available {
			continue
		}
		if due == nil || t.slowdownEstimate.NextTrial() < due.slowdownEstimate.NextTrial() {
			due = t
		}
	}
	if due != nil {
		due.slowdownEstimate.ScheduleTrial(s.aliveInZone(), s.random.Float64(), s.now)
		s.counters.add(TrialFlow)
		return due
	}
	for i := range views {
		views[i].logSlowdown = 0
	}
	return nil
}

// trialAllowed reports whether a slow target may get a trial: it is in the local zone and has a
// free slot, and nothing but its slowdown keeps new flows from it.
func (s *Steerer) trialAllowed(t *target, views []zoneView) bool {
	switch {
	case t.AvailabilityZone != s.config.AvailabilityZone, t.listedUnder == "", views[t.zone].penalty() > 0:
		return false
	case s.exclusionOf(t, views) != notExcluded, !s.warmUpAllows(t):
		return false
	case t.health.unreachable(), t.health.suspect, t.reportedUnreachable(s.now), s.failsFast(t):
		return false
	}
	return t.inFlightPerSlot() < 1
}

// recordResponse learns from the time until a response.
//
// Without this, a target that fails some of its requests at once while its health check passes
// would have the least load of its service, since failures take less time than processing, and
// would get most new flows. That shows as callers that fail repeatedly at one target. The load
// balancer can't read the content of a response, but it can measure how fast it comes.
func (s *Steerer) recordResponse(f *flow, took time.Duration) {
	u, ok := s.baselines[f.route.Name]
	if !ok {
		u = &medianEstimator{fromRequestEnd: &medianEstimator{}}
		s.baselines[f.route.Name] = u
	}
	congested := s.congested(f.target.Service)
	fastFailure := u.implausiblyFast(took)
	if fastFailure && !congested {
		f.target.failures.Observe(s.now)
		s.counters.add(FastFailure)
		s.log("answerTooQuick", field("target", f.target.ID), field("route", f.route.Name),
			field("tookMillis", formatMillis(took)), field("usualMillis", formatMillis(u.median)))
	}
	latency := s.now.Since(f.lastData)
	if !fastFailure {
		s.recordLatency(f, latency)
	}
	distorted := congested || s.targetOrZoneSlow(f.target)
	u.add(took, distorted)
	u.fromRequestEnd.add(latency, distorted)
}

// targetOrZoneSlow reports whether a target or its zone is slow, so that its responses say
// little about the baseline.
//
// Without this, when half of the targets become slow, their latency would become the baseline
// within seconds, and no host would avoid them any more.
func (s *Steerer) targetOrZoneSlow(t *target) bool {
	return t.slowdownEstimate.Slow() || s.inSlowZone(t)
}

// inSlowZone reports whether a target's zone is slower than another, or far slower than the
// baseline. If all zones are moderately slow, the service is overloaded or its requests have
// become more expensive.
func (s *Steerer) inSlowZone(t *target) bool {
	logSlowdown := s.zoneLogSlowdown(t.Service, t.AvailabilityZone)
	if logSlowdown <= slowZoneLogSlowdown || logSlowdown > verySlowZoneLogSlowdown {
		return logSlowdown > verySlowZoneLogSlowdown
	}
	for _, name := range s.targets.zones {
		other, ok := s.slowdowns.zones[serviceZone{t.Service, name}]
		if ok && other.HasEnoughSamples() && other.LogSlowdown()+slowZoneLogSlowdown < logSlowdown {
			return true
		}
	}
	return false
}

// failsFast reports whether a target's responses are implausibly fast. Responses of a
// congested service don't count: full targets refuse at once, and if a target were avoided for
// that, its work would fill the next one.
func (s *Steerer) failsFast(t *target) bool {
	return t.failures.ThresholdReached(s.now) && !s.congested(t.Service)
}

// applyFastFailures applies the report of another host of the zone on targets with fast
// failures.
func (s *Steerer) applyFastFailures(from *peer, tags []uint32) {
	for _, tag := range tags {
		if t, ok := s.reportedTarget(from, tag); ok {
			t.failures.ApplyReport(from.name, s.now)
		}
	}
}

// recentFastFailures reports whether this host has recently seen fast failures of a target.
func (s *Steerer) recentFastFailures(t *target) bool { return t.failures.SeenRecently(s.now) }

// applySlowdownReports applies the slowdown estimates that another host of the zone reports.
func (s *Steerer) applySlowdownReports(from *peer, reports []messenger.TargetSlowdown) {
	for _, report := range reports[:min(len(reports), maxSlowdownReports)] {
		if t, ok := s.reportedTarget(from, report.Tag); ok {
			t.slowdownEstimate.ApplyReport(from.name, estimator.SlowdownReport{LogSlowdownEighths: report.LogSlowdownEighths, Samples: report.Samples}, s.now)
			s.refreshEstimate(t, from.name)
		}
	}
}

// slowdownReports lists the estimates of targets with a notable slowdown, at most
// maxSlowdownReports. If there are more, each round continues where the last one ended.
//
// The position advances per round and not per report. Otherwise, if a round has as many
// reports as it takes to go through the list, each recipient would always get the same part of
// it.
func (s *Steerer) slowdownReports() []messenger.TargetSlowdown {
	var reports []messenger.TargetSlowdown
	active := s.slowdowns.active
	if s.slowdowns.roundDeadline.Passed(s.now) {
		s.slowdowns.reportStart = s.slowdowns.nextReportStart
		s.slowdowns.roundDeadline = s.now.Add(reportInterval)
	}
	at := 0
	for at < len(active) && len(reports) < maxSlowdownReports {
		t := active[(s.slowdowns.reportStart+at)%len(active)]
		at++
		if report, ok := t.slowdownEstimate.Report(s.now); ok {
			reports = append(reports, messenger.TargetSlowdown{Tag: uint32(t.tag), LogSlowdownEighths: report.LogSlowdownEighths, Samples: report.Samples})
		}
	}
	if len(active) > 0 {
		s.slowdowns.nextReportStart = (s.slowdowns.reportStart + at) % len(active)
	}
	return reports
}
