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
	// firstReadFraction is how old the fleet's state may become before its first reader reads
	// the platform again, as a fraction of the time limit within which changes must be known.
	// The rest is for the read, for the propagation from host to host, and for the loss of
	// one of the two.
	firstReadFraction = 0.3
	// readRankDelay is how much longer each host waits than the one before it in rank. It
	// exceeds the interval between two reports, so that a host sees the result of the one
	// before it and does not read itself.
	readRankDelay = 350 * time.Millisecond
	// propagationFraction is the fraction of the time limit that is left for updates to
	// propagate from the first reader to all hosts, for one sync request, and for slow hosts.
	propagationFraction = 0.3
	// minReadFraction is the minimum fraction of the time limit after which a host reads again,
	// and after which a host that knows of newer settings reads them itself.
	minReadFraction = 0.08
	// maxReadFraction and maxReadSpread determine when a host reads regardless of how many hosts
	// rank before it: at 0.6 to 0.8 of the time limit, at a fixed fraction for each host, so
	// that the hosts of a fleet whose readers have crashed do not all read at once.
	maxReadFraction = 0.6
	maxReadSpread   = 0.2
	// fleetStartGrace is how long a host waits for state from other hosts when the whole
	// fleet starts for the first time. No caller needs it yet, and in a large fleet each host
	// would otherwise read the platform twice.
	fleetStartGrace = 2 * time.Second
	// targetsReadHeadStart limits how long the first read of the settings waits for that of
	// the targets. It is enough for a few hundred KB on a small link.
	targetsReadHeadStart = 300 * time.Millisecond
	// minReadBackoff and maxReadBackoff limit the delay after a failed read.
	minReadBackoff = 150 * time.Millisecond
	maxReadBackoff = 1200 * time.Millisecond
	// fleetRetryInterval is the mean time between two failed reads of the same source by the
	// whole fleet. A recovery is noticed within a tenth of a second, a small fraction of the
	// time that the update then takes from host to host.
	fleetRetryInterval = 100 * time.Millisecond
)

// fromPlatform is the origin, in logs and status, of what was read from the platform.
const fromPlatform = "platform"

// source is the state of the reads of one of the platform's two sources: what operators
// publish, which is the settings and the evacuation orders, and the targets.
type source struct {
	// confirmed is the moment as of which this host's state is known to be complete; 0 before
	// any.
	confirmed timekeeper.Instant
	// era is the era of the platform's store that the confirmation belongs to.
	era uint64
	// confirmedBy is "platform", or the host that reported the confirmation, and
	// confirmedRead the number of the read that it is based on.
	confirmedBy   string
	confirmedRead uint64
	// recentReads holds the reads that this host has learned of last; nextRecentRead is the
	// index of the entry to overwrite next.
	recentReads    [maxRecentReads]recentRead
	nextRecentRead int
	// staleReadAt is when a first response arrived that may have been seconds old.
	staleReadAt timekeeper.Instant
	inFlight    bool
	backoff     time.Duration
	// retryDeadline is when the next read may start after a failed one.
	retryDeadline timekeeper.Instant
	// urgent requests a read regardless of the age.
	urgent bool
}

// recentRead is a read of the platform by any host, with the earliest moment at which it may
// have started, as far as this host knows.
type recentRead struct {
	number uint64
	moment timekeeper.Instant
}

// maxRecentReads is how many reads a host can tell apart: more than all hosts make between
// two reads of the first reader.
const maxRecentReads = 16

// confirm records that a read, by this host or another, has shown that the state was complete
// as of a moment.
//
// A read keeps the earliest moment that any host has reported for it. If a later moment were
// accepted, a host's own confirmation would come back from another host, later by the time
// that reports take, and would be reported again. On busy hosts the state would look current
// for as long as any host reports, and no host would read.
//
// A confirmation of a newer era replaces any other, because what the older ones confirm has
// been undone. Callers leave out confirmations of an era that is known to have ended.
func (src *source) confirm(c confirmation, by string) {
	moment := src.earliestStart(c.read, c.moment)
	if c.era > src.era || (c.era == src.era && moment > src.confirmed) {
		src.confirmed, src.confirmedBy, src.confirmedRead, src.era = moment, by, c.read, c.era
	}
}

// confirmation states that a read of the platform has shown the complete state as of a
// moment.
type confirmation struct {
	// read is the number of the read; 0 if the host that reported it does not number its
	// reads.
	read uint64
	// era is the era of the platform's store that the read has shown.
	era    uint64
	moment timekeeper.Instant
}

// earliestStart returns the earliest moment reported for a read. Hosts that do not number
// their reads report 0.
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

// platformReads determines when this host reads the platform.
type platformReads struct {
	settings source
	targets  source
	// era is the newest era of the platform's store that this host knows of.
	era uint64
	// failedSince is since when the platform has responded neither to this host nor to one
	// that reports to it; 0 while it does.
	failedSince timekeeper.Instant
	// recoveredAt is when it responded again.
	recoveredAt timekeeper.Instant
}

// delayUntil delays the first reads.
func (r *platformReads) delayUntil(until timekeeper.Instant) {
	r.settings.retryDeadline = until
	r.targets.retryDeadline = until
}

// due reports whether to read a source now. State that may be stale is assumed to have the
// age at which the first reader reads again, so that the first reader reads again at once and
// the others learn of it.
func (src *source) due(now timekeeper.Instant, maxAge, firstReaderMaxAge time.Duration) bool {
	if src.inFlight || !src.retryDeadline.Passed(now) {
		return false
	}
	switch {
	case src.urgent:
		return true
	case src.confirmed != 0:
		return now.Since(src.confirmed) > maxAge
	case src.staleReadAt != 0:
		return now.Since(src.staleReadAt)+firstReaderMaxAge > maxAge
	}
	return true
}

// neverRead reports whether nothing was ever learned of a source.
func (src *source) neverRead() bool { return src.confirmed == 0 && src.staleReadAt == 0 }

func (src *source) begin() {
	src.inFlight = true
	src.urgent = false
}

// fail records that a read has failed. The jitter, from 0 to 1, keeps hosts that lost the
// platform at the same time from reading again at the same time.
func (src *source) fail(now timekeeper.Instant, fleetRetryDelay time.Duration, jitter float64) {
	src.inFlight = false
	src.backoff = min(max(2*src.backoff, minReadBackoff), maxReadBackoff)
	src.retryDeadline = now.Add(time.Duration(float64(max(src.backoff, fleetRetryDelay)) * (0.5 + jitter)))
}

// succeed records that a read has succeeded.
func (src *source) succeed(now timekeeper.Instant, mayBeStale bool, c confirmation) {
	src.inFlight = false
	src.backoff = 0
	src.retryDeadline = 0
	if mayBeStale {
		src.staleReadAt = now
		return
	}
	src.confirm(c, fromPlatform)
}

// readTick starts the reads that are due.
//
// If every host read for itself, the calls would grow with the fleet and exceed the
// platform's rate limit. With long-lived watches, a platform that drops its history would
// leave a watch without updates for seconds, unnoticed. So the host with the lowest rank
// among those that receive each other's reports reads often, and all others learn from its
// reports. A host that receives no update, because readers crashed, were partitioned or have
// their reads denied by the platform, reads for itself.
func (s *Steerer) readTick() {
	settings, targets := &s.platformReads.settings, &s.platformReads.targets
	if !s.due(targets, 0, s.config.DrainingPropagationLimit, 0) && !s.due(settings, 0, s.settingsPropagationLimit(), s.transferTime()) {
		return // Not even the first in rank would read now, and computing a rank visits all hosts.
	}
	rank := s.rank()
	if s.due(targets, rank, s.config.DrainingPropagationLimit, 0) {
		targets.begin()
		s.counters.add(TargetsReads)
		mayBeStale := targets.neverRead() && !s.targetsPosition.Known()
		s.emit(&ReadTargets{ReadOptions{MayBeStale: mayBeStale, Since: s.targetsPosition, Era: s.platformReads.era}})
	}
	if s.due(settings, rank, s.settingsPropagationLimit(), s.transferTime()) && !s.settingsWaitForTargets() {
		settings.begin()
		s.counters.add(SettingsReads)
		s.emit(&ReadSettings{ReadOptions{MayBeStale: settings.neverRead(), Era: s.platformReads.era}})
	}
}

// settingsWaitForTargets reports whether the first read of the settings has to wait for that
// of the targets. Open flows are most of the traffic and need only the targets. Read at the
// same time, the settings, which may be far larger, would delay the targets on the links of
// this host and of the platform.
func (s *Steerer) settingsWaitForTargets() bool {
	return s.platformReads.settings.neverRead() && s.platformReads.targets.inFlight && !s.config.Start.Add(targetsReadHeadStart).Passed(s.now)
}

// due reports whether to read a source now, given the time limit for its changes and the time
// that they take to arrive.
func (s *Steerer) due(src *source, rank int, limit, transfer time.Duration) bool {
	return src.due(s.now, s.maxAge(rank, limit, transfer), s.maxAge(0, limit, transfer))
}

// transferTime is how long the settings take on this host's link if nothing else uses it; the
// platform sends them in base64. It is 0 while the link or the settings are unknown.
func (s *Steerer) transferTime() time.Duration {
	if s.config.LinkBytesPerSecond <= 0 {
		return 0
	}
	bytes := base64.StdEncoding.EncodedLen(len(s.document))
	return time.Duration(float64(bytes) / float64(s.config.LinkBytesPerSecond) * float64(time.Second))
}

// fleetRetryDelay is the delay of each host between two failed reads, so that the fleet makes
// about ten a second in total.
//
// Without this, while the platform is down for some seconds, three hundred hosts would read
// it five hundred times a second, and all of these calls would slow down its recovery. The
// first host that reads it informs the others, so that no host needs to read often. A host
// that receives no reports reads as if it were alone.
func (s *Steerer) fleetRetryDelay() time.Duration {
	return time.Duration(s.alivePeers()) * fleetRetryInterval
}

// maxAge is how old this host's state may become before it reads, given the time limit for
// changes and the time that they take to arrive.
func (s *Steerer) maxAge(rank int, limit, transfer time.Duration) time.Duration {
	latest := scale(limit, maxReadFraction+maxReadSpread*s.hostFraction())
	return min(firstReaderMaxAge(limit, transfer)+time.Duration(rank)*readRankDelay, latest)
}

// firstReaderMaxAge is how old the fleet's state may become before its first reader reads the
// platform again. The data may have to pass two links in sequence: the reader's, and that of
// a host to which no other host can send it.
//
// The age is not simply a fraction of the time limit regardless of the transfer time: a
// document of 400 KB takes two seconds on a link of 2 Mbit/s, and a host whose neighbors are
// busy, too, would get the newest settings too late, which shows at the hosts that are the
// last to read the platform after each change.
func firstReaderMaxAge(limit, transfer time.Duration) time.Duration {
	remaining := limit - 2*transfer - scale(limit, propagationFraction)
	return boundedAge(limit, firstReadFraction, remaining)
}

// boundedAge is a fraction of the time limit for changes, or the remaining time if that is
// less, but never so short that other hosts cannot help.
func boundedAge(limit time.Duration, fraction float64, remaining time.Duration) time.Duration {
	return min(scale(limit, fraction), max(remaining, scale(limit, minReadFraction)))
}

// scale returns a fraction of a duration.
func scale(duration time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(duration) * fraction)
}

// hostFraction is a number from 0 to 1 that is fixed for this host and uniformly distributed
// over hosts.
func (s *Steerer) hostFraction() float64 {
	return float64(xxhash.Sum64String(s.config.Self)>>32) / (1 << 32)
}

// recordReadFailure counts a failed read and logs the start of an outage of the platform.
func (s *Steerer) recordReadFailure(sourceName string, err error) {
	if err == nil {
		return
	}
	s.counters.add(ReadsFailed)
	if s.platformReads.failedSince == 0 {
		s.platformReads.failedSince = s.now
		s.log("platformLost", field("by", sourceName), field("error", err.Error()))
	}
}

// platformRecovered ends an outage of the platform: it has responded to this host, or to one
// that reports to it.
func (s *Steerer) platformRecovered(by string) {
	r := &s.platformReads
	s.log("platformRegained", field("by", by), field("lostMillis", formatMillis(s.now.Since(r.failedSince))))
	r.failedSince = 0
	r.recoveredAt = s.now
}

// finishRead completes a read that shows a position; sourceName is the source's name in logs.
// It reports whether to apply the result: a response that arrives after the report of a
// restore may be from before it.
func (s *Steerer) finishRead(src *source, sourceName string, started timekeeper.Instant, mayBeStale bool, position sequencer.Position, err error) bool {
	s.recordReadFailure(sourceName, err)
	if err != nil {
		src.fail(s.now, s.fleetRetryDelay(), s.random.Float64())
		return false
	}
	s.recordContact(fromPlatform)
	if position.Era < s.platformReads.era {
		src.fail(s.now, s.fleetRetryDelay(), s.random.Float64())
		s.counters.add(ReadsFailed)
		s.log("readSuperseded", field("position", position.String()), field("era", formatUint(s.platformReads.era)))
		return false
	}
	s.recordEra(position.Era, fromPlatform)
	if s.platformReads.failedSince != 0 {
		s.platformRecovered(sourceName)
	}
	src.succeed(s.now, mayBeStale, confirmation{s.random.Uint64(), position.Era, started})
	return true
}

// handleSettingsRead completes a read of what operators publish. A read that failed may still
// have returned their evacuation orders.
func (s *Steerer) handleSettingsRead(e *SettingsRead) {
	accepted := s.finishRead(&s.platformReads.settings, "settings", e.Started, e.MayBeStale, e.Published.Orders.Position, e.Err)
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

// guaranteedPosition is the position that the contents of a response have certainly reached.
//
// A response that may be seconds old does not count for the era that it names. If the store
// was restored within these seconds, state that the restore has undone would appear under the
// new era, at a revision that the new history has not reached. All hosts that learn of it
// would ignore the platform's lists until it has, without any log line. So such a response
// counts for the previous era, and is overridden by any other response of its own era.
func guaranteedPosition(position sequencer.Position, mayBeStale bool) sequencer.Position {
	if mayBeStale && position.Era > 0 {
		position.Era--
	}
	return position
}

// announceRead reports a read to the next readers, once for reads that started together.
func (s *Steerer) announceRead(mayBeStale bool) {
	if !mayBeStale && !s.platformReads.settings.inFlight && !s.platformReads.targets.inFlight {
		s.reportToNextReaders()
	}
}

// applySettings puts a version of the settings in force unless a newer one is.
func (s *Steerer) applySettings(settings *Settings, document []byte, from string) {
	if s.settings != nil && settings.Version <= s.settings.Version {
		return
	}
	settings = settings.withMalformedRoutesFrom(s.settings)
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
	s.peerSync.settingsBehindSince = 0
	s.log("settingsAdopted", field("version", formatUint(settings.Version)), field("routes", formatInt(len(settings.Routes))), field("from", from))
	for _, problem := range settings.Faults {
		s.log("routeMalformed", field("route", problem.Route), field("error", problem.Err.Error()), field("version", formatUint(settings.Version)))
	}
	s.peers.reportNow = true
}

// handleTargetsRead completes a read of the targets.
func (s *Steerer) handleTargetsRead(e *TargetsRead) {
	accepted := s.finishRead(&s.platformReads.targets, "targets", e.Started, e.MayBeStale, e.List.Position, e.Err)
	if s.platformReads.settings.neverRead() {
		s.readTick() // The settings have waited for the targets.
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
