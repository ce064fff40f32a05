package estimator

import (
	"slices"
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// zoneWindowSize is the number of a host's latest responses that the slowdown of a zone is
	// estimated from. With fewer, a zone with half of its targets slow would often look slow as
	// a whole; with more, a change would be detected later.
	zoneWindowSize = 24
	// zoneSampleTTL is how long a sample counts, so that the estimate ends for a zone from
	// which no responses arrive.
	zoneSampleTTL = 2 * time.Second
	// minZoneSamples is the minimum number of samples that an estimate of a zone needs.
	minZoneSamples = 3
	// zoneQuantile is the quantile of the samples that is taken as the slowdown of the zone
	// itself: a zone is slow only if less than a quarter of its responses are fast.
	zoneQuantile = 0.25
)

// Zone estimates the slowdown that the targets of a service in a zone have in common, as seen
// by one host. The zero Zone has no samples.
type Zone struct {
	samples   [zoneWindowSize]zoneSample
	nextIndex int
	// logSlowdown, hasEnoughSamples and noData are the results of LogSlowdown,
	// HasEnoughSamples and NoData. Refresh sets them.
	logSlowdown      float64
	hasEnoughSamples bool
	noData           bool
}

// zoneSample is a log slowdown and when it was observed; at is 0 in an unused entry.
type zoneSample struct {
	logSlowdown float64
	at          timekeeper.Instant
}

// Observe adds a log slowdown and returns by how much it exceeds the zone's.
func (z *Zone) Observe(logSlowdown float64, now timekeeper.Instant) float64 {
	z.samples[z.nextIndex] = zoneSample{logSlowdown, now}
	z.nextIndex = (z.nextIndex + 1) % zoneWindowSize
	z.Refresh(now)
	return logSlowdown - z.logSlowdown
}

// ReplaceSample replaces a sample that was taken while its request was still waiting for a
// response.
func (z *Zone) ReplaceSample(from, to float64, now timekeeper.Instant) {
	for i := range z.samples {
		if sample := &z.samples[i]; sample.at != 0 && sample.logSlowdown == from {
			sample.logSlowdown = to
			z.Refresh(now)
			return
		}
	}
}

// Refresh recomputes the slowdown of the zone from the recent samples.
func (z *Zone) Refresh(now timekeeper.Instant) {
	var recent [zoneWindowSize]float64
	count := 0
	for _, sample := range z.samples {
		if sample.at != 0 && now.Since(sample.at) < zoneSampleTTL {
			recent[count] = sample.logSlowdown
			count++
		}
	}
	z.logSlowdown = 0
	z.hasEnoughSamples = count >= minZoneSamples
	z.noData = count == 0
	if !z.hasEnoughSamples {
		return
	}
	slices.Sort(recent[:count])
	z.logSlowdown = max(recent[int(zoneQuantile*float64(count))], 0)
}

// LogSlowdown returns the zone's log slowdown relative to the baseline: 0 unless even its fast
// responses take longer than the baseline.
func (z *Zone) LogSlowdown() float64 { return z.logSlowdown }

// NoData reports whether there were no recent samples as of the last Refresh.
func (z *Zone) NoData() bool { return z.noData }

// HasEnoughSamples reports whether there were at least minZoneSamples recent samples as of the
// last Refresh.
func (z *Zone) HasEnoughSamples() bool { return z.hasEnoughSamples }
