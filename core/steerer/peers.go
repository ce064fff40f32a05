package steerer

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"cranberryspan.dev/core/sequencer"
	"cranberryspan.dev/core/timekeeper"
	"github.com/cespare/xxhash/v2"
)

const (
	// reportInterval is the interval between two rounds of reports, and between two reports
	// to a host of the same zone in a small fleet.
	reportInterval = 250 * time.Millisecond
	// crossZoneReportInterval is the interval between two reports to a host of another zone
	// in a small fleet; cross-zone traffic costs money. It stays below readRankDelay: a host
	// that waits for another's read must learn of it in time.
	crossZoneReportInterval = 300 * time.Millisecond
	// maxRoundAdvance is how far rounds of reports may run ahead of one per reportInterval
	// while there are pending changes. A single change is reported at once, and a steady
	// stream of changes does not raise the rate of reports.
	maxRoundAdvance = 2 * reportInterval
	// smallFleetSize is the number of other hosts up to which a host reports to each of them.
	// In a larger fleet it reports to reportFanout of them per round, sameZoneFanout of these
	// in its own zone, so that its control traffic does not grow with the fleet: 16 reports a
	// second of about 400 bytes. An update then takes about as many rounds as the logarithm
	// of the fleet size to the base reportFanout + 1.
	//
	// One host of any zone per round is enough to carry updates to each zone within a round
	// or two, because all hosts of a zone send them. The other reports go where traffic costs
	// nothing.
	smallFleetSize = 12
	reportFanout   = 4
	sameZoneFanout = 3
	// peerTimeout is after how long without a report a host gets no more sync requests. Two
	// reports in a row may be lost.
	peerTimeout = time.Second
	// peerLoadRetention is how long a host's reported load counts. Requests take about 50 ms,
	// so older figures describe requests that have ended.
	peerLoadRetention = 600 * time.Millisecond
	// peerRetention is after how long a host that no report names is dropped.
	peerRetention = 60 * time.Second
	// peerSweepInterval is the interval between sweeps for hosts to drop.
	peerSweepInterval = time.Second
	// aliveTimeoutSmallFleet is after how long a host that no report names does not count for
	// the rank, in a small fleet. In a larger fleet a report of a host being alive crosses
	// zones with one report per round, which takes up to aliveTimeoutLargeFleet, and each
	// host is named less often: maxGossipedHosts hosts in each of about 16 reports a second.
	aliveTimeoutSmallFleet = time.Second
	aliveTimeoutLargeFleet = 5 * time.Second
	mentionsPerSecond      = 4 * reportFanout * maxGossipedHosts
	// missedMentions is the number of expected mentions that must fail to arrive. One in e^8
	// live hosts is wrongly presumed lost.
	missedMentions = 8
	// seedInterval is the interval between two reports to an address from which nothing is
	// received.
	seedInterval = time.Second
	// startSeedInterval applies instead while this host cannot route yet. Seeds that start at
	// the same time may be up a few tenths of a second later.
	startSeedInterval = 200 * time.Millisecond
	// notifiedReaders is how many hosts, next in rank, are informed of a read of the platform
	// at once: as many as would read before the update reaches all hosts.
	notifiedReaders = 3
	// maxGossipedHosts limits the hosts that a report names.
	maxGossipedHosts = 8
	// gossipAgeUnit is the unit in which reports give the time since a host last reported.
	gossipAgeUnit = 100 * time.Millisecond
)

// peer is a host's record of another host.
type peer struct {
	name    string
	address netip.AddrPort
	zone    string
	// linkBytesPerSecond is the capacity of the host's link; 0 if unknown.
	linkBytesPerSecond int
	incarnation        uint64
	shuttingDown       bool
	// lastReport is when its last report arrived; 0 if only its name is known.
	lastReport timekeeper.Instant
	// lastAlive is when it last reported to this host or, according to a report, to any
	// other.
	lastAlive  timekeeper.Instant
	nextReport timekeeper.Instant
	// flowsCursor is where its next report continues in the list of targets whose flows are
	// reported to it.
	flowsCursor int
	// hash is the hash of the name, which orders hosts whose links are equal.
	hash uint64
	// requestsInFlight counts the host's requests in flight by the target's tag.
	requestsInFlight map[uint32]uint16
	// inRecent and inLoaded are set while the host is in peers.recent and peers.loaded.
	inRecent bool
	inLoaded bool
	// version and position are those of the host's settings and targets at its last report.
	version  uint64
	position sequencer.Position
}

// peers holds the other hosts and the state of the reports to them.
type peers struct {
	byName map[string]*peer
	sorted []*peer
	zones  peerZones
	// alive counts the hosts that are presumed alive.
	alive aliveCounts
	// entriesVisited counts the entries of the lists that were returned or iterated over; see
	// targetTable.entriesVisited.
	entriesVisited uint64
	// recent are the hosts that reported within peerTimeout, ordered by name. In a large
	// fleet these are only a few.
	recent []*peer
	// loaded are the hosts whose requests in flight count in the load of targets.
	loaded []*peer
	// sweepDeadline is when to look next for hosts that have timed out.
	sweepDeadline timekeeper.Instant
	// warmerGeneration is the generation of zones when the warmer was last given the hosts.
	warmerGeneration uint64
	// reportNow requests a report at once.
	reportNow bool
	changes   pendingChanges
	seeds     map[netip.AddrPort]timekeeper.Instant
	// expectedInZone is the number of hosts of the local zone, including this one, that hosts
	// of other zones report; 0 before any report.
	expectedInZone int
	// zoneEstablished is set once a host of the local zone has reported a long uptime.
	zoneEstablished bool
	// roundDeadline is when the next round of reports of a larger fleet is due. sameZoneQueue
	// and queue hold the hosts of the local zone, and of all zones, that are still to be
	// reported to in turn.
	roundDeadline timekeeper.Instant
	sameZoneQueue []*peer
	queue         []*peer
}

func newPeers() peers {
	return peers{byName: map[string]*peer{}, zones: newPeerZones(), seeds: map[netip.AddrPort]timekeeper.Instant{}}
}

// ordered lists all other hosts by name, so that equal events give equal effects.
func (p *peers) ordered() []*peer {
	p.entriesVisited += uint64(len(p.sorted))
	return p.sorted
}

// reportedRecently reports whether a host has reported recently and is not shutting down.
func (p *peer) reportedRecently(now timekeeper.Instant) bool {
	return p.lastReport != 0 && !p.shuttingDown && now.Since(p.lastReport) < peerTimeout
}

// hasState reports whether a host had settings and targets at its last report.
func (p *peer) hasState() bool { return p.version != 0 && p.position.Known() }

// rank is this host's position among those presumed alive: hosts with larger links first,
// because a full read occupies them for the shortest time, and hosts with equal or unknown
// links in the order of the hashes of their names.
func (s *Steerer) rank() int { return s.countAlive().readers }

// readsBefore reports whether another host has a lower rank than this one.
func (s *Steerer) readsBefore(p *peer) bool {
	if p.linkBytesPerSecond != 0 && p.linkBytesPerSecond != s.config.LinkBytesPerSecond {
		return p.linkBytesPerSecond > s.config.LinkBytesPerSecond
	}
	return p.hash < s.selfHash
}

// reportToNextReaders reports a read of the platform to the hosts that would read next.
//
// If they learned of it together with all others, which takes a few rounds of reports in a
// large fleet, the second, third and fourth in rank would already have read by then.
func (s *Steerer) reportToNextReaders() {
	if len(s.peers.byName) <= smallFleetSize {
		return // The regular reports reach all hosts in time.
	}
	var next []*peer
	timeout := s.aliveTimeout()
	for _, p := range s.peers.ordered() {
		if p.presumedAlive(s.now, timeout) && !s.readsBefore(p) {
			next = append(next, p)
		}
	}
	slices.SortStableFunc(next, func(x, y *peer) int {
		if c := cmp.Compare(y.linkBytesPerSecond, x.linkBytesPerSecond); c != 0 {
			return c
		}
		return cmp.Compare(x.hash, y.hash)
	})
	for _, p := range next[:min(len(next), notifiedReaders)] {
		s.sendReport(p)
	}
}

// aliveTimeout is after how long a host that no report names does not count as alive.
func (s *Steerer) aliveTimeout() time.Duration {
	all := len(s.peers.byName)
	if all <= smallFleetSize {
		return aliveTimeoutSmallFleet
	}
	return aliveTimeoutLargeFleet + time.Second*missedMentions*time.Duration(all)/mentionsPerSecond
}

// presumedAlive reports whether a host has reported recently to this host or, according to
// reports, to any other.
func (p *peer) presumedAlive(now timekeeper.Instant, timeout time.Duration) bool {
	return p.lastAlive != 0 && !p.shuttingDown && now.Since(p.lastAlive) < timeout
}

// aliveCounts holds the numbers of hosts presumed alive. They are valid until deadline.
type aliveCounts struct {
	deadline timekeeper.Instant
	// all is the number of other hosts in all zones, sameZone of those in the local zone, and
	// readers of those that read the platform before this one.
	all      int
	sameZone int
	readers  int
}

// countAlive counts the other hosts that are presumed alive. In a larger fleet the counts may
// be up to reportInterval old.
func (s *Steerer) countAlive() *aliveCounts {
	counts := &s.peers.alive
	if !counts.deadline.Passed(s.now) {
		return counts
	}
	*counts = aliveCounts{}
	if len(s.peers.byName) > smallFleetSize {
		counts.deadline = s.now.Add(reportInterval)
	}
	timeout, lost := s.aliveTimeout(), s.lostZones()
	for _, p := range s.peers.ordered() {
		if !p.presumedAlive(s.now, timeout) || lost[p.zone] {
			continue
		}
		counts.all++
		if p.zone == s.config.AvailabilityZone {
			counts.sameZone++
		}
		if s.readsBefore(p) {
			counts.readers++
		}
	}
	return counts
}

// lostZones returns the other zones of a larger fleet of which no host has been reported
// alive for zoneReportTTL.
//
// Without this, each host of a lost zone would count until its own timeout, which grows with
// the fleet. Hosts of other zones would wait for the lost hosts that rank before them to read
// the platform, which shows as changes that arrive late in the first minute after the loss of
// a zone.
func (s *Steerer) lostZones() map[string]bool {
	lost := map[string]bool{}
	if len(s.peers.byName) <= smallFleetSize {
		return lost
	}
	latest := map[string]timekeeper.Instant{}
	for _, p := range s.peers.ordered() {
		latest[p.zone] = max(latest[p.zone], p.lastAlive)
	}
	for zone, lastAlive := range latest {
		lost[zone] = zone != "" && zone != s.config.AvailabilityZone && s.now.Since(lastAlive) >= zoneReportTTL
	}
	return lost
}

// alivePeers returns the number of other hosts that are presumed alive.
func (s *Steerer) alivePeers() int { return s.countAlive().all }

// aliveInZone returns the number of hosts of the local zone that are presumed alive,
// including this one.
func (s *Steerer) aliveInZone() int { return 1 + s.countAlive().sameZone }

// upsertPeer returns the record of a host and creates it if there is none. age is the time
// since the host was last known to be alive.
func (s *Steerer) upsertPeer(name string, address netip.AddrPort, age time.Duration) *peer {
	p, ok := s.peers.byName[name]
	if !ok {
		p = &peer{name: name, address: address, hash: xxhash.Sum64String(name)}
		s.peers.byName[name] = p
		s.peers.sorted = insertByName(s.peers.sorted, p)
	}
	p.lastAlive = max(p.lastAlive, s.now.Add(-age))
	return p
}

// peersTick sends the reports that are due.
func (s *Steerer) peersTick() {
	p := &s.peers
	p.changes.expire(s.now)
	s.expirePeers()
	all := p.sorted
	switch {
	case len(all) <= smallFleetSize:
		for _, other := range all {
			s.reportIfDue(other)
		}
		p.reportNow = false
	case p.roundDue(s.now):
		p.roundDeadline = max(p.roundDeadline, s.now).Add(reportInterval)
		s.sendReportRound()
		p.reportNow = false
	}
	s.reportToSeeds()
}

// roundDue reports whether the next round of reports of a larger fleet is due. Pending
// changes start a round early, as long as the rounds are not ahead of schedule by more than
// maxRoundAdvance.
//
// Without that limit, while targets are replaced, every tick would bring changes at each
// host, and a host would send and process five times as many reports as normally, which shows
// as small hosts that run out of processor time during a release.
func (p *peers) roundDue(now timekeeper.Instant) bool {
	if p.reportNow {
		now = now.Add(maxRoundAdvance)
	}
	return p.roundDeadline.Passed(now)
}

// recordReport records that a report of a host has just arrived.
func (p *peers) recordReport(from *peer, now timekeeper.Instant) {
	from.lastReport = now
	p.zones.lastReport[from.zone] = now
	if !from.inRecent {
		from.inRecent = true
		p.recent = insertByName(p.recent, from)
	}
}

// expirePeers drops hosts that have timed out.
func (s *Steerer) expirePeers() {
	s.peers.recent = slices.DeleteFunc(s.peers.recent, func(p *peer) bool {
		p.inRecent = s.now.Since(p.lastReport) < peerTimeout
		return !p.inRecent
	})
	s.peers.loaded = slices.DeleteFunc(s.peers.loaded, func(p *peer) bool {
		if len(p.requestsInFlight) > 0 && s.now.Since(p.lastReport) <= peerLoadRetention {
			return false
		}
		s.applyPeerLoad(p, nil)
		p.inLoaded = false
		return true
	})
	if !s.peers.sweepDeadline.Passed(s.now) {
		return
	}
	s.peers.sweepDeadline = s.now.Add(peerSweepInterval)
	s.peers.sorted = slices.DeleteFunc(s.peers.ordered(), func(p *peer) bool {
		expired := s.now.Since(p.lastAlive) > peerRetention
		if expired {
			s.peers.zones.setZone(p, "")
			delete(s.peers.byName, p.name)
		}
		return expired
	})
}
