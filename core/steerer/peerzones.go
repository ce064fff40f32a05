package steerer

import (
	"slices"
	"strings"
	"time"

	"cranberryspan.dev/core/timekeeper"
)

// peerZones lists the other hosts whose availability zone is known, by zone and ordered by
// name.
type peerZones struct {
	byZone map[string][]*peer
	// lastReport is when a host of each zone last reported.
	lastReport map[string]timekeeper.Instant
	// generation counts the changes: hosts that are added, dropped, change their zone or
	// start to shut down.
	generation uint64
}

func newPeerZones() peerZones {
	return peerZones{byZone: map[string][]*peer{}, lastReport: map[string]timekeeper.Instant{}}
}

// hosts lists the hosts of a zone.
func (z *peerZones) hosts(zone string) []*peer { return z.byZone[zone] }

// countAlive counts the hosts of a zone that are presumed alive, given a timeout.
func (z *peerZones) countAlive(zone string, now timekeeper.Instant, timeout time.Duration) int {
	count := 0
	for _, p := range z.hosts(zone) {
		if p.presumedAlive(now, timeout) {
			count++
		}
	}
	return count
}

// setZone moves a host to a zone; an empty zone removes it from its zone.
func (z *peerZones) setZone(p *peer, zone string) {
	if p.zone == zone {
		return
	}
	z.generation++
	if p.zone != "" {
		z.byZone[p.zone] = slices.DeleteFunc(z.byZone[p.zone], func(other *peer) bool { return other == p })
	}
	p.zone = zone
	if zone == "" {
		return
	}
	z.byZone[zone] = insertByName(z.byZone[zone], p)
}

// insertByName inserts a host into a list ordered by name.
func insertByName(hosts []*peer, p *peer) []*peer {
	index, _ := slices.BinarySearchFunc(hosts, p.name, func(other *peer, name string) int { return strings.Compare(other.name, name) })
	return slices.Insert(hosts, index, p)
}

// setShuttingDown records whether a host reports that it is shutting down.
func (z *peerZones) setShuttingDown(p *peer, shuttingDown bool) {
	if p.shuttingDown != shuttingDown {
		z.generation++
	}
	p.shuttingDown = shuttingDown
}
