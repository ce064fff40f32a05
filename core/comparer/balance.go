package comparer

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"cranberryspan.dev/core/driver"
	"cranberryspan.dev/core/messenger"
)

// Balance is how evenly work lies on targets.
type Balance struct {
	// FlowVariation and WorkVariation are coefficients of variation: of flows
	// by target, and of the work in flight by target, over the whole run.
	FlowVariation float64
	WorkVariation float64
}

// Variation returns the coefficient of variation of counts, and the largest
// over the mean.
func Variation(counts []float64) (variation, maxOverMean float64) {
	sum, most := 0.0, 0.0
	for _, n := range counts {
		sum += n
		most = max(most, n)
	}
	mean := sum / float64(len(counts))
	if mean == 0 {
		return 0, 0
	}
	squares := 0.0
	for _, n := range counts {
		squares += (n - mean) * (n - mean)
	}
	return math.Sqrt(squares/float64(len(counts))) / mean, most / mean
}

const (
	balanceTargets = 14
	balanceSlots   = 3
	balanceFlows   = 1200
	// skewedEvery makes one flow in so many a heavy one.
	skewedEvery = 10
)

// MeasureBalance opens flows one after another, each of which keeps work at its
// target for the rest of the run: one unit, or, if skewed, ten for every tenth.
func MeasureBalance(p Policy, skewed bool, seed uint64) Balance {
	work := func(n int) float64 {
		if skewed && n%skewedEvery == 0 {
			return 10
		}
		return 1
	}
	var place func(n int) int
	if _, ok := p.(System); ok {
		place = newBalanceRun(seed, work).place
	} else {
		r := newRivalRun(p, seed)
		place = r.send
	}
	flows := make([]float64, balanceTargets)
	load := make([]float64, balanceTargets)
	random := rand.New(rand.NewPCG(seed, 3))
	for range balanceFlows {
		// Callers come from anywhere, so their numbers are not in order.
		n := random.IntN(1 << 16)
		at := place(n) - 1
		flows[at]++
		load[at] += work(n)
	}
	flowVariation, _ := Variation(flows)
	workVariation, _ := Variation(load)
	return Balance{FlowVariation: flowVariation, WorkVariation: workVariation}
}

// balanceRun places flows through the system, whose targets report what is in
// flight at them.
type balanceRun struct {
	fleet *driver.Fleet
	work  func(n int) float64
}

func newBalanceRun(seed uint64, work func(int) float64) *balanceRun {
	tree := tree()
	tree.Defaults = append(tree.Defaults[:1:1], "slots: 3", "flowMemory: 10m")
	r := &balanceRun{fleet: driver.New(seed, tree.Document()), work: work}
	r.fleet.Start(tree.HostNames()...)
	r.fleet.Step(10 * time.Second)
	return r
}

func (r *balanceRun) place(n int) int {
	id := driver.RequestID{Caller: caller(n), Service: driver.ServiceAddress(1), Exchange: messenger.Exchange{MessageID: 1, Token: 1, TokenLength: 8}}
	r.fleet.Sent = r.fleet.Sent[:0]
	r.fleet.Call("", id, messenger.Packet{Kind: messenger.KindRequest, Flags: messenger.FlagOpensFlow | messenger.FlagIdempotent | messenger.FlagBlockwise})
	r.fleet.Step(40 * time.Millisecond)
	for _, p := range r.fleet.Sent {
		if p.ID == id {
			r.fleet.Target(p.Target).Standing += int(r.work(n))
			return targetNumber(p.Target)
		}
	}
	return 1
}

func targetNumber(address netip.AddrPort) int {
	ip := address.Addr().As4()
	return int(ip[2])<<8 | int(ip[3])
}

// ForwardShare returns the share of packets that take a hop between hosts: all
// that the fabric does not hand to their owner.
func ForwardShare(r Result) float64 {
	if r.Packets == 0 {
		return 0
	}
	return float64(r.Forwards) / float64(r.Packets)
}
