package limiter_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"cranberryspan.dev/core/limiter"
	"cranberryspan.dev/core/timekeeper"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	start = timekeeper.Instant(time.Minute)
	idle  = 15 * time.Second
)

// TestMain fixes the seed, so that CI gives the same verdict each run.
func TestMain(m *testing.M) {
	seeded := slices.ContainsFunc(os.Args, func(arg string) bool { return strings.Contains(arg, "rapid.seed") })
	if !seeded {
		if err := flag.Set("rapid.seed", "20261203"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// admits reports whether a host may place one more flow at a target.
func admits(l *limiter.Limiter, t *limiter.Target, tag uint32, b limiter.Bound, g limiter.Guess, now timekeeper.Instant) bool {
	_, admits := l.Offer(t, tag, b, g, now)
	return admits
}

func ExampleLimiter_Room() {
	l := limiter.New("a0", start, idle)
	t := l.Target(1)
	for range 3 {
		t.Placed(start)
	}
	l.Take("b1", limiter.Word{Incarnation: 1, Near: true, Flows: map[uint32]uint16{1: 5}}, start)
	now := start.Add(idle)
	fmt.Println(l.Belief(t, 10, limiter.Guess{}, now))
	fmt.Println(l.Room(t, limiter.Bound{Flows: 10, Reserved: 1}, limiter.Guess{}, now))
	// Output:
	// {3 5 0}
	// 1
}

// Symptom: callers of a host that has just started wait at full targets. Sequence: a host
// starts again within a second; its callers' flows go on at the targets, and it has seen
// none of them. Cause: it takes what it has seen for all.
func TestHostThatHasStartedAgainCountsWhatItDoesNotRemember(t *testing.T) {
	l := limiter.New("a0", start, idle)
	one := l.Target(1)
	require.Zero(t, l.Belief(one, 40, limiter.Guess{}, start).Sum())
	for n := range 4 {
		l.Take(fmt.Sprintf("a%d", n), limiter.Word{Incarnation: 1, Near: true, Flows: map[uint32]uint16{1: 8}}, start)
	}
	require.Equal(t, limiter.Belief{Told: 32, Estimated: 8}, l.Belief(one, 60, limiter.Guess{}, start), "as many as another host has")
	for range 6 {
		one.Seen() // Flows that go on here are seen one by one.
	}
	require.Equal(t, 40, l.Belief(one, 60, limiter.Guess{}, start).Sum(), "and counted once")
	require.Equal(t, 38, l.Belief(one, 60, limiter.Guess{}, start.Add(idle)).Sum(), "after the idle time it has seen all")
}

// Symptom: many openings meet full targets after a host of the zone has started again.
// Sequence: it tells that it holds nothing. Cause: the flows that it has forgotten are
// still at their targets.
func TestFlowsThatAHostHasForgottenCountOn(t *testing.T) {
	l := limiter.New("a0", start, idle)
	one := l.Target(1)
	now := start.Add(idle)
	l.Take("a1", limiter.Word{Incarnation: 1, Near: true, Flows: map[uint32]uint16{1: 10}}, now)
	l.Take("a1", limiter.Word{Incarnation: 2, Near: true, Flows: map[uint32]uint16{1: 0}}, now)
	require.Equal(t, 10, l.Belief(one, 40, limiter.Guess{}, now).Sum())
	l.Sweep(now.Add(idle / 2))
	require.Equal(t, 5, l.Belief(one, 40, limiter.Guess{}, now.Add(idle/2)).Sum(), "half of them have ended or shown up")
	l.Take("a1", limiter.Word{Incarnation: 2, Near: true, Flows: map[uint32]uint16{1: 7}}, now.Add(idle/2))
	require.Equal(t, 7, l.Belief(one, 40, limiter.Guess{}, now.Add(idle/2)).Sum())
}

// Symptom: a zone's targets keep places free for a host that is gone. Sequence: a host
// dies; its callers go on through others, which tell of their flows. Cause: what it told
// last counts for good.
func TestFlowsOfAHostThatIsGoneEnd(t *testing.T) {
	l := limiter.New("a0", start, idle)
	one := l.Target(1)
	l.Take("a1", limiter.Word{Incarnation: 1, Near: true, Flows: map[uint32]uint16{1: 10}}, start)
	l.Take("b1", limiter.Word{Incarnation: 1, Flows: map[uint32]uint16{1: 5}}, start)
	for now := start; now < start.Add(idle+2*time.Second); now = now.Add(time.Second) {
		l.Sweep(now)
	}
	require.Zero(t, l.Belief(one, 40, limiter.Guess{}, start.Add(idle+2*time.Second)).Sum())
}

// Symptom: the same full target is tried again by each opening. Sequence: hosts do not hear
// each other, so a target looks half empty and is full. Cause: what it has shown is
// forgotten at once.
func TestTargetThatIsFoundFullStaysSoUntilItsFlowsEnd(t *testing.T) {
	l := limiter.New("a0", start, idle)
	one := l.Target(1)
	for range 15 {
		one.Placed(start)
	}
	bound := limiter.Bound{Flows: 40}
	require.Equal(t, 25, l.Room(one, bound, limiter.Guess{}, start))
	l.Full(one, bound.Flows, limiter.Guess{}, start)
	require.Zero(t, l.Room(one, bound, limiter.Guess{}, start))
	one.Ended(start)
	require.Equal(t, 1, l.Room(one, bound, limiter.Guess{}, start), "a flow that ends leaves a place")
	require.Equal(t, 11, l.Room(one, bound, limiter.Guess{}, start.Add(idle*2/5)), "those unseen end, too")
}

func TestHostsThatTellNothingHoldWhatOthersDo(t *testing.T) {
	l := limiter.New("a0", start, idle)
	one := l.Target(1)
	one.Placed(start)
	one.Placed(start)
	l.SetNear(4)
	guess := limiter.Guess{PerHost: l.PerHost(20, 0, 10, 0)}
	require.Equal(t, limiter.Belief{Own: 2, Estimated: 8}, l.Belief(one, 40, guess, start.Add(idle)))
	l.Take("a1", limiter.Word{Incarnation: 1, Near: true, Flows: map[uint32]uint16{1: 1}}, start.Add(idle))
	l.SetNear(4)
	guess.PerHost = l.PerHost(20, 15, 10, 10)
	require.Equal(t, limiter.Belief{Own: 2, Told: 1, Estimated: 5}, l.Belief(one, 40, guess, start.Add(idle)))
}

// Load: flows that end within milliseconds, at a target that has one place left. They do
// not wait until it is the host's turn.
func TestBriefFlowsTakeNoTurns(t *testing.T) {
	l := limiter.New("a0", start, idle)
	l.SetNear(50)
	one := l.Target(1)
	bound := limiter.Bound{Flows: 5, Brief: true}
	for range 4 {
		one.Seen()
	}
	lasting, brief := 0, 0
	for n := range 100 {
		now := start.Add(time.Duration(n) * time.Second)
		if admits(l, one, 1, limiter.Bound{Flows: 5}, limiter.Guess{}, now) {
			lasting++
		}
		if admits(l, one, 1, bound, limiter.Guess{}, now) {
			brief++
		}
	}
	require.Equal(t, 100, brief)
	require.Less(t, lasting, 10, "one host of 51 has its turn")
	one.Placed(start)
	require.False(t, admits(l, one, 1, bound, limiter.Guess{}, start))
}

// world is a zone's hosts before some targets that hold a bounded number of flows. A
// message may be lost, a host may start again, and a target that is full says nothing.
type world struct {
	random  *rand.Rand
	now     timekeeper.Instant
	bound   int
	hosts   []*limiter.Limiter
	starts  []uint64
	targets int
	// lost is the part of the reports that get lost.
	lost float64
	// flows are the open ones: who placed each, and where.
	flows []placed
	held  []int
	// asked counts the openings, full how often one met a full target, late those that met
	// nothing else until their callers gave up.
	asked int
	full  int
	late  int
	// net is what each host had placed at its last looks, growth what it has placed since,
	// by target.
	net    map[*limiter.Limiter][]int
	growth map[*limiter.Limiter]float64
}

// sentOn is how often an opening packet is sent on.
const sentOn = 8

type placed struct {
	host, target int
	// life is the host's start since which it has seen the flow.
	life uint64
	// seen says that the host had forgotten it.
	seen bool
}

func newWorld(seed uint64, hosts, targets, bound int, lost float64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), now: start, bound: bound, targets: targets, lost: lost, held: make([]int, targets)}
	w.net, w.growth = map[*limiter.Limiter][]int{}, map[*limiter.Limiter]float64{}
	for range hosts {
		w.hosts = append(w.hosts, limiter.New(fmt.Sprint(len(w.hosts)), w.now, idle))
		w.starts = append(w.starts, 1)
	}
	return w
}

func (w *world) tags() []uint32 {
	tags := make([]uint32, w.targets)
	for i := range tags {
		tags[i] = uint32(i + 1)
	}
	return tags
}

// report lets a host tell three others, as it does each quarter of a second.
func (w *world) report(from int) {
	for range 3 {
		to := w.random.IntN(len(w.hosts))
		if to == from || w.random.Float64() < w.lost {
			continue
		}
		word := limiter.Word{Incarnation: w.starts[from], Near: true, Flows: w.hosts[from].Flows(w.tags())}
		if len(word.Flows) > 0 {
			w.hosts[to].Take(fmt.Sprint(from), word, w.now)
		}
	}
}

// open places a flow by one host's belief, at the target with the most room. A target that
// turns out to be full costs a round trip and a check; the opening is then sent on, a few
// times at most, before its caller gives up.
func (w *world) open(host int) {
	w.asked++
	for range 1 + sentOn {
		target := w.choose(host)
		if target < 0 {
			return // Refused at once.
		}
		l := w.hosts[host]
		one := l.Target(uint32(target + 1))
		if w.held[target] < w.bound {
			one.Placed(w.now)
			w.held[target]++
			w.flows = append(w.flows, placed{host: host, target: target, life: w.starts[host]})
			return
		}
		w.full++
		l.Full(one, w.bound, w.guess(l), w.now)
	}
	w.late++
}

// choose picks the target with the most room by one host's belief; -1 if none has any.
func (w *world) choose(host int) int {
	l := w.hosts[host]
	l.SetNear(len(w.hosts) - 1)
	guess, bound := w.guess(l), limiter.Bound{Flows: w.bound, Reserved: 1}
	best, most := -1, 0
	for _, i := range w.random.Perm(w.targets) {
		tag := uint32(i + 1)
		if room := l.Room(l.Target(tag), bound, guess, w.now); room > most && admits(l, l.Target(tag), tag, bound, guess, w.now) {
			best, most = i, room
		}
	}
	return best
}

func (w *world) guess(l *limiter.Limiter) limiter.Guess {
	own, told, tellers := 0, 0, 0
	for _, tag := range w.tags() {
		own += l.Target(tag).Own()
		told += l.Target(tag).Told()
		tellers += l.Tellers(l.Target(tag))
	}
	return limiter.Guess{PerHost: l.PerHost(own, told, w.targets, tellers), Growth: w.growth[l]}
}

// end lets a flow end, after its host has seen it again if that has forgotten it.
func (w *world) end(at int) {
	f := w.flows[at]
	w.flows = slices.Delete(w.flows, at, at+1)
	w.held[f.target]--
	if f.life != w.starts[f.host] {
		return
	}
	one := w.hosts[f.host].Target(uint32(f.target + 1))
	if f.seen {
		one.Left(w.now)
	} else {
		one.Ended(w.now)
	}
}

// show lets a flow send something, so that its host counts it again.
func (w *world) show(at int) {
	f := &w.flows[at]
	if f.life != w.starts[f.host] {
		f.life = w.starts[f.host]
		f.seen = true
		w.hosts[f.host].Target(uint32(f.target + 1)).Seen()
	}
}

// restart lets a host start again with nothing.
func (w *world) restart(host int) {
	w.starts[host]++
	w.hosts[host] = limiter.New(fmt.Sprint(host), w.now, idle)
}

// run lets some seconds pass, with so many openings a second over all hosts. Each flow
// sends something every three seconds, and one in fifteen ends in a second.
func (w *world) run(seconds, perSecond int) {
	for range seconds * 4 {
		w.now = w.now.Add(250 * time.Millisecond)
		for host := range w.hosts {
			w.report(host)
			w.hosts[host].Sweep(w.now)
			w.look(w.hosts[host])
		}
		for range perSecond / 4 {
			w.open(w.random.IntN(len(w.hosts)))
		}
		for at := len(w.flows) - 1; at >= 0; at-- {
			switch p := w.random.Float64(); {
			case p < 1.0/60:
				w.end(at)
			case p < 1.0/12:
				w.show(at)
			}
		}
	}
}

// look works out by how much a host's flows have grown within half a second.
func (w *world) look(l *limiter.Limiter) {
	sum := 0
	for _, tag := range w.tags() {
		sum += l.Target(tag).Net()
	}
	looks := append(w.net[l], sum)
	looks = looks[max(len(looks)-3, 0):]
	w.net[l] = looks
	w.growth[l] = float64(max(sum-looks[0], 0)) / float64(w.targets)
}

// spread is the least and the most that a target holds.
func (w *world) spread() (least, most int) { return slices.Min(w.held), slices.Max(w.held) }

// Load: as many flows as fill three quarters of all places. Twelve hosts that hear each
// other every second or so keep their targets even, so that none fills up.
func TestFlowsThatFitAreSpreadEvenly(t *testing.T) {
	w := newWorld(1, 12, 40, 40, 0)
	w.run(40, 80)
	least, most := w.spread()
	t.Logf("%d of %d openings met a full target, targets hold %d to %d", w.full, w.asked, least, most)
	require.Zero(t, w.full)
	require.Less(t, most, 38)
	require.Greater(t, least, 22)
}

// Load: a herd that asks for twice of all places within two seconds, before anybody has
// told anything. What is full is met by few.
func TestHerdIsTurnedAwayInTime(t *testing.T) {
	w := newWorld(2, 12, 40, 40, 0)
	w.run(2, 1600)
	t.Logf("%d of %d openings met a full target", w.full, w.asked)
	require.Less(t, w.full, w.asked/10)
	require.Zero(t, w.late)
	require.Greater(t, len(w.flows), 40*40*9/10, "and places are used")
}

// Load: more is asked for than fits, for a minute, while every host starts again once.
// What hosts have forgotten still holds its places.
func TestRestartsUnderLoadMeetFewFullTargets(t *testing.T) {
	w := newWorld(3, 12, 40, 40, 0)
	w.run(20, 200)
	for host := range w.hosts {
		w.restart(host)
		w.run(3, 200)
	}
	t.Logf("%d of %d openings met a full target, %d nothing else, %d of %d places used", w.full, w.asked, w.late, len(w.flows), 40*40)
	require.Zero(t, w.late)
	require.Greater(t, len(w.flows), 40*40*9/10)
}

// Load: hosts that hear nothing of each other. They share by what is even, and find out by
// targets that are full.
func TestHostsThatDoNotHearEachOtherStayWithinTheBound(t *testing.T) {
	w := newWorld(4, 12, 40, 40, 1)
	w.run(40, 200)
	t.Logf("%d of %d openings met a full target, %d of %d places used", w.full, w.asked, len(w.flows), 40*40)
	require.Less(t, w.full, w.asked/10)
	require.Zero(t, w.late)
	require.Greater(t, len(w.flows), 40*40*3/4)
}

// Over hosts, targets, lost reports and restarts, with more asked for than fits: hardly an
// opening meets full targets only, nothing told counts twice or below zero, and places do
// not stay idle.
func TestBoundUnderLossAndRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(2, 12).Draw(t, "hosts")
		targets := rapid.IntRange(5, 12).Draw(t, "targets")
		bound := rapid.IntRange(10, 40).Draw(t, "bound")
		w := newWorld(rapid.Uint64().Draw(t, "seed"), hosts, targets, bound, rapid.Float64Range(0, 0.5).Draw(t, "lost"))
		perSecond := max(targets*bound/5, 8)
		w.run(15, perSecond)
		for range rapid.IntRange(0, 4).Draw(t, "restarts") {
			w.restart(rapid.IntRange(0, hosts-1).Draw(t, "host"))
			w.run(2, perSecond)
		}
		for _, l := range w.hosts {
			for _, tag := range w.tags() {
				require.GreaterOrEqual(t, l.Target(tag).Told(), 0)
				require.LessOrEqual(t, l.Target(tag).Own(), bound)
			}
		}
		require.LessOrEqual(t, w.late, w.asked/100)
		require.Greater(t, len(w.flows), targets*bound*3/5)
	})
}

// A host is not heard for five seconds (a cut, no restart); then it says that its flows
// have ended. The limiter goes on to count them.
func TestWordAfterASilenceCounts(t *testing.T) {
	l := limiter.New("a0", start, idle)
	l.SetNear(1)
	l.Take("a1", limiter.Word{Incarnation: 1, Near: true, Flows: map[uint32]uint16{1: 30}}, start)
	now := start.Add(5 * time.Second)
	l.Sweep(now)
	l.Take("a1", limiter.Word{Incarnation: 1, Near: true, Flows: map[uint32]uint16{1: 0}}, now)
	require.Zero(t, l.Target(1).Told())
	require.Equal(t, 1, l.Tellers(l.Target(1)))
}

// A host ends; another takes its name's place. For idle time both count as hosts.
func TestDeadHostsAreNoTellers(t *testing.T) {
	l := limiter.New("a0", start, 10*time.Minute)
	l.Take("a1", limiter.Word{Incarnation: 1, Near: true, Flows: map[uint32]uint16{1: 10}}, start)
	now := start.Add(30 * time.Second)
	l.Sweep(now)
	l.SetNear(1) // a2 lives, and has told nothing; a1 has ended.
	b := l.Belief(l.Target(2), 100, limiter.Guess{PerHost: 10}, now)
	require.Equal(t, 10, b.Estimated, "a2 holds about as many as others")
}

// 1,200 targets of a zone, 100 hosts with two flows at each; each report has room for 120
// targets. What a host has not told of yet counts as nothing, as soon as it has told of any.
func TestPartialWordIsNoWordOfAllTargets(t *testing.T) {
	l := limiter.New("a0", start, idle)
	l.SetNear(99)
	flows := map[uint32]uint16{}
	for tag := range uint32(120) {
		flows[tag+1] = 2
	}
	for n := range 99 {
		l.Take(string(rune('A'+n)), limiter.Word{Incarnation: 1, Near: true, Flows: flows, Partial: true}, start)
	}
	l.SetNear(99)
	told, tellers := l.Target(1).Told()*120, l.Tellers(l.Target(1))*120
	require.Zero(t, l.Tellers(l.Target(600)))
	b := l.Belief(l.Target(600), 400, limiter.Guess{PerHost: l.PerHost(0, told, 1200, tellers)}, start)
	require.Greater(t, b.Sum(), 100, "some 200 are there")
}

// A host of 100 in a zone is heard each 8 s or so: 12 reports a second go to 99 hosts. Its
// 30 flows stay; half of them are taken to have ended before it is heard again.
func TestHostOfALargeZoneIsNotSilentBetweenItsReports(t *testing.T) {
	l := limiter.New("a0", start, idle)
	l.SetNear(99)
	l.Take("a1", limiter.Word{Incarnation: 1, Near: true, Flows: map[uint32]uint16{1: 30}}, start)
	now := start
	for range 32 {
		now = now.Add(250 * time.Millisecond)
		l.Sweep(now)
	}
	require.Equal(t, 30, l.Target(1).Told())
}

// Over words of all and of some targets, silences, starts and ends: what counts for each
// target is what its hosts tell.
func TestTellersAreCountedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limiter.New("a0", start, idle)
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "millis")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				l.Sweep(now)
			case 1:
				l.Forget(rapid.Uint32Range(1, 3).Draw(t, "forgotten"))
			default:
				word := limiter.Word{Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation"), Near: true, Partial: rapid.Bool().Draw(t, "partial")}
				word.Flows = rapid.MapOf(rapid.Uint32Range(1, 3), rapid.Uint16Max(5)).Draw(t, "flows")
				l.Take(rapid.SampledFrom([]string{"a1", "a2", "a3"}).Draw(t, "host"), word, now)
			}
			for tag := range uint32(4) {
				require.GreaterOrEqual(t, l.Tellers(l.Target(tag)), 0)
				require.LessOrEqual(t, l.Tellers(l.Target(tag)), 3)
			}
		}
		l.Sweep(now.Add(2 * idle))
		for tag := range uint32(4) {
			require.Zero(t, l.Tellers(l.Target(tag)))
			require.Zero(t, l.Target(tag).Told())
		}
	})
}

// Symptom: hosts go for places that nobody has left. Sequence: flows wait at a target that turns
// out to be full, and are taken back. Cause: each counts as one that has left its place.
func TestFlowsThatNeverOpenedLeaveNoPlace(t *testing.T) {
	l := limiter.New("a0", start, idle)
	l.SetNear(9)
	one := l.Target(1)
	for range 5 {
		one.Placed(start)
	}
	for range 5 {
		one.Withdrawn()
	}
	l.Full(one, 100, limiter.Guess{}, start)
	now := start.Add(900 * time.Millisecond)
	bound, admitted := limiter.Bound{Flows: 100}, 0
	require.Greater(t, l.Room(one, bound, limiter.Guess{}, now), 4)
	for admitted < 9 && admits(l, one, 1, bound, limiter.Guess{}, now) {
		one.Placed(now)
		admitted++
	}
	require.LessOrEqual(t, admitted, 1, "one each turn at most")
	require.Equal(t, admitted, one.Net())
}

// Symptom: a herd goes unnoticed. Sequence: flows that a host found open end while it places
// others. Cause: those that it never placed are taken from those that it has.
func TestFlowsFoundOpenAreNoGrowth(t *testing.T) {
	one := limiter.New("a0", start, idle).Target(1)
	one.Seen()
	one.Seen()
	one.Placed(start)
	one.Left(start)
	require.Equal(t, 1, one.Net())
	require.Equal(t, 2, one.Own())
	one.Ended(start)
	require.Zero(t, one.Net())
}

// Load: twenty hosts that know of the same five places left. Together they go for about as many
// in a turn, and all of them have their turns.
func TestHostsOfAZoneKeepToTheLastPlacesTogether(t *testing.T) {
	const hosts, room = 20, 5
	turns := map[int]int{}
	for turn := range 60 {
		now := start.Add(time.Duration(turn) * time.Second)
		admitted := 0
		for host := range hosts {
			l := limiter.New(fmt.Sprint("a", host), start, idle)
			l.SetNear(hosts - 1)
			l.Take("other", limiter.Word{Incarnation: 1, Near: true, Flows: map[uint32]uint16{1: 15}}, now)
			one := l.Target(1)
			one.Seen()
			for admits(l, one, 1, limiter.Bound{Flows: 16 + room}, limiter.Guess{}, now.Add(idle)) {
				one.Placed(now.Add(idle))
				admitted++
				turns[host]++
			}
		}
		require.LessOrEqual(t, admitted, 3*room, "in turn %d", turn)
	}
	sum := 0
	for _, n := range turns {
		sum += n
	}
	require.Len(t, turns, hosts)
	require.InDelta(t, 60*room, sum, 60)
}
