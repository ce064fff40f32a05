package diagnoser_test

import (
	"fmt"
	"testing"
	"time"

	"cranberryspan.dev/core/diagnoser"
	"cranberryspan.dev/core/timekeeper"
	"github.com/stretchr/testify/require"
)

const start = timekeeper.Instant(time.Second)

func ExampleDiagnoser_ResponseTimeout() {
	d := diagnoser.New()
	fmt.Println(d.ResponseTimeout("a", start))
	for range 100 {
		d.ObserveRoundTrip("a", 3*time.Millisecond)
		d.ObserveRoundTrip("b", 24*time.Millisecond)
		d.ObserveRoundTrip("b", 36*time.Millisecond)
	}
	fmt.Println(d.ResponseTimeout("a", start))
	fmt.Println(d.ResponseTimeout("b", start).Round(10 * time.Millisecond))
	// Output:
	// 150ms
	// 40ms
	// 60ms
}

// Guards against resetting flows of targets that work: when a host has used up its processor
// share, it processes responses late and must not attribute its own delay to the targets.
func TestSchedulingLagExtendsResponseTimeout(t *testing.T) {
	d := diagnoser.New()
	d.ObserveRoundTrip("a", 3*time.Millisecond)
	d.ObserveLag(30*time.Millisecond, start)
	d.ObserveLag(5*time.Millisecond, start.Add(100*time.Millisecond))
	require.Equal(t, 100*time.Millisecond, d.ResponseTimeout("a", start.Add(500*time.Millisecond)), "the largest delay of late counts")
	d.ObserveLag(80*time.Millisecond, start.Add(600*time.Millisecond))
	require.Equal(t, 150*time.Millisecond, d.ResponseTimeout("a", start.Add(700*time.Millisecond)), "but there is a bound")
	require.Equal(t, 40*time.Millisecond, d.ResponseTimeout("a", start.Add(5*time.Second)), "and an end")
}

// newWithRecentActivity returns a Diagnoser that has observed activity in zones a and b every
// 50 ms until now.
func newWithRecentActivity(now timekeeper.Instant) *diagnoser.Diagnoser {
	d := diagnoser.New()
	for n := 40; n >= 0; n-- {
		at := now.Add(-time.Duration(n) * 50 * time.Millisecond)
		d.ObserveActivity("a", at)
		d.ObserveActivity("b", at)
	}
	return d
}

// Guards against sending callers of a crashed zone from one failed target to the next: when one
// target is found unresponsive and the others show no activity, judging each target alone
// detects them one by one.
func TestUnresponsiveTargetMakesItsZoneSuspect(t *testing.T) {
	crash := start.Add(10 * time.Second)
	d := newWithRecentActivity(crash)
	detected := crash.Add(300 * time.Millisecond)
	d.ObserveActivity("b", detected)
	d.ObserveUnresponsive("a", crash, detected)
	d.ObserveUnresponsive("b", crash, detected)
	require.True(t, d.ZoneSuspect("a", detected))
	require.False(t, d.ZoneSuspect("b", detected), "others of b have answered since")
	require.False(t, d.ZoneSuspect("a", detected.Add(3*time.Second)), "by then its targets have been checked one by one")
	d.ObserveActivity("a", detected.Add(100*time.Millisecond))
	require.False(t, d.ZoneSuspect("a", detected.Add(100*time.Millisecond)), "any sign of life ends it")
}

// Guards against moving flows to other zones for no reason at low load: when a packet is lost
// and nothing else happens meanwhile, there was no other activity to expect from the zone.
func TestZoneWithLittleTrafficIsNotSuspect(t *testing.T) {
	d := diagnoser.New()
	now := start
	for range 40 {
		now = now.Add(time.Second)
		d.ObserveActivity("a", now)
	}
	d.ObserveUnresponsive("a", now, now.Add(300*time.Millisecond))
	require.False(t, d.ZoneSuspect("a", now.Add(300*time.Millisecond)))
	require.True(t, d.ZoneSuspect("a", now.Add(1500*time.Millisecond)), "but when its next sign of life does not come")
}
