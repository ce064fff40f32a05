package steerer_test

import (
	"testing"
	"time"

	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

const silentTarget = "i-10000001"

// stallRequest lets a flow's request be repeated once while its target's check gets no
// answer.
func stallRequest(f *fleet, read *caller) {
	f.probeOutcomes[silentTarget] = steerer.ProbeConnectTimeout
	read.sendRequest("a1")
	f.step(200 * time.Millisecond)
	read.retransmit("a1")
	f.step(300 * time.Millisecond)
}

// Symptom: on hosts with small links flows are reset whose targets work, hundreds in
// a minute. Sequence: packets wait in the host's link; a caller repeats its request;
// the check of the target waits in the same link and is given up.
// Cause: the host's own delay taken for the target's silence.
func TestSlowPathDoesNotMakeTargetsUnreachable(t *testing.T) {
	f := newFleet(t, 1)
	read := openOn(f, "a1", silentTarget, 0, true)
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

// Symptom: where callers are far away, callers of silent targets are never told.
// Sequence: each flow takes 70 ms to open, since its caller is 30 ms away; a target
// falls silent. Cause: a path that is called slow for what is usual on it.
func TestDistantCallersDoNotMakeThePathSlow(t *testing.T) {
	f := newFleet(t, 1)
	read := openOn(f, "a1", silentTarget, 0, true)
	f.kill("a1")
	f.start("a1") // It has seen no flow open yet.
	f.step(time.Second)
	for n := range 30 {
		c := f.caller(900+n, readRoute)
		c.open("a1", 0)
		f.step(70 * time.Millisecond)
		c.establish("a1")
	}
	f.step(2 * time.Second) // The first ones looked slow.
	c := f.caller(990, readRoute)
	c.open("a1", 0)
	f.step(70 * time.Millisecond)
	c.establish("a1")
	stallRequest(f, read)
	require.NotEmpty(t, f.hosts["a1"].resets)
}

// uploadDuringStalledRequest starts a host with a link of some bytes a second, and lets an upload
// send some packets while a read stalls at a target that does not answer its check.
func uploadDuringStalledRequest(t *testing.T, linkBytesPerSecond, packets int) (*fleet, *caller) {
	t.Helper()
	f := newFleet(t, 1)
	f.hosts["a1"].linkBytesPerSecond = linkBytesPerSecond
	f.kill("a1")
	f.start("a1")
	f.step(time.Second)
	read := openOn(f, "a1", silentTarget, 0, true)
	upload := f.caller(900, uploadRoute)
	upload.open("a1", 0)
	upload.establish("a1")
	f.step(3 * time.Second)
	f.probeOutcomes[silentTarget] = steerer.ProbeConnectTimeout
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

// Symptom: as above, but no flow has opened meanwhile that could tell. Sequence: an
// upload sends a window of packets into a link of 2 Mbit/s. Cause: as above.
func TestFullLinkDoesNotMakeTargetsUnreachable(t *testing.T) {
	f, read := uploadDuringStalledRequest(t, 250_000, 16)
	require.Empty(t, f.hosts["a1"].resets)

	f.step(2 * time.Second)
	stallRequest(f, read)
	require.NotEmpty(t, f.hosts["a1"].resets, "the link is free again")
}

// Symptom: callers of a silent target wait until their deadline on hosts that carry an
// upload now and then. Sequence: one upload fills the host's link for a tenth of a
// second; a target falls silent meanwhile. Cause: a busy link taken for one in which
// packets wait: one flow has at most a window of packets under way, which a link of
// 10 Mbit/s carries in 15 ms.
func TestOneUploadDoesNotMakeAFastLinkSlow(t *testing.T) {
	f, _ := uploadDuringStalledRequest(t, 1_250_000, 100)
	require.NotEmpty(t, f.hosts["a1"].resets)
}

// Symptom: callers of a silent target wait until their deadline, since their own
// trouble is taken for a slow path. Sequence: the opening packet of one flow gets no
// answer from the silent target; its copy, 200 ms later, opens the flow elsewhere.
// Cause: the time from the first opening packet counted for the path.
func TestResentOpeningsDoNotMakeThePathSlow(t *testing.T) {
	f := newFleet(t, 1)
	read := openOn(f, "a1", silentTarget, 0, true)
	f.step(3 * time.Second)
	fresh := f.caller(900, readRoute)
	fresh.open("a1", 0)
	f.step(200 * time.Millisecond)
	fresh.open("a1", 1)
	fresh.establish("a1")
	stallRequest(f, read)
	require.NotEmpty(t, f.hosts["a1"].resets)
}
