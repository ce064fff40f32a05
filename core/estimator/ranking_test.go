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

// zoneLoad is hosts of a zone before targets, half of which turn slow after two seconds.
// Each host meets each target once a second, as in a large fleet. What it knows of the
// others is a quarter of a second old, and comes from a few of them.
type zoneLoad struct {
	hosts, targets, slots int
	// perSecond is how many requests a second come for each target.
	perSecond float64
	slowTimes float64
	slowFrom  time.Duration
	slowUntil time.Duration
	length    time.Duration
}

const (
	workTime   = 47 * time.Millisecond
	tellPeriod = 250 * time.Millisecond
	tellsHosts = 3
)

// ranker is a way to place requests. rank is less for a better target.
type ranker interface {
	rank(host, target int) float64
	placed(host, target int)
	answered(host, target int, underWay int, took time.Duration, now timekeeper.Instant)
	tell(from, to int, now timekeeper.Instant)
}

type arrival struct {
	at           timekeeper.Instant
	host, target int
	began        timekeeper.Instant
	underWay     int
	// work is 0 for the arrival of a request, else its answer.
	work time.Duration
}

type arrivals []arrival

func (a arrivals) Len() int           { return len(a) }
func (a arrivals) Less(i, j int) bool { return a[i].at < a[j].at }
func (a arrivals) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *arrivals) Push(x any)        { *a = append(*a, x.(arrival)) }
func (a *arrivals) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// outcome is what callers saw while targets were slow, and how work was spread.
type outcome struct {
	times []time.Duration
	// slow and quick count the requests that went to slow and quick targets while some
	// were slow, back those that the slow ones got from two seconds after that.
	slow, quick int
	back, all   int
}

func (o *outcome) quantile(q float64) time.Duration {
	slices.Sort(o.times)
	return o.times[int(q*float64(len(o.times)-1))]
}

// play lets requests come. counts is the view of requests under way that rankers share.
func (l zoneLoad) play(make func(l zoneLoad, counts *counts, random *rand.Rand) ranker) outcome {
	random := rand.New(rand.NewPCG(7, 7))
	c := newCounts(l.hosts, l.targets)
	r := make(l, c, random)
	free := slotsOf(l.targets, l.slots)
	var o outcome
	queue := &arrivals{}
	rate := l.perSecond * float64(l.targets)
	heap.Push(queue, arrival{at: 1})
	// Hosts tell others in turn, each once in a tellPeriod.
	pause := tellPeriod / time.Duration(l.hosts)
	nextTick := timekeeper.Instant(pause)
	turn := 0
	order := random.Perm(l.targets)
	for queue.Len() > 0 {
		e := heap.Pop(queue).(arrival)
		for e.at >= nextTick {
			for range min(tellsHosts, l.hosts-1) {
				to := random.IntN(l.hosts)
				c.tell(turn, to, nextTick)
				r.tell(turn, to, nextTick)
			}
			c.forget(turn, nextTick)
			turn = (turn + 1) % l.hosts
			nextTick = nextTick.Add(pause)
		}
		if e.work > 0 {
			c.own[e.host][e.target]--
			r.answered(e.host, e.target, e.underWay, e.at.Since(e.began), e.at)
			if began := time.Duration(e.began); began > l.slowFrom+500*time.Millisecond && began < l.slowUntil {
				o.times = append(o.times, e.at.Since(e.began))
			}
			continue
		}
		if time.Duration(e.at) < l.length {
			heap.Push(queue, arrival{at: e.at.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))})
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
		r.placed(host, best)
		slowNow := time.Duration(e.at) >= l.slowFrom && time.Duration(e.at) < l.slowUntil
		work := time.Duration(float64(workTime) * math.Exp(0.47*random.NormFloat64()))
		if slowNow && best%2 == 0 {
			work = time.Duration(float64(work) * l.slowTimes)
		}
		o.note(l, e.at, best)
		slot := 0
		for i, at := range free[best] {
			if at < free[best][slot] {
				slot = i
			}
		}
		underWay := c.seen(host, best)
		c.own[host][best]++
		free[best][slot] = max(free[best][slot], e.at).Add(work)
		heap.Push(queue, arrival{at: free[best][slot], host: host, target: best, began: e.at, underWay: underWay, work: work})
	}
	return o
}

func (o *outcome) note(l zoneLoad, at timekeeper.Instant, target int) {
	switch begun := time.Duration(at); {
	case begun >= l.slowFrom+time.Second && begun < l.slowUntil:
		if target%2 == 0 {
			o.slow++
		} else {
			o.quick++
		}
	case begun >= l.slowUntil+2*time.Second:
		o.all++
		if target%2 == 0 {
			o.back++
		}
	}
}

// slotsOf is when each slot of each target is free.
func slotsOf(n, slots int) [][]timekeeper.Instant {
	all := make([][]timekeeper.Instant, n)
	for i := range all {
		all[i] = make([]timekeeper.Instant, slots)
	}
	return all
}

// counts is what each host knows of requests under way: its own, and what others told
// it of late.
type counts struct {
	own    [][]int
	others [][]int
	told   []map[int]toldCounts
}

type toldCounts struct {
	at     timekeeper.Instant
	counts []int
}

func newCounts(hosts, targets int) *counts {
	c := &counts{}
	for range hosts {
		c.own = append(c.own, make([]int, targets))
		c.others = append(c.others, make([]int, targets))
		c.told = append(c.told, map[int]toldCounts{})
	}
	return c
}

// countMemory is how long counts that were told hold.
const countMemory = 600 * time.Millisecond

// tell lets one host tell another its counts.
func (c *counts) tell(from, to int, now timekeeper.Instant) {
	if from == to {
		return
	}
	c.drop(from, to)
	c.told[to][from] = toldCounts{now, slices.Clone(c.own[from])}
	for t, n := range c.own[from] {
		c.others[to][t] += n
	}
}

func (c *counts) drop(from, to int) {
	for t, n := range c.told[to][from].counts {
		c.others[to][t] -= n
	}
	delete(c.told[to], from)
}

// forget drops what a host was told too long ago.
func (c *counts) forget(host int, now timekeeper.Instant) {
	for from, one := range c.told[host] {
		if now.Since(one.at) > countMemory {
			c.drop(from, host)
		}
	}
}

func (c *counts) seen(host, target int) int { return c.own[host][target] + c.others[host][target] }

func (c *counts) perSlot(host, target, slots int) float64 {
	return float64(c.seen(host, target)) / float64(slots)
}

// byCounts places by requests under way.
type byCounts struct {
	*counts
	slots int
}

func (r *byCounts) rank(h, t int) float64                                     { return r.perSlot(h, t, r.slots) }
func (r *byCounts) placed(int, int)                                           {}
func (r *byCounts) answered(int, int, int, time.Duration, timekeeper.Instant) {}
func (r *byCounts) tell(int, int, timekeeper.Instant)                         {}

// latencies is each host's own moving mean of answer times.
type latencies struct {
	byCounts
	mean [][]float64
	last [][]timekeeper.Instant
	// peak lets a time above the mean replace it.
	peak bool
}

func newLatencies(l zoneLoad, c *counts, peak bool) *latencies {
	r := &latencies{byCounts: byCounts{c, l.slots}, peak: peak}
	for range l.hosts {
		r.mean = append(r.mean, make([]float64, l.targets))
		r.last = append(r.last, make([]timekeeper.Instant, l.targets))
	}
	return r
}

func (r *latencies) answered(h, t, _ int, took time.Duration, now timekeeper.Instant) {
	mean := &r.mean[h][t]
	kept := math.Exp(-now.Since(r.last[h][t]).Seconds())
	r.last[h][t] = now
	if *mean == 0 || r.peak && took.Seconds() > *mean {
		*mean = took.Seconds()
		return
	}
	*mean = kept**mean + (1-kept)*took.Seconds()
}

// peakEWMA is the mean that follows peaks at once, times a host's own requests.
type peakEWMA struct{ *latencies }

func (r peakEWMA) rank(h, t int) float64 { return r.mean[h][t] * float64(r.own[h][t]+1) }

// c3 is the time of an answer and the cube of the queue, times the time of work.
type c3 struct {
	*latencies
	hosts int
}

func (r c3) rank(h, t int) float64 {
	service := r.mean[h][t] / float64(r.slots)
	q := 1 + float64(r.own[h][t]*r.hosts) + float64(r.others[h][t])
	return r.mean[h][t] - service + q*q*q*service
}

// prequal takes the quickest of a few targets that are not among the busiest quarter.
type prequal struct {
	*latencies
	random *rand.Rand
	chosen map[int]bool
	hot    float64
}

func (r *prequal) rank(h, t int) float64 {
	if len(r.chosen) == 0 {
		var loads []float64
		for other := range r.own[h] {
			loads = append(loads, r.perSlot(h, other, r.slots))
		}
		slices.Sort(loads)
		r.hot = loads[len(loads)*3/4]
		for _, one := range r.random.Perm(len(r.own[h]))[:3] {
			r.chosen[one] = true
		}
	}
	load := r.perSlot(h, t, r.slots)
	switch {
	case !r.chosen[t]:
		return math.Inf(1)
	case load > r.hot:
		return 1000 + load
	}
	return r.mean[h][t]
}

func (r *prequal) placed(int, int) { clear(r.chosen) }

// estimates is what this package does.
type estimates struct {
	byCounts
	targets [][]estimator.Target
	zones   []estimator.Zone
	trials  []estimator.Trials
	trial   bool
	now     timekeeper.Instant
	random  *rand.Rand
}

func newEstimates(l zoneLoad, c *counts, random *rand.Rand) *estimates {
	r := &estimates{byCounts: byCounts{c, l.slots}, zones: make([]estimator.Zone, l.hosts), trials: make([]estimator.Trials, l.hosts), random: random}
	for range l.hosts {
		r.targets = append(r.targets, make([]estimator.Target, l.targets))
	}
	return r
}

func (r *estimates) rank(h, t int) float64 {
	one := &r.targets[h][t]
	if r.trial && one.TrialDue(r.now) {
		return -1
	}
	return estimator.Factor(one.Slowness()) * (1 + r.perSlot(h, t, r.slots))
}

func (r *estimates) placed(h, t int) {
	if one := &r.targets[h][t]; r.trial && one.TrialDue(r.now) {
		one.SetTrial(len(r.targets), r.random.Float64(), r.now)
	}
	r.trial = r.trials[h].Next()
}

func (r *estimates) answered(h, t, underWay int, took time.Duration, now timekeeper.Instant) {
	r.now = now
	excess := estimator.Excess(took, workTime, estimator.Wait(underWay, r.slots))
	one := &r.targets[h][t]
	one.Observe(r.zones[h].Observe(excess, now), now)
	r.refresh(one)
}

func (r *estimates) refresh(one *estimator.Target) {
	if one.Refresh(r.now) && one.Slow() {
		one.SetTrial(len(r.targets), r.random.Float64(), r.now)
	}
}

// tell lets one host tell another how fast targets are, and grow older itself.
func (r *estimates) tell(from, to int, now timekeeper.Instant) {
	r.now = now
	told := 0
	start := r.random.IntN(len(r.targets[from]))
	for i := range r.targets[from] {
		t := (start + i) % len(r.targets[from])
		if p, ok := r.targets[from][t].Tell(now); ok && told < 32 && from != to {
			r.targets[to][t].Told(fmt.Sprint(from), p, now)
			r.refresh(&r.targets[to][t])
			told++
		}
		r.refresh(&r.targets[from][t])
	}
}

// halfSlow is 20 targets of which each second one takes five times as long for four
// seconds. Two thirds of what all can do then are asked for.
func halfSlow(hosts int) zoneLoad {
	return zoneLoad{
		hosts: hosts, targets: 20, slots: hosts/8 + 1, perSecond: float64(hosts), slowTimes: 5,
		slowFrom: 2 * time.Second, slowUntil: 6 * time.Second, length: 11 * time.Second,
	}
}

// Symptom: callers wait at targets that take five times as long, while others idle.
// Sequence: half of the targets of a zone turn slow; each host meets each of them once a
// second. Cause: a target that does a fifth of the work gets half of it.
func TestSlowHalfGetsWhatItCanDo(t *testing.T) {
	ways := []struct {
		name string
		make func(zoneLoad, *counts, *rand.Rand) ranker
	}{
		{"requests under way", func(l zoneLoad, c *counts, _ *rand.Rand) ranker { return &byCounts{c, l.slots} }},
		{"peak EWMA", func(l zoneLoad, c *counts, _ *rand.Rand) ranker { return peakEWMA{newLatencies(l, c, true)} }},
		{"cubic queue", func(l zoneLoad, c *counts, _ *rand.Rand) ranker { return c3{newLatencies(l, c, false), l.hosts} }},
		{"hot and cold", func(l zoneLoad, c *counts, random *rand.Rand) ranker {
			return &prequal{latencies: newLatencies(l, c, false), random: random, chosen: map[int]bool{}}
		}},
		{"estimate times queue", func(l zoneLoad, c *counts, random *rand.Rand) ranker { return newEstimates(l, c, random) }},
	}
	for _, hosts := range []int{35, 300} {
		l := halfSlow(hosts)
		for _, way := range ways {
			o := l.play(way.make)
			share := float64(o.slow) / float64(o.quick)
			back := float64(o.back) / float64(o.all)
			t.Logf("%d hosts, %s: median %v, 99%% %v, a slow target gets %.2f of what a quick one gets, %.2f of all two seconds after it is quick again",
				hosts, way.name, o.quantile(0.5).Round(time.Millisecond), o.quantile(0.99).Round(time.Millisecond), share, back)
			if way.name != "estimate times queue" {
				continue
			}
			require.Less(t, share, 0.25)
			require.Greater(t, back, 0.4, "of the half that is due")
			require.Less(t, o.quantile(0.9), 400*time.Millisecond)
		}
	}
}

// Symptom: all of the work goes to the quick half, which then is as late as the slow one.
// Sequence: half of the targets turn slow, and callers ask for a little more than both
// halves together can do. Cause: targets that are slow get nothing but trials.
func TestSlowHalfHelpsWhenTheQuickIsFull(t *testing.T) {
	l := halfSlow(35)
	l.perSecond *= 1.7
	o := l.play(func(l zoneLoad, c *counts, random *rand.Rand) ranker { return newEstimates(l, c, random) })
	share := float64(o.slow) / float64(o.quick)
	t.Logf("a slow target gets %.2f of what a quick one gets, median %v, 99%% %v", share, o.quantile(0.5), o.quantile(0.99))
	require.InDelta(t, 0.2, share, 0.08)
}
