package steerer

import (
	"cmp"
	"maps"
	"slices"

	"cranberryspan.dev/core/diagnoser"
	"cranberryspan.dev/core/timekeeper"
)

// Before a host takes its zone for isolated, and overrides an evacuation order, it asks some hosts
// and a target of each other zone, and then the platform. Whatever responds to it from outside the
// zone shows that the zone is not isolated: a report, a read of the platform, a flow that opens, or
// any response to a probe, even a refusal. Progress of an open flow shows nothing, because its
// caller may have sent its data through a host of another zone.
//
// Silence alone is weak evidence in a large fleet. A host receives reports from a few others at a
// time, so a second without one from another zone is common, and a tenth of a second may pass
// between two responses of a zone's targets to one host. Without the check, a few targets that
// crash make hosts of an evacuated zone place flows there, which shows as "orderOverridden".

const (
	// hostsAsked is the number of hosts that are asked. Some of them may have crashed since they
	// were last known to be alive.
	hostsAsked = 6
	// isolationTicks is the number of ticks without a response after which the zone counts as
	// isolated. A stall of this host spans one tick, however long it is, so responses that
	// arrived meanwhile are still processed in time.
	isolationTicks = 3
	// isolationCheckInterval is the minimum interval between the starts of two checks.
	isolationCheckInterval = peerTimeout
)

// isolation is what a host knows of whether its zone is cut off from everything outside it.
type isolation struct {
	// lastContact is when anything outside the zone last responded to this host; 0 if never.
	lastContact timekeeper.Instant
	// checkStarted is when the last check began; 0 before any. silentTicks counts the ticks
	// since then.
	checkStarted timekeeper.Instant
	silentTicks  int
	// nextCheck is when the next check may begin.
	nextCheck timekeeper.Instant
	// targetsSilent is set once the targets of all other zones have seemed to have failed while
	// nothing responded to the check. It stays set until something responds.
	targetsSilent bool
}

// silent reports whether the last check has ended without any response.
func (i *isolation) silent() bool {
	return i.silentTicks >= isolationTicks && i.lastContact < i.checkStarted
}

// recordContact records that something outside the local zone has responded to this host.
func (s *Steerer) recordContact(from string) {
	i := &s.isolation
	if i.silent() {
		s.log("isolationEnded", field("by", from), field("lastedMillis", formatMillis(s.now.Since(i.checkStarted))))
	}
	i.lastContact = s.now
	i.targetsSilent = false
}

// recordZoneContact records a contact with something in a zone, unless this is the local zone.
func (s *Steerer) recordZoneContact(zone, from string) {
	if zone != s.config.AvailabilityZone && zone != "" {
		s.recordContact(from)
	}
}

// isolationTick continues the check in progress, and starts one if there is reason for it.
func (s *Steerer) isolationTick() {
	i := &s.isolation
	if i.checkStarted != 0 && i.lastContact < i.checkStarted && !i.silent() && s.missingResponsesAreEvidence() {
		s.continueIsolationCheck()
	}
	s.checkIsolation()
	i.targetsSilent = i.targetsSilent || i.silent() && s.otherZonesSuspect()
}

// continueIsolationCheck counts a tick without response. At the first one it reads the platform.
func (s *Steerer) continueIsolationCheck() {
	i := &s.isolation
	i.silentTicks++
	switch {
	case i.silentTicks == 1 && s.platformReads.failedSince == 0:
		s.platformReads.targets.urgent = true
	case i.silent():
		s.log("zoneIsolated", append([]Field{field("zone", s.config.AvailabilityZone)}, s.contactFields()...)...)
	}
}

// checkIsolation starts a check if an order is in force and would be overridden if the zone were
// isolated, and nothing outside the zone has responded for a while. While the zone counts as
// isolated, it asks again at intervals, to notice the end.
func (s *Steerer) checkIsolation() {
	i := &s.isolation
	recentContact := i.lastContact != 0 && !i.lastContact.Add(diagnoser.MaxResponseTimeout).Passed(s.now)
	if recentContact || !i.nextCheck.Passed(s.now) || len(s.evacuator.Zones()) == 0 || !s.missingResponsesAreEvidence() {
		return
	}
	suspect := s.anyOtherZoneSuspect()
	if !suspect && !i.silent() && !s.ordersStaleWithin(isolationTicks*TickInterval) {
		return
	}
	i.nextCheck = s.now.Add(isolationCheckInterval)
	if !i.silent() {
		i.checkStarted, i.silentTicks = s.now, 0
	}
	asked := s.hostsToAsk()
	for _, p := range asked {
		s.askHost(p)
	}
	s.log("isolationCheck", append([]Field{field("hosts", formatInt(len(asked)))}, s.contactFields()...)...)
	if suspect || i.silent() {
		s.probeOtherZones()
	}
}

// hostsToAsk returns hosts of the other zones, equally many of each as far as there are enough:
// those that were most recently known to be alive.
func (s *Steerer) hostsToAsk() []*peer {
	var zones [][]*peer
	for _, zone := range slices.Sorted(maps.Keys(s.peers.zones.byZone)) {
		if zone == s.config.AvailabilityZone {
			continue
		}
		all := slices.DeleteFunc(slices.Clone(s.peers.zones.hosts(zone)), func(p *peer) bool { return p.shuttingDown })
		slices.SortStableFunc(all, func(x, y *peer) int { return cmp.Compare(y.lastAlive, x.lastAlive) })
		zones = append(zones, all)
	}
	var hosts []*peer
	for n := range hostsAsked {
		for _, all := range zones {
			if n < len(all) && len(hosts) < hostsAsked {
				hosts = append(hosts, all[n])
			}
		}
	}
	return hosts
}

// askHost sends a host a report that it answers at once with one of its own.
func (s *Steerer) askHost(p *peer) {
	report := s.buildReport(p)
	report.ReplyRequested = true
	s.emitReport(p, report)
}

// probeOtherZones probes a target of each other zone, so that a zone to which this host sends
// little counts as well.
func (s *Steerer) probeOtherZones() {
	latest := s.latestTargets()
	for _, zone := range s.targets.zones {
		if t := latest[zone]; t != nil && zone != s.config.AvailabilityZone {
			s.suspect(t, "isolationCheck", s.diagnoser.LastActivity(zone))
		}
	}
}

// latestTargets returns the target of each zone that was the last to make progress, of those in
// use.
func (s *Steerer) latestTargets() map[string]*target {
	latest := map[string]*target{}
	for _, t := range s.targetsInUse() {
		other := latest[t.AvailabilityZone]
		if !t.missing && (other == nil || t.health.lastProgress > other.health.lastProgress) {
			latest[t.AvailabilityZone] = t
		}
	}
	return latest
}

// anyOtherZoneSuspect reports whether another zone is suspect.
func (s *Steerer) anyOtherZoneSuspect() bool {
	return slices.ContainsFunc(s.targets.zones, func(zone string) bool {
		return zone != s.config.AvailabilityZone && s.diagnoser.ZoneSuspect(zone, s.now)
	})
}

// otherZonesKnown reports whether a host of another zone has ever reported.
func (s *Steerer) otherZonesKnown() bool {
	for zone := range s.peers.zones.lastReport {
		if zone != s.config.AvailabilityZone {
			return true
		}
	}
	return false
}

// contactFields returns the log fields of when this host last received anything from outside its
// zone.
func (s *Steerer) contactFields() []Field {
	return append([]Field{field("contactAgeMillis", formatAge(s.now, s.isolation.lastContact))}, s.otherZoneFields()...)
}
