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
	// step is by how much time moves on at once in these tests, work how long a flow lasts.
	step = 10 * time.Millisecond
	work = 50 * time.Millisecond
)

// crowd is one host before one service that bears so many new flows a second. Whatever
// comes beyond that is refused as it comes.
type crowd struct {
	throttler *throttler.Throttler
	now       timekeeper.Instant
	perSecond float64
	room      float64
	short     bool
	groups    []*group
	ends      map[timekeeper.Instant][]throttler.Request
	random    *rand.Rand
}

// group is callers who ask alike.
type group struct {
	// address names the address of the group's nth request.
	address func(n int) netip.Addr
	// perSecond is how many requests the group asks for altogether.
	perSecond float64
	due       float64
	asked     int
	served    int
	throttled int
}

func newCrowd(perSecond float64, groups ...*group) *crowd {
	return &crowd{throttler: throttler.New(nil), now: timekeeper.Instant(time.Second), perSecond: perSecond, groups: groups, ends: map[timekeeper.Instant][]throttler.Request{}, random: rand.New(rand.NewPCG(1, 2))}
}

// run lets time pass and forgets what was counted before.
func (c *crowd) run(span time.Duration) {
	for _, g := range c.groups {
		g.asked, g.served, g.throttled = 0, 0, 0
	}
	for end := c.now.Add(span); c.now < end; c.now = c.now.Add(step) {
		c.room = min(c.room+c.perSecond*step.Seconds(), c.perSecond*work.Seconds())
		for _, r := range c.ends[c.now] {
			c.throttler.End(r, c.now)
		}
		delete(c.ends, c.now)
		var asking []*group
		for _, g := range c.groups {
			for g.due += g.perSecond * step.Seconds(); g.due >= 1; g.due-- {
				asking = append(asking, g)
			}
		}
		c.random.Shuffle(len(asking), func(i, j int) { asking[i], asking[j] = asking[j], asking[i] })
		for _, g := range asking {
			c.ask(g)
		}
	}
}

func (c *crowd) ask(g *group) {
	g.asked++
	r := throttler.Request{Caller: g.address(g.asked), Service: "ledger", Short: c.short}
	if c.throttler.Ask(r, c.now).Refused {
		g.throttled++
		return
	}
	if c.room < 1 {
		return
	}
	c.room--
	g.served++
	c.throttler.Pass(r, c.now)
	end := c.now.Add(work)
	c.ends[end] = append(c.ends[end], r)
}

func (g *group) share() float64 { return float64(g.served) / float64(max(g.asked, 1)) }

// people are callers of 200 addresses in 20 prefixes, who ask in turn.
func people(perSecond float64) *group {
	return &group{perSecond: perSecond, address: func(n int) netip.Addr {
		return netip.AddrFrom4([4]byte{100, 64, byte(n % 20), byte(n / 20 % 10)})
	}}
}

// office is many callers behind one address, or one that repeats itself.
func office(address string, perSecond float64) *group {
	one := netip.MustParseAddr(address)
	return &group{perSecond: perSecond, address: func(int) netip.Addr { return one }}
}

// Symptom: when half of the targets are lost nearly every caller is refused. Sequence: one
// program asks again as soon as it is refused, a thousand times a second; the others ask
// 100 times. Cause: whoever asks most gets most of the room.
func TestOneCallerThatRepeatsWithoutPauseLeavesRoomToTheOthers(t *testing.T) {
	loop, others := office("203.0.113.9", 5), people(100)
	c := newCrowd(1000, loop, others)
	c.run(30 * time.Second)
	require.Equal(t, 1.0, others.share())
	loop.perSecond, c.perSecond, c.short = 1000, 150, true
	c.run(3 * time.Second)
	c.run(20 * time.Second)
	t.Logf("others get %.2f, the loop %.3f", others.share(), loop.share())
	require.Greater(t, others.share(), 0.9)
	require.Greater(t, float64(loop.served)/20, 25.0, "what the others leave goes to the loop")
}

// Symptom: an office of thousands is served like one person. Sequence: half of the
// targets are lost; 2,000 people behind one address ask 400 times a second, 200 others
// 100 times, and one program without pause. Cause: equal shares for addresses.
func TestThousandsBehindOneAddressAreNotOneCaller(t *testing.T) {
	loop, nat, others := office("203.0.113.9", 5), office("198.51.100.7", 400), people(100)
	c := newCrowd(1000, loop, nat, others)
	c.run(30 * time.Second)
	loop.perSecond, c.perSecond, c.short = 1000, 250, true
	c.run(3 * time.Second)
	c.run(20 * time.Second)
	t.Logf("others get %.2f, the office %.2f, the loop %.3f", others.share(), nat.share(), loop.share())
	require.InDelta(t, 0.5, nat.share(), 0.15, "half is an equal part for each of all")
	require.InDelta(t, 0.5, others.share(), 0.15)
	require.Less(t, loop.served*10, nat.served)
}

// Symptom: the loop is never refused. Sequence: it uses each of its addresses once.
// Cause: shares of addresses alone. Others of its prefix, who were there before, must not
// pay for it.
func TestAddressesThatChangeAnswerTogether(t *testing.T) {
	neighbour, others := office("203.0.113.200", 2), people(100)
	loop := &group{address: func(n int) netip.Addr { return netip.AddrFrom4([4]byte{203, 0, 113, byte(n % 180)}) }}
	c := newCrowd(1000, neighbour, loop, others)
	c.run(30 * time.Second)
	loop.perSecond, c.perSecond, c.short = 1000, 150, true
	c.run(3 * time.Second)
	c.run(20 * time.Second)
	t.Logf("others get %.2f, the neighbour %.2f, the loop %.3f", others.share(), neighbour.share(), loop.share())
	require.Greater(t, others.share(), 0.85)
	require.Zero(t, neighbour.throttled)
}

// Symptom: in a crowd without a loop some callers are refused for their share although all
// ask alike. Sequence: all ask three times as often as before. Cause: shares that differ
// from what callers ask.
func TestCallersWhoAskAlikeAreServedAlike(t *testing.T) {
	nat, others := office("198.51.100.7", 100), people(100)
	c := newCrowd(1000, nat, others)
	c.run(30 * time.Second)
	nat.perSecond, others.perSecond, c.perSecond, c.short = 300, 300, 300, true
	c.run(3 * time.Second)
	c.run(20 * time.Second)
	t.Logf("others get %.2f, the office %.2f", others.share(), nat.share())
	require.InDelta(t, 0.5, nat.share(), 0.15, "half is an equal part for each of all")
	require.InDelta(t, 0.5, others.share(), 0.15)
	require.Greater(t, nat.served+others.served, 300*20*8/10, "no room stays unused")
}

// Symptom: callers are refused though there is room. Sequence: a service counts as short
// and refuses nobody. Cause: shares that are cut before anybody has to be refused.
func TestNobodyIsRefusedWhileAllAreServed(t *testing.T) {
	loop, others := office("203.0.113.9", 200), people(100)
	c := newCrowd(1000, loop, others)
	c.short = true
	c.run(20 * time.Second)
	require.Zero(t, loop.throttled+others.throttled)
}

// Symptom: a host runs out of memory. Sequence: callers come from a million addresses.
// Cause: something kept for each of them.
func TestMemoryIsBounded(t *testing.T) {
	th := throttler.New(nil)
	for n := range 150_000 {
		r := throttler.Request{Caller: netip.AddrFrom4([4]byte{byte(n >> 16), byte(n >> 8), byte(n), 1}), Service: fmt.Sprint("service ", n/1500), Short: n > 140_000}
		th.Ask(r, timekeeper.Instant(n))
		th.Pass(r, timekeeper.Instant(n))
	}
	t.Logf("%d kept", th.Kept())
	require.LessOrEqual(t, th.Kept(), 64*(512+128))
}

// Symptom: an office loses its weight, and is refused as if it were one caller. Sequence:
// a shortage; thousands of addresses come once each. Cause: those last seen are kept.
func TestAddressesThatComeOnceDoNotDisplaceOthers(t *testing.T) {
	nat, others := office("198.51.100.7", 200), people(20)
	flood := &group{address: func(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}) }}
	c := newCrowd(1000, flood, nat, others)
	c.run(30 * time.Second)
	flood.perSecond, c.perSecond, c.short = 5000, 150, true
	c.run(3 * time.Second)
	c.run(10 * time.Second)
	t.Logf("the office gets %.2f, others %.2f, the flood %.3f", nat.share(), others.share(), flood.share())
	require.Greater(t, nat.share(), 0.4)
}

// BenchmarkAsk weighs callers of a thousand addresses while their service is short.
func BenchmarkAsk(b *testing.B) {
	th := throttler.New(nil)
	b.ReportAllocs()
	for n := range b.N {
		r := throttler.Request{Caller: netip.AddrFrom4([4]byte{100, 64, byte(n % 1000 >> 8), byte(n % 1000)}), Service: "ledger", Short: true}
		now := timekeeper.Instant(n) * timekeeper.Instant(time.Millisecond)
		if !th.Ask(r, now).Refused && n%2 == 0 {
			th.Pass(r, now)
			th.End(r, now)
		}
	}
}

// Symptom: callers of a zone that is lost are refused where they come to. Sequence: two
// zones' callers come to the third, whose service is short of room. Cause: whoever was not
// there before is taken for one that changes its address.
func TestCallersWhoComeFromElsewhereAreServedAlike(t *testing.T) {
	others := people(100)
	moved := &group{address: func(n int) netip.Addr { return netip.AddrFrom4([4]byte{100, 65, byte(n % 40), byte(n / 40 % 10)}) }}
	c := newCrowd(1000, others, moved)
	c.run(30 * time.Second)
	moved.perSecond, c.perSecond, c.short = 200, 150, true
	c.run(3 * time.Second)
	c.run(20 * time.Second)
	t.Logf("others get %.2f, those who moved %.2f", others.share(), moved.share())
	require.InDelta(t, 0.5, others.share(), 0.15)
	require.InDelta(t, 0.5, moved.share(), 0.15)
}
