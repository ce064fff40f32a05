package steerer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Failure: each new flow costs as much as its zone has targets of the service.
func TestChoiceAmongManyIdleTargetsLooksAtFew(t *testing.T) {
	s := serviceOf(12_000)
	for n := range uint64(100) {
		before := s.targets.visits
		require.NotNil(t, s.choose(choice{service: "ledger", hash: nextDraw(n)}))
		require.LessOrEqual(t, s.targets.visits-before, uint64(sampleSize))
	}
}

// Failure: a sample finds a target that leaves, or a busy one while most are idle.
func TestSampledTargetsAreAsGoodAsAny(t *testing.T) {
	s := serviceOf(1_000)
	for n, one := range s.targets.byService["ledger"] {
		switch n % 4 {
		case 0:
			one.Draining = true
		case 1:
			one.busy = 1
		}
	}
	for n := range uint64(2_000) {
		to := s.choose(choice{service: "ledger", hash: nextDraw(n)})
		require.False(t, to.Draining)
		require.Zero(t, to.busy)
	}
}

// Failure: the least busy target is passed over because it is in no sample.
func TestAllTargetsAreLookedAtWhereSampledOnesAreBusy(t *testing.T) {
	s := serviceOf(1_000)
	all := s.targets.byService["ledger"]
	for _, one := range all {
		one.busy = 2
	}
	all[700].busy = 1
	for n := range uint64(50) {
		require.Equal(t, all[700].ID, s.choose(choice{service: "ledger", hash: nextDraw(n)}).ID)
	}
}

// Failure: samples favour some targets, which get a crowd of flows before anybody knows.
func TestSamplesSpreadFlowsEvenly(t *testing.T) {
	s := serviceOf(200)
	chosen := map[string]int{}
	for n := range uint64(40_000) {
		chosen[s.choose(choice{service: "ledger", hash: nextDraw(n)}).ID]++
	}
	require.Len(t, chosen, 200)
	for id, count := range chosen {
		require.InDelta(t, 200, count, 75, id)
	}
}
