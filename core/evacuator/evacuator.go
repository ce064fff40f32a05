// Package evacuator keeps the operators' orders to evacuate availability zones.
//
// The pattern: operators learn that a zone is about to fail, or is failing, and order
// that nothing more be sent to its targets until they take the order back. Every host
// has to obey within seconds, whether it hears of it from the platform or from another
// host, and whichever comes first. After the return the zone's targets are cold.
//
// The answer: all orders together are one small immutable value with the platform's
// position up to which it is complete (Orders). Of two values the one with the later
// position holds, so it does not matter who tells a host first, and an order that is
// taken back and given again can't be confused with its earlier self.
//
// The package knows no network and no clock.
package evacuator

import (
	"maps"
	"slices"

	"cranberryspan.dev/core/sequencer"
	"cranberryspan.dev/core/timekeeper"
)

// Orders are all orders that are in force as of a position. It is immutable.
type Orders struct {
	// Position is that of the platform's history up to which all orders are known.
	Position sequencer.Position
	// Zones are the availability zones that get nothing more, sorted.
	Zones []string
}

// WithZone returns the orders after one more at a later revision.
func (o Orders) WithZone(zone string, revision uint64) Orders {
	zones := slices.Clone(o.Zones)
	if at, found := slices.BinarySearch(zones, zone); !found {
		zones = slices.Insert(zones, at, zone)
	}
	return Orders{Position: o.Position.WithRevision(revision), Zones: zones}
}

// WithoutZone returns the orders after one was taken back at a later revision.
func (o Orders) WithoutZone(zone string, revision uint64) Orders {
	zones := slices.DeleteFunc(slices.Clone(o.Zones), func(one string) bool { return one == zone })
	return Orders{Position: o.Position.WithRevision(revision), Zones: zones}
}

// WithRevision returns the orders, known to be complete up to a later revision.
func (o Orders) WithRevision(revision uint64) Orders {
	o.Position = o.Position.WithRevision(revision)
	return o
}

// Includes reports whether a zone gets nothing more.
func (o Orders) Includes(zone string) bool { return slices.Contains(o.Zones, zone) }

// Change is an order that came into force or was taken back.
type Change struct {
	Zone string
	// Active says that the order came into force.
	Active bool
}

// Evacuator is what one host knows of orders. It belongs to one owner.
type Evacuator struct {
	orders Orders
	// retained says, of each zone whose order a restore of the platform has undone, until when
	// the order counts nevertheless.
	retained map[string]timekeeper.Instant
	// reinstated says, of each zone whose order came back with a restore of the platform, until
	// when the operators may still take it back again.
	reinstated map[string]timekeeper.Instant
	// endedAt is when this host learned that the last order for a zone was taken back.
	endedAt map[string]timekeeper.Instant
}

// New makes an Evacuator that knows of no orders.
func New() *Evacuator {
	return &Evacuator{
		retained:   map[string]timekeeper.Instant{},
		reinstated: map[string]timekeeper.Instant{},
		endedAt:    map[string]timekeeper.Instant{},
	}
}

// Orders returns the newest orders, as they were given.
func (e *Evacuator) Orders() Orders { return e.orders }

// Zones lists the zones that get nothing more, sorted.
func (e *Evacuator) Zones() []string {
	if len(e.retained) == 0 {
		return e.orders.Zones
	}
	zones := slices.AppendSeq(slices.Clone(e.orders.Zones), maps.Keys(e.retained))
	slices.Sort(zones)
	return zones
}

// Evacuates reports whether a zone gets nothing more.
func (e *Evacuator) Evacuates(zone string) bool {
	_, held := e.retained[zone]
	return held || e.orders.Includes(zone)
}

// PossiblyStale reports whether a zone's order came back with a restore that has undone another
// order: the operators may have moved from the one zone to the other.
func (e *Evacuator) PossiblyStale(zone string, now timekeeper.Instant) bool {
	return len(e.retained) > 0 && e.orders.Includes(zone) && !e.reinstated[zone].Passed(now)
}

// EndedAt returns when this host learned that the last order for a zone was taken back,
// and whether there was one.
func (e *Evacuator) EndedAt(zone string) (timekeeper.Instant, bool) {
	at, ok := e.endedAt[zone]
	return at, ok
}

// Apply puts orders in force unless newer ones are, and returns what changed, in the
// order of zones.
//
// What goes wrong if the last that was heard holds: a host that was cut off comes back,
// tells its view from before the order, and others send to the zone again until the
// next host corrects them. One notices by zones that get new flows in bursts after an
// order.
//
// What goes wrong if orders that a restored platform lacks end at once: the operators have
// not taken them back, and give them again within seconds. Until then new flows go into a
// zone that is about to fail. So these end only if they are not given again in time, counted
// from the latest restore.
func (e *Evacuator) Apply(orders Orders, now timekeeper.Instant) []Change {
	if !e.orders.Position.Before(orders.Position) {
		return nil
	}
	if e.orders.Position.Known() && !orders.Position.Known() {
		return nil // It says nothing of any history.
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

// extendDeadlines has what an earlier restore has undone, or brought back, wait for as long again.
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

// Expire ends the orders that were not given again in time after a restore, and returns
// them in the order of zones.
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

// end notes that an order has ended.
func (e *Evacuator) end(zone string, now timekeeper.Instant) Change {
	e.endedAt[zone] = now
	return Change{Zone: zone}
}
