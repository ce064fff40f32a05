// Package comparer compares the load balancer with simpler placement policies. All policies
// run with the same flows, hosts, targets, failures and seeds; it counts the flows that break
// and measures how evenly flows and load are distributed over the targets.
package comparer

import (
	"time"

	"cranberryspan.dev/core/driver"
)

// Step is one step of a scenario. The set of steps is closed.
type Step interface{ step() }

func (PublishSettings) step() {}
func (KillHost) step()        {}
func (StopHost) step()        {}
func (StartHost) step()       {}
func (PauseHost) step()       {}
func (ResumeHost) step()      {}
func (PartitionHosts) step()  {}
func (HealPartition) step()   {}
func (FailTargets) step()     {}
func (RecoverTargets) step()  {}
func (SendTraffic) step()     {}
func (WaitFor) step()         {}
func (OpenFlows) step()       {}

// PublishSettings publishes a new list of targets. DelayedHosts cannot read it from the
// platform: with Cranberryspan they receive it from other hosts, with a baseline policy they
// adopt it in the next WaitFor.
type PublishSettings struct {
	Targets      []int
	Draining     []int
	DelayedHosts []string
}

// KillHost crashes a host.
type KillHost struct{ Host string }

// StopHost shuts a host down gracefully and waits until it has left.
type StopHost struct{ Host string }

// StartHost starts a host and waits until it is ready.
type StartHost struct{ Host string }

// PauseHost pauses a host until ResumeHost.
type PauseHost struct{ Host string }

// ResumeHost resumes a paused host.
type ResumeHost struct{ Host string }

// PartitionHosts cuts the links between a group of hosts and the others. Callers still reach
// both sides.
type PartitionHosts struct{ Hosts []string }

// HealPartition ends a partition made by PartitionHosts.
type HealPartition struct{ Hosts []string }

// FailTargets makes targets unresponsive.
type FailTargets struct{ Targets []int }

// RecoverTargets makes failed targets respond again.
type RecoverTargets struct{ Targets []int }

// OpenFlows opens the given number of new flows.
type OpenFlows struct{ Flows int }

// SendTraffic sends one packet of every open flow in each round, through random hosts.
type SendTraffic struct{ Rounds int }

// WaitFor lets time pass, so that updates reach all hosts.
type WaitFor struct{ Duration time.Duration }

// Scenario is a sequence of steps in which all policies are compared.
type Scenario struct {
	Name string
	// Planned marks scenarios of planned changes only, in which no flow may break.
	Planned bool
	Steps   []Step
}

// settleTime is long enough to spread updates and exceptions, and for other hosts to take
// over the flows of a crashed one.
const settleTime = 8 * time.Second

func intRange(from, to int) []int {
	var list []int
	for n := from; n <= to; n++ {
		list = append(list, n)
	}
	return list
}

// baseSettings returns the hosts and the initial targets of every scenario.
func baseSettings() driver.SettingsTree {
	return driver.SettingsTree{
		HostsPerZone: []int{3, 3, 2},
		Services:     []driver.SettingsService{{TargetNumbers: intRange(1, 14), AddressNumber: 1}},
		Defaults:     []string{"exchangeLifetime: 2s", "slots: 1000", "flowMemory: 10m"},
	}
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	initialTargets := intRange(1, 14)
	withTraffic := func(steps ...Step) []Step {
		steps = append([]Step{OpenFlows{Flows: 1000}, SendTraffic{Rounds: 2}}, steps...)
		return append(steps, SendTraffic{Rounds: 2}, WaitFor{Duration: settleTime}, SendTraffic{Rounds: 2})
	}
	replaceAllHosts := make([]Step, 0, 16)
	for _, name := range baseSettings().HostNames() {
		replaceAllHosts = append(replaceAllHosts, StopHost{Host: name}, SendTraffic{Rounds: 1}, StartHost{Host: name}, SendTraffic{Rounds: 1})
	}
	return []Scenario{
		{"target added", true, withTraffic(PublishSettings{Targets: intRange(1, 15)})},
		{"four targets added", true, withTraffic(PublishSettings{Targets: intRange(1, 18)})},
		{"two targets drained", true, withTraffic(PublishSettings{Targets: initialTargets, Draining: []int{3, 7}})},
		{"two targets replaced", true, withTraffic(PublishSettings{Targets: intRange(1, 16), Draining: []int{3, 7}})},
		{"targets drained, hosts a revision apart", true, withTraffic(PublishSettings{Targets: initialTargets, Draining: []int{3, 7}, DelayedHosts: []string{"a1", "b1", "c1", "c2"}})},
		{"host leaves", true, withTraffic(StopHost{Host: "a2"})},
		{"host leaves and comes back", true, withTraffic(StopHost{Host: "a2"}, SendTraffic{Rounds: 1}, StartHost{Host: "a2"})},
		{"all hosts replaced", true, withTraffic(replaceAllHosts...)},
		{"targets replaced, then all hosts", true, withTraffic(append([]Step{PublishSettings{Targets: intRange(1, 16), Draining: []int{3, 7}}, SendTraffic{Rounds: 1}}, replaceAllHosts...)...)},
		{"target added while a host leaves", true, withTraffic(PublishSettings{Targets: intRange(1, 15), DelayedHosts: []string{"b2"}}, StopHost{Host: "b1"})},
		{"host dies", false, withTraffic(KillHost{Host: "a1"})},
		{"host dies right after a target is added", false, withTraffic(PublishSettings{Targets: intRange(1, 15)}, SendTraffic{Rounds: 1}, KillHost{Host: "a1"})},
		{"host dies after targets are drained", false, withTraffic(PublishSettings{Targets: initialTargets, Draining: []int{3, 7}}, WaitFor{Duration: settleTime}, KillHost{Host: "a1"})},
		{"three hosts die, targets replaced", false, withTraffic(PublishSettings{Targets: intRange(1, 16), Draining: []int{3, 7}}, WaitFor{Duration: time.Second}, KillHost{Host: "a1"}, KillHost{Host: "b1"}, KillHost{Host: "c1"})},
		{"flows open while targets are ill, then a host dies", false, []Step{
			FailTargets{Targets: []int{1, 2, 3}},
			WaitFor{Duration: settleTime},
			OpenFlows{Flows: 1000},
			SendTraffic{Rounds: 2},
			RecoverTargets{Targets: []int{1, 2, 3}},
			WaitFor{Duration: settleTime},
			SendTraffic{Rounds: 2},
			KillHost{Host: "a1"},
			SendTraffic{Rounds: 1},
			WaitFor{Duration: settleTime},
			SendTraffic{Rounds: 2},
		}},
		{"host paused for 10 s", false, withTraffic(PauseHost{Host: "a1"}, SendTraffic{Rounds: 1}, WaitFor{Duration: 10 * time.Second}, PublishSettings{Targets: intRange(1, 15)}, SendTraffic{Rounds: 1}, ResumeHost{Host: "a1"})},
		{"zone cut off", false, withTraffic(PartitionHosts{Hosts: []string{"a1", "a2", "a3"}}, SendTraffic{Rounds: 1}, WaitFor{Duration: settleTime}, SendTraffic{Rounds: 2}, HealPartition{Hosts: []string{"a1", "a2", "a3"}})},
		{"zone cut off while targets are drained", false, withTraffic(PartitionHosts{Hosts: []string{"a1", "a2", "a3"}}, PublishSettings{Targets: initialTargets, Draining: []int{3, 7}, DelayedHosts: []string{"a1", "a2", "a3"}}, SendTraffic{Rounds: 2}, HealPartition{Hosts: []string{"a1", "a2", "a3"}})},
	}
}
