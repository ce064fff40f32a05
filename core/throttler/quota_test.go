package throttler_test

import (
	"net/netip"
	"testing"
	"time"

	"cranberryspan.dev/core/throttler"
	"cranberryspan.dev/core/timekeeper"
	"github.com/stretchr/testify/require"
)

// countAdmitted counts what passes of so many requests a second in some seconds.
func countAdmitted(th *throttler.Throttler, caller, route string, perSecond, seconds int) int {
	passed := 0
	address := netip.MustParseAddr(caller)
	for n := range perSecond * seconds {
		now := timekeeper.Instant(time.Second).Add(time.Duration(n) * time.Second / time.Duration(perSecond))
		if _, exceeded := th.ExceededQuota(address, route, now); !exceeded {
			th.Charge(address, route, now)
			passed++
		}
	}
	return passed
}

func parse(t *testing.T, texts ...throttler.QuotaSpec) []throttler.Quota {
	quotas, err := throttler.ParseQuotas(texts)
	require.NoError(t, err)
	return quotas
}

// Symptom: callers of a prefix, or of a route, get more than operators allow, or others
// get less. Sequence: all ask a hundred times a second. Cause: quotas that count what they
// don't touch.
func TestQuotasLimitOnlyMatchingRequests(t *testing.T) {
	quotas := parse(t, throttler.QuotaSpec{Prefix: "203.0.113.0/24", RequestsPerSecond: 10}, throttler.QuotaSpec{Route: "read", RequestsPerSecond: 30})
	for _, c := range []struct {
		caller, route string
		most          int
	}{
		{"203.0.113.9", "check", 110},
		{"203.0.113.9", "read", 110},
		{"198.51.100.7", "read", 330},
		{"198.51.100.7", "check", 1000},
	} {
		passed := countAdmitted(throttler.New(quotas), c.caller, c.route, 100, 10)
		require.InDelta(t, c.most, passed, 12, c.caller+" "+c.route)
	}
}

// Symptom: a zone of ten hosts grants ten times the quota. Sequence: the fabric spreads a
// caller's flows over all of them. Cause: hosts that each apply the whole.
func TestQuotaIsDividedAmongZoneHosts(t *testing.T) {
	th := throttler.New(parse(t, throttler.QuotaSpec{Prefix: "203.0.113.0/24", RequestsPerSecond: 100}))
	th.DivideQuotas(10, timekeeper.Instant(time.Second))
	require.InDelta(t, 110, countAdmitted(th, "203.0.113.9", "read", 100, 10), 5)
}

// Symptom: a caller with long flows is shut out long after it has become quiet. Sequence:
// its open flows bring a thousand requests a second, which can't be refused. Cause: a debt
// without a bound.
func TestQuotaDebtOfOpenFlowsIsBounded(t *testing.T) {
	th := throttler.New(parse(t, throttler.QuotaSpec{Prefix: "203.0.113.9", RequestsPerSecond: 10}))
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
