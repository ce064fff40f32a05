package steerer_test

import (
	"testing"
	"time"

	"cranberryspan.dev/core/steerer"
	"cranberryspan.dev/core/timekeeper"
	"github.com/stretchr/testify/require"
)

// callerPool is a set of callers with established flows that send requests repeatedly,
// through different hosts.
type callerPool struct {
	f       *fleet
	callers []*caller
	hosts   []string
	// unresponsiveTargets holds the targets that do not respond; pendingSince holds when a
	// caller sent the request that has no response yet.
	unresponsiveTargets map[string]bool
	pendingSince        map[*caller]timekeeper.Instant
}

// retransmitInterval is the time after which a caller retransmits.
const retransmitInterval = 200 * time.Millisecond

// newCallerPool opens flows through each of the given hosts.
func newCallerPool(f *fleet, perHost int, names ...string) *callerPool {
	pool := &callerPool{f: f, unresponsiveTargets: map[string]bool{}, pendingSince: map[*caller]timekeeper.Instant{}}
	for _, name := range names {
		for range perHost {
			c := f.caller(len(pool.callers), readRoute)
			c.open(name, 0)
			c.establish(name)
			pool.callers = append(pool.callers, c)
			pool.hosts = append(pool.hosts, name)
			f.step(steerer.TickInterval)
		}
	}
	return pool
}

// run sends a request on one flow after the other, one every ten milliseconds. Each gets a
// response ten milliseconds later unless its target is unresponsive.
func (a *callerPool) run(duration time.Duration) {
	for clock := time.Duration(0); clock < duration; clock += 10 * time.Millisecond {
		at := int(clock/(10*time.Millisecond)) % len(a.callers)
		c, name := a.callers[at], a.hosts[at]
		a.sendOrRetransmit(c, name)
		a.f.step(10 * time.Millisecond)
		if _, waits := a.pendingSince[c]; waits && !a.unresponsiveTargets[c.target] {
			c.ackResponse(name)
			delete(a.pendingSince, c)
		}
	}
}

// sendOrRetransmit sends a caller's next request, or retransmits the current one if it is
// due.
func (a *callerPool) sendOrRetransmit(c *caller, name string) {
	sentAt, waits := a.pendingSince[c]
	switch {
	case !waits:
		c.sendRequest(name)
		a.pendingSince[c] = a.f.now
	case a.f.now.Since(sentAt) >= retransmitInterval:
		c.retransmit(name)
	}
}

// crashZone makes the targets of the ledger service in a zone unresponsive.
func (a *callerPool) crashZone(zone string) {
	for id, target := range a.f.targets {
		if target.AvailabilityZone == zone && target.Service == "ledger" {
			a.unresponsiveTargets[id] = true
			a.f.probeOutcomes[id] = steerer.ProbeConnectTimeout
		}
	}
}

// Guards against requests to a crashed zone being late by a retransmission timeout and a
// probe, and retried requests going to the next crashed target: when a zone crashes without
// sending resets while callers open flows and send requests, its targets must not be
// detected one by one, each by a caller that has to retransmit.
//
// The times follow from the retransmission timeout of 200 ms and a probe timeout of 150 ms,
// which the fixture reports late, after 250 ms: a host that waits for retransmissions needs
// 450 ms per target.
func TestCrashedZoneIsAvoidedImmediately(t *testing.T) {
	f := newFleet(t, 1, 1)
	pool := newCallerPool(f, 9, "a1")
	pool.run(2 * time.Second)
	pool.crashZone("a")
	first := f.caller(500, checkRoute)
	first.open("a1", 0)
	require.Equal(t, "a", f.targetZone(first.target))
	f.step(170 * time.Millisecond) // No caller has retransmitted yet.
	for n := range 10 {
		c := f.caller(600+n, checkRoute)
		c.open("a1", 0)
		require.Equal(t, "b", f.targetZone(c.target), "no caller is sent to a dead neighbour")
	}
	f.step(250 * time.Millisecond)
	for _, c := range pool.callers {
		c.sendRequest("a1")
	}
	require.Len(t, f.hosts["a1"].resets, len(pool.callers), "each is told at once to ask anew")
}

// Guards against flows going to other zones, where they cost more, whenever one target
// crashes: when one target of a zone is unresponsive and the others respond, the zone is
// not suspect.
func TestOneCrashedTargetDoesNotEmptyItsZone(t *testing.T) {
	f := newFleet(t, 1, 1)
	pool := newCallerPool(f, 9, "a1")
	pool.run(2 * time.Second)
	crashed := pool.callers[0].target
	pool.unresponsiveTargets[crashed] = true
	f.probeOutcomes[crashed] = steerer.ProbeConnectTimeout
	pool.run(time.Second)
	for n := range 3 { // As many as the two other targets have capacity for.
		c := f.caller(600+n, checkRoute)
		c.open("a1", 0)
		require.Equal(t, "a", f.targetZone(c.target))
		require.NotEqual(t, crashed, c.target)
	}
}

// Guards against a host that is short of CPU time resetting flows of working targets: when
// the responses to its probes arrive in time but are handled too late, a probe that timed
// out because of the host itself is inconclusive.
func TestLateProbeDoesNotMakeTargetUnreachable(t *testing.T) {
	f := newFleet(t, 1)
	pool := newCallerPool(f, 6, "a1")
	pool.run(time.Second)
	c := pool.callers[0]
	c.sendRequest("a1")
	f.step(400 * time.Millisecond)
	other := pool.callers[1]
	require.NotEqual(t, c.target, other.target)
	other.sendRequest("a1")
	other.ackResponse("a1") // The zone responds, so the probe has the longer timeout.
	c.retransmit("a1")
	f.reduce("a1", &steerer.ProbeCompleted{Target: c.target, Outcome: steerer.ProbeConnectTimeout, Took: 310 * time.Millisecond})
	require.Empty(t, f.hosts["a1"].resets)
}

// Guards against a crashed target costing a late request at each host of its zone: when one
// host finds it unresponsive, it reports it to the others. The report makes no host reset
// flows: a host that reaches the target keeps them.
func TestUnresponsiveTargetsAreReportedToOtherHosts(t *testing.T) {
	f := newFleet(t, 3)
	pool := newCallerPool(f, 6, "a1", "a2")
	pool.run(time.Second)
	crashed := pool.callers[0].target
	f.probeOutcomes[crashed] = steerer.ProbeConnectTimeout
	c := pool.callers[0]
	c.sendRequest("a1")
	f.step(200 * time.Millisecond)
	c.retransmit("a1")
	f.step(400 * time.Millisecond)
	require.Len(t, f.hosts["a1"].resets, 1)
	delete(f.probeOutcomes, crashed) // The other hosts reach it.
	for _, name := range []string{"a2", "a3"} {
		for n := range 10 {
			c := f.caller(700+n, checkRoute)
			c.open(name, 0)
			require.NotEqual(t, crashed, c.target, name)
		}
	}
	f.step(time.Second)
	require.Empty(t, f.hosts["a2"].resets)
}

// openFlowInPartitionedZone evacuates zone a, then partitions it from the given other zones,
// whose targets and hosts become unresponsive, and opens a flow there.
func openFlowInPartitionedZone(t *testing.T, partition func(f *fleet), others ...string) (*fleet, *caller) {
	hosts := []int{2}
	for range others {
		hosts = append(hosts, 2)
	}
	f := newFleet(t, hosts...)
	f.evacuate("a")
	f.step(2 * time.Second)
	pool := newCallerPool(f, 8, "a1")
	pool.run(2 * time.Second)
	partition(f)
	for _, zone := range others {
		pool.crashZone(zone)
	}
	pool.run(1200 * time.Millisecond)
	c := f.caller(600, checkRoute)
	c.open("a1", 0)
	return f, c
}

func isolateZoneA(f *fleet) { f.isolateZone("a") }

// Guards against a partitioned evacuated zone failing every request although its targets
// work: when the zone is evacuated and then partitioned, its hosts reach only their own
// targets and receive no reports from other zones, so nothing confirms that the order is
// still valid. The order applies again as soon as such reports arrive.
func TestPartitionedEvacuatedZoneUsesItsOwnTargets(t *testing.T) {
	f, c := openFlowInPartitionedZone(t, isolateZoneA, "b", "c")
	require.Equal(t, "a", f.targetZone(c.target))
	f.rejoinZone()
	f.step(1500 * time.Millisecond)
	c = f.caller(601, checkRoute)
	c.open("a1", 0)
	require.NotEqual(t, "a", f.targetZone(c.target))
}

// As above, with one other zone: it may be that zone that was lost, so the order remains
// valid.
func TestEvacuationOrderHoldsWhenOnlyOtherZoneIsLost(t *testing.T) {
	f, c := openFlowInPartitionedZone(t, isolateZoneA, "b")
	require.NotEqual(t, "a", f.targetZone(c.target))
}

// Guards against flows to an evacuated zone whose order the platform confirms, while the zone is
// partitioned from all others.
func TestPartitionedZoneFollowsAnOrderThatThePlatformConfirms(t *testing.T) {
	f, c := openFlowInPartitionedZone(t, func(f *fleet) { f.splitZone("a") }, "b", "c")
	require.NotEqual(t, "a", f.targetZone(c.target))
}

// Guards against requests failing at their deadline although they reach working hosts: when
// a zone loses power, both hosts and targets, and the fabric hands its callers' packets to
// another zone, the hosts there have never sent anything to the lost targets and must not
// wait for another retransmission of each caller.
func TestFlowsOfALostZoneAreResetPromptly(t *testing.T) {
	f := newFleet(t, 2, 2)
	pool := newCallerPool(f, 4, "a1", "a2")
	pool.run(time.Second)
	pool.crashZone("a")
	f.kill("a1")
	f.kill("a2")
	f.step(1300 * time.Millisecond)
	for _, c := range pool.callers {
		c.sendRequest("b1")
	}
	f.step(300 * time.Millisecond)
	require.Len(t, f.hosts["b1"].resets, len(pool.callers))
}
