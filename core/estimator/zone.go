package estimator

import (
	"slices"
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// zoneWindowSize is how many of a host's last answers tell how fast a zone is. With fewer a
	// zone of which half is slow would often look slow as a whole; with more a change shows
	// later.
	zoneWindowSize = 24
	// zoneSampleTTL ends belief in a zone from which nothing comes.
	zoneSampleTTL = 2 * time.Second
	// minZoneSamples are needed to believe anything of a zone.
	minZoneSamples = 3
	// zoneQuantile is the part of the samples that is quicker than what is taken for the
	// zone's own: a zone is slow only if less than a quarter of its work is quick.
	zoneQuantile = 0.25
)

// Zone is how fast the targets of a service in a zone are together, as one host sees it.
// The zero Zone knows nothing.
type Zone struct {
	samples   [zoneWindowSize]zoneSample
	nextIndex int
	// logSlowdown, known and idle are what Excess, Known and Idle return. Refresh keeps them.
	logSlowdown float64
	known       bool
	noData      bool
}

// zoneSample is a binary logarithm, and when it came; none if that is 0.
type zoneSample struct {
	logSlowdown float64
	at          timekeeper.Instant
}

// Observe takes in a sample, an Excess, and returns by how much it is above the zone's own.
func (z *Zone) Observe(logSlowdown float64, now timekeeper.Instant) float64 {
	z.samples[z.nextIndex] = zoneSample{logSlowdown, now}
	z.nextIndex = (z.nextIndex + 1) % zoneWindowSize
	z.Refresh(now)
	return logSlowdown - z.logSlowdown
}

// ReplaceSample replaces a sample of a request that was still waiting when it was taken.
func (z *Zone) ReplaceSample(from, to float64, now timekeeper.Instant) {
	for i := range z.samples {
		if sample := &z.samples[i]; sample.at != 0 && sample.logSlowdown == from {
			sample.logSlowdown = to
			z.Refresh(now)
			return
		}
	}
}

// Refresh works out anew how fast the zone is.
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
	z.known = count >= minZoneSamples
	z.noData = count == 0
	if !z.known {
		return
	}
	slices.Sort(recent[:count])
	z.logSlowdown = max(recent[int(zoneQuantile*float64(count))], 0)
}

// LogSlowdown is the binary logarithm of the zone's time for a request as a multiple of the usual: 0
// unless even its quick answers take longer than usual.
func (z *Zone) LogSlowdown() float64 { return z.logSlowdown }

// NoData reports whether nothing came of late, as of the last Refresh.
func (z *Zone) NoData() bool { return z.noData }

// HasEnoughSamples reports whether enough answers came of late.
func (z *Zone) HasEnoughSamples() bool { return z.known }
