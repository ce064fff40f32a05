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
	// heard is when a host of a zone last reported.
	heard map[string]timekeeper.Instant
	// epoch counts the changes: hosts that come, go, change their zone, or are about to end.
	epoch uint64
}

func newPeerZones() peerZones {
	return peerZones{byZone: map[string][]*peer{}, heard: map[string]timekeeper.Instant{}}
}

// of lists the hosts of a zone.
func (z *peerZones) of(zone string) []*peer { return z.byZone[zone] }

// live counts the hosts of a zone that live as far as anybody says: those that have not been
// silent for longer than a time.
func (z *peerZones) live(zone string, now timekeeper.Instant, silence time.Duration) int {
	count := 0
	for _, p := range z.of(zone) {
		if p.mentioned(now, silence) {
			count++
		}
	}
	return count
}

// move puts a host into a zone; into none if that is empty.
func (z *peerZones) move(p *peer, zone string) {
	if p.zone == zone {
		return
	}
	z.epoch++
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
	at, _ := slices.BinarySearchFunc(hosts, p.name, func(other *peer, name string) int { return strings.Compare(other.name, name) })
	return slices.Insert(hosts, at, p)
}

// leave notes whether a host says that it is about to end.
func (z *peerZones) leave(p *peer, leaving bool) {
	if p.leaving != leaving {
		z.epoch++
	}
	p.leaving = leaving
}
