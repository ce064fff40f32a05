package steerer

import (
	"encoding/base64"
	"maps"
	"time"

	"cranberryspan.dev/core/sequencer"
	"cranberryspan.dev/core/timekeeper"
	"github.com/cespare/xxhash/v2"
)

const (
	// firstReadShare is the part of the time within which changes must be known that
	// the fleet's knowledge may grow old before its first reader asks the platform
	// again. The rest is for the read, the way from host to host, and one of both
	// that gets lost.
	firstReadShare = 0.3
	// readRankDelay is how much longer each further host waits. It exceeds the
	// time between two reports, so that a host sees the result of the one before
	// it and does not read itself.
	readRankDelay = 350 * time.Millisecond
	// propagationShare is the part of the time that is left for news to reach all from the first
	// reader, for one question to another host, and for hosts that are late.
	propagationShare = 0.3
	// minReadShare is the least part of the time after which a host asks again, and after
	// which one that has heard of newer settings reads them itself.
	minReadShare = 0.08
	// maxReadShare and maxReadSpread say when a host reads for itself however many
	// come before it: from 0.6 to 0.8 of the time, each host at its own part, so
	// that a fleet whose readers died does not read all at once.
	maxReadShare  = 0.6
	maxReadSpread = 0.2
	// fleetStartGrace is how long a host waits for others to tell it all when the
	// whole fleet starts for the first time. Nobody needs it yet, and a large fleet
	// would call the platform twice for each host.
	fleetStartGrace = 2 * time.Second
	// targetsReadHeadStart is how long a first read of the settings waits for the targets at
	// most: for some hundred KB on a small link.
	targetsReadHeadStart = 300 * time.Millisecond
	// minReadBackoff and maxReadBackoff bound the pause after a failed read.
	minReadBackoff = 150 * time.Millisecond
	maxReadBackoff = 1200 * time.Millisecond
	// fleetRetryInterval is the mean time between two failed reads of the same thing by
	// the whole fleet: what came back is noticed within a tenth of a second, a small
	// part of the time that the news then takes from host to host.
	fleetRetryInterval = 100 * time.Millisecond
)

// fromPlatform stands in logs and status for what was read from the platform.
const fromPlatform = "platform"

// source is one of the two things that are read from the platform: what operators have
// published, which is the settings and their orders, and the targets.
type source struct {
	// confirmed is the moment for which this host's knowledge is known to be
	// complete; 0 before any.
	confirmed timekeeper.Instant
	// era is the era of the platform's history that the confirmation belongs to.
	era uint64
	// confirmedBy is "platform", or the host that said so, and confirmedRead the number
	// of the read that has shown it.
	confirmedBy   string
	confirmedRead uint64
	// recentReads are the reads that this host has heard of last, at turn the one that the next
	// takes the place of.
	recentReads    [maxRecentReads]recentRead
	nextRecentRead int
	// staleAt is when a first answer came that may have been seconds old.
	staleAt timekeeper.Instant
	reading bool
	backoff time.Duration
	// retryDeadline is when the next read may begin after a failed one.
	retryDeadline timekeeper.Instant
	// urgent asks for a read whatever the age.
	urgent bool
}

// recentRead is a read of the platform by any host, and the earliest moment at which it
// may have begun, as far as this host was told.
type recentRead struct {
	number uint64
	moment timekeeper.Instant
}

// maxRecentReads is how many reads a host tells apart: more than there are readers between
// two reads of the first.
const maxRecentReads = 16

// confirm takes in that a read, by this host or another, has shown that what is known
// was complete at a moment.
//
// What goes wrong if any later moment is taken: a host's own confirmation comes back from
// another, later by the time that reports are on their way, and is told again. Where
// hosts are busy, knowledge looks fresh for as long as anybody reports, and nobody reads.
// So a read keeps the earliest moment that anybody has told of it.
//
// A confirmation of a newer era takes the place of any: what the older ones show is
// undone. Whoever calls this leaves out those of an era that is known to have ended.
func (src *source) confirm(c confirmation, by string) {
	moment := src.earliestStart(c.read, c.moment)
	if c.era > src.era || (c.era == src.era && moment > src.confirmed) {
		src.confirmed, src.confirmedBy, src.confirmedRead, src.era = moment, by, c.read, c.era
	}
}

// confirmation says that a read of the platform has shown what was complete at a moment.
type confirmation struct {
	// read is the number of the read; 0 if the host that tells of it numbers none.
	read uint64
	// era is that of the platform's history that the read has shown.
	era    uint64
	moment timekeeper.Instant
}

// earliestStart returns the earliest moment told of a read. Hosts that do not number their
// reads tell 0.
func (src *source) earliestStart(read uint64, moment timekeeper.Instant) timekeeper.Instant {
	if read == 0 {
		return moment
	}
	for i := range src.recentReads {
		if recent := &src.recentReads[i]; recent.number == read {
			recent.moment = min(recent.moment, moment)
			return recent.moment
		}
	}
	src.recentReads[src.nextRecentRead] = recentRead{read, moment}
	src.nextRecentRead = (src.nextRecentRead + 1) % maxRecentReads
	return moment
}

// platformReads decides when this host reads the platform.
type platformReads struct {
	settings source
	targets  source
	// era is the newest era of the platform's history that this host has heard of.
	era uint64
	// failedSince is since when the platform has answered neither this host nor one
	// that it learns from; 0 while it does.
	failedSince timekeeper.Instant
	// recoveredAt is when it answered again.
	recoveredAt timekeeper.Instant
}

// delayUntil puts the first reads off.
func (r *platformReads) delayUntil(until timekeeper.Instant) {
	r.settings.retryDeadline = until
	r.targets.retryDeadline = until
}

// due reports whether a source is to be read now. What may be stale is taken to be as
// old as the first reader lets knowledge grow, so that this one reads again at once and
// the others hear of it.
func (src *source) due(now timekeeper.Instant, patience, firstPatience time.Duration) bool {
	if src.reading || !src.retryDeadline.Passed(now) {
		return false
	}
	switch {
	case src.urgent:
		return true
	case src.confirmed != 0:
		return now.Since(src.confirmed) > patience
	case src.staleAt != 0:
		return now.Since(src.staleAt)+firstPatience > patience
	}
	return true
}

// neverRead reports whether nothing was ever learned of a source.
func (src *source) neverRead() bool { return src.confirmed == 0 && src.staleAt == 0 }

func (src *source) begin() {
	src.reading = true
	src.urgent = false
}

// fail takes in that a read has failed. Jitter, from 0 to 1, keeps hosts that lost the
// platform together from coming back together.
func (src *source) fail(now timekeeper.Instant, fleetPause time.Duration, jitter float64) {
	src.reading = false
	src.backoff = min(max(2*src.backoff, minReadBackoff), maxReadBackoff)
	src.retryDeadline = now.Add(time.Duration(float64(max(src.backoff, fleetPause)) * (0.5 + jitter)))
}

// succeed takes in that a read has succeeded.
func (src *source) succeed(now timekeeper.Instant, mayBeStale bool, c confirmation) {
	src.reading = false
	src.backoff = 0
	src.retryDeadline = 0
	if mayBeStale {
		src.staleAt = now
		return
	}
	src.confirm(c, fromPlatform)
}

// readTick starts the reads that are due.
//
// What goes wrong if every host reads for itself: calls grow with the fleet and
// exceed the platform's rate. What goes wrong with long watches: a platform that
// drops its history leaves a watch without news for seconds, unnoticed. So the
// host with the lowest rank among those that hear each other reads often, and
// all learn from its reports. A host that hears nothing new, because readers
// died, were cut off or are turned away, reads for itself.
func (s *Steerer) readTick() {
	settings, targets := &s.reading.settings, &s.reading.targets
	if !s.due(targets, 0, s.config.DrainingPropagationLimit, 0) && !s.due(settings, 0, s.settingsPropagationLimit(), s.transferTime()) {
		return // Not even the first in rank would read now, and a rank takes a look at all hosts.
	}
	rank := s.rank()
	if s.due(targets, rank, s.config.DrainingPropagationLimit, 0) {
		targets.begin()
		s.counts.add(TargetsReads)
		mayBeStale := targets.neverRead() && !s.targetsPosition.Known()
		s.emit(&ReadTargets{ReadOptions{MayBeStale: mayBeStale, Since: s.targetsPosition, Era: s.reading.era}})
	}
	if s.due(settings, rank, s.settingsPropagationLimit(), s.transferTime()) && !s.settingsWaitForTargets() {
		settings.begin()
		s.counts.add(SettingsReads)
		s.emit(&ReadSettings{ReadOptions{MayBeStale: settings.neverRead(), Era: s.reading.era}})
	}
}

// settingsWaitForTargets reports whether the first read of the settings has to wait for that of the
// targets. Open flows, most of what callers do, need the targets only, and share the
// link, and the platform's, with a document that may be far larger.
func (s *Steerer) settingsWaitForTargets() bool {
	return s.reading.settings.neverRead() && s.reading.targets.reading && !s.config.Start.Add(targetsReadHeadStart).Passed(s.now)
}

// due reports whether a source is to be read now, if its changes must be known within
// a time and take some time to arrive.
func (s *Steerer) due(src *source, rank int, within, transfer time.Duration) bool {
	return src.due(s.now, s.maxAge(rank, within, transfer), s.maxAge(0, within, transfer))
}

// transferTime is how long the settings take on this host's link if nothing else does:
// the platform sends them in base64. It is 0 while the link or the settings are unknown.
func (s *Steerer) transferTime() time.Duration {
	if s.config.LinkBytesPerSecond <= 0 {
		return 0
	}
	bytes := base64.StdEncoding.EncodedLen(len(s.document))
	return time.Duration(float64(bytes) / float64(s.config.LinkBytesPerSecond) * float64(time.Second))
}

// fleetRetryDelay is the pause of each host between two reads that fail, so that the fleet
// together makes some ten a second.
//
// What goes wrong without it: the platform is down for some seconds, and three hundred
// hosts ask it five hundred times a second whether it is back. All these calls are in
// its way when it comes back. The first host that reads it tells the others, so each
// need not ask often. A host that hears nobody asks as if it were alone.
func (s *Steerer) fleetRetryDelay() time.Duration {
	return time.Duration(s.alivePeers()) * fleetRetryInterval
}

// maxAge is how old this host's knowledge may grow before it reads, if changes
// must be known within a time and take some time to arrive.
func (s *Steerer) maxAge(rank int, within, transfer time.Duration) time.Duration {
	latest := scale(within, maxReadShare+maxReadSpread*s.hostFraction())
	return min(firstReaderMaxAge(within, transfer)+time.Duration(rank)*readRankDelay, latest)
}

// firstReaderMaxAge is how old the knowledge of the fleet may grow before its first reader
// asks the platform again. What it reads may have to pass two links, one after the other:
// its own, and that of a host to which nobody can tell it.
//
// What goes wrong if it is a part of the time, however long that takes: a document of
// 400 KB needs two seconds on a link of 2 Mbit/s. Hosts of which those around them are
// busy, too, have the newest settings too late. One notices by the hosts that read the
// platform last after each change.
func firstReaderMaxAge(within, transfer time.Duration) time.Duration {
	remaining := within - 2*transfer - scale(within, propagationShare)
	return boundedAge(within, firstReadShare, remaining)
}

// boundedAge is a share of the time within which changes must be known, or what is left
// of that time if it is less, but never too short for others to help.
func boundedAge(within time.Duration, share float64, remaining time.Duration) time.Duration {
	return min(scale(within, share), max(remaining, scale(within, minReadShare)))
}

// scale is a part of a time.
func scale(duration time.Duration, share float64) time.Duration {
	return time.Duration(float64(duration) * share)
}

// hostFraction is this host's own number from 0 to 1, which is as likely to be any as any
// other.
func (s *Steerer) hostFraction() float64 {
	return float64(xxhash.Sum64String(s.config.Self)>>32) / (1 << 32)
}

// recordReadFailure counts a read that failed, and logs when the platform is lost.
func (s *Steerer) recordReadFailure(sourceName string, err error) {
	if err == nil {
		return
	}
	s.counts.add(ReadsFailed)
	if s.reading.failedSince == 0 {
		s.reading.failedSince = s.now
		s.log("platformLost", field("by", sourceName), field("error", err.Error()))
	}
}

// platformRecovered ends an outage of the platform: it has answered this host, or another
// that this one learns from.
func (s *Steerer) platformRecovered(by string) {
	r := &s.reading
	s.log("platformRegained", field("by", by), field("lostMillis", formatMillis(s.now.Since(r.failedSince))))
	r.failedSince = 0
	r.recoveredAt = s.now
}

// finishRead takes in the end of a read that shows a position; what names the source in logs. It
// reports whether what was read is to be taken in: an answer that comes after the news of a
// restore may be from before it.
func (s *Steerer) finishRead(src *source, sourceName string, started timekeeper.Instant, mayBeStale bool, position sequencer.Position, err error) bool {
	s.recordReadFailure(sourceName, err)
	if err != nil {
		src.fail(s.now, s.fleetRetryDelay(), s.random.Float64())
		return false
	}
	if position.Era < s.reading.era {
		src.fail(s.now, s.fleetRetryDelay(), s.random.Float64())
		s.counts.add(ReadsFailed)
		s.log("readSuperseded", field("position", position.String()), field("era", formatUint(s.reading.era)))
		return false
	}
	s.recordEra(position.Era, fromPlatform)
	if s.reading.failedSince != 0 {
		s.platformRecovered(sourceName)
	}
	src.succeed(s.now, mayBeStale, confirmation{s.random.Uint64(), position.Era, started})
	return true
}

// handleSettingsRead takes in the end of a read of what operators have published. A read that
// failed may have brought their orders nevertheless.
func (s *Steerer) handleSettingsRead(e *SettingsRead) {
	accepted := s.finishRead(&s.reading.settings, "settings", e.Started, e.MayBeStale, e.Published.Orders.Position, e.Err)
	if accepted || e.Err != nil {
		orders := e.Published.Orders
		orders.Position = guaranteedPosition(orders.Position, e.MayBeStale)
		s.applyOrders(orders, fromPlatform)
	}
	if !accepted {
		return
	}
	if e.Published.Settings != nil {
		s.applySettings(e.Published.Settings, e.Published.Document, fromPlatform)
	}
	if !e.MayBeStale {
		s.rereadAfterRestore()
	}
	s.announceRead(e.MayBeStale)
}

// guaranteedPosition is the position that the contents of an answer are sure to have reached.
//
// What goes wrong if an answer that may be seconds old is taken for one of the era that it
// names: the store was restored within these seconds, and what the restore has undone stands
// under the new era at a revision that the new history has not reached. All hosts that hear
// of it ignore the platform's lists until it has, and report nothing. So such an answer
// counts for the era before, and gives way to any other of its own.
func guaranteedPosition(position sequencer.Position, mayBeStale bool) sequencer.Position {
	if mayBeStale && position.Era > 0 {
		position.Era--
	}
	return position
}

// announceRead tells the next readers of a read, once for reads that began together.
func (s *Steerer) announceRead(mayBeStale bool) {
	if !mayBeStale && !s.reading.settings.reading && !s.reading.targets.reading {
		s.reportToNextReaders()
	}
}

// applySettings puts a version in force unless a newer one is.
func (s *Steerer) applySettings(settings *Settings, document []byte, from string) {
	if s.settings != nil && settings.Version <= s.settings.Version {
		return
	}
	settings = settings.keepUnreadableRoutes(s.settings)
	if s.settings != nil {
		for _, route := range s.settings.Routes {
			if _, ok := settings.RouteAt(route.Address); !ok {
				s.removedRoutes[route.Address] = true
			}
		}
	}
	for _, route := range settings.Routes {
		delete(s.removedRoutes, route.Address)
	}
	maps.DeleteFunc(s.baselines, func(name string, _ *medianEstimator) bool {
		_, listed := settings.routeByName(name)
		return !listed
	})
	s.forgetProcessingTimes(settings)
	s.settings = settings
	s.document = document
	s.settingsFrom = from
	s.asking.settingsBehindSince = 0
	s.log("settingsAdopted", field("version", formatUint(settings.Version)), field("routes", formatInt(len(settings.Routes))), field("from", from))
	for _, fault := range settings.RouteProblems {
		s.log("routeMalformed", field("route", fault.Route), field("error", fault.Err.Error()), field("version", formatUint(settings.Version)))
	}
	s.peers.reportNow = true
}

// handleTargetsRead takes in the end of a read of the targets.
func (s *Steerer) handleTargetsRead(e *TargetsRead) {
	accepted := s.finishRead(&s.reading.targets, "targets", e.Started, e.MayBeStale, e.List.Position, e.Err)
	if s.reading.settings.neverRead() {
		s.readTick() // They have waited for the targets.
	}
	if !accepted {
		return
	}
	list := e.List
	list.Position = guaranteedPosition(list.Position, e.MayBeStale)
	s.applyTargetList(list)
	if !e.MayBeStale {
		s.rereadAfterRestore()
	}
	s.announceRead(e.MayBeStale)
}
