package steerer

import (
	"math"
	"slices"
	"time"

	"cranberryspan.dev/core/evacuator"
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/sequencer"
)

func (s *Steerer) handleReport(e *ReportReceived) {
	if e.From == s.config.Self {
		return
	}
	r := e.Report
	p := s.upsertPeer(e.From, r.Address, 0)
	// A report of an older incarnation may be late. But clocks may step back: a host that
	// restarts after that has a lower incarnation, and would be ignored for good if it were
	// not accepted after a timeout.
	if r.Incarnation < p.incarnation && p.reportedRecently(s.now) {
		return
	}
	firstReport := p.lastReport == 0 || s.now.Since(p.lastReport) > peerRetention || p.incarnation != r.Incarnation
	if firstReport {
		s.log("peerHeard", field("peer", p.name), field("zone", r.AvailabilityZone), field("incarnation", formatUint(r.Incarnation)), field("version", formatUint(r.SettingsRevision)))
	}
	p.address = r.Address
	s.peers.zones.setZone(p, r.AvailabilityZone)
	p.linkBytesPerSecond = r.LinkBytesPerSecond
	p.incarnation = r.Incarnation
	s.peers.zones.setShuttingDown(p, r.Leaving)
	s.peers.recordReport(p, s.now)
	s.recordZoneContact(r.AvailabilityZone, p.name)
	p.version = r.SettingsRevision
	p.position = sequencer.At(r.TargetsEra, r.TargetsRevision)
	s.applyPeerLoad(p, r.InFlight)
	s.applyFastFailures(p, r.FastFailing)
	s.applySlowdownReports(p, r.Slowdowns)
	s.applyUnreachableReport(p, r.Unreachable)
	s.applyDemands(r, p)
	s.applyFlowReport(p, r)
	s.applyGossip(r)
	s.recordZoneHosts(r)
	s.recordEra(max(r.TargetsEra, r.OrdersEra, r.SettingsEra), p.name)
	s.applyOrders(evacuator.Orders{Position: sequencer.At(r.OrdersEra, r.OrdersRevision), Zones: r.EvacuatedZones}, p.name)
	s.compareSettings(r, p.name)
	s.compareTargets(r, p.name)
	// The sender may have no state yet. In a large fleet a host that has state needs no
	// immediate reply from each host that it reports to for the first time.
	lacksState := r.SettingsRevision == 0 || r.TargetsRevision == 0
	if firstReport && (lacksState || len(s.peers.byName) <= smallFleetSize || s.needsFlowReport(p)) {
		p.nextReport = 0
		s.reportIfDue(p)
	}
	if r.ReplyRequested {
		s.sendReport(p)
	}
	s.syncTick()
}

// applyPeerLoad replaces a host's reported requests in flight. Only load that was added may
// be subtracted later, because a target may not have been known when its load was reported.
func (s *Steerer) applyPeerLoad(p *peer, inFlight map[uint32]uint16) {
	for tag, n := range p.requestsInFlight {
		if t, ok := s.targets.byTag[Tag(tag)]; ok {
			t.peersInFlight = max(t.peersInFlight-int(n), 0)
		}
	}
	clear(p.requestsInFlight)
	if p.requestsInFlight == nil && len(inFlight) > 0 {
		p.requestsInFlight = make(map[uint32]uint16, len(inFlight))
	}
	for tag, n := range inFlight {
		if t, ok := s.reportedTarget(p, tag); ok {
			t.peersInFlight += int(n)
			p.requestsInFlight[tag] = n
		}
	}
	if len(p.requestsInFlight) > 0 && !p.inLoaded {
		p.inLoaded = true
		s.peers.loaded = append(s.peers.loaded, p)
	}
}

// reportedTarget returns the target that a host's report refers to, by its tag. If the host
// has not learned yet that the target has restarted, its report refers to the earlier
// incarnation and is ignored.
func (s *Steerer) reportedTarget(p *peer, tag uint32) (*target, bool) {
	t, ok := s.targets.byTag[Tag(tag)]
	if !ok || p.position.Before(t.incarnationPosition) {
		return nil, false
	}
	return t, true
}

// compareSettings determines from a report how current the local settings are.
func (s *Steerer) compareSettings(r *messenger.Report, from string) {
	switch {
	case r.SettingsRevision > s.version():
		s.recordNewerSettings()
	case r.SettingsRevision == s.version() && r.SettingsRevision != 0:
		s.applyConfirmation(&s.platformReads.settings, reportedRead{r.SettingsReadNumber, r.SettingsEra, r.SettingsAge}, from)
	}
}

// compareTargets applies the changes in a report, and determines from it how current the
// local list of targets is.
func (s *Steerer) compareTargets(r *messenger.Report, from string) {
	if !s.targetsPosition.Known() {
		return // The first read is in flight and brings the full list.
	}
	for _, state := range r.TargetChanges {
		s.applyTargetState(state, r.TargetsEra, from)
	}
	position := sequencer.At(r.TargetsEra, r.TargetsRevision)
	if position.Known() && s.hasAllUpTo(position, r.TargetsDigest) {
		s.applyConfirmation(&s.platformReads.targets, reportedRead{r.TargetsReadNumber, r.TargetsEra, r.TargetsAge}, from)
		s.advanceTo(position, from)
	}
}

// hasAllUpTo reports whether this host knows all that the platform listed at a position,
// given another host's digest of it.
func (s *Steerer) hasAllUpTo(position sequencer.Position, digest uint64) bool {
	if position.Era == s.targetsPosition.Era && !s.targetsPosition.Before(position) {
		return true
	}
	localDigest, known := s.targets.digestAt(position)
	return (known && localDigest == digest) || s.targets.digest() == digest
}

// advanceTo records that another host has the same list of targets as of a position.
func (s *Steerer) advanceTo(position sequencer.Position, from string) {
	if !s.targetsPosition.Before(position) {
		return
	}
	earlier := s.targetsPosition
	s.targetsPosition = position
	s.recordCompleteList(earlier, 0, from)
}

// reportedRead is a read of the platform that another host has reported: its number, the era
// of the platform's store, and how long ago it was.
type reportedRead struct {
	read uint64
	era  uint64
	age  time.Duration
}

// applyConfirmation applies another host's confirmation if it is newer.
//
// Confirmations of an earlier era do not count. After a restore, hosts that have not learned
// of it would make the state that the restore has undone look current, and no host would read
// the new history until they have.
func (s *Steerer) applyConfirmation(src *source, r reportedRead, from string) {
	if r.age >= unknownAge || r.era < s.platformReads.era {
		return
	}
	src.confirm(confirmation{r.read, r.era, s.now.Add(-r.age)}, from)
	if failed := s.platformReads.failedSince; failed != 0 && src.confirmed > failed {
		s.platformRecovered("peer")
	}
}

// applyTargetState applies the state of a target that another host has sent, as of an era.
// State from before a restore never overrides a list from after it.
func (s *Steerer) applyTargetState(state messenger.TargetState, era uint64, from string) {
	seen := sequencer.At(era, state.Revision)
	if seen.Era < s.targetsPosition.Era {
		return
	}
	known, ok := s.targets.byID[state.ID]
	if state.Missing {
		if ok && !known.missing && known.olderThan(state.Incarnation, seen) {
			restarted := known.Incarnation != state.Incarnation
			known.Incarnation = state.Incarnation
			known.malformed = state.Malformed
			s.markMissing(known, seen, from)
			if restarted {
				s.resetForRestart(known, from)
			}
		}
		return
	}
	number, valid := ParseTargetNumber(state.ID)
	if !valid {
		return
	}
	s.applyTarget(targetFromState(state, number), seen, from)
}

// targetFromState converts a target from a message.
func targetFromState(state messenger.TargetState, number TargetNumber) Target {
	return Target{
		ID: state.ID, Number: number, Service: state.Service, Address: state.Address,
		AvailabilityZone: state.AvailabilityZone, Slots: state.Slots, Draining: state.Draining, WarmUp: state.WarmUp, Incarnation: state.Incarnation,
	}
}

// sendReportRound reports to some hosts of a larger fleet: most of them in the local zone,
// where load matters, the others in any zone.
//
// If all hosts were reported to equally often, then in a fleet of five zones four of five
// reports would go to another zone, where traffic costs money, and reports of the local
// zone's load would be seconds old.
func (s *Steerer) sendReportRound() {
	sent := s.reportToNext(&s.peers.sameZoneQueue, sameZoneFanout, func(p *peer) bool { return p.zone == s.config.AvailabilityZone })
	s.reportToNext(&s.peers.queue, reportFanout-sent, func(*peer) bool { return true })
}

// reportToNext reports to the next hosts of a queue, which it refills in random order with
// the matching hosts when it is empty. It returns how many reports were sent.
func (s *Steerer) reportToNext(queue *[]*peer, count int, include func(*peer) bool) int {
	sent := 0
	for range s.peers.sorted {
		if sent == count {
			break
		}
		if len(*queue) == 0 {
			*queue = slices.DeleteFunc(slices.Clone(s.peers.ordered()), func(p *peer) bool { return !include(p) })
			s.random.Shuffle(len(*queue), func(i, j int) { (*queue)[i], (*queue)[j] = (*queue)[j], (*queue)[i] })
		}
		if len(*queue) == 0 {
			break
		}
		last := len(*queue) - 1
		next := (*queue)[last]
		*queue = (*queue)[:last]
		if next.shuttingDown || s.peers.byName[next.name] != next {
			continue
		}
		s.sendReport(next)
		sent++
	}
	return sent
}

// reportIfDue sends a host a report if it is due or if there is an update.
func (s *Steerer) reportIfDue(p *peer) {
	if p.shuttingDown || (!p.nextReport.Passed(s.now) && !s.peers.reportNow) {
		return
	}
	interval := crossZoneReportInterval
	if p.zone == s.config.AvailabilityZone {
		interval = reportInterval
	}
	if !p.reportedRecently(s.now) {
		interval = seedInterval
	}
	p.nextReport = s.now.Add(interval)
	s.sendReport(p)
}

func (s *Steerer) sendReport(p *peer) { s.emitReport(p, s.buildReport(p)) }

func (s *Steerer) emitReport(p *peer, report *messenger.Report) {
	s.counters.add(ReportsSent)
	s.emit(&SendReport{Host: p.name, Address: p.address, Report: report})
}

// reportToSeeds reports to seed addresses that belong to no known host.
//
// A host without state does so more often. If all hosts start at once, its first report
// arrives before the seeds are up, and it would learn a second later which hosts can send it
// settings and targets.
func (s *Steerer) reportToSeeds() {
	interval := seedInterval
	if !s.canRoute() {
		interval = startSeedInterval
	}
	for _, seed := range s.config.Seeds {
		if seed == s.config.Address || !s.peers.seeds[seed].Passed(s.now) {
			continue
		}
		s.peers.seeds[seed] = s.now.Add(interval)
		if slices.ContainsFunc(s.peers.ordered(), func(p *peer) bool { return p.address == seed }) {
			continue
		}
		s.sendReport(&peer{address: seed})
	}
}

// buildReport builds this host's report to another.
func (s *Steerer) buildReport(to *peer) *messenger.Report {
	r := &messenger.Report{
		Address:            s.config.Address,
		AvailabilityZone:   s.config.AvailabilityZone,
		Incarnation:        s.config.Incarnation,
		Uptime:             s.now.Since(s.config.Start),
		LinkBytesPerSecond: s.config.LinkBytesPerSecond,
		Leaving:            s.shutdown.started,
		SettingsAge:        age(s.now, s.platformReads.settings.confirmed),
		SettingsReadNumber: s.platformReads.settings.confirmedRead,
		SettingsEra:        s.platformReads.settings.era,
		TargetsRevision:    s.targetsPosition.Revision,
		TargetsEra:         s.targetsPosition.Era,
		TargetsAge:         age(s.now, s.platformReads.targets.confirmed),
		TargetsReadNumber:  s.platformReads.targets.confirmedRead,
		TargetsDigest:      s.targetsDigest(),
		SettingsRevision:   s.version(),
		OrdersRevision:     s.evacuator.Orders().Position.Revision,
		OrdersEra:          s.evacuator.Orders().Position.Era,
		EvacuatedZones:     s.evacuator.Orders().Zones,
	}
	s.addGossip(r, to)
	s.addDemands(r, to)
	r.OpenFlows = s.flowsForReport(to)
	for _, t := range s.peers.changes.next() {
		r.TargetChanges = append(r.TargetChanges, s.targetState(t))
	}
	if to.zone == s.config.AvailabilityZone {
		observations := s.observeTargets()
		r.InFlight, r.FastFailing, r.Unreachable = observations.inFlight, observations.fastFailing, observations.unreachable
		r.Slowdowns = s.slowdownReports()
	} else {
		r.ReceiverZoneHosts = len(s.peers.zones.hosts(to.zone))
		s.addLocalZoneFlows(r)
	}
	return r
}

// targetsDigest is the digest of this host's targets as of their position, which hosts can
// compare even if they have learned of different changes since.
func (s *Steerer) targetsDigest() uint64 {
	digest, known := s.targets.digestAt(s.targetsPosition)
	if !known {
		return s.targets.digest()
	}
	return digest
}

// addGossip names some hosts that are presumed alive, different ones each time, with the time
// since each of them last reported to any host. The entry of a host that has crashed keeps
// aging wherever it is passed on. A host without state is sent the names of hosts that have
// state, if there are any.
func (s *Steerer) addGossip(r *messenger.Report, to *peer) {
	all := s.peers.sorted
	if len(all) == 0 {
		return
	}
	timeout := s.aliveTimeout()
	start := s.random.IntN(len(all))
	eligible := func(*peer) bool { return true }
	if !to.hasState() && slices.ContainsFunc(all, (*peer).hasState) {
		eligible = (*peer).hasState
	}
	for i := range all {
		p := all[(start+i)%len(all)]
		s.peers.entriesVisited++
		if p.name == to.name || !p.presumedAlive(s.now, timeout) || !eligible(p) {
			continue
		}
		r.Hosts = append(r.Hosts, messenger.HostHint{Name: p.name, Address: p.address})
		r.HostAgeTenths = append(r.HostAgeTenths, toTenths(s.now.Since(p.lastAlive)))
		r.HostLinkBytesPerSecond = append(r.HostLinkBytesPerSecond, p.linkBytesPerSecond)
		if p.zone == s.config.AvailabilityZone {
			r.HostsInZoneMask |= 1 << (len(r.Hosts) - 1)
		}
		if len(r.Hosts) == maxGossipedHosts {
			break
		}
	}
}

// toTenths converts a duration to tenths of a second, rounded up.
func toTenths(d time.Duration) uint8 {
	return uint8(min((d+gossipAgeUnit-1)/gossipAgeUnit, math.MaxUint8))
}

// applyGossip records the hosts that a report names.
func (s *Steerer) applyGossip(r *messenger.Report) {
	for i, host := range r.Hosts {
		if host.Name == s.config.Self {
			continue
		}
		age := time.Duration(0)
		if i < len(r.HostAgeTenths) {
			age = time.Duration(r.HostAgeTenths[i]) * gossipAgeUnit
		}
		p := s.upsertPeer(host.Name, host.Address, age)
		if p.linkBytesPerSecond == 0 && i < len(r.HostLinkBytesPerSecond) {
			p.linkBytesPerSecond = r.HostLinkBytesPerSecond[i]
		}
		if p.zone == "" && i < maxGossipedHosts && r.HostsInZoneMask&(1<<i) != 0 {
			s.peers.zones.setZone(p, r.AvailabilityZone)
		}
	}
}

// targetObservations is what a host reports of the targets to the others of its zone.
type targetObservations struct {
	// inFlight counts requests in flight by the target's tag. fastFailing and unresponsive are
	// the tags of targets that recently failed implausibly fast, or were found unreachable.
	inFlight    map[uint32]uint16
	fastFailing []uint32
	unreachable []uint32
	// valid is set once the values were computed for the current event.
	valid bool
}

// observeTargets collects, once for all reports of an event, the requests in flight at the
// targets in use, and which of these recently had fast failures or were found unreachable.
func (s *Steerer) observeTargets() *targetObservations {
	if s.ownReport.valid {
		return &s.ownReport
	}
	s.ownReport = targetObservations{inFlight: map[uint32]uint16{}, valid: true}
	for _, t := range s.targetsInUse() {
		if n := t.pendingRequests + t.halfOpen; n > 0 {
			s.ownReport.inFlight[uint32(t.tag)] = uint16(min(n, 1<<16-1))
		}
		if s.recentFastFailures(t) && len(s.ownReport.fastFailing) < maxFastFailures {
			s.ownReport.fastFailing = append(s.ownReport.fastFailing, uint32(t.tag))
		}
		if s.recentlyUnreachable(t) && len(s.ownReport.unreachable) < maxReportedUnreachable {
			s.ownReport.unreachable = append(s.ownReport.unreachable, uint32(t.tag))
		}
	}
	return &s.ownReport
}

// targetState converts a target for a message, as of the era of this host's list.
//
// A host may learn of a change in a new era before it has the list of that era. It sends the
// change as of its own position, so that all that it sends belongs to one era and is
// overridden by any list of the new one.
func (s *Steerer) targetState(t *target) messenger.TargetState {
	seen := t.seenPosition
	if seen.Era > s.targetsPosition.Era {
		seen = s.targetsPosition
	}
	return messenger.TargetState{
		ID: t.ID, Revision: seen.Revision, Service: t.Service, Address: t.Address, AvailabilityZone: t.AvailabilityZone,
		Slots: t.Slots, Draining: t.Draining, Missing: t.missing, WarmUp: max(t.warmUpDeadline.Until(s.now), 0),
		Incarnation: t.Incarnation, Malformed: t.malformed,
	}
}
