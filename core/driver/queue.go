package driver

import (
	"cmp"
	"container/heap"
	"time"

	"cranberryspan.dev/core/reducer"
	"cranberryspan.dev/core/timekeeper"
)

// scheduled is something that happens at a time. Events of the same time happen
// in the order in which they were scheduled.
type scheduled struct {
	at    timekeeper.Instant
	order uint64
	host  string
	event reducer.Event
	do    func()
}

func (f *Fleet) after(d time.Duration, host string, event reducer.Event) {
	f.order++
	heap.Push(&f.queue, &scheduled{at: f.Now.Add(d), order: f.order, host: host, event: event})
}

func (f *Fleet) schedule(d time.Duration, do func()) {
	f.order++
	heap.Push(&f.queue, &scheduled{at: f.Now.Add(d), order: f.order, do: do})
}

// eventQueue is a heap of scheduled events.
type eventQueue []*scheduled

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if byTime := cmp.Compare(q[i].at, q[j].at); byTime != 0 {
		return byTime < 0
	}
	return q[i].order < q[j].order
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is for package heap.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(*scheduled)) }

// Pop is for package heap.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
