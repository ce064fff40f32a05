package reducer_test

import (
	"testing"
	"time"

	"cranberryspan.dev/core/driver"
	"cranberryspan.dev/core/messenger"
	"github.com/stretchr/testify/require"
)

// Guards against new work for a draining target, which is aborted when the target
// stops: a target is set to draining while the platform is unreachable for some
// hosts, a host is partitioned or paused, or only one host has read the change. New
// work keeps arriving at every host, and a paused host resumes with a full queue. A
// host that continues under settings no longer in force would assign it to the
// target.
func TestDrainingTargetGetsNoNewWork(t *testing.T) {
	const after = 5 * time.Second
	drained := threeZoneTree()
	drained.Services[0].DrainingTargetNumbers = intRange(1, 7)
	tests := []struct {
		name   string
		during func(f *driver.Simulation)
		end    func(f *driver.Simulation)
	}{
		{"platform down after one read", func(f *driver.Simulation) {
			f.Step(tickInterval)
			f.PlatformDown = true
		}, func(*driver.Simulation) {}},
		{"leave seen by one host only", func(f *driver.Simulation) {
			for _, name := range f.HostNames() {
				f.SetPlatformCut(name, name != "b1")
			}
		}, func(*driver.Simulation) {}},
		{"one host cut off", func(f *driver.Simulation) {
			f.SetPlatformCut("a1", true)
			f.Partition("a1")
		}, func(f *driver.Simulation) { f.HealPartition("a1") }},
		{"paused host wakes", func(f *driver.Simulation) { f.Pause("a1") }, func(f *driver.Simulation) { f.Resume("a1") }},
		{"two paused hosts wake, one cut off", func(f *driver.Simulation) {
			f.Pause("a1")
			f.Pause("c1")
		}, func(f *driver.Simulation) {
			f.SetPlatformCut("c1", true)
			f.Partition("c1")
			f.Resume("a1")
			f.Resume("c1")
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, threeZoneTree())
			establishFlows(t, f, 60)
			published := f.Now
			f.Publish(drained.Document())
			test.during(f)
			for second := range 20 {
				sendNewWork(f, second)
				f.Step(time.Second)
			}
			test.end(f)
			for second := range 6 {
				sendNewWork(f, 100+second)
				f.Step(time.Second)
			}
			newWorkPackets := 0
			for _, p := range f.TargetPackets {
				draining := false
				for _, n := range intRange(1, 7) {
					draining = draining || p.Target == driver.TargetAddress(n)
				}
				if draining && p.At > published.Add(after) && p.Packet.Flags.Has(messenger.FlagOpensFlow) {
					newWorkPackets++
				}
			}
			require.Zero(t, newWorkPackets, "new work given to draining targets")
		})
	}
}

// sendNewWork sends packets of new flows, and new requests of established flows.
func sendNewWork(f *driver.Simulation, round int) {
	sendNewFlows(f, 30)
	for n := range 60 {
		f.SendPacket("", requestID(n, 1, 1000+round), requestPacket(openRead))
	}
}

// Guards against requests that are lost when a host is shut down gracefully: a host
// gets SIGTERM and a target drains while requests run, with another host of the
// cell dead. The failure comes about if the host ends before its requests, or if
// their responses reach hosts that have no record of them.
func TestGracefulShutdownLosesNoRequests(t *testing.T) {
	drained := threeZoneTree()
	drained.Services[0].DrainingTargetNumbers = intRange(1, 7)
	for _, dead := range []string{"", "a2", "b1"} {
		t.Run("dead "+dead, func(t *testing.T) {
			f := newFleet(t, threeZoneTree())
			for _, n := range intRange(1, 14) {
				f.Target(driver.TargetAddress(n)).ProcessingTime = 600 * time.Millisecond
			}
			if dead != "" {
				f.Kill(dead)
				f.Step(5 * time.Second)
			}
			const flows = 20
			targets := establishFlows(t, f, flows)
			number := 0
			burst := func() {
				number++
				for n := range flows {
					flags := openWrite
					if n%2 == 0 {
						flags = openRead
					}
					f.SendPacket("", requestID(n, 1, 5000+number), requestPacket(flags))
				}
				f.Step(50 * time.Millisecond)
			}
			burst()
			f.Shutdown("a1")
			f.Publish(drained.Document())
			for range 20 {
				burst()
			}
			require.True(t, f.StepUntil(10*time.Second, func() bool { return f.HasLeft("a1") }))
			f.Step(5 * time.Second)
			burst()
			f.Step(3 * time.Second)
			for i := 1; i <= number; i++ {
				for n := range flows {
					require.True(t, answered(f, requestID(n, 1, 5000+i)), "request %d of caller %d", i, n)
				}
			}
			requireAtMostOnce(t, f)
			require.Empty(t, f.Replies, "no caller was refused")
			requireSameTargets(t, f, targets, 9000)
		})
	}
}

// Guards against requests answered with "outcome unknown" during a rolling
// replacement: in zones of two and three hosts, every host is shut down and
// restarted, one after another, under load. If transferred votes could not be cast
// until all older ones had expired, no host of the cell would have a quorum for a
// while.
func TestRollingReplacementRefusesNothing(t *testing.T) {
	tree := threeZoneTree()
	tree.HostsPerZone = []int{2, 3}
	f := newFleet(t, tree)
	const flows = 40
	number := 0
	burst := func() {
		number++
		for n := range flows {
			f.SendPacket("", requestID(n, 1, number), requestPacket(openWrite))
		}
		f.Step(40 * time.Millisecond)
	}
	for _, name := range tree.HostNames() {
		f.Shutdown(name)
		for !f.HasLeft(name) {
			burst()
		}
		f.Start(name)
		for !f.Reducer(name).Ready() {
			burst()
		}
	}
	f.Step(3 * time.Second)
	require.Empty(t, f.Replies)
	for i := 1; i <= number; i++ {
		for n := range flows {
			require.True(t, answered(f, requestID(n, 1, i)), "request %d of caller %d", i, n)
		}
	}
	requireAtMostOnce(t, f)
}

// Guards against uploads that are answered with "unknown" 5 s later while hosts are
// replaced one after another, or aborted because a block goes to another target: a
// host starts and gets packets before it has received a heartbeat from any other
// host. It forwards reads and blocks to targets itself, and their responses go to
// the owners of the flows. If the host waits for these responses, their slots at
// the targets stay taken, so that later blocks are queued until their deadline or
// go to another target.
func TestHostWithoutPeersReleasesTargetSlots(t *testing.T) {
	tree := threeZoneTree()
	tree.Defaults = []string{"exchangeLifetime: 10s", "flowMemory: 5m", "slots: 1"}
	f := newFleet(t, tree)
	f.Kill("a1")
	f.Step(4 * time.Second)
	f.Start("a1")
	f.Step(5 * time.Millisecond)
	const flows = 60
	for n := range flows {
		f.SendPacket("a1", requestID(n, 2, 1), requestPacket(openRead|block))
	}
	f.Step(500 * time.Millisecond)
	for n := range flows {
		f.SendPacket("a1", requestID(n, 2, 2), requestPacket(idempotent|block))
		f.Step(20 * time.Millisecond)
	}
	f.Step(time.Second)
	for n := range flows {
		require.True(t, answered(f, requestID(n, 2, 1)), "first block of flow %d", n)
		require.True(t, answered(f, requestID(n, 2, 2)), "second block of flow %d", n)
		require.Equal(t, targetOf(t, f, requestID(n, 2, 1)), targetOf(t, f, requestID(n, 2, 2)), "flow %d", n)
	}
	f.Step(6 * time.Second)
	require.Empty(t, f.Replies)
}

// Guards against the failure of TestHostWithoutPeersReleasesTargetSlots when it comes
// about through responses: a host starts and gets responses before it has received a
// heartbeat from any other host, acts as if it were the only one and delivers them.
// The owners of the flows never receive these responses, and keep the slots taken
// until the deadline of their requests.
func TestStartingHostAcceptsNoPacketsBeforePeerDiscovery(t *testing.T) {
	tree := threeZoneTree()
	tree.Defaults = []string{"exchangeLifetime: 10s", "flowMemory: 5m", "slots: 2"}
	f := newFleet(t, tree)
	f.Kill("a1")
	f.Step(4 * time.Second)
	f.Partition("a1") // The others reconnect to a restarted host only after a delay.
	f.Start("a1")
	const flows = 40
	number := 0
	for round := range 30 {
		if round == 8 {
			f.HealPartition("a1")
		}
		number++
		for n := range flows {
			f.SendPacket("", requestID(n, 2, number), requestPacket(openRead|block))
		}
		f.Step(40 * time.Millisecond)
	}
	f.Step(time.Second)
	for i := 1; i <= number; i++ {
		for n := range flows {
			require.True(t, answered(f, requestID(n, 2, i)), "request %d of caller %d", i, n)
		}
	}
	f.Step(6 * time.Second)
	require.Empty(t, f.Replies)
	require.True(t, f.Reducer("a1").Accepting())
}

// Guards against single requests, about one in 100,000, that are answered with
// "outcome unknown" after 5 s during a rolling replacement: an owner has its
// successor store a request's identity as a witness, and hands the unsent request
// over to a joining host before the successor confirms; then the successor hands its
// records over to the same host, the request's identity among them. The joining host
// would assume that the request may have run, and wait for a response that no host
// gives.
func TestUnsentRequestRunsDespiteWitnessedIdentity(t *testing.T) {
	tree := threeZoneTree()
	tree.HostsPerZone = []int{3}
	tree.Defaults = []string{"exchangeLifetime: 10s", "flowMemory: 5m", "slots: 500"}
	f := newFleet(t, tree)
	var callers []int // Callers whose flows are owned by a3, which joins below.
	for n := range 8000 {
		if ownerOf(f, requestID(n, 1, 1), 1) == "a3" {
			callers = append(callers, n)
		}
	}
	f.Shutdown("a3")
	require.True(t, f.StepUntil(10*time.Second, func() bool { return f.HasLeft("a3") }))
	f.Step(time.Second)
	var writers []int
	for _, n := range callers {
		if ownerOf(f, requestID(n, 1, 1), 1) == "a2" {
			writers = append(writers, n)
			continue
		}
		// The other owner has more records, so it hands over later.
		f.SendPacket("a1", requestID(n, 1, 1), requestPacket(openRead))
		f.Step(tickInterval / 10)
	}
	f.Start("a3")
	number := 1
	for !f.Reducer("a3").Ready() {
		number++
		for ms := range 20 {
			f.SendPacketAfter(time.Duration(ms)*time.Millisecond, "a2", requestID(writers[ms], 1, number), requestPacket(openWrite))
		}
		f.Step(20 * time.Millisecond)
	}
	f.Step(6 * time.Second)
	for _, reply := range f.Replies {
		// The response to a running request may go to its caller without passing
		// the next owner. That owner then sends a final reply to a caller that
		// already has the response.
		require.True(t, answered(f, reply.ID), "%v was answered %v: %v", reply.ID, reply.Outcome, reply.Reason)
	}
	for i := 2; i <= number; i++ {
		for ms := range 20 {
			require.True(t, answered(f, requestID(writers[ms], 1, i)), "request %d of caller %d", i, ms)
		}
	}
	requireAtMostOnce(t, f)
}
