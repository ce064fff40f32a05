package steerer_test

import (
	"strings"
	"testing"
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

// limitedFleet is a fleet in front of targets with a connection limit. A full target does
// not respond to opening packets, and closes the connections of probes at once.
type limitedFleet struct {
	*fleet
	limit int
	// flowsAt counts the flows at each target; openFlows lists the open flows.
	flowsAt    map[string]int
	openFlows  []*hostedFlow
	nextCaller int
	// attempts counts the flows requested, timedOut those that were not established after
	// the caller's last retransmission, refused those that were reset.
	attempts int
	timedOut int
	refused  int
	// retransmissions counts the opening packets that callers had to retransmit.
	retransmissions int
}

// hostedFlow is a flow and the host through which it is sent.
type hostedFlow struct {
	*caller
	host string
}

// newLimitedFleet starts hosts in up to three zones, in front of the six default targets of
// the ledger service.
func newLimitedFleet(t tester, limit int, hostsByZone ...int) *limitedFleet {
	s := &limitedFleet{fleet: newFleet(t, hostsByZone...), flowsAt: map[string]int{}}
	s.publish(2, limit)
	return s
}

// publish changes the connection limit of the targets. The check route has a higher
// priority than the read route.
func (s *limitedFleet) publish(version uint64, limit int) {
	s.limit = limit
	routes := routes()
	routes[0].Priority = 1
	s.settings = steerer.NewSettings(version, routes, []steerer.Service{{Name: "ledger", HealthPath: "/healthz", MaxConnections: limit}}, 15*time.Second)
	s.step(4 * time.Second)
}

// openFlow lets a caller open a flow through a host, with up to two retransmissions of its
// opening packet. It reports whether the flow was established.
func (s *limitedFleet) openFlow(host string, highPriority bool) bool {
	s.t.Helper()
	s.nextCaller++
	s.attempts++
	route := readRoute
	if highPriority {
		route = checkRoute
	}
	c := s.caller(s.nextCaller, route)
	resets := len(s.hosts[host].resets)
	c.open(host, 0)
	for retransmits := uint32(0); ; retransmits++ {
		if len(s.hosts[host].resets) > resets {
			s.refused++
			return false
		}
		if s.targetAccepts(c) {
			break
		}
		if retransmits == 2 {
			s.timedOut++
			return false
		}
		s.waitForRetransmit(c, host)
		if len(s.hosts[host].resets) == resets && !s.targetAccepts(c) {
			s.retransmissions++
			c.open(host, retransmits+1)
		}
	}
	s.flowsAt[c.target]++
	s.openFlows = append(s.openFlows, &hostedFlow{caller: c, host: host})
	c.establish(host)
	s.updateProbeOutcomes()
	return true
}

func (s *limitedFleet) targetAccepts(c *caller) bool {
	return c.target != "" && s.flowsAt[c.target] < s.limit
}

// waitForRetransmit advances time to a caller's retransmission timeout, or until its
// opening packet is redispatched.
func (s *limitedFleet) waitForRetransmit(c *caller, host string) {
	resets := len(s.hosts[host].resets)
	for range 4 {
		before := len(s.hosts[host].sent)
		s.step(10 * time.Millisecond)
		s.keepFlowsActive() // Full targets still respond on their open flows.
		s.step(steerer.TickInterval - 10*time.Millisecond)
		for _, one := range s.hosts[host].sent[before:] {
			if one.flow == c.address.String() && one.tag != 0 {
				c.target, c.tag = one.target, one.tag
			}
		}
		if s.targetAccepts(c) || len(s.hosts[host].resets) > resets {
			return
		}
	}
}

// updateProbeOutcomes sets the outcome of probes of each target.
func (s *limitedFleet) updateProbeOutcomes() {
	for id := range s.targets {
		delete(s.probeOutcomes, id)
		if s.flowsAt[id] >= s.limit {
			s.probeOutcomes[id] = steerer.ProbeClosed
		}
	}
}

// endFlow ends a flow; with silently set, the caller sends no packet that ends it.
func (s *limitedFleet) endFlow(at int, silently bool) {
	v := s.openFlows[at]
	s.openFlows = append(s.openFlows[:at], s.openFlows[at+1:]...)
	s.flowsAt[v.target]--
	if !silently {
		v.close(v.host)
	}
	s.updateProbeOutcomes()
}

// keepFlowsActive sends a request on each flow, so that none counts as idle.
func (s *limitedFleet) keepFlowsActive() {
	for _, v := range s.openFlows {
		v.sendRequest(v.host)
		v.ackResponse(v.host)
	}
}

func (s *limitedFleet) countLogged(host, event string) int {
	count := 0
	for _, line := range s.hosts[host].logs {
		if line.Event == event {
			count++
		}
	}
	return count
}

// flowRange returns the minimum and maximum number of flows at a target of the ledger
// service.
func (s *limitedFleet) flowRange() (minFlows, maxFlows int) {
	minFlows = s.limit
	for id := range s.targets {
		if strings.HasPrefix(id, "i-1") {
			minFlows, maxFlows = min(minFlows, s.flowsAt[id]), max(maxFlows, s.flowsAt[id])
		}
	}
	return minFlows, maxFlows
}

// Flows that use three quarters of all connections, opened through three connected hosts,
// are all established at once and spread evenly over the targets.
func TestFlowsAreBalancedWhenConnectionsAreScarce(t *testing.T) {
	s := newLimitedFleet(t, 20, 3)
	for n := range 90 {
		require.True(t, s.openFlow(s.names[n%3], false), "flow %d", n)
		s.step(steerer.TickInterval)
	}
	minFlows, maxFlows := s.flowRange()
	require.Zero(t, s.refused+s.timedOut)
	require.LessOrEqual(t, maxFlows-minFlows, 4, "%v", s.flowsAt)
	require.Equal(t, 1, s.countLogged("a1", "connectionsTight"))
}

// Guards against filling the only idle target: when every other target has a request in
// flight, new flows go to the idle one, but not until it is full, since the next caller
// would find it full.
func TestIdleTargetIsNotFilledToItsConnectionLimit(t *testing.T) {
	s := newLimitedFleet(t, 20, 1)
	for range 66 {
		require.True(t, s.openFlow("a1", false))
		s.step(steerer.TickInterval)
	}
	s.keepFlowsActive()
	hasRequest := map[string]bool{"i-10000001": true}
	for _, v := range s.openFlows {
		if !hasRequest[v.target] {
			hasRequest[v.target] = true
			v.sendRequest(v.host)
		}
	}
	for range 12 {
		require.True(t, s.openFlow("a1", false))
	}
	require.Less(t, s.flowsAt["i-10000001"], 18, "%v", s.flowsAt)
}

// Guards against callers that wait until they give up: when more flows are opened than all
// targets can hold, a full target does not respond, so the host, which knows that all are
// full, refuses at once.
func TestFlowsAreRefusedImmediatelyWhenAllTargetsAreFull(t *testing.T) {
	s := newLimitedFleet(t, 20, 2)
	for n := range 200 {
		s.openFlow(s.names[n%2], true)
		s.step(steerer.TickInterval)
	}
	require.Zero(t, s.timedOut)
	require.Greater(t, len(s.openFlows), 6*20*17/20, "%v", s.flowsAt)
	require.Greater(t, s.refused, 70)
	resets := len(s.hosts["a1"].resets)
	require.False(t, s.openFlow("a1", true))
	require.Len(t, s.hosts["a1"].resets, resets+1)
	require.Positive(t, s.countLogged("a1", "targetFull"))

	for range 30 {
		s.endFlow(0, false)
	}
	s.step(time.Second)
	require.True(t, s.openFlow("a1", true), "places that are left are used again")
}

// Guards against callers of the check route, which has a higher priority, being refused
// after callers of the read route have used all connections that they may.
func TestConnectionsAreReservedForHigherPriority(t *testing.T) {
	s := newLimitedFleet(t, 40, 1)
	for range 3 {
		require.True(t, s.openFlow("a1", true))
		s.step(time.Second)
	}
	for n := range 300 {
		s.openFlow("a1", false)
		s.step(steerer.TickInterval)
		if n%50 == 0 {
			s.keepFlowsActive()
		}
	}
	require.Positive(t, s.refused, "reads fill what they may")
	opened := 0
	for range 10 {
		if s.openFlow("a1", true) {
			opened++
		}
	}
	require.Equal(t, 10, opened, "checks find room")
	require.False(t, s.openFlow("a1", false))
}

// Guards against callers waiting for their retransmission timeout, 200 ms, at working
// targets: when hosts from which this one receives no reports have filled a target while
// others have connections available, the target makes progress on its open flows, so the host
// must probe whether it accepts new ones.
func TestFullTargetIsNotTreatedAsUnreachable(t *testing.T) {
	s := newLimitedFleet(t, 20, 1)
	for range 60 {
		require.True(t, s.openFlow("a1", false))
		s.step(steerer.TickInterval)
	}
	const full = "i-10000001"
	s.flowsAt[full] = s.limit // Flows of hosts that send no reports.
	s.updateProbeOutcomes()
	for range 30 {
		require.True(t, s.openFlow("a1", false))
		s.step(steerer.TickInterval)
	}
	require.Equal(t, 1, s.retransmissions, "that of the first alone, which the target might have taken")
	require.Zero(t, s.timedOut+s.refused)
	require.Zero(t, s.countLogged("a1", "targetUnreachable"))
	require.Zero(t, s.countLogged("a1", "flowReset"))
}

// Guards against callers waiting for their retransmission timeouts at a target that was
// found full: when a flow of this host ends there and another host uses the connection
// first, the target may be probed again at once, not only once a second.
func TestTargetRecentlyFoundFullIsReprobedImmediately(t *testing.T) {
	s := newLimitedFleet(t, 20, 1)
	for range 60 {
		require.True(t, s.openFlow("a1", false))
		s.step(steerer.TickInterval)
	}
	const full = "i-10000001"
	s.flowsAt[full] = s.limit
	s.updateProbeOutcomes()
	for s.retransmissions == 0 {
		require.True(t, s.openFlow("a1", false))
	}
	for range 20 {
		for at, v := range s.openFlows {
			if v.target == full {
				s.endFlow(at, false)
				break
			}
		}
		s.flowsAt[full] = s.limit
		s.updateProbeOutcomes()
		require.True(t, s.openFlow("a1", false))
	}
	require.Equal(t, 1, s.retransmissions, "that of the first alone")
	require.Positive(t, s.countLogged("a1", "flowSentOn"), "the host sends it on before its caller repeats it")
}

// Guards against flows being refused at half-empty targets: when callers lose power and end
// without a packet, their flows stop counting after the idle timeout.
func TestFlowsThatEndWithoutAPacketExpire(t *testing.T) {
	s := newLimitedFleet(t, 20, 1)
	for range 130 {
		s.openFlow("a1", true)
		s.step(steerer.TickInterval)
	}
	require.False(t, s.openFlow("a1", true))
	for range 60 {
		s.endFlow(0, true)
	}
	require.False(t, s.openFlow("a1", true), "nobody knows yet")
	for range 17 {
		s.keepFlowsActive()
		s.step(time.Second)
	}
	require.True(t, s.openFlow("a1", true))
}

// Guards against finding full targets one after the other: when all callers have used up
// the connections through one host and new ones come through another, that host must not
// assume that its own flows are typical of all hosts.
func TestHostsShareFlowCounts(t *testing.T) {
	s := newLimitedFleet(t, 20, 2)
	for range 130 {
		s.openFlow("a1", true)
		s.step(steerer.TickInterval)
	}
	s.step(time.Second)
	available := 6*19 - len(s.openFlows)
	require.Less(t, available, 6*20/10, "the first host uses what the second has no callers for")
	s.refused = 0
	probes := s.probes
	for range 20 {
		s.keepFlowsActive()
		s.openFlow("a2", true)
		s.step(steerer.TickInterval)
	}
	require.GreaterOrEqual(t, s.refused, 20-available)
	require.Zero(t, s.retransmissions)
	require.Equal(t, probes, s.probes, "nobody has to try what is full")
}

// Guards against finding full targets one after the other in another zone: when a zone's
// callers have filled its targets and the callers of another zone need more than theirs can
// hold, a host must know more than its own flows at the other zone's targets.
func TestZonesShareFlowCounts(t *testing.T) {
	s := newLimitedFleet(t, 20, 1, 1)
	for range 60 {
		s.openFlow("b1", true)
		s.step(steerer.TickInterval)
	}
	probes := s.probes
	for n := range 90 {
		s.openFlow("a1", true)
		s.step(steerer.TickInterval)
		if n%20 == 0 {
			s.keepFlowsActive()
		}
	}
	require.Zero(t, s.timedOut)
	require.Positive(t, s.refused)
	require.LessOrEqual(t, s.probes-probes, 3)
}

// Guards against a burst of opening packets at full targets: when two of four hosts are
// killed and restarted at once, they do not have the flows of their callers in their flow
// tables any more.
func TestRestartedHostsLearnFlowCountsOfOthers(t *testing.T) {
	s := newLimitedFleet(t, 20, 4)
	for n := range 200 {
		s.openFlow(s.names[n%4], true)
		s.step(steerer.TickInterval)
	}
	s.keepFlowsActive()
	s.step(time.Second)
	s.kill("a1")
	s.kill("a2")
	s.step(500 * time.Millisecond)
	s.start("a1")
	s.start("a2")
	s.step(1500 * time.Millisecond)
	s.timedOut, s.refused = 0, 0
	probes := s.probes
	for n := range 40 {
		s.openFlow(s.names[n%2], true)
	}
	require.Zero(t, s.timedOut)
	require.GreaterOrEqual(t, s.refused, 30)
	require.LessOrEqual(t, s.probes-probes, 12)
}

// When targets are as full as hosts let them become, a connection is still available for
// probes.
func TestConnectionIsReservedForProbes(t *testing.T) {
	s := newLimitedFleet(t, 20, 3)
	for n := range 200 {
		s.openFlow(s.names[n%3], true)
		s.step(4 * steerer.TickInterval)
		if n%20 == 0 {
			s.keepFlowsActive()
		}
	}
	full := 0
	for _, n := range s.flowsAt {
		if n == s.limit {
			full++
		}
	}
	require.LessOrEqual(t, full, 1, "%v", s.flowsAt)
}

// When targets are far below their connection limit, flows are neither counted nor
// reported.
func TestFlowsAreNotReportedWhenConnectionsAreNotScarce(t *testing.T) {
	s := newLimitedFleet(t, 2000, 2)
	for n := range 100 {
		require.True(t, s.openFlow(s.names[n%2], false))
	}
	s.step(2 * time.Second)
	require.Zero(t, s.countLogged("a1", "connectionsTight"))
	for _, status := range s.hosts["a1"].steerer.TargetStatuses() {
		require.Zero(t, status.ConnectionLimit)
	}
}

func TestStatusesAndSnapshotShowConnections(t *testing.T) {
	s := newLimitedFleet(t, 20, 1)
	for range 150 {
		s.openFlow("a1", true)
		s.step(steerer.TickInterval)
	}
	sum := 0
	for _, status := range s.hosts["a1"].steerer.TargetStatuses() {
		if status.Service == "ledger" {
			require.Equal(t, 20, status.ConnectionLimit)
			require.NotEmpty(t, status.AvoidReason)
			sum += status.Connections
		}
	}
	require.Equal(t, len(s.openFlows), sum)
	snapshot := s.hosts["a1"].steerer.Snapshot()
	require.Equal(t, 120, snapshot.ConnectionCapacity)
	require.Positive(t, snapshot.Counters[steerer.RefusedFull])
}

// Guards against callers with short-lived flows being refused permanently: when idle flows
// fill the targets while short-lived ones keep coming, a route with none admitted could no
// longer be recognized as short-lived.
func TestShortLivedFlowsAreAdmittedBesideLongLivedFlows(t *testing.T) {
	s := newLimitedFleet(t, 20, 1)
	attempts, served := 0, 0
	for n := range 200 {
		s.openFlow("a1", true)
		attempts++
		if s.openFlow("a1", false) {
			served++
			if n%7 == 0 {
				s.step(2 * time.Second) // Some flows last longer.
			}
			s.endFlow(len(s.openFlows)-1, false)
		}
		s.step(steerer.TickInterval)
		if n%20 == 0 {
			s.keepFlowsActive()
		}
	}
	require.Positive(t, s.refused, "all is asked for")
	require.Equal(t, attempts, served)

	s.publish(3, 10)
	for n := range 150 {
		require.False(t, s.openFlow("a1", false), "nothing is left")
		s.step(4 * steerer.TickInterval)
		if n%10 == 0 {
			s.keepFlowsActive()
		}
	}
	for at := len(s.openFlows) - 1; at >= 0; at-- {
		if s.flowsAt[s.openFlows[at].target] >= s.limit {
			s.endFlow(at, false)
		}
	}
	s.step(time.Second)
	require.True(t, s.openFlow("a1", false), "one place at each target is enough, however long they were refused")
}

// newFullFleet fills all targets with flows of a1 as far as it lets them become full.
func newFullFleet(t *testing.T) *limitedFleet {
	s := newLimitedFleet(t, 20, 2)
	for range 400 {
		s.openFlow("a1", true)
		s.step(steerer.TickInterval)
		if len(s.openFlows) >= 6*18 {
			break
		}
	}
	s.step(2 * time.Second)
	s.keepFlowsActive()
	return s
}

// Guards against resetting or redispatching an established flow: when all targets are
// nearly full, a caller opens a flow through a1, its target accepts it, and the fabric
// sends its next packets through a2. a1 does not see it established and probes the target,
// which is full by now and closes the probe's connection at once.
func TestFlowEstablishedThroughAnotherHostIsNotRedispatched(t *testing.T) {
	s := newFullFleet(t)
	var c *caller
	for n := range 100 {
		c = s.caller(5000+n, checkRoute)
		c.open("a1", 0)
		if c.target != "" {
			break
		}
		s.step(steerer.TickInterval)
	}
	require.NotEmpty(t, c.target)
	t.Log("held", s.flowsAt)
	s.step(10 * time.Millisecond)
	c.establish("a2")
	c.sendRequest("a2")
	for id := range s.targets {
		s.probeOutcomes[id] = steerer.ProbeClosed
		s.flowsAt[id] = s.limit
	}
	resets := len(s.hosts["a1"].resets)
	redispatched := s.countLogged("a1", "flowSentOn")
	for range 12 {
		s.step(10 * time.Millisecond)
		s.keepFlowsActive()
	}
	t.Log("sent on", s.countLogged("a1", "flowSentOn")-redispatched, "resets", len(s.hosts["a1"].resets)-resets)
	for _, r := range s.hosts["a1"].resets[resets:] {
		require.NotEqual(t, c.address, r.Caller, "a1 reset a flow that is open at a target that lives")
	}
	require.Equal(t, redispatched, s.countLogged("a1", "flowSentOn"), "a1 opened it at a second target")
}

// Guards against redispatching without a probe: when another host's report makes the target
// full by the estimate alone, and the target's response takes 50 ms longer than usual.
func TestEstimateAloneDoesNotRedispatchOpening(t *testing.T) {
	s := newFullFleet(t)
	var c *caller
	for n := range 100 {
		c = s.caller(5000+n, checkRoute)
		c.open("a1", 0)
		if c.target != "" {
			break
		}
		s.step(steerer.TickInterval)
	}
	require.NotEmpty(t, c.target)
	flows := map[uint32]uint16{}
	for _, v := range s.openFlows {
		flows[uint32(v.tag)] = 4
	}
	s.reduce("a1", &steerer.ReportReceived{From: "a2", Report: &messenger.Report{Address: s.hosts["a2"].address, Incarnation: 1, AvailabilityZone: "a", OpenFlows: flows}})
	resets, probes := len(s.hosts["a1"].resets), s.countLogged("a1", "targetProbed")
	redispatched := s.countLogged("a1", "flowSentOn")
	for range 14 {
		s.step(10 * time.Millisecond)
		s.keepFlowsActive()
	}
	t.Log("sent on", s.countLogged("a1", "flowSentOn")-redispatched, "resets", len(s.hosts["a1"].resets)-resets, "probes", s.countLogged("a1", "targetProbed")-probes)
	for _, r := range s.hosts["a1"].resets[resets:] {
		require.NotEqual(t, c.address, r.Caller, "reset without a check, while its target's answer is under way")
	}
	require.Equal(t, redispatched, s.countLogged("a1", "flowSentOn"))
}

// Guards against a flow at two targets: when the response to an opening packet is lost, its
// target has a quarter of its connections available or somewhat fewer, and it has made
// progress since, the retransmission goes there again.
func TestRetransmittedOpeningGoesToFirstTargetIfItResponds(t *testing.T) {
	s := newLimitedFleet(t, 20, 1)
	for range 96 {
		s.openFlow("a1", true)
		s.step(steerer.TickInterval)
	}
	s.step(time.Second)
	s.keepFlowsActive()
	c := s.caller(7000, checkRoute)
	c.open("a1", 0)
	first := c.target
	require.NotEmpty(t, first)
	for range 8 {
		s.step(25 * time.Millisecond)
		s.keepFlowsActive()
	}
	c.open("a1", 1)
	t.Log("held", s.flowsAt, "first", first, "copy", c.target)
	require.Equal(t, first, c.target)
}

// Guards against all other packets waiting: when a target with 200 half-open flows is found
// full, they must not all be redispatched in one event.
func TestRedispatchesAreSpreadOverTicks(t *testing.T) {
	s := newLimitedFleet(t, 400, 1)
	for range 860 {
		require.True(t, s.openFlow("a1", false))
		if len(s.openFlows)%20 == 0 {
			s.step(steerer.TickInterval)
		}
	}
	require.Equal(t, 1, s.countLogged("a1", "connectionsTight"))
	var waiting []*caller
	for n := range 600 {
		c := s.caller(5000+n, readRoute)
		c.open("a1", 0)
		waiting = append(waiting, c)
	}
	for _, c := range waiting {
		c.open("a1", 1) // So that they may be redispatched.
	}
	for id := range s.targets {
		s.probeOutcomes[id] = steerer.ProbeClosed
	}
	before, maxPerTick := s.countLogged("a1", "flowSentOn"), 0
	for range 20 {
		s.step(steerer.TickInterval)
		s.keepFlowsActive()
		now := s.countLogged("a1", "flowSentOn")
		before, maxPerTick = now, max(maxPerTick, now-before)
	}
	t.Log("sent on", before, "most in a tick", maxPerTick)
	require.Greater(t, before, 40)
	require.LessOrEqual(t, maxPerTick, 50, "those of the tick before and those of this one")
}
