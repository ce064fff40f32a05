package steerer

// microSlots counts millionths of a slot of usual speed. Sums of whole numbers don't drift
// as parts come and go.
type microSlots int64

const slot microSlots = 1_000_000

// recountStep is how many targets of a service are counted anew for each view of its room,
// in turn. A part that changes with time alone, as a warm-up ends, is off until then. The
// cost of a view stays the same however many targets there are.
const recountStep = 128

// slotSum adds up the slots of a service's targets by zone.
type slotSum struct {
	byZone []microSlots
	// next is where the next turn begins among the service's choices.
	next int
}

// set replaces a target's part in the sum.
func (sum *slotSum) set(t *target, part microSlots) {
	for len(sum.byZone) <= t.zone {
		sum.byZone = append(sum.byZone, 0)
	}
	sum.byZone[t.zone] += part - t.counted
	t.counted = part
}

// noteUncounted has a target's slots counted anew for the next view of its service's room.
func (t *table) noteUncounted(one *target) {
	if !one.uncounted {
		one.uncounted = true
		t.uncounted = append(t.uncounted, one)
	}
}

// slotsOf returns the sum of a service's slots, which it makes if there is none.
func (t *table) slotsOf(service string) *slotSum {
	sum, ok := t.slots[service]
	if !ok {
		sum = &slotSum{}
		t.slots[service] = sum
	}
	return sum
}

// countSlots brings the sum of a service's slots up to date: the targets that have changed,
// and some of the others.
func (s *Steerer) countSlots(service string) *slotSum {
	for _, t := range s.targets.uncounted {
		t.uncounted = false
		s.countTarget(t)
	}
	s.targets.uncounted = s.targets.uncounted[:0]
	sum := s.targets.slotsOf(service)
	all := s.targets.byService[service]
	step := min(len(all), recountStep)
	for i := range step {
		s.countTarget(all[(sum.next+i)%len(all)])
	}
	sum.next += step
	if sum.next >= len(all) {
		sum.next -= len(all)
	}
	s.targets.visits += uint64(step)
	return sum
}

// countTarget counts a target's slots anew.
func (s *Steerer) countTarget(t *target) {
	if t.listedUnder != "" {
		s.targets.slotsOf(t.listedUnder).set(t, s.usableSlots(t))
	}
}

// usableSlots is what a target adds to the room of its service if its zone can be used.
func (s *Steerer) usableSlots(t *target) microSlots {
	lost := t.health.unreachable() || t.health.suspect || t.toldSilent(s.now)
	if t.Draining || s.gone(t) || lost {
		return 0
	}
	speed := 1 / t.slownessBesideSiblings()
	if s.cold(t) {
		speed /= warmingLoad
	}
	return microSlots(float64(max(t.Slots, 1)) * speed * float64(slot))
}
