package reducer

import (
	"time"

	"cranberryspan.dev/core/placer"
	"cranberryspan.dev/core/resolver"
	"cranberryspan.dev/core/timekeeper"
)

// noTarget marks a flow that has no second target.
const noTarget = 0xffff

// flow is what an owner remembers of a flow, in 16 bytes with its key.
type flow struct {
	// target is the place of the flow's target in its service's registry.
	target uint16
	// otherTarget is the target of plain requests, where target only keeps streams
	// and uploads since it drains; noTarget otherwise.
	otherTarget uint16
	// lastSeen is when the flow's last packet came, in seconds of the host's clock.
	lastSeen uint32
	flags    flowFlags
}

type flowFlags uint8

const (
	// flowLongLived marks a flow with a stream or an upload.
	flowLongLived flowFlags = 1 << iota
	// flowException marks a flow that is not where the current table puts it.
	flowException
	// flowTransferMoved marks a flow whose transfer in blocks began at its other target.
	flowTransferMoved
	// flowCopied marks an exception that the successor has been told of.
	flowCopied
)

// flowShards splits the table so that a sweep visits a small part at a time.
const flowShards = 256

// flowTable is the one mutable store of the system, and belongs to its reducer
// alone. Copying an immutable map for each packet would cost far more than the
// lookup itself (BenchmarkKnownFlow), and nothing else ever reads it.
//
// A shard holds the buckets with the same low byte.
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

// each calls visit for every flow of a shard; visit returns the flow to keep
// and whether to keep it.
func (t *flowTable) each(shard int, visit func(key resolver.FlowKey, f flow) (flow, bool)) {
	flows := t.shards[shard]
	for key, f := range flows {
		now, keep := visit(key, f)
		switch {
		case !keep:
			delete(flows, key)
			t.size--
		case now != f:
			flows[key] = now
		}
	}
}

// nextShard returns the shards one after another.
func (t *flowTable) nextShard() int {
	shard := t.nextSweep
	t.nextSweep = (t.nextSweep + 1) % flowShards
	return shard
}
