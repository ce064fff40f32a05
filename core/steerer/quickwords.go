package steerer

import "cranberryspan.dev/core/timekeeper"

// quickWords are the latest words of different hosts that a target's answers come too
// quickly. More than quickEnough say no more; all of them would be memory that grows with
// hosts times targets.
type quickWords [quickEnough]quickWord

// quickWord is one host's word, and until when it counts.
type quickWord struct {
	host     string
	deadline timekeeper.Instant
}

// add takes in a host's word, in the place of its last one or of the oldest.
func (w *quickWords) add(host string, deadline timekeeper.Instant) {
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
	w[oldest] = quickWord{host, deadline}
}

// count is how many words count still.
func (w *quickWords) count(now timekeeper.Instant) int {
	count := 0
	for i := range w {
		if w[i].host != "" && !w[i].deadline.Passed(now) {
			count++
		}
	}
	return count
}
