package steerer_test

import (
	"testing"
	"time"

	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

// objectiveRoutes are the fleet's routes with latency objectives, which congestion is measured
// against.
func objectiveRoutes() []steerer.Route {
	all := routes()
	for i := range all {
		all[i].LatencyObjective = 250 * time.Millisecond
		all[i].Priority = 2
	}
	all[1].Priority = 1
	return all
}

// congestedHost is a host whose ledger is congested: responses first take 100 ms, which
// becomes the baseline, then 400.
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

// congest makes responses so slow that the service is congested and its window shrinks to one.
func congest(f *fleet, from int) {
	for n := range 40 {
		requestWithLatency(f, "a1", from+n, 400*time.Millisecond)
	}
}

// openReadFlow opens a flow of the read route before the service is overloaded.
func openReadFlow(f *fleet, n int) *caller {
	c := f.caller(n, readRoute)
	c.open("a1", 0)
	c.establish("a1")
	return c
}

// fillWindow sends enough requests of the check route to use up the host's window of requests
// in flight.
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

// hostWithQueuedRead sets up a congested host where the request of a read flow is queued
// while requests of the check route use up the window. It returns the caller of the read and
// those of the checks.
func hostWithQueuedRead(t *testing.T) (*fleet, *caller, []*caller) {
	f := congestedHost(t)
	c := openReadFlow(f, 1)
	checks := fillWindow(f, 100)
	c.sendRequest("a1")
	require.Equal(t, 1, queuedRequests(f))
	return f, c, checks
}

func queuedRequests(f *fleet) int { return f.hosts["a1"].steerer.Snapshot().Queued }

// requireReset requires that no request is queued any more and that only the given caller was
// reset.
func requireReset(t *testing.T, f *fleet, c *caller) {
	t.Helper()
	require.Zero(t, queuedRequests(f))
	require.Len(t, f.hosts["a1"].resets, 1)
	require.Equal(t, c.address, f.hosts["a1"].resets[0].Caller)
}

// Guards against requests of the check route, which has a higher priority, being as late as
// reads during overload: when a service is congested and a read on an open flow comes before a
// check, the read has to wait.
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

// Guards against holding a request until its caller gives up: when a read is queued and no
// capacity becomes available, the wait must be limited.
func TestQueuedRequestIsForwardedBeforeItsCallerTimesOut(t *testing.T) {
	f, _, _ := hostWithQueuedRead(t)
	f.step(500 * time.Millisecond)
	fillWindow(f, 300)
	require.Equal(t, 1, queuedRequests(f))
	f.step(700 * time.Millisecond)
	require.Zero(t, queuedRequests(f), "within half of the 2.5 s that its caller waits")
	require.NotEqual(t, 0, f.hosts["a1"].steerer.Snapshot().Counters[steerer.RequestQueued])
}

// Guards against forwarding a request twice, or taking its target for unresponsive: when a
// read is queued and its caller retransmits the packet, the retransmission must not overtake
// the queued one.
func TestRetransmissionsOfAQueuedRequestAreNotForwarded(t *testing.T) {
	f, c, checks := hostWithQueuedRead(t)
	before := len(f.hosts["a1"].sent)
	f.step(200 * time.Millisecond)
	c.retransmit("a1")
	require.Len(t, f.hosts["a1"].sent, before)
	require.Zero(t, f.probes)
	for _, one := range checks {
		one.ackResponse("a1")
	}
	requests := 0
	for _, s := range f.hosts["a1"].sent[before:] {
		if s.data == "ask" {
			requests++
		}
	}
	require.Equal(t, 1, requests)
}

// Guards against targets that run requests whose callers have gone away: when a caller resets
// the flow of a queued read, the request must be dropped.
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

// Guards against admitting new callers whose requests can't be in time and delay all others:
// when a service is congested and reads are queued, a new read flow is refused. Checks, which
// have a higher priority, are not.
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

// Guards against callers that wait for a host that has exited: when SIGTERM arrives while
// reads are queued, the host must forward them before it exits.
func TestHostForwardsQueuedRequestsOnShutdown(t *testing.T) {
	f, c, _ := hostWithQueuedRead(t)
	f.reduce("a1", &steerer.Shutdown{})
	require.Zero(t, queuedRequests(f))
	require.Equal(t, c.target, f.lastTarget("a1"))
	c.ackResponse("a1")
	c.sendRequest("a1")
	require.Zero(t, queuedRequests(f), "nothing waits at a host that leaves")
}

// Guards against queueing a read for an unresponsive target: when the target crashes and a
// probe of it fails, queued requests must be reset like those already forwarded.
func TestQueuedRequestOfAnUnresponsiveTargetIsReset(t *testing.T) {
	f, c, _ := hostWithQueuedRead(t)
	f.probeOutcomes[c.target] = steerer.ProbeRefused
	f.step(200 * time.Millisecond)
	f.reduce("a1", &steerer.ProbeCompleted{Target: c.target, Outcome: steerer.ProbeRefused, Took: linkDelay})
	requireReset(t, f, c)
}

// Guards against forwarding a request to a service that its route no longer names: when a read
// is queued and a new version of the settings drops its route, the flow is reset.
func TestQueuedRequestOfARemovedRouteIsReset(t *testing.T) {
	f, c, _ := hostWithQueuedRead(t)
	f.settings = newSettings(3, objectiveRoutes()[1:])
	f.step(1500 * time.Millisecond)
	requireReset(t, f, c)
}

// Guards against queueing requests for seconds after targets have reset flows: when full
// targets reset flows, which only their callers see, requests without an observed response
// must not count as in flight until their timeout.
func TestUnseenResetsDoNotBlockTheQueue(t *testing.T) {
	f, _, _ := hostWithQueuedRead(t)
	f.step(time.Second)
	require.Zero(t, queuedRequests(f), "eight times the usual 100 ms, and before the wait's own bound")
}

// Guards against avoiding full targets as faulty, which pushes their work to one target after
// the other: when a target of a congested service refuses at once, this must not count as a
// failure.
func TestRefusalsOfACongestedServiceAreNotFailures(t *testing.T) {
	f := congestedHost(t)
	for n := range 3 {
		failFast(f, "a1", failingTarget, 30_000+1000*n)
	}
	require.Empty(t, statusOf(f, "a1", failingTarget).AvoidReason)
	require.Zero(t, f.hosts["a1"].steerer.Snapshot().Counters[steerer.FastFailure])
}

// Guards against queueing reads after a host pause although targets are idle: when the host is
// paused for 0.7 s with requests in flight, and their responses are acknowledged afterwards,
// its own delay must not count as congestion.
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
