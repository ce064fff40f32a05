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
	// enoughSamples makes trials needless: open flows of the target show how fast it is.
	enoughSamples = 3
	// flowsForTrial is of how many new flows of a host one may be a trial, so that many
	// slow targets together cost few callers.
	flowsForTrial = 16
)

// Trials bounds the flows that a host places to learn, not for the quickest answer. The zero
// Trials has counted none.
type Trials struct {
	// flows counts the new flows.
	flows int
}

// Next counts a new flow and reports whether it may be a trial.
func (r *Trials) Next() bool {
	r.flows++
	return r.flows%flowsForTrial == 0
}

// TrialDue reports whether a slow target should be tried by this host.
func (t *Target) TrialDue(now timekeeper.Instant) bool {
	return t.slow && t.all.weight < enoughSamples && t.nextTrial.Passed(now)
}

// SetTrial sets when this host, one of so many in the zone, may try the target next. Chance
// is a random number between 0 and 1: without it hosts that learned at the same moment that
// the target is slow would try it at the same moment.
func (t *Target) SetTrial(hosts int, chance float64, now timekeeper.Instant) {
	pause := time.Duration(max(hosts, 1)) * time.Second / trialsPerSecond
	t.nextTrial = now.Add(time.Duration(2 * chance * float64(pause)))
}

// Trial is when this host may try the target next.
func (t *Target) Trial() timekeeper.Instant { return t.nextTrial }
