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
	// reportInterval is the time between two rounds of reports, and between two
	// reports to a host of the own zone in a small fleet.
	reportInterval = 250 * time.Millisecond
	// crossZoneReportInterval is the time between two reports to a host of another zone in
	// a small fleet; traffic between zones is priced. It stays below readRankDelay:
	// a host that waits for another's read must hear of it in time.
	crossZoneReportInterval = 300 * time.Millisecond
	// maxRoundAdvance is how far rounds of reports may run ahead of one each reportInterval while there
	// is news: a piece of it goes out at once, a stream of it as often as anything else.
	maxRoundAdvance = 2 * reportInterval
	// smallFleetSize is how many other hosts a host tells one by one. In a larger fleet
	// it tells reportFanout of them a round, sameZoneFanout of them in its own zone, so that
	// its control traffic does not grow with the fleet: 16 reports a second of
	// some 400 bytes. News then takes about as many rounds as the fleet has digits
	// to the base of reportFanout + 1.
	//
	// One host of any zone a round is enough to take news to each zone within a round or
	// two, since all hosts of a zone tell it; the others are where traffic has no price.
	smallFleetSize = 12
	reportFanout   = 4
	sameZoneFanout = 3
	// peerTimeout is after how long a silent host is not asked any more. Two
	// reports in a row may be lost.
	peerTimeout = time.Second
	// peerLoadRetention is how long a host's load counts. Requests take some 50 ms, so
	// older figures tell of others.
	peerLoadRetention = 600 * time.Millisecond
	// peerRetention is after how long a host that nobody mentions is forgotten.
	peerRetention = 60 * time.Second
	// peerSweepInterval is how often hosts to forget are looked for.
	peerSweepInterval = time.Second
	// aliveTimeoutSmallFleet is after how long a host that nobody mentions does not count
	// for rank, in a small fleet. In a larger one word of a host goes from zone to zone by
	// one report of a round, which takes up to aliveTimeoutLargeFleet, and each host is
	// mentioned more rarely, by maxGossipedHosts in each of some 16 reports a second.
	aliveTimeoutSmallFleet = time.Second
	aliveTimeoutLargeFleet = 5 * time.Second
	mentionsPerSecond      = 4 * reportFanout * maxGossipedHosts
	// missedMentions is how many mentions must fail to come: one in e^8 hosts that
	// live is missed.
	missedMentions = 8
	// seedInterval is the time between two reports to an address from which nothing
	// is heard.
	seedInterval = time.Second
	// startSeedInterval is the same while this host does not know where packets go. Seeds
	// that start at the same time may be up some tenths of a second later.
	startSeedInterval = 200 * time.Millisecond
	// notifiedReaders is how many hosts, next in rank, hear of a read of the platform at once:
	// as many as would read within the time that the news takes to all.
	notifiedReaders = 3
	// maxGossipedHosts bounds the hosts that a report names.
	maxGossipedHosts = 8
	// gossipAgeUnit is the unit in which reports say how long ago a host was heard.
	gossipAgeUnit = 100 * time.Millisecond
)

// peer is what a host knows of another.
type peer struct {
	name    string
	address netip.AddrPort
	zone    string
	// linkBytesPerSecond is what the host's link carries, in bytes a second; 0 if unknown.
	linkBytesPerSecond int
	incarnation        uint64
	shuttingDown       bool
	// lastReport is when its last report came; 0 if it is known by name only.
	lastReport timekeeper.Instant
	// lastAlive is when it last reported, or a host mentioned that it had.
	lastAlive  timekeeper.Instant
	nextReport timekeeper.Instant
	// flowsCursor is where its next report begins among the targets of whose flows it is told.
	flowsCursor int
	// hash, of the name, orders hosts whose links are equal.
	hash uint64
	// busy counts the host's requests under way, by the target's tag.
	busy map[uint32]uint16
	// inRecent and loaded say that the host is in peers.recent and peers.loaded.
	inRecent bool
	inLoaded bool
	// version and position are what the host had in force at its last report.
	version  uint64
	position sequencer.Position
}

// peers is the list of other hosts, with what is to be told them.
type peers struct {
	byName map[string]*peer
	sorted []*peer
	zones  peerZones
	// alive is how many hosts live as far as anybody says.
	alive aliveCounts
	// visits counts the entries of the lists handed out; see table.visits.
	visits uint64
	// recent are the hosts that reported within peerTimeout, a few of a large fleet, in the
	// order of their names.
	recent []*peer
	// loaded are the hosts whose requests under way count in the load of targets.
	loaded []*peer
	// sweepDeadline is when hosts that fell silent are next looked for.
	sweepDeadline timekeeper.Instant
	// zoneEpoch is zones.epoch as of when the warmer was last told of hosts.
	zoneEpoch uint64
	// reportNow asks for a report at once.
	reportNow bool
	changes   pendingChanges
	seeds     map[netip.AddrPort]timekeeper.Instant
	// expectedInZone is how many hosts of the own zone, this one among them, hosts of other
	// zones have heard of; 0 before they say so.
	expectedInZone int
	// zoneEstablished says that some host of the own zone has run for a while.
	zoneEstablished bool
	// roundDeadline is when the next round of a larger fleet begins. sameZoneQueue and order
	// are the hosts of the own zone, and all, that have not had their turn yet.
	roundDeadline timekeeper.Instant
	sameZoneQueue []*peer
	queue         []*peer
}

func newPeers() peers {
	return peers{byName: map[string]*peer{}, zones: newPeerZones(), seeds: map[netip.AddrPort]timekeeper.Instant{}}
}

// ordered lists all other hosts by name, so that equal events give equal effects.
func (p *peers) ordered() []*peer {
	p.visits += uint64(len(p.sorted))
	return p.sorted
}

// reportedRecently reports whether a host can be counted on at present.
func (p *peer) reportedRecently(now timekeeper.Instant) bool {
	return p.lastReport != 0 && !p.shuttingDown && now.Since(p.lastReport) < peerTimeout
}

// hasState reports whether a host had settings and targets at its last report.
func (p *peer) hasState() bool { return p.version != 0 && p.position.Known() }

// rank is the place of this host among those that live as far as it knows: those with
// the larger links first, which a read of everything holds up for the shortest time,
// and hosts with equal or unknown ones by their names.
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
// What goes wrong if they learn of it with all others: in a large fleet the news takes
// some rounds of reports, and the second, third and fourth in rank have read by then.
func (s *Steerer) reportToNextReaders() {
	if len(s.peers.byName) <= smallFleetSize {
		return // Everybody is told in time.
	}
	var next []*peer
	silence := s.aliveTimeout()
	for _, p := range s.peers.ordered() {
		if p.presumedAlive(s.now, silence) && !s.readsBefore(p) {
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

// aliveTimeout is after how long a host that nobody mentions does not count.
func (s *Steerer) aliveTimeout() time.Duration {
	all := len(s.peers.byName)
	if all <= smallFleetSize {
		return aliveTimeoutSmallFleet
	}
	return aliveTimeoutLargeFleet + time.Second*missedMentions*time.Duration(all)/mentionsPerSecond
}

// presumedAlive reports whether a host lives as far as anybody says.
func (p *peer) presumedAlive(now timekeeper.Instant, silence time.Duration) bool {
	return p.lastAlive != 0 && !p.shuttingDown && now.Since(p.lastAlive) < silence
}

// aliveCounts counts the hosts that live as far as anybody says, as of some moment before
// deadline.
type aliveCounts struct {
	deadline timekeeper.Instant
	// all are the other hosts of all zones, near those of the own zone, and readers those that
	// read the platform before this one.
	all      int
	sameZone int
	readers  int
}

// countAlive returns how many other hosts live. In a larger fleet the count may be as old
// as the time between two rounds of reports, which is when it changes.
func (s *Steerer) countAlive() *aliveCounts {
	l := &s.peers.alive
	if !l.deadline.Passed(s.now) {
		return l
	}
	*l = aliveCounts{}
	if len(s.peers.byName) > smallFleetSize {
		l.deadline = s.now.Add(reportInterval)
	}
	silence, lost := s.aliveTimeout(), s.lostZones()
	for _, p := range s.peers.ordered() {
		if !p.presumedAlive(s.now, silence) || lost[p.zone] {
			continue
		}
		l.all++
		if p.zone == s.config.AvailabilityZone {
			l.sameZone++
		}
		if s.readsBefore(p) {
			l.readers++
		}
	}
	return l
}

// lostZones are the other zones of a larger fleet of whose hosts nobody has heard any for
// zoneReportTTL.
//
// What goes wrong if each of their hosts counts until it has not been mentioned for long
// enough, which takes longer the more hosts there are: a zone is lost, and hosts of other zones
// wait for those of its hosts that would read the platform before them. One notices by changes
// that come late in the first minute after the loss of a zone.
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

// alivePeers counts the other hosts that live as far as this one knows.
func (s *Steerer) alivePeers() int { return s.countAlive().all }

// aliveInZone counts the hosts of the own zone that live as far as anybody says, this one
// among them.
func (s *Steerer) aliveInZone() int { return 1 + s.countAlive().sameZone }

// upsertPeer returns the record of a host, which it makes if there is none. The host
// reported to somebody so long ago.
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

// roundDue reports whether a larger fleet's next round of reports begins. News begins one
// early, as long as the rounds are not maxRoundAdvance before their time.
//
// What goes wrong without that bound: targets are replaced, each tick of each host brings
// news, and a host sends and takes in five times as many reports as on a quiet day. One
// notices by small hosts that have no processor time left during a release.
func (p *peers) roundDue(now timekeeper.Instant) bool {
	if p.reportNow {
		now = now.Add(maxRoundAdvance)
	}
	return p.roundDeadline.Passed(now)
}

// recordReport takes in that a host has just reported.
func (p *peers) recordReport(from *peer, now timekeeper.Instant) {
	from.lastReport = now
	p.zones.lastReport[from.zone] = now
	if !from.inRecent {
		from.inRecent = true
		p.recent = insertByName(p.recent, from)
	}
}

// expirePeers drops what is known of hosts that fell silent.
func (s *Steerer) expirePeers() {
	s.peers.recent = slices.DeleteFunc(s.peers.recent, func(p *peer) bool {
		p.inRecent = s.now.Since(p.lastReport) < peerTimeout
		return !p.inRecent
	})
	s.peers.loaded = slices.DeleteFunc(s.peers.loaded, func(p *peer) bool {
		if len(p.busy) > 0 && s.now.Since(p.lastReport) <= peerLoadRetention {
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
