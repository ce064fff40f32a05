package throttler_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"cranberryspan.dev/core/throttler"
	"cranberryspan.dev/core/timekeeper"
	"github.com/stretchr/testify/require"
)

const (
	// step is the time step of the simulation, flowDuration the duration of a flow.
	step         = 10 * time.Millisecond
	flowDuration = 50 * time.Millisecond
)

// simulation is one host and one service that sustains perSecond new flows per second. Flows beyond
// that are refused in order of arrival.
type simulation struct {
	throttler *throttler.Throttler
	now       timekeeper.Instant
	perSecond float64
	// capacity is how many flows the service can start now.
	capacity   float64
	overloaded bool
	groups     []*callerGroup
	ends       map[timekeeper.Instant][]throttler.Request
	random     *rand.Rand
}

// callerGroup is a group of callers with the same behavior.
type callerGroup struct {
	// address returns the address of the group's nth request.
	address func(n int) netip.Addr
	// perSecond is the total rate of the group's requests.
	perSecond       float64
	pendingRequests float64
	requested       int
	served          int
	throttled       int
}

func newSimulation(perSecond float64, groups ...*callerGroup) *simulation {
	return &simulation{throttler: throttler.New(nil), now: timekeeper.Instant(time.Second), perSecond: perSecond, groups: groups, ends: map[timekeeper.Instant][]throttler.Request{}, random: rand.New(rand.NewPCG(1, 2))}
}

// run advances the simulation by a duration, after it has reset the groups' counters.
func (s *simulation) run(duration time.Duration) {
	for _, g := range s.groups {
		g.requested, g.served, g.throttled = 0, 0, 0
	}
	for end := s.now.Add(duration); s.now < end; s.now = s.now.Add(step) {
		s.capacity = min(s.capacity+s.perSecond*step.Seconds(), s.perSecond*flowDuration.Seconds())
		for _, r := range s.ends[s.now] {
			s.throttler.FlowEnded(r, s.now)
		}
		delete(s.ends, s.now)
		var requesting []*callerGroup
		for _, g := range s.groups {
			for g.pendingRequests += g.perSecond * step.Seconds(); g.pendingRequests >= 1; g.pendingRequests-- {
				requesting = append(requesting, g)
			}
		}
		s.random.Shuffle(len(requesting), func(i, j int) { requesting[i], requesting[j] = requesting[j], requesting[i] })
		for _, g := range requesting {
			s.request(g)
		}
	}
}

func (s *simulation) request(g *callerGroup) {
	g.requested++
	r := throttler.Request{Caller: g.address(g.requested), Service: "ledger", Overloaded: s.overloaded}
	if s.throttler.Check(r, s.now).Refused {
		g.throttled++
		return
	}
	if s.capacity < 1 {
		return
	}
	s.capacity--
	g.served++
	s.throttler.FlowStarted(r, s.now)
	end := s.now.Add(flowDuration)
	s.ends[end] = append(s.ends[end], r)
}

func (g *callerGroup) servedRatio() float64 { return float64(g.served) / float64(max(g.requested, 1)) }

// distributedCallers returns callers at 200 addresses in 20 prefixes that send requests in turn.
func distributedCallers(perSecond float64) *callerGroup {
	return &callerGroup{perSecond: perSecond, address: func(n int) netip.Addr {
		return netip.AddrFrom4([4]byte{100, 64, byte(n % 20), byte(n / 20 % 10)})
	}}
}

// singleAddress returns callers behind one address: many people, or one program that retries.
func singleAddress(address string, perSecond float64) *callerGroup {
	addr := netip.MustParseAddr(address)
	return &callerGroup{perSecond: perSecond, address: func(int) netip.Addr { return addr }}
}

// Guards against the refusal of nearly all callers when half of the targets fail, and one program
// retries at once after each refusal, a thousand times per second, while the others send 100
// requests per second: without fair shares, the caller with the most requests gets most of the
// capacity.
func TestRetryLoopDoesNotStarveOtherCallers(t *testing.T) {
	loop, others := singleAddress("203.0.113.9", 5), distributedCallers(100)
	s := newSimulation(1000, loop, others)
	s.run(30 * time.Second)
	require.Equal(t, 1.0, others.servedRatio())
	loop.perSecond, s.perSecond, s.overloaded = 1000, 150, true
	s.run(3 * time.Second)
	s.run(20 * time.Second)
	t.Logf("others get %.2f, the loop %.3f", others.servedRatio(), loop.servedRatio())
	require.Greater(t, others.servedRatio(), 0.9)
	require.Greater(t, float64(loop.served)/20, 25.0, "what the others leave goes to the loop")
}

// Guards against thousands of people behind a NAT that get the share of one person, as they do if
// all addresses have equal shares: when half of the targets fail, 2,000 people behind one address
// send 400 requests per second, 200 others 100, and one program retries without pause.
func TestCallersBehindNATGetMoreThanOneShare(t *testing.T) {
	loop, nat, others := singleAddress("203.0.113.9", 5), singleAddress("198.51.100.7", 400), distributedCallers(100)
	s := newSimulation(1000, loop, nat, others)
	s.run(30 * time.Second)
	loop.perSecond, s.perSecond, s.overloaded = 1000, 250, true
	s.run(3 * time.Second)
	s.run(20 * time.Second)
	t.Logf("others get %.2f, the office %.2f, the loop %.3f", others.servedRatio(), nat.servedRatio(), loop.servedRatio())
	require.InDelta(t, 0.5, nat.servedRatio(), 0.15, "half is an equal part for each of all")
	require.InDelta(t, 0.5, others.servedRatio(), 0.15)
	require.Less(t, loop.served*10, nat.served)
}

// Guards against a retry loop that is never refused: when it changes its address with each request,
// and fair shares exist for addresses only. Addresses of its prefix that were known before must not
// be charged for it.
func TestRotatingAddressesShareOnePrefixAllocation(t *testing.T) {
	neighbour, others := singleAddress("203.0.113.200", 2), distributedCallers(100)
	loop := &callerGroup{address: func(n int) netip.Addr { return netip.AddrFrom4([4]byte{203, 0, 113, byte(n % 180)}) }}
	s := newSimulation(1000, neighbour, loop, others)
	s.run(30 * time.Second)
	loop.perSecond, s.perSecond, s.overloaded = 1000, 150, true
	s.run(3 * time.Second)
	s.run(20 * time.Second)
	t.Logf("others get %.2f, the neighbour %.2f, the loop %.3f", others.servedRatio(), neighbour.servedRatio(), loop.servedRatio())
	require.Greater(t, others.servedRatio(), 0.85)
	require.Zero(t, neighbour.throttled)
}

// Guards against unequal refusals in a load peak without a retry loop: when all callers send three
// times as many requests as before, and fair shares differ from the callers' demand.
func TestEqualDemandIsServedEqually(t *testing.T) {
	nat, others := singleAddress("198.51.100.7", 100), distributedCallers(100)
	s := newSimulation(1000, nat, others)
	s.run(30 * time.Second)
	nat.perSecond, others.perSecond, s.perSecond, s.overloaded = 300, 300, 300, true
	s.run(3 * time.Second)
	s.run(20 * time.Second)
	t.Logf("others get %.2f, the office %.2f", others.servedRatio(), nat.servedRatio())
	require.InDelta(t, 0.5, nat.servedRatio(), 0.15, "half is an equal part for each of all")
	require.InDelta(t, 0.5, others.servedRatio(), 0.15)
	require.Greater(t, nat.served+others.served, 300*20*8/10, "no room stays unused")
}

// Guards against refusals although capacity is available: when a service counts as overloaded but
// refuses no request, and fair shares are reduced nevertheless.
func TestNothingIsThrottledWithinCapacity(t *testing.T) {
	loop, others := singleAddress("203.0.113.9", 200), distributedCallers(100)
	s := newSimulation(1000, loop, others)
	s.overloaded = true
	s.run(20 * time.Second)
	require.Zero(t, loop.throttled+others.throttled)
}

// Guards against a host that runs out of memory: when callers come from very many addresses, here
// 150,000, and the host keeps a record of each.
func TestCallerTablesAreBounded(t *testing.T) {
	th := throttler.New(nil)
	for n := range 150_000 {
		r := throttler.Request{Caller: netip.AddrFrom4([4]byte{byte(n >> 16), byte(n >> 8), byte(n), 1}), Service: fmt.Sprint("service ", n/1500), Overloaded: n > 140_000}
		th.Check(r, timekeeper.Instant(n))
		th.FlowStarted(r, timekeeper.Instant(n))
	}
	t.Logf("%d kept", th.CallerCount())
	require.LessOrEqual(t, th.CallerCount(), 64*(512+128))
}

// Guards against the refusal of many people behind a NAT as if they were one caller: when thousands
// of addresses send one request each during an overload, and evict the NAT's address and its weight
// because only the addresses last seen are kept.
func TestOneTimeAddressesDoNotEvictOthers(t *testing.T) {
	nat, others := singleAddress("198.51.100.7", 200), distributedCallers(20)
	flood := &callerGroup{address: func(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}) }}
	s := newSimulation(1000, flood, nat, others)
	s.run(30 * time.Second)
	flood.perSecond, s.perSecond, s.overloaded = 5000, 150, true
	s.run(3 * time.Second)
	s.run(10 * time.Second)
	t.Logf("the office gets %.2f, others %.2f, the flood %.3f", nat.servedRatio(), others.servedRatio(), flood.servedRatio())
	require.Greater(t, nat.servedRatio(), 0.4)
}

// BenchmarkCheck measures Check with callers at a thousand addresses during an overload.
func BenchmarkCheck(b *testing.B) {
	th := throttler.New(nil)
	b.ReportAllocs()
	for n := range b.N {
		r := throttler.Request{Caller: netip.AddrFrom4([4]byte{100, 64, byte(n % 1000 >> 8), byte(n % 1000)}), Service: "ledger", Overloaded: true}
		now := timekeeper.Instant(n) * timekeeper.Instant(time.Millisecond)
		if !th.Check(r, now).Refused && n%2 == 0 {
			th.FlowStarted(r, now)
			th.FlowEnded(r, now)
		}
	}
}

// Guards against refusals of callers that move from failed zones: when the callers of two zones
// move to the third, whose service is overloaded, and unknown callers are treated like one that
// changes its address.
func TestCallersMovedFromFailedZoneAreServedEqually(t *testing.T) {
	others := distributedCallers(100)
	moved := &callerGroup{address: func(n int) netip.Addr { return netip.AddrFrom4([4]byte{100, 65, byte(n % 40), byte(n / 40 % 10)}) }}
	s := newSimulation(1000, others, moved)
	s.run(30 * time.Second)
	moved.perSecond, s.perSecond, s.overloaded = 200, 150, true
	s.run(3 * time.Second)
	s.run(20 * time.Second)
	t.Logf("others get %.2f, those who moved %.2f", others.servedRatio(), moved.servedRatio())
	require.InDelta(t, 0.5, others.servedRatio(), 0.15)
	require.InDelta(t, 0.5, moved.servedRatio(), 0.15)
}
