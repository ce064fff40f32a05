package estimator

import (
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// fastFailureRatio is the fraction of a route's baseline below which a response is
	// implausibly fast. The normal variance of request durations rarely reaches it.
	fastFailureRatio = 0.25
	// fastFailureWindow is how long an implausibly fast response counts: short enough that two
	// chance occurrences rarely fall into it, even over all hosts of a zone.
	fastFailureWindow = 3 * time.Second
	// fastFailureThreshold is the number of implausibly fast responses within the window from
	// which on a target is taken to be failing its requests.
	fastFailureThreshold = 2
)

// ImplausiblyFast reports whether a request can't have been processed in the elapsed time.
func ImplausiblyFast(elapsed, baseline time.Duration) bool {
	return float64(elapsed) < fastFailureRatio*float64(baseline)
}

// FastFailures tracks the implausibly fast responses of a target. Failing a request takes less
// time than processing it, so a target that fails its requests would look fast. Such responses
// are therefore no evidence of its speed.
type FastFailures struct {
	// local holds the times of the last ones that this host saw, the latest last.
	local [fastFailureThreshold]timekeeper.Instant
	// reported holds the reports of other hosts of the zone.
	reported fastFailureReports
}

// Observe records an implausibly fast response that this host saw.
func (f *FastFailures) Observe(now timekeeper.Instant) { f.local[0], f.local[1] = f.local[1], now }

// ApplyReport records that another host of the zone reported an implausibly fast response.
func (f *FastFailures) ApplyReport(host string, now timekeeper.Instant) {
	f.reported.add(host, now.Add(fastFailureWindow))
}

// SeenRecently reports whether this host saw an implausibly fast response within the window.
func (f *FastFailures) SeenRecently(now timekeeper.Instant) bool { return isRecent(f.local[1], now) }

// ThresholdReached reports whether the target is taken to be failing its requests.
func (f *FastFailures) ThresholdReached(now timekeeper.Instant) bool {
	count := 0
	for _, at := range f.local {
		if isRecent(at, now) {
			count++
		}
	}
	return count+f.reported.count(now) >= fastFailureThreshold
}

// isRecent reports whether a response at the given time still counts; 0 stands for no response.
func isRecent(at, now timekeeper.Instant) bool { return at != 0 && now.Since(at) < fastFailureWindow }
