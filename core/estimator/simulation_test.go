package estimator_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cranberryspan.dev/core/estimator"
	"cranberryspan.dev/core/timekeeper"
	"github.com/stretchr/testify/require"
)

// scenario describes hosts that send requests to the targets of a zone, half of which become
// slow after two seconds. Each host sends each target one request a second, as in a large
// fleet. Its data from other hosts is a quarter of a second old, and comes from a few of them.
type scenario struct {
	hosts, targets, slots int
	// requestsPerSecond is how many requests arrive per second for each target.
	requestsPerSecond float64
	slowdown          float64
	slowFrom          time.Duration
	slowUntil         time.Duration
	duration          time.Duration
}

const (
	serviceTime    = 47 * time.Millisecond
	reportInterval = 250 * time.Millisecond
	reportFanout   = 3
)

// ranker is a strategy for placing requests. rank is lower for a better target.
type ranker interface {
	rank(host, target int) float64
	onPlaced(host, target int)
	onResponse(host, target int, inFlight int, elapsed time.Duration, now timekeeper.Instant)
	report(from, to int, now timekeeper.Instant)
}

type event struct {
	at           timekeeper.Instant
	host, target int
	startedAt    timekeeper.Instant
	inFlight     int
	// serviceTime is 0 for the arrival of a request; otherwise the event is its response.
	serviceTime time.Duration
}

type eventQueue []event

func (a eventQueue) Len() int           { return len(a) }
func (a eventQueue) Less(i, j int) bool { return a[i].at < a[j].at }
func (a eventQueue) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)        { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// result holds the latencies of callers while targets are slow, and the distribution of
// requests. Requests from the time in which hosts detect the slow targets are left out: half a
// second for latencies, one second for the distribution.
type result struct {
	latencies []time.Duration
	// slowRequests and fastRequests count the requests to slow and fast targets while some are
	// slow. requestsAfterRecovery counts all requests from two seconds after their recovery,
	// and recoveredRequests those of them that went to the recovered targets.
	slowRequests, fastRequests               int
	recoveredRequests, requestsAfterRecovery int
}

func (o *result) quantile(q float64) time.Duration {
	slices.Sort(o.latencies)
	return o.latencies[int(q*float64(len(o.latencies)-1))]
}

// simulate runs the scenario with the strategy that newRanker returns. The counts given to
// newRanker are the numbers of requests in flight that all strategies have access to.
func (l scenario) simulate(newRanker func(l scenario, counts *inFlightCounts, random *rand.Rand) ranker) result {
	random := rand.New(rand.NewPCG(7, 7))
	c := newInFlightCounts(l.hosts, l.targets)
	r := newRanker(l, c, random)
	slotFreeAt := newSlotFreeTimes(l.targets, l.slots)
	var o result
	queue := &eventQueue{}
	rate := l.requestsPerSecond * float64(l.targets)
	heap.Push(queue, event{at: 1})
	// In each reportInterval every host reports to others once, in turn.
	tickInterval := reportInterval / time.Duration(l.hosts)
	nextTick := timekeeper.Instant(tickInterval)
	reporter := 0
	order := random.Perm(l.targets)
	for queue.Len() > 0 {
		e := heap.Pop(queue).(event)
		for e.at >= nextTick {
			for range min(reportFanout, l.hosts-1) {
				to := random.IntN(l.hosts)
				c.report(reporter, to, nextTick)
				r.report(reporter, to, nextTick)
			}
			c.expire(reporter, nextTick)
			reporter = (reporter + 1) % l.hosts
			nextTick = nextTick.Add(tickInterval)
		}
		if e.serviceTime > 0 {
			c.local[e.host][e.target]--
			r.onResponse(e.host, e.target, e.inFlight, e.at.Since(e.startedAt), e.at)
			if startedAt := time.Duration(e.startedAt); startedAt > l.slowFrom+500*time.Millisecond && startedAt < l.slowUntil {
				o.latencies = append(o.latencies, e.at.Since(e.startedAt))
			}
			continue
		}
		if time.Duration(e.at) < l.duration {
			heap.Push(queue, event{at: e.at.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))})
		}
		host := random.IntN(l.hosts)
		best := -1
		var least float64
		start := random.IntN(l.targets)
		for i := range l.targets {
			t := order[(start+i)%l.targets]
			if rank := r.rank(host, t); best < 0 || rank < least {
				best, least = t, rank
			}
		}
		r.onPlaced(host, best)
		slowNow := time.Duration(e.at) >= l.slowFrom && time.Duration(e.at) < l.slowUntil
		service := time.Duration(float64(serviceTime) * math.Exp(0.47*random.NormFloat64()))
		if slowNow && best%2 == 0 {
			service = time.Duration(float64(service) * l.slowdown)
		}
		o.count(l, e.at, best)
		slot := 0
		for i, at := range slotFreeAt[best] {
			if at < slotFreeAt[best][slot] {
				slot = i
			}
		}
		inFlight := c.total(host, best)
		c.local[host][best]++
		slotFreeAt[best][slot] = max(slotFreeAt[best][slot], e.at).Add(service)
		heap.Push(queue, event{at: slotFreeAt[best][slot], host: host, target: best, startedAt: e.at, inFlight: inFlight, serviceTime: service})
	}
	return o
}

func (o *result) count(l scenario, at timekeeper.Instant, target int) {
	switch startedAt := time.Duration(at); {
	case startedAt >= l.slowFrom+time.Second && startedAt < l.slowUntil:
		if target%2 == 0 {
			o.slowRequests++
		} else {
			o.fastRequests++
		}
	case startedAt >= l.slowUntil+2*time.Second:
		o.requestsAfterRecovery++
		if target%2 == 0 {
			o.recoveredRequests++
		}
	}
}

// newSlotFreeTimes returns, for each slot of each target, the time from which on it is free:
// initially 0.
func newSlotFreeTimes(n, slots int) [][]timekeeper.Instant {
	all := make([][]timekeeper.Instant, n)
	for i := range all {
		all[i] = make([]timekeeper.Instant, slots)
	}
	return all
}

// inFlightCounts holds, for each host, the numbers of requests in flight: its own, and those
// that other hosts reported recently.
type inFlightCounts struct {
	local    [][]int
	remote   [][]int
	reported []map[int]reportedCounts
}

type reportedCounts struct {
	at     timekeeper.Instant
	counts []int
}

func newInFlightCounts(hosts, targets int) *inFlightCounts {
	c := &inFlightCounts{}
	for range hosts {
		c.local = append(c.local, make([]int, targets))
		c.remote = append(c.remote, make([]int, targets))
		c.reported = append(c.reported, map[int]reportedCounts{})
	}
	return c
}

// countTTL is how long reported counts are used.
const countTTL = 600 * time.Millisecond

// report sends the counts of one host to another.
func (c *inFlightCounts) report(from, to int, now timekeeper.Instant) {
	if from == to {
		return
	}
	c.drop(from, to)
	c.reported[to][from] = reportedCounts{now, slices.Clone(c.local[from])}
	for t, n := range c.local[from] {
		c.remote[to][t] += n
	}
}

func (c *inFlightCounts) drop(from, to int) {
	for t, n := range c.reported[to][from].counts {
		c.remote[to][t] -= n
	}
	delete(c.reported[to], from)
}

// expire drops reported counts that are older than countTTL.
func (c *inFlightCounts) expire(host int, now timekeeper.Instant) {
	for from, reported := range c.reported[host] {
		if now.Since(reported.at) > countTTL {
			c.drop(from, host)
		}
	}
}

func (c *inFlightCounts) total(host, target int) int {
	return c.local[host][target] + c.remote[host][target]
}

func (c *inFlightCounts) perSlot(host, target, slots int) float64 {
	return float64(c.total(host, target)) / float64(slots)
}

// leastRequests ranks targets by requests in flight per slot.
type leastRequests struct {
	*inFlightCounts
	slots int
}

func (r *leastRequests) rank(h, t int) float64                                       { return r.perSlot(h, t, r.slots) }
func (r *leastRequests) onPlaced(int, int)                                           {}
func (r *leastRequests) onResponse(int, int, int, time.Duration, timekeeper.Instant) {}
func (r *leastRequests) report(int, int, timekeeper.Instant)                         {}

// latencyEWMA is a moving average of response times that each host keeps by itself.
type latencyEWMA struct {
	leastRequests
	mean [][]float64
	last [][]timekeeper.Instant
	// trackPeaks makes a response time above the average replace it.
	trackPeaks bool
}

func newLatencyEWMA(l scenario, c *inFlightCounts, trackPeaks bool) *latencyEWMA {
	r := &latencyEWMA{leastRequests: leastRequests{c, l.slots}, trackPeaks: trackPeaks}
	for range l.hosts {
		r.mean = append(r.mean, make([]float64, l.targets))
		r.last = append(r.last, make([]timekeeper.Instant, l.targets))
	}
	return r
}

func (r *latencyEWMA) onResponse(h, t, _ int, elapsed time.Duration, now timekeeper.Instant) {
	mean := &r.mean[h][t]
	kept := math.Exp(-now.Since(r.last[h][t]).Seconds())
	r.last[h][t] = now
	if *mean == 0 || r.trackPeaks && elapsed.Seconds() > *mean {
		*mean = elapsed.Seconds()
		return
	}
	*mean = kept**mean + (1-kept)*elapsed.Seconds()
}

// peakEWMA ranks by the average that follows peaks at once, times the host's own requests in
// flight.
type peakEWMA struct{ *latencyEWMA }

func (r peakEWMA) rank(h, t int) float64 { return r.mean[h][t] * float64(r.local[h][t]+1) }

// cubicQueue ranks by the response time, with the service time weighted by the cube of the queue
// length.
type cubicQueue struct {
	*latencyEWMA
	hosts int
}

func (r cubicQueue) rank(h, t int) float64 {
	service := r.mean[h][t] / float64(r.slots)
	q := 1 + float64(r.local[h][t]*r.hosts) + float64(r.remote[h][t])
	return r.mean[h][t] - service + q*q*q*service
}

// prequal selects the target with the lowest latency out of a few random ones, avoiding those
// in the quarter with the most load.
type prequal struct {
	*latencyEWMA
	random       *rand.Rand
	sampled      map[int]bool
	hotThreshold float64
}

func (r *prequal) rank(h, t int) float64 {
	if len(r.sampled) == 0 {
		var loads []float64
		for other := range r.local[h] {
			loads = append(loads, r.perSlot(h, other, r.slots))
		}
		slices.Sort(loads)
		r.hotThreshold = loads[len(loads)*3/4]
		for _, target := range r.random.Perm(len(r.local[h]))[:3] {
			r.sampled[target] = true
		}
	}
	load := r.perSlot(h, t, r.slots)
	switch {
	case !r.sampled[t]:
		return math.Inf(1)
	case load > r.hotThreshold:
		return 1000 + load
	}
	return r.mean[h][t]
}

func (r *prequal) onPlaced(int, int) { clear(r.sampled) }

// slowdownRanker is the strategy of package estimator.
type slowdownRanker struct {
	leastRequests
	targets      [][]estimator.Target
	zones        []estimator.Zone
	trials       []estimator.TrialLimiter
	trialAllowed bool
	now          timekeeper.Instant
	random       *rand.Rand
}

func newSlowdownRanker(l scenario, c *inFlightCounts, random *rand.Rand) *slowdownRanker {
	r := &slowdownRanker{leastRequests: leastRequests{c, l.slots}, zones: make([]estimator.Zone, l.hosts), trials: make([]estimator.TrialLimiter, l.hosts), random: random}
	for range l.hosts {
		r.targets = append(r.targets, make([]estimator.Target, l.targets))
	}
	return r
}

// rank ranks by the expected response time, with targets that are due for a trial first.
func (r *slowdownRanker) rank(h, t int) float64 {
	target := &r.targets[h][t]
	if r.trialAllowed && target.TrialDue(r.now) {
		return -1
	}
	return estimator.Slowdown(target.LogSlowdown()) * (1 + r.perSlot(h, t, r.slots))
}

func (r *slowdownRanker) onPlaced(h, t int) {
	if target := &r.targets[h][t]; r.trialAllowed && target.TrialDue(r.now) {
		target.ScheduleTrial(len(r.targets), r.random.Float64(), r.now)
	}
	r.trialAllowed = r.trials[h].Allow()
}

func (r *slowdownRanker) onResponse(h, t, inFlight int, elapsed time.Duration, now timekeeper.Instant) {
	r.now = now
	logSlowdown := estimator.LogSlowdown(elapsed, serviceTime, estimator.QueueingFactor(inFlight, r.slots))
	target := &r.targets[h][t]
	target.Observe(r.zones[h].Observe(logSlowdown, now), now)
	r.refresh(target)
}

func (r *slowdownRanker) refresh(target *estimator.Target) {
	if target.Refresh(r.now) && target.Slow() {
		target.ScheduleTrial(len(r.targets), r.random.Float64(), r.now)
	}
}

// report reports the slowdowns of targets from one host to another, and refreshes those of the
// sender.
func (r *slowdownRanker) report(from, to int, now timekeeper.Instant) {
	r.now = now
	reported := 0
	start := r.random.IntN(len(r.targets[from]))
	for i := range r.targets[from] {
		t := (start + i) % len(r.targets[from])
		if p, ok := r.targets[from][t].Report(now); ok && reported < 32 && from != to {
			r.targets[to][t].ApplyReport(fmt.Sprint(from), p, now)
			r.refresh(&r.targets[to][t])
			reported++
		}
		r.refresh(&r.targets[from][t])
	}
}

// halfSlow has 20 targets, of which every second one takes five times as long for four seconds.
// Callers demand two thirds of the capacity that remains then.
func halfSlow(hosts int) scenario {
	return scenario{
		hosts: hosts, targets: 20, slots: hosts/8 + 1, requestsPerSecond: float64(hosts), slowdown: 5,
		slowFrom: 2 * time.Second, slowUntil: 6 * time.Second, duration: 11 * time.Second,
	}
}

// Guards against callers waiting at slow targets while others are idle: when half of the
// targets of a zone start to take five times as long, and each host sends each of them one
// request a second, targets with a fifth of the throughput must not get half of the requests.
func TestSlowTargetsGetLoadByTheirCapacity(t *testing.T) {
	strategies := []struct {
		name string
		make func(scenario, *inFlightCounts, *rand.Rand) ranker
	}{
		{"requests under way", func(l scenario, c *inFlightCounts, _ *rand.Rand) ranker { return &leastRequests{c, l.slots} }},
		{"peak EWMA", func(l scenario, c *inFlightCounts, _ *rand.Rand) ranker { return peakEWMA{newLatencyEWMA(l, c, true)} }},
		{"cubic queue", func(l scenario, c *inFlightCounts, _ *rand.Rand) ranker {
			return cubicQueue{newLatencyEWMA(l, c, false), l.hosts}
		}},
		{"hot and cold", func(l scenario, c *inFlightCounts, random *rand.Rand) ranker {
			return &prequal{latencyEWMA: newLatencyEWMA(l, c, false), random: random, sampled: map[int]bool{}}
		}},
		{"estimate times queue", func(l scenario, c *inFlightCounts, random *rand.Rand) ranker { return newSlowdownRanker(l, c, random) }},
	}
	for _, hosts := range []int{35, 300} {
		l := halfSlow(hosts)
		for _, strategy := range strategies {
			o := l.simulate(strategy.make)
			slowToFastRatio := float64(o.slowRequests) / float64(o.fastRequests)
			recoveredRatio := float64(o.recoveredRequests) / float64(o.requestsAfterRecovery)
			t.Logf("%d hosts, %s: median %v, 99%% %v, a slow target gets %.2f of what a quick one gets, %.2f of all two seconds after it is quick again",
				hosts, strategy.name, o.quantile(0.5).Round(time.Millisecond), o.quantile(0.99).Round(time.Millisecond), slowToFastRatio, recoveredRatio)
			if strategy.name != "estimate times queue" {
				continue
			}
			require.Less(t, slowToFastRatio, 0.25)
			require.Greater(t, recoveredRatio, 0.4, "of the half that is due")
			require.Less(t, o.quantile(0.9), 400*time.Millisecond)
		}
	}
}

// Guards against overloading the fast half of the targets, which would then be as late as the
// slow half: when half of the targets become slow and callers demand a little more than all of
// them can serve, slow targets must get more than trials.
func TestSlowTargetsTakeOverflowWhenFastOnesAreSaturated(t *testing.T) {
	l := halfSlow(35)
	l.requestsPerSecond *= 1.7
	o := l.simulate(func(l scenario, c *inFlightCounts, random *rand.Rand) ranker { return newSlowdownRanker(l, c, random) })
	slowToFastRatio := float64(o.slowRequests) / float64(o.fastRequests)
	t.Logf("a slow target gets %.2f of what a quick one gets, median %v, 99%% %v", slowToFastRatio, o.quantile(0.5), o.quantile(0.99))
	require.InDelta(t, 0.2, slowToFastRatio, 0.08)
}
