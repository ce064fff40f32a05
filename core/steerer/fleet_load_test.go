package steerer_test

import (
	"fmt"
	"testing"
	"time"

	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

// Symptom: hosts with small links learn a new version late, and their callers wait
// meanwhile. Sequence: a document of 400 KB, some 40 KB when compressed, takes longer
// from host to host than a host waits before it asks the next. Cause: several answers
// with the same document share one link.
func TestOnlyOneSyncRequestIsInFlight(t *testing.T) {
	f := newFleet(t, 6, 6)
	f.answerDelay = time.Second
	for _, name := range f.names[1:] {
		f.deniedHosts[name] = true
	}
	f.peakPendingSyncRequests = 0
	f.settings = newSettings(2, routes()[:2])
	f.step(4 * time.Second) // The host that reads is not the first in rank.
	for _, name := range f.names {
		require.Equal(t, uint64(2), f.hosts[name].steerer.Snapshot().Version, name)
	}
	require.Equal(t, 1, f.peakPendingSyncRequests)
}

// Symptom: after each change of the settings the platform sends the whole document to
// every host of the fleet. Sequence: a version comes; answers between hosts take longer
// than usual, since the document is large. Cause: a host that reads the platform as soon
// as one question was not answered at once.
func TestHostsFetchChangesFromOtherHosts(t *testing.T) {
	f := newFleet(t, 10, 10, 10)
	f.step(2 * time.Second)
	f.answerDelay = 500 * time.Millisecond
	f.settings = newSettings(2, routes()[:2])
	reads := f.reads
	f.step(2500 * time.Millisecond)
	for _, name := range f.names {
		require.Equal(t, uint64(2), f.hosts[name].steerer.Snapshot().Version, name)
	}
	require.Less(t, f.reads-reads, 20, "of 30 hosts; some 8 when nothing changes")
}

// Symptom: some thousand calls to the platform in an outage of five seconds, most of its
// price on a day of a large fleet; they are in its way when it comes back. Sequence: the
// platform goes down; every host tries again about once a second, for settings and
// targets. Cause: pauses between tries that do not know how many others try.
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

// A host that hears nobody tries as often as a small fleet does, however large the fleet
// was that it heard before.
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

// Symptom: the platform refuses calls for its rate after a loss of all hosts, and hosts
// that are ready wait for it. Sequence: all hosts start at once; each reads settings and
// all pages of targets. Cause: calls that count, where an answer a few seconds old would
// do until the first reader has told what changed since.
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

// Symptom: on a host with a small link flows are reset whose targets work. Sequence: it
// reads a large document; the answers of liveness checks wait behind it. Cause: the
// host's own transfer taken for the targets' silence.
func TestOwnTransferDoesNotMakeTargetsUnreachable(t *testing.T) {
	const rate = 250_000
	f := newFleet(t, 1)
	f.hosts["a1"].linkBytesPerSecond = rate
	f.kill("a1")
	f.start("a1")
	f.step(time.Second)
	read := openOn(f, "a1", silentTarget, 0, true)
	f.step(3 * time.Second)
	f.reduce("a1", &steerer.Tick{TransfersReceived: int(rate * steerer.TickInterval.Seconds())})
	stallRequest(f, read)
	require.Empty(t, f.hosts["a1"].resets)
	f.step(2 * time.Second)
	stallRequest(f, read)
	require.NotEmpty(t, f.hosts["a1"].resets, "the link is free again")
}

// Symptom: traffic between zones costs a tenth of what a fleet of 300 hosts is worth, and
// hosts choose targets by loads of their zone that are seconds old. Sequence: a fleet of
// five zones is quiet. Cause: each host tells all others in turn, of which four of five
// are in other zones.
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

// Symptom: for three seconds after a loss of all hosts of a large fleet they tell each
// other 23 KB a second each, and 8 KB later. Sequence: all hosts learn their targets from
// the platform. Cause: what every host has just read told as news.
func TestFirstTargetListIsNotReportedAsChanges(t *testing.T) {
	f := newFleet(t, 8, 8, 8)
	for n := range 300 {
		f.addTarget(fmt.Sprintf("i-4%07x", n), "ledger", "a")
	}
	f.step(6 * time.Second)
	f.reportBytes = 0
	f.step(2 * time.Second)
	quiet := f.reportBytes
	for _, name := range f.names {
		f.kill(name)
		f.start(name)
	}
	f.step(500 * time.Millisecond)
	f.reportBytes = 0
	f.step(2 * time.Second)
	require.Less(t, f.reportBytes, 2*quiet)
}

// Symptom: hosts of a large fleet think that others are gone which live, or count dead
// ones for long; the reader of the platform changes all the time. Sequence: most reports
// come from the own zone. Cause: hosts are mentioned by those only who hear them, or with
// no word of how long ago that was.
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

// Failure: dead hosts count as living for good where their zones live on, because word of a
// host is passed on without how old it is.
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

// Symptom: after a loss of all 295 hosts nobody's feed goes on for a second. Sequence: all
// read their targets, 240 KB, and the settings, 530 KB, through one link of the platform.
// Cause: both at once, so that targets come as late as the settings, though open flows
// need no settings.
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

// Symptom: a host that starts never knows its settings. Sequence: reads of the targets
// take for ever. Cause: settings that wait for them without a bound.
func TestSettingsDoNotWaitForTargetsForLong(t *testing.T) {
	f := newFleet(t, 1)
	f.targetsReadTime = time.Minute
	f.kill("a1")
	f.start("a1")
	f.step(500 * time.Millisecond)
	require.Equal(t, uint64(1), f.hosts["a1"].steerer.Snapshot().Version)
}
