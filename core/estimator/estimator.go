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
	// priorSamples is how many samples at the usual count towards the mean of each target,
	// so that one late answer makes no target slow. A slow target gets few requests, whose
	// samples have to keep it slow: for it slowPriorSamples count.
	priorSamples     = 4.0
	slowPriorSamples = 1.0
	// slowAbove is the binary logarithm above which a target is slow: 1.7 times the usual,
	// which requests that take unequally long rarely reach by chance. A slow target is usual
	// again at quickBelow, 1.3 times: with one bound it would turn with each answer.
	slowAbove  = 0.75
	quickBelow = 0.4
	// mostExcess and leastExcess bound one sample, a binary logarithm: a single answer that
	// takes a hundred times as long says little of the next ones.
	mostExcess  = 3.0
	leastExcess = -1.0
	// mostFactor bounds what is believed of a target and its zone together, as a multiple of
	// the usual.
	mostFactor = 16.0
	// negligible is the weight, in samples, below which what was seen is forgotten.
	negligible = 0.05
)

// Excess is the binary logarithm of a time as a multiple of what was expected: the usual
// time for a request times wait (see Wait). It is within leastExcess and mostExcess, and 0 if
// a time is not known.
func Excess(took, usual time.Duration, wait float64) float64 {
	if took <= 0 || usual <= 0 {
		return 0
	}
	ratio := float64(took) / (float64(usual) * max(wait, 1))
	return min(max(math.Log2(ratio), leastExcess), mostExcess)
}

// Wait is how many times its usual a request takes at a target that has others under way
// when it comes, 1 at the least: requests that find no free slot wait for one.
func Wait(underWay, slots int) float64 {
	slots = max(slots, 1)
	return 1 + max(float64(underWay+1-slots), 0)/float64(slots)
}

// Factor turns a binary logarithm into a multiple of the usual, at most mostFactor.
func Factor(excess float64) float64 { return min(math.Exp2(excess), mostFactor) }

// sum adds up samples that lose weight over time.
type sum struct {
	// weight is how many samples count, excess the sum of their binary logarithms.
	weight float64
	excess float64
	// at is up to when they have lost weight.
	at timekeeper.Instant
}

// decay takes away the weight that samples have lost up to a moment.
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

// add adds a number of samples by their mean, a binary logarithm.
func (s *sum) add(mean, weight float64, now timekeeper.Instant) {
	s.decay(now)
	s.weight += weight
	s.excess += mean * weight
}

// remove takes out what is left of a sum that was added before.
func (s *sum) remove(other sum, now timekeeper.Instant) {
	s.decay(now)
	other.decay(now)
	s.weight = max(s.weight-other.weight, 0)
	s.excess -= other.excess
	if s.weight < negligible {
		s.weight, s.excess = 0, 0
	}
}
