package estimator

import "cranberryspan.dev/core/timekeeper"

// fastFailureReports holds the latest reports that a target's responses are implausibly fast,
// at most one per host. It is limited to fastFailureThreshold reports: more would not change
// the result, and memory would grow with hosts times targets.
type fastFailureReports [fastFailureThreshold]fastFailureReport

// fastFailureReport is the report of one host, which counts until the deadline.
type fastFailureReport struct {
	host     string
	deadline timekeeper.Instant
}

// add records the report of a host in place of its previous report or, if there is none, of the
// oldest one.
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

// count returns the number of hosts whose reports still count.
func (r *fastFailureReports) count(now timekeeper.Instant) int {
	count := 0
	for i := range r {
		if r[i].host != "" && !r[i].deadline.Passed(now) {
			count++
		}
	}
	return count
}
