package reducer

import (
	"time"

	"cranberryspan.dev/core/placer"
	"cranberryspan.dev/core/resolver"
	"cranberryspan.dev/core/timekeeper"
)

// noTarget is a registry index that stands for no target.
const noTarget = 0xffff

// flow is an owner's record of a flow: 12 bytes, and 8 for its key.
type flow struct {
	// target is the index of the flow's target in the service's registry.
	target uint16
	// otherTarget is the target of the flow's new requests while target drains or is
	// ejected and keeps only the existing streams and uploads; noTarget otherwise.
	otherTarget uint16
	// lastSeen is when the flow was last used, in seconds of the host's clock; see
	// touch for its resolution.
	lastSeen uint32
	flags    flowFlags
}

type flowFlags uint8

const (
	// flowLongLived marks a flow with a stream or an upload.
	flowLongLived flowFlags = 1 << iota
	// flowException marks a flow whose target is not the one that the current
	// placement table gives.
	flowException
	// flowTransferMoved marks a flow whose latest blockwise transfer began at
	// otherTarget.
	flowTransferMoved
	// flowCopied marks an exception whose record was sent to the successor.
	flowCopied
)

// flowShards is the number of shards, of which each sweep visits one.
const flowShards = 256

// flowTable holds the records of flows. It is updated in place, because copying an
// immutable map for each packet would cost far more than the lookup itself
// (BenchmarkKnownFlow), and only its reducer accesses it.
//
// A shard holds the flows whose buckets have the same low byte.
type flowTable struct {
	shards    [flowShards]map[resolver.FlowKey]flow
	size      int
	nextSweep int
}

func newFlowTable() *flowTable {
	t := &flowTable{}
	for i := range t.shards {
		t.shards[i] = map[resolver.FlowKey]flow{}
	}
	return t
}

func shardOf(hash uint64) int { return int(placer.BucketOf(hash)) % flowShards }

func (t *flowTable) get(key resolver.FlowKey, hash uint64) (flow, bool) {
	f, ok := t.shards[shardOf(hash)][key]
	return f, ok
}

func (t *flowTable) put(key resolver.FlowKey, hash uint64, f flow) {
	shard := t.shards[shardOf(hash)]
	before := len(shard)
	shard[key] = f
	t.size += len(shard) - before
}

func seconds(now timekeeper.Instant) uint32 { return uint32(time.Duration(now) / time.Second) }

// each calls visit for every flow of a shard. visit returns the flow's new record,
// and whether to keep the flow.
func (t *flowTable) each(shard int, visit func(key resolver.FlowKey, f flow) (flow, bool)) {
	flows := t.shards[shard]
	for key, f := range flows {
		updated, keep := visit(key, f)
		switch {
		case !keep:
			delete(flows, key)
			t.size--
		case updated != f:
			flows[key] = updated
		}
	}
}

// nextShard returns the index of the shard to sweep next, in rotation.
func (t *flowTable) nextShard() int {
	shard := t.nextSweep
	t.nextSweep = (t.nextSweep + 1) % flowShards
	return shard
}
