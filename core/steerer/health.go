package steerer

import (
	"time"

	"cranberryspan.dev/core/diagnoser"
	"cranberryspan.dev/core/timekeeper"
)

const (
	// recentProgressAge is how recent a sign of life must be for a stall to count as
	// the flow's own trouble. Callers repeat after 200 ms, so a target that lives
	// has answered somebody within that time under any load worth noticing.
	recentProgressAge = 150 * time.Millisecond
	// minProbeInterval bounds the liveness checks of one target, by this host.
	minProbeInterval = time.Second
	// reprobeInterval is the pause between checks of a target that did not answer.
	reprobeInterval = 2 * time.Second
	// lateProbeFactor times its patience is how long a check may take to mean anything: one
	// that ends later was held up by this host, and so was the answer that it missed.
	lateProbeFactor = 2
)

// health is what a host concludes of a target from its flows.
type health struct {
	// lastProgress is when a flow last showed that the target works.
	lastProgress timekeeper.Instant
	// stalls counts repeats since then.
	stalls int
	// suspect is set while a stall has not been cleared up.
	suspect bool
	// suspectSince is since when nothing had come then.
	suspectSince timekeeper.Instant
	probing      bool
	// probeTimeout is what the check under way waits for a handshake.
	probeTimeout time.Duration
	// probeDeadline is when the next check may begin.
	probeDeadline timekeeper.Instant
	// unreachableSince is when a check got no answer; 0 while the target is reachable.
	unreachableSince timekeeper.Instant
	lastOutcome      ProbeOutcome
}

func (h *health) unreachable() bool { return h.unreachableSince != 0 }

// fields describes what a conclusion rests on.
func (h *health) fields(now timekeeper.Instant) []Field {
	return []Field{
		field("stalls", formatInt(h.stalls)),
		field("progressAgeMillis", formatAge(now, h.lastProgress)),
		field("lastProbe", h.lastOutcome.String()),
	}
}

// logTarget logs what is concluded of a target, with what its health rests on. The tag
// leads from a packet that another host dropped to the target.
func (s *Steerer) logTarget(event string, t *target, inputs ...Field) {
	fields := append([]Field{field("target", t.ID), field("tag", t.tag.String())}, inputs...)
	s.log(event, append(fields, t.health.fields(s.now)...)...)
}

// silenceIsEvidence reports whether silence means anything at present.
func (s *Steerer) silenceIsEvidence() bool {
	return s.pause.graceDeadline.Passed(s.now) && !s.path.slow(s.now) && s.now.Since(s.pause.lastTick) <= pauseThreshold
}

// recordProgress takes in that a target works.
func (s *Steerer) recordProgress(t *target) {
	s.diagnoser.ObserveActivity(t.AvailabilityZone, s.now)
	h := &t.health
	if h.suspect || h.unreachable() {
		s.targets.markForRecount(t)
	}
	h.lastProgress = s.now
	h.stalls = 0
	h.suspect = false
	t.reportedUnresponsiveDeadline = 0
	if h.unreachable() {
		s.logTarget("targetBack", t, field("cause", "progress"))
		h.unreachableSince = 0
	}
}

// recordStall takes in that a caller had to repeat itself, having heard nothing since a
// moment.
func (s *Steerer) recordStall(t *target, cause string, since timekeeper.Instant) {
	t.health.stalls++
	if s.now.Since(t.health.lastProgress) >= recentProgressAge {
		s.suspect(t, cause, since)
	}
}

// suspect checks a target from which nothing has come since a moment.
func (s *Steerer) suspect(t *target, cause string, since timekeeper.Instant) {
	if !s.silenceIsEvidence() {
		return
	}
	h := &t.health
	if !h.suspect {
		h.suspect = true
		h.suspectSince = since
		s.targets.markForRecount(t)
		s.logTarget("targetSuspected", t, field("cause", cause))
	}
	s.probe(t, s.probeTimeout(t, since))
}

// probeTimeout is how long a check of a target may go without a handshake, if nothing has come
// from the target since a moment. As long as its whole zone has been silent, too, a short
// check is enough to say so; see recordZoneSilence. To say that this target is silent, and to
// reset its flows, takes a long one: a target whose queue of connections is full works.
func (s *Steerer) probeTimeout(t *target, since timekeeper.Instant) time.Duration {
	zone := t.AvailabilityZone
	if s.diagnoser.ZoneUnresponsive(zone, since, s.now) && !s.diagnoser.ZoneSuspect(zone, s.now) {
		return s.diagnoser.ResponseTimeout(zone, s.now)
	}
	return diagnoser.MaxResponseTimeout
}

// probe checks a target that may be silent, if it has not been checked of late.
func (s *Steerer) probe(t *target, patience time.Duration) {
	h := &t.health
	if h.probing || !h.probeDeadline.Passed(s.now) {
		return
	}
	h.probing = true
	h.probeTimeout = patience
	h.probeDeadline = s.now.Add(minProbeInterval)
	s.counts.add(ProbeSent)
	s.emit(&Probe{Target: t.ID, Incarnation: t.Incarnation, Address: t.Address, Path: s.settings.healthPath(t.Service), Timeout: patience})
}

// probeCompleted takes in the outcome of a check.
func (s *Steerer) probeCompleted(e *ProbeCompleted) {
	t, ok := s.targets.byID[e.Target]
	if !ok || t.Incarnation != e.Incarnation {
		return // It was forgotten, or has started again since, and a check of old says nothing.
	}
	h := &t.health
	h.probing = false
	h.lastOutcome = e.Outcome
	s.targets.markForRecount(t)
	switch e.Outcome {
	case ProbeHealthy, ProbeNotReady, ProbeResponseTimeout, ProbeClosed:
		h.suspect = false
		h.unreachableSince = 0
		s.diagnoser.ObserveActivity(t.AvailabilityZone, s.now)
	case ProbeConnectTimeout, ProbeRefused, ProbeWrongTarget:
		s.markUnreachable(t, e)
	case ProbeReset:
		// Somebody answered, so the target is not silent, but not that it works either. The next
		// stall has it checked again.
	}
	s.logTarget("targetProbed", t, field("outcome", e.Outcome.String()), field("tookMillis", formatMillis(e.Took)))
	if e.Outcome == ProbeClosed {
		s.handleFullTarget(t)
	}
}

// markUnreachable takes a target out of reach, and tells the callers that wait for
// it.
//
// What goes wrong otherwise: a caller whose target has crashed silently repeats
// its packets until its deadline, and only then opens a flow elsewhere. The reset
// is sent only for requests that may run again: whether the others have run is
// unknown, and their callers do not repeat them.
func (s *Steerer) markUnreachable(t *target, e *ProbeCompleted) {
	h := &t.health
	if e.Outcome == ProbeConnectTimeout && (!s.silenceIsEvidence() || e.Took > lateProbeFactor*h.probeTimeout) {
		h.probeDeadline = s.now // It says nothing: the next stall checks again.
		return
	}
	if h.lastProgress.Add(e.Took) > s.now {
		return // A flow has shown life while the check was under way.
	}
	short := h.probeTimeout < diagnoser.MaxResponseTimeout
	s.recordZoneSilence(t)
	if e.Outcome == ProbeConnectTimeout && short {
		s.probe(t, diagnoser.MaxResponseTimeout) // A long check decides.
		return
	}
	if !h.unreachable() {
		h.unreachableSince = s.now
		s.targets.markInUse(t)
		s.peers.reportNow = true
		s.logTarget("targetUnreachable", t)
	}
	h.probeDeadline = s.now.Add(reprobeInterval)
	s.resetWaitingFlows(t)
}

// recordZoneSilence takes in that a target was found silent, and checks its neighbours if
// nothing has come from their zone since it fell silent.
//
// What goes wrong if each target is checked only once a caller repeats itself there: a zone
// crashes without a word, and each of its callers waits for its own repeat, 200 ms, and for
// a check after it, before it may ask elsewhere. One notices by requests that are late by
// the length of a check. The first that is found silent tells of all.
func (s *Steerer) recordZoneSilence(found *target) {
	h := &found.health
	h.probeDeadline = s.now
	known := s.diagnoser.ZoneSuspect(found.AvailabilityZone, s.now)
	s.diagnoser.ObserveUnresponsive(found.AvailabilityZone, h.suspectSince, s.now)
	if known || !s.diagnoser.ZoneSuspect(found.AvailabilityZone, s.now) {
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

// resetWaitingFlows resets the flows that wait for a silent target and may run again.
func (s *Steerer) resetWaitingFlows(t *target) {
	for _, key := range s.flowsTo(t) {
		f := s.flows[key]
		if !f.awaitingResponse && f.paced == nil || !f.route.Kind.retryable() {
			continue
		}
		p := Packet{Caller: key.caller, Service: key.service, Acknowledged: f.acknowledged}
		s.resetFlow(&p, f, t, "targetUnreachable")
		s.forgetFlow(key, f)
	}
}

// probeUnreachable checks unreachable targets again from time to time, but for those of
// evacuated zones: they get no flows however they answer.
func (s *Steerer) probeUnreachable() {
	for _, t := range s.targetsInUse() {
		if t.health.unreachable() && !t.missing && !s.evacuator.Evacuates(t.AvailabilityZone) {
			s.probe(t, diagnoser.MaxResponseTimeout)
		}
	}
}
