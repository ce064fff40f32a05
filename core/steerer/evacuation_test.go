package steerer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

// targetZone returns the zone of the target that the last packet through a host reached.
func (f *fleet) targetZone(id string) string { return f.targets[id].AvailabilityZone }

// openOnAllHosts opens a flow through each host and returns the zones that got one.
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

// Symptom: a zone that operators have ordered to be evacuated goes on getting flows, and
// they are cut when it fails. Sequence: an order is written; hosts of all zones place
// flows; the order is taken back. Cause: nobody reads orders.
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

// Symptom: dashboards and uploads are cut by an order that was to save them. Sequence: a
// flow is open at a zone that is evacuated. Cause: open flows are moved or reset, though
// only their target has them.
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

// Symptom: a request reaches a zone seconds after it was evacuated, by a copy of an
// opening packet. Sequence: a flow opens, the order comes, the caller repeats its opening
// packet; the target has shown life to others. Cause: copies follow the first packet
// whatever has become of its target.
func TestRetransmittedSYNAvoidsEvacuatedZone(t *testing.T) {
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

// Symptom: a zone under evacuation goes on getting liveness checks. Sequence: a target does
// not answer, its zone is evacuated, and it is checked again and again though no flow
// waits for it. Cause: checks know nothing of orders.
func TestEvacuatedTargetsAreNotChecked(t *testing.T) {
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

// Symptom: feeds fail at their deadline though other zones work. Sequence: a zone is
// evacuated, then its targets crash. Cause: open flows stay there, and nobody checks
// whether their targets live.
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

// Symptom: callers wait for an answer that never comes. Sequence: all zones are
// evacuated. Cause: a flow without a target is dropped; it has to be refused at once.
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

// Symptom: a zone that is cut off serves nobody, though its targets are well. Sequence:
// it is evacuated, then cut off from all other zones and from the platform. Cause: an
// order that may have been taken back long ago is obeyed for ever. While the order is
// known to hold it is obeyed.
func TestPartitionedHostServesItsEvacuatedZone(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.evacuate("a")
	f.step(2 * time.Second)
	f.splitZone("a")
	f.deniedHosts["a1"] = true
	for id, target := range f.targets {
		if target.AvailabilityZone == "b" {
			f.probeOutcomes[id] = steerer.ProbeConnectTimeout
		}
	}
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

// Symptom: an evacuated zone gets flows again while the platform is away, though other zones
// have room. Sequence: an order is known, the platform falls silent for longer than news may
// take. Cause: an order that nobody confirms counts as taken back.
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

// Symptom: hosts that start while the store is away send to an evacuated zone. Sequence:
// an order is written, the store goes silent, a host starts. Cause: orders are learned
// from the store alone.
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

// Symptom: an order is forgotten with a loss of all hosts. Sequence: it is written, all
// hosts lose power in the same moment and start again. Cause: orders are told as changes
// only, and the first read does not bring them.
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

// A host that the platform turns away learns orders from the others in time.
func TestDeniedHostLearnsOrdersFromPeers(t *testing.T) {
	f := newFleet(t, 2, 2, 2)
	f.deniedHosts["b1"] = true
	f.evacuate("b")
	f.step(2 * time.Second)
	require.Equal(t, []string{"b"}, f.hosts["b1"].steerer.SyncStatus().Evacuated)
}

// Orders may have to be known sooner than settings.
func TestOrdersAreReadWithinPropagationLimit(t *testing.T) {
	f := newFleet(t, 1)
	f.evacuatedWithin = time.Second
	f.kill("a1")
	f.start("a1")
	f.step(2 * time.Second)
	f.evacuate("a")
	f.step(600 * time.Millisecond)
	require.NotEmpty(t, f.hosts["a1"].steerer.SyncStatus().Evacuated)
}

// Whatever happens to hosts, links and the platform, a host that has been in touch for
// longer than the bound sends nothing new to a zone that has been evacuated for longer
// than it. The oracle is the sequence of the operators' orders with their times.
func TestOrdersHoldUnderFaults(t *testing.T) {
	const within = 3 * time.Second
	zones := []string{"a", "b", "c"}
	for seed := range uint64(12) {
		random := rand.New(rand.NewPCG(seed, 0))
		f := newFleet(t, 3, 3, 3)
		evacuatedAt := map[string]time.Duration{}
		calmSince := map[string]time.Duration{} // Since when a host has run and reached all.
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
				calmSince[name] = clock
			case 3:
				f.deniedHosts[name] = !f.deniedHosts[name]
			case 4:
				f.splitZone(zone)
				for _, one := range f.names {
					calmSince[one] = clock + time.Second
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
				if evacuated && clock-since > within && clock-calmSince[one] > within && !f.deniedHosts[one] {
					require.Failf(t, "a new flow in an evacuated zone", "seed %d, step %d, host %s, target %s, evacuated for %v", seed, step, one, c.target, clock-since)
				}
			}
		}
	}
}
