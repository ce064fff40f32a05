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

// Tag is the number by which the packets of a flow name their target. The host
// writes it into the opening packet, the target repeats it to the caller, and
// the caller in every later packet. So any host can pass any packet on without
// having seen the flow before.
type Tag uint32

// TargetNumber is a target's identity as it stands in front of each packet.
type TargetNumber uint64

// ParseTargetNumber reads the hex digits behind the last dash of a target's ID.
func ParseTargetNumber(id string) (TargetNumber, bool) {
	digits := id[strings.LastIndexByte(id, '-')+1:]
	n, err := strconv.ParseUint(digits, 16, 64)
	return TargetNumber(n), err == nil
}

// tag shortens a number. Numbers of 32 bits keep their value, so two targets
// share a tag only if their numbers are longer or one of them is zero.
func (n TargetNumber) tag() Tag {
	if n>>32 != 0 {
		n = TargetNumber(xxhash.Sum64String(strconv.FormatUint(uint64(n), 16)))
	}
	if Tag(n) == 0 {
		return 1 // Zero stands for no target.
	}
	return Tag(n)
}

// Target is one start of a process that answers for a service, as it registered itself.
type Target struct {
	ID               string
	Number           TargetNumber
	Service          string
	Address          netip.AddrPort
	AvailabilityZone string
	// Slots is how many requests it runs at once.
	Slots int
	// Draining targets get no new flows and keep those that they have.
	Draining bool
	// WarmUp is for how much longer it is slow, from when the record was read.
	WarmUp time.Duration
	// Incarnation is when its process started, in milliseconds since 1970 by its own clock; 0 if
	// it does not say. A target that starts again under its ID lives anew: of two states
	// that of the later life holds.
	Incarnation int64
}

// equalIgnoringWarmUp reports whether two records say the same but for the passing of time.
func (t Target) equalIgnoringWarmUp(other Target) bool {
	t.WarmUp, other.WarmUp = 0, 0
	return t == other
}

// target is what a host knows of a Target.
type target struct {
	Target
	tag Tag
	// zone is the place of the target's availability zone in the table's zones.
	zone int
	// listedUnder is the service in whose list of choices the target stands; empty if
	// in none.
	listedUnder string
	// digest is the target's part in the digest of the table.
	digest uint64
	// countedSlots is the target's part in the sum of its service's slots; uncounted says that it
	// may have changed.
	countedSlots microSlots
	slotsStale   bool
	// inUse and gone say that the target is in the table's lists of that name.
	inUse bool
	gone  bool
	// seenPosition is the position of the platform's history at which the state was first read. Of
	// two states of a target that hosts tell each other the one seen later holds.
	seenPosition sequencer.Position
	// missing is set while the platform lists the target no more.
	missing bool
	// malformed is set while the platform lists an entry under the target's ID that
	// names no target. The target is missing, too.
	malformed bool
	// incarnationPosition is the position at which this life was first read; zero for the first life
	// that this host knows.
	incarnationPosition sequencer.Position
	// missingSince is when that was noticed.
	missingSince timekeeper.Instant
	// restored is what was known of the target before the platform was restored, and what
	// the restored platform contradicts.
	restored restoreConflict
	// warmUpDeadline is when the target has its full speed.
	warmUpDeadline timekeeper.Instant

	// flows counts the flows through this host, busy those of them that wait for an
	// answer, opening those that have not opened yet.
	flows           int
	pendingRequests int
	halfOpen        int
	// inRecentChanges says that the target is among the changes that reports tell.
	inRecentChanges bool
	// peersBusy is the sum of what the other hosts of the zone report.
	peersBusy int

	// queue holds the requests that wait at this host for the target.
	queue pacer.Queue[*queuedRequest]

	// reportedUnresponsiveDeadline is until when another host's word counts that it is silent.
	reportedUnresponsiveDeadline timekeeper.Instant

	// believedFull says that the target was last believed to hold all the flows that it may.
	believedFull bool
	// foundFullAt is when a check last showed that it was full.
	foundFullAt timekeeper.Instant

	health health

	// slowdownEstimate is how fast the target is, failures are its answers that came too quickly for
	// work. estimated says that the target is among the estimating ones.
	slowdownEstimate estimator.Target
	failures         estimator.FastFailures
	slowdownTracked  bool
}

// inFlight is how many requests a target has, as far as the zone's hosts know.
func (t *target) inFlight() int { return t.pendingRequests + t.halfOpen + t.peersBusy }
