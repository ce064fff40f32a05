package reducer

import (
	"maps"
	"slices"
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/placer"
	"cranberryspan.dev/core/resolver"
	"cranberryspan.dev/core/timekeeper"
)

// The number of probes must not grow with the product of hosts and targets. Two
// hosts of each zone probe a target, selected by a ranking per target that spreads
// the work; another host probes it only while it has found it failing. A host sends
// at most maxProbesPerSecond. Probers report failing targets to the hosts of their
// zone. A prober that is wrong or partitioned can eject at most the service's
// MaxEjectedFraction of the targets, and none that responds to requests.
const (
	probersPerZone     = 2
	maxProbesPerSecond = 20
	// maxRecoveryProbes limits the probes in a round of targets that this host finds
	// failing without being one of their probers.
	maxRecoveryProbes          = maxProbesPerSecond / 2
	probeFailureReportInterval = 5 * time.Second
	// probeFailureTTL is how long a report of failed probes counts unless it is
	// repeated.
	probeFailureTTL = 12 * time.Second
)

// prober is the state of the probes that this host sends.
type prober struct {
	// pending lists the targets that remain to be probed in this round.
	pending []*target
	// recovering lists the targets that remain to get a recovery probe, in this round or a
	// later one.
	recovering   []*target
	nextRound    timekeeper.Instant
	tokens       float64
	lastReported []uint32
	nextReport   timekeeper.Instant
}

// sendProbes sends the next probes of the round. A round takes probeInterval, or
// longer if there are more targets than maxProbesPerSecond.
func (r *Reducer) sendProbes() {
	const probeInterval = time.Second
	p := &r.prober
	p.tokens = min(p.tokens+maxProbesPerSecond*TickInterval.Seconds(), maxProbesPerSecond)
	if len(p.pending) == 0 && p.nextRound.Passed(r.now) {
		p.nextRound = r.now.Add(probeInterval)
		p.pending = append(r.targetsToProbe(), r.nextRecoveryProbes()...)
	}
	for len(p.pending) > 0 && p.tokens >= 1 {
		t := p.pending[0]
		p.pending = p.pending[1:]
		p.tokens--
		if t.listed {
			r.emit(&Probe{Target: t.address})
		}
	}
	r.sendProbeFailures()
}

// targetsToProbe returns the targets that this host probes.
func (r *Reducer) targetsToProbe() []*target {
	ranker := placer.NewRanker(r.aliveInZone())
	var targets []*target
	for _, id := range r.serviceIDs {
		for _, t := range r.services[id].registry {
			if t.listed && r.isProberFor(ranker, t) {
				targets = append(targets, t)
			}
		}
	}
	return targets
}

// nextRecoveryProbes returns the targets of the next recovery probes, in rotation.
//
// A host also finds targets failing that it does not probe: those that did not respond to its
// requests, and those that it probed until another host joined. New requests avoid them, so
// without these probes the host never learns that they work again.
func (r *Reducer) nextRecoveryProbes() []*target {
	p := &r.prober
	if len(p.recovering) == 0 {
		p.recovering = r.failingWithoutProbes()
	}
	n := min(len(p.recovering), maxRecoveryProbes)
	next := p.recovering[:n]
	p.recovering = p.recovering[n:]
	return next
}

// failingWithoutProbes returns the targets that this host has found failing and does not probe.
func (r *Reducer) failingWithoutProbes() []*target {
	ranker := placer.NewRanker(r.aliveInZone())
	var targets []*target
	for _, id := range r.serviceIDs {
		for _, t := range r.services[id].registry {
			failing := t.failedProbes > 0 || t.requestsFailing()
			if failing && t.listed && !r.isProberFor(ranker, t) {
				targets = append(targets, t)
			}
		}
	}
	return targets
}

// aliveInZone returns the live hosts of this host's zone, including itself.
func (r *Reducer) aliveInZone() []string {
	self, _ := r.settings.HostByName(r.self)
	var names []string
	for _, h := range r.settings.Hosts {
		alive := h.Name == r.self || r.detector.State(h.Name).Liveness == messenger.LivenessAlive
		if h.AvailabilityZone == self.AvailabilityZone && alive {
			names = append(names, h.Name)
		}
	}
	return names
}

func (r *Reducer) isProberFor(ranker placer.Ranker, t *target) bool {
	ip := t.address.Addr().As4()
	key := resolver.FlowKey(uint64(ip[0])<<24|uint64(ip[1])<<16|uint64(ip[2])<<8|uint64(ip[3])) ^ resolver.FlowKey(t.address.Port())<<32
	return ranker.InTop(placer.BucketOf(placer.Hash(key)), r.self, probersPerZone)
}

func (r *Reducer) handleProbeResponse(e *ProbeCompleted) {
	for _, id := range r.serviceIDs {
		s := r.services[id]
		index, ok := s.byAddr[e.Target]
		if !ok || !s.registry[index].listed {
			continue
		}
		t := s.registry[index]
		if !e.Healthy {
			t.failedProbes++
			continue
		}
		t.failedProbes = 0
		if !t.hasUnansweredRequests() {
			t.failedRequests = 0
		}
		t.reportedLoad = e.InFlight
		t.loadReportDeadline = r.now.Add(loadReportTTL)
	}
}

// hasUnansweredRequests reports whether recent requests to the target got no
// response and others are still in flight, in which case a successful probe does not
// show that it works.
func (t *target) hasUnansweredRequests() bool { return t.failedRequests > 0 && t.inFlight > 0 }

// sendProbeFailures reports the targets whose probes fail to the hosts of the zone,
// when the list changes and then every probeFailureReportInterval.
func (r *Reducer) sendProbeFailures() {
	failing := r.failingTargets()
	changed := !slices.Equal(failing, r.prober.lastReported)
	repeatDue := len(failing) > 0 && r.prober.nextReport.Passed(r.now)
	if !changed && !repeatDue {
		return
	}
	r.prober.lastReported = failing
	r.prober.nextReport = r.now.Add(probeFailureReportInterval)
	for _, name := range r.aliveInZone() {
		if name != r.self {
			r.sendPeer(name, &messenger.ProbeFailures{FailingTargets: failing})
		}
	}
}

func (r *Reducer) failingTargets() []uint32 {
	var failing []uint32
	for _, id := range r.serviceIDs {
		for _, t := range r.services[id].registry {
			if t.listed && t.failedProbes >= failedProbesToEject {
				failing = append(failing, messenger.TargetKey(id, t.settingsIndex))
			}
		}
	}
	return failing
}

// handleProbeFailures records which targets fail the probes of another host.
func (r *Reducer) handleProbeFailures(from string, failing []uint32) {
	for _, id := range r.serviceIDs {
		for _, t := range r.services[id].registry {
			delete(t.failureReports, from)
			if t.listed && slices.Contains(failing, messenger.TargetKey(id, t.settingsIndex)) {
				t.failureReports[from] = r.now.Add(probeFailureTTL)
			}
		}
	}
}

// reportedFailing reports whether a prober of the zone has reported failed probes of
// the target.
func (t *target) reportedFailing(now timekeeper.Instant) bool {
	for deadline := range maps.Values(t.failureReports) {
		if !deadline.Passed(now) {
			return true
		}
	}
	return false
}
