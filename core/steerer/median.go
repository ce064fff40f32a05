package steerer

import (
	"time"

	"cranberryspan.dev/core/estimator"
)

const (
	// minMedianSamples is how many samples are needed before the median is known.
	minMedianSamples = 20
	// medianStep is the fraction by which each sample moves the median once there are many
	// samples; the first ones move it further. The estimate settles at the median. A load
	// peak of one or two seconds, with a hundred late responses, must not make normal
	// responses after it look implausibly fast.
	medianStep = 0.003
	// distortedMedianStep is the step for samples that queueing or a slow target may have
	// distorted: an overload of several seconds moves the estimate by at most a tenth.
	distortedMedianStep = medianStep / 10
	// minMedian keeps the estimate above zero, from which no relative step could raise it.
	minMedian = 100 * time.Microsecond
)

// medianEstimator estimates the running median of durations: of the latency or processing time
// of a route's requests, or of the handshakes of flows.
type medianEstimator struct {
	median time.Duration
	// samples counts the durations added.
	samples int
	// fromRequestEnd estimates a route's latency from the end of the request, while median is
	// the latency from its beginning; nil for other durations.
	fromRequestEnd *medianEstimator
}

// known reports whether there are enough samples for the median to be known.
func (u *medianEstimator) known() bool { return u.samples >= minMedianSamples }

// implausiblyFast reports whether a response came too fast for the request to have been
// processed.
func (u *medianEstimator) implausiblyFast(took time.Duration) bool {
	return u.known() && estimator.ImplausiblyFast(took, u.median)
}

// add adds a sample. Samples that queueing or a slow target may have distorted have less
// weight, but some: requests may have become slower permanently.
//
// Until there are enough samples, distorted ones have the same weight. Otherwise, when a host
// starts during a load peak, its first response is a queued one, and later samples do not
// correct the estimate for minutes.
func (u *medianEstimator) add(took time.Duration, distorted bool) {
	u.samples++
	step := 1 + max(medianStep, 1/float64(u.samples))
	if distorted && u.known() {
		step = 1 + distortedMedianStep
	}
	switch {
	case u.samples == 1:
		u.median = max(took, minMedian)
	case took > u.median:
		u.median = time.Duration(float64(u.median) * step)
	default:
		u.median = time.Duration(float64(u.median) / step)
	}
}
