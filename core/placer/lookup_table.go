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

// CandidatesPerEntry is how many candidates a Table keeps for each slot.
const CandidatesPerEntry = 4

// LookupTable maps the slots of a service to ranked candidates. It is immutable.
//
// Plain rendezvous hashing gives 14 targets shares that differ by about a tenth
// at 1,024 slots. So each target takes at most its exact share of the slots: a
// slot whose best candidate is full goes to the next one. A change of the
// candidates moves somewhat more slots than the least possible, which costs
// nothing, since established flows stay where they are (see reducer).
type LookupTable struct {
	// entries holds Ranks indexes into the candidates for each slot; -1 is none.
	entries [][CandidatesPerEntry]int16
}

// tableSize returns the number of slots for so many candidates: a power of two,
// with steps far apart, since a change of it moves most slots.
func tableSize(candidates int) int {
	switch {
	case candidates <= 16:
		return 1 << 10
	case candidates <= 128:
		return 1 << 13
	}
	return 1 << 15
}

// NewLookupTable computes the table for candidates. Equal candidates in equal order
// give equal tables on every host.
func NewLookupTable(candidates []Candidate) *LookupTable {
	t := &LookupTable{}
	if len(candidates) == 0 {
		return t
	}
	t.entries = make([][CandidatesPerEntry]int16, tableSize(len(candidates)))
	hashes := make([]uint64, len(candidates))
	total := 0
	for i, c := range candidates {
		hashes[i] = xxhash.Sum64String(c.Name)
		total += c.Weight
	}
	remaining := make([]int, len(candidates))
	for i, c := range candidates {
		remaining[i] = int(math.Ceil(float64(len(t.entries)) * float64(c.Weight) / float64(total)))
	}
	scores := make([]float64, len(candidates))
	for entry := range t.entries {
		for i, c := range candidates {
			scores[i] = weightedScore(score(hashes[i], uint64(entry)), float64(c.Weight))
		}
		t.entries[entry] = rankCandidates(scores, remaining)
	}
	return t
}

// rankCandidates picks the best candidate that has room as the first, and then the
// best of the others.
func rankCandidates(scores []float64, remaining []int) [CandidatesPerEntry]int16 {
	ranked := [CandidatesPerEntry]int16{-1, -1, -1, -1}
	first := -1
	for i, s := range scores {
		if remaining[i] > 0 && (first < 0 || s > scores[first]) {
			first = i
		}
	}
	remaining[first]--
	ranked[0] = int16(first)
	for rank := 1; rank < CandidatesPerEntry; rank++ {
		best := -1
		for i, s := range scores {
			if !contains(ranked[:rank], i) && (best < 0 || s > scores[best]) {
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

func contains(ranked []int16, i int) bool {
	for _, r := range ranked {
		if int(r) == i {
			return true
		}
	}
	return false
}

// Size returns the number of slots.
func (t *LookupTable) Size() int { return len(t.entries) }

// Lookup returns the ranked candidates, as indexes, for a flow's Hash.
func (t *LookupTable) Lookup(hash uint64) [CandidatesPerEntry]int16 {
	if len(t.entries) == 0 {
		return [CandidatesPerEntry]int16{-1, -1, -1, -1}
	}
	return t.entries[hash&uint64(len(t.entries)-1)]
}
