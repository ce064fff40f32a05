package detector

import (
	"fmt"
	"slices"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/timekeeper"
	"github.com/cespare/xxhash/v2"
)

// pendingUpdate is a member state to be gossiped, with the number of transmissions
// left.
type pendingUpdate struct {
	host              string
	transmissionsLeft int
}

// indirectPing records which host requested an indirect ping of subject.
type indirectPing struct {
	requester, subject string
	deadline           timekeeper.Instant
}

// requestIndirectPings asks two other hosts to ping an unresponsive one, so that
// one broken link does not get a host declared dead.
func (d *Detector) requestIndirectPings(subject string, _ timekeeper.Instant) {
	const indirectPingers = 2
	var alive []string
	for _, name := range d.names {
		if name != subject && d.members[name].liveness == messenger.LivenessAlive {
			alive = append(alive, name)
		}
	}
	d.random.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	for i := 0; i < indirectPingers && i < len(alive); i++ {
		d.send(alive[i], &messenger.PingRequest{Subject: subject, Heartbeat: d.buildHeartbeat(alive[i])})
	}
}

// sendIndirectAcks reports to the hosts that requested an indirect ping of m that
// it has answered.
func (d *Detector) sendIndirectAcks(m *member, now timekeeper.Instant) {
	kept := d.indirectPings[:0]
	for _, pending := range d.indirectPings {
		switch {
		case pending.subject == m.host.Name:
			state := m.state()
			state.Liveness = messenger.LivenessAlive
			d.send(pending.requester, &messenger.IndirectAck{Subject: state, Heartbeat: d.buildHeartbeat(pending.requester)})
		case !pending.deadline.Passed(now):
			kept = append(kept, pending)
		}
	}
	d.indirectPings = kept
}

// refute refutes a report that the local host is suspect or dead.
func (d *Detector) refute(state messenger.MemberState) {
	if state.Incarnation != d.incarnation || state.Refutations < d.refutations {
		return
	}
	d.refutations = state.Refutations + 1
	d.queueUpdate(d.self)
}

// applyMemberState applies a gossiped member state. Gossip decides nothing about
// hosts of the local cell, which this host pings itself.
func (d *Detector) applyMemberState(state messenger.MemberState, now timekeeper.Instant) {
	if state.Host == d.self {
		if state.Liveness >= messenger.LivenessSuspect {
			d.refute(state)
		}
		return
	}
	m, ok := d.members[state.Host]
	if !ok || m.inCell || state.Incarnation < m.incarnation || (state.Incarnation == m.incarnation && state.Refutations < m.refutations) {
		return
	}
	newer := m.isNewer(state)
	if !newer && state.Liveness <= m.liveness && state.Phase <= m.phase {
		return
	}
	if state.Incarnation > m.incarnation {
		m.startIncarnation(state.Incarnation, now)
		m.setPhase(state.Phase, now)
	}
	m.refutations = state.Refutations
	if newer || state.Liveness > m.liveness {
		m.liveness = state.Liveness
		m.suspectDeadline = now.Add(d.timing.DeadAfter)
		m.lastHeardAt = now
	}
	if state.Phase > m.phase {
		m.setPhase(state.Phase, now)
	}
	d.queueUpdate(state.Host)
}

// applyIndirectAck clears this host's own suspicion of a host that another host has
// reached. It does not wait until the suspect learns of the suspicion and refutes
// it, since the refutation would need the broken link.
func (d *Detector) applyIndirectAck(state messenger.MemberState) {
	m, ok := d.members[state.Host]
	if ok && !m.inCell && m.incarnation == state.Incarnation && m.liveness == messenger.LivenessSuspect {
		m.liveness = messenger.LivenessAlive
		d.queueUpdate(state.Host)
	}
}

// queueUpdate queues a host's state for the next messages, with enough
// transmissions to reach the whole fleet with high probability.
func (d *Detector) queueUpdate(host string) {
	transmissions := 3
	for n := len(d.members); n > 0; n /= 2 {
		transmissions++
	}
	for i := range d.pendingUpdates {
		if d.pendingUpdates[i].host == host {
			d.pendingUpdates[i].transmissionsLeft = transmissions
			return
		}
	}
	// The latest update is sent first.
	d.pendingUpdates = slices.Insert(d.pendingUpdates, 0, pendingUpdate{host: host, transmissionsLeft: transmissions})
}

// buildHeartbeat returns the heartbeat to send to a peer.
func (d *Detector) buildHeartbeat(peer string) messenger.Heartbeat {
	heartbeat := messenger.Heartbeat{}
	if d.extraHeartbeatFields != nil {
		heartbeat = d.extraHeartbeatFields(peer)
	}
	heartbeat.Incarnation = d.incarnation
	heartbeat.Refutations = d.refutations
	heartbeat.Phase = d.phase
	heartbeat.SettingsRevision = d.revision
	heartbeat.HeldQuorum = d.heldQuorum
	m, ok := d.members[peer]
	if ok && m.inCell && m.ackedViewVersion != d.viewVersion() {
		heartbeat.CellMembers = d.cellView()
	}
	heartbeat.MemberUpdates = d.nextMemberUpdates()
	if ok && !m.inCell && m.liveness >= messenger.LivenessSuspect {
		// A host that was wrongly declared dead has to receive that state to refute
		// it.
		heartbeat.MemberUpdates = append(heartbeat.MemberUpdates, m.state())
	}
	return heartbeat
}

// viewVersion identifies the state of the cell as seen by this host. A view is not
// sent again to a peer that has acknowledged its version: in a stable cell of eight
// hosts, the view would be most of a heartbeat. A vote is always sent with a view,
// unless its receiver already has that view.
func (d *Detector) viewVersion() uint64 {
	hash := xxhash.New()
	for _, name := range d.names {
		if m := d.members[name]; m.inCell {
			// Writing to a hash never fails.
			_, _ = fmt.Fprintln(hash, name, m.incarnation, m.liveness, m.phase)
		}
	}
	return hash.Sum64() | 1
}

func (d *Detector) cellView() []messenger.MemberState {
	var view []messenger.MemberState
	for _, name := range d.names {
		if m := d.members[name]; m.inCell && m.incarnation != 0 {
			view = append(view, m.state())
		}
	}
	return view
}

// nextMemberUpdates returns the next pending member states and counts the transmission.
func (d *Detector) nextMemberUpdates() []messenger.MemberState {
	const maxMemberUpdates = 6
	n := min(maxMemberUpdates, len(d.pendingUpdates))
	var updates []messenger.MemberState
	for _, pending := range d.pendingUpdates[:n] {
		pending.transmissionsLeft--
		if state, ok := d.memberStateOf(pending.host); ok {
			updates = append(updates, state)
		}
		if pending.transmissionsLeft > 0 {
			d.pendingUpdates = append(d.pendingUpdates, pending)
		}
	}
	d.pendingUpdates = slices.Delete(d.pendingUpdates, 0, n)
	return updates
}

func (d *Detector) memberStateOf(host string) (messenger.MemberState, bool) {
	if host == d.self {
		return messenger.MemberState{Host: d.self, Incarnation: d.incarnation, Refutations: d.refutations, Liveness: messenger.LivenessAlive, Phase: d.phase}, true
	}
	m, ok := d.members[host]
	if !ok {
		return messenger.MemberState{}, false
	}
	return m.state(), true
}
