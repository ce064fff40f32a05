package estimator

import (
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// trialsPerSecond is how many requests a second all hosts of a zone together send a
	// slow target to learn whether it is quick again: four in the two seconds after which
	// it should have its share back.
	trialsPerSecond = 2
	// trialSampleThreshold makes trials needless: open flows of the target show how fast it is.
	trialSampleThreshold = 3
	// flowsPerTrial is of how many new flows of a host one may be a trial, so that many
	// slow targets together cost few callers.
	flowsPerTrial = 16
)

// TrialLimiter bounds the flows that a host places to learn, not for the quickest answer. The zero
// Trials has counted none.
type TrialLimiter struct {
	// flowCount counts the new flows.
	flowCount int
}

// Allow counts a new flow and reports whether it may be a trial.
func (r *TrialLimiter) Allow() bool {
	r.flowCount++
	return r.flowCount%flowsPerTrial == 0
}

// TrialDue reports whether a slow target should be tried by this host.
func (t *Target) TrialDue(now timekeeper.Instant) bool {
	return t.slow && t.combined.weight < trialSampleThreshold && t.nextTrial.Passed(now)
}

// ScheduleTrial sets when this host, one of so many in the zone, may try the target next. Chance
// is a random number between 0 and 1: without it hosts that learned at the same moment that
// the target is slow would try it at the same moment.
func (t *Target) ScheduleTrial(hosts int, jitter float64, now timekeeper.Instant) {
	meanDelay := time.Duration(max(hosts, 1)) * time.Second / trialsPerSecond
	t.nextTrial = now.Add(time.Duration(2 * jitter * float64(meanDelay)))
}

// NextTrial is when this host may try the target next.
func (t *Target) NextTrial() timekeeper.Instant { return t.nextTrial }
