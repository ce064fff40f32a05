package admitter_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cranberryspan.dev/core/admitter"
	"cranberryspan.dev/core/timekeeper"
	"github.com/stretchr/testify/require"
)

const (
	step           = 10 * time.Millisecond
	workDuration   = 40 * time.Millisecond
	latencySlack   = 250 * time.Millisecond
	reportInterval = 250 * time.Millisecond
	assessInterval = 50 * time.Millisecond
	// maxQueueDelay is the maximum queueing delay at a target: requests beyond it are rejected.
	maxQueueDelay = 180 * time.Millisecond
	// ratioTolerance is the tolerance between the served and the computed fraction of callers.
	ratioTolerance = 0.05
	maxAttempts    = 3
)

// fleet simulates hosts in zones and one pool of slots. Callers that are refused or rejected retry
// twice, at once and at a random host of the zone.
type fleet struct {
	random   *rand.Rand
	now      timekeeper.Instant
	zones    []*zone
	capacity float64
	// backlog is the work queued at targets, in slot seconds.
	backlog float64
	// fanout is how many hosts of its zone a host reports to in a round; all if 0. lossRate is
	// the fraction of reports that are lost, reportDelay the delay of the others.
	fanout          int
	lossRate        float64
	reportDelay     time.Duration
	pendingMessages []message
	requested       map[int]float64
	served          map[int]float64
}

// zone is the hosts of one zone and the demand of its callers by priority.
type zone struct {
	name  string
	hosts []*admitter.Admitter
	// demand is the callers' demand in slots, pendingRequests the requests that are due to be sent,
	// fractions included.
	demand          [2]float64
	pendingRequests [2]float64
	retries         []request
	partitioned     bool
}

type request struct{ priority, attempt int }

type message struct {
	deliverAt timekeeper.Instant
	apply     func(now timekeeper.Instant)
}

func newFleet(capacity float64, zones, hosts int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(7, 1)), capacity: capacity, requested: map[int]float64{}, served: map[int]float64{}}
	for i := range zones {
		z := &zone{name: string(rune('a' + i))}
		for range hosts {
			z.hosts = append(z.hosts, admitter.New())
		}
		f.zones = append(f.zones, z)
	}
	return f
}

// setDemand sets the total demand in slots, divided evenly among the zones.
func (f *fleet) setDemand(urgent, other float64) {
	for _, z := range f.zones {
		z.demand = [2]float64{urgent / float64(len(f.zones)), other / float64(len(f.zones))}
	}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(step) {
		f.deliver()
		if f.now%timekeeper.Instant(reportInterval) == 0 {
			f.report()
		}
		if f.now%timekeeper.Instant(assessInterval) == 0 {
			f.assess()
		}
		for _, z := range f.zones {
			f.arrive(z)
		}
		f.backlog = max(f.backlog-f.capacity*step.Seconds(), 0)
	}
}

// measure runs the simulation and returns the fractions of urgent and other callers that were
// served.
func (f *fleet) measure(d time.Duration) (urgent, other float64) {
	clear(f.requested)
	clear(f.served)
	f.run(d)
	return f.served[0] / max(f.requested[0], 1), f.served[1] / max(f.requested[1], 1)
}

func (f *fleet) arrive(z *zone) {
	retries := z.retries
	z.retries = nil
	for _, r := range retries {
		f.attempt(z, r)
	}
	for priority := range z.demand {
		z.pendingRequests[priority] += z.demand[priority] * step.Seconds() / workDuration.Seconds()
		for ; z.pendingRequests[priority] >= 1; z.pendingRequests[priority]-- {
			f.requested[priority]++
			f.attempt(z, request{priority: priority, attempt: 1})
		}
	}
}

func (f *fleet) attempt(z *zone, r request) {
	a := z.hosts[f.random.IntN(len(z.hosts))]
	a.RecordNewFlowRequest(r.priority, workDuration, f.now)
	wait := f.backlog / max(f.capacity, 1)
	switch {
	case !a.Admit(r.priority):
	case wait > maxQueueDelay.Seconds():
		a.RecordWait(1)
	default:
		a.RecordWait(wait / latencySlack.Seconds())
		f.backlog += workDuration.Seconds()
		f.served[r.priority]++
		return
	}
	if r.attempt < maxAttempts {
		z.retries = append(z.retries, request{priority: r.priority, attempt: r.attempt + 1})
	}
}

func (f *fleet) assess() {
	for _, z := range f.zones {
		capacity := f.capacity
		if z.partitioned {
			// The hosts of a partitioned zone reach only its own targets.
			capacity /= float64(len(f.zones))
		}
		for _, a := range z.hosts {
			a.Assess(f.now, admitter.ServiceState{Capacity: capacity, ZoneHosts: len(z.hosts), HasPeerReports: len(z.hosts) > 1})
		}
	}
}

func (f *fleet) send(apply func(now timekeeper.Instant)) {
	if f.random.Float64() >= f.lossRate {
		f.pendingMessages = append(f.pendingMessages, message{deliverAt: f.now.Add(f.reportDelay), apply: apply})
	}
}

func (f *fleet) deliver() {
	f.pendingMessages = slices.DeleteFunc(f.pendingMessages, func(m message) bool {
		due := m.deliverAt.Passed(f.now)
		if due {
			m.apply(f.now)
		}
		return due
	})
}

// report sends a report of each host to some hosts of its zone, and to one of each other zone.
func (f *fleet) report() {
	for _, z := range f.zones {
		for i, a := range z.hosts {
			localDemand, zoneDemand := a.LocalDemand(f.now), a.ZoneDemand(f.now)
			name := z.name + string(rune('0'+i))
			for _, at := range f.random.Perm(len(z.hosts))[:f.reportFanout(z)] {
				if to := z.hosts[at]; to != a {
					f.send(func(now timekeeper.Instant) { to.ApplyHostReport(name, localDemand, now) })
				}
			}
			for _, other := range f.zones {
				if other != z && !z.partitioned && !other.partitioned {
					to := other.hosts[f.random.IntN(len(other.hosts))]
					f.send(func(now timekeeper.Instant) { to.ApplyZoneReport(z.name, zoneDemand, now) })
				}
			}
		}
	}
}

func (f *fleet) reportFanout(z *zone) int {
	if f.fanout == 0 {
		return len(z.hosts)
	}
	return f.fanout
}

// Guards against refusals of urgent callers when 60% of the targets fail, then a load peak of 2.5
// times the demand arrives, and refused callers retry. The capacity is 96 slots, the demand 63 of
// urgent callers and 98 of others: all urgent ones can be served, and 33 of 98 others.
func TestSurgeAfterTargetLossServesUrgentFirst(t *testing.T) {
	f := newFleet(240, 3, 8)
	f.setDemand(25, 39)
	f.run(3 * time.Second)
	f.capacity = 96
	f.run(3 * time.Second)
	f.setDemand(63, 98)
	f.run(time.Second)
	urgent, other := f.measure(5 * time.Second)
	require.InDelta(t, 1, urgent, ratioTolerance)
	require.InDelta(t, 33.0/98, other, ratioTolerance)
}

// Guards against unused capacity when the demand of low priority grows to seven times and the total
// is 300 of 240 slots.
func TestSurgeOfLowPriorityFillsCapacity(t *testing.T) {
	f := newFleet(240, 3, 8)
	f.setDemand(25, 39)
	f.run(3 * time.Second)
	f.setDemand(25, 275)
	f.run(time.Second)
	urgent, other := f.measure(5 * time.Second)
	require.InDelta(t, 1, urgent, ratioTolerance)
	require.InDelta(t, 215.0/275, other, ratioTolerance)
}

// Guards against unused or misassigned capacity when the demand of urgent callers alone is twice
// the capacity: others get nothing, and as many urgent ones are served as the capacity allows.
func TestUrgentSurgeTakesAllCapacity(t *testing.T) {
	f := newFleet(100, 3, 8)
	f.setDemand(200, 100)
	f.run(3 * time.Second)
	urgent, other := f.measure(5 * time.Second)
	require.InDelta(t, 0.5, urgent, ratioTolerance)
	require.InDelta(t, 0, other, ratioTolerance)
}

// Guards against refusals that depend on the zone: when the demand of one zone triples, and the
// capacity of all zones is a third too small, callers of that zone are served like the others.
func TestZonesGetEqualAdmitRatios(t *testing.T) {
	f := newFleet(100, 3, 8)
	f.setDemand(0, 90)
	f.zones[0].demand[1] = 90
	f.run(3 * time.Second)
	least, most := 1.0, 0.0
	for _, z := range f.zones {
		for _, a := range z.hosts {
			least, most = min(least, a.AdmitRatio(1)), max(most, a.AdmitRatio(1))
		}
	}
	require.Less(t, most, 1.0)
	require.Less(t, most-least, 0.25, "hosts differ by what they have heard, not by zone")
	_, other := f.measure(4 * time.Second)
	require.InDelta(t, 100.0/150, other, ratioTolerance)
}

// Guards against refusals when the demand is nine tenths of the capacity.
func TestNothingIsRefusedWithinCapacity(t *testing.T) {
	f := newFleet(100, 3, 8)
	f.setDemand(30, 60)
	f.run(time.Second)
	urgent, other := f.measure(5 * time.Second)
	require.InDelta(t, 1, urgent, 0.001)
	require.InDelta(t, 1, other, 0.001)
}

// Guards against refusals while targets are idle: when requests take half as long as hosts
// estimate, a load peak may exceed the estimated capacity although no admitted request waits.
func TestIdleTargetsAdmitAll(t *testing.T) {
	a := admitter.New()
	now := timekeeper.Instant(0)
	for range 2000 {
		now = now.Add(time.Millisecond)
		a.RecordNewFlowRequest(1, workDuration, now)
		a.RecordWait(0)
		a.Assess(now, admitter.ServiceState{Capacity: 10, ZoneHosts: 1, HasPeerReports: true})
		require.True(t, a.Admit(1))
	}
	require.Greater(t, a.Demand().Total(), 20.0)
}

// Guards against an isolated host that refuses requests because of old reports: when a service is
// overloaded, and the host loses contact with all others.
func TestIsolatedHostDoesNotLimitAdmission(t *testing.T) {
	f := newFleet(50, 2, 4)
	f.setDemand(20, 100)
	f.run(3 * time.Second)
	a := f.zones[0].hosts[0]
	require.True(t, a.Overloaded())
	a.Assess(f.now, admitter.ServiceState{Capacity: 50, ZoneHosts: 4})
	require.False(t, a.HasPeerReports())
	require.False(t, a.Overloaded())
	require.InDelta(t, 1, a.AdmitRatio(1), 0)
}

// Guards against wrong admit ratios when the demand is twice the capacity, half of the reports are
// lost and the others are delayed by 0.3 s.
func TestAdmitRatiosHoldWithDelayedAndLostReports(t *testing.T) {
	f := newFleet(100, 3, 8)
	f.lossRate, f.reportDelay = 0.5, 300*time.Millisecond
	f.setDemand(50, 150)
	f.run(3 * time.Second)
	urgent, other := f.measure(5 * time.Second)
	require.InDelta(t, 1, urgent, ratioTolerance)
	require.InDelta(t, 50.0/150, other, ratioTolerance)
}

// Guards against wrong admit ratios in a fleet of 300 hosts, of which each reports to three others
// of its zone in a round, when the demand is twice the capacity.
func TestLargeFleetConvergesWithSmallFanout(t *testing.T) {
	f := newFleet(1200, 3, 100)
	f.fanout = 3
	f.setDemand(600, 1800)
	f.run(3 * time.Second)
	urgent, other := f.measure(4 * time.Second)
	require.InDelta(t, 1, urgent, ratioTolerance)
	require.InDelta(t, 600.0/1800, other, ratioTolerance)
}

// Guards against alternation between admission and refusal under a lasting overload, when the
// admit ratios follow changes that they have caused themselves.
func TestAdmitRatiosDoNotOscillate(t *testing.T) {
	f := newFleet(100, 3, 8)
	f.setDemand(40, 160)
	f.run(3 * time.Second)
	var least, most float64 = 1, 0
	for range 20 {
		_, other := f.measure(250 * time.Millisecond)
		least, most = min(least, other), max(most, other)
	}
	require.Less(t, most-least, 0.2)
}

// Guards against refusals for seconds after a load peak of three times the capacity has ended, when
// the retries of refused callers count as additional callers.
func TestAdmissionRecoversImmediatelyAfterSurge(t *testing.T) {
	f := newFleet(100, 3, 8)
	f.setDemand(40, 260)
	f.run(4 * time.Second)
	f.setDemand(40, 55)
	f.run(300 * time.Millisecond)
	urgent, other := f.measure(time.Second)
	require.InDelta(t, 1, urgent, ratioTolerance)
	require.InDelta(t, 1, other, ratioTolerance)
}

// Guards against a partitioned zone that counts the demand or the targets of other zones: when the
// demand is twice the capacity, and one of three zones is partitioned.
func TestPartitionedZoneUsesOnlyItsOwnCapacity(t *testing.T) {
	f := newFleet(90, 3, 8)
	f.setDemand(45, 135)
	f.run(3 * time.Second)
	f.zones[0].partitioned = true
	f.run(6 * time.Second)
	require.InDelta(t, 60, f.zones[0].hosts[0].Demand().Total(), 20)
}
