// Package estimator tells how much longer than usual a target, or a whole zone of a
// service, takes for a request, from answers alone.
//
// The pattern: targets of one service are not equally fast, and the same target is not at
// all times: a neighbour takes its processor, its disk fails, a new version is heavier. A
// target that takes five times as long does a fifth of the work, and counts of requests
// under way show that only once its queue is full. In a large zone one host meets one
// target once a second or less, so none learns it alone. And an answer may be late
// through the host that waits for it, or because all work became heavier: then nobody is
// to blame, and there is no better place.
//
// The answer: each answer gives the binary logarithm of its time as a multiple of what was
// expected, which is the route's usual time and the wait for what the target had under
// way. Of that a Zone keeps the quick quarter: what slows all of a host's answers down,
// the zone or the host, is in it. The rest is the target's own (Target): a mean of the
// last second that a few samples at the usual hold back, of this host's answers and of
// those that the zone's other hosts tell. A request that waits for longer than expected
// counts before it is answered, since a target that hangs gives no answers.
//
// A target that is believed slow is still asked: Trials bounds how often, and tells a
// target that has recovered from one that nobody asks.
//
// The package knows no network and no clock.
package estimator

import (
	"math"
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// memory is the time in which a sample loses all but a third of its weight. Callers
	// are to have a recovered target back within two seconds.
	memory = time.Second
	// priorSamples at the usual hold a target's mean back, and fewer of them once it has
	// been found slow: then the trials that are left have to keep what was learned.
	priorSamples     = 4.0
	slowPriorSamples = 1.0
	// slowAbove is the logarithm from which a target is slow: 1.7 times the usual. Times of
	// work that spread by half, over four samples or more, reach it by chance once in some
	// hundred times, and a host that is itself slow tells of 1.4 times. It is quick again
	// below quickBelow.
	slowAbove  = 0.75
	quickBelow = 0.4
	// mostExcess and leastExcess bound one sample: a single answer that takes a hundred
	// times as long is about itself.
	mostExcess  = 3.0
	leastExcess = -1.0
	// mostFactor bounds what is believed of a target and its zone together.
	mostFactor = 16.0
	// negligible is a weight at which what a host has seen is forgotten.
	negligible = 0.05
)

// Excess is the binary logarithm of a time as a multiple of what was expected: the usual
// time for a request, times wait for what the target had under way.
func Excess(took, usual time.Duration, wait float64) float64 {
	if took <= 0 || usual <= 0 {
		return 0
	}
	ratio := float64(took) / (float64(usual) * max(wait, 1))
	return min(max(math.Log2(ratio), leastExcess), mostExcess)
}

// Wait is how many times its usual a request takes at a target that has others under way
// when it comes: those that find no free slot are worked on one after the other.
func Wait(underWay, slots int) float64 {
	slots = max(slots, 1)
	return 1 + max(float64(underWay+1-slots), 0)/float64(slots)
}

// Factor turns logarithms into a multiple of the usual.
func Factor(excess float64) float64 { return min(math.Exp2(excess), mostFactor) }

// sum is samples that lose weight over time.
type sum struct {
	weight float64
	excess float64
	at     timekeeper.Instant
}

// decay brings a sum up to a moment.
func (s *sum) decay(now timekeeper.Instant) {
	if now <= s.at {
		return
	}
	kept := 0.0
	if s.weight > 0 {
		kept = math.Exp(-float64(now.Since(s.at)) / float64(memory))
	}
	s.weight *= kept
	s.excess *= kept
	s.at = now
}

// add adds samples of one mean.
func (s *sum) add(mean, weight float64, now timekeeper.Instant) {
	s.decay(now)
	s.weight += weight
	s.excess += mean * weight
}

// remove takes out what is left of a sum.
func (s *sum) remove(other sum, now timekeeper.Instant) {
	s.decay(now)
	other.decay(now)
	s.weight = max(s.weight-other.weight, 0)
	s.excess -= other.excess
	if s.weight < negligible {
		s.weight, s.excess = 0, 0
	}
}
