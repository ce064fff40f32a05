// Package limiter decides how many more flows a host may open to a target that has a
// connection limit.
//
// Each flow uses one connection of its target. A target that has reached its connection limit
// doesn't respond to an opening packet, so it looks like a crashed one. A flow keeps its
// connection while it is idle, for many times as long as its requests take. All hosts of a
// fleet open flows to the same targets; no host sees the flows of the others, and a restarted
// host has lost the count of its own.
//
// Each host counts its local flows and reports them to the hosts of the target's availability
// zone. A host adds up the reported flows and estimates the unreported ones: the fabric spreads
// callers evenly over the hosts of a zone, so a host that sends no reports has about as many
// flows as the others. Flows that a host reported before it restarted count until they have
// ended or sent a packet. If a target turns out to be full in spite of the estimate, the
// difference counts as unaccounted flows, a number that decays with time.
//
// Alternatives considered: a fixed fraction of the connection limit for each host needs no
// messages, but leaves connections unused at hosts with few callers, and is wrong as soon as
// hosts join or leave. If hosts reported only their number of flows for each service, and
// assumed that these are spread evenly over its targets, they would miss targets that have just
// started, and flows from other zones.
//
// The package does no network I/O and reads no clock.
package limiter

import (
	"encoding/binary"
	"math"
	"time"

	"cranberryspan.dev/core/timekeeper"
	"github.com/cespare/xxhash/v2"
)

const (
	// ZoneReportInterval is the interval at which a host sends reports to hosts of its zone.
	ZoneReportInterval = 250 * time.Millisecond
	// ZoneReportFanout is the maximum number of hosts that receive a report in one round.
	ZoneReportFanout = 3
	// minHostTimeout is the time without reports after which a host of the local zone times out
	// in a zone so small that all hosts receive a report in each round: many reports in a row
	// would have been lost. Its callers' flows move to other hosts when they send a packet.
	minHostTimeout = 4 * time.Second
	// hostTimeoutPasses is the timeout in a large zone, in passes of the report rounds over all
	// hosts of the zone: a host that is first in one pass may be last in the next.
	hostTimeoutPasses = 2
	// turnDuration is the duration of a turn, in which some of the hosts may use the last free
	// connections of a target: as long as their reports take to reach the other hosts.
	turnDuration = time.Second
)

// FlowLimit is the connection limit of a target as it applies to one new flow.
type FlowLimit struct {
	// MaxFlows is the connection limit of the target: the number of flows it accepts at once.
	MaxFlows int
	// Reserved is how many of these connections the new flow may not use: they are kept for
	// probes and for flows of higher priority.
	Reserved int
	// ShortLived says that the flow ends so soon that it need not wait for a turn of its host.
	ShortLived bool
}

// UnreportedEstimate holds the inputs for estimating the unreported flows at a target.
type UnreportedEstimate struct {
	// PerHost is how many flows a host of the target's zone that sends no reports has at the
	// target.
	PerHost float64
	// Growth is how many flows a host of the target's zone has opened to the target since its
	// last report: as many as this host has, since callers are spread evenly.
	Growth float64
	// Min is the minimum for all flows at the target: at a target of another zone, the mean
	// number of flows per target that the zone reports.
	Min int
}

// FlowEstimate is a host's estimate of the flows at a target.
type FlowEstimate struct {
	// Local counts the flows through this host.
	Local int
	// Reported counts the flows that other hosts have reported.
	Reported int
	// Estimated counts the flows that no host has reported.
	Estimated int
}

// Total returns the number of all flows at the target.
func (e FlowEstimate) Total() int { return e.Local + e.Reported + e.Estimated }

// Report is the report of another host on its flows.
type Report struct {
	// Incarnation differs between two starts of the host.
	Incarnation uint64
	// SameZone says that the host belongs to this host's availability zone.
	SameZone bool
	// Flows is the number of the host's flows by target. A target that is left out keeps its
	// last reported number.
	Flows map[uint32]uint16
	// Partial says that the host has flows at more targets than it could report.
	Partial bool
}

// Limiter tracks the flows at all targets as one host sees them. It is not safe for concurrent
// use.
type Limiter struct {
	// seed differs by host.
	seed  uint64
	start timekeeper.Instant
	// idleTimeout is the time without packets after which a flow has ended.
	idleTimeout time.Duration
	targets     map[uint32]*TargetFlows
	hosts       map[string]*remoteHost
	// livePeers counts the other live hosts of the local zone.
	livePeers int
	// reporters counts the other hosts of the local zone that have reported their flows recently.
	reporters int
	// fullReporters counts the reporters that have reported all their flows.
	fullReporters int
}

// remoteHost is another host that has reported its flows.
type remoteHost struct {
	incarnation uint64
	sameZone    bool
	// partial says that the host has flows at targets that it has not reported.
	partial bool
	// timedOut says that the host has sent no reports for too long; the number of its flows
	// decays.
	timedOut   bool
	reportedAt timekeeper.Instant
	// flows is the last reported number of the host's flows by target.
	flows map[uint32]uint16
	// previousFlows is the number of flows that the host had before it restarted, as of
	// previousSince. They are still open at the targets, but the host sees each of them only
	// when it sends a packet.
	previousFlows map[uint32]uint16
	previousSince timekeeper.Instant
	// contribution is how many flows the host adds to TargetFlows.reported, by target.
	contribution map[uint32]int
}

// TargetFlows tracks the flows at one target as one host sees them.
type TargetFlows struct {
	// local counts the open flows through this host.
	local int
	// reported counts the flows that other hosts have reported.
	reported int
	// partialReporters counts the hosts of the local zone that have reported this target but
	// not all of their flows.
	partialReporters int
	// netOpened is how many flows this host has opened to the target, minus those that have ended.
	netOpened int
	// recentlyFreed counts connections that this host's flows have freed recently, the last one
	// at freedAt.
	recentlyFreed int
	freedAt       timekeeper.Instant
	// openedAt is when this host last opened a flow to the target.
	openedAt timekeeper.Instant
	// everUsed says that this host has, or has had, flows at the target.
	everUsed bool
	// unaccounted counts the flows that no host reports although the target is full, as of
	// unaccountedSince.
	unaccounted      int
	unaccountedSince timekeeper.Instant
}

// New returns the Limiter of the host named self, which started at start.
func New(self string, start timekeeper.Instant, idleTimeout time.Duration) *Limiter {
	return &Limiter{
		seed: xxhash.Sum64String(self), start: start, idleTimeout: idleTimeout,
		targets: map[uint32]*TargetFlows{}, hosts: map[string]*remoteHost{},
	}
}

// Target returns the record of a target, and creates it if there is none.
func (l *Limiter) Target(tag uint32) *TargetFlows {
	t, ok := l.targets[tag]
	if !ok {
		t = &TargetFlows{}
		l.targets[tag] = t
	}
	return t
}

// Forget drops all records of a target that has ended or restarted.
func (l *Limiter) Forget(tag uint32) {
	for _, h := range l.hosts {
		l.removeReported(h, tag)
		delete(h.previousFlows, tag)
		delete(h.contribution, tag)
	}
	delete(l.targets, tag)
}

// SetIdleTimeout sets the time without packets after which a flow has ended.
func (l *Limiter) SetIdleTimeout(idleTimeout time.Duration) { l.idleTimeout = idleTimeout }

// SetLivePeers sets the number of other live hosts in the local zone.
func (l *Limiter) SetLivePeers(livePeers int) { l.livePeers = livePeers }

// hostTimeout returns the time without reports after which a host of the local zone times out.
func (l *Limiter) hostTimeout() time.Duration {
	rounds := (l.peerCount() + ZoneReportFanout - 1) / ZoneReportFanout
	return max(minHostTimeout, hostTimeoutPasses*time.Duration(rounds)*ZoneReportInterval)
}

// peerCount returns the number of other hosts in the local zone.
func (l *Limiter) peerCount() int { return max(l.livePeers, l.reporters) }

// HasReports reports whether any other host has reported its flows recently.
func (l *Limiter) HasReports() bool { return len(l.hosts) > 0 }

// Reporters returns how many hosts of the local zone have reported their flows at a target, even
// if they have none there.
func (l *Limiter) Reporters(t *TargetFlows) int { return l.fullReporters + t.partialReporters }

// PerHost returns how many flows a host of the local zone has at a target on average, given the
// local and the reported flows at some of the zone's targets, and the sum of the targets'
// reporters. Reported flows take precedence, since this host may have just started.
func (l *Limiter) PerHost(local, reported, targets, reporters int) float64 {
	if reporters > 0 {
		return float64(reported) / float64(reporters)
	}
	return float64(local) / float64(max(targets, 1))
}

// Local returns how many open flows at a target go through this host.
func (t *TargetFlows) Local() int { return t.local }

// NetOpened returns how many flows this host has opened to a target, minus those that have ended.
func (t *TargetFlows) NetOpened() int { return t.netOpened }

// Reported returns how many flows at a target other hosts have reported.
func (t *TargetFlows) Reported() int { return t.reported }

// AddOpened counts a flow that this host has opened to the target.
func (t *TargetFlows) AddOpened(now timekeeper.Instant) {
	t.AddDiscovered()
	t.netOpened++
	t.openedAt = now
	t.recentlyFreed = max(t.recentlyFreed-1, 0)
}

// AddDiscovered counts an open flow through this host that the host had no record of.
func (t *TargetFlows) AddDiscovered() {
	t.local++
	t.everUsed = true
}

// RemoveOpened removes a flow that AddOpened counted and that has freed its connection.
func (t *TargetFlows) RemoveOpened(now timekeeper.Instant) {
	t.netOpened--
	t.RemoveDiscovered(now)
}

// RemoveDiscovered removes a flow that AddDiscovered counted and that has freed its connection.
func (t *TargetFlows) RemoveDiscovered(now timekeeper.Instant) {
	t.local = max(t.local-1, 0)
	t.recentlyFreed++
	t.freedAt = now
}

// CancelOpened removes a flow that AddOpened counted and that used no connection, since its target
// never accepted it.
func (t *TargetFlows) CancelOpened() {
	t.local = max(t.local-1, 0)
	t.netOpened--
}

// ApplyReport applies the report of another host.
func (l *Limiter) ApplyReport(host string, r Report, now timekeeper.Instant) {
	h, ok := l.hosts[host]
	if !ok {
		h = &remoteHost{incarnation: r.Incarnation, sameZone: r.SameZone, flows: map[uint32]uint16{}, contribution: map[uint32]int{}}
		l.hosts[host] = h
		l.adjustReporters(h, 1)
	}
	if h.incarnation != r.Incarnation {
		l.movePreviousFlows(h)
		h.incarnation = r.Incarnation
	}
	l.recordReport(h, r, now)
	for tag, n := range r.Flows {
		if _, listed := h.flows[tag]; !listed && h.reportsPartially() {
			l.Target(tag).partialReporters++
		}
		h.flows[tag] = n
		l.updateContribution(h, tag, now)
	}
}

// recordReport records that a host has sent a report.
func (l *Limiter) recordReport(h *remoteHost, r Report, now timekeeper.Instant) {
	wasTimedOut := h.timedOut
	l.adjustReporters(h, -1)
	h.timedOut, h.partial, h.reportedAt = false, r.Partial, now
	l.adjustReporters(h, 1)
	if !wasTimedOut {
		return
	}
	for tag := range h.flows {
		l.updateContribution(h, tag, now)
	}
}

// adjustReporters adds a host to the reporters if delta is 1, and removes it if delta is -1.
func (l *Limiter) adjustReporters(h *remoteHost, delta int) {
	switch {
	case !h.sameZone || h.timedOut:
		return
	case h.partial:
		for tag := range h.flows {
			l.Target(tag).partialReporters += delta
		}
	default:
		l.fullReporters += delta
	}
	l.reporters += delta
}

// reportsPartially reports whether a host counts as a reporter only for the targets it has listed.
func (h *remoteHost) reportsPartially() bool { return h.sameZone && !h.timedOut && h.partial }

// removeReported drops the flows that a host has reported at a target.
func (l *Limiter) removeReported(h *remoteHost, tag uint32) {
	if _, listed := h.flows[tag]; listed && h.reportsPartially() {
		l.Target(tag).partialReporters--
	}
	delete(h.flows, tag)
}

// movePreviousFlows moves the reported flows of a host that has restarted to its previous flows.
// Those that remain from an earlier restart still count.
func (l *Limiter) movePreviousFlows(h *remoteHost) {
	if len(h.flows) == 0 {
		return
	}
	l.adjustReporters(h, -1)
	for tag, n := range h.previousFlows {
		h.flows[tag] = max(h.flows[tag], uint16(l.remaining(int(n), h.previousSince, h.reportedAt)))
	}
	h.previousFlows, h.previousSince = h.flows, h.reportedAt
	h.flows = map[uint32]uint16{}
	l.adjustReporters(h, 1)
}

// updateContribution recomputes how many flows a host adds to the reported flows at a target.
func (l *Limiter) updateContribution(h *remoteHost, tag uint32, now timekeeper.Instant) {
	reported := int(h.flows[tag])
	if h.timedOut {
		reported = l.remaining(reported, h.reportedAt, now)
	}
	n := max(reported, l.remaining(int(h.previousFlows[tag]), h.previousSince, now))
	l.Target(tag).reported += n - h.contribution[tag]
	if n == 0 {
		delete(h.contribution, tag)
		return
	}
	h.contribution[tag] = n
}

// remaining returns how many of some flows are still open if they were last reported at since:
// they are assumed to end at a constant rate within the idle timeout.
func (l *Limiter) remaining(flows int, since, now timekeeper.Instant) int {
	left := l.idleTimeout - now.Since(since)
	if flows == 0 || left <= 0 {
		return 0
	}
	return int(float64(flows)*float64(left)/float64(l.idleTimeout) + 0.5)
}

// Sweep decays the flows of hosts that have timed out or restarted, and drops hosts whose reports
// are too old. It has to be called several times within the idle timeout.
func (l *Limiter) Sweep(now timekeeper.Instant) {
	timeout := l.hostTimeout()
	for name, h := range l.hosts {
		if now.Since(h.reportedAt) > max(l.idleTimeout, timeout) {
			l.removeHost(name, h)
			continue
		}
		if h.sameZone && !h.timedOut && now.Since(h.reportedAt) > timeout {
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

// removeHost drops a host. Its callers' flows have moved to other hosts or ended.
func (l *Limiter) removeHost(name string, h *remoteHost) {
	for tag, n := range h.contribution {
		l.Target(tag).reported -= n
	}
	l.adjustReporters(h, -1)
	delete(l.hosts, name)
}

// EstimateFlows returns this host's estimate of the flows at a target. The parameter maxFlows is
// the connection limit of the target.
func (l *Limiter) EstimateFlows(t *TargetFlows, maxFlows int, estimate UnreportedEstimate, now timekeeper.Instant) FlowEstimate {
	flows := FlowEstimate{Local: t.local, Reported: t.reported}
	reporters := l.Reporters(t)
	unreported := estimate.PerHost*float64(max(l.peerCount()-reporters, 0)) + estimate.Growth*float64(reporters)
	flows.Estimated = l.estimateForgotten(t, now) + int(unreported+0.5)
	flows.Estimated = max(flows.Estimated, estimate.Min-flows.Local-flows.Reported)
	// No target exceeds its connection limit, so flows that are reported after the target has
	// turned out to be full replace unaccounted ones.
	unaccounted := min(l.remaining(t.unaccounted, t.unaccountedSince, now), max(maxFlows-flows.Total(), 0))
	if unaccounted == 0 {
		t.unaccounted = 0
	}
	flows.Estimated += unaccounted
	return flows
}

// estimateForgotten estimates how many open flows go through this host that it has not seen since
// it started: as many as go through another host of the zone, a number that decays with time.
func (l *Limiter) estimateForgotten(t *TargetFlows, now timekeeper.Instant) int {
	reporters := l.Reporters(t)
	if reporters == 0 || t.reported == 0 {
		return 0
	}
	return max(l.remaining(t.reported/reporters, l.start, now)-t.local, 0)
}

// Available returns how many more flows this host may open to a target; 0 if none.
func (l *Limiter) Available(t *TargetFlows, limit FlowLimit, estimate UnreportedEstimate, now timekeeper.Instant) int {
	return limit.available(l.EstimateFlows(t, limit.MaxFlows, estimate, now).Total())
}

// available returns how many more flows the limit allows beside the given number of flows.
func (limit FlowLimit) available(flows int) int { return max(limit.MaxFlows-limit.Reserved-flows, 0) }

// Evaluate returns the estimated number of flows at a target, and whether this host may open one
// more. Target selection calls it for each target.
//
// When fewer connections are free than the zone has hosts, hosts take turns: in each turn of one
// second, about as many hosts as there are free connections may open one flow each. Without this,
// all hosts of a zone compete for the last free connections and most of them meet a full target,
// since each host's data on the others is a second old, which shows as opening packets that wait
// at targets estimated to have one connection left. A connection freed by a local flow is
// available to this host for one second: no other host knows that it is free.
func (l *Limiter) Evaluate(t *TargetFlows, tag uint32, limit FlowLimit, estimate UnreportedEstimate, now timekeeper.Instant) (flows int, admits bool) {
	flows = l.EstimateFlows(t, limit.MaxFlows, estimate, now).Total()
	return flows, l.admits(t, tag, limit.available(flows), limit.ShortLived, now)
}

// admits reports whether this host may open one more flow, given how many connections are
// available.
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

// turnNumber returns the number of the turn that contains now.
func turnNumber(now timekeeper.Instant) uint64 { return uint64(now) / uint64(turnDuration) }

// turnHash returns a hash that differs by host, target and turn.
func (l *Limiter) turnHash(tag uint32, now timekeeper.Instant) uint64 {
	var buffer [20]byte
	binary.BigEndian.PutUint32(buffer[:4], tag)
	binary.BigEndian.PutUint64(buffer[4:12], turnNumber(now))
	binary.BigEndian.PutUint64(buffer[12:], l.seed)
	return xxhash.Sum64(buffer[:])
}

// MarkFull records that a target has turned out to be full: the difference between its connection
// limit and the estimate counts as unaccounted flows.
func (l *Limiter) MarkFull(t *TargetFlows, maxFlows int, estimate UnreportedEstimate, now timekeeper.Instant) {
	t.unaccounted, t.unaccountedSince = 0, now
	t.unaccounted = max(maxFlows-l.EstimateFlows(t, maxFlows, estimate, now).Total(), 0)
}

// UsedTargets returns those of the given targets at which this host has, or has had, flows.
func (l *Limiter) UsedTargets(tags []uint32) []uint32 {
	var used []uint32
	for _, tag := range tags {
		if t, ok := l.targets[tag]; ok && t.everUsed {
			used = append(used, tag)
		}
	}
	return used
}

// LocalFlows returns the number of local flows at the given targets, for this host's reports. It
// leaves out targets that this host has never used; a target whose flows have all ended is listed
// with 0.
func (l *Limiter) LocalFlows(tags []uint32) map[uint32]uint16 {
	flows := make(map[uint32]uint16, len(tags))
	for _, tag := range tags {
		if t, ok := l.targets[tag]; ok && t.everUsed {
			flows[tag] = uint16(min(t.local, math.MaxUint16))
		}
	}
	return flows
}
