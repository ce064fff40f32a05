package throttler

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"cranberryspan.dev/core/timekeeper"
	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// rateTimeConstant is the time over which rates are means: long enough that a person's few
	// requests in a row are no excess.
	rateTimeConstant = 2 * time.Second
	// weightTimeConstant is the time over which weights are learned: much longer than it takes to
	// notice a shortage, so that a caller that causes one gains little weight before.
	weightTimeConstant = 10 * time.Second
	// minWeight is the least weight of an address, in open flows: far below one, since a
	// host of a larger fleet sees only a part of each caller's flows.
	minWeight = 0.02
	// guaranteedRate is what each caller may have whatever its share, in new flows a second: as
	// much as a person who asks again and again.
	guaranteedRate = 2
	// excessFactor times what others ask for their weight is much more. Whoever asks two or
	// three times as often as usual, as all do in a crowd, does not.
	excessFactor = 3
	// shareGrowth is by how much shares grow while hardly anybody else is refused: less than
	// lowRefusalRatio of what is passed on. Without it, shares that have shrunk would never
	// grow again.
	shareGrowth     = 1.05
	lowRefusalRatio = 0.02
	// negligibleRate is the rate, in new flows a second, below which what a caller asks, or what
	// is refused, counts as nothing: less than one in the last few seconds.
	negligibleRate = 0.05
	// allocationInterval is how often the callers' shares are worked out.
	allocationInterval = 100 * time.Millisecond
)

// callerTable keeps callers by address or by prefix, in bounded memory.
type callerTable struct {
	callers *lru.TwoQueueCache[netip.Prefix, *caller]
}

// caller is what is kept of an address, or of a prefix.
type caller struct {
	prefix netip.Prefix
	// requestedRate and passed are the rates of new flows that were asked for and passed on.
	requestedRate meanRate
	forwardedRate meanRate
	// openFlows is how many flows are open since changed, weight the mean of it in calm times.
	openFlows int
	updatedAt timekeeper.Instant
	weight    float64
	// hasHistory says that there were calm times since it came.
	hasHistory bool
}

// newCallerTable makes a table that keeps up to size callers.
func newCallerTable(size int) *callerTable {
	callers, err := lru.New2Q[netip.Prefix, *caller](size)
	if err != nil {
		panic(err) // The size is a constant above 0.
	}
	return &callerTable{callers: callers}
}

// getOrCreate returns what is kept of a caller, from now on if nothing was.
func (t *callerTable) getOrCreate(prefix netip.Prefix, now timekeeper.Instant) *caller {
	if c, ok := t.callers.Get(prefix); ok {
		return c
	}
	c := &caller{prefix: prefix, weight: minWeight, updatedAt: now}
	t.callers.Add(prefix, c)
	return c
}

// flowEnded counts the end of a flow.
func (t *callerTable) flowEnded(prefix netip.Prefix, learningSince, now timekeeper.Instant) {
	if c, ok := t.callers.Peek(prefix); ok && c.openFlows > 0 {
		c.addOpenFlows(-1, learningSince, now)
	}
}

// updateWeights brings the weights of all known callers up to date.
//
// What goes wrong otherwise: many people behind one address open long flows in calm times,
// nothing changes for a minute, and in the shortage they weigh as much as one caller.
func (t *callerTable) updateWeights(learningSince, now timekeeper.Instant) {
	for _, c := range t.callers.Values() {
		if c.hasHistory {
			c.addOpenFlows(0, learningSince, now)
		}
	}
}

// addOpenFlows changes how many flows are open. Those that were open until now count for the
// weight, but only for the time in which the service had room, which began at learningSince.
func (c *caller) addOpenFlows(by int, learningSince, now timekeeper.Instant) {
	if learningSince.Passed(now) {
		kept := math.Exp(-float64(now.Since(max(c.updatedAt, learningSince))) / float64(weightTimeConstant))
		c.hasHistory = true
		c.weight = max(c.weight*kept+float64(c.openFlows)*(1-kept), minWeight)
	}
	c.openFlows += by
	c.updatedAt = now
}

// allocation is what the callers of a service ask for altogether, and how it is divided.
type allocation struct {
	// total is of all callers, unknown of those of which nothing is known.
	total     demand
	newcomers demand
	// sharePerWeight is the share of weight one, in new flows a second.
	sharePerWeight float64
	// newcomerWeight and newcomerGuaranteedRate are the weight and the least share of a prefix of
	// which nothing is known.
	newcomerWeight         float64
	newcomerGuaranteedRate float64
}

// weighNewcomers gives each prefix that was not there in calm times the mean weight of those
// that were, but all together no more than all of them, however many come.
func (d *allocation) weighNewcomers(prefixes *callerTable, now timekeeper.Instant) {
	established, newcomers, sum := 0, 0, 0.0
	for _, c := range prefixes.callers.Values() {
		switch {
		case c.hasHistory:
			established++
			sum += c.weight
		case c.requestedRate.at(now) >= negligibleRate:
			newcomers++
		}
	}
	most := float64(max(established, newcomers, 1))
	d.newcomerWeight = max(sum/most, minWeight)
	d.newcomerGuaranteedRate = guaranteedRate * float64(max(established, 1)) / most
}

// guaranteedRateOf is what a caller may have whatever its share.
func (d *allocation) guaranteedRateOf(c *caller) float64 {
	if c.hasHistory {
		return guaranteedRate
	}
	return d.newcomerGuaranteedRate
}

// weightOf is a caller's weight, in open flows.
func (d *allocation) weightOf(c *caller) float64 {
	if c.hasHistory {
		return c.weight
	}
	return d.newcomerWeight
}

// exceedsOthers reports whether a caller asks for much more than the others do for their
// weight. Those of which nothing is known are judged together as well: a caller that changes
// its address asks little from each of them.
func (d *allocation) exceedsOthers(c *caller, now timekeeper.Instant) bool {
	own := demand{rate: c.requestedRate.at(now), weight: d.weightOf(c)}
	return d.total.minus(own).exceededBy(own) || (!c.hasHistory && d.total.minus(d.newcomers).exceededBy(d.newcomers))
}

// demand is what callers ask for, in new flows a second, and their weight in open flows.
type demand struct {
	rate   float64
	weight float64
}

func (d *demand) add(other demand) {
	d.rate += other.rate
	d.weight += other.weight
}

func (d demand) minus(some demand) demand {
	return demand{rate: max(d.rate-some.rate, 0), weight: max(d.weight-some.weight, 0)}
}

// exceededBy reports whether some ask for much more than these, for their weight.
func (d demand) exceededBy(some demand) bool {
	return some.rate*d.weight > excessFactor*d.rate*some.weight
}

// maxMinSharePerWeight returns the share of weight one if room is divided by max-min fairness;
// infinite if there is room for all.
func maxMinSharePerWeight(demands []demand, capacity float64) float64 {
	weights := 0.0
	for _, d := range demands {
		weights += d.weight
	}
	slices.SortFunc(demands, func(x, y demand) int {
		switch left, right := x.rate*y.weight, y.rate*x.weight; {
		case left < right:
			return -1
		case left > right:
			return 1
		}
		return 0
	})
	for _, d := range demands {
		if d.rate*weights > capacity*d.weight {
			return max(capacity, 0) / weights
		}
		capacity -= d.rate
		weights -= d.weight
	}
	return math.Inf(1)
}

// meanRate is an exponentially weighted mean of events a second.
type meanRate struct {
	// value is the mean as of since.
	value     float64
	updatedAt timekeeper.Instant
}

// at is the mean as of now.
func (r *meanRate) at(now timekeeper.Instant) float64 {
	return r.value * math.Exp(-float64(now.Since(r.updatedAt))/float64(rateTimeConstant))
}

// add counts an event.
func (r *meanRate) add(now timekeeper.Instant) {
	r.value = r.at(now) + 1/rateTimeConstant.Seconds()
	r.updatedAt = now
}
