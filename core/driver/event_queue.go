package driver

import (
	"cmp"
	"container/heap"
	"time"

	"cranberryspan.dev/core/reducer"
	"cranberryspan.dev/core/timekeeper"
)

// scheduledEvent is an event for a host, or an action, due at a given time. Events that are
// due at the same time run in the order in which they were scheduled.
type scheduledEvent struct {
	at       timekeeper.Instant
	sequence uint64
	host     string
	event    reducer.Event
	action   func()
}

func (s *Simulation) scheduleEvent(delay time.Duration, host string, event reducer.Event) {
	s.lastSequence++
	heap.Push(&s.queue, &scheduledEvent{at: s.Now.Add(delay), sequence: s.lastSequence, host: host, event: event})
}

func (s *Simulation) scheduleAction(delay time.Duration, action func()) {
	s.lastSequence++
	heap.Push(&s.queue, &scheduledEvent{at: s.Now.Add(delay), sequence: s.lastSequence, action: action})
}

// eventQueue is a min-heap of scheduled events, ordered by time and sequence number.
type eventQueue []*scheduledEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if byTime := cmp.Compare(q[i].at, q[j].at); byTime != 0 {
		return byTime < 0
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(*scheduledEvent)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
