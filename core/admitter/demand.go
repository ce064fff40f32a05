package admitter

import (
	"math"
	"time"

	"cranberryspan.dev/core/timekeeper"
)

// PriorityLevels is how many priorities are told apart; those beyond count as the last.
const PriorityLevels = 8

// demandTimeConstant is the time constant of the mean demand: long enough that some requests of a
// host fall into it, short enough that a crowd shows while it begins.
const demandTimeConstant = 300 * time.Millisecond

// Demand is what callers ask of a service, by priority, in slots that it keeps busy:
// requests a second times the time of work of one.
type Demand struct {
	// Open is asked in open flows, which can't be refused, New by flows that open.
	Open [PriorityLevels]float64
	New  [PriorityLevels]float64
}

// Plus adds up what two groups of callers ask.
func (d Demand) Plus(other Demand) Demand {
	for i := range PriorityLevels {
		d.Open[i] += other.Open[i]
		d.New[i] += other.New[i]
	}
	return d
}

// Times scales a demand.
func (d Demand) Times(factor float64) Demand {
	for i := range PriorityLevels {
		d.Open[i] *= factor
		d.New[i] *= factor
	}
	return d
}

// Total is the demand of all priorities.
func (d Demand) Total() float64 {
	sum := 0.0
	for i := range PriorityLevels {
		sum += d.Open[i] + d.New[i]
	}
	return sum
}

// fixedPointScale is how many parts of a slot a total tells apart: far more than reports do.
const fixedPointScale = 100_000_000

// fixedPointSum adds up demands in parts of a slot.
//
// What goes wrong with floats: reports are kept in maps, which give them in any order; the
// sum depends on it in its last digits, so equal events give unequal decisions. Sums of
// integers don't.
type fixedPointSum struct{ open, new [PriorityLevels]int64 }

func (t *fixedPointSum) add(d *Demand) {
	for i := range PriorityLevels {
		t.open[i] += int64(d.Open[i] * fixedPointScale)
		t.new[i] += int64(d.New[i] * fixedPointScale)
	}
}

func (t *fixedPointSum) demand() Demand {
	var d Demand
	for i := range PriorityLevels {
		d.Open[i] = float64(t.open[i]) / fixedPointScale
		d.New[i] = float64(t.new[i]) / fixedPointScale
	}
	return d
}

// levelIndex is the index of a priority; priorities beyond Levels share the last.
func levelIndex(priority int) int { return min(max(priority, 0), PriorityLevels-1) }

// meter keeps the mean demand of a host's callers. The zero meter has seen none.
type meter struct {
	mean      Demand
	updatedAt timekeeper.Instant
}

func (m *meter) addNew(level int, work time.Duration, now timekeeper.Instant) {
	m.decay(now)
	m.mean.New[level] += float64(work) / float64(demandTimeConstant)
}

func (m *meter) addOpen(level int, work time.Duration, now timekeeper.Instant) {
	m.decay(now)
	m.mean.Open[level] += float64(work) / float64(demandTimeConstant)
}

func (m *meter) demand(now timekeeper.Instant) Demand {
	m.decay(now)
	return m.mean
}

func (m *meter) decay(now timekeeper.Instant) {
	if now <= m.updatedAt {
		return
	}
	m.mean = m.mean.Times(math.Exp(-float64(now.Since(m.updatedAt)) / float64(demandTimeConstant)))
	m.updatedAt = now
}
