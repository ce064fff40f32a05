package comparer

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"cranberryspan.dev/core/driver"
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/placer"
	"cranberryspan.dev/core/resolver"
)

// PlacementPolicy is a policy that places flows on targets. The set of policies is closed.
type PlacementPolicy interface{ policy() }

func (HashModulo) policy()       {}
func (ConsistentHash) policy()   {}
func (PerHostFlowTable) policy() {}
func (Cranberryspan) policy()    {}

// HashModulo indexes the healthy targets by the flow's hash modulo their number.
type HashModulo struct{}

// ConsistentHash selects a target by rendezvous hashing for every packet.
type ConsistentHash struct{}

// PerHostFlowTable selects a target by rendezvous hashing for the first packet of a flow at a
// host and stores it in a table of that host, as published load balancers with per-host flow
// tables do.
type PerHostFlowTable struct{}

// Cranberryspan is this project's load balancer: reducers that share state.
type Cranberryspan struct{}

// PolicyName returns the display name of a policy.
func PolicyName(p PlacementPolicy) string {
	switch p.(type) {
	case HashModulo:
		return "hash modulo"
	case ConsistentHash:
		return "consistent hash"
	case PerHostFlowTable:
		return "consistent hash, local table"
	case Cranberryspan:
		return "cranberryspan"
	}
	return "unknown"
}

// Policies returns the baseline policies, followed by Cranberryspan.
func Policies() []PlacementPolicy {
	return []PlacementPolicy{HashModulo{}, ConsistentHash{}, PerHostFlowTable{}, Cranberryspan{}}
}

// ScenarioResult is the outcome of a policy in a scenario.
type ScenarioResult struct {
	Flows       int
	BrokenFlows int
	// FlowsPerTarget is the number of flows placed on each target.
	FlowsPerTarget map[netip.AddrPort]int
	// ForwardedPackets is the number of packets from callers and targets that were forwarded
	// between hosts, Packets the number of all packets from callers.
	ForwardedPackets int
	Packets          int
	// ControlBytesPerSecond is the control traffic sent by the busiest host.
	ControlBytesPerSecond float64
}

// BrokenFlowsPer10000 returns the number of broken flows per 10,000 flows.
func (r ScenarioResult) BrokenFlowsPer10000() float64 {
	if r.Flows == 0 {
		return 0
	}
	return 10_000 * float64(r.BrokenFlows) / float64(r.Flows)
}

// RunScenario runs a scenario with a policy.
func RunScenario(p PlacementPolicy, s Scenario, seed uint64) ScenarioResult {
	if _, ok := p.(Cranberryspan); ok {
		return newSystemRun(seed).run(s)
	}
	return newBaselineRun(p, seed).run(s)
}

func callerAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 168, byte(n >> 8), byte(n)}), 40000)
}

// baselineRun is a run of a baseline policy, whose hosts do not communicate.
type baselineRun struct {
	policy           PlacementPolicy
	random           *rand.Rand
	hosts            map[string]*baselineHost
	hostNames        []string
	unhealthyTargets []int
	firstTargets     map[int]int
	brokenFlows      map[int]bool
	result           ScenarioResult
}

type baselineHost struct {
	running         bool
	activeTargets   []int
	listedTargets   []int
	pendingSettings *PublishSettings
	flowTable       map[int]int
}

func newBaselineRun(p PlacementPolicy, seed uint64) *baselineRun {
	r := &baselineRun{policy: p, random: rand.New(rand.NewPCG(seed, 2)), hosts: map[string]*baselineHost{}, firstTargets: map[int]int{}, brokenFlows: map[int]bool{}}
	r.hostNames = baseSettings().HostNames()
	for _, name := range r.hostNames {
		r.hosts[name] = &baselineHost{running: true, activeTargets: intRange(1, 14), listedTargets: intRange(1, 14), flowTable: map[int]int{}}
	}
	return r
}

func (r *baselineRun) run(s Scenario) ScenarioResult {
	for _, step := range s.Steps {
		r.apply(step)
	}
	r.result.Flows = len(r.firstTargets)
	r.result.BrokenFlows = len(r.brokenFlows)
	r.result.FlowsPerTarget = map[netip.AddrPort]int{}
	for _, target := range r.firstTargets {
		r.result.FlowsPerTarget[driver.TargetAddress(target)]++
	}
	return r.result
}

func (r *baselineRun) apply(step Step) {
	switch step := step.(type) {
	case PublishSettings:
		for name, h := range r.hosts {
			if slices.Contains(step.DelayedHosts, name) {
				h.pendingSettings = &step
				continue
			}
			h.adoptSettings(step)
		}
	case KillHost:
		r.hosts[step.Host].running = false
	case StopHost:
		r.hosts[step.Host].running = false
	case StartHost:
		old := r.hosts[step.Host]
		r.hosts[step.Host] = &baselineHost{running: true, activeTargets: old.activeTargets, listedTargets: old.listedTargets, flowTable: map[int]int{}}
	case FailTargets:
		r.unhealthyTargets = step.Targets
	case RecoverTargets:
		r.unhealthyTargets = nil
	case WaitFor:
		for _, h := range r.hosts {
			if h.pendingSettings != nil {
				h.adoptSettings(*h.pendingSettings)
			}
		}
	case OpenFlows:
		for range step.Flows {
			n := len(r.firstTargets)
			r.firstTargets[n] = r.sendPacket(n)
		}
	case SendTraffic:
		for range step.Rounds {
			for n := range len(r.firstTargets) {
				if r.sendPacket(n) != r.firstTargets[n] {
					r.brokenFlows[n] = true
				}
			}
		}
	case PauseHost, ResumeHost, PartitionHosts, HealPartition:
		// Baseline hosts do not communicate, so that a partition does not affect them. A
		// pause only delays their packets and does not change the targets.
	}
}

func (h *baselineHost) adoptSettings(p PublishSettings) {
	h.pendingSettings = nil
	h.listedTargets = p.Targets
	h.activeTargets = slices.DeleteFunc(slices.Clone(p.Targets), func(n int) bool { return slices.Contains(p.Draining, n) })
}

// sendPacket sends a packet of a flow through a random running host and returns the number of the
// target that receives it.
func (r *baselineRun) sendPacket(flow int) int {
	var running []string
	for _, name := range r.hostNames {
		if r.hosts[name].running {
			running = append(running, name)
		}
	}
	h := r.hosts[running[r.random.IntN(len(running))]]
	r.result.Packets++
	healthy := slices.DeleteFunc(slices.Clone(h.activeTargets), func(t int) bool { return slices.Contains(r.unhealthyTargets, t) })
	key, _ := resolver.NewFlowKey(callerAddress(flow), 1)
	hash := placer.Hash(key)
	switch r.policy.(type) {
	case HashModulo:
		return healthy[hash%uint64(len(healthy))]
	case PerHostFlowTable:
		if storedTarget, ok := h.flowTable[flow]; ok && slices.Contains(h.listedTargets, storedTarget) {
			return storedTarget
		}
	}
	target := rendezvous(hash, healthy)
	h.flowTable[flow] = target
	return target
}

// rendezvous returns the target with the highest score, which is a hash of the flow's hash and the
// target's number.
func rendezvous(hash uint64, targets []int) int {
	best, bestScore := targets[0], uint64(0)
	for _, t := range targets {
		key, _ := resolver.NewFlowKey(netip.AddrPortFrom(netip.AddrFrom4([4]byte{0, 0, byte(t >> 8), byte(t)}), 1), 0)
		if score := placer.Hash(key ^ resolver.FlowKey(hash)); score > bestScore {
			best, bestScore = t, score
		}
	}
	return best
}

// systemRun is a run of the simulated load balancer.
type systemRun struct {
	simulation     *driver.Simulation
	tree           driver.SettingsTree
	flowCount      int
	exchangeNumber int
	firstTargets   map[netip.AddrPort]netip.AddrPort
	brokenFlows    map[netip.AddrPort]bool
	packetCount    int
	startedAt      time.Duration
}

func newSystemRun(seed uint64) *systemRun {
	r := &systemRun{tree: baseSettings(), firstTargets: map[netip.AddrPort]netip.AddrPort{}, brokenFlows: map[netip.AddrPort]bool{}}
	r.simulation = driver.New(seed, r.tree.Document())
	r.simulation.Start(r.tree.HostNames()...)
	r.simulation.Step(10 * time.Second)
	r.simulation.MeasureControlBytes = true
	r.simulation.ForwardedPackets = 0
	r.startedAt = time.Duration(r.simulation.Now)
	return r
}

func (r *systemRun) run(s Scenario) ScenarioResult {
	for _, step := range s.Steps {
		r.apply(step)
		r.recordBrokenFlows()
	}
	result := ScenarioResult{Flows: r.flowCount, BrokenFlows: len(r.brokenFlows), FlowsPerTarget: map[netip.AddrPort]int{}, ForwardedPackets: r.simulation.ForwardedPackets, Packets: r.packetCount}
	for _, target := range r.firstTargets {
		result.FlowsPerTarget[target]++
	}
	busiest := 0
	for _, bytes := range r.simulation.ControlBytes {
		busiest = max(busiest, bytes)
	}
	result.ControlBytesPerSecond = float64(busiest) / (time.Duration(r.simulation.Now) - r.startedAt).Seconds()
	return result
}

func (r *systemRun) apply(step Step) {
	simulation := r.simulation
	switch step := step.(type) {
	case PublishSettings:
		next := r.tree
		next.Services = []driver.SettingsService{{TargetNumbers: step.Targets, DrainingTargetNumbers: step.Draining, AddressNumber: 1}}
		for _, name := range step.DelayedHosts {
			simulation.SetPlatformCut(name, true)
		}
		simulation.Publish(next.Document())
		simulation.Step(20 * time.Millisecond)
	case KillHost:
		simulation.Kill(step.Host)
	case StopHost:
		simulation.Shutdown(step.Host)
		simulation.StepUntil(20*time.Second, func() bool { return simulation.HasLeft(step.Host) })
	case StartHost:
		simulation.Start(step.Host)
		simulation.StepUntil(20*time.Second, func() bool { return simulation.Reducer(step.Host).Ready() })
	case PauseHost:
		simulation.Pause(step.Host)
	case ResumeHost:
		simulation.Resume(step.Host)
	case PartitionHosts:
		simulation.Partition(step.Hosts...)
	case HealPartition:
		simulation.HealPartition(step.Hosts...)
	case FailTargets:
		r.setTargetsDown(step.Targets, true)
	case RecoverTargets:
		r.setTargetsDown(step.Targets, false)
	case WaitFor:
		simulation.Step(step.Duration)
	case OpenFlows:
		r.exchangeNumber++
		for range step.Flows {
			r.sendPacket(r.flowCount, messenger.FlagOpensFlow|messenger.FlagIdempotent|messenger.FlagBlockwise)
			r.flowCount++
			if r.flowCount%10 == 0 {
				simulation.Step(20 * time.Millisecond)
			}
		}
		simulation.Step(100 * time.Millisecond)
	case SendTraffic:
		for range step.Rounds {
			r.exchangeNumber++
			for n := range r.flowCount {
				r.sendPacket(n, messenger.FlagIdempotent|messenger.FlagBlockwise)
			}
			simulation.Step(100 * time.Millisecond)
		}
	}
}

func (r *systemRun) setTargetsDown(targets []int, down bool) {
	for _, n := range targets {
		r.simulation.Target(driver.TargetAddress(n)).Down = down
	}
}

func (r *systemRun) sendPacket(flow int, flags messenger.Flags) {
	id := driver.RequestID{
		Caller:   callerAddress(flow),
		Service:  driver.ServiceAddress(1),
		Exchange: messenger.Exchange{MessageID: uint16(r.exchangeNumber), Token: uint64(r.exchangeNumber), TokenLength: 8},
	}
	r.packetCount++
	r.simulation.SendPacket("", id, messenger.Packet{Kind: messenger.KindRequest, Flags: flags})
}

// recordBrokenFlows checks the packets that have reached targets since its last call. A flow
// is broken if a packet reaches another target than the flow's first packet.
func (r *systemRun) recordBrokenFlows() {
	for _, p := range r.simulation.TargetPackets {
		first, ok := r.firstTargets[p.ID.Caller]
		switch {
		case !ok:
			r.firstTargets[p.ID.Caller] = p.Target
		case first != p.Target:
			r.brokenFlows[p.ID.Caller] = true
		}
	}
	r.simulation.TargetPackets = r.simulation.TargetPackets[:0]
}
