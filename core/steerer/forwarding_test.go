package steerer_test

import (
	"net/netip"
	"testing"
	"time"

	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

// Symptom: an established flow breaks when hosts change.
// Sequence: a flow opens through one host; its later packets come through a host
// that has never seen it, while its target drains and vanishes from the list.
// Cause: only the first host knew where the flow is.
func TestFlowStaysOnItsTargetThroughAnyHost(t *testing.T) {
	f := newFleet(t, 2, 2)
	c := f.caller(1, readRoute)
	c.open("a1", 0)
	require.NotEmpty(t, c.target)
	for _, name := range []string{"a1", "a2", "b1", "b2"} {
		c.sendRequest(name)
		require.Equal(t, c.target, f.lastTarget(name))
	}
	f.drain(c.target)
	f.step(3 * time.Second)
	c.sendRequest("b1")
	require.Equal(t, c.target, f.lastTarget("b1"), "a draining target keeps its flows")
	f.remove(c.target)
	f.step(3 * time.Second)
	c.sendRequest("b2")
	require.Equal(t, c.target, f.lastTarget("b2"), "a target that is not listed may still serve its flows")
	require.Empty(t, f.hosts["b2"].resets)
}

// Symptom: a request reaches another service. Sequence: a target ends and its
// address goes to a target of another service; a late packet of an old flow
// arrives. Cause: packets that are sent to an address, not to a target.
func TestLatePacketsAreAddressedToTheMissingTarget(t *testing.T) {
	f := newFleet(t, 1)
	c := f.caller(1, readRoute)
	c.open("a1", 0)
	old := f.targets[c.target]
	f.remove(old.ID)
	reuser := f.addTarget("i-30000001", "intake", "a")
	reuser.Address = old.Address
	f.targets[reuser.ID] = reuser
	f.step(3 * time.Second)
	c.sendRequest("a1")
	require.Equal(t, old.ID, f.lastTarget("a1"))
}

// Symptom: a target that leaves gets new work. Sequence: it drains; callers open
// flows through every host. Cause: hosts that did not hear of it.
func TestDrainingTargetsGetNoNewFlows(t *testing.T) {
	f := newFleet(t, 3, 3, 2)
	f.drain("i-10000001")
	f.drain("i-10000004")
	f.step(2500 * time.Millisecond)
	for n := range 200 {
		c := f.caller(n, readRoute)
		c.open(f.names[n%len(f.names)], 0)
		require.NotContains(t, []string{"i-10000001", "i-10000004"}, c.target)
	}
}

// Symptom: an attempt ends after 1.4 s although most targets are well.
// Sequence: the chosen target is silent; the caller sends copies of its opening
// packet. Cause: copies that follow the first packet.
func TestResentOpeningAvoidsUnresponsiveTarget(t *testing.T) {
	f := newFleet(t, 1)
	c := f.caller(1, readRoute)
	c.open("a1", 0)
	first := c.target
	f.step(200 * time.Millisecond)
	c.open("a1", 1)
	require.NotEqual(t, first, c.target)
}

// Symptom: two targets believe in one flow. Sequence: the target's answer to the
// opening packet is lost; the caller sends a copy. Cause: copies that always go
// to another target.
func TestResentOpeningStaysWithRespondingTarget(t *testing.T) {
	f := newFleet(t, 1)
	c := f.caller(1, readRoute)
	c.open("a1", 0)
	first := c.target
	other := f.caller(2, readRoute)
	for n := 2; other.target != first; n++ {
		other = f.caller(n, readRoute)
		other.open("a1", 0)
	}
	f.step(100 * time.Millisecond)
	other.establish("a1")
	f.step(100 * time.Millisecond)
	c.open("a1", 1)
	require.Equal(t, first, c.target)
}

// Symptom: an open flow is reset by a host that lags behind.
// Sequence: a route is added; a flow of it opens through a host that knows it;
// the next packet comes through a host that does not know it yet.
// Cause: a host that takes its own ignorance for a removed route.
func TestEstablishedFlowOfUnknownRouteIsForwarded(t *testing.T) {
	f := newFleet(t, 2)
	f.deniedHosts["a2"] = true
	f.cutLinks[[2]string{"a1", "a2"}] = true
	added := routes()[0]
	added.Name, added.Address = "added", netip.MustParseAddrPort("198.18.0.9:443")
	f.settings = newSettings(2, append(routes(), added))
	f.step(3 * time.Second)
	c := f.caller(1, added.Address)
	c.open("a1", 0)
	require.NotEmpty(t, c.target)
	c.sendRequest("a2")
	require.Equal(t, c.target, f.lastTarget("a2"))
	require.Empty(t, f.hosts["a2"].resets)
}

// A caller whose route is gone is told at once: its new flow before anything
// ran, its open flow as soon as it sends.
func TestFlowsOfRemovedRouteAreReset(t *testing.T) {
	f := newFleet(t, 1)
	c := f.caller(1, uploadRoute)
	c.open("a1", 0)
	c.sendRequest("a1")
	f.settings = newSettings(2, routes()[:2])
	f.step(2 * time.Second)
	c.sendRequest("a1")
	require.Len(t, f.hosts["a1"].resets, 1)
	f.caller(2, uploadRoute).open("a1", 0)
	require.Len(t, f.hosts["a1"].resets, 2)
}

// Two targets whose numbers shorten to one tag can't be told apart in packets,
// so only the first gets flows.
func TestTargetWithTakenTagGetsNoFlows(t *testing.T) {
	f := newFleet(t, 1)
	holder := f.addTarget("i-1", "ledger", "a")
	twin := f.addTarget("i-0", "ledger", "a")
	require.NotEqual(t, holder.Number, twin.Number)
	f.step(2 * time.Second)
	used := map[string]bool{}
	for n := range 100 {
		c := f.caller(n, readRoute)
		c.open("a1", 0)
		used[c.target] = true
	}
	require.True(t, used["i-1"] != used["i-0"], "exactly one of the two is used")
}

// Symptom: callers see repeats and late answers while hosts are replaced.
// Sequence: a host is asked to end; the fabric hands it packets until it has
// missed two readiness checks. Cause: a process that ends at the signal.
func TestLeavingHostForwardsUntilFabricStopsSendingPackets(t *testing.T) {
	f := newFleet(t, 2)
	c := f.caller(1, readRoute)
	c.open("a1", 0)
	f.reduce("a1", &steerer.Shutdown{})
	require.False(t, f.hosts["a1"].steerer.Ready())
	for range 3 {
		f.step(400 * time.Millisecond)
		c.sendRequest("a1")
		require.Equal(t, c.target, f.lastTarget("a1"))
		c.ackResponse("a1")
	}
	late := f.caller(2, readRoute)
	late.open("a1", 0)
	require.NotEmpty(t, late.target, "new flows are taken as well")
	require.False(t, f.hosts["a1"].ended)
	f.step(700 * time.Millisecond)
	require.True(t, f.hosts["a1"].ended)
}
