// Package diagnoser decides what it means that nothing comes back: how long silence has
// to last to mean anything, and what the silence of some targets says of their
// neighbours.
//
// The pattern: targets of a zone fail together, by a lost rack, switch or hall. A caller
// repeats itself after 200 ms and hopes for its answer within some 400. Whatever a host
// waits beyond that repeat comes out of what is left for asking anew; and whoever sends
// the caller from one dead target to its dead neighbour makes it wait for its next
// repeat.
//
// The answer: a host learns from its own flows how long a round trip to a zone takes, and
// from its own clock how late it is itself (Patience). And a zone in which a target fell
// silent, and from which nothing has come since, is doubted until anything does
// (ZoneSuspect). Doubt only sends new flows elsewhere; it resets nothing.
//
// The package knows no network and no clock.
package diagnoser

import (
	"time"

	"cranberryspan.dev/core/timekeeper"
)

// MaxResponseTimeout bounds how long silence is waited for: a caller that has repeated itself
// after 200 ms has some 200 left of what it hopes for. It is also used while a zone's
// round trips are unknown.
const MaxResponseTimeout = 150 * time.Millisecond

const (
	// minResponseTimeout is waited for in any case: a process of a small host may be kept from
	// its processor for some tens of milliseconds.
	minResponseTimeout = 40 * time.Millisecond
	// smoothingFactor and deviationSmoothingFactor are the parts of each round trip in the moving
	// means, and variations how many mean deviations are waited for beyond the mean: the
	// figures of TCP's retransmission timer (RFC 6298).
	smoothingFactor          = 1.0 / 8
	deviationSmoothingFactor = 1.0 / 4
	deviationMultiplier      = 4
	// lagWindow is how long a host's own lateness counts: some of a scheduler's periods.
	lagWindow = time.Second
	// lagMultiplier times the lateness is waited for: a check wakes its host twice.
	lagMultiplier = 2
	// minGaps is how many pauses have to be seen to know what is usual.
	minGaps = 20
	// suspicionTTL ends doubt of a zone from which nothing is heard: by then its targets
	// have been checked one by one.
	suspicionTTL = 3 * time.Second
)

// zone is what a host knows of a zone's targets together.
type zone struct {
	// meanRTT and deviation are of the round trips that were seen; samples counts them.
	meanRTT      time.Duration
	deviationRTT time.Duration
	rttSamples   int
	// lastActivity is when any target last showed life, gap the moving mean of the pauses between
	// two signs of life, and gaps how many there were. silent is when a target was last
	// found silent, and unresponsiveSince since when it had been.
	lastActivity      timekeeper.Instant
	meanGap           time.Duration
	gapCount          int
	unresponsiveAt    timekeeper.Instant
	unresponsiveSince timekeeper.Instant
}

// Diagnoser is what one host knows. It belongs to one owner.
type Diagnoser struct {
	zones map[string]*zone
	// maxLag is the largest lateness of late, at maxLagAt.
	maxLag   time.Duration
	maxLagAt timekeeper.Instant
}

// New makes a Diagnoser that knows nothing.
func New() *Diagnoser { return &Diagnoser{zones: map[string]*zone{}} }

func (d *Diagnoser) zone(name string) *zone {
	z, ok := d.zones[name]
	if !ok {
		z = &zone{}
		d.zones[name] = z
	}
	return z
}

// ObserveRoundTrip takes in how long a target of a zone took to answer an opening packet, by
// way of its caller.
func (d *Diagnoser) ObserveRoundTrip(zoneName string, rtt time.Duration) {
	z := d.zone(zoneName)
	z.rttSamples++
	if z.rttSamples == 1 {
		z.meanRTT, z.deviationRTT = rtt, rtt/2
		return
	}
	deviation := rtt - z.meanRTT
	if deviation < 0 {
		deviation = -deviation
	}
	z.deviationRTT += time.Duration(deviationSmoothingFactor * float64(deviation-z.deviationRTT))
	z.meanRTT += time.Duration(smoothingFactor * float64(rtt-z.meanRTT))
}

// ObserveLag takes in that this host was late by some time.
func (d *Diagnoser) ObserveLag(lag time.Duration, now timekeeper.Instant) {
	if lag >= d.maxLag || d.maxLagAt.Add(lagWindow).Passed(now) {
		d.maxLag, d.maxLagAt = lag, now
	}
}

// ResponseTimeout is how long a target of a zone may take to answer a handshake before its
// silence means anything.
func (d *Diagnoser) ResponseTimeout(name string, now timekeeper.Instant) time.Duration {
	z := d.zone(name)
	if z.rttSamples == 0 {
		return MaxResponseTimeout
	}
	timeout := max(z.meanRTT+deviationMultiplier*z.deviationRTT, minResponseTimeout)
	if !d.maxLagAt.Add(lagWindow).Passed(now) {
		timeout += lagMultiplier * d.maxLag
	}
	return min(timeout, MaxResponseTimeout)
}

// ObserveActivity takes in that a target of a zone works.
func (d *Diagnoser) ObserveActivity(name string, now timekeeper.Instant) {
	z := d.zone(name)
	if z.lastActivity != 0 {
		z.gapCount++
		z.meanGap += time.Duration(smoothingFactor * float64(now.Since(z.lastActivity)-z.meanGap))
	}
	z.lastActivity = now
}

// ZoneUnresponsive reports whether nothing has come from a zone since a moment, for longer than its
// targets usually leave this host without a sign of life.
//
// What goes wrong without the second condition: a host that has a flow a second takes any
// lost packet for the silence of a zone.
func (d *Diagnoser) ZoneUnresponsive(name string, since, now timekeeper.Instant) bool {
	z := d.zone(name)
	return z.gapCount >= minGaps && z.lastActivity <= since && now.Since(since) > z.meanGap
}

// ObserveUnresponsive takes in that a target of a zone was found silent, and has been since a moment.
func (d *Diagnoser) ObserveUnresponsive(name string, since, now timekeeper.Instant) {
	z := d.zone(name)
	z.unresponsiveAt, z.unresponsiveSince = now, since
}

// ZoneSuspect reports whether a zone's targets seem to have fallen silent together.
//
// What goes wrong otherwise: a zone crashes without a word. A caller that was told of its
// dead target opens a flow at the next one, which is as dead but has not been found out,
// waits for its next repeat, and is late. One notices by opening packets with copies, at
// one target of the zone after the other.
func (d *Diagnoser) ZoneSuspect(name string, now timekeeper.Instant) bool {
	z := d.zone(name)
	return z.unresponsiveAt != 0 && !z.unresponsiveAt.Add(suspicionTTL).Passed(now) && d.ZoneUnresponsive(name, z.unresponsiveSince, now)
}
