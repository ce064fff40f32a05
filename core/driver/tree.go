package driver

import (
	"fmt"
	"net/netip"
	"slices"

	"cranberryspan.dev/core/resolver"
)

// Tree builds a settings tree of one region for experiments.
type Tree struct {
	// Zones lists how many hosts each availability zone has; hosts are named
	// "a1", "a2", "b1" and so on.
	Zones []int
	// Cells is how many cells each zone has.
	Cells int
	// Services are named s1, s2 and so on, with IDs from 1.
	Services []TreeService
	// ExchangeLifetime and the like go into the defaults, as "key: value" lines.
	Defaults []string
}

// TreeService is one service of a Tree.
type TreeService struct {
	// Targets are the numbers of the service's targets; see TargetAddress.
	Targets []int
	// Draining are the numbers of targets in the state draining.
	Draining []int
	// Address is the number of the service's address; see ServiceAddress.
	Address int
}

// ServiceAddress returns the address of the service with a number.
func ServiceAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 5683)
}

// TargetAddress returns the address of the target with a number.
func TargetAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(n >> 8), byte(n)}), 5683)
}

// HostName returns the name of a host of a Tree.
func HostName(zone, n int) string { return fmt.Sprintf("%c%d", 'a'+zone, n+1) }

// HostNames returns all names of hosts of the tree.
func (t Tree) HostNames() []string {
	var names []string
	for zone, hosts := range t.Zones {
		for n := range hosts {
			names = append(names, HostName(zone, n))
		}
	}
	return names
}

// Document writes the tree as YAML.
func (t Tree) Document() []byte {
	var b []byte
	line := func(format string, args ...any) { b = fmt.Appendf(b, format+"\n", args...) }
	line("version: 1")
	line("peerKeys: [a-key-for-experiments]")
	line("defaults:")
	line("  requestDeadline: 2s")
	for _, d := range t.Defaults {
		line("  %s", d)
	}
	line("regions:\n  r:\n    returnPrefix: fd00:1::/64\n    availabilityZones:")
	for zone, hosts := range t.Zones {
		line("      %c:\n        cells: %d\n        hosts:", 'a'+zone, max(t.Cells, 1))
		for n := range hosts {
			line("          %s: {address: 10.0.%d.%d:7000, fabricAddress: 10.0.%d.%d:7001, cell: %d}", HostName(zone, n), zone, n+1, zone, n+1, n%max(t.Cells, 1))
		}
	}
	line("    services:")
	for i, s := range t.Services {
		line("      s%d:\n        id: %d\n        tenant: t\n        address: %s\n        targets:", i+1, i+1, ServiceAddress(s.Address))
		for _, n := range s.Targets {
			state := "active"
			if slices.Contains(s.Draining, n) {
				state = "draining"
			}
			line("          t%d: {availabilityZone: %c, address: %s, state: %s}", n, 'a'+n%len(t.Zones), TargetAddress(n), state)
		}
	}
	return b
}

// MustResolve resolves a document that is known to be valid.
func MustResolve(document []byte) *resolver.Settings {
	settings, err := resolver.Resolve("tree", document)
	if err != nil {
		panic(err)
	}
	return settings
}
