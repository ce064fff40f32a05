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
	q := &pacer.Queue[string]{}
	for i, name := range names {
		q.Add(name, at(time.Duration(i)*10*millis), routeParams)
	}
	return q
}

// takeNext removes and returns the request that Next selects; an empty string if it selects none.
func takeNext(t *testing.T, q *pacer.Queue[string], now timekeeper.Instant, hasFreeSlots bool) string {
	t.Helper()
	before := q.Len()
	name, ok := q.Next(now, hasFreeSlots)
	if !ok {
		return ""
	}
	require.Positive(t, before)
	q.Remove(name)
	require.Equal(t, before-1, q.Len())
	return name
}

func TestOldestRequestStillOnTimeGoesFirst(t *testing.T) {
	q := newQueue("a", "b", "c")
	require.Equal(t, "a", takeNext(t, q, at(20*millis), false))
	// b, added at 10 ms, has to be forwarded by 160 ms to be on time.
	require.Equal(t, "b", takeNext(t, q, at(159*millis), false))
}

// Guards against a long queue that makes every response a little late: when the oldest request
// always goes first, each one is forwarded when it has just become too old to be on time.
func TestLateRequestsYieldToOnTimeRequests(t *testing.T) {
	q := newQueue("a", "b")
	q.Add("fresh", at(200*millis), routeParams)
	require.Equal(t, "fresh", takeNext(t, q, at(201*millis), true))
	require.Empty(t, takeNext(t, q, at(202*millis), false), "a slot to spare is needed for the others")
	require.Equal(t, "a", takeNext(t, q, at(203*millis), true))
}

func TestUrgentRequestsGoFirst(t *testing.T) {
	q := newQueue("a")
	urgent := routeParams
	urgent.Priority = 1
	q.Add("urgent", at(5*millis), urgent)
	require.Equal(t, "urgent", takeNext(t, q, at(10*millis), false))
}

// Guards against a request that waits until its timeout: when new requests keep arriving, and those
// that will be late are never forwarded.
func TestQueueDelayIsBounded(t *testing.T) {
	q := newQueue("old")
	q.Add("fresh", at(750*millis), routeParams)
	require.Equal(t, "old", takeNext(t, q, at(751*millis), false), "after 0.35 of the time it goes before all others")
	q = newQueue("old")
	_, due := q.Overdue(at(899 * millis))
	require.False(t, due)
	name, due := q.Overdue(at(900 * millis))
	require.True(t, due, "after 0.45 of the time it goes without room")
	require.Equal(t, "old", name)
	q.Remove(name)
	require.Zero(t, q.Len())
}

func TestRemove(t *testing.T) {
	q := newQueue("a", "b")
	q.Remove("a")
	first, ok := q.Oldest()
	require.True(t, ok)
	require.Equal(t, "b", first)
}

func ExampleLoad() {
	var load pacer.Load
	slow := pacer.Response{Latency: 300 * millis, BaselineLatency: 60 * millis, Objective: 250 * millis, InFlight: 10}
	responses := 0
	for !load.Congested() {
		load.RecordResponse(slow)
		responses++
	}
	fmt.Printf("pressed after %d slow answers; room for an eleventh request: %v\n", responses, load.HasCapacity(10))
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
	response := pacer.Response{Latency: 100 * millis, BaselineLatency: 60 * millis, Objective: 250 * millis, InFlight: 10}
	for b.Loop() {
		load.RecordResponse(response)
	}
}

// BenchmarkNext measures Next and Remove on a queue as long as in a load peak.
func BenchmarkNext(b *testing.B) {
	q := &pacer.Queue[int]{}
	for n := range 64 {
		q.Add(n, start, routeParams)
	}
	for b.Loop() {
		n, _ := q.Next(start, true)
		q.Remove(n)
		q.Add(n, start, routeParams)
	}
}
