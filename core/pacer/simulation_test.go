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

// simulation is three hosts and four targets, in steps of a millisecond. Each target has three
// slots, queues twelve requests and sheds any beyond. Each host receives two kinds of requests:
// feeds, in flows that stay at their target and carry one request at a time, and checks, with one
// flow per request. A new flow goes to the target with the fewest requests in flight from the host;
// a new flow for a feed is refused while feeds are queued at the host.
type simulation struct {
	random        *rand.Rand
	pacingEnabled bool
	now           timekeeper.Instant
	hosts         [3]*simHost
	targets       [4]*simTarget
	served        map[string]int
	onTime        map[string]int
	requested     map[string]int
	refused       int
	maxQueueDelay time.Duration
}

type simHost struct {
	load             pacer.Load
	queues           [4]pacer.Queue[*job]
	inFlight         int
	inFlightByTarget [4]int
	// idleFlowTargets lists the targets of the open flows that carry no request.
	idleFlowTargets []int
}

type simTarget struct {
	running []*job
	queue   []*job
}

type job struct {
	kind        kind
	host        int
	target      int
	arrivedAt   timekeeper.Instant
	forwardedAt timekeeper.Instant
	endsAt      timekeeper.Instant
}

type kind struct {
	name           string
	meanWork       time.Duration
	objective      time.Duration
	timeout        time.Duration
	persistentFlow bool
}

const (
	slots     = 3
	maxQueued = 12
	millis    = time.Millisecond
)

var (
	feeds  = kind{"feed", 55 * millis, 250 * millis, 2500 * millis, true}
	checks = kind{"check", 72 * millis, 300 * millis, 3000 * millis, false}
)

func newSimulation(seed uint64, pacingEnabled bool) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), pacingEnabled: pacingEnabled, served: map[string]int{}, onTime: map[string]int{}, requested: map[string]int{}}
	for i := range s.hosts {
		s.hosts[i] = &simHost{}
	}
	for i := range s.targets {
		s.targets[i] = &simTarget{}
	}
	return s
}

// run advances the simulation, with the given total rates of both kinds of requests per second.
func (s *simulation) run(d time.Duration, feedRate, checkRate float64) {
	for end := s.now.Add(d); s.now < end; s.now = s.now.Add(millis) {
		for range s.poisson(feedRate / 1000) {
			s.requestFeed(s.random.IntN(len(s.hosts)))
		}
		for range s.poisson(checkRate / 1000) {
			host := s.random.IntN(len(s.hosts))
			s.request(checks, host, s.leastLoaded(host))
		}
		for _, t := range s.targets {
			s.stepTarget(t)
		}
		if s.now%timekeeper.Instant(50*millis) == 0 {
			s.tick()
		}
	}
}

// poisson returns a random number from a Poisson distribution with the given mean, by Knuth's
// method.
func (s *simulation) poisson(mean float64) int {
	n := 0
	for limit, p := math.Exp(-mean), s.random.Float64(); p > limit; p *= s.random.Float64() {
		n++
	}
	return n
}

func (s *simulation) leastLoaded(host int) int {
	best := 0
	for i, inFlight := range s.hosts[host].inFlightByTarget {
		if inFlight < s.hosts[host].inFlightByTarget[best] {
			best = i
		}
	}
	return best
}

// requestFeed sends a feed in an open flow, or in a new one if all open flows carry a request.
func (s *simulation) requestFeed(host int) {
	h := s.hosts[host]
	if len(h.idleFlowTargets) > 0 {
		at := s.random.IntN(len(h.idleFlowTargets))
		target := h.idleFlowTargets[at]
		h.idleFlowTargets = append(h.idleFlowTargets[:at], h.idleFlowTargets[at+1:]...)
		s.request(feeds, host, target)
		return
	}
	waiting := 0
	for i := range h.queues {
		waiting += h.queues[i].Len()
	}
	if s.pacingEnabled && h.load.Congested() && waiting > 0 {
		s.requested[feeds.name]++
		s.refused++
		return
	}
	s.request(feeds, host, s.leastLoaded(host))
}

func (s *simulation) request(k kind, host, target int) {
	s.requested[k.name]++
	h, j := s.hosts[host], &job{kind: k, host: host, target: target, arrivedAt: s.now}
	queued := h.load.Congested() && (h.queues[target].Len() > 0 || !h.load.HasCapacity(h.inFlight))
	if s.pacingEnabled && k.persistentFlow && queued {
		h.queues[target].Add(j, s.now, pacer.RouteParams{BaselineLatency: k.meanWork, Objective: k.objective, Timeout: k.timeout})
		return
	}
	s.forward(j)
}

func (s *simulation) forward(j *job) {
	h, t := s.hosts[j.host], s.targets[j.target]
	s.maxQueueDelay = max(s.maxQueueDelay, s.now.Since(j.arrivedAt))
	j.forwardedAt = s.now
	if len(t.running)+len(t.queue) >= slots+maxQueued {
		return // Shed by the target.
	}
	h.inFlight++
	h.inFlightByTarget[j.target]++
	t.queue = append(t.queue, j)
}

// stepTarget completes finished requests and starts queued ones. Processing times are uniformly
// distributed from half to one and a half times the mean.
func (s *simulation) stepTarget(t *simTarget) {
	for i := 0; i < len(t.running); {
		if j := t.running[i]; j.endsAt <= s.now {
			t.running = append(t.running[:i], t.running[i+1:]...)
			s.complete(j)
			continue
		}
		i++
	}
	for len(t.running) < slots && len(t.queue) > 0 {
		j := t.queue[0]
		t.queue = t.queue[1:]
		j.endsAt = s.now.Add(time.Duration((0.5 + s.random.Float64()) * float64(j.kind.meanWork)))
		t.running = append(t.running, j)
	}
}

func (s *simulation) complete(j *job) {
	h := s.hosts[j.host]
	s.served[j.kind.name]++
	if s.now.Since(j.arrivedAt) <= j.kind.objective {
		s.onTime[j.kind.name]++
	}
	h.load.RecordResponse(pacer.Response{
		Latency: s.now.Since(j.forwardedAt), QueueDelay: j.forwardedAt.Since(j.arrivedAt), BaselineLatency: j.kind.meanWork, Objective: j.kind.objective, InFlight: h.inFlight,
	})
	h.inFlight--
	h.inFlightByTarget[j.target]--
	if j.kind.persistentFlow {
		h.idleFlowTargets = append(h.idleFlowTargets, j.target)
	}
	s.forwardQueued(h)
}

// forwardQueued forwards the queued requests of a host while its window has capacity. A target is
// taken to have free slots if the host has no request in flight there.
func (s *simulation) forwardQueued(h *simHost) {
	for {
		forwarded := false
		for i := range h.queues {
			if j, ok := h.queues[i].Next(s.now, h.inFlightByTarget[i] < 1); ok && h.load.HasCapacity(h.inFlight) {
				h.queues[i].Remove(j)
				s.forward(j)
				forwarded = true
			}
		}
		if !forwarded {
			return
		}
	}
}

func (s *simulation) tick() {
	for _, h := range s.hosts {
		for i := range h.queues {
			for j, due := h.queues[i].Overdue(s.now); due; j, due = h.queues[i].Overdue(s.now) {
				h.queues[i].Remove(j)
				s.forward(j)
			}
		}
		s.forwardQueued(h)
	}
}

// onTimeRatio returns the fraction of the requests of a kind whose response was on time.
func (s *simulation) onTimeRatio(k kind) float64 {
	return float64(s.onTime[k.name]) / float64(s.requested[k.name])
}

// Request rates per second at which half of the twelve slots are occupied.
const (
	normalFeedRate  = 84.0
	normalCheckRate = 24.0
)

// Guards against late responses to all requests in a load peak, urgent checks included: when three
// times the normal requests arrive for six seconds, one and a half times what the targets can
// serve, the queues of targets are full, and requests that can no longer be on time take the slots
// of those that can.
//
// The slots suffice for all checks on time, and for half of the feeds.
func TestPacingKeepsUrgentRequestsOnTimeInSurge(t *testing.T) {
	for seed := range uint64(5) {
		unpaced, paced := newSimulation(seed, false), newSimulation(seed, true)
		for _, s := range []*simulation{unpaced, paced} {
			s.run(3*time.Second, normalFeedRate, normalCheckRate)
			clear(s.requested)
			clear(s.onTime)
			s.run(6*time.Second, 3*normalFeedRate, 3*normalCheckRate)
		}
		t.Logf("seed %d: checks in time %.2f without, %.2f with; feeds %.2f, %.2f; longest wait %s",
			seed, unpaced.onTimeRatio(checks), paced.onTimeRatio(checks), unpaced.onTimeRatio(feeds), paced.onTimeRatio(feeds), paced.maxQueueDelay)
		require.Less(t, unpaced.onTimeRatio(checks), 0.5)
		require.Greater(t, paced.onTimeRatio(checks), 0.8)
		require.Greater(t, paced.onTimeRatio(feeds), unpaced.onTimeRatio(feeds))
		require.Greater(t, 2*paced.onTimeRatio(checks)+paced.onTimeRatio(feeds), 1.5*(2*unpaced.onTimeRatio(checks)+unpaced.onTimeRatio(feeds)))
		require.NotZero(t, paced.refused)
		require.Less(t, paced.maxQueueDelay, feeds.timeout/2, "less than half of the time that callers have")
	}
}

// Guards against callers that wait although targets have capacity: under normal load, and under
// normal load after a load peak, when the limit applies without congestion or stays in force after
// congestion has ended.
func TestNormalLoadIsNotQueued(t *testing.T) {
	for seed := range uint64(5) {
		s := newSimulation(seed, true)
		s.run(10*time.Second, normalFeedRate, normalCheckRate)
		require.Zero(t, s.maxQueueDelay, "nothing waits at a host")
		normalRatio := s.onTimeRatio(feeds)
		s.run(4*time.Second, 3*normalFeedRate, 3*normalCheckRate)
		s.run(4*time.Second, normalFeedRate, normalCheckRate)
		clear(s.requested)
		clear(s.onTime)
		s.maxQueueDelay = 0
		s.run(5*time.Second, normalFeedRate, normalCheckRate)
		require.Zero(t, s.maxQueueDelay, "four seconds after the crowd nothing waits")
		for _, h := range s.hosts {
			require.False(t, h.load.Congested(), "and quick answers may mean failures again")
		}
		require.Greater(t, s.onTimeRatio(feeds), normalRatio-0.01)
		require.Greater(t, normalRatio, 0.97)
	}
}

// Guards against the starvation of one kind of requests: when a load peak of checks takes nearly
// every slot for six seconds, and feeds wait for capacity that never becomes available.
func TestNoRequestKindIsStarved(t *testing.T) {
	s := newSimulation(1, true)
	s.run(3*time.Second, normalFeedRate, normalCheckRate)
	clear(s.requested)
	clear(s.served)
	s.run(6*time.Second, normalFeedRate, 6*normalCheckRate)
	s.run(time.Second, normalFeedRate, normalCheckRate)
	t.Logf("feeds: %d asked, %d refused, %d served", s.requested["feed"], s.refused, s.served["feed"])
	require.Greater(t, s.served["feed"], s.requested["feed"]/3, "slots are left for a third")
	require.Greater(t, s.served["feed"], (s.requested["feed"]-s.refused)*9/10, "what was taken is served")
}
