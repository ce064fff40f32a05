package steerer_test

import (
	"fmt"
	"testing"
	"time"

	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

// fleetSizes are the numbers of hosts by zone of fleets of 8, 83 and 300 hosts.
var fleetSizes = [][]int{{3, 3, 2}, {28, 28, 27}, {100, 100, 100}}

// hostFault is what happens to the hosts of the other zones, every second.
type hostFault struct {
	name  string
	apply func(tr *traffic)
	// serveBounds are the mean times after a cut, in fleets of fleetSizes, within which hosts of
	// an isolated zone have to serve it.
	serveBounds []time.Duration
}

var hostFaults = []hostFault{
	{"hosts up", func(*traffic) {}, []time.Duration{980 * time.Millisecond, 790 * time.Millisecond, 860 * time.Millisecond}},
	{"hosts restarting", restartOtherHosts, []time.Duration{950 * time.Millisecond, 830 * time.Millisecond, 910 * time.Millisecond}},
	{"hosts down", killOtherHosts, []time.Duration{590 * time.Millisecond, 580 * time.Millisecond, 650 * time.Millisecond}},
}

// Guards against flows to an evacuated zone while other zones work: when targets there crash, with
// or without refusing connections, a host must not take the lack of activity and of reports
// between two crashes for a partition of its own zone.
func TestCrashesElsewhereDoNotOverrideAnOrder(t *testing.T) {
	for _, sizes := range fleetSizes {
		for _, fault := range hostFaults {
			for _, outcome := range []steerer.ProbeOutcome{steerer.ProbeRefused, steerer.ProbeConnectTimeout} {
				t.Run(fmt.Sprint(sizes, " ", fault.name, " ", outcome), func(t *testing.T) {
					tr := newFleetUnderTraffic(t, 1, sizes)
					for second := range 12 {
						if second%4 == 0 {
							tr.crashTargets([]float64{0.25, 1}[second/4%2], outcome)
						}
						fault.apply(tr)
						tr.step(time.Second)
					}
					require.Empty(t, tr.placedInZoneA)
				})
			}
		}
	}
}

// Guards against a host that overrides an order because it has never received a report from
// another zone: when it has just started and targets of the other zones crash.
func TestStartedHostWithoutReportsFollowsAnOrder(t *testing.T) {
	for _, sizes := range fleetSizes {
		t.Run(fmt.Sprint(sizes), func(t *testing.T) {
			tr := newFleetUnderTraffic(t, 1, sizes)
			started := tr.hosts[0]
			tr.kill(started)
			tr.deniedHosts[started] = true
			for _, other := range tr.otherHosts() {
				tr.cutLinks[[2]string{started, other}] = true
				tr.cutLinks[[2]string{other, started}] = true
			}
			tr.start(started)
			tr.step(6 * time.Second)
			for range 3 {
				tr.crashTargets(1, steerer.ProbeConnectTimeout)
				tr.step(3 * time.Second)
			}
			require.Empty(t, tr.placedInZoneA)
		})
	}
}

// Guards against callers of an evacuated zone that fail while it is cut off from the other zones
// and from the platform: when its hosts go on to follow the order, or find out too late; and
// against flows to the zone after it is joined again.
func TestIsolatedEvacuatedZoneServesItsCallers(t *testing.T) {
	const returnBound = 1100 * time.Millisecond
	for i, sizes := range fleetSizes {
		for _, fault := range hostFaults {
			t.Run(fmt.Sprint(sizes, " ", fault.name), func(t *testing.T) {
				tr := newFleetUnderTraffic(t, 1, sizes)
				fault.apply(tr)
				tr.step(700 * time.Millisecond)
				tr.isolateZone("a")
				cut := tr.now
				for range 4 {
					tr.step(time.Second)
					fault.apply(tr)
				}
				var total time.Duration
				for _, host := range tr.hosts {
					require.NotEmpty(t, tr.placedInZoneA[host], "%s does not serve", host)
					total += tr.placedInZoneA[host][0].Since(cut)
				}
				require.LessOrEqual(t, total/time.Duration(len(tr.hosts)), fault.serveBounds[i])

				tr.rejoinZone()
				tr.step(returnBound)
				joined := tr.now
				tr.step(3 * time.Second)
				for _, host := range tr.hosts {
					placed := tr.placedInZoneA[host]
					require.LessOrEqual(t, placed[len(placed)-1], joined, "%s still overrides the order", host)
				}
			})
		}
	}
}

// Guards against flows to an evacuated zone while the platform is down: when orders are outdated
// and all targets elsewhere crash, but hosts there still respond.
func TestOutdatedOrderHoldsWhileHostsElsewhereRespond(t *testing.T) {
	for _, sizes := range fleetSizes {
		for _, fault := range hostFaults[:2] {
			t.Run(fmt.Sprint(sizes, " ", fault.name), func(t *testing.T) {
				tr := newFleetUnderTraffic(t, 1, sizes)
				tr.down = true
				tr.step(2 * time.Second)
				tr.crashTargets(1, steerer.ProbeConnectTimeout)
				for range 8 {
					fault.apply(tr)
					tr.step(time.Second)
				}
				require.Empty(t, tr.placedInZoneA)
			})
		}
	}
}

// Guards against callers of an evacuated zone that fail while it is cut off from the only other
// zone and from the platform: its hosts serve it once the order is outdated.
func TestIsolatedZoneWithOneOtherZoneServesItsCallers(t *testing.T) {
	const ordersLimit = 3 * time.Second
	for _, sizes := range [][]int{{4, 4}, {42, 41}, {150, 150}} {
		t.Run(fmt.Sprint(sizes), func(t *testing.T) {
			tr := newFleetUnderTraffic(t, 1, sizes)
			tr.isolateZone("a")
			served := tr.now.Add(ordersLimit + retransmitInterval)
			tr.step(2 * ordersLimit)
			for _, host := range tr.hosts {
				require.NotEmpty(t, tr.placedInZoneA[host], "%s does not serve", host)
				require.LessOrEqual(t, tr.placedInZoneA[host][0], served, host)
			}
		})
	}
}

// Guards against an isolated zone that goes back to the order while it is cut off: when callers of
// open flows, whose packets also go through hosts of other zones, acknowledge responses.
func TestProgressThroughOtherHostsDoesNotEndIsolation(t *testing.T) {
	tr := newFleetUnderTraffic(t, 1, fleetSizes[0])
	flows := map[string]*caller{}
	for n, host := range tr.hosts {
		flows[host] = tr.caller(60_000+n, readRoute)
		flows[host].open(host, 0)
		flows[host].establish(host)
	}
	tr.isolateZone("a")
	tr.step(1500 * time.Millisecond)
	clear(tr.placedElsewhere)
	for range 20 {
		for _, host := range tr.hosts {
			flows[host].sendRequest("b1")
			flows[host].ackResponse(host)
		}
		tr.step(150 * time.Millisecond)
	}
	require.Empty(t, tr.placedElsewhere)
}
