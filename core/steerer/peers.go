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
	// reportEvery is the time between two rounds of reports, and between two
	// reports to a host of the own zone in a small fleet.
	reportEvery = 250 * time.Millisecond
	// farReportEvery is the time between two reports to a host of another zone in
	// a small fleet; traffic between zones is priced. It stays below readRankStep:
	// a host that waits for another's read must hear of it in time.
	farReportEvery = 300 * time.Millisecond
	// newsAhead is how far rounds of reports may run ahead of one each reportEvery while there
	// is news: a piece of it goes out at once, a stream of it as often as anything else.
	newsAhead = 2 * reportEvery
	// smallFleet is how many other hosts a host tells one by one. In a larger fleet
	// it tells reportFanout of them a round, nearFanout of them in its own zone, so that
	// its control traffic does not grow with the fleet: 16 reports a second of
	// some 400 bytes. News then takes about as many rounds as the fleet has digits
	// to the base of reportFanout + 1.
	//
	// One host of any zone a round is enough to take news to each zone within a round or
	// two, since all hosts of a zone tell it; the others are where traffic has no price.
	smallFleet   = 12
	reportFanout = 4
	nearFanout   = 3
	// peerSilence is after how long a silent host is not asked any more. Two
	// reports in a row may be lost.
	peerSilence = time.Second
	// busyMemory is how long a host's load counts. Requests take some 50 ms, so
	// older figures tell of others.
	busyMemory = 600 * time.Millisecond
	// peerMemory is after how long a host that nobody mentions is forgotten.
	peerMemory = 60 * time.Second
	// peerSweepEvery is how often hosts to forget are looked for.
	peerSweepEvery = time.Second
	// shortMentionSilence is after how long a host that nobody mentions does not count
	// for rank, in a small fleet. In a larger one word of a host goes from zone to zone by
	// one report of a round, which takes up to longMentionSilence, and each host is
	// mentioned more rarely, by maxHints in each of some 16 reports a second.
	shortMentionSilence = time.Second
	longMentionSilence  = 5 * time.Second
	mentionsASecond     = 4 * reportFanout * maxHints
	// mentionsMissed is how many mentions must fail to come: one in e^8 hosts that
	// live is missed.
	mentionsMissed = 8
	// seedEvery is the time between two reports to an address from which nothing
	// is heard.
	seedEvery = time.Second
	// startSeedEvery is the same while this host does not know where packets go. Seeds
	// that start at the same time may be up some tenths of a second later.
	startSeedEvery = 200 * time.Millisecond
	// nextReaders is how many hosts, next in rank, hear of a read of the platform at once:
	// as many as would read within the time that the news takes to all.
	nextReaders = 3
	// maxHints bounds the hosts that a report names.
	maxHints = 8
	// hintAgeUnit is the unit in which reports say how long ago a host was heard.
	hintAgeUnit = 100 * time.Millisecond
)

// peer is what a host knows of another.
type peer struct {
	name    string
	address netip.AddrPort
	zone    string
	// link is what the host's link carries, in bytes a second; 0 if unknown.
	link        int
	incarnation uint64
	leaving     bool
	// heard is when its last report came; 0 if it is known by name only.
	heard timekeeper.Instant
	// lives is when it last reported, or a host mentioned that it had.
	lives        timekeeper.Instant
	nextDeadline timekeeper.Instant
	// flowsTurn is where its next report begins among the targets of whose flows it is told.
	flowsTurn int
	// hash, of the name, orders hosts whose links are equal.
	hash uint64
	// busy counts the host's requests under way, by the target's tag.
	busy map[uint32]uint16
	// recent and loaded say that the host is in peers.recent and peers.loaded.
	recent bool
	loaded bool
	// version and position are what the host had in force at its last report.
	version  uint64
	position sequencer.Position
}

// peers is the list of other hosts, with what is to be told them.
type peers struct {
	byName map[string]*peer
	sorted []*peer
	zones  peerZones
	// living is how many hosts live as far as anybody says.
	living living
	// visits counts the entries of the lists handed out; see table.visits.
	visits uint64
	// recent are the hosts that reported within peerSilence, a few of a large fleet, in the
	// order of their names.
	recent []*peer
	// loaded are the hosts whose requests under way count in the load of targets.
	loaded []*peer
	// sweepDeadline is when hosts that fell silent are next looked for.
	sweepDeadline timekeeper.Instant
	// zoneEpoch is zones.epoch as of when the warmer was last told of hosts.
	zoneEpoch uint64
	// news asks for a report at once.
	news    bool
	changes changes
	seeds   map[netip.AddrPort]timekeeper.Instant
	// expectedInZone is how many hosts of the own zone, this one among them, hosts of other
	// zones have heard of; 0 before they say so.
	expectedInZone int
	// zoneRuns says that some host of the own zone has run for a while.
	zoneRuns bool
	// roundDeadline is when the next round of a larger fleet begins. nearOrder and order
	// are the hosts of the own zone, and all, that have not had their turn yet.
	roundDeadline timekeeper.Instant
	nearOrder     []*peer
	order         []*peer
}

func newPeers() peers {
	return peers{byName: map[string]*peer{}, zones: newPeerZones(), seeds: map[netip.AddrPort]timekeeper.Instant{}}
}

// ordered lists all other hosts by name, so that equal events give equal effects.
func (p *peers) ordered() []*peer {
	p.visits += uint64(len(p.sorted))
	return p.sorted
}

// hears reports whether a host can be counted on at present.
func (p *peer) hears(now timekeeper.Instant) bool {
	return p.heard != 0 && !p.leaving && now.Since(p.heard) < peerSilence
}

// knows reports whether a host had settings and targets at its last report.
func (p *peer) knows() bool { return p.version != 0 && p.position.Known() }

// rank is the place of this host among those that live as far as it knows: those with
// the larger links first, which a read of everything holds up for the shortest time,
// and hosts with equal or unknown ones by their names.
func (s *Steerer) rank() int { return s.countLiving().readers }

// readsBefore reports whether another host has a lower rank than this one.
func (s *Steerer) readsBefore(p *peer) bool {
	if p.link != 0 && p.link != s.config.LinkBytesPerSecond {
		return p.link > s.config.LinkBytesPerSecond
	}
	return p.hash < s.selfHash
}

// tellNextReaders reports a read of the platform to the hosts that would read next.
//
// What goes wrong if they learn of it with all others: in a large fleet the news takes
// some rounds of reports, and the second, third and fourth in rank have read by then.
func (s *Steerer) tellNextReaders() {
	if len(s.peers.byName) <= smallFleet {
		return // Everybody is told in time.
	}
	var next []*peer
	silence := s.mentionSilence()
	for _, p := range s.peers.ordered() {
		if p.mentioned(s.now, silence) && !s.readsBefore(p) {
			next = append(next, p)
		}
	}
	slices.SortStableFunc(next, func(x, y *peer) int {
		if c := cmp.Compare(y.link, x.link); c != 0 {
			return c
		}
		return cmp.Compare(x.hash, y.hash)
	})
	for _, p := range next[:min(len(next), nextReaders)] {
		s.sendReport(p)
	}
}

// mentionSilence is after how long a host that nobody mentions does not count.
func (s *Steerer) mentionSilence() time.Duration {
	all := len(s.peers.byName)
	if all <= smallFleet {
		return shortMentionSilence
	}
	return longMentionSilence + time.Second*mentionsMissed*time.Duration(all)/mentionsASecond
}

// mentioned reports whether a host lives as far as anybody says.
func (p *peer) mentioned(now timekeeper.Instant, silence time.Duration) bool {
	return p.lives != 0 && !p.leaving && now.Since(p.lives) < silence
}

// living counts the hosts that live as far as anybody says, as of some moment before
// deadline.
type living struct {
	deadline timekeeper.Instant
	// all are the other hosts of all zones, near those of the own zone, and readers those that
	// read the platform before this one.
	all     int
	near    int
	readers int
}

// countLiving returns how many other hosts live. In a larger fleet the count may be as old
// as the time between two rounds of reports, which is when it changes.
func (s *Steerer) countLiving() *living {
	l := &s.peers.living
	if !l.deadline.Passed(s.now) {
		return l
	}
	*l = living{}
	if len(s.peers.byName) > smallFleet {
		l.deadline = s.now.Add(reportEvery)
	}
	silence, lost := s.mentionSilence(), s.lostZones()
	for _, p := range s.peers.ordered() {
		if !p.mentioned(s.now, silence) || lost[p.zone] {
			continue
		}
		l.all++
		if p.zone == s.config.AvailabilityZone {
			l.near++
		}
		if s.readsBefore(p) {
			l.readers++
		}
	}
	return l
}

// lostZones are the other zones of a larger fleet of whose hosts nobody has heard any for
// zoneHostMemory.
//
// What goes wrong if each of their hosts counts until it has not been mentioned for long
// enough, which takes longer the more hosts there are: a zone is lost, and hosts of other zones
// wait for those of its hosts that would read the platform before them. One notices by changes
// that come late in the first minute after the loss of a zone.
func (s *Steerer) lostZones() map[string]bool {
	lost := map[string]bool{}
	if len(s.peers.byName) <= smallFleet {
		return lost
	}
	latest := map[string]timekeeper.Instant{}
	for _, p := range s.peers.ordered() {
		latest[p.zone] = max(latest[p.zone], p.lives)
	}
	for zone, lives := range latest {
		lost[zone] = zone != "" && zone != s.config.AvailabilityZone && s.now.Since(lives) >= zoneHostMemory
	}
	return lost
}

// hostsHeardOf counts the other hosts that live as far as this one knows.
func (s *Steerer) hostsHeardOf() int { return s.countLiving().all }

// hostsInZone counts the hosts of the own zone that live as far as anybody says, this one
// among them.
func (s *Steerer) hostsInZone() int { return 1 + s.countLiving().near }

// notePeer returns the record of a host, which it makes if there is none. The host
// reported to somebody so long ago.
func (s *Steerer) notePeer(name string, address netip.AddrPort, age time.Duration) *peer {
	p, ok := s.peers.byName[name]
	if !ok {
		p = &peer{name: name, address: address, hash: xxhash.Sum64String(name)}
		s.peers.byName[name] = p
		s.peers.sorted = insertByName(s.peers.sorted, p)
	}
	p.lives = max(p.lives, s.now.Add(-age))
	return p
}

// peersTick sends the reports that are due.
func (s *Steerer) peersTick() {
	p := &s.peers
	p.changes.forget(s.now)
	s.forgetPeers()
	all := p.sorted
	switch {
	case len(all) <= smallFleet:
		for _, one := range all {
			s.reportIfDue(one)
		}
		p.news = false
	case p.roundDue(s.now):
		p.roundDeadline = max(p.roundDeadline, s.now).Add(reportEvery)
		s.reportRound()
		p.news = false
	}
	s.reportToSeeds()
}

// roundDue reports whether a larger fleet's next round of reports begins. News begins one
// early, as long as the rounds are not newsAhead before their time.
//
// What goes wrong without that bound: targets are replaced, each tick of each host brings
// news, and a host sends and takes in five times as many reports as on a quiet day. One
// notices by small hosts that have no processor time left during a release.
func (p *peers) roundDue(now timekeeper.Instant) bool {
	if p.news {
		now = now.Add(newsAhead)
	}
	return p.roundDeadline.Passed(now)
}

// noteHeard takes in that a host has just reported.
func (p *peers) noteHeard(from *peer, now timekeeper.Instant) {
	from.heard = now
	p.zones.heard[from.zone] = now
	if !from.recent {
		from.recent = true
		p.recent = insertByName(p.recent, from)
	}
}

// forgetPeers drops what is known of hosts that fell silent.
func (s *Steerer) forgetPeers() {
	s.peers.recent = slices.DeleteFunc(s.peers.recent, func(p *peer) bool {
		p.recent = s.now.Since(p.heard) < peerSilence
		return !p.recent
	})
	s.peers.loaded = slices.DeleteFunc(s.peers.loaded, func(p *peer) bool {
		if len(p.busy) > 0 && s.now.Since(p.heard) <= busyMemory {
			return false
		}
		s.takeBusy(p, nil)
		p.loaded = false
		return true
	})
	if !s.peers.sweepDeadline.Passed(s.now) {
		return
	}
	s.peers.sweepDeadline = s.now.Add(peerSweepEvery)
	s.peers.sorted = slices.DeleteFunc(s.peers.ordered(), func(p *peer) bool {
		forgotten := s.now.Since(p.lives) > peerMemory
		if forgotten {
			s.peers.zones.move(p, "")
			delete(s.peers.byName, p.name)
		}
		return forgotten
	})
}
