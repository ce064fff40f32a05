package throttler

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"cranberryspan.dev/core/timekeeper"
	"golang.org/x/time/rate"
)

// Quota bounds the requests of some callers. It is immutable.
type Quota struct {
	// Prefix is whose requests count; all callers' if it is not valid.
	Prefix netip.Prefix
	// Route is where they count; on all routes if it is empty.
	Route string
	// PerSecond is how many requests all hosts of an availability zone pass on together.
	PerSecond float64
}

// Matches reports whether a caller's requests to a route count.
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

// QuotaSpec is a quota as operators write it.
type QuotaSpec struct {
	// Prefix is such as "203.0.113.0/24", or a single address. Prefix or Route may be
	// left out.
	Prefix            string  `yaml:"prefix"`
	Route             string  `yaml:"route"`
	RequestsPerSecond float64 `yaml:"requestsPerSecond"`
}

// ParseQuotas checks quotas as operators write them. Its errors are of type Error; they name
// the quota by its index.
func ParseQuotas(specs []QuotaSpec) ([]Quota, error) {
	quotas := make([]Quota, 0, len(specs))
	seen := map[Quota]int{}
	for i, text := range specs {
		q, err := text.parse()
		if err != nil {
			return nil, &Error{Op: "check quotas", Kind: KindInvalid, Err: fmt.Errorf("quotas[%d]: %w", i, err)}
		}
		scope := Quota{Prefix: q.Prefix, Route: q.Route}
		if first, taken := seen[scope]; taken {
			return nil, &Error{Op: "check quotas", Kind: KindInvalid, Err: fmt.Errorf("quotas[%d]: %s has a quota in quotas[%d]; write one", i, q, first)}
		}
		seen[scope] = i
		quotas = append(quotas, q)
	}
	return quotas, nil
}

// parse checks one quota.
func (t QuotaSpec) parse() (Quota, error) {
	q := Quota{Route: t.Route, PerSecond: t.RequestsPerSecond}
	if t.Prefix == "" && t.Route == "" {
		return q, fmt.Errorf("it names neither prefix nor route; write one of them, or both")
	}
	if !(t.RequestsPerSecond > 0) || math.IsInf(t.RequestsPerSecond, 1) {
		return q, fmt.Errorf("requestsPerSecond: %g is no rate above 0", t.RequestsPerSecond)
	}
	if t.Prefix == "" {
		return q, nil
	}
	prefix, err := parsePrefix(t.Prefix)
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
		return netip.Prefix{}, fmt.Errorf("prefix: %q is no prefix such as 203.0.113.0/24 and no address", text)
	}
	if prefix.Addr().Is4In6() {
		return netip.Prefix{}, fmt.Errorf("prefix: %s is an IPv4 prefix in the form of IPv6; write it as IPv4", text)
	}
	if masked := prefix.Masked(); masked != prefix {
		return netip.Prefix{}, fmt.Errorf("prefix: %s has bits beyond its length; write %s", text, masked)
	}
	return prefix, nil
}

// bucket is a host's part of a quota.
type bucket struct {
	quota   Quota
	limiter *rate.Limiter
	// hosts is how many hosts the quota is divided by.
	hosts int
}

func newBucket(q Quota) *bucket {
	b := &bucket{quota: q, hosts: 1}
	b.limiter = rate.NewLimiter(b.hostShare())
	return b
}

// hostShare is the host's part of the quota, in requests a second, and how many requests may come
// at once.
func (b *bucket) hostShare() (perSecond rate.Limit, burst int) {
	part := b.quota.PerSecond / float64(b.hosts)
	return rate.Limit(part), max(int(math.Ceil(part)), 1)
}

// HasQuotas reports whether there is any quota.
func (t *Throttler) HasQuotas() bool { return len(t.quotas) > 0 }

// DivideQuotas divides the quotas by the live hosts of the zone, this one among them.
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

// ExceededQuota returns a quota that a caller's new flow on a route would exceed.
func (t *Throttler) ExceededQuota(caller netip.Addr, route string, now timekeeper.Instant) (Quota, bool) {
	for _, b := range t.quotas {
		if b.quota.Matches(caller, route) && b.limiter.TokensAt(limiterTime(now)) < 1 {
			return b.quota, true
		}
	}
	return Quota{}, false
}

// Charge counts a request. Those in open flows can't be refused: new flows pay for them,
// up to what a second's requests are, so that the debt ends with its cause.
func (t *Throttler) Charge(caller netip.Addr, route string, now timekeeper.Instant) {
	for _, b := range t.quotas {
		_, burst := b.hostShare()
		if b.quota.Matches(caller, route) && b.limiter.TokensAt(limiterTime(now)) > -float64(burst) {
			b.limiter.ReserveN(limiterTime(now), 1)
		}
	}
}

// limiterTime turns an instant into the limiter's time, of which only differences matter.
func limiterTime(now timekeeper.Instant) time.Time { return time.Unix(0, int64(now)) }
