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
	// ZoneReportInterval is the time between two rounds in which a host tells hosts of its zone.
	ZoneReportInterval = 250 * time.Millisecond
	// ZoneReportFanout is how many of them it tells in a round where there are many.
	ZoneReportFanout = 3
	// minHostTimeout is after how long a host of the own zone that tells nothing is taken to
	// have ended, where all are told in each round: many of its reports in a row would have
	// been lost. Its callers' flows come to other hosts as they send something.
	minHostTimeout = 4 * time.Second
	// hostTimeoutPasses is the same for a large zone, in passes of the rounds over all its hosts:
	// a host that is first in one pass may be last in the next.
	hostTimeoutPasses = 2
	// turnDuration is how long hosts that have their turn at the last places of a target keep
	// it: as long as their news takes to the others.
	turnDuration = time.Second
)

// FlowLimit is what a target holds, as one flow asks for it.
type FlowLimit struct {
	// MaxFlows is how many flows a target holds at once.
	MaxFlows int
	// Reserved is how many of them are kept for others than the flow that asks: liveness
	// checks, and flows of higher priority.
	Reserved int
	// ShortLived says that the flow leaves its place so soon that it need not wait for a turn.
	ShortLived bool
}

// UnreportedEstimate is what stands for flows at a target of which nobody tells.
type UnreportedEstimate struct {
	// PerHost is how many flows a host of the target's zone has there that tells nothing.
	PerHost float64
	// Growth is how many flows a host of the target's zone has placed there since it was
	// last heard: as many as this host has, since callers are spread evenly.
	Growth float64
	// Min is how many flows the targets of another zone have on average, by word of that
	// zone.
	Min int
}

// FlowEstimate is what a host takes the flows at a target to be.
type FlowEstimate struct {
	// Local are flows through this host.
	Local int
	// Reported are those that other hosts tell of.
	Reported int
	// Estimated are those that nobody tells of.
	Estimated int
}

// Total is all flows at the target.
func (b FlowEstimate) Total() int { return b.Local + b.Reported + b.Estimated }

// Report is what another host tells of its flows.
type Report struct {
	// Incarnation differs between two starts of the host.
	Incarnation uint64
	// SameZone says that the host is of this host's availability zone.
	SameZone bool
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
	// idleTimeout is after how long a flow that sends nothing has ended.
	idleTimeout time.Duration
	targets     map[uint32]*TargetFlows
	hosts       map[string]*remoteHost
	// livePeers counts the other hosts of the own zone that live.
	livePeers int
	// reporters counts the other hosts of the own zone that have told of their flows of late.
	reporters int
	// fullReporters counts those of the tellers that have told of all their flows.
	fullReporters int
}

// remoteHost is another host that has told what it holds.
type remoteHost struct {
	incarnation uint64
	sameZone    bool
	// partial says that the host holds flows at targets of which it has not told.
	partial bool
	// timedOut says that nothing was heard of it for too long; its flows end bit by bit.
	timedOut  bool
	lastHeard timekeeper.Instant
	// flows is what the host has told last, by target.
	flows map[uint32]uint16
	// previousFlows is what the host held before it started again, at previousSince. Its flows are
	// still at the targets, but the host knows of them only once they send something.
	previousFlows map[uint32]uint16
	previousSince timekeeper.Instant
	// contribution is how many flows the host adds to Target.told, by target.
	contribution map[uint32]int
}

// TargetFlows is what one host knows of the flows at a target.
type TargetFlows struct {
	// local counts the open flows through this host.
	local int
	// reported counts the flows that other hosts tell of.
	reported int
	// partialReporters counts the hosts of the own zone that have told of this target, of those that
	// have not told of all.
	partialReporters int
	// netOpened is how many more flows this host has placed there than have ended.
	netOpened int
	// recentlyFreed counts places that this host's flows have left of late, the last at freedAt.
	recentlyFreed int
	freedAt       timekeeper.Instant
	// openedAt is when this host last placed a flow there.
	openedAt timekeeper.Instant
	// everUsed says that this host has placed a flow there.
	everUsed bool
	// unaccounted counts flows that nobody tells of and that fill the target nevertheless, as
	// of unaccountedSince.
	unaccounted      int
	unaccountedSince timekeeper.Instant
}

// New makes the Limiter of a host that started at a moment.
func New(self string, start timekeeper.Instant, idleTimeout time.Duration) *Limiter {
	return &Limiter{
		seed: xxhash.Sum64String(self), start: start, idleTimeout: idleTimeout,
		targets: map[uint32]*TargetFlows{}, hosts: map[string]*remoteHost{},
	}
}

// Target returns the record of a target, which it makes if there is none.
func (l *Limiter) Target(tag uint32) *TargetFlows {
	t, ok := l.targets[tag]
	if !ok {
		t = &TargetFlows{}
		l.targets[tag] = t
	}
	return t
}

// Forget drops what is known of a target that has ended, or has started again.
func (l *Limiter) Forget(tag uint32) {
	for _, h := range l.hosts {
		l.removeReported(h, tag)
		delete(h.previousFlows, tag)
		delete(h.contribution, tag)
	}
	delete(l.targets, tag)
}

// SetIdleTimeout changes after how long a flow that sends nothing has ended.
func (l *Limiter) SetIdleTimeout(idleTimeout time.Duration) { l.idleTimeout = idleTimeout }

// SetLivePeers takes in how many other hosts of the own zone live.
func (l *Limiter) SetLivePeers(livePeers int) { l.livePeers = livePeers }

// hostTimeout is after how long a host of the own zone that tells nothing has ended.
func (l *Limiter) hostTimeout() time.Duration {
	rounds := (l.peerCount() + ZoneReportFanout - 1) / ZoneReportFanout
	return max(minHostTimeout, hostTimeoutPasses*time.Duration(rounds)*ZoneReportInterval)
}

// peerCount is how many other hosts the own zone has.
func (l *Limiter) peerCount() int { return max(l.livePeers, l.reporters) }

// HasReports reports whether any other host has told of its flows of late.
func (l *Limiter) HasReports() bool { return len(l.hosts) > 0 }

// Reporters is how many hosts of the own zone have told what they hold at a target, be it
// nothing.
func (l *Limiter) Reporters(t *TargetFlows) int { return l.fullReporters + t.partialReporters }

// PerHost is how many flows at a target a host of the own zone has on average, given this
// host's flows at some of the zone's targets, those that it was told of, and the sum of the
// targets' tellers. What others have goes first: this host may have started just now.
func (l *Limiter) PerHost(local, reported, targets, reporters int) float64 {
	if reporters > 0 {
		return float64(reported) / float64(reporters)
	}
	return float64(local) / float64(max(targets, 1))
}

// Local is how many open flows at a target go through this host.
func (t *TargetFlows) Local() int { return t.local }

// NetOpened is how many more flows this host has placed at a target than have ended.
func (t *TargetFlows) NetOpened() int { return t.netOpened }

// Reported is how many flows at a target other hosts tell of.
func (t *TargetFlows) Reported() int { return t.reported }

// AddOpened counts a flow that this host has placed at the target.
func (t *TargetFlows) AddOpened(now timekeeper.Instant) {
	t.AddDiscovered()
	t.netOpened++
	t.openedAt = now
	t.recentlyFreed = max(t.recentlyFreed-1, 0)
}

// AddDiscovered counts a flow that goes on through this host and that it did not know of.
func (t *TargetFlows) AddDiscovered() {
	t.local++
	t.everUsed = true
}

// RemoveOpened takes back a flow that Placed counted, and that has left its place.
func (t *TargetFlows) RemoveOpened(now timekeeper.Instant) {
	t.netOpened--
	t.RemoveDiscovered(now)
}

// RemoveDiscovered takes back a flow that Seen counted, and that has left its place.
func (t *TargetFlows) RemoveDiscovered(now timekeeper.Instant) {
	t.local = max(t.local-1, 0)
	t.recentlyFreed++
	t.freedAt = now
}

// CancelOpened takes back a flow that Placed counted, and that holds no place: it has not opened.
func (t *TargetFlows) CancelOpened() {
	t.local = max(t.local-1, 0)
	t.netOpened--
}

// ApplyReport takes in what another host tells.
func (l *Limiter) ApplyReport(host string, w Report, now timekeeper.Instant) {
	h, ok := l.hosts[host]
	if !ok {
		h = &remoteHost{incarnation: w.Incarnation, sameZone: w.SameZone, flows: map[uint32]uint16{}, contribution: map[uint32]int{}}
		l.hosts[host] = h
		l.adjustReporters(h, 1)
	}
	if h.incarnation != w.Incarnation {
		l.movePreviousFlows(h)
		h.incarnation = w.Incarnation
	}
	l.markHeard(h, w, now)
	for tag, n := range w.Flows {
		if _, listed := h.flows[tag]; !listed && h.reportsPartially() {
			l.Target(tag).partialReporters++
		}
		h.flows[tag] = n
		l.updateContribution(h, tag, now)
	}
}

// markHeard takes in that a host tells something.
func (l *Limiter) markHeard(h *remoteHost, w Report, now timekeeper.Instant) {
	wasTimedOut := h.timedOut
	l.adjustReporters(h, -1)
	h.timedOut, h.partial, h.lastHeard = false, w.Partial, now
	l.adjustReporters(h, 1)
	if !wasTimedOut {
		return
	}
	for tag := range h.flows {
		l.updateContribution(h, tag, now)
	}
}

// adjustReporters adds a host to those that tell, or takes it out.
func (l *Limiter) adjustReporters(h *remoteHost, by int) {
	switch {
	case !h.sameZone || h.timedOut:
		return
	case h.partial:
		for tag := range h.flows {
			l.Target(tag).partialReporters += by
		}
	default:
		l.fullReporters += by
	}
	l.reporters += by
}

// reportsPartially reports whether a host counts as one that tells only of the targets it has listed.
func (h *remoteHost) reportsPartially() bool { return h.sameZone && !h.timedOut && h.partial }

// removeReported forgets what a host has told of a target.
func (l *Limiter) removeReported(h *remoteHost, tag uint32) {
	if _, listed := h.flows[tag]; listed && h.reportsPartially() {
		l.Target(tag).partialReporters--
	}
	delete(h.flows, tag)
}

// movePreviousFlows marks what a host has told as what it held before it started again. Of what it held
// before that, the rest counts on.
func (l *Limiter) movePreviousFlows(h *remoteHost) {
	if len(h.flows) == 0 {
		return
	}
	l.adjustReporters(h, -1)
	for tag, n := range h.previousFlows {
		h.flows[tag] = max(h.flows[tag], uint16(l.remaining(int(n), h.previousSince, h.lastHeard)))
	}
	h.previousFlows, h.previousSince = h.flows, h.lastHeard
	h.flows = map[uint32]uint16{}
	l.adjustReporters(h, 1)
}

// updateContribution replaces what stands for a host at a target.
func (l *Limiter) updateContribution(h *remoteHost, tag uint32, now timekeeper.Instant) {
	reported := int(h.flows[tag])
	if h.timedOut {
		reported = l.remaining(reported, h.lastHeard, now)
	}
	n := max(reported, l.remaining(int(h.previousFlows[tag]), h.previousSince, now))
	l.Target(tag).reported += n - h.contribution[tag]
	if n == 0 {
		delete(h.contribution, tag)
		return
	}
	h.contribution[tag] = n
}

// remaining is how many of some flows are still open, if nothing was heard of them since a
// moment: they are taken to end at an even rate until the idle time is over.
func (l *Limiter) remaining(flows int, since, now timekeeper.Instant) int {
	span := l.idleTimeout - now.Since(since)
	if flows == 0 || span <= 0 {
		return 0
	}
	return int(float64(flows)*float64(span)/float64(l.idleTimeout) + 0.5)
}

// Sweep lets what was told grow old. It has to be called several times within the idle time.
func (l *Limiter) Sweep(now timekeeper.Instant) {
	timeout := l.hostTimeout()
	for name, h := range l.hosts {
		if now.Since(h.lastHeard) > max(l.idleTimeout, timeout) {
			l.removeHost(name, h)
			continue
		}
		if h.sameZone && !h.timedOut && now.Since(h.lastHeard) > timeout {
			l.adjustReporters(h, -1)
			h.timedOut = true
		}
		if h.timedOut {
			for tag := range h.flows {
				l.updateContribution(h, tag, now)
			}
		}
		if len(h.previousFlows) == 0 {
			continue
		}
		for tag := range h.previousFlows {
			l.updateContribution(h, tag, now)
		}
		if now.Since(h.previousSince) > l.idleTimeout {
			h.previousFlows = nil
		}
	}
}

// removeHost forgets a host. Its callers' flows have gone to others, or have ended.
func (l *Limiter) removeHost(name string, h *remoteHost) {
	for tag, n := range h.contribution {
		l.Target(tag).reported -= n
	}
	l.adjustReporters(h, -1)
	delete(l.hosts, name)
}

// EstimateFlows is what this host takes the flows at a target to be, if the target holds at most
// bound of them.
func (l *Limiter) EstimateFlows(t *TargetFlows, bound int, g UnreportedEstimate, now timekeeper.Instant) FlowEstimate {
	b := FlowEstimate{Local: t.local, Reported: t.reported}
	reporters := l.Reporters(t)
	unreported := g.PerHost*float64(max(l.peerCount()-reporters, 0)) + g.Growth*float64(reporters)
	b.Estimated = l.estimateForgotten(t, now) + int(unreported+0.5)
	b.Estimated = max(b.Estimated, g.Min-b.Local-b.Reported)
	// No target holds more than its bound, so what has been told of since is unseen no more.
	unaccounted := min(l.remaining(t.unaccounted, t.unaccountedSince, now), max(bound-b.Total(), 0))
	if unaccounted == 0 {
		t.unaccounted = 0
	}
	b.Estimated += unaccounted
	return b
}

// estimateForgotten estimates how many flows this host's callers hold that it has not seen since it
// started: as many as those of another host of the zone, fewer with time.
func (l *Limiter) estimateForgotten(t *TargetFlows, now timekeeper.Instant) int {
	reporters := l.Reporters(t)
	if reporters == 0 || t.reported == 0 {
		return 0
	}
	return max(l.remaining(t.reported/reporters, l.start, now)-t.local, 0)
}

// Available is how many more flows this host may place at a target; 0 if none.
func (l *Limiter) Available(t *TargetFlows, b FlowLimit, g UnreportedEstimate, now timekeeper.Instant) int {
	return b.available(l.EstimateFlows(t, b.MaxFlows, g, now).Total())
}

// available is what a bound leaves beside some flows.
func (b FlowLimit) available(flows int) int { return max(b.MaxFlows-b.Reserved-flows, 0) }

// Evaluate returns how many flows a target is believed to hold, and whether this host may place
// one more. A choice asks this of each target.
//
// What goes wrong if all hosts may while there is room: what each knows of the others is a
// second old, so all of a zone go for the last places, and most meet a full target. One
// notices by openings that wait at targets believed to have one place left. So when there
// are fewer places than hosts, as many hosts as places have their turn, others each
// second, and each places one flow. A place that this host's own flow has left is its own
// for that time: nobody else knows of it.
func (l *Limiter) Evaluate(t *TargetFlows, tag uint32, b FlowLimit, g UnreportedEstimate, now timekeeper.Instant) (flows int, admits bool) {
	flows = l.EstimateFlows(t, b.MaxFlows, g, now).Total()
	return flows, l.admits(t, tag, b.available(flows), b.ShortLived, now)
}

// admits reports whether this host may place one more flow, given how many there is room for.
func (l *Limiter) admits(t *TargetFlows, tag uint32, available int, shortLived bool, now timekeeper.Instant) bool {
	hosts := l.peerCount() + 1
	switch {
	case available == 0:
		return false
	case shortLived, available >= hosts, t.recentlyFreed > 0 && now.Since(t.freedAt) < turnDuration:
		return true
	case turnNumber(t.openedAt) == turnNumber(now):
		return false
	}
	return int(l.turnHash(tag, now)%uint64(hosts)) < available
}

// turnNumber numbers the turns.
func turnNumber(now timekeeper.Instant) uint64 { return uint64(now) / uint64(turnDuration) }

// turnHash is a number that differs by host, target and turn.
func (l *Limiter) turnHash(tag uint32, now timekeeper.Instant) uint64 {
	var buffer [20]byte
	binary.BigEndian.PutUint32(buffer[:4], tag)
	binary.BigEndian.PutUint64(buffer[4:12], turnNumber(now))
	binary.BigEndian.PutUint64(buffer[12:], l.seed)
	return xxhash.Sum64(buffer[:])
}

// MarkFull takes in that a target has turned out to be full: what is missing from its bound
// counts as flows that nobody tells of.
func (l *Limiter) MarkFull(t *TargetFlows, bound int, g UnreportedEstimate, now timekeeper.Instant) {
	t.unaccounted, t.unaccountedSince = 0, now
	t.unaccounted = max(bound-l.EstimateFlows(t, bound, g, now).Total(), 0)
}

// UsedTargets lists those of some targets at which this host has placed flows.
func (l *Limiter) UsedTargets(tags []uint32) []uint32 {
	var used []uint32
	for _, tag := range tags {
		if t, ok := l.targets[tag]; ok && t.everUsed {
			used = append(used, tag)
		}
	}
	return used
}

// LocalFlows lists this host's flows at those of some targets at which it has placed any, for
// what it tells. A target whose flows have all ended is listed with 0.
func (l *Limiter) LocalFlows(tags []uint32) map[uint32]uint16 {
	flows := make(map[uint32]uint16, len(tags))
	for _, tag := range tags {
		if t, ok := l.targets[tag]; ok && t.everUsed {
			flows[tag] = uint16(min(t.local, math.MaxUint16))
		}
	}
	return flows
}
