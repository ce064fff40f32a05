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
	// prefixBits4 and prefixBits6 are the length of a caller's prefix: what a site is
	// given at the least.
	prefixBits4 = 24
	prefixBits6 = 48
	// calmAfter is how long after a shortage weights are not learned: until then callers
	// repeat what was refused.
	calmAfter = 5 * time.Second
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
	addresses *table
	prefixes  *table
	// division is what callers ask for, and may have, until divisionDeadline.
	division         division
	divisionDeadline timekeeper.Instant
	// throttled is the rate of new flows that were refused for their callers' shares.
	throttled meanRate
	// calmDeadline is when weights are learned again after a shortage.
	calmDeadline timekeeper.Instant
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
	// Short says that the service is short of room.
	Short bool
}

// Verdict says whether a new flow is refused for what its caller has had.
type Verdict struct {
	Refused bool
	// Prefix is the address or prefix that has had too much, Had what was passed on for
	// it and FairShare what it may have, in new flows a second.
	Prefix    netip.Prefix
	Had       float64
	FairShare float64
}

// Ask takes in that a caller asks for a new flow, and says whether it is refused.
func (t *Throttler) Ask(r Request, now timekeeper.Instant) Verdict {
	s := t.service(r.Service)
	if r.Short {
		if s.calm(now) {
			s.addresses.settle(s.calmDeadline, now)
			s.prefixes.settle(s.calmDeadline, now)
		}
		s.calmDeadline = now.Add(calmAfter)
	}
	c := s.claimant(r.Caller, now)
	verdict := Verdict{}
	if r.Short {
		verdict = s.judge(c, now)
	}
	c.asked.add(now)
	return verdict
}

// claimant returns who answers for an address that asks. In calm times it answers for
// itself from now on.
func (s *service) claimant(address netip.Addr, now timekeeper.Instant) *caller {
	key, prefix := keysOf(address)
	if s.calm(now) {
		return s.addresses.at(key, now)
	}
	if own, ok := s.addresses.callers.Get(key); ok {
		return own
	}
	return s.prefixes.at(prefix, now)
}

// judge says whether a caller has had more than its share, and asks for much more than others.
func (s *service) judge(c *caller, now timekeeper.Instant) Verdict {
	if s.divisionDeadline.Passed(now) {
		s.division = s.divide(now)
		s.divisionDeadline = now.Add(divideEvery)
	}
	weight := s.division.weightOf(c)
	verdict := Verdict{Prefix: c.prefix, Had: c.passed.at(now), FairShare: s.division.level * weight}
	verdict.Refused = verdict.Had >= max(verdict.FairShare, s.division.leastOf(c)) && s.division.asksForMuchMore(c, now)
	if verdict.Refused {
		s.throttled.add(now)
	}
	return verdict
}

// divide shares out what is passed on at present among the callers. If nobody is refused,
// there is nothing to divide. If few are refused but for their shares, there may be more room.
func (s *service) divide(now timekeeper.Instant) division {
	d := division{level: math.Inf(1)}
	d.weighUnknown(s.prefixes, now)
	var demands []demand
	room := 0.0
	for _, t := range []*table{s.addresses, s.prefixes} {
		for _, c := range t.callers.Values() {
			one := demand{asked: c.asked.at(now), weight: d.weightOf(c)}
			if one.asked < leastRate {
				continue
			}
			demands = append(demands, one)
			d.total.add(one)
			if !c.known {
				d.unknown.add(one)
			}
			room += c.passed.at(now)
		}
	}
	refused := d.total.asked - room
	if refused < leastRate {
		return d
	}
	d.level = maxMinLevel(demands, room)
	if refused-s.throttled.at(now) < fewRefused*room {
		d.level *= growth
	}
	return d
}

// Pass takes in that a caller's new flow is passed on. Its end has to be told.
func (t *Throttler) Pass(r Request, now timekeeper.Instant) {
	s := t.service(r.Service)
	key, prefix := keysOf(r.Caller)
	claimant := s.prefixes.at(prefix, now)
	claimant.count(1, s.calmDeadline, now)
	if own, ok := s.addresses.callers.Peek(key); ok {
		own.count(1, s.calmDeadline, now)
		claimant = own
	}
	claimant.passed.add(now)
}

// End takes in that a flow that was passed on has ended. It counts for nothing if its
// caller has been forgotten meanwhile: flows keep no callers in memory.
func (t *Throttler) End(r Request, now timekeeper.Instant) {
	s := t.service(r.Service)
	key, prefix := keysOf(r.Caller)
	s.addresses.end(key, s.calmDeadline, now)
	s.prefixes.end(prefix, s.calmDeadline, now)
}

// Kept counts the addresses and prefixes that are kept, for operators.
func (t *Throttler) Kept() int {
	kept := 0
	for _, s := range t.services.Values() {
		kept += s.addresses.callers.Len() + s.prefixes.callers.Len()
	}
	return kept
}

// service returns what is kept of a service.
func (t *Throttler) service(name string) *service {
	s, ok := t.services.Get(name)
	if !ok {
		s = &service{addresses: newTable(maxAddresses), prefixes: newTable(maxPrefixes)}
		t.services.Add(name, s)
	}
	return s
}

// calm reports whether weights are learned.
func (s *service) calm(now timekeeper.Instant) bool { return s.calmDeadline.Passed(now) }

// keysOf returns a caller's address and its prefix. The address of an IPv6 caller is its
// network: a host there has as many addresses as it likes.
func keysOf(caller netip.Addr) (address, prefix netip.Prefix) {
	caller = caller.Unmap()
	bits, prefixBits := caller.BitLen(), prefixBits4
	if caller.Is6() {
		bits, prefixBits = 64, prefixBits6
	}
	address = netip.PrefixFrom(caller, bits).Masked()
	return address, netip.PrefixFrom(caller, prefixBits).Masked()
}
