package steerer_test

import (
	"fmt"
	"testing"
	"time"

	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

// learnBaseline lets hosts learn that answers take 50 ms, wherever they come from.
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

// requestAll lets a request of each flow take a while.
func requestAll(f *fleet, name string, flows []*caller, took time.Duration) {
	for _, c := range flows {
		c.sendRequest(name)
	}
	f.step(took)
	for _, c := range flows {
		c.ackResponse(name)
	}
}

// makeTargetSlow lets a host find out that a target takes ten times as long, while others
// work as usual.
func makeTargetSlow(f *fleet, name, target string) {
	flows := openFlowsAt(f, name, target, 2000, 3)
	for round := range 3 {
		requestAll(f, name, flows, 500*time.Millisecond)
		for n := range 6 {
			requestWithLatency(f, name, 50_000+10*round+n, 50*time.Millisecond)
		}
	}
}

// Symptom: callers wait at a target that takes ten times as long, while its siblings idle.
// Sequence: its answers are late, but it has slots free. Cause: load that counts requests
// under way and not how long each takes.
func TestSlowTargetGetsFewFlows(t *testing.T) {
	f := newFleet(t, 1)
	learnBaseline(f, "a1")
	require.NotZero(t, countPlacements(f, "a1", failingTarget, 1000))
	makeTargetSlow(f, "a1", failingTarget)
	require.LessOrEqual(t, countPlacements(f, "a1", failingTarget, 6000), 2, "trials")
	status := statusOf(f, "a1", failingTarget)
	require.Greater(t, status.Slowness, 2.0)
	require.Contains(t, status.AvoidReason, "times as long as usual")
	require.NotZero(t, countLogged(f, "a1", "targetSlow"))
	require.Equal(t, 1, f.hosts["a1"].steerer.Snapshot().Slow)
}

// Symptom: in a large zone each host has to find out for itself that a target is slow.
// Sequence: one host sees late answers of it. Cause: hosts that keep it to themselves.
func TestSlowTargetIsReportedWithinItsZone(t *testing.T) {
	f := newFleet(t, 3, 1)
	learnBaseline(f, "a1", "a2")
	makeTargetSlow(f, "a1", failingTarget)
	f.step(300 * time.Millisecond)
	require.Greater(t, statusOf(f, "a2", failingTarget).Slowness, 1.5)
	require.InDelta(t, 1, statusOf(f, "b1", failingTarget).Slowness, 0, "other zones look for themselves")
}

// Symptom: callers wait at a target that hangs. Sequence: it takes requests and answers
// none. Cause: only answers tell how long requests take.
func TestHangingTargetIsSlowBeforeItsFirstResponse(t *testing.T) {
	f := newFleet(t, 1)
	learnBaseline(f, "a1")
	for _, c := range openFlowsAt(f, "a1", failingTarget, 2000, 4) {
		c.sendRequest("a1")
	}
	f.step(900 * time.Millisecond)
	require.Greater(t, statusOf(f, "a1", failingTarget).Slowness, 1.5)
}

// Symptom: a host that stood still makes its zone avoid targets that work. Sequence:
// requests are under way when the host freezes; their answers came long before it looks.
// Cause: the host's own delay is taken for the target's.
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
	require.InDelta(t, 1, statusOf(f, "a1", failingTarget).Slowness, 0)
}

// Symptom: callers stay in a zone whose targets all take ten times as long. Sequence: all
// targets of a zone turn slow, those of another work. Cause: another zone that costs more
// than any wait.
func TestSlowZoneSpillsOver(t *testing.T) {
	f := newFleet(t, 1, 1)
	learnBaseline(f, "a1", "b1")
	home := func(id string) bool { return f.targets[id].AvailabilityZone == "a" }
	c := f.caller(1, checkRoute)
	c.open("a1", 0)
	require.True(t, home(c.target))
	var all []*caller
	for i := range 3 {
		all = append(all, openFlowsAt(f, "a1", fmt.Sprintf("i-1%07x", 2*i+1), 2000+1000*i, 3)...)
	}
	for range 4 {
		requestAll(f, "a1", all, 500*time.Millisecond)
	}
	away := 0
	for n := range 40 {
		c := f.caller(20_000+n, checkRoute)
		c.open("a1", 0)
		if !home(c.target) {
			away++
		}
		c.establish("a1")
		c.close("a1")
	}
	require.Greater(t, away, 30)
}

// Symptom: flows that the quick targets would serve are refused for overload. Sequence:
// some targets turn slow and their answers are late. Cause: late answers of slow targets
// that count as pressure on the service.
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

// Symptom: a slow half of the targets counts as usual after some seconds, and is avoided
// no more. Sequence: more than half of the answers take six times as long. Cause: what is usual
// follows all answers alike.
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

// Symptom: a target that has recovered idles. Sequence: it was slow, then its flows ended;
// it answers as usual again. Cause: nobody is sent there any more.
func TestRecoveredTargetRegainsItsShare(t *testing.T) {
	f := newFleet(t, 1)
	learnBaseline(f, "a1")
	makeTargetSlow(f, "a1", failingTarget)
	require.Greater(t, statusOf(f, "a1", failingTarget).Slowness, 2.0)
	for n := range 100 {
		requestWithLatency(f, "a1", 10_000+n, 50*time.Millisecond)
	}
	require.InDelta(t, 1, statusOf(f, "a1", failingTarget).Slowness, 0)
	require.NotZero(t, countLogged(f, "a1", "targetQuickAgain"))
	require.NotZero(t, countPlacements(f, "a1", failingTarget, 20_000))
}

// Symptom: the believed speed of a target outlives its process. Sequence: a slow target
// starts again under its ID. Cause: what was learned of an earlier life.
func TestRestartedTargetIsNotSlow(t *testing.T) {
	f := newFleet(t, 1)
	learnBaseline(f, "a1")
	makeTargetSlow(f, "a1", failingTarget)
	require.Greater(t, statusOf(f, "a1", failingTarget).Slowness, 2.0)
	slow := countLogged(f, "a1", "targetQuickAgain")
	f.restart(failingTarget)
	f.step(time.Second)
	require.Equal(t, 1, countLogged(f, "a1", "targetReborn"))
	require.Equal(t, slow, countLogged(f, "a1", "targetQuickAgain"), "nothing was learned since")
	require.InDelta(t, 1, statusOf(f, "a1", failingTarget).Slowness, 0)
}

// Symptom: a trial goes to a target that has crashed. Sequence: a slow target without open
// flows falls silent; it is due for a trial. Cause: trials that look at speed alone.
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

// Symptom: a hanging target is found out seconds late. Sequence: requests that usually take
// long are under way when it hangs. Cause: overdue requests that wait for their turn behind
// those whose deadlines are later.
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
	require.Greater(t, statusOf(f, "a1", failingTarget).Slowness, 1.5)
}

// Symptom: a sound target gets no new flows of its service. Sequence: some callers upload
// over slow links, by chance to the same target: each goes on sending for half a second, and
// has its answer 50 ms after its last byte. Cause: the time in which the caller sends counts
// as the target's.
func TestSlowUploadsDoNotMarkTargetsSlow(t *testing.T) {
	for _, pause := range []time.Duration{50 * time.Millisecond, 600 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) { uploadSlowly(t, pause) })
	}
}

// uploadSlowly lets callers pause between the packets of their uploads to one target.
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
		require.InDelta(t, 1, statusOf(f, "a1", target).Slowness, 0.01)
	}
	for _, c := range all {
		c.sendPart("a1", 600)
	}
	f.step(50 * time.Millisecond)
	for _, c := range all {
		c.ackResponse("a1")
	}
	require.InDelta(t, 1, statusOf(f, "a1", target).Slowness, 0.01)
}
