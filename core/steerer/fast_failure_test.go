package steerer_test

import (
	"testing"
	"time"

	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

// requestWithLatency opens a flow, sends a request, and acknowledges the response after the
// given time.
func requestWithLatency(f *fleet, name string, n int, d time.Duration) {
	c := f.caller(n, checkRoute)
	c.open(name, 0)
	c.establish(name)
	c.sendRequest(name)
	f.step(d)
	c.ackResponse(name)
	c.close(name)
}

// learnBaselineLatency lets a host learn that responses take 100 ms.
func learnBaselineLatency(f *fleet, name string) {
	for n := range 30 {
		requestWithLatency(f, name, 5000+n, 100*time.Millisecond)
	}
}

// failFast lets a target respond to one request almost at once.
func failFast(f *fleet, name, target string, from int) {
	c := openOn(f, name, target, from, false)
	c.sendRequest(name)
	f.step(2 * time.Millisecond)
	c.ackResponse(name)
	c.close(name)
}

// countPlacements counts how many of 60 new flows of a host, on average ten for each target,
// are placed on the given target.
func countPlacements(f *fleet, name, target string, from int) int {
	placed := 0
	for n := range 60 {
		c := f.caller(from+n, checkRoute)
		c.open(name, 0)
		if c.target == target {
			placed++
		}
		c.establish(name)
		c.close(name)
	}
	return placed
}

const failingTarget = "i-10000001"

// Guards against callers failing again and again at one target with healthy probes: when a
// target fails some of its requests at once, it has less load than the others, so the
// choice of the least loaded target must take fast failures into account.
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

// Guards against avoiding working targets after a load peak: when all responses take ten
// times as long and then become normal again, the baseline must not have followed the peak.
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

// Guards against each host of a large zone needing two failed requests before it avoids a
// target: when two hosts see one fast response each, they report it to the other hosts of
// the zone.
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

// Guards against refusing all flows of a service whose targets work: when all its responses
// become fast because the requests have changed, its targets must not be excluded.
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
