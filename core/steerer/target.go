package steerer

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"cranberryspan.dev/core/timekeeper"
	"github.com/cespare/xxhash/v2"
)

// Tag is the number by which the packets of a flow name their target. The host
// writes it into the opening packet, the target repeats it to the caller, and
// the caller in every later packet. So any host can pass any packet on without
// having seen the flow before.
type Tag uint32

// Number is a target's identity as it stands in front of each packet.
type Number uint64

// NumberOf reads the hex digits behind the last dash of a target's ID.
func NumberOf(id string) (Number, bool) {
	digits := id[strings.LastIndexByte(id, '-')+1:]
	n, err := strconv.ParseUint(digits, 16, 64)
	return Number(n), err == nil
}

// tag shortens a number. Numbers of 32 bits keep their value, so two targets
// share a tag only if their numbers are longer or one of them is zero.
func (n Number) tag() Tag {
	if n>>32 != 0 {
		n = Number(xxhash.Sum64String(strconv.FormatUint(uint64(n), 16)))
	}
	if Tag(n) == 0 {
		return 1 // Zero stands for no target.
	}
	return Tag(n)
}

// Target is one start of a back end, as it registered itself.
type Target struct {
	ID               string
	Number           Number
	Service          string
	Address          netip.AddrPort
	AvailabilityZone string
	// Slots is how many requests it runs at once.
	Slots int
	// Draining targets get no new flows and keep those that they have.
	Draining bool
	// WarmUp is for how much longer it is slow, from when the record was read.
	WarmUp time.Duration
}

// same reports whether two records say the same but for the passing of time.
func (t Target) same(other Target) bool {
	t.WarmUp, other.WarmUp = 0, 0
	return t == other
}

// target is what a host knows of a Target.
type target struct {
	Target
	tag Tag
	// seen is the revision of the platform at which the state was first read. Of
	// two states of a target that hosts tell each other the one seen later holds.
	seen uint64
	// missing is set while the platform lists the target no more.
	missing bool
	// missingSince is when that was noticed.
	missingSince timekeeper.Instant
	// warmUpDeadline is when the target has its full speed.
	warmUpDeadline timekeeper.Instant

	// flows counts the flows through this host, busy those of them that wait for an
	// answer, opening those that have not opened yet.
	flows   int
	busy    int
	opening int
	// peersBusy is the sum of what the other hosts of the zone report.
	peersBusy int

	health health
	quick  quickness
}

// table holds the targets that this host knows.
type table struct {
	byID      map[string]*target
	byTag     map[Tag]*target
	byService map[string][]*target
	// sorted is byID in the order of IDs; nil after a change.
	sorted []*target
	// digestValue is kept until something changes.
	digestValue uint64
	digestValid bool
}

func newTable() table {
	return table{byID: map[string]*target{}, byTag: map[Tag]*target{}, byService: map[string][]*target{}}
}

// put adds a target or changes what is known of it. It reports whether another
// target already has its tag; such a target can't be told apart in packets.
func (t *table) put(record Target, seen uint64) (*target, bool) {
	t.digestValid = false
	known, ok := t.byID[record.ID]
	if ok {
		known.Target = record
		known.seen = seen
		return known, false
	}
	t.sorted = nil
	added := &target{Target: record, tag: record.Number.tag(), seen: seen}
	t.byID[record.ID] = added
	if holder, taken := t.byTag[added.tag]; taken && !holder.missing {
		return added, true
	}
	t.byTag[added.tag] = added
	t.byService[record.Service] = append(t.byService[record.Service], added)
	return added, false
}

// remove forgets a target.
func (t *table) remove(gone *target) {
	t.sorted = nil
	delete(t.byID, gone.ID)
	if t.byTag[gone.tag] == gone {
		delete(t.byTag, gone.tag)
	}
	siblings := t.byService[gone.Service]
	for i, sibling := range siblings {
		if sibling == gone {
			t.byService[gone.Service] = append(siblings[:i:i], siblings[i+1:]...)
			return
		}
	}
}
