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
func (t *target) olderThan(incarnation int64, position sequencer.Position) bool {
	if incarnation != t.Incarnation {
		return t.Incarnation < incarnation
	}
	return t.seenPosition.Before(position)
}

// resetForRestart drops what this host believes of a target's earlier life.
func (s *Steerer) resetForRestart(t *target, from string) {
	s.log("targetReborn", field("target", t.ID), field("born", formatInt(int(t.Incarnation))), field("revision", t.seenPosition.String()),
		field("flows", formatInt(t.flows)), field("from", from))
	t.incarnationPosition = t.seenPosition
	for _, key := range s.flowsTo(t) {
		f := s.flows[key]
		s.resendRequest(f, t)
		s.forgetFlow(key, f)
	}
	t.health = health{}
	t.believedFull = false
	t.foundFullAt = 0
	s.connections.limiter.Forget(uint32(t.tag))
	t.reportedUnresponsiveDeadline = 0
	t.failures = estimator.FastFailures{}
	t.slowdownEstimate = estimator.Target{}
	for _, p := range s.peers.loaded {
		delete(p.busy, uint32(t.tag))
	}
	t.peersBusy = 0
}

// resendRequest repeats a request that waits to a target that has started again, or passes
// on one that waits at this host.
//
// A target answers packets of flows that it does not hold with a reset, so that the
// caller asks elsewhere at once. What goes wrong without the repeat: the old life had
// acknowledged the request, so its caller repeats nothing, and waits until its
// deadline. A reset by this host would be a guess: the flow may have opened at the new
// life, before the news of it came, and then the repeat does no harm.
func (s *Steerer) resendRequest(f *flow, t *target) {
	if f.paced != nil {
		for _, data := range f.paced.packets {
			s.forward(t, 0, data)
		}
		return
	}
	if f.awaitingResponse && len(f.bufferedRequest) > 0 {
		s.forward(t, 0, f.bufferedRequest)
	}
}

// bufferRequest keeps a request that has begun, if it may run more than once and fits a
// packet; see resendRequest.
func (f *flow) bufferRequest(data []byte) {
	if f.route.Kind.retryable() && len(data) <= maxBufferedRequestBytes {
		f.bufferedRequest = slices.Clone(data)
	}
}

// maxBufferedRequestBytes bounds a request that is kept while it waits, in bytes: requests
// without a body take some 300.
const maxBufferedRequestBytes = 600
