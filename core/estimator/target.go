package estimator

import (
	"math"

	"cranberryspan.dev/core/timekeeper"
)

// eighths is into how many parts hosts divide a binary logarithm that they tell each other.
const eighths = 8

// Pace is what hosts tell each other of a target.
type Pace struct {
	// SlownessEighths is the binary logarithm of the target's time as a multiple of the
	// usual, in eighths, Samples how many answers it rests on.
	SlownessEighths int8
	Samples         uint8
}

// Target is what a host knows of how fast a target is. The zero Target knows nothing.
type Target struct {
	// own adds up what this host saw, all that and what other hosts tell. told is what each
	// of them told last, by its name.
	own  sum
	all  sum
	told map[string]sum
	slow bool
	// slowness is what Slowness returns. Refresh keeps it, since a choice looks at all targets.
	slowness  float64
	nextTrial timekeeper.Instant
}

// Observe takes in a sample of this host: by how much an Excess is above the zone's own, as
// Zone.Observe returns it.
func (t *Target) Observe(excess float64, now timekeeper.Instant) {
	t.own.add(excess, 1, now)
	t.all.add(excess, 1, now)
}

// Correct replaces a sample of a request that was still waiting when it was taken.
func (t *Target) Correct(from, to float64, now timekeeper.Instant) {
	t.own.decay(now)
	t.all.decay(now)
	if t.own.weight < 1 {
		t.Observe(to, now) // The sample is mostly forgotten.
		return
	}
	t.own.excess += to - from
	t.all.excess += to - from
}

// Told takes in what another host of the zone has seen, in place of what it told before.
func (t *Target) Told(host string, p Pace, now timekeeper.Instant) {
	if before, ok := t.told[host]; ok {
		t.all.remove(before, now)
	}
	if t.told == nil {
		t.told = map[string]sum{}
	}
	weight, mean := float64(p.Samples), float64(p.SlownessEighths)/eighths
	t.told[host] = sum{weight: weight, excess: weight * mean, at: now}
	t.all.add(mean, weight, now)
}

// Tell returns what other hosts should hear of the target: samples that stand out, and any
// samples of a target that is believed slow. What goes wrong if only slow answers are
// told: by chance some host has one, and nobody hears of the many that were not.
func (t *Target) Tell(now timekeeper.Instant) (Pace, bool) {
	t.own.decay(now)
	samples := math.Round(t.own.weight)
	if samples < 1 {
		return Pace{}, false
	}
	if !t.slow && t.own.excess/(t.own.weight+priorSamples) < slowAbove/2 {
		return Pace{}, false
	}
	mean := t.own.excess / t.own.weight
	return Pace{SlownessEighths: int8(math.Round(mean * eighths)), Samples: uint8(min(samples, math.MaxUint8))}, true
}

// Refresh works out anew what is believed of the target. It reports whether the target
// turned from usual to slow or back.
func (t *Target) Refresh(now timekeeper.Instant) bool {
	t.own.decay(now)
	t.all.decay(now)
	for host, one := range t.told {
		one.decay(now)
		if one.weight < negligible {
			delete(t.told, host)
		}
	}
	before := t.slow
	limit := slowAbove
	if t.slow {
		limit = quickBelow
	}
	excess := t.Excess()
	t.slow = excess > limit
	t.slowness = 0
	if t.slow {
		t.slowness = excess
	}
	return t.slow != before
}

// Excess is the mean of all samples and of those at the usual that hold it back, a binary
// logarithm, as of the last Refresh or sample.
func (t *Target) Excess() float64 {
	prior := priorSamples
	if t.slow {
		prior = slowPriorSamples
	}
	return t.all.excess / (t.all.weight + prior)
}

// Slow reports whether the target takes markedly longer than others of its zone.
func (t *Target) Slow() bool { return t.slow }

// Slowness is the binary logarithm that new flows are placed by: 0 unless the target is
// slow.
func (t *Target) Slowness() float64 { return t.slowness }

// Samples returns how many recent samples the belief rests on, and how many are own.
func (t *Target) Samples() (all, own float64) { return t.all.weight, t.own.weight }

// Idle reports whether nothing is known of the target any more.
func (t *Target) Idle() bool { return !t.slow && t.all.weight < negligible }
