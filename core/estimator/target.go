package estimator

import (
	"math"

	"cranberryspan.dev/core/timekeeper"
)

// logSlowdownScale is the number of steps per unit of log slowdown in a SlowdownReport.
const logSlowdownScale = 8

// SlowdownReport is what hosts report to each other about the speed of a target.
type SlowdownReport struct {
	// LogSlowdownEighths is the target's mean log slowdown relative to the baseline, in
	// eighths, and Samples the number of responses that it is based on.
	LogSlowdownEighths int8
	Samples            uint8
}

// Target is a host's estimate of the slowdown of one target. The zero Target has no samples.
type Target struct {
	// local sums the samples of this host, and combined these and the samples that other hosts
	// reported. reported holds the latest report of each of those, by host name.
	local    decayingSum
	combined decayingSum
	reported map[string]decayingSum
	slow     bool
	// logSlowdown is the result of LogSlowdown. Refresh caches it, since each target selection
	// reads it for all targets.
	logSlowdown float64
	nextTrial   timekeeper.Instant
}

// Observe adds a sample of this host: the part of a log slowdown that exceeds the zone's, as
// returned by Zone.Observe.
func (t *Target) Observe(logSlowdown float64, now timekeeper.Instant) {
	t.local.add(logSlowdown, 1, now)
	t.combined.add(logSlowdown, 1, now)
}

// ReplaceSample replaces a sample that was taken while its request was still waiting for a
// response.
func (t *Target) ReplaceSample(from, to float64, now timekeeper.Instant) {
	t.local.decay(now)
	t.combined.decay(now)
	if t.local.weight < 1 {
		t.Observe(to, now) // The sample has mostly decayed.
		return
	}
	t.local.logSlowdown += to - from
	t.combined.logSlowdown += to - from
}

// ApplyReport records the report of another host of the zone in place of that host's previous
// one.
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

// Report returns what to report about the target to other hosts, and whether there is anything
// to report: samples that stand out, and any samples of a target that is estimated to be slow.
// If only slow responses were reported, those that some hosts see by chance would spread, and
// the many normal ones would not.
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

// Refresh recomputes the estimate and reports whether the target has become slow or has
// recovered.
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

// MeanLogSlowdown returns the mean log slowdown of all samples and the prior samples at the
// baseline, as of the last Refresh or sample.
func (t *Target) MeanLogSlowdown() float64 {
	prior := priorSamples
	if t.slow {
		prior = slowPriorSamples
	}
	return t.combined.logSlowdown / (t.combined.weight + prior)
}

// Slow reports whether the target is markedly slower than other targets of its zone.
func (t *Target) Slow() bool { return t.slow }

// LogSlowdown returns the log slowdown that the placement of new flows is based on: 0 unless
// the target is slow.
func (t *Target) LogSlowdown() float64 { return t.logSlowdown }

// Samples returns the weights, in samples, of all recent samples and of this host's own among
// them.
func (t *Target) Samples() (combined, local float64) { return t.combined.weight, t.local.weight }

// NoData reports whether the target is not slow and has no recent samples.
func (t *Target) NoData() bool { return !t.slow && t.combined.weight < negligibleWeight }
