package steerer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"cranberryspan.dev/core/sequencer"
	"github.com/stretchr/testify/require"
)

// Guards against an incremental digest that misses a change, which makes hosts with the same
// state consider each other outdated, or hosts with different states consider each other
// equal.
func TestDigestMatchesFullRecomputation(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	s := New(Config{Self: "a1", AvailabilityZone: "a"})
	s.targetsPosition = sequencer.At(0, 1)
	for step := range uint64(3000) {
		applyRandomChange(s, random, sequencer.At(0, 2+step))
		if random.IntN(3) == 0 {
			require.Equal(t, recomputeDigest(&s.targets), s.targets.digest(), "step %d", step)
		}
		sorted := slices.IsSortedFunc(s.targets.ordered(), func(x, y *target) int { return strings.Compare(x.ID, y.ID) })
		require.True(t, sorted)
		require.Len(t, s.targets.ordered(), len(s.targets.byID))
	}
}

// applyRandomChange adds, changes or removes one of 40 targets, as read at a position.
func applyRandomChange(s *Steerer, random *rand.Rand, seen sequencer.Position) {
	id := fmt.Sprintf("i-%08x", 0x10000000+random.IntN(40))
	number, _ := ParseTargetNumber(id)
	known := s.targets.byID[id]
	switch random.IntN(4) {
	case 0:
		if known != nil && !known.missing {
			s.markMissing(known, seen, "test")
		}
	case 1:
		if known != nil && known.missing {
			s.targets.remove(known)
		}
	default:
		zone := string(rune('a' + random.IntN(3)))
		record := Target{ID: id, Number: number, Service: "ledger", AvailabilityZone: zone, Slots: 2, Draining: random.IntN(2) == 0, Incarnation: int64(random.IntN(3))}
		s.applyTarget(record, seen, "test")
	}
}

// recomputeDigest computes the digest of a table from all of its targets.
func recomputeDigest(t *targetTable) uint64 {
	sum := uint64(0)
	for _, one := range t.byID {
		sum += one.stateDigest()
	}
	return sum
}

// Guards against hosts that have the same state up to a position but disagree on its digest
// because one of them has learned of later changes.
func TestDigestAtExcludesLaterChanges(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 4))
	s := New(Config{Self: "a1", AvailabilityZone: "a"})
	s.targetsPosition = sequencer.At(0, 1)
	digests := []uint64{0, s.targets.digest()}
	for step := range uint64(2 * maxHistoryEntries) {
		applyRandomChange(s, random, sequencer.At(0, 2+step))
		digests = append(digests, s.targets.digest())
		position := sequencer.At(0, 1+random.Uint64N(2+step))
		got, known := s.targets.digestAt(position)
		if known {
			require.Equal(t, digests[position.Revision], got, "step %d, %s", step, position)
		}
		require.Equal(t, !position.Before(s.targets.history.completeSince), known)
	}
}
