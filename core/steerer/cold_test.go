package steerer_test

import (
	"testing"
	"time"

	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

// publishWarmUp publishes what cold targets of the ledger bear.
func (f *fleet) publishWarmUp(span time.Duration, perSecond float64) {
	f.settings = steerer.NewSettings(2, routes(), []steerer.Service{{Name: "ledger", HealthPath: "/healthz", WarmUp: span, WarmUpFlowsPerSecond: perSecond}}, 15*time.Second)
	f.step(2 * time.Second)
}

// markCold says in a target's entry that it is cold.
func (f *fleet) markCold(id string, span time.Duration) {
	target := f.targets[id]
	target.WarmUp = span
	f.targets[id] = target
	f.revision++
}

// openFlowsAndCountPeaks opens flows through all hosts, some each tick, and returns how many came to each
// target in its worst second.
func (f *fleet) openFlowsAndCountPeaks(first int, span time.Duration, perTick int) map[string]int {
	times := map[string][]time.Duration{}
	n := first
	for clock := time.Duration(0); clock < span; clock += steerer.TickInterval {
		for _, name := range f.names {
			for range perTick {
				n++
				c := f.caller(n, checkRoute)
				c.open(name, 0)
				if c.target != "" {
					times[c.target] = append(times[c.target], clock)
				}
			}
		}
		f.step(steerer.TickInterval)
	}
	worst := map[string]int{}
	for id, all := range times {
		for i, from := range all {
			count := 0
			for _, at := range all[i:] {
				if at < from+time.Second {
					count++
				}
			}
			worst[id] = max(worst[id], count)
		}
	}
	return worst
}

// Symptom: targets that have just started fall over, and their requests fail. Sequence: a
// zone's targets come back together, cold and idle; all hosts of the zone place their
// flows on them. Cause: no host knows what the others place.
//
// The bound is what the targets state, 2 a second, times 1.5, and 5 more. What they
// can't take goes to the other zone, and nobody is refused.
func TestColdTargetsStayWithinTheirFlowLimit(t *testing.T) {
	f := newFleet(t, 4, 4)
	f.publishWarmUp(4*time.Second, 2)
	for id, target := range f.targets {
		if target.Service == "ledger" && target.AvailabilityZone == "a" {
			f.markCold(id, 4*time.Second)
		}
	}
	f.step(1500 * time.Millisecond)
	worst := f.openFlowsAndCountPeaks(0, 2*time.Second, 1)
	for id, count := range worst {
		if f.targetZone(id) == "a" {
			require.LessOrEqual(t, count, 8, id)
		}
	}
	for _, name := range f.names {
		require.Empty(t, f.hosts[name].resets)
	}
}

// Symptom: a zone that comes back after an order falls over. Sequence: it is evacuated for
// some seconds, and the order is taken back. Cause: its targets have not started anew, so
// nothing says that they are cold.
func TestZoneIsColdAfterEvacuation(t *testing.T) {
	f := newFleet(t, 4, 4)
	f.publishWarmUp(4*time.Second, 2)
	f.evacuate("a")
	f.step(5 * time.Second)
	f.withdrawEvacuation("a")
	f.step(1500 * time.Millisecond)
	for id, count := range f.openFlowsAndCountPeaks(0, 2*time.Second, 1) {
		if f.targetZone(id) == "a" {
			require.LessOrEqual(t, count, 8, id)
		}
	}
	f.step(5 * time.Second)
	total := 0
	for id, count := range f.openFlowsAndCountPeaks(5000, time.Second, 1) {
		if f.targetZone(id) == "a" {
			total += count
		}
	}
	require.Greater(t, total, 3*8, "warm again, it takes its part")
}

// Symptom: callers are refused although targets have room. Sequence: all targets of a
// service start together and state no bound. Cause: tickets where none are needed.
func TestColdTargetsWithoutLimitAcceptAllFlows(t *testing.T) {
	f := newFleet(t, 2)
	f.publishWarmUp(4*time.Second, 0)
	for id := range f.targets {
		f.markCold(id, 4*time.Second)
	}
	f.step(1500 * time.Millisecond)
	f.openFlowsAndCountPeaks(0, time.Second, 1)
	for _, name := range f.names {
		require.Empty(t, f.hosts[name].resets)
	}
}

// Symptom: only the host that reads the platform spares a target. Sequence: a target turns
// cold without a restart. Cause: a warm-up is no news to others.
func TestColdStateReachesOtherHosts(t *testing.T) {
	f := newFleet(t, 3)
	f.publishWarmUp(10*time.Second, 2)
	f.markCold("i-10000001", 10*time.Second)
	f.step(2 * time.Second)
	for _, name := range f.names {
		require.Equal(t, 1, f.hosts[name].steerer.Snapshot().Cold, name)
	}
}

// Symptom: a request whose data may not leave a region runs in another. Sequence: a route
// names regions; the targets of its region drain. Cause: regions are not asked for.
func TestRoutesStayInTheirRegions(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.regions = map[string]string{"a": "north", "b": "south"}
	all := routes()
	all[1].Regions = []string{"south"}
	f.settings = newSettings(2, all)
	for _, name := range f.names {
		f.kill(name)
		f.start(name)
	}
	f.step(2 * time.Second)
	for n := range 20 {
		c := f.caller(n, checkRoute)
		c.open("a1", 0)
		require.Equal(t, "b", f.targetZone(c.target))
		c.open("a1", 1)
		require.Equal(t, "b", f.targetZone(c.target))
	}
	for id, target := range f.targets {
		if target.AvailabilityZone == "b" {
			f.drain(id)
		}
	}
	f.step(2 * time.Second)
	c := f.caller(50, checkRoute)
	c.open("a1", 0)
	require.Empty(t, c.target)
	require.Len(t, f.hosts["a1"].resets, 1)
}
