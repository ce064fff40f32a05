package steerer

import (
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/sequencer"
	"cranberryspan.dev/core/timekeeper"
)

const (
	// askEvery is the least time between the beginnings of two questions to other
	// hosts, askRetryPause the mean pause after one that failed. A host that turns another
	// away does so at once, and the next has room.
	askEvery      = 300 * time.Millisecond
	askRetryPause = 100 * time.Millisecond
	// firstReadPatience is how long a host that has just started waits for its own
	// first reads before it asks others: the platform answers in some milliseconds.
	firstReadPatience = 100 * time.Millisecond
	// usualAnswerPatience is how long a host may take to begin its answer. That takes three
	// round trips, and a few tens of milliseconds of a small processor to compress what is
	// told. While packets wait in this host's own link, by a few hundred milliseconds each
	// way, it is slowAnswerPatience.
	usualAnswerPatience = 500 * time.Millisecond
	slowAnswerPatience  = 2 * time.Second
	// behindShare and behindSpread say how long a host that has heard of newer settings
	// asks others before it reads the platform: at most from 0.3 to 0.5 of the time in
	// which settings must be known, each host at its own part. Half is left for the read.
	behindShare  = 0.3
	behindSpread = 0.2
	// askPatience is how long this host waits for reports to tell it all up to a position
	// that another has reached before it asks. Mostly they do: each change is repeated for
	// longer.
	askPatience = 500 * time.Millisecond
)

// asking is the state of this host's questions to others.
type asking struct {
	// asked says that a question is under way; each is answered or fails.
	asked bool
	// deadline is when the next question may be sent.
	deadline timekeeper.Instant
	// behindSince is since when another host is known to have newer settings; 0 if
	// none is.
	behindSince timekeeper.Instant
	// awaited is a position up to which some host knows all targets, and this one does not
	// since awaitedSince; 0 if there is none.
	awaited      sequencer.Position
	awaitedSince timekeeper.Instant
	// goneLearned says that another host has told which targets are gone.
	goneLearned bool
}

// noteBehind remembers that another host has newer settings.
func (s *Steerer) noteBehind() {
	if s.asking.behindSince == 0 {
		s.asking.behindSince = s.now
	}
}

// askingTick asks another host for what this one lacks, and the platform only if
// nobody answers.
//
// What goes wrong otherwise: a host that starts while the platform is down, or
// turns it away, knows no settings and no targets. It takes no flows, and if the
// fabric hands it packets nevertheless, drops them. And after each change every
// host of the fleet calls the platform at once.
//
// One question is under way at a time: a document of some hundred KB takes a small link
// for longer than askEvery, and several that come at once all come late.
func (s *Steerer) askingTick() {
	s.readIfLeftBehind()
	if s.awaitsFirstReads() || s.asking.asked || !s.asking.deadline.Passed(s.now) {
		return
	}
	p := s.informant()
	if p == nil {
		p = s.goneInformant()
	}
	if p == nil {
		return
	}
	s.asking.asked = true
	s.asking.deadline = s.now.Add(askEvery)
	request := &messenger.SyncRequest{
		SettingsNewerThan: s.version(), IncludeTargets: s.lacksTargets(), IncludeMissing: s.wantsGone(),
		TargetsSince: s.targetsPosition.Revision, TargetsSinceEra: s.targetsPosition.Era,
	}
	s.log("hostAsked", field("peer", p.name), field("version", utoa(s.version())), field("peerVersion", utoa(p.version)),
		field("targets", btoa(request.IncludeTargets)), field("revision", s.targetsPosition.String()), field("peerRevision", p.position.String()))
	s.emit(&AskHost{Host: p.name, Address: p.address, Request: request, Patience: s.answerPatience()})
}

// answerPatience is how long the next question may go without the beginning of an answer.
//
// What goes wrong with a fixed one: a host whose link is full of uploads asks one host
// after the other, gives each up while its answer is on the way, and fills its link with
// beginnings. One notices by a host that gets no answer from anybody for seconds, while
// its reports arrive.
func (s *Steerer) answerPatience() time.Duration {
	if s.path.slow(s.now) {
		return slowAnswerPatience
	}
	return usualAnswerPatience
}

// awaitsFirstReads reports whether the first reads after this host's start may still come in
// time to spare others a question.
func (s *Steerer) awaitsFirstReads() bool {
	reading := s.reading.settings.reading || s.reading.targets.reading
	return reading && !s.config.Start.Add(firstReadPatience).Passed(s.now)
}

// readIfLeftBehind has this host read the platform if nobody has told it the newer
// settings that it has heard of.
//
// What goes wrong if it does so sooner: after each change the whole fleet reads the
// document, of some hundred KB, from the platform at once, though others have it
// compressed and nearer by.
func (s *Steerer) readIfLeftBehind() {
	a := &s.asking
	if a.behindSince == 0 {
		return
	}
	if a.behindSince.Add(s.behindPatience()).Passed(s.now) {
		s.reading.settings.urgent = true
		a.behindSince = s.now
	}
}

// behindPatience is how long this host asks others for newer settings before it reads
// them itself. By the time that it hears of them the first reader has asked for them,
// and has taken them in; the rest has to do for its own read.
func (s *Steerer) behindPatience() time.Duration {
	within, transfer := s.publishedWithin(), s.transferTime()
	share := behindShare + behindSpread*s.ownPart()
	left := within - firstPatience(within, transfer) - 2*transfer - portion(within, newsShare)
	return boundedWait(within, share, left)
}

// informant picks a host that knows what this one lacks, in the own zone if there
// is one; nil if nothing is lacking or nobody knows it.
//
// What goes wrong if all pick the same: after a loss of all hosts everybody asks the
// first one that knows, its link is full, and nobody is answered in time.
func (s *Steerer) informant() *peer {
	newest, position := uint64(0), sequencer.Position{}
	for _, p := range s.peers.recent {
		if p.hears(s.now) && p.position.Known() {
			newest = max(newest, p.version)
			position = position.Later(p.position)
		}
	}
	s.await(position)
	if s.inEndedEra() {
		return s.pickInformant(newest)
	}
	if newest < s.version() || (s.settings != nil && newest == s.version() && !s.lacksTargets()) {
		return nil
	}
	return s.pickInformant(newest)
}

// pickInformant picks one of the hosts with the newest settings, and newer targets
// if those are lacking, at random.
func (s *Steerer) pickInformant(newest uint64) *peer {
	var near, far []*peer
	for _, p := range s.peers.recent {
		if !s.canTell(p, newest) {
			continue
		}
		if p.zone == s.config.AvailabilityZone {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return nil
	}
	return near[s.random.IntN(len(near))]
}

// canTell reports whether a host knows what this one lacks, if newest is the newest version
// of the settings that any has. A host that goes by targets of an era that has ended needs
// those of the newest era more than settings.
func (s *Steerer) canTell(p *peer, newest uint64) bool {
	switch {
	case !p.hears(s.now) || !p.position.Known():
		return false
	case s.inEndedEra():
		return p.position.Era == s.reading.era
	case p.version != newest:
		return false
	}
	return newest > s.version() || s.targetsPosition.Before(p.position)
}

// await remembers since when another host has known all targets up to a position that this
// host has not reached. Later positions begin the time anew: while targets change without
// a pause there is always a later one.
func (s *Steerer) await(newest sequencer.Position) {
	a := &s.asking
	reached := a.awaitedSince != 0 && !s.targetsPosition.Before(a.awaited)
	switch {
	case !s.targetsPosition.Before(newest):
		a.awaitedSince = 0
	case reached || a.awaitedSince == 0:
		a.awaited = newest
		a.awaitedSince = s.now
	}
}

// lacksTargets reports whether others should be asked for their targets.
func (s *Steerer) lacksTargets() bool {
	behind := s.asking.awaitedSince != 0 && s.asking.awaitedSince.Add(askPatience).Passed(s.now)
	return !s.targetsPosition.Known() || s.inEndedEra() || behind
}

// version is that of the settings in force; 0 without any.
func (s *Steerer) version() uint64 {
	if s.settings == nil {
		return 0
	}
	return s.settings.Version
}

// hostAnswered takes in what another host knows. What this host learned itself
// meanwhile stays if it is newer.
func (s *Steerer) hostAnswered(e *HostAnswered) {
	s.asking.asked = false
	if e.Err != nil {
		pause := time.Duration(float64(askRetryPause) * (0.5 + s.random.Float64()))
		s.asking.deadline = s.now.Add(pause)
		s.log("hostNotAnswering", field("peer", e.From), field("error", e.Err.Error()))
		return
	}
	k := e.Knowledge
	if k.MissingComplete {
		s.takeGone(k, e.From)
	}
	if e.Settings != nil {
		s.adopt(e.Settings, e.Document, e.From)
	}
	if k.SettingsRevision == s.version() && k.SettingsRevision != 0 {
		s.confirm(&s.reading.settings, reportedRead{k.SettingsReadNumber, k.SettingsEra, k.SettingsAge}, e.From)
	}
	if k.TargetsRevision != 0 {
		s.takeTargets(k, e.From)
	}
}

// takeTargets takes in the targets that another host knows. An answer from a later era
// than this host's targets is a whole list: changes lead from no era to another. One from
// an era that has ended is better than nothing only.
func (s *Steerer) takeTargets(k *messenger.SyncResponse, from string) {
	position := sequencer.At(k.TargetsEra, k.TargetsRevision)
	if position.Era < s.reading.era && s.targetsPosition.Known() {
		return
	}
	s.noteEra(position.Era, from)
	listed := make(map[string]bool, len(k.Targets))
	for _, state := range k.Targets {
		listed[state.ID] = !state.Missing
		s.takeState(state, k.TargetsEra, from)
	}
	if position.Before(s.targetsPosition) {
		return
	}
	switch {
	case k.Scope == messenger.ScopeFull, !position.ContinuesFrom(s.targetsPosition):
		s.endList(listed, position, from)
	case k.Scope == messenger.ScopeDelta:
		s.targetsPosition = position
	default:
		return // Something may be missing; a later read tells.
	}
	s.confirm(&s.reading.targets, reportedRead{k.TargetsReadNumber, k.TargetsEra, k.TargetsAge}, from)
}

// Knowledge answers another host's question. The document is not compressed yet.
func (s *Steerer) Knowledge(request *messenger.SyncRequest) *messenger.SyncResponse {
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
		k.MissingTargets = s.goneStates()
		k.MissingComplete = true
	}
	if !request.IncludeTargets {
		return k
	}
	k.TargetsRevision = s.targetsPosition.Revision
	k.TargetsAge = age(s.now, s.reading.targets.confirmed)
	k.TargetsReadNumber = s.reading.targets.confirmedRead
	var told []*target
	told, k.Scope = s.toldSince(sequencer.At(request.TargetsSinceEra, request.TargetsSince))
	for _, t := range told {
		k.Targets = append(k.Targets, s.state(t))
	}
	return k
}

// toldSince lists the targets of which a host is told that knows all up to a position.
func (s *Steerer) toldSince(position sequencer.Position) ([]*target, messenger.Scope) {
	if s.targetsPosition.ContinuesFrom(position) && s.targets.history.reaches(position) {
		return s.targets.seenAfter(position), messenger.ScopeDelta
	}
	return s.targets.ordered(), messenger.ScopeFull
}
