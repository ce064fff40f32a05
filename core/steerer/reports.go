package steerer

import (
	"math"
	"slices"
	"time"

	"cranberryspan.dev/core/evacuator"
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/sequencer"
)

func (s *Steerer) reportReceived(e *ReportReceived) {
	if e.From == s.config.Self {
		return
	}
	r := e.Report
	p := s.notePeer(e.From, r.Address, 0)
	// An older incarnation's report may be late. But clocks step back: a host that
	// starts anew after that has a lower incarnation, and would be ignored for good.
	if r.Incarnation < p.incarnation && p.hears(s.now) {
		return
	}
	fresh := p.heard == 0 || s.now.Since(p.heard) > peerMemory || p.incarnation != r.Incarnation
	if fresh {
		s.log("peerHeard", field("peer", p.name), field("zone", r.AvailabilityZone), field("incarnation", utoa(r.Incarnation)), field("version", utoa(r.SettingsRevision)))
	}
	p.address = r.Address
	s.peers.zones.move(p, r.AvailabilityZone)
	p.link = r.LinkBytesPerSecond
	p.incarnation = r.Incarnation
	s.peers.zones.leave(p, r.Leaving)
	s.peers.noteHeard(p, s.now)
	p.version = r.SettingsRevision
	p.position = sequencer.At(r.TargetsEra, r.TargetsRevision)
	s.takeBusy(p, r.InFlight)
	s.takeTooQuick(p, r.FastFailing)
	s.takePaces(p, r.Slowdowns)
	s.takeSilent(p, r.Unresponsive)
	s.takeDemands(r, p)
	s.takeFlows(p, r)
	s.takeHints(r)
	s.takeZoneHosts(r)
	s.noteEra(max(r.TargetsEra, r.OrdersEra, r.SettingsEra), p.name)
	s.takeOrders(evacuator.Orders{Position: sequencer.At(r.OrdersEra, r.OrdersRevision), Zones: r.EvacuatedZones}, p.name)
	s.compareSettings(r, p.name)
	s.compareTargets(r, p.name)
	// It may know nothing yet. In a large fleet one that knows all need not hear from
	// each host that it reports to for the first time.
	knowsNothing := r.SettingsRevision == 0 || r.TargetsRevision == 0
	if fresh && (knowsNothing || len(s.peers.byName) <= smallFleet || s.tellsOfFlows(p)) {
		p.nextDeadline = 0
		s.reportIfDue(p)
	}
	s.askingTick()
}

// takeBusy replaces what a host reported of its requests under way. Only what was
// counted may be taken back later: a target may not be known yet.
func (s *Steerer) takeBusy(p *peer, busy map[uint32]uint16) {
	for tag, n := range p.busy {
		if t, ok := s.targets.byTag[Tag(tag)]; ok {
			t.peersBusy = max(t.peersBusy-int(n), 0)
		}
	}
	clear(p.busy)
	if p.busy == nil && len(busy) > 0 {
		p.busy = make(map[uint32]uint16, len(busy))
	}
	for tag, n := range busy {
		if t, ok := s.told(p, tag); ok {
			t.peersBusy += int(n)
			p.busy[tag] = n
		}
	}
	if len(p.busy) > 0 && !p.loaded {
		p.loaded = true
		s.peers.loaded = append(s.peers.loaded, p)
	}
}

// told returns the target that a host's report speaks of, by its tag. What a host says
// that has not learned yet that the target has started again is about its earlier life.
func (s *Steerer) told(p *peer, tag uint32) (*target, bool) {
	t, ok := s.targets.byTag[Tag(tag)]
	if !ok || p.position.Before(t.bornAt) {
		return nil, false
	}
	return t, true
}

// compareSettings learns from a report how new the own settings are.
func (s *Steerer) compareSettings(r *messenger.Report, from string) {
	switch {
	case r.SettingsRevision > s.version():
		s.noteBehind()
	case r.SettingsRevision == s.version() && r.SettingsRevision != 0:
		s.confirm(&s.reading.settings, reportedRead{r.SettingsReadNumber, r.SettingsEra, r.SettingsAge}, from)
	}
}

// compareTargets takes the changes in a report, and learns from it how new the
// own list of targets is.
func (s *Steerer) compareTargets(r *messenger.Report, from string) {
	if !s.targetsPosition.Known() {
		return // The own first read is under way and brings all at once.
	}
	for _, state := range r.TargetChanges {
		s.takeState(state, r.TargetsEra, from)
	}
	position := sequencer.At(r.TargetsEra, r.TargetsRevision)
	if position.Known() && s.knowsAllUpTo(position, r.TargetsDigest) {
		s.confirm(&s.reading.targets, reportedRead{r.TargetsReadNumber, r.TargetsEra, r.TargetsAge}, from)
		s.agreeOn(position, from)
	}
}

// knowsAllUpTo reports whether this host knows all that the platform listed at a position, of
// which another host tells the digest.
func (s *Steerer) knowsAllUpTo(position sequencer.Position, digest uint64) bool {
	if position.Era == s.targetsPosition.Era && !s.targetsPosition.Before(position) {
		return true
	}
	own, known := s.targets.digestAt(position)
	return (known && own == digest) || s.targets.digest() == digest
}

// agreeOn takes in that another host lists the same targets as of a position.
func (s *Steerer) agreeOn(position sequencer.Position, from string) {
	if !s.targetsPosition.Before(position) {
		return
	}
	earlier := s.targetsPosition
	s.targetsPosition = position
	s.noteListed(earlier, 0, from)
}

// reportedRead is another host's word of a read of the platform: its number, the era of the
// platform's history, and how long ago it was.
type reportedRead struct {
	read uint64
	era  uint64
	age  time.Duration
}

// confirm takes over another host's confirmation if it is newer.
//
// What goes wrong if one of an earlier era counts: the platform was restored, some hosts
// have not heard of it, and their word makes what the restore has undone look fresh.
// Nobody reads the new history until they have.
func (s *Steerer) confirm(src *source, r reportedRead, from string) {
	if r.age >= unknownAge || r.era < s.reading.era {
		return
	}
	src.confirm(confirmation{r.read, r.era, s.now.Add(-r.age)}, from)
	if failed := s.reading.failedSince; failed != 0 && src.confirmed > failed {
		s.regained("peer")
	}
}

// takeState takes in what another host says of a target, in some era. What it saw before a
// restore of the platform never wins over a list from after it.
func (s *Steerer) takeState(state messenger.TargetState, era uint64, from string) {
	seen := sequencer.At(era, state.Revision)
	if seen.Era < s.targetsPosition.Era {
		return
	}
	known, ok := s.targets.byID[state.ID]
	if state.Missing {
		if ok && !known.missing && known.olderThan(state.Incarnation, seen) {
			known.Born = state.Incarnation
			known.unreadable = state.Unreadable
			s.takeMissing(known, seen, from)
		}
		return
	}
	number, valid := NumberOf(state.ID)
	if !valid {
		return
	}
	s.takeRecord(recordOf(state, number), seen, from)
}

// recordOf reads a target from a report.
func recordOf(state messenger.TargetState, number Number) Target {
	return Target{
		ID: state.ID, Number: number, Service: state.Service, Address: state.Address,
		AvailabilityZone: state.AvailabilityZone, Slots: state.Slots, Draining: state.Draining, WarmUp: state.WarmUp, Born: state.Incarnation,
	}
}

// reportRound tells some hosts of a larger fleet: most of them in the own zone, where
// loads matter, the others anywhere.
//
// What goes wrong if all hosts are told as often as each other: in a fleet of five zones
// four of five reports go to another zone, where traffic is priced, and news of the own
// zone's loads is seconds old.
func (s *Steerer) reportRound() {
	near := s.tellSome(&s.peers.nearOrder, nearFanout, func(p *peer) bool { return p.zone == s.config.AvailabilityZone })
	s.tellSome(&s.peers.order, reportFanout-near, func(*peer) bool { return true })
}

// tellSome reports to the next hosts of an order, which it makes anew of some hosts when
// all have had their turn. It returns how many were told.
func (s *Steerer) tellSome(order *[]*peer, count int, of func(*peer) bool) int {
	told := 0
	for range s.peers.sorted {
		if told == count {
			break
		}
		if len(*order) == 0 {
			*order = slices.DeleteFunc(slices.Clone(s.peers.ordered()), func(p *peer) bool { return !of(p) })
			s.random.Shuffle(len(*order), func(i, j int) { (*order)[i], (*order)[j] = (*order)[j], (*order)[i] })
		}
		if len(*order) == 0 {
			break
		}
		last := len(*order) - 1
		one := (*order)[last]
		*order = (*order)[:last]
		if one.leaving || s.peers.byName[one.name] != one {
			continue
		}
		s.sendReport(one)
		told++
	}
	return told
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
//
// What goes wrong if a host that knows nothing does so seldom: all hosts start at once, its
// first report comes before the seeds are up, and it hears a second later who could tell
// it settings and targets.
func (s *Steerer) reportToSeeds() {
	every := seedEvery
	if !s.knows() {
		every = startSeedEvery
	}
	for _, seed := range s.config.Seeds {
		if seed == s.config.Address || !s.peers.seeds[seed].Passed(s.now) {
			continue
		}
		s.peers.seeds[seed] = s.now.Add(every)
		if slices.ContainsFunc(s.peers.ordered(), func(p *peer) bool { return p.address == seed }) {
			continue
		}
		s.sendReport(&peer{address: seed})
	}
}

// report writes this host's report to another.
func (s *Steerer) report(to *peer) *messenger.Report {
	r := &messenger.Report{
		Address:            s.config.Address,
		AvailabilityZone:   s.config.AvailabilityZone,
		Incarnation:        s.config.Incarnation,
		Uptime:             s.now.Since(s.config.Start),
		LinkBytesPerSecond: s.config.LinkBytesPerSecond,
		Leaving:            s.leaving.begun,
		SettingsAge:        age(s.now, s.reading.settings.confirmed),
		SettingsReadNumber: s.reading.settings.confirmedRead,
		SettingsEra:        s.reading.settings.era,
		TargetsRevision:    s.targetsPosition.Revision,
		TargetsEra:         s.targetsPosition.Era,
		TargetsAge:         age(s.now, s.reading.targets.confirmed),
		TargetsReadNumber:  s.reading.targets.confirmedRead,
		TargetsDigest:      s.listDigest(),
		SettingsRevision:   s.version(),
		OrdersRevision:     s.evacuator.Orders().Position.Revision,
		OrdersEra:          s.evacuator.Orders().Position.Era,
		EvacuatedZones:     s.evacuator.Orders().Zones,
	}
	s.addHints(r, to)
	s.addDemands(r, to)
	r.OpenFlows = s.toldFlows(to)
	for _, t := range s.peers.changes.next() {
		r.TargetChanges = append(r.TargetChanges, s.state(t))
	}
	if to.zone == s.config.AvailabilityZone {
		own := s.ownNews()
		r.InFlight, r.FastFailing, r.Unresponsive = own.busy, own.quick, own.silent
		r.Slowdowns = s.paces()
	} else {
		r.ReceiverZoneHosts = len(s.peers.zones.of(to.zone))
		s.addZoneFlows(r)
	}
	return r
}

// listDigest is the digest of this host's targets as of their position, which is what those
// can compare that have heard of other changes since.
func (s *Steerer) listDigest() uint64 {
	digest, known := s.targets.digestAt(s.targetsPosition)
	if !known {
		return s.targets.digest()
	}
	return digest
}

// addHints names some hosts that live as far as this one knows, others each time, with
// how long ago each was heard by anybody. What is told of a host that died grows old
// wherever it goes. A host that knows nothing is told of those that know, if there are.
func (s *Steerer) addHints(r *messenger.Report, to *peer) {
	all := s.peers.sorted
	if len(all) == 0 {
		return
	}
	silence := s.mentionSilence()
	start := s.random.IntN(len(all))
	helpful := func(*peer) bool { return true }
	if !to.knows() && slices.ContainsFunc(all, (*peer).knows) {
		helpful = (*peer).knows
	}
	for i := range all {
		p := all[(start+i)%len(all)]
		s.peers.visits++
		if p.name == to.name || !p.mentioned(s.now, silence) || !helpful(p) {
			continue
		}
		r.Hosts = append(r.Hosts, messenger.HostHint{Name: p.name, Address: p.address})
		r.HostAgeTenths = append(r.HostAgeTenths, tenths(s.now.Since(p.lives)))
		r.HostLinkBytesPerSecond = append(r.HostLinkBytesPerSecond, p.link)
		if p.zone == s.config.AvailabilityZone {
			r.HostsInZoneMask |= 1 << (len(r.Hosts) - 1)
		}
		if len(r.Hosts) == maxHints {
			break
		}
	}
}

// tenths writes a time in tenths of a second, rounded up.
func tenths(d time.Duration) uint8 {
	return uint8(min((d+hintAgeUnit-1)/hintAgeUnit, math.MaxUint8))
}

// takeHints learns of other hosts.
func (s *Steerer) takeHints(r *messenger.Report) {
	for i, hint := range r.Hosts {
		if hint.Name == s.config.Self {
			continue
		}
		age := time.Duration(0)
		if i < len(r.HostAgeTenths) {
			age = time.Duration(r.HostAgeTenths[i]) * hintAgeUnit
		}
		p := s.notePeer(hint.Name, hint.Address, age)
		if p.link == 0 && i < len(r.HostLinkBytesPerSecond) {
			p.link = r.HostLinkBytesPerSecond[i]
		}
		if p.zone == "" && i < maxHints && r.HostsInZoneMask&(1<<i) != 0 {
			s.peers.zones.move(p, r.AvailabilityZone)
		}
	}
}

// ownNews is what a host tells the others of its zone of the targets.
type ownNews struct {
	// busy counts requests under way by the target's tag; quick and silent are the tags of
	// targets that answered too quickly, or were silent, of late.
	busy   map[uint32]uint16
	quick  []uint32
	silent []uint32
	// known says that it was worked out at this event.
	known bool
}

// ownNews looks at the targets in use once for all reports of an event: requests under way, quick
// answers of late, and targets that were found silent of late.
func (s *Steerer) ownNews() *ownNews {
	if s.own.known {
		return &s.own
	}
	s.own = ownNews{busy: map[uint32]uint16{}, known: true}
	for _, t := range s.targetsInUse() {
		if n := t.busy + t.opening; n > 0 {
			s.own.busy[uint32(t.tag)] = uint16(min(n, 1<<16-1))
		}
		if s.tooQuickOfLate(t) && len(s.own.quick) < maxTooQuick {
			s.own.quick = append(s.own.quick, uint32(t.tag))
		}
		if s.silentOfLate(t) && len(s.own.silent) < maxSilent {
			s.own.silent = append(s.own.silent, uint32(t.tag))
		}
	}
	return &s.own
}

// state writes a target for a message, as of the era of this host's list.
//
// A host may have heard of a change in a new era before it has the list of that era. It tells
// the change as of its own position: all that it tells is of one era, and gives way to any
// list of the new one.
func (s *Steerer) state(t *target) messenger.TargetState {
	seen := t.seen
	if seen.Era > s.targetsPosition.Era {
		seen = s.targetsPosition
	}
	return messenger.TargetState{
		ID: t.ID, Revision: seen.Revision, Service: t.Service, Address: t.Address, AvailabilityZone: t.AvailabilityZone,
		Slots: t.Slots, Draining: t.Draining, Missing: t.missing, WarmUp: max(t.warmUpDeadline.Until(s.now), 0),
		Incarnation: t.Born, Unreadable: t.unreadable,
	}
}
