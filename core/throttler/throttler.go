// Package throttler decides which callers are refused first while a service is short of
// room, and which have used up a quota.
//
// The pattern: a service is asked for more than its targets can do, and one caller
// repeats itself without pause. Whoever asks most gets most of the room, so that all
// others are refused for the one. But many callers may share an address, behind a proxy
// or a carrier's NAT: an address that asks a hundred times as much as another may be a
// hundred people.
//
// The answer: weighted max-min fairness among addresses. What the host passes on is
// divided in proportion to weights; a caller that asks for less than its share gets all
// that it asks for, and what it leaves goes to the others. A caller that has had more than
// its share, and asks for far more than others do for their weight, is refused. A crowd of
// callers who ask alike is left to admission, which knows the priority of each request.
//
// An address weighs as much as it had flows open at a time before the shortage: many
// people have many, while a program that asks again as soon as it is answered has one at
// the most. Nobody gains weight while the service is short.
//
// Addresses that are new since then answer together, by their prefix, which weighs as much
// as all its flows in calm times, or as other prefixes do: changing one's address gains
// nothing, and those of the prefix who were there before don't pay for it.
//
// The package knows no network and no clock. A Throttler belongs to one owner and changes
// in place, since each new flow touches it.
package throttler

import (
	"math"
	"net/netip"
	"time"

	"cranberryspan.dev/core/timekeeper"
	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxAddresses and maxPrefixes bound the callers that are kept of a service, and so the
	// memory that an attacker can fill. A caller beyond them is forgotten, which refuses
	// nobody.
	maxAddresses = 512
	maxPrefixes  = 128
	// maxServices bounds the services that are kept.
	maxServices = 64
	// ipv4PrefixBits and ipv6PrefixBits are the length of a caller's prefix: what a site is
	// given at the least.
	ipv4PrefixBits = 24
	ipv6PrefixBits = 48
	// weightFreezeDuration is how long after a shortage weights are not learned: until then callers
	// repeat what was refused.
	weightFreezeDuration = 5 * time.Second
)

// Throttler is what one host knows of its callers.
type Throttler struct {
	services *lru.Cache[string, *service]
	quotas   []*bucket
}

// service is what callers ask of one service.
type service struct {
	// addresses are those that came in calm times, each of which answers for itself.
	// prefixes answer for all other addresses of theirs.
	addresses *callerTable
	prefixes  *callerTable
	// allocation is what callers ask for, and may have, until allocationDeadline.
	allocation         allocation
	allocationDeadline timekeeper.Instant
	// throttledRate is the rate of new flows that were refused for their callers' shares.
	throttledRate meanRate
	// weightFreezeDeadline is when weights are learned again after a shortage.
	weightFreezeDeadline timekeeper.Instant
}

// New makes the Throttler of a host with some quotas.
func New(quotas []Quota) *Throttler {
	services, err := lru.New[string, *service](maxServices)
	if err != nil {
		panic(err) // The size is a constant above 0.
	}
	t := &Throttler{services: services}
	for _, q := range quotas {
		t.quotas = append(t.quotas, newBucket(q))
	}
	return t
}

// Request is a caller's request for a new flow.
type Request struct {
	Caller  netip.Addr
	Service string
	// Overloaded says that the service is short of room.
	Overloaded bool
}

// Decision says whether a new flow is refused for what its caller has had.
type Decision struct {
	Refused bool
	// Prefix is the address or prefix that has had too much, Had what was passed on for
	// it and FairShare what it may have, in new flows a second.
	Prefix        netip.Prefix
	ForwardedRate float64
	FairShare     float64
}

// Check takes in that a caller asks for a new flow, and says whether it is refused.
func (t *Throttler) Check(r Request, now timekeeper.Instant) Decision {
	s := t.service(r.Service)
	if r.Overloaded {
		if s.learningWeights(now) {
			s.addresses.updateWeights(s.weightFreezeDeadline, now)
			s.prefixes.updateWeights(s.weightFreezeDeadline, now)
		}
		s.weightFreezeDeadline = now.Add(weightFreezeDuration)
	}
	c := s.callerFor(r.Caller, now)
	decision := Decision{}
	if r.Overloaded {
		decision = s.decide(c, now)
	}
	c.requestedRate.add(now)
	return decision
}

// chargedCaller returns who answers for an address that asks. In calm times it answers for
// itself from now on.
func (s *service) callerFor(address netip.Addr, now timekeeper.Instant) *caller {
	key, prefix := keysOf(address)
	if s.learningWeights(now) {
		return s.addresses.getOrCreate(key, now)
	}
	if own, ok := s.addresses.callers.Get(key); ok {
		return own
	}
	return s.prefixes.getOrCreate(prefix, now)
}

// decide says whether a caller has had more than its share, and asks for much more than others.
func (s *service) decide(c *caller, now timekeeper.Instant) Decision {
	if s.allocationDeadline.Passed(now) {
		s.allocation = s.allocate(now)
		s.allocationDeadline = now.Add(allocationInterval)
	}
	weight := s.allocation.weightOf(c)
	decision := Decision{Prefix: c.prefix, ForwardedRate: c.forwardedRate.at(now), FairShare: s.allocation.sharePerWeight * weight}
	decision.Refused = decision.ForwardedRate >= max(decision.FairShare, s.allocation.guaranteedRateOf(c)) && s.allocation.exceedsOthers(c, now)
	if decision.Refused {
		s.throttledRate.add(now)
	}
	return decision
}

// allocate shares out what is passed on at present among the callers. If nobody is refused,
// there is nothing to divide. If few are refused but for their shares, there may be more room.
func (s *service) allocate(now timekeeper.Instant) allocation {
	d := allocation{sharePerWeight: math.Inf(1)}
	d.weighNewcomers(s.prefixes, now)
	var demands []demand
	forwarded := 0.0
	for _, t := range []*callerTable{s.addresses, s.prefixes} {
		for _, c := range t.callers.Values() {
			one := demand{rate: c.requestedRate.at(now), weight: d.weightOf(c)}
			if one.rate < negligibleRate {
				continue
			}
			demands = append(demands, one)
			d.total.add(one)
			if !c.hasHistory {
				d.newcomers.add(one)
			}
			forwarded += c.forwardedRate.at(now)
		}
	}
	refused := d.total.rate - forwarded
	if refused < negligibleRate {
		return d
	}
	d.sharePerWeight = maxMinSharePerWeight(demands, forwarded)
	if refused-s.throttledRate.at(now) < lowRefusalRatio*forwarded {
		d.sharePerWeight *= shareGrowth
	}
	return d
}

// FlowStarted takes in that a caller's new flow is passed on. Its end has to be told.
func (t *Throttler) FlowStarted(r Request, now timekeeper.Instant) {
	s := t.service(r.Service)
	key, prefix := keysOf(r.Caller)
	chargedCaller := s.prefixes.getOrCreate(prefix, now)
	chargedCaller.addOpenFlows(1, s.weightFreezeDeadline, now)
	if own, ok := s.addresses.callers.Peek(key); ok {
		own.addOpenFlows(1, s.weightFreezeDeadline, now)
		chargedCaller = own
	}
	chargedCaller.forwardedRate.add(now)
}

// FlowEnded takes in that a flow that was passed on has ended. It counts for nothing if its
// caller has been forgotten meanwhile: flows keep no callers in memory.
func (t *Throttler) FlowEnded(r Request, now timekeeper.Instant) {
	s := t.service(r.Service)
	key, prefix := keysOf(r.Caller)
	s.addresses.flowEnded(key, s.weightFreezeDeadline, now)
	s.prefixes.flowEnded(prefix, s.weightFreezeDeadline, now)
}

// CallerCount counts the addresses and prefixes that are kept, for operators.
func (t *Throttler) CallerCount() int {
	count := 0
	for _, s := range t.services.Values() {
		count += s.addresses.callers.Len() + s.prefixes.callers.Len()
	}
	return count
}

// service returns what is kept of a service.
func (t *Throttler) service(name string) *service {
	s, ok := t.services.Get(name)
	if !ok {
		s = &service{addresses: newCallerTable(maxAddresses), prefixes: newCallerTable(maxPrefixes)}
		t.services.Add(name, s)
	}
	return s
}

// learningWeights reports whether weights are learned.
func (s *service) learningWeights(now timekeeper.Instant) bool {
	return s.weightFreezeDeadline.Passed(now)
}

// keysOf returns a caller's address and its prefix. The address of an IPv6 caller is its
// network: a host there has as many addresses as it likes.
func keysOf(caller netip.Addr) (address, prefix netip.Prefix) {
	caller = caller.Unmap()
	bits, prefixBits := caller.BitLen(), ipv4PrefixBits
	if caller.Is6() {
		bits, prefixBits = 64, ipv6PrefixBits
	}
	address = netip.PrefixFrom(caller, bits).Masked()
	return address, netip.PrefixFrom(caller, prefixBits).Masked()
}
