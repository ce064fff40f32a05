package steerer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

// targetZone returns the availability zone of a target.
func (f *fleet) targetZone(id string) string { return f.targets[id].AvailabilityZone }

// openOnAllHosts opens a flow through each ready host and counts the flows by zone.
func (f *fleet) openOnAllHosts(first int) map[string]int {
	zones := map[string]int{}
	for i, name := range f.names {
		if !f.hosts[name].running || !f.hosts[name].steerer.Ready() {
			continue
		}
		c := f.caller(first+i, checkRoute)
		c.open(name, 0)
		if c.target != "" {
			zones[f.targetZone(c.target)]++
		}
	}
	return zones
}

// Guards against ignoring evacuation orders: an order is issued, hosts of all zones place
// flows, and the order is withdrawn. Flows that a zone still gets would be cut when it fails.
func TestEvacuatedZoneGetsNoNewFlows(t *testing.T) {
	f := newFleet(t, 2, 2, 2)
	require.Contains(t, f.openOnAllHosts(0), "a")
	f.evacuate("a")
	f.step(2 * time.Second)
	require.NotContains(t, f.openOnAllHosts(100), "a")
	f.withdrawEvacuation("a")
	f.step(2 * time.Second)
	require.Contains(t, f.openOnAllHosts(200), "a")
}

// Guards against moving or resetting the open flows of an evacuated zone, which only their
// target can serve. The order is meant to protect them.
func TestOpenFlowsStayInAnEvacuatedZone(t *testing.T) {
	f := newFleet(t, 1, 1)
	c := f.caller(1, readRoute)
	c.open("a1", 0)
	require.Equal(t, "a", f.targetZone(c.target))
	c.establish("a1")
	f.evacuate("a")
	f.step(2 * time.Second)
	c.sendRequest("a1")
	require.Equal(t, c.target, f.lastTarget("a1"))
	require.Empty(t, f.hosts["a1"].resets)
}

// A flow opens, the order arrives, and the caller retransmits its opening packet while other
// flows show that the target is alive. Guards against sending the retransmission to the first
// target although its zone is evacuated by then.
func TestRetransmittedOpeningAvoidsEvacuatedZone(t *testing.T) {
	f := newFleet(t, 1, 1)
	var others []*caller
	for n := range 6 {
		others = append(others, f.caller(10+n, readRoute))
		others[n].open("a1", 0)
		others[n].establish("a1")
	}
	c := f.caller(1, checkRoute)
	c.open("a1", 0)
	require.Equal(t, "a", f.targetZone(c.target))
	f.step(50 * time.Millisecond)
	for _, other := range others {
		other.sendRequest("a1")
		other.ackResponse("a1")
	}
	f.evacuate("a")
	f.reduce("a1", &steerer.SettingsRead{Started: f.now, Published: steerer.Published{Settings: f.settings, Orders: f.orders}})
	f.step(150 * time.Millisecond)
	c.open("a1", 1)
	require.Equal(t, "b", f.targetZone(c.target))
}

// A target does not respond and its zone is evacuated. Guards against health checks that
// ignore orders and go on although no flow waits for the target.
func TestEvacuatedTargetsAreNotProbed(t *testing.T) {
	f := newFleet(t, 1, 1)
	c := f.caller(1, readRoute)
	c.open("a1", 0)
	c.establish("a1")
	f.probeOutcomes[c.target] = steerer.ProbeConnectTimeout
	c.sendRequest("a1")
	f.step(time.Second)
	c.retransmit("a1")
	f.step(3 * time.Second)
	require.NotZero(t, f.probes)
	f.evacuate("a")
	f.step(2 * time.Second)
	f.probes = 0
	f.step(10 * time.Second)
	require.Zero(t, f.probes)
	f.withdrawEvacuation("a")
	f.step(5 * time.Second)
	require.NotZero(t, f.probes, "the target may be back, so it is checked again")
}

// A zone is evacuated, then its targets crash. Guards against leaving the open flows there
// without health checks, so that their requests fail at the deadline although other zones
// work.
func TestCrashOfEvacuatedZoneResetsOpenFlows(t *testing.T) {
	f := newFleet(t, 1, 1)
	c := f.caller(1, readRoute)
	c.open("a1", 0)
	c.establish("a1")
	require.Equal(t, "a", f.targetZone(c.target))
	f.evacuate("a")
	f.step(2 * time.Second)
	f.probeOutcomes[c.target] = steerer.ProbeConnectTimeout
	c.sendRequest("a1")
	f.step(200 * time.Millisecond)
	c.retransmit("a1")
	f.step(300 * time.Millisecond)
	require.Len(t, f.hosts["a1"].resets, 1)
}

// All zones are evacuated. Guards against dropping a flow without a target, whose caller
// would wait for a response that never comes; the flow has to be refused at once.
func TestFlowsAreRefusedIfAllZonesAreEvacuated(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.evacuate("a")
	f.evacuate("b")
	f.step(2 * time.Second)
	c := f.caller(1, checkRoute)
	c.open("a1", 0)
	require.Empty(t, c.target)
	require.Len(t, f.hosts["a1"].resets, 1)
	last := f.hosts["a1"].logs[len(f.hosts["a1"].logs)-1]
	require.Equal(t, "flowRefused", last.Event)
	require.Contains(t, last.Fields, steerer.Field{Key: "reason", Value: "zoneEvacuated"})
}

// isolateHostOfZoneA partitions zone a, of which a1 is the only host, from zone b and from the
// platform.
func (f *fleet) isolateHostOfZoneA() {
	f.splitZone("a")
	f.deniedHosts["a1"] = true
	for id, target := range f.targets {
		if target.AvailabilityZone == "b" {
			f.probeOutcomes[id] = steerer.ProbeConnectTimeout
		}
	}
}

// A zone is evacuated, then partitioned from all other zones and from the platform. Guards
// against following an order forever that may have been withdrawn long ago, so that the zone
// serves no callers although its targets work. While the order is known to hold, it is
// followed.
func TestPartitionedHostServesItsEvacuatedZone(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.evacuate("a")
	f.step(2 * time.Second)
	f.isolateHostOfZoneA()
	n := 0
	open := func() string {
		n++
		c := f.caller(n, checkRoute)
		c.open("a1", 0)
		f.step(200 * time.Millisecond)
		c.open("a1", 1)
		f.step(300 * time.Millisecond)
		return f.targetZone(c.target)
	}
	for range 3 {
		require.NotEqual(t, "a", open(), "the order is known to be new")
	}
	for range 8 {
		open()
	}
	require.Equal(t, "a", open())
}

// An order is known, and the platform is down for longer than orders may take to propagate.
// Guards against treating an unconfirmed order as withdrawn while other zones have capacity.
func TestOrdersOutlastPlatformOutage(t *testing.T) {
	f := newFleet(t, 2, 2)
	f.evacuate("a")
	f.step(2 * time.Second)
	f.down = true
	f.step(10 * time.Second)
	zones := f.openOnAllHosts(0)
	require.NotContains(t, zones, "a")
	require.NotEmpty(t, zones)
}

// An order is issued, the platform becomes unavailable, and a host starts. Guards against
// learning orders only from the platform, so that the host sends flows to an evacuated zone.
func TestHostStartedDuringPlatformOutageLearnsOrders(t *testing.T) {
	f := newFleet(t, 2, 2)
	f.evacuate("a")
	f.step(2 * time.Second)
	f.down = true
	f.kill("a1")
	f.step(time.Second)
	f.start("a1")
	f.step(time.Second)
	require.True(t, f.hosts["a1"].steerer.Ready())
	c := f.caller(1, checkRoute)
	c.open("a1", 0)
	require.Equal(t, "b", f.targetZone(c.target))
}

// An order is issued, and all hosts lose power at the same time and start again. Guards
// against a first read without orders, because orders are reported only as changes.
func TestOrdersOutlastLossOfAllHosts(t *testing.T) {
	f := newFleet(t, 2, 2)
	f.evacuate("a")
	for _, name := range f.names {
		f.kill(name)
	}
	f.step(time.Second)
	for _, name := range f.names {
		f.start(name)
	}
	f.step(500 * time.Millisecond)
	zones := f.openOnAllHosts(0)
	require.NotContains(t, zones, "a")
	require.NotEmpty(t, zones)
}

// A host whose reads the platform denies learns orders from other hosts in time.
func TestDeniedHostLearnsOrdersFromPeers(t *testing.T) {
	f := newFleet(t, 2, 2, 2)
	f.deniedHosts["b1"] = true
	f.evacuate("b")
	f.step(2 * time.Second)
	require.Equal(t, []string{"b"}, f.hosts["b1"].steerer.SyncStatus().Evacuated)
}

// Orders may have a shorter propagation limit than settings.
func TestOrdersAreReadWithinPropagationLimit(t *testing.T) {
	f := newFleet(t, 1)
	f.evacuationPropagationLimit = time.Second
	f.kill("a1")
	f.start("a1")
	f.step(2 * time.Second)
	f.evacuate("a")
	f.step(600 * time.Millisecond)
	require.NotEmpty(t, f.hosts["a1"].steerer.SyncStatus().Evacuated)
}

// Under faults of hosts, links and the platform, a host that has been connected for longer
// than the propagation limit sends no new flow to a zone that has been evacuated for longer
// than the limit. The oracle is the sequence of the operators' orders with their times.
func TestOrdersHoldUnderFaults(t *testing.T) {
	const propagationLimit = 3 * time.Second
	zones := []string{"a", "b", "c"}
	for seed := range uint64(12) {
		random := rand.New(rand.NewPCG(seed, 0))
		f := newFleet(t, 3, 3, 3)
		evacuatedAt := map[string]time.Duration{}
		connectedSince := map[string]time.Duration{} // Since when a host has run with all links up.
		clock := time.Duration(0)
		for step := range 120 {
			zone, name := zones[random.IntN(3)], f.names[random.IntN(len(f.names))]
			switch random.IntN(12) {
			case 0:
				if _, ok := evacuatedAt[zone]; !ok {
					f.evacuate(zone)
					evacuatedAt[zone] = clock
				}
			case 1:
				if _, ok := evacuatedAt[zone]; ok {
					f.withdrawEvacuation(zone)
					delete(evacuatedAt, zone)
				}
			case 2:
				f.kill(name)
				f.start(name)
				connectedSince[name] = clock
			case 3:
				f.deniedHosts[name] = !f.deniedHosts[name]
			case 4:
				f.splitZone(zone)
				for _, one := range f.names {
					connectedSince[one] = clock + time.Second
				}
				f.step(time.Second)
				clock += time.Second
				clear(f.cutLinks)
			}
			f.step(250 * time.Millisecond)
			clock += 250 * time.Millisecond
			for i, one := range f.names {
				c := f.caller(1000+step*len(f.names)+i, checkRoute)
				c.open(one, 0)
				since, evacuated := evacuatedAt[f.targetZone(c.target)]
				if evacuated && clock-since > propagationLimit && clock-connectedSince[one] > propagationLimit && !f.deniedHosts[one] {
					require.Failf(t, "a new flow in an evacuated zone", "seed %d, step %d, host %s, target %s, evacuated for %v", seed, step, one, c.target, clock-since)
				}
			}
		}
	}
}

// Guards against a zone of last resort whose recovered targets get no flows.
func TestRecoveredTargetOfLastResortZoneIsUsed(t *testing.T) {
	f := newFleet(t, 1, 1)
	cutTarget(f)
	f.evacuate("a")
	f.step(2 * time.Second)
	f.isolateHostOfZoneA()
	delete(f.probeOutcomes, unresponsiveTarget)
	placed := map[string]int{}
	for n := range 60 {
		c := f.caller(3000+n, checkRoute)
		c.open("a1", 0)
		f.step(200 * time.Millisecond)
		if f.targetZone(c.target) == "a" {
			placed[c.target]++
			c.establish("a1")
			continue
		}
		c.open("a1", 1)
		f.step(300 * time.Millisecond)
	}
	require.NotEmpty(t, placed)
	require.Contains(t, placed, unresponsiveTarget, "%v", placed)
}

// Guards against a host that overrides an order because it has just started: when its first read
// may be outdated, and neither the platform nor another host confirms it for a moment.
func TestStartedHostFollowsAnOrderThatIsNotConfirmedYet(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.evacuate("a")
	f.step(2 * time.Second)
	f.kill("a1")
	f.splitZone("a")
	for id, target := range f.targets {
		if target.AvailabilityZone == "b" {
			f.probeOutcomes[id] = steerer.ProbeConnectTimeout
		}
	}
	f.start("a1")
	f.runUntil(f.now.Add(2 * linkDelay))
	f.down = true
	for n := range 5 {
		c := f.caller(n, checkRoute)
		c.open("a1", 0)
		f.step(200 * time.Millisecond)
		c.open("a1", 1)
		f.step(300 * time.Millisecond)
		require.NotEqual(t, "a", f.targetZone(c.target), "flow %d", n)
	}
}

// Guards against an outdated order that counts as withdrawn: a host that hears from nobody outside
// its zone tries the targets of other zones first, which may respond.
func TestOutdatedOrderMakesItsZoneOnlyALastResort(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.evacuate("a")
	f.step(2 * time.Second)
	f.isolateHostOfZoneA()
	f.step(6 * time.Second)
	c := f.caller(1, checkRoute)
	c.open("a1", 0)
	require.Equal(t, "b", f.targetZone(c.target))
}
