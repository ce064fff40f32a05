package pacer_test

import (
	"fmt"
	"testing"
	"time"

	"cranberryspan.dev/core/pacer"
	"cranberryspan.dev/core/timekeeper"
	"github.com/stretchr/testify/require"
)

var limits = pacer.Limits{Usual: 50 * millis, Objective: 250 * millis, Timeout: 2 * time.Second, Priority: 2}

const start = timekeeper.Instant(time.Second)

func at(d time.Duration) timekeeper.Instant { return start.Add(d) }

func lineOf(names ...string) *pacer.Line[string] {
	l := &pacer.Line[string]{}
	for i, name := range names {
		l.Add(name, at(time.Duration(i)*10*millis), limits)
	}
	return l
}

func take(t *testing.T, l *pacer.Line[string], now timekeeper.Instant, spare bool) string {
	t.Helper()
	before := l.Len()
	name, ok := l.Next(now, spare)
	if !ok {
		return ""
	}
	require.Positive(t, before)
	l.Remove(name)
	require.Equal(t, before-1, l.Len())
	return name
}

func TestOldestThatCanBeInTimeGoesFirst(t *testing.T) {
	l := lineOf("a", "b", "c")
	require.Equal(t, "a", take(t, l, at(20*millis), false))
	require.Equal(t, "b", take(t, l, at(159*millis), false))
}

// Symptom: with a deep line every answer is a little late. Sequence: each request goes
// when it has just become too old to be in time. Cause: the oldest first, whatever its
// chances.
func TestRequestThatWillBeLateLeavesItsPlaceToOthers(t *testing.T) {
	l := lineOf("a", "b")
	l.Add("fresh", at(200*millis), limits)
	require.Equal(t, "fresh", take(t, l, at(201*millis), true))
	require.Empty(t, take(t, l, at(202*millis), false), "a slot to spare is needed for the others")
	require.Equal(t, "a", take(t, l, at(203*millis), true))
}

func TestUrgentRequestsGoFirst(t *testing.T) {
	l := lineOf("a")
	urgent := limits
	urgent.Priority = 1
	l.Add("urgent", at(5*millis), urgent)
	require.Equal(t, "urgent", take(t, l, at(10*millis), false))
}

// Symptom: a request waits until its deadline. Sequence: fresh requests come without
// end. Cause: those that will be late never get their turn.
func TestWaitIsBounded(t *testing.T) {
	l := lineOf("old")
	l.Add("fresh", at(750*millis), limits)
	require.Equal(t, "old", take(t, l, at(751*millis), false), "after 0.35 of the time it goes before all others")
	l = lineOf("old")
	_, due := l.Overdue(at(899 * millis))
	require.False(t, due)
	name, due := l.Overdue(at(900 * millis))
	require.True(t, due, "after 0.45 of the time it goes without room")
	require.Equal(t, "old", name)
	l.Remove(name)
	require.Zero(t, l.Len())
}

func TestRemovedRequestIsGone(t *testing.T) {
	l := lineOf("a", "b")
	l.Remove("a")
	first, waits := l.First()
	require.True(t, waits)
	require.Equal(t, "b", first)
}

func ExampleLoad() {
	var load pacer.Load
	slow := pacer.Answer{Took: 300 * millis, Usual: 60 * millis, Objective: 250 * millis, UnderWay: 10}
	answers := 0
	for !load.Pressed() {
		load.Answered(slow)
		answers++
	}
	fmt.Printf("pressed after %d slow answers; room for an eleventh request: %v\n", answers, load.Room(10))
	// Output: pressed after 6 slow answers; room for an eleventh request: false
}

// Symptom: requests wait at a service whose answers have simply become longer than its
// objective. Cause: pacing where nobody can be in time.
func TestServiceThatCannotMeetItsObjectiveIsNotPaced(t *testing.T) {
	var load pacer.Load
	for range 100 {
		load.Answered(pacer.Answer{Took: 900 * millis, Usual: 300 * millis, Objective: 250 * millis, UnderWay: 10})
	}
	require.False(t, load.Pressed())
}

func TestFewSlowTargetsDoNotPress(t *testing.T) {
	var load pacer.Load
	for i := range 400 {
		took := 55 * millis
		if i%6 == 0 {
			took = 250 * millis // One target in six takes five times as long.
		}
		load.Answered(pacer.Answer{Took: took, Usual: 55 * millis, Objective: 250 * millis, UnderWay: 10})
		require.False(t, load.Pressed())
	}
}

func BenchmarkAnswered(b *testing.B) {
	var load pacer.Load
	a := pacer.Answer{Took: 100 * millis, Usual: 60 * millis, Objective: 250 * millis, UnderWay: 10}
	for b.Loop() {
		load.Answered(a)
	}
}

// BenchmarkTake takes from a line as deep as a crowd has made one.
func BenchmarkTake(b *testing.B) {
	l := &pacer.Line[int]{}
	for n := range 64 {
		l.Add(n, start, limits)
	}
	for b.Loop() {
		n, _ := l.Next(start, true)
		l.Remove(n)
		l.Add(n, start, limits)
	}
}
