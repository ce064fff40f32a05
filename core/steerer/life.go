package steerer

import (
	"slices"

	"cranberryspan.dev/core/estimator"
	"cranberryspan.dev/core/sequencer"
)

// A target may end and start again under the ID that it had, at the same address. It
// then holds none of its flows, and nothing that was learned of it holds any more.
//
// What goes wrong if it is taken for the same: it counts as unreachable, as failing
// its work or as busy for seconds in which it would serve; a check that was sent to the
// old process speaks against the new one; and word of the old life, from a host that
// missed the restart, undoes what is known of the new one. One notices by a restarted
// target that gets no flows, on some hosts only.

// olderThan reports whether what is known of a target is older than a state of some
// life as seen at a position. Lives go first: what an earlier life has written may
// reach the platform, or this host, after the news of a later one.
func (t *target) olderThan(born int64, seen sequencer.Position) bool {
	if born != t.Born {
		return t.Born < born
	}
	return t.seen.Before(seen)
}

// beginLife drops what this host believes of a target's earlier life.
func (s *Steerer) beginLife(t *target, from string) {
	s.log("targetReborn", field("target", t.ID), field("born", itoa(int(t.Born))), field("revision", t.seen.String()),
		field("flows", itoa(t.flows)), field("from", from))
	t.bornAt = t.seen
	for _, key := range s.flowsTo(t) {
		f := s.flows[key]
		s.askAgain(f, t)
		s.forget(key, f)
	}
	t.health = health{}
	t.full = false
	t.foundFullAt = 0
	s.connections.limiter.Forget(uint32(t.tag))
	t.toldSilentDeadline = 0
	t.failures = estimator.FastFailures{}
	t.pace = estimator.Target{}
	for _, p := range s.peers.loaded {
		delete(p.busy, uint32(t.tag))
	}
	t.peersBusy = 0
}

// askAgain repeats a request that waits to a target that has started again, or passes
// on one that waits at this host.
//
// A target answers packets of flows that it does not hold with a reset, so that the
// caller asks elsewhere at once. What goes wrong without the repeat: the old life had
// acknowledged the request, so its caller repeats nothing, and waits until its
// deadline. A reset by this host would be a guess: the flow may have opened at the new
// life, before the news of it came, and then the repeat does no harm.
func (s *Steerer) askAgain(f *flow, t *target) {
	if f.paced != nil {
		for _, data := range f.paced.packets {
			s.sendTarget(t, 0, data)
		}
		return
	}
	if f.waiting && len(f.request) > 0 {
		s.sendTarget(t, 0, f.request)
	}
}

// keepRequest keeps a request that has begun, if it may run more than once and fits a
// packet; see askAgain.
func (f *flow) keepRequest(data []byte) {
	if f.route.Kind.repeatable() && len(data) <= maxKeptRequest {
		f.request = slices.Clone(data)
	}
}

// maxKeptRequest bounds a request that is kept while it waits, in bytes: requests
// without a body take some 300.
const maxKeptRequest = 600
