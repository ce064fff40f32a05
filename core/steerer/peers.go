package steerer

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/timekeeper"
	"github.com/cespare/xxhash/v2"
)

const (
	// reportEvery is the time between two reports to hosts of the own zone, which
	// need each other's load.
	reportEvery = 250 * time.Millisecond
	// farReportEvery is the time between two reports to hosts of other zones,
	// where traffic is priced. It stays below readRankStep: a host that waits for
	// another's read must hear of it in time.
	farReportEvery = 300 * time.Millisecond
	// maxReportsAtOnce bounds the hosts that are told in one round, so that the
	// control traffic of a host does not grow with the fleet. News spreads from
	// host to host in as many rounds as the fleet has digits to this base.
	maxReportsAtOnce = 8
	// maxChanges bounds the changes in a report, so that it fits a datagram.
	maxChanges = 10
	// changeMemory is how long a change is repeated in reports.
	changeMemory = 3 * time.Second
	// peerSilence is after how long a silent host no longer counts. Two reports
	// in a row may be lost.
	peerSilence = time.Second
	// peerMemory is after how long a silent host is forgotten.
	peerMemory = 60 * time.Second
	// seedEvery is the time between two reports to a seed address from which
	// nothing has been heard.
	seedEvery = time.Second
	// maxHints bounds the hosts that a report names.
	maxHints = 4
)

// peer is what a host knows of another.
type peer struct {
	name        string
	address     netip.AddrPort
	zone        string
	incarnation uint64
	leaving     bool
	// heard is when its last report came; 0 if it is known by name only.
	heard        timekeeper.Instant
	mentioned    timekeeper.Instant
	nextDeadline timekeeper.Instant
	busy         map[uint32]uint16
	// version and revision are what the host had in force at its last report,
	// digest what it knew of targets.
	version  uint64
	revision uint64
	digest   uint64
}

// change is a target whose state other hosts should hear of.
type change struct {
	target   *target
	deadline timekeeper.Instant
}

// peers is the list of other hosts, with what is to be told them.
type peers struct {
	byName map[string]*peer
	sorted []*peer
	// news asks for a report at once.
	news    bool
	changes []change
	seeds   map[netip.AddrPort]timekeeper.Instant
	// turn is where the next round begins in a large fleet.
	turn int
}

func newPeers() peers {
	return peers{byName: map[string]*peer{}, seeds: map[netip.AddrPort]timekeeper.Instant{}}
}

// changed marks a target's state as news.
func (p *peers) changed(t *target, now timekeeper.Instant) {
	p.changes = slices.DeleteFunc(p.changes, func(c change) bool { return c.target == t })
	p.changes = append(p.changes, change{target: t, deadline: now.Add(changeMemory)})
	p.news = true
}

func (p *peers) ordered() []*peer {
	if p.sorted == nil {
		for _, one := range p.byName {
			p.sorted = append(p.sorted, one)
		}
		slices.SortFunc(p.sorted, func(x, y *peer) int { return strings.Compare(x.name, y.name) })
	}
	return p.sorted
}

// hears reports whether a host can be counted on at present.
func (p *peer) hears(now timekeeper.Instant) bool {
	return p.heard != 0 && !p.leaving && now.Since(p.heard) < peerSilence
}

// rank is the place of this host among those that it hears.
func (s *Steerer) rank() int {
	rank := 0
	own := xxhash.Sum64String(s.config.Self)
	for _, p := range s.peers.ordered() {
		if p.hears(s.now) && xxhash.Sum64String(p.name) < own {
			rank++
		}
	}
	return rank
}

func (s *Steerer) reportReceived(e *ReportReceived) {
	if e.From == s.config.Self {
		return
	}
	r := e.Report
	p := s.notePeer(e.From, r.Address)
	if r.Incarnation < p.incarnation {
		return
	}
	if p.heard == 0 || !p.hears(s.now) {
		s.log("peerHeard", Field{"peer", p.name}, Field{"zone", r.AvailabilityZone})
		p.nextDeadline = 0 // It may know nothing yet, so it is answered at once.
	}
	p.address = r.Address
	p.zone = r.AvailabilityZone
	p.incarnation = r.Incarnation
	p.leaving = r.Leaving
	p.heard = s.now
	p.version = r.Version
	p.revision = r.TargetsRevision
	p.digest = r.TargetsDigest
	s.takeBusy(p, r.Busy)
	for _, hint := range r.Hosts {
		if hint.Name != s.config.Self {
			s.notePeer(hint.Name, hint.Address)
		}
	}
	s.compareSettings(r)
	s.compareTargets(r, p.name)
	s.reportIfDue(p)
	s.askingTick()
}

// notePeer returns the record of a host, which it makes if there is none.
func (s *Steerer) notePeer(name string, address netip.AddrPort) *peer {
	p, ok := s.peers.byName[name]
	if !ok {
		p = &peer{name: name, address: address}
		s.peers.byName[name] = p
		s.peers.sorted = nil
	}
	p.mentioned = s.now
	return p
}

// takeBusy replaces what a host reported of its requests under way.
func (s *Steerer) takeBusy(p *peer, busy map[uint32]uint16) {
	for tag, n := range p.busy {
		if t, ok := s.targets.byTag[Tag(tag)]; ok {
			t.peersBusy = max(t.peersBusy-int(n), 0)
		}
	}
	for tag, n := range busy {
		if t, ok := s.targets.byTag[Tag(tag)]; ok {
			t.peersBusy += int(n)
		}
	}
	p.busy = busy
}

// compareSettings learns from a report how new the own settings are.
func (s *Steerer) compareSettings(r *messenger.Report) {
	switch {
	case r.Version > s.version():
		s.reading.settings.urgent = true
	case r.Version == s.version() && r.Version != 0:
		s.confirm(&s.reading.settings, r.SettingsAge)
	}
}

// compareTargets takes the changes in a report, and learns from it how new the
// own list of targets is.
func (s *Steerer) compareTargets(r *messenger.Report, from string) {
	if s.targetsRevision == 0 {
		return // The own first read is under way and brings all at once.
	}
	for _, state := range r.Changes {
		s.takeState(state, from)
	}
	if r.TargetsRevision == 0 {
		return
	}
	if r.TargetsDigest == s.targets.digest() {
		s.confirm(&s.reading.targets, r.TargetsAge)
		s.targetsRevision = max(s.targetsRevision, r.TargetsRevision)
	}
}

// confirm takes over another host's confirmation if it is newer.
func (s *Steerer) confirm(src *source, age time.Duration) {
	if age < unknownAge {
		src.confirmed = max(src.confirmed, s.now.Add(-age))
	}
}

func (s *Steerer) takeState(state messenger.TargetState, from string) {
	known, ok := s.targets.byID[state.ID]
	if state.Missing {
		if ok && !known.missing && state.Seen > known.seen {
			s.takeMissing(known, state.Seen, from)
		}
		return
	}
	number, valid := NumberOf(state.ID)
	if !valid {
		return
	}
	s.takeRecord(Target{
		ID: state.ID, Number: number, Service: state.Service, Address: state.Address,
		AvailabilityZone: state.AvailabilityZone, Slots: state.Slots, Draining: state.Draining, WarmUp: state.WarmUp,
	}, state.Seen, from)
}

// peersTick sends the reports that are due.
func (s *Steerer) peersTick() {
	p := &s.peers
	p.changes = slices.DeleteFunc(p.changes, func(c change) bool { return c.deadline.Passed(s.now) })
	for name, one := range p.byName {
		if s.now.Since(one.mentioned) > peerMemory {
			s.takeBusy(one, nil)
			delete(p.byName, name)
			p.sorted = nil
		}
	}
	sent := 0
	all := p.ordered()
	for i := range all {
		one := all[(i+p.turn)%len(all)]
		if sent == maxReportsAtOnce {
			break
		}
		if s.reportIfDue(one) {
			sent++
		}
	}
	if len(all) > 0 {
		p.turn = (p.turn + sent) % len(all)
	}
	p.news = false
	s.reportToSeeds()
}

// reportIfDue sends a host a report if it is time or if there is news.
func (s *Steerer) reportIfDue(p *peer) bool {
	if p.leaving {
		return false
	}
	every := farReportEvery
	if p.zone == s.config.AvailabilityZone {
		every = reportEvery
	}
	if !p.hears(s.now) {
		every = seedEvery
		if p.heard != 0 && s.now.Since(p.heard) > peerSilence && len(p.busy) > 0 {
			s.takeBusy(p, nil)
		}
	}
	if !p.nextDeadline.Passed(s.now) && !s.peers.news {
		return false
	}
	p.nextDeadline = s.now.Add(every)
	s.counts.add(ReportsSent)
	s.emit(&SendReport{Host: p.name, Address: p.address, Report: s.report(p)})
	return true
}

// reportToSeeds reports to seed addresses at which no known host is.
func (s *Steerer) reportToSeeds() {
	for _, seed := range s.config.Seeds {
		if seed == s.config.Address || !s.peers.seeds[seed].Passed(s.now) {
			continue
		}
		s.peers.seeds[seed] = s.now.Add(seedEvery)
		if slices.ContainsFunc(s.peers.ordered(), func(p *peer) bool { return p.address == seed }) {
			continue
		}
		s.counts.add(ReportsSent)
		s.emit(&SendReport{Address: seed, Report: s.report(&peer{})})
	}
}

// report writes this host's report to another.
func (s *Steerer) report(to *peer) *messenger.Report {
	r := &messenger.Report{
		Address:          s.config.Address,
		AvailabilityZone: s.config.AvailabilityZone,
		Incarnation:      s.config.Incarnation,
		Leaving:          s.leaving.begun,
		SettingsAge:      age(s.now, s.reading.settings.confirmed),
		TargetsRevision:  s.targetsRevision,
		TargetsAge:       age(s.now, s.reading.targets.confirmed),
		TargetsDigest:    s.targets.digest(),
		Hosts:            s.hints(to),
		Version:          s.version(),
	}
	for _, c := range s.peers.changes[max(len(s.peers.changes)-maxChanges, 0):] {
		r.Changes = append(r.Changes, c.target.state(s.now))
	}
	if to.zone == s.config.AvailabilityZone {
		r.Busy = s.busy()
	}
	return r
}

// hints names some hosts that this one hears, others each time.
func (s *Steerer) hints(to *peer) []messenger.HostHint {
	var hints []messenger.HostHint
	all := s.peers.ordered()
	if len(all) == 0 {
		return nil
	}
	start := s.random.IntN(len(all))
	for i := range all {
		p := all[(start+i)%len(all)]
		if p.name == to.name || !p.hears(s.now) {
			continue
		}
		hints = append(hints, messenger.HostHint{Name: p.name, Address: p.address})
		if len(hints) == maxHints {
			break
		}
	}
	return hints
}

// busy counts this host's requests under way by target.
func (s *Steerer) busy() map[uint32]uint16 {
	busy := map[uint32]uint16{}
	for _, t := range s.targets.ordered() {
		if t.busy > 0 {
			busy[uint32(t.tag)] = uint16(min(t.busy, 1<<16-1))
		}
	}
	return busy
}

// state writes a target for a report.
func (t *target) state(now timekeeper.Instant) messenger.TargetState {
	return messenger.TargetState{
		ID: t.ID, Seen: t.seen, Service: t.Service, Address: t.Address, AvailabilityZone: t.AvailabilityZone,
		Slots: t.Slots, Draining: t.Draining, Missing: t.missing, WarmUp: max(t.warmUpDeadline.Until(now), 0),
	}
}

// digest is equal for tables that list the same targets in the same states. The
// order plays no part.
func (t *table) digest() uint64 {
	if t.digestValid {
		return t.digestValue
	}
	t.digestValue, t.digestValid = 0, true
	for _, one := range t.byID {
		if one.missing {
			continue
		}
		state := one.ID + "\x00" + one.Service + "\x00" + one.Address.String()
		if one.Draining {
			state += "\x00draining"
		}
		t.digestValue += xxhash.Sum64String(state)
	}
	return t.digestValue
}
