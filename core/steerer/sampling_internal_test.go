package steerer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against the cost of each new flow growing with the number of targets of the
// service in its zone.
func TestSamplingVisitsFewOfManyIdleTargets(t *testing.T) {
	s := hostWithTargets(12_000)
	for n := range uint64(100) {
		before := s.targets.entriesVisited
		require.NotNil(t, s.chooseTarget(placement{service: "ledger", hash: splitMix64(n)}))
		require.LessOrEqual(t, s.targets.entriesVisited-before, uint64(sampleSize))
	}
}

// Guards against sampling that picks a draining target, or a loaded one while most are
// idle.
func TestSamplingPicksIdleTargets(t *testing.T) {
	s := hostWithTargets(1_000)
	for n, one := range s.targets.byService["ledger"] {
		switch n % 4 {
		case 0:
			one.Draining = true
		case 1:
			one.pendingRequests = 1
		}
	}
	for n := range uint64(2_000) {
		to := s.chooseTarget(placement{service: "ledger", hash: splitMix64(n)})
		require.False(t, to.Draining)
		require.Zero(t, to.pendingRequests)
	}
}

// Guards against missing the least loaded target because it is in no sample.
func TestAllTargetsAreScannedWhenSampledTargetsAreBusy(t *testing.T) {
	s := hostWithTargets(1_000)
	all := s.targets.byService["ledger"]
	for _, one := range all {
		one.pendingRequests = 2
	}
	all[700].pendingRequests = 1
	for n := range uint64(50) {
		require.Equal(t, all[700].ID, s.chooseTarget(placement{service: "ledger", hash: splitMix64(n)}).ID)
	}
}

// Guards against biased samples, which would place a burst of flows on some targets before
// other hosts know of it.
func TestSamplesSpreadFlowsEvenly(t *testing.T) {
	s := hostWithTargets(200)
	chosen := map[string]int{}
	for n := range uint64(40_000) {
		chosen[s.chooseTarget(placement{service: "ledger", hash: splitMix64(n)}).ID]++
	}
	require.Len(t, chosen, 200)
	for id, count := range chosen {
		require.InDelta(t, 200, count, 75, id)
	}
}
