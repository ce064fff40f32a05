// Package detector detects failed hosts and maintains the leases that fence the
// ownership of flows.
//
// Two mechanisms share the heartbeats. Outside the local cell, a host pings one
// random host per interval and spreads member states by gossip, as in SWIM, so its
// load does not grow with the fleet. Within the local cell, which has at most
// resolver.MaxCellHosts hosts, every host pings every other one, and each Ack is a
// vote: a host may act as an owner only while it holds the votes of a quorum of its
// cell. A voter declares a host dead only after its own vote for that host has
// expired, and never votes for that incarnation again. Any two quorums share a
// host, so no two hosts can own the same flows.
//
//	cell {a, b, c}: c is paused. a and b declare c dead once their votes for c
//	have expired. When a learns that b has declared c dead as well, {a, b} is a
//	quorum against c, so a takes over c's flows. When c resumes, it finds that
//	its votes expired during the pause, and does not act until it has rejoined.
package detector

import (
	"math/rand/v2"
	"slices"
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/resolver"
	"cranberryspan.dev/core/timekeeper"
)

// Outgoing is a message to be sent to another host.
type Outgoing struct {
	To   string
	Body messenger.Body
}

// Detector is one host's view of the fleet. It has no clock of its own: callers
// pass in the time. It is not safe for concurrent use.
type Detector struct {
	self        string
	timing      Timing
	random      *rand.Rand
	incarnation uint64
	refutations uint64
	phase       messenger.Phase
	revision    uint64
	members     map[string]*member
	// names is sorted, so that every loop over members runs in the same order.
	names            []string
	membership       cellMembership
	priorMemberships []priorMembership
	sequence         uint64
	pings            map[uint64]sentPing
	pendingUpdates   []pendingUpdate
	heldVotes        map[string]heldVote
	outgoing         []Outgoing
	indirectPings    []indirectPing

	lastAckedPingAt      timekeeper.Instant
	now                  timekeeper.Instant
	startedAt            timekeeper.Instant
	nextPingRound        timekeeper.Instant
	pingOrder            []string
	extraHeartbeatFields func(peer string) messenger.Heartbeat
	rejoined             bool
	heldQuorum           bool
	initialPingsSent     bool
}

type sentPing struct {
	to     string
	sentAt timekeeper.Instant
	// viewVersion is the version of the cell view sent with the ping; zero if none
	// was sent.
	viewVersion uint64
}

// New returns the detector of a host. incarnation must be higher than at any
// earlier start of the same host; seed makes the choice of hosts to ping
// reproducible. extraHeartbeatFields returns the heartbeat fields that other parts of the
// host send to a peer.
func New(self string, incarnation, seed uint64, timing Timing, start timekeeper.Instant, extraHeartbeatFields func(peer string) messenger.Heartbeat) *Detector {
	return &Detector{
		self:                 self,
		timing:               timing,
		random:               rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		incarnation:          incarnation,
		phase:                messenger.PhaseJoining,
		members:              map[string]*member{},
		pings:                map[uint64]sentPing{},
		heldVotes:            map[string]heldVote{},
		extraHeartbeatFields: extraHeartbeatFields,
		now:                  start,
		startedAt:            start,
	}
}

// SetHosts applies the host list of a settings revision.
func (d *Detector) SetHosts(hosts []resolver.Host, revision uint64, now timekeeper.Instant) {
	d.revision = revision
	localCell := ""
	for _, h := range hosts {
		if h.Name == d.self {
			localCell = h.Cell
		}
	}
	var cellNames []string
	listed := map[string]bool{}
	for _, h := range hosts {
		listed[h.Name] = true
		inCell := localCell != "" && h.Cell == localCell
		if inCell {
			cellNames = append(cellNames, h.Name)
		}
		if h.Name == d.self {
			continue
		}
		m, ok := d.members[h.Name]
		if !ok {
			m = &member{declaredDeadBy: map[string]bool{}, lastHeardAt: now}
			d.members[h.Name] = m
		}
		m.host = h
		m.inCell = inCell
		if inCell && m.liveness == messenger.LivenessUnknown {
			// A listed host that never answers is eventually declared dead, so that
			// a cell can work before all of its hosts have been started.
			m.liveness = messenger.LivenessSuspect
		}
	}
	d.changeMembership(cellNames, revision, now)
	for name := range d.members {
		if !listed[name] && !d.inPriorMembership(name) {
			delete(d.members, name)
		}
	}
	d.names = d.names[:0]
	for name := range d.members {
		d.names = append(d.names, name)
	}
	slices.Sort(d.names)
	d.pingOrder = nil
	if !d.initialPingsSent {
		d.initialPingsSent = true
		d.sendInitialPings(now)
	}
}

// sendInitialPings pings up to maxPings hosts at once, so that a new host learns
// the state of the fleet within one round trip.
func (d *Detector) sendInitialPings(now timekeeper.Instant) {
	const maxPings = 32
	for i, name := range d.names {
		if i == maxPings {
			return
		}
		d.ping(name, now)
	}
}

// Incarnation returns the local host's incarnation.
func (d *Detector) Incarnation() uint64 { return d.incarnation }

// Phase returns the local host's phase.
func (d *Detector) Phase() messenger.Phase { return d.phase }

// SetPhase moves the local host to another phase and queues the change for gossip.
func (d *Detector) SetPhase(phase messenger.Phase) {
	if d.phase == phase {
		return
	}
	d.phase = phase
	d.queueUpdate(d.self)
	d.nextPingRound = 0
	if phase == messenger.PhaseReady {
		// Votes count only if the voter knew this host to be ready.
		d.discardLeases()
	}
}

func (d *Detector) discardLeases() {
	clear(d.pings)
	for _, m := range d.members {
		m.leaseDeadline = 0
	}
}

// Rejoined reports, once, that the host lost its ownership and has to rejoin.
func (d *Detector) Rejoined() bool {
	rejoined := d.rejoined
	d.rejoined = false
	return rejoined
}

// TakeOutgoing returns the messages to send and clears the outgoing list.
func (d *Detector) TakeOutgoing() []Outgoing {
	out := d.outgoing
	d.outgoing = nil
	return out
}

func (d *Detector) send(to string, body messenger.Body) {
	d.outgoing = append(d.outgoing, Outgoing{To: to, Body: body})
}

// Tick advances the detector to now. It must be called several times per ping
// interval.
func (d *Detector) Tick(now timekeeper.Instant) {
	d.now = now
	d.reclaimLocalVote(now)
	d.expirePriorMemberships(now)
	d.heldQuorum = d.heldQuorum || d.HasQuorum(now)
	for _, name := range d.names {
		d.checkTimeouts(d.members[name], now)
	}
	if !d.nextPingRound.Passed(now) {
		return
	}
	d.nextPingRound = now.Add(d.timing.PingInterval)
	d.sendPingRound(now)
}

// RecordRevision records that a host has a settings revision in force. A forwarded
// packet carries the revision, and arrives sooner than the next heartbeat.
func (d *Detector) RecordRevision(host string, revision uint64) {
	if m, ok := d.members[host]; ok {
		m.revision = max(m.revision, revision)
	}
}

// LastAckedPingAt returns the send time of the latest ping that has been answered.
func (d *Detector) LastAckedPingAt() timekeeper.Instant { return d.lastAckedPingAt }

// RecordPause records that the local host was paused.
//
// Without this, a host that was paused for longer than DeadAfter finds at its first
// tick that no host has answered for that long, and declares every host of the cell
// dead although all are alive, which shows as a host that reports every peer of its
// cell as dead. A resumed host therefore first gives the others time to answer. Its
// own leases have expired by themselves.
func (d *Detector) RecordPause(now timekeeper.Instant) {
	d.now = now
	clear(d.pings)
	d.lastAckedPingAt = 0
	for _, m := range d.members {
		m.lastHeardAt = now
		m.pingDeadline = 0
		if m.liveness == messenger.LivenessSuspect {
			m.suspectDeadline = now.Add(d.timing.DeadAfter)
		}
	}
	d.nextPingRound = now
}

func (d *Detector) checkTimeouts(m *member, now timekeeper.Instant) {
	if m.inCell {
		d.checkCellTimeouts(m, now)
		return
	}
	if m.pingDeadline != 0 && m.pingDeadline.Passed(now) {
		m.pingDeadline = 0
		d.requestIndirectPings(m.host.Name, now)
		d.markSuspect(m, now)
	}
	if m.liveness == messenger.LivenessSuspect && m.suspectDeadline.Passed(now) {
		d.declareDead(m, now)
	}
}

func (d *Detector) checkCellTimeouts(m *member, now timekeeper.Instant) {
	unresponsiveFor := now - m.lastHeardAt
	if m.liveness == messenger.LivenessAlive && unresponsiveFor >= timekeeper.Instant(d.timing.SuspectAfter) {
		m.liveness = messenger.LivenessSuspect
	}
	if m.liveness != messenger.LivenessSuspect || unresponsiveFor < timekeeper.Instant(d.timing.DeadAfter) {
		return
	}
	if m.grantDeadline.Passed(now) {
		d.declareDead(m, now)
	}
}

func (d *Detector) markSuspect(m *member, now timekeeper.Instant) {
	if m.liveness != messenger.LivenessAlive {
		return
	}
	m.liveness = messenger.LivenessSuspect
	m.suspectDeadline = now.Add(d.timing.DeadAfter)
	d.queueUpdate(m.host.Name)
}

func (d *Detector) declareDead(m *member, now timekeeper.Instant) {
	m.liveness = messenger.LivenessDead
	m.leaseDeadline = 0
	if m.incarnation != 0 && !m.left {
		m.stateLostAt = now
	}
	d.queueUpdate(m.host.Name)
}

// sendPingRound pings every host of the cell and one host outside of it.
func (d *Detector) sendPingRound(now timekeeper.Instant) {
	for _, name := range d.names {
		if d.members[name].inCell {
			d.ping(name, now)
		}
	}
	if name, ok := d.nextRemotePeer(); ok {
		d.ping(name, now)
		m := d.members[name]
		if m.pingDeadline == 0 {
			m.pingDeadline = now.Add(d.timing.PingInterval)
		}
	}
	for sequence, p := range d.pings {
		if p.sentAt.Add(d.timing.Lease).Passed(now) {
			delete(d.pings, sequence)
		}
	}
}

// nextRemotePeer returns the next host outside the cell to ping. The order is random,
// but each host comes once before any is repeated, which bounds the time until a
// failure is detected.
func (d *Detector) nextRemotePeer() (string, bool) {
	if len(d.pingOrder) == 0 {
		for _, name := range d.names {
			if !d.members[name].inCell {
				d.pingOrder = append(d.pingOrder, name)
			}
		}
		d.random.Shuffle(len(d.pingOrder), func(i, j int) {
			d.pingOrder[i], d.pingOrder[j] = d.pingOrder[j], d.pingOrder[i]
		})
	}
	if len(d.pingOrder) == 0 {
		return "", false
	}
	name := d.pingOrder[0]
	d.pingOrder = d.pingOrder[1:]
	return name, true
}

func (d *Detector) ping(name string, now timekeeper.Instant) {
	d.sequence++
	heartbeat := d.buildHeartbeat(name)
	sent := sentPing{to: name, sentAt: now}
	if len(heartbeat.CellMembers) > 0 {
		sent.viewVersion = d.viewVersion()
	}
	d.pings[d.sequence] = sent
	d.send(name, &messenger.Ping{Sequence: d.sequence, Heartbeat: heartbeat})
}

// Receive handles a heartbeat message from a peer.
func (d *Detector) Receive(from string, body messenger.Body, now timekeeper.Instant) {
	d.now = now
	m, ok := d.members[from]
	if !ok {
		return
	}
	switch body := body.(type) {
	case *messenger.Ping:
		d.applyHeartbeat(m, body.Heartbeat, now)
		d.ackPing(m, body.Sequence, now)
	case *messenger.Ack:
		d.applyHeartbeat(m, body.Heartbeat, now)
		d.handleAck(m, body, now)
	case *messenger.PingRequest:
		d.applyHeartbeat(m, body.Heartbeat, now)
		if _, ok := d.members[body.Subject]; ok {
			d.indirectPings = append(d.indirectPings, indirectPing{requester: from, subject: body.Subject, deadline: now.Add(d.timing.DeadAfter)})
			d.ping(body.Subject, now)
		}
	case *messenger.IndirectAck:
		d.applyHeartbeat(m, body.Heartbeat, now)
		d.applyMemberState(body.Subject, now)
		d.applyIndirectAck(body.Subject)
	}
}

// ackPing answers a ping and records how long the vote in the Ack binds this host. A
// host that was declared dead gets an Ack, which reports this state to it, but no
// vote.
func (d *Detector) ackPing(m *member, sequence uint64, now timekeeper.Instant) {
	if m.liveness != messenger.LivenessDead {
		m.grantDeadline = now.Add(d.timing.Grant)
	}
	heartbeat := d.buildHeartbeat(m.host.Name)
	if m.inCell {
		heartbeat.Votes, heartbeat.WithheldVotes, heartbeat.ProvisionalVotes = d.votesFor(m)
	}
	d.send(m.host.Name, &messenger.Ack{Sequence: sequence, Heartbeat: heartbeat})
}

func (d *Detector) handleAck(m *member, ack *messenger.Ack, now timekeeper.Instant) {
	sent, ok := d.pings[ack.Sequence]
	if !ok || sent.to != m.host.Name || ack.Heartbeat.Incarnation < m.incarnation {
		return
	}
	delete(d.pings, ack.Sequence)
	if sent.viewVersion != 0 {
		m.ackedViewVersion = sent.viewVersion
	}
	if m.inCell {
		m.heldVotes = append(slices.Clone(ack.Heartbeat.Votes), ack.Heartbeat.WithheldVotes...)
		m.provisionalVotes = ack.Heartbeat.ProvisionalVotes
	}
	d.lastAckedPingAt = max(d.lastAckedPingAt, sent.sentAt)
	d.sendIndirectAcks(m, now)
	if m.liveness == messenger.LivenessDead {
		return
	}
	m.lastHeardAt = now
	m.pingDeadline = 0
	if m.liveness != messenger.LivenessAlive {
		m.liveness = messenger.LivenessAlive
		d.queueUpdate(m.host.Name)
	}
	if canVote(ack.Heartbeat.Phase) && !declaresDead(ack.Heartbeat.CellMembers, d.self, d.incarnation) {
		m.leaseVotes = ack.Heartbeat.Votes
		m.leaseDeadline = max(m.leaseDeadline, sent.sentAt.Add(d.timing.Lease))
	}
}

// declaresDead reports whether a peer's view of its cell lists this incarnation of
// the local host as dead.
func declaresDead(cell []messenger.MemberState, self string, incarnation uint64) bool {
	for _, state := range cell {
		if state.Host == self && state.Incarnation == incarnation && state.Liveness == messenger.LivenessDead {
			return true
		}
	}
	return false
}

// applyHeartbeat applies a peer's report about itself and about other hosts.
func (d *Detector) applyHeartbeat(m *member, heartbeat messenger.Heartbeat, now timekeeper.Instant) {
	if heartbeat.Incarnation < m.incarnation {
		return
	}
	if heartbeat.Incarnation > m.incarnation {
		m.startIncarnation(heartbeat.Incarnation, now)
		m.setPhase(heartbeat.Phase, now)
		m.liveness = messenger.LivenessAlive
		m.lastHeardAt = now
		d.queueUpdate(m.host.Name)
	}
	// Within one incarnation the phase only advances, so that an older message that
	// arrives late does not restore an earlier phase.
	if heartbeat.Phase > m.phase {
		m.setPhase(heartbeat.Phase, now)
		d.queueUpdate(m.host.Name)
	}
	m.revision = max(m.revision, heartbeat.SettingsRevision)
	m.heldQuorum = m.heldQuorum || heartbeat.HeldQuorum
	refuted := heartbeat.Refutations > m.refutations
	m.refutations = max(m.refutations, heartbeat.Refutations)
	if !m.inCell && (refuted || m.liveness != messenger.LivenessDead) {
		m.lastHeardAt = now
		m.pingDeadline = 0
		if m.liveness != messenger.LivenessAlive {
			m.liveness = messenger.LivenessAlive
			d.queueUpdate(m.host.Name)
		}
	}
	for _, state := range heartbeat.CellMembers {
		d.applyCellUpdate(m, state, now)
	}
	for _, state := range heartbeat.MemberUpdates {
		d.applyMemberState(state, now)
	}
}

// applyCellUpdate applies a cell peer's report about another cell member.
func (d *Detector) applyCellUpdate(from *member, state messenger.MemberState, now timekeeper.Instant) {
	if !from.inCell {
		return
	}
	if state.Host == d.self {
		d.handleDeclaredDead(state, now)
		return
	}
	m, ok := d.members[state.Host]
	if !ok || state.Incarnation < m.incarnation {
		return
	}
	if state.Incarnation > m.incarnation {
		m.startIncarnation(state.Incarnation, now)
		m.setPhase(state.Phase, now)
		m.liveness = messenger.LivenessSuspect
		m.lastHeardAt = now
	}
	if state.Liveness == messenger.LivenessDead {
		m.declaredDeadBy[from.host.Name] = true
		d.adoptDeadState(m, now)
	}
	if state.Phase > m.phase {
		m.setPhase(state.Phase, now)
	}
}

// adoptDeadState adopts a cell peer's report that a host is dead if the local host
// has not joined yet. It need not wait for a vote of its own to expire, since it has
// cast none in this incarnation, and has no record of votes cast by an earlier one.
func (d *Detector) adoptDeadState(m *member, now timekeeper.Instant) {
	if canVote(d.phase) || m.liveness == messenger.LivenessDead {
		return
	}
	d.declareDead(m, now)
}

// handleDeclaredDead handles a cell peer's report that it declared this host dead. The
// host answers with a new incarnation. If the hosts that still vote for it are no
// quorum, another host may have taken over its flows, so it rejoins.
//
// A host must not start a new incarnation for any other reason: its peers would
// discard the fact that they declared it dead, and it would continue with outdated
// records.
func (d *Detector) handleDeclaredDead(state messenger.MemberState, now timekeeper.Instant) {
	if state.Liveness != messenger.LivenessDead || state.Incarnation < d.incarnation {
		return
	}
	hadQuorum := d.HasQuorum(now)
	d.incarnation = state.Incarnation + 1
	d.refutations = 0
	d.queueUpdate(d.self)
	if canVote(d.phase) && !hadQuorum {
		d.phase = messenger.PhaseJoining
		d.heldQuorum = false
		d.rejoined = true
	}
}

// LeaseDuration returns the lease duration, for callers that wait until a lease has
// expired.
func (d *Detector) LeaseDuration() time.Duration { return d.timing.Lease }
