// Package limiter decides how many more flows a host may open at a target that holds only
// so many.
//
// The pattern: a target holds a bounded number of flows. Once it is full it says nothing
// to an opening packet, so it looks like one that has crashed. A flow holds its place
// while it idles, for many times as long as its requests take. All hosts of a fleet place
// flows on the same targets; no host sees what the others hold, and a host that starts
// again has forgotten what it held itself.
//
// The answer: each host counts its own flows and tells the hosts of the target's
// availability zone. A host adds up what it was told, and estimates what it was not told:
// the fabric spreads callers evenly over the hosts of a zone, so one that says nothing
// holds about as many as the others do. What hosts told before they started again counts on
// until such flows have ended or sent something. If a target turns out to be full all the
// same, the difference counts as unseen flows, fewer with time.
//
// What was weighed: a fixed part of the bound for each host needs no messages, but leaves
// places idle at hosts with few callers, and is wrong as soon as hosts come and go. If hosts
// told only how many flows they have at each service, and took these to be spread evenly
// over its targets, they would miss targets that have just started, and flows from other
// zones.
//
// The package knows no network and no clock.
package limiter

import (
	"encoding/binary"
	"math"
	"time"

	"cranberryspan.dev/core/timekeeper"
	"github.com/cespare/xxhash/v2"
)

const (
	// NearEvery is the time between two rounds in which a host tells hosts of its zone.
	NearEvery = 250 * time.Millisecond
	// NearFanout is how many of them it tells in a round where there are many.
	NearFanout = 3
	// minSilence is after how long a host of the own zone that tells nothing is taken to
	// have ended, where all are told in each round: many of its reports in a row would have
	// been lost. Its callers' flows come to other hosts as they send something.
	minSilence = 4 * time.Second
	// turnsMissed is the same for a large zone, in passes of the rounds over all its hosts:
	// a host that is first in one pass may be last in the next.
	turnsMissed = 2
	// turnSpan is how long hosts that have their turn at the last places of a target keep
	// it: as long as their news takes to the others.
	turnSpan = time.Second
)

// Bound is what a target holds, as one flow asks for it.
type Bound struct {
	// Flows is how many flows a target holds at once.
	Flows int
	// Reserved is how many of them are kept for others than the flow that asks: liveness
	// checks, and flows of higher priority.
	Reserved int
	// Brief says that the flow leaves its place so soon that it need not wait for a turn.
	Brief bool
}

// Guess is what stands for flows at a target of which nobody tells.
type Guess struct {
	// PerHost is how many flows a host of the target's zone has there that tells nothing.
	PerHost float64
	// Growth is how many flows a host of the target's zone has placed there since it was
	// last heard: as many as this host has, since callers are spread evenly.
	Growth float64
	// Least is how many flows the targets of another zone have on average, by word of that
	// zone.
	Least int
}

// Belief is what a host takes the flows at a target to be.
type Belief struct {
	// Own are flows through this host.
	Own int
	// Told are those that other hosts tell of.
	Told int
	// Estimated are those that nobody tells of.
	Estimated int
}

// Sum is all flows at the target.
func (b Belief) Sum() int { return b.Own + b.Told + b.Estimated }

// Word is what another host tells of its flows.
type Word struct {
	// Incarnation differs between two starts of the host.
	Incarnation uint64
	// Near says that the host is of this host's availability zone.
	Near bool
	// Flows are the host's flows by target. A target that is left out holds as many as
	// were told last.
	Flows map[uint32]uint16
	// Partial says that the host has flows at more targets than it could tell of.
	Partial bool
}

// Limiter is what one host knows of the flows at all targets. It belongs to one owner.
type Limiter struct {
	// seed differs by host.
	seed  uint64
	start timekeeper.Instant
	// idle is after how long a flow that sends nothing has ended.
	idle    time.Duration
	targets map[uint32]*Target
	holders map[string]*holder
	// living counts the other hosts of the own zone that live.
	living int
	// tellers counts the other hosts of the own zone that have told of their flows of late.
	tellers int
	// whole counts those of the tellers that have told of all their flows.
	whole int
}

// holder is another host that has told what it holds.
type holder struct {
	incarnation uint64
	near        bool
	// partial says that the host holds flows at targets of which it has not told.
	partial bool
	// silent says that nothing was heard of it for too long; its flows end bit by bit.
	silent bool
	heard  timekeeper.Instant
	// flows is what the host has told last, by target.
	flows map[uint32]uint16
	// former is what the host held before it started again, at formerSince. Its flows are
	// still at the targets, but the host knows of them only once they send something.
	former      map[uint32]uint16
	formerSince timekeeper.Instant
	// counted is how many flows the host adds to Target.told, by target.
	counted map[uint32]int
}

// Target is what one host knows of the flows at a target.
type Target struct {
	// own counts the open flows through this host.
	own int
	// told counts the flows that other hosts tell of.
	told int
	// partial counts the hosts of the own zone that have told of this target, of those that
	// have not told of all.
	partial int
	// net is how many more flows this host has placed there than have ended.
	net int
	// freed counts places that this host's flows have left of late, the last at freedAt.
	freed   int
	freedAt timekeeper.Instant
	// placedAt is when this host last placed a flow there.
	placedAt timekeeper.Instant
	// used says that this host has placed a flow there.
	used bool
	// unseen counts flows that nobody tells of and that fill the target nevertheless, as
	// of unseenSince.
	unseen      int
	unseenSince timekeeper.Instant
}

// New makes the Limiter of a host that started at a moment.
func New(self string, start timekeeper.Instant, idle time.Duration) *Limiter {
	return &Limiter{
		seed: xxhash.Sum64String(self), start: start, idle: idle,
		targets: map[uint32]*Target{}, holders: map[string]*holder{},
	}
}

// Target returns the record of a target, which it makes if there is none.
func (l *Limiter) Target(tag uint32) *Target {
	t, ok := l.targets[tag]
	if !ok {
		t = &Target{}
		l.targets[tag] = t
	}
	return t
}

// Forget drops what is known of a target that has ended, or has started again.
func (l *Limiter) Forget(tag uint32) {
	for _, h := range l.holders {
		l.unlist(h, tag)
		delete(h.former, tag)
		delete(h.counted, tag)
	}
	delete(l.targets, tag)
}

// SetIdle changes after how long a flow that sends nothing has ended.
func (l *Limiter) SetIdle(idle time.Duration) { l.idle = idle }

// SetNear takes in how many other hosts of the own zone live.
func (l *Limiter) SetNear(living int) { l.living = living }

// silence is after how long a host of the own zone that tells nothing has ended.
func (l *Limiter) silence() time.Duration {
	rounds := (l.others() + NearFanout - 1) / NearFanout
	return max(minSilence, turnsMissed*time.Duration(rounds)*NearEvery)
}

// others is how many other hosts the own zone has.
func (l *Limiter) others() int { return max(l.living, l.tellers) }

// Told reports whether any other host has told of its flows of late.
func (l *Limiter) Told() bool { return len(l.holders) > 0 }

// Tellers is how many hosts of the own zone have told what they hold at a target, be it
// nothing.
func (l *Limiter) Tellers(t *Target) int { return l.whole + t.partial }

// PerHost is how many flows at a target a host of the own zone has on average, given this
// host's flows at some of the zone's targets, those that it was told of, and the sum of the
// targets' tellers. What others have goes first: this host may have started just now.
func (l *Limiter) PerHost(own, told, targets, tellers int) float64 {
	if tellers > 0 {
		return float64(told) / float64(tellers)
	}
	return float64(own) / float64(max(targets, 1))
}

// Own is how many open flows at a target go through this host.
func (t *Target) Own() int { return t.own }

// Net is how many more flows this host has placed at a target than have ended.
func (t *Target) Net() int { return t.net }

// Told is how many flows at a target other hosts tell of.
func (t *Target) Told() int { return t.told }

// Placed counts a flow that this host has placed at the target.
func (t *Target) Placed(now timekeeper.Instant) {
	t.Seen()
	t.net++
	t.placedAt = now
	t.freed = max(t.freed-1, 0)
}

// Seen counts a flow that goes on through this host and that it did not know of.
func (t *Target) Seen() {
	t.own++
	t.used = true
}

// Ended takes back a flow that Placed counted, and that has left its place.
func (t *Target) Ended(now timekeeper.Instant) {
	t.net--
	t.Left(now)
}

// Left takes back a flow that Seen counted, and that has left its place.
func (t *Target) Left(now timekeeper.Instant) {
	t.own = max(t.own-1, 0)
	t.freed++
	t.freedAt = now
}

// Withdrawn takes back a flow that Placed counted, and that holds no place: it has not opened.
func (t *Target) Withdrawn() {
	t.own = max(t.own-1, 0)
	t.net--
}

// Take takes in what another host tells.
func (l *Limiter) Take(host string, w Word, now timekeeper.Instant) {
	h, ok := l.holders[host]
	if !ok {
		h = &holder{incarnation: w.Incarnation, near: w.Near, flows: map[uint32]uint16{}, counted: map[uint32]int{}}
		l.holders[host] = h
		l.countTeller(h, 1)
	}
	if h.incarnation != w.Incarnation {
		l.retire(h)
		h.incarnation = w.Incarnation
	}
	l.hear(h, w, now)
	for tag, n := range w.Flows {
		if _, listed := h.flows[tag]; !listed && h.tellsPart() {
			l.Target(tag).partial++
		}
		h.flows[tag] = n
		l.count(h, tag, now)
	}
}

// hear takes in that a host tells something.
func (l *Limiter) hear(h *holder, w Word, now timekeeper.Instant) {
	back := h.silent
	l.countTeller(h, -1)
	h.silent, h.partial, h.heard = false, w.Partial, now
	l.countTeller(h, 1)
	if !back {
		return
	}
	for tag := range h.flows {
		l.count(h, tag, now)
	}
}

// countTeller adds a host to those that tell, or takes it out.
func (l *Limiter) countTeller(h *holder, by int) {
	switch {
	case !h.near || h.silent:
		return
	case h.partial:
		for tag := range h.flows {
			l.Target(tag).partial += by
		}
	default:
		l.whole += by
	}
	l.tellers += by
}

// tellsPart reports whether a host counts as one that tells only of the targets it has listed.
func (h *holder) tellsPart() bool { return h.near && !h.silent && h.partial }

// unlist forgets what a host has told of a target.
func (l *Limiter) unlist(h *holder, tag uint32) {
	if _, listed := h.flows[tag]; listed && h.tellsPart() {
		l.Target(tag).partial--
	}
	delete(h.flows, tag)
}

// retire marks what a host has told as what it held before it started again. Of what it held
// before that, the rest counts on.
func (l *Limiter) retire(h *holder) {
	if len(h.flows) == 0 {
		return
	}
	l.countTeller(h, -1)
	for tag, n := range h.former {
		h.flows[tag] = max(h.flows[tag], uint16(l.remaining(int(n), h.formerSince, h.heard)))
	}
	h.former, h.formerSince = h.flows, h.heard
	h.flows = map[uint32]uint16{}
	l.countTeller(h, 1)
}

// count replaces what stands for a host at a target.
func (l *Limiter) count(h *holder, tag uint32, now timekeeper.Instant) {
	told := int(h.flows[tag])
	if h.silent {
		told = l.remaining(told, h.heard, now)
	}
	n := max(told, l.remaining(int(h.former[tag]), h.formerSince, now))
	l.Target(tag).told += n - h.counted[tag]
	if n == 0 {
		delete(h.counted, tag)
		return
	}
	h.counted[tag] = n
}

// remaining is how many of some flows are still open, if nothing was heard of them since a
// moment: they are taken to end at an even rate until the idle time is over.
func (l *Limiter) remaining(flows int, since, now timekeeper.Instant) int {
	span := l.idle - now.Since(since)
	if flows == 0 || span <= 0 {
		return 0
	}
	return int(float64(flows)*float64(span)/float64(l.idle) + 0.5)
}

// Sweep lets what was told grow old. It has to be called several times within the idle time.
func (l *Limiter) Sweep(now timekeeper.Instant) {
	silence := l.silence()
	for name, h := range l.holders {
		if now.Since(h.heard) > max(l.idle, silence) {
			l.drop(name, h)
			continue
		}
		if h.near && !h.silent && now.Since(h.heard) > silence {
			l.countTeller(h, -1)
			h.silent = true
		}
		if h.silent {
			for tag := range h.flows {
				l.count(h, tag, now)
			}
		}
		if len(h.former) == 0 {
			continue
		}
		for tag := range h.former {
			l.count(h, tag, now)
		}
		if now.Since(h.formerSince) > l.idle {
			h.former = nil
		}
	}
}

// drop forgets a host. Its callers' flows have gone to others, or have ended.
func (l *Limiter) drop(name string, h *holder) {
	for tag, n := range h.counted {
		l.Target(tag).told -= n
	}
	l.countTeller(h, -1)
	delete(l.holders, name)
}

// Belief is what this host takes the flows at a target to be, if the target holds at most
// bound of them.
func (l *Limiter) Belief(t *Target, bound int, g Guess, now timekeeper.Instant) Belief {
	b := Belief{Own: t.own, Told: t.told}
	tellers := l.Tellers(t)
	others := g.PerHost*float64(max(l.others()-tellers, 0)) + g.Growth*float64(tellers)
	b.Estimated = l.forgotten(t, now) + int(others+0.5)
	b.Estimated = max(b.Estimated, g.Least-b.Own-b.Told)
	// No target holds more than its bound, so what has been told of since is unseen no more.
	unseen := min(l.remaining(t.unseen, t.unseenSince, now), max(bound-b.Sum(), 0))
	if unseen == 0 {
		t.unseen = 0
	}
	b.Estimated += unseen
	return b
}

// forgotten estimates how many flows this host's callers hold that it has not seen since it
// started: as many as those of another host of the zone, fewer with time.
func (l *Limiter) forgotten(t *Target, now timekeeper.Instant) int {
	tellers := l.Tellers(t)
	if tellers == 0 || t.told == 0 {
		return 0
	}
	return max(l.remaining(t.told/tellers, l.start, now)-t.own, 0)
}

// Room is how many more flows this host may place at a target; 0 if none.
func (l *Limiter) Room(t *Target, b Bound, g Guess, now timekeeper.Instant) int {
	return b.room(l.Belief(t, b.Flows, g, now).Sum())
}

// room is what a bound leaves beside some flows.
func (b Bound) room(flows int) int { return max(b.Flows-b.Reserved-flows, 0) }

// Offer returns how many flows a target is believed to hold, and whether this host may place
// one more. A choice asks this of each target.
//
// What goes wrong if all hosts may while there is room: what each knows of the others is a
// second old, so all of a zone go for the last places, and most meet a full target. One
// notices by openings that wait at targets believed to have one place left. So when there
// are fewer places than hosts, as many hosts as places have their turn, others each
// second, and each places one flow. A place that this host's own flow has left is its own
// for that time: nobody else knows of it.
func (l *Limiter) Offer(t *Target, tag uint32, b Bound, g Guess, now timekeeper.Instant) (flows int, admits bool) {
	flows = l.Belief(t, b.Flows, g, now).Sum()
	return flows, l.admits(t, tag, b.room(flows), b.Brief, now)
}

// admits reports whether this host may place one more flow, given how many there is room for.
func (l *Limiter) admits(t *Target, tag uint32, room int, brief bool, now timekeeper.Instant) bool {
	hosts := l.others() + 1
	switch {
	case room == 0:
		return false
	case brief, room >= hosts, t.freed > 0 && now.Since(t.freedAt) < turnSpan:
		return true
	case turnOf(t.placedAt) == turnOf(now):
		return false
	}
	return int(l.draw(tag, now)%uint64(hosts)) < room
}

// turnOf numbers the turns.
func turnOf(now timekeeper.Instant) uint64 { return uint64(now) / uint64(turnSpan) }

// draw is a number that differs by host, target and turn.
func (l *Limiter) draw(tag uint32, now timekeeper.Instant) uint64 {
	var buffer [20]byte
	binary.BigEndian.PutUint32(buffer[:4], tag)
	binary.BigEndian.PutUint64(buffer[4:12], turnOf(now))
	binary.BigEndian.PutUint64(buffer[12:], l.seed)
	return xxhash.Sum64(buffer[:])
}

// Full takes in that a target has turned out to be full: what is missing from its bound
// counts as flows that nobody tells of.
func (l *Limiter) Full(t *Target, bound int, g Guess, now timekeeper.Instant) {
	t.unseen, t.unseenSince = 0, now
	t.unseen = max(bound-l.Belief(t, bound, g, now).Sum(), 0)
}

// Used lists those of some targets at which this host has placed flows.
func (l *Limiter) Used(tags []uint32) []uint32 {
	var used []uint32
	for _, tag := range tags {
		if t, ok := l.targets[tag]; ok && t.used {
			used = append(used, tag)
		}
	}
	return used
}

// Flows lists this host's flows at those of some targets at which it has placed any, for
// what it tells. A target whose flows have all ended is listed with 0.
func (l *Limiter) Flows(tags []uint32) map[uint32]uint16 {
	flows := make(map[uint32]uint16, len(tags))
	for _, tag := range tags {
		if t, ok := l.targets[tag]; ok && t.used {
			flows[tag] = uint16(min(t.own, math.MaxUint16))
		}
	}
	return flows
}
