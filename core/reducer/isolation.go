package reducer

import (
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// sleepSpan is the gap between two events from which a host concludes that
	// it was paused: ticks alone come far more often.
	sleepSpan = time.Second
	// contactSpan is how long an answer of a peer, or of the platform, shows
	// that this host would have heard of a new revision.
	contactSpan = 2 * time.Second
	// platformSpan is the same for the platform, which is read less often.
	platformSpan = 8 * time.Second
	// isolationSpan is how long an isolated host takes no new work. After that
	// it may be the last one that callers can reach.
	isolationSpan = time.Minute
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
	// since is when the last contact lapsed; Never while there is contact.
	since timekeeper.Instant
}

// noteTime is called with every event, before the event is looked at.
func (r *Reducer) noteTime(before, now timekeeper.Instant) {
	if before.Add(sleepSpan) < now {
		r.isolation.platformDeadline = 0
		r.isolation.since = now
		r.detector.NotePause(now)
	}
}

func (r *Reducer) notePlatform() { r.isolation.platformDeadline = r.now.Add(platformSpan) }

// inContact reports whether this host would have heard of a new revision.
func (r *Reducer) inContact() bool {
	if len(r.detector.Others()) == 0 {
		return true
	}
	answered := !r.detector.LastAnswer().Add(contactSpan).Passed(r.now)
	return answered || !r.isolation.platformDeadline.Passed(r.now)
}

func (r *Reducer) isolationTick() {
	if r.inContact() {
		r.isolation.since = timekeeper.Never
	} else if r.isolation.since == timekeeper.Never {
		r.isolation.since = r.now
	}
}

// mayOpen reports whether this host may take new work.
func (r *Reducer) mayOpen() bool {
	if r.inContact() {
		return true
	}
	since := r.isolation.since
	return since != timekeeper.Never && since.Add(isolationSpan).Passed(r.now)
}

// isolated reports whether the lack of contact has lasted so long that waiting
// for it is of no use.
func (r *Reducer) isolated() bool {
	since := r.isolation.since
	return !r.mayOpen() && since != timekeeper.Never && since.Add(hopelessSpan).Passed(r.now)
}
