// Package placer computes which host owns a flow and which target it belongs to from published
// settings alone, so that hosts with the same revision agree without communicating.
package placer

import (
	"encoding/binary"
	"math"
	"slices"

	"cranberryspan.dev/core/resolver"
	"github.com/cespare/xxhash/v2"
)

// Hash hashes a flow key to 64 bits. The highest 16 bits are the flow's bucket, which
// determines the host that owns the flow; the lowest bits are its entry in a LookupTable, which
// determines its target.
func Hash(key resolver.FlowKey) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(key))
	return xxhash.Sum64(b[:])
}

// Bucket is the unit in which hosts own flows.
type Bucket uint16

// Buckets is the number of buckets. With 610 hosts each owns about 107, and the host with the
// most owns about a third more than the mean.
const Buckets = 1 << 16

// BucketOf returns the bucket of a flow's Hash.
func BucketOf(hash uint64) Bucket { return Bucket(hash >> 48) }

// score returns a pseudo-random 64-bit number for a pair.
func score(a, b uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], a)
	binary.LittleEndian.PutUint64(buffer[8:], b)
	return xxhash.Sum64(buffer[:])
}

// Ranker ranks names for each bucket by rendezvous hashing: removing a name does not change the
// order of the others.
type Ranker struct {
	names  []string
	hashes []uint64
}

// NewRanker returns a Ranker over names. Rank requires that there are at most
// resolver.MaxCellHosts names.
func NewRanker(names []string) Ranker {
	r := Ranker{names: slices.Clone(names)}
	for _, name := range names {
		r.hashes = append(r.hashes, xxhash.Sum64String(name))
	}
	return r
}

// Ranking is names ranked for one bucket, best first.
type Ranking struct {
	names [resolver.MaxCellHosts]string
	count int
}

// Names returns the ranked names.
func (o *Ranking) Names() []string { return o.names[:o.count] }

// Rank ranks the names for a bucket.
func (r Ranker) Rank(bucket Bucket) Ranking {
	var ranking Ranking
	var scores [resolver.MaxCellHosts]uint64
	for i, hash := range r.hashes {
		if ranking.count == len(ranking.names) {
			break
		}
		s := score(hash, uint64(bucket))
		at := ranking.count
		for at > 0 && scores[at-1] < s {
			scores[at] = scores[at-1]
			ranking.names[at] = ranking.names[at-1]
			at--
		}
		scores[at] = s
		ranking.names[at] = r.names[i]
		ranking.count++
	}
	return ranking
}

// InTop reports whether a name is one of the first n in the ranking for a bucket. Unlike Rank
// it accepts any number of names.
func (r Ranker) InTop(bucket Bucket, name string, n int) bool {
	ownScore := score(xxhash.Sum64String(name), uint64(bucket))
	higher := 0
	for i, hash := range r.hashes {
		if r.names[i] != name && score(hash, uint64(bucket)) > ownScore {
			higher++
		}
	}
	return higher < n
}

// CellMap maps every bucket to its home cell, the cell whose hosts own the bucket's flows. It
// uses weighted rendezvous hashing over the cells of the settings. The liveness of hosts has no influence: only published settings decide, so two
// sides of a partition never both consider themselves the home of a bucket.
type CellMap struct {
	names     []string
	homeIndex []uint16
}

// NewCellMap computes the map from the hosts of a settings revision. It computes one hash for
// each pair of a bucket and a cell.
func NewCellMap(hosts []resolver.Host) CellMap {
	sizes := map[string]int{}
	var c CellMap
	for _, h := range hosts {
		if sizes[h.Cell] == 0 {
			c.names = append(c.names, h.Cell)
		}
		sizes[h.Cell]++
	}
	slices.Sort(c.names)
	hashes := make([]uint64, len(c.names))
	weights := make([]float64, len(c.names))
	for i, name := range c.names {
		hashes[i] = xxhash.Sum64String("cell " + name)
		weights[i] = float64(sizes[name])
	}
	c.homeIndex = make([]uint16, Buckets)
	for bucket := range c.homeIndex {
		best := math.Inf(-1)
		for i, hash := range hashes {
			if s := weightedScore(score(hash, uint64(bucket)), weights[i]); s > best {
				best = s
				c.homeIndex[bucket] = uint16(i)
			}
		}
	}
	return c
}

// Home returns the home cell of a bucket; empty if there are no cells.
func (c CellMap) Home(bucket Bucket) string {
	if len(c.names) == 0 {
		return ""
	}
	return c.names[c.homeIndex[bucket]]
}

// weightedScore converts a uniformly distributed hash into a score such that a name has the
// highest score in proportion to its weight (weighted rendezvous hashing).
func weightedScore(hash uint64, weight float64) float64 {
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}
