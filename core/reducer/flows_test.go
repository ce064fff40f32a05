package reducer_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"cranberryspan.dev/core/driver"
	"github.com/stretchr/testify/require"
)

// Symptom: a dashboard stream or an upload is cut by a change that was planned.
// Sequence: flows are established; targets or hosts are added, drained,
// replaced; the next packet of a flow reaches any host.
// Cause: a host that has no record of the flow computes its target from the new
// settings, under which the flow would be placed elsewhere.
func TestEstablishedFlowsKeepTargetAcrossPlannedChanges(t *testing.T) {
	drained := threeZoneTree()
	drained.Services[0].DrainingTargetNumbers = []int{3, 7}
	added := threeZoneTree()
	added.Services[0].TargetNumbers = intRange(1, 18)
	replaced := threeZoneTree()
	replaced.Services[0].TargetNumbers = intRange(1, 18)
	replaced.Services[0].DrainingTargetNumbers = intRange(1, 4)

	replaceHosts := func(t *testing.T, f *driver.Simulation, names ...string) {
		for _, name := range names {
			f.Shutdown(name)
			require.True(t, f.StepUntil(10*time.Second, func() bool { return f.HasLeft(name) }), "%s has not left", name)
			f.Start(name)
			waitReady(t, f, name)
		}
	}
	tests := []struct {
		name   string
		change func(t *testing.T, f *driver.Simulation)
	}{
		{"target added", func(_ *testing.T, f *driver.Simulation) { f.Publish(added.Document()) }},
		{"targets drained", func(_ *testing.T, f *driver.Simulation) { f.Publish(drained.Document()) }},
		{"targets replaced", func(_ *testing.T, f *driver.Simulation) { f.Publish(replaced.Document()) }},
		{"host drained", func(t *testing.T, f *driver.Simulation) {
			f.Shutdown("a2")
			require.True(t, f.StepUntil(10*time.Second, func() bool { return f.HasLeft("a2") }))
		}},
		{"all hosts replaced in turn", func(t *testing.T, f *driver.Simulation) { replaceHosts(t, f, f.HostNames()...) }},
		{"targets drained, then all hosts replaced", func(t *testing.T, f *driver.Simulation) {
			f.Publish(drained.Document())
			f.Step(time.Second)
			replaceHosts(t, f, f.HostNames()...)
		}},
		{"hosts replaced while targets are", func(t *testing.T, f *driver.Simulation) {
			f.Shutdown("a1")
			f.Publish(replaced.Document())
			f.Shutdown("b2")
			f.Step(300 * time.Millisecond)
			replaceHosts(t, f, "c1")
		}},
		{"half of the hosts one revision behind", func(_ *testing.T, f *driver.Simulation) {
			for _, name := range []string{"a1", "a2", "a3", "c1"} {
				f.SetPlatformCut(name, true)
			}
			f.Publish(drained.Document())
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, threeZoneTree())
			targets := establishFlows(t, f, 200)
			test.change(t, f)
			f.Step(50 * time.Millisecond)
			requireSameTargets(t, f, targets, 100)
			f.Step(7 * time.Second)
			requireSameTargets(t, f, targets, 200)
		})
	}
}

// establishFlows opens flows: streams and uploads in turn.
func establishFlows(t *testing.T, f *driver.Simulation, flows int) []netip.AddrPort {
	t.Helper()
	for n := range flows {
		flags := openRead | stream
		if n%2 == 1 {
			flags = openRead | block
		}
		require.True(t, f.SendPacket("", requestID(n, 1, 1), requestPacket(flags)))
	}
	f.Step(500 * time.Millisecond)
	targets := make([]netip.AddrPort, flows)
	for n := range flows {
		targets[n] = targetOf(t, f, requestID(n, 1, 1))
	}
	return targets
}

// requireSameTargets sends each flow's next packet, through two hosts, and checks
// that it reaches the flow's target.
func requireSameTargets(t *testing.T, f *driver.Simulation, targets []netip.AddrPort, number int) {
	t.Helper()
	for i := range 2 {
		for n := range targets {
			if n%2 == 0 {
				require.True(t, f.SendPacket("", requestID(n, 1, number+i), controlPacket()))
			} else {
				require.True(t, f.SendPacket("", requestID(n, 1, number+i), requestPacket(idempotent|block)))
			}
		}
	}
	f.Step(500 * time.Millisecond)
	moved := 0
	for i := range 2 {
		for n, target := range targets {
			// An acknowledgement may go to the target of the flow's newer
			// requests too.
			if !slices.Contains(targetsOf(f, requestID(n, 1, number+i)), target) {
				moved++
			}
		}
	}
	require.Zero(t, moved, "packets of established flows that reached another target")
}

// Symptom: a stream goes on, but the finance officer's screen stands still.
// Sequence: the host that registered a stream dies; the target's notifications
// go to the shared return address and so to other hosts.
// Cause: with an address of each host's own, only that host could pass them on.
func TestNotificationsReachCallerThroughAnyHost(t *testing.T) {
	f := newFleet(t, threeZoneTree())
	id := requestID(1, 1, 1)
	f.SendPacket("", id, requestPacket(openRead|stream))
	f.Step(100 * time.Millisecond)
	require.True(t, answered(f, id))
	target := targetOf(t, f, id)
	owner := ownerOf(f, id, 1)
	f.Kill(owner)
	back := f.ReturnAddress(id)
	for range 50 {
		f.SendResponse(target, back, id, stream)
	}
	before := len(f.Answers)
	f.Step(100 * time.Millisecond)
	// The fabric may hand some to the dead host before it notices.
	require.Equal(t, 50, len(f.Answers)-before)
}

// Symptom: an upload is cut when a host dies.
// Sequence: a target is ill, so that flows of its slots open elsewhere; it
// recovers; the owner of such a flow dies unplanned; the next block reaches the
// new owner.
// Cause: the flow is an exception that no table tells, and only its owner knew.
func TestSuccessorKnowsExceptions(t *testing.T) {
	f := newFleet(t, threeZoneTree())
	for _, n := range intRange(1, 5) {
		f.Target(driver.TargetAddress(n)).Down = true
	}
	f.Step(6 * time.Second)
	targets := establishFlows(t, f, 200)
	for _, n := range intRange(1, 5) {
		f.Target(driver.TargetAddress(n)).Down = false
	}
	// One round of the table, and the budget of control bytes, in full.
	f.Step(8 * time.Second)
	f.Kill("a1")
	f.Step(4 * time.Second)
	requireSameTargets(t, f, targets, 100)
}

// Symptom: an upload goes to another target in its middle.
// Sequence: an upload is under way; a target is added, so that its slot changes
// hands; its owner dies, and the next block reaches a host without a record.
// Cause: a packet that can only continue a flow is placed like a new one.
func TestUnknownFlowUsesPreviousPlacement(t *testing.T) {
	added := threeZoneTree()
	added.Services[0].TargetNumbers = intRange(1, 20)
	f := newFleet(t, threeZoneTree())
	targets := establishFlows(t, f, 200)
	f.Publish(added.Document())
	f.Step(500 * time.Millisecond)
	for _, name := range []string{"a1", "a2", "b1", "b3", "c1"} {
		f.Kill(name)
	}
	f.Step(1500 * time.Millisecond)
	moved, reached := 0, 0
	for n := 1; n < len(targets); n += 2 {
		f.SendPacket("a3", requestID(n, 1, 100), requestPacket(idempotent|block))
	}
	f.Step(500 * time.Millisecond)
	for n := 1; n < len(targets); n += 2 {
		for _, target := range targetsOf(f, requestID(n, 1, 100)) {
			reached++
			if target != targets[n] {
				moved++
			}
		}
	}
	require.Zero(t, moved)
	require.GreaterOrEqual(t, reached, 90)
}

// Symptom: an upload is cut in its middle, on a flow that also has a stream.
// Sequence: the stream's target drains; an upload begins on the flow, at another
// target; its next blocks follow, also after the owner was replaced.
// Cause: one target remembered for two kinds of work.
func TestUploadStartedWhileStreamTargetDrains(t *testing.T) {
	drained := threeZoneTree()
	drained.Services[0].DrainingTargetNumbers = intRange(1, 7)
	f := newFleet(t, threeZoneTree())
	const flows = 60
	for n := range flows {
		f.SendPacket("", requestID(n, 1, 1), requestPacket(openRead|stream))
	}
	f.Step(200 * time.Millisecond)
	f.Publish(drained.Document())
	f.Step(2 * time.Second)
	for n := range flows {
		f.SendPacket("", requestID(n, 1, 2), requestPacket(openRead|block))
	}
	f.Step(200 * time.Millisecond)
	blocks := func(number int) {
		for n := range flows {
			f.SendPacket("", requestID(n, 1, number), requestPacket(idempotent|block))
		}
		f.Step(200 * time.Millisecond)
		for n := range flows {
			require.Equal(t, targetOf(t, f, requestID(n, 1, 2)), targetOf(t, f, requestID(n, 1, number)), "caller %d", n)
		}
	}
	blocks(3)
	f.Shutdown("a1")
	require.True(t, f.StepUntil(10*time.Second, func() bool { return f.HasLeft("a1") }))
	blocks(4)
	for n := range flows {
		f.SendPacket("", requestID(n, 1, 5), controlPacket())
	}
	f.Step(200 * time.Millisecond)
	for n := range flows {
		require.Contains(t, targetsOf(f, requestID(n, 1, 5)), targetOf(t, f, requestID(n, 1, 1)), "the stream's acknowledgements still reach it")
	}
}
