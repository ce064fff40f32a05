// Package detector finds out which hosts live, and keeps the leases that fence
// the ownership of flows.
//
// Two mechanisms share the heartbeats. Outside the own cell a host pings one
// random host an interval and spreads what it learns as rumors (after SWIM),
// so its work does not grow with the fleet. Within the own cell, at most
// resolver.MaxCellHosts hosts, every host pings every other, and each Ack is a
// vote: a host may act as an owner only while a quorum of its cell votes for
// it. A voter that gives a host up waits until its own vote has run out and
// never votes for that incarnation again. Since any two quorums share a host,
// no two hosts can hold the same flows.
//
//	cell {a, b, c}: c is paused. a and b give c up once their votes for c are
//	over. When a hears that b has given c up as well, {a, b} is a quorum that
//	denies c, so a takes over c's flows. c wakes, finds that its votes ended
//	while it slept, and does nothing until it has joined anew.
package detector

import (
	"math/rand/v2"
	"slices"
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/resolver"
	"cranberryspan.dev/core/timekeeper"
)

// Outgoing is a message that the detector wants sent.
type Outgoing struct {
	To   string
	Body messenger.Body
}

// Detector is one host's view of the fleet. It is driven from outside and
// holds no clock; it is not safe for concurrent use.
type Detector struct {
	self        string
	timing      Timing
	random      *rand.Rand
	incarnation uint64
	refutations uint64
	phase       messenger.Phase
	revision    uint64
	members     map[string]*member
	// names is sorted; it gives every loop over members the same order.
	names            []string
	membership       cellMembership
	priorMemberships []priorMembership
	sequence         uint64
	pings            map[uint64]sentPing
	pendingUpdates   []pendingUpdate
	heldVotes        map[string]heldVote
	outgoing         []Outgoing
	indirectPings    []indirectPing

	lastAnswer       timekeeper.Instant
	now              timekeeper.Instant
	startedAt        timekeeper.Instant
	nextPingRound    timekeeper.Instant
	pingOrder        []string
	extraPayload     func(peer string) messenger.Heartbeat
	rejoined         bool
	heldQuorum       bool
	initialPingsSent bool
}

type sentPing struct {
	to     string
	sentAt timekeeper.Instant
	// viewVersion is the version of the cell's view that went with it; zero for none.
	viewVersion uint64
}

// New makes the detector of a host. incarnation must be higher than at any
// earlier start of the same host; seed makes the choice of hosts to ping
// repeatable. decorate adds what other parts of the host have to say to a peer.
func New(self string, incarnation, seed uint64, timing Timing, start timekeeper.Instant, extraPayload func(peer string) messenger.Heartbeat) *Detector {
	return &Detector{
		self:         self,
		timing:       timing,
		random:       rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		incarnation:  incarnation,
		phase:        messenger.PhaseJoining,
		members:      map[string]*member{},
		pings:        map[uint64]sentPing{},
		heldVotes:    map[string]heldVote{},
		extraPayload: extraPayload,
		now:          start,
		startedAt:    start,
	}
}

// SetHosts takes over the hosts of a settings revision.
func (d *Detector) SetHosts(hosts []resolver.Host, revision uint64, now timekeeper.Instant) {
	d.revision = revision
	ownCell := ""
	for _, h := range hosts {
		if h.Name == d.self {
			ownCell = h.Cell
		}
	}
	var cellNames []string
	known := map[string]bool{}
	for _, h := range hosts {
		known[h.Name] = true
		inCell := ownCell != "" && h.Cell == ownCell
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
			// A host that is listed and never heard of is given up in the end,
			// so that a cell can work before all of its hosts were started.
			m.liveness = messenger.LivenessSuspect
		}
	}
	d.changeMembership(cellNames, revision, now)
	for name := range d.members {
		if !known[name] && !d.inPriorMembership(name) {
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

// sendInitialPings pings some hosts at once, so that a new host learns about the fleet
// within a round trip.
func (d *Detector) sendInitialPings(now timekeeper.Instant) {
	const maxPings = 32
	for i, name := range d.names {
		if i == maxPings {
			return
		}
		d.ping(name, now)
	}
}

// Incarnation returns the host's own incarnation.
func (d *Detector) Incarnation() uint64 { return d.incarnation }

// Phase returns the host's own phase.
func (d *Detector) Phase() messenger.Phase { return d.phase }

// SetPhase moves the host to another phase and spreads the word.
func (d *Detector) SetPhase(phase messenger.Phase) {
	if d.phase == phase {
		return
	}
	d.phase = phase
	d.queueUpdate(d.self)
	d.nextPingRound = 0
	if phase == messenger.PhaseReady {
		// Votes count only from hosts that know this host to be ready.
		d.discardLeases()
	}
}

func (d *Detector) discardLeases() {
	clear(d.pings)
	for _, m := range d.members {
		m.leaseDeadline = 0
	}
}

// Rejoined reports, once, that the host lost its place and has to join anew.
func (d *Detector) Rejoined() bool {
	rejoined := d.rejoined
	d.rejoined = false
	return rejoined
}

// TakeOutgoing returns the messages to send and forgets them.
func (d *Detector) TakeOutgoing() []Outgoing {
	out := d.outgoing
	d.outgoing = nil
	return out
}

func (d *Detector) send(to string, body messenger.Body) {
	d.outgoing = append(d.outgoing, Outgoing{To: to, Body: body})
}

// Tick lets time pass. It must be called several times an interval.
func (d *Detector) Tick(now timekeeper.Instant) {
	d.now = now
	d.reclaimOwnVote(now)
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

// NoteRevision takes in that a host has a settings revision in force, as a
// forwarded packet says, which comes sooner than the next heartbeat.
func (d *Detector) NoteRevision(host string, revision uint64) {
	if m, ok := d.members[host]; ok {
		m.revision = max(m.revision, revision)
	}
}

// LastAnswer returns when the latest ping was sent that a host has answered.
func (d *Detector) LastAnswer() timekeeper.Instant { return d.lastAnswer }

// NotePause tells the detector that the host was paused.
//
// What goes wrong: a host that was paused for longer than DeadAfter finds, at
// its first tick, that nobody has answered for that long, and gives up every
// host in the cell although they live. One notices by a burst of "host dead"
// lines from one host. So a host that slept first gives the others the time to
// answer; its own leases have ended by themselves.
func (d *Detector) NotePause(now timekeeper.Instant) {
	d.now = now
	clear(d.pings)
	d.lastAnswer = 0
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
	silence := now - m.lastHeardAt
	if m.liveness == messenger.LivenessAlive && silence >= timekeeper.Instant(d.timing.SuspectAfter) {
		m.liveness = messenger.LivenessSuspect
	}
	if m.liveness != messenger.LivenessSuspect || silence < timekeeper.Instant(d.timing.DeadAfter) {
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

// sendPingRound pings the whole cell and one host outside of it.
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

// nextRemotePeer walks the hosts outside the cell in random order, each once
// before any comes again, which bounds the time until a failure is noticed.
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
	news := d.buildHeartbeat(name)
	sent := sentPing{to: name, sentAt: now}
	if len(news.CellMembers) > 0 {
		sent.viewVersion = d.viewVersion()
	}
	d.pings[d.sequence] = sent
	d.send(name, &messenger.Ping{Sequence: d.sequence, Heartbeat: news})
}

// Receive takes in a heartbeat from a peer.
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

// ackPing answers a ping and notes the promise that goes with the answer. A host
// that was given up gets an answer, which tells it so, but no promise.
func (d *Detector) ackPing(m *member, sequence uint64, now timekeeper.Instant) {
	if m.liveness != messenger.LivenessDead {
		m.grantDeadline = now.Add(d.timing.Grant)
	}
	news := d.buildHeartbeat(m.host.Name)
	if m.inCell {
		news.Votes, news.WithheldVotes, news.ProvisionalVotes = d.votesFor(m)
	}
	d.send(m.host.Name, &messenger.Ack{Sequence: sequence, Heartbeat: news})
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
		m.unsettledVotes = ack.Heartbeat.ProvisionalVotes
	}
	d.lastAnswer = max(d.lastAnswer, sent.sentAt)
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
	if canVote(ack.Heartbeat.Phase) && !declaresSelfDead(ack.Heartbeat.CellMembers, d.self, d.incarnation) {
		m.leaseVotes = ack.Heartbeat.Votes
		m.leaseDeadline = max(m.leaseDeadline, sent.sentAt.Add(d.timing.Lease))
	}
}

func declaresSelfDead(cell []messenger.MemberState, self string, incarnation uint64) bool {
	for _, r := range cell {
		if r.Host == self && r.Incarnation == incarnation && r.Liveness == messenger.LivenessDead {
			return true
		}
	}
	return false
}

// applyHeartbeat takes in what a peer says of itself and of others.
func (d *Detector) applyHeartbeat(m *member, news messenger.Heartbeat, now timekeeper.Instant) {
	if news.Incarnation < m.incarnation {
		return
	}
	if news.Incarnation > m.incarnation {
		m.startIncarnation(news.Incarnation, now)
		m.setPhase(news.Phase, now)
		m.liveness = messenger.LivenessAlive
		m.lastHeardAt = now
		d.queueUpdate(m.host.Name)
	}
	// Within one incarnation a host only moves forward; an older message that
	// comes late must not bring an earlier phase back.
	if news.Phase > m.phase {
		m.setPhase(news.Phase, now)
		d.queueUpdate(m.host.Name)
	}
	m.revision = max(m.revision, news.SettingsRevision)
	m.heldQuorum = m.heldQuorum || news.HeldQuorum
	refuted := news.Refutations > m.refutations
	m.refutations = max(m.refutations, news.Refutations)
	if !m.inCell && (refuted || m.liveness != messenger.LivenessDead) {
		m.lastHeardAt = now
		m.pingDeadline = 0
		if m.liveness != messenger.LivenessAlive {
			m.liveness = messenger.LivenessAlive
			d.queueUpdate(m.host.Name)
		}
	}
	for _, r := range news.CellMembers {
		d.applyCellUpdate(m, r, now)
	}
	for _, r := range news.MemberUpdates {
		d.applyMemberState(r, now)
	}
}

// applyCellUpdate takes in a cell peer's view of another cell member.
func (d *Detector) applyCellUpdate(from *member, r messenger.MemberState, now timekeeper.Instant) {
	if !from.inCell {
		return
	}
	if r.Host == d.self {
		d.handleOwnDeath(r, now)
		return
	}
	m, ok := d.members[r.Host]
	if !ok || r.Incarnation < m.incarnation {
		return
	}
	if r.Incarnation > m.incarnation {
		m.startIncarnation(r.Incarnation, now)
		m.setPhase(r.Phase, now)
		m.liveness = messenger.LivenessSuspect
		m.lastHeardAt = now
	}
	if r.Liveness == messenger.LivenessDead {
		m.declaredDeadBy[from.host.Name] = true
		d.adoptDeadState(m, now)
	}
	if r.Phase > m.phase {
		m.setPhase(r.Phase, now)
	}
}

// adoptDeadState makes a host that has not joined yet believe what its cell knows:
// it has no memory of an earlier incarnation's promise that it could break.
func (d *Detector) adoptDeadState(m *member, now timekeeper.Instant) {
	if canVote(d.phase) || m.liveness == messenger.LivenessDead {
		return
	}
	d.declareDead(m, now)
}

// handleOwnDeath takes in that a cell peer gave this host up. The host answers
// with a new incarnation. If the hosts that still vote for it are no quorum,
// another host may have taken over its flows, so it joins anew.
//
// A host must not take a new incarnation for any other reason: peers would
// forget that they gave it up, and it would go on with records that are old.
func (d *Detector) handleOwnDeath(r messenger.MemberState, now timekeeper.Instant) {
	if r.Liveness != messenger.LivenessDead || r.Incarnation < d.incarnation {
		return
	}
	hadQuorum := d.HasQuorum(now)
	d.incarnation = r.Incarnation + 1
	d.refutations = 0
	d.queueUpdate(d.self)
	if canVote(d.phase) && !hadQuorum {
		d.phase = messenger.PhaseJoining
		d.heldQuorum = false
		d.rejoined = true
	}
}

// LeaseDuration returns the timing's lease, for callers that wait one out.
func (d *Detector) LeaseDuration() time.Duration { return d.timing.Lease }
