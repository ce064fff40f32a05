package admitter

import (
	"math"
	"time"

	"cranberryspan.dev/core/timekeeper"
)

// PriorityLevels is the number of distinct priorities; larger ones count as the last.
const PriorityLevels = 8

// demandTimeConstant is the time constant of the mean demand: long enough to average over several
// requests of a host, short enough that a load peak shows while it begins.
const demandTimeConstant = 300 * time.Millisecond

// Demand is the demand for a service by priority, as the number of slots that it occupies:
// requests per second times the processing time of a request.
type Demand struct {
	// Open is the demand of requests in open flows, which can't be refused, New that of requests
	// that open a flow.
	Open [PriorityLevels]float64
	New  [PriorityLevels]float64
}

// Plus returns the sum of two demands.
func (d Demand) Plus(other Demand) Demand {
	for i := range PriorityLevels {
		d.Open[i] += other.Open[i]
		d.New[i] += other.New[i]
	}
	return d
}

// Times returns the demand multiplied by a factor.
func (d Demand) Times(factor float64) Demand {
	for i := range PriorityLevels {
		d.Open[i] *= factor
		d.New[i] *= factor
	}
	return d
}

// Total returns the demand of all priorities, in slots.
func (d Demand) Total() float64 {
	sum := 0.0
	for i := range PriorityLevels {
		sum += d.Open[i] + d.New[i]
	}
	return sum
}

// fixedPointScale is the number of units per slot in a sum: far more than reports distinguish.
const fixedPointScale = 100_000_000

// fixedPointSum adds up demands in units of 1/fixedPointScale slots.
//
// Reports are kept in maps, whose iteration order is random. The last digits of a floating-point
// sum depend on the order, so the same events would lead to different decisions. Integer sums don't
// depend on it.
type fixedPointSum struct{ open, new [PriorityLevels]int64 }

func (s *fixedPointSum) add(d *Demand) {
	for i := range PriorityLevels {
		s.open[i] += int64(d.Open[i] * fixedPointScale)
		s.new[i] += int64(d.New[i] * fixedPointScale)
	}
}

func (s *fixedPointSum) demand() Demand {
	var d Demand
	for i := range PriorityLevels {
		d.Open[i] = float64(s.open[i]) / fixedPointScale
		d.New[i] = float64(s.new[i]) / fixedPointScale
	}
	return d
}

// levelIndex returns the array index of a priority; priorities beyond PriorityLevels share the
// last one.
func levelIndex(priority int) int { return min(max(priority, 0), PriorityLevels-1) }

// meter tracks the mean demand of a host's callers. The zero value is ready to use.
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
