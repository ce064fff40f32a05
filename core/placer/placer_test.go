package placer_test

import (
	"fmt"
	"testing"

	"cranberryspan.dev/core/placer"
	"cranberryspan.dev/core/resolver"
	"github.com/stretchr/testify/require"
)

func candidates(n int) []placer.Candidate {
	var list []placer.Candidate
	for i := range n {
		list = append(list, placer.Candidate{Name: fmt.Sprintf("t%02d", i), Weight: 100})
	}
	return list
}

func firstCandidates(t *placer.LookupTable) []int16 {
	var list []int16
	for entry := range t.Size() {
		list = append(list, t.Lookup(uint64(entry))[0])
	}
	return list
}

func TestLookupTableSharesMatchWeights(t *testing.T) {
	for _, n := range []int{1, 2, 4, 14, 100} {
		list := candidates(n)
		list[0].Weight = 200
		table := placer.NewLookupTable(list)
		shares := make([]int, n)
		for _, first := range firstCandidates(table) {
			shares[first]++
		}
		for i, share := range shares {
			exact := float64(table.Size()) * float64(list[i].Weight) / float64(100*(n+1))
			require.InDelta(t, exact, share, float64(n), "candidate %d of %d", i, n)
		}
	}
}

// A 15th target should get a fifteenth of the entries. The exact fractions cost somewhat more
// moves than that.
func TestAddedTargetMovesFewEntries(t *testing.T) {
	before, after := firstCandidates(placer.NewLookupTable(candidates(14))), firstCandidates(placer.NewLookupTable(candidates(15)))
	moved := 0
	for entry := range before {
		if before[entry] != after[entry] {
			moved++
		}
	}
	require.Less(t, float64(moved)/float64(len(before)), 2.0/15)
}

func TestEntryCandidatesAreDistinct(t *testing.T) {
	table := placer.NewLookupTable(candidates(5))
	for entry := range table.Size() {
		seen := map[int16]bool{}
		for _, c := range table.Lookup(uint64(entry)) {
			require.False(t, seen[c])
			seen[c] = true
		}
	}
	few := placer.NewLookupTable(candidates(2)).Lookup(7)
	require.Equal(t, int16(-1), few[2])
	require.Equal(t, int16(-1), placer.NewLookupTable(nil).Lookup(7)[0])
}

func TestRankingIsStableWhenHostIsRemoved(t *testing.T) {
	all := placer.NewRanker([]string{"a", "b", "c", "d"})
	fewer := placer.NewRanker([]string{"a", "c", "d"})
	for bucket := range placer.Bucket(500) {
		with, without := all.Rank(bucket), fewer.Rank(bucket)
		var expected []string
		for _, name := range with.Names() {
			if name != "b" {
				expected = append(expected, name)
			}
		}
		require.Equal(t, expected, without.Names())
	}
}

func TestCellsGetBucketsInProportionToHosts(t *testing.T) {
	var hosts []resolver.Host
	for i, cell := range []string{"a/0", "a/0", "a/0", "b/0", "b/0", "c/0"} {
		hosts = append(hosts, resolver.Host{Name: fmt.Sprint(i), Cell: cell})
	}
	cells := placer.NewCellMap(hosts)
	shares := map[string]int{}
	for bucket := range placer.Buckets {
		shares[cells.Home(placer.Bucket(bucket))]++
	}
	require.InDelta(t, placer.Buckets/2, shares["a/0"], 1500)
	require.InDelta(t, placer.Buckets/3, shares["b/0"], 1500)
	require.InDelta(t, placer.Buckets/6, shares["c/0"], 1500)
}

func ExampleRanker_Rank() {
	ranker := placer.NewRanker([]string{"pa-1", "pa-2", "pa-3"})
	order := ranker.Rank(42)
	fmt.Println(order.Names())
	// Output: [pa-2 pa-3 pa-1]
}

func BenchmarkRank(b *testing.B) {
	ranker := placer.NewRanker([]string{"pa-1", "pa-2", "pa-3"})
	for i := range b.N {
		order := ranker.Rank(placer.Bucket(i))
		_ = order
	}
}
