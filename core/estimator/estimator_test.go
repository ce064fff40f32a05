package estimator_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"cranberryspan.dev/core/estimator"
	"cranberryspan.dev/core/timekeeper"
	"github.com/stretchr/testify/require"
)

const start = timekeeper.Instant(time.Minute)

// callAtRate calls call perSecond times a second for the given duration, and returns the time
// at which that ends.
func callAtRate(from timekeeper.Instant, perSecond int, duration time.Duration, call func(now timekeeper.Instant)) timekeeper.Instant {
	interval := time.Second / time.Duration(perSecond)
	for now := from; now < from.Add(duration); now = now.Add(interval) {
		call(now)
	}
	return from.Add(duration)
}

// randomLogSlowdown returns the log slowdown of a random request duration: most are between
// half and twice the baseline, and three in a hundred are seven times as long.
func randomLogSlowdown(random *rand.Rand) float64 {
	logSlowdown := 0.47 * random.NormFloat64() / math.Ln2
	if random.IntN(100) < 3 {
		logSlowdown += math.Log2(7)
	}
	return logSlowdown
}

// clampLogSlowdown returns a log slowdown as LogSlowdown clamps it.
func clampLogSlowdown(logSlowdown float64) float64 {
	return estimator.LogSlowdown(time.Duration(float64(time.Second)*math.Exp2(logSlowdown)), time.Second, 1)
}

// Guards against avoiding targets for their own queue: when four requests are in flight at a
// target with two slots, the response to the next one must be judged with the wait behind them,
// or the target counts as slow because of the load that was sent to it.
func TestQueueingDelayIsNotCountedAsSlowdown(t *testing.T) {
	require.InDelta(t, 1, estimator.QueueingFactor(0, 2), 0)
	require.InDelta(t, 1, estimator.QueueingFactor(1, 2), 0)
	require.InDelta(t, 2.5, estimator.QueueingFactor(4, 2), 0)
	require.InDelta(t, 0, estimator.LogSlowdown(125*time.Millisecond, 50*time.Millisecond, estimator.QueueingFactor(4, 2)), 0.001)
	require.InDelta(t, 2.32, estimator.LogSlowdown(250*time.Millisecond, 50*time.Millisecond, 1), 0.01)
}

// Guards against fewer flows for targets at normal speed: when request durations vary and some
// are seven times as long, an estimate that relies on a few samples takes such a target for
// slow.
func TestLatencyVarianceDoesNotMarkTargetsSlow(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	slow, checks := 0, 0
	for range 150 {
		var target estimator.Target
		callAtRate(start, 12, 10*time.Second, func(now timekeeper.Instant) {
			target.Observe(clampLogSlowdown(randomLogSlowdown(random)), now)
			target.Refresh(now)
			checks++
			if target.Slow() {
				slow++
			}
		})
	}
	require.Less(t, float64(slow)/float64(checks), 0.01)
}

// Guards against each host having to detect a slow target alone: when a target takes five times
// as long and each of twelve hosts sends it one request a second, hosts that do not share their
// samples detect it late.
func TestHostsDetectSlowTargetFromSharedReports(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	hosts := make([]estimator.Target, 12)
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}
	turn := 0
	callAtRate(start, 12, 2*time.Second, func(now timekeeper.Instant) {
		from := turn % len(hosts)
		turn++
		hosts[from].Observe(clampLogSlowdown(randomLogSlowdown(random)+math.Log2(5)), now)
		report, ok := hosts[from].Report(now)
		for to := range hosts {
			if ok && to != from {
				hosts[to].ApplyReport(names[from], report, now)
			}
			hosts[to].Refresh(now)
		}
	})
	for h := range hosts {
		require.True(t, hosts[h].Slow(), names[h])
		require.InDelta(t, math.Log2(5), hosts[h].LogSlowdown(), 1)
	}
}

// Guards against a slowdown that grows with each report: when a host sends the same samples in
// each of its reports, adding them up makes the target look slower and slower.
func TestRepeatedReportIsCountedOnce(t *testing.T) {
	var target estimator.Target
	report := estimator.SlowdownReport{LogSlowdownEighths: 16, Samples: 2}
	callAtRate(start, 4, 2*time.Second, func(now timekeeper.Instant) { target.ApplyReport("a", report, now) })
	target.Refresh(start.Add(2 * time.Second))
	require.False(t, target.Slow())
	all, local := target.Samples()
	require.LessOrEqual(t, all, 2.0)
	require.Zero(t, local)
}

// Guards against blaming targets for a slow host or for requests that have become more
// expensive: when a host's link is congested or it lacks processor time, all its responses take
// three times as long, and its reports must not make the whole zone avoid targets that work
// normally.
func TestSlowdownOfAllTargetsMarksNoneSlow(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	var zone estimator.Zone
	targets := make([]estimator.Target, 20)
	turn, reported, checks := 0, 0, 0
	callAtRate(start, 40, 5*time.Second, func(now timekeeper.Instant) {
		target := &targets[turn%len(targets)]
		turn++
		target.Observe(zone.Observe(clampLogSlowdown(0.6*randomLogSlowdown(random)+math.Log2(3)), now), now)
		if turn < 2*len(targets) {
			return
		}
		for i := range targets {
			targets[i].Refresh(now)
			checks++
			if p, ok := targets[i].Report(now); ok && p.LogSlowdownEighths > 8 && p.Samples > 1 {
				reported++
			}
		}
	})
	require.Less(t, float64(reported)/float64(checks), 0.02)
	require.InDelta(t, math.Log2(3)-0.5, zone.LogSlowdown(), 0.6)
}

// Guards against a zone of slow targets keeping its callers: when all responses of a zone take
// six times as long, comparing each target with its equally slow neighbors shows nothing. A
// host gets 45 responses a second here.
func TestSlowZoneIsDetectedWithinHalfASecond(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 4))
	var zone estimator.Zone
	now := callAtRate(start, 45, 2*time.Second, func(now timekeeper.Instant) { zone.Observe(clampLogSlowdown(randomLogSlowdown(random)), now) })
	require.Less(t, zone.LogSlowdown(), 0.3)
	now = callAtRate(now, 45, 500*time.Millisecond, func(now timekeeper.Instant) {
		zone.Observe(clampLogSlowdown(randomLogSlowdown(random)+math.Log2(6)), now)
	})
	require.Greater(t, zone.LogSlowdown(), 1.0)
	zone.Refresh(now.Add(3 * time.Second))
	require.Zero(t, zone.LogSlowdown(), "a zone of which nothing is heard gets another chance")
}

// Guards against sending callers to another zone, where traffic is expensive, because half of
// the targets are slow: when every second response takes five times as long, a mean over all
// responses makes the zone look slow.
func TestHalfSlowTargetsDoNotMakeZoneSlow(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	var zone estimator.Zone
	turn, slow, checks := 0, 0, 0
	callAtRate(start, 40, 20*time.Second, func(now timekeeper.Instant) {
		turn++
		zone.Observe(clampLogSlowdown(randomLogSlowdown(random)+float64(turn%2)*math.Log2(5)), now)
		checks++
		if zone.LogSlowdown() > 1 {
			slow++
		}
	})
	require.Less(t, float64(slow)/float64(checks), 0.01)
}

// Guards against callers waiting until their deadlines at a target that hangs: when it sends no
// responses any more, an estimate that only counts responses does not change.
func TestPendingRequestsCountBeforeTheirResponses(t *testing.T) {
	var target estimator.Target
	var zone estimator.Zone
	for range 3 {
		target.Observe(zone.Observe(1.6, start), start)
	}
	target.Refresh(start)
	require.False(t, target.Slow())
	for range 3 {
		target.ReplaceSample(1.6, 2.6, start.Add(100*time.Millisecond))
	}
	target.Refresh(start.Add(100 * time.Millisecond))
	require.True(t, target.Slow())
	all, _ := target.Samples()
	require.Less(t, all, 3.0, "a request counts once")
}

// Guards against a recovered target that stays idle for many seconds: when a slow target has no
// open flows left, only the trial requests of the zone's hosts can show that it has recovered.
func TestTrialsDetectRecoveredTarget(t *testing.T) {
	var target estimator.Target
	random := rand.New(rand.NewPCG(6, 6))
	now := callAtRate(start, 12, 2*time.Second, func(now timekeeper.Instant) {
		target.Observe(clampLogSlowdown(randomLogSlowdown(random)+math.Log2(5)), now)
		target.Refresh(now)
	})
	require.True(t, target.Slow())
	target.ScheduleTrial(1, 0.5, now)
	trials := 0
	runTrial := func(logSlowdown float64) func(now timekeeper.Instant) {
		return func(now timekeeper.Instant) {
			if target.TrialDue(now) {
				trials++
				target.ScheduleTrial(1, 0.5, now)
				target.Observe(logSlowdown, now)
			}
			target.Refresh(now)
		}
	}
	now = callAtRate(now, 20, 10*time.Second, runTrial(math.Log2(5)))
	require.True(t, target.Slow(), "trials keep what was learned")
	require.LessOrEqual(t, trials, 21)
	callAtRate(now, 20, 2*time.Second, runTrial(0))
	require.False(t, target.Slow())
}

// Guards against a queue of trial requests at a slow target: when all hosts of a large zone
// detect it at once, the number of trials must not grow with the number of hosts.
func TestTrialRateIsBoundedAcrossHosts(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	hosts := make([]estimator.Target, 100)
	for h := range hosts {
		for range 5 {
			hosts[h].Observe(2.3, start)
		}
		hosts[h].Refresh(start)
		hosts[h].ScheduleTrial(len(hosts), random.Float64(), start)
	}
	trials := 0
	callAtRate(start, 20, 60*time.Second, func(now timekeeper.Instant) {
		for h := range hosts {
			hosts[h].ApplyReport("z", estimator.SlowdownReport{LogSlowdownEighths: 18, Samples: 2}, now)
			hosts[h].Refresh(now)
			if hosts[h].TrialDue(now) {
				trials++
				hosts[h].ScheduleTrial(len(hosts), random.Float64(), now)
			}
		}
	})
	require.InDelta(t, 120, trials, 40)
}

// Guards against many slow targets taking a large fraction of the callers for trials: when
// trials are due at all targets of a zone, a limit for each target alone is not enough.
func TestAtMostOneInSixteenFlowsIsATrial(t *testing.T) {
	var trials estimator.TrialLimiter
	count := 0
	for range 160 {
		if trials.Allow() {
			count++
		}
	}
	require.Equal(t, 10, count)
}

// Guards against preferring a target that fails its requests: when it responds to two requests
// in less time than processing takes, it looks like the fastest target if only speed counts.
func TestTwoFastFailuresReachThreshold(t *testing.T) {
	require.True(t, estimator.ImplausiblyFast(10*time.Millisecond, 50*time.Millisecond))
	require.False(t, estimator.ImplausiblyFast(20*time.Millisecond, 50*time.Millisecond))
	var f estimator.FastFailures
	f.Observe(start)
	require.False(t, f.ThresholdReached(start), "one may be chance")
	f.ApplyReport("b", start.Add(time.Second))
	require.True(t, f.ThresholdReached(start.Add(time.Second)))
	require.False(t, f.ThresholdReached(start.Add(3*time.Second)))
}
