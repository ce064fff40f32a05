package steerer

import (
	"time"

	"cranberryspan.dev/core/messenger"
)

// zoneStartGrace limits how long after its start a host waits for the others of its zone.
// Hosts that start together do so within a few hundred milliseconds, and take a little longer
// to receive each other's reports.
const zoneStartGrace = 1500 * time.Millisecond

// establishedUptime distinguishes hosts that were running before a zone came back from those
// that came back with it.
const establishedUptime = 2 * zoneStartGrace

// waitsForZone reports whether this host should not accept packets yet, because most hosts of
// its zone have not started yet while other zones serve its callers.
//
// Without this, when the first host of a zone that comes back becomes ready, the fabric
// spreads the zone's packets over all of its hosts, started or not: if fewer than half of a
// zone's hosts are ready, the fabric assumes that its readiness checks are at fault. This
// shows as requests that fail until the last host has started. After a loss of all zones no
// other zone serves the callers, and no host waits.
func (s *Steerer) waitsForZone() bool {
	if s.peers.expectedInZone == 0 || s.peers.zoneEstablished || s.config.Start.Add(zoneStartGrace).Passed(s.now) {
		return false
	}
	alive := 1 + s.peers.zones.countAlive(s.config.AvailabilityZone, s.now, aliveTimeoutSmallFleet)
	return 2*alive < s.peers.expectedInZone
}

// recordZoneHosts records from a host with a long uptime that this zone is running, or how
// many hosts of this zone the other host knows.
func (s *Steerer) recordZoneHosts(r *messenger.Report) {
	switch {
	case r.Uptime < establishedUptime:
	case r.AvailabilityZone == s.config.AvailabilityZone:
		s.peers.zoneEstablished = true
	default:
		s.peers.expectedInZone = max(s.peers.expectedInZone, r.ReceiverZoneHosts)
	}
}
