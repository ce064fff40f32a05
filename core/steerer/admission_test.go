package steerer_test

import (
	"strings"
	"testing"
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

// ledgerSlots is the capacity of the fixture's service "ledger".
const ledgerSlots = 18

// ledgerDemand is reported demand for the ledger service in thousandths of a slot. A priority
// p of requests on open flows is encoded as -1-p.
func ledgerDemand(entries ...messenger.PriorityDemand) []messenger.ServiceDemand {
	return []messenger.ServiceDemand{{Service: "ledger", ByPriority: entries}}
}

// highPriorityOverload is demand that leaves no capacity for new flows of priority 2: new flows of
// priority 1 demand 10 of 18 slots, requests on open flows of priority 2 demand 9, and new
// flows of priority 2 demand more.
func highPriorityOverload() []messenger.ServiceDemand {
	return ledgerDemand(
		messenger.PriorityDemand{Priority: 1, MilliSlots: 10_000},
		messenger.PriorityDemand{Priority: -3, MilliSlots: 9_000},
		messenger.PriorityDemand{Priority: 2, MilliSlots: 5_000},
	)
}

// calibratedPair starts two hosts in a zone, of which a1 has learned the baseline latency.
func calibratedPair(t *testing.T) *fleet {
	f := newFleet(t, 2)
	f.settings = newSettings(2, objectiveRoutes())
	f.step(2 * time.Second)
	for n := range 60 {
		requestWithLatency(f, "a1", 20_000+n, 100*time.Millisecond)
	}
	return f
}

// deliverReport has a1 receive a report from a host of any zone, and refreshes its view of the
// capacity.
func deliverReport(f *fleet, from string, report *messenger.Report) {
	report.Address, report.Incarnation = f.hosts["a2"].address, 1
	f.reduce("a1", &steerer.ReportReceived{From: from, Report: report})
	f.step(60 * time.Millisecond)
}

func opens(c *caller) bool {
	c.open("a1", 0)
	return c.target != ""
}

// lastRefusal is the fields of a1's latest log line about a refused flow.
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

// Guards against late high-priority requests during overload: when callers of all hosts together
// demand more than the capacity, a host that decides by its own queue alone admits a read, and
// reads take the capacity that checks of a higher priority need.
func TestLowPriorityIsRefusedWhenHigherPrioritiesTakeAllCapacity(t *testing.T) {
	f := calibratedPair(t)
	congest(f, 21_000)
	deliverReport(f, "a2", &messenger.Report{AvailabilityZone: "a", Demands: highPriorityOverload()})
	require.Equal(t, 1, f.hosts["a1"].steerer.Snapshot().Overloaded)
	require.False(t, opens(f.caller(1, readRoute)))
	require.Contains(t, lastRefusal(f), "reason=noRoom")
	require.Contains(t, lastRefusal(f), "priority=2")
	require.NotZero(t, f.hosts["a1"].steerer.Snapshot().Counters[steerer.RefusedNoCapacity])
	for n := range 20 {
		require.True(t, opens(f.caller(100+n, checkRoute)), "urgent callers fit in %s", lastRefusal(f))
	}
}

// Guards against refusals while slots are idle: when demand is estimated to exceed capacity
// but responses take no longer than the baseline, the observed latency must overrule the
// estimate.
func TestNoRefusalsWhileResponsesAreFast(t *testing.T) {
	f := calibratedPair(t)
	deliverReport(f, "a2", &messenger.Report{AvailabilityZone: "a", Demands: highPriorityOverload()})
	require.Zero(t, f.hosts["a1"].steerer.Snapshot().Overloaded)
	require.True(t, opens(f.caller(1, readRoute)))
}

// Guards against a host that is partitioned from its zone and refuses flows by the demand of
// another zone: when no host of the local zone reports any more, the known demand is
// incomplete and must not be used to divide the capacity.
func TestIsolatedHostFallsBackToItsOwnWindow(t *testing.T) {
	f := calibratedPair(t)
	congest(f, 21_000)
	deliverReport(f, "b9", &messenger.Report{AvailabilityZone: "b", ZoneDemands: highPriorityOverload()})
	require.Equal(t, 1, f.hosts["a1"].steerer.Snapshot().Overloaded)
	f.kill("a2")
	f.step(1500 * time.Millisecond)
	require.Greater(t, f.hosts["a1"].steerer.Snapshot().Demand, float64(ledgerSlots), "the other zone's word still counts")
	require.Zero(t, f.hosts["a1"].steerer.Snapshot().Overloaded)
	require.True(t, opens(f.caller(1, readRoute)), "nothing waits at this host")
}

// Guards against a zone that admits all flows while callers of another zone fill its targets:
// demand reported from other zones must count.
func TestDemandIncludesOtherZones(t *testing.T) {
	f := calibratedPair(t)
	before := f.hosts["a1"].steerer.Snapshot().Demand
	deliverReport(f, "b9", &messenger.Report{AvailabilityZone: "b", ZoneDemands: highPriorityOverload()})
	require.InDelta(t, before+24, f.hosts["a1"].steerer.Snapshot().Demand, 2)
}

// Guards against demand that other hosts don't learn of: when callers of one host demand more
// than half of the capacity, its peer gets a report. Below that, reports contain no demand.
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

// Guards against state that hosts keep forever for a service that only a faulty report names:
// demand for services without listed targets is ignored.
func TestDemandForUnknownServicesIsIgnored(t *testing.T) {
	f := calibratedPair(t)
	before := f.hosts["a1"].steerer.Snapshot().Demand
	report := &messenger.Report{AvailabilityZone: "a", Demands: []messenger.ServiceDemand{{Service: "nobody", ByPriority: highPriorityOverload()[0].ByPriority}}}
	deliverReport(f, "a2", report)
	require.InDelta(t, before, f.hosts["a1"].steerer.Snapshot().Demand, 1)
}

// Guards against an overloaded zone that admits all flows for some seconds: when one host of
// another zone reports demand and a second host, which knows of none, reports only flow
// counts, the latter must not be taken for a demand of 0.
func TestFlowCountReportDoesNotClearDemand(t *testing.T) {
	f := calibratedPair(t)
	before := f.hosts["a1"].steerer.Snapshot().Demand
	deliverReport(f, "b9", &messenger.Report{AvailabilityZone: "b", ZoneDemands: highPriorityOverload()})
	require.InDelta(t, before+24, f.hosts["a1"].steerer.Snapshot().Demand, 2)
	deliverReport(f, "b8", &messenger.Report{AvailabilityZone: "b", ZoneDemands: []messenger.ServiceDemand{{Service: "ledger", OpenFlows: 9}}})
	require.InDelta(t, before+24, f.hosts["a1"].steerer.Snapshot().Demand, 2)
}

// delayResponses makes responses so late that requests wait for a third of the slack between
// their baseline latency and their latency objective.
func delayResponses(f *fleet, from int) {
	for n := range 40 {
		requestWithLatency(f, "a1", from+n, 150*time.Millisecond)
	}
}

// Guards against checks of a low priority that are admitted while reads of a higher one are
// refused: when reads take all remaining capacity, requests that must not run twice are not
// admitted ahead of them.
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
	demand := ledgerDemand(messenger.PriorityDemand{Priority: 1, MilliSlots: 40_000})
	deliverReport(f, "a2", &messenger.Report{AvailabilityZone: "a", Demands: demand})
	require.Equal(t, 1, f.hosts["a1"].steerer.Snapshot().Overloaded)
	require.False(t, opens(f.caller(1, checkRoute)))
	require.Contains(t, lastRefusal(f), "reason=noRoom")
	require.True(t, opens(f.caller(2, readRoute)), "a part of the reads fits in: %s", lastRefusal(f))
}

// Guards against refusing high-priority callers because too many others are admitted: when
// requests arrive for a route without a latency objective, whose processing time is not
// learned, they must not count as 0 demand.
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

// Guards against refused flows to fast targets with free slots: when a target becomes slow in
// a congested service and requests of its open flows are queued at the host, these must not
// count against flows to faster targets.
func TestQueueForSlowTargetDoesNotRefuseFlowsToOthers(t *testing.T) {
	f := congestedHost(t)
	waiting := openOn(f, "a1", failingTarget, 1000, true)
	slow := openFlowsAt(f, "a1", failingTarget, 2000, 3)
	for range 4 {
		requestAll(f, "a1", slow, 2*time.Second)
	}
	require.Greater(t, statusOf(f, "a1", failingTarget).Slowdown, 1.5*statusOf(f, "a1", "i-10000002").Slowdown)
	require.Equal(t, 1, f.hosts["a1"].steerer.Snapshot().Congested)
	for _, one := range slow {
		one.sendRequest("a1") // They fill the host's window of requests in flight.
	}
	waiting.sendRequest("a1")
	require.Equal(t, 1, queuedRequests(f))
	c := f.caller(2, readRoute)
	require.True(t, opens(c), lastRefusal(f))
	require.NotEqual(t, failingTarget, c.target)
}

// Guards against overstating the demand of a zone twofold: when all callers use one of two
// hosts, the other must report that it has no demand, or it counts as a host whose demand is
// unknown.
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
	expected := 20 / 0.025 * 0.1 // Slots: requests per second times processing time.
	require.InDelta(t, expected, f.hosts["a1"].steerer.Snapshot().Demand, 0.3*expected)
}

// Guards against the only host of a zone admitting all flows while hosts of other zones
// refuse: when a service is overloaded, a host without peers in its zone must not be taken for
// one that is partitioned from them. Its callers would get more than their fair share, and
// high-priority callers elsewhere less.
func TestOnlyHostOfAZoneSharesCapacityWithOtherZones(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.settings = newSettings(2, objectiveRoutes())
	f.step(2 * time.Second)
	for n := range 60 {
		requestWithLatency(f, "a1", 20_000+n, 100*time.Millisecond)
	}
	congest(f, 21_000)
	report := &messenger.Report{Address: f.hosts["b1"].address, Incarnation: 1, AvailabilityZone: "b", ZoneDemands: highPriorityOverload()}
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

// zoneReportTTL is how long a report from another zone counts.
const zoneReportTTL = 4 * time.Second
