package steerer

import "cranberryspan.dev/core/estimator"

const (
	// minSampledTargets is how many targets of a service a zone has at least before a choice looks
	// at a sample of them first.
	minSampledTargets = 65
	// sampleSize is how many targets a sample holds. Where half of all are busy, one in 65,000
	// samples holds no idle one.
	sampleSize = 16
	// sampleLoadMargin is by how much more than an idle target's the load of a sampled one may be,
	// in requests a slot, for it to be taken: a tenth of what a caller waits for behind one
	// request.
	sampleLoadMargin = 0.1
)

// chooseSampled picks one of a sample of the own zone's targets if it is nearly idle, so that
// no other could be better by more than sampleLoadMargin; nil if all have to be looked at.
//
// Without it each new flow costs as much as its zone has targets of the service, most of
// which are idle in a large fleet.
func (s *Steerer) chooseSampled(c *placement, views []zoneView, constraint *connectionConstraint) *target {
	sameZone := s.targets.localCandidates(c.service)
	if constraint != nil || len(sameZone) < minSampledTargets {
		return nil
	}
	view := &views[sameZone[0].zone]
	limit := view.idleTargetLoad() + sampleLoadMargin
	if limit >= crossZonePenalty {
		return nil // Another zone may be better.
	}
	var best *target
	bestLoad := limit
	random := c.hash
	for range sampleSize {
		random = splitMix64(random)
		t := sameZone[random%uint64(len(sameZone))]
		if t == c.avoid || s.exclusionOf(t, views) != notExcluded || !s.warmUpAllows(t) {
			continue
		}
		if load := s.targetLoad(t, view, c.hash) + view.penalty(); load < bestLoad {
			best, bestLoad = t, load
		}
	}
	s.targets.entriesVisited += sampleSize
	return best
}

// idleTargetLoad is the load of an idle target of the zone, if nothing is known against it.
func (v *zoneView) idleTargetLoad() float64 {
	load := v.penalty()
	if v.slowness > 0 {
		load += min(estimator.Slowdown(v.slowness)-1, maxSlowdownPenalty)
	}
	return load
}

// splitMix64 turns a number into the next of a sequence that looks random (SplitMix64).
func splitMix64(state uint64) uint64 {
	state += 0x9e3779b97f4a7c15
	mixed := (state ^ state>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}
