// Package warmer decides which host may place a new flow on a target that is cold.
//
// The pattern: targets that have just started bear a few flows a second each, and fall
// over beyond that. A zone's hosts all see the same idle targets in the same moment. No
// host sees what the others send, what they report of it is a quarter of a second old,
// and hosts come, go, and are cut off from each other meanwhile. All hosts together may
// not exceed what a target bears in any second.
//
// The answer: for each cold target a few hosts of its zone hold a ticket, found by
// rendezvous hashing, so nobody has to be asked. A holder leaves a pause after each flow
// that it places there; all others look elsewhere. Together the holders use half of
// what the target bears in a second, so that a second set of holders, seen by hosts that
// know a different list of hosts, does no harm.
//
// A host counts whoever it has heard of in its zone within the last minute, dead or
// not: a host that is cut off from the others must not take their tickets. And it holds
// none until it has had the time to hear of the others.
//
// The package knows no network and no clock.
package warmer

import (
	"cmp"
	"slices"
	"time"

	"cranberryspan.dev/core/timekeeper"
	"github.com/cespare/xxhash/v2"
)

const (
	// maxHolders is how many hosts hold a ticket for one target at most. With one, a
	// single dead host leaves the target idle while it is cold; with many, each has to
	// wait so long between two flows that most tickets are of no use.
	maxHolders = 4
	// flowsPerHolder is how many flows a second a target has to bear for each holder: one
	// at each moment, one more for the pause that ends in the same second, and both for
	// a second set of holders.
	flowsPerHolder = 4
	// holderSets is how many sets of holders together may not exceed what a target bears.
	holderSets = 2
	// discoveryPeriod is how long after its start a host holds no tickets. By then it has
	// heard of most hosts of a zone of a hundred, of all in a small one.
	discoveryPeriod = 3 * time.Second
	// singleFlowRate is how often a holder places a flow if one a second is all that its
	// part allows: a little less, so that two never fall into one second.
	singleFlowRate = 0.95
)

// RateLimit is what a cold target bears, from the settings.
type RateLimit struct {
	// PerSecond is how many new flows a second it bears for long; 0 is any number.
	PerSecond float64
	// BurstFactor times that, and Allowance more, is the most in any one second.
	BurstFactor    float64
	BurstAllowance float64
}

// Limited reports whether there is a bound at all.
func (b RateLimit) Limited() bool { return b.PerSecond > 0 }

// maxInOneSecond is how many new flows may come in any one second.
func (b RateLimit) maxInOneSecond() float64 {
	return b.PerSecond*max(b.BurstFactor, 1) + b.BurstAllowance
}

// Allocation is how a target's bound is divided.
type Allocation struct {
	// Holders is how many hosts hold a ticket, Pause how long each waits between two
	// flows.
	Holders  int
	Interval time.Duration
}

// Allocate divides a bound. A holder that leaves a pause of a k-th of a second places
// k + 1 flows at the most in any second.
func Allocate(limit RateLimit) Allocation {
	burst := limit.maxInOneSecond()
	holders := min(max(int(burst/flowsPerHolder), 1), maxHolders)
	perHolder := burst / holderSets / float64(holders)
	rate := max(perHolder-1, singleFlowRate*min(perHolder, 1))
	rate = min(rate, limit.PerSecond/float64(holders))
	return Allocation{Holders: holders, Interval: time.Duration(float64(time.Second) / rate)}
}

// Warmer is one host's tickets. It belongs to one owner.
type Warmer struct {
	self string
	// discoveredAt is when this host may hold its first ticket.
	discoveredAt timekeeper.Instant
	// hosts are those of the zone, this one among them, sorted. epoch counts its changes.
	hosts        []string
	hostsVersion uint64
	tickets      map[string]*ticket
}

// ticket is what a host keeps of a cold target.
type ticket struct {
	hostsVersion uint64
	held         bool
	// nextFlowAt is when this host may place its next flow there.
	nextFlowAt timekeeper.Instant
}

// New makes the Warmer of a host that started at a moment.
func New(self string, start timekeeper.Instant) *Warmer {
	return &Warmer{self: self, discoveredAt: start.Add(discoveryPeriod), hosts: []string{self}, tickets: map[string]*ticket{}}
}

// SetHosts replaces the other hosts of the zone that may live.
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
	if !w.discoveredAt.Passed(now) {
		return false
	}
	t := w.ticket(target, limit)
	return t.held && t.nextFlowAt.Passed(now)
}

// RecordPlacement takes in that this host has placed a flow on a cold target.
func (w *Warmer) RecordPlacement(target string, limit RateLimit, now timekeeper.Instant) {
	if limit.Limited() {
		w.ticket(target, limit).nextFlowAt = now.Add(Allocate(limit).Interval)
	}
}

// Forget drops what is kept of a target.
func (w *Warmer) Forget(target string) { delete(w.tickets, target) }

// ticket returns this host's ticket for a target, held or not. Who holds one is worked
// out again when the zone's hosts have changed.
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

// holdersOf returns the hosts that hold a ticket for a target: equal lists of hosts give
// equal holders, and a host that comes or goes changes few of them.
func holdersOf(target string, hosts []string, count int) []string {
	weights := make(map[string]uint64, len(hosts))
	for _, host := range hosts {
		weights[host] = xxhash.Sum64String(target + "\x00" + host)
	}
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(x, y string) int { return cmp.Compare(weights[y], weights[x]) })
	return ranked[:min(count, len(ranked))]
}
