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

// The limiter takes its silence from how often hosts report.
func TestSilenceOfLargeZonesFollowsTheReports(t *testing.T) {
	require.Equal(t, reportEvery, limiter.ZoneReportInterval)
	require.Equal(t, nearFanout, limiter.ZoneReportFanout)
}

// Symptom: in a large zone hosts take full targets to be empty. Sequence: 100 hosts tell each
// other of flows at 300 targets; 120 fit into a report. Cause: all receivers share the turns
// of a report, so some targets come to some hosts only, and those without flows take places in
// it.
func TestEachHostOfALargeZoneHearsOfAllTargets(t *testing.T) {
	s := New(Config{Self: "a1", AvailabilityZone: "a", Start: timekeeper.Instant(time.Second)})
	s.connections.tight["ledger"] = &tightService{name: "ledger", bound: 40}
	for n := range 600 {
		record := Target{ID: fmt.Sprintf("i-%04d", n), Number: Number(n + 1), Service: "ledger", AvailabilityZone: "a"}
		one, _ := s.targets.put(record)
		if n%2 == 0 {
			s.connections.limiter.Target(uint32(one.tag)).AddOpened(s.now)
		}
	}
	var receivers []*peer
	for n := range 99 {
		receivers = append(receivers, &peer{name: fmt.Sprint(n), zone: "a"})
	}
	for _, to := range receivers {
		heard := map[uint32]bool{}
		for range 3 {
			flows := s.toldFlows(to)
			require.Len(t, flows, maxToldFlows)
			for tag := range flows {
				heard[tag] = true
			}
		}
		require.Len(t, heard, 300)
	}
}

// Routes come and go at a service without a bound of connections.
func TestUsesOfPastRoutesAreForgotten(t *testing.T) {
	s := New(Config{Self: "a1", AvailabilityZone: "a", Start: timekeeper.Instant(time.Second)})
	for n := range 2000 {
		s.settings = NewSettings(uint64(n+1), nil, []Service{{Name: "ledger"}}, 15*time.Second)
		s.use("ledger", &Route{Name: fmt.Sprintf("r%d", n)}).asked++
		require.Empty(t, s.connections.uses["ledger"])
		s.advance(s.now.Add(time.Second))
		s.connectionsTick()
	}
}

// Reports name services that nobody has published, of zones without targets.
func TestWordOfUnknownServicesIsNotKept(t *testing.T) {
	s := New(Config{Self: "a1", AvailabilityZone: "a", Start: timekeeper.Instant(time.Second)})
	_, _ = s.targets.put(Target{ID: "i-1", Number: 1, Service: "ledger", AvailabilityZone: "b"})
	s.settings = NewSettings(1, nil, []Service{{Name: "ledger", MaxConnections: 40}}, 15*time.Second)
	for n := range 200 {
		s.takeZoneFlows(&messenger.Report{AvailabilityZone: "b", ZoneDemands: []messenger.ServiceDemand{{Service: fmt.Sprint(n), OpenFlows: 9}}})
		s.takeZoneFlows(&messenger.Report{AvailabilityZone: fmt.Sprint(n), ZoneDemands: []messenger.ServiceDemand{{Service: "ledger", OpenFlows: 9}}})
	}
	require.Empty(t, s.connections.away)
	s.takeZoneFlows(&messenger.Report{AvailabilityZone: "b", ZoneDemands: []messenger.ServiceDemand{{Service: "ledger", OpenFlows: 9}}})
	require.Len(t, s.connections.away, 1)
	s.advance(s.now.Add(2 * zoneFlowsMemory))
	s.connectionsTick()
	require.Empty(t, s.connections.away)
}

// Symptom: memory grows, and targets count as full. Sequence: the bound of a service is taken
// back, and set again while flows of before are open. Cause: their ends count, their openings
// did not.
func TestBoundThatIsTakenBackLeavesNothing(t *testing.T) {
	s := New(Config{Self: "a1", AvailabilityZone: "a", Start: timekeeper.Instant(time.Second)})
	one, _ := s.targets.put(Target{ID: "i-1", Number: 1, Service: "ledger", AvailabilityZone: "a"})
	bounded := NewSettings(1, nil, []Service{{Name: "ledger", MaxConnections: 40}}, 15*time.Second)
	s.settings = bounded
	f := &flow{target: one, route: Route{Name: "reads"}}
	s.takePlace(f)
	require.Equal(t, 1, s.use("ledger", &f.route).held)
	s.settings = NewSettings(2, nil, nil, 15*time.Second)
	s.advance(s.now.Add(time.Second))
	s.connectionsTick()
	require.Empty(t, s.connections.uses)
	s.settings = bounded
	s.releasePlace(f)
	require.Zero(t, s.use("ledger", &f.route).held)
}

// Flows that open after they were given up, and those taken over, count as found; a packet of
// one that is closed takes no place.
func TestPlacesAreTakenBackAsTheyWereTaken(t *testing.T) {
	s := New(Config{Self: "a1", AvailabilityZone: "a", Start: timekeeper.Instant(time.Second)})
	one, _ := s.targets.put(Target{ID: "i-1", Number: 1, Service: "ledger", AvailabilityZone: "a"})
	s.settings = NewSettings(1, nil, []Service{{Name: "ledger", MaxConnections: 40}}, 15*time.Second)
	count := s.connections.limiter.Target(uint32(one.tag))
	f := &flow{target: one, route: Route{Name: "reads"}}
	s.takePlace(f)
	s.releasePlace(f)
	require.Zero(t, count.NetOpened())
	s.follow(f, one, &Packet{})
	require.Equal(t, 1, count.Local())
	require.Zero(t, count.NetOpened(), "it was found open")
	s.releasePlace(f)
	require.Zero(t, count.NetOpened())
	require.Zero(t, count.Local())

	closed := &flow{target: one, route: Route{Name: "reads"}, closed: true}
	s.follow(closed, one, &Packet{})
	require.Zero(t, count.Local())
}

func TestSmallBoundsKeepAPlaceForChecks(t *testing.T) {
	for bound, reserved := range map[int]int{1: 0, 2: 1, 3: 1, 4: 1} {
		v := &tightService{bound: bound}
		require.Equal(t, reserved, v.boundFor(&Route{Name: "reads"}).Reserved, "of %d", bound)
	}
}

// Load: a slow target is full. Symptom: callers wait there for their repeats. Cause: a trial of
// whether it is quick again asks nobody whether it has room.
func TestTrialsGoToTargetsWithRoom(t *testing.T) {
	s := New(Config{Self: "a1", AvailabilityZone: "a", Start: timekeeper.Instant(time.Second)})
	one, _ := s.targets.put(Target{ID: "i-1", Number: 1, Service: "ledger", AvailabilityZone: "a", Slots: 4})
	s.settings = NewSettings(1, nil, []Service{{Name: "ledger", MaxConnections: 4}}, 15*time.Second)
	s.advance(s.now.Add(time.Minute))
	for range 200 {
		one.pace.Observe(2, s.now)
	}
	one.pace.Refresh(s.now)
	for range 300 {
		if one.pace.TrialDue(s.now) {
			break // What was seen is old enough to be tried anew.
		}
		s.advance(s.now.Add(100 * time.Millisecond))
		one.pace.Refresh(s.now)
	}
	require.True(t, one.pace.TrialDue(s.now))
	s.estimating.active = append(s.estimating.active, one)
	v := &tightService{name: "ledger", bound: 4}
	s.connections.tight["ledger"] = v
	c := choice{service: "ledger", route: Route{Name: "reads"}}
	tried := func() bool {
		for range 200 {
			if s.trial(c, s.views(&c), s.crowdOf(&c)) != nil {
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

// Sequence: a flow waits at a full target; its route is changed to a region, or removed; the
// flow is sent on. Cause: it goes by the route of the time at which it was placed.
func TestOpeningsAreSentOnByTheRouteOfToday(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:443")
	regions := map[string]string{"a": "north", "b": "south"}
	s := New(Config{Self: "a1", AvailabilityZone: "a", Regions: regions, Start: timekeeper.Instant(time.Second)})
	first, _ := s.targets.put(Target{ID: "i-1", Number: 1, Service: "ledger", AvailabilityZone: "a", Slots: 4})
	second, _ := s.targets.put(Target{ID: "i-2", Number: 2, Service: "ledger", AvailabilityZone: "b", Slots: 4})
	services := []Service{{Name: "ledger", MaxConnections: 4}}
	route := Route{Name: "reads", Address: address, Shares: []Share{{Service: "ledger"}}}
	key := flowKey{netip.MustParseAddrPort("10.9.0.1:999"), address}
	f := &flow{target: first, route: route, request: []byte{1}}
	s.flows[key] = f
	s.settings = NewSettings(1, nil, services, 15*time.Second)
	s.sendOn(key, f)
	require.Equal(t, first, f.target, "the route is removed")
	route.Regions = []string{"north"}
	s.settings = NewSettings(2, []Route{route}, services, 15*time.Second)
	s.sendOn(key, f)
	require.Equal(t, first, f.target, "the other target is outside the route's regions")
	route.Regions = nil
	s.settings = NewSettings(3, []Route{route}, services, 15*time.Second)
	s.sendOn(key, f)
	require.Equal(t, second, f.target)
}

// Symptom: reports to other zones are lost. Sequence: dozens of services are short of
// connections. Cause: an entry for each of them, more than a datagram holds.
func TestZoneFlowsFitIntoAReport(t *testing.T) {
	s := New(Config{Self: "a1", AvailabilityZone: "a"})
	for n := range 3 * maxDemands {
		name := fmt.Sprintf("service-%02d", n)
		s.connections.tight[name] = &tightService{name: name, homeMean: n + 1}
	}
	told := map[string]bool{}
	for range 3 * maxDemands {
		report := &messenger.Report{ZoneDemands: []messenger.ServiceDemand{{Service: "service-05"}}}
		s.addZoneFlows(report)
		require.LessOrEqual(t, len(report.ZoneDemands), maxDemands)
		require.NotZero(t, report.ZoneDemands[0].OpenFlows, "an entry that is there already takes no more room")
		for _, d := range report.ZoneDemands {
			told[d.Service] = true
		}
	}
	require.Len(t, told, 3*maxDemands, "all have their turn")
}
