package steerer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cranberryspan.dev/core/steerer"
	"cranberryspan.dev/core/timekeeper"
)

const (
	// meanFlowInterval is the mean time between two new flows at a host under traffic.
	meanFlowInterval = 100 * time.Millisecond
	// maxHostsUnderTraffic limits the hosts with callers.
	maxHostsUnderTraffic = 28
	// targetsUnderTraffic is the number of targets of the service that they ask.
	targetsUnderTraffic = 36
)

// traffic is a fleet whose zone a is evacuated and whose hosts there get new flows all the time,
// each with one request. Callers retransmit an opening packet that gets no response twice.
type traffic struct {
	*fleet
	random  *rand.Rand
	hosts   []string
	callers int
	added   int
	// placedInZoneA holds when each host sent an opening packet to a target of zone a, and
	// placedElsewhere when it sent one to another target.
	placedInZoneA   map[string][]timekeeper.Instant
	placedElsewhere map[string][]timekeeper.Instant
}

func newFleetUnderTraffic(t *testing.T, seed uint64, hostsByZone []int) *traffic {
	f := newFleet(t, hostsByZone...)
	tr := &traffic{fleet: f, random: rand.New(rand.NewPCG(seed, 0)), placedInZoneA: map[string][]timekeeper.Instant{}, placedElsewhere: map[string][]timekeeper.Instant{}}
	for n := range targetsUnderTraffic {
		tr.addLedgerTarget(string(rune('a' + n%len(hostsByZone))))
	}
	f.evacuate("a")
	f.step(3 * time.Second)
	tr.hosts = f.names[:min(hostsByZone[0], maxHostsUnderTraffic)]
	for _, host := range tr.hosts {
		tr.openFlows(host)
	}
	f.step(6 * time.Second)
	return tr
}

func (tr *traffic) addLedgerTarget(zone string) {
	tr.added++
	tr.addTarget(fmt.Sprintf("i-3%07x", tr.added), "ledger", zone)
}

// openFlows opens a flow through a host, and another one after a random time.
func (tr *traffic) openFlows(host string) {
	tr.callers++
	tr.open(tr.caller(tr.callers, readRoute), host, 0)
	tr.schedule(time.Duration(tr.random.ExpFloat64()*float64(meanFlowInterval)), func() { tr.openFlows(host) })
}

// open sends an opening packet and, if its target responds, a request.
func (tr *traffic) open(c *caller, host string, retransmits uint32) {
	c.target = ""
	c.open(host, retransmits)
	zone := tr.targetZone(c.target)
	switch zone {
	case "":
	case "a":
		tr.placedInZoneA[host] = append(tr.placedInZoneA[host], tr.now)
	default:
		tr.placedElsewhere[host] = append(tr.placedElsewhere[host], tr.now)
	}
	if _, unresponsive := tr.probeOutcomes[c.target]; c.target == "" || unresponsive || tr.cutOff(host[:1], zone) {
		if retransmits < 2 {
			tr.schedule(retransmitInterval<<retransmits, func() { tr.open(c, host, retransmits+1) })
		}
		return
	}
	tr.schedule(2*linkDelay, func() {
		c.establish(host)
		c.sendRequest(host)
	})
	tr.schedule(2*linkDelay+25*time.Millisecond, func() {
		c.ackResponse(host)
		c.close(host)
	})
}

// crashTargets makes a share of the targets of zones b and c that still work unresponsive, and
// replaces them. The platform lists the crashed ones a second longer.
func (tr *traffic) crashTargets(share float64, outcome steerer.ProbeOutcome) {
	for _, zone := range []string{"b", "c"} {
		var working []string
		for id, target := range tr.targets {
			if _, crashed := tr.probeOutcomes[id]; target.AvailabilityZone == zone && target.Service == "ledger" && !crashed {
				working = append(working, id)
			}
		}
		slices.Sort(working)
		tr.random.Shuffle(len(working), func(i, j int) { working[i], working[j] = working[j], working[i] })
		for _, id := range working[:int(share*float64(len(working)))] {
			tr.probeOutcomes[id] = outcome
			tr.addLedgerTarget(zone)
			tr.schedule(time.Second, func() { tr.remove(id) })
		}
	}
}

// otherHosts returns the hosts of the zones other than a.
func (tr *traffic) otherHosts() []string {
	return slices.DeleteFunc(slices.Clone(tr.names), func(name string) bool { return name[0] == 'a' })
}

func restartOtherHosts(tr *traffic) {
	for _, name := range tr.otherHosts() {
		if tr.random.IntN(3) == 0 {
			tr.kill(name)
			tr.schedule(500*time.Millisecond, func() { tr.start(name) })
		}
	}
}

func killOtherHosts(tr *traffic) {
	for _, name := range tr.otherHosts() {
		tr.kill(name)
	}
}
