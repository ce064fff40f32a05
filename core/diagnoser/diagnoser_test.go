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

// Symptom: a host that has to wait for its processor resets flows whose targets work.
// Sequence: its share is used up, and it sees answers late. Cause: it takes its own delay
// for the targets' silence.
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

// newWithRecentActivity makes a host that has heard from zones a and b every 50 ms until now.
func newWithRecentActivity(now timekeeper.Instant) *diagnoser.Diagnoser {
	d := diagnoser.New()
	for n := 40; n >= 0; n-- {
		at := now.Add(-time.Duration(n) * 50 * time.Millisecond)
		d.ObserveActivity("a", at)
		d.ObserveActivity("b", at)
	}
	return d
}

// Symptom: callers of a zone that has crashed are sent from one dead target to the next.
// Sequence: one is found silent, nothing comes from the others. Cause: each target is
// judged by itself.
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

// Symptom: on a quiet evening flows go to other zones for no reason. Sequence: a packet is
// lost; nothing else happens meanwhile. Cause: silence where nothing was to be heard.
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
