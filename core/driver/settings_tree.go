package driver

import (
	"fmt"
	"net/netip"
	"slices"

	"cranberryspan.dev/core/resolver"
)

// SettingsTree describes a settings tree of one region, for tests and simulations.
type SettingsTree struct {
	// HostsPerZone is the number of hosts in each availability zone; hosts are named
	// "a1", "a2", "b1" and so on.
	HostsPerZone []int
	// CellsPerZone is the number of cells in each zone; zero means one.
	CellsPerZone int
	// Services are named "s1", "s2" and so on, with IDs from 1.
	Services []SettingsService
	// Defaults are additional "key: value" lines of the defaults section, such as
	// "exchangeLifetime: 2s".
	Defaults []string
}

// SettingsService is one service of a SettingsTree.
type SettingsService struct {
	// TargetNumbers are the numbers of the service's targets, as for TargetAddress. Each
	// target is in the zone with index number modulo the number of zones.
	TargetNumbers []int
	// DrainingTargetNumbers are those of TargetNumbers whose targets are in state "draining".
	DrainingTargetNumbers []int
	// AddressNumber is the number of the service's address, as for ServiceAddress.
	AddressNumber int
}

// ServiceAddress returns the address with the given number in the service range.
func ServiceAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 5683)
}

// TargetAddress returns the address of the target with the given number.
func TargetAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(n >> 8), byte(n)}), 5683)
}

// HostName returns the name of a host, by the indices of its zone and of the host in the zone.
func HostName(zone, n int) string { return fmt.Sprintf("%c%d", 'a'+zone, n+1) }

// HostNames returns the names of all hosts of the tree.
func (t SettingsTree) HostNames() []string {
	var names []string
	for zone, hosts := range t.HostsPerZone {
		for n := range hosts {
			names = append(names, HostName(zone, n))
		}
	}
	return names
}

// Document returns the tree as a YAML document.
func (t SettingsTree) Document() []byte {
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
	for zone, hosts := range t.HostsPerZone {
		line("      %c:\n        cells: %d\n        hosts:", 'a'+zone, max(t.CellsPerZone, 1))
		for n := range hosts {
			line("          %s: {address: 10.0.%d.%d:7000, fabricAddress: 10.0.%d.%d:7001, cell: %d}", HostName(zone, n), zone, n+1, zone, n+1, n%max(t.CellsPerZone, 1))
		}
	}
	line("    services:")
	for i, s := range t.Services {
		line("      s%d:\n        id: %d\n        tenant: t\n        address: %s\n        targets:", i+1, i+1, ServiceAddress(s.AddressNumber))
		for _, n := range s.TargetNumbers {
			state := "active"
			if slices.Contains(s.DrainingTargetNumbers, n) {
				state = "draining"
			}
			line("          t%d: {availabilityZone: %c, address: %s, state: %s}", n, 'a'+n%len(t.HostsPerZone), TargetAddress(n), state)
		}
	}
	return b
}

// MustResolve resolves a document that is known to be valid and panics if it is not.
func MustResolve(document []byte) *resolver.Settings {
	settings, err := resolver.Resolve("tree", document)
	if err != nil {
		panic(err)
	}
	return settings
}
