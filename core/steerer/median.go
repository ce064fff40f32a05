package steerer

import (
	"time"

	"cranberryspan.dev/core/estimator"
)

const (
	// minMedianSamples is how many answers of a route are needed to know what is usual.
	minMedianSamples = 20
	// medianStep is how far each time moves what is taken for usual, as a part of it,
	// once many have come; the first ones move it further. It comes to rest at the
	// median. A crowd of a second or two, with a hundred late answers, must not make
	// the ordinary ones after it look quick.
	medianStep = 0.003
	// distortedMedianStep is that part while a service is asked for more than it can do, or if the
	// target is slow: an overload of some seconds moves the estimate by a tenth at the most.
	distortedMedianStep = medianStep / 10
	// minMedian keeps the estimate from zero, from which no step leads away.
	minMedian = 100 * time.Microsecond
)

// medianEstimator estimates the median of times that come one after another: until a
// route's answers, or until flows open.
type medianEstimator struct {
	median time.Duration
	// samples counts the times that came.
	samples int
	// fromRequestEnd estimates the same from the end of a request on, for a route's answers; nil for
	// other times.
	fromRequestEnd *medianEstimator
}

// known reports whether enough times have come to know what is usual.
func (u *medianEstimator) known() bool { return u.samples >= minMedianSamples }

// implausiblyFast reports whether no work can have been done in a time.
func (u *medianEstimator) implausiblyFast(took time.Duration) bool {
	return u.known() && estimator.ImplausiblyFast(took, u.median)
}

// add takes in a time. One that came while targets were full or slow says less of what is
// usual, but not nothing: work may have become slower for good. Until enough have come each
// counts as much as any other.
//
// What goes wrong otherwise: a host starts in a crowd, its first answer has waited, and no
// later one leads away from it for minutes.
func (u *medianEstimator) add(took time.Duration, doubtful bool) {
	u.samples++
	step := 1 + max(medianStep, 1/float64(u.samples))
	if doubtful && u.known() {
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
