package steerer_test

import (
	"testing"
	"time"

	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

// objectiveRoutes are the fleet's routes with objectives, as crowds are judged by them.
func objectiveRoutes() []steerer.Route {
	all := routes()
	for i := range all {
		all[i].LatencyObjective = 250 * time.Millisecond
		all[i].Priority = 2
	}
	all[1].Priority = 1
	return all
}

// congestedHost is a host whose ledger is pressed: answers take 100 ms as usual, then 400.
func congestedHost(t *testing.T) *fleet {
	f := newFleet(t, 1)
	f.settings = newSettings(2, objectiveRoutes())
	f.step(2 * time.Second)
	for n := range 60 {
		requestWithLatency(f, "a1", 20_000+n, 100*time.Millisecond)
	}
	congest(f, 21_000)
	require.Equal(t, 1, f.hosts["a1"].steerer.Snapshot().Congested)
	return f
}

// congest lets answers take so long that the service is pressed, with a window of one.
func congest(f *fleet, from int) {
	for n := range 40 {
		requestWithLatency(f, "a1", from+n, 400*time.Millisecond)
	}
}

// openReadFlow opens a flow to read from before the crowd.
func openReadFlow(f *fleet, n int) *caller {
	c := f.caller(n, readRoute)
	c.open("a1", 0)
	c.establish("a1")
	return c
}

// fillWindow lets checks take what the host may have under way.
func fillWindow(f *fleet, from int) []*caller {
	var all []*caller
	for n := range 8 {
		c := f.caller(from+n, checkRoute)
		c.open("a1", 0)
		c.establish("a1")
		c.sendRequest("a1")
		all = append(all, c)
	}
	return all
}

// hostWithQueuedRead is a pressed host where a feed's request waits behind checks.
func hostWithQueuedRead(t *testing.T) (*fleet, *caller, []*caller) {
	f := congestedHost(t)
	c := openReadFlow(f, 1)
	checks := fillWindow(f, 100)
	c.sendRequest("a1")
	require.Equal(t, 1, queuedRequests(f))
	return f, c, checks
}

func queuedRequests(f *fleet) int { return f.hosts["a1"].steerer.Snapshot().Queued }

// requireReset demands that nothing waits any more and that only a caller was reset.
func requireReset(t *testing.T, f *fleet, c *caller) {
	t.Helper()
	require.Zero(t, queuedRequests(f))
	require.Len(t, f.hosts["a1"].resets, 1)
	require.Equal(t, c.address, f.hosts["a1"].resets[0].Caller)
}

// Symptom: in a crowd checks are as late as feeds. Sequence: a service is pressed; a feed
// asks in its open flow, then a check comes. Cause: whatever comes first goes first.
func TestReadIsQueuedWhileServiceIsCongested(t *testing.T) {
	f := congestedHost(t)
	c := openReadFlow(f, 1)
	checks := fillWindow(f, 100)
	sentBefore := len(f.hosts["a1"].sent)
	c.sendRequest("a1")
	require.Equal(t, 1, queuedRequests(f))
	require.Len(t, f.hosts["a1"].sent, sentBefore, "the feed waits")
	check := f.caller(200, checkRoute)
	check.open("a1", 0)
	require.NotEmpty(t, check.target, "a check is placed at once")
	f.step(50 * time.Millisecond)
	for _, one := range checks {
		one.ackResponse("a1")
		one.close("a1")
	}
	require.Zero(t, queuedRequests(f))
	require.Contains(t, f.hosts["a1"].sent[sentBefore:], sentPacket{target: c.target, data: "ask", flow: c.address.String()}, "it goes to its own target")
}

// Symptom: a caller is held until it gives up. Sequence: a feed waits, and no room comes.
// Cause: a wait without a bound.
func TestQueuedRequestIsForwardedBeforeItsCallerTimesOut(t *testing.T) {
	f, _, _ := hostWithQueuedRead(t)
	f.step(500 * time.Millisecond)
	fillWindow(f, 300)
	require.Equal(t, 1, queuedRequests(f))
	f.step(700 * time.Millisecond)
	require.Zero(t, queuedRequests(f), "within half of the 2.5 s that its caller waits")
	require.NotEqual(t, 0, f.hosts["a1"].steerer.Snapshot().Counters[steerer.RequestQueued])
}

// Symptom: a target gets a request twice, or counts as silent. Sequence: a feed waits at
// the host, and its caller repeats the packet. Cause: a repeat that passes what waits.
func TestRetransmitsOfAQueuedRequestAreNotForwarded(t *testing.T) {
	f, c, checks := hostWithQueuedRead(t)
	before := len(f.hosts["a1"].sent)
	f.step(200 * time.Millisecond)
	c.retransmit("a1")
	require.Len(t, f.hosts["a1"].sent, before)
	require.Zero(t, f.probes)
	for _, one := range checks {
		one.ackResponse("a1")
	}
	asks := 0
	for _, s := range f.hosts["a1"].sent[before:] {
		if s.data == "ask" {
			asks++
		}
	}
	require.Equal(t, 1, asks)
}

// Symptom: targets work for callers that have gone. Sequence: a feed waits, its caller
// gives up and resets the flow. Cause: a request that outlives its caller.
func TestQueuedRequestIsDiscardedWhenItsCallerResets(t *testing.T) {
	f, c, _ := hostWithQueuedRead(t)
	before := len(f.hosts["a1"].sent)
	f.reduce("a1", &steerer.CallerPacket{Packet: c.packet(steerer.FlagReset|steerer.FlagAck, 0, "reset")})
	require.Zero(t, queuedRequests(f))
	require.Equal(t, "reset", f.hosts["a1"].sent[before].data)
	f.step(2 * time.Second)
	for _, s := range f.hosts["a1"].sent[before:] {
		require.NotEqual(t, "ask", s.data)
	}
}

// Symptom: new callers wait as long as those before them, and make all later. Sequence: a
// service is pressed and feeds wait; a new flow opens. Cause: flows that are taken though
// their requests can't be in time. Checks, which are worth more, are not refused.
func TestNewReadFlowIsRefusedWhileRequestsAreQueued(t *testing.T) {
	f := congestedHost(t)
	c := openReadFlow(f, 1)
	fillWindow(f, 100)
	other := f.caller(2, readRoute)
	other.open("a1", 0)
	require.NotEmpty(t, other.target, "nobody waits yet")
	c.sendRequest("a1")
	late := f.caller(3, readRoute)
	late.open("a1", 0)
	require.Empty(t, late.target)
	require.Equal(t, late.address, f.hosts["a1"].resets[len(f.hosts["a1"].resets)-1].Caller)
	check := f.caller(4, checkRoute)
	check.open("a1", 0)
	require.NotEmpty(t, check.target)
}

// Symptom: callers wait for a host that ends. Sequence: SIGTERM comes while feeds wait.
// Cause: what waits is forgotten with the process.
func TestLeavingHostForwardsQueuedRequests(t *testing.T) {
	f, c, _ := hostWithQueuedRead(t)
	f.reduce("a1", &steerer.Shutdown{})
	require.Zero(t, queuedRequests(f))
	require.Equal(t, c.target, f.lastTarget("a1"))
	c.ackResponse("a1")
	c.sendRequest("a1")
	require.Zero(t, queuedRequests(f), "nothing waits at a host that leaves")
}

// Symptom: a feed waits at its host for a target that is silent. Sequence: the target
// crashes; a check of it fails. Cause: only requests that were passed on are given up.
func TestQueuedRequestOfAnUnresponsiveTargetIsReset(t *testing.T) {
	f, c, _ := hostWithQueuedRead(t)
	f.probeOutcomes[c.target] = steerer.ProbeRefused
	f.step(200 * time.Millisecond)
	f.reduce("a1", &steerer.ProbeCompleted{Target: c.target, Outcome: steerer.ProbeRefused, Took: linkDelay})
	requireReset(t, f, c)
}

// Symptom: a request reaches a service that its route no longer names. Sequence: a feed
// waits; a version drops its route. Cause: what waits is passed on unseen.
func TestQueuedRequestOfARemovedRouteIsReset(t *testing.T) {
	f, c, _ := hostWithQueuedRead(t)
	f.settings = newSettings(3, objectiveRoutes()[1:])
	f.step(1500 * time.Millisecond)
	requireReset(t, f, c)
}

// Symptom: a service is throttled for seconds after its targets reset flows. Sequence:
// targets that are full reset flows, which tells only their callers. Cause: requests
// whose answers nobody sees count as under way until their timeout.
func TestUnseenResetsDoNotBlockTheQueue(t *testing.T) {
	f, _, _ := hostWithQueuedRead(t)
	f.step(time.Second)
	require.Zero(t, queuedRequests(f), "eight times the usual 100 ms, and before the wait's own bound")
}

// Symptom: full targets are avoided as faulty, and work is pushed from one to the next.
// Sequence: a service is pressed; a target refuses at once. Cause: a refusal that is taken
// for a failure.
func TestRefusalsOfACongestedServiceAreNotFailures(t *testing.T) {
	f := congestedHost(t)
	for n := range 3 {
		failFast(f, "a1", failingTarget, 30_000+1000*n)
	}
	require.Empty(t, statusOf(f, "a1", failingTarget).AvoidReason)
	require.Zero(t, f.hosts["a1"].steerer.Snapshot().Counters[steerer.FastFailure])
}

// Symptom: after a moment in which a host stood still, feeds wait there although targets
// are idle. Sequence: requests are under way; the host stands still for 0.7 s; their
// answers are acknowledged. Cause: the host's own delay is taken for load.
func TestHostPauseIsNotTakenForCongestion(t *testing.T) {
	f := newFleet(t, 1)
	f.settings = newSettings(2, objectiveRoutes())
	f.step(2 * time.Second)
	for n := range 60 {
		requestWithLatency(f, "a1", 20_000+n, 100*time.Millisecond)
	}
	checks := fillWindow(f, 100)
	checks = append(checks, fillWindow(f, 200)...)
	f.now = f.now.Add(700 * time.Millisecond)
	f.step(steerer.TickInterval)
	for _, c := range checks {
		c.ackResponse("a1")
	}
	require.Zero(t, f.hosts["a1"].steerer.Snapshot().Congested)
}
