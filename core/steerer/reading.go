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
	// readShare is the part of the time within which changes must be known that
	// the fleet's knowledge may grow old before its first reader asks the platform
	// again. The rest is for the read, the way from host to host, and one of both
	// that gets lost.
	readShare = 0.3
	// readRankStep is how much longer each further host waits. It exceeds the
	// time between two reports, so that a host sees the result of the one before
	// it and does not read itself.
	readRankStep = 350 * time.Millisecond
	// newsShare is the part of the time that is left for news to reach all from the first
	// reader, for one question to another host, and for hosts that are late.
	newsShare = 0.3
	// soonestShare is the least part of the time after which a host asks again, and after
	// which one that has heard of newer settings reads them itself.
	soonestShare = 0.08
	// latestShare and latestSpread say when a host reads for itself however many
	// come before it: from 0.6 to 0.8 of the time, each host at its own part, so
	// that a fleet whose readers died does not read all at once.
	latestShare  = 0.6
	latestSpread = 0.2
	// firstStartPatience is how long a host waits for others to tell it all when the
	// whole fleet starts for the first time. Nobody needs it yet, and a large fleet
	// would call the platform twice for each host.
	firstStartPatience = 2 * time.Second
	// targetsHeadStart is how long a first read of the settings waits for the targets at
	// most: for some hundred KB on a small link.
	targetsHeadStart = 300 * time.Millisecond
	// firstReadBackoff and maxReadBackoff bound the pause after a failed read.
	firstReadBackoff = 150 * time.Millisecond
	maxReadBackoff   = 1200 * time.Millisecond
	// fleetRetryEvery is the mean time between two failed reads of the same thing by
	// the whole fleet: what came back is noticed within a tenth of a second, a small
	// part of the time that the news then takes from host to host.
	fleetRetryEvery = 100 * time.Millisecond
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
	// known are the reads that this host has heard of last, at turn the one that the next
	// takes the place of.
	known [knownReads]knownRead
	turn  int
	// staleAt is when a first answer came that may have been seconds old.
	staleAt timekeeper.Instant
	reading bool
	backoff time.Duration
	// retryDeadline is when the next read may begin after a failed one.
	retryDeadline timekeeper.Instant
	// urgent asks for a read whatever the age.
	urgent bool
}

// knownRead is a read of the platform by any host, and the earliest moment at which it
// may have begun, as far as this host was told.
type knownRead struct {
	number uint64
	moment timekeeper.Instant
}

// knownReads is how many reads a host tells apart: more than there are readers between
// two reads of the first.
const knownReads = 16

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
	moment := src.earliest(c.read, c.moment)
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

// earliest returns the earliest moment told of a read. Hosts that do not number their
// reads tell 0.
func (src *source) earliest(read uint64, moment timekeeper.Instant) timekeeper.Instant {
	if read == 0 {
		return moment
	}
	for i := range src.known {
		if one := &src.known[i]; one.number == read {
			one.moment = min(one.moment, moment)
			return one.moment
		}
	}
	src.known[src.turn] = knownRead{read, moment}
	src.turn = (src.turn + 1) % knownReads
	return moment
}

// reading decides when this host reads the platform.
type reading struct {
	settings source
	targets  source
	// era is the newest era of the platform's history that this host has heard of.
	era uint64
	// failedSince is since when the platform has answered neither this host nor one
	// that it learns from; 0 while it does.
	failedSince timekeeper.Instant
	// returnedAt is when it answered again.
	returnedAt timekeeper.Instant
}

// wait puts the first reads off.
func (r *reading) wait(until timekeeper.Instant) {
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

// unread reports whether nothing was ever learned of a source.
func (src *source) unread() bool { return src.confirmed == 0 && src.staleAt == 0 }

func (src *source) begin() {
	src.reading = true
	src.urgent = false
}

// fail takes in that a read has failed. Jitter, from 0 to 1, keeps hosts that lost the
// platform together from coming back together.
func (src *source) fail(now timekeeper.Instant, fleetPause time.Duration, jitter float64) {
	src.reading = false
	src.backoff = min(max(2*src.backoff, firstReadBackoff), maxReadBackoff)
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

// readingTick starts the reads that are due.
//
// What goes wrong if every host reads for itself: calls grow with the fleet and
// exceed the platform's rate. What goes wrong with long watches: a platform that
// drops its history leaves a watch without news for seconds, unnoticed. So the
// host with the lowest rank among those that hear each other reads often, and
// all learn from its reports. A host that hears nothing new, because readers
// died, were cut off or are turned away, reads for itself.
func (s *Steerer) readingTick() {
	settings, targets := &s.reading.settings, &s.reading.targets
	if !s.due(targets, 0, s.config.DrainingWithin, 0) && !s.due(settings, 0, s.publishedWithin(), s.transferTime()) {
		return // Not even the first in rank would read now, and a rank takes a look at all hosts.
	}
	rank := s.rank()
	if s.due(targets, rank, s.config.DrainingWithin, 0) {
		targets.begin()
		s.counts.add(TargetsReads)
		mayBeStale := targets.unread() && !s.targetsPosition.Known()
		s.emit(&ReadTargets{ReadOptions{MayBeStale: mayBeStale, Since: s.targetsPosition, Era: s.reading.era}})
	}
	if s.due(settings, rank, s.publishedWithin(), s.transferTime()) && !s.targetsFirst() {
		settings.begin()
		s.counts.add(SettingsReads)
		s.emit(&ReadSettings{ReadOptions{MayBeStale: settings.unread(), Era: s.reading.era}})
	}
}

// targetsFirst reports whether the first read of the settings has to wait for that of the
// targets. Open flows, most of what callers do, need the targets only, and share the
// link, and the platform's, with a document that may be far larger.
func (s *Steerer) targetsFirst() bool {
	return s.reading.settings.unread() && s.reading.targets.reading && !s.config.Start.Add(targetsHeadStart).Passed(s.now)
}

// due reports whether a source is to be read now, if its changes must be known within
// a time and take some time to arrive.
func (s *Steerer) due(src *source, rank int, within, transfer time.Duration) bool {
	return src.due(s.now, s.patience(rank, within, transfer), s.patience(0, within, transfer))
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

// fleetPause is the pause of each host between two reads that fail, so that the fleet
// together makes some ten a second.
//
// What goes wrong without it: the platform is down for some seconds, and three hundred
// hosts ask it five hundred times a second whether it is back. All these calls are in
// its way when it comes back. The first host that reads it tells the others, so each
// need not ask often. A host that hears nobody asks as if it were alone.
func (s *Steerer) fleetPause() time.Duration {
	return time.Duration(s.hostsHeardOf()) * fleetRetryEvery
}

// patience is how old this host's knowledge may grow before it reads, if changes
// must be known within a time and take some time to arrive.
func (s *Steerer) patience(rank int, within, transfer time.Duration) time.Duration {
	latest := portion(within, latestShare+latestSpread*s.ownPart())
	return min(firstPatience(within, transfer)+time.Duration(rank)*readRankStep, latest)
}

// firstPatience is how old the knowledge of the fleet may grow before its first reader
// asks the platform again. What it reads may have to pass two links, one after the other:
// its own, and that of a host to which nobody can tell it.
//
// What goes wrong if it is a part of the time, however long that takes: a document of
// 400 KB needs two seconds on a link of 2 Mbit/s. Hosts of which those around them are
// busy, too, have the newest settings too late. One notices by the hosts that read the
// platform last after each change.
func firstPatience(within, transfer time.Duration) time.Duration {
	left := within - 2*transfer - portion(within, newsShare)
	return boundedWait(within, readShare, left)
}

// boundedWait is a share of the time within which changes must be known, or what is left
// of that time if it is less, but never too short for others to help.
func boundedWait(within time.Duration, share float64, left time.Duration) time.Duration {
	return min(portion(within, share), max(left, portion(within, soonestShare)))
}

// portion is a part of a time.
func portion(of time.Duration, share float64) time.Duration {
	return time.Duration(float64(of) * share)
}

// ownPart is this host's own number from 0 to 1, which is as likely to be any as any
// other.
func (s *Steerer) ownPart() float64 {
	return float64(xxhash.Sum64String(s.config.Self)>>32) / (1 << 32)
}

// noteFailed counts a read that failed, and logs when the platform is lost.
func (s *Steerer) noteFailed(what string, err error) {
	if err == nil {
		return
	}
	s.counts.add(ReadsFailed)
	if s.reading.failedSince == 0 {
		s.reading.failedSince = s.now
		s.log("platformLost", field("by", what), field("error", err.Error()))
	}
}

// regained ends an outage of the platform: it has answered this host, or another
// that this one learns from.
func (s *Steerer) regained(by string) {
	r := &s.reading
	s.log("platformRegained", field("by", by), field("lostMillis", millis(s.now.Since(r.failedSince))))
	r.failedSince = 0
	r.returnedAt = s.now
}

// endRead takes in the end of a read that shows a position; what names the source in logs. It
// reports whether what was read is to be taken in: an answer that comes after the news of a
// restore may be from before it.
func (s *Steerer) endRead(src *source, what string, started timekeeper.Instant, mayBeStale bool, position sequencer.Position, err error) bool {
	s.noteFailed(what, err)
	if err != nil {
		src.fail(s.now, s.fleetPause(), s.random.Float64())
		return false
	}
	if position.Era < s.reading.era {
		src.fail(s.now, s.fleetPause(), s.random.Float64())
		s.counts.add(ReadsFailed)
		s.log("readSuperseded", field("position", position.String()), field("era", utoa(s.reading.era)))
		return false
	}
	s.noteEra(position.Era, fromPlatform)
	if s.reading.failedSince != 0 {
		s.regained(what)
	}
	src.succeed(s.now, mayBeStale, confirmation{s.random.Uint64(), position.Era, started})
	return true
}

// settingsRead takes in the end of a read of what operators have published. A read that
// failed may have brought their orders nevertheless.
func (s *Steerer) settingsRead(e *SettingsRead) {
	taken := s.endRead(&s.reading.settings, "settings", e.Started, e.MayBeStale, e.Published.Orders.Position, e.Err)
	if taken || e.Err != nil {
		orders := e.Published.Orders
		orders.Position = shownAt(orders.Position, e.MayBeStale)
		s.takeOrders(orders, fromPlatform)
	}
	if !taken {
		return
	}
	if e.Published.Settings != nil {
		s.adopt(e.Published.Settings, e.Published.Document, fromPlatform)
	}
	if !e.MayBeStale {
		s.readRestored()
	}
	s.tellOfRead(e.MayBeStale)
}

// shownAt is the position that the contents of an answer are sure to have reached.
//
// What goes wrong if an answer that may be seconds old is taken for one of the era that it
// names: the store was restored within these seconds, and what the restore has undone stands
// under the new era at a revision that the new history has not reached. All hosts that hear
// of it ignore the platform's lists until it has, and report nothing. So such an answer
// counts for the era before, and gives way to any other of its own.
func shownAt(told sequencer.Position, mayBeStale bool) sequencer.Position {
	if mayBeStale && told.Era > 0 {
		told.Era--
	}
	return told
}

// tellOfRead tells the next readers of a read, once for reads that began together.
func (s *Steerer) tellOfRead(mayBeStale bool) {
	if !mayBeStale && !s.reading.settings.reading && !s.reading.targets.reading {
		s.tellNextReaders()
	}
}

// adopt puts a version in force unless a newer one is.
func (s *Steerer) adopt(settings *Settings, document []byte, from string) {
	if s.settings != nil && settings.Version <= s.settings.Version {
		return
	}
	settings = settings.keeping(s.settings)
	if s.settings != nil {
		for _, route := range s.settings.Routes {
			if _, ok := settings.RouteAt(route.Address); !ok {
				s.removed[route.Address] = true
			}
		}
	}
	for _, route := range settings.Routes {
		delete(s.removed, route.Address)
	}
	maps.DeleteFunc(s.usual, func(name string, _ *usualTime) bool {
		_, listed := settings.named(name)
		return !listed
	})
	s.forgetWork(settings)
	s.settings = settings
	s.document = document
	s.settingsFrom = from
	s.asking.behindSince = 0
	s.log("settingsAdopted", field("version", utoa(settings.Version)), field("routes", itoa(len(settings.Routes))), field("from", from))
	for _, fault := range settings.Faults {
		s.log("routeMalformed", field("route", fault.Route), field("error", fault.Err.Error()), field("version", utoa(settings.Version)))
	}
	s.peers.news = true
}

// targetsRead takes in the end of a read of the targets.
func (s *Steerer) targetsRead(e *TargetsRead) {
	taken := s.endRead(&s.reading.targets, "targets", e.Started, e.MayBeStale, e.List.Position, e.Err)
	if s.reading.settings.unread() {
		s.readingTick() // They have waited for the targets.
	}
	if !taken {
		return
	}
	list := e.List
	list.Position = shownAt(list.Position, e.MayBeStale)
	s.takeList(list)
	if !e.MayBeStale {
		s.readRestored()
	}
	s.tellOfRead(e.MayBeStale)
}
