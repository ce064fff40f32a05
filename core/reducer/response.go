package reducer

import (
	"cranberryspan.dev/core/messenger"
)

// handleResponse handles a target's response on the host responsible for its flow.
// If this host tracks a request with the response's token, it delivers the response
// only if the response belongs to that request or to an earlier one with the same
// token, and drops it otherwise.
func (r *Reducer) handleResponse(in *inbound) {
	q, ok := r.byToken[tokenOf(in.key, in.packet.Exchange)]
	if !ok {
		// The request was sent by another host: an owner that died, or a fallback.
		// The return address gives the caller, which matches the token itself.
		r.deliverToCaller(in)
		return
	}
	if in.packet.Flags.Has(messenger.FlagPiggybacked) && q.packet.Exchange.MessageID != in.packet.Exchange.MessageID {
		r.handleEarlierResponse(in)
		return
	}
	index, known := in.service.byAddr[in.target]
	switch q.state {
	case stateSent:
		if !known || (index != q.target && index != q.previousTarget) {
			r.count(DropLateAnswer)
			return
		}
		r.completeRequest(in, q, index)
	case stateInDoubt:
		r.completeRequest(in, q, index)
	case stateCompleted:
		// The target retransmits its response until the caller acknowledges it.
		r.deliverToCaller(in)
	case stateRefused, stateRefusing, stateQueued, stateWitnessing:
		// The caller has received or will receive a final reply, or this response
		// belongs to an earlier request with the same token.
		r.count(DropLateAnswer)
	}
}

// handleEarlierResponse handles a response that acknowledges a message other than
// the latest request with its token, as happens when a caller reuses a token.
func (r *Reducer) handleEarlierResponse(in *inbound) {
	q, ok := r.requests[identityOf(in.key, in.packet.Exchange)]
	if !ok {
		r.count(DropLateAnswer)
		return
	}
	switch q.state {
	case stateSent, stateInDoubt:
		r.completeRequest(in, q, in.service.byAddr[in.target])
	case stateCompleted:
		r.deliverToCaller(in)
	case stateRefused, stateRefusing, stateQueued, stateWitnessing:
		r.count(DropLateAnswer)
	}
}

// completeRequest delivers a response to its caller, unless the target refused the
// request without running it and the request can be retried at another target.
func (r *Reducer) completeRequest(in *inbound, q *request, index uint16) {
	t := in.service.registry[index]
	t.failedRequests = 0
	t.responseEvidenceDeadline = r.now.Add(responseEvidenceTTL)
	if q.target == index && q.state == stateSent {
		t.updateServiceTime(r.now.Until(q.sentAt))
	}
	if in.packet.Flags.Has(messenger.FlagRefused) && q.retriable() && q.target == index && r.retry(q) {
		return
	}
	r.releaseSlot(q)
	q.state = stateCompleted
	if q.nonIdempotent() && len(in.packet.Payload) <= maxCachedResponseBytes {
		q.cachedResponse = append([]byte(nil), in.packet.Payload...)
	}
	q.packet.Payload = nil
	r.emit(&Completed{Service: q.service.settings, Latency: r.now.Until(q.receivedAt)})
	r.deliverToCaller(in)
}
