package steerer

import (
	"slices"
	"strings"
	"time"

	"cranberryspan.dev/core/timekeeper"
)

// peerZones lists the other hosts by availability zone, those whose zone is known, in the
// order of their names.
type peerZones struct {
	byZone map[string][]*peer
	// lastReport is when a host of a zone last reported.
	lastReport map[string]timekeeper.Instant
	// generation counts the changes: hosts that come, go, change their zone, or are about to end.
	generation uint64
}

func newPeerZones() peerZones {
	return peerZones{byZone: map[string][]*peer{}, lastReport: map[string]timekeeper.Instant{}}
}

// hosts lists the hosts of a zone.
func (z *peerZones) hosts(zone string) []*peer { return z.byZone[zone] }

// countAlive counts the hosts of a zone that live as far as anybody says: those that have not been
// silent for longer than a time.
func (z *peerZones) countAlive(zone string, now timekeeper.Instant, silence time.Duration) int {
	count := 0
	for _, p := range z.hosts(zone) {
		if p.presumedAlive(now, silence) {
			count++
		}
	}
	return count
}

// setZone puts a host into a zone; into none if that is empty.
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

// insertByName adds a host to some that are in the order of their names.
func insertByName(hosts []*peer, p *peer) []*peer {
	index, _ := slices.BinarySearchFunc(hosts, p.name, func(other *peer, name string) int { return strings.Compare(other.name, name) })
	return slices.Insert(hosts, index, p)
}

// setShuttingDown notes whether a host says that it is about to end.
func (z *peerZones) setShuttingDown(p *peer, leaving bool) {
	if p.shuttingDown != leaving {
		z.generation++
	}
	p.shuttingDown = leaving
}
