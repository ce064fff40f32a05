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
	"pgregory.net/rapid"
)

// backup is what the platform held at a moment.
type backup struct {
	settings *steerer.Settings
	targets  map[string]steerer.Target
	orders   evacuator.Orders
	revision uint64
}

func (f *fleet) backup() backup {
	return backup{f.settings, maps.Clone(f.targets), f.orders, f.revision}
}

// restore restores the platform from a backup and starts the next era.
func (f *fleet) restore(b backup) {
	f.era++
	f.settings, f.targets, f.revision = b.settings, maps.Clone(b.targets), b.revision
	f.orders = evacuator.Orders{Position: sequencer.At(f.era, 0), Zones: b.orders.Zones}.WithRevision(b.revision)
}

// publish writes a version of the settings.
func (f *fleet) publish(version uint64) {
	f.revision++
	f.settings = newSettings(version, routes())
}

// writeEntry writes a target's entry unchanged.
func (f *fleet) writeEntry(target steerer.Target) {
	f.revision++
	f.targets[target.ID] = target
}

// newFleetWithEra starts hosts with a platform that reports its era.
func newFleetWithEra(t tester, hostsByZone ...int) *fleet {
	f := newFleet(t, hostsByZone...)
	f.era = 3
	f.orders = evacuator.Orders{Position: sequencer.At(f.era, 0)}
	f.step(3 * time.Second)
	for _, name := range f.names {
		require.Equal(f.t, uint64(3), f.syncStatus(name).TargetsEra, name)
		f.hosts[name].logs = nil
	}
	return f
}

func (f *fleet) syncStatus(name string) steerer.SyncStatus {
	return f.hosts[name].steerer.SyncStatus()
}

// listed returns whether a host lists a target, and whether as draining.
func (f *fleet) listed(name, id string) (listed, draining bool) {
	response := f.hosts[name].steerer.SyncResponse(&messenger.SyncRequest{IncludeTargets: true})
	for _, state := range response.Targets {
		if state.ID == id {
			return !state.Missing, state.Draining
		}
	}
	return false, false
}

// requireAll requires that all hosts have the same view of a target.
func (f *fleet) requireAll(id string, listed, draining bool) {
	for _, name := range f.names {
		l, d := f.listed(name, id)
		require.Equal(f.t, [2]bool{listed, draining}, [2]bool{l, d}, "%s of %s", id, name)
	}
}

func (f *fleet) advanceRevisionPast(revision uint64) { f.revision = max(f.revision, revision) + 5 }

const drained = "i-10000003"

// Guards against ignoring a list with a lower revision: when the platform is restored and a
// target drains at a revision below the one that hosts have read, or beyond it, new flows
// would go to the target from all hosts until it terminates.
func TestRestoredListIsApplied(t *testing.T) {
	for _, passOldRevision := range []bool{false, true} {
		f := newFleetWithEra(t, 2, 2)
		before := f.backup()
		f.addTarget("i-10000009", "ledger", "a")
		f.revision += 10
		f.step(3 * time.Second)
		f.requireAll("i-10000009", true, false)
		old := f.revision
		f.restore(before)
		f.drain(drained)
		if passOldRevision {
			f.advanceRevisionPast(old)
		}
		f.step(3 * time.Second)
		f.requireAll(drained, true, true)
		f.requireAll("i-10000009", false, false)
		for _, name := range f.names {
			require.Equal(t, uint64(4), f.syncStatus(name).TargetsEra)
			require.Len(t, f.logged(name, "storeRestored"), 1, "one line each")
			require.Len(t, f.logged(name, "targetsReread"), 1)
		}
	}
}

// logged lists a host's log lines of an event.
func (f *fleet) logged(name, event string) []steerer.WriteLog {
	return slices.DeleteFunc(slices.Clone(f.hosts[name].logs), func(l steerer.WriteLog) bool { return l.Event != event })
}

// Guards against ordering states by revision alone: when a host is partitioned from the
// platform and the other hosts during a restore, and then reports what it read at the old,
// higher revisions, it would undo the restored list on all hosts.
func TestReportFromEndedEraIsIgnored(t *testing.T) {
	f := newFleetWithEra(t, 3)
	before := f.backup()
	f.revision += 50
	f.drain(drained)
	f.step(1500 * time.Millisecond)
	f.deniedHosts["a3"] = true
	f.isolate("a3", true)
	f.restore(before)
	f.step(2500 * time.Millisecond)
	listed, draining := f.listed("a1", drained)
	require.Equal(t, [2]bool{true, false}, [2]bool{listed, draining})
	f.reduce("a1", &steerer.ReportReceived{From: "a3", Report: &messenger.Report{
		Address: f.hosts["a3"].address, AvailabilityZone: "a", Incarnation: 1, SettingsRevision: 1, TargetsRevision: 500, TargetsEra: 3, OrdersEra: 3,
		OrdersRevision: 500, EvacuatedZones: []string{"a"}, SettingsEra: 3,
		TargetChanges: []messenger.TargetState{{ID: drained, Revision: 490, Missing: true}, {ID: "i-1000000f", Revision: 490, Service: "ledger"}},
	}})
	f.requireSame("a1", "a2")
	listed, draining = f.listed("a1", drained)
	require.Equal(t, [2]bool{true, false}, [2]bool{listed, draining})
	require.Empty(t, f.syncStatus("a1").Evacuated)
}

// isolate partitions a host from all others, or ends that.
func (f *fleet) isolate(name string, cut bool) {
	for _, other := range f.names {
		f.cutLinks[[2]string{name, other}], f.cutLinks[[2]string{other, name}] = cut, cut
	}
}

// requireSame requires that two hosts list the same targets.
func (f *fleet) requireSame(x, y string) {
	require.Equal(f.t, f.view(x), f.view(y))
}

// view lists a host's targets by ID, with whether they drain.
func (f *fleet) view(name string) map[string]bool {
	view := map[string]bool{}
	for _, state := range f.hosts[name].steerer.SyncResponse(&messenger.SyncRequest{IncludeTargets: true}).Targets {
		if !state.Missing {
			view[state.ID] = state.Draining
		}
	}
	return view
}

// Guards against a host that keeps the targets of an ended era: when it is isolated during a
// restore and then receives reports again while the platform denies its reads, nothing that
// it receives is newer by revision.
func TestIsolatedHostLearnsNewEraFromPeers(t *testing.T) {
	f := newFleetWithEra(t, 3)
	before := f.backup()
	f.addTarget("i-10000009", "ledger", "a")
	f.revision += 50
	f.step(1500 * time.Millisecond)
	f.deniedHosts["a3"] = true
	f.isolate("a3", true)
	f.restore(before)
	f.drain(drained)
	f.step(6 * time.Second)
	listed, _ := f.listed("a3", "i-10000009")
	require.True(t, listed, "what it knew goes on serving")
	require.Greater(t, f.syncStatus("a3").TargetsAge, 5*time.Second, "at its true age")
	f.isolate("a3", false)
	f.step(1500 * time.Millisecond)
	f.requireSame("a1", "a3")
	listed, draining := f.listed("a3", drained)
	require.True(t, listed && draining)
	require.Less(t, f.syncStatus("a3").TargetsAge, 2*time.Second)
}

// Guards against states that keep the position of the ended era, of which the later one wins:
// when one host has read that a target drains and another one, which was partitioned, has
// not, a restore leaves the other host's state unchanged. The first host receives that state
// and must apply it.
func TestHostsAgreeAfterRestoreUndoesMissedWrite(t *testing.T) {
	f := newFleetWithEra(t, 2)
	before := f.backup()
	f.step(1500 * time.Millisecond)
	f.isolate("a2", true)
	f.deniedHosts["a2"] = true
	f.revision += 50
	f.drain(drained)
	f.step(1500 * time.Millisecond)
	_, draining := f.listed("a1", drained)
	require.True(t, draining)
	f.restore(before)
	f.deniedHosts["a1"], f.deniedHosts["a2"] = true, false
	f.step(2 * time.Second)
	f.isolate("a2", false)
	f.step(2 * time.Second)
	f.requireSame("a1", "a2")
	f.requireAll(drained, true, false)
}

// Guards against counting a confirmation of an ended era: when the platform is restored and
// one host knows it while others still confirm what they read before, the confirmed state
// would look current, and no host would read the new history for seconds.
func TestConfirmationsFromEndedEraAreIgnored(t *testing.T) {
	f := newFleetWithEra(t, 2)
	f.deniedHosts["a1"], f.deniedHosts["a2"] = true, true
	f.isolate("a2", true)
	f.step(200 * time.Millisecond)
	age := f.syncStatus("a1").TargetsAge
	report := &messenger.Report{
		Address: f.hosts["a2"].address, AvailabilityZone: "a", Incarnation: 1, SettingsRevision: 1, TargetsRevision: f.revision, TargetsEra: 3,
		TargetsDigest: f.digest("a1"), SettingsEra: 3, TargetsReadNumber: 77, SettingsReadNumber: 78,
	}
	newer := *report
	newer.TargetsEra, newer.SettingsEra, newer.TargetsDigest, newer.SettingsRevision = 4, 4, 1, 0
	f.reduce("a1", &steerer.ReportReceived{From: "a2", Report: &newer})
	f.reduce("a1", &steerer.ReportReceived{From: "a2", Report: report})
	require.GreaterOrEqual(t, f.syncStatus("a1").TargetsAge, age)
	require.GreaterOrEqual(t, f.syncStatus("a1").SettingsAge, age)
	require.Equal(t, uint64(4), f.syncStatus("a1").Era)
	require.Equal(t, uint64(3), f.syncStatus("a1").TargetsEra)
}

// digest is the digest of its targets that a host reports.
func (f *fleet) digest(name string) uint64 {
	for _, effect := range f.hosts[name].steerer.Reduce(f.stamped(&steerer.Tick{}, 400*time.Millisecond)) {
		if sent, ok := effect.(*steerer.SendReport); ok {
			return sent.Report.TargetsDigest
		}
	}
	f.t.Fatalf("%s reports nothing", name)
	return 0
}

// stamped advances the time for an event that the test handles itself.
func (f *fleet) stamped(event steerer.Event, d time.Duration) steerer.Event {
	f.now = f.now.Add(d)
	steerer.SetTime(event, f.now)
	return event
}

// Guards against applying a response because its revision is higher: when a read starts, the
// platform is restored, and another host reports the restore before the response arrives, the
// response belongs to the ended era.
func TestReadSupersededByRestoreIsIgnored(t *testing.T) {
	f := newFleetWithEra(t, 2)
	before := f.backup()
	f.addTarget("i-10000009", "ledger", "a")
	f.revision += 50
	late := &steerer.TargetsRead{Started: f.now, List: steerer.TargetList{Position: sequencer.At(3, f.revision)}}
	lateOrders := &steerer.SettingsRead{Started: f.now, Published: steerer.Published{
		Settings: f.settings, Orders: evacuator.Orders{Position: sequencer.At(3, f.revision), Zones: []string{"a"}},
	}}
	f.restore(before)
	f.step(3 * time.Second)
	view, age := f.view("a1"), f.syncStatus("a1").TargetsAge
	f.reduce("a1", late)
	f.reduce("a1", lateOrders)
	require.Equal(t, view, f.view("a1"))
	require.Equal(t, age, f.syncStatus("a1").TargetsAge)
	require.Empty(t, f.syncStatus("a1").Evacuated)
}

// Guards against a late response that confirms the ended era: when a host reads, the platform
// is restored, and another host reports the restore before the response arrives, the host's
// old state would look current.
func TestLateReadDoesNotConfirmEndedEra(t *testing.T) {
	f := newFleetWithEra(t, 2)
	f.deniedHosts["a1"], f.deniedHosts["a2"] = true, true
	f.step(2 * time.Second)
	age := f.syncStatus("a1").TargetsAge
	f.reduce("a1", &steerer.ReportReceived{From: "a2", Report: &messenger.Report{
		Address: f.hosts["a2"].address, AvailabilityZone: "a", Incarnation: 1, TargetsRevision: 3, TargetsEra: 4,
	}})
	late := &steerer.TargetsRead{Started: f.now, List: steerer.TargetList{Position: sequencer.At(3, f.revision)}}
	for _, id := range slices.Sorted(maps.Keys(f.targets)) {
		late.List.Targets = append(late.List.Targets, f.targets[id])
	}
	f.reduce("a1", late)
	require.GreaterOrEqual(t, f.syncStatus("a1").TargetsAge, age)
}

// Guards against an incremental response, which cannot name what is absent: when a host is
// isolated during a restore, and the hosts that it then sends sync requests to have started
// since and never knew targets of the ended era, it would send flows to such targets for as
// long as the platform denies its reads.
func TestFullListRemovesTargetsOfEndedEra(t *testing.T) {
	f := newFleetWithEra(t, 3)
	before := f.backup()
	f.addTarget("i-10000009", "ledger", "a")
	f.step(1500 * time.Millisecond)
	f.deniedHosts["a3"] = true
	f.isolate("a3", true)
	f.kill("a1")
	f.kill("a2")
	f.restore(before)
	f.start("a1")
	f.start("a2")
	f.step(2 * time.Second)
	f.isolate("a3", false)
	f.step(2 * time.Second)
	f.requireAll("i-10000009", false, false)
	require.Equal(t, uint64(4), f.syncStatus("a3").TargetsEra)
}

// Guards against a targets read that waits for its regular time: when a read of the settings
// finds a restore just after a read of the targets, a draining target would get flows for an
// additional second.
func TestRestoreFoundBySettingsReadTriggersTargetsRead(t *testing.T) {
	f := newFleetWithEra(t, 1)
	f.step(3 * time.Second)
	for f.syncStatus("a1").TargetsAge > steerer.TickInterval {
		f.step(steerer.TickInterval)
	}
	f.restore(f.backup())
	f.drain(drained)
	f.reduce("a1", &steerer.SettingsRead{Started: f.now, Published: steerer.Published{Settings: f.settings, Orders: f.orders}})
	f.step(3 * steerer.TickInterval)
	f.requireAll(drained, true, true)
}

// Guards against a host that rejects state of an ended era although it has none: when it
// starts after a restore while the platform denies all reads, has learned of the new era, and
// only a host of the old era can send it targets, it would serve no callers.
func TestHostWithoutStateAcceptsEndedEra(t *testing.T) {
	f := newFleetWithEra(t, 2)
	f.down = true
	f.kill("a1")
	f.start("a1")
	f.reduce("a1", &steerer.ReportReceived{From: "a3", Report: &messenger.Report{
		Address: f.hosts["a2"].address, AvailabilityZone: "a", Incarnation: 1, OrdersRevision: 5, OrdersEra: 4,
	}})
	f.step(time.Second)
	require.Equal(t, uint64(4), f.syncStatus("a1").Era)
	require.Equal(t, uint64(3), f.syncStatus("a1").TargetsEra)
	f.requireSame("a1", "a2")
	require.Greater(t, f.syncStatus("a1").TargetsAge, 10*time.Minute, "nothing of the new era confirms it")
	f.down = false
	f.restore(f.backup())
	f.step(2 * time.Second)
	f.requireSame("a1", "a2")
	require.Equal(t, uint64(4), f.syncStatus("a1").TargetsEra)
}

// Guards against two histories that look like one: when the platform is restored twice to the
// same revision before all hosts have read it, hosts would list what one of the restores has
// undone.
func TestRestoresToSameRevisionAreDistinctEras(t *testing.T) {
	f := newFleetWithEra(t, 2, 1)
	before := f.backup()
	f.addTarget("i-10000009", "ledger", "a")
	f.revision += 50
	f.step(2 * time.Second)
	f.restore(before)
	f.addTarget("i-1000000a", "ledger", "a")
	f.step(300 * time.Millisecond)
	f.restore(before)
	f.drain(drained)
	f.step(3 * time.Second)
	f.requireAll(drained, true, true)
	f.requireAll("i-10000009", false, false)
	f.requireAll("i-1000000a", false, false)
	for _, name := range f.names {
		require.Equal(t, uint64(5), f.syncStatus(name).TargetsEra)
	}
}

// Guards against discarding what hosts know of a target when an era ends: when a target has
// terminated and the backup is from before that, it is listed again until its entry is
// removed again, and new flows would go to it, or to another target that has its address. The
// host lists it as the platform does, but sends it no flows until the lost updates are
// written again.
func TestTerminatedTargetRelistedByRestoreGetsNoFlows(t *testing.T) {
	f := newFleetWithEra(t, 1)
	before := f.backup()
	terminated := f.targets[drained]
	f.drain(drained)
	f.step(2 * time.Second)
	f.remove(drained)
	f.addTarget("i-30000001", "intake", "a") // It has the address of the terminated target.
	reused := f.targets["i-30000001"]
	reused.Address = terminated.Address
	f.writeEntry(reused)
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
	f.writeEntry(reused)
	f.remove(drained)
	f.step(1300 * time.Millisecond)
	f.requireAll(drained, false, false)
	f.requireAll("i-30000001", true, false)
}

// Guards against new flows to a target that drained before a restore: when the backup is from
// before that and the target writes its state again two seconds later, flows from every host
// would be cut when it terminates. A target that stays up and is not written as draining
// again gets flows once the grace period has ended.
func TestTargetDrainingBeforeRestoreGetsNoFlows(t *testing.T) {
	f := newFleetWithEra(t, 1)
	before := f.backup()
	f.drain(drained)
	f.step(2 * time.Second)
	f.restore(before)
	f.step(1200 * time.Millisecond)
	require.NotEmpty(t, statusOf(f, "a1", drained).AvoidReason)
	f.step(2500 * time.Millisecond)
	require.Empty(t, statusOf(f, "a1", drained).AvoidReason)
}

// Guards against excluding at once what a restored list lacks: when the backup lacks all
// targets of a service, which have started after it and write their entries again within two
// seconds, callers would be refused although every target works.
func TestLiveTargetsAbsentFromBackupKeepServing(t *testing.T) {
	f := newFleetWithEra(t, 1)
	all := maps.Clone(f.targets)
	for id, target := range all {
		if target.Service == "ledger" {
			f.remove(id)
		}
	}
	before := f.backup()
	for _, id := range slices.Sorted(maps.Keys(all)) {
		f.writeEntry(all[id])
	}
	f.step(2 * time.Second)
	c := f.caller(1, readRoute)
	c.open("a1", 0)
	c.establish("a1")
	f.restore(before)
	for range 4 {
		c.sendRequest("a1")
		f.step(500 * time.Millisecond)
		c.ackResponse("a1")
		other := f.caller(int(f.now/1e6)%60000, readRoute)
		other.open("a1", 0)
		require.NotEmpty(t, other.target)
	}
	require.Equal(t, uint64(4), f.syncStatus("a1").TargetsEra)
	for _, id := range slices.Sorted(maps.Keys(all)) {
		f.writeEntry(all[id])
	}
	f.step(1300 * time.Millisecond)
	f.requireAll(drained, true, false)
}

// Guards against an evacuation order that ends at once because the backup lacks it, and
// against ignoring the reissued order because it has a lower revision: when operators issue
// the order again two seconds later, new flows would go to a zone that is about to fail.
func TestOrderAbsentFromBackupHoldsUntilReissued(t *testing.T) {
	f := newFleetWithEra(t, 2, 2)
	before := f.backup()
	f.revision += 50
	f.evacuate("b")
	f.step(3 * time.Second)
	f.restore(before)
	for range 4 {
		f.step(500 * time.Millisecond)
		for _, name := range f.names {
			require.Equal(t, []string{"b"}, f.syncStatus(name).Evacuated, name)
		}
	}
	f.evacuate("b")
	f.step(5 * time.Second)
	for _, name := range f.names {
		require.Equal(t, []string{"b"}, f.syncStatus(name).Evacuated, name)
		require.Empty(t, f.logged(name, "zoneReturned"), name)
	}
	f.withdrawEvacuation("b")
	f.step(3 * time.Second)
	for _, name := range f.names {
		require.Empty(t, f.syncStatus(name).Evacuated, name)
	}
}

// Guards against an order that holds until it is withdrawn: when the backup lacks the order
// and operators do not issue it again, its zone would get no flows for good.
func TestOrderNotReissuedAfterRestoreExpires(t *testing.T) {
	f := newFleetWithEra(t, 2, 1)
	before := f.backup()
	f.evacuate("b")
	f.step(3 * time.Second)
	f.restore(before)
	f.step(6 * time.Second)
	for _, name := range f.names {
		require.Empty(t, f.syncStatus(name).Evacuated, name)
	}
}

// Guards against preferring the platform's version over a newer one of other hosts: when the
// backup has an older version and a host starts after the restore, reads it, and learns of
// the newer version from others, requests would be handled by the older version.
func TestPublishedVersionNeverGoesBack(t *testing.T) {
	f := newFleetWithEra(t, 3)
	before := f.backup()
	f.publish(7)
	f.step(2 * time.Second)
	f.restore(before)
	for range 20 {
		f.step(100 * time.Millisecond)
		for _, name := range f.names {
			require.Equal(t, uint64(7), f.hosts[name].steerer.Snapshot().Version, name)
		}
	}
	f.kill("a3")
	f.start("a3")
	f.step(10 * time.Millisecond)
	require.Equal(t, uint64(1), f.hosts["a3"].steerer.Snapshot().Version, "its own read")
	f.deniedHosts["a3"] = true
	f.settings = newSettings(7, routes()) // Hosts send the document of the version in force.
	f.step(600 * time.Millisecond)
	require.Equal(t, uint64(7), f.hosts["a3"].steerer.Snapshot().Version)
}

// Guards against comparing eras before incarnations: when the backup is from before a
// target's restart, hosts would return to its earlier incarnation.
func TestLaterIncarnationOutlastsRestore(t *testing.T) {
	f := newFleetWithEra(t, 1)
	before := f.backup()
	f.restart(restartedTarget)
	f.step(2 * time.Second)
	f.restore(before)
	f.step(2 * time.Second)
	require.Len(t, f.logged("a1", "targetReborn"), 1)
	f.restart(restartedTarget)
	f.step(2 * time.Second)
	require.Len(t, f.logged("a1", "targetReborn"), 1, "it is the life that was known")
	f.requireAll(restartedTarget, true, false)
}

// If the platform reports no era, a lower revision is an older state.
func TestLowerRevisionIsIgnoredWithoutEra(t *testing.T) {
	f := newFleet(t, 1)
	f.drain(drained)
	f.step(2 * time.Second)
	f.reduce("a1", &steerer.TargetsRead{Started: f.now, List: steerer.TargetList{Position: sequencer.At(0, 1)}})
	f.requireAll(drained, true, true)
	require.Zero(t, f.syncStatus("a1").Era)
}

// Guards against a read by every host: when the platform is restored and all hosts learn of
// it, a platform that has just recovered would be read by all of them at once. The hosts that
// find the restore inform the others.
func TestRestoreDoesNotMakeAllHostsReadPlatform(t *testing.T) {
	f := newFleetWithEra(t, 20, 20)
	before := f.backup()
	f.addTarget("i-10000009", "ledger", "a")
	f.step(3 * time.Second)
	reads := f.reads
	f.restore(before)
	f.step(3 * time.Second)
	for _, name := range f.names {
		require.Equal(t, uint64(4), f.syncStatus(name).TargetsEra, name)
	}
	require.Less(t, f.reads-reads, len(f.names), "two sources, each read about once a second by a few")
}

// Under random events of the platform, hosts and links, every host has the state of the
// platform's newest era once all faults have ended, and no host ever returns to an earlier
// position or version, or lists what only an ended era had.
func TestRandomRestoresAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleetWithEra(t, 2, 1)
		backups := []backup{f.backup()}
		newest := map[string]sequencer.Position{}
		versions := map[string]uint64{}
		published, added := uint64(1), 0
		for range rapid.IntRange(3, 12).Draw(t, "events") {
			switch rapid.IntRange(0, 11).Draw(t, "event") {
			case 0:
				backups = append(backups, f.backup())
			case 1, 2:
				f.restore(backups[rapid.IntRange(0, len(backups)-1).Draw(t, "backup")])
			case 3:
				added++
				f.addTarget(idOf(steerer.TargetNumber(0x10000100+added)), "ledger", "a")
			case 4:
				if _, ok := f.targets[drained]; ok {
					f.drain(drained)
				}
			case 5:
				f.remove(drained)
			case 6:
				published++
				f.publish(published)
			case 7:
				f.revision += 40
			case 8:
				name := rapid.SampledFrom(f.names).Draw(t, "host")
				f.deniedHosts[name] = !f.deniedHosts[name]
			case 9:
				name := rapid.SampledFrom(f.names).Draw(t, "host")
				f.isolate(name, rapid.Bool().Draw(t, "cut"))
			case 10:
				if zone := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"); f.orders.Includes(zone) {
					f.withdrawEvacuation(zone)
				} else {
					f.evacuate(zone)
				}
			case 11:
				f.targetsReadTime = time.Duration(rapid.IntRange(0, 600).Draw(t, "late")) * time.Millisecond
				f.reportDelay = time.Duration(rapid.IntRange(0, 400).Draw(t, "reportLate")) * time.Millisecond
			}
			f.step(time.Duration(rapid.IntRange(0, 900).Draw(t, "millis")) * time.Millisecond)
			for _, name := range f.names {
				status := f.syncStatus(name)
				at := sequencer.At(status.TargetsEra, status.Revision)
				require.False(t, at.Before(newest[name]), "%s went back from %s to %s", name, newest[name], at)
				require.GreaterOrEqual(t, status.Version, versions[name])
				newest[name], versions[name] = at, status.Version
			}
		}
		clear(f.deniedHosts)
		clear(f.cutLinks)
		f.targetsReadTime, f.reportDelay = 0, 0
		f.step(6 * time.Second)
		oracle := map[string]bool{}
		for id, target := range f.targets {
			oracle[id] = target.Draining
		}
		for _, name := range f.names {
			require.Equal(t, oracle, f.view(name), name)
			require.Equal(t, f.era, f.syncStatus(name).TargetsEra)
			require.ElementsMatch(t, f.orders.Zones, f.syncStatus(name).Evacuated, name)
		}
	})
}
