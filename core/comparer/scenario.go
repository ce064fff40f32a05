// Package comparer holds the system against simpler ways to place flows: the
// same flows, hosts, targets and failures, with fixed seeds, and counts how many
// flows break and how evenly the targets are used.
package comparer

import (
	"time"

	"cranberryspan.dev/core/driver"
)

// Step is one step of a scenario. The set is closed.
type Step interface{ step() }

func (Publish) step() {}
func (Kill) step()    {}
func (Leave) step()   {}
func (Start) step()   {}
func (Pause) step()   {}
func (Wake) step()    {}
func (Cut) step()     {}
func (Heal) step()    {}
func (Ill) step()     {}
func (Well) step()    {}
func (Traffic) step() {}
func (Wait) step()    {}
func (Open) step()    {}

// Publish publishes targets. Hosts in Behind learn of it with the next Wait.
type Publish struct {
	Targets  []int
	Draining []int
	Behind   []string
}

// Kill ends a host without warning.
type Kill struct{ Host string }

// Leave stops a host by plan and waits until it has left.
type Leave struct{ Host string }

// Start starts a host and waits until it is ready.
type Start struct{ Host string }

// Pause freezes a host, Wake lets it go on.
type Pause struct{ Host string }

// Wake lets a paused host go on.
type Wake struct{ Host string }

// Cut separates hosts from the others; callers reach both sides.
type Cut struct{ Hosts []string }

// Heal ends a Cut.
type Heal struct{ Hosts []string }

// Ill makes targets silent.
type Ill struct{ Targets []int }

// Well makes them answer again.
type Well struct{ Targets []int }

// Open opens that many new flows.
type Open struct{ Flows int }

// Traffic sends so many packets of every open flow, each through a random host.
type Traffic struct{ Rounds int }

// Wait lets news spread.
type Wait struct{ Span time.Duration }

// Scenario is a story that every policy goes through.
type Scenario struct {
	Name string
	// Planned says that nothing may break.
	Planned bool
	Steps   []Step
}

// settle is long enough for news, exceptions and take-overs.
const settle = 8 * time.Second

func numbers(from, to int) []int {
	var list []int
	for n := from; n <= to; n++ {
		list = append(list, n)
	}
	return list
}

// tree is the hosts and the first targets of every scenario.
func tree() driver.Tree {
	return driver.Tree{
		Zones:    []int{3, 3, 2},
		Services: []driver.TreeService{{Targets: numbers(1, 14), Address: 1}},
		Defaults: []string{"exchangeLifetime: 2s", "slots: 1000", "flowMemory: 10m"},
	}
}

// Scenarios lists all stories.
func Scenarios() []Scenario {
	all := numbers(1, 14)
	open := func(steps ...Step) []Step {
		steps = append([]Step{Open{Flows: 1000}, Traffic{Rounds: 2}}, steps...)
		return append(steps, Traffic{Rounds: 2}, Wait{Span: settle}, Traffic{Rounds: 2})
	}
	replaceAll := make([]Step, 0, 16)
	for _, name := range tree().HostNames() {
		replaceAll = append(replaceAll, Leave{Host: name}, Traffic{Rounds: 1}, Start{Host: name}, Traffic{Rounds: 1})
	}
	return []Scenario{
		{"target added", true, open(Publish{Targets: numbers(1, 15)})},
		{"four targets added", true, open(Publish{Targets: numbers(1, 18)})},
		{"two targets drained", true, open(Publish{Targets: all, Draining: []int{3, 7}})},
		{"two targets replaced", true, open(Publish{Targets: numbers(1, 16), Draining: []int{3, 7}})},
		{"targets drained, hosts a revision apart", true, open(Publish{Targets: all, Draining: []int{3, 7}, Behind: []string{"a1", "b1", "c1", "c2"}})},
		{"host leaves", true, open(Leave{Host: "a2"})},
		{"host leaves and comes back", true, open(Leave{Host: "a2"}, Traffic{Rounds: 1}, Start{Host: "a2"})},
		{"all hosts replaced", true, open(replaceAll...)},
		{"targets replaced, then all hosts", true, open(append([]Step{Publish{Targets: numbers(1, 16), Draining: []int{3, 7}}, Traffic{Rounds: 1}}, replaceAll...)...)},
		{"target added while a host leaves", true, open(Publish{Targets: numbers(1, 15), Behind: []string{"b2"}}, Leave{Host: "b1"})},
		{"host dies", false, open(Kill{Host: "a1"})},
		{"host dies right after a target is added", false, open(Publish{Targets: numbers(1, 15)}, Traffic{Rounds: 1}, Kill{Host: "a1"})},
		{"host dies after targets are drained", false, open(Publish{Targets: all, Draining: []int{3, 7}}, Wait{Span: settle}, Kill{Host: "a1"})},
		{"three hosts die, targets replaced", false, open(Publish{Targets: numbers(1, 16), Draining: []int{3, 7}}, Wait{Span: time.Second}, Kill{Host: "a1"}, Kill{Host: "b1"}, Kill{Host: "c1"})},
		{"flows open while targets are ill, then a host dies", false, []Step{
			Ill{Targets: []int{1, 2, 3}},
			Wait{Span: settle},
			Open{Flows: 1000},
			Traffic{Rounds: 2},
			Well{Targets: []int{1, 2, 3}},
			Wait{Span: settle},
			Traffic{Rounds: 2},
			Kill{Host: "a1"},
			Traffic{Rounds: 1},
			Wait{Span: settle},
			Traffic{Rounds: 2},
		}},
		{"host paused for 10 s", false, open(Pause{Host: "a1"}, Traffic{Rounds: 1}, Wait{Span: 10 * time.Second}, Publish{Targets: numbers(1, 15)}, Traffic{Rounds: 1}, Wake{Host: "a1"})},
		{"zone cut off", false, open(Cut{Hosts: []string{"a1", "a2", "a3"}}, Traffic{Rounds: 1}, Wait{Span: settle}, Traffic{Rounds: 2}, Heal{Hosts: []string{"a1", "a2", "a3"}})},
		{"zone cut off while targets are drained", false, open(Cut{Hosts: []string{"a1", "a2", "a3"}}, Publish{Targets: all, Draining: []int{3, 7}, Behind: []string{"a1", "a2", "a3"}}, Traffic{Rounds: 2}, Heal{Hosts: []string{"a1", "a2", "a3"}})},
	}
}
