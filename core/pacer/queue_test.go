package pacer_test

import (
	"fmt"
	"testing"
	"time"

	"cranberryspan.dev/core/pacer"
	"cranberryspan.dev/core/timekeeper"
	"github.com/stretchr/testify/require"
)

var routeParams = pacer.RouteParams{BaselineLatency: 50 * millis, Objective: 250 * millis, Timeout: 2 * time.Second, Priority: 2}

const start = timekeeper.Instant(time.Second)

func at(d time.Duration) timekeeper.Instant { return start.Add(d) }

func newQueue(names ...string) *pacer.Queue[string] {
	l := &pacer.Queue[string]{}
	for i, name := range names {
		l.Add(name, at(time.Duration(i)*10*millis), routeParams)
	}
	return l
}

func takeNext(t *testing.T, l *pacer.Queue[string], now timekeeper.Instant, hasFreeSlots bool) string {
	t.Helper()
	before := l.Len()
	name, ok := l.Next(now, hasFreeSlots)
	if !ok {
		return ""
	}
	require.Positive(t, before)
	l.Remove(name)
	require.Equal(t, before-1, l.Len())
	return name
}

func TestOldestRequestStillOnTimeGoesFirst(t *testing.T) {
	l := newQueue("a", "b", "c")
	require.Equal(t, "a", takeNext(t, l, at(20*millis), false))
	require.Equal(t, "b", takeNext(t, l, at(159*millis), false))
}

// Guards against a long queue that makes every response a little late: when the oldest request
// always goes first, each one is forwarded when it has just become too old to be on time.
func TestLateRequestsYieldToOnTimeRequests(t *testing.T) {
	l := newQueue("a", "b")
	l.Add("fresh", at(200*millis), routeParams)
	require.Equal(t, "fresh", takeNext(t, l, at(201*millis), true))
	require.Empty(t, takeNext(t, l, at(202*millis), false), "a slot to spare is needed for the others")
	require.Equal(t, "a", takeNext(t, l, at(203*millis), true))
}

func TestUrgentRequestsGoFirst(t *testing.T) {
	l := newQueue("a")
	urgent := routeParams
	urgent.Priority = 1
	l.Add("urgent", at(5*millis), urgent)
	require.Equal(t, "urgent", takeNext(t, l, at(10*millis), false))
}

// Guards against a request that waits until its timeout: when new requests keep arriving, and those
// that will be late are never forwarded.
func TestQueueDelayIsBounded(t *testing.T) {
	l := newQueue("old")
	l.Add("fresh", at(750*millis), routeParams)
	require.Equal(t, "old", takeNext(t, l, at(751*millis), false), "after 0.35 of the time it goes before all others")
	l = newQueue("old")
	_, due := l.Overdue(at(899 * millis))
	require.False(t, due)
	name, due := l.Overdue(at(900 * millis))
	require.True(t, due, "after 0.45 of the time it goes without room")
	require.Equal(t, "old", name)
	l.Remove(name)
	require.Zero(t, l.Len())
}

func TestRemove(t *testing.T) {
	l := newQueue("a", "b")
	l.Remove("a")
	first, waits := l.Oldest()
	require.True(t, waits)
	require.Equal(t, "b", first)
}

func ExampleLoad() {
	var load pacer.Load
	slow := pacer.Response{Latency: 300 * millis, BaselineLatency: 60 * millis, Objective: 250 * millis, InFlight: 10}
	answers := 0
	for !load.Congested() {
		load.RecordResponse(slow)
		answers++
	}
	fmt.Printf("pressed after %d slow answers; room for an eleventh request: %v\n", answers, load.HasCapacity(10))
	// Output: pressed after 6 slow answers; room for an eleventh request: false
}

// Guards against queueing for a service whose baseline latency has become longer than its
// objective, where no request can be on time.
func TestUnattainableObjectiveDisablesPacing(t *testing.T) {
	var load pacer.Load
	for range 100 {
		load.RecordResponse(pacer.Response{Latency: 900 * millis, BaselineLatency: 300 * millis, Objective: 250 * millis, InFlight: 10})
	}
	require.False(t, load.Congested())
}

func TestFewSlowTargetsDoNotCauseCongestion(t *testing.T) {
	var load pacer.Load
	for i := range 400 {
		latency := 55 * millis
		if i%6 == 0 {
			latency = 250 * millis // One target in six takes five times as long.
		}
		load.RecordResponse(pacer.Response{Latency: latency, BaselineLatency: 55 * millis, Objective: 250 * millis, InFlight: 10})
		require.False(t, load.Congested())
	}
}

func BenchmarkRecordResponse(b *testing.B) {
	var load pacer.Load
	a := pacer.Response{Latency: 100 * millis, BaselineLatency: 60 * millis, Objective: 250 * millis, InFlight: 10}
	for b.Loop() {
		load.RecordResponse(a)
	}
}

// BenchmarkNext measures Next and Remove on a queue as long as in a load peak.
func BenchmarkNext(b *testing.B) {
	l := &pacer.Queue[int]{}
	for n := range 64 {
		l.Add(n, start, routeParams)
	}
	for b.Loop() {
		n, _ := l.Next(start, true)
		l.Remove(n)
		l.Add(n, start, routeParams)
	}
}
