package estimator

import (
	"slices"
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// zoneSamples is how many of a host's last answers tell how fast a zone is. With fewer a
	// zone of which half is slow would often look slow as a whole; with more a change shows
	// later.
	zoneSamples = 24
	// zoneMemory ends belief in a zone from which nothing comes.
	zoneMemory = 2 * time.Second
	// leastZoneSamples are needed to believe anything of a zone.
	leastZoneSamples = 3
	// zoneQuantile is the part of the samples that is quicker than what is taken for the
	// zone's own: a zone is slow only if less than a quarter of its work is quick.
	zoneQuantile = 0.25
)

// Zone is how fast the targets of a service in a zone are together, as one host sees it.
// The zero Zone knows nothing.
type Zone struct {
	samples [zoneSamples]zoneSample
	next    int
	// excess, known and idle are what Excess, Known and Idle return. Refresh keeps them.
	excess float64
	known  bool
	idle   bool
}

// zoneSample is a binary logarithm, and when it came; none if that is 0.
type zoneSample struct {
	excess float64
	at     timekeeper.Instant
}

// Observe takes in a sample, an Excess, and returns by how much it is above the zone's own.
func (z *Zone) Observe(excess float64, now timekeeper.Instant) float64 {
	z.samples[z.next] = zoneSample{excess, now}
	z.next = (z.next + 1) % zoneSamples
	z.Refresh(now)
	return excess - z.excess
}

// Correct replaces a sample of a request that was still waiting when it was taken.
func (z *Zone) Correct(from, to float64, now timekeeper.Instant) {
	for i := range z.samples {
		if one := &z.samples[i]; one.at != 0 && one.excess == from {
			one.excess = to
			z.Refresh(now)
			return
		}
	}
}

// Refresh works out anew how fast the zone is.
func (z *Zone) Refresh(now timekeeper.Instant) {
	var recent [zoneSamples]float64
	count := 0
	for _, one := range z.samples {
		if one.at != 0 && now.Since(one.at) < zoneMemory {
			recent[count] = one.excess
			count++
		}
	}
	z.excess = 0
	z.known = count >= leastZoneSamples
	z.idle = count == 0
	if !z.known {
		return
	}
	slices.Sort(recent[:count])
	z.excess = max(recent[int(zoneQuantile*float64(count))], 0)
}

// Excess is the binary logarithm of the zone's time for a request as a multiple of the usual: 0
// unless even its quick answers take longer than usual.
func (z *Zone) Excess() float64 { return z.excess }

// Idle reports whether nothing came of late, as of the last Refresh.
func (z *Zone) Idle() bool { return z.idle }

// Known reports whether enough answers came of late.
func (z *Zone) Known() bool { return z.known }
