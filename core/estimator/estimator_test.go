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

// callAtRate calls do so many times a second for some time, and returns when that ended.
func callAtRate(from timekeeper.Instant, perSecond int, duration time.Duration, call func(now timekeeper.Instant)) timekeeper.Instant {
	interval := time.Second / time.Duration(perSecond)
	for now := from; now < from.Add(duration); now = now.Add(interval) {
		call(now)
	}
	return from.Add(duration)
}

// randomLogSlowdown is the logarithm of a time of work: most within a half and twice the usual, and
// three in a hundred seven times as long.
func randomLogSlowdown(random *rand.Rand) float64 {
	logSlowdown := 0.47 * random.NormFloat64() / math.Ln2
	if random.IntN(100) < 3 {
		logSlowdown += math.Log2(7)
	}
	return logSlowdown
}

// clampLogSlowdown is an excess as Excess gives it.
func clampLogSlowdown(logSlowdown float64) float64 {
	return estimator.LogSlowdown(time.Duration(float64(time.Second)*math.Exp2(logSlowdown)), time.Second, 1)
}

// Symptom: targets that wait in their own queue count as slow, and are shunned for what
// was sent there. Sequence: four requests are under way at a target with two slots.
// Cause: an answer that is judged without what came before it.
func TestQueueingDelayIsNotCountedAsSlowdown(t *testing.T) {
	require.InDelta(t, 1, estimator.QueueingFactor(0, 2), 0)
	require.InDelta(t, 1, estimator.QueueingFactor(1, 2), 0)
	require.InDelta(t, 2.5, estimator.QueueingFactor(4, 2), 0)
	require.InDelta(t, 0, estimator.LogSlowdown(125*time.Millisecond, 50*time.Millisecond, estimator.QueueingFactor(4, 2)), 0.001)
	require.InDelta(t, 2.32, estimator.LogSlowdown(250*time.Millisecond, 50*time.Millisecond, 1), 0.01)
}

// Symptom: targets that work as usual get fewer flows. Sequence: times of work spread, and
// some are seven times as long. Cause: few samples that are believed at once.
func TestLatencyVarianceDoesNotMarkTargetsSlow(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	slow, checks := 0, 0
	for range 150 {
		var one estimator.Target
		callAtRate(start, 12, 10*time.Second, func(now timekeeper.Instant) {
			one.Observe(clampLogSlowdown(randomLogSlowdown(random)), now)
			one.Refresh(now)
			checks++
			if one.Slow() {
				slow++
			}
		})
	}
	require.Less(t, float64(slow)/float64(checks), 0.01)
}

// Symptom: every host has to find out for itself. Sequence: a target takes five times as
// long; each of twelve hosts meets it once a second. Cause: what hosts keep to themselves.
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

// Symptom: a target looks ever slower the longer others speak of it. Sequence: a host tells
// the same samples in each of its reports. Cause: what is told again is added up.
func TestRepeatedReportIsCountedOnce(t *testing.T) {
	var one estimator.Target
	report := estimator.SlowdownReport{LogSlowdownEighths: 16, Samples: 2}
	callAtRate(start, 4, 2*time.Second, func(now timekeeper.Instant) { one.ApplyReport("a", report, now) })
	one.Refresh(start.Add(2 * time.Second))
	require.False(t, one.Slow())
	all, own := one.Samples()
	require.LessOrEqual(t, all, 2.0)
	require.Zero(t, own)
}

// Symptom: a host whose link is full, or that is short of processor time, makes its whole
// zone avoid targets that work; so does work that became heavier. Sequence: all answers of
// a host take three times as long. Cause: lateness that is blamed on whoever was asked.
func TestSlowdownOfAllTargetsMarksNoneSlow(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	var zone estimator.Zone
	targets := make([]estimator.Target, 20)
	turn, reported, checks := 0, 0, 0
	callAtRate(start, 40, 5*time.Second, func(now timekeeper.Instant) {
		one := &targets[turn%len(targets)]
		turn++
		one.Observe(zone.Observe(clampLogSlowdown(0.6*randomLogSlowdown(random)+math.Log2(3)), now), now)
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

// Symptom: a zone whose targets are all slow keeps its callers. Sequence: all answers of a
// zone take six times as long; a host gets 45 of them a second. Cause: each target is
// compared with its equally slow neighbours.
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

// Symptom: half of the targets are slow, and callers leave for another zone, where bytes
// are dear. Sequence: each second answer takes five times as long. Cause: a mean of all.
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

// Symptom: callers wait at a target that hangs until their deadlines. Sequence: it gives
// no answers any more. Cause: only answers count.
func TestPendingRequestsCountBeforeTheirResponses(t *testing.T) {
	var one estimator.Target
	var zone estimator.Zone
	for range 3 {
		one.Observe(zone.Observe(1.6, start), start)
	}
	one.Refresh(start)
	require.False(t, one.Slow())
	for range 3 {
		one.ReplaceSample(1.6, 2.6, start.Add(100*time.Millisecond))
	}
	one.Refresh(start.Add(100 * time.Millisecond))
	require.True(t, one.Slow())
	all, _ := one.Samples()
	require.Less(t, all, 3.0, "a request counts once")
}

// Symptom: a target that is quick again idles for many seconds. Sequence: it was slow and
// has no open flows left; the zone's hosts send trials only. Cause: a slow target gets no
// flows, so nobody learns that it is quick.
func TestTrialsDetectRecoveredTarget(t *testing.T) {
	var one estimator.Target
	random := rand.New(rand.NewPCG(6, 6))
	now := callAtRate(start, 12, 2*time.Second, func(now timekeeper.Instant) {
		one.Observe(clampLogSlowdown(randomLogSlowdown(random)+math.Log2(5)), now)
		one.Refresh(now)
	})
	require.True(t, one.Slow())
	one.ScheduleTrial(1, 0.5, now)
	trials := 0
	runTrial := func(excess float64) func(now timekeeper.Instant) {
		return func(now timekeeper.Instant) {
			if one.TrialDue(now) {
				trials++
				one.ScheduleTrial(1, 0.5, now)
				one.Observe(excess, now)
			}
			one.Refresh(now)
		}
	}
	now = callAtRate(now, 20, 10*time.Second, runTrial(math.Log2(5)))
	require.True(t, one.Slow(), "trials keep what was learned")
	require.LessOrEqual(t, trials, 21)
	callAtRate(now, 20, 2*time.Second, runTrial(0))
	require.False(t, one.Slow())
}

// Symptom: a slow target gets a queue of trials. Sequence: the hosts of a large zone learn
// of it in one moment. Cause: trials whose number grows with the hosts.
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

// Symptom: many slow targets take a large part of the callers for trials. Sequence: all
// targets of a zone are due. Cause: a bound for each target only.
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

// Symptom: a target that fails its work looks like the quickest. Sequence: it answers two
// requests in less time than work takes. Cause: only speed counts.
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
