package steerer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cranberryspan.dev/core/sequencer"
	"github.com/stretchr/testify/require"
)

// fullSlotTotals adds up the slots of all candidates of a service by zone.
func fullSlotTotals(s *Steerer, service string) []microSlots {
	sum := make([]microSlots, len(s.targets.slotTotalsOf(service).byZone))
	for _, t := range s.targets.byService[service] {
		sum[t.zone] += s.usableSlots(t)
	}
	return sum
}

// Guards against refusing callers although there is capacity, or admitting them although there
// is none: totals that are updated incrementally must not miss a change.
func TestSlotTotalsFollowEachChange(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	s := New(Config{Self: "a1", AvailabilityZone: "a"})
	s.settings = NewSettings(1, nil, []Service{{Name: "ledger"}}, 15*time.Second)
	s.targetsPosition = sequencer.At(0, 1)
	for step := range uint64(2000) {
		s.now = s.now.Add(20 * time.Millisecond)
		applyRandomChange(s, random, sequencer.At(0, 2+step))
		got := s.updateSlotTotals("ledger").byZone
		require.Equal(t, fullSlotTotals(s, "ledger"), got, "step %d", step)
	}
}

// Guards against a cost per caller that grows with the number of targets in a large fleet:
// refreshing the capacity recounts a limited batch of targets.
func TestLargeServiceIsRecountedInBatches(t *testing.T) {
	s := hostWithTargets(12_000)
	s.updateSlotTotals("ledger")
	before := s.targets.entriesVisited
	s.targets.byID["i-10000005"].Draining = true
	s.targets.markForRecount(s.targets.byID["i-10000005"])
	sum := s.updateSlotTotals("ledger").byZone
	require.LessOrEqual(t, s.targets.entriesVisited-before, uint64(recountBatch))
	require.Equal(t, fullSlotTotals(s, "ledger"), sum)
}

// Guards against outdated contributions: targets that become cold, or warm, through time alone
// must be recounted, though no report mentions them.
func TestSlotTotalsFollowWarmUpWithinOneCycle(t *testing.T) {
	s := hostWithTargets(1_000)
	for _, one := range s.targets.byService["ledger"] {
		one.warmUpDeadline = s.now.Add(time.Second)
	}
	for range 1 + 1_000/recountBatch {
		s.updateSlotTotals("ledger")
	}
	require.Equal(t, fullSlotTotals(s, "ledger"), s.targets.slotTotalsOf("ledger").byZone)
	s.now = s.now.Add(2 * time.Second)
	for range 1 + 1_000/recountBatch {
		s.updateSlotTotals("ledger")
	}
	require.Equal(t, fullSlotTotals(s, "ledger"), s.targets.slotTotalsOf("ledger").byZone)
	require.Equal(t, 2_000*oneSlot, s.targets.slotTotalsOf("ledger").byZone[0])
}

// hostWithTargets is a host that knows some targets of the ledger in one zone.
func hostWithTargets(targets int) *Steerer {
	s := New(Config{Self: "a1", AvailabilityZone: "a", MaxFlows: 100_000})
	s.now = s.now.Add(time.Second)
	s.settings = NewSettings(1, nil, []Service{{Name: "ledger"}}, 15*time.Second)
	list := TargetList{Position: sequencer.At(0, 1)}
	for n := range targets {
		id := fmt.Sprintf("i-%08x", 0x10000000+n)
		number, _ := ParseTargetNumber(id)
		list.Targets = append(list.Targets, Target{ID: id, Number: number, Service: "ledger", AvailabilityZone: "a", Slots: 2})
	}
	s.applyTargetList(list)
	return s
}

// Guards against memory that grows with each replaced target: a host that places no flows
// never recounts slots, and must not keep removed targets for a recount.
func TestRemovedTargetsAreNotRecounted(t *testing.T) {
	s := hostWithTargets(10)
	before := len(s.targets.slotsStale)
	removed := s.targets.byID["i-10000005"]
	s.markMissing(removed, sequencer.At(0, 2), "test")
	s.targets.remove(removed)
	require.NotContains(t, s.targets.slotsStale, removed)
	require.Len(t, s.targets.slotsStale, before-1)
}
