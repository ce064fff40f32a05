package throttler

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"cranberryspan.dev/core/timekeeper"
	"golang.org/x/time/rate"
)

// Quota limits the request rate of some callers. It is immutable.
type Quota struct {
	// Prefix is the addresses whose requests count; those of all callers if it is not valid.
	Prefix netip.Prefix
	// Route is the route on which requests count; all routes if it is empty.
	Route string
	// PerSecond is how many requests per second all hosts of an availability zone forward together.
	PerSecond float64
}

// Matches reports whether a caller's requests on a route count towards the quota.
func (q Quota) Matches(caller netip.Addr, route string) bool {
	if q.Route != "" && q.Route != route {
		return false
	}
	return !q.Prefix.IsValid() || q.Prefix.Contains(caller.Unmap())
}

func (q Quota) String() string {
	callers, route := "all callers", "all routes"
	if q.Prefix.IsValid() {
		callers = q.Prefix.String()
	}
	if q.Route != "" {
		route = "route " + q.Route
	}
	return fmt.Sprintf("%s on %s", callers, route)
}

// QuotaSpec is a quota as written in the settings.
type QuotaSpec struct {
	// Prefix is a prefix such as "203.0.113.0/24", or a single address. Prefix or Route may be
	// left out.
	Prefix            string  `yaml:"prefix"`
	Route             string  `yaml:"route"`
	RequestsPerSecond float64 `yaml:"requestsPerSecond"`
}

// ParseQuotas checks and converts quotas from the settings. Its errors are of type *Error and name
// the quota by its index.
func ParseQuotas(specs []QuotaSpec) ([]Quota, error) {
	quotas := make([]Quota, 0, len(specs))
	seen := map[Quota]int{}
	for i, spec := range specs {
		q, err := spec.parse()
		if err != nil {
			return nil, &Error{Op: "check quotas", Kind: KindInvalid, Err: fmt.Errorf("quotas[%d]: %w", i, err)}
		}
		scope := Quota{Prefix: q.Prefix, Route: q.Route}
		if first, exists := seen[scope]; exists {
			return nil, &Error{Op: "check quotas", Kind: KindInvalid, Err: fmt.Errorf("quotas[%d]: %s already has a quota in quotas[%d]; keep only one of them", i, q, first)}
		}
		seen[scope] = i
		quotas = append(quotas, q)
	}
	return quotas, nil
}

// parse checks and converts one quota.
func (s QuotaSpec) parse() (Quota, error) {
	q := Quota{Route: s.Route, PerSecond: s.RequestsPerSecond}
	if s.Prefix == "" && s.Route == "" {
		return q, fmt.Errorf("neither prefix nor route is set; set at least one of them")
	}
	if !(s.RequestsPerSecond > 0) || math.IsInf(s.RequestsPerSecond, 1) {
		return q, fmt.Errorf("requestsPerSecond: %g is no rate above 0", s.RequestsPerSecond)
	}
	if s.Prefix == "" {
		return q, nil
	}
	prefix, err := parsePrefix(s.Prefix)
	q.Prefix = prefix
	return q, err
}

// parsePrefix reads a prefix or a single address.
func parsePrefix(text string) (netip.Prefix, error) {
	if address, err := netip.ParseAddr(text); err == nil {
		address = address.Unmap()
		return netip.PrefixFrom(address, address.BitLen()), nil
	}
	prefix, err := netip.ParsePrefix(text)
	if err != nil {
		return netip.Prefix{}, fmt.Errorf("prefix: %q is no prefix such as 203.0.113.0/24 and no IP address", text)
	}
	if prefix.Addr().Is4In6() {
		return netip.Prefix{}, fmt.Errorf("prefix: %s is an IPv4-mapped IPv6 prefix; write it as IPv4", text)
	}
	if masked := prefix.Masked(); masked != prefix {
		return netip.Prefix{}, fmt.Errorf("prefix: %s has bits set beyond its length; write %s", text, masked)
	}
	return prefix, nil
}

// bucket is the token bucket of a host's share of a quota.
type bucket struct {
	quota   Quota
	limiter *rate.Limiter
	// hosts is the number of hosts among which the quota is divided.
	hosts int
}

func newBucket(q Quota) *bucket {
	b := &bucket{quota: q, hosts: 1}
	b.limiter = rate.NewLimiter(b.hostShare())
	return b
}

// hostShare returns the host's share of the quota, in requests per second, and the burst size.
func (b *bucket) hostShare() (perSecond rate.Limit, burst int) {
	share := b.quota.PerSecond / float64(b.hosts)
	return rate.Limit(share), max(int(math.Ceil(share)), 1)
}

// HasQuotas reports whether there is any quota.
func (t *Throttler) HasQuotas() bool { return len(t.quotas) > 0 }

// DivideQuotas divides the quotas among the live hosts of the zone, this one included.
func (t *Throttler) DivideQuotas(hosts int, now timekeeper.Instant) {
	for _, b := range t.quotas {
		if hosts = max(hosts, 1); hosts == b.hosts {
			continue
		}
		b.hosts = hosts
		limit, burst := b.hostShare()
		b.limiter.SetLimitAt(limiterTime(now), limit)
		b.limiter.SetBurstAt(limiterTime(now), burst)
	}
}

// ExceededQuota returns a quota that a caller's new flow on a route would exceed; false if there is
// none.
func (t *Throttler) ExceededQuota(caller netip.Addr, route string, now timekeeper.Instant) (Quota, bool) {
	for _, b := range t.quotas {
		if b.quota.Matches(caller, route) && b.limiter.TokensAt(limiterTime(now)) < 1 {
			return b.quota, true
		}
	}
	return Quota{}, false
}

// Charge counts a request towards its quotas. Requests in open flows can't be refused, so they are
// charged to new flows; the debt is limited to the requests of one second, so that it ends soon
// after its cause.
func (t *Throttler) Charge(caller netip.Addr, route string, now timekeeper.Instant) {
	for _, b := range t.quotas {
		_, burst := b.hostShare()
		if b.quota.Matches(caller, route) && b.limiter.TokensAt(limiterTime(now)) > -float64(burst) {
			b.limiter.ReserveN(limiterTime(now), 1)
		}
	}
}

// limiterTime converts an instant to the time type of the rate limiter, which only uses
// differences.
func limiterTime(now timekeeper.Instant) time.Time { return time.Unix(0, int64(now)) }
