package steerer_test

import (
	"testing"
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

// readyHosts counts the hosts of a zone that are ready.
func (f *fleet) readyHosts(zone string) int {
	count := 0
	for _, name := range f.names {
		if name[:1] == zone && f.hosts[name].running && f.hosts[name].steerer.Ready() {
			count++
		}
	}
	return count
}

// A zone loses power, other zones serve its callers, and its hosts start one after another.
// Guards against a first host that becomes ready alone and makes the fabric send packets to
// hosts that have not started yet, so that requests fail until the last host has started.
func TestRecoveringZoneWaitsForMajorityOfHosts(t *testing.T) {
	f := newFleet(t, 6, 3)
	for _, name := range f.names[:6] {
		f.kill(name)
	}
	f.step(3 * time.Second)
	for _, name := range f.names[:2] {
		f.start(name)
		f.step(300 * time.Millisecond)
	}
	require.Zero(t, f.readyHosts("a"))
	for _, name := range f.names[2:4] {
		f.start(name)
	}
	f.step(400 * time.Millisecond)
	require.Equal(t, 4, f.readyHosts("a"), "more than half are there")
	f.start(f.names[4])
	f.step(100 * time.Millisecond)
	require.Equal(t, 5, f.readyHosts("a"))
}

// All zones lose power and start again. Guards against hosts that wait for each other
// although no other zone serves their callers, so that no caller is served for a second.
func TestHostsDoNotWaitAfterLossOfAllZones(t *testing.T) {
	f := newFleet(t, 6, 3)
	for _, name := range f.names {
		f.kill(name)
	}
	f.step(time.Second)
	f.start("a1")
	f.step(100 * time.Millisecond)
	report := messenger.Report{Address: f.hosts["b1"].address, AvailabilityZone: "b", SettingsRevision: 1, ReceiverZoneHosts: 6, Uptime: 200 * time.Millisecond}
	f.reduce("a1", &steerer.ReportReceived{From: "b1", Report: &report})
	require.Equal(t, 1, f.readyHosts("a"), "the host of the other zone has just started, too")
	report.Uptime = time.Minute
	f.reduce("a1", &steerer.ReportReceived{From: "b1", Report: &report})
	require.Zero(t, f.readyHosts("a"), "one that has run on carries the callers")
}

// A host whose zone never comes back becomes ready after a timeout, and one that restarts
// alone becomes ready at once.
func TestHostWaitForZoneIsBounded(t *testing.T) {
	f := newFleet(t, 6, 3)
	f.kill("a1")
	f.step(3 * time.Second)
	f.start("a1")
	f.step(300 * time.Millisecond)
	require.Equal(t, 6, f.readyHosts("a"), "a host that restarts alone")
	for _, name := range f.names[:6] {
		f.kill(name)
	}
	f.step(3 * time.Second)
	f.start("a1")
	f.step(500 * time.Millisecond)
	require.Zero(t, f.readyHosts("a"))
	f.step(1200 * time.Millisecond)
	require.Equal(t, 1, f.readyHosts("a"))
}
