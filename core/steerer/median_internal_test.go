package steerer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a host that starts during a load peak assuming ten times the actual
// latency for minutes: when the first response was queued, and all later ones come while
// more than half of the capacity is in demand, the first samples must not move the median
// by small steps only.
func TestFirstSampleUnderLoadDoesNotDominateMedian(t *testing.T) {
	var u medianEstimator
	u.add(400*time.Millisecond, true)
	for range minMedianSamples - 1 {
		u.add(50*time.Millisecond, true)
	}
	require.True(t, u.known())
	require.Less(t, u.median, 100*time.Millisecond)
}

// A load peak of six seconds, with 50 late responses a second, barely moves a known median.
func TestLoadPeakBarelyMovesMedian(t *testing.T) {
	var u medianEstimator
	for range 500 {
		u.add(50*time.Millisecond, false)
	}
	for range 300 {
		u.add(400*time.Millisecond, true)
	}
	require.InDelta(t, 50, u.median.Milliseconds(), 6)
}
