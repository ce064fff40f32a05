package steerer

// microSlots counts millionths of a slot of usual speed. Sums of whole numbers don't drift
// as parts come and go.
type microSlots int64

const oneSlot microSlots = 1_000_000

// recountBatch is how many targets of a service are counted anew for each view of its room,
// in turn. A part that changes with time alone, as a warm-up ends, is off until then. The
// cost of a view stays the same however many targets there are.
const recountBatch = 128

// slotTotals adds up the slots of a service's targets by zone.
type slotTotals struct {
	byZone []microSlots
	// nextIndex is where the next turn begins among the service's choices.
	nextIndex int
}

// set replaces a target's part in the sum.
func (sum *slotTotals) set(t *target, contribution microSlots) {
	for len(sum.byZone) <= t.zone {
		sum.byZone = append(sum.byZone, 0)
	}
	sum.byZone[t.zone] += contribution - t.countedSlots
	t.countedSlots = contribution
}

// markForRecount has a target's slots counted anew for the next view of its service's room.
func (t *targetTable) markForRecount(target *target) {
	if !target.slotsStale {
		target.slotsStale = true
		t.slotsStale = append(t.slotsStale, target)
	}
}

// slotTotalsOf returns the sum of a service's slots, which it makes if there is none.
func (t *targetTable) slotTotalsOf(service string) *slotTotals {
	sum, ok := t.slots[service]
	if !ok {
		sum = &slotTotals{}
		t.slots[service] = sum
	}
	return sum
}

// updateSlotTotals brings the sum of a service's slots up to date: the targets that have changed,
// and some of the others.
func (s *Steerer) updateSlotTotals(service string) *slotTotals {
	for _, t := range s.targets.slotsStale {
		t.slotsStale = false
		s.recountTarget(t)
	}
	s.targets.slotsStale = s.targets.slotsStale[:0]
	sum := s.targets.slotTotalsOf(service)
	all := s.targets.byService[service]
	step := min(len(all), recountBatch)
	for i := range step {
		s.recountTarget(all[(sum.nextIndex+i)%len(all)])
	}
	sum.nextIndex += step
	if sum.nextIndex >= len(all) {
		sum.nextIndex -= len(all)
	}
	s.targets.entriesVisited += uint64(step)
	return sum
}

// recountTarget counts a target's slots anew.
func (s *Steerer) recountTarget(t *target) {
	if t.listedUnder != "" {
		s.targets.slotTotalsOf(t.listedUnder).set(t, s.usableSlots(t))
	}
}

// usableSlots is what a target adds to the room of its service if its zone can be used.
func (s *Steerer) usableSlots(t *target) microSlots {
	lost := t.health.unreachable() || t.health.suspect || t.reportedUnresponsive(s.now)
	if t.Draining || s.excludedAsMissing(t) || lost {
		return 0
	}
	speed := 1 / t.slowdownWithinZone()
	if s.isCold(t) {
		speed /= warmUpLoadFactor
	}
	return microSlots(float64(max(t.Slots, 1)) * speed * float64(oneSlot))
}
