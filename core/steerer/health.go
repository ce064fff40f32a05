package steerer

import (
	"time"

	"cranberryspan.dev/core/diagnoser"
	"cranberryspan.dev/core/timekeeper"
)

const (
	// recentProgressAge is the age up to which progress of a target means that a stall
	// concerns only the flow itself. Callers retransmit after 200 ms, so a target that is
	// alive has responded to some caller within that time under any load that matters.
	recentProgressAge = 150 * time.Millisecond
	// minProbeInterval limits how often this host probes a target.
	minProbeInterval = time.Second
	// reprobeInterval is the interval between probes of a target that is unreachable or stays
	// suspect.
	reprobeInterval = 2 * time.Second
	// lateProbeFactor times its timeout is the longest that a probe may take to be
	// conclusive. One that ends later was delayed by this host, and the response may have
	// been, too.
	lateProbeFactor = 2
	// unreachableTTL is how long a failed probe is evidence for resetting flows. While a
	// target is probed at intervals, the next conclusive probe ends within that time.
	unreachableTTL = reprobeInterval + targetSweepInterval + TickInterval + lateProbeFactor*diagnoser.MaxResponseTimeout
)

// health is the state of a target as concluded from its flows and probes.
type health struct {
	// lastProgress is when a flow last showed that the target works.
	lastProgress timekeeper.Instant
	// stalls counts the retransmissions since then, and the openings that the target seems to
	// have refused.
	stalls int
	// suspect is set from a stall until progress or a probe resolves it.
	suspect bool
	// suspectSince is the time since which nothing had come from the target when it became
	// suspect.
	suspectSince timekeeper.Instant
	probing      bool
	// probeTimeout is the handshake timeout of the probe in flight.
	probeTimeout time.Duration
	// probeDeadline is when the next probe may begin.
	probeDeadline timekeeper.Instant
	// unreachableSince is when a probe failed; 0 while the target is reachable.
	unreachableSince timekeeper.Instant
	// unreachableDeadline is until when the last failed probe is evidence for resetting
	// flows.
	unreachableDeadline timekeeper.Instant
	// lastOutcome is the outcome of the last probe, which ended at lastProbeEnd; 0 before any.
	lastOutcome  ProbeOutcome
	lastProbeEnd timekeeper.Instant
}

func (h *health) unreachable() bool { return h.unreachableSince != 0 }

// fields returns the log fields that explain a conclusion.
func (h *health) fields(now timekeeper.Instant) []Field {
	return []Field{
		field("stalls", formatInt(h.stalls)),
		field("progressAgeMillis", formatAge(now, h.lastProgress)),
		field("lastProbe", h.lastOutcome.String()),
		field("probeAgeMillis", formatAge(now, h.lastProbeEnd)),
	}
}

// logTarget logs an event of a target together with its health. The tag makes it possible
// to find the target of a packet that another host dropped.
func (s *Steerer) logTarget(event string, t *target, inputs ...Field) {
	fields := append([]Field{field("target", t.ID), field("tag", t.tag.String())}, inputs...)
	s.log(event, append(fields, t.health.fields(s.now)...)...)
}

// missingResponsesAreEvidence reports whether missing responses are evidence against a target. They
// are not after a pause of this host, or while its network path is slow.
func (s *Steerer) missingResponsesAreEvidence() bool {
	return s.pause.graceDeadline.Passed(s.now) && !s.path.slow(s.now) && s.now.Since(s.pause.lastTick) <= pauseThreshold
}

// recordProgress records that a target works.
func (s *Steerer) recordProgress(t *target) {
	s.diagnoser.ObserveActivity(t.AvailabilityZone, s.now)
	h := &t.health
	if h.suspect || h.unreachable() {
		s.targets.markForRecount(t)
	}
	h.lastProgress = s.now
	h.stalls = 0
	h.suspect = false
	t.reportedUnreachableDeadline = 0
	if h.unreachable() {
		s.logTarget("targetBack", t, field("cause", "progress"))
		h.unreachableSince = 0
	}
}

// recordStall records that a flow has got nothing from its target since the given time: its
// caller had to retransmit, or the target seems to have refused its opening packet.
func (s *Steerer) recordStall(t *target, cause string, since timekeeper.Instant) {
	t.health.stalls++
	if s.now.Since(t.health.lastProgress) >= recentProgressAge {
		s.suspect(t, cause, since)
	}
}

// suspect marks a target as suspect from which nothing has come since the given time, and
// probes it.
func (s *Steerer) suspect(t *target, cause string, since timekeeper.Instant) {
	if !s.missingResponsesAreEvidence() {
		return
	}
	h := &t.health
	if !h.suspect {
		h.suspect = true
		h.suspectSince = since
		s.targets.markInUse(t)
		s.targets.markForRecount(t)
		s.logTarget("targetSuspected", t, field("cause", cause))
	}
	s.probe(t, s.probeTimeout(t, since))
}

// probeTimeout returns the handshake timeout for a probe of a target from which nothing has
// come since the given time. If nothing has come from the rest of its zone either, a short
// probe is enough to make the zone suspect; see recordUnresponsive. Marking the target as
// unreachable and resetting its flows takes a long probe: a target with a full accept queue
// still works.
func (s *Steerer) probeTimeout(t *target, since timekeeper.Instant) time.Duration {
	zone := t.AvailabilityZone
	if s.diagnoser.ZoneUnresponsive(zone, since, s.now) && !s.diagnoser.ZoneSuspect(zone, s.now) {
		return s.diagnoser.ResponseTimeout(zone, s.now)
	}
	return diagnoser.MaxResponseTimeout
}

// probe probes a target that may be unresponsive, unless it was probed recently.
func (s *Steerer) probe(t *target, timeout time.Duration) {
	h := &t.health
	if h.probing || !h.probeDeadline.Passed(s.now) {
		return
	}
	h.probing = true
	h.probeTimeout = timeout
	h.probeDeadline = s.now.Add(minProbeInterval)
	s.counters.add(ProbeSent)
	s.emit(&Probe{Target: t.ID, Incarnation: t.Incarnation, Address: t.Address, Path: s.settings.healthPath(t.Service), Timeout: timeout})
}

// probeCompleted handles the outcome of a probe.
func (s *Steerer) probeCompleted(e *ProbeCompleted) {
	t, ok := s.targets.byID[e.Target]
	if !ok || t.Incarnation != e.Incarnation {
		return // The target was removed, or has restarted since the probe began.
	}
	h := &t.health
	h.probing = false
	h.lastOutcome = e.Outcome
	h.lastProbeEnd = s.now
	s.targets.markForRecount(t)
	if e.Outcome != ProbeConnectTimeout {
		s.recordZoneContact(t.AvailabilityZone, t.ID)
	}
	switch e.Outcome {
	case ProbeHealthy, ProbeNotReady, ProbeResponseTimeout, ProbeClosed:
		h.suspect = false
		h.unreachableSince = 0
		s.diagnoser.ObserveActivity(t.AvailabilityZone, s.now)
	case ProbeConnectTimeout, ProbeRefused, ProbeWrongTarget:
		s.markUnreachable(t, e)
		s.checkIsolation()
	case ProbeReset:
		// Something responded, so the target is not unresponsive, but this does not show that it
		// works. The next stall starts another probe.
	}
	s.logTarget("targetProbed", t, field("outcome", e.Outcome.String()), field("tookMillis", formatMillis(e.Took)))
	if e.Outcome == ProbeClosed {
		s.handleFullTarget(t)
	}
}

// markUnreachable marks a target as unreachable, and resets the flows that wait for it.
//
// Without the resets, a caller whose target has crashed without sending one retransmits its
// packets until its deadline, and only then opens a flow elsewhere. Only flows with retryable
// requests are reset: whether the others have run is unknown, and their callers do not retry
// them.
func (s *Steerer) markUnreachable(t *target, e *ProbeCompleted) {
	h := &t.health
	if e.Outcome == ProbeConnectTimeout && (!s.missingResponsesAreEvidence() || e.Took > lateProbeFactor*h.probeTimeout) {
		h.probeDeadline = s.now // The probe is inconclusive: the next stall starts another.
		return
	}
	if h.lastProgress.Add(e.Took) > s.now {
		return // A flow has made progress while the probe was in flight.
	}
	shortProbe := h.probeTimeout < diagnoser.MaxResponseTimeout
	s.recordUnresponsive(t)
	if e.Outcome == ProbeConnectTimeout && shortProbe {
		s.probe(t, diagnoser.MaxResponseTimeout) // Only a long probe is conclusive.
		return
	}
	if !h.unreachable() {
		h.unreachableSince = s.now
		s.targets.markInUse(t)
		s.peers.reportNow = true
		s.logTarget("targetUnreachable", t)
	}
	h.unreachableDeadline = s.now.Add(unreachableTTL)
	h.probeDeadline = s.now.Add(reprobeInterval)
	s.resetWaitingFlows(t)
}

// recordUnresponsive records that a target was found unresponsive. If that makes its zone
// suspect, it probes the zone's other targets that have flows.
//
// If each target were probed only once a caller retransmits to it, then after a zone crashes
// without sending resets each of its callers would wait for its own retransmission timeout,
// 200 ms, and for a probe after it, before it may try another target. This shows as requests
// that are late by the length of a probe.
func (s *Steerer) recordUnresponsive(found *target) {
	h := &found.health
	h.probeDeadline = s.now
	alreadySuspect := s.diagnoser.ZoneSuspect(found.AvailabilityZone, s.now)
	s.diagnoser.ObserveUnresponsive(found.AvailabilityZone, h.suspectSince, s.now)
	if alreadySuspect || !s.diagnoser.ZoneSuspect(found.AvailabilityZone, s.now) {
		return
	}
	s.log("zoneSilent", field("zone", found.AvailabilityZone), field("target", found.ID), field("sinceMillis", formatAge(s.now, h.suspectSince)))
	for _, t := range s.targetsInUse() {
		noProgress := t.flows > 0 && t.health.lastProgress <= h.suspectSince
		if noProgress && t.AvailabilityZone == found.AvailabilityZone && !t.missing {
			s.probe(t, diagnoser.MaxResponseTimeout)
		}
	}
}

// resetWaitingFlows resets the flows with a retryable request that waits for an unreachable
// target.
func (s *Steerer) resetWaitingFlows(t *target) {
	for _, key := range s.flowsTo(t) {
		f := s.flows[key]
		if !f.awaitingResponse && f.queued == nil || !f.route.Kind.retryable() {
			continue
		}
		p := Packet{Caller: key.caller, Service: key.service, Acknowledged: f.acknowledged}
		s.resetFlow(&p, f, t, "targetUnreachable")
		s.forgetFlow(key, f)
	}
}

// resetIfUnreachable resets a flow with a retryable request if its caller sends data to an
// unreachable target, and reports whether it did. If the last probe is too old to be evidence,
// it begins another one instead, which resets the flow if it fails; the data is to be forwarded.
//
// Without the limit on its age, a probe from a short partition decides for as long as no newer one
// is conclusive: missing targets and those of evacuated zones are not probed at intervals.
func (s *Steerer) resetIfUnreachable(key flowKey, f *flow, p *Packet) bool {
	t := f.target
	if !t.health.unreachable() || !f.route.Kind.retryable() || p.Length == 0 {
		return false
	}
	if t.health.unreachableDeadline.Passed(s.now) {
		if s.missingResponsesAreEvidence() {
			s.probe(t, diagnoser.MaxResponseTimeout)
		}
		return false
	}
	s.resetFlow(p, f, t, "targetUnreachable")
	s.forgetFlow(key, f)
	return true
}

// reprobeTargets probes targets that are unreachable or stay suspect again at intervals. Missing
// ones and those in zones that are evacuated, and not used as a last resort, are left out: they
// get no new flows whatever the outcome. They are probed when data of an open flow comes; see
// resetIfUnreachable.
//
// New flows avoid suspect targets, so without another probe a target without traffic may stay
// suspect for good.
func (s *Steerer) reprobeTargets() {
	zones := s.evaluateZones(&placement{})
	for _, t := range s.targetsInUse() {
		if t.health.reprobeDue(s.now) && !t.missing && !zones[t.zone].evacuated {
			s.probe(t, diagnoser.MaxResponseTimeout)
		}
	}
}

// reprobeDue reports whether a target should be probed again although no flow shows that it is
// unresponsive. An unreachable target is also due after an inconclusive probe.
func (h *health) reprobeDue(now timekeeper.Instant) bool {
	return h.unreachable() || h.suspect && h.lastProbeEnd.Add(reprobeInterval).Passed(now)
}
