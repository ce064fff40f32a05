package steerer

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"cranberryspan.dev/core/estimator"
	"cranberryspan.dev/core/pacer"
	"cranberryspan.dev/core/sequencer"
	"cranberryspan.dev/core/timekeeper"
	"github.com/cespare/xxhash/v2"
)

// Tag is the number by which the packets of a flow identify their target. The host writes
// it into the opening packet, the target repeats it to the caller, and the caller in every
// later packet. So any host can forward any packet without having seen the flow before.
type Tag uint32

// TargetNumber is a target's identity as it is prefixed to each forwarded packet.
type TargetNumber uint64

// ParseTargetNumber parses the hex digits after the last dash of a target's ID.
func ParseTargetNumber(id string) (TargetNumber, bool) {
	digits := id[strings.LastIndexByte(id, '-')+1:]
	n, err := strconv.ParseUint(digits, 16, 64)
	return TargetNumber(n), err == nil
}

// tag shortens a number. Numbers of 32 bits keep their value, so two targets share a tag
// only if their numbers are longer or one of them is zero.
func (n TargetNumber) tag() Tag {
	if n>>32 != 0 {
		n = TargetNumber(xxhash.Sum64String(strconv.FormatUint(uint64(n), 16)))
	}
	if Tag(n) == 0 {
		return 1 // Zero means no target.
	}
	return Tag(n)
}

// Target is one incarnation of a process that serves a service, as it registered itself.
type Target struct {
	ID               string
	Number           TargetNumber
	Service          string
	Address          netip.AddrPort
	AvailabilityZone string
	// Slots is how many requests it runs concurrently.
	Slots int
	// Draining targets get no new flows and keep their existing ones.
	Draining bool
	// WarmUp is the remaining warm-up time, in which the target is slow, as of the time
	// when the record was read.
	WarmUp time.Duration
	// Incarnation is the start time of its process, in milliseconds since 1970 by its own
	// clock; 0 if it is not given. A target that restarts under its ID has a new
	// incarnation: of two states, the one of the later incarnation is valid.
	Incarnation int64
}

// equalIgnoringWarmUp reports whether two records are equal but for the remaining warm-up
// time.
func (t Target) equalIgnoringWarmUp(other Target) bool {
	t.WarmUp, other.WarmUp = 0, 0
	return t == other
}

// target is the state that a host keeps of a Target.
type target struct {
	Target
	tag Tag
	// zone is the index of the target's availability zone in the table's zones.
	zone int
	// listedUnder is the service of which the target is a candidate; empty if none.
	listedUnder string
	// digest is the target's contribution to the digest of the table.
	digest uint64
	// countedSlots is the target's contribution to the sum of its service's slots;
	// slotsStale reports whether it may have changed.
	countedSlots microSlots
	slotsStale   bool
	// inUse and inMissing report whether the target is in the table's lists inUse and
	// missing.
	inUse     bool
	inMissing bool
	// seenPosition is the position in the platform's history at which the state was first
	// read. Of two states reported by hosts, the one with the later position is valid.
	seenPosition sequencer.Position
	// missing is set while the platform no longer lists the target.
	missing bool
	// malformed is set while the platform lists a malformed entry under the target's ID.
	// The target is missing, too.
	malformed bool
	// incarnationPosition is the position at which this incarnation was first read; zero
	// for the first incarnation that this host knows.
	incarnationPosition sequencer.Position
	// missingSince is when this host learned that the target is missing.
	missingSince timekeeper.Instant
	// restored is what was known of the target before the platform's store was restored and
	// that contradicts the restored store.
	restored restoreConflict
	// warmUpDeadline is when the target reaches its full speed.
	warmUpDeadline timekeeper.Instant

	// flows counts the flows through this host; pendingRequests counts those that wait for
	// a response, halfOpen those not yet established.
	flows           int
	pendingRequests int
	halfOpen        int
	// inRecentChanges reports whether the target is among the recent changes sent in
	// reports.
	inRecentChanges bool
	// peersInFlight is the sum of the in-flight requests reported by the other hosts of the
	// zone.
	peersInFlight int

	// queue holds the requests for the target that are queued at this host.
	queue pacer.Queue[*queuedRequest]

	// reportedUnreachableDeadline is until when another host's report that it is
	// unreachable is valid.
	reportedUnreachableDeadline timekeeper.Instant

	// estimatedFull reports whether the target was last estimated to be at its connection
	// limit.
	estimatedFull bool
	// foundFullAt is when a probe last showed that it was full.
	foundFullAt timekeeper.Instant

	health health

	// slowdownEstimate estimates how slow the target is; failures tracks its implausibly
	// fast responses. slowdownTracked reports whether the target is among the active ones
	// of the slowdown estimates.
	slowdownEstimate estimator.Target
	failures         estimator.FastFailures
	slowdownTracked  bool
}

// inFlight returns how many requests a target has in flight, as far as the hosts of the
// zone know.
func (t *target) inFlight() int { return t.pendingRequests + t.halfOpen + t.peersInFlight }
