package steerer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

// Guards against hosts that return to older settings: when a host has learned a version from
// another, and its own read, served by a replica that lags, returns an older one.
func TestSettingsNeverGoBack(t *testing.T) {
	f := newFleet(t, 1)
	f.settings = newSettings(5, routes()[:2])
	f.step(2 * time.Second)
	f.settings = newSettings(4, routes())
	f.step(2 * time.Second)
	c := f.caller(1, uploadRoute)
	c.open("a1", 0)
	require.Empty(t, c.target, "version 5 has no such route")
}

// Guards against hosts that depend on their own reads: when a version is published while the
// platform denies the reads of some hosts, it must come into force on these, too.
func TestSettingsReachDeniedHosts(t *testing.T) {
	f := newFleet(t, 3, 3, 2)
	f.deniedHosts["a1"], f.deniedHosts["b2"], f.deniedHosts["c1"] = true, true, true
	f.step(time.Second)
	f.settings = newSettings(2, routes()[:2])
	f.step(2500 * time.Millisecond)
	for _, name := range f.names {
		c := f.caller(1, uploadRoute)
		c.open(name, 0)
		require.Empty(t, c.target, "%s still knows the route", name)
	}
}

// Guards against hosts that can learn only from the platform: when the platform is down and
// all hosts but one are killed and start again, no caller would be served until it is back.
func TestHostsStartedDuringPlatformOutageAreReady(t *testing.T) {
	f := newFleet(t, 3, 3, 2)
	f.down = true
	f.step(time.Second)
	for _, name := range f.names[1:] {
		f.kill(name)
	}
	f.step(time.Second)
	for _, name := range f.names[1:] {
		f.start(name)
	}
	f.step(1500 * time.Millisecond)
	for i, name := range f.names {
		require.True(t, f.hosts[name].steerer.Ready(), name)
		c := f.caller(i, readRoute)
		c.open(name, 0)
		require.NotEmpty(t, c.target, name)
	}
}

// Guards against each host reading for itself, so that calls grow with the fleet until the
// platform denies the reads of all hosts.
func TestPlatformReadsDoNotGrowWithFleet(t *testing.T) {
	reads := map[int]int{}
	for _, perZone := range []int{3, 30} {
		f := newFleet(t, perZone, perZone, perZone)
		f.step(5 * time.Second)
		f.reads = 0
		f.step(10 * time.Second)
		reads[perZone] = f.reads
	}
	require.LessOrEqual(t, reads[3], 30, "two calls about every second")
	require.LessOrEqual(t, reads[30], 4*reads[3])
}

// Guards against choosing the reader by its name alone: in a fleet of hosts with links of 2
// and of 200 Mbit/s, a small host that reads settings and targets for all occupies its link
// for a third of a second each time, and its flows are late about every second.
func TestHostsWithFastestLinksReadPlatform(t *testing.T) {
	f := newFleet(t, 3, 3, 3)
	for _, name := range f.names {
		f.hosts[name].linkBytesPerSecond = 250_000
		if name == "a2" || name == "c3" {
			f.hosts[name].linkBytesPerSecond = 25_000_000
		}
		f.kill(name)
		f.start(name)
	}
	f.step(5 * time.Second)
	for _, h := range f.hosts {
		h.reads = 0
	}
	f.step(10 * time.Second)
	for name, h := range f.hosts {
		if name != "a2" && name != "c3" {
			require.Zero(t, h.reads, name)
		}
	}
	f.kill("a2")
	f.kill("c3")
	f.settings = newSettings(2, routes()[:2])
	f.step(3 * time.Second)
	c := f.caller(1, uploadRoute)
	c.open("b1", 0)
	require.Empty(t, c.target, "the small hosts read when the large ones are gone")
}

// Guards against hosts that wait for a reader whose reports no longer arrive: when the zone
// with the reader is partitioned and a version is published, the other side must not keep old
// settings although it reaches the platform.
func TestEachSideOfPartitionReadsPlatform(t *testing.T) {
	f := newFleet(t, 2, 2)
	f.splitZone("a")
	f.settings = newSettings(2, routes()[:2])
	f.step(3 * time.Second)
	for _, name := range f.names {
		c := f.caller(1, uploadRoute)
		c.open(name, 0)
		require.Empty(t, c.target, name)
	}
}

// Guards against refusing callers although every target works: when the entries of all
// targets are missing for two seconds because of a fault of the platform, targets whose flows
// show recent progress must still get flows.
func TestMissingTargetsWithRecentProgressStillGetFlows(t *testing.T) {
	f := newFleet(t, 1)
	var callers []*caller
	for n := range 30 {
		c := f.caller(n, readRoute)
		c.open("a1", 0)
		c.establish("a1")
		callers = append(callers, c)
	}
	before := f.targets
	f.targets = nil
	f.revision++
	for range 10 {
		f.step(200 * time.Millisecond)
		for _, c := range callers {
			c.sendRequest("a1")
			c.ackResponse("a1")
		}
	}
	fresh := f.caller(500, readRoute)
	fresh.open("a1", 0)
	require.NotEmpty(t, fresh.target)
	f.targets = before
	f.revision++
	f.step(2 * time.Second)
	fresh = f.caller(501, readRoute)
	fresh.open("a1", 0)
	require.NotEmpty(t, fresh.target)
}

// A target that stays missing beyond the grace period gets no new flows, however active it
// is.
func TestTargetThatStaysMissingGetsNoFlows(t *testing.T) {
	f := newFleet(t, 1)
	const target = "i-10000001"
	c := openOn(f, "a1", target, 0, true)
	f.remove(target)
	for range 30 {
		f.step(200 * time.Millisecond)
		c.sendRequest("a1")
		c.ackResponse("a1")
	}
	for n := range 100 {
		fresh := f.caller(2000+n, readRoute)
		fresh.open("a1", 0)
		require.NotEqual(t, target, fresh.target)
	}
}

// Guards against ignoring reports of lower incarnations for good: when a host's clock steps
// back and it restarts with a lower incarnation, a host whose reads the platform denies could
// not learn from it.
func TestReportsAreAcceptedAfterClockStepsBack(t *testing.T) {
	f := newFleet(t, 2)
	h := f.hosts["a2"]
	h.starts = 100
	f.kill("a2")
	f.start("a2")
	f.step(time.Second)
	h.starts = 10
	f.kill("a2")
	f.start("a2")
	f.deniedHosts["a1"] = true
	f.step(3 * time.Second)
	f.settings = newSettings(2, routes()[:2])
	f.step(3 * time.Second)
	require.Equal(t, uint64(2), f.hosts["a1"].steerer.Snapshot().Version)
}

// Guards against an outage that never ends for a host that has not read the platform itself
// since: when one host reads after the outage and the others learn from it, a target that
// then goes missing for good must not keep getting flows from them.
func TestPlatformOutageEndsForHostsThatSyncFromPeers(t *testing.T) {
	f := newFleet(t, 3)
	f.down = true
	f.step(5 * time.Second)
	f.down = false
	f.step(8 * time.Second)
	const target = "i-10000001"
	for _, name := range f.names {
		c := openOn(f, name, target, 0, true)
		f.remove(target)
		for range 25 {
			f.step(200 * time.Millisecond)
			c.sendRequest(name)
			c.ackResponse(name)
		}
		for n := range 100 {
			fresh := f.caller(2000+n, readRoute)
			fresh.open(name, 0)
			require.NotEqual(t, target, fresh.target, name)
		}
		f.addTarget(target, "ledger", "a")
		f.step(3 * time.Second)
	}
}

// Guards against reports that carry only the latest changes: when more targets change at once
// than a report holds, as in a crash of many targets, hosts would read the platform or send
// sync requests for the rest.
func TestManyChangesSpreadThroughReports(t *testing.T) {
	f := newFleet(t, 10, 10, 10)
	for n := range 60 {
		f.addTarget(fmt.Sprintf("i-4%07x", n), "ledger", "a")
	}
	f.step(4 * time.Second)
	f.reads, f.syncRequests = 0, 0
	for n := range 40 {
		f.drain(fmt.Sprintf("i-4%07x", n))
	}
	f.step(3 * time.Second)
	for _, name := range f.names {
		for n := range 60 {
			c := f.caller(n, readRoute)
			c.open(name, 0)
			require.False(t, f.targets[c.target].Draining, "%s does not know that %s drains", name, c.target)
		}
	}
	require.Less(t, f.reads+f.syncRequests, 14, "reads and questions of 30 hosts in 3 s; 9 when nothing changes")
}

// Guards against sync requests that all go to one host: when the platform denies all reads
// and all but one of a large fleet have restarted, most would wait long although other hosts
// have the state by then.
func TestSyncRequestsAreSpreadOverPeers(t *testing.T) {
	f := newFleet(t, 60, 60)
	f.down = true
	f.step(time.Second)
	for _, name := range f.names[1:] {
		f.kill(name)
	}
	f.step(time.Second)
	for _, name := range f.names[1:] {
		f.start(name)
	}
	f.maxConcurrentSyncResponses = 1 // Limit of concurrent sync responses per host.
	started := f.now
	for slices.ContainsFunc(f.names, func(name string) bool { return !f.hosts[name].steerer.Ready() }) {
		f.step(steerer.TickInterval)
		require.Less(t, f.now.Since(started), 1600*time.Millisecond, "1.2 s with questions at random, 1.9 s with all to one")
	}
}

// A host that knows everything up to a revision is sent only the changes after it.
func TestSyncResponseListsOnlyChanges(t *testing.T) {
	f := newFleet(t, 1)
	s := f.hosts["a1"].steerer
	all := s.SyncResponse(&messenger.SyncRequest{IncludeTargets: true})
	require.Len(t, all.Targets, 9)
	f.drain("i-10000001")
	f.step(2 * time.Second)
	later := s.SyncResponse(&messenger.SyncRequest{IncludeTargets: true, TargetsSince: all.TargetsRevision})
	require.Len(t, later.Targets, 1)
	require.True(t, later.Targets[0].Draining)
}

// Guards against treating a route that cannot be parsed as removed: when operators change a
// detail of a route to a form that hosts cannot read, flows to the route would be refused and
// its open flows reset.
func TestMalformedRouteKeepsPreviousVersion(t *testing.T) {
	f := newFleet(t, 1)
	problem := steerer.RouteProblem{Route: "upload", Err: errPlatformDown}
	f.settings = newSettings(2, routes()[:2]).WithRouteProblems([]steerer.RouteProblem{problem})
	f.step(2 * time.Second)
	c := f.caller(1, uploadRoute)
	c.open("a1", 0)
	require.NotEmpty(t, c.target)
	require.Equal(t, uint64(2), f.hosts["a1"].steerer.Snapshot().Version)
	f.settings = newSettings(3, routes()[:2])
	f.step(2 * time.Second)
	late := f.caller(2, uploadRoute)
	late.open("a1", 0)
	require.Empty(t, late.target, "version 3 has no such route")
}

// Guards against state that looks newer by the time that a report takes, and is reported
// again: when hosts exchange the age of their state and reports are slow, as on busy hosts
// and links, the intervals between reads of the platform would grow.
func TestTargetsAgeGrowsWithoutPlatformReads(t *testing.T) {
	f := newFleet(t, 8, 8)
	f.step(3 * time.Second)
	f.reportDelay = 60 * time.Millisecond
	f.down = true
	f.step(20 * time.Second)
	for _, name := range f.names {
		require.Greater(t, f.hosts[name].steerer.Snapshot().TargetsAge, 19800*time.Millisecond, name)
	}
}

// Guards against settings that arrive late on small links: when a version of 300 KB is
// published to hosts with links of 2 Mbit/s, which take 1.6 s for it, and hosts respond to
// one sync request at a time, the first reader may read late, the hosts that learn of the
// version wait for others, and a host to which no other can send it starts its own read when
// the time limit is almost reached. Requests would be handled by the older version for
// seconds.
//
// The limits follow from the time limit of 6 s. Hosts to which others can send the settings
// have them with a third of that to spare; a host to which no other can send them, and that
// is slow to process any input, has them within all of it.
func TestSettingsReachSlowLinksInTime(t *testing.T) {
	f := newFleet(t, 5, 5, 5, 4, 4)
	f.settingsPropagationLimit, f.documentBytes, f.settingsReadTime = 6*time.Second, 300_000, 1600*time.Millisecond
	f.maxConcurrentSyncResponses, f.syncResponseDelay = 1, 200*time.Millisecond
	for _, name := range f.names {
		f.kill(name)
		f.hosts[name].linkBytesPerSecond = 250_000
		f.start(name)
	}
	f.step(15 * time.Second)
	for version := uint64(2); version < 94; version++ {
		unsynced := f.names[int(version)%len(f.names)]
		f.hostsWithoutSyncResponses, f.inboundDelay = map[string]bool{unsynced: true}, map[string]time.Duration{unsynced: 100 * time.Millisecond}
		f.settings = newSettings(version, routes())
		took := map[string]time.Duration{}
		for clock := time.Duration(0); len(took) < len(f.names); clock += steerer.TickInterval {
			require.LessOrEqual(t, clock, 6*time.Second, "version %d is known to %d hosts only", version, len(took))
			for _, name := range f.names {
				if _, known := took[name]; !known && f.hosts[name].steerer.Snapshot().Version == version {
					took[name] = clock
				}
			}
			f.step(steerer.TickInterval)
		}
		for _, name := range f.names {
			if !f.hostsWithoutSyncResponses[name] {
				require.LessOrEqual(t, took[name], 4*time.Second, name)
			}
		}
		f.step(2*time.Second + time.Duration(version*version%40)*steerer.TickInterval)
	}
}
