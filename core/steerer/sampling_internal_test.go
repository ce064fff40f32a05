package steerer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Failure: each new flow costs as much as its zone has targets of the service.
func TestSamplingVisitsFewOfManyIdleTargets(t *testing.T) {
	s := hostWithTargets(12_000)
	for n := range uint64(100) {
		before := s.targets.entriesVisited
		require.NotNil(t, s.chooseTarget(placement{service: "ledger", hash: splitMix64(n)}))
		require.LessOrEqual(t, s.targets.entriesVisited-before, uint64(sampleSize))
	}
}

// Failure: a sample finds a target that leaves, or a busy one while most are idle.
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

// Failure: the least busy target is passed over because it is in no sample.
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

// Failure: samples favour some targets, which get a crowd of flows before anybody knows.
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
