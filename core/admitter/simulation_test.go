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
	// maxQueueDelay is how long a target's queue is at most: what comes beyond is turned away.
	maxQueueDelay = 180 * time.Millisecond
	// ratioTolerance is how far the served share may lie from the limit worked out.
	ratioTolerance = 0.05
	maxAttempts    = 3
)

// fleet is hosts in zones before one pool of slots. Who is refused or turned away asks
// again at once at another host of the zone, twice.
type fleet struct {
	random   *rand.Rand
	now      timekeeper.Instant
	zones    []*zone
	capacity float64
	// backlog is the work that waits at targets.
	backlog float64
	// fanout is how many hosts of its zone a host tells in a round; all if 0. lost is the
	// part of reports that get lost, late how long the others take.
	fanout          int
	lossRate        float64
	reportDelay     time.Duration
	pendingMessages []message
	requested       map[int]float64
	served          map[int]float64
}

// zone is hosts whose callers ask for slots by priority.
type zone struct {
	name  string
	hosts []*admitter.Admitter
	// demand is what callers ask in slots, owed the part of a request that is still to come.
	demand          [2]float64
	pendingRequests [2]float64
	retries         []request
	partitioned     bool
}

type request struct{ priority, attempt int }

type message struct {
	deliverAt timekeeper.Instant
	do        func(now timekeeper.Instant)
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

// setDemand lets the callers of all zones ask for so many slots in all.
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

// measure runs on and returns the parts of urgent and other callers that were served.
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
			capacity /= float64(len(f.zones))
		}
		for _, a := range z.hosts {
			a.Assess(f.now, admitter.ServiceState{Capacity: capacity, ZoneHosts: len(z.hosts), HasPeerReports: len(z.hosts) > 1})
		}
	}
}

func (f *fleet) send(do func(now timekeeper.Instant)) {
	if f.random.Float64() >= f.lossRate {
		f.pendingMessages = append(f.pendingMessages, message{deliverAt: f.now.Add(f.reportDelay), do: do})
	}
}

func (f *fleet) deliver() {
	f.pendingMessages = slices.DeleteFunc(f.pendingMessages, func(l message) bool {
		due := l.deliverAt.Passed(f.now)
		if due {
			l.do(f.now)
		}
		return due
	})
}

// report lets each host tell some of its zone, and one of each other zone.
func (f *fleet) report() {
	for _, z := range f.zones {
		for i, a := range z.hosts {
			own, all := a.LocalDemand(f.now), a.ZoneDemand(f.now)
			name := z.name + string(rune('0'+i))
			for _, at := range f.random.Perm(len(z.hosts))[:f.reportFanout(z)] {
				if to := z.hosts[at]; to != a {
					f.send(func(now timekeeper.Instant) { to.ApplyHostReport(name, own, now) })
				}
			}
			for _, other := range f.zones {
				if other != z && !z.partitioned && !other.partitioned {
					to := other.hosts[f.random.IntN(len(other.hosts))]
					f.send(func(now timekeeper.Instant) { to.ApplyZoneReport(z.name, all, now) })
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

// Load: 60% of the targets are lost, then callers come in a crowd of 2.5 times, and those
// that are refused ask again. Room 96 slots, urgent callers ask for 63 and others for 98:
// all urgent ones can be served, and 33 of 98 others.
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

// Load: callers of one kind come six times as often and want 300 of 240 slots.
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

// Load: urgent callers alone want twice the room. Others get nothing, and as many urgent
// ones are served as fit in.
func TestUrgentSurgeTakesAllCapacity(t *testing.T) {
	f := newFleet(100, 3, 8)
	f.setDemand(200, 100)
	f.run(3 * time.Second)
	urgent, other := f.measure(5 * time.Second)
	require.InDelta(t, 0.5, urgent, ratioTolerance)
	require.InDelta(t, 0, other, ratioTolerance)
}

// Load: the callers of one zone triple, and the room of all zones is short by a third. Who
// lives in the crowded zone fares like the others.
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

// Load: nine tenths of the room are asked for.
func TestNothingIsRefusedWithinCapacity(t *testing.T) {
	f := newFleet(100, 3, 8)
	f.setDemand(30, 60)
	f.run(time.Second)
	urgent, other := f.measure(5 * time.Second)
	require.InDelta(t, 1, urgent, 0.001)
	require.InDelta(t, 1, other, 0.001)
}

// Symptom: callers are refused while targets idle. Sequence: work takes half as long as
// hosts believe; a crowd asks for what would be too much otherwise. Cause: an estimate
// that no answer can correct.
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

// Symptom: a host that hears nobody refuses by what it has once heard. Sequence: a service
// is short; the host is cut off from all others. Cause: reports that don't age.
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

// Load: twice the room is asked for, and half of the reports are lost, the others 0.3 s
// late.
func TestAdmitRatiosHoldWithDelayedAndLostReports(t *testing.T) {
	f := newFleet(100, 3, 8)
	f.lossRate, f.reportDelay = 0.5, 300*time.Millisecond
	f.setDemand(50, 150)
	f.run(3 * time.Second)
	urgent, other := f.measure(5 * time.Second)
	require.InDelta(t, 1, urgent, ratioTolerance)
	require.InDelta(t, 50.0/150, other, ratioTolerance)
}

// Load: 300 hosts, of which each tells three others of its zone in a round, and callers
// that ask for twice the room.
func TestLargeFleetConvergesWithSmallFanout(t *testing.T) {
	f := newFleet(1200, 3, 100)
	f.fanout = 3
	f.setDemand(600, 1800)
	f.run(3 * time.Second)
	urgent, other := f.measure(4 * time.Second)
	require.InDelta(t, 1, urgent, ratioTolerance)
	require.InDelta(t, 600.0/1800, other, ratioTolerance)
}

// Symptom: callers are let in and refused by turns. Sequence: a crowd stays. Cause: shares
// that chase what they have just changed.
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

// Symptom: callers are refused for seconds after a crowd. Sequence: a crowd of three times
// the room ends. Cause: refused callers that ask again count as so many more.
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

// Symptom: a zone that is cut off refuses by what others ask, or counts on their targets.
// Sequence: callers ask for twice the room; one of three zones is cut off.
func TestPartitionedZoneUsesOnlyItsOwnCapacity(t *testing.T) {
	f := newFleet(90, 3, 8)
	f.setDemand(45, 135)
	f.run(3 * time.Second)
	f.zones[0].partitioned = true
	f.run(6 * time.Second)
	require.InDelta(t, 60, f.zones[0].hosts[0].Demand().Total(), 20)
}
