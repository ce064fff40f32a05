package steerer_test

import (
	"net/netip"
	"testing"
	"time"

	"cranberryspan.dev/core/steerer"
	"cranberryspan.dev/core/throttler"
	"github.com/stretchr/testify/require"
)

// callerAt is a caller behind an address that many may share.
func callerAt(f *fleet, address string, port int, route netip.AddrPort) *caller {
	c := f.caller(0, route)
	c.address = netip.AddrPortFrom(netip.MustParseAddr(address), uint16(port))
	return c
}

// refusalsByAddress counts the flows that a host refused for a reason, by the caller's address.
func refusalsByAddress(h *host, reason string) map[string]int {
	counts := map[string]int{}
	for _, line := range h.logs {
		if line.Event != "flowRefused" {
			continue
		}
		fields := map[string]string{}
		for _, field := range line.Fields {
			fields[field.Key] = field.Value
		}
		if fields["reason"] == reason {
			counts[netip.MustParseAddrPort(fields["flow"]).Addr().String()]++
		}
	}
	return counts
}

// Symptom: when a service is short of room all callers are refused for one. Sequence: the
// service is pressed; one address opens a flow each 10 ms, each from another port, while
// feeds of others are refused. Cause: a host that sees requests, and not callers.
func TestHeaviestCallerIsRefusedFirst(t *testing.T) {
	f, _, _ := hostWithQueuedRead(t)
	h := f.hosts["a1"]
	for n := range 100 {
		f.runUntil(f.now.Add(10 * time.Millisecond))
		f.now = f.now.Add(10 * time.Millisecond)
		callerAt(f, "203.0.113.9", 1000+n, checkRoute).open("a1", 0)
		if n%5 == 0 {
			callerAt(f, "198.51.100.7", 1000+n, readRoute).open("a1", 0)
			f.caller(20_000+n/5, checkRoute).open("a1", 0) // It came in calm times, too.
		}
	}
	shares := refusalsByAddress(h, "callerShare")
	require.Greater(t, shares["203.0.113.9"], 50)
	require.Len(t, shares, 1, "nobody else is refused for a share")
	require.Equal(t, uint64(shares["203.0.113.9"]), h.steerer.Snapshot().Counters[steerer.RefusedCallerShare])
}

// Symptom: a caller is refused for its share on an ordinary day. Sequence: one address
// opens nine flows of ten, and the service is calm. Cause: shares that count without need.
func TestSharesApplyOnlyDuringOverload(t *testing.T) {
	f := newFleet(t, 1)
	for n := range 200 {
		c := callerAt(f, "203.0.113.9", 1000+n, checkRoute)
		if n%10 == 0 {
			c = f.caller(n, checkRoute)
		}
		c.open("a1", 0)
		require.NotEmpty(t, c.target)
	}
}

// Symptom: callers are refused for their share though their service has room. Sequence: it
// is calm; a quota refuses the reads, and one address opens nine checks of ten. Cause:
// refusals taken for a shortage.
func TestQuotaRefusalsWithoutOverloadDoNotTriggerShares(t *testing.T) {
	f := newFleet(t, 1)
	f.quotas = []throttler.Quota{{Route: "read", PerSecond: 1}}
	f.start("a1")
	f.step(2 * time.Second)
	for n := range 200 {
		f.step(10 * time.Millisecond)
		f.caller(n, readRoute).open("a1", 0)
		callerAt(f, "203.0.113.9", 1000+n, checkRoute).open("a1", 0)
	}
	h := f.hosts["a1"]
	require.NotEmpty(t, refusalsByAddress(h, "callerQuota"))
	require.Empty(t, refusalsByAddress(h, "callerShare"))
}

// Symptom: callers get more than their quota, or others less. Sequence: a quota of 40 a
// second for a prefix; three hosts in the zone. Cause: hosts that each apply the whole, or
// apply it to all.
func TestQuotaIsDividedAmongTheHostsOfAZone(t *testing.T) {
	f := newFleet(t, 3)
	f.quotas = []throttler.Quota{{Prefix: netip.MustParsePrefix("203.0.113.0/24"), PerSecond: 40}}
	for _, name := range f.names {
		f.start(name)
	}
	f.step(2 * time.Second)
	opened := 0
	for n := range 400 {
		f.step(5 * time.Millisecond)
		name := f.names[n%3]
		c := callerAt(f, "203.0.113.9", 1000+n, checkRoute)
		if c.open(name, 0); c.target != "" {
			opened++
		}
		other := callerAt(f, "198.51.100.7", 1000+n, checkRoute)
		other.open(name, 0)
		require.NotEmpty(t, other.target)
	}
	t.Logf("%d of 400 in two seconds", opened)
	require.InDelta(t, 2*40+40, opened, 15, "and a second's at once")
	require.NotEmpty(t, refusalsByAddress(f.hosts["a1"], "callerQuota"))
}

// Symptom: a quota is no bound for callers with long flows. Sequence: one flow brings all
// requests. Cause: only new flows count. The open flow itself may not be touched.
func TestRequestsOfOpenFlowsCountTowardsQuota(t *testing.T) {
	f := newFleet(t, 1)
	f.quotas = []throttler.Quota{{Route: "read", PerSecond: 10}}
	f.start("a1")
	f.step(2 * time.Second)
	c := f.caller(1, readRoute)
	c.open("a1", 0)
	c.establish("a1")
	for range 30 {
		c.sendRequest("a1")
		c.ackResponse("a1")
	}
	require.Empty(t, f.hosts["a1"].resets)
	second := f.caller(2, readRoute)
	second.open("a1", 0)
	require.Empty(t, second.target)
	require.Len(t, f.hosts["a1"].resets, 1)
	check := f.caller(3, checkRoute)
	check.open("a1", 0)
	require.NotEmpty(t, check.target, "the quota is of another route")
}

// Symptom: a quota is no bound while a service is pressed. Sequence: the requests of an open
// flow wait at the host before they are passed on. Cause: only requests that are passed on
// at once are charged.
func TestQueuedRequestsCountTowardsQuota(t *testing.T) {
	f := newFleet(t, 1)
	f.settings = newSettings(2, objectiveRoutes())
	f.quotas = []throttler.Quota{{Route: "read", PerSecond: 10}}
	f.start("a1")
	f.step(2 * time.Second)
	for n := range 60 {
		requestWithLatency(f, "a1", 20_000+n, 100*time.Millisecond)
	}
	congest(f, 21_000)
	c := openReadFlow(f, 1)
	passed := 0
	for round := range 12 {
		checks := fillWindow(f, 100+10*round)
		c.sendRequest("a1")
		require.Equal(t, 1, queuedRequests(f))
		for _, one := range checks {
			one.ackResponse("a1")
			one.close("a1")
		}
		require.Zero(t, queuedRequests(f))
		c.ackResponse("a1")
		passed++
	}
	second := f.caller(2, readRoute)
	second.open("a1", 0)
	require.Empty(t, second.target, "%d requests passed on at once of 10 that may", passed)
}

// Symptom: a caller is refused for its share though room has been found for all. Sequence:
// a quota of a route refuses most of its flows while the service is short of room. Cause:
// what a quota refuses counts as demand that found no room.
func TestQuotaRefusalsAreNotUnmetDemand(t *testing.T) {
	f := newFleet(t, 1)
	f.settings = newSettings(2, objectiveRoutes())
	f.quotas = []throttler.Quota{{Prefix: netip.MustParsePrefix("203.0.113.0/24"), PerSecond: 1}}
	f.start("a1")
	f.step(2 * time.Second)
	for n := range 60 {
		requestWithLatency(f, "a1", 20_000+n, 100*time.Millisecond)
	}
	congest(f, 21_000)
	h := f.hosts["a1"]
	require.Equal(t, 1, h.steerer.Snapshot().Congested)
	for n := range 200 {
		f.runUntil(f.now.Add(10 * time.Millisecond))
		f.now = f.now.Add(10 * time.Millisecond)
		for port := range 3 {
			callerAt(f, "203.0.113.9", 1000+3*n+port, checkRoute).open("a1", 0)
		}
		if n%10 == 0 {
			c := callerAt(f, "198.51.100.7", 1000+n, checkRoute)
			c.open("a1", 0)
			c.close("a1")
		}
	}
	require.NotEmpty(t, refusalsByAddress(h, "callerQuota"))
	t.Log(refusalsByAddress(h, "callerQuota"), refusalsByAddress(h, "callerShare"))
	require.Empty(t, refusalsByAddress(h, "callerShare"))
}

// Symptom: a caller is refused for its share though its service has room again. Sequence:
// one address repeats itself through a shortage; then answers are as quick as usual. Cause:
// refusals of a moment ago taken for a shortage.
func TestSharesEndWithOverload(t *testing.T) {
	f, _, checks := hostWithQueuedRead(t)
	h := f.hosts["a1"]
	loop := func(from int) {
		for n := range 100 {
			f.runUntil(f.now.Add(10 * time.Millisecond))
			f.now = f.now.Add(10 * time.Millisecond)
			callerAt(f, "203.0.113.9", from+n, checkRoute).open("a1", 0)
			if n%5 == 0 {
				callerAt(f, "198.51.100.7", from+n, readRoute).open("a1", 0)
				f.caller(20_000+n/5, checkRoute).open("a1", 0)
			}
		}
	}
	loop(1000)
	require.NotEmpty(t, refusalsByAddress(h, "callerShare"))
	for _, c := range checks {
		c.ackResponse("a1")
		c.close("a1")
	}
	for n := range 200 {
		if h.steerer.Snapshot().Congested == 0 {
			break
		}
		requestWithLatency(f, "a1", 22_000+n, 100*time.Millisecond)
	}
	require.Zero(t, h.steerer.Snapshot().Congested)
	h.logs = nil
	loop(2000)
	require.Empty(t, refusalsByAddress(h, "callerShare"))
}
