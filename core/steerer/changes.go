package steerer

import (
	"slices"
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// maxChangesPerReport limits the changes in a report so that the report fits into a
	// datagram.
	maxChangesPerReport = 10
	// changeRetention is how long a change is repeated in reports.
	changeRetention = 3 * time.Second
)

// pendingChange is a target whose state is to be reported to other hosts.
type pendingChange struct {
	target   *target
	deadline timekeeper.Instant
	// timesSent counts the reports that have carried the change.
	timesSent int
}

// pendingChanges lists the changes that reports carry, those sent least often first.
//
// If changes took turns, new ones would wait behind those that every host already has while
// targets are replaced, which shows as hosts that fetch from other hosts, or from the platform,
// what reports could have delivered.
type pendingChanges []pendingChange

// queueChange schedules a target's state for reports.
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

// insert places a change behind those that have been sent as often.
func (c *pendingChanges) insert(entry pendingChange) {
	index, _ := slices.BinarySearchFunc(*c, entry.timesSent+1, func(other pendingChange, timesSent int) int { return other.timesSent - timesSent })
	*c = slices.Insert(*c, index, entry)
}

// next returns the changes for the next report and counts them as sent.
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

// expire drops the changes that have been repeated for changeRetention.
func (c *pendingChanges) expire(now timekeeper.Instant) {
	*c = slices.DeleteFunc(*c, func(entry pendingChange) bool {
		expired := entry.deadline.Passed(now)
		if expired {
			entry.target.inRecentChanges = false
		}
		return expired
	})
}
