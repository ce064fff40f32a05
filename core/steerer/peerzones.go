package steerer

import (
	"math"
	"slices"
	"strings"
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/timekeeper"
)

// peerZones lists the other hosts by availability zone, those whose zone is known, in the
// order of their names.
type peerZones struct {
	byZone map[string][]*peer
	// heard is when any host of the own zone, as far as this one knows, last had a report
	// from a zone.
	heard map[string]timekeeper.Instant
	// epoch counts the changes.
	epoch uint64
}

func newPeerZones() peerZones {
	return peerZones{byZone: map[string][]*peer{}, heard: map[string]timekeeper.Instant{}}
}

// of lists the hosts of a zone.
func (z *peerZones) of(zone string) []*peer { return z.byZone[zone] }

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

// noteReport takes in that a host of a zone has reported. One of the own zone tells, too,
// what it has heard of others: each host of a large zone hears of another too seldom to tell
// by itself that it has fallen silent.
func (z *peerZones) noteReport(r *messenger.Report, own string, now timekeeper.Instant) {
	if r.AvailabilityZone != own {
		if !r.Leaving {
			z.heard[r.AvailabilityZone] = now
		}
		return
	}
	for zone, age := range r.ZonesHeard {
		z.heard[zone] = max(z.heard[zone], now.Add(-time.Duration(age)*hintAgeUnit))
	}
}

// ages are what reports to hosts of the own zone tell of other zones.
func (z *peerZones) ages(now timekeeper.Instant) map[string]uint8 {
	ages := make(map[string]uint8, len(z.heard))
	for zone, heard := range z.heard {
		if age := tenths(now.Since(heard)); age < math.MaxUint8 {
			ages[zone] = age
		}
	}
	return ages
}

// hears reports whether hosts of a zone have reported of late.
func (z *peerZones) hears(zone string, now timekeeper.Instant) bool {
	heard, ok := z.heard[zone]
	return ok && now.Since(heard) < peerSilence
}

// hearsAny reports whether hosts of any other zone have.
func (z *peerZones) hearsAny(now timekeeper.Instant) bool {
	for zone := range z.heard {
		if z.hears(zone, now) {
			return true
		}
	}
	return false
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
