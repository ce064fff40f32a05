package steerer

import (
	"time"

	"cranberryspan.dev/core/evacuator"
	"cranberryspan.dev/core/sequencer"
)

// Operators may order that an availability zone be evacuated: its targets get no new
// flows until the order is taken back. Copies of opening packets obey like first ones. Open
// flows stay until they end by themselves: to reset them would break what still works.
//
// Liveness checks go on only for open flows that get no answer. What goes wrong without
// them: a zone is evacuated since it is about to fail, it fails, and each caller with an
// open flow there waits until its deadline. One notices by feeds that fail in a zone that
// crashes after an order, where others are asked anew at once.
//
// Orders come with the settings, in one read of the platform, and with each report of
// another host, since they are small. So they reach whoever hears anybody.

// applyOrders puts orders in force unless newer ones are.
func (s *Steerer) applyOrders(orders evacuator.Orders, from string) {
	s.recordOrderChanges(s.evacuator.Apply(orders, s.now), orders.Position, from)
}

// expireOrders ends the orders that nobody has given again after a restore.
func (s *Steerer) expireOrders() {
	s.recordOrderChanges(s.evacuator.Expire(s.now), s.evacuator.Orders().Position, "notGivenAgain")
}

// recordOrderChanges logs orders that came into force or ended, and tells others.
func (s *Steerer) recordOrderChanges(changes []evacuator.Change, position sequencer.Position, from string) {
	for _, change := range changes {
		event := "zoneReturned"
		if change.Active {
			event = "zoneEvacuated"
		}
		s.log(event, field("zone", change.Zone), field("revision", position.String()), field("from", from))
		s.peers.reportNow = true
	}
}

// settingsPropagationLimit is the time within which this host has to know what operators publish:
// orders come with the settings.
func (s *Steerer) settingsPropagationLimit() time.Duration {
	if s.config.EvacuationPropagationLimit > 0 {
		return min(s.config.SettingsPropagationLimit, s.config.EvacuationPropagationLimit)
	}
	return s.config.SettingsPropagationLimit
}

// evacuatedZonePenalty puts a target of an evacuated zone behind all that may answer, and before
// those that do not. It counts for a host that is out of touch only.
const evacuatedZonePenalty = 5 * suspectPenalty

// ordersStale reports whether this host's orders may be out of date, since nobody has
// confirmed them for longer than they may take to arrive. An order still holds then, but
// not against a flow that nobody else could take.
func (s *Steerer) ordersStale() bool {
	return age(s.now, s.reading.settings.confirmed) > s.settingsPropagationLimit()
}

// allZonesEvacuated reports whether the orders leave no zone that has targets. Then those that
// came back with a restore of the platform, beside one that it has undone, are a last resort
// only; see evacuator.Doubtful.
//
// What goes wrong otherwise: operators move an order from one zone to another, and the copy is
// from before that. The one counts as the copy has it, the other until it would have been
// given again, and every caller is refused. One notices by "zoneEvacuated" for all zones.
func (s *Steerer) allZonesEvacuated() bool {
	for _, zone := range s.targets.zones {
		if !s.evacuator.Evacuates(zone) {
			return false
		}
	}
	return true
}

// partitioned reports whether this host's zone seems to be cut off from all others. It then
// serves what it reaches, also in an evacuated zone.
//
// What goes wrong otherwise: a zone is evacuated, and then cut off. Its callers still
// reach its hosts, these reach no target but the zone's own, which are well, and all
// flows are lost until the cut heals. One notices by openings with copies at all targets
// of the other zones.
//
// A zone at a time is lost. So where all of two or more other zones fall silent at once,
// their hosts like their targets, it is this one that is cut off. With one other zone
// nobody can tell, and the order holds.
func (s *Steerer) partitioned() bool {
	otherZones := 0
	for _, zone := range s.targets.zones {
		if zone == s.config.AvailabilityZone {
			continue
		}
		if !s.diagnoser.ZoneSuspect(zone, s.now) {
			return false
		}
		otherZones++
	}
	return otherZones >= 2 && !s.otherZonesReporting()
}

// otherZonesReporting reports whether any host of another zone has reported of late.
func (s *Steerer) otherZonesReporting() bool {
	for _, p := range s.peers.recent {
		if p.zone != s.config.AvailabilityZone && p.reportedRecently(s.now) {
			return true
		}
	}
	return false
}
