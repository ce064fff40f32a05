package steerer

import (
	"slices"
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// maxChangesPerReport bounds the changes in a report, so that it fits a datagram.
	maxChangesPerReport = 10
	// changeRetention is how long a change is repeated in reports.
	changeRetention = 3 * time.Second
)

// pendingChange is a target whose state other hosts should hear of.
type pendingChange struct {
	target   *target
	deadline timekeeper.Instant
	// timesSent counts the reports that have told of it.
	timesSent int
}

// pendingChanges are what reports tell of, those that were told the least first.
//
// What goes wrong if all are told by turns: targets are replaced, and what is new waits
// behind what everybody has heard. One notices by hosts that ask others, or the platform,
// for what reports could have told them.
type pendingChanges []pendingChange

// queueChange marks a target's state as news.
func (s *Steerer) queueChange(t *target) {
	s.peers.reportNow = true
	s.peers.changes.add(t, s.now.Add(changeRetention))
}

// add lists a target's new state until a deadline.
func (c *pendingChanges) add(t *target, deadline timekeeper.Instant) {
	if t.inRecentChanges {
		*c = slices.DeleteFunc(*c, func(entry pendingChange) bool { return entry.target == t })
	}
	t.inRecentChanges = true
	c.insert(pendingChange{target: t, deadline: deadline})
}

// insert lists a change behind those that were told as often.
func (c *pendingChanges) insert(entry pendingChange) {
	index, _ := slices.BinarySearchFunc(*c, entry.timesSent+1, func(other pendingChange, told int) int { return other.timesSent - told })
	*c = slices.Insert(*c, index, entry)
}

// next returns the changes that the next report tells, and counts them as told.
func (c *pendingChanges) next() []*target {
	batch := slices.Clone((*c)[:min(len(*c), maxChangesPerReport)])
	*c = slices.Delete(*c, 0, len(batch))
	var targets []*target
	for _, entry := range batch {
		targets = append(targets, entry.target)
		entry.timesSent++
		c.insert(entry)
	}
	return targets
}

// expire drops the changes that have been told for long enough.
func (c *pendingChanges) expire(now timekeeper.Instant) {
	*c = slices.DeleteFunc(*c, func(entry pendingChange) bool {
		expired := entry.deadline.Passed(now)
		if expired {
			entry.target.inRecentChanges = false
		}
		return expired
	})
}
