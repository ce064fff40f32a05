package steerer

import (
	"slices"
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// maxChanges bounds the changes in a report, so that it fits a datagram.
	maxChanges = 10
	// changeMemory is how long a change is repeated in reports.
	changeMemory = 3 * time.Second
)

// change is a target whose state other hosts should hear of.
type change struct {
	target   *target
	deadline timekeeper.Instant
	// told counts the reports that have told of it.
	told int
}

// changes are what reports tell of, those that were told the least first.
//
// What goes wrong if all are told by turns: targets are replaced, and what is new waits
// behind what everybody has heard. One notices by hosts that ask others, or the platform,
// for what reports could have told them.
type changes []change

// noteChange marks a target's state as news.
func (s *Steerer) noteChange(t *target) {
	s.peers.news = true
	s.peers.changes.add(t, s.now.Add(changeMemory))
}

// add lists a target's new state until a deadline.
func (c *changes) add(t *target, deadline timekeeper.Instant) {
	if t.news {
		*c = slices.DeleteFunc(*c, func(one change) bool { return one.target == t })
	}
	t.news = true
	c.insert(change{target: t, deadline: deadline})
}

// insert lists a change behind those that were told as often.
func (c *changes) insert(one change) {
	at, _ := slices.BinarySearchFunc(*c, one.told+1, func(other change, told int) int { return other.told - told })
	*c = slices.Insert(*c, at, one)
}

// next returns the changes that the next report tells, and counts them as told.
func (c *changes) next() []*target {
	told := slices.Clone((*c)[:min(len(*c), maxChanges)])
	*c = slices.Delete(*c, 0, len(told))
	var targets []*target
	for _, one := range told {
		targets = append(targets, one.target)
		one.told++
		c.insert(one)
	}
	return targets
}

// forget drops the changes that have been told for long enough.
func (c *changes) forget(now timekeeper.Instant) {
	*c = slices.DeleteFunc(*c, func(one change) bool {
		old := one.deadline.Passed(now)
		if old {
			one.target.news = false
		}
		return old
	})
}
