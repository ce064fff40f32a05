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

// TestMain fixes the seed of rapid, so that CI gives the same result in each run.
func TestMain(m *testing.M) {
	seeded := slices.ContainsFunc(os.Args, func(arg string) bool { return strings.Contains(arg, "rapid.seed") })
	if !seeded {
		if err := flag.Set("rapid.seed", "20261203"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// admits reports whether a host may open one more flow to a target.
func admits(l *limiter.Limiter, t *limiter.TargetFlows, tag uint32, limit limiter.FlowLimit, estimate limiter.UnreportedEstimate, now timekeeper.Instant) bool {
	_, admits := l.Evaluate(t, tag, limit, estimate, now)
	return admits
}

func ExampleLimiter_Available() {
	l := limiter.New("a0", start, idle)
	t := l.Target(1)
	for range 3 {
		t.AddOpened(start)
	}
	l.ApplyReport("b1", limiter.Report{Incarnation: 1, SameZone: true, Flows: map[uint32]uint16{1: 5}}, start)
	now := start.Add(idle)
	fmt.Println(l.EstimateFlows(t, 10, limiter.UnreportedEstimate{}, now))
	fmt.Println(l.Available(t, limiter.FlowLimit{MaxFlows: 10, Reserved: 1}, limiter.UnreportedEstimate{}, now))
	// Output:
	// {3 5 0}
	// 1
}

// Guards against opening packets that wait at full targets: when a host restarts within a second,
// the flows of its callers stay open at the targets, and a host that counts only flows it has seen
// considers the targets empty.
func TestRestartedHostEstimatesForgottenFlows(t *testing.T) {
	l := limiter.New("a0", start, idle)
	target := l.Target(1)
	require.Zero(t, l.EstimateFlows(target, 40, limiter.UnreportedEstimate{}, start).Total())
	for n := range 4 {
		l.ApplyReport(fmt.Sprintf("a%d", n), limiter.Report{Incarnation: 1, SameZone: true, Flows: map[uint32]uint16{1: 8}}, start)
	}
	require.Equal(t, limiter.FlowEstimate{Reported: 32, Estimated: 8}, l.EstimateFlows(target, 60, limiter.UnreportedEstimate{}, start), "as many as another host has")
	for range 6 {
		target.AddDiscovered() // Open flows are discovered one by one as they send packets.
	}
	require.Equal(t, 40, l.EstimateFlows(target, 60, limiter.UnreportedEstimate{}, start).Total(), "and counted once")
	require.Equal(t, 38, l.EstimateFlows(target, 60, limiter.UnreportedEstimate{}, start.Add(idle)).Total(), "after the idle time it has seen all")
}

// Guards against many opening packets to full targets after another host of the zone has
// restarted: the host reports no flows, but those from before its restart are still open at their
// targets.
func TestFlowsForgottenByRestartedPeerStillCount(t *testing.T) {
	l := limiter.New("a0", start, idle)
	target := l.Target(1)
	now := start.Add(idle)
	l.ApplyReport("a1", limiter.Report{Incarnation: 1, SameZone: true, Flows: map[uint32]uint16{1: 10}}, now)
	l.ApplyReport("a1", limiter.Report{Incarnation: 2, SameZone: true, Flows: map[uint32]uint16{1: 0}}, now)
	require.Equal(t, 10, l.EstimateFlows(target, 40, limiter.UnreportedEstimate{}, now).Total())
	l.Sweep(now.Add(idle / 2))
	require.Equal(t, 5, l.EstimateFlows(target, 40, limiter.UnreportedEstimate{}, now.Add(idle/2)).Total(), "half of them have ended or shown up")
	l.ApplyReport("a1", limiter.Report{Incarnation: 2, SameZone: true, Flows: map[uint32]uint16{1: 7}}, now.Add(idle/2))
	require.Equal(t, 7, l.EstimateFlows(target, 40, limiter.UnreportedEstimate{}, now.Add(idle/2)).Total())
}

// Guards against connections that stay reserved for a host that has ended: when a host dies, the
// flows of its callers move to other hosts, which report them, while the last report of the dead
// host counts forever.
func TestFlowsOfDeadHostExpire(t *testing.T) {
	l := limiter.New("a0", start, idle)
	target := l.Target(1)
	l.ApplyReport("a1", limiter.Report{Incarnation: 1, SameZone: true, Flows: map[uint32]uint16{1: 10}}, start)
	l.ApplyReport("b1", limiter.Report{Incarnation: 1, Flows: map[uint32]uint16{1: 5}}, start)
	for now := start; now < start.Add(idle+2*time.Second); now = now.Add(time.Second) {
		l.Sweep(now)
	}
	require.Zero(t, l.EstimateFlows(target, 40, limiter.UnreportedEstimate{}, start.Add(idle+2*time.Second)).Total())
}

// Guards against repeated attempts at the same full target: when hosts receive no reports of each
// other, a full target looks half empty, and a host that doesn't remember that it is full sends
// each new flow there.
func TestFullTargetStaysFullUntilFlowsEnd(t *testing.T) {
	l := limiter.New("a0", start, idle)
	target := l.Target(1)
	for range 15 {
		target.AddOpened(start)
	}
	limit := limiter.FlowLimit{MaxFlows: 40}
	require.Equal(t, 25, l.Available(target, limit, limiter.UnreportedEstimate{}, start))
	l.MarkFull(target, limit.MaxFlows, limiter.UnreportedEstimate{}, start)
	require.Zero(t, l.Available(target, limit, limiter.UnreportedEstimate{}, start))
	target.RemoveOpened(start)
	require.Equal(t, 1, l.Available(target, limit, limiter.UnreportedEstimate{}, start), "a flow that ends leaves a place")
	require.Equal(t, 11, l.Available(target, limit, limiter.UnreportedEstimate{}, start.Add(idle*2/5)), "those unseen end, too")
}

func TestSilentPeersAreEstimatedFromReporters(t *testing.T) {
	l := limiter.New("a0", start, idle)
	target := l.Target(1)
	target.AddOpened(start)
	target.AddOpened(start)
	l.SetLivePeers(4)
	estimate := limiter.UnreportedEstimate{PerHost: l.PerHost(20, 0, 10, 0)}
	require.Equal(t, limiter.FlowEstimate{Local: 2, Estimated: 8}, l.EstimateFlows(target, 40, estimate, start.Add(idle)))
	l.ApplyReport("a1", limiter.Report{Incarnation: 1, SameZone: true, Flows: map[uint32]uint16{1: 1}}, start.Add(idle))
	l.SetLivePeers(4)
	estimate.PerHost = l.PerHost(20, 15, 10, 10)
	require.Equal(t, limiter.FlowEstimate{Local: 2, Reported: 1, Estimated: 5}, l.EstimateFlows(target, 40, estimate, start.Add(idle)))
}

// Guards against delays of flows that end within milliseconds: when a target has one free
// connection left, and such flows wait for a turn of their host.
func TestShortLivedFlowsBypassTurns(t *testing.T) {
	l := limiter.New("a0", start, idle)
	l.SetLivePeers(50)
	target := l.Target(1)
	limit := limiter.FlowLimit{MaxFlows: 5, ShortLived: true}
	for range 4 {
		target.AddDiscovered()
	}
	longLived, shortLived := 0, 0
	for n := range 100 {
		now := start.Add(time.Duration(n) * time.Second)
		if admits(l, target, 1, limiter.FlowLimit{MaxFlows: 5}, limiter.UnreportedEstimate{}, now) {
			longLived++
		}
		if admits(l, target, 1, limit, limiter.UnreportedEstimate{}, now) {
			shortLived++
		}
	}
	require.Equal(t, 100, shortLived)
	require.Less(t, longLived, 10, "one host of 51 has its turn")
	target.AddOpened(start)
	require.False(t, admits(l, target, 1, limit, limiter.UnreportedEstimate{}, start))
}

// simulation is the hosts of a zone and some targets with a connection limit. Reports may be lost,
// hosts may restart, and a full target doesn't respond to opening packets.
type simulation struct {
	random       *rand.Rand
	now          timekeeper.Instant
	maxFlows     int
	hosts        []*limiter.Limiter
	incarnations []uint64
	targets      int
	// lossRate is the fraction of reports that are lost.
	lossRate      float64
	flows         []simFlow
	flowsByTarget []int
	// attempts counts new flows, fullTargetHits how often one was sent to a full target,
	// exhausted those that were sent only to full targets until their callers gave up.
	attempts       int
	fullTargetHits int
	exhausted      int
	// netOpened is the net number of flows opened by each host at its last measurements, growth
	// the mean increase per target since the oldest of them.
	netOpened map[*limiter.Limiter][]int
	growth    map[*limiter.Limiter]float64
}

// maxRedispatches is the maximum number of redispatches of an opening packet.
const maxRedispatches = 8

type simFlow struct {
	host, target int
	// incarnation is the incarnation of the host that last saw the flow.
	incarnation uint64
	// discovered says that the host saw the flow only after a restart.
	discovered bool
}

func newSimulation(seed uint64, hosts, targets, maxFlows int, lossRate float64) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), now: start, maxFlows: maxFlows, targets: targets, lossRate: lossRate, flowsByTarget: make([]int, targets)}
	s.netOpened, s.growth = map[*limiter.Limiter][]int{}, map[*limiter.Limiter]float64{}
	for range hosts {
		s.hosts = append(s.hosts, limiter.New(fmt.Sprint(len(s.hosts)), s.now, idle))
		s.incarnations = append(s.incarnations, 1)
	}
	return s
}

func (s *simulation) tags() []uint32 {
	tags := make([]uint32, s.targets)
	for i := range tags {
		tags[i] = uint32(i + 1)
	}
	return tags
}

// report sends a host's report to up to three others, as happens every quarter of a second.
func (s *simulation) report(from int) {
	for range 3 {
		to := s.random.IntN(len(s.hosts))
		if to == from || s.random.Float64() < s.lossRate {
			continue
		}
		report := limiter.Report{Incarnation: s.incarnations[from], SameZone: true, Flows: s.hosts[from].LocalFlows(s.tags())}
		if len(report.Flows) > 0 {
			s.hosts[to].ApplyReport(fmt.Sprint(from), report, s.now)
		}
	}
}

// openFlow opens a flow from one host to the target with the most available connections by the
// host's estimate. A target that turns out to be full costs a round trip and a probe; the opening
// packet is then redispatched, a few times at most, before its caller gives up.
func (s *simulation) openFlow(host int) {
	s.attempts++
	for range 1 + maxRedispatches {
		target := s.chooseTarget(host)
		if target < 0 {
			return // Refused immediately.
		}
		l := s.hosts[host]
		flows := l.Target(uint32(target + 1))
		if s.flowsByTarget[target] < s.maxFlows {
			flows.AddOpened(s.now)
			s.flowsByTarget[target]++
			s.flows = append(s.flows, simFlow{host: host, target: target, incarnation: s.incarnations[host]})
			return
		}
		s.fullTargetHits++
		l.MarkFull(flows, s.maxFlows, s.unreportedEstimate(l), s.now)
	}
	s.exhausted++
}

// chooseTarget returns the target with the most available connections by one host's estimate; -1 if
// none has any.
func (s *simulation) chooseTarget(host int) int {
	l := s.hosts[host]
	l.SetLivePeers(len(s.hosts) - 1)
	estimate, limit := s.unreportedEstimate(l), limiter.FlowLimit{MaxFlows: s.maxFlows, Reserved: 1}
	best, most := -1, 0
	for _, i := range s.random.Perm(s.targets) {
		tag := uint32(i + 1)
		if available := l.Available(l.Target(tag), limit, estimate, s.now); available > most && admits(l, l.Target(tag), tag, limit, estimate, s.now) {
			best, most = i, available
		}
	}
	return best
}

func (s *simulation) unreportedEstimate(l *limiter.Limiter) limiter.UnreportedEstimate {
	local, reported, reporters := 0, 0, 0
	for _, tag := range s.tags() {
		local += l.Target(tag).Local()
		reported += l.Target(tag).Reported()
		reporters += l.Reporters(l.Target(tag))
	}
	return limiter.UnreportedEstimate{PerHost: l.PerHost(local, reported, s.targets, reporters), Growth: s.growth[l]}
}

// endFlow ends a flow, and removes it from the counts of its host if the host has seen it since it
// started.
func (s *simulation) endFlow(at int) {
	f := s.flows[at]
	s.flows = slices.Delete(s.flows, at, at+1)
	s.flowsByTarget[f.target]--
	if f.incarnation != s.incarnations[f.host] {
		return
	}
	target := s.hosts[f.host].Target(uint32(f.target + 1))
	if f.discovered {
		target.RemoveDiscovered(s.now)
	} else {
		target.RemoveOpened(s.now)
	}
}

// sendPacket sends a packet of a flow, so that its host counts it again after a restart.
func (s *simulation) sendPacket(at int) {
	f := &s.flows[at]
	if f.incarnation != s.incarnations[f.host] {
		f.incarnation = s.incarnations[f.host]
		f.discovered = true
		s.hosts[f.host].Target(uint32(f.target + 1)).AddDiscovered()
	}
}

// restart restarts a host, which loses all its state.
func (s *simulation) restart(host int) {
	s.incarnations[host]++
	s.hosts[host] = limiter.New(fmt.Sprint(host), s.now, idle)
}

// run advances the simulation by some seconds, with perSecond new flows per second over all hosts.
// Each flow sends a packet about every three seconds, and one in fifteen ends per second.
func (s *simulation) run(seconds, perSecond int) {
	for range seconds * 4 {
		s.now = s.now.Add(250 * time.Millisecond)
		for host := range s.hosts {
			s.report(host)
			s.hosts[host].Sweep(s.now)
			s.measureGrowth(s.hosts[host])
		}
		for range perSecond / 4 {
			s.openFlow(s.random.IntN(len(s.hosts)))
		}
		for at := len(s.flows) - 1; at >= 0; at-- {
			switch p := s.random.Float64(); {
			case p < 1.0/60:
				s.endFlow(at)
			case p < 1.0/12:
				s.sendPacket(at)
			}
		}
	}
}

// measureGrowth computes by how much the net number of flows that a host has opened has grown
// within half a second.
func (s *simulation) measureGrowth(l *limiter.Limiter) {
	sum := 0
	for _, tag := range s.tags() {
		sum += l.Target(tag).NetOpened()
	}
	samples := append(s.netOpened[l], sum)
	samples = samples[max(len(samples)-3, 0):]
	s.netOpened[l] = samples
	s.growth[l] = float64(max(sum-samples[0], 0)) / float64(s.targets)
}

// flowRange returns the minimum and the maximum number of flows of a target.
func (s *simulation) flowRange() (least, most int) {
	return slices.Min(s.flowsByTarget), slices.Max(s.flowsByTarget)
}

// Guards against uneven targets: when the flows need three quarters of all connections, twelve
// hosts that receive each other's reports about once per second keep every target below its limit.
func TestFlowsWithinCapacityAreSpreadEvenly(t *testing.T) {
	s := newSimulation(1, 12, 40, 40, 0)
	s.run(40, 80)
	least, most := s.flowRange()
	t.Logf("%d of %d openings met a full target, targets hold %d to %d", s.fullTargetHits, s.attempts, least, most)
	require.Zero(t, s.fullTargetHits)
	require.Less(t, most, 38)
	require.Greater(t, least, 22)
}

// Guards against many opening packets to full targets in a thundering herd: when flows for twice
// the number of all connections arrive within two seconds, and no host has reported any flows when
// they begin to arrive.
func TestThunderingHerdRarelyHitsFullTargets(t *testing.T) {
	s := newSimulation(2, 12, 40, 40, 0)
	s.run(2, 1600)
	t.Logf("%d of %d openings met a full target", s.fullTargetHits, s.attempts)
	require.Less(t, s.fullTargetHits, s.attempts/10)
	require.Zero(t, s.exhausted)
	require.Greater(t, len(s.flows), 40*40*9/10, "and places are used")
}

// Guards against opening packets to full targets when every host restarts once within a minute of
// overload: the flows that a host has lost track of still use connections.
func TestRestartsUnderLoadRarelyHitFullTargets(t *testing.T) {
	s := newSimulation(3, 12, 40, 40, 0)
	s.run(20, 200)
	for host := range s.hosts {
		s.restart(host)
		s.run(3, 200)
	}
	t.Logf("%d of %d openings met a full target, %d nothing else, %d of %d places used", s.fullTargetHits, s.attempts, s.exhausted, len(s.flows), 40*40)
	require.Zero(t, s.exhausted)
	require.Greater(t, len(s.flows), 40*40*9/10)
}

// Guards against exceeded limits when hosts receive no reports of each other: they assume an even
// spread of flows, and correct their estimates at targets that turn out to be full.
func TestPartitionedHostsStayWithinLimit(t *testing.T) {
	s := newSimulation(4, 12, 40, 40, 1)
	s.run(40, 200)
	t.Logf("%d of %d openings met a full target, %d of %d places used", s.fullTargetHits, s.attempts, len(s.flows), 40*40)
	require.Less(t, s.fullTargetHits, s.attempts/10)
	require.Zero(t, s.exhausted)
	require.Greater(t, len(s.flows), 40*40*3/4)
}

// Property over numbers of hosts and targets, lost reports and restarts, with more new flows than
// connections: hardly any flow is sent only to full targets, the number of reported flows is never
// negative, no host counts more local flows than a target accepts, and connections don't stay
// unused.
func TestLimitHoldsUnderLossAndRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(2, 12).Draw(t, "hosts")
		targets := rapid.IntRange(5, 12).Draw(t, "targets")
		limit := rapid.IntRange(10, 40).Draw(t, "bound")
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), hosts, targets, limit, rapid.Float64Range(0, 0.5).Draw(t, "lost"))
		perSecond := max(targets*limit/5, 8)
		s.run(15, perSecond)
		for range rapid.IntRange(0, 4).Draw(t, "restarts") {
			s.restart(rapid.IntRange(0, hosts-1).Draw(t, "host"))
			s.run(2, perSecond)
		}
		for _, l := range s.hosts {
			for _, tag := range s.tags() {
				require.GreaterOrEqual(t, l.Target(tag).Reported(), 0)
				require.LessOrEqual(t, l.Target(tag).Local(), limit)
			}
		}
		require.LessOrEqual(t, s.exhausted, s.attempts/100)
		require.Greater(t, len(s.flows), targets*limit*3/5)
	})
}

// Guards against flows that count although they have ended: when a host sends no reports for five
// seconds (a partition, no restart), and then reports that its flows have ended.
func TestReportAfterTimeoutIsApplied(t *testing.T) {
	l := limiter.New("a0", start, idle)
	l.SetLivePeers(1)
	l.ApplyReport("a1", limiter.Report{Incarnation: 1, SameZone: true, Flows: map[uint32]uint16{1: 30}}, start)
	now := start.Add(5 * time.Second)
	l.Sweep(now)
	l.ApplyReport("a1", limiter.Report{Incarnation: 1, SameZone: true, Flows: map[uint32]uint16{1: 0}}, now)
	require.Zero(t, l.Target(1).Reported())
	require.Equal(t, 1, l.Reporters(l.Target(1)))
}

// Guards against flows that are left out of the estimate: when a host ends and another, which has
// sent no report, replaces it. If the ended host counted as a reporter until the idle timeout, the
// other host would seem to have reported.
func TestDeadHostsAreNotCountedAsReporters(t *testing.T) {
	l := limiter.New("a0", start, 10*time.Minute)
	l.ApplyReport("a1", limiter.Report{Incarnation: 1, SameZone: true, Flows: map[uint32]uint16{1: 10}}, start)
	now := start.Add(30 * time.Second)
	l.Sweep(now)
	l.SetLivePeers(1) // a2 is live and has sent no report; a1 has ended.
	estimate := l.EstimateFlows(l.Target(2), 100, limiter.UnreportedEstimate{PerHost: 10}, now)
	require.Equal(t, 10, estimate.Estimated, "a2 holds about as many as others")
}

// Guards against flows that count as none because their host has reported other targets: a zone
// has 1,200 targets and 100 hosts with two flows at each target, and a report holds 120 targets.
func TestPartialReportDoesNotCoverOtherTargets(t *testing.T) {
	l := limiter.New("a0", start, idle)
	l.SetLivePeers(99)
	flows := map[uint32]uint16{}
	for tag := range uint32(120) {
		flows[tag+1] = 2
	}
	for n := range 99 {
		l.ApplyReport(string(rune('A'+n)), limiter.Report{Incarnation: 1, SameZone: true, Flows: flows, Partial: true}, start)
	}
	l.SetLivePeers(99)
	reported, reporters := l.Target(1).Reported()*120, l.Reporters(l.Target(1))*120
	require.Zero(t, l.Reporters(l.Target(600)))
	estimate := l.EstimateFlows(l.Target(600), 400, limiter.UnreportedEstimate{PerHost: l.PerHost(0, reported, 1200, reporters)}, start)
	require.Greater(t, estimate.Total(), 100, "some 200 are there")
}

// Guards against time-outs between reports in a large zone: a host in a zone of 100 receives a
// report of each other host about every 8 s, since each sends 12 reports per second to 99 hosts.
// With the timeout of a small zone, half of a host's 30 open flows would count as ended before its
// next report.
func TestHostInLargeZoneDoesNotTimeOutBetweenReports(t *testing.T) {
	l := limiter.New("a0", start, idle)
	l.SetLivePeers(99)
	l.ApplyReport("a1", limiter.Report{Incarnation: 1, SameZone: true, Flows: map[uint32]uint16{1: 30}}, start)
	now := start
	for range 32 {
		now = now.Add(250 * time.Millisecond)
		l.Sweep(now)
	}
	require.Equal(t, 30, l.Target(1).Reported())
}

// Property over full and partial reports, hosts without reports, restarts and ended targets: the
// number of reporters of a target is between zero and the number of hosts, and nothing remains
// after twice the idle timeout.
func TestReportersAreCountedOnce(t *testing.T) {
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
				report := limiter.Report{Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation"), SameZone: true, Partial: rapid.Bool().Draw(t, "partial")}
				report.Flows = rapid.MapOf(rapid.Uint32Range(1, 3), rapid.Uint16Max(5)).Draw(t, "flows")
				l.ApplyReport(rapid.SampledFrom([]string{"a1", "a2", "a3"}).Draw(t, "host"), report, now)
			}
			for tag := range uint32(4) {
				require.GreaterOrEqual(t, l.Reporters(l.Target(tag)), 0)
				require.LessOrEqual(t, l.Reporters(l.Target(tag)), 3)
			}
		}
		l.Sweep(now.Add(2 * idle))
		for tag := range uint32(4) {
			require.Zero(t, l.Reporters(l.Target(tag)))
			require.Zero(t, l.Target(tag).Reported())
		}
	})
}

// Guards against the use of connections that no flow has freed: when flows that wait at a full
// target are canceled, each counts as one that has freed its connection.
func TestCanceledFlowsFreeNoCapacity(t *testing.T) {
	l := limiter.New("a0", start, idle)
	l.SetLivePeers(9)
	target := l.Target(1)
	for range 5 {
		target.AddOpened(start)
	}
	for range 5 {
		target.CancelOpened()
	}
	l.MarkFull(target, 100, limiter.UnreportedEstimate{}, start)
	now := start.Add(900 * time.Millisecond)
	limit, admitted := limiter.FlowLimit{MaxFlows: 100}, 0
	require.Greater(t, l.Available(target, limit, limiter.UnreportedEstimate{}, now), 4)
	for admitted < 9 && admits(l, target, 1, limit, limiter.UnreportedEstimate{}, now) {
		target.AddOpened(now)
		admitted++
	}
	require.LessOrEqual(t, admitted, 1, "one each turn at most")
	require.Equal(t, admitted, target.NetOpened())
}

// Guards against a surge that goes undetected: when flows that a host discovered end while it opens
// others, the ended ones are subtracted from those that it has opened.
func TestDiscoveredFlowsDoNotCountAsGrowth(t *testing.T) {
	target := limiter.New("a0", start, idle).Target(1)
	target.AddDiscovered()
	target.AddDiscovered()
	target.AddOpened(start)
	target.RemoveDiscovered(start)
	require.Equal(t, 1, target.NetOpened())
	require.Equal(t, 2, target.Local())
	target.RemoveOpened(start)
	require.Zero(t, target.NetOpened())
}

// Guards against a race for the last free connections: when twenty hosts estimate the same five
// free connections at a target, they together open about as many flows in a turn, and every host
// gets turns.
func TestHostsTakeTurnsForLastFreeConnections(t *testing.T) {
	const hosts, free = 20, 5
	turns := map[int]int{}
	for turn := range 60 {
		now := start.Add(time.Duration(turn) * time.Second)
		admitted := 0
		for host := range hosts {
			l := limiter.New(fmt.Sprint("a", host), start, idle)
			l.SetLivePeers(hosts - 1)
			l.ApplyReport("other", limiter.Report{Incarnation: 1, SameZone: true, Flows: map[uint32]uint16{1: 15}}, now)
			target := l.Target(1)
			target.AddDiscovered()
			for admits(l, target, 1, limiter.FlowLimit{MaxFlows: 16 + free}, limiter.UnreportedEstimate{}, now.Add(idle)) {
				target.AddOpened(now.Add(idle))
				admitted++
				turns[host]++
			}
		}
		require.LessOrEqual(t, admitted, 3*free, "in turn %d", turn)
	}
	sum := 0
	for _, n := range turns {
		sum += n
	}
	require.Len(t, turns, hosts)
	require.InDelta(t, 60*free, sum, 60)
}
