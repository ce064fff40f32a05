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

// Evacuates reports whether a zone gets nothing more.
func (o Orders) Evacuates(zone string) bool { return slices.Contains(o.Zones, zone) }

// Change is an order that came into force or was taken back.
type Change struct {
	Zone string
	// Given says that the order came into force.
	Given bool
}

// Evacuator is what one host knows of orders. It belongs to one owner.
type Evacuator struct {
	orders Orders
	// held says, of each zone whose order a restore of the platform has undone, until when
	// the order counts nevertheless.
	held map[string]timekeeper.Instant
	// copied says, of each zone whose order came back with a restore of the platform, until
	// when the operators may still take it back again.
	copied map[string]timekeeper.Instant
	// lifted is when this host learned that the last order for a zone was taken back.
	lifted map[string]timekeeper.Instant
}

// New makes an Evacuator that knows of no orders.
func New() *Evacuator {
	return &Evacuator{
		held:   map[string]timekeeper.Instant{},
		copied: map[string]timekeeper.Instant{},
		lifted: map[string]timekeeper.Instant{},
	}
}

// Orders returns the newest orders, as they were given.
func (e *Evacuator) Orders() Orders { return e.orders }

// Zones lists the zones that get nothing more, sorted.
func (e *Evacuator) Zones() []string {
	if len(e.held) == 0 {
		return e.orders.Zones
	}
	zones := slices.AppendSeq(slices.Clone(e.orders.Zones), maps.Keys(e.held))
	slices.Sort(zones)
	return zones
}

// Evacuates reports whether a zone gets nothing more.
func (e *Evacuator) Evacuates(zone string) bool {
	_, held := e.held[zone]
	return held || e.orders.Evacuates(zone)
}

// Doubtful reports whether a zone's order came back with a restore that has undone another
// order: the operators may have moved from the one zone to the other.
func (e *Evacuator) Doubtful(zone string, now timekeeper.Instant) bool {
	return len(e.held) > 0 && e.orders.Evacuates(zone) && !e.copied[zone].Passed(now)
}

// Lifted returns when this host learned that the last order for a zone was taken back,
// and whether there was one.
func (e *Evacuator) Lifted(zone string) (timekeeper.Instant, bool) {
	at, ok := e.lifted[zone]
	return at, ok
}

// Take puts orders in force unless newer ones are, and returns what changed, in the
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
func (e *Evacuator) Take(orders Orders, now timekeeper.Instant) []Change {
	if !e.orders.Position.Before(orders.Position) {
		return nil
	}
	if e.orders.Position.Known() && !orders.Position.Known() {
		return nil // It says nothing of any history.
	}
	restored := e.orders.Position.Known() && !orders.Position.Continues(e.orders.Position)
	if restored {
		e.waitLonger(now)
	}
	var changes []Change
	for _, zone := range orders.Zones {
		if !e.Evacuates(zone) {
			changes = append(changes, Change{Zone: zone, Given: true})
			delete(e.lifted, zone)
			if restored {
				e.copied[zone] = now.Add(sequencer.RewriteTime)
			}
		}
		delete(e.held, zone)
	}
	for _, zone := range e.orders.Zones {
		switch {
		case orders.Evacuates(zone):
		case restored:
			e.held[zone] = now.Add(sequencer.RewriteTime)
		default:
			changes = append(changes, e.lift(zone, now))
		}
	}
	maps.DeleteFunc(e.copied, func(zone string, _ timekeeper.Instant) bool { return !orders.Evacuates(zone) })
	e.orders = orders
	return changes
}

// waitLonger has what an earlier restore has undone, or brought back, wait for as long again.
func (e *Evacuator) waitLonger(now timekeeper.Instant) {
	for zone := range e.held {
		e.held[zone] = now.Add(sequencer.RewriteTime)
	}
	for zone, deadline := range e.copied {
		if !deadline.Passed(now) {
			e.copied[zone] = now.Add(sequencer.RewriteTime)
		}
	}
}

// Expire ends the orders that were not given again in time after a restore, and returns
// them in the order of zones.
func (e *Evacuator) Expire(now timekeeper.Instant) []Change {
	if len(e.held) == 0 {
		return nil
	}
	var changes []Change
	for _, zone := range slices.Sorted(maps.Keys(e.held)) {
		if e.held[zone].Passed(now) {
			delete(e.held, zone)
			changes = append(changes, e.lift(zone, now))
		}
	}
	return changes
}

// lift notes that an order has ended.
func (e *Evacuator) lift(zone string, now timekeeper.Instant) Change {
	e.lifted[zone] = now
	return Change{Zone: zone}
}
