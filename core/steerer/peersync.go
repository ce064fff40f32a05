package steerer

import (
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/sequencer"
	"cranberryspan.dev/core/timekeeper"
)

const (
	// syncInterval is the minimum interval between the starts of two sync requests,
	// syncRetryDelay the mean delay after a failed one. A host that is at its limit rejects a
	// request at once, and the next host that is tried has capacity.
	syncInterval   = 300 * time.Millisecond
	syncRetryDelay = 100 * time.Millisecond
	// firstReadGrace is how long a host that has just started waits for its own first reads
	// before it requests state from other hosts. The platform usually responds within
	// milliseconds.
	firstReadGrace = 100 * time.Millisecond
	// syncTimeout is how long a host may take to start its response. That takes three round
	// trips, and a few tens of milliseconds on a small processor to compress the response.
	// While packets queue on this host's own link, adding a few hundred milliseconds in each
	// direction, syncTimeoutSlowLink applies.
	syncTimeout         = 500 * time.Millisecond
	syncTimeoutSlowLink = 2 * time.Second
	// settingsSyncFraction and settingsSyncSpread determine how long a host that knows of newer
	// settings requests them from other hosts before it reads the platform: at most 0.3 to
	// 0.5 of the time limit within which settings must be known, a fixed fraction for each
	// host. Half is left for the read.
	settingsSyncFraction = 0.3
	settingsSyncSpread   = 0.2
	// targetsLagTolerance is how long this host waits for reports to bring it up to a
	// position that another host has reached before it sends a sync request. Reports usually
	// do so, because each change is repeated for longer than this.
	targetsLagTolerance = 500 * time.Millisecond
)

// peerSync is the state of this host's sync requests to other hosts.
type peerSync struct {
	// inFlight is set while a request is in flight. Every request ends with a response or a
	// failure.
	inFlight bool
	// nextRequest is when the next request may be sent.
	nextRequest timekeeper.Instant
	// settingsBehindSince is since when another host is known to have newer settings; 0 if
	// none is.
	settingsBehindSince timekeeper.Instant
	// awaitedPosition is a position up to which another host knows all targets and this host
	// does not, since awaitedSince. awaitedSince is 0 if there is none.
	awaitedPosition sequencer.Position
	awaitedSince    timekeeper.Instant
	// missingTargetsKnown is set once another host has listed the missing targets.
	missingTargetsKnown bool
}

// recordNewerSettings records that another host has newer settings.
func (s *Steerer) recordNewerSettings() {
	if s.peerSync.settingsBehindSince == 0 {
		s.peerSync.settingsBehindSince = s.now
	}
}

// syncTick requests missing or outdated state from another host. The platform is read only if
// no host responds.
//
// Without this, a host that starts while the platform is down or denies its reads has no
// settings and no targets: it accepts no flows, and drops any packets that the fabric sends
// it. In addition, every host of the fleet would read the platform at once after each change.
//
// Only one request is in flight at a time. A document of a few hundred KB occupies a small
// link for longer than syncInterval, and several that arrive at once would all be late.
func (s *Steerer) syncTick() {
	s.readIfPeersDoNotSync()
	if s.awaitingFirstReads() || s.peerSync.inFlight || !s.peerSync.nextRequest.Passed(s.now) {
		return
	}
	p := s.syncPeer()
	if p == nil {
		p = s.pickMissingTargetsPeer()
	}
	if p == nil {
		return
	}
	s.peerSync.inFlight = true
	s.peerSync.nextRequest = s.now.Add(syncInterval)
	request := &messenger.SyncRequest{
		SettingsNewerThan: s.version(), IncludeTargets: s.needsTargets(), IncludeMissing: s.needsMissingTargets(),
		TargetsSince: s.targetsPosition.Revision, TargetsSinceEra: s.targetsPosition.Era,
	}
	s.log("hostAsked", field("peer", p.name), field("version", formatUint(s.version())), field("peerVersion", formatUint(p.version)),
		field("targets", formatBool(request.IncludeTargets)), field("revision", s.targetsPosition.String()), field("peerRevision", p.position.String()))
	s.emit(&SendSyncRequest{Host: p.name, Address: p.address, Request: request, Timeout: s.syncResponseTimeout()})
}

// syncResponseTimeout is how long the next request may go without the start of a response.
//
// With a fixed timeout, a host whose link is saturated by uploads tries one host after
// another, abandons each while its response is on the way, and fills its link with partial
// responses. This shows as a host that gets no response from any other for seconds while
// reports still arrive.
func (s *Steerer) syncResponseTimeout() time.Duration {
	if s.path.slow(s.now) {
		return syncTimeoutSlowLink
	}
	return syncTimeout
}

// awaitingFirstReads reports whether the first reads after this host's start may still
// complete in time to avoid a sync request.
func (s *Steerer) awaitingFirstReads() bool {
	reading := s.platformReads.settings.inFlight || s.platformReads.targets.inFlight
	return reading && !s.config.Start.Add(firstReadGrace).Passed(s.now)
}

// readIfPeersDoNotSync makes this host read the platform if no host has sent it the newer
// settings that it knows to exist.
//
// If it did so earlier, the whole fleet would read the document, of a few hundred KB, from
// the platform after each change, although other hosts have it compressed and closer.
func (s *Steerer) readIfPeersDoNotSync() {
	sync := &s.peerSync
	if sync.settingsBehindSince == 0 {
		return
	}
	if sync.settingsBehindSince.Add(s.settingsSyncTimeout()).Passed(s.now) {
		s.platformReads.settings.urgent = true
		sync.settingsBehindSince = s.now
	}
}

// settingsSyncTimeout is how long this host requests newer settings from other hosts before
// it reads them itself. When it learns of them, the first reader has already requested and
// applied them; the remaining time must suffice for this host's own read.
func (s *Steerer) settingsSyncTimeout() time.Duration {
	limit, transfer := s.settingsPropagationLimit(), s.transferTime()
	fraction := settingsSyncFraction + settingsSyncSpread*s.hostFraction()
	remaining := limit - firstReaderMaxAge(limit, transfer) - 2*transfer - scale(limit, propagationFraction)
	return boundedAge(limit, fraction, remaining)
}

// syncPeer picks a host that has state which this one lacks, preferably in the same zone. It
// returns nil if nothing is lacking or no host has it.
//
// If all hosts picked the same one, then after a loss of all hosts its link would be
// saturated and no host would get its response in time.
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

// pickSyncPeer picks at random one of the hosts with the newest settings, and with newer
// targets if those are lacking.
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

// hasNewerState reports whether a host has state that this one lacks, given the newest
// version of the settings that any host has. A host whose targets belong to an ended era
// needs targets of the newest era more than settings.
func (s *Steerer) hasNewerState(p *peer, newest uint64) bool {
	switch {
	case !p.reportedRecently(s.now) || !p.position.Known():
		return false
	case s.inEndedEra():
		return p.position.Era == s.platformReads.era
	case p.version != newest:
		return false
	}
	return newest > s.version() || s.targetsPosition.Before(p.position)
}

// trackAwaitedPosition tracks since when another host has known all targets up to a position
// that this host has not reached. A later position restarts the time only once the earlier
// one is reached, because there is always a later one while targets change continuously.
func (s *Steerer) trackAwaitedPosition(newest sequencer.Position) {
	sync := &s.peerSync
	reached := sync.awaitedSince != 0 && !s.targetsPosition.Before(sync.awaitedPosition)
	switch {
	case !s.targetsPosition.Before(newest):
		sync.awaitedSince = 0
	case reached || sync.awaitedSince == 0:
		sync.awaitedPosition = newest
		sync.awaitedSince = s.now
	}
}

// needsTargets reports whether to request targets from other hosts.
func (s *Steerer) needsTargets() bool {
	behind := s.peerSync.awaitedSince != 0 && s.peerSync.awaitedSince.Add(targetsLagTolerance).Passed(s.now)
	return !s.targetsPosition.Known() || s.inEndedEra() || behind
}

// version is the version of the settings in force; 0 without any.
func (s *Steerer) version() uint64 {
	if s.settings == nil {
		return 0
	}
	return s.settings.Version
}

// handleSyncResponse applies the state that another host has sent. State that this host
// learned itself in the meantime is kept if it is newer.
func (s *Steerer) handleSyncResponse(e *SyncResponseReceived) {
	s.peerSync.inFlight = false
	if e.Err != nil {
		delay := time.Duration(float64(syncRetryDelay) * (0.5 + s.random.Float64()))
		s.peerSync.nextRequest = s.now.Add(delay)
		s.log("hostNotAnswering", field("peer", e.From), field("error", e.Err.Error()))
		return
	}
	response := e.Response
	if response.MissingComplete {
		s.applyMissingTargets(response, e.From)
	}
	if e.Settings != nil {
		s.applySettings(e.Settings, e.Document, e.From)
	}
	if response.SettingsRevision == s.version() && response.SettingsRevision != 0 {
		s.applyConfirmation(&s.platformReads.settings, reportedRead{response.SettingsReadNumber, response.SettingsEra, response.SettingsAge}, e.From)
	}
	if response.TargetsRevision != 0 {
		s.applyPeerTargets(response, e.From)
	}
}

// applyPeerTargets applies the targets that another host knows. A response from a later era
// than this host's targets is a full list, because changes never span eras. A response from
// an ended era is used only if this host has no targets.
func (s *Steerer) applyPeerTargets(response *messenger.SyncResponse, from string) {
	position := sequencer.At(response.TargetsEra, response.TargetsRevision)
	if position.Era < s.platformReads.era && s.targetsPosition.Known() {
		return
	}
	s.recordEra(position.Era, from)
	listed := make(map[string]bool, len(response.Targets))
	for _, state := range response.Targets {
		listed[state.ID] = !state.Missing
		s.applyTargetState(state, response.TargetsEra, from)
	}
	if position.Before(s.targetsPosition) {
		return
	}
	switch {
	case response.Scope == messenger.ScopeFull, !position.ContinuesFrom(s.targetsPosition):
		s.completeTargetList(listed, position, from)
	case response.Scope == messenger.ScopeDelta:
		s.targetsPosition = position
	default:
		return // The response may be incomplete; a later read fills the gap.
	}
	s.applyConfirmation(&s.platformReads.targets, reportedRead{response.TargetsReadNumber, response.TargetsEra, response.TargetsAge}, from)
}

// SyncResponse builds the response to another host's sync request. The document is not
// compressed yet.
func (s *Steerer) SyncResponse(request *messenger.SyncRequest) *messenger.SyncResponse {
	response := &messenger.SyncResponse{
		SettingsRevision:   s.version(),
		SettingsAge:        age(s.now, s.platformReads.settings.confirmed),
		SettingsReadNumber: s.platformReads.settings.confirmedRead,
		SettingsEra:        s.platformReads.settings.era,
		TargetsEra:         s.targetsPosition.Era,
	}
	if response.SettingsRevision > request.SettingsNewerThan {
		response.CompressedSettings = s.document
	}
	if request.IncludeMissing {
		response.MissingTargets = s.missingTargetStates()
		response.MissingComplete = true
	}
	if !request.IncludeTargets {
		return response
	}
	response.TargetsRevision = s.targetsPosition.Revision
	response.TargetsAge = age(s.now, s.platformReads.targets.confirmed)
	response.TargetsReadNumber = s.platformReads.targets.confirmedRead
	var targets []*target
	targets, response.Scope = s.targetsSince(sequencer.At(request.TargetsSinceEra, request.TargetsSince))
	for _, t := range targets {
		response.Targets = append(response.Targets, s.targetState(t))
	}
	return response
}

// targetsSince lists the targets to send to a host that knows all up to a position.
func (s *Steerer) targetsSince(position sequencer.Position) ([]*target, messenger.Scope) {
	if s.targetsPosition.ContinuesFrom(position) && s.targets.history.covers(position) {
		return s.targets.changedSince(position), messenger.ScopeDelta
	}
	return s.targets.ordered(), messenger.ScopeFull
}
