package steerer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Symptom: a host that starts in a crowd takes work for ten times as long as it is, for
// minutes. Sequence: its first answer has waited; all that follow come while more than half
// of the room is asked for. Cause: small steps from a first time that says nothing.
func TestFirstSampleUnderLoadDoesNotDominateMedian(t *testing.T) {
	var u medianEstimator
	u.add(400*time.Millisecond, true)
	for range minMedianSamples - 1 {
		u.add(50*time.Millisecond, true)
	}
	require.True(t, u.known())
	require.Less(t, u.median, 100*time.Millisecond)
}

// Load: a crowd of six seconds at 50 late answers a second. What is known by then stays.
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
