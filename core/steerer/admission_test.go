package steerer_test

import (
	"strings"
	"testing"
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

// ledgerSlots is the room of the fixture's ledger.
const ledgerSlots = 18

// ledgerDemand is demand for the ledger, in thousandths of a slot by told priority.
func ledgerDemand(asked ...messenger.PriorityDemand) []messenger.ServiceDemand {
	return []messenger.ServiceDemand{{Service: "ledger", ByPriority: asked}}
}

// urgentOverload leaves nothing for new flows of priority 2: urgent callers ask for 10 of 18
// slots, reads of open flows for 9, and others want more.
func urgentOverload() []messenger.ServiceDemand {
	return ledgerDemand(
		messenger.PriorityDemand{Priority: 1, MilliSlots: 10_000},
		messenger.PriorityDemand{Priority: -3, MilliSlots: 9_000},
		messenger.PriorityDemand{Priority: 2, MilliSlots: 5_000},
	)
}

// calibratedPair is two hosts of a zone, of which a1 knows how long answers take.
func calibratedPair(t *testing.T) *fleet {
	f := newFleet(t, 2)
	f.settings = newSettings(2, objectiveRoutes())
	f.step(2 * time.Second)
	for n := range 60 {
		requestWithLatency(f, "a1", 20_000+n, 100*time.Millisecond)
	}
	return f
}

// deliverReport lets a1 hear from a host of a zone, and brings its view up to date.
func deliverReport(f *fleet, from string, report *messenger.Report) {
	report.Address, report.Incarnation = f.hosts["a2"].address, 1
	f.reduce("a1", &steerer.ReportReceived{From: from, Report: report})
	f.step(60 * time.Millisecond)
}

func opens(c *caller) bool {
	c.open("a1", 0)
	return c.target != ""
}

// lastRefusal is the latest line of a1 on a refused flow.
func lastRefusal(f *fleet) string {
	var last string
	for _, l := range f.hosts["a1"].logs {
		if l.Event == "flowRefused" {
			var fields []string
			for _, one := range l.Fields {
				fields = append(fields, one.Key+"="+one.Value)
			}
			last = strings.Join(fields, " ")
		}
	}
	return last
}

// Symptom: in a crowd urgent requests are late, since reads take their places. Sequence:
// other hosts' callers and this one's ask for more than there is room for; a read and a
// check open at this host, where nothing waits. Cause: a host that goes by what waits at
// itself.
func TestLowPriorityIsRefusedWhenHigherPrioritiesTakeAllCapacity(t *testing.T) {
	f := calibratedPair(t)
	congest(f, 21_000)
	deliverReport(f, "a2", &messenger.Report{AvailabilityZone: "a", Demands: urgentOverload()})
	require.Equal(t, 1, f.hosts["a1"].steerer.Snapshot().Overloaded)
	require.False(t, opens(f.caller(1, readRoute)))
	require.Contains(t, lastRefusal(f), "reason=noRoom")
	require.Contains(t, lastRefusal(f), "priority=2")
	require.NotZero(t, f.hosts["a1"].steerer.Snapshot().Counters[steerer.RefusedNoCapacity])
	for n := range 20 {
		require.True(t, opens(f.caller(100+n, checkRoute)), "urgent callers fit in %s", lastRefusal(f))
	}
}

// Symptom: callers are refused while slots idle. Sequence: hosts believe that too much is
// asked; answers come as quickly as usual. Cause: an estimate that answers don't overrule.
func TestNoRefusalsWhileResponsesAreFast(t *testing.T) {
	f := calibratedPair(t)
	deliverReport(f, "a2", &messenger.Report{AvailabilityZone: "a", Demands: urgentOverload()})
	require.Zero(t, f.hosts["a1"].steerer.Snapshot().Overloaded)
	require.True(t, opens(f.caller(1, readRoute)))
}

// Symptom: a host that is cut off from its zone refuses by what another zone asks.
// Sequence: a service is short; no host of the own zone reports any more. Cause: a demand
// of which the own zone's part is missing is shared out.
func TestIsolatedHostFallsBackToItsOwnWindow(t *testing.T) {
	f := calibratedPair(t)
	congest(f, 21_000)
	deliverReport(f, "b9", &messenger.Report{AvailabilityZone: "b", ZoneDemands: urgentOverload()})
	require.Equal(t, 1, f.hosts["a1"].steerer.Snapshot().Overloaded)
	f.kill("a2")
	f.step(1500 * time.Millisecond)
	require.Greater(t, f.hosts["a1"].steerer.Snapshot().Demand, float64(ledgerSlots), "the other zone's word still counts")
	require.Zero(t, f.hosts["a1"].steerer.Snapshot().Overloaded)
	require.True(t, opens(f.caller(1, readRoute)), "nothing waits at this host")
}

// Symptom: a zone lets everybody in while callers of another fill its targets. Cause: what
// other zones' callers ask is not known.
func TestDemandIncludesOtherZones(t *testing.T) {
	f := calibratedPair(t)
	before := f.hosts["a1"].steerer.Snapshot().Demand
	deliverReport(f, "b9", &messenger.Report{AvailabilityZone: "b", ZoneDemands: urgentOverload()})
	require.InDelta(t, before+24, f.hosts["a1"].steerer.Snapshot().Demand, 2)
}

// Load: callers of one host ask for more than half of the room. Its neighbour hears of it,
// and on calm days no report says anything.
func TestDemandIsReportedAboveHalfOfCapacity(t *testing.T) {
	f := calibratedPair(t)
	require.Less(t, f.hosts["a2"].steerer.Snapshot().Demand, 1.0)
	for n := range 400 {
		c := f.caller(2000+n, checkRoute)
		c.open("a1", 0)
		c.establish("a1")
		if n%20 == 0 {
			f.step(25 * time.Millisecond)
		}
	}
	f.step(300 * time.Millisecond)
	require.Greater(t, f.hosts["a2"].steerer.Snapshot().Demand, ledgerSlots/2.0)
}

// Symptom: hosts keep services for ever that a broken report has named. Cause: words on
// services that nobody lists.
func TestDemandForUnknownServicesIsIgnored(t *testing.T) {
	f := calibratedPair(t)
	before := f.hosts["a1"].steerer.Snapshot().Demand
	report := &messenger.Report{AvailabilityZone: "a", Demands: []messenger.ServiceDemand{{Service: "nobody", ByPriority: urgentOverload()[0].ByPriority}}}
	deliverReport(f, "a2", report)
	require.InDelta(t, before, f.hosts["a1"].steerer.Snapshot().Demand, 1)
}

// Symptom: a zone that is short lets everybody in for some seconds. Sequence: another zone
// tells what its callers ask; a second host of it, which knows of no demand, tells only how
// many flows targets have. Cause: a word of flows that is taken for one of no demand.
func TestFlowCountReportDoesNotClearDemand(t *testing.T) {
	f := calibratedPair(t)
	before := f.hosts["a1"].steerer.Snapshot().Demand
	deliverReport(f, "b9", &messenger.Report{AvailabilityZone: "b", ZoneDemands: urgentOverload()})
	require.InDelta(t, before+24, f.hosts["a1"].steerer.Snapshot().Demand, 2)
	deliverReport(f, "b8", &messenger.Report{AvailabilityZone: "b", ZoneDemands: []messenger.ServiceDemand{{Service: "ledger", OpenFlows: 9}}})
	require.InDelta(t, before+24, f.hosts["a1"].steerer.Snapshot().Demand, 2)
}

// delayResponses lets answers be late by so much that requests wait for a third of their
// callers' spare time.
func delayResponses(f *fleet, from int) {
	for n := range 40 {
		requestWithLatency(f, "a1", from+n, 150*time.Millisecond)
	}
}

// Symptom: checks of a low priority get in while reads of a higher one are refused.
// Sequence: reads of a higher priority take all that is left; a check opens. Cause: requests
// that may not run again get in whatever the shares say until targets are full.
func TestNonRetryableRequestsDoNotBypassHigherPriorities(t *testing.T) {
	f := newFleet(t, 2)
	all := objectiveRoutes()
	all[0].Priority, all[1].Priority = 1, 2
	f.settings = newSettings(2, all)
	f.step(2 * time.Second)
	for n := range 60 {
		requestWithLatency(f, "a1", 20_000+n, 100*time.Millisecond)
	}
	congest(f, 21_000)
	delayResponses(f, 22_000)
	crowd := ledgerDemand(messenger.PriorityDemand{Priority: 1, MilliSlots: 40_000})
	deliverReport(f, "a2", &messenger.Report{AvailabilityZone: "a", Demands: crowd})
	require.Equal(t, 1, f.hosts["a1"].steerer.Snapshot().Overloaded)
	require.False(t, opens(f.caller(1, checkRoute)))
	require.Contains(t, lastRefusal(f), "reason=noRoom")
	require.True(t, opens(f.caller(2, readRoute)), "a part of the reads fits in: %s", lastRefusal(f))
}

// Symptom: urgent callers are refused, since more get in than fits. Sequence: a route
// without an objective is asked for; how long its work takes is not learned. Cause: requests
// that count as nothing.
func TestUnknownProcessingTimeDefaultsToThatOfTheService(t *testing.T) {
	f := newFleet(t, 1)
	all := objectiveRoutes()
	all[0].LatencyObjective = 0
	f.settings = newSettings(2, all)
	f.step(2 * time.Second)
	for n := range 60 {
		requestWithLatency(f, "a1", 20_000+n, 100*time.Millisecond)
	}
	before := f.hosts["a1"].steerer.Snapshot().Demand
	for n := range 30 {
		f.caller(100+n, readRoute).open("a1", 0)
	}
	f.step(60 * time.Millisecond)
	f.caller(200, readRoute).open("a1", 0)
	require.Greater(t, f.hosts["a1"].steerer.Snapshot().Demand, before+5)
}

// Symptom: flows to quick targets with slots free are refused while requests of open flows
// wait for slow ones. Sequence: a target turns slow; its service is pressed, and what its
// open flows ask waits at the host. Cause: lines that count whatever they wait for.
func TestQueueForSlowTargetDoesNotRefuseFlowsToOthers(t *testing.T) {
	f := congestedHost(t)
	waiting := openOn(f, "a1", failingTarget, 1000, true)
	slow := openFlowsAt(f, "a1", failingTarget, 2000, 3)
	for range 4 {
		requestAll(f, "a1", slow, 2*time.Second)
	}
	require.Greater(t, statusOf(f, "a1", failingTarget).Slowness, 1.5*statusOf(f, "a1", "i-10000002").Slowness)
	require.Equal(t, 1, f.hosts["a1"].steerer.Snapshot().Congested)
	for _, one := range slow {
		one.sendRequest("a1") // They take what this host may have under way.
	}
	waiting.sendRequest("a1")
	require.Equal(t, 1, queuedRequests(f))
	c := f.caller(2, readRoute)
	require.True(t, opens(c), lastRefusal(f))
	require.NotEqual(t, failingTarget, c.target)
}

// Symptom: a zone's demand is overstated twice, and callers are refused. Sequence: all callers
// come to one of two hosts; the other has none. Cause: a host that says nothing of its
// demand because there is none, and counts as one of which nothing is known.
func TestIdleHostReportsZeroDemand(t *testing.T) {
	f := calibratedPair(t)
	for n := range 800 {
		c := f.caller(2000+n, checkRoute)
		c.open("a1", 0)
		c.establish("a1")
		if n%20 == 0 {
			f.step(25 * time.Millisecond)
		}
	}
	asked := 20 / 0.025 * 0.1 // Slots: requests a second times the time of work.
	require.InDelta(t, asked, f.hosts["a1"].steerer.Snapshot().Demand, 0.3*asked)
}

// Symptom: the only host of a zone lets everybody in while other zones' hosts refuse, so its
// callers get more than their part, and urgent ones elsewhere less. Sequence: the service is
// short; the zone never had another host. Cause: a host without neighbours that counts as
// one that is cut off from them.
func TestOnlyHostOfAZoneSharesCapacityWithOtherZones(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.settings = newSettings(2, objectiveRoutes())
	f.step(2 * time.Second)
	for n := range 60 {
		requestWithLatency(f, "a1", 20_000+n, 100*time.Millisecond)
	}
	congest(f, 21_000)
	report := &messenger.Report{Address: f.hosts["b1"].address, Incarnation: 1, AvailabilityZone: "b", ZoneDemands: urgentOverload()}
	f.reduce("a1", &steerer.ReportReceived{From: "b1", Report: report})
	f.step(60 * time.Millisecond)
	require.Equal(t, 1, f.hosts["a1"].steerer.Snapshot().Overloaded)
	require.False(t, opens(f.caller(1, readRoute)))
	require.Contains(t, lastRefusal(f), "reason=noRoom")
	f.kill("b1")
	f.step(zoneReportTTL + time.Second)
	require.Zero(t, f.hosts["a1"].steerer.Snapshot().Overloaded, "nobody is heard any more")
	require.True(t, opens(f.caller(2, readRoute)))
}

// zoneReportTTL is how long another zone's hosts count as heard.
const zoneReportTTL = 4 * time.Second
