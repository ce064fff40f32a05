package reducer

import (
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// pauseThreshold is the gap between two events from which a host concludes that
	// it was paused: ticks alone come far more often.
	pauseThreshold = time.Second
	// peerContactTTL is how long an answer of a peer, or of the platform, shows
	// that this host would have heard of a new revision.
	peerContactTTL = 2 * time.Second
	// platformContactTTL is the same for the platform, which is read less often.
	platformContactTTL = 8 * time.Second
	// isolationTimeout is how long an isolated host takes no new work. After that
	// it may be the last one that callers can reach.
	isolationTimeout = time.Minute
)

// isolation tells whether a host may be working with settings that are no
// longer in force.
//
// What goes wrong without it: a host is paused, a target is drained, the host
// wakes and gives the target new work from the packets that waited for it. Or a
// host is cut off from everyone but the fabric. One notices by new flows on a
// target that left long ago. So a host takes new work only while somebody has
// answered it lately, and asks first when it finds that it slept.
type isolation struct {
	platformDeadline timekeeper.Instant
	// lostContactSince is when the last contact lapsed; Never while there is contact.
	lostContactSince timekeeper.Instant
}

// detectPause is called with every event, before the event is looked at.
func (r *Reducer) detectPause(before, now timekeeper.Instant) {
	if before.Add(pauseThreshold) < now {
		r.isolation.platformDeadline = 0
		r.isolation.lostContactSince = now
		r.detector.NotePause(now)
	}
}

func (r *Reducer) notePlatformContact() { r.isolation.platformDeadline = r.now.Add(platformContactTTL) }

// inContact reports whether this host would have heard of a new revision.
func (r *Reducer) inContact() bool {
	if len(r.detector.Others()) == 0 {
		return true
	}
	answered := !r.detector.LastAnswer().Add(peerContactTTL).Passed(r.now)
	return answered || !r.isolation.platformDeadline.Passed(r.now)
}

func (r *Reducer) updateIsolation() {
	if r.inContact() {
		r.isolation.lostContactSince = timekeeper.Never
	} else if r.isolation.lostContactSince == timekeeper.Never {
		r.isolation.lostContactSince = r.now
	}
}

// acceptsNewWork reports whether this host may take new work.
func (r *Reducer) acceptsNewWork() bool {
	if r.inContact() {
		return true
	}
	since := r.isolation.lostContactSince
	return since != timekeeper.Never && since.Add(isolationTimeout).Passed(r.now)
}

// isIsolated reports whether the lack of contact has lasted so long that waiting
// for it is of no use.
func (r *Reducer) isIsolated() bool {
	since := r.isolation.lostContactSince
	return !r.acceptsNewWork() && since != timekeeper.Never && since.Add(futileWaitAfter).Passed(r.now)
}
