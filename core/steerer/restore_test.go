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

// backup is what the platform held at some moment.
type backup struct {
	settings *steerer.Settings
	targets  map[string]steerer.Target
	orders   evacuator.Orders
	revision uint64
}

func (f *fleet) backup() backup {
	return backup{f.settings, maps.Clone(f.targets), f.orders, f.revision}
}

// restore puts the platform back to a backup and begins the next era.
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

// writeEntry writes a target's entry as it was.
func (f *fleet) writeEntry(target steerer.Target) {
	f.revision++
	f.targets[target.ID] = target
}

// newFleetWithEra starts hosts before a platform that tells its era.
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
	k := f.hosts[name].steerer.SyncResponse(&messenger.SyncRequest{IncludeTargets: true})
	for _, state := range k.Targets {
		if state.ID == id {
			return !state.Missing, state.Draining
		}
	}
	return false, false
}

// requireAll demands the same of all hosts' views of a target.
func (f *fleet) requireAll(id string, listed, draining bool) {
	for _, name := range f.names {
		l, d := f.listed(name, id)
		require.Equal(f.t, [2]bool{listed, draining}, [2]bool{l, d}, "%s of %s", id, name)
	}
}

func (f *fleet) advanceRevisionPast(revision uint64) { f.revision = max(f.revision, revision) + 5 }

const drained = "i-10000003"

// Symptom: new flows go to a target that drains, on all hosts, until they end. Sequence:
// the platform is restored; a target drains; the revision is below that which hosts have
// read, or beyond it. Cause: a list of a lower revision is ignored.
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

// Symptom: a restored platform's list is undone on all hosts. Sequence: a host is cut off
// from the platform and the others while it is restored; when it is heard again it tells
// what it saw at the old, higher revisions. Cause: states that are ordered by revision
// alone.
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

// isolate cuts a host off from all others, or ends that.
func (f *fleet) isolate(name string, cut bool) {
	for _, other := range f.names {
		f.cutLinks[[2]string{name, other}], f.cutLinks[[2]string{other, name}] = cut, cut
	}
}

// requireSame demands that two hosts list the same targets.
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

// Symptom: a host that was cut off goes by targets of an ended era for as long as the
// platform turns it away. Sequence: it is cut off through a restore and then hears others
// again, but not the platform. Cause: nothing in what it hears is newer by revision.
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

// Symptom: a host goes by what the restore has undone. Sequence: it has seen a target
// drain; another, which was cut off, has not, so the restored list is to it what it knew
// before; it tells the first one that list. Cause: states that keep the date of the ended
// era, among which the later one holds.
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

// Symptom: nobody reads the new history for seconds. Sequence: the platform is restored
// and one host has heard of it; others go on confirming what they read before. Cause: a
// confirmation of an ended era makes what it confirms look fresh.
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

// digest is what a host reports of its targets.
func (f *fleet) digest(name string) uint64 {
	for _, effect := range f.hosts[name].steerer.Reduce(f.stamped(&steerer.Tick{}, 400*time.Millisecond)) {
		if sent, ok := effect.(*steerer.SendReport); ok {
			return sent.Report.TargetsDigest
		}
	}
	f.t.Fatalf("%s reports nothing", name)
	return 0
}

// stamped lets time pass for an event that a test handles itself.
func (f *fleet) stamped(event steerer.Event, d time.Duration) steerer.Event {
	f.now = f.now.Add(d)
	steerer.SetTime(event, f.now)
	return event
}

// Symptom: what a read of the former life shows is put upon the new one. Sequence: a read
// begins; the platform is restored, and another host tells of it; then the answer comes.
// Cause: the answer's revision is the higher one.
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

// Symptom: a host goes by an ended era and takes it for fresh. Sequence: it reads; the
// platform is restored, and another host tells of it; then the answer comes, from before
// the restore. Cause: an answer that confirms what has ended.
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

// Symptom: flows go to a target that the platform does not list, for as long as a host is
// turned away. Sequence: a host is cut off through a restore; those that it then asks have
// started since, and have never heard of what only the ended era had. Cause: an answer of
// changes, which says nothing of what is not there.
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

// Symptom: a target that drains gets flows for a second more than it need. Sequence: the
// read of the settings finds the platform restored, just after one of the targets. Cause:
// targets that wait for their own turn.
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

// Symptom: a host that starts serves nobody, though others could tell it where packets go.
// Sequence: it starts after a restore, while the platform turns everybody away; it has
// heard of the new era, and only a host of the old one is left to tell it targets. Cause:
// what is of an ended era is not taken by a host that knows nothing.
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

// Symptom: hosts list what one of two restores has undone. Sequence: the platform is restored
// twice before all hosts have read it, to the same revision. Cause: two histories that look
// like one.
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

// Symptom: new flows go to a target that has left, or whose address another has. Sequence:
// the copy is from before it left, so it is listed again until its entry ends anew. Cause:
// what hosts knew of it is dropped with the era. The list is the platform's: it is listed,
// and gets nothing until what was lost is written again.
func TestTerminatedTargetRelistedByRestoreGetsNoFlows(t *testing.T) {
	f := newFleetWithEra(t, 1)
	before := f.backup()
	left := f.targets[drained]
	f.drain(drained)
	f.step(2 * time.Second)
	f.remove(drained)
	f.addTarget("i-30000001", "intake", "a") // It has the address of the one that left.
	reused := f.targets["i-30000001"]
	reused.Address = left.Address
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

// Symptom: flows are cut by the end of a target that had said so. Sequence: it drains; the
// copy is from before that; it says so again two seconds later. Cause: new flows go to it
// meanwhile, on every host. One that lives on and is never written as draining again gets
// flows after that.
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

// Symptom: callers are refused though every target works. Sequence: the copy lacks all
// targets of a service, which have started after it; they write again within two seconds.
// Cause: what a restored list lacks is taken for gone at once.
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

// Symptom: new flows go into a zone that is about to fail. Sequence: an order to evacuate
// it is given; the copy lacks the order; operators give it again two seconds later, at a
// revision below the first. Cause: an order of the new era that looks older, and one that
// ends at once though nobody has taken it back.
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

// Symptom: a zone gets no flows, for good. Sequence: an order is given; the copy lacks it, and
// operators do not give it again. Cause: an order that is held until somebody takes it back.
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

// Symptom: requests are handled as an older version allows, after a newer one was in
// force. Sequence: the copy has the older one; a host starts after the restore, reads it,
// and hears of the newer one from others. Cause: the platform's word holds over theirs.
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
	f.settings = newSettings(7, routes()) // Whoever is asked tells the document of the version in force.
	f.step(600 * time.Millisecond)
	require.Equal(t, uint64(7), f.hosts["a3"].steerer.Snapshot().Version)
}

// Symptom: after a restart of a target, a restore makes hosts believe in its earlier life.
// Sequence: the copy is from before the restart. Cause: eras that go before lives.
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

// A platform that tells no era is served as ever: a lower revision is an old view.
func TestLowerRevisionIsIgnoredWithoutEra(t *testing.T) {
	f := newFleet(t, 1)
	f.drain(drained)
	f.step(2 * time.Second)
	f.reduce("a1", &steerer.TargetsRead{Started: f.now, List: steerer.TargetList{Position: sequencer.At(0, 1)}})
	f.requireAll(drained, true, true)
	require.Zero(t, f.syncStatus("a1").Era)
}

// Symptom: a platform that has just come back is called by all hosts at once. Sequence: it is
// restored; every host hears of that. Cause: hosts that each read anew, where those that find
// it out may tell the others.
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

// Whatever the platform, hosts and links do, once all is calm every host knows what the
// platform says of the newest era; and none has ever gone back to an earlier position or
// version, or lists what an ended era alone had.
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
				k := f.syncStatus(name)
				at := sequencer.At(k.TargetsEra, k.Revision)
				require.False(t, at.Before(newest[name]), "%s went back from %s to %s", name, newest[name], at)
				require.GreaterOrEqual(t, k.Version, versions[name])
				newest[name], versions[name] = at, k.Version
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
