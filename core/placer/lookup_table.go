package placer

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a target that a LookupTable may select.
type Candidate struct {
	Name   string
	Weight int
}

// CandidatesPerEntry is the number of candidates that a LookupTable keeps for each entry.
const CandidatesPerEntry = 4

// LookupTable maps the hashes of a service's flows to ranked candidates. It is immutable.
//
// Plain rendezvous hashing gives 14 targets fractions of the entries that differ by about a
// tenth at 1,024 entries. So each target is the first candidate of at most its exact fraction
// of the entries: an entry whose best candidate has reached that limit goes to the next one. A
// change of the candidates moves somewhat more entries than the minimum, which costs nothing,
// since established flows stay on their targets (see package reducer).
type LookupTable struct {
	// entries holds, for each entry, the indexes of its candidates; -1 means none.
	entries [][CandidatesPerEntry]int16
}

// tableSize returns the number of entries for a number of candidates: a power of two, in large
// steps, since a change of the size moves most entries.
func tableSize(candidates int) int {
	switch {
	case candidates <= 16:
		return 1 << 10
	case candidates <= 128:
		return 1 << 13
	}
	return 1 << 15
}

// NewLookupTable computes the table for candidates. Equal candidates in equal order give equal
// tables on every host.
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

// rankCandidates selects as the first candidate the one with the highest score among those with
// entries remaining, followed by the others by score.
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

// Size returns the number of entries.
func (t *LookupTable) Size() int { return len(t.entries) }

// Lookup returns the ranked candidates, as indexes, for the Hash of a flow.
func (t *LookupTable) Lookup(hash uint64) [CandidatesPerEntry]int16 {
	if len(t.entries) == 0 {
		return [CandidatesPerEntry]int16{-1, -1, -1, -1}
	}
	return t.entries[hash&uint64(len(t.entries)-1)]
}
