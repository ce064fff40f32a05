package steerer_test

import (
	"testing"
	"time"

	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

const unresponsiveTarget = "i-10000001"

// stallRequest lets a caller retransmit a request once while the probe of its target times
// out.
func stallRequest(f *fleet, read *caller) {
	f.probeOutcomes[unresponsiveTarget] = steerer.ProbeConnectTimeout
	read.sendRequest("a1")
	f.step(200 * time.Millisecond)
	read.retransmit("a1")
	f.step(300 * time.Millisecond)
}

// Guards against hosts with small links resetting flows of working targets, hundreds a
// minute: when packets are queued in the host's link, a caller retransmits its request, and
// the probe of the target is queued in the same link and times out, the host's own delay
// must not make the target unreachable.
func TestSlowPathDoesNotMakeTargetsUnreachable(t *testing.T) {
	f := newFleet(t, 1)
	read := openOn(f, "a1", unresponsiveTarget, 0, true)
	f.step(3 * time.Second)
	late := f.caller(900, readRoute)
	late.open("a1", 0)
	f.step(100 * time.Millisecond)
	late.establish("a1")
	stallRequest(f, read)
	require.Empty(t, f.hosts["a1"].resets)

	f.step(4 * time.Second)
	stallRequest(f, read)
	require.NotEmpty(t, f.hosts["a1"].resets, "the path is good again")
}

// Guards against callers of unresponsive targets never being reset where callers are
// distant: when each flow takes 70 ms to open because its caller is 30 ms away, and a
// target becomes unresponsive, the ordinary handshake time must not make the path slow.
func TestDistantCallersDoNotMakeThePathSlow(t *testing.T) {
	f := newFleet(t, 1)
	read := openOn(f, "a1", unresponsiveTarget, 0, true)
	f.kill("a1")
	f.start("a1") // It has seen no handshake yet.
	f.step(time.Second)
	for n := range 30 {
		c := f.caller(900+n, readRoute)
		c.open("a1", 0)
		f.step(70 * time.Millisecond)
		c.establish("a1")
	}
	f.step(2 * time.Second) // The first handshakes counted as slow.
	c := f.caller(990, readRoute)
	c.open("a1", 0)
	f.step(70 * time.Millisecond)
	c.establish("a1")
	stallRequest(f, read)
	require.NotEmpty(t, f.hosts["a1"].resets)
}

// uploadDuringStalledRequest starts a host with the given link capacity, and sends the
// given number of upload packets while a read is stalled at a target whose probe times out.
func uploadDuringStalledRequest(t *testing.T, linkBytesPerSecond, packets int) (*fleet, *caller) {
	t.Helper()
	f := newFleet(t, 1)
	f.hosts["a1"].linkBytesPerSecond = linkBytesPerSecond
	f.kill("a1")
	f.start("a1")
	f.step(time.Second)
	read := openOn(f, "a1", unresponsiveTarget, 0, true)
	upload := f.caller(900, uploadRoute)
	upload.open("a1", 0)
	upload.establish("a1")
	f.step(3 * time.Second)
	f.probeOutcomes[unresponsiveTarget] = steerer.ProbeConnectTimeout
	read.sendRequest("a1")
	f.step(150 * time.Millisecond)
	for range packets {
		upload.sendPart("a1", 1200)
	}
	f.step(50 * time.Millisecond)
	read.retransmit("a1")
	f.step(300 * time.Millisecond)
	return f, read
}

// Guards against the same as TestSlowPathDoesNotMakeTargetsUnreachable, without handshakes
// that would show the delay: when an upload sends a window of packets into a link of 2
// Mbit/s.
func TestFullLinkDoesNotMakeTargetsUnreachable(t *testing.T) {
	f, read := uploadDuringStalledRequest(t, 250_000, 16)
	require.Empty(t, f.hosts["a1"].resets)

	f.step(2 * time.Second)
	stallRequest(f, read)
	require.NotEmpty(t, f.hosts["a1"].resets, "the link is free again")
}

// Guards against callers of an unresponsive target waiting until their deadline on hosts
// that carry an occasional upload: when one upload fills the host's link for a tenth of a
// second and a target becomes unresponsive, a busy link must not count as one with a long
// queue. One flow has at most a window of packets in flight, which a link of 10 Mbit/s
// carries in 15 ms.
func TestOneUploadDoesNotMakeAFastLinkSlow(t *testing.T) {
	f, _ := uploadDuringStalledRequest(t, 1_250_000, 100)
	require.NotEmpty(t, f.hosts["a1"].resets)
}

// Guards against callers of an unresponsive target waiting until their deadline because
// their own retransmissions make the path look slow: when the opening packet of a flow gets
// no response from the unresponsive target, and its retransmission, 200 ms later, opens the
// flow at another target, the time from the first opening packet is no handshake time.
func TestResentOpeningsDoNotMakeThePathSlow(t *testing.T) {
	f := newFleet(t, 1)
	read := openOn(f, "a1", unresponsiveTarget, 0, true)
	f.step(3 * time.Second)
	fresh := f.caller(900, readRoute)
	fresh.open("a1", 0)
	f.step(200 * time.Millisecond)
	fresh.open("a1", 1)
	fresh.establish("a1")
	stallRequest(f, read)
	require.NotEmpty(t, f.hosts["a1"].resets)
}
