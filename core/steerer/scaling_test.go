package steerer_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// measuredSeconds is for how long the hosts of different fleets are compared.
const measuredSeconds = 10

// countVisits returns how many entries of its lists of targets and of hosts a host visits
// while it handles some flows and targets change.
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

// Guards against a loop over all targets or all hosts for each packet, report or tick, which
// leaves a host of a large fleet no processor time for packets.
func TestCostPerSecondDoesNotGrowWithFleet(t *testing.T) {
	small, large := largeFleets[1], largeFleets[3]
	smallTargets, smallHosts := countVisits(small)
	largeTargets, largeHosts := countVisits(large)
	t.Logf("targets %d, %d; hosts %d, %d", smallTargets, largeTargets, smallHosts, largeHosts)
	require.LessOrEqual(t, float64(largeTargets), 1.1*float64(smallTargets))
	// All hosts are counted a few times a second, regardless of events.
	const countsPerSecond = 12
	require.LessOrEqual(t, largeHosts-smallHosts, uint64(measuredSeconds*countsPerSecond*(large.hosts-small.hosts)))
}
