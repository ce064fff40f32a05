package steerer_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"cranberryspan.dev/core/evacuator"
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/sequencer"
	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

// listAt is the platform's list as of a position.
func (f *fleet) listAt(p sequencer.Position) steerer.TargetList {
	l := steerer.TargetList{Position: p}
	for _, id := range slices.Sorted(maps.Keys(f.targets)) {
		l.Targets = append(l.Targets, f.targets[id])
	}
	return l
}

// Guards against the contents of an ended era that arrive under the header of the new one:
// when a host starts after a restore and its first response is from before it, all hosts
// would list and confirm what the restore has undone until the revision exceeds the old one.
func TestStaleFirstTargetsReadDoesNotOverrideRestoredList(t *testing.T) {
	f := newFleetWithEra(t, 2)
	before := f.backup()
	f.addTarget("i-10000009", "ledger", "a")
	f.revision += 500
	f.step(2 * time.Second)
	stale := f.listAt(sequencer.At(4, f.revision)) // contents of era 3 under the header of era 4
	f.restore(before)
	f.deniedHosts["a1"] = true
	f.kill("a1")
	f.start("a1")
	f.reduce("a1", &steerer.TargetsRead{Started: f.now, MayBeStale: true, List: stale})
	f.deniedHosts["a1"] = false
	f.drain(drained)
	f.step(10 * time.Second)
	f.requireAll(drained, true, true)
}

// As above, for what operators publish: an evacuation order that was not withdrawn would end
// on all hosts.
func TestStaleFirstSettingsReadDoesNotEndOrders(t *testing.T) {
	f := newFleetWithEra(t, 2, 1)
	before := f.backup()
	f.revision += 500
	f.step(2 * time.Second)
	old := f.revision
	f.restore(before)
	f.evacuate("b")
	f.step(3 * time.Second)
	require.Equal(t, []string{"b"}, f.syncStatus("a2").Evacuated)
	f.kill("a1")
	f.start("a1")
	f.reduce("a1", &steerer.SettingsRead{Started: f.now, MayBeStale: true, Published: steerer.Published{
		Settings: f.settings, Orders: evacuator.Orders{Position: sequencer.At(4, old)},
	}})
	f.step(5 * time.Second)
	for _, name := range f.names {
		require.Equal(t, []string{"b"}, f.syncStatus(name).Evacuated, name)
	}
}

// Guards against a response that leaves out missing targets: when a target goes missing and a
// host requests changes since a position of another era than the responder's, or of no era
// because it is of an earlier release, it would never learn that the target is missing, or
// consider a live one missing.
func TestSyncResponseToOlderReleaseListsMissingTargets(t *testing.T) {
	f := newFleetWithEra(t, 1)
	f.step(2 * time.Second)
	since := f.revision
	f.remove(drained)
	f.step(3 * time.Second)
	response := f.hosts["a1"].steerer.SyncResponse(&messenger.SyncRequest{SettingsNewerThan: 1, IncludeTargets: true, TargetsSince: since})
	reported := false
	for _, s := range response.Targets {
		reported = reported || (s.ID == drained && s.Missing)
	}
	require.True(t, reported)
}

// Guards against treating era 4 at revision 0 as later than all of era 3: when a response of
// a new era has no revision, a host would know no targets and refuse all callers.
func TestListWithoutRevisionIsIgnored(t *testing.T) {
	f := newFleetWithEra(t, 1)
	f.down = true
	f.step(300 * time.Millisecond)
	f.reduce("a1", &steerer.TargetsRead{Started: f.now, List: steerer.TargetList{Position: sequencer.At(4, 0)}})
	listed, _ := f.listed("a1", drained)
	require.True(t, listed)
}

// As above, if the platform reports no era.
func TestListWithoutRevisionAndEraIsIgnored(t *testing.T) {
	f := newFleet(t, 1)
	f.step(3 * time.Second)
	f.down = true
	f.reduce("a1", &steerer.TargetsRead{Started: f.now, List: steerer.TargetList{Position: sequencer.At(0, 0)}})
	listed, _ := f.listed("a1", drained)
	require.True(t, listed)
}

// Guards against avoiding a target only for a period after the first of two restores: when a
// target drains and the platform is restored twice, two seconds apart, before the target has
// written its state again, new flows would go to it.
func TestSecondRestoreExtendsAvoidance(t *testing.T) {
	f := newFleetWithEra(t, 1)
	before := f.backup()
	f.drain(drained)
	f.step(2 * time.Second)
	f.restore(before)
	f.step(2 * time.Second)
	f.restore(before)
	f.step(1700 * time.Millisecond)
	require.Equal(t, uint64(5), f.syncStatus("a1").TargetsEra)
	require.NotEmpty(t, statusOf(f, "a1", drained).AvoidReason)
}

// Guards against counting each rise of the era as a restore: when the platform, or its
// release, starts to report an era, operators would be told of a restore that did not happen.
func TestFirstEraIsNotReportedAsRestore(t *testing.T) {
	f := newFleet(t, 2)
	f.step(3 * time.Second)
	f.era = 3
	f.orders = evacuator.Orders{Position: sequencer.At(f.era, f.revision)}
	f.step(3 * time.Second)
	for _, name := range f.names {
		require.Empty(t, f.logged(name, "storeRestored"), name)
	}
}

// Guards against counting only errors as failed reads: when a host learns of a restore while
// its own reads, from before it, are in flight, it would log a recovery of the platform and
// follow an order of an ended era.
func TestReadSupersededByRestoreCountsAsFailed(t *testing.T) {
	f := newFleetWithEra(t, 2)
	f.down = true
	f.step(3 * time.Second)
	require.NotEmpty(t, f.logged("a1", "platformLost"))
	f.reduce("a1", &steerer.ReportReceived{From: "a2", Report: &messenger.Report{
		Address: f.hosts["a2"].address, AvailabilityZone: "a", Incarnation: 1, TargetsRevision: 3, TargetsEra: 4,
	}})
	failed := f.hosts["a1"].steerer.Snapshot().Counters[steerer.ReadsFailed]
	f.reduce("a1", &steerer.TargetsRead{Started: f.now, List: f.listAt(sequencer.At(3, f.revision))})
	f.reduce("a1", &steerer.SettingsRead{Started: f.now, Published: steerer.Published{
		Orders: evacuator.Orders{Position: sequencer.At(3, f.revision+5), Zones: []string{"a"}},
	}})
	require.Empty(t, f.logged("a1", "platformRegained"))
	require.Empty(t, f.syncStatus("a1").Evacuated)
	require.Len(t, f.logged("a1", "readSuperseded"), 2)
	require.Equal(t, failed+2, f.hosts["a1"].steerer.Snapshot().Counters[steerer.ReadsFailed])
}

// Guards against treating a response without an era as older than the known era: when the
// platform's responses lose their header, and hosts start and learn the era from others,
// these hosts would keep what they read first for good.
func TestStartingHostReadsPlatformWithoutEra(t *testing.T) {
	f := newFleetWithEra(t, 2)
	f.era = 0
	f.orders = evacuator.Orders{Position: sequencer.At(0, f.revision)}
	f.kill("a1")
	f.start("a1")
	f.step(2 * time.Second)
	f.kill("a2")
	f.start("a2")
	f.step(2 * time.Second)
	f.drain(drained)
	f.step(10 * time.Second)
	f.requireAll(drained, true, true)
}

// Guards against treating targets that went missing like targets that terminated: when the
// entries of a service expire and the platform is restored from a backup that lists them,
// callers would be refused for two seconds although every target works.
func TestMissingTargetsListedByRestoreServe(t *testing.T) {
	f := newFleetWithEra(t, 1)
	before := f.backup()
	for id, target := range maps.Clone(f.targets) {
		if target.Service == "ledger" {
			f.remove(id)
		}
	}
	f.step(2 * time.Second)
	f.restore(before)
	f.step(1200 * time.Millisecond)
	f.requireAll(drained, true, false)
	c := f.caller(1, readRoute)
	c.open("a1", 0)
	require.NotEmpty(t, c.target)
}

// A target that went missing without draining may have crashed, so other targets are
// preferred.
func TestTargetMissingBeforeRestoreIsLastResort(t *testing.T) {
	f := newFleetWithEra(t, 1)
	before := f.backup()
	f.remove(drained)
	f.step(2 * time.Second)
	f.restore(before)
	f.step(1300 * time.Millisecond)
	f.requireAll(drained, true, false)
	require.NotEmpty(t, statusOf(f, "a1", drained).AvoidReason)
	for n := range 40 {
		c := f.caller(n+1, readRoute)
		c.open("a1", 0)
		require.NotEqual(t, drained, c.target)
		require.NotEmpty(t, c.target)
	}
}

// Guards against applying both an order of the backup and one that the backup lacks: when an
// evacuation order is withdrawn, another zone's order is issued, and the platform is restored
// from a backup from before both, all callers would be refused although every target works.
func TestConflictingOrdersAfterRestoreLeaveOneZone(t *testing.T) {
	f := newFleetWithEra(t, 1, 1)
	f.evacuate("a")
	f.step(3 * time.Second)
	before := f.backup()
	f.withdrawEvacuation("a")
	f.evacuate("b")
	f.step(3 * time.Second)
	c := f.caller(1, readRoute)
	c.open("a1", 0)
	require.NotEmpty(t, c.target)
	f.restore(before)
	f.step(2 * time.Second)
	require.Equal(t, []string{"a", "b"}, f.syncStatus("a1").Evacuated)
	c = f.caller(2, readRoute)
	c.open("a1", 0)
	require.NotEmpty(t, c.target)
	require.Equal(t, "a", f.targets[c.target].AvailabilityZone, "nobody has taken the order for b back")
	f.step(3 * time.Second)
	c = f.caller(3, readRoute)
	c.open("a1", 0)
	require.Equal(t, "b", f.targets[c.target].AvailabilityZone, "nobody has given it again")
}

// Guards against a service without targets: when all targets of a service are replaced, the
// old ones drain, and the platform is restored from a backup from before that, the old ones
// get no flows because they drain, and the new ones none because the backup lacks them and
// they have had no recent flow.
func TestIdleTargetsAbsentFromBackupServe(t *testing.T) {
	f := newFleetWithEra(t, 1)
	before := f.backup()
	for _, id := range slices.Sorted(maps.Keys(f.targets)) {
		if f.targets[id].Service == "ledger" {
			f.drain(id)
		}
	}
	f.addTarget("i-10000019", "ledger", "a")
	f.addTarget("i-1000001a", "ledger", "a")
	f.step(2 * time.Second)
	c := f.caller(1, readRoute)
	c.open("a1", 0)
	require.NotEmpty(t, c.target)
	f.step(1500 * time.Millisecond)
	f.restore(before)
	f.step(1300 * time.Millisecond)
	c = f.caller(2, readRoute)
	c.open("a1", 0)
	require.NotEmpty(t, c.target)
	require.Contains(t, []string{"i-10000019", "i-1000001a"}, c.target)
	f.step(steerer.TickInterval + 4*time.Second)
	require.Contains(t, statusOf(f, "a1", "i-10000019").AvoidReason, "no longer listed")
}

// Guards against treating a drained target as one whose entry has expired: when a target
// drains, the platform is restored from a backup from before that, and its entry is removed
// while its open flows go on, new flows would be cut when it terminates.
func TestDrainedTargetRemovedAfterRestoreGetsNoFlows(t *testing.T) {
	f := newFleetWithEra(t, 1)
	before := f.backup()
	var last *caller
	for n := 0; last == nil || last.target != drained; n++ {
		last = f.caller(n+1, readRoute)
		last.open("a1", 0)
		last.establish("a1")
	}
	f.drain(drained)
	f.step(2 * time.Second)
	f.restore(before)
	f.step(1200 * time.Millisecond)
	f.remove(drained)
	f.step(1200 * time.Millisecond)
	last.sendRequest("a1")
	f.step(steerer.TickInterval)
	last.ackResponse("a1")
	f.requireAll(drained, false, false)
	for n := range 40 {
		c := f.caller(n+1000, readRoute)
		c.open("a1", 0)
		require.NotEqual(t, drained, c.target)
	}
}

// Guards against a state that keeps the revision of the ended era and is sent as of the new
// one: when a target's entry was written late in the ended era as the backup has it, the
// platform is restored and the target drains, a host that has not learned of that would
// override it until the revision exceeds the old one.
func TestSyncResponseUsesPositionsOfNewEra(t *testing.T) {
	f := newFleetWithEra(t, 1)
	before := f.backup()
	f.drain(drained)
	f.step(2 * time.Second)
	f.revision += 500
	f.writeEntry(before.targets[drained])
	f.step(2 * time.Second)
	f.restore(before)
	f.step(2 * time.Second)
	response := f.hosts["a1"].steerer.SyncResponse(&messenger.SyncRequest{IncludeTargets: true})
	require.Equal(t, uint64(4), response.TargetsEra)
	require.NotEmpty(t, response.Targets)
	for _, state := range response.Targets {
		require.LessOrEqual(t, state.Revision, response.TargetsRevision, state.ID)
	}
}
