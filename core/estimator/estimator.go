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
	// sampleDecayTime is the time in which a sample loses all but a third of its weight. Callers
	// are to have a recovered target back within two seconds.
	sampleDecayTime = time.Second
	// priorSamples is how many samples at the usual count towards the mean of each target,
	// so that one late answer makes no target slow. A slow target gets few requests, whose
	// samples have to keep it slow: for it slowPriorSamples count.
	priorSamples     = 4.0
	slowPriorSamples = 1.0
	// slowThreshold is the binary logarithm above which a target is slow: 1.7 times the usual,
	// which requests that take unequally long rarely reach by chance. A slow target is usual
	// again at recoveryThreshold, 1.3 times: with one bound it would turn with each answer.
	slowThreshold     = 0.75
	recoveryThreshold = 0.4
	// maxLogSlowdown and minLogSlowdown bound one sample, a binary logarithm: a single answer that
	// takes a hundred times as long says little of the next ones.
	maxLogSlowdown = 3.0
	minLogSlowdown = -1.0
	// maxSlowdown bounds what is believed of a target and its zone together, as a multiple of
	// the usual.
	maxSlowdown = 16.0
	// negligibleWeight is the weight, in samples, below which what was seen is forgotten.
	negligibleWeight = 0.05
)

// LogSlowdown is the binary logarithm of a time as a multiple of what was expected: the usual
// time for a request times wait (see Wait). It is within minLogSlowdown and maxLogSlowdown, and 0 if
// a time is not known.
func LogSlowdown(elapsed, baseline time.Duration, queueingFactor float64) float64 {
	if elapsed <= 0 || baseline <= 0 {
		return 0
	}
	ratio := float64(elapsed) / (float64(baseline) * max(queueingFactor, 1))
	return min(max(math.Log2(ratio), minLogSlowdown), maxLogSlowdown)
}

// QueueingFactor is how many times its usual a request takes at a target that has others under way
// when it comes, 1 at the least: requests that find no free slot wait for one.
func QueueingFactor(inFlight, slots int) float64 {
	slots = max(slots, 1)
	return 1 + max(float64(inFlight+1-slots), 0)/float64(slots)
}

// Slowdown turns a binary logarithm into a multiple of the usual, at most maxSlowdown.
func Slowdown(logSlowdown float64) float64 { return min(math.Exp2(logSlowdown), maxSlowdown) }

// decayingSum adds up samples that lose weight over time.
type decayingSum struct {
	// weight is how many samples count, excess the sum of their binary logarithms.
	weight      float64
	logSlowdown float64
	// decayedAt is up to when they have lost weight.
	decayedAt timekeeper.Instant
}

// decay takes away the weight that samples have lost up to a moment.
func (s *decayingSum) decay(now timekeeper.Instant) {
	if now <= s.decayedAt {
		return
	}
	remaining := 0.0
	if s.weight > 0 {
		remaining = math.Exp(-float64(now.Since(s.decayedAt)) / float64(sampleDecayTime))
	}
	s.weight *= remaining
	s.logSlowdown *= remaining
	s.decayedAt = now
}

// add adds a number of samples by their mean, a binary logarithm.
func (s *decayingSum) add(mean, weight float64, now timekeeper.Instant) {
	s.decay(now)
	s.weight += weight
	s.logSlowdown += mean * weight
}

// remove takes out what is left of a sum that was added before.
func (s *decayingSum) remove(other decayingSum, now timekeeper.Instant) {
	s.decay(now)
	other.decay(now)
	s.weight = max(s.weight-other.weight, 0)
	s.logSlowdown -= other.logSlowdown
	if s.weight < negligibleWeight {
		s.weight, s.logSlowdown = 0, 0
	}
}
