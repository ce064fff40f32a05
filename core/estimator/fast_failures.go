package estimator

import (
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// fastFailureRatio is the part of a route's usual time below which an answer is quicker
	// than work can be. Requests that take unequally long rarely come below it by chance.
	fastFailureRatio = 0.25
	// fastFailureWindow is how long an answer that came too quickly counts: short enough that
	// two by chance rarely meet, at all hosts of a zone together.
	fastFailureWindow = 3 * time.Second
	// fastFailureThreshold is how many such answers make a target one that fails its work.
	fastFailureThreshold = 2
)

// ImplausiblyFast reports whether no work can have been done in a time.
func ImplausiblyFast(elapsed, baseline time.Duration) bool {
	return float64(elapsed) < fastFailureRatio*float64(baseline)
}

// FastFailures is what a host knows of a target's answers that came too quickly for work:
// failures take less time than work, so that a target that fails looks fast. They say
// nothing of how fast it is.
type FastFailures struct {
	// local is when this host saw the last ones, the latest last.
	local [fastFailureThreshold]timekeeper.Instant
	// reported is when other hosts of the zone reported one.
	reported fastFailureReports
}

// Observe takes in an answer that came too quickly.
func (f *FastFailures) Observe(now timekeeper.Instant) { f.local[0], f.local[1] = f.local[1], now }

// ApplyReport takes in that another host of the zone saw one.
func (f *FastFailures) ApplyReport(host string, now timekeeper.Instant) {
	f.reported.add(host, now.Add(fastFailureWindow))
}

// SeenRecently reports whether this host saw one of late.
func (f *FastFailures) SeenRecently(now timekeeper.Instant) bool { return isRecent(f.local[1], now) }

// ThresholdReached reports whether the target fails its work.
func (f *FastFailures) ThresholdReached(now timekeeper.Instant) bool {
	count := 0
	for _, at := range f.local {
		if isRecent(at, now) {
			count++
		}
	}
	return count+f.reported.count(now) >= fastFailureThreshold
}

// isRecent reports whether an answer of a moment still counts; 0 means none.
func isRecent(at, now timekeeper.Instant) bool { return at != 0 && now.Since(at) < fastFailureWindow }
