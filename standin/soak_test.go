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

// requireSoakPasses runs real hosts under faults and demands that every promise holds.
func requireSoakPasses(t *testing.T, config soaker.Config) soaker.Report {
	t.Helper()
	dir, err := buildBinaries()
	require.NoError(t, err)
	config.BalancerPath = filepath.Join(dir, "balancer")
	if config.HostsPerZone == nil {
		config.HostsPerZone = []int{2, 2}
	}
	config.CallersPerZone, config.LedgerTargets = cmp.Or(config.CallersPerZone, 3), cmp.Or(config.LedgerTargets, 6)
	if config.MeanFaultInterval == 0 {
		config.MeanFaultInterval = 600 * time.Millisecond
	}
	report, err := soaker.Run(context.Background(), config)
	require.NoError(t, err)
	require.Empty(t, report.Problems, "%s", report)
	require.NotZero(t, report.Outcomes[asker.OutcomeAnswered])
	return report
}

// A calm run: every attempt is answered, and the store is read seldom.
func TestAllRequestsAreAnsweredWithoutFaults(t *testing.T) {
	t.Parallel()
	report := requireSoakPasses(t, soaker.Config{Seed: 1, AddressBlock: 60, Duration: time.Second, OnlyFaults: []string{"reload"}, RequireAllAnswered: true})
	require.Less(t, report.StoreReads, 80, "two reads about every second, and two at each host's start")
}

// Symptom: work is cut by a release of hosts. Sequence: hosts are stopped with
// SIGTERM and started again, several at a time, under load.
func TestRollingHostRestartsFailNoRequest(t *testing.T) {
	t.Parallel()
	requireSoakPasses(t, soaker.Config{Seed: 2, AddressBlock: 61, HostsPerZone: []int{3, 3}, Duration: 10 * time.Second, OnlyFaults: []string{"terminate", "reload"}, MeanFaultInterval: 3 * time.Second, RequireAllAnswered: true})
}

// Symptom: work is cut by a release of targets, or by new settings.
// Sequence: targets are replaced one after another while versions are published.
func TestRollingTargetReplacementsFailNoRequest(t *testing.T) {
	t.Parallel()
	requireSoakPasses(t, soaker.Config{Seed: 3, AddressBlock: 62, Duration: 8 * time.Second, OnlyFaults: []string{"replaceTarget", "publish"}, MeanFaultInterval: 1500 * time.Millisecond, RequireAllAnswered: true})
}

// Symptom: callers notice that the platform's store is in trouble.
// Sequence: it refuses some hosts or all, is slow or silent, while hosts restart.
func TestStoreOutagesFailNoRequest(t *testing.T) {
	t.Parallel()
	requireSoakPasses(t, soaker.Config{Seed: 4, AddressBlock: 63, HostsPerZone: []int{3, 2}, Duration: 8 * time.Second, OnlyFaults: []string{"store", "storeForAll", "terminate"}, MeanFaultInterval: 1500 * time.Millisecond, RequireAllAnswered: true})
}

// Any fault, overlapping, with fixed seeds. Seeds that ever failed stay, with a
// line on the cause.
func TestRandomFaultsKeepGuarantees(t *testing.T) {
	for i, config := range []soaker.Config{
		{Seed: 1, HostsPerZone: []int{2, 2, 1}, Duration: 8 * time.Second},
		{Seed: 2, HostsPerZone: []int{2, 2, 1}, Duration: 8 * time.Second},
		// A second SIGTERM ended a host that was about to leave.
		{Seed: 201, HostsPerZone: []int{3, 3, 2}, Duration: 12 * time.Second},
	} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			config.AddressBlock = 64 + i
			requireSoakPasses(t, config)
		})
	}
}

// Symptom: work is cut although the host was asked to leave in good order.
// Sequence: SIGTERM comes twice. Cause: the second one ended the process.
func TestSecondSIGTERMDoesNotInterruptShutdown(t *testing.T) {
	t.Parallel()
	requireSoakPasses(t, soaker.Config{Seed: 5, AddressBlock: 68, Duration: 6 * time.Second, OnlyFaults: []string{"terminateTwice"}, MeanFaultInterval: 3 * time.Second, RequireAllAnswered: true})
}

// Symptom: targets that serve are avoided, or callers are cut, after a restart under the
// same ID, beside entries that name no target, or while all targets are slow. Sequence:
// all of these come in series and overlap.
func TestTargetRestartsForeignEntriesAndOverloadKeepGuarantees(t *testing.T) {
	t.Parallel()
	requireSoakPasses(t, soaker.Config{
		Seed: 6, AddressBlock: 69, HostsPerZone: []int{2, 2}, Duration: 8 * time.Second, MeanFaultInterval: 900 * time.Millisecond, SecondFaultSet: true,
		OnlyFaults: []string{"restartTarget", "foreignEntry", "overload"},
	})
}

// Symptom: callers are cut, or targets that left get flows, after the store has dropped
// its history. Sequence: it tells no changes for a second, in which a target is replaced,
// and then knows nothing of what came before; hosts start meanwhile.
func TestLossOfStoreHistoryFailsNoRequest(t *testing.T) {
	t.Parallel()
	requireSoakPasses(t, soaker.Config{
		Seed: 7, AddressBlock: 70, HostsPerZone: []int{2, 2}, Duration: 8 * time.Second, MeanFaultInterval: 900 * time.Millisecond, ThirdFaultSet: true,
		OnlyFaults: []string{"forgetHistory", "publish", "terminate"}, RequireAllAnswered: true,
	})
}

// Symptom: an evacuated zone gets new flows, or callers are cut by an order. Sequence: zones
// are evacuated and taken back, one after the other, while versions are published and hosts
// stop and start.
func TestEvacuatedZonesGetNoNewFlowsAndFailNoRequest(t *testing.T) {
	t.Parallel()
	requireSoakPasses(t, soaker.Config{
		Seed: 8, AddressBlock: 71, HostsPerZone: []int{2, 2}, Duration: 9 * time.Second, MeanFaultInterval: 700 * time.Millisecond, ZoneEvacuations: true,
		OnlyFaults: []string{"evacuateZone", "publish", "terminate"}, RequireAllAnswered: true,
	})
}

// Symptom: callers are cut or refused, targets that drain get flows, or versions go back,
// after the store has come back from a copy. Sequence: it is restored, at times twice,
// while targets are replaced, zones evacuated, versions published and hosts stopped.
func TestStoreRestoredFromBackupFailsNoRequest(t *testing.T) {
	t.Parallel()
	requireSoakPasses(t, soaker.Config{
		Seed: 9, AddressBlock: 72, HostsPerZone: []int{2, 2}, Duration: 12 * time.Second, MeanFaultInterval: 900 * time.Millisecond, ZoneEvacuations: true, StoreRestores: true,
		OnlyFaults: []string{"restoreStore", "replaceTarget", "publish", "evacuateZone", "terminate"}, RequireAllAnswered: true,
	})
}

// Symptom: callers are refused for good after the store has come back from a copy.
// Sequence: targets are replaced and a zone evacuated while it is restored. Cause: the
// order is taken back at a revision below the one that hosts have seen, which looks old.
func TestRequestsSucceedAgainAfterStoreRestore(t *testing.T) {
	t.Parallel()
	requireSoakPasses(t, soaker.Config{
		Seed: 81001, AddressBlock: 73, HostsPerZone: []int{2, 2}, CallersPerZone: 6, LedgerTargets: 9, Duration: 15 * time.Second, MeanFaultInterval: 700 * time.Millisecond,
		SecondFaultSet: true, ThirdFaultSet: true, ZoneEvacuations: true, StoreRestores: true, OnlyFaults: []string{"restoreStore", "replaceTarget", "evacuateZone", "publish"},
	})
}
