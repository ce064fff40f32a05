package steerer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"cranberryspan.dev/core/limiter"
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/timekeeper"
	"github.com/stretchr/testify/require"
)

// The limiter derives from the report interval when a host counts as silent.
func TestLimiterIntervalsMatchReportIntervals(t *testing.T) {
	require.Equal(t, reportInterval, limiter.ZoneReportInterval)
	require.Equal(t, sameZoneFanout, limiter.ZoneReportFanout)
}

// Guards against hosts of a large zone assuming that full targets are empty: when 100 hosts
// report flows at 300 targets to each other, of which 120 fit into a report, the counts
// must rotate separately for each receiver, and targets without flows must not use up space
// in the report.
func TestEveryHostOfALargeZoneLearnsAllFlowCounts(t *testing.T) {
	s := New(Config{Self: "a1", AvailabilityZone: "a", Start: timekeeper.Instant(time.Second)})
	s.connections.constrained["ledger"] = &constrainedService{name: "ledger", limit: 40}
	for n := range 600 {
		record := Target{ID: fmt.Sprintf("i-%04d", n), Number: TargetNumber(n + 1), Service: "ledger", AvailabilityZone: "a"}
		one, _ := s.targets.upsert(record)
		if n%2 == 0 {
			s.connections.limiter.Target(uint32(one.tag)).AddOpened(s.now)
		}
	}
	var receivers []*peer
	for n := range 99 {
		receivers = append(receivers, &peer{name: fmt.Sprint(n), zone: "a"})
	}
	for _, to := range receivers {
		reported := map[uint32]bool{}
		for range 3 {
			flows := s.flowsForReport(to)
			require.Len(t, flows, maxReportedFlows)
			for tag := range flows {
				reported[tag] = true
			}
		}
		require.Len(t, reported, 300)
	}
}

// Guards against unlimited memory as routes come and go at a service without a connection
// limit.
func TestUsageOfRemovedRoutesIsForgotten(t *testing.T) {
	s := New(Config{Self: "a1", AvailabilityZone: "a", Start: timekeeper.Instant(time.Second)})
	for n := range 2000 {
		s.settings = NewSettings(uint64(n+1), nil, []Service{{Name: "ledger"}}, 15*time.Second)
		s.usageOf("ledger", &Route{Name: fmt.Sprintf("r%d", n)}).requestedFlows++
		require.Empty(t, s.connections.routeUsage["ledger"])
		s.advanceClock(s.now.Add(time.Second))
		s.connectionTick()
	}
}

// Guards against keeping reports about services that are not published, or about zones
// without targets.
func TestFlowReportsOfUnknownServicesAreIgnored(t *testing.T) {
	s := New(Config{Self: "a1", AvailabilityZone: "a", Start: timekeeper.Instant(time.Second)})
	_, _ = s.targets.upsert(Target{ID: "i-1", Number: 1, Service: "ledger", AvailabilityZone: "b"})
	s.settings = NewSettings(1, nil, []Service{{Name: "ledger", MaxConnections: 40}}, 15*time.Second)
	for n := range 200 {
		s.applyZoneFlows(&messenger.Report{AvailabilityZone: "b", ZoneDemands: []messenger.ServiceDemand{{Service: fmt.Sprint(n), OpenFlows: 9}}})
		s.applyZoneFlows(&messenger.Report{AvailabilityZone: fmt.Sprint(n), ZoneDemands: []messenger.ServiceDemand{{Service: "ledger", OpenFlows: 9}}})
	}
	require.Empty(t, s.connections.remoteZoneFlows)
	s.applyZoneFlows(&messenger.Report{AvailabilityZone: "b", ZoneDemands: []messenger.ServiceDemand{{Service: "ledger", OpenFlows: 9}}})
	require.Len(t, s.connections.remoteZoneFlows, 1)
	s.advanceClock(s.now.Add(2 * zoneFlowsTTL))
	s.connectionTick()
	require.Empty(t, s.connections.remoteZoneFlows)
}

// Guards against growing memory and targets that count as full: when the connection limit
// of a service is removed, and set again while earlier flows are open, their ends must not
// be counted without their openings.
func TestRemovedConnectionLimitLeavesNoState(t *testing.T) {
	s := New(Config{Self: "a1", AvailabilityZone: "a", Start: timekeeper.Instant(time.Second)})
	one, _ := s.targets.upsert(Target{ID: "i-1", Number: 1, Service: "ledger", AvailabilityZone: "a"})
	limited := NewSettings(1, nil, []Service{{Name: "ledger", MaxConnections: 40}}, 15*time.Second)
	s.settings = limited
	f := &flow{target: one, route: Route{Name: "reads"}}
	s.countConnection(f)
	require.Equal(t, 1, s.usageOf("ledger", &f.route).openFlows)
	s.settings = NewSettings(2, nil, nil, 15*time.Second)
	s.advanceClock(s.now.Add(time.Second))
	s.connectionTick()
	require.Empty(t, s.connections.routeUsage)
	s.settings = limited
	s.uncountConnection(f)
	require.Zero(t, s.usageOf("ledger", &f.route).openFlows)
}

// Flows that are established after this host has stopped counting them, and those opened
// through another host, count as discovered. A packet of a closed flow is not counted.
func TestConnectionCountsAreSymmetric(t *testing.T) {
	s := New(Config{Self: "a1", AvailabilityZone: "a", Start: timekeeper.Instant(time.Second)})
	one, _ := s.targets.upsert(Target{ID: "i-1", Number: 1, Service: "ledger", AvailabilityZone: "a"})
	s.settings = NewSettings(1, nil, []Service{{Name: "ledger", MaxConnections: 40}}, 15*time.Second)
	count := s.connections.limiter.Target(uint32(one.tag))
	f := &flow{target: one, route: Route{Name: "reads"}}
	s.countConnection(f)
	s.uncountConnection(f)
	require.Zero(t, count.NetOpened())
	s.recordEstablished(f, one, &Packet{})
	require.Equal(t, 1, count.Local())
	require.Zero(t, count.NetOpened(), "it was found open")
	s.uncountConnection(f)
	require.Zero(t, count.NetOpened())
	require.Zero(t, count.Local())

	closed := &flow{target: one, route: Route{Name: "reads"}, closed: true}
	s.recordEstablished(closed, one, &Packet{})
	require.Zero(t, count.Local())
}

func TestSmallLimitsReserveAConnectionForProbes(t *testing.T) {
	for limit, reserved := range map[int]int{1: 0, 2: 1, 3: 1, 4: 1} {
		v := &constrainedService{limit: limit}
		require.Equal(t, reserved, v.limitFor(&Route{Name: "reads"}).Reserved, "of %d", limit)
	}
}

// Guards against callers waiting for their retransmission timeouts at a slow target that is
// full: a trial of whether it is fast again must check that it has connections available.
func TestTrialsSkipFullTargets(t *testing.T) {
	s := New(Config{Self: "a1", AvailabilityZone: "a", Start: timekeeper.Instant(time.Second)})
	one, _ := s.targets.upsert(Target{ID: "i-1", Number: 1, Service: "ledger", AvailabilityZone: "a", Slots: 4})
	s.settings = NewSettings(1, nil, []Service{{Name: "ledger", MaxConnections: 4}}, 15*time.Second)
	s.advanceClock(s.now.Add(time.Minute))
	for range 200 {
		one.slowdownEstimate.Observe(2, s.now)
	}
	one.slowdownEstimate.Refresh(s.now)
	for range 300 {
		if one.slowdownEstimate.TrialDue(s.now) {
			break // The observations are old enough for another trial.
		}
		s.advanceClock(s.now.Add(100 * time.Millisecond))
		one.slowdownEstimate.Refresh(s.now)
	}
	require.True(t, one.slowdownEstimate.TrialDue(s.now))
	s.slowdowns.active = append(s.slowdowns.active, one)
	v := &constrainedService{name: "ledger", limit: 4}
	s.connections.constrained["ledger"] = v
	c := placement{service: "ledger", route: Route{Name: "reads"}}
	tried := func() bool {
		for range 200 {
			if s.pickTrialTarget(c, s.evaluateZones(&c), s.constraintFor(&c)) != nil {
				return true
			}
		}
		return false
	}
	count := s.connections.limiter.Target(uint32(one.tag))
	for range 4 {
		count.AddDiscovered()
	}
	require.False(t, tried())
	for range 4 {
		count.RemoveDiscovered(s.now)
	}
	require.True(t, tried())
}

// Guards against redispatching by outdated settings: when a half-open flow waits at a full
// target and its route is restricted to a region, or removed, before it is redispatched.
func TestRedispatchUsesCurrentRoute(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:443")
	regions := map[string]string{"a": "north", "b": "south"}
	s := New(Config{Self: "a1", AvailabilityZone: "a", Regions: regions, Start: timekeeper.Instant(time.Second)})
	first, _ := s.targets.upsert(Target{ID: "i-1", Number: 1, Service: "ledger", AvailabilityZone: "a", Slots: 4})
	second, _ := s.targets.upsert(Target{ID: "i-2", Number: 2, Service: "ledger", AvailabilityZone: "b", Slots: 4})
	services := []Service{{Name: "ledger", MaxConnections: 4}}
	route := Route{Name: "reads", Address: address, Shares: []WeightedService{{Service: "ledger"}}}
	key := flowKey{netip.MustParseAddrPort("10.9.0.1:999"), address}
	f := &flow{target: first, route: route, bufferedRequest: []byte{1}}
	s.flows[key] = f
	s.settings = NewSettings(1, nil, services, 15*time.Second)
	s.redispatch(key, f)
	require.Equal(t, first, f.target, "the route is removed")
	route.Regions = []string{"north"}
	s.settings = NewSettings(2, []Route{route}, services, 15*time.Second)
	s.redispatch(key, f)
	require.Equal(t, first, f.target, "the other target is outside the route's regions")
	route.Regions = nil
	s.settings = NewSettings(3, []Route{route}, services, 15*time.Second)
	s.redispatch(key, f)
	require.Equal(t, second, f.target)
}

// Guards against losing reports to other zones: when dozens of services are constrained, an
// entry for each of them does not fit a datagram.
func TestZoneFlowsFitIntoOneReport(t *testing.T) {
	s := New(Config{Self: "a1", AvailabilityZone: "a"})
	for n := range 3 * maxReportedDemands {
		name := fmt.Sprintf("service-%02d", n)
		s.connections.constrained[name] = &constrainedService{name: name, localMeanFlows: n + 1}
	}
	reported := map[string]bool{}
	for range 3 * maxReportedDemands {
		report := &messenger.Report{ZoneDemands: []messenger.ServiceDemand{{Service: "service-05"}}}
		s.addLocalZoneFlows(report)
		require.LessOrEqual(t, len(report.ZoneDemands), maxReportedDemands)
		require.NotZero(t, report.ZoneDemands[0].OpenFlows, "an entry that is there already takes no more room")
		for _, d := range report.ZoneDemands {
			reported[d.Service] = true
		}
	}
	require.Len(t, reported, 3*maxReportedDemands, "all have their turn")
}
