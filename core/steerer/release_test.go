package steerer_test

import (
	"bytes"
	"compress/gzip"
	"flag"
	"fmt"
	"testing"
	"time"

	"cranberryspan.dev/core/encoder"
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/steerer"
	"cranberryspan.dev/core/timekeeper"
	"github.com/stretchr/testify/require"
)

// releaseHostsPerZone and releaseChanges are the number of hosts per zone and of changed targets in
// TestReleaseReachesAllHostsInTime, which takes minutes at the size of the largest fleets.
var (
	releaseHostsPerZone = flag.Int("releaseZone", 8, "hosts of each of five zones during a release")
	releaseChanges      = flag.Int("releaseChanges", 60, "targets that change in the second of a release")
)

// Guards against hosts that send new flows to draining targets for longer than allowed when
// many targets begin to drain at once.
func TestReleaseReachesAllHostsInTime(t *testing.T) {
	f := newFleet(t, *releaseHostsPerZone, *releaseHostsPerZone, *releaseHostsPerZone, *releaseHostsPerZone, *releaseHostsPerZone)
	for n := range 10*len(f.names) - len(f.targets) {
		f.addTarget(fmt.Sprintf("i-%08x", 0x30000000+n), "ledger", string(rune('a'+n%5)))
	}
	f.step(10 * time.Second)
	f.reportBytes, f.syncResponseBytes, f.syncRequests = 0, 0, 0
	const ticks = int(time.Second / steerer.TickInterval)
	done := 0
	for tick := range ticks {
		for ; done < *releaseChanges*(tick+1)/ticks; done++ {
			f.drain(fmt.Sprintf("i-%08x", 0x30000000+done))
		}
		f.step(steerer.TickInterval)
	}
	ended := f.now
	for !f.allHostsAgree() {
		f.step(steerer.TickInterval)
		require.Less(t, f.now.Since(ended), 3*time.Second, "of 3 s within which a host may send new flows")
	}
	t.Logf("%d hosts, %d targets, %d changes: known to all %s after the last; %s", len(f.names), len(f.targets), done, f.now.Since(ended), f.trafficSummary(ended.Add(-time.Second)))
}

// allHostsAgree reports whether all hosts list the same targets as the platform.
func (f *fleet) allHostsAgree() bool {
	all := steerer.New(steerer.Config{Self: "all"})
	list := steerer.TargetList{}
	for _, one := range f.targets {
		list.Targets = append(list.Targets, one)
	}
	all.Reduce(&steerer.TargetsRead{At: 1, Started: 1, List: list})
	for _, name := range f.names {
		if f.hosts[name].steerer.Digest() != all.Digest() {
			return false
		}
	}
	return true
}

// trafficSummary describes the average traffic that a host has sent per second since a given
// time.
func (f *fleet) trafficSummary(since timekeeper.Instant) string {
	seconds := f.now.Since(since).Seconds() * float64(len(f.names))
	return fmt.Sprintf("%.0f B/s of reports, %.0f B/s of answers, %.2f questions a second and host",
		float64(f.reportBytes)/seconds, float64(f.syncResponseBytes)/seconds, float64(f.syncRequests)/seconds)
}

// compressedSize is the size of a list of targets in bytes as sent in a sync response.
func compressedSize(t tester, targets []messenger.TargetState) int {
	data, err := encoder.EncodeTargets(targets)
	require.NoError(t, err)
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	_, err = writer.Write(data)
	require.NoError(t, err)
	require.NoError(t, writer.Close())
	return buffer.Len()
}

// Guards against all hosts reading the platform during a release because none learns that it
// has all changes up to the latest read.
func TestReleaseDoesNotMakeAllHostsRead(t *testing.T) {
	f := newFleet(t, 8, 8, 8, 8, 8)
	for n := range 400 {
		f.addTarget(fmt.Sprintf("i-%08x", 0x30000000+n), "ledger", string(rune('a'+n%5)))
	}
	f.step(10 * time.Second)
	f.reads = 0
	const seconds = 10
	for n := range seconds * int(time.Second/steerer.TickInterval) {
		f.drain(fmt.Sprintf("i-%08x", 0x30000000+2*n))
		f.drain(fmt.Sprintf("i-%08x", 0x30000000+2*n+1))
		f.step(steerer.TickInterval)
	}
	t.Logf("%d reads in %d s", f.reads, seconds)
	require.LessOrEqual(t, f.reads, 6*seconds, "of 20 a second if all 40 read")
}
