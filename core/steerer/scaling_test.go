package steerer_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// measuredSeconds is for how long the hosts of different fleets are compared.
const measuredSeconds = 10

// countVisits is how many entries of its lists of targets and of hosts a host goes through that
// carries some flows while targets change.
func countVisits(l largeFleet) (targets, hosts uint64) {
	h, f := newLargeHost(l), &fleet{}
	h.runSecond(f, 20, 3)
	targetsBefore, hostsBefore := h.steerer.Visits()
	for range measuredSeconds {
		h.runSecond(f, 20, 3)
	}
	targets, hosts = h.steerer.Visits()
	return targets - targetsBefore, hosts - hostsBefore
}

// Failure: a host of a large fleet has no processor time left for packets, because each
// packet, report or tick goes through all targets or all hosts.
func TestCostPerSecondDoesNotGrowWithFleet(t *testing.T) {
	small, large := largeFleets[1], largeFleets[3]
	smallTargets, smallHosts := countVisits(small)
	largeTargets, largeHosts := countVisits(large)
	t.Logf("targets %d, %d; hosts %d, %d", smallTargets, largeTargets, smallHosts, largeHosts)
	require.LessOrEqual(t, float64(largeTargets), 1.1*float64(smallTargets))
	// All hosts are counted some times a second, whatever comes.
	const looks = 12
	require.LessOrEqual(t, largeHosts-smallHosts, uint64(measuredSeconds*looks*(large.hosts-small.hosts)))
}
