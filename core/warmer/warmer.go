// Package warmer decides which host may place a new flow on a cold target (slow start).
//
// Targets that have just started sustain a few new flows per second each, and fail under more.
// All hosts of a zone see the same idle targets at once. No host sees the flows that the others
// place, their reports of these are a quarter of a second old, and meanwhile hosts start, stop,
// and are partitioned from each other. Together all hosts must not exceed, in any second, the
// rate that a target sustains.
//
// For each cold target, a few hosts of its zone therefore hold a ticket. Rendezvous hashing
// determines them, so that no host has to be asked. A holder waits for an interval after each
// flow that it places on the target; all other hosts choose other targets. The holders together
// use half of what the target sustains in a second, so that a second set of holders, chosen by
// hosts with a different list of hosts, does no harm.
//
// A host counts every host of its zone that it has learned of within the last minute, alive or
// not: a host that is isolated from the others must not take over their tickets. After its
// start it holds no tickets until it has had time to learn of the others.
//
// The package does no I/O and reads no clock: the current time is passed in.
package warmer

import (
	"cmp"
	"slices"
	"time"

	"cranberryspan.dev/core/timekeeper"
	"github.com/cespare/xxhash/v2"
)

const (
	// maxHolders is the maximum number of hosts that hold a ticket for one target. With one
	// holder, a single failed host leaves the target idle while it is cold; with many, each has
	// to wait so long between two flows that most tickets are unused.
	maxHolders = 4
	// flowsPerHolder is the number of new flows in one second that a target has to sustain for
	// each holder: two for the holder, whose interval between two flows may end within the
	// second, and two for a holder of a second set.
	flowsPerHolder = 4
	// holderSets is the number of sets of holders that together must not exceed the rate that a
	// target sustains.
	holderSets = 2
	// discoveryPeriod is how long after its start a host holds no tickets. By then it has
	// learned of most hosts of a zone with a hundred, and of all hosts of a small zone.
	discoveryPeriod = 3 * time.Second
	// singleFlowRate is the rate, in flows per second, of a holder whose share of the rate
	// limit is one flow per second. It is slightly lower, so that no second contains two flows.
	singleFlowRate = 0.95
)

// RateLimit is the rate of new flows that a cold target sustains, from the settings.
type RateLimit struct {
	// PerSecond is the sustained rate of new flows per second; 0 means no limit.
	PerSecond float64
	// PerSecond times BurstFactor, plus BurstAllowance, is the maximum number of new flows in
	// any one second.
	BurstFactor    float64
	BurstAllowance float64
}

// Limited reports whether there is a rate limit.
func (limit RateLimit) Limited() bool { return limit.PerSecond > 0 }

// maxInOneSecond returns the maximum number of new flows in any one second.
func (limit RateLimit) maxInOneSecond() float64 {
	return limit.PerSecond*max(limit.BurstFactor, 1) + limit.BurstAllowance
}

// Allocation is how the rate limit of a target is divided among hosts.
type Allocation struct {
	// Holders is the number of hosts that hold a ticket, and Interval how long each of them
	// waits between two flows.
	Holders  int
	Interval time.Duration
}

// Allocate divides a rate limit. A holder with an interval of 1/k seconds places at most k + 1
// flows in any second.
func Allocate(limit RateLimit) Allocation {
	burst := limit.maxInOneSecond()
	holders := min(max(int(burst/flowsPerHolder), 1), maxHolders)
	perHolder := burst / holderSets / float64(holders)
	rate := max(perHolder-1, singleFlowRate*min(perHolder, 1))
	rate = min(rate, limit.PerSecond/float64(holders))
	return Allocation{Holders: holders, Interval: time.Duration(float64(time.Second) / rate)}
}

// Warmer manages the tickets of one host. It is not safe for concurrent use.
type Warmer struct {
	self string
	// discoveryDeadline is when this host may hold its first ticket.
	discoveryDeadline timekeeper.Instant
	// hosts are those of the zone including this one, sorted. hostsVersion counts the changes
	// of the list.
	hosts        []string
	hostsVersion uint64
	tickets      map[string]*ticket
}

// ticket is the state that a host keeps for a cold target.
type ticket struct {
	hostsVersion uint64
	held         bool
	// nextFlowAt is when this host may next place a flow on the target.
	nextFlowAt timekeeper.Instant
}

// New returns the Warmer of a host that started at the given time.
func New(self string, start timekeeper.Instant) *Warmer {
	return &Warmer{self: self, discoveryDeadline: start.Add(discoveryPeriod), hosts: []string{self}, tickets: map[string]*ticket{}}
}

// SetHosts replaces the list of other hosts of the zone, alive or not, that may hold tickets.
func (w *Warmer) SetHosts(others []string) {
	hosts := append(slices.Clone(others), w.self)
	slices.Sort(hosts)
	if slices.Equal(hosts, w.hosts) {
		return
	}
	w.hosts = hosts
	w.hostsVersion++
}

// Admits reports whether this host may place a new flow on a cold target of its zone.
func (w *Warmer) Admits(target string, limit RateLimit, now timekeeper.Instant) bool {
	if !limit.Limited() {
		return true
	}
	if !w.discoveryDeadline.Passed(now) {
		return false
	}
	t := w.ticket(target, limit)
	return t.held && t.nextFlowAt.Passed(now)
}

// RecordPlacement records that this host has placed a flow on a cold target.
func (w *Warmer) RecordPlacement(target string, limit RateLimit, now timekeeper.Instant) {
	if limit.Limited() {
		w.ticket(target, limit).nextFlowAt = now.Add(Allocate(limit).Interval)
	}
}

// Forget discards the state of a target.
func (w *Warmer) Forget(target string) { delete(w.tickets, target) }

// ticket returns this host's ticket for a target, held or not. It recomputes whether the ticket
// is held if the hosts of the zone have changed.
func (w *Warmer) ticket(target string, limit RateLimit) *ticket {
	t, ok := w.tickets[target]
	if !ok {
		t = &ticket{}
		w.tickets[target] = t
	}
	if !ok || t.hostsVersion != w.hostsVersion {
		t.held = slices.Contains(holdersOf(target, w.hosts, Allocate(limit).Holders), w.self)
		t.hostsVersion = w.hostsVersion
	}
	return t
}

// holdersOf returns the hosts that hold a ticket for a target. Equal lists of hosts give equal
// holders, and a host that is added or removed changes few of them.
func holdersOf(target string, hosts []string, count int) []string {
	weights := make(map[string]uint64, len(hosts))
	for _, host := range hosts {
		weights[host] = xxhash.Sum64String(target + "\x00" + host)
	}
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(x, y string) int { return cmp.Compare(weights[y], weights[x]) })
	return ranked[:min(count, len(ranked))]
}
