package detector

import (
	"slices"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/timekeeper"
)

// heldVote is a vote in this host's hands: its own, or that of a host that left.
//
// What goes wrong without it: a cell of three has lost one host; a second one is
// stopped by plan. The third can't know whether the lost one is dead or cut off,
// so alone it has no quorum, and the cell refuses checks although every step was
// by the book. With its vote left to the third host, the cell goes on.
type heldVote struct {
	// countsAgainstFrom is when every vote that its former hand has cast is over, so
	// that giving a host up with it takes no lease that the host still holds.
	// For a host it can be cast at once.
	countsAgainstFrom timekeeper.Instant
	// refusedIncarnations holds the incarnations for which the former hand had refused it.
	refusedIncarnations map[string]uint64
}

// votesFor lists the votes that this host casts for a peer, those that it holds
// and withholds, and those that can't give anybody up yet.
func (d *Detector) votesFor(peer *member) (cast, withheld, unsettled []string) {
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
			unsettled = append(unsettled, name)
		}
	}
	return cast, withheld, unsettled
}

// refuses reports whether the vote's former hand had given a host up.
func (v heldVote) refuses(host string, incarnation uint64) bool {
	denied := v.refusedIncarnations[host]
	return denied != 0 && denied == incarnation
}

// countsForSelf reports whether a vote counts for this host itself.
func (d *Detector) countsForSelf(v heldVote) bool { return !v.refuses(d.self, d.incarnation) }

// reclaimOwnVote takes this host's own vote back after a start. The process can't know
// whether an earlier one left its vote to somebody, so every host of the cell
// must say that it does not hold it.
func (d *Detector) reclaimOwnVote(now timekeeper.Instant) {
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

// ReleaseVotes takes votes out of this host's hands, for a peer that gets them with
// the last part of a handover: all if the host leaves, or the peer's own vote.
// It also lists what they must not be cast for.
func (d *Detector) ReleaseVotes(to string, all bool) (names []string, denied []messenger.MemberState) {
	for _, name := range d.membership.names {
		if _, ok := d.heldVotes[name]; ok && (all || name == to) {
			names = append(names, name)
			delete(d.heldVotes, name)
		}
	}
	for _, name := range d.names {
		if m := d.members[name]; m.inCell && m.liveness == messenger.LivenessDead {
			denied = append(denied, m.rumor())
		}
	}
	return names, denied
}

// AcceptVotes takes votes that a peer gave.
func (d *Detector) AcceptVotes(names []string, denied []messenger.MemberState, now timekeeper.Instant) {
	refused := map[string]uint64{}
	for _, r := range denied {
		refused[r.Host] = r.Incarnation
	}
	for _, name := range names {
		if _, ok := d.heldVotes[name]; !ok && slices.Contains(d.membership.names, name) {
			d.heldVotes[name] = heldVote{countsAgainstFrom: now.Add(d.timing.Grant), refusedIncarnations: refused}
		}
	}
}
