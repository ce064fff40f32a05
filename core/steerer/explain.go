package steerer

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// Finding is a problem in published settings that an operator should look at.
type Finding struct {
	// Path names a route or a service.
	Path    string `json:"path"`
	Problem string `json:"problem"`
	// Effect describes how hosts handle the problem.
	Effect string `json:"effect"`
}

// Check lists the problems of a version, sorted by path.
func (s *Settings) Check() []Finding {
	var findings []Finding
	for _, problem := range s.Faults {
		effect := "the route stays as the version before had it, if it had one"
		if _, listed := s.routeByName(problem.Route); listed {
			effect = "the rest of the route is in force"
		} else if s.hasService(problem.Route) {
			effect = "the rest of the service is in force"
		}
		findings = append(findings, Finding{problem.Route, problem.Err.Error(), effect})
	}
	addresses := map[netip.AddrPort]string{}
	for _, route := range s.Routes {
		findings = append(findings, s.checkRoute(route)...)
		if other, taken := addresses[route.Address]; taken {
			findings = append(findings, Finding{route.Name, fmt.Sprintf("%v is the address of %s, too", route.Address, other), "one of the two gets all flows"})
		}
		addresses[route.Address] = route.Name
	}
	slices.SortStableFunc(findings, func(x, y Finding) int { return strings.Compare(x.Path, y.Path) })
	return findings
}

func (s *Settings) checkRoute(route Route) []Finding {
	var findings []Finding
	total := 0
	for _, share := range route.Shares {
		total += max(share.Weight, 0)
		if share.Weight < 0 {
			findings = append(findings, Finding{route.Name, fmt.Sprintf("weight %d of %s is below zero", share.Weight, share.Service), "flows are not split as written"})
		}
		if len(s.Services) > 0 && !s.hasService(share.Service) {
			findings = append(findings, Finding{route.Name, "service " + share.Service + " is not listed", "its targets are probed at " + defaultHealthPath})
		}
	}
	if total == 0 {
		findings = append(findings, Finding{route.Name, "all weights are zero", "all flows go to " + route.Shares[0].Service})
	}
	if route.Timeout <= 0 {
		findings = append(findings, Finding{route.Name, "no timeout", "an unanswered request counts as load until the flow's next packet, or for a second"})
	}
	return findings
}

// EffectiveValue is one value that is in force.
type EffectiveValue struct {
	Key   string `json:"key"`
	Value string `json:"value"`
	// From is where the value is set, or builtIn for a default.
	From string `json:"from"`
}

// builtIn is the origin of a value that the settings do not set.
const builtIn = "built in"

// Explain lists the values in force for a route, given by name or address, or for a service.
// It reports whether there is one.
func (s *Settings) Explain(path string) ([]EffectiveValue, bool) {
	for _, route := range s.Routes {
		if route.Name == path || route.Address.String() == path {
			return s.explainRoute(route), true
		}
	}
	var values []EffectiveValue
	for _, route := range s.Routes {
		for _, share := range route.Shares {
			if share.Service == path {
				values = append(values, EffectiveValue{"route", fmt.Sprintf("%s at %v, weight %d", route.Name, route.Address, share.Weight), "routes." + route.Name})
			}
		}
	}
	if len(values) == 0 && !s.hasService(path) {
		return nil, false
	}
	return append(values, s.explainService(path)...), true
}

// hasService reports whether the settings contain an entry for a service.
func (s *Settings) hasService(service string) bool {
	return slices.ContainsFunc(s.Services, func(listed Service) bool { return listed.Name == service })
}

func (s *Settings) explainService(name string) []EffectiveValue {
	from := builtIn
	if s.hasService(name) {
		from = "services." + name
	}
	service := s.service(name)
	warmUp := "any number of new flows a second"
	if service.WarmUpPerSecond > 0 {
		warmUp = fmt.Sprintf("%g new flows a second", service.WarmUpPerSecond)
	}
	connections := "any number of flows at a target"
	if service.MaxConnections > 0 {
		connections = fmt.Sprintf("%d flows at a target", service.MaxConnections)
	}
	return []EffectiveValue{
		{"liveness check of " + name, service.HealthPath, from},
		{"connections of " + name, connections, from},
		{"cold targets of " + name, fmt.Sprintf("for %v, %s", service.WarmUp, warmUp), from},
	}
}

func (s *Settings) explainRoute(route Route) []EffectiveValue {
	from := "routes." + route.Name
	values := []EffectiveValue{
		{"address", route.Address.String(), from},
		{"kind", route.Kind.String(), from},
		{"timeout", route.Timeout.String(), from},
		{"latency objective", route.LatencyObjective.String(), from},
		{"priority", fmt.Sprint(route.Priority), from},
	}
	for _, share := range route.Shares {
		values = append(values, EffectiveValue{"weight of " + share.Service, fmt.Sprint(share.Weight), from})
		values = append(values, s.explainService(share.Service)...)
	}
	regions := "any"
	if len(route.Regions) > 0 {
		regions = strings.Join(route.Regions, ", ")
	}
	values = append(values, EffectiveValue{"regions", regions, from})
	idle := EffectiveValue{"idle flows are forgotten after", cmp.Or(s.IdleTimeout, defaultIdleTimeout).String(), "limits"}
	if s.IdleTimeout == 0 {
		idle.From = builtIn
	}
	return append(values, idle)
}
