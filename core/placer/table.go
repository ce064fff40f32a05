package placer

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a target that a Table may choose.
type Candidate struct {
	Name   string
	Weight int
}

// Ranks is how many candidates a Table keeps for each slot.
const Ranks = 4

// Table maps the slots of a service to ranked candidates. It is immutable.
//
// Plain rendezvous hashing gives 14 targets shares that differ by about a tenth
// at 1,024 slots. So each target takes at most its exact share of the slots: a
// slot whose best candidate is full goes to the next one. A change of the
// candidates moves somewhat more slots than the least possible, which costs
// nothing, since established flows stay where they are (see reducer).
type Table struct {
	// ranked holds Ranks indexes into the candidates for each slot; -1 is none.
	ranked [][Ranks]int16
}

// slotsFor returns the number of slots for so many candidates: a power of two,
// with steps far apart, since a change of it moves most slots.
func slotsFor(candidates int) int {
	switch {
	case candidates <= 16:
		return 1 << 10
	case candidates <= 128:
		return 1 << 13
	}
	return 1 << 15
}

// NewTable computes the table for candidates. Equal candidates in equal order
// give equal tables on every host.
func NewTable(candidates []Candidate) *Table {
	t := &Table{}
	if len(candidates) == 0 {
		return t
	}
	t.ranked = make([][Ranks]int16, slotsFor(len(candidates)))
	hashes := make([]uint64, len(candidates))
	total := 0
	for i, c := range candidates {
		hashes[i] = xxhash.Sum64String(c.Name)
		total += c.Weight
	}
	room := make([]int, len(candidates))
	for i, c := range candidates {
		room[i] = int(math.Ceil(float64(len(t.ranked)) * float64(c.Weight) / float64(total)))
	}
	scores := make([]float64, len(candidates))
	for slot := range t.ranked {
		for i, c := range candidates {
			scores[i] = weighted(score(hashes[i], uint64(slot)), float64(c.Weight))
		}
		t.ranked[slot] = rankSlot(scores, room)
	}
	return t
}

// rankSlot picks the best candidate that has room as the first, and then the
// best of the others.
func rankSlot(scores []float64, room []int) [Ranks]int16 {
	ranked := [Ranks]int16{-1, -1, -1, -1}
	first := -1
	for i, s := range scores {
		if room[i] > 0 && (first < 0 || s > scores[first]) {
			first = i
		}
	}
	room[first]--
	ranked[0] = int16(first)
	for rank := 1; rank < Ranks; rank++ {
		best := -1
		for i, s := range scores {
			if !taken(ranked[:rank], i) && (best < 0 || s > scores[best]) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		ranked[rank] = int16(best)
	}
	return ranked
}

func taken(ranked []int16, i int) bool {
	for _, r := range ranked {
		if int(r) == i {
			return true
		}
	}
	return false
}

// Slots returns the number of slots.
func (t *Table) Slots() int { return len(t.ranked) }

// At returns the ranked candidates, as indexes, for a flow's Hash.
func (t *Table) At(hash uint64) [Ranks]int16 {
	if len(t.ranked) == 0 {
		return [Ranks]int16{-1, -1, -1, -1}
	}
	return t.ranked[hash&uint64(len(t.ranked)-1)]
}
