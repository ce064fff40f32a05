package steerer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against lists by zone that differ from the hosts' own records, so that a host counts
// hosts of another zone or misses one, when hosts are added, report their zones and are
// dropped in any order.
func TestPeerZonesMatchPeers(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	zones, all := newPeerZones(), []*peer{}
	for n := range 40 {
		all = append(all, &peer{name: fmt.Sprintf("h%d", n)})
	}
	for range 2000 {
		zones.setZone(all[random.IntN(len(all))], []string{"", "a", "b", "c"}[random.IntN(4)])
		for _, zone := range []string{"a", "b", "c"} {
			want := slices.DeleteFunc(slices.Clone(all), func(p *peer) bool { return p.zone != zone })
			slices.SortFunc(want, func(x, y *peer) int { return strings.Compare(x.name, y.name) })
			require.Equal(t, len(want), len(zones.hosts(zone)))
			require.True(t, slices.Equal(want, zones.hosts(zone)))
		}
	}
}

// Guards against a shutdown that does not change the generation, so that tickets for cold
// targets stay assigned to hosts that are shutting down.
func TestShutdownOfPeerChangesGeneration(t *testing.T) {
	zones, one := newPeerZones(), &peer{name: "h1"}
	zones.setZone(one, "a")
	before := zones.generation
	zones.setShuttingDown(one, false)
	require.Equal(t, before, zones.generation)
	zones.setShuttingDown(one, true)
	require.Greater(t, zones.generation, before)
}

// Guards against target lists in which targets of the same zone do not come first, so that
// flows go to another zone although the local zone has idle targets, when targets are added,
// removed and change their zones.
func TestSameZoneTargetsComeFirst(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	table := newTargetTable("b")
	for range 2000 {
		number := TargetNumber(random.IntN(30) + 1)
		id := fmt.Sprintf("i-%x", uint64(number))
		if known, ok := table.byID[id]; ok && random.IntN(3) == 0 {
			table.remove(known)
		} else {
			table.upsert(Target{ID: id, Number: number, Service: "ledger", AvailabilityZone: string(rune('a' + random.IntN(3)))})
		}
		list := table.byService["ledger"]
		require.Len(t, list, len(table.byID))
		require.True(t, slices.IsSortedFunc(list, func(x, y *target) int { return zoneRank(x) - zoneRank(y) }))
	}
}

// zoneRank returns 1 for a target of another zone than b.
func zoneRank(t *target) int {
	if t.AvailabilityZone == "b" {
		return 0
	}
	return 1
}
