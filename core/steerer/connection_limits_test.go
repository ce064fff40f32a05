package steerer_test

import (
	"strings"
	"testing"
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

// limitedFleet is a fleet before targets that hold a bounded number of flows. A target that is
// full says nothing to an opening packet, and cuts checks short.
type limitedFleet struct {
	*fleet
	limit int
	// held counts the flows at each target, open lists their callers.
	held       map[string]int
	openFlows  []*hostedFlow
	nextCaller int
	// attempts counts the openings, late those that had not opened after the repeat of their
	// callers, refused those that were reset.
	attempts int
	timedOut int
	refused  int
	// retransmissions counts the copies that callers had to send.
	retransmissions int
}

// hostedFlow is a flow and the host through which it goes.
type hostedFlow struct {
	*caller
	host string
}

// newLimitedFleet starts hosts before the usual six targets of the ledger, three zones or fewer.
func newLimitedFleet(t tester, bound int, hostsByZone ...int) *limitedFleet {
	s := &limitedFleet{fleet: newFleet(t, hostsByZone...), held: map[string]int{}}
	s.publish(2, bound)
	return s
}

// publish changes how many flows a target holds. Checks go before reads.
func (s *limitedFleet) publish(version uint64, bound int) {
	s.limit = bound
	routes := routes()
	routes[0].Priority = 1
	s.settings = steerer.NewSettings(version, routes, []steerer.Service{{Name: "ledger", HealthPath: "/healthz", MaxConnections: bound}}, 15*time.Second)
	s.step(4 * time.Second)
}

// openFlow lets a caller open a flow through a host, and repeat its opening packet once. It
// reports whether the flow opened.
func (s *limitedFleet) openFlow(host string, urgent bool) bool {
	s.t.Helper()
	s.nextCaller++
	s.attempts++
	route := readRoute
	if urgent {
		route = checkRoute
	}
	c := s.caller(s.nextCaller, route)
	resets := len(s.hosts[host].resets)
	c.open(host, 0)
	for copies := uint32(0); ; copies++ {
		if len(s.hosts[host].resets) > resets {
			s.refused++
			return false
		}
		if s.accepts(c) {
			break
		}
		if copies == 2 {
			s.timedOut++
			return false
		}
		s.waitForRetransmit(c, host)
		if len(s.hosts[host].resets) == resets && !s.accepts(c) {
			s.retransmissions++
			c.open(host, copies+1)
		}
	}
	s.held[c.target]++
	s.openFlows = append(s.openFlows, &hostedFlow{caller: c, host: host})
	c.establish(host)
	s.updateProbeOutcomes()
	return true
}

func (s *limitedFleet) accepts(c *caller) bool { return c.target != "" && s.held[c.target] < s.limit }

// waitForRetransmit lets time pass until a caller's repeat, or until its opening packet was sent on.
func (s *limitedFleet) waitForRetransmit(c *caller, host string) {
	resets := len(s.hosts[host].resets)
	for range 4 {
		before := len(s.hosts[host].sent)
		s.step(10 * time.Millisecond)
		s.keepFlowsActive() // Targets that are full work.
		s.step(steerer.TickInterval - 10*time.Millisecond)
		for _, one := range s.hosts[host].sent[before:] {
			if one.flow == c.address.String() && one.tag != 0 {
				c.target, c.tag = one.target, one.tag
			}
		}
		if s.accepts(c) || len(s.hosts[host].resets) > resets {
			return
		}
	}
}

// updateProbeOutcomes says how checks of each target end.
func (s *limitedFleet) updateProbeOutcomes() {
	for id := range s.targets {
		delete(s.probeOutcomes, id)
		if s.held[id] >= s.limit {
			s.probeOutcomes[id] = steerer.ProbeClosed
		}
	}
}

// endFlow ends a flow; silently if its caller goes without a word.
func (s *limitedFleet) endFlow(at int, silently bool) {
	v := s.openFlows[at]
	s.openFlows = append(s.openFlows[:at], s.openFlows[at+1:]...)
	s.held[v.target]--
	if !silently {
		v.close(v.host)
	}
	s.updateProbeOutcomes()
}

// keepFlowsActive lets each flow ask something, so that none counts as idle.
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

// flowRange is the least and the most that a target of the ledger holds.
func (s *limitedFleet) flowRange() (least, most int) {
	least = s.limit
	for id := range s.targets {
		if strings.HasPrefix(id, "i-1") {
			least, most = min(least, s.held[id]), max(most, s.held[id])
		}
	}
	return least, most
}

// Load: as many flows as fill three quarters of all places, over three hosts that hear each
// other. All open at once, at targets that are even.
func TestFlowsAreBalancedWhenConnectionsAreScarce(t *testing.T) {
	s := newLimitedFleet(t, 20, 3)
	for n := range 90 {
		require.True(t, s.openFlow(s.names[n%3], false), "flow %d", n)
		s.step(steerer.TickInterval)
	}
	least, most := s.flowRange()
	require.Zero(t, s.refused+s.timedOut)
	require.LessOrEqual(t, most-least, 4, "%v", s.held)
	require.Equal(t, 1, s.countLogged("a1", "connectionsTight"))
}

// Load: one request under way at each target but one. New flows go where nobody waits, but
// not until that target is full: whoever comes next would find it so.
func TestIdleTargetIsNotFilledToItsConnectionLimit(t *testing.T) {
	s := newLimitedFleet(t, 20, 1)
	for range 66 {
		require.True(t, s.openFlow("a1", false))
		s.step(steerer.TickInterval)
	}
	s.keepFlowsActive()
	asked := map[string]bool{"i-10000001": true}
	for _, v := range s.openFlows {
		if !asked[v.target] {
			asked[v.target] = true
			v.sendRequest(v.host)
		}
	}
	for range 12 {
		require.True(t, s.openFlow("a1", false))
	}
	require.Less(t, s.held["i-10000001"], 18, "%v", s.held)
}

// Load: more flows than all targets hold. Symptom: callers wait until they give up. Cause:
// a full target says nothing. The host knows that all are full, and says so at once.
func TestFlowsAreRefusedImmediatelyWhenAllTargetsAreFull(t *testing.T) {
	s := newLimitedFleet(t, 20, 2)
	for n := range 200 {
		s.openFlow(s.names[n%2], true)
		s.step(steerer.TickInterval)
	}
	require.Zero(t, s.timedOut)
	require.Greater(t, len(s.openFlows), 6*20*17/20, "%v", s.held)
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

// Load: reads fill what they may, then checks, which go first, are asked for.
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

// Symptom: callers wait for their own repeat, 200 ms, at targets that work. Sequence: hosts
// that this one does not hear have filled a target; its siblings have room. Cause: it shows
// life on its open flows, so nobody looks for what it does with new ones.
func TestFullTargetIsNotTreatedAsUnreachable(t *testing.T) {
	s := newLimitedFleet(t, 20, 1)
	for range 60 {
		require.True(t, s.openFlow("a1", false))
		s.step(steerer.TickInterval)
	}
	const full = "i-10000001"
	s.held[full] = s.limit // Flows of hosts that are not heard.
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

// Symptom: some callers still wait for their repeats at a target that was found full.
// Sequence: a flow of this host ends there, and another host takes the place first. Cause: a
// target may be checked once a second only, unless it was found full.
func TestTargetRecentlyFoundFullIsReprobedImmediately(t *testing.T) {
	s := newLimitedFleet(t, 20, 1)
	for range 60 {
		require.True(t, s.openFlow("a1", false))
		s.step(steerer.TickInterval)
	}
	const full = "i-10000001"
	s.held[full] = s.limit
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
		s.held[full] = s.limit
		s.updateProbeOutcomes()
		require.True(t, s.openFlow("a1", false))
	}
	require.Equal(t, 1, s.retransmissions, "that of the first alone")
	require.Positive(t, s.countLogged("a1", "flowSentOn"), "the host sends it on before its caller repeats it")
}

// Symptom: flows are refused although targets are half empty. Sequence: callers lose power
// and end without a word. Cause: their flows count for good. They end with the idle time.
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

// Load: all callers come through one host, and fill all places; then some come through
// another. Symptom: these meet full targets one after the other. Cause: what a host has
// itself is taken for what each has.
func TestHostsShareFlowCounts(t *testing.T) {
	s := newLimitedFleet(t, 20, 2)
	for range 130 {
		s.openFlow("a1", true)
		s.step(steerer.TickInterval)
	}
	s.step(time.Second)
	free := 6*19 - len(s.openFlows)
	require.Less(t, free, 6*20/10, "the first host uses what the second has no callers for")
	s.refused = 0
	probes := s.probes
	for range 20 {
		s.keepFlowsActive()
		s.openFlow("a2", true)
		s.step(steerer.TickInterval)
	}
	require.GreaterOrEqual(t, s.refused, 20-free)
	require.Zero(t, s.retransmissions)
	require.Equal(t, probes, s.probes, "nobody has to try what is full")
}

// Load: a zone's callers fill its targets, then the other zone's callers ask for more than
// theirs hold. Symptom: these meet one full target after the other across the zones. Cause:
// a host knows only its own flows at another zone's targets.
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

// Symptom: a crowd of openings meets full targets when hosts start again. Sequence: two of
// three hosts are killed and start again at once. Cause: a host that has started remembers
// none of its callers' flows.
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

// Load: liveness checks at targets that are as full as hosts let them become.
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
	for _, n := range s.held {
		if n == s.limit {
			full++
		}
	}
	require.LessOrEqual(t, full, 1, "%v", s.held)
}

// Nothing changes where targets hold plenty: nobody is told of flows.
func TestFlowsAreNotReportedWhenConnectionsAreNotScarce(t *testing.T) {
	s := newLimitedFleet(t, 2000, 2)
	for n := range 100 {
		require.True(t, s.openFlow(s.names[n%2], false))
	}
	s.step(2 * time.Second)
	require.Zero(t, s.countLogged("a1", "connectionsTight"))
	for _, status := range s.hosts["a1"].steerer.TargetStatuses() {
		require.Zero(t, status.ConnectionsBound)
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
			require.Equal(t, 20, status.ConnectionsBound)
			require.NotEmpty(t, status.AvoidReason)
			sum += status.Connections
		}
	}
	require.Equal(t, len(s.openFlows), sum)
	snapshot := s.hosts["a1"].steerer.Snapshot()
	require.Equal(t, 120, snapshot.ConnectionCapacity)
	require.Positive(t, snapshot.Counters[steerer.RefusedFull])
}

// Load: flows that idle fill the targets; callers with short flows come all the while.
// Symptom: the latter are refused for good. Cause: once none is placed nothing tells them
// from those that last.
func TestShortLivedFlowsAreAdmittedBesideLongLivedFlows(t *testing.T) {
	s := newLimitedFleet(t, 20, 1)
	brief, served := 0, 0
	for n := range 200 {
		s.openFlow("a1", true)
		brief++
		if s.openFlow("a1", false) {
			served++
			if n%7 == 0 {
				s.step(2 * time.Second) // Some last somewhat longer.
			}
			s.endFlow(len(s.openFlows)-1, false)
		}
		s.step(steerer.TickInterval)
		if n%20 == 0 {
			s.keepFlowsActive()
		}
	}
	require.Positive(t, s.refused, "all is asked for")
	require.Equal(t, brief, served)

	s.publish(3, 10)
	for n := range 150 {
		require.False(t, s.openFlow("a1", false), "nothing is left")
		s.step(4 * steerer.TickInterval)
		if n%10 == 0 {
			s.keepFlowsActive()
		}
	}
	for at := len(s.openFlows) - 1; at >= 0; at-- {
		if s.held[s.openFlows[at].target] >= s.limit {
			s.endFlow(at, false)
		}
	}
	s.step(time.Second)
	require.True(t, s.openFlow("a1", false), "one place at each target is enough, however long they were refused")
}

// newFullFleet fills all targets by flows of a1 as far as it lets them become full.
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

// Sequence: all targets are nearly full; a caller opens through a1, its target takes it;
// the fabric sends its next packets through a2. a1 sees it not open, checks the target,
// which is full by now and cuts the check short.
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
	t.Log("held", s.held)
	s.step(10 * time.Millisecond)
	c.establish("a2")
	c.sendRequest("a2")
	for id := range s.targets {
		s.probeOutcomes[id] = steerer.ProbeClosed
		s.held[id] = s.limit
	}
	resets := len(s.hosts["a1"].resets)
	sentOn := s.countLogged("a1", "flowSentOn")
	for range 12 {
		s.step(10 * time.Millisecond)
		s.keepFlowsActive()
	}
	t.Log("sent on", s.countLogged("a1", "flowSentOn")-sentOn, "resets", len(s.hosts["a1"].resets)-resets)
	for _, r := range s.hosts["a1"].resets[resets:] {
		require.NotEqual(t, c.address, r.Caller, "a1 reset a flow that is open at a target that lives")
	}
	require.Equal(t, sentOn, s.countLogged("a1", "flowSentOn"), "a1 opened it at a second target")
}

// Sequence: as before, but no check: another host's word makes the target look full by
// belief; the target's answer takes 50 ms longer than usual.
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
	sentOn := s.countLogged("a1", "flowSentOn")
	for range 14 {
		s.step(10 * time.Millisecond)
		s.keepFlowsActive()
	}
	t.Log("sent on", s.countLogged("a1", "flowSentOn")-sentOn, "resets", len(s.hosts["a1"].resets)-resets, "probes", s.countLogged("a1", "targetProbed")-probes)
	for _, r := range s.hosts["a1"].resets[resets:] {
		require.NotEqual(t, c.address, r.Caller, "reset without a check, while its target's answer is under way")
	}
	require.Equal(t, sentOn, s.countLogged("a1", "flowSentOn"))
}

// An answer to an opening packet is lost. Its target lives, has a quarter of its places left
// or a few less, and shows life since: before, the copy went there again.
func TestResentOpeningGoesToFirstTargetIfItResponds(t *testing.T) {
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
	t.Log("held", s.held, "first", first, "copy", c.target)
	require.Equal(t, first, c.target)
}

// Load: a target with 200 openings turns out to be full. Symptom: all other packets wait.
// Cause: each of them is placed anew in one event.
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
		c.open("a1", 1) // So they may be sent on.
	}
	for id := range s.targets {
		s.probeOutcomes[id] = steerer.ProbeClosed
	}
	before, most := s.countLogged("a1", "flowSentOn"), 0
	for range 20 {
		s.step(steerer.TickInterval)
		s.keepFlowsActive()
		now := s.countLogged("a1", "flowSentOn")
		before, most = now, max(most, now-before)
	}
	t.Log("sent on", before, "most in a tick", most)
	require.Greater(t, before, 40)
	require.LessOrEqual(t, most, 50, "those of the tick before and those of this one")
}
