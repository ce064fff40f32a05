package steerer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Symptom: a host counts hosts that are in another zone, or misses one. Sequence: hosts are
// heard of, tell their zones, and are forgotten, in any order. Cause: lists that differ
// from what is known of each.
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

// Symptom: holders of tickets for cold targets are those of a zone's hosts of long ago.
// Sequence: a host says that it leaves; nobody comes or goes. Cause: a change that is
// not counted.
func TestShutdownOfPeerChangesGeneration(t *testing.T) {
	zones, one := newPeerZones(), &peer{name: "h1"}
	zones.setZone(one, "a")
	before := zones.generation
	zones.setShuttingDown(one, false)
	require.Equal(t, before, zones.generation)
	zones.setShuttingDown(one, true)
	require.Greater(t, zones.generation, before)
}

// Symptom: flows go to another zone though the own one has idle targets. Sequence: targets
// come, go, and change their zones. Cause: choices in which those of the own zone do not
// come first.
func TestSameZoneTargetsComeFirst(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	choices := newTargetTable("b")
	for range 2000 {
		number := TargetNumber(random.IntN(30) + 1)
		id := fmt.Sprintf("i-%x", uint64(number))
		if known, ok := choices.byID[id]; ok && random.IntN(3) == 0 {
			choices.remove(known)
		} else {
			choices.upsert(Target{ID: id, Number: number, Service: "ledger", AvailabilityZone: string(rune('a' + random.IntN(3)))})
		}
		list := choices.byService["ledger"]
		require.Len(t, list, len(choices.byID))
		require.True(t, slices.IsSortedFunc(list, func(x, y *target) int { return otherZone(x) - otherZone(y) }))
	}
}

// otherZone is 1 for a target of another zone than b.
func otherZone(t *target) int {
	if t.AvailabilityZone == "b" {
		return 0
	}
	return 1
}
