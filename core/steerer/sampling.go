package steerer

import "cranberryspan.dev/core/estimator"

const (
	// sampledFrom is how many targets of a service a zone has at least before a choice looks
	// at a sample of them first.
	sampledFrom = 65
	// sampleSize is how many targets a sample holds. Where half of all are busy, one in 65,000
	// samples holds no idle one.
	sampleSize = 16
	// sampledLoad is by how much more than an idle target's the load of a sampled one may be,
	// in requests a slot, for it to be taken: a tenth of what a caller waits for behind one
	// request.
	sampledLoad = 0.1
)

// chooseSampled picks one of a sample of the own zone's targets if it is nearly idle, so that
// no other could be better by more than sampledLoad; nil if all have to be looked at.
//
// Without it each new flow costs as much as its zone has targets of the service, most of
// which are idle in a large fleet.
func (s *Steerer) chooseSampled(c *choice, views []zoneView, crowd *crowd) *target {
	near := s.targets.nearChoices(c.service)
	if crowd != nil || len(near) < sampledFrom {
		return nil
	}
	view := &views[near[0].zone]
	limit := view.idleLoad() + sampledLoad
	if limit >= otherZoneLoad {
		return nil // Another zone may be better.
	}
	var best *target
	bestLoad := limit
	draw := c.hash
	for range sampleSize {
		draw = nextDraw(draw)
		t := near[draw%uint64(len(near))]
		if t == c.avoid || s.excluded(t, views) != notExcluded || !s.admits(t) {
			continue
		}
		if load := s.load(t, view, c.hash) + view.load(); load < bestLoad {
			best, bestLoad = t, load
		}
	}
	s.targets.visits += sampleSize
	return best
}

// idleLoad is the load of an idle target of the zone, if nothing is known against it.
func (v *zoneView) idleLoad() float64 {
	load := v.load()
	if v.slowness > 0 {
		load += min(estimator.Slowdown(v.slowness)-1, maxSlowLoad)
	}
	return load
}

// nextDraw turns a number into the next of a sequence that looks random (SplitMix64).
func nextDraw(draw uint64) uint64 {
	draw += 0x9e3779b97f4a7c15
	mixed := (draw ^ draw>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}
