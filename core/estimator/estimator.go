// Package estimator estimates from response times alone how much slower than its baseline a
// target, or a whole zone of a service, handles requests.
//
// Targets of one service differ in speed, and the speed of each target changes over time: other
// processes compete for its processor, its disk fails, or a new version does more work per
// request. A target that takes five times as long has a fifth of the throughput, but its number
// of requests in flight shows this only once its queue is full. In a large zone one host sends
// a given target at most about one request per second, so no host can detect a slow target
// alone. Moreover, a response may be late because the host that waits for it is slow, or
// because all requests have become more expensive; then no target is at fault, and there is no
// better one to choose.
//
// Each response gives one sample, its log slowdown: log2 of the response time relative to the
// expected time, which accounts for the baseline of the route and for the wait behind requests
// that were already in flight at the target. A Zone takes the lower quartile of the samples as
// the slowdown that all responses to a host share, whether the zone or the host causes it. The
// rest is attributed to the target (Target), as a mean over about the last second of this
// host's samples and those that other hosts of the zone report. A few prior samples at the
// baseline damp that mean. A request that has waited longer than expected gives a sample before
// its response arrives, since a target that hangs sends no responses.
//
// A target that is estimated to be slow still gets occasional trial requests, so that a target
// that has recovered can be distinguished from one that just gets no requests. TrialLimiter
// and the schedule of each Target limit their rate.
//
// The package does no I/O and reads no clock: the current time is passed in.
package estimator

import (
	"math"
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// sampleDecayTime is the time in which the weight of a sample decays to about a third
	// (1/e). It is short enough for a recovered target to get its share of flows back within
	// two seconds.
	sampleDecayTime = time.Second
	// priorSamples is the number of samples at the baseline that are added to the mean of each
	// target, so that a single late response does not make the target slow. A slow target gets
	// few requests, and their samples have to keep it slow, so it has only slowPriorSamples.
	priorSamples     = 4.0
	slowPriorSamples = 1.0
	// slowThreshold is the log slowdown above which a target becomes slow: 1.7 times the
	// baseline, which the normal variance of request durations rarely reaches. A slow target
	// recovers at recoveryThreshold, 1.3 times the baseline. With a single threshold its state
	// could change with each response.
	slowThreshold     = 0.75
	recoveryThreshold = 0.4
	// maxLogSlowdown and minLogSlowdown clamp the log slowdown of one sample: a single response
	// that takes a hundred times as long says little about the next ones.
	maxLogSlowdown = 3.0
	minLogSlowdown = -1.0
	// maxSlowdown limits the combined slowdown of a target and its zone, as a multiple of the
	// baseline.
	maxSlowdown = 16.0
	// negligibleWeight is the weight, in samples, below which a sum of samples is discarded.
	negligibleWeight = 0.05
)

// LogSlowdown returns log2 of the elapsed time relative to the expected time, which is the
// baseline times queueingFactor (see QueueingFactor). The result is clamped to between
// minLogSlowdown and maxLogSlowdown, and is 0 if either time is unknown.
func LogSlowdown(elapsed, baseline time.Duration, queueingFactor float64) float64 {
	if elapsed <= 0 || baseline <= 0 {
		return 0
	}
	ratio := float64(elapsed) / (float64(baseline) * max(queueingFactor, 1))
	return min(max(math.Log2(ratio), minLogSlowdown), maxLogSlowdown)
}

// QueueingFactor returns the expected latency, as a multiple of the baseline, of a request to a
// target that already has inFlight requests: a request that finds no free slot waits for one.
// The factor is at least 1.
func QueueingFactor(inFlight, slots int) float64 {
	slots = max(slots, 1)
	return 1 + max(float64(inFlight+1-slots), 0)/float64(slots)
}

// Slowdown converts a log slowdown to a multiple of the baseline, at most maxSlowdown.
func Slowdown(logSlowdown float64) float64 { return min(math.Exp2(logSlowdown), maxSlowdown) }

// decayingSum is a sum of samples whose weights decay exponentially.
type decayingSum struct {
	// weight is the total weight of the samples, in samples, and logSlowdown the weighted sum
	// of their log slowdowns.
	weight      float64
	logSlowdown float64
	// decayedAt is the time up to which the decay has been applied.
	decayedAt timekeeper.Instant
}

// decay applies the decay up to now.
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

// add adds samples of the given total weight and mean log slowdown.
func (s *decayingSum) add(mean, weight float64, now timekeeper.Instant) {
	s.decay(now)
	s.weight += weight
	s.logSlowdown += mean * weight
}

// remove subtracts what is left of a sum that was added earlier.
func (s *decayingSum) remove(other decayingSum, now timekeeper.Instant) {
	s.decay(now)
	other.decay(now)
	s.weight = max(s.weight-other.weight, 0)
	s.logSlowdown -= other.logSlowdown
	if s.weight < negligibleWeight {
		s.weight, s.logSlowdown = 0, 0
	}
}
