package reducer

import (
	"cranberryspan.dev/core/messenger"
)

// answer takes in a target's answer at the host responsible for its flow. An
// answer goes to the caller whose request it answers, or nowhere.
func (r *Reducer) answer(in *inbound) {
	q, ok := r.byToken[tokenOf(in.key, in.packet.Exchange)]
	if !ok {
		// The request was sent by another host: an owner that died, or one that
		// stood in. The return address names the caller, who knows its token.
		r.deliver(in)
		return
	}
	if in.packet.Flags.Has(messenger.FlagPiggybacked) && q.packet.Exchange.MessageID != in.packet.Exchange.MessageID {
		r.answerToEarlier(in)
		return
	}
	at, known := in.service.byAddr[in.target]
	switch q.state {
	case stateSent:
		if !known || (at != q.target && at != q.tried) {
			r.count(DropLateAnswer)
			return
		}
		r.succeed(in, q, at)
	case stateOrphan:
		r.succeed(in, q, at)
	case stateAnswered:
		// The target repeats its answer until the caller acknowledges it.
		r.deliver(in)
	case stateRefused, stateRefusing, stateQueued, stateWitnessing:
		// The caller has had a final answer, or this answer belongs to an
		// earlier request with the same token.
		r.count(DropLateAnswer)
	}
}

// answerToEarlier handles an answer that acknowledges another message than the
// token's latest request, as happens when a caller uses a token again.
func (r *Reducer) answerToEarlier(in *inbound) {
	q, ok := r.requests[identityOf(in.key, in.packet.Exchange)]
	if !ok {
		r.count(DropLateAnswer)
		return
	}
	switch q.state {
	case stateSent, stateOrphan:
		r.succeed(in, q, in.service.byAddr[in.target])
	case stateAnswered:
		r.deliver(in)
	case stateRefused, stateRefusing, stateQueued, stateWitnessing:
		r.count(DropLateAnswer)
	}
}

// succeed hands an answer to its caller, unless the target says that it ran
// nothing and the request can still run elsewhere.
func (r *Reducer) succeed(in *inbound, q *request, at uint16) {
	t := in.service.registry[at]
	t.failedRequests = 0
	t.answerDeadline = r.now.Add(evidenceSpan)
	if q.target == at && q.state == stateSent {
		t.noteServiceTime(r.now.Until(q.sentAt))
	}
	if in.packet.Flags.Has(messenger.FlagRefused) && q.retriable() && q.target == at && r.retry(q) {
		return
	}
	r.leave(q)
	q.state = stateAnswered
	if q.nonIdempotent() && len(in.packet.Payload) <= maxKeptAnswer {
		q.answer = append([]byte(nil), in.packet.Payload...)
	}
	q.packet.Payload = nil
	r.emit(&Completed{Service: q.service.settings, Latency: r.now.Until(q.since)})
	r.deliver(in)
}
