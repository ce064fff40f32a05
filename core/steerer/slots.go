package steerer

// microSlots is a number of slots of baseline speed in millionths. Integer sums don't drift as
// targets come and go.
type microSlots int64

const oneSlot microSlots = 1_000_000

// recountBatch is how many targets of a service are recounted for each refresh of its
// capacity, in rotation. A contribution that changes with time alone, such as at the end of a
// warm-up, is outdated until its turn. The cost of a refresh does not depend on the number of
// targets.
const recountBatch = 128

// slotTotals holds the slots of a service's candidates by zone.
type slotTotals struct {
	byZone []microSlots
	// nextIndex is the index among the service's candidates at which the next batch starts.
	nextIndex int
}

// set replaces a target's contribution to the totals.
func (sum *slotTotals) set(t *target, contribution microSlots) {
	for len(sum.byZone) <= t.zone {
		sum.byZone = append(sum.byZone, 0)
	}
	sum.byZone[t.zone] += contribution - t.countedSlots
	t.countedSlots = contribution
}

// markForRecount has a target's slots recounted at the next refresh of its service's capacity.
func (t *targetTable) markForRecount(target *target) {
	if !target.slotsStale {
		target.slotsStale = true
		t.slotsStale = append(t.slotsStale, target)
	}
}

// slotTotalsOf returns the slot totals of a service, and creates them if there are none.
func (t *targetTable) slotTotalsOf(service string) *slotTotals {
	sum, ok := t.slots[service]
	if !ok {
		sum = &slotTotals{}
		t.slots[service] = sum
	}
	return sum
}

// updateSlotTotals updates the slot totals of a service: it recounts the targets that have
// changed, of any service, and a batch of this service's candidates.
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

// recountTarget recounts a target's slots.
func (s *Steerer) recountTarget(t *target) {
	if t.listedUnder != "" {
		s.targets.slotTotalsOf(t.listedUnder).set(t, s.usableSlots(t))
	}
}

// usableSlots is what a target contributes to the capacity of its service if its zone can be
// used.
func (s *Steerer) usableSlots(t *target) microSlots {
	unresponsive := t.health.unreachable() || t.health.suspect || t.reportedUnreachable(s.now)
	if t.Draining || s.excludedAsMissing(t) || unresponsive {
		return 0
	}
	speed := 1 / t.slowdownWithinZone()
	if s.isCold(t) {
		speed /= warmUpLoadFactor
	}
	return microSlots(float64(max(t.Slots, 1)) * speed * float64(oneSlot))
}
