package reducer_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"cranberryspan.dev/core/driver"
	"github.com/stretchr/testify/require"
)

// Guards against streams and uploads cut by planned changes: when targets or hosts
// are added, drained or replaced after flows were established, the next packet of a
// flow may reach any host, and a host without a record of the flow computes another
// target from the new settings.
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

// establishFlows opens flows, alternately with a stream and an upload, and returns
// the target of each.
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
			// An acknowledgement may also go to the target of the flow's newer
			// requests.
			if !slices.Contains(targetsOf(f, requestID(n, 1, number+i)), target) {
				moved++
			}
		}
	}
	require.Zero(t, moved, "packets of established flows that reached another target")
}

// Guards against lost notifications: when the host that registered a stream dies,
// the target's notifications go to the shared return address and so to other hosts,
// which must deliver them. With a return address per host, only the dead host could,
// and the caller would see no more updates of the stream.
func TestNotificationsReachCallerThroughAnyHost(t *testing.T) {
	f := newFleet(t, threeZoneTree())
	id := requestID(1, 1, 1)
	f.SendPacket("", id, requestPacket(openRead|stream))
	f.Step(100 * time.Millisecond)
	require.True(t, answered(f, id))
	target := targetOf(t, f, id)
	owner := ownerOf(f, id, 1)
	f.Kill(owner)
	returnAddress := f.ReturnAddress(id)
	for range 50 {
		f.SendResponse(target, returnAddress, id, stream)
	}
	before := len(f.Responses)
	f.Step(100 * time.Millisecond)
	// The fabric may route some of them to the dead host before it detects the
	// failure.
	require.Equal(t, 50, len(f.Responses)-before)
}

// Guards against uploads cut when a host dies: when a target fails, the flows of its
// table entries open at other targets and are exceptions. When it has recovered
// and the owner of such a flow dies, the next block reaches a new owner, which can't
// derive the flow's target from the placement table.
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
	// Long enough for a sweep over all shards and for copying all exceptions within
	// the byte budget.
	f.Step(8 * time.Second)
	f.Kill("a1")
	f.Step(4 * time.Second)
	requireSameTargets(t, f, targets, 100)
}

// Guards against uploads that continue at another target: when a target is added
// during an upload, its table entry may go to another target. When the owner then
// dies, the next block reaches a host without a record, which must not place a packet
// that continues a flow like one that opens it.
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

// Guards against uploads cut on a flow that also has a stream: when the stream's
// target drains and an upload begins on the flow at another target, a record with
// only one target sends the upload's next blocks to the wrong one, also after the
// owner was replaced.
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
