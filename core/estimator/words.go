package estimator

import "cranberryspan.dev/core/timekeeper"

// words are the latest words of different hosts that a target's answers come too
// quickly. More than quickEnough say no more; all of them would be memory that grows with
// hosts times targets.
type words [quickEnough]word

// word is one host's word, and until when it counts.
type word struct {
	host     string
	deadline timekeeper.Instant
}

// add takes in a host's word, in the place of its last one or of the oldest.
func (w *words) add(host string, deadline timekeeper.Instant) {
	oldest := 0
	for i := range w {
		if w[i].host == host {
			w[i].deadline = deadline
			return
		}
		if w[i].deadline < w[oldest].deadline {
			oldest = i
		}
	}
	w[oldest] = word{host, deadline}
}

// count is how many words count still.
func (w *words) count(now timekeeper.Instant) int {
	count := 0
	for i := range w {
		if w[i].host != "" && !w[i].deadline.Passed(now) {
			count++
		}
	}
	return count
}
