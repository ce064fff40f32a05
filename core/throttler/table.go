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
	// rateSpan is the time over which rates are means: long enough that a person's few
	// requests in a row are no excess.
	rateSpan = 2 * time.Second
	// weightSpan is the time over which weights are learned: much longer than it takes to
	// notice a shortage, so that a caller that causes one gains little weight before.
	weightSpan = 10 * time.Second
	// leastWeight is the least weight of an address, in open flows: far below one, since a
	// host of a larger fleet sees only a part of each caller's flows.
	leastWeight = 0.02
	// leastShare is what each caller may have whatever its share, in new flows a second: as
	// much as a person who asks again and again.
	leastShare = 2
	// muchMoreTimes times what others ask for their weight is much more. Whoever asks two or
	// three times as often as usual, as all do in a crowd, does not.
	muchMoreTimes = 3
	// growth is by how much shares grow while hardly anybody else is refused: less than
	// fewRefused of what is passed on. Without it, shares that have shrunk would never
	// grow again.
	growth     = 1.05
	fewRefused = 0.02
	// leastRate is the rate, in new flows a second, below which what a caller asks, or what
	// is refused, counts as nothing: less than one in the last few seconds.
	leastRate = 0.05
	// divideEvery is how often the callers' shares are worked out.
	divideEvery = 100 * time.Millisecond
)

// table keeps callers by address or by prefix, in bounded memory.
type table struct {
	callers *lru.TwoQueueCache[netip.Prefix, *caller]
}

// caller is what is kept of an address, or of a prefix.
type caller struct {
	prefix netip.Prefix
	// asked and passed are the rates of new flows that were asked for and passed on.
	asked  meanRate
	passed meanRate
	// open is how many flows are open since changed, weight the mean of it in calm times.
	open    int
	changed timekeeper.Instant
	weight  float64
	// known says that there were calm times since it came.
	known bool
}

// newTable makes a table that keeps up to size callers.
func newTable(size int) *table {
	callers, err := lru.New2Q[netip.Prefix, *caller](size)
	if err != nil {
		panic(err) // The size is a constant above 0.
	}
	return &table{callers: callers}
}

// at returns what is kept of a caller, from now on if nothing was.
func (t *table) at(prefix netip.Prefix, now timekeeper.Instant) *caller {
	if c, ok := t.callers.Get(prefix); ok {
		return c
	}
	c := &caller{prefix: prefix, weight: leastWeight, changed: now}
	t.callers.Add(prefix, c)
	return c
}

// end counts the end of a flow.
func (t *table) end(prefix netip.Prefix, calmSince, now timekeeper.Instant) {
	if c, ok := t.callers.Peek(prefix); ok && c.open > 0 {
		c.count(-1, calmSince, now)
	}
}

// settle brings the weights of all known callers up to date.
//
// What goes wrong otherwise: many people behind one address open long flows in calm times,
// nothing changes for a minute, and in the shortage they weigh as much as one caller.
func (t *table) settle(calmSince, now timekeeper.Instant) {
	for _, c := range t.callers.Values() {
		if c.known {
			c.count(0, calmSince, now)
		}
	}
}

// count changes how many flows are open. Those that were open until now count for the
// weight, but only for the time in which the service had room, which began at calmSince.
func (c *caller) count(by int, calmSince, now timekeeper.Instant) {
	if calmSince.Passed(now) {
		kept := math.Exp(-float64(now.Since(max(c.changed, calmSince))) / float64(weightSpan))
		c.known = true
		c.weight = max(c.weight*kept+float64(c.open)*(1-kept), leastWeight)
	}
	c.open += by
	c.changed = now
}

// division is what the callers of a service ask for altogether, and how it is divided.
type division struct {
	// total is of all callers, unknown of those of which nothing is known.
	total   demand
	unknown demand
	// level is the share of weight one, in new flows a second.
	level float64
	// unknownWeight and unknownLeast are the weight and the least share of a prefix of
	// which nothing is known.
	unknownWeight float64
	unknownLeast  float64
}

// weighUnknown gives each prefix that was not there in calm times the mean weight of those
// that were, but all together no more than all of them, however many come.
func (d *division) weighUnknown(prefixes *table, now timekeeper.Instant) {
	known, unknown, sum := 0, 0, 0.0
	for _, c := range prefixes.callers.Values() {
		switch {
		case c.known:
			known++
			sum += c.weight
		case c.asked.at(now) >= leastRate:
			unknown++
		}
	}
	most := float64(max(known, unknown, 1))
	d.unknownWeight = max(sum/most, leastWeight)
	d.unknownLeast = leastShare * float64(max(known, 1)) / most
}

// leastOf is what a caller may have whatever its share.
func (d *division) leastOf(c *caller) float64 {
	if c.known {
		return leastShare
	}
	return d.unknownLeast
}

// weightOf is a caller's weight, in open flows.
func (d *division) weightOf(c *caller) float64 {
	if c.known {
		return c.weight
	}
	return d.unknownWeight
}

// asksForMuchMore reports whether a caller asks for much more than the others do for their
// weight. Those of which nothing is known are judged together as well: a caller that changes
// its address asks little from each of them.
func (d *division) asksForMuchMore(c *caller, now timekeeper.Instant) bool {
	own := demand{asked: c.asked.at(now), weight: d.weightOf(c)}
	return d.total.without(own).exceededBy(own) || (!c.known && d.total.without(d.unknown).exceededBy(d.unknown))
}

// demand is what callers ask for, in new flows a second, and their weight in open flows.
type demand struct {
	asked  float64
	weight float64
}

func (d *demand) add(other demand) {
	d.asked += other.asked
	d.weight += other.weight
}

func (d demand) without(some demand) demand {
	return demand{asked: max(d.asked-some.asked, 0), weight: max(d.weight-some.weight, 0)}
}

// exceededBy reports whether some ask for much more than these, for their weight.
func (d demand) exceededBy(some demand) bool {
	return some.asked*d.weight > muchMoreTimes*d.asked*some.weight
}

// maxMinLevel returns the share of weight one if room is divided by max-min fairness;
// infinite if there is room for all.
func maxMinLevel(demands []demand, room float64) float64 {
	weights := 0.0
	for _, d := range demands {
		weights += d.weight
	}
	slices.SortFunc(demands, func(x, y demand) int {
		switch left, right := x.asked*y.weight, y.asked*x.weight; {
		case left < right:
			return -1
		case left > right:
			return 1
		}
		return 0
	})
	for _, d := range demands {
		if d.asked*weights > room*d.weight {
			return max(room, 0) / weights
		}
		room -= d.asked
		weights -= d.weight
	}
	return math.Inf(1)
}

// meanRate is an exponentially weighted mean of events a second.
type meanRate struct {
	// value is the mean as of since.
	value float64
	since timekeeper.Instant
}

// at is the mean as of now.
func (r *meanRate) at(now timekeeper.Instant) float64 {
	return r.value * math.Exp(-float64(now.Since(r.since))/float64(rateSpan))
}

// add counts an event.
func (r *meanRate) add(now timekeeper.Instant) {
	r.value = r.at(now) + 1/rateSpan.Seconds()
	r.since = now
}
