package admitter

import (
	"math"
	"time"

	"cranberryspan.dev/core/timekeeper"
)

// Levels is how many priorities are told apart; those beyond count as the last.
const Levels = 8

// meterSpan is the time constant of the mean demand: long enough that some requests of a
// host fall into it, short enough that a crowd shows while it begins.
const meterSpan = 300 * time.Millisecond

// Demand is what callers ask of a service, by priority, in slots that it keeps busy:
// requests a second times the time of work of one.
type Demand struct {
	// Open is asked in open flows, which can't be refused, New by flows that open.
	Open [Levels]float64
	New  [Levels]float64
}

// Plus adds up what two groups of callers ask.
func (d Demand) Plus(other Demand) Demand {
	for i := range Levels {
		d.Open[i] += other.Open[i]
		d.New[i] += other.New[i]
	}
	return d
}

// Times scales a demand.
func (d Demand) Times(factor float64) Demand {
	for i := range Levels {
		d.Open[i] *= factor
		d.New[i] *= factor
	}
	return d
}

// Total is the demand of all priorities.
func (d Demand) Total() float64 {
	sum := 0.0
	for i := range Levels {
		sum += d.Open[i] + d.New[i]
	}
	return sum
}

// slotParts is how many parts of a slot a total tells apart: far more than reports do.
const slotParts = 100_000_000

// total adds up demands in parts of a slot.
//
// What goes wrong with floats: reports are kept in maps, which give them in any order; the
// sum depends on it in its last digits, so equal events give unequal decisions. Sums of
// integers don't.
type total struct{ open, new [Levels]int64 }

func (t *total) add(d *Demand) {
	for i := range Levels {
		t.open[i] += int64(d.Open[i] * slotParts)
		t.new[i] += int64(d.New[i] * slotParts)
	}
}

func (t *total) demand() Demand {
	var d Demand
	for i := range Levels {
		d.Open[i] = float64(t.open[i]) / slotParts
		d.New[i] = float64(t.new[i]) / slotParts
	}
	return d
}

// level is the index of a priority; priorities beyond Levels share the last.
func level(priority int) int { return min(max(priority, 0), Levels-1) }

// meter keeps the mean demand of a host's callers. The zero meter has seen none.
type meter struct {
	mean    Demand
	updated timekeeper.Instant
}

func (m *meter) addNew(level int, work time.Duration, now timekeeper.Instant) {
	m.decay(now)
	m.mean.New[level] += float64(work) / float64(meterSpan)
}

func (m *meter) addOpen(level int, work time.Duration, now timekeeper.Instant) {
	m.decay(now)
	m.mean.Open[level] += float64(work) / float64(meterSpan)
}

func (m *meter) demand(now timekeeper.Instant) Demand {
	m.decay(now)
	return m.mean
}

func (m *meter) decay(now timekeeper.Instant) {
	if now <= m.updated {
		return
	}
	m.mean = m.mean.Times(math.Exp(-float64(now.Since(m.updated)) / float64(meterSpan)))
	m.updated = now
}
