package steerer

import (
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/sequencer"
	"cranberryspan.dev/core/timekeeper"
)

const (
	// syncInterval is the least time between the beginnings of two questions to other
	// hosts, syncRetryDelay the mean pause after one that failed. A host that turns another
	// away does so at once, and the next has room.
	syncInterval   = 300 * time.Millisecond
	syncRetryDelay = 100 * time.Millisecond
	// firstReadGrace is how long a host that has just started waits for its own
	// first reads before it asks others: the platform answers in some milliseconds.
	firstReadGrace = 100 * time.Millisecond
	// syncTimeout is how long a host may take to begin its answer. That takes three
	// round trips, and a few tens of milliseconds of a small processor to compress what is
	// told. While packets wait in this host's own link, by a few hundred milliseconds each
	// way, it is syncTimeoutSlowLink.
	syncTimeout         = 500 * time.Millisecond
	syncTimeoutSlowLink = 2 * time.Second
	// settingsSyncShare and settingsSyncSpread say how long a host that has heard of newer settings
	// asks others before it reads the platform: at most from 0.3 to 0.5 of the time in
	// which settings must be known, each host at its own part. Half is left for the read.
	settingsSyncShare  = 0.3
	settingsSyncSpread = 0.2
	// targetsLagTolerance is how long this host waits for reports to tell it all up to a position
	// that another has reached before it asks. Mostly they do: each change is repeated for
	// longer.
	targetsLagTolerance = 500 * time.Millisecond
)

// peerSync is the state of this host's questions to others.
type peerSync struct {
	// inFlight says that a question is under way; each is answered or fails.
	inFlight bool
	// nextRequest is when the next question may be sent.
	nextRequest timekeeper.Instant
	// settingsBehindSince is since when another host is known to have newer settings; 0 if
	// none is.
	settingsBehindSince timekeeper.Instant
	// awaitedPosition is a position up to which some host knows all targets, and this one does not
	// since awaitedSince; 0 if there is none.
	awaitedPosition sequencer.Position
	awaitedSince    timekeeper.Instant
	// missingTargetsKnown says that another host has told which targets are gone.
	missingTargetsKnown bool
}

// recordNewerSettings remembers that another host has newer settings.
func (s *Steerer) recordNewerSettings() {
	if s.asking.settingsBehindSince == 0 {
		s.asking.settingsBehindSince = s.now
	}
}

// syncTick asks another host for what this one lacks, and the platform only if
// nobody answers.
//
// What goes wrong otherwise: a host that starts while the platform is down, or
// turns it away, knows no settings and no targets. It takes no flows, and if the
// fabric hands it packets nevertheless, drops them. And after each change every
// host of the fleet calls the platform at once.
//
// One question is under way at a time: a document of some hundred KB takes a small link
// for longer than syncInterval, and several that come at once all come late.
func (s *Steerer) syncTick() {
	s.readIfPeersDoNotSync()
	if s.awaitingFirstReads() || s.asking.inFlight || !s.asking.nextRequest.Passed(s.now) {
		return
	}
	p := s.syncPeer()
	if p == nil {
		p = s.pickMissingTargetsPeer()
	}
	if p == nil {
		return
	}
	s.asking.inFlight = true
	s.asking.nextRequest = s.now.Add(syncInterval)
	request := &messenger.SyncRequest{
		SettingsNewerThan: s.version(), IncludeTargets: s.needsTargets(), IncludeMissing: s.needsMissingTargets(),
		TargetsSince: s.targetsPosition.Revision, TargetsSinceEra: s.targetsPosition.Era,
	}
	s.log("hostAsked", field("peer", p.name), field("version", formatUint(s.version())), field("peerVersion", formatUint(p.version)),
		field("targets", formatBool(request.IncludeTargets)), field("revision", s.targetsPosition.String()), field("peerRevision", p.position.String()))
	s.emit(&SendSyncRequest{Host: p.name, Address: p.address, Request: request, Timeout: s.syncResponseTimeout()})
}

// syncResponseTimeout is how long the next question may go without the beginning of an answer.
//
// What goes wrong with a fixed one: a host whose link is full of uploads asks one host
// after the other, gives each up while its answer is on the way, and fills its link with
// beginnings. One notices by a host that gets no answer from anybody for seconds, while
// its reports arrive.
func (s *Steerer) syncResponseTimeout() time.Duration {
	if s.path.slow(s.now) {
		return syncTimeoutSlowLink
	}
	return syncTimeout
}

// awaitingFirstReads reports whether the first reads after this host's start may still come in
// time to spare others a question.
func (s *Steerer) awaitingFirstReads() bool {
	reading := s.reading.settings.reading || s.reading.targets.reading
	return reading && !s.config.Start.Add(firstReadGrace).Passed(s.now)
}

// readIfPeersDoNotSync has this host read the platform if nobody has told it the newer
// settings that it has heard of.
//
// What goes wrong if it does so sooner: after each change the whole fleet reads the
// document, of some hundred KB, from the platform at once, though others have it
// compressed and nearer by.
func (s *Steerer) readIfPeersDoNotSync() {
	a := &s.asking
	if a.settingsBehindSince == 0 {
		return
	}
	if a.settingsBehindSince.Add(s.settingsSyncTimeout()).Passed(s.now) {
		s.reading.settings.urgent = true
		a.settingsBehindSince = s.now
	}
}

// settingsSyncTimeout is how long this host asks others for newer settings before it reads
// them itself. By the time that it hears of them the first reader has asked for them,
// and has taken them in; the rest has to do for its own read.
func (s *Steerer) settingsSyncTimeout() time.Duration {
	within, transfer := s.settingsPropagationLimit(), s.transferTime()
	share := settingsSyncShare + settingsSyncSpread*s.hostFraction()
	remaining := within - firstReaderMaxAge(within, transfer) - 2*transfer - scale(within, propagationShare)
	return boundedAge(within, share, remaining)
}

// syncPeer picks a host that knows what this one lacks, in the own zone if there
// is one; nil if nothing is lacking or nobody knows it.
//
// What goes wrong if all pick the same: after a loss of all hosts everybody asks the
// first one that knows, its link is full, and nobody is answered in time.
func (s *Steerer) syncPeer() *peer {
	newestVersion, position := uint64(0), sequencer.Position{}
	for _, p := range s.peers.recent {
		if p.reportedRecently(s.now) && p.position.Known() {
			newestVersion = max(newestVersion, p.version)
			position = position.Later(p.position)
		}
	}
	s.trackAwaitedPosition(position)
	if s.inEndedEra() {
		return s.pickSyncPeer(newestVersion)
	}
	if newestVersion < s.version() || (s.settings != nil && newestVersion == s.version() && !s.needsTargets()) {
		return nil
	}
	return s.pickSyncPeer(newestVersion)
}

// pickSyncPeer picks one of the hosts with the newest settings, and newer targets
// if those are lacking, at random.
func (s *Steerer) pickSyncPeer(newest uint64) *peer {
	var sameZone, otherZones []*peer
	for _, p := range s.peers.recent {
		if !s.hasNewerState(p, newest) {
			continue
		}
		if p.zone == s.config.AvailabilityZone {
			sameZone = append(sameZone, p)
		} else {
			otherZones = append(otherZones, p)
		}
	}
	if len(sameZone) == 0 {
		sameZone = otherZones
	}
	if len(sameZone) == 0 {
		return nil
	}
	return sameZone[s.random.IntN(len(sameZone))]
}

// hasNewerState reports whether a host knows what this one lacks, if newest is the newest version
// of the settings that any has. A host that goes by targets of an era that has ended needs
// those of the newest era more than settings.
func (s *Steerer) hasNewerState(p *peer, newest uint64) bool {
	switch {
	case !p.reportedRecently(s.now) || !p.position.Known():
		return false
	case s.inEndedEra():
		return p.position.Era == s.reading.era
	case p.version != newest:
		return false
	}
	return newest > s.version() || s.targetsPosition.Before(p.position)
}

// trackAwaitedPosition remembers since when another host has known all targets up to a position that this
// host has not reached. Later positions begin the time anew: while targets change without
// a pause there is always a later one.
func (s *Steerer) trackAwaitedPosition(newest sequencer.Position) {
	a := &s.asking
	reached := a.awaitedSince != 0 && !s.targetsPosition.Before(a.awaitedPosition)
	switch {
	case !s.targetsPosition.Before(newest):
		a.awaitedSince = 0
	case reached || a.awaitedSince == 0:
		a.awaitedPosition = newest
		a.awaitedSince = s.now
	}
}

// needsTargets reports whether others should be asked for their targets.
func (s *Steerer) needsTargets() bool {
	behind := s.asking.awaitedSince != 0 && s.asking.awaitedSince.Add(targetsLagTolerance).Passed(s.now)
	return !s.targetsPosition.Known() || s.inEndedEra() || behind
}

// version is that of the settings in force; 0 without any.
func (s *Steerer) version() uint64 {
	if s.settings == nil {
		return 0
	}
	return s.settings.Version
}

// handleSyncResponse takes in what another host knows. What this host learned itself
// meanwhile stays if it is newer.
func (s *Steerer) handleSyncResponse(e *SyncResponseReceived) {
	s.asking.inFlight = false
	if e.Err != nil {
		pause := time.Duration(float64(syncRetryDelay) * (0.5 + s.random.Float64()))
		s.asking.nextRequest = s.now.Add(pause)
		s.log("hostNotAnswering", field("peer", e.From), field("error", e.Err.Error()))
		return
	}
	k := e.Knowledge
	if k.MissingComplete {
		s.applyMissingTargets(k, e.From)
	}
	if e.Settings != nil {
		s.applySettings(e.Settings, e.Document, e.From)
	}
	if k.SettingsRevision == s.version() && k.SettingsRevision != 0 {
		s.applyConfirmation(&s.reading.settings, reportedRead{k.SettingsReadNumber, k.SettingsEra, k.SettingsAge}, e.From)
	}
	if k.TargetsRevision != 0 {
		s.applyPeerTargets(k, e.From)
	}
}

// applyPeerTargets takes in the targets that another host knows. An answer from a later era
// than this host's targets is a whole list: changes lead from no era to another. One from
// an era that has ended is better than nothing only.
func (s *Steerer) applyPeerTargets(k *messenger.SyncResponse, from string) {
	position := sequencer.At(k.TargetsEra, k.TargetsRevision)
	if position.Era < s.reading.era && s.targetsPosition.Known() {
		return
	}
	s.recordEra(position.Era, from)
	listed := make(map[string]bool, len(k.Targets))
	for _, state := range k.Targets {
		listed[state.ID] = !state.Missing
		s.applyTargetState(state, k.TargetsEra, from)
	}
	if position.Before(s.targetsPosition) {
		return
	}
	switch {
	case k.Scope == messenger.ScopeFull, !position.ContinuesFrom(s.targetsPosition):
		s.completeTargetList(listed, position, from)
	case k.Scope == messenger.ScopeDelta:
		s.targetsPosition = position
	default:
		return // Something may be missing; a later read tells.
	}
	s.applyConfirmation(&s.reading.targets, reportedRead{k.TargetsReadNumber, k.TargetsEra, k.TargetsAge}, from)
}

// SyncResponse answers another host's question. The document is not compressed yet.
func (s *Steerer) SyncResponse(request *messenger.SyncRequest) *messenger.SyncResponse {
	k := &messenger.SyncResponse{
		SettingsRevision:   s.version(),
		SettingsAge:        age(s.now, s.reading.settings.confirmed),
		SettingsReadNumber: s.reading.settings.confirmedRead,
		SettingsEra:        s.reading.settings.era,
		TargetsEra:         s.targetsPosition.Era,
	}
	if k.SettingsRevision > request.SettingsNewerThan {
		k.CompressedSettings = s.document
	}
	if request.IncludeMissing {
		k.MissingTargets = s.missingTargetStates()
		k.MissingComplete = true
	}
	if !request.IncludeTargets {
		return k
	}
	k.TargetsRevision = s.targetsPosition.Revision
	k.TargetsAge = age(s.now, s.reading.targets.confirmed)
	k.TargetsReadNumber = s.reading.targets.confirmedRead
	var targets []*target
	targets, k.Scope = s.targetsSince(sequencer.At(request.TargetsSinceEra, request.TargetsSince))
	for _, t := range targets {
		k.Targets = append(k.Targets, s.targetState(t))
	}
	return k
}

// targetsSince lists the targets of which a host is told that knows all up to a position.
func (s *Steerer) targetsSince(position sequencer.Position) ([]*target, messenger.Scope) {
	if s.targetsPosition.ContinuesFrom(position) && s.targets.history.covers(position) {
		return s.targets.changedSince(position), messenger.ScopeDelta
	}
	return s.targets.ordered(), messenger.ScopeFull
}
