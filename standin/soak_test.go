package main

import (
	"cmp"
	"context"
	"path/filepath"
	"testing"
	"time"

	"cranberryspan.dev/standin/internal/asker"
	"cranberryspan.dev/standin/internal/soaker"
	"github.com/stretchr/testify/require"
)

// soakOnce runs real hosts under faults and demands that every promise holds.
func soakOnce(t *testing.T, config soaker.Config) soaker.Report {
	t.Helper()
	dir, err := binaries()
	require.NoError(t, err)
	config.Program = filepath.Join(dir, "balancer")
	if config.Zones == nil {
		config.Zones = []int{2, 2}
	}
	config.Callers, config.Targets = cmp.Or(config.Callers, 3), cmp.Or(config.Targets, 6)
	if config.Gap == 0 {
		config.Gap = 600 * time.Millisecond
	}
	report, err := soaker.Run(context.Background(), config)
	require.NoError(t, err)
	require.Empty(t, report.Problems, "%s", report)
	require.NotZero(t, report.Outcomes[asker.OutcomeAnswered])
	return report
}

// A calm run: every attempt is answered, and the store is read seldom.
func TestFlowsAreServed(t *testing.T) {
	t.Parallel()
	report := soakOnce(t, soaker.Config{Seed: 1, Block: 60, Duration: time.Second, Only: []string{"reload"}, NoFailures: true})
	require.Less(t, report.Reads, 80, "two reads about every second, and two at each host's start")
}

// Symptom: work is cut by a release of hosts. Sequence: hosts are stopped with
// SIGTERM and started again, several at a time, under load.
func TestReleasesOfHostsCutNoFlow(t *testing.T) {
	t.Parallel()
	soakOnce(t, soaker.Config{Seed: 2, Block: 61, Zones: []int{3, 3}, Duration: 10 * time.Second, Only: []string{"terminate", "reload"}, Gap: 3 * time.Second, NoFailures: true})
}

// Symptom: work is cut by a release of targets, or by new settings.
// Sequence: targets are replaced one after another while versions are published.
func TestReleasesOfTargetsCutNoFlow(t *testing.T) {
	t.Parallel()
	soakOnce(t, soaker.Config{Seed: 3, Block: 62, Duration: 8 * time.Second, Only: []string{"replaceTarget", "publish"}, Gap: 1500 * time.Millisecond, NoFailures: true})
}

// Symptom: callers notice that the platform's store is in trouble.
// Sequence: it refuses some hosts or all, is slow or silent, while hosts restart.
func TestStoreInTroubleFailsNobody(t *testing.T) {
	t.Parallel()
	soakOnce(t, soaker.Config{Seed: 4, Block: 63, Zones: []int{3, 2}, Duration: 8 * time.Second, Only: []string{"store", "storeForAll", "terminate"}, Gap: 1500 * time.Millisecond, NoFailures: true})
}

// Any fault, overlapping, with fixed seeds. Seeds that ever failed stay, with a
// line on the cause.
func TestSoak(t *testing.T) {
	for i, config := range []soaker.Config{
		{Seed: 1, Zones: []int{2, 2, 1}, Duration: 8 * time.Second},
		{Seed: 2, Zones: []int{2, 2, 1}, Duration: 8 * time.Second},
		// A second SIGTERM ended a host that was about to leave.
		{Seed: 201, Zones: []int{3, 3, 2}, Duration: 12 * time.Second},
	} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			config.Block = 64 + i
			soakOnce(t, config)
		})
	}
}

// Symptom: work is cut although the host was asked to leave in good order.
// Sequence: SIGTERM comes twice. Cause: the second one ended the process.
func TestSecondTerminationCutsNothing(t *testing.T) {
	t.Parallel()
	soakOnce(t, soaker.Config{Seed: 5, Block: 68, Duration: 6 * time.Second, Only: []string{"terminateTwice"}, Gap: 3 * time.Second, NoFailures: true})
}

// Symptom: targets that serve are avoided, or callers are cut, after a restart under the
// same ID, beside entries that name no target, or while all targets are slow. Sequence:
// all of these come in series and overlap.
func TestRestartsForeignEntriesAndOverloadBreakNothing(t *testing.T) {
	t.Parallel()
	soakOnce(t, soaker.Config{
		Seed: 6, Block: 69, Zones: []int{2, 2}, Duration: 8 * time.Second, Gap: 900 * time.Millisecond, Later: true,
		Only: []string{"restartTarget", "foreignEntry", "overload"},
	})
}

// Symptom: callers are cut, or targets that left get flows, after the store has dropped
// its history. Sequence: it tells no changes for a second, in which a target is replaced,
// and then knows nothing of what came before; hosts start meanwhile.
func TestDroppedHistoryBreaksNothing(t *testing.T) {
	t.Parallel()
	soakOnce(t, soaker.Config{
		Seed: 7, Block: 70, Zones: []int{2, 2}, Duration: 8 * time.Second, Gap: 900 * time.Millisecond, Newest: true,
		Only: []string{"forgetHistory", "publish", "terminate"}, NoFailures: true,
	})
}

// Symptom: an evacuated zone gets new flows, or callers are cut by an order. Sequence: zones
// are evacuated and taken back, one after the other, while versions are published and hosts
// stop and start.
func TestEvacuatedZonesGetNothingNewAndCutNobody(t *testing.T) {
	t.Parallel()
	soakOnce(t, soaker.Config{
		Seed: 8, Block: 71, Zones: []int{2, 2}, Duration: 9 * time.Second, Gap: 700 * time.Millisecond, Orders: true,
		Only: []string{"evacuateZone", "publish", "terminate"}, NoFailures: true,
	})
}

// Symptom: callers are cut or refused, targets that drain get flows, or versions go back,
// after the store has come back from a copy. Sequence: it is restored, at times twice,
// while targets are replaced, zones evacuated, versions published and hosts stopped.
func TestStoreThatComesBackFromACopyFailsNobody(t *testing.T) {
	t.Parallel()
	soakOnce(t, soaker.Config{
		Seed: 9, Block: 72, Zones: []int{2, 2}, Duration: 12 * time.Second, Gap: 900 * time.Millisecond, Orders: true, Restores: true,
		Only: []string{"restoreStore", "replaceTarget", "publish", "evacuateZone", "terminate"}, NoFailures: true,
	})
}

// Symptom: callers are refused for good after the store has come back from a copy.
// Sequence: targets are replaced and a zone evacuated while it is restored. Cause: the
// order is taken back at a revision below the one that hosts have seen, which looks old.
func TestRestoredStoreLeavesNobodyBehind(t *testing.T) {
	t.Parallel()
	soakOnce(t, soaker.Config{
		Seed: 81001, Block: 73, Zones: []int{2, 2}, Callers: 6, Targets: 9, Duration: 15 * time.Second, Gap: 700 * time.Millisecond,
		Later: true, Newest: true, Orders: true, Restores: true, Only: []string{"restoreStore", "replaceTarget", "evacuateZone", "publish"},
	})
}
