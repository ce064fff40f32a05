package steerer_test

import (
	"net/netip"
	"testing"
	"time"

	"cranberryspan.dev/core/steerer"
	"cranberryspan.dev/core/throttler"
	"github.com/stretchr/testify/require"
)

// callerAt is a caller with an address that several callers may share, and a port.
func callerAt(f *fleet, address string, port int, route netip.AddrPort) *caller {
	c := f.caller(0, route)
	c.address = netip.AddrPortFrom(netip.MustParseAddr(address), uint16(port))
	return c
}

// refusalsByAddress counts the flows that a host refused for a reason, by the caller's
// address.
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

// Guards against refusing all callers of an overloaded service because of one: when the
// service is congested and one address opens a flow every 10 ms, each from another port, while
// reads of others are refused, the host has to limit by caller and not only by request.
func TestHeaviestCallerIsRefusedFirst(t *testing.T) {
	f, _, _ := hostWithQueuedRead(t)
	h := f.hosts["a1"]
	for n := range 100 {
		f.runUntil(f.now.Add(10 * time.Millisecond))
		f.now = f.now.Add(10 * time.Millisecond)
		callerAt(f, "203.0.113.9", 1000+n, checkRoute).open("a1", 0)
		if n%5 == 0 {
			callerAt(f, "198.51.100.7", 1000+n, readRoute).open("a1", 0)
			f.caller(20_000+n/5, checkRoute).open("a1", 0) // This caller also opens flows under normal load.
		}
	}
	shares := refusalsByAddress(h, "callerShare")
	require.Greater(t, shares["203.0.113.9"], 50)
	require.Len(t, shares, 1, "nobody else is refused for a share")
	require.Equal(t, uint64(shares["203.0.113.9"]), h.steerer.Snapshot().Counters[steerer.RefusedCallerShare])
}

// Guards against refusing a caller for its fair share under normal load: when one address
// opens nine of ten flows and the service is not overloaded, fair shares must not apply.
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

// Guards against refusing callers for their fair share though the service has capacity: when a
// quota refuses the reads and one address opens nine of ten checks, refusals by the quota must
// not be taken for overload.
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

// Guards against callers that get more than their quota, or others that get less: when a
// prefix has a quota of 40 requests per second and its zone three hosts, each host applies a
// third of the quota, and to callers of the prefix only.
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

// Guards against a quota that does not limit callers with long flows: when one flow carries
// all requests, they must count, and not only new flows. The open flow itself must not be
// reset.
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

// Guards against a quota without effect while a service is congested: when requests of an open
// flow are queued at the host before they are forwarded, they must be charged like those
// forwarded at once.
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
	forwarded := 0
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
		forwarded++
	}
	second := f.caller(2, readRoute)
	second.open("a1", 0)
	require.Empty(t, second.target, "%d requests passed on at once of 10 that may", forwarded)
}

// Guards against refusing a caller for its fair share though all callers found capacity: when
// the quota of a prefix refuses most of its flows while the service is congested, these must
// not count as demand that found no capacity.
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

// Guards against refusing a caller for its fair share although the service has capacity again:
// when one address keeps opening flows through an overload and responses are then as fast as
// the baseline, earlier refusals must not be taken for overload.
func TestSharesEndWithOverload(t *testing.T) {
	f, _, checks := hostWithQueuedRead(t)
	h := f.hosts["a1"]
	openFlows := func(from int) {
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
	openFlows(1000)
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
	openFlows(2000)
	require.Empty(t, refusalsByAddress(h, "callerShare"))
}
