package estimator

import (
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// tooQuickShare is the part of a route's usual time below which an answer is quicker
	// than work can be. Requests that take unequally long rarely come below it by chance.
	tooQuickShare = 0.25
	// tooQuickMemory is how long an answer that came too quickly counts: short enough that
	// two by chance rarely meet, at all hosts of a zone together.
	tooQuickMemory = 3 * time.Second
	// enoughTooQuick is how many such answers make a target one that fails its work.
	enoughTooQuick = 2
)

// TooQuick reports whether no work can have been done in a time.
func TooQuick(took, usual time.Duration) bool {
	return float64(took) < tooQuickShare*float64(usual)
}

// Failures is what a host knows of a target's answers that came too quickly for work:
// failures take less time than work, so that a target that fails looks fast. They say
// nothing of how fast it is.
type Failures struct {
	// own is when this host saw the last ones, the latest last.
	own [enoughTooQuick]timekeeper.Instant
	// told is when other hosts of the zone reported one.
	told quickReports
}

// Observe takes in an answer that came too quickly.
func (f *Failures) Observe(now timekeeper.Instant) { f.own[0], f.own[1] = f.own[1], now }

// Told takes in that another host of the zone saw one.
func (f *Failures) Told(host string, now timekeeper.Instant) {
	f.told.add(host, now.Add(tooQuickMemory))
}

// Recent reports whether this host saw one of late.
func (f *Failures) Recent(now timekeeper.Instant) bool { return recent(f.own[1], now) }

// Enough reports whether the target fails its work.
func (f *Failures) Enough(now timekeeper.Instant) bool {
	count := 0
	for _, at := range f.own {
		if recent(at, now) {
			count++
		}
	}
	return count+f.told.count(now) >= enoughTooQuick
}

// recent reports whether an answer of a moment still counts; 0 means none.
func recent(at, now timekeeper.Instant) bool { return at != 0 && now.Since(at) < tooQuickMemory }
