package steerer_test

import (
	"testing"
	"time"

	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

// trialCount is the number of flows that a host has sent to slow targets as trials.
func trialCount(f *fleet, name string) int {
	return int(f.hosts[name].steerer.Snapshot().Counters[steerer.TrialFlow])
}

// openAndCountReached opens flows of the check route one after another and counts those that
// reach a target.
func openAndCountReached(f *fleet, name, target string, from, count int) int {
	reached := 0
	for n := range count {
		c := f.caller(from+n, checkRoute)
		c.open(name, 0)
		if c.target == target {
			reached++
		}
		c.establish(name)
		c.close(name)
		f.step(50 * time.Millisecond)
	}
	return reached
}

// Guards against a recovered target that gets no flows while others are busy: when a target
// was slow and has no open flows, it must get trials.
func TestSlowTargetGetsTrials(t *testing.T) {
	f := newFleet(t, 1)
	learnBaseline(f, "a1")
	makeTargetSlow(f, "a1", failingTarget)
	require.NotZero(t, openAndCountReached(f, "a1", failingTarget, 60_000, 64))
	require.NotZero(t, trialCount(f, "a1"))
}

// Guards against refusing flows for overload while fast targets are idle: when a service is
// congested, requests are queued at this host and a slow target is due for a trial, there must
// be no trial, because the new flow would be refused if requests are queued for the slow
// target.
func TestNoTrialsWhileRequestsAreQueued(t *testing.T) {
	f := newFleet(t, 1)
	f.settings = newSettings(2, objectiveRoutes())
	f.step(2 * time.Second)
	respondLate := func(from, count int) {
		for n := range count {
			requestWithLatency(f, "a1", from+n, 300*time.Millisecond)
		}
	}
	for n := range 60 {
		requestWithLatency(f, "a1", 20_000+n, 100*time.Millisecond)
	}
	slow := openFlowsAt(f, "a1", failingTarget, 2000, 8)
	respondLate(21_000, 80)
	c := openReadFlow(f, 1)
	attempts := 0
	for round := range 8 {
		requestAll(f, "a1", slow, 2400*time.Millisecond)
		f.step(1500 * time.Millisecond)
		checks := fillWindow(f, 100+10*round)
		c.sendRequest("a1")
		before := trialCount(f, "a1")
		for n := range 20 {
			if queuedRequests(f) == 0 {
				break
			}
			attempts++
			one := f.caller(70_000+100*round+n, checkRoute)
			if one.open("a1", 0); one.target != "" {
				one.establish("a1")
				one.close("a1")
			}
		}
		require.Equal(t, before, trialCount(f, "a1"), "round %d", round)
		for _, one := range checks {
			one.ackResponse("a1")
			one.close("a1")
		}
		c.ackResponse("a1")
		respondLate(22_000+100*round, 20)
	}
	require.Greater(t, attempts, 64)
	require.NotZero(t, trialCount(f, "a1"), "while nothing waits")
}

// requireNoTrials requires that a slow target gets no trial under a condition that begins
// after it was found slow, and gets some without the condition. Trials are random, so there
// are several rounds.
func requireNoTrials(t *testing.T, change func(f *fleet, flows []*caller)) {
	t.Helper()
	tried := func(change func(f *fleet, flows []*caller)) int {
		f := newFleet(t, 1, 1)
		f.regions = map[string]string{"a": "north", "b": "south"}
		for _, name := range f.names {
			f.kill(name)
			f.start(name)
		}
		f.step(2 * time.Second)
		learnBaseline(f, "a1")
		flows := openFlowsAt(f, "a1", failingTarget, 2000, 3)
		for round := range 3 {
			requestAll(f, "a1", flows, 500*time.Millisecond)
			for n := range 6 {
				requestWithLatency(f, "a1", 50_000+10*round+n, 50*time.Millisecond)
			}
		}
		change(f, flows)
		f.step(1200 * time.Millisecond)
		reached := 0
		for n := range 64 {
			c := f.caller(60_000+n, checkRoute)
			before := trialCount(f, "a1")
			c.open("a1", 0)
			if trialCount(f, "a1") > before && c.target == failingTarget {
				reached++
			}
			f.runUntil(f.now.Add(10 * time.Millisecond))
			f.now = f.now.Add(10 * time.Millisecond)
			if c.target != "" {
				c.establish("a1")
				c.close("a1")
			}
		}
		return reached
	}
	require.NotZero(t, tried(func(*fleet, []*caller) {}), "a slow target against which nothing speaks")
	require.Zero(t, tried(change))
}

// Guards against a flow that opens at a target about to shut down: when a slow target drains
// and is due for a trial, its speed alone must not decide.
func TestDrainingTargetGetsNoTrial(t *testing.T) {
	requireNoTrials(t, func(f *fleet, _ []*caller) { f.drain(failingTarget) })
}

// Guards against flows to a zone under evacuation: when the zone of a slow target is evacuated
// and the target is due for a trial, its speed alone must not decide.
func TestTargetOfAnEvacuatedZoneGetsNoTrial(t *testing.T) {
	requireNoTrials(t, func(f *fleet, _ []*caller) { f.evacuate(f.targetZone(failingTarget)) })
}

// Guards against data that leaves its region: when a route may run only in another region and
// a slow target of the local zone is due for a trial, its speed alone must not decide.
func TestTargetOfAnotherRegionGetsNoTrial(t *testing.T) {
	requireNoTrials(t, func(f *fleet, _ []*caller) {
		all := routes()
		all[1].Regions = []string{"south"}
		f.settings = newSettings(9, all)
	})
}

// Guards against callers that queue at a slow target: when all of its slots have requests in
// flight and it is due for a trial, its speed alone must not decide.
func TestBusyTargetGetsNoTrial(t *testing.T) {
	requireNoTrials(t, func(_ *fleet, flows []*caller) {
		for _, c := range flows {
			c.sendRequest("a1")
		}
	})
}
