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

const begin = timekeeper.Instant(time.Minute)

// every calls do so many times a second for some time, and returns when that ended.
func every(from timekeeper.Instant, perSecond int, length time.Duration, do func(now timekeeper.Instant)) timekeeper.Instant {
	pause := time.Second / time.Duration(perSecond)
	for now := from; now < from.Add(length); now = now.Add(pause) {
		do(now)
	}
	return from.Add(length)
}

// spread is the logarithm of a time of work: most within a half and twice the usual, and
// three in a hundred seven times as long.
func spread(random *rand.Rand) float64 {
	excess := 0.47 * random.NormFloat64() / math.Ln2
	if random.IntN(100) < 3 {
		excess += math.Log2(7)
	}
	return excess
}

// clamped is an excess as Excess gives it.
func clamped(excess float64) float64 {
	return estimator.Excess(time.Duration(float64(time.Second)*math.Exp2(excess)), time.Second, 1)
}

// Symptom: targets that wait in their own queue count as slow, and are shunned for what
// was sent there. Sequence: four requests are under way at a target with two slots.
// Cause: an answer that is judged without what came before it.
func TestQueueIsNoSlowness(t *testing.T) {
	require.InDelta(t, 1, estimator.Wait(0, 2), 0)
	require.InDelta(t, 1, estimator.Wait(1, 2), 0)
	require.InDelta(t, 2.5, estimator.Wait(4, 2), 0)
	require.InDelta(t, 0, estimator.Excess(125*time.Millisecond, 50*time.Millisecond, estimator.Wait(4, 2)), 0.001)
	require.InDelta(t, 2.32, estimator.Excess(250*time.Millisecond, 50*time.Millisecond, 1), 0.01)
}

// Symptom: targets that work as usual get fewer flows. Sequence: times of work spread, and
// some are seven times as long. Cause: few samples that are believed at once.
func TestChanceDoesNotMakeTargetsSlow(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	slow, looks := 0, 0
	for range 150 {
		var one estimator.Target
		every(begin, 12, 10*time.Second, func(now timekeeper.Instant) {
			one.Observe(clamped(spread(random)), now)
			one.Refresh(now)
			looks++
			if one.Slow() {
				slow++
			}
		})
	}
	require.Less(t, float64(slow)/float64(looks), 0.01)
}

// Symptom: every host has to find out for itself. Sequence: a target takes five times as
// long; each of twelve hosts meets it once a second. Cause: what hosts keep to themselves.
func TestHostsLearnTogether(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	hosts := make([]estimator.Target, 12)
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}
	turn := 0
	every(begin, 12, 2*time.Second, func(now timekeeper.Instant) {
		from := turn % len(hosts)
		turn++
		hosts[from].Observe(clamped(spread(random)+math.Log2(5)), now)
		p, told := hosts[from].Tell(now)
		for to := range hosts {
			if told && to != from {
				hosts[to].Told(names[from], p, now)
			}
			hosts[to].Refresh(now)
		}
	})
	for h := range hosts {
		require.True(t, hosts[h].Slow(), names[h])
		require.InDelta(t, math.Log2(5), hosts[h].Slowness(), 1)
	}
}

// Symptom: a target looks ever slower the longer others speak of it. Sequence: a host tells
// the same samples in each of its reports. Cause: what is told again is added up.
func TestWhatIsToldAgainCountsOnce(t *testing.T) {
	var one estimator.Target
	pace := estimator.Pace{SlownessEighths: 16, Samples: 2}
	every(begin, 4, 2*time.Second, func(now timekeeper.Instant) { one.Told("a", pace, now) })
	one.Refresh(begin.Add(2 * time.Second))
	require.False(t, one.Slow())
	all, own := one.Samples()
	require.LessOrEqual(t, all, 2.0)
	require.Zero(t, own)
}

// Symptom: a host whose link is full, or that is short of processor time, makes its whole
// zone avoid targets that work; so does work that became heavier. Sequence: all answers of
// a host take three times as long. Cause: lateness that is blamed on whoever was asked.
func TestLatenessOfAllBlamesNobody(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	var zone estimator.Zone
	targets := make([]estimator.Target, 20)
	turn, told, looks := 0, 0, 0
	every(begin, 40, 5*time.Second, func(now timekeeper.Instant) {
		one := &targets[turn%len(targets)]
		turn++
		one.Observe(zone.Observe(clamped(0.6*spread(random)+math.Log2(3)), now), now)
		if turn < 2*len(targets) {
			return
		}
		for i := range targets {
			targets[i].Refresh(now)
			looks++
			if p, ok := targets[i].Tell(now); ok && p.SlownessEighths > 8 && p.Samples > 1 {
				told++
			}
		}
	})
	require.Less(t, float64(told)/float64(looks), 0.02)
	require.InDelta(t, math.Log2(3)-0.5, zone.Excess(), 0.6)
}

// Symptom: a zone whose targets are all slow keeps its callers. Sequence: all answers of a
// zone take six times as long; a host gets 45 of them a second. Cause: each target is
// compared with its equally slow neighbours.
func TestSlowZoneShowsWithinHalfASecond(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 4))
	var zone estimator.Zone
	now := every(begin, 45, 2*time.Second, func(now timekeeper.Instant) { zone.Observe(clamped(spread(random)), now) })
	require.Less(t, zone.Excess(), 0.3)
	now = every(now, 45, 500*time.Millisecond, func(now timekeeper.Instant) { zone.Observe(clamped(spread(random)+math.Log2(6)), now) })
	require.Greater(t, zone.Excess(), 1.0)
	zone.Refresh(now.Add(3 * time.Second))
	require.Zero(t, zone.Excess(), "a zone of which nothing is heard gets another chance")
}

// Symptom: half of the targets are slow, and callers leave for another zone, where bytes
// are dear. Sequence: each second answer takes five times as long. Cause: a mean of all.
func TestSlowHalfIsNoSlowZone(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	var zone estimator.Zone
	turn, slow, looks := 0, 0, 0
	every(begin, 40, 20*time.Second, func(now timekeeper.Instant) {
		turn++
		zone.Observe(clamped(spread(random)+float64(turn%2)*math.Log2(5)), now)
		looks++
		if zone.Excess() > 1 {
			slow++
		}
	})
	require.Less(t, float64(slow)/float64(looks), 0.01)
}

// Symptom: callers wait at a target that hangs until their deadlines. Sequence: it gives
// no answers any more. Cause: only answers count.
func TestWaitingRequestsCountBeforeTheyAreAnswered(t *testing.T) {
	var one estimator.Target
	var zone estimator.Zone
	for range 3 {
		one.Observe(zone.Observe(1.6, begin), begin)
	}
	one.Refresh(begin)
	require.False(t, one.Slow())
	for range 3 {
		one.Correct(1.6, 2.6, begin.Add(100*time.Millisecond))
	}
	one.Refresh(begin.Add(100 * time.Millisecond))
	require.True(t, one.Slow())
	all, _ := one.Samples()
	require.Less(t, all, 3.0, "a request counts once")
}

// Symptom: a target that is quick again idles for many seconds. Sequence: it was slow and
// has no open flows left; the zone's hosts send trials only. Cause: a slow target gets no
// flows, so nobody learns that it is quick.
func TestTrialsFindOutWhatIsQuickAgain(t *testing.T) {
	var one estimator.Target
	random := rand.New(rand.NewPCG(6, 6))
	now := every(begin, 12, 2*time.Second, func(now timekeeper.Instant) {
		one.Observe(clamped(spread(random)+math.Log2(5)), now)
		one.Refresh(now)
	})
	require.True(t, one.Slow())
	one.SetTrial(1, 0.5, now)
	trials := 0
	try := func(excess float64) func(now timekeeper.Instant) {
		return func(now timekeeper.Instant) {
			if one.TrialDue(now) {
				trials++
				one.SetTrial(1, 0.5, now)
				one.Observe(excess, now)
			}
			one.Refresh(now)
		}
	}
	now = every(now, 20, 10*time.Second, try(math.Log2(5)))
	require.True(t, one.Slow(), "trials keep what was learned")
	require.LessOrEqual(t, trials, 21)
	every(now, 20, 2*time.Second, try(0))
	require.False(t, one.Slow())
}

// Symptom: a slow target gets a queue of trials. Sequence: the hosts of a large zone learn
// of it in one moment. Cause: trials whose number grows with the hosts.
func TestTrialsOfAllHostsTogetherAreFew(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	hosts := make([]estimator.Target, 100)
	for h := range hosts {
		for range 5 {
			hosts[h].Observe(2.3, begin)
		}
		hosts[h].Refresh(begin)
		hosts[h].SetTrial(len(hosts), random.Float64(), begin)
	}
	trials := 0
	every(begin, 20, 60*time.Second, func(now timekeeper.Instant) {
		for h := range hosts {
			hosts[h].Told("z", estimator.Pace{SlownessEighths: 18, Samples: 2}, now)
			hosts[h].Refresh(now)
			if hosts[h].TrialDue(now) {
				trials++
				hosts[h].SetTrial(len(hosts), random.Float64(), now)
			}
		}
	})
	require.InDelta(t, 120, trials, 40)
}

// Symptom: many slow targets take a large part of the callers for trials. Sequence: all
// targets of a zone are due. Cause: a bound for each target only.
func TestOneOfSixteenFlowsIsATrialAtMost(t *testing.T) {
	var trials estimator.Trials
	count := 0
	for range 160 {
		if trials.Next() {
			count++
		}
	}
	require.Equal(t, 10, count)
}

// Symptom: a target that fails its work looks like the quickest. Sequence: it answers two
// requests in less time than work takes. Cause: only speed counts.
func TestTwoQuickAnswersAreEnough(t *testing.T) {
	require.True(t, estimator.TooQuick(10*time.Millisecond, 50*time.Millisecond))
	require.False(t, estimator.TooQuick(20*time.Millisecond, 50*time.Millisecond))
	var f estimator.Failures
	f.Observe(begin)
	require.False(t, f.Enough(begin), "one may be chance")
	f.Told("b", begin.Add(time.Second))
	require.True(t, f.Enough(begin.Add(time.Second)))
	require.False(t, f.Enough(begin.Add(3*time.Second)))
}
