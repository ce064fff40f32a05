package steerer

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Kind says how often the requests of a route may run, and how much data they carry.
type Kind uint8

// The kinds of requests.
const (
	// KindIdempotent requests may run more than once; callers retry them after any failure.
	KindIdempotent Kind = iota + 1
	// KindNonIdempotent requests run at most once; callers retry them only if they certainly
	// did not run.
	KindNonIdempotent
	// KindUpload requests carry much data and run at most once.
	KindUpload
	// KindDownload requests have large responses. They may run more than once, and callers
	// retry them after any failure.
	KindDownload
)

// retryable reports whether requests of the kind may run more than once.
func (k Kind) retryable() bool { return k == KindIdempotent || k == KindDownload }

func (k Kind) String() string {
	switch k {
	case KindIdempotent:
		return "idempotent"
	case KindNonIdempotent:
		return "nonIdempotent"
	case KindUpload:
		return "upload"
	case KindDownload:
		return "download"
	}
	return "unknown"
}

// WeightedService is a service with its weight in the traffic split of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Route maps the flows that callers open to Address to services.
type Route struct {
	Name    string
	Address netip.AddrPort
	// Shares has at least one entry, sorted by service.
	Shares []WeightedService
	Kind   Kind
	// Timeout limits a request, LatencyObjective is the response time that callers expect.
	Timeout          time.Duration
	LatencyObjective time.Duration
	// Priority orders routes when requests have to be refused; 0 is the highest.
	Priority int
	// Regions are the regions in which the route's requests may run, sorted; any if empty.
	Regions []string
}

// pickService picks a service by a flow's hash, in proportion to the weights.
func (r Route) pickService(hash uint64) string {
	total := 0
	for _, entry := range r.Shares {
		total += entry.Weight
	}
	if total <= 0 {
		return r.Shares[0].Service
	}
	at := int(hash % uint64(total))
	for _, entry := range r.Shares {
		if at < entry.Weight {
			return entry.Service
		}
		at -= entry.Weight
	}
	return r.Shares[0].Service
}

// Service is a group of targets that run the same requests.
type Service struct {
	Name string
	// HealthPath is the path of the targets' health check.
	HealthPath string
	// WarmUp is how long a target is cold after a start, and WarmUpPerSecond the limit of
	// new flows to it meanwhile; 0 is no limit.
	WarmUp          time.Duration
	WarmUpPerSecond float64
	// MaxConnections is the number of flows that each target accepts at once; 0 is no limit.
	MaxConnections int
}

// Settings is one version of the published settings. It is immutable.
type Settings struct {
	Version  uint64
	Routes   []Route
	Services []Service
	// IdleTimeout is the time after which an idle flow may be dropped from the flow table.
	IdleTimeout time.Duration
	// Faults lists the published routes that could not be parsed.
	Faults    []RouteProblem
	byAddress map[netip.AddrPort]int
}

// RouteProblem is a published route that could not be parsed, with the reason.
type RouteProblem struct {
	Route string
	Err   error
}

// MarshalText formats the problem for operators.
func (p RouteProblem) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

func (p RouteProblem) String() string { return fmt.Sprintf("route %q: %v", p.Route, p.Err) }

// WithRouteProblems returns a copy of the settings with a list of routes that could not be
// parsed.
func (s *Settings) WithRouteProblems(problems []RouteProblem) *Settings {
	next := *s
	next.Faults = problems
	return &next
}

// withMalformedRoutesFrom returns the settings with the earlier version of the routes that could
// not be parsed.
//
// Without this, if operators publish a route in a form that this host does not support yet,
// the host would treat the route as removed, refuse its new flows and reset its open ones,
// though the operators only changed a detail.
func (s *Settings) withMalformedRoutesFrom(earlier *Settings) *Settings {
	if earlier == nil || len(s.Faults) == 0 {
		return s
	}
	routes := slices.Clone(s.Routes)
	for _, problem := range s.Faults {
		route, known := earlier.routeByName(problem.Route)
		if _, taken := s.RouteAt(route.Address); known && !taken {
			routes = append(routes, route)
		}
	}
	return NewSettings(s.Version, routes, s.Services, s.IdleTimeout).WithRouteProblems(s.Faults)
}

// NewSettings builds a version of the settings and indexes its routes by address.
func NewSettings(version uint64, routes []Route, services []Service, idleTimeout time.Duration) *Settings {
	s := &Settings{Version: version, Routes: routes, Services: services, IdleTimeout: idleTimeout}
	slices.SortFunc(s.Routes, func(x, y Route) int { return strings.Compare(x.Name, y.Name) })
	s.byAddress = make(map[netip.AddrPort]int, len(routes))
	for i, route := range s.Routes {
		s.byAddress[route.Address] = i
	}
	return s
}

// RouteAt returns the route of an address to which callers open flows.
func (s *Settings) RouteAt(address netip.AddrPort) (Route, bool) {
	if s == nil {
		return Route{}, false
	}
	i, ok := s.byAddress[address]
	if !ok {
		return Route{}, false
	}
	return s.Routes[i], true
}

// service returns the published settings of a service, or defaults if there are none.
func (s *Settings) service(name string) Service {
	if s != nil {
		for _, service := range s.Services {
			if service.Name == name {
				return service
			}
		}
	}
	return Service{Name: name, HealthPath: defaultHealthPath}
}

// healthPath returns the path of a service's health check.
func (s *Settings) healthPath(service string) string { return s.service(service).HealthPath }

// defaultHealthPath is used if the settings don't name a path.
const defaultHealthPath = "/healthz"
