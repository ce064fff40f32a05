package steerer_test

import (
	"net/netip"
	"testing"
	"time"

	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

// Guards against established flows breaking when hosts change: when a flow is opened
// through one host and its later packets come through a host that has never seen it, while
// its target drains and is no longer listed.
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

// Guards against requests reaching another service: when a target exits, its address is
// reused by a target of another service, and a late packet of an old flow arrives, packets
// must identify the target, not only its address.
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

// Guards against a draining target getting new flows through hosts that have not learned
// that it is draining.
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

// Guards against an attempt failing after 1.4 s although most targets work: when the chosen
// target is unresponsive and the caller retransmits its opening packet, the retransmission
// must not go to the same target.
func TestRetransmittedOpeningAvoidsUnresponsiveTarget(t *testing.T) {
	f := newFleet(t, 1)
	c := f.caller(1, readRoute)
	c.open("a1", 0)
	first := c.target
	f.step(200 * time.Millisecond)
	c.open("a1", 1)
	require.NotEqual(t, first, c.target)
}

// Guards against a flow at two targets: when the target's response to the opening packet is
// lost and the caller retransmits, the retransmission must not always go to another target.
func TestRetransmittedOpeningStaysWithRespondingTarget(t *testing.T) {
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

// Guards against a host with old settings resetting an established flow: when a route is
// added, one of its flows is opened through a host that knows the route, and the next
// packet comes through one that does not yet, an unknown route must not be taken for a
// removed one.
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

// Flows of a removed route are reset at once: a new flow before any request runs, an
// established flow as soon as its caller sends.
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

// Two targets whose numbers are shortened to the same tag cannot be told apart in packets,
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

// Guards against retransmissions and late responses while hosts are replaced: when a host
// is asked to shut down, the fabric hands it packets until it has failed two readiness
// checks, so the process must not exit at the signal.
func TestShuttingDownHostForwardsUntilFabricStopsSendingPackets(t *testing.T) {
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
