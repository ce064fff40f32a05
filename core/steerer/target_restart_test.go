package steerer_test

import (
	"slices"
	"testing"
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

const restartedTarget = "i-10000001"

// requestAt opens a flow at a target and asks for something.
func requestAt(f *fleet, name, target string, from int) *caller {
	c := openOn(f, name, target, from, true)
	c.sendRequest(name)
	return c
}

func statusOf(f *fleet, name, target string) steerer.TargetStatus {
	all := f.hosts[name].steerer.TargetStatuses()
	at := slices.IndexFunc(all, func(one steerer.TargetStatus) bool { return one.Target == target })
	require.GreaterOrEqual(f.t, at, 0, "%s knows %s", name, target)
	return all[at]
}

// Symptom: a target that has started again gets no flows for seconds, on the hosts that
// had found it out of reach. Sequence: it crashes and is found silent; it starts again
// under its ID; the next check of it is two seconds away. Cause: what was found of the
// earlier process is held against the new one.
func TestRestartedTargetIsUsedImmediately(t *testing.T) {
	f := newFleet(t, 2, 1)
	c := requestAt(f, "a1", restartedTarget, 100)
	f.probeOutcomes[restartedTarget] = steerer.ProbeRefused
	f.step(200 * time.Millisecond)
	c.retransmit("a1")
	f.step(100 * time.Millisecond)
	require.NotEmpty(t, statusOf(f, "a1", restartedTarget).AvoidReason)
	delete(f.probeOutcomes, restartedTarget)
	f.restart(restartedTarget)
	f.step(1300 * time.Millisecond)
	for _, name := range f.names {
		require.Empty(t, statusOf(f, name, restartedTarget).AvoidReason, name)
	}
}

// Symptom: a restarted target gets few flows. Sequence: it had requests under way when
// it crashed; nobody ends them. Cause: requests of the earlier life count as load.
func TestRequestsOfEarlierIncarnationAreNoLoad(t *testing.T) {
	f := newFleet(t, 2)
	for n := range 5 {
		requestAt(f, "a1", restartedTarget, 1000*(n+1))
	}
	f.step(300 * time.Millisecond)
	require.Equal(t, 5, statusOf(f, "a1", restartedTarget).Busy)
	require.Equal(t, 5, statusOf(f, "a2", restartedTarget).PeersBusy)
	f.restart(restartedTarget)
	f.step(1300 * time.Millisecond)
	require.Zero(t, statusOf(f, "a1", restartedTarget).Busy)
	require.Zero(t, statusOf(f, "a1", restartedTarget).Flows)
	require.Zero(t, statusOf(f, "a2", restartedTarget).PeersBusy)
}

// Symptom: a caller waits until its deadline. Sequence: it has asked in an open flow, and
// the target has acknowledged the request; the target starts again. Cause: nobody tells
// the caller, since it has nothing to repeat. The target itself does, with a reset, once
// it sees a packet of a flow that it does not hold; this host must not guess.
func TestInFlightRequestIsResentToNewIncarnation(t *testing.T) {
	f := newFleet(t, 1)
	c := requestAt(f, "a1", restartedTarget, 100)
	check := openOn(f, "a1", restartedTarget, 900, false)
	check.sendRequest("a1")
	sentBefore := len(f.hosts["a1"].sent)
	f.restart(restartedTarget)
	f.step(1300 * time.Millisecond)
	require.Equal(t, []sentPacket{{target: restartedTarget, data: "ask", flow: c.address.String()}}, f.hosts["a1"].sent[sentBefore:], "the read, not the check")
	require.Empty(t, f.hosts["a1"].resets)
	c.ackResponse("a1")
	require.Equal(t, restartedTarget, f.lastTarget("a1"), "the flow goes on if it had opened at the new life")
}

// Symptom: a target that serves is avoided after its restart. Sequence: a check of the
// target is under way when it starts again; its outcome, from the old process, comes
// after the news. Cause: an outcome that does not say of which life it is.
func TestProbeOfEarlierIncarnationIsIgnored(t *testing.T) {
	f := newFleet(t, 1)
	f.restart(restartedTarget)
	f.step(1300 * time.Millisecond)
	f.reduce("a1", &steerer.ProbeCompleted{Target: restartedTarget, Incarnation: 0, Outcome: steerer.ProbeRefused, Took: linkDelay})
	require.Empty(t, statusOf(f, "a1", restartedTarget).AvoidReason)
}

// Symptom: hosts forget a restart. Sequence: one host knows of it; another, which was cut
// off, tells it the target's earlier state, which it saw at a later revision of the
// platform, since a write of the earlier life was done late. Cause: states that are
// ordered by the platform's revision alone.
func TestLaterIncarnationOverridesLaterRevision(t *testing.T) {
	f := newFleet(t, 1, 1)
	old := f.targets[restartedTarget]
	f.restart(restartedTarget)
	f.step(1300 * time.Millisecond)
	late := messenger.TargetState{
		ID: old.ID, Revision: f.revision + 5, Service: old.Service, Address: old.Address, AvailabilityZone: old.AvailabilityZone,
		Slots: old.Slots, Draining: true,
	}
	f.reduce("a1", &steerer.ReportReceived{From: "b1", Report: &messenger.Report{
		Address: f.hosts["b1"].address, AvailabilityZone: "b", Incarnation: 1, SettingsRevision: 1, TargetsRevision: f.revision,
		TargetChanges: []messenger.TargetState{late},
	}})
	require.Empty(t, statusOf(f, "a1", restartedTarget).AvoidReason)
	late.Missing = true
	f.reduce("a1", &steerer.ReportReceived{From: "b1", Report: &messenger.Report{
		Address: f.hosts["b1"].address, AvailabilityZone: "b", Incarnation: 1, SettingsRevision: 1, TargetsRevision: f.revision,
		TargetChanges: []messenger.TargetState{late},
	}})
	require.Empty(t, statusOf(f, "a1", restartedTarget).AvoidReason)
}

// Symptom: a restarted target is avoided as one that fails its work. Sequence: a host of
// the zone that has not heard of the restart tells of quick answers and of requests under
// way. Cause: word of a target that does not say of which life it is.
func TestReportsFromBeforeARestartAreIgnored(t *testing.T) {
	f := newFleet(t, 2)
	f.restart(restartedTarget)
	f.step(1300 * time.Millisecond)
	tag := uint32(0x10000001)
	report := &messenger.Report{
		Address: f.hosts["a2"].address, AvailabilityZone: "a", Incarnation: 1, SettingsRevision: 1, TargetsRevision: f.revision - 1,
		InFlight: map[uint32]uint16{tag: 7}, FastFailing: []uint32{tag},
	}
	f.reduce("a1", &steerer.ReportReceived{From: "a2", Report: report})
	f.reduce("a1", &steerer.ReportReceived{From: "a2", Report: report})
	require.Zero(t, statusOf(f, "a1", restartedTarget).PeersBusy)
	later := *report
	later.TargetsRevision = f.revision
	f.reduce("a1", &steerer.ReportReceived{From: "a2", Report: &later})
	require.Equal(t, 7, statusOf(f, "a1", restartedTarget).PeersBusy)
}

// Symptom: some hosts use a restarted target and some don't. Sequence: one host reads the
// platform, the others learn by its reports, one of them seconds later, after a cut.
// Cause: news of a restart that only a read brings.
func TestRestartReachesEveryHost(t *testing.T) {
	f := newFleet(t, 2, 2, 1)
	f.splitZone("c")
	for _, name := range []string{"a1", "b1", "c1"} {
		requestAt(f, name, restartedTarget, 100)
	}
	f.deniedHosts["c1"] = true
	f.restart(restartedTarget)
	f.step(3 * time.Second)
	clear(f.cutLinks)
	f.step(2 * time.Second)
	for _, name := range []string{"a1", "b1", "c1"} {
		require.Zero(t, statusOf(f, name, restartedTarget).Busy, name)
	}
}

// Symptom: flows of one service reach another's target. Sequence: a target starts again
// under its ID in another service. Cause: it stays among the choices of the first.
func TestTargetRestartedInAnotherService(t *testing.T) {
	f := newFleet(t, 1)
	target := f.targets[restartedTarget]
	target.Service = "intake"
	f.targets[restartedTarget] = target
	f.restart(restartedTarget)
	f.step(1300 * time.Millisecond)
	landed := 0
	for n := range 100 {
		c := f.caller(n, readRoute)
		c.open("a1", 0)
		require.NotEqual(t, restartedTarget, c.target)
		c = f.caller(n, uploadRoute)
		c.open("a1", 0)
		if c.target == restartedTarget {
			landed++
		}
	}
	require.NotZero(t, landed)
}

// Symptom: a service stays closed to new flows. Sequence: a feed waits at a host; its
// target starts again under its ID in another service. Cause: the end of the wait is
// counted for the new service, so that one seems to wait at the old one for good.
func TestTargetRestartedInAnotherServiceLeavesNoQueuedRequest(t *testing.T) {
	f, c, _ := hostWithQueuedRead(t)
	target := f.targets[c.target]
	target.Service = "intake"
	f.targets[c.target] = target
	f.restart(c.target)
	f.step(900 * time.Millisecond)
	require.Zero(t, queuedRequests(f))
	other := f.caller(2, readRoute)
	other.open("a1", 0)
	require.NotEmpty(t, other.target)
}
