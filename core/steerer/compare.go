package steerer

import (
	"fmt"
	"slices"
	"strings"
)

// Difference is the effect of a change to one route.
type Difference struct {
	Route  string `json:"route"`
	Change string `json:"change"`
	// Effect describes the consequences for flows.
	Effect string `json:"effect"`
}

// Compare lists the differences between two versions of the settings by route.
func Compare(before, after *Settings) []Difference {
	var differences []Difference
	for _, route := range before.Routes {
		if _, ok := after.routeByName(route.Name); !ok {
			differences = append(differences, Difference{route.Name, "removed", "new flows are refused, open flows reset when they next send"})
		}
	}
	for _, route := range after.Routes {
		old, ok := before.routeByName(route.Name)
		if !ok {
			differences = append(differences, Difference{route.Name, "added at " + route.Address.String(), "new flows are accepted"})
			continue
		}
		differences = append(differences, old.differences(route)...)
	}
	slices.SortStableFunc(differences, func(x, y Difference) int { return strings.Compare(x.Route, y.Route) })
	return differences
}

func (s *Settings) routeByName(name string) (Route, bool) {
	for _, route := range s.Routes {
		if route.Name == name {
			return route, true
		}
	}
	return Route{}, false
}

// differences lists what changes from this version of a route to the next.
func (r Route) differences(next Route) []Difference {
	var list []Difference
	add := func(what string, before, after any, effect string) {
		if fmt.Sprint(before) != fmt.Sprint(after) {
			list = append(list, Difference{r.Name, fmt.Sprintf("%s: %v -> %v", what, before, after), effect})
		}
	}
	add("address", r.Address, next.Address, "flows at the old address end as if the route were removed")
	add("services", r.Shares, next.Shares, "new flows move; open flows stay where they are")
	add("kind", r.Kind, next.Kind, "decides which open flows are reset when their target becomes unresponsive")
	add("timeout", r.Timeout, next.Timeout, "no effect on flows")
	add("latency objective", r.LatencyObjective, next.LatencyObjective, "decides how long requests may wait, and so how many are admitted, while a service is overloaded")
	add("regions", r.Regions, next.Regions, "new flows go to targets in these regions only; open flows stay where they are")
	add("priority", r.Priority, next.Priority, "decides which new flows are refused first while a service is overloaded; open flows stay")
	return list
}
