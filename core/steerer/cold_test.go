package steerer_test

import (
	"testing"
	"time"

	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

// publishWarmUp publishes the warm-up and its flow limit for targets of the ledger.
func (f *fleet) publishWarmUp(duration time.Duration, perSecond float64) {
	f.settings = steerer.NewSettings(2, routes(), []steerer.Service{{Name: "ledger", HealthPath: "/healthz", WarmUp: duration, WarmUpPerSecond: perSecond}}, 15*time.Second)
	f.step(2 * time.Second)
}

// markCold sets a warm-up in a target's entry.
func (f *fleet) markCold(id string, duration time.Duration) {
	target := f.targets[id]
	target.WarmUp = duration
	f.targets[id] = target
	f.revision++
}

// openFlowsAndCountPeaks opens flows through all hosts, perTick of them per host and tick, and
// returns the most that each target got within a second.
func (f *fleet) openFlowsAndCountPeaks(first int, duration time.Duration, perTick int) map[string]int {
	times := map[string][]time.Duration{}
	n := first
	for elapsed := time.Duration(0); elapsed < duration; elapsed += steerer.TickInterval {
		for _, name := range f.names {
			for range perTick {
				n++
				c := f.caller(n, checkRoute)
				c.open(name, 0)
				if c.target != "" {
					times[c.target] = append(times[c.target], elapsed)
				}
			}
		}
		f.step(steerer.TickInterval)
	}
	peaks := map[string]int{}
	for id, all := range times {
		for i, from := range all {
			count := 0
			for _, at := range all[i:] {
				if at < from+time.Second {
					count++
				}
			}
			peaks[id] = max(peaks[id], count)
		}
	}
	return peaks
}

// Guards against targets that fail because they get too many flows right after a start: when
// the targets of a zone come back together, cold and idle, the hosts of the zone have to share
// the limit, or each would place flows on them without counting those of the others.
//
// The limit is the 2 flows per second in the settings, times 1.5, plus 5. Flows that exceed it
// go to the other zone, and none is refused.
func TestColdTargetsStayWithinTheirFlowLimit(t *testing.T) {
	f := newFleet(t, 4, 4)
	f.publishWarmUp(4*time.Second, 2)
	for id, target := range f.targets {
		if target.Service == "ledger" && target.AvailabilityZone == "a" {
			f.markCold(id, 4*time.Second)
		}
	}
	f.step(1500 * time.Millisecond)
	peaks := f.openFlowsAndCountPeaks(0, 2*time.Second, 1)
	for id, count := range peaks {
		if f.targetZone(id) == "a" {
			require.LessOrEqual(t, count, 8, id)
		}
	}
	for _, name := range f.names {
		require.Empty(t, f.hosts[name].resets)
	}
}

// Guards against overloading a zone after an evacuation: when the order is withdrawn after
// some seconds, the zone's targets have not restarted, so their entries do not show that they
// are cold.
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

// Guards against refusing callers although targets have capacity: when all targets of a
// service start together and have no flow limit, hosts must not require tickets.
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

// Guards against only one host limiting flows to a cold target: when a target becomes cold
// without a restart, the host that reads this from the platform must report it to the others.
func TestColdStateReachesOtherHosts(t *testing.T) {
	f := newFleet(t, 3)
	f.publishWarmUp(10*time.Second, 2)
	f.markCold("i-10000001", 10*time.Second)
	f.step(2 * time.Second)
	for _, name := range f.names {
		require.Equal(t, 1, f.hosts[name].steerer.Snapshot().Cold, name)
	}
}

// Guards against requests that run outside of the regions that their route allows: when the
// targets of the only allowed region drain, flows are refused and not placed elsewhere.
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
