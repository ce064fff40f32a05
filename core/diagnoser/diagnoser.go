// Package diagnoser decides how long a target may take to respond before it counts as
// unresponsive, and whether unresponsive targets indicate that their whole zone has failed.
//
// Targets of a zone fail together when a rack, a switch or a data center hall is lost. A caller
// retransmits its packet after 200 ms and expects a response within about 400 ms. Whatever a
// host waits after that retransmission reduces the time that is left for trying another target,
// and a caller that is sent from one failed target to a failed neighbor waits for its next
// retransmission.
//
// A host therefore measures the round-trip time to each zone from its own flows, and its own
// scheduling lag from its clock (ResponseTimeout). A zone in which a target was found
// unresponsive, and in which no target has shown activity since, is suspect until one does
// (ZoneSuspect). A suspect zone only has its new flows sent elsewhere; no flows are reset.
//
// The package does no I/O and reads no clock: the current time is passed in.
package diagnoser

import (
	"time"

	"cranberryspan.dev/core/timekeeper"
)

// MaxResponseTimeout limits how long to wait for a response: a caller that has retransmitted
// after 200 ms has about 200 ms left of the time in which it expects its response. It also
// applies while the round-trip time to a zone is unknown.
const MaxResponseTimeout = 150 * time.Millisecond

const (
	// minResponseTimeout is the shortest timeout: a process on a small host may be descheduled
	// for some tens of milliseconds.
	minResponseTimeout = 40 * time.Millisecond
	// smoothingFactor and deviationSmoothingFactor are the weights of each round trip in the
	// moving averages, and deviationMultiplier is the number of mean deviations that are added
	// to the mean. The values are those of TCP's retransmission timer (RFC 6298).
	smoothingFactor          = 1.0 / 8
	deviationSmoothingFactor = 1.0 / 4
	deviationMultiplier      = 4
	// lagWindow is how long an observed scheduling lag counts: several scheduler periods.
	lagWindow = time.Second
	// lagMultiplier times the lag is added to the timeout, since the host has to be scheduled
	// twice for each probe.
	lagMultiplier = 2
	// minGaps is the minimum number of gaps that the mean gap of a zone has to be based on.
	minGaps = 20
	// suspicionTTL ends the suspicion of a zone that shows no activity: by then its targets
	// have been probed one by one.
	suspicionTTL = 3 * time.Second
)

// zone is the state of all targets of a zone together.
type zone struct {
	// meanRTT and deviationRTT are moving averages of the observed round trips; rttSamples
	// counts these.
	meanRTT      time.Duration
	deviationRTT time.Duration
	rttSamples   int
	// lastActivity is when any target last showed activity. meanGap is the moving average of
	// the gaps between two such times, and gapCount the number of gaps. unresponsiveAt is when
	// a target was last found unresponsive, and unresponsiveSince since when it had been.
	lastActivity      timekeeper.Instant
	meanGap           time.Duration
	gapCount          int
	unresponsiveAt    timekeeper.Instant
	unresponsiveSince timekeeper.Instant
}

// Diagnoser holds what one host has observed of all zones. It is not safe for concurrent use.
type Diagnoser struct {
	zones map[string]*zone
	// maxLag is the largest recent scheduling lag, observed at maxLagAt.
	maxLag   time.Duration
	maxLagAt timekeeper.Instant
}

// New returns a Diagnoser without observations.
func New() *Diagnoser { return &Diagnoser{zones: map[string]*zone{}} }

func (d *Diagnoser) zone(name string) *zone {
	z, ok := d.zones[name]
	if !ok {
		z = &zone{}
		d.zones[name] = z
	}
	return z
}

// ObserveRoundTrip records how long a target of a zone took to respond to an opening packet,
// measured up to the caller's next packet, which shows that the caller has the response.
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

// ObserveLag records that this host was scheduled late by the given time.
func (d *Diagnoser) ObserveLag(lag time.Duration, now timekeeper.Instant) {
	if lag >= d.maxLag || d.maxLagAt.Add(lagWindow).Passed(now) {
		d.maxLag, d.maxLagAt = lag, now
	}
}

// ResponseTimeout returns how long a target of a zone may take to respond to an opening packet
// or to the handshake of a probe before it counts as unresponsive.
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

// ObserveActivity records that a target of a zone has shown that it responds.
func (d *Diagnoser) ObserveActivity(name string, now timekeeper.Instant) {
	z := d.zone(name)
	if z.lastActivity != 0 {
		z.gapCount++
		z.meanGap += time.Duration(smoothingFactor * float64(now.Since(z.lastActivity)-z.meanGap))
	}
	z.lastActivity = now
}

// LastActivity returns when a target of a zone last showed activity; 0 if never.
func (d *Diagnoser) LastActivity(name string) timekeeper.Instant { return d.zone(name).lastActivity }

// ZoneUnresponsive reports whether no target of a zone has shown activity since the given time,
// for longer than the mean gap between two activities of the zone. It is false while the mean
// is based on fewer than minGaps gaps.
//
// Without the comparison with the mean gap, a host with one flow a second would take any lost
// packet for a zone that is unresponsive.
func (d *Diagnoser) ZoneUnresponsive(name string, since, now timekeeper.Instant) bool {
	z := d.zone(name)
	return z.gapCount >= minGaps && z.lastActivity <= since && now.Since(since) > z.meanGap
}

// ObserveUnresponsive records that a target of a zone was found unresponsive, and since when it
// has been.
func (d *Diagnoser) ObserveUnresponsive(name string, since, now timekeeper.Instant) {
	z := d.zone(name)
	z.unresponsiveAt, z.unresponsiveSince = now, since
}

// ZoneSuspect reports whether the targets of a zone seem to have failed together.
//
// Without this, when a zone crashes, a caller whose flow was reset because its target had
// failed opens its next flow at another target of the zone, which has failed too but has not
// been detected yet. The caller waits for its next retransmission and gets its response late.
// This shows as retransmitted opening packets at one target of the zone after another.
func (d *Diagnoser) ZoneSuspect(name string, now timekeeper.Instant) bool {
	z := d.zone(name)
	return z.unresponsiveAt != 0 && !z.unresponsiveAt.Add(suspicionTTL).Passed(now) && d.ZoneUnresponsive(name, z.unresponsiveSince, now)
}
