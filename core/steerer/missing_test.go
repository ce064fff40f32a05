package steerer_test

import (
	"testing"
	"time"

	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

// crashAndDelist lets a target fall silent and vanish from the list while a read is open
// at it, and returns the read.
func crashAndDelist(f *fleet) *caller {
	read := openOn(f, "a1", silentTarget, 0, true)
	f.probeOutcomes[silentTarget] = steerer.ProbeConnectTimeout
	f.step(time.Second)
	f.remove(silentTarget)
	f.step(4 * time.Second)
	return read
}

// Symptom: a feed gets no answer any more, to no request, until its caller gives the
// flow up. Sequence: a target crashes and vanishes from the list; a host starts
// after that; the fabric hands it the packets of a flow at that target. Cause: the
// host has never heard of the target, so it neither checks it nor tells the caller.
func TestStartingHostLearnsMissingTargets(t *testing.T) {
	f := newFleet(t, 2)
	read := crashAndDelist(f)
	f.kill("a2")
	f.step(time.Second)
	f.start("a2")
	f.step(time.Second)
	read.sendRequest("a2")
	f.step(200 * time.Millisecond)
	read.retransmit("a2")
	f.step(300 * time.Millisecond)
	require.Len(t, f.hosts["a2"].resets, 1)

	fresh := f.caller(900, readRoute)
	fresh.open("a2", 0)
	require.NotEqual(t, silentTarget, fresh.target, "it gets no new flows")
}

// Symptom: hosts ask each other for ever. Sequence: all hosts start at once, so nobody
// knows of targets that are gone. Cause: a question that ends with an answer only if
// that names a target.
func TestMissingTargetsAreRequestedOnce(t *testing.T) {
	f := newFleet(t, 2)
	asks := f.syncRequests
	f.step(5 * time.Second)
	require.Equal(t, asks, f.syncRequests)
}
