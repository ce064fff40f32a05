package steerer

import (
	"fmt"
	"testing"
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/timekeeper"
	"github.com/stretchr/testify/require"
)

// Guards against memory that grows with each service ever served: when services come and go,
// the estimates of their zones must expire.
func TestZoneEstimatesOfUnusedServicesExpire(t *testing.T) {
	s := New(Config{Self: "a1", AvailabilityZone: "a", MaxFlows: 100})
	s.now = timekeeper.Instant(time.Second)
	for n := range 50 {
		s.zoneSlowdown(fmt.Sprintf("service-%d", n), "a").Observe(1, s.now)
	}
	s.estimatesTick()
	require.Len(t, s.slowdowns.zones, 50, "of late")
	s.now = s.now.Add(time.Minute)
	s.estimatesTick()
	require.Empty(t, s.slowdowns.zones)
}

// Guards against one service getting the trials of all: when the flows of two services
// alternate, each must count its trials on its own.
func TestTrialsAreCountedPerService(t *testing.T) {
	s := New(Config{Self: "a1", AvailabilityZone: "a", MaxFlows: 100})
	s.now = timekeeper.Instant(time.Second)
	due := map[string]int{}
	for range 64 {
		for _, name := range []string{"intake", "ledger"} {
			views := []zoneView{{logSlowdown: 1}}
			s.pickTrialTarget(placement{service: name}, views, nil)
			if views[0].logSlowdown == 0 {
				due[name]++
			}
		}
	}
	require.Equal(t, map[string]int{"intake": 4, "ledger": 4}, due)
}

// Guards against hosts that never learn of a slow target: when more targets are slow than a
// report can list, and a round has as many reports as the list has parts, each report starting
// at other targets would give each recipient the same part every time.
func TestReportsOfARoundCoverTheSameTargets(t *testing.T) {
	s := New(Config{Self: "a1", AvailabilityZone: "a", MaxFlows: 100})
	s.now = timekeeper.Instant(time.Second)
	for n := range 2 * maxSlowdownReports {
		one := &target{tag: Tag(n + 1)}
		for range 8 {
			one.slowdownEstimate.Observe(3, s.now)
		}
		one.slowdownEstimate.Refresh(s.now)
		s.slowdowns.active = append(s.slowdowns.active, one)
	}
	first := tagsOf(s.slowdownReports())
	require.Len(t, first, maxSlowdownReports)
	require.Equal(t, first, tagsOf(s.slowdownReports()))
	s.now = s.now.Add(reportInterval)
	second := tagsOf(s.slowdownReports())
	require.NotContains(t, second, first[0])
	require.Equal(t, second, tagsOf(s.slowdownReports()))
}

func tagsOf(reports []messenger.TargetSlowdown) []uint32 {
	var tags []uint32
	for _, p := range reports {
		tags = append(tags, p.Tag)
	}
	return tags
}
