package steerer_test

import (
	"testing"
	"time"

	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

// openOn opens a flow that lands on a target of the caller's choice.
func openOn(f *fleet, name, target string, from int, idempotent bool) *caller {
	route := readRoute
	if !idempotent {
		route = checkRoute
	}
	for n := from; n < from+500; n++ {
		c := f.caller(n, route)
		c.open(name, 0)
		c.establish(name)
		if c.target == target {
			return c
		}
	}
	f.t.Fatalf("no flow landed on %s", target)
	return nil
}

// Symptom: callers of a target that crashed silently wait until their deadline.
// Sequence: a target stops answering while a read and a check wait for it.
// Cause: nobody tells the callers. The read may run again and is reset; the
// check may have run, its caller would not repeat it, and it is left alone.
func TestIdempotentRequestsToUnresponsiveTargetAreReset(t *testing.T) {
	f := newFleet(t, 1)
	const target = "i-10000001"
	read := openOn(f, "a1", target, 0, true)
	check := openOn(f, "a1", target, 1000, false)
	f.step(time.Second)
	f.probeOutcomes[target] = steerer.ProbeConnectTimeout
	read.sendRequest("a1")
	check.sendRequest("a1")
	f.step(200 * time.Millisecond)
	read.retransmit("a1")
	check.retransmit("a1")
	f.step(300 * time.Millisecond)
	require.Len(t, f.hosts["a1"].resets, 1)
	require.Equal(t, read.address, f.hosts["a1"].resets[0].Caller)

	for n := range 100 {
		c := f.caller(2000+n, readRoute)
		c.open("a1", 0)
		require.NotEqual(t, target, c.target, "new flows avoid it")
	}
	idle := read
	idle.sendRequest("a1")
	require.Len(t, f.hosts["a1"].resets, 2, "an idle flow's next request is told at once")
}

// Failure: open flows at a target that serves are reset, because the target holds all the
// connections that it may and resets that of a check.
func TestResetProbeDoesNotMakeTargetUnreachable(t *testing.T) {
	f := newFleet(t, 1)
	const target = "i-10000001"
	read := openOn(f, "a1", target, 0, true)
	f.step(time.Second)
	f.probeOutcomes[target] = steerer.ProbeReset
	read.sendRequest("a1")
	f.step(200 * time.Millisecond)
	read.retransmit("a1")
	f.step(300 * time.Millisecond)
	require.NotZero(t, f.probes)
	require.Empty(t, f.hosts["a1"].resets)
	for _, one := range f.hosts["a1"].steerer.TargetStatuses() {
		require.NotContains(t, one.AvoidReason, "no answer", one.Target)
	}
}

// Symptom: a flow whose target lives is reset. Sequence: one flow stalls, for a
// packet was lost; the target's check hangs, for its queue of connections is
// full; other flows make progress. Cause: trust in the check alone.
func TestTargetWithProgressIsNotUnreachable(t *testing.T) {
	f := newFleet(t, 1)
	const target = "i-10000001"
	stalled := openOn(f, "a1", target, 0, true)
	lively := openOn(f, "a1", target, 1000, true)
	f.step(time.Second)
	f.probeOutcomes[target] = steerer.ProbeConnectTimeout
	stalled.sendRequest("a1")
	f.step(200 * time.Millisecond)
	stalled.retransmit("a1")
	f.step(100 * time.Millisecond)
	lively.sendRequest("a1")
	f.step(50 * time.Millisecond)
	lively.ackResponse("a1")
	f.step(200 * time.Millisecond)
	stalled.retransmit("a1")
	require.Empty(t, f.hosts["a1"].resets)
}

// Symptom: a host that wakes resets the flows of targets that are well.
// Sequence: the host stands still for seconds; callers' repeats and the time-outs
// of checks come out at once. Cause: silence that was only the host's own.
func TestPausedHostDoesNotMakeTargetsUnreachable(t *testing.T) {
	f := newFleet(t, 1)
	const target = "i-10000001"
	c := openOn(f, "a1", target, 0, true)
	f.step(time.Second)
	f.probeOutcomes[target] = steerer.ProbeConnectTimeout
	c.sendRequest("a1")
	f.now = f.now.Add(3 * time.Second) // No tick comes meanwhile.
	c.retransmit("a1")
	c.retransmit("a1")
	f.step(400 * time.Millisecond)
	require.Empty(t, f.hosts["a1"].resets)
	require.Zero(t, f.probes)
}

// Symptom: flows of a crashed target wait although it refuses everyone.
// Sequence: the target restarts within its address; it resets every opening
// packet, straight to the caller. Cause: the host sees neither copy nor answer.
func TestTargetThatRefusesFlowsIsDetected(t *testing.T) {
	f := newFleet(t, 1)
	const target = "i-10000001"
	f.probeOutcomes[target] = steerer.ProbeRefused
	for n := 0; ; n++ {
		c := f.caller(n, readRoute)
		c.open("a1", 0)
		if c.target == target {
			break
		}
		c.establish("a1")
	}
	f.step(400 * time.Millisecond)
	for n := range 100 {
		c := f.caller(2000+n, readRoute)
		c.open("a1", 0)
		require.NotEqual(t, target, c.target)
	}
}

// Symptom: a crashed target swallows most of the new flows of its zone.
// Sequence: it resets each opening packet at once, straight to the caller, who
// tries again; it has the least load of all. Cause: flows that have not opened do
// not count as load, so it stays the least busy until it is found out.
func TestCrashedTargetDoesNotAttractFlows(t *testing.T) {
	f := newFleet(t, 1)
	const target = "i-10000001"
	f.probeOutcomes[target] = steerer.ProbeRefused
	swallowed, open := 0, 0
	for n := range 100 {
		c := f.caller(n, checkRoute)
		c.open("a1", 0)
		if c.target == target {
			swallowed++
		} else {
			c.establish("a1")
			c.sendRequest("a1")
			open++
		}
		f.step(2 * time.Millisecond)
	}
	require.LessOrEqual(t, swallowed, 1+open/3, "no more than its share among six")
}

// A target that did not answer gets flows again once it does, and is asked so
// rarely that checks stay few.
func TestUnreachableTargetRecovers(t *testing.T) {
	f := newFleet(t, 1)
	const target = "i-10000001"
	c := openOn(f, "a1", target, 0, true)
	f.step(time.Second)
	f.probeOutcomes[target] = steerer.ProbeConnectTimeout
	c.sendRequest("a1")
	f.step(200 * time.Millisecond)
	c.retransmit("a1")
	f.step(10 * time.Second)
	require.Len(t, f.hosts["a1"].resets, 1)
	require.LessOrEqual(t, f.probes, 6)
	delete(f.probeOutcomes, target)
	f.step(3 * time.Second)
	openOn(f, "a1", target, 3000, true)
}

// If no target of a service answers, flows are still tried: a flow that does not
// open costs its caller no more than a refusal.
func TestServiceWithOnlyUnreachableTargetsStillGetsFlows(t *testing.T) {
	f := newFleet(t, 1)
	var callers []*caller
	for id, target := range f.targets {
		if target.Service == "ledger" {
			f.probeOutcomes[id] = steerer.ProbeConnectTimeout
			callers = append(callers, openOn(f, "a1", id, 500*len(callers), true))
		}
	}
	f.step(time.Second)
	for _, c := range callers {
		c.sendRequest("a1")
	}
	f.step(200 * time.Millisecond)
	for _, c := range callers {
		c.retransmit("a1")
	}
	f.step(time.Second)
	c := f.caller(9000, readRoute)
	c.open("a1", 0)
	require.NotEmpty(t, c.target)
}

// Symptom: after a flood of flows one target gets no new ones any more.
// Sequence: more flows are open than the host remembers; each packet of the others
// begins a request that the host never sees end. Cause: load that is counted for
// flows which are not remembered.
func TestFlowsBeyondMaxFlowsAddNoLoad(t *testing.T) {
	f := newFleet(t, 1)
	f.hosts["a1"].maxFlows = 10
	f.kill("a1")
	f.start("a1")
	f.step(time.Second)
	var unremembered []*caller
	for n := range 200 {
		c := f.caller(n, readRoute)
		c.open("a1", 0)
		if n >= 10 && c.target == "i-10000001" {
			unremembered = append(unremembered, c)
		}
	}
	for _, c := range unremembered {
		c.establish("a1")
		c.sendRequest("a1")
		require.Equal(t, c.target, f.lastTarget("a1"))
	}
	f.step(20 * time.Second)
	placed := map[string]int{}
	for n := range 300 {
		c := f.caller(1000+n, readRoute)
		c.open("a1", 0)
		placed[c.target]++
	}
	require.Greater(t, placed["i-10000001"], 20, "%v", placed)
}
