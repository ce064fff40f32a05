package steerer_test

import (
	"testing"
	"time"

	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

// crashAndDelist makes a target unresponsive and removes it from the list while a flow of the
// read route is open to it, and returns the caller of that flow.
func crashAndDelist(f *fleet) *caller {
	read := openOn(f, "a1", unresponsiveTarget, 0, true)
	f.probeOutcomes[unresponsiveTarget] = steerer.ProbeConnectTimeout
	f.step(time.Second)
	f.remove(unresponsiveTarget)
	f.step(4 * time.Second)
	return read
}

// A target crashes and is no longer listed, a host starts after that, and the fabric sends it
// packets of a flow at that target. Guards against a host that does not know the target and
// so neither probes it nor resets the flow, so that the caller gets no response to any
// request until it gives up.
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
	require.NotEqual(t, unresponsiveTarget, fresh.target, "it gets no new flows")
}

// All hosts start at once, so none knows of missing targets. Guards against repeating the
// request forever because it counts as done only if a response names a target.
func TestMissingTargetsAreRequestedOnce(t *testing.T) {
	f := newFleet(t, 2)
	requestsBefore := f.syncRequests
	f.step(5 * time.Second)
	require.Equal(t, requestsBefore, f.syncRequests)
}
