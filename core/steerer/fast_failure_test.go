package steerer_test

import (
	"testing"
	"time"

	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

// requestWithLatency opens a flow, asks, and acknowledges the answer after a while.
func requestWithLatency(f *fleet, name string, n int, d time.Duration) {
	c := f.caller(n, checkRoute)
	c.open(name, 0)
	c.establish(name)
	c.sendRequest(name)
	f.step(d)
	c.ackResponse(name)
	c.close(name)
}

// learnBaselineLatency lets a host learn that answers take 100 ms.
func learnBaselineLatency(f *fleet, name string) {
	for n := range 30 {
		requestWithLatency(f, name, 5000+n, 100*time.Millisecond)
	}
}

// failFast lets a target answer one request at once.
func failFast(f *fleet, name, target string, from int) {
	c := openOn(f, name, target, from, false)
	c.sendRequest(name)
	f.step(2 * time.Millisecond)
	c.ackResponse(name)
	c.close(name)
}

// countPlacements counts the new flows of a host that land on a target, of ten for each.
func countPlacements(f *fleet, name, target string, from int) int {
	landed := 0
	for n := range 60 {
		c := f.caller(from+n, checkRoute)
		c.open(name, 0)
		if c.target == target {
			landed++
		}
		c.establish(name)
		c.close(name)
	}
	return landed
}

const failingTarget = "i-10000001"

// Symptom: callers fail again and again at one target, whose liveness check is good.
// Sequence: a target answers a part of its requests at once, with a failure; it has
// less to do than its siblings. Cause: the least busy target gets the next flow,
// whatever became of the last.
func TestTargetThatFailsFastGetsFewFlows(t *testing.T) {
	f := newFleet(t, 1)
	learnBaselineLatency(f, "a1")
	require.NotZero(t, countPlacements(f, "a1", failingTarget, 1000))
	failFast(f, "a1", failingTarget, 2000)
	require.NotZero(t, countPlacements(f, "a1", failingTarget, 3000), "one quick answer may be chance")
	failFast(f, "a1", failingTarget, 4000)
	require.Zero(t, countPlacements(f, "a1", failingTarget, 6000))
	for _, status := range f.hosts["a1"].steerer.TargetStatuses() {
		if status.Target == failingTarget {
			require.Equal(t, "answers more quickly than it can work", status.AvoidReason)
		}
	}
	f.step(4 * time.Second)
	require.NotZero(t, countPlacements(f, "a1", failingTarget, 7000), "it is given another chance")
}

// Symptom: after a crowd targets that work are avoided. Sequence: for two seconds all
// answers take ten times as long; then they come as before. Cause: what is usual
// follows a crowd.
func TestLoadPeakDoesNotMakeNormalResponsesLookFast(t *testing.T) {
	f := newFleet(t, 1)
	for n := range 300 {
		requestWithLatency(f, "a1", 5000+n, 100*time.Millisecond)
	}
	for n := range 100 {
		requestWithLatency(f, "a1", 6000+n, time.Second)
	}
	for n := range 30 {
		requestWithLatency(f, "a1", 7000+n, 60*time.Millisecond)
	}
	require.Zero(t, f.hosts["a1"].steerer.Snapshot().Counters[steerer.FastFailure])
}

// Symptom: in a large zone each host has to be failed twice before it avoids a target.
// Sequence: two hosts see one quick answer each. Cause: hosts that keep it to
// themselves.
func TestFastFailuresAreReportedWithinTheZone(t *testing.T) {
	f := newFleet(t, 3)
	learnBaselineLatency(f, "a1")
	learnBaselineLatency(f, "a2")
	failFast(f, "a1", failingTarget, 2000)
	failFast(f, "a2", failingTarget, 2500)
	f.step(time.Second)
	for _, name := range f.names {
		require.Zero(t, countPlacements(f, name, failingTarget, 3000), name)
	}
}

// Symptom: a service is refused although its targets work. Sequence: all its answers
// come quickly, for the work has changed. Cause: targets that are shut out on
// suspicion.
func TestServiceIsNotEmptiedByFastResponses(t *testing.T) {
	f := newFleet(t, 1)
	learnBaselineLatency(f, "a1")
	for n := range 20 {
		requestWithLatency(f, "a1", 2000+n, 2*time.Millisecond)
	}
	c := f.caller(4000, checkRoute)
	c.open("a1", 0)
	require.NotEmpty(t, c.target)
	require.Empty(t, f.hosts["a1"].resets)
	require.NotZero(t, f.hosts["a1"].steerer.Snapshot().Counters[steerer.FastFailure])
}
