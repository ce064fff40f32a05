package warmer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cranberryspan.dev/core/timekeeper"
	"cranberryspan.dev/core/warmer"
	"github.com/stretchr/testify/require"
)

// strategy is one of the evaluated ways to keep the hosts of a zone within the rate that its
// cold targets sustain. admits reports whether a host may place a flow on a target, and placed
// records that it has.
type strategy interface {
	admits(host, target int, now timekeeper.Instant) bool
	placed(host, target int, now timekeeper.Instant)
}

// tickets is the strategy of package warmer.
type tickets struct {
	limit warmer.RateLimit
	hosts []*warmer.Warmer
}

func (w *tickets) admits(host, target int, now timekeeper.Instant) bool {
	return w.hosts[host].Admits(fmt.Sprint(target), w.limit, now)
}

func (w *tickets) placed(host, target int, now timekeeper.Instant) {
	w.hosts[host].RecordPlacement(fmt.Sprint(target), w.limit, now)
}

// equalShares gives each host an equal share of the rate limit, in a token bucket that holds
// one flow. A host divides by the number of hosts that are alive in its view.
type equalShares struct {
	limit warmer.RateLimit
	// knownHosts is the number of hosts that each host counts.
	knownHosts []int
	nextFlowAt map[[2]int]timekeeper.Instant
}

func (w *equalShares) admits(host, target int, now timekeeper.Instant) bool {
	return w.nextFlowAt[[2]int{host, target}].Passed(now)
}

func (w *equalShares) placed(host, target int, now timekeeper.Instant) {
	interval := float64(time.Second) * float64(w.knownHosts[host]) / w.limit.PerSecond
	w.nextFlowAt[[2]int{host, target}] = now.Add(time.Duration(interval))
}

// reportedCounts has each host add up the placements that the others have reported.
type reportedCounts struct {
	limit warmer.RateLimit
	// reportDelay is the age of the reported data.
	reportDelay time.Duration
	// receivesReportsOf reports whether two hosts receive each other's reports.
	receivesReportsOf func(x, y int) bool
	placements        map[int][]placement
}

type placement struct {
	host int
	at   timekeeper.Instant
}

func (w *reportedCounts) admits(host, target int, now timekeeper.Instant) bool {
	count := 0
	for _, p := range w.placements[target] {
		visible := p.host == host || (w.receivesReportsOf(host, p.host) && p.at.Add(w.reportDelay) <= now)
		if visible && now.Since(p.at) < time.Second {
			count++
		}
	}
	return float64(count) < w.limit.PerSecond
}

func (w *reportedCounts) placed(host, target int, now timekeeper.Instant) {
	w.placements[target] = append(w.placements[target], placement{host, now})
}

// scenario describes the hosts and cold targets of a zone, and which hosts have learned of each
// other.
type scenario struct {
	hosts, targets int
	limitPerSecond float64
	// flowsPerSecond is the number of new flows per second of the whole zone.
	flowsPerSecond float64
	// partitioned says that hosts with even and odd numbers are partitioned from each other.
	partitioned bool
	// knownFraction is the fraction of the hosts that each host has learned of.
	knownFraction float64
}

type result struct {
	admittedPerSecond float64 // Per second, over all targets.
	maxInOneSecond    int     // Maximum over all targets and all intervals of one second.
}

// simulate runs two seconds of arriving flows. Each flow goes to the first admitted target in a
// random order.
func (z scenario) simulate(w strategy, seed uint64) result {
	random := rand.New(rand.NewPCG(seed, 1))
	const duration = 2 * time.Second
	first := start.Add(10 * time.Second)
	times := make([][]timekeeper.Instant, z.targets)
	count := 0
	for now := first; now < first.Add(duration); now = now.Add(time.Duration(random.ExpFloat64() / z.flowsPerSecond * float64(time.Second))) {
		host := random.IntN(z.hosts)
		for _, target := range random.Perm(z.targets) {
			if !w.admits(host, target, now) {
				continue
			}
			w.placed(host, target, now)
			times[target] = append(times[target], now)
			count++
			break
		}
	}
	r := result{admittedPerSecond: float64(count) / duration.Seconds()}
	for _, all := range times {
		for i := range all {
			end, _ := slices.BinarySearch(all, all[i].Add(time.Second))
			r.maxInOneSecond = max(r.maxInOneSecond, end-i)
		}
	}
	return r
}

func (z scenario) limit() warmer.RateLimit {
	return warmer.RateLimit{PerSecond: z.limitPerSecond, BurstFactor: 1.5, BurstAllowance: 5}
}

func (z scenario) name(i int) string { return fmt.Sprintf("a%d", i) }

// receivesReportsOf reports whether one host receives the reports of another.
func (z scenario) receivesReportsOf(x, y int) bool { return !z.partitioned || x%2 == y%2 }

// strategies returns all strategies for a scenario. With tickets, hosts count those that they
// learned of before a partition; with the other two, they consider only those that are alive in
// their view.
func (z scenario) strategies(seed uint64) map[string]strategy {
	random := rand.New(rand.NewPCG(seed, 2))
	ticketStrategy := &tickets{limit: z.limit()}
	known := make([]int, z.hosts)
	for i := range z.hosts {
		w := warmer.New(z.name(i), start)
		var others []string
		known[i] = 1
		for j := range z.hosts {
			if j == i || random.Float64() >= z.knownFraction {
				continue
			}
			others = append(others, z.name(j))
			if z.receivesReportsOf(i, j) {
				known[i]++
			}
		}
		w.SetHosts(others)
		ticketStrategy.hosts = append(ticketStrategy.hosts, w)
	}
	return map[string]strategy{
		"tickets": ticketStrategy,
		"shares":  &equalShares{limit: z.limit(), knownHosts: known, nextFlowAt: map[[2]int]timekeeper.Instant{}},
		"counted": &reportedCounts{limit: z.limit(), reportDelay: 250 * time.Millisecond, receivesReportsOf: z.receivesReportsOf, placements: map[int][]placement{}},
	}
}

// Guards against overloading cold targets, which then fail one request in a hundred: when the
// targets of a zone return cold and idle, all hosts of the zone place their flows on them, and
// no host sees what the others place.
//
// The parameters: a zone has a third of the hosts of a fleet, so 3, 30 and 100; twice as many
// cold targets as hosts, as in a zone of that size; rate limits as in settings; eight new flows
// per second for each host, as with callers that open a flow for each request.
func TestOnlyTicketsStayWithinColdTargetRateLimit(t *testing.T) {
	violations := map[string]int{}
	for _, hosts := range []int{3, 30, 100} {
		for _, perSecond := range []float64{2, 12, 50} {
			for _, state := range []string{"calm", "split", "half known", "crowd", "one target"} {
				z := scenario{hosts: hosts, targets: 2 * hosts, limitPerSecond: perSecond, flowsPerSecond: 8 * float64(hosts), knownFraction: 1}
				switch state {
				case "split":
					z.partitioned = true
				case "half known":
					z.knownFraction = 0.6
				case "crowd":
					z.flowsPerSecond *= 6
				case "one target":
					z.targets = 1
				}
				limit := int(z.limitPerSecond*1.5 + 5)
				for name, w := range z.strategies(7) {
					r := z.simulate(w, 7)
					t.Logf("hosts %3d, bears %2.0f, %-10s %-8s admits %5.0f of %5.0f a second, most in one second %3d of %d", hosts, perSecond, state, name, r.admittedPerSecond, z.flowsPerSecond, r.maxInOneSecond, limit)
					if r.maxInOneSecond > limit {
						violations[name]++
					}
				}
			}
		}
	}
	require.Zero(t, violations["tickets"])
	require.NotZero(t, violations["shares"], "shares are within the bound, too, and admit more: weigh them again")
	require.NotZero(t, violations["counted"], "counts are within the bound, too, and admit more: weigh them again")
}
