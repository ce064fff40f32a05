package steerer

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// noteChanged has a target's digest worked out anew before the next look at the table's.
func (t *table) noteChanged(one *target) {
	if !one.undigested {
		one.undigested = true
		t.undigested = append(t.undigested, one)
	}
}

// digest is equal for tables that list the same targets in the same states, in whatever
// order they came: the sum of the targets' own digests. Only those that have changed since
// the last look are worked out anew.
func (t *table) digest() uint64 {
	for _, one := range t.undigested {
		one.undigested = false
		next := one.stateDigest()
		t.digestSum += next - one.digest
		one.digest = next
	}
	t.undigested = t.undigested[:0]
	return t.digestSum
}

// stateDigest is the digest of what hosts tell each other of a target; 0 for one that is
// missing.
func (t *target) stateDigest() uint64 {
	if t.missing {
		return 0
	}
	state := make([]byte, 0, 128)
	state = append(state, t.ID...)
	state = append(state, 0)
	state = append(state, t.Service...)
	state = append(state, 0)
	state = append(state, t.Address.String()...)
	if t.Draining {
		state = append(state, "\x00draining"...)
	}
	if t.Born != 0 {
		state = append(state, 0)
		state = strconv.AppendInt(state, t.Born, 10)
	}
	return xxhash.Sum64(state)
}
