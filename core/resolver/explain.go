package resolver

import (
	"fmt"
	"slices"
	"strings"
)

// Explain lists every value in force at a path, such as "regions.sicily.services.ledger",
// with the level and line that set it. The bare name of a service or target is enough if it
// is unique.
func (s *Settings) Explain(path string) ([]Value, error) {
	if values, ok := s.valuesByPath[path]; ok {
		return values, nil
	}
	var found []string
	for candidate := range s.valuesByPath {
		if strings.HasSuffix(candidate, "."+path) {
			found = append(found, candidate)
		}
	}
	if len(found) == 1 {
		return s.valuesByPath[found[0]], nil
	}
	return nil, &Error{Op: "explain settings", Kind: KindNotFound, Err: fmt.Errorf("no service or target at %q; known paths: %s", path, strings.Join(s.Paths(), ", "))}
}

// Paths lists every path that Explain accepts, sorted.
func (s *Settings) Paths() []string {
	paths := make([]string, 0, len(s.valuesByPath))
	for path := range s.valuesByPath {
		paths = append(paths, path)
	}
	slices.Sort(paths)
	return paths
}

// Change is one difference between two revisions.
type Change struct {
	Path string `json:"path"`
	Key  string `json:"key"`
	Old  string `json:"old"`
	New  string `json:"new"`
	// Warning describes how the change affects flows; empty if it does not.
	Warning string `json:"warning"`
}

func (c Change) String() string {
	text := fmt.Sprintf("%s: %s: %s -> %s", c.Path, c.Key, c.Old, c.New)
	if c.Warning != "" {
		text += " (warning: " + c.Warning + ")"
	}
	return text
}

const absent = "(absent)"

// Diff lists what changes from one revision to the next, sorted by path.
func Diff(before, after *Settings) []Change {
	var changes []Change
	changes = append(changes, diffValues(before, after)...)
	changes = append(changes, diffServices(before, after)...)
	changes = append(changes, diffHosts(before, after)...)
	slices.SortStableFunc(changes, func(x, y Change) int { return strings.Compare(x.Path, y.Path) })
	return changes
}

// diffValues lists the changes of policy values, and the services and targets that are added or
// removed. The values of every path are in the order of policyFields.
func diffValues(before, after *Settings) []Change {
	var changes []Change
	for _, path := range before.Paths() {
		newValues, ok := after.valuesByPath[path]
		if !ok {
			changes = append(changes, Change{Path: path, Key: "(whole entry)", Old: "present", New: absent, Warning: "established flows are moved to other targets or end; set state: draining first"})
			continue
		}
		for i, oldValue := range before.valuesByPath[path] {
			if oldValue.Value != newValues[i].Value {
				changes = append(changes, Change{Path: path, Key: oldValue.Key, Old: oldValue.Value, New: newValues[i].Value, Warning: policyFields[i].changeWarning})
			}
		}
	}
	for _, path := range after.Paths() {
		if _, ok := before.valuesByPath[path]; !ok {
			changes = append(changes, Change{Path: path, Key: "(whole entry)", Old: absent, New: "present"})
		}
	}
	return changes
}

func diffServices(before, after *Settings) []Change {
	var changes []Change
	for _, old := range before.Services {
		newService, ok := after.ServiceByID(old.ID)
		if !ok {
			continue
		}
		path := "services." + newService.Name
		if newService.Address != old.Address {
			changes = append(changes, Change{Path: path, Key: "address", Old: old.Address.String(), New: newService.Address.String(), Warning: "callers at the old address are no longer served"})
		}
		if newService.ReturnPrefix != old.ReturnPrefix {
			changes = append(changes, Change{Path: path, Key: "returnPrefix", Old: old.ReturnPrefix.String(), New: newService.ReturnPrefix.String(), Warning: "every stream and upload breaks: targets see a different peer address"})
		}
		changes = append(changes, diffTargets(path, old, *newService)...)
	}
	return append(changes, diffMovedTargets(before, after)...)
}

func diffTargets(path string, old, updated Service) []Change {
	var changes []Change
	for _, t := range updated.Targets {
		for _, oldTarget := range old.Targets {
			if oldTarget.Name == t.Name && oldTarget.Address != t.Address {
				changes = append(changes, Change{Path: path + ".targets." + t.Name, Key: "address", Old: oldTarget.Address.String(), New: t.Address.String(), Warning: "flows on the old address break; add a new target and drain this one"})
			}
		}
	}
	return changes
}

// diffMovedTargets warns of addresses that move to another service: until every host has
// the revision, late packets of the old service may still be in transit.
func diffMovedTargets(before, after *Settings) []Change {
	oldServices := map[string]string{}
	for _, service := range before.Services {
		for _, t := range service.Targets {
			oldServices[t.Address.String()] = service.Name
		}
	}
	var changes []Change
	for _, service := range after.Services {
		for _, t := range service.Targets {
			oldService, ok := oldServices[t.Address.String()]
			if ok && oldService != service.Name {
				changes = append(changes, Change{Path: "services." + service.Name + ".targets." + t.Name, Key: "service", Old: oldService, New: service.Name, Warning: "hosts do not use the address until its quarantine has ended"})
			}
		}
	}
	return changes
}

func diffHosts(before, after *Settings) []Change {
	var changes []Change
	removedHosts := map[string]int{}
	cellSizes := map[string]int{}
	for _, host := range before.Hosts {
		cellSizes[host.Cell]++
		newHost, ok := after.HostByName(host.Name)
		if !ok || newHost.Cell != host.Cell {
			removedHosts[host.Cell]++
			changes = append(changes, Change{Path: "hosts." + host.Name, Key: "cell", Old: host.Cell, New: newHost.Cell})
		}
	}
	for _, host := range after.Hosts {
		if _, ok := before.HostByName(host.Name); !ok {
			changes = append(changes, Change{Path: "hosts." + host.Name, Key: "cell", Old: absent, New: host.Cell})
		}
	}
	for cell, removed := range removedHosts {
		if removed > 1 || removed*2 >= cellSizes[cell] {
			changes = append(changes, Change{Path: "cells." + cell, Key: "hosts", Old: fmt.Sprint(cellSizes[cell]), New: fmt.Sprint(cellSizes[cell] - removed), Warning: "more than one host, or half of the cell, leaves at once: change one host at a time"})
		}
	}
	return changes
}
