package estimator

import (
	"math"

	"cranberryspan.dev/core/timekeeper"
)

// logSlowdownScale is into how many parts hosts divide a binary logarithm that they tell each other.
const logSlowdownScale = 8

// SlowdownReport is what hosts tell each other of a target.
type SlowdownReport struct {
	// LogSlowdownEighths is the binary logarithm of the target's time as a multiple of the
	// usual, in eighths, Samples how many answers it rests on.
	LogSlowdownEighths int8
	Samples            uint8
}

// Target is what a host knows of how fast a target is. The zero Target knows nothing.
type Target struct {
	// local adds up what this host saw, all that and what other hosts tell. told is what each
	// of them told last, by its name.
	local    decayingSum
	combined decayingSum
	reported map[string]decayingSum
	slow     bool
	// logSlowdown is what Slowness returns. Refresh keeps it, since a choice looks at all targets.
	logSlowdown float64
	nextTrial   timekeeper.Instant
}

// Observe takes in a sample of this host: by how much an Excess is above the zone's own, as
// Zone.Observe returns it.
func (t *Target) Observe(logSlowdown float64, now timekeeper.Instant) {
	t.local.add(logSlowdown, 1, now)
	t.combined.add(logSlowdown, 1, now)
}

// ReplaceSample replaces a sample of a request that was still waiting when it was taken.
func (t *Target) ReplaceSample(from, to float64, now timekeeper.Instant) {
	t.local.decay(now)
	t.combined.decay(now)
	if t.local.weight < 1 {
		t.Observe(to, now) // The sample is mostly forgotten.
		return
	}
	t.local.logSlowdown += to - from
	t.combined.logSlowdown += to - from
}

// ApplyReport takes in what another host of the zone has seen, in place of what it told before.
func (t *Target) ApplyReport(host string, report SlowdownReport, now timekeeper.Instant) {
	if previous, ok := t.reported[host]; ok {
		t.combined.remove(previous, now)
	}
	if t.reported == nil {
		t.reported = map[string]decayingSum{}
	}
	weight, mean := float64(report.Samples), float64(report.LogSlowdownEighths)/logSlowdownScale
	t.reported[host] = decayingSum{weight: weight, logSlowdown: weight * mean, decayedAt: now}
	t.combined.add(mean, weight, now)
}

// Report returns what other hosts should hear of the target: samples that stand out, and any
// samples of a target that is believed slow. What goes wrong if only slow answers are
// told: by chance some host has one, and nobody hears of the many that were not.
func (t *Target) Report(now timekeeper.Instant) (SlowdownReport, bool) {
	t.local.decay(now)
	samples := math.Round(t.local.weight)
	if samples < 1 {
		return SlowdownReport{}, false
	}
	if !t.slow && t.local.logSlowdown/(t.local.weight+priorSamples) < slowThreshold/2 {
		return SlowdownReport{}, false
	}
	mean := t.local.logSlowdown / t.local.weight
	return SlowdownReport{LogSlowdownEighths: int8(math.Round(mean * logSlowdownScale)), Samples: uint8(min(samples, math.MaxUint8))}, true
}

// Refresh works out anew what is believed of the target. It reports whether the target
// turned from usual to slow or back.
func (t *Target) Refresh(now timekeeper.Instant) bool {
	t.local.decay(now)
	t.combined.decay(now)
	for host, peer := range t.reported {
		peer.decay(now)
		if peer.weight < negligibleWeight {
			delete(t.reported, host)
		}
	}
	wasSlow := t.slow
	threshold := slowThreshold
	if t.slow {
		threshold = recoveryThreshold
	}
	logSlowdown := t.MeanLogSlowdown()
	t.slow = logSlowdown > threshold
	t.logSlowdown = 0
	if t.slow {
		t.logSlowdown = logSlowdown
	}
	return t.slow != wasSlow
}

// MeanLogSlowdown is the mean of all samples and of those at the usual that hold it back, a binary
// logarithm, as of the last Refresh or sample.
func (t *Target) MeanLogSlowdown() float64 {
	prior := priorSamples
	if t.slow {
		prior = slowPriorSamples
	}
	return t.combined.logSlowdown / (t.combined.weight + prior)
}

// Slow reports whether the target takes markedly longer than others of its zone.
func (t *Target) Slow() bool { return t.slow }

// LogSlowdown is the binary logarithm that new flows are placed by: 0 unless the target is
// slow.
func (t *Target) LogSlowdown() float64 { return t.logSlowdown }

// Samples returns how many recent samples the belief rests on, and how many are own.
func (t *Target) Samples() (combined, local float64) { return t.combined.weight, t.local.weight }

// NoData reports whether nothing is known of the target any more.
func (t *Target) NoData() bool { return !t.slow && t.combined.weight < negligibleWeight }
