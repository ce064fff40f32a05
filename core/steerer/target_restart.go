package steerer

import (
	"slices"

	"cranberryspan.dev/core/estimator"
	"cranberryspan.dev/core/sequencer"
)

// A target may exit and restart under the same ID and address. The new incarnation holds
// none of its flows, and nothing that was learned about the earlier one applies to it.
//
// Without distinguishing incarnations, the target counts as unreachable, failing or loaded
// for seconds in which it would serve; a probe of the old process counts against the new
// one; and a report about the old incarnation, from a host that missed the restart,
// overrides what is known of the new one. This shows as a restarted target that gets no
// flows, on some hosts only. A probe in flight that belongs to the earlier incarnation keeps the
// target from being probed for good, since its outcome never counts.

// olderThan reports whether what is known of a target is older than the state of the given
// incarnation as read at the given position. Incarnations are compared first: what an
// earlier incarnation has written may reach the platform, or this host, after the updates
// of a later one.
func (t *target) olderThan(incarnation int64, position sequencer.Position) bool {
	if incarnation != t.Incarnation {
		return t.Incarnation < incarnation
	}
	return t.seenPosition.Before(position)
}

// resetForRestart discards the state of a target's earlier incarnation. It removes the flows
// to it from the flow table; resendRequest says what becomes of their requests.
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
	t.estimatedFull = false
	t.foundFullAt = 0
	s.connections.limiter.Forget(uint32(t.tag))
	t.reportedUnreachableDeadline = 0
	t.failures = estimator.FastFailures{}
	t.slowdownEstimate = estimator.Target{}
	for _, p := range s.peers.loaded {
		delete(p.requestsInFlight, uint32(t.tag))
	}
	t.peersInFlight = 0
}

// resendRequest sends a request in flight again to a target that has restarted, or forwards
// one that is queued at this host.
//
// A target responds to packets of unknown flows with a reset, so that the caller tries
// another target at once. Without resending, the caller waits until its deadline: the old
// incarnation had acknowledged the request, so the caller does not retransmit it. This host
// must not send the reset itself: the flow may have been opened at the new incarnation
// before this host learned of it. In that case the duplicate request packet is harmless.
func (s *Steerer) resendRequest(f *flow, t *target) {
	if f.queued != nil {
		for _, data := range f.queued.packets {
			s.forward(t, 0, data)
		}
		return
	}
	if f.awaitingResponse && len(f.bufferedRequest) > 0 {
		s.forward(t, 0, f.bufferedRequest)
	}
}

// bufferRequest keeps a request that has begun, if it is retryable and small enough; see
// resendRequest.
func (f *flow) bufferRequest(data []byte) {
	if f.route.Kind.retryable() && len(data) <= maxBufferedRequestBytes {
		f.bufferedRequest = slices.Clone(data)
	}
}

// maxBufferedRequestBytes limits the size of a buffered request: requests without a body
// take about 300 bytes.
const maxBufferedRequestBytes = 600
