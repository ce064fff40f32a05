package steerer_test

import (
	"fmt"
	"testing"
	"time"

	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

// Guards against settings reaching hosts with small links late, with callers waiting
// meanwhile: when a document of 400 KB, about 40 KB compressed, takes longer from host to
// host than the sync timeout, several responses with the same document must not share one
// link.
func TestOnlyOneSyncRequestIsInFlight(t *testing.T) {
	f := newFleet(t, 6, 6)
	f.syncResponseDelay = time.Second
	for _, name := range f.names[1:] {
		f.deniedHosts[name] = true
	}
	f.peakPendingSyncRequests = 0
	f.settings = newSettings(2, routes()[:2])
	f.step(4 * time.Second) // The only host that may read the platform is not the first in rank.
	for _, name := range f.names {
		require.Equal(t, uint64(2), f.hosts[name].steerer.Snapshot().Version, name)
	}
	require.Equal(t, 1, f.peakPendingSyncRequests)
}

// Guards against the platform sending the full document to every host after each change of
// the settings: when a new version is published and sync responses are slow because the
// document is large, a host must not read the platform as soon as one sync request was not
// answered at once.
func TestHostsFetchChangesFromOtherHosts(t *testing.T) {
	f := newFleet(t, 10, 10, 10)
	f.step(2 * time.Second)
	f.syncResponseDelay = 500 * time.Millisecond
	f.settings = newSettings(2, routes()[:2])
	reads := f.reads
	f.step(2500 * time.Millisecond)
	for _, name := range f.names {
		require.Equal(t, uint64(2), f.hosts[name].steerer.Snapshot().Version, name)
	}
	require.Less(t, f.reads-reads, 20, "of 30 hosts; some 8 when nothing changes")
}

// Guards against about a thousand calls to the platform in an outage of five seconds, which make
// up most of what the platform costs a large fleet per day and hinder its recovery: when it
// goes down and every host retries about once a second, for settings and targets, the retry
// interval must grow with the number of hosts.
func TestFleetLimitsReadsDuringPlatformOutage(t *testing.T) {
	f := newFleet(t, 40, 40, 40)
	f.step(3 * time.Second)
	f.down = true
	f.step(3 * time.Second)
	f.reads = 0
	f.step(6 * time.Second)
	require.Less(t, f.reads, 2*6*15, "ten tries a second for each of settings and targets")
	f.down = false
	f.settings = newSettings(2, routes()[:2])
	f.step(2500 * time.Millisecond)
	for _, name := range f.names {
		require.Equal(t, uint64(2), f.hosts[name].steerer.Snapshot().Version, name)
	}
}

// A host that receives no reports retries as often as one in a small fleet, however large the
// fleet was from which it received reports before.
func TestIsolatedHostReadsOften(t *testing.T) {
	f := newFleet(t, 40, 40)
	for _, name := range f.names[1:] {
		f.kill(name)
	}
	f.down = true
	f.step(20 * time.Second)
	f.down = false
	f.settings = newSettings(2, routes()[:2])
	f.step(2 * time.Second)
	require.Equal(t, uint64(2), f.hosts[f.names[0]].steerer.Snapshot().Version)
}

// Guards against the platform's rate limit keeping hosts from becoming ready after a loss
// of all hosts: when all hosts start at once and each reads settings and all pages of
// targets, the reads may accept a response that is a few seconds old, which does not count
// towards the limit, until the first reader has reported the changes since.
func TestFirstReadsMayBeStaleAndOneHostRefreshesThem(t *testing.T) {
	f := newFleet(t, 30, 30)
	for _, name := range f.names {
		f.kill(name)
	}
	f.step(time.Second)
	f.reads, f.staleReads = 0, 0
	for _, name := range f.names {
		f.start(name)
	}
	f.step(500 * time.Millisecond)
	for _, name := range f.names {
		require.True(t, f.hosts[name].steerer.Ready(), name)
	}
	require.Equal(t, 2*60, f.staleReads)
	f.step(4 * time.Second)
	require.Less(t, f.reads-f.staleReads, 60, "reads that count, of 60 hosts")
	for _, name := range f.names {
		require.Less(t, f.hosts[name].steerer.Snapshot().TargetsAge, 3*time.Second, name)
	}
}

// Guards against a host with a small link resetting flows of working targets: when it reads
// a large document, the responses to its probes are queued behind it, and its own transfer
// must not look like unresponsive targets.
func TestOwnTransferDoesNotMakeTargetsUnreachable(t *testing.T) {
	const rate = 250_000
	f := newFleet(t, 1)
	f.hosts["a1"].linkBytesPerSecond = rate
	f.kill("a1")
	f.start("a1")
	f.step(time.Second)
	read := openOn(f, "a1", unresponsiveTarget, 0, true)
	f.step(3 * time.Second)
	f.reduce("a1", &steerer.Tick{TransfersReceived: int(rate * steerer.TickInterval.Seconds())})
	stallRequest(f, read)
	require.Empty(t, f.hosts["a1"].resets)
	f.step(2 * time.Second)
	stallRequest(f, read)
	require.NotEmpty(t, f.hosts["a1"].resets, "the link is free again")
}

// Guards against cross-zone traffic that makes up a tenth of the cost of a fleet of 300 hosts,
// and against choosing targets by loads that are seconds old: when a fleet of five zones is
// idle, a host must not report to all others in turn, of which four of five are in other zones.
func TestMostReportsInALargeFleetStayWithinTheirZone(t *testing.T) {
	f := newFleet(t, 12, 12, 12, 12, 12)
	f.step(3 * time.Second)
	f.reports, f.crossZoneReports = 0, 0
	f.step(5 * time.Second)
	require.Less(t, float64(f.crossZoneReports), 0.25*float64(f.reports))
	f.settings = newSettings(2, routes()[:2])
	f.step(2 * time.Second)
	for _, name := range f.names {
		require.Equal(t, uint64(2), f.hosts[name].steerer.Snapshot().Version, name)
	}
}

// Guards against reports of 23 KB a second per host, and 8 KB later, in the three seconds
// after a loss of all hosts of a large fleet: when all hosts have just read the targets
// from the platform, these must not be reported as changes.
func TestFirstTargetListIsNotReportedAsChanges(t *testing.T) {
	f := newFleet(t, 8, 8, 8)
	for n := range 300 {
		f.addTarget(fmt.Sprintf("i-4%07x", n), "ledger", "a")
	}
	f.step(6 * time.Second)
	f.reportBytes = 0
	f.step(2 * time.Second)
	idleBytes := f.reportBytes
	for _, name := range f.names {
		f.kill(name)
		f.start(name)
	}
	f.step(500 * time.Millisecond)
	f.reportBytes = 0
	f.step(2 * time.Second)
	require.Less(t, f.reportBytes, 2*idleBytes)
}

// Guards against live hosts of a large fleet counting as dead, dead ones counting as alive
// for long, and the reader of the platform changing all the time: when most reports come
// from the local zone, hosts must also report as alive hosts from which they have received no
// reports themselves, together with the age of that information.
func TestHostsInOtherZonesCountAsLive(t *testing.T) {
	f := newFleet(t, 20, 20, 20, 20)
	f.step(20 * time.Second)
	live := f.hosts["a1"].steerer.Snapshot().Live
	require.GreaterOrEqual(t, live, 70, "of 79 others")
	for _, name := range f.names[40:] {
		f.kill(name)
	}
	f.step(25 * time.Second)
	require.Equal(t, 39, f.hosts["a1"].steerer.Snapshot().Live)
}

// Guards against dead hosts counting as alive permanently while others in their zones are
// alive: when reports about hosts are passed on without their age.
func TestDeadHostsInLiveZonesAreDetected(t *testing.T) {
	f := newFleet(t, 20, 20, 20, 20)
	f.step(20 * time.Second)
	for n, name := range f.names {
		if n%2 == 1 {
			f.kill(name)
		}
	}
	f.step(25 * time.Second)
	require.Equal(t, 39, f.hosts["a1"].steerer.Snapshot().Live)
}

// Guards against all long-lived flows stalling for a second after a loss of all 295 hosts:
// when all hosts read their targets, 240 KB, and the settings, 530 KB, over one link of the
// platform, the targets must come first, since established flows need no settings.
func TestTargetsAreReadBeforeTheSettings(t *testing.T) {
	f := newFleet(t, 1)
	open := f.caller(1, readRoute)
	open.open("a1", 0)
	open.establish("a1")
	f.targetsReadTime = 200 * time.Millisecond
	f.kill("a1")
	f.step(time.Second)
	f.hosts["a1"].sent = nil
	reads := f.reads
	f.start("a1")
	f.step(100 * time.Millisecond)
	require.Equal(t, reads+1, f.reads, "the settings wait")
	open.sendRequest("a1")
	f.step(150 * time.Millisecond)
	require.Greater(t, f.reads, reads+1)
	require.Len(t, f.hosts["a1"].sent, 1)
}

// Guards against a starting host that never gets its settings: when reads of the targets
// never finish, the wait for them must be limited.
func TestSettingsDoNotWaitForTargetsForLong(t *testing.T) {
	f := newFleet(t, 1)
	f.targetsReadTime = time.Minute
	f.kill("a1")
	f.start("a1")
	f.step(500 * time.Millisecond)
	require.Equal(t, uint64(1), f.hosts["a1"].steerer.Snapshot().Version)
}
