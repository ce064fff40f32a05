package steerer_test

import (
	"testing"
	"time"

	"cranberryspan.dev/core/steerer"
	"cranberryspan.dev/core/timekeeper"
	"github.com/stretchr/testify/require"
)

// callerPool are callers with open flows that ask again and again, through hosts in turn.
type callerPool struct {
	f       *fleet
	callers []*caller
	hosts   []string
	// unresponsiveTargets are the targets that answer nothing, and asked is when a caller has sent
	// what is not answered yet.
	unresponsiveTargets map[string]bool
	pendingSince        map[*caller]timekeeper.Instant
}

// retransmitInterval is after how long a caller sends its packet again.
const retransmitInterval = 200 * time.Millisecond

// newCallerPool opens flows through each host of some names.
func newCallerPool(f *fleet, perHost int, names ...string) *callerPool {
	all := &callerPool{f: f, unresponsiveTargets: map[string]bool{}, pendingSince: map[*caller]timekeeper.Instant{}}
	for _, name := range names {
		for range perHost {
			c := f.caller(len(all.callers), readRoute)
			c.open(name, 0)
			c.establish(name)
			all.callers = append(all.callers, c)
			all.hosts = append(all.hosts, name)
			f.step(steerer.TickInterval)
		}
	}
	return all
}

// run lets every flow ask in turn, one every ten milliseconds, answered after one more
// unless its target is silent.
func (a *callerPool) run(span time.Duration) {
	for clock := time.Duration(0); clock < span; clock += 10 * time.Millisecond {
		at := int(clock/(10*time.Millisecond)) % len(a.callers)
		c, name := a.callers[at], a.hosts[at]
		a.sendOrRetransmit(c, name)
		a.f.step(10 * time.Millisecond)
		if _, waits := a.pendingSince[c]; waits && !a.unresponsiveTargets[c.target] {
			c.ackResponse(name)
			delete(a.pendingSince, c)
		}
	}
}

// sendOrRetransmit lets a caller ask, or repeat what it has asked long enough ago.
func (a *callerPool) sendOrRetransmit(c *caller, name string) {
	at, waits := a.pendingSince[c]
	switch {
	case !waits:
		c.sendRequest(name)
		a.pendingSince[c] = a.f.now
	case a.f.now.Since(at) >= retransmitInterval:
		c.retransmit(name)
	}
}

// crashZone silences the ledger's targets of a zone.
func (a *callerPool) crashZone(zone string) {
	for id, target := range a.f.targets {
		if target.AvailabilityZone == zone && target.Service == "ledger" {
			a.unresponsiveTargets[id] = true
			a.f.probeOutcomes[id] = steerer.ProbeConnectTimeout
		}
	}
}

// Symptom: requests of a zone whose targets have crashed are late by the length of a
// repeat and a check, and those asked anew are sent to the next dead target. Sequence: a
// zone crashes without a word; callers open flows and ask on open ones. Cause: each
// target is found out by itself, by a caller that had to repeat itself.
//
// Grounds of the figures: callers repeat after 200 ms, a check takes 150 ms and the host
// notices it late here, so that a host that waits for repeats needs 450 ms a target.
func TestCrashedZoneIsAvoidedImmediately(t *testing.T) {
	f := newFleet(t, 1, 1)
	all := newCallerPool(f, 9, "a1")
	all.run(2 * time.Second)
	all.crashZone("a")
	probe := f.caller(500, checkRoute)
	probe.open("a1", 0)
	require.Equal(t, "a", f.targetZone(probe.target))
	f.step(170 * time.Millisecond) // No caller has repeated itself yet.
	for n := range 10 {
		c := f.caller(600+n, checkRoute)
		c.open("a1", 0)
		require.Equal(t, "b", f.targetZone(c.target), "no caller is sent to a dead neighbour")
	}
	f.step(250 * time.Millisecond)
	for _, c := range all.callers {
		c.sendRequest("a1")
	}
	require.Len(t, f.hosts["a1"].resets, len(all.callers), "each is told at once to ask anew")
}

// Symptom: flows go to other zones, where they cost more, whenever one target crashes.
// Sequence: one of a zone's targets falls silent, the others answer. Cause: the silence of
// one taken for that of all.
func TestOneCrashedTargetDoesNotEmptyItsZone(t *testing.T) {
	f := newFleet(t, 1, 1)
	all := newCallerPool(f, 9, "a1")
	all.run(2 * time.Second)
	dead := all.callers[0].target
	all.unresponsiveTargets[dead] = true
	f.probeOutcomes[dead] = steerer.ProbeConnectTimeout
	all.run(time.Second)
	for n := range 3 { // As many as the two others have room for.
		c := f.caller(600+n, checkRoute)
		c.open("a1", 0)
		require.Equal(t, "a", f.targetZone(c.target))
		require.NotEqual(t, dead, c.target)
	}
}

// Symptom: a host that is short of processor time resets flows whose targets work.
// Sequence: the answers to its checks come in time, and it looks at them too late. Cause:
// a check that ended by the host's own lateness counts as the target's silence.
func TestLateProbeDoesNotMakeTargetUnreachable(t *testing.T) {
	f := newFleet(t, 1)
	all := newCallerPool(f, 6, "a1")
	all.run(time.Second)
	c := all.callers[0]
	c.sendRequest("a1")
	f.step(400 * time.Millisecond)
	other := all.callers[1]
	require.NotEqual(t, c.target, other.target)
	other.sendRequest("a1")
	other.ackResponse("a1") // The zone works, so the check is a long one.
	c.retransmit("a1")
	f.reduce("a1", &steerer.ProbeCompleted{Target: c.target, Outcome: steerer.ProbeConnectTimeout, Took: 310 * time.Millisecond})
	require.Empty(t, f.hosts["a1"].resets)
}

// Symptom: a target that has crashed costs a late request at each host of its zone.
// Sequence: one host finds it silent. Cause: it tells nobody. What it tells makes nobody
// reset anything: a host that reaches the target keeps its flows.
func TestUnresponsiveTargetsAreReportedToOtherHosts(t *testing.T) {
	f := newFleet(t, 3)
	all := newCallerPool(f, 6, "a1", "a2")
	all.run(time.Second)
	dead := all.callers[0].target
	f.probeOutcomes[dead] = steerer.ProbeConnectTimeout
	c := all.callers[0]
	c.sendRequest("a1")
	f.step(200 * time.Millisecond)
	c.retransmit("a1")
	f.step(400 * time.Millisecond)
	require.Len(t, f.hosts["a1"].resets, 1)
	delete(f.probeOutcomes, dead) // The others reach it.
	for _, name := range []string{"a2", "a3"} {
		for n := range 10 {
			c := f.caller(700+n, checkRoute)
			c.open(name, 0)
			require.NotEqual(t, dead, c.target, name)
		}
	}
	f.step(time.Second)
	require.Empty(t, f.hosts["a2"].resets)
}

// openFlowInIsolatedZone has zone a evacuated, then cut off from some others whose targets fall
// silent with their hosts, and opens a flow there.
func openFlowInIsolatedZone(t *testing.T, others ...string) (*fleet, *caller) {
	hosts := []int{2}
	for range others {
		hosts = append(hosts, 2)
	}
	f := newFleet(t, hosts...)
	f.evacuate("a")
	f.step(2 * time.Second)
	all := newCallerPool(f, 8, "a1")
	all.run(2 * time.Second)
	f.splitZone("a")
	for _, zone := range others {
		all.crashZone(zone)
	}
	all.run(1200 * time.Millisecond)
	c := f.caller(600, checkRoute)
	c.open("a1", 0)
	return f, c
}

// Symptom: an evacuated zone that is cut off loses every request, though its targets are
// well. Sequence: the order comes, then the cut; its hosts reach no target but their own,
// and hear no host of another zone. Cause: the order is obeyed by a host that nobody can
// tell that it still holds. As soon as others are heard it holds again.
func TestPartitionedEvacuatedZoneUsesItsOwnTargets(t *testing.T) {
	f, c := openFlowInIsolatedZone(t, "b", "c")
	require.Equal(t, "a", f.targetZone(c.target))
	clear(f.cutLinks)
	f.step(1500 * time.Millisecond)
	c = f.caller(601, checkRoute)
	c.open("a1", 0)
	require.NotEqual(t, "a", f.targetZone(c.target))
}

// The same with one other zone: it may be that one that was lost, so the order holds.
func TestEvacuationOrderHoldsWhenOnlyOtherZoneIsLost(t *testing.T) {
	f, c := openFlowInIsolatedZone(t, "b")
	require.NotEqual(t, "a", f.targetZone(c.target))
}

// Symptom: requests fail at their deadline although they arrive at hosts that work.
// Sequence: a zone loses power, hosts and targets; the fabric hands its callers' packets to
// another zone, whose hosts have never sent anything to the lost targets. Cause: each waits
// for one more repeat of the caller.
func TestFlowsOfALostZoneAreResetPromptly(t *testing.T) {
	f := newFleet(t, 2, 2)
	all := newCallerPool(f, 4, "a1", "a2")
	all.run(time.Second)
	all.crashZone("a")
	f.kill("a1")
	f.kill("a2")
	f.step(1300 * time.Millisecond)
	for _, c := range all.callers {
		c.sendRequest("b1")
	}
	f.step(300 * time.Millisecond)
	require.Len(t, f.hosts["b1"].resets, len(all.callers))
}
