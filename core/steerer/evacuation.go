package steerer

import (
	"cmp"
	"time"

	"cranberryspan.dev/core/evacuator"
	"cranberryspan.dev/core/sequencer"
	"cranberryspan.dev/core/timekeeper"
)

// Operators may order the evacuation of an availability zone: its targets get no new flows
// until the order is withdrawn. Retransmitted opening packets follow orders like first ones.
// Open flows stay until they end by themselves, because a reset would break what still works.
//
// Health checks continue only for open flows that get no response, or that send data to a target
// whose last probe failed some time ago. Without them, if a zone is evacuated because it is about
// to fail and then fails, each caller with an open flow there would wait until its deadline. In a
// zone that crashes without an order, callers are reset and reconnect at once.
//
// Orders arrive with the settings, in one read of the platform, and in each report of another
// host, because they are small. They therefore reach every host that receives any report.

// applyOrders puts evacuation orders in force unless newer ones are.
func (s *Steerer) applyOrders(orders evacuator.Orders, from string) {
	s.recordOrderChanges(s.evacuator.Apply(orders, s.now), orders.Position, from)
}

// expireOrders ends the orders that were not reissued after a restore.
func (s *Steerer) expireOrders() {
	s.recordOrderChanges(s.evacuator.Expire(s.now), s.evacuator.Orders().Position, "notGivenAgain")
}

// recordOrderChanges logs orders that came into force or ended, and triggers reports to other
// hosts.
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

// settingsPropagationLimit is the time limit within which this host has to learn what
// operators publish. The tighter limit applies to both, because orders arrive with the
// settings.
func (s *Steerer) settingsPropagationLimit() time.Duration {
	if s.config.EvacuationPropagationLimit > 0 {
		return min(s.config.SettingsPropagationLimit, s.config.EvacuationPropagationLimit)
	}
	return s.config.SettingsPropagationLimit
}

// evacuatedZonePenalty ranks a target of an evacuated zone after all others that may respond,
// and before unreachable ones. It applies only to zones of last resort: while this host's
// orders are stale, or if all zones are evacuated and the zone's order may be outdated.
const evacuatedZonePenalty = 5 * suspectPenalty

// staleInIsolation reports whether this host's zone is isolated and its orders may be outdated. An
// order still holds then, but not for a flow that no other target could serve. While hosts of
// other zones respond, it is the platform that is down, and operators can't have withdrawn the
// order.
func (s *Steerer) staleInIsolation() bool { return s.isolation.silent() && s.ordersStaleWithin(0) }

// ordersStaleWithin reports whether, after the given time without another confirmation, orders have
// been unconfirmed for longer than orders may take to propagate. A host without any confirmation
// has received its orders since its start.
func (s *Steerer) ordersStaleWithin(remaining time.Duration) bool {
	confirmed := cmp.Or(s.platformReads.settings.confirmed, s.config.Start)
	return s.now.Since(confirmed)+remaining > s.settingsPropagationLimit()
}

// allZonesEvacuated reports whether the orders leave no zone that has targets. In that case
// orders that came back with a restore of the platform, next to one that the restore has
// undone, no longer exclude their zones: the targets there are a last resort; see
// evacuator.PossiblyStale.
//
// Without this, if operators move an order from one zone to another and the platform is
// restored from a backup from before that, one zone is evacuated by the backup's order and
// the other by the undone order, until the time in which the latter may be reissued is over.
// Every caller is refused, which shows as refused flows with the reason "zoneEvacuated".
func (s *Steerer) allZonesEvacuated() bool {
	for _, zone := range s.targets.zones {
		if !s.evacuator.Evacuates(zone) {
			return false
		}
	}
	return true
}

// partitioned reports whether this host's zone seems to be partitioned from all others. The
// host then uses every target that it can reach, even in an evacuated zone.
//
// Without this, all flows are lost while an evacuated zone is partitioned: its callers still
// reach its hosts, and these reach only the zone's own targets, which work. It shows as
// opening packets that are retransmitted to all targets of the other zones.
//
// Zones are assumed to fail one at a time. If all of two or more other zones become
// unresponsive at once, hosts and targets alike, this zone is the one that is partitioned.
// With one other zone the two cases cannot be distinguished, and the order holds. It also holds
// at a host that has never received a report from another zone, and so knows no host to ask.
func (s *Steerer) partitioned() bool {
	return s.isolation.targetsSilent && s.otherZonesKnown()
}

// otherZonesSuspect reports whether there are two or more other zones with targets, and all of
// them are suspect.
func (s *Steerer) otherZonesSuspect() bool {
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
	return otherZones >= 2
}

// recordOverriddenOrder counts and logs that an opening packet goes to a target of an evacuated
// zone.
func (s *Steerer) recordOverriddenOrder(to *target) {
	if !s.evacuator.Evacuates(to.AvailabilityZone) {
		return
	}
	s.counters.add(OrderOverridden)
	reason := "allZonesEvacuated"
	switch {
	case s.partitioned():
		reason = "partitioned"
	case s.staleInIsolation():
		reason = "ordersStale"
	}
	s.log("orderOverridden", append([]Field{
		field("zone", to.AvailabilityZone), field("target", to.ID), field("reason", reason),
		field("ordersAgeMillis", formatAge(s.now, s.platformReads.settings.confirmed)),
	}, s.otherZoneFields()...)...)
}

// otherZoneFields returns the log fields of how long ago a target of another zone last showed
// activity, and how long ago a host of another zone last reported.
func (s *Steerer) otherZoneFields() []Field {
	var activity, report timekeeper.Instant
	for _, zone := range s.targets.zones {
		if zone != s.config.AvailabilityZone {
			activity = max(activity, s.diagnoser.LastActivity(zone))
		}
	}
	for zone, at := range s.peers.zones.lastReport {
		if zone != s.config.AvailabilityZone {
			report = max(report, at)
		}
	}
	return []Field{field("activityAgeMillis", formatAge(s.now, activity)), field("reportAgeMillis", formatAge(s.now, report))}
}
