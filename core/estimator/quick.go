package estimator

import (
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// quickShare is the part of a route's usual time below which an answer is quicker
	// than work can be. Where times of work spread by half, one answer in some 300
	// is by chance.
	quickShare = 0.25
	// quickMemory is how long a quick answer counts. Chance brings two in that time,
	// at all hosts of a zone together, to one target in a hundred.
	quickMemory = 3 * time.Second
	// quickEnough is how many make a target one that fails its work.
	quickEnough = 2
)

// TooQuick reports whether no work can have been done in a time.
func TooQuick(took, usual time.Duration) bool {
	return float64(took) < quickShare*float64(usual)
}

// Failures is what a host knows of a target's answers that came too quickly for work:
// failures take less time than work, so that a target that fails looks fast. They say
// nothing of how fast it is.
type Failures struct {
	// own are the last moments at which this host saw one.
	own [quickEnough]timekeeper.Instant
	// told is what other hosts of the zone say.
	told words
}

// Observe takes in an answer that came too quickly.
func (f *Failures) Observe(now timekeeper.Instant) { f.own[0], f.own[1] = f.own[1], now }

// Told takes in that another host of the zone saw one.
func (f *Failures) Told(host string, now timekeeper.Instant) {
	f.told.add(host, now.Add(quickMemory))
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
	return count+f.told.count(now) >= quickEnough
}

func recent(at, now timekeeper.Instant) bool { return at != 0 && now.Since(at) < quickMemory }
