package steerer_test

import (
	"fmt"
	"testing"
	"time"

	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

// learnBaseline has hosts learn a baseline latency of 50 ms, whichever target responds.
func learnBaseline(f *fleet, names ...string) {
	for n := range 30 {
		for h, name := range names {
			requestWithLatency(f, name, 30_000+100*h+n, 50*time.Millisecond)
		}
	}
}

// openFlowsAt opens flows at a target.
func openFlowsAt(f *fleet, name, target string, from, count int) []*caller {
	var all []*caller
	for n := range count {
		all = append(all, openOn(f, name, target, from+100*n, false))
	}
	return all
}

// requestAll sends a request on each flow, with a response after the given time.
func requestAll(f *fleet, name string, flows []*caller, took time.Duration) {
	for _, c := range flows {
		c.sendRequest(name)
	}
	f.step(took)
	for _, c := range flows {
		c.ackResponse(name)
	}
}

// makeTargetSlow has a host observe that a target takes ten times as long, while others
// respond as usual.
func makeTargetSlow(f *fleet, name, target string) {
	flows := openFlowsAt(f, name, target, 2000, 3)
	for round := range 3 {
		requestAll(f, name, flows, 500*time.Millisecond)
		for n := range 6 {
			requestWithLatency(f, name, 50_000+10*round+n, 50*time.Millisecond)
		}
	}
}

// Guards against callers that wait at a target that takes ten times as long while other
// targets are idle: when its responses are late but it has free slots, load must account for
// the time per request and not only for the number in flight.
func TestSlowTargetGetsFewFlows(t *testing.T) {
	f := newFleet(t, 1)
	learnBaseline(f, "a1")
	require.NotZero(t, countPlacements(f, "a1", failingTarget, 1000))
	makeTargetSlow(f, "a1", failingTarget)
	require.LessOrEqual(t, countPlacements(f, "a1", failingTarget, 6000), 2, "trials")
	status := statusOf(f, "a1", failingTarget)
	require.Greater(t, status.Slowdown, 2.0)
	require.Contains(t, status.AvoidReason, "times as long as usual")
	require.NotZero(t, countLogged(f, "a1", "targetSlow"))
	require.Equal(t, 1, f.hosts["a1"].steerer.Snapshot().Slow)
}

// Guards against each host of a large zone having to detect a slow target on its own: when one
// host observes late responses, it must report them to the zone's other hosts.
func TestSlowTargetIsReportedWithinItsZone(t *testing.T) {
	f := newFleet(t, 3, 1)
	learnBaseline(f, "a1", "a2")
	makeTargetSlow(f, "a1", failingTarget)
	f.step(300 * time.Millisecond)
	require.Greater(t, statusOf(f, "a2", failingTarget).Slowdown, 1.5)
	require.InDelta(t, 1, statusOf(f, "b1", failingTarget).Slowdown, 0, "other zones look for themselves")
}

// Guards against callers that wait at a hanging target: when a target accepts requests and
// responds to none, it must count as slow before its first response.
func TestHangingTargetIsSlowBeforeItsFirstResponse(t *testing.T) {
	f := newFleet(t, 1)
	learnBaseline(f, "a1")
	for _, c := range openFlowsAt(f, "a1", failingTarget, 2000, 4) {
		c.sendRequest("a1")
	}
	f.step(900 * time.Millisecond)
	require.Greater(t, statusOf(f, "a1", failingTarget).Slowdown, 1.5)
}

// Guards against a paused host that makes its zone avoid working targets: when the host is
// paused with requests in flight and sees their responses long after they arrived, its own
// delay must not count as the targets'.
func TestHostPauseDoesNotMarkTargetsSlow(t *testing.T) {
	f := newFleet(t, 1)
	learnBaseline(f, "a1")
	all := openFlowsAt(f, "a1", failingTarget, 2000, 6)
	for _, c := range all {
		c.sendRequest("a1")
	}
	f.hosts["a1"].running = false
	f.step(time.Second)
	f.hosts["a1"].running = true
	f.step(50 * time.Millisecond)
	for _, c := range all {
		c.ackResponse("a1")
	}
	f.step(100 * time.Millisecond)
	require.InDelta(t, 1, statusOf(f, "a1", failingTarget).Slowdown, 0)
}

// Guards against keeping callers in a zone whose targets all take ten times as long, while
// those of another zone work: the cross-zone penalty must not outweigh any wait.
func TestSlowZoneSpillsOver(t *testing.T) {
	f := newFleet(t, 1, 1)
	learnBaseline(f, "a1", "b1")
	local := func(id string) bool { return f.targets[id].AvailabilityZone == "a" }
	c := f.caller(1, checkRoute)
	c.open("a1", 0)
	require.True(t, local(c.target))
	var all []*caller
	for i := range 3 {
		all = append(all, openFlowsAt(f, "a1", fmt.Sprintf("i-1%07x", 2*i+1), 2000+1000*i, 3)...)
	}
	for range 4 {
		requestAll(f, "a1", all, 500*time.Millisecond)
	}
	crossZone := 0
	for n := range 40 {
		c := f.caller(20_000+n, checkRoute)
		c.open("a1", 0)
		if !local(c.target) {
			crossZone++
		}
		c.establish("a1")
		c.close("a1")
	}
	require.Greater(t, crossZone, 30)
}

// Guards against refusing flows for overload that fast targets could serve: when some targets
// become slow, their late responses must not count as congestion of the service.
func TestSlowTargetsDoNotCongestTheirService(t *testing.T) {
	f := newFleet(t, 1)
	f.settings = newSettings(2, objectiveRoutes())
	f.step(2 * time.Second)
	learnBaseline(f, "a1")
	flows := openFlowsAt(f, "a1", failingTarget, 2000, 3)
	for round := range 8 {
		requestAll(f, "a1", flows, 500*time.Millisecond)
		for n := range 4 {
			requestWithLatency(f, "a1", 22_000+10*round+n, 50*time.Millisecond)
		}
	}
	require.Zero(t, f.hosts["a1"].steerer.Snapshot().Congested)
}

// Guards against a baseline that follows slow targets: when more than half of the responses
// take six times as long, the slow targets must not become the baseline after some seconds, or
// they would no longer be avoided.
func TestBaselineIgnoresSlowTargets(t *testing.T) {
	f := newFleet(t, 1)
	for n := range 300 {
		requestWithLatency(f, "a1", 30_000+n, 50*time.Millisecond)
	}
	flows := openFlowsAt(f, "a1", failingTarget, 2000, 5)
	for round := range 60 {
		requestAll(f, "a1", flows, 300*time.Millisecond)
		for n := range 3 {
			requestWithLatency(f, "a1", 45_000+5*round+n, 50*time.Millisecond)
		}
	}
	for n := range 10 {
		requestWithLatency(f, "a1", 40_000+n, 15*time.Millisecond)
	}
	require.Zero(t, f.hosts["a1"].steerer.Snapshot().Counters[steerer.FastFailure], "15 ms are more than a quarter of 50")
}

// Guards against a recovered target that stays idle: when a target was slow, its flows have
// ended and it responds at the baseline again, it must get new flows.
func TestRecoveredTargetRegainsItsShare(t *testing.T) {
	f := newFleet(t, 1)
	learnBaseline(f, "a1")
	makeTargetSlow(f, "a1", failingTarget)
	require.Greater(t, statusOf(f, "a1", failingTarget).Slowdown, 2.0)
	for n := range 100 {
		requestWithLatency(f, "a1", 10_000+n, 50*time.Millisecond)
	}
	require.InDelta(t, 1, statusOf(f, "a1", failingTarget).Slowdown, 0)
	require.NotZero(t, countLogged(f, "a1", "targetQuickAgain"))
	require.NotZero(t, countPlacements(f, "a1", failingTarget, 20_000))
}

// Guards against an estimate that outlives the target's process: when a slow target restarts
// under its ID, samples from before the restart must not count.
func TestRestartedTargetIsNotSlow(t *testing.T) {
	f := newFleet(t, 1)
	learnBaseline(f, "a1")
	makeTargetSlow(f, "a1", failingTarget)
	require.Greater(t, statusOf(f, "a1", failingTarget).Slowdown, 2.0)
	slow := countLogged(f, "a1", "targetQuickAgain")
	f.restart(failingTarget)
	f.step(time.Second)
	require.Equal(t, 1, countLogged(f, "a1", "targetReborn"))
	require.Equal(t, slow, countLogged(f, "a1", "targetQuickAgain"), "nothing was learned since")
	require.InDelta(t, 1, statusOf(f, "a1", failingTarget).Slowdown, 0)
}

// Guards against a trial at a crashed target: when a slow target without open flows becomes
// unresponsive, its trial must not take place even if it is due.
func TestUnresponsiveTargetGetsNoTrial(t *testing.T) {
	f := newFleet(t, 1)
	learnBaseline(f, "a1")
	makeTargetSlow(f, "a1", failingTarget)
	flows := openOn(f, "a1", failingTarget, 60_000, true)
	f.probeOutcomes[failingTarget] = steerer.ProbeConnectTimeout
	flows.sendRequest("a1")
	f.step(200 * time.Millisecond)
	flows.retransmit("a1")
	f.step(500 * time.Millisecond)
	require.Contains(t, statusOf(f, "a1", failingTarget).AvoidReason, "no answer")
	for round := range 20 {
		require.Zero(t, countPlacements(f, "a1", failingTarget, 10_000+100*round))
		f.step(100 * time.Millisecond)
	}
}

// Guards against detecting a hanging target seconds late: when requests that usually take long
// are in flight, the overdue checks of other requests must not wait behind their later
// deadlines.
func TestLongRequestsDoNotHideAHangingTarget(t *testing.T) {
	f := newFleet(t, 1)
	learnBaseline(f, "a1")
	long := func(n int) *caller {
		c := f.caller(n, uploadRoute)
		c.open("a1", 0)
		c.establish("a1")
		c.sendRequest("a1")
		return c
	}
	for n := range 25 {
		c := long(33_000 + n)
		f.step(time.Second)
		c.ackResponse("a1")
		c.close("a1")
	}
	learnBaseline(f, "a1")
	flows := openFlowsAt(f, "a1", failingTarget, 2000, 5)
	long(34_000)
	for _, c := range flows {
		c.sendRequest("a1")
	}
	f.step(900 * time.Millisecond)
	require.Greater(t, statusOf(f, "a1", failingTarget).Slowdown, 1.5)
}

// Guards against avoiding a healthy target: when callers upload over slow links, by chance to
// the same target, and each keeps sending for half a second and gets its response 50 ms after
// its last byte, the time in which the caller sends must not count as the target's.
func TestSlowUploadsDoNotMarkTargetsSlow(t *testing.T) {
	for _, pause := range []time.Duration{50 * time.Millisecond, 600 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) { uploadSlowly(t, pause) })
	}
}

// uploadSlowly has callers pause between the packets of their uploads to one target, and
// checks that the target's slowdown stays at 1.
func uploadSlowly(t *testing.T, pause time.Duration) {
	f := newFleet(t, 1)
	learnBaseline(f, "a1")
	upload := func(n int, last time.Duration) *caller {
		c := f.caller(n, uploadRoute)
		c.open("a1", 0)
		c.establish("a1")
		c.sendPart("a1", 600)
		f.step(last)
		c.sendPart("a1", 600)
		f.step(50 * time.Millisecond)
		c.ackResponse("a1")
		c.close("a1")
		return c
	}
	target := ""
	for n := range 30 {
		target = upload(33_000+n, 0).target
	}
	var all []*caller
	for n := 0; len(all) < 6; n++ {
		c := f.caller(34_000+n, uploadRoute)
		c.open("a1", 0)
		c.establish("a1")
		if c.target == target {
			all = append(all, c)
		} else {
			c.close("a1")
		}
	}
	for range 4 {
		for _, c := range all {
			c.sendPart("a1", 600)
		}
		f.step(pause)
		require.InDelta(t, 1, statusOf(f, "a1", target).Slowdown, 0.01)
	}
	for _, c := range all {
		c.sendPart("a1", 600)
	}
	f.step(50 * time.Millisecond)
	for _, c := range all {
		c.ackResponse("a1")
	}
	require.InDelta(t, 1, statusOf(f, "a1", target).Slowdown, 0.01)
}
