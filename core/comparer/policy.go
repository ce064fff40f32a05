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

// Policy is a way to place flows. The set is closed.
type Policy interface{ policy() }

func (HashModulo) policy()     {}
func (ConsistentHash) policy() {}
func (LocalTable) policy()     {}
func (System) policy()         {}

// HashModulo takes the flow's hash modulo the number of targets.
type HashModulo struct{}

// ConsistentHash takes the best target by rendezvous hashing, for each packet.
type ConsistentHash struct{}

// LocalTable takes the same for a flow's first packet at a host, and remembers
// it at that host, as published load balancers with per-host tables do.
type LocalTable struct{}

// System is this project: reducers that act together.
type System struct{}

// Name names a policy.
func Name(p Policy) string {
	switch p.(type) {
	case HashModulo:
		return "hash modulo"
	case ConsistentHash:
		return "consistent hash"
	case LocalTable:
		return "consistent hash, local table"
	case System:
		return "cranberryspan"
	}
	return "unknown"
}

// Policies lists the rivals and the system, the system last.
func Policies() []Policy {
	return []Policy{HashModulo{}, ConsistentHash{}, LocalTable{}, System{}}
}

// Result is what became of the flows of a scenario.
type Result struct {
	Flows  int
	Broken int
	// PerTarget counts the flows by target.
	PerTarget map[netip.AddrPort]int
	// Forwards and Packets tell how many packets took a hop between hosts.
	Forwards int
	Packets  int
	// ControlBytes is the control traffic of the busiest host, a second.
	ControlBytes float64
}

// BrokenPer10000 returns the broken flows in 10,000.
func (r Result) BrokenPer10000() float64 {
	if r.Flows == 0 {
		return 0
	}
	return 10_000 * float64(r.Broken) / float64(r.Flows)
}

// Run takes a policy through a scenario.
func Run(p Policy, s Scenario, seed uint64) Result {
	if _, ok := p.(System); ok {
		return newSystemRun(seed).run(s)
	}
	return newRivalRun(p, seed).run(s)
}

func caller(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 168, byte(n >> 8), byte(n)}), 40000)
}

// rivalRun is a run of a policy whose hosts do not talk to each other.
type rivalRun struct {
	policy Policy
	random *rand.Rand
	hosts  map[string]*rivalHost
	names  []string
	ill    []int
	homes  map[int]int
	broken map[int]bool
	result Result
}

type rivalHost struct {
	running bool
	active  []int
	present []int
	behind  *Publish
	table   map[int]int
}

func newRivalRun(p Policy, seed uint64) *rivalRun {
	r := &rivalRun{policy: p, random: rand.New(rand.NewPCG(seed, 2)), hosts: map[string]*rivalHost{}, homes: map[int]int{}, broken: map[int]bool{}}
	r.names = tree().HostNames()
	for _, name := range r.names {
		r.hosts[name] = &rivalHost{running: true, active: numbers(1, 14), present: numbers(1, 14), table: map[int]int{}}
	}
	return r
}

func (r *rivalRun) run(s Scenario) Result {
	for _, step := range s.Steps {
		r.do(step)
	}
	r.result.Flows = len(r.homes)
	r.result.Broken = len(r.broken)
	r.result.PerTarget = map[netip.AddrPort]int{}
	for _, home := range r.homes {
		r.result.PerTarget[driver.TargetAddress(home)]++
	}
	return r.result
}

func (r *rivalRun) do(step Step) {
	switch step := step.(type) {
	case Publish:
		for name, h := range r.hosts {
			if slices.Contains(step.Behind, name) {
				h.behind = &step
				continue
			}
			h.adopt(step)
		}
	case Kill:
		r.hosts[step.Host].running = false
	case Leave:
		r.hosts[step.Host].running = false
	case Start:
		old := r.hosts[step.Host]
		r.hosts[step.Host] = &rivalHost{running: true, active: old.active, present: old.present, table: map[int]int{}}
	case Ill:
		r.ill = step.Targets
	case Well:
		r.ill = nil
	case Wait:
		for _, h := range r.hosts {
			if h.behind != nil {
				h.adopt(*h.behind)
			}
		}
	case Open:
		for range step.Flows {
			n := len(r.homes)
			r.homes[n] = r.send(n)
		}
	case Traffic:
		for range step.Rounds {
			for n := range len(r.homes) {
				if r.send(n) != r.homes[n] {
					r.broken[n] = true
				}
			}
		}
	case Pause, Wake, Cut, Heal:
		// Hosts that do not talk to each other are no worse for a cut, and a
		// pause only delays their packets.
	}
}

func (h *rivalHost) adopt(p Publish) {
	h.behind = nil
	h.present = p.Targets
	h.active = slices.DeleteFunc(slices.Clone(p.Targets), func(n int) bool { return slices.Contains(p.Draining, n) })
}

func (r *rivalRun) send(n int) int {
	var open []string
	for _, name := range r.names {
		if r.hosts[name].running {
			open = append(open, name)
		}
	}
	h := r.hosts[open[r.random.IntN(len(open))]]
	r.result.Packets++
	healthy := slices.DeleteFunc(slices.Clone(h.active), func(t int) bool { return slices.Contains(r.ill, t) })
	key, _ := resolver.NewFlowKey(caller(n), 1)
	hash := placer.Hash(key)
	switch r.policy.(type) {
	case HashModulo:
		return healthy[hash%uint64(len(healthy))]
	case LocalTable:
		if known, ok := h.table[n]; ok && slices.Contains(h.present, known) {
			return known
		}
	}
	target := rendezvous(hash, healthy)
	h.table[n] = target
	return target
}

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

// systemRun is a run of the system itself.
type systemRun struct {
	fleet   *driver.Fleet
	tree    driver.Tree
	flows   int
	number  int
	homes   map[netip.AddrPort]netip.AddrPort
	broken  map[netip.AddrPort]bool
	packets int
	began   time.Duration
}

func newSystemRun(seed uint64) *systemRun {
	r := &systemRun{tree: tree(), homes: map[netip.AddrPort]netip.AddrPort{}, broken: map[netip.AddrPort]bool{}}
	r.fleet = driver.New(seed, r.tree.Document())
	r.fleet.Start(r.tree.HostNames()...)
	r.fleet.Step(10 * time.Second)
	r.fleet.Measure = true
	r.fleet.Forwards = 0
	r.began = time.Duration(r.fleet.Now)
	return r
}

func (r *systemRun) run(s Scenario) Result {
	for _, step := range s.Steps {
		r.do(step)
		r.judge()
	}
	result := Result{Flows: r.flows, Broken: len(r.broken), PerTarget: map[netip.AddrPort]int{}, Forwards: r.fleet.Forwards, Packets: r.packets}
	for _, home := range r.homes {
		result.PerTarget[home]++
	}
	busiest := 0
	for _, bytes := range r.fleet.Bytes {
		busiest = max(busiest, bytes)
	}
	result.ControlBytes = float64(busiest) / (time.Duration(r.fleet.Now) - r.began).Seconds()
	return result
}

func (r *systemRun) do(step Step) {
	f := r.fleet
	switch step := step.(type) {
	case Publish:
		next := r.tree
		next.Services = []driver.TreeService{{Targets: step.Targets, Draining: step.Draining, Address: 1}}
		for _, name := range step.Behind {
			f.CutPlatform(name, true)
		}
		f.Publish(next.Document())
		f.Step(20 * time.Millisecond)
	case Kill:
		f.Kill(step.Host)
	case Leave:
		f.Shutdown(step.Host)
		f.StepUntil(20*time.Second, func() bool { return f.Ended(step.Host) })
	case Start:
		f.Start(step.Host)
		f.StepUntil(20*time.Second, func() bool { return f.Reducer(step.Host).Ready() })
	case Pause:
		f.Pause(step.Host)
	case Wake:
		f.Wake(step.Host)
	case Cut:
		f.Split(step.Hosts...)
	case Heal:
		f.Join(step.Hosts...)
	case Ill:
		r.setDown(step.Targets, true)
	case Well:
		r.setDown(step.Targets, false)
	case Wait:
		f.Step(step.Span)
	case Open:
		r.number++
		for range step.Flows {
			r.send(r.flows, messenger.FlagOpensFlow|messenger.FlagIdempotent|messenger.FlagBlockwise)
			r.flows++
			if r.flows%10 == 0 {
				f.Step(20 * time.Millisecond)
			}
		}
		f.Step(100 * time.Millisecond)
	case Traffic:
		for range step.Rounds {
			r.number++
			for n := range r.flows {
				r.send(n, messenger.FlagIdempotent|messenger.FlagBlockwise)
			}
			f.Step(100 * time.Millisecond)
		}
	}
}

func (r *systemRun) setDown(targets []int, down bool) {
	for _, n := range targets {
		r.fleet.Target(driver.TargetAddress(n)).Down = down
	}
}

func (r *systemRun) send(n int, flags messenger.Flags) {
	id := driver.RequestID{
		Caller:   caller(n),
		Service:  driver.ServiceAddress(1),
		Exchange: messenger.Exchange{MessageID: uint16(r.number), Token: uint64(r.number), TokenLength: 8},
	}
	r.packets++
	r.fleet.Call("", id, messenger.Packet{Kind: messenger.KindRequest, Flags: flags})
}

// judge looks at what reached targets since the last step.
func (r *systemRun) judge() {
	for _, p := range r.fleet.Sent {
		home, ok := r.homes[p.ID.Caller]
		switch {
		case !ok:
			r.homes[p.ID.Caller] = p.Target
		case home != p.Target:
			r.broken[p.ID.Caller] = true
		}
	}
	r.fleet.Sent = r.fleet.Sent[:0]
}
