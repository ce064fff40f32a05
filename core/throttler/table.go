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
	// rateTimeConstant is the time constant of mean rates: long enough that a person's few
	// requests in a row don't count as excess.
	rateTimeConstant = 2 * time.Second
	// weightTimeConstant is the time constant of weights: much longer than it takes to detect an
	// overload, so that a caller that causes one gains little weight before that.
	weightTimeConstant = 10 * time.Second
	// minWeight is the minimum weight of an address, in open flows: far below one, since a host
	// of a larger fleet sees only a fraction of each caller's flows.
	minWeight = 0.02
	// guaranteedRate is the rate that each caller is entitled to whatever its fair share, in new
	// flows per second: as many as a person requests who keeps retrying.
	guaranteedRate = 2
	// excessFactor is the multiple of the others' demand per weight above which a caller requests
	// much more than they do. A caller that sends two or three times as many requests as
	// ordinarily, as all callers do in a load peak, does not.
	excessFactor = 3
	// shareGrowth is the factor by which fair shares grow while hardly any requests are refused
	// for reasons other than fair shares: less than lowRefusalRatio of the forwarded rate.
	// Without it, shares that have shrunk would never grow again.
	shareGrowth     = 1.05
	lowRefusalRatio = 0.02
	// negligibleRate is the rate, in new flows per second, below which a caller's demand or the
	// refusals count as none: less than one request in the last few seconds.
	negligibleRate = 0.05
	// allocationInterval is the interval at which the callers' fair shares are recomputed.
	allocationInterval = 100 * time.Millisecond
)

// callerTable keeps callers by address or by prefix, in bounded memory.
type callerTable struct {
	callers *lru.TwoQueueCache[netip.Prefix, *caller]
}

// caller is the record of an address or of a prefix.
type caller struct {
	prefix netip.Prefix
	// requestedRate and forwardedRate are the rates of new flows requested and forwarded.
	requestedRate meanRate
	forwardedRate meanRate
	// openFlows is the number of flows open since updatedAt, weight its mean under normal load.
	openFlows int
	updatedAt timekeeper.Instant
	weight    float64
	// hasHistory says that the caller has been known under normal load.
	hasHistory bool
}

// newCallerTable returns a table that keeps up to size callers.
func newCallerTable(size int) *callerTable {
	callers, err := lru.New2Q[netip.Prefix, *caller](size)
	if err != nil {
		panic(err) // The size is a constant above 0.
	}
	return &callerTable{callers: callers}
}

// getOrCreate returns the record of a caller, and creates it if there is none.
func (t *callerTable) getOrCreate(prefix netip.Prefix, now timekeeper.Instant) *caller {
	if c, ok := t.callers.Get(prefix); ok {
		return c
	}
	c := &caller{prefix: prefix, weight: minWeight, updatedAt: now}
	t.callers.Add(prefix, c)
	return c
}

// flowEnded counts the end of a flow.
func (t *callerTable) flowEnded(prefix netip.Prefix, weightFreezeDeadline, now timekeeper.Instant) {
	if c, ok := t.callers.Peek(prefix); ok && c.openFlows > 0 {
		c.addOpenFlows(-1, weightFreezeDeadline, now)
	}
}

// updateWeights brings the weights of all callers with a history up to date.
//
// Without this, many people behind one address that open long flows under normal load, and neither
// open nor end any for a minute, weigh as much as one caller in the overload that follows.
func (t *callerTable) updateWeights(weightFreezeDeadline, now timekeeper.Instant) {
	for _, c := range t.callers.Values() {
		if c.hasHistory {
			c.addOpenFlows(0, weightFreezeDeadline, now)
		}
	}
}

// addOpenFlows changes the number of open flows. The flows open until now count towards the weight,
// but only for the time under normal load, which began at weightFreezeDeadline.
func (c *caller) addOpenFlows(delta int, weightFreezeDeadline, now timekeeper.Instant) {
	if weightFreezeDeadline.Passed(now) {
		decay := math.Exp(-float64(now.Since(max(c.updatedAt, weightFreezeDeadline))) / float64(weightTimeConstant))
		c.hasHistory = true
		c.weight = max(c.weight*decay+float64(c.openFlows)*(1-decay), minWeight)
	}
	c.openFlows += delta
	c.updatedAt = now
}

// allocation is the total demand of the callers of a service and the division of the forwarded
// rate among them.
type allocation struct {
	// total is the demand of all callers, newcomers that of callers without a history.
	total     demand
	newcomers demand
	// sharePerWeight is the fair share per unit of weight, in new flows per second.
	sharePerWeight float64
	// newcomerWeight and newcomerGuaranteedRate are the weight and the guaranteed rate of a
	// prefix without a history.
	newcomerWeight         float64
	newcomerGuaranteedRate float64
}

// weighNewcomers gives each prefix without a history the mean weight of those with one, but all
// newcomers together no more than the total weight of those, however many there are.
func (a *allocation) weighNewcomers(prefixes *callerTable, now timekeeper.Instant) {
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
	divisor := float64(max(established, newcomers, 1))
	a.newcomerWeight = max(sum/divisor, minWeight)
	a.newcomerGuaranteedRate = guaranteedRate * float64(max(established, 1)) / divisor
}

// guaranteedRateOf returns the rate that a caller is entitled to whatever its fair share.
func (a *allocation) guaranteedRateOf(c *caller) float64 {
	if c.hasHistory {
		return guaranteedRate
	}
	return a.newcomerGuaranteedRate
}

// weightOf returns a caller's weight, in open flows.
func (a *allocation) weightOf(c *caller) float64 {
	if c.hasHistory {
		return c.weight
	}
	return a.newcomerWeight
}

// exceedsOthers reports whether a caller requests much more than the others do for their weight.
// Callers without a history are also compared as a group: a caller that changes its address
// requests little from each address.
func (a *allocation) exceedsOthers(c *caller, now timekeeper.Instant) bool {
	requested := demand{rate: c.requestedRate.at(now), weight: a.weightOf(c)}
	return a.total.minus(requested).exceededBy(requested) || (!c.hasHistory && a.total.minus(a.newcomers).exceededBy(a.newcomers))
}

// demand is the rate that callers request, in new flows per second, and their weight in open flows.
type demand struct {
	rate   float64
	weight float64
}

func (d *demand) add(other demand) {
	d.rate += other.rate
	d.weight += other.weight
}

func (d demand) minus(other demand) demand {
	return demand{rate: max(d.rate-other.rate, 0), weight: max(d.weight-other.weight, 0)}
}

// exceededBy reports whether the callers of other request much more for their weight than those of
// d do.
func (d demand) exceededBy(other demand) bool {
	return other.rate*d.weight > excessFactor*d.rate*other.weight
}

// maxMinSharePerWeight returns the fair share per unit of weight if capacity is divided by max-min
// fairness; infinite if the capacity suffices for all demands.
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

// meanRate is an exponentially weighted moving average of events per second.
type meanRate struct {
	// value is the mean as of updatedAt.
	value     float64
	updatedAt timekeeper.Instant
}

// at returns the mean as of now.
func (r *meanRate) at(now timekeeper.Instant) float64 {
	return r.value * math.Exp(-float64(now.Since(r.updatedAt))/float64(rateTimeConstant))
}

// add counts an event.
func (r *meanRate) add(now timekeeper.Instant) {
	r.value = r.at(now) + 1/rateTimeConstant.Seconds()
	r.updatedAt = now
}
