package comparer

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"cranberryspan.dev/core/driver"
	"cranberryspan.dev/core/messenger"
)

// Balance is how evenly flows and load are distributed over targets.
type Balance struct {
	// FlowVariation and LoadVariation are the coefficients of variation of the flows and of
	// the load per target at the end of the run.
	FlowVariation float64
	LoadVariation float64
}

// CoefficientOfVariation returns the coefficient of variation of counts and the ratio of the
// largest count to the mean.
func CoefficientOfVariation(counts []float64) (variation, maxOverMean float64) {
	sum, largest := 0.0, 0.0
	for _, n := range counts {
		sum += n
		largest = max(largest, n)
	}
	mean := sum / float64(len(counts))
	if mean == 0 {
		return 0, 0
	}
	squares := 0.0
	for _, n := range counts {
		squares += (n - mean) * (n - mean)
	}
	return math.Sqrt(squares/float64(len(counts))) / mean, largest / mean
}

const (
	balanceTargetCount = 14
	balanceTargetSlots = 3
	balanceFlowCount   = 1200
	// heavyFlowInterval makes every tenth flow number a heavy flow in a skewed load.
	heavyFlowInterval = 10
)

// MeasureBalance opens flows one after another. Each adds load to its target for the rest of
// the run: one unit, or ten units for about one flow in ten if the load is skewed.
func MeasureBalance(p PlacementPolicy, skewed bool, seed uint64) Balance {
	loadOf := func(n int) float64 {
		if skewed && n%heavyFlowInterval == 0 {
			return 10
		}
		return 1
	}
	var placeFlow func(n int) int
	if _, ok := p.(Cranberryspan); ok {
		placeFlow = newBalanceRun(seed, loadOf).placeFlow
	} else {
		r := newBaselineRun(p, seed)
		placeFlow = r.sendPacket
	}
	flows := make([]float64, balanceTargetCount)
	load := make([]float64, balanceTargetCount)
	random := rand.New(rand.NewPCG(seed, 3))
	for range balanceFlowCount {
		// Random numbers give random caller addresses.
		n := random.IntN(1 << 16)
		target := placeFlow(n) - 1
		flows[target]++
		load[target] += loadOf(n)
	}
	flowVariation, _ := CoefficientOfVariation(flows)
	loadVariation, _ := CoefficientOfVariation(load)
	return Balance{FlowVariation: flowVariation, LoadVariation: loadVariation}
}

// balanceRun places flows with the simulated load balancer, whose targets report the load
// that the flows have added.
type balanceRun struct {
	simulation *driver.Simulation
	loadOf     func(n int) float64
}

func newBalanceRun(seed uint64, loadOf func(int) float64) *balanceRun {
	tree := baseSettings()
	// Keep exchangeLifetime, the first default, and replace the others.
	tree.Defaults = append(tree.Defaults[:1:1], "slots: 3", "flowMemory: 10m")
	r := &balanceRun{simulation: driver.New(seed, tree.Document()), loadOf: loadOf}
	r.simulation.Start(tree.HostNames()...)
	r.simulation.Step(10 * time.Second)
	return r
}

// placeFlow opens a flow and returns the number of the target that received its first packet. If
// no target received it, the flow is counted for target 1.
func (r *balanceRun) placeFlow(n int) int {
	id := driver.RequestID{Caller: callerAddress(n), Service: driver.ServiceAddress(1), Exchange: messenger.Exchange{MessageID: 1, Token: 1, TokenLength: 8}}
	r.simulation.TargetPackets = r.simulation.TargetPackets[:0]
	r.simulation.SendPacket("", id, messenger.Packet{Kind: messenger.KindRequest, Flags: messenger.FlagOpensFlow | messenger.FlagIdempotent | messenger.FlagBlockwise})
	r.simulation.Step(40 * time.Millisecond)
	for _, p := range r.simulation.TargetPackets {
		if p.ID == id {
			r.simulation.Target(p.Target).ExtraLoad += int(r.loadOf(n))
			return targetNumber(p.Target)
		}
	}
	return 1
}

func targetNumber(address netip.AddrPort) int {
	ip := address.Addr().As4()
	return int(ip[2])<<8 | int(ip[3])
}

// ForwardsPerCallerPacket returns how often hosts forward a packet to each other, in relation to the number
// of packets from callers. A packet is forwarded whenever the fabric delivers it to a host that
// does not own the flow. The ratio may exceed one, since packets from targets are forwarded too.
func ForwardsPerCallerPacket(r ScenarioResult) float64 {
	if r.Packets == 0 {
		return 0
	}
	return float64(r.ForwardedPackets) / float64(r.Packets)
}
