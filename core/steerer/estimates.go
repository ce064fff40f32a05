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
	// upload, repeats of lost ones included, before its request may count as overdue.
	maxUploadGap = time.Second
	// overdueFactor is how many times as long as expected a request waits before that says
	// something of its target: few take so long by chance.
	overdueFactor = 3
	// maxFastFailures bounds the targets that a report names as answering too quickly for work,
	// maxSlowdownReports those whose speed it tells, so that it fits a datagram.
	maxFastFailures    = 32
	maxSlowdownReports = 32
	// slowZoneLogSlowdown is the binary logarithm by which a zone's answers take longer than another's
	// before the zone counts as slow: 1.4 times.
	slowZoneLogSlowdown = 0.5
	// verySlowZoneLogSlowdown is the binary logarithm above which it is slow whatever other zones are:
	// 2.8 times the usual. It is more than slowZoneLogSlowdown, since in a crowd a host does not know
	// of all that is under way, and answers take longer than what it does know explains.
	verySlowZoneLogSlowdown = 1.5
)

// serviceZone is a service's part in an availability zone.
type serviceZone struct {
	service string
	zone    string
}

// slowdownEstimates is what a host knows of how fast targets are, beside what is kept with each.
type slowdownEstimates struct {
	// zones is how fast each zone of a service is, of those from which answers came of late.
	zones map[serviceZone]*estimator.Zone
	// active are the targets of which something is known, the longest known first.
	active []*target
	// reportStart is the index of the first of them of which the reports of a round tell; the next
	// round, after roundDeadline, begins with nextReportStart.
	reportStart     int
	nextReportStart int
	roundDeadline   timekeeper.Instant
	// overdue are the requests to check for whether they wait for longer than expected, in
	// no order of their deadlines: those of routes with long requests must not hold up the
	// others.
	overdue []flowTimer
}

// zoneSlowdown returns what is known of a service's targets in a zone.
func (s *Steerer) zoneSlowdown(service, zone string) *estimator.Zone {
	key := serviceZone{service, zone}
	z, ok := s.estimating.zones[key]
	if !ok {
		z = &estimator.Zone{}
		s.estimating.zones[key] = z
	}
	return z
}

// zoneLogSlowdown is the binary logarithm of the time that a service takes in a zone, as a
// multiple of the usual; 0 if nothing is known.
func (s *Steerer) zoneLogSlowdown(service, zone string) float64 {
	if z, ok := s.estimating.zones[serviceZone{service, zone}]; ok {
		return z.LogSlowdown()
	}
	return 0
}

// slowdown is how much longer a target takes for a request than is usual: 1 is usual,
// 2 twice as long.
func (s *Steerer) slowdown(t *target) float64 {
	return estimator.Slowdown(s.zoneLogSlowdown(t.Service, t.AvailabilityZone) + t.slowdownEstimate.LogSlowdown())
}

// slowdownWithinZone is how much longer a target takes than the others of its zone,
// 1 at the least. Unlike slowness it leaves out what all of them have in common: in a crowd
// that is waiting, which takes nothing of what they can do.
func (t *target) slowdownWithinZone() float64 {
	return estimator.Slowdown(max(t.slowdownEstimate.LogSlowdown(), 0))
}

// setExpectedResponse notes when the answer to a request that begins is expected.
//
// All times count from the caller's last data packet. What goes wrong if they count from
// its first: some callers upload over slow links, and their target counts as slow. One
// notices by a target that is avoided though it answers as soon as it has the request.
func (s *Steerer) setExpectedResponse(key flowKey, f *flow) {
	f.expectedLatency, f.assumedExcess, f.lastData = 0, 0, s.now
	u, ok := s.baselines[f.route.Name]
	if !ok || !u.known() {
		return
	}
	f.expectedLatency = time.Duration(float64(u.fromRequestEnd.median) * estimator.QueueingFactor(f.target.inFlight(), f.target.Slots))
	s.estimating.overdue = append(s.estimating.overdue, flowTimer{key: key, since: s.now, deadline: f.overdueAt()})
}

// overdueAt is when a request has waited for long enough to say something of its target.
func (f *flow) overdueAt() timekeeper.Instant {
	wait := overdueFactor * f.expectedLatency
	if f.route.Kind == KindUpload {
		wait = max(wait, maxUploadGap)
	}
	return f.lastData.Add(wait)
}

// checkOverdue learns from requests that wait for longer than expected.
//
// What goes wrong if only answers count: a target hangs, or takes seconds, and gets new
// flows until the first of its answers comes. One notices by callers that all wait at one
// target whose siblings are idle.
func (s *Steerer) checkOverdue() {
	overdue := s.estimating.overdue
	kept := overdue[:0]
	for _, check := range overdue {
		f := s.flows[check.key]
		if f == nil || !f.awaitingResponse || f.requestStartedAt != check.since {
			continue
		}
		if from := f.overdueAt(); !from.Passed(s.now) {
			check.deadline = from // The caller has sent more.
		}
		if check.deadline.Passed(s.now) && s.silenceIsEvidence() {
			waited := s.now.Since(f.lastData)
			s.recordLatency(f, waited)
			check.deadline = s.now.Add(waited)
		}
		if f.route.Timeout <= 0 || !check.since.Add(f.route.Timeout).Passed(s.now) {
			kept = append(kept, check)
		}
	}
	s.estimating.overdue = kept
}

// recordLatency learns from the time that a request took, or has been waiting for, about its
// target and the target's zone. Cold targets are known to be slow, and answers that were late
// because this host stood still say nothing.
func (s *Steerer) recordLatency(f *flow, took time.Duration) {
	t := f.target
	if f.expectedLatency == 0 || !s.pause.graceDeadline.Passed(s.now) || s.isCold(t) {
		return
	}
	z := s.zoneSlowdown(t.Service, t.AvailabilityZone)
	excess := estimator.LogSlowdown(took, f.expectedLatency, 1)
	if f.assumedExcess != 0 {
		z.ReplaceSample(f.assumedExcess, excess, s.now)
		t.slowdownEstimate.ReplaceSample(f.assumedExcess-z.LogSlowdown(), excess-z.LogSlowdown(), s.now)
	} else {
		t.slowdownEstimate.Observe(z.Observe(excess, s.now), s.now)
	}
	f.assumedExcess = excess
	s.refreshEstimate(t, "own")
}

// refreshEstimate works out anew what is believed of a target. Cause is, for the log, whose
// samples it rests on: "own", the name of another host, or "age".
func (s *Steerer) refreshEstimate(t *target, cause string) {
	if !t.slowdownTracked {
		t.slowdownTracked = true
		s.estimating.active = append(s.estimating.active, t)
	}
	if !t.slowdownEstimate.Refresh(s.now) {
		return
	}
	s.targets.markForRecount(t)
	event := "targetQuickAgain"
	if t.slowdownEstimate.Slow() {
		event = "targetSlow"
		s.counts.add(TargetSlow)
		t.slowdownEstimate.ScheduleTrial(s.aliveInZone(), s.random.Float64(), s.now)
	}
	all, own := t.slowdownEstimate.Samples()
	s.log(event, field("target", t.ID), field("service", t.Service), field("zone", t.AvailabilityZone),
		field("times", fmt.Sprintf("%.2f", estimator.Slowdown(t.slowdownEstimate.MeanLogSlowdown()))), field("samples", fmt.Sprintf("%.1f", all)),
		field("own", fmt.Sprintf("%.1f", own)), field("cause", cause))
}

// estimatesTick forgets what is too old to count.
func (s *Steerer) estimatesTick() {
	s.checkOverdue()
	maps.DeleteFunc(s.estimating.zones, func(_ serviceZone, z *estimator.Zone) bool {
		z.Refresh(s.now)
		return z.NoData()
	})
	kept := s.estimating.active[:0]
	for _, t := range s.estimating.active {
		s.refreshEstimate(t, "age")
		if t.slowdownEstimate.NoData() {
			t.slowdownTracked = false
			continue
		}
		kept = append(kept, t)
	}
	clear(s.estimating.active[len(kept):])
	s.estimating.active = kept
}

// pickTrialTarget picks a slow target that a new flow should go to, so that one that is quick again
// is found out; nil if none is due. Then it may leave out of views what is believed of slow
// zones, so that the flow may go to one of them.
//
// What goes wrong without trials: a slow target gets no flows, so nobody learns that it has
// recovered. And what goes wrong if hosts merely forget after a time that it was slow: all
// hosts of the zone do so at the same moment, and it gets a queue of callers before the first
// answer.
//
// Nothing is tried while requests of the service wait here: some may wait for the slow
// target, and the new flow would be refused on their account though quick targets idle.
func (s *Steerer) pickTrialTarget(c placement, views []zoneView, crowd *connectionConstraint) *target {
	if c.avoid != nil || s.service(c.service).paced > 0 || !s.service(c.service).trials.Allow() {
		return nil
	}
	var due *target
	for _, t := range s.estimating.active {
		if t.Service != c.service || !t.slowdownEstimate.TrialDue(s.now) || !s.trialAllowed(t, views) {
			continue
		}
		if _, room := s.connectionLoad(t, crowd); !room {
			continue
		}
		if due == nil || t.slowdownEstimate.NextTrial() < due.slowdownEstimate.NextTrial() {
			due = t
		}
	}
	if due != nil {
		due.slowdownEstimate.ScheduleTrial(s.aliveInZone(), s.random.Float64(), s.now)
		s.counts.add(TrialFlow)
		return due
	}
	for i := range views {
		views[i].slowness = 0
	}
	return nil
}

// trialAllowed reports whether a slow target may get a trial: only if nothing else speaks against
// it.
func (s *Steerer) trialAllowed(t *target, views []zoneView) bool {
	switch {
	case t.AvailabilityZone != s.config.AvailabilityZone, t.listedUnder == "", views[t.zone].penalty() > 0:
		return false
	case s.exclusionOf(t, views) != notExcluded, !s.warmUpAllows(t):
		return false
	case t.health.unreachable(), t.health.suspect, t.reportedUnresponsive(s.now), s.failsFast(t):
		return false
	}
	return t.inFlightPerSlot() < 1
}

// recordResponse learns from the time until an answer.
//
// What goes wrong otherwise: a target fails a part of its requests at once while its
// liveness check is good. Failures take less time than work, so it has the least load
// of its service and gets most new flows. One notices by callers that fail again and
// again at one target. What is in an answer can't be read here, but how quickly it
// comes can.
func (s *Steerer) recordResponse(f *flow, took time.Duration) {
	u, ok := s.baselines[f.route.Name]
	if !ok {
		u = &medianEstimator{fromRequestEnd: &medianEstimator{}}
		s.baselines[f.route.Name] = u
	}
	pressed := s.congested(f.target.Service)
	fastFailure := u.implausiblyFast(took)
	if fastFailure && !pressed {
		f.target.failures.Observe(s.now)
		s.counts.add(FastFailure)
		s.log("answerTooQuick", field("target", f.target.ID), field("route", f.route.Name),
			field("tookMillis", formatMillis(took)), field("usualMillis", formatMillis(u.median)))
	}
	worked := s.now.Since(f.lastData)
	if !fastFailure {
		s.recordLatency(f, worked)
	}
	doubtful := pressed || s.targetOrZoneSlow(f.target)
	u.add(took, doubtful)
	u.fromRequestEnd.add(worked, doubtful)
}

// targetOrZoneSlow reports whether a target or its zone is slow, so that its answers say little
// of what is usual.
//
// What goes wrong otherwise: half of the targets turn slow, within seconds that counts as
// usual, and nobody avoids them any more.
func (s *Steerer) targetOrZoneSlow(t *target) bool {
	return t.slowdownEstimate.Slow() || s.inSlowZone(t)
}

// inSlowZone reports whether a target's zone is slower than another. Where all are late
// the service is asked for too much, or its work became heavier.
func (s *Steerer) inSlowZone(t *target) bool {
	excess := s.zoneLogSlowdown(t.Service, t.AvailabilityZone)
	if excess <= slowZoneLogSlowdown || excess > verySlowZoneLogSlowdown {
		return excess > verySlowZoneLogSlowdown
	}
	for _, name := range s.targets.zones {
		other, ok := s.estimating.zones[serviceZone{t.Service, name}]
		if ok && other.HasEnoughSamples() && other.LogSlowdown()+slowZoneLogSlowdown < excess {
			return true
		}
	}
	return false
}

// failsFast reports whether a target answers more quickly than it can work. Answers of a
// pressed service say nothing of that: full targets refuse at once, and work that goes
// elsewhere for it fills the next.
func (s *Steerer) failsFast(t *target) bool {
	return t.failures.ThresholdReached(s.now) && !s.congested(t.Service)
}

// applyFastFailures takes in which targets another host of the zone saw answer too quickly.
func (s *Steerer) applyFastFailures(from *peer, tags []uint32) {
	for _, tag := range tags {
		if t, ok := s.reportedTarget(from, tag); ok {
			t.failures.ApplyReport(from.name, s.now)
		}
	}
}

// recentFastFailures reports whether this host saw a target answer too quickly of late.
func (s *Steerer) recentFastFailures(t *target) bool { return t.failures.SeenRecently(s.now) }

// applySlowdownReports takes in how fast another host of the zone finds targets.
func (s *Steerer) applySlowdownReports(from *peer, slowdownReports []messenger.TargetSlowdown) {
	for _, p := range slowdownReports[:min(len(slowdownReports), maxSlowdownReports)] {
		if t, ok := s.reportedTarget(from, p.Tag); ok {
			t.slowdownEstimate.ApplyReport(from.name, estimator.SlowdownReport{LogSlowdownEighths: p.LogSlowdownEighths, Samples: p.Samples}, s.now)
			s.refreshEstimate(t, from.name)
		}
	}
}

// slowdownReports lists how fast the targets are that stand out, at most maxSlowdownReports: if there are more,
// each round tells of the next ones.
//
// What goes wrong if each report tells of the next ones: where a round has as many reports as
// the list has parts, each recipient hears of the same part for ever.
func (s *Steerer) slowdownReports() []messenger.TargetSlowdown {
	var slowdownReports []messenger.TargetSlowdown
	active := s.estimating.active
	if s.estimating.roundDeadline.Passed(s.now) {
		s.estimating.reportStart = s.estimating.nextReportStart
		s.estimating.roundDeadline = s.now.Add(reportInterval)
	}
	at := 0
	for at < len(active) && len(slowdownReports) < maxSlowdownReports {
		t := active[(s.estimating.reportStart+at)%len(active)]
		at++
		if p, ok := t.slowdownEstimate.Report(s.now); ok {
			slowdownReports = append(slowdownReports, messenger.TargetSlowdown{Tag: uint32(t.tag), LogSlowdownEighths: p.LogSlowdownEighths, Samples: p.Samples})
		}
	}
	if len(active) > 0 {
		s.estimating.nextReportStart = (s.estimating.reportStart + at) % len(active)
	}
	return slowdownReports
}
