package steerer

import "cranberryspan.dev/core/estimator"

const (
	// minSampledTargets is how many targets of a service the local zone must have for a
	// placement to try a sample of them first.
	minSampledTargets = 65
	// sampleSize is the number of targets in a sample. If half of all targets are loaded,
	// one in 65,000 samples contains no idle target.
	sampleSize = 16
	// sampleLoadMargin is how far the load of a sampled target may exceed that of an idle
	// one, in requests per slot, for it to be chosen: a tenth of the delay behind one
	// request.
	sampleLoadMargin = 0.1
)

// chooseSampled picks a nearly idle target from a sample of the local zone's targets, so
// that no other target could be better by more than sampleLoadMargin; nil if all targets
// have to be compared.
//
// Without this, the cost of each new flow grows with the number of targets of the service
// in its zone, most of which are idle in a large fleet.
func (s *Steerer) chooseSampled(c *placement, views []zoneView, constraint *connectionConstraint) *target {
	sameZone := s.targets.localCandidates(c.service)
	if constraint != nil || len(sameZone) < minSampledTargets {
		return nil
	}
	view := &views[sameZone[0].zone]
	limit := view.idleTargetLoad() + sampleLoadMargin
	if limit >= crossZonePenalty {
		return nil // A target in another zone may be better.
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

// idleTargetLoad returns the load of an idle target of the zone without penalties of its
// own.
func (v *zoneView) idleTargetLoad() float64 {
	load := v.penalty()
	if v.logSlowdown > 0 {
		load += min(estimator.Slowdown(v.logSlowdown)-1, maxSlowdownPenalty)
	}
	return load
}

// splitMix64 returns the next number of a pseudo-random sequence (SplitMix64).
func splitMix64(state uint64) uint64 {
	state += 0x9e3779b97f4a7c15
	mixed := (state ^ state>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}
