package warmer_test

import (
	"fmt"
	"testing"
	"time"

	"cranberryspan.dev/core/timekeeper"
	"cranberryspan.dev/core/warmer"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const start = timekeeper.Instant(time.Second)

func ExampleAllocate() {
	fmt.Println(warmer.Allocate(warmer.RateLimit{PerSecond: 2, BurstFactor: 1.5, BurstAllowance: 5}))
	fmt.Println(warmer.Allocate(warmer.RateLimit{PerSecond: 50, BurstFactor: 1.5, BurstAllowance: 5}))
	// Output:
	// {2 1s}
	// {4 111.111111ms}
}

// Whatever the rate limit, two sets of holders that place flows as often as they may stay
// within it in any second, and one set stays within the sustained rate.
func TestTwoSetsOfHoldersStayWithinRateLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := warmer.RateLimit{
			PerSecond:      rapid.Float64Range(0.2, 200).Draw(t, "perSecond"),
			BurstFactor:    rapid.Float64Range(1, 3).Draw(t, "overage"),
			BurstAllowance: rapid.Float64Range(2, 10).Draw(t, "allowance"),
		}
		allocation := warmer.Allocate(limit)
		maxInOneSecond := 1 + int((time.Second-1)/allocation.Interval)
		require.LessOrEqual(t, float64(2*allocation.Holders*maxInOneSecond), limit.PerSecond*limit.BurstFactor+limit.BurstAllowance+1e-9)
		require.LessOrEqual(t, float64(allocation.Holders)/allocation.Interval.Seconds(), limit.PerSecond*1.0001)
	})
}

func TestTargetWithoutRateLimitAdmitsAllFlows(t *testing.T) {
	w := warmer.New("a1", start)
	for range 3 {
		require.True(t, w.Admits("i-1", warmer.RateLimit{}, start))
		w.RecordPlacement("i-1", warmer.RateLimit{}, start)
	}
}

// Guards against exceeding the rate limit of cold targets after all hosts were lost: when all
// hosts start at once, none has learned of the others yet, and each would consider itself the
// only host.
func TestHostHoldsNoTicketsDuringDiscoveryPeriod(t *testing.T) {
	w := warmer.New("a1", start)
	limit := warmer.RateLimit{PerSecond: 12, BurstFactor: 1.5, BurstAllowance: 5}
	require.False(t, w.Admits("i-1", limit, start.Add(time.Second)))
	require.True(t, w.Admits("i-1", limit, start.Add(4*time.Second)), "alone in its zone, it holds all")
}

func TestHolderWaitsBetweenFlows(t *testing.T) {
	w := warmer.New("a1", start)
	limit := warmer.RateLimit{PerSecond: 2, BurstFactor: 1.5, BurstAllowance: 5}
	now := start.Add(10 * time.Second)
	require.True(t, w.Admits("i-1", limit, now))
	w.RecordPlacement("i-1", limit, now)
	require.False(t, w.Admits("i-1", limit, now.Add(900*time.Millisecond)))
	require.True(t, w.Admits("i-1", limit, now.Add(time.Second)))
	require.True(t, w.Admits("i-2", limit, now), "another target's ticket is another")
}

func TestHolderCountFollowsZoneHosts(t *testing.T) {
	limit := warmer.RateLimit{PerSecond: 2, BurstFactor: 1.5, BurstAllowance: 5}
	names := []string{"a1", "a2", "a3", "a4", "a5", "a6"}
	now := start.Add(10 * time.Second)
	countHolders := func(hosts []string) int {
		count := 0
		for _, name := range hosts {
			w := warmer.New(name, start)
			w.SetHosts(without(hosts, name))
			if w.Admits("i-1", limit, now) {
				count++
			}
		}
		return count
	}
	require.Equal(t, 2, countHolders(names))
	require.Equal(t, 2, countHolders(names[:3]))
	require.Equal(t, 1, countHolders(names[:1]))
}

func without(hosts []string, name string) []string {
	var others []string
	for _, host := range hosts {
		if host != name {
			others = append(others, host)
		}
	}
	return others
}
