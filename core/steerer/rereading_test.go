package steerer_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"cranberryspan.dev/core/evacuator"
	"cranberryspan.dev/core/sequencer"
	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

// listAt is what the platform holds, as of a position.
func (f *fleet) listAt(p sequencer.Position) steerer.TargetList {
	l := steerer.TargetList{Position: p}
	for _, id := range slices.Sorted(maps.Keys(f.targets)) {
		l.Targets = append(l.Targets, f.targets[id])
	}
	return l
}

// Symptom: all hosts list what a restore has undone, and confirm it, for as long as the
// revision is below the old one. Sequence: a host starts after the restore, and its first
// answer is from before it. Cause: contents of the ended era under the header of the new
// one, which pass for the latest of it.
func TestFirstAnswerFromBeforeARestoreConvincesNobody(t *testing.T) {
	f := newEraFleet(t, 2)
	before := f.backup()
	f.addTarget("i-10000009", "ledger", "a")
	f.revision += 500
	f.step(2 * time.Second)
	stale := f.listAt(sequencer.At(4, f.revision)) // contents of era 3 under the header of 4
	f.restore(before)
	f.turnedAway["a1"] = true
	f.kill("a1")
	f.start("a1")
	f.reduce("a1", &steerer.TargetsRead{Started: f.now, MayBeStale: true, List: stale})
	f.turnedAway["a1"] = false
	f.drain(drained)
	f.step(10 * time.Second)
	f.requireAll(drained, true, true)
}

// Symptom: an order ends on all hosts that nobody has taken back. Sequence: as above, for
// what operators write. Cause: as above.
func TestFirstOrdersFromBeforeARestoreEndNoOrder(t *testing.T) {
	f := newEraFleet(t, 2, 1)
	before := f.backup()
	f.revision += 500
	f.step(2 * time.Second)
	old := f.revision
	f.restore(before)
	f.evacuate("b")
	f.step(3 * time.Second)
	require.Equal(t, []string{"b"}, f.knowledge("a2").Evacuated)
	f.kill("a1")
	f.start("a1")
	f.reduce("a1", &steerer.SettingsRead{Started: f.now, MayBeStale: true, Published: steerer.Published{
		Settings: f.settings, Orders: evacuator.Orders{Position: sequencer.At(4, old)},
	}})
	f.step(5 * time.Second)
	for _, name := range f.names {
		require.Equal(t, []string{"b"}, f.knowledge(name).Evacuated, name)
	}
}
