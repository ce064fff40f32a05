package reducer

import (
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// pauseThreshold is the gap between two events from which a host concludes that
	// it was paused; ticks alone are far more frequent.
	pauseThreshold = time.Second
	// peerContactTTL is how long an acknowledged ping counts as evidence that this
	// host would have received a new revision.
	peerContactTTL = 2 * time.Second
	// platformContactTTL is the same for a read of the platform, which is less
	// frequent.
	platformContactTTL = 8 * time.Second
	// isolationTimeout is how long a host without contact with peers or the platform
	// accepts no new work. After that it may be the last host that callers can reach.
	isolationTimeout = time.Minute
)

// isolation tracks whether this host may be working with settings that are no
// longer in force.
//
// Without this, a host is paused, a target is drained, and the resumed host assigns
// new work from its queued packets to that target; or the host is partitioned from
// everything but the fabric while the target is drained. This shows as new flows on a
// target that was drained long ago. So a host accepts new work only if a peer or the
// platform has responded to it recently. When it detects that it was paused, it waits
// for such a response first.
type isolation struct {
	// platformContactDeadline is when the latest contact with the platform expires.
	platformContactDeadline timekeeper.Instant
	// lostContactSince is when the last contact expired; Never while there is
	// contact.
	lostContactSince timekeeper.Instant
}

// detectPause discards this host's contacts if the gap between two events shows that
// it was paused. It is called for every event, before the event is handled.
func (r *Reducer) detectPause(before, now timekeeper.Instant) {
	if before.Add(pauseThreshold) < now {
		r.isolation.platformContactDeadline = 0
		r.isolation.lostContactSince = now
		r.detector.RecordPause(now)
	}
}

func (r *Reducer) recordPlatformContact() {
	r.isolation.platformContactDeadline = r.now.Add(platformContactTTL)
}

// inContact reports whether this host would have received a new revision.
func (r *Reducer) inContact() bool {
	if len(r.detector.Others()) == 0 {
		return true
	}
	peerContact := !r.detector.LastAckedPingAt().Add(peerContactTTL).Passed(r.now)
	return peerContact || !r.isolation.platformContactDeadline.Passed(r.now)
}

func (r *Reducer) updateIsolation() {
	if r.inContact() {
		r.isolation.lostContactSince = timekeeper.Never
	} else if r.isolation.lostContactSince == timekeeper.Never {
		r.isolation.lostContactSince = r.now
	}
}

// acceptsNewWork reports whether this host may accept new work: it has contact, or
// has had none for isolationTimeout.
func (r *Reducer) acceptsNewWork() bool {
	if r.inContact() {
		return true
	}
	since := r.isolation.lostContactSince
	return since != timekeeper.Never && since.Add(isolationTimeout).Passed(r.now)
}

// isIsolated reports whether this host has been without contact for so long that
// holding requests until it returns is futile.
func (r *Reducer) isIsolated() bool {
	since := r.isolation.lostContactSince
	return !r.acceptsNewWork() && since != timekeeper.Never && since.Add(futileWaitAfter).Passed(r.now)
}
