package reducer_test

import (
	"testing"
	"time"

	"cranberryspan.dev/core/driver"
	"github.com/stretchr/testify/require"
)

// Guards against hosts that keep or return to old settings: when a revision is
// published while the platform or the connection to it fails in one of several ways,
// a host must not depend on its own read, nor adopt a lower revision.
func TestRevisionReachesAllHostsAndIsNeverReverted(t *testing.T) {
	const within = 9 * time.Second
	next := threeZoneTree()
	next.Services[0].DrainingTargetNumbers = []int{1}
	last := threeZoneTree()
	last.Services[0].DrainingTargetNumbers = []int{2}
	requireInForce := func(t *testing.T, f *driver.Simulation, revision uint64) {
		t.Helper()
		inForce := func() bool {
			for _, name := range f.HostNames() {
				if f.Running(name) && f.Reducer(name).Revision() != revision {
					return false
				}
			}
			return true
		}
		require.True(t, f.StepUntil(within, inForce), "revision %d is not in force everywhere", revision)
	}
	tests := []struct {
		name string
		run  func(t *testing.T, f *driver.Simulation)
	}{
		{"read by one host, then the platform is down", func(t *testing.T, f *driver.Simulation) {
			for _, name := range f.HostNames() {
				f.SetPlatformCut(name, name != "c2")
			}
			f.SetPlatformCut("c1", false)
			f.Publish(next.Document())
			f.Step(tickInterval)
			f.PlatformDown = true
			requireInForce(t, f, 2)
		}},
		{"platform serves an older revision", func(t *testing.T, f *driver.Simulation) {
			f.Publish(next.Document())
			requireInForce(t, f, 2)
			f.ServedRevision = 1
			f.Step(10 * time.Second)
			requireInForce(t, f, 2)
		}},
		{"host starts while the platform is stale", func(t *testing.T, f *driver.Simulation) {
			f.Publish(next.Document())
			requireInForce(t, f, 2)
			f.ServedRevision = 1
			f.Kill("a1")
			f.Start("a1")
			requireInForce(t, f, 2)
		}},
		{"host starts while the platform is down", func(t *testing.T, f *driver.Simulation) {
			f.Publish(next.Document())
			requireInForce(t, f, 2)
			f.PlatformDown = true
			f.Kill("a1")
			f.Seeds = []string{"b1", "c1"}
			f.Start("a1")
			requireInForce(t, f, 2)
			waitReady(t, f, "a1")
		}},
		{"platforms differ by zone", func(t *testing.T, f *driver.Simulation) {
			for _, name := range []string{"a1", "a2", "a3"} {
				f.SetPlatformCut(name, true)
			}
			f.Publish(next.Document())
			requireInForce(t, f, 2)
		}},
		{"zone cut off from all and back", func(t *testing.T, f *driver.Simulation) {
			zone := []string{"b1", "b2", "b3"}
			f.Partition(zone...)
			for _, name := range zone {
				f.SetPlatformCut(name, true)
			}
			f.Publish(next.Document())
			f.Step(20 * time.Second)
			require.EqualValues(t, 1, f.Reducer("b1").Revision(), "nobody could tell it")
			f.HealPartition(zone...)
			requireInForce(t, f, 2)
		}},
		{"invalid revision between two valid ones", func(t *testing.T, f *driver.Simulation) {
			f.Publish([]byte("version: 1\nregions: {r: {returnPrefix: nonsense}}\n"))
			f.Step(3 * time.Second)
			require.EqualValues(t, 1, f.Reducer("a1").Revision())
			require.EqualValues(t, 2, f.Reducer("a1").Snapshot().RejectedRevision)
			f.Publish(last.Document())
			requireInForce(t, f, 3)
		}},
		{"operators race", func(t *testing.T, f *driver.Simulation) {
			f.Publish(next.Document())
			f.Step(5 * time.Millisecond)
			f.Publish(last.Document())
			f.Step(5 * time.Millisecond)
			f.Publish(next.Document())
			requireInForce(t, f, 4)
			f.Step(5 * time.Second)
			requireInForce(t, f, 4)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, threeZoneTree())
			highest := map[string]uint64{}
			test.run(t, f)
			for range 100 {
				f.Step(50 * time.Millisecond)
				for _, name := range f.HostNames() {
					revision := f.Reducer(name).Revision()
					require.GreaterOrEqual(t, revision, highest[name], "%s went back", name)
					highest[name] = revision
				}
			}
		})
	}
}

// Guards against platform calls that grow with the number of hosts: when a revision
// is published, only the watchers of each zone may read it from the platform.
func TestOnlyWatchersReadPlatform(t *testing.T) {
	tree := threeZoneTree()
	tree.HostsPerZone = []int{8, 8, 8}
	f := newFleet(t, tree)
	f.Step(5 * time.Second)
	before := f.PlatformReads
	next := tree
	next.Services = append([]driver.SettingsService(nil), tree.Services...)
	next.Services[0].DrainingTargetNumbers = []int{1}
	f.Publish(next.Document())
	f.Step(5 * time.Second)
	for _, name := range f.HostNames() {
		require.EqualValues(t, 2, f.Reducer(name).Revision())
	}
	require.Equal(t, 3*2, f.PlatformReads-before)
}
