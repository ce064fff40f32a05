// Package evacuator tracks the evacuation orders that operators issue for availability zones.
//
// When operators learn that a zone is failing or about to fail, they order that nothing more be
// sent to its targets until they withdraw the order. Every host has to comply within seconds,
// whether it receives the order first from the platform or from another host. After the order
// is withdrawn, the targets of the zone are cold.
//
// All orders together are one small immutable value with the position in the platform's history
// up to which it is complete (Orders). Of two values the one with the later position applies.
// So it does not matter from whom a host receives them first, and an order that is withdrawn
// and reissued can't be confused with the earlier one.
//
// The package does no I/O and reads no clock: the current time is passed in.
package evacuator

import (
	"maps"
	"slices"

	"cranberryspan.dev/core/sequencer"
	"cranberryspan.dev/core/timekeeper"
)

// Orders is the set of all orders in force as of a position. It is immutable.
type Orders struct {
	// Position is the point in the platform's history up to which the orders are complete.
	Position sequencer.Position
	// Zones are the evacuated availability zones, sorted.
	Zones []string
}

// WithZone returns the orders after an order for zone was issued at a later revision.
func (o Orders) WithZone(zone string, revision uint64) Orders {
	zones := slices.Clone(o.Zones)
	if at, found := slices.BinarySearch(zones, zone); !found {
		zones = slices.Insert(zones, at, zone)
	}
	return Orders{Position: o.Position.WithRevision(revision), Zones: zones}
}

// WithoutZone returns the orders after the order for zone was withdrawn at a later revision.
func (o Orders) WithoutZone(zone string, revision uint64) Orders {
	zones := slices.DeleteFunc(slices.Clone(o.Zones), func(name string) bool { return name == zone })
	return Orders{Position: o.Position.WithRevision(revision), Zones: zones}
}

// WithRevision returns the same orders, complete up to a later revision.
func (o Orders) WithRevision(revision uint64) Orders {
	o.Position = o.Position.WithRevision(revision)
	return o
}

// Includes reports whether there is an order for a zone.
func (o Orders) Includes(zone string) bool { return slices.Contains(o.Zones, zone) }

// Change is an order that has come into force or has ended.
type Change struct {
	Zone string
	// Active says that the order has come into force.
	Active bool
}

// Evacuator holds the orders that one host has received. It is not safe for concurrent use.
type Evacuator struct {
	orders Orders
	// retained maps each zone whose order was lost in a restore of the platform to the time
	// until which the order stays in force.
	retained map[string]timekeeper.Instant
	// reinstated maps each zone whose order came back with a restore of the platform to the
	// time until which operators may withdraw it again.
	reinstated map[string]timekeeper.Instant
	// endedAt maps each zone whose last order has ended to when this host learned of it.
	endedAt map[string]timekeeper.Instant
}

// New returns an Evacuator without orders.
func New() *Evacuator {
	return &Evacuator{
		retained:   map[string]timekeeper.Instant{},
		reinstated: map[string]timekeeper.Instant{},
		endedAt:    map[string]timekeeper.Instant{},
	}
}

// Orders returns the latest orders as received, without those that are retained after a
// restore.
func (e *Evacuator) Orders() Orders { return e.orders }

// Zones returns the evacuated zones, sorted.
func (e *Evacuator) Zones() []string {
	if len(e.retained) == 0 {
		return e.orders.Zones
	}
	zones := slices.AppendSeq(slices.Clone(e.orders.Zones), maps.Keys(e.retained))
	slices.Sort(zones)
	return zones
}

// Evacuates reports whether a zone is evacuated.
func (e *Evacuator) Evacuates(zone string) bool {
	_, retained := e.retained[zone]
	return retained || e.orders.Includes(zone)
}

// PossiblyStale reports whether the order for a zone came back with a restore that lost another
// order: the operators may have moved the evacuation from the one zone to the other.
func (e *Evacuator) PossiblyStale(zone string, now timekeeper.Instant) bool {
	return len(e.retained) > 0 && e.orders.Includes(zone) && !e.reinstated[zone].Passed(now)
}

// EndedAt returns when this host learned that the last order for a zone had ended, and whether
// there was one.
func (e *Evacuator) EndedAt(zone string) (timekeeper.Instant, bool) {
	at, ok := e.endedAt[zone]
	return at, ok
}

// Apply puts orders into force unless later ones are in force already, and returns the changes:
// first the orders that came into force, then those that ended, both sorted by zone.
//
// Without the comparison of positions, a host that was isolated would report its state from
// before an order when it reconnects, and other hosts would send to the zone again until
// another host corrects them. This would show as bursts of new flows to a zone after it was
// ordered to be evacuated.
//
// An order that is missing after a restore of the platform does not end at once: the operators
// have not withdrawn it, and reissue it within seconds. If it ended, new flows would go to a
// zone that is about to fail until then. Such an order ends only if it is not reissued within
// RewriteGracePeriod of the latest restore.
func (e *Evacuator) Apply(orders Orders, now timekeeper.Instant) []Change {
	if !e.orders.Position.Before(orders.Position) {
		return nil
	}
	if e.orders.Position.Known() && !orders.Position.Known() {
		return nil // Without a revision it is no position in any history.
	}
	restored := e.orders.Position.Known() && !orders.Position.ContinuesFrom(e.orders.Position)
	if restored {
		e.extendDeadlines(now)
	}
	var changes []Change
	for _, zone := range orders.Zones {
		if !e.Evacuates(zone) {
			changes = append(changes, Change{Zone: zone, Active: true})
			delete(e.endedAt, zone)
			if restored {
				e.reinstated[zone] = now.Add(sequencer.RewriteGracePeriod)
			}
		}
		delete(e.retained, zone)
	}
	for _, zone := range e.orders.Zones {
		switch {
		case orders.Includes(zone):
		case restored:
			e.retained[zone] = now.Add(sequencer.RewriteGracePeriod)
		default:
			changes = append(changes, e.end(zone, now))
		}
	}
	maps.DeleteFunc(e.reinstated, func(zone string, _ timekeeper.Instant) bool { return !orders.Includes(zone) })
	e.orders = orders
	return changes
}

// extendDeadlines restarts the grace period of the orders that an earlier restore lost or
// brought back.
func (e *Evacuator) extendDeadlines(now timekeeper.Instant) {
	for zone := range e.retained {
		e.retained[zone] = now.Add(sequencer.RewriteGracePeriod)
	}
	for zone, deadline := range e.reinstated {
		if !deadline.Passed(now) {
			e.reinstated[zone] = now.Add(sequencer.RewriteGracePeriod)
		}
	}
}

// Expire ends the retained orders that were not reissued in time after a restore, and returns
// the changes, sorted by zone.
func (e *Evacuator) Expire(now timekeeper.Instant) []Change {
	if len(e.retained) == 0 {
		return nil
	}
	var changes []Change
	for _, zone := range slices.Sorted(maps.Keys(e.retained)) {
		if e.retained[zone].Passed(now) {
			delete(e.retained, zone)
			changes = append(changes, e.end(zone, now))
		}
	}
	return changes
}

// end records that the order for a zone has ended.
func (e *Evacuator) end(zone string, now timekeeper.Instant) Change {
	e.endedAt[zone] = now
	return Change{Zone: zone}
}
