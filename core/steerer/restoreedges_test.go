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
func TestStaleFirstTargetsReadDoesNotOverrideRestoredList(t *testing.T) {
	f := newFleetWithEra(t, 2)
	before := f.backup()
	f.addTarget("i-10000009", "ledger", "a")
	f.revision += 500
	f.step(2 * time.Second)
	stale := f.listAt(sequencer.At(4, f.revision)) // contents of era 3 under the header of 4
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

// Symptom: an order ends on all hosts that nobody has taken back. Sequence: as above, for
// what operators write. Cause: as above.
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

// Symptom: a host takes a target for gone that answers, or never hears that it has gone.
// Sequence: a target goes; a host asks as of an era that is not the answerer's, or, being of
// an earlier release, of none. Cause: an answer that leaves out what is gone.
func TestSyncResponseToOlderReleaseListsMissingTargets(t *testing.T) {
	f := newFleetWithEra(t, 1)
	f.step(2 * time.Second)
	since := f.revision
	f.remove(drained)
	f.step(3 * time.Second)
	k := f.hosts["a1"].steerer.SyncResponse(&messenger.SyncRequest{SettingsNewerThan: 1, IncludeTargets: true, TargetsSince: since})
	told := false
	for _, s := range k.Targets {
		told = told || (s.ID == drained && s.Missing)
	}
	require.True(t, told)
}

// Symptom: a host knows no targets and refuses all callers. Sequence: an answer of a new era
// comes without a revision. Cause: era 4 at revision 0 is after all of era 3.
func TestListWithoutRevisionIsIgnored(t *testing.T) {
	f := newFleetWithEra(t, 1)
	f.down = true
	f.step(300 * time.Millisecond)
	f.reduce("a1", &steerer.TargetsRead{Started: f.now, List: steerer.TargetList{Position: sequencer.At(4, 0)}})
	listed, _ := f.listed("a1", drained)
	require.True(t, listed)
}

// The same where the platform tells no era.
func TestListWithoutRevisionAndEraIsIgnored(t *testing.T) {
	f := newFleet(t, 1)
	f.step(3 * time.Second)
	f.down = true
	f.reduce("a1", &steerer.TargetsRead{Started: f.now, List: steerer.TargetList{Position: sequencer.At(0, 0)}})
	listed, _ := f.listed("a1", drained)
	require.True(t, listed)
}

// Symptom: new flows go to a target that drains. Sequence: it drains; the platform is
// restored twice, two seconds apart, before it has said so again. Cause: a time that runs
// from the first restore, since the second changes nothing.
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

// Symptom: operators are told of a restore that was none. Sequence: the platform, or its
// release, begins to tell an era. Cause: each rise of the era counts as a restore.
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

// Symptom: a host says that the platform answers again, and obeys an order of an ended era.
// Sequence: it hears of a restore while its reads, from before it, are on the way. Cause: only
// errors count as failed reads.
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

// Symptom: hosts that have started go by what they read first, for as long as they live.
// Sequence: the platform's answers lose their header; hosts start, and hear of the era from
// others. Cause: an answer without an era counts as of none, before the one that is known.
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

// Symptom: callers are refused for two seconds though every target works. Sequence: the
// entries of a service lapse; the platform is restored from before that, and lists them.
// Cause: targets that had vanished are taken for those that had left.
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

// A target that had vanished without draining may have crashed: others come first.
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

// Symptom: all callers are refused though every target works. Sequence: the order to evacuate
// a zone is taken back, and one for the other zone given; the copy is from before both. Cause:
// the order that the copy has counts beside the one that it lacks.
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

// Symptom: callers are refused though new targets work. Sequence: all targets of a service are
// replaced and the old ones drain; the copy is from before that. Cause: the old ones get no
// flows since they drain, the new ones none since the copy lacks them and they have had no
// flow of late.
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

// Symptom: flows are cut by the end of a target that had said so. Sequence: it drains; the
// copy is from before that; its entry is removed, while its open flows go on. Cause: what
// vanishes and lives is taken for an entry that lapsed.
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

// Symptom: a target that drains gets flows until the revision has passed the old one. Sequence:
// it was written late in the ended era, as the copy has it; the platform is restored; it drains,
// and a host that has not heard of that tells what it knows. Cause: a state that keeps the
// revision of the ended era and is told as of the new one.
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
	k := f.hosts["a1"].steerer.SyncResponse(&messenger.SyncRequest{IncludeTargets: true})
	require.Equal(t, uint64(4), k.TargetsEra)
	require.NotEmpty(t, k.Targets)
	for _, state := range k.Targets {
		require.LessOrEqual(t, state.Revision, k.TargetsRevision, state.ID)
	}
}
