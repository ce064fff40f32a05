package estimator

import "cranberryspan.dev/core/timekeeper"

// fastFailureReports are the latest reports of different hosts that a target's answers come too
// quickly. More than fastFailureThreshold say no more; all of them would be memory that grows with
// hosts times targets.
type fastFailureReports [fastFailureThreshold]fastFailureReport

// fastFailureReport is which host reported it, and until when that counts.
type fastFailureReport struct {
	host     string
	deadline timekeeper.Instant
}

// add takes in a host's report, in the place of its last one or of the oldest.
func (r *fastFailureReports) add(host string, deadline timekeeper.Instant) {
	oldest := 0
	for i := range r {
		if r[i].host == host {
			r[i].deadline = deadline
			return
		}
		if r[i].deadline < r[oldest].deadline {
			oldest = i
		}
	}
	r[oldest] = fastFailureReport{host, deadline}
}

// count is how many hosts' reports still count.
func (r *fastFailureReports) count(now timekeeper.Instant) int {
	count := 0
	for i := range r {
		if r[i].host != "" && !r[i].deadline.Passed(now) {
			count++
		}
	}
	return count
}
