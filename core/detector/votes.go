package detector

import (
	"slices"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/timekeeper"
)

// heldVote is a vote held by this host: its own, or that of a host that left.
//
// Without this, a cell of three that has lost one host stops working when a second
// one is shut down gracefully. The third can't tell whether the lost one is dead or
// partitioned, so it has no quorum on its own, and the cell refuses requests
// although the shutdown followed the procedure. With the vote of the second host
// transferred to the third, the cell keeps working.
type heldVote struct {
	// countsAgainstFrom is when every vote cast by the former holder has expired,
	// so that declaring a host dead with this vote does not overlap with a lease
	// that the host still holds. In favor of a host, the vote may be cast at once.
	countsAgainstFrom timekeeper.Instant
	// refusedIncarnations holds, by host, the incarnation that the former holder
	// had declared dead.
	refusedIncarnations map[string]uint64
}

// votesFor returns the names whose votes this host casts for a peer, those whose
// votes it withholds, and those among the cast ones that do not yet count for
// declaring a host dead.
func (d *Detector) votesFor(peer *member) (cast, withheld, provisional []string) {
	for _, name := range d.membership.names {
		v, ok := d.heldVotes[name]
		if !ok {
			continue
		}
		declaredDead := peer.liveness == messenger.LivenessDead
		if !canVote(d.phase) || declaredDead || v.refuses(peer.host.Name, peer.incarnation) {
			withheld = append(withheld, name)
			continue
		}
		cast = append(cast, name)
		if !v.countsAgainstFrom.Passed(d.now) {
			provisional = append(provisional, name)
		}
	}
	return cast, withheld, provisional
}

// refuses reports whether the former holder of the vote had declared a host's
// incarnation dead.
func (v heldVote) refuses(host string, incarnation uint64) bool {
	refused := v.refusedIncarnations[host]
	return refused != 0 && refused == incarnation
}

// countsForSelf reports whether a vote counts in favor of the local host.
func (d *Detector) countsForSelf(v heldVote) bool { return !v.refuses(d.self, d.incarnation) }

// reclaimLocalVote takes back this host's own vote after a start. The process can't
// know whether an earlier incarnation transferred its vote, so every other host of
// the cell has to be accounted for, and none may hold it.
func (d *Detector) reclaimLocalVote(now timekeeper.Instant) {
	if _, ok := d.heldVotes[d.self]; ok || !canVote(d.phase) || d.phase == messenger.PhaseLeaving {
		return
	}
	for _, name := range d.membership.names {
		if name != d.self && !d.voteAccountedFor(name, now) {
			return
		}
	}
	if d.isVoteHeldInCell(d.self, now) {
		return
	}
	d.heldVotes[d.self] = heldVote{countsAgainstFrom: d.startedAt.Add(d.timing.Grant)}
}

// ReleaseVotes removes votes from this host for transfer to a peer, which receives
// them with the last chunk of a handover: all votes if this host is shutting down,
// otherwise the peer's own vote. It also returns the hosts for which the votes must
// not be cast.
func (d *Detector) ReleaseVotes(to string, all bool) (names []string, deniedRecipients []messenger.MemberState) {
	for _, name := range d.membership.names {
		if _, ok := d.heldVotes[name]; ok && (all || name == to) {
			names = append(names, name)
			delete(d.heldVotes, name)
		}
	}
	for _, name := range d.names {
		if m := d.members[name]; m.inCell && m.liveness == messenger.LivenessDead {
			deniedRecipients = append(deniedRecipients, m.state())
		}
	}
	return names, deniedRecipients
}

// AcceptVotes adds votes transferred from a peer.
func (d *Detector) AcceptVotes(names []string, deniedRecipients []messenger.MemberState, now timekeeper.Instant) {
	refused := map[string]uint64{}
	for _, state := range deniedRecipients {
		refused[state.Host] = state.Incarnation
	}
	for _, name := range names {
		if _, ok := d.heldVotes[name]; !ok && slices.Contains(d.membership.names, name) {
			d.heldVotes[name] = heldVote{countsAgainstFrom: now.Add(d.timing.Grant), refusedIncarnations: refused}
		}
	}
}
