package pacer_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"cranberryspan.dev/core/pacer"
	"cranberryspan.dev/core/timekeeper"
	"github.com/stretchr/testify/require"
)

// site is three hosts before four targets, stepped by the millisecond. Each target
// works in three slots, queues twelve requests and sheds what comes beyond. Two kinds
// of requests come to each host: feeds, in flows that stay at their target and carry one
// request at a time, and checks, in a flow each. A new flow goes to the target that the
// host believes the least busy; one for a feed is refused while feeds wait there.
type site struct {
	random  *rand.Rand
	paced   bool
	now     timekeeper.Instant
	hosts   [3]*simHost
	targets [4]*simTarget
	served  map[string]int
	inTime  map[string]int
	asked   map[string]int
	refused int
	longest time.Duration
}

type simHost struct {
	load     pacer.Load
	lines    [4]pacer.Line[*job]
	underWay int
	busy     [4]int
	// idle lists the targets of the open flows that carry no request.
	idle []int
}

type simTarget struct {
	running []*job
	queue   []*job
}

type job struct {
	kind    kind
	host    int
	target  int
	arrived timekeeper.Instant
	passed  timekeeper.Instant
	ends    timekeeper.Instant
}

type kind struct {
	name      string
	work      time.Duration
	objective time.Duration
	timeout   time.Duration
	held      bool
}

const (
	slots  = 3
	queued = 12
	millis = time.Millisecond
)

var (
	feeds  = kind{"feed", 55 * millis, 250 * millis, 2500 * millis, true}
	checks = kind{"check", 72 * millis, 300 * millis, 3000 * millis, false}
)

func newSite(seed uint64, paced bool) *site {
	s := &site{random: rand.New(rand.NewPCG(seed, 1)), paced: paced, served: map[string]int{}, inTime: map[string]int{}, asked: map[string]int{}}
	for i := range s.hosts {
		s.hosts[i] = &simHost{}
	}
	for i := range s.targets {
		s.targets[i] = &simTarget{}
	}
	return s
}

// run lets requests of both kinds come at a rate a second, all hosts together.
func (s *site) run(d time.Duration, feedRate, checkRate float64) {
	for end := s.now.Add(d); s.now < end; s.now = s.now.Add(millis) {
		for range s.poisson(feedRate / 1000) {
			s.askFeed(s.random.IntN(len(s.hosts)))
		}
		for range s.poisson(checkRate / 1000) {
			host := s.random.IntN(len(s.hosts))
			s.ask(checks, host, s.leastBusy(host))
		}
		for _, t := range s.targets {
			s.work(t)
		}
		if s.now%timekeeper.Instant(50*millis) == 0 {
			s.tick()
		}
	}
}

func (s *site) poisson(mean float64) int {
	n := 0
	for limit, p := math.Exp(-mean), s.random.Float64(); p > limit; p *= s.random.Float64() {
		n++
	}
	return n
}

func (s *site) leastBusy(host int) int {
	best := 0
	for i, busy := range s.hosts[host].busy {
		if busy < s.hosts[host].busy[best] {
			best = i
		}
	}
	return best
}

// askFeed uses an open flow, or opens one if all carry a request.
func (s *site) askFeed(host int) {
	h := s.hosts[host]
	if len(h.idle) > 0 {
		at := s.random.IntN(len(h.idle))
		target := h.idle[at]
		h.idle = append(h.idle[:at], h.idle[at+1:]...)
		s.ask(feeds, host, target)
		return
	}
	waiting := 0
	for i := range h.lines {
		waiting += h.lines[i].Len()
	}
	if s.paced && h.load.Pressed() && waiting > 0 {
		s.asked[feeds.name]++
		s.refused++
		return
	}
	s.ask(feeds, host, s.leastBusy(host))
}

func (s *site) ask(k kind, host, target int) {
	s.asked[k.name]++
	h, j := s.hosts[host], &job{kind: k, host: host, target: target, arrived: s.now}
	waits := h.load.Pressed() && (h.lines[target].Len() > 0 || !h.load.Room(h.underWay))
	if s.paced && k.held && waits {
		h.lines[target].Add(j, s.now, pacer.Limits{Usual: k.work, Objective: k.objective, Timeout: k.timeout})
		return
	}
	s.pass(j)
}

func (s *site) pass(j *job) {
	h, t := s.hosts[j.host], s.targets[j.target]
	s.longest = max(s.longest, s.now.Since(j.arrived))
	j.passed = s.now
	if len(t.running)+len(t.queue) >= slots+queued {
		return // It is shed.
	}
	h.underWay++
	h.busy[j.target]++
	t.queue = append(t.queue, j)
}

// work ends what is done and begins what waits. Work spreads from half to one and a
// half times the mean.
func (s *site) work(t *simTarget) {
	for i := 0; i < len(t.running); {
		if j := t.running[i]; j.ends <= s.now {
			t.running = append(t.running[:i], t.running[i+1:]...)
			s.answer(j)
			continue
		}
		i++
	}
	for len(t.running) < slots && len(t.queue) > 0 {
		j := t.queue[0]
		t.queue = t.queue[1:]
		j.ends = s.now.Add(time.Duration((0.5 + s.random.Float64()) * float64(j.kind.work)))
		t.running = append(t.running, j)
	}
}

func (s *site) answer(j *job) {
	h := s.hosts[j.host]
	s.served[j.kind.name]++
	if s.now.Since(j.arrived) <= j.kind.objective {
		s.inTime[j.kind.name]++
	}
	h.load.Answered(pacer.Answer{
		Took: s.now.Since(j.passed), Held: j.passed.Since(j.arrived), Usual: j.kind.work, Objective: j.kind.objective, UnderWay: h.underWay,
	})
	h.underWay--
	h.busy[j.target]--
	if j.kind.held {
		h.idle = append(h.idle, j.target)
	}
	s.passOn(h)
}

func (s *site) passOn(h *simHost) {
	for {
		passed := false
		for i := range h.lines {
			if j, ok := h.lines[i].Next(s.now, h.busy[i] < 1); ok && h.load.Room(h.underWay) {
				h.lines[i].Remove(j)
				s.pass(j)
				passed = true
			}
		}
		if !passed {
			return
		}
	}
}

func (s *site) tick() {
	for _, h := range s.hosts {
		for i := range h.lines {
			for j, due := h.lines[i].Overdue(s.now); due; j, due = h.lines[i].Overdue(s.now) {
				h.lines[i].Remove(j)
				s.pass(j)
			}
		}
		s.passOn(h)
	}
}

// share is the part of the requests of a kind that were answered in time.
func (s *site) share(k kind) float64 { return float64(s.inTime[k.name]) / float64(s.asked[k.name]) }

// The rates at which twelve slots are half busy.
const (
	usualFeeds  = 84.0
	usualChecks = 24.0
)

// Symptom: in a crowd every answer is late, those of urgent checks too. Sequence: three
// times the usual requests come for six seconds, one and a half times what the targets
// can do. Cause: targets' queues are full, and what can't be in time any more takes the
// place of what can.
//
// The limit is what slots can do: all checks in time, and the half of the feeds for
// which slots are left.
func TestCrowdFindsShortQueues(t *testing.T) {
	for seed := range uint64(5) {
		before, after := newSite(seed, false), newSite(seed, true)
		for _, s := range []*site{before, after} {
			s.run(3*time.Second, usualFeeds, usualChecks)
			clear(s.asked)
			clear(s.inTime)
			s.run(6*time.Second, 3*usualFeeds, 3*usualChecks)
		}
		t.Logf("seed %d: checks in time %.2f without, %.2f with; feeds %.2f, %.2f; longest wait %s",
			seed, before.share(checks), after.share(checks), before.share(feeds), after.share(feeds), after.longest)
		require.Less(t, before.share(checks), 0.5)
		require.Greater(t, after.share(checks), 0.8)
		require.Greater(t, after.share(feeds), before.share(feeds))
		require.Greater(t, 2*after.share(checks)+after.share(feeds), 1.5*(2*before.share(checks)+before.share(feeds)))
		require.NotZero(t, after.refused)
		require.Less(t, after.longest, feeds.timeout/2, "less than half of the time that callers have")
	}
}

// Symptom: callers wait although targets have room. Sequence: the usual requests come,
// then a crowd, then the usual ones again. Cause: a bound that holds without need, or
// that stays after its reason has gone.
func TestUsualLoadDoesNotWait(t *testing.T) {
	for seed := range uint64(5) {
		s := newSite(seed, true)
		s.run(10*time.Second, usualFeeds, usualChecks)
		require.Zero(t, s.longest, "nothing waits at a host")
		usual := s.share(feeds)
		s.run(4*time.Second, 3*usualFeeds, 3*usualChecks)
		s.run(4*time.Second, usualFeeds, usualChecks)
		clear(s.asked)
		clear(s.inTime)
		s.longest = 0
		s.run(5*time.Second, usualFeeds, usualChecks)
		require.Zero(t, s.longest, "four seconds after the crowd nothing waits")
		for _, h := range s.hosts {
			require.False(t, h.load.Pressed(), "and quick answers may mean failures again")
		}
		require.Greater(t, s.share(feeds), usual-0.01)
		require.Greater(t, usual, 0.97)
	}
}

// Symptom: one kind of requests is shut out. Sequence: a crowd of checks takes nearly
// every slot for six seconds. Cause: feeds that wait for room that never comes.
func TestNoKindIsShutOut(t *testing.T) {
	s := newSite(1, true)
	s.run(3*time.Second, usualFeeds, usualChecks)
	clear(s.asked)
	clear(s.served)
	s.run(6*time.Second, usualFeeds, 6*usualChecks)
	s.run(time.Second, usualFeeds, usualChecks)
	t.Logf("feeds: %d asked, %d refused, %d served", s.asked["feed"], s.refused, s.served["feed"])
	require.Greater(t, s.served["feed"], s.asked["feed"]/3, "slots are left for a third")
	require.Greater(t, s.served["feed"], (s.asked["feed"]-s.refused)*9/10, "what was taken is served")
}
