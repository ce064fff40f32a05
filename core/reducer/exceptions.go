package reducer

import (
	"cmp"
	"slices"
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/placer"
	"cranberryspan.dev/core/resolver"
	"cranberryspan.dev/core/timekeeper"
)

// sweepFlows processes one shard per tick: it removes idle flows, updates which
// flows are exceptions after a change of the placement tables, and sends the records
// of exceptions to the successors.
func (r *Reducer) sweepFlows() {
	marking := r.dirtyShards > 0
	if marking {
		r.dirtyShards--
	}
	var uncopied []uncopiedFlow
	r.flows.each(r.flows.nextShard(), func(key resolver.FlowKey, f flow) (flow, bool) {
		s := r.services[key.Service()]
		if s == nil || r.isIdle(s, f) {
			return f, false
		}
		if marking {
			r.markExceptionInSweep(s, placer.Hash(key), &f)
		}
		if f.flags&(flowException|flowCopied) == flowException {
			uncopied = append(uncopied, uncopiedFlow{key: key, flow: f})
		}
		return f, true
	})
	r.copyExceptions(uncopied)
}

// uncopiedFlow is an exception whose record has not been sent to a successor yet.
type uncopiedFlow struct {
	key  resolver.FlowKey
	flow flow
}

// copyExceptions sends the records of exceptions to the successors, within a byte
// budget. Flows with streams or uploads come first, because losing one of those
// costs more than losing a request.
func (r *Reducer) copyExceptions(uncopied []uncopiedFlow) {
	r.copyBudgetBytes = min(r.copyBudgetBytes+copyBytesPerSecond*TickInterval.Seconds(), copyBytesPerSecond)
	slices.SortFunc(uncopied, func(a, b uncopiedFlow) int {
		if byLongLived := cmp.Compare(b.flow.flags&flowLongLived, a.flow.flags&flowLongLived); byLongLived != 0 {
			return byLongLived
		}
		return cmp.Compare(a.key, b.key)
	})
	copies := map[string][]messenger.FlowRecord{}
	for _, u := range uncopied {
		r.copyException(u, copies)
	}
	for _, name := range r.detector.Cell() {
		if records := copies[name]; len(records) > 0 {
			r.counts[CountExceptionsSent] += uint64(len(records))
			r.sendPeer(name, &messenger.FlowRecords{Records: records})
		}
	}
}

// copyException adds the record of an exception to copies, by successor, and marks
// the flow as copied. It does nothing if the byte budget is used up, if the home
// cell of the flow's bucket is not the local one, or if there is no successor.
func (r *Reducer) copyException(u uncopiedFlow, copies map[string][]messenger.FlowRecord) {
	hash := placer.Hash(u.key)
	bucket := placer.BucketOf(hash)
	if r.copyBudgetBytes < flowRecordBytes || r.cells.Home(bucket) != r.localCell {
		return
	}
	successor := r.successorOf(bucket)
	if successor == "" {
		return
	}
	r.copyBudgetBytes -= flowRecordBytes
	u.flow.flags |= flowCopied
	r.flows.put(u.key, hash, u.flow)
	copies[successor] = append(copies[successor], r.recordOf(u.key, u.flow))
}

func (r *Reducer) isIdle(s *service, f flow) bool {
	const longLivedFactor = 6
	timeout := s.settings.Policy.FlowIdleTimeout
	if f.flags&flowLongLived != 0 {
		timeout *= longLivedFactor
	}
	return timekeeper.Instant(time.Duration(f.lastSeen) * time.Second).Add(timeout).Passed(r.now)
}

// markExceptionInSweep calls markException and restores dirtyShards, which
// markException sets so that all shards are swept again.
func (r *Reducer) markExceptionInSweep(s *service, hash uint64, f *flow) {
	dirty := r.dirtyShards
	r.markException(s, hash, f)
	r.dirtyShards = dirty
}
