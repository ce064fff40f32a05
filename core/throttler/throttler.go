// Package throttler decides which callers are refused first while a service is overloaded, and
// which callers have exceeded a quota.
//
// When demand exceeds what the targets of a service can serve, the caller that sends most requests
// gets most of the capacity: one caller that retries without pause causes the refusal of all
// others. But many callers may share an address, behind a proxy or a carrier's NAT: an address that
// sends a hundred times as many requests as another may stand for a hundred people.
//
// The throttler applies weighted max-min fairness among addresses. The rate that the host forwards
// is divided in proportion to weights; a caller that requests less than its fair share gets all
// that it requests, and the remainder goes to the others. A caller that has received its fair
// share, and requests far more than others do for their weight, is refused. A load peak of callers
// with equal demand is left to package admitter, which knows the priority of each request.
//
// The weight of an address is the mean number of flows that it had open before the overload: many
// people have many, while a program that sends its next request when it has the response to the
// last one has at most one. No weight grows during an overload.
//
// Addresses first seen during an overload are charged together, to their prefix. Its weight is the
// mean number of all its open flows under normal load or, if it had none, at most the mean weight
// of other prefixes: a change of address gains nothing, and known addresses of the prefix are not
// charged for it.
//
// The package does no network I/O and reads no clock. A Throttler has a single owner and is changed
// in place, since every new flow updates it.
package throttler

import (
	"math"
	"net/netip"
	"time"

	"cranberryspan.dev/core/timekeeper"
	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxAddresses and maxPrefixes limit the callers that are kept per service, and so the
	// memory that an attacker can fill. Eviction of a caller causes no refusal.
	maxAddresses = 512
	maxPrefixes  = 128
	// maxServices limits the services that are kept.
	maxServices = 64
	// ipv4PrefixBits and ipv6PrefixBits are the length of a caller's prefix: the smallest network
	// that a site is assigned.
	ipv4PrefixBits = 24
	ipv6PrefixBits = 48
	// weightFreezeDuration is how long weights are not updated after an overload: callers retry
	// refused requests for that long.
	weightFreezeDuration = 5 * time.Second
)

// Throttler tracks the callers of one host.
type Throttler struct {
	services *lru.Cache[string, *service]
	quotas   []*bucket
}

// service tracks the callers of one service.
type service struct {
	// addresses holds the addresses seen under normal load, each of which is charged for its
	// own flows. prefixes holds the prefixes that are charged for all other addresses.
	addresses *callerTable
	prefixes  *callerTable
	// allocation is the demand of the callers and its division until allocationDeadline.
	allocation         allocation
	allocationDeadline timekeeper.Instant
	// throttledRate is the rate of new flows refused because of their callers' fair shares.
	throttledRate meanRate
	// weightFreezeDeadline is when weights are updated again after an overload.
	weightFreezeDeadline timekeeper.Instant
}

// New returns the Throttler of a host with the given quotas.
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
	Caller     netip.Addr
	Service    string
	Overloaded bool
}

// Decision says whether a new flow is refused because its caller has received its fair share.
type Decision struct {
	Refused bool
	// Prefix is the address or prefix that is charged. ForwardedRate is the rate that was
	// forwarded for it and FairShare the rate that it is entitled to, in new flows per second.
	Prefix        netip.Prefix
	ForwardedRate float64
	FairShare     float64
}

// Check records a caller's request for a new flow, and decides whether it is refused.
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

// callerFor returns the address or prefix that is charged for a request from an address. Each
// address seen under normal load is charged itself, then and later; all others are charged to
// their prefixes.
func (s *service) callerFor(address netip.Addr, now timekeeper.Instant) *caller {
	key, prefix := keysOf(address)
	if s.learningWeights(now) {
		return s.addresses.getOrCreate(key, now)
	}
	if known, ok := s.addresses.callers.Get(key); ok {
		return known
	}
	return s.prefixes.getOrCreate(prefix, now)
}

// decide refuses a caller that has received its fair share and requests much more than others do.
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

// allocate divides the current forwarded rate among the callers. If no request is refused, there
// is nothing to divide. If few are refused for reasons other than fair shares, there may be more
// capacity, so the shares grow.
func (s *service) allocate(now timekeeper.Instant) allocation {
	a := allocation{sharePerWeight: math.Inf(1)}
	a.weighNewcomers(s.prefixes, now)
	var demands []demand
	forwarded := 0.0
	for _, t := range []*callerTable{s.addresses, s.prefixes} {
		for _, c := range t.callers.Values() {
			requested := demand{rate: c.requestedRate.at(now), weight: a.weightOf(c)}
			if requested.rate < negligibleRate {
				continue
			}
			demands = append(demands, requested)
			a.total.add(requested)
			if !c.hasHistory {
				a.newcomers.add(requested)
			}
			forwarded += c.forwardedRate.at(now)
		}
	}
	refused := a.total.rate - forwarded
	if refused < negligibleRate {
		return a
	}
	a.sharePerWeight = maxMinSharePerWeight(demands, forwarded)
	if refused-s.throttledRate.at(now) < lowRefusalRatio*forwarded {
		a.sharePerWeight *= shareGrowth
	}
	return a
}

// FlowStarted records that a new flow is forwarded. Its end has to be reported to FlowEnded.
func (t *Throttler) FlowStarted(r Request, now timekeeper.Instant) {
	s := t.service(r.Service)
	key, prefix := keysOf(r.Caller)
	chargedCaller := s.prefixes.getOrCreate(prefix, now)
	chargedCaller.addOpenFlows(1, s.weightFreezeDeadline, now)
	if known, ok := s.addresses.callers.Peek(key); ok {
		known.addOpenFlows(1, s.weightFreezeDeadline, now)
		chargedCaller = known
	}
	chargedCaller.forwardedRate.add(now)
}

// FlowEnded records the end of a forwarded flow. It has no effect if the caller has been evicted in
// the meantime: open flows keep no caller in memory.
func (t *Throttler) FlowEnded(r Request, now timekeeper.Instant) {
	s := t.service(r.Service)
	key, prefix := keysOf(r.Caller)
	s.addresses.flowEnded(key, s.weightFreezeDeadline, now)
	s.prefixes.flowEnded(prefix, s.weightFreezeDeadline, now)
}

// CallerCount returns the number of addresses and prefixes that are kept, for operators.
func (t *Throttler) CallerCount() int {
	count := 0
	for _, s := range t.services.Values() {
		count += s.addresses.callers.Len() + s.prefixes.callers.Len()
	}
	return count
}

// service returns the record of a service, and creates it if there is none.
func (t *Throttler) service(name string) *service {
	s, ok := t.services.Get(name)
	if !ok {
		s = &service{addresses: newCallerTable(maxAddresses), prefixes: newCallerTable(maxPrefixes)}
		t.services.Add(name, s)
	}
	return s
}

// learningWeights reports whether weights are updated at present, that is, not frozen by an
// overload.
func (s *service) learningWeights(now timekeeper.Instant) bool {
	return s.weightFreezeDeadline.Passed(now)
}

// keysOf returns a caller's address and its prefix. The address of an IPv6 caller is its /64
// network, since an IPv6 host may use any number of addresses in it.
func keysOf(caller netip.Addr) (address, prefix netip.Prefix) {
	caller = caller.Unmap()
	bits, prefixBits := caller.BitLen(), ipv4PrefixBits
	if caller.Is6() {
		bits, prefixBits = 64, ipv6PrefixBits
	}
	address = netip.PrefixFrom(caller, bits).Masked()
	return address, netip.PrefixFrom(caller, prefixBits).Masked()
}
