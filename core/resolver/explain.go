package resolver

import (
	"fmt"
	"slices"
	"strings"
)

// Explain lists every value in force at a path, such as
// "regions.sicily.services.ledger", with the level and line it comes from. A
// bare name of a service or target is enough.
func (s *Settings) Explain(path string) ([]Value, error) {
	if values, ok := s.explained[path]; ok {
		return values, nil
	}
	var found []string
	for candidate := range s.explained {
		if strings.HasSuffix(candidate, "."+path) {
			found = append(found, candidate)
		}
	}
	if len(found) == 1 {
		return s.explained[found[0]], nil
	}
	return nil, &Error{Op: "explain settings", Kind: KindNotFound, Err: fmt.Errorf("no service or target at %q; known paths: %s", path, strings.Join(s.Paths(), ", "))}
}

// Paths lists, sorted, every path that Explain takes.
func (s *Settings) Paths() []string {
	paths := make([]string, 0, len(s.explained))
	for path := range s.explained {
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
	// Warning tells what the change does to flows; empty where it does nothing.
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

func diffValues(before, after *Settings) []Change {
	var changes []Change
	for _, path := range before.Paths() {
		now, ok := after.explained[path]
		if !ok {
			changes = append(changes, Change{Path: path, Key: "(whole entry)", Old: "present", New: absent, Warning: "its established flows are moved or end; set state: draining first"})
			continue
		}
		for i, old := range before.explained[path] {
			if old.Value != now[i].Value {
				changes = append(changes, Change{Path: path, Key: old.Key, Old: old.Value, New: now[i].Value, Warning: policyFields[i].effect})
			}
		}
	}
	for _, path := range after.Paths() {
		if _, ok := before.explained[path]; !ok {
			changes = append(changes, Change{Path: path, Key: "(whole entry)", Old: absent, New: "present"})
		}
	}
	return changes
}

func diffServices(before, after *Settings) []Change {
	var changes []Change
	for _, old := range before.Services {
		now, ok := after.ServiceByID(old.ID)
		if !ok {
			continue
		}
		path := "services." + now.Name
		if now.Address != old.Address {
			changes = append(changes, Change{Path: path, Key: "address", Old: old.Address.String(), New: now.Address.String(), Warning: "callers at the old address are no longer served"})
		}
		if now.ReturnPrefix != old.ReturnPrefix {
			changes = append(changes, Change{Path: path, Key: "returnPrefix", Old: old.ReturnPrefix.String(), New: now.ReturnPrefix.String(), Warning: "every stream and upload breaks: targets see another peer"})
		}
		changes = append(changes, diffTargets(path, old, *now)...)
	}
	return append(changes, movedTargets(before, after)...)
}

func diffTargets(path string, old, now Service) []Change {
	var changes []Change
	for _, t := range now.Targets {
		for _, was := range old.Targets {
			if was.Name == t.Name && was.Address != t.Address {
				changes = append(changes, Change{Path: path + ".targets." + t.Name, Key: "address", Old: was.Address.String(), New: t.Address.String(), Warning: "flows on the old address break; add a new target and drain this one"})
			}
		}
	}
	return changes
}

// movedTargets warns of addresses that change services: until every host has
// the revision, late packets of the old service may still be under way.
func movedTargets(before, after *Settings) []Change {
	was := map[string]string{}
	for _, service := range before.Services {
		for _, t := range service.Targets {
			was[t.Address.String()] = service.Name
		}
	}
	var changes []Change
	for _, service := range after.Services {
		for _, t := range service.Targets {
			old, ok := was[t.Address.String()]
			if ok && old != service.Name {
				changes = append(changes, Change{Path: "services." + service.Name + ".targets." + t.Name, Key: "service", Old: old, New: service.Name, Warning: "hosts leave the address idle for the quarantine time before they use it again"})
			}
		}
	}
	return changes
}

func diffHosts(before, after *Settings) []Change {
	var changes []Change
	lost := map[string]int{}
	size := map[string]int{}
	for _, host := range before.Hosts {
		size[host.Cell]++
		now, ok := after.HostNamed(host.Name)
		if !ok || now.Cell != host.Cell {
			lost[host.Cell]++
			changes = append(changes, Change{Path: "hosts." + host.Name, Key: "cell", Old: host.Cell, New: now.Cell})
		}
	}
	for _, host := range after.Hosts {
		if _, ok := before.HostNamed(host.Name); !ok {
			changes = append(changes, Change{Path: "hosts." + host.Name, Key: "cell", Old: absent, New: host.Cell})
		}
	}
	for cell, n := range lost {
		if n > 1 || n*2 >= size[cell] {
			changes = append(changes, Change{Path: "cells." + cell, Key: "hosts", Old: fmt.Sprint(size[cell]), New: fmt.Sprint(size[cell] - n), Warning: "more than one host, or half the cell, leaves at once: change one host at a time"})
		}
	}
	return changes
}
