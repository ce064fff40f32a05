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
	// reportEvery is the time between two rounds of reports, and between two
	// reports to a host of the own zone in a small fleet.
	reportEvery = 250 * time.Millisecond
	// farReportEvery is the time between two reports to a host of another zone in
	// a small fleet; traffic between zones is priced. It stays below readRankStep:
	// a host that waits for another's read must hear of it in time.
	farReportEvery = 300 * time.Millisecond
	// smallFleet is how many other hosts a host tells one by one. In a larger fleet
	// it tells reportFanout of them a round, half of them in its own zone, so that
	// its control traffic does not grow with the fleet: 16 reports a second of
	// some 400 bytes. News then takes about as many rounds as the fleet has digits
	// to the base of reportFanout + 1.
	smallFleet   = 12
	reportFanout = 4
	// maxChanges bounds the changes in a report, so that it fits a datagram.
	maxChanges = 10
	// changeMemory is how long a change is repeated in reports.
	changeMemory = 3 * time.Second
	// peerSilence is after how long a silent host is not asked any more. Two
	// reports in a row may be lost.
	peerSilence = time.Second
	// busyMemory is how long a host's load counts. Requests take some 50 ms, so
	// older figures tell of others.
	busyMemory = 600 * time.Millisecond
	// peerMemory is after how long a host that nobody mentions is forgotten.
	peerMemory = 60 * time.Second
	// mentionSilence is after how long a host that nobody mentions does not count
	// for rank, in a small fleet. A larger one mentions each host more rarely, by
	// maxHints in each of some 16 reports a second.
	mentionSilence  = time.Second
	mentionsASecond = 4 * reportFanout * maxHints
	// mentionsMissed is how many mentions must fail to come: one in e^8 hosts that
	// live is missed.
	mentionsMissed = 8
	// seedEvery is the time between two reports to an address from which nothing
	// is heard.
	seedEvery = time.Second
	// maxHints bounds the hosts that a report names.
	maxHints = 8
)

// peer is what a host knows of another.
type peer struct {
	name        string
	address     netip.AddrPort
	zone        string
	incarnation uint64
	leaving     bool
	// heard is when its last report came; 0 if it is known by name only.
	heard timekeeper.Instant
	// lives is when it last reported, or a host mentioned that it had.
	lives        timekeeper.Instant
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
	// changeTurn is where the next report begins among changes.
	changeTurn int
	seeds      map[netip.AddrPort]timekeeper.Instant
	// roundDeadline is when the next round of a larger fleet begins, order and
	// turn whom it tells.
	roundDeadline timekeeper.Instant
	order         []*peer
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

// rank is the place of this host among those that live as far as it knows.
func (s *Steerer) rank() int {
	rank := 0
	own := xxhash.Sum64String(s.config.Self)
	all := s.peers.ordered()
	silence := mentionSilence
	if len(all) > smallFleet {
		silence = max(silence, time.Second*mentionsMissed*time.Duration(len(all))/mentionsASecond)
	}
	for _, p := range all {
		if p.lives != 0 && !p.leaving && s.now.Since(p.lives) < silence && xxhash.Sum64String(p.name) < own {
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
	// An older incarnation's report may be late. But clocks step back: a host that
	// starts anew after that has a lower incarnation, and would be ignored for good.
	if r.Incarnation < p.incarnation && p.hears(s.now) {
		return
	}
	if p.heard == 0 || s.now.Since(p.heard) > peerMemory || p.incarnation != r.Incarnation {
		s.log("peerHeard", Field{"peer", p.name}, Field{"zone", r.AvailabilityZone}, Field{"incarnation", utoa(r.Incarnation)}, Field{"version", utoa(r.Version)})
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
	s.takeUnreachable(r.Unreachable)
	for _, hint := range r.Hosts {
		if hint.Name != s.config.Self {
			s.notePeer(hint.Name, hint.Address)
		}
	}
	s.compareSettings(r)
	s.compareTargets(r, p.name)
	if p.nextDeadline == 0 {
		s.reportIfDue(p)
	}
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
	p.lives = s.now
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
		s.noteBehind()
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
	if age >= unknownAge {
		return
	}
	src.confirmed = max(src.confirmed, s.now.Add(-age))
	if failed := s.reading.failedSince; failed != 0 && src.confirmed > failed {
		s.regained("peer")
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
	s.forgetPeers()
	all := p.ordered()
	switch {
	case len(all) <= smallFleet:
		for _, one := range all {
			s.reportIfDue(one)
		}
	case p.news || p.roundDeadline.Passed(s.now):
		p.roundDeadline = s.now.Add(reportEvery)
		s.reportRound(all)
	}
	p.news = false
	s.reportToSeeds()
}

// forgetPeers drops what is known of hosts that fell silent.
func (s *Steerer) forgetPeers() {
	for _, p := range s.peers.ordered() {
		if len(p.busy) > 0 && s.now.Since(p.heard) > busyMemory {
			s.takeBusy(p, nil)
		}
		if s.now.Since(p.lives) > peerMemory {
			delete(s.peers.byName, p.name)
			s.peers.sorted = nil
		}
	}
}

// reportRound tells some hosts of a larger fleet, each as often as the others:
// half of them in the own zone, where loads matter, half anywhere.
func (s *Steerer) reportRound(all []*peer) {
	p := &s.peers
	told := 0
	for home := range 2 {
		for n := 0; n < len(all) && told < (home+1)*reportFanout/2; n++ {
			if len(p.order) == 0 {
				p.order = slices.Clone(all)
				s.random.Shuffle(len(p.order), func(i, j int) { p.order[i], p.order[j] = p.order[j], p.order[i] })
			}
			at := slices.IndexFunc(p.order, func(one *peer) bool { return home == 1 || one.zone == s.config.AvailabilityZone })
			if at < 0 {
				break
			}
			one := p.order[at]
			p.order = slices.Delete(p.order, at, at+1)
			if one.leaving || s.peers.byName[one.name] != one {
				continue
			}
			s.sendReport(one)
			told++
		}
	}
}

// reportIfDue sends a host a report if it is time or if there is news.
func (s *Steerer) reportIfDue(p *peer) {
	if p.leaving || (!p.nextDeadline.Passed(s.now) && !s.peers.news) {
		return
	}
	every := farReportEvery
	if p.zone == s.config.AvailabilityZone {
		every = reportEvery
	}
	if !p.hears(s.now) {
		every = seedEvery
	}
	p.nextDeadline = s.now.Add(every)
	s.sendReport(p)
}

func (s *Steerer) sendReport(p *peer) {
	s.counts.add(ReportsSent)
	s.emit(&SendReport{Host: p.name, Address: p.address, Report: s.report(p)})
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
	// Any of the changes, not the latest: those of one moment are told by turns.
	changes := s.peers.changes
	for i := range min(len(changes), maxChanges) {
		c := changes[(s.peers.changeTurn+i)%len(changes)]
		r.Changes = append(r.Changes, c.target.state(s.now))
	}
	s.peers.changeTurn += maxChanges
	if to.zone == s.config.AvailabilityZone {
		r.Busy = s.busy()
		r.Unreachable = s.unreachable()
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
		if n := t.busy + t.opening; n > 0 {
			busy[uint32(t.tag)] = uint16(min(n, 1<<16-1))
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
