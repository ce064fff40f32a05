package throttler_test

import (
	"net/netip"
	"testing"
	"time"

	"cranberryspan.dev/core/throttler"
	"cranberryspan.dev/core/timekeeper"
	"github.com/stretchr/testify/require"
)

// countAdmitted returns how many requests are admitted out of perSecond requests per second over
// some seconds.
func countAdmitted(th *throttler.Throttler, caller, route string, perSecond, seconds int) int {
	admitted := 0
	address := netip.MustParseAddr(caller)
	for n := range perSecond * seconds {
		now := timekeeper.Instant(time.Second).Add(time.Duration(n) * time.Second / time.Duration(perSecond))
		if _, exceeded := th.ExceededQuota(address, route, now); !exceeded {
			th.Charge(address, route, now)
			admitted++
		}
	}
	return admitted
}

func parseQuotas(t *testing.T, specs ...throttler.QuotaSpec) []throttler.Quota {
	quotas, err := throttler.ParseQuotas(specs)
	require.NoError(t, err)
	return quotas
}

// Guards against quotas that allow too much, or limit callers and routes that they don't apply to:
// when each caller sends a hundred requests per second, and a quota counts requests that don't
// match it.
func TestQuotasLimitOnlyMatchingRequests(t *testing.T) {
	quotas := parseQuotas(t, throttler.QuotaSpec{Prefix: "203.0.113.0/24", RequestsPerSecond: 10}, throttler.QuotaSpec{Route: "read", RequestsPerSecond: 30})
	for _, c := range []struct {
		caller, route string
		want          int
	}{
		{"203.0.113.9", "check", 110},
		{"203.0.113.9", "read", 110},
		{"198.51.100.7", "read", 330},
		{"198.51.100.7", "check", 1000},
	} {
		admitted := countAdmitted(throttler.New(quotas), c.caller, c.route, 100, 10)
		require.InDelta(t, c.want, admitted, 12, c.caller+" "+c.route)
	}
}

// Guards against ten times the quota in a zone of ten hosts: when the fabric spreads a caller's
// flows over all hosts, and each of them applies the full quota.
func TestQuotaIsDividedAmongZoneHosts(t *testing.T) {
	th := throttler.New(parseQuotas(t, throttler.QuotaSpec{Prefix: "203.0.113.0/24", RequestsPerSecond: 100}))
	th.DivideQuotas(10, timekeeper.Instant(time.Second))
	require.InDelta(t, 110, countAdmitted(th, "203.0.113.9", "read", 100, 10), 5)
}

// Guards against refusals long after a caller has stopped sending: when its open flows bring a
// thousand requests per second, which can't be refused, and the debt is not limited.
func TestQuotaDebtOfOpenFlowsIsBounded(t *testing.T) {
	th := throttler.New(parseQuotas(t, throttler.QuotaSpec{Prefix: "203.0.113.9", RequestsPerSecond: 10}))
	caller, now := netip.MustParseAddr("203.0.113.9"), timekeeper.Instant(time.Second)
	for range 1000 {
		th.Charge(caller, "read", now)
	}
	_, exceeded := th.ExceededQuota(caller, "read", now.Add(time.Second))
	require.True(t, exceeded, "new flows pay for requests of open ones")
	_, exceeded = th.ExceededQuota(caller, "read", now.Add(3*time.Second))
	require.False(t, exceeded)
}

func TestInvalidQuotas(t *testing.T) {
	for wantError, specs := range map[string][]throttler.QuotaSpec{
		"neither prefix nor route":       {{RequestsPerSecond: 1}},
		"0 is no rate":                   {{Route: "read"}},
		`"here" is no prefix`:            {{Prefix: "here", RequestsPerSecond: 1}},
		"write 203.0.113.0/24":           {{Prefix: "203.0.113.9/24", RequestsPerSecond: 1}},
		"write it as IPv4":               {{Prefix: "::ffff:10.0.0.0/104", RequestsPerSecond: 1}},
		"quotas[1]: all callers on rout": {{Route: "read", RequestsPerSecond: 1}, {Route: "read", RequestsPerSecond: 2}},
	} {
		_, err := throttler.ParseQuotas(specs)
		require.ErrorContains(t, err, wantError)
	}
}
