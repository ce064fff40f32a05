package steerer

import (
	"time"

	"cranberryspan.dev/core/messenger"
)

// zoneStartGrace is how long after its start a host waits for the others of its zone: hosts
// that come back together do so within some hundred milliseconds of each other, and need
// some more to hear of each other.
const zoneStartGrace = 1500 * time.Millisecond

// establishedUptime tells hosts that were there before a zone came back from those that came
// back with it.
const establishedUptime = 2 * zoneStartGrace

// waitsForZone reports whether this host had better not take packets yet, since most hosts of
// its zone are still missing while other zones carry its callers.
//
// What goes wrong otherwise: a whole zone comes back. Other zones have carried its callers
// meanwhile. As soon as its first host is ready the fabric spreads its packets over all
// hosts of the zone, started or not, since fewer than half being ready looks like a fault
// of the checks. One notices by requests that fail for as long as the last host takes to
// start. After a loss of all zones nobody else carries them, and nobody waits.
func (s *Steerer) waitsForZone() bool {
	if s.peers.expectedInZone == 0 || s.peers.zoneEstablished || s.config.Start.Add(zoneStartGrace).Passed(s.now) {
		return false
	}
	living := 1 + s.peers.zones.countAlive(s.config.AvailabilityZone, s.now, aliveTimeoutSmallFleet)
	return 2*living < s.peers.expectedInZone
}

// recordZoneHosts takes in from a host that has run for a while that this zone runs, or how
// many of its hosts the other has heard of.
func (s *Steerer) recordZoneHosts(r *messenger.Report) {
	switch {
	case r.Uptime < establishedUptime:
	case r.AvailabilityZone == s.config.AvailabilityZone:
		s.peers.zoneEstablished = true
	default:
		s.peers.expectedInZone = max(s.peers.expectedInZone, r.ReceiverZoneHosts)
	}
}
