package estimator

import (
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// trialsPerSecond is how many trial requests a second all hosts of a zone together send to
	// a slow target to detect its recovery: four within the two seconds after which a recovered
	// target should have its share of flows back.
	trialsPerSecond = 2
	// trialSampleThreshold is the number of recent samples from which on no trials are needed,
	// since the open flows of the target already show how fast it is.
	trialSampleThreshold = 3
	// flowsPerTrial limits trials to one in this many new flows of a host, so that many slow
	// targets at once affect few callers.
	flowsPerTrial = 16
)

// TrialLimiter limits the fraction of new flows that a host places as trials rather than where
// the response is expected soonest. The zero TrialLimiter has counted no flows.
type TrialLimiter struct {
	flowCount int
}

// Allow counts a new flow and reports whether it may be a trial.
func (r *TrialLimiter) Allow() bool {
	r.flowCount++
	return r.flowCount%flowsPerTrial == 0
}

// TrialDue reports whether this host should send a trial request to the target, which is slow
// and has few recent samples.
func (t *Target) TrialDue(now timekeeper.Instant) bool {
	return t.slow && t.combined.weight < trialSampleThreshold && t.nextTrial.Passed(now)
}

// ScheduleTrial sets when this host, one of the given number of hosts in the zone, may next
// send a trial request to the target. The jitter is a random number between 0 and 1. Without
// it, hosts that detect a slow target at the same time would also try it at the same time.
func (t *Target) ScheduleTrial(hosts int, jitter float64, now timekeeper.Instant) {
	meanDelay := time.Duration(max(hosts, 1)) * time.Second / trialsPerSecond
	t.nextTrial = now.Add(time.Duration(2 * jitter * float64(meanDelay)))
}

// NextTrial returns when this host may next send a trial request to the target.
func (t *Target) NextTrial() timekeeper.Instant { return t.nextTrial }
