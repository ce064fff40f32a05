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
	probersPerZone     = 2
	maxProbesPerSecond = 20
	verdictsEvery      = 5 * time.Second
	// verdictSpan is how long a verdict holds without being repeated.
	verdictSpan = 12 * time.Second
)

// prober is this host's share of the probing.
type prober struct {
	// due lists the targets still to be probed in this round.
	due           []*target
	roundDeadline timekeeper.Instant
	tokens        float64
	told          []uint32
	tellDeadline  timekeeper.Instant
}

// probeTick sends the next probes. A round takes a second, or longer if there
// are more targets than probes to send.
func (r *Reducer) probeTick() {
	const roundSpan = time.Second
	p := &r.prober
	p.tokens = min(p.tokens+maxProbesPerSecond*TickEvery.Seconds(), maxProbesPerSecond)
	if len(p.due) == 0 && p.roundDeadline.Passed(r.now) {
		p.roundDeadline = r.now.Add(roundSpan)
		p.due = r.ownTargets()
	}
	for len(p.due) > 0 && p.tokens >= 1 {
		t := p.due[0]
		p.due = p.due[1:]
		p.tokens--
		if t.present {
			r.emit(&Probe{Target: t.address})
		}
	}
	r.verdictTick()
}

// ownTargets lists the targets that this host has to probe.
func (r *Reducer) ownTargets() []*target {
	ranker := placer.NewRanker(r.aliveInZone())
	var own []*target
	for _, id := range r.serviceIDs {
		for _, t := range r.services[id].registry {
			if t.present && r.probes(ranker, t) {
				own = append(own, t)
			}
		}
	}
	return own
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

func (r *Reducer) probes(ranker placer.Ranker, t *target) bool {
	ip := t.address.Addr().As4()
	key := resolver.FlowKey(uint64(ip[0])<<24|uint64(ip[1])<<16|uint64(ip[2])<<8|uint64(ip[3])) ^ resolver.FlowKey(t.address.Port())<<32
	return ranker.InTop(placer.BucketOf(placer.Hash(key)), r.self, probersPerZone)
}

func (r *Reducer) probeAnswered(e *ProbeAnswered) {
	for _, id := range r.serviceIDs {
		s := r.services[id]
		at, ok := s.byAddr[e.Target]
		if !ok || !s.registry[at].present {
			continue
		}
		t := s.registry[at]
		if !e.Healthy {
			t.failedProbes++
			continue
		}
		t.failedProbes = 0
		if !t.queueStuck() {
			t.failedRequests = 0
		}
		t.reported = e.InFlight
		t.reportDeadline = r.now.Add(loadSpan)
	}
}

// queueStuck reports whether requests wait for the target without any answer,
// in which case a good probe says little.
func (t *target) queueStuck() bool { return t.failedRequests > 0 && t.inFlight > 0 }

// verdictTick tells the zone which targets fail, when that changes and then
// regularly.
func (r *Reducer) verdictTick() {
	failing := r.failingProbes()
	changed := !slices.Equal(failing, r.prober.told)
	again := len(failing) > 0 && r.prober.tellDeadline.Passed(r.now)
	if !changed && !again {
		return
	}
	r.prober.told = failing
	r.prober.tellDeadline = r.now.Add(verdictsEvery)
	for _, name := range r.aliveInZone() {
		if name != r.self {
			r.sendPeer(name, &messenger.ProbeFailures{FailingTargets: failing})
		}
	}
}

func (r *Reducer) failingProbes() []uint32 {
	var failing []uint32
	for _, id := range r.serviceIDs {
		for _, t := range r.services[id].registry {
			if t.present && t.failedProbes >= failedProbesToEject {
				failing = append(failing, messenger.TargetKey(id, t.place))
			}
		}
	}
	return failing
}

// takeVerdicts notes which targets another host finds failing.
func (r *Reducer) takeVerdicts(from string, failing []uint32) {
	for _, id := range r.serviceIDs {
		for _, t := range r.services[id].registry {
			delete(t.accusers, from)
			if t.present && slices.Contains(failing, messenger.TargetKey(id, t.place)) {
				t.accusers[from] = r.now.Add(verdictSpan)
			}
		}
	}
}

// accused reports whether a prober of the zone finds the target failing.
func (t *target) accused(now timekeeper.Instant) bool {
	for deadline := range maps.Values(t.accusers) {
		if !deadline.Passed(now) {
			return true
		}
	}
	return false
}
