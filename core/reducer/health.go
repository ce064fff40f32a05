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

// Probing must not multiply with hosts and targets. Two hosts of each zone probe
// a target; they are ranked by target, so that the work spreads, and a host
// sends at most maxProbesPerSecond. What fails is told to the zone's hosts. A
// prober that lies or sits behind a cut can exclude no more than the service's
// MaxEjectedShare, and nothing that answers requests.
const (
	probersPerZone             = 2
	maxProbesPerSecond         = 20
	probeFailureReportInterval = 5 * time.Second
	// probeFailureTTL is how long a verdict holds without being repeated.
	probeFailureTTL = 12 * time.Second
)

// prober is this host's share of the probing.
type prober struct {
	// pending lists the targets still to be probed in this round.
	pending      []*target
	nextRound    timekeeper.Instant
	tokens       float64
	lastReported []uint32
	nextReport   timekeeper.Instant
}

// sendProbes sends the next probes. A round takes a second, or longer if there
// are more targets than probes to send.
func (r *Reducer) sendProbes() {
	const probeInterval = time.Second
	p := &r.prober
	p.tokens = min(p.tokens+maxProbesPerSecond*TickInterval.Seconds(), maxProbesPerSecond)
	if len(p.pending) == 0 && p.nextRound.Passed(r.now) {
		p.nextRound = r.now.Add(probeInterval)
		p.pending = r.targetsToProbe()
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

// targetsToProbe lists the targets that this host has to probe.
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

// aliveInZone lists the live hosts of this host's zone, this host included.
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

func (r *Reducer) handleProbeResponse(e *ProbeAnswered) {
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

// hasUnansweredRequests reports whether requests wait for the target without any answer,
// in which case a good probe says little.
func (t *target) hasUnansweredRequests() bool { return t.failedRequests > 0 && t.inFlight > 0 }

// sendProbeFailures tells the zone which targets fail, when that changes and then
// regularly.
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

// handleProbeFailures notes which targets another host finds failing.
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

// reportedFailing reports whether a prober of the zone finds the target failing.
func (t *target) reportedFailing(now timekeeper.Instant) bool {
	for deadline := range maps.Values(t.failureReports) {
		if !deadline.Passed(now) {
			return true
		}
	}
	return false
}
