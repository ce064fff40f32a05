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

// flowTick visits one shard: it drops idle flows, marks flows that the last
// change made exceptions, and tells successors of exceptions.
func (r *Reducer) flowTick() {
	marking := r.dirtyShards > 0
	if marking {
		r.dirtyShards--
	}
	var untold []untoldFlow
	r.flows.each(r.flows.nextShard(), func(key resolver.FlowKey, f flow) (flow, bool) {
		s := r.services[key.Service()]
		if s == nil || r.idle(s, f) {
			return f, false
		}
		if marking {
			r.markExceptionQuietly(s, placer.Hash(key), &f)
		}
		if f.flags&(flowException|flowCopied) == flowException {
			untold = append(untold, untoldFlow{key: key, flow: f})
		}
		return f, true
	})
	r.copyExceptions(untold)
}

// untoldFlow is an exception of which no successor knows yet.
type untoldFlow struct {
	key  resolver.FlowKey
	flow flow
}

// copyExceptions tells successors of exceptions as far as the budget reaches,
// streams and uploads first: losing one of those costs more than a request.
func (r *Reducer) copyExceptions(untold []untoldFlow) {
	r.copyTokens = min(r.copyTokens+copyBytesPerSecond*TickEvery.Seconds(), copyBytesPerSecond)
	slices.SortFunc(untold, func(a, b untoldFlow) int {
		if byLength := cmp.Compare(b.flow.flags&flowLong, a.flow.flags&flowLong); byLength != 0 {
			return byLength
		}
		return cmp.Compare(a.key, b.key)
	})
	copies := map[string][]messenger.FlowRecord{}
	for _, u := range untold {
		r.copyException(u, copies)
	}
	for _, name := range r.detector.Cell() {
		if records := copies[name]; len(records) > 0 {
			r.counts[CountExceptions] += uint64(len(records))
			r.sendPeer(name, &messenger.FlowRecords{Records: records})
		}
	}
}

func (r *Reducer) copyException(u untoldFlow, copies map[string][]messenger.FlowRecord) {
	hash := placer.Hash(u.key)
	bucket := placer.BucketOf(hash)
	if r.copyTokens < flowRecordBytes || r.cells.Home(bucket) != r.ownCell {
		return
	}
	successor := r.successorOf(bucket)
	if successor == "" {
		return
	}
	r.copyTokens -= flowRecordBytes
	u.flow.flags |= flowCopied
	r.flows.put(u.key, hash, u.flow)
	copies[successor] = append(copies[successor], r.recordOf(u.key, u.flow))
}

func (r *Reducer) idle(s *service, f flow) bool {
	const longFactor = 6
	span := s.settings.Policy.FlowIdleTimeout
	if f.flags&flowLong != 0 {
		span *= longFactor
	}
	return timekeeper.Instant(time.Duration(f.seen) * time.Second).Add(span).Passed(r.now)
}

func (r *Reducer) markExceptionQuietly(s *service, hash uint64, f *flow) {
	dirty := r.dirtyShards
	r.markException(s, hash, f)
	r.dirtyShards = dirty
}
