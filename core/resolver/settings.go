// Package resolver turns the settings tree, a YAML document that operators write, into
// immutable values with all inheritance resolved.
//
// Resolve parses the YAML to nodes with lines, then builds Settings from them. While it
// builds, it checks each value and the rules across the tree, and collects the findings, so
// that all of a document are reported in one run.
package resolver

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"strings"
)

// MaxDocumentBytes is the largest value that the platform's store can hold.
const MaxDocumentBytes = 1 << 20

// ServiceID identifies a service across revisions. It is part of every return address, so
// an ID is never reused for another service.
type ServiceID uint16

// Secret is a key that authenticates peers. Its value is never printed.
type Secret string

// String hides the value from logs, metrics and explain.
func (Secret) String() string { return "(secret)" }

// MarshalText hides the value from encoders.
func (Secret) MarshalText() ([]byte, error) { return []byte("(secret)"), nil }

// Host is one host of the load balancer.
type Host struct {
	Name             string
	Region           string
	AvailabilityZone string
	// Cell is the group of hosts, at most MaxCellHosts of one availability zone, that can
	// own the same flows. "pa-hall/0" is the first cell of pa-hall.
	Cell string
	// Address receives datagrams (UDP) and control links (TCP) from peers.
	Address netip.AddrPort
	// FabricAddress receives packets from the fabric (UDP).
	FabricAddress netip.AddrPort
}

// MaxCellHosts bounds the heartbeats that a host sends, whatever the size of its zone.
const MaxCellHosts = 8

// Target is one back end of a service.
type Target struct {
	Name             string
	AvailabilityZone string
	Address          netip.AddrPort
	Policy           Policy
}

// Service is one address that callers use, and the targets behind it.
type Service struct {
	Name    string
	ID      ServiceID
	Region  string
	Tenant  string
	Address netip.AddrPort
	// ReturnPrefix is the /64 that all hosts share towards targets. The lower 64 bits of an
	// address carry the flow key; see ReturnAddress.
	ReturnPrefix netip.Prefix
	Policy       Policy
	// Targets is sorted by name.
	Targets []Target
}

// Settings is one resolved revision of the tree. It is immutable: nothing in it may be
// changed after Resolve has returned it.
type Settings struct {
	Revision uint64
	PeerKeys []Secret
	// Hosts is sorted by name, Services by ID.
	Hosts        []Host
	Services     []Service
	valuesByPath map[string][]Value
	byAddress    map[netip.AddrPort]int
	byID         map[ServiceID]int
}

// WithRevision returns a copy with another revision number.
func (s Settings) WithRevision(revision uint64) Settings {
	s.Revision = revision
	return s
}

// ServiceByAddress returns the service that callers reach at an address.
func (s *Settings) ServiceByAddress(address netip.AddrPort) (*Service, bool) {
	i, ok := s.byAddress[address]
	if !ok {
		return nil, false
	}
	return &s.Services[i], true
}

// ServiceByID returns the service with an ID.
func (s *Settings) ServiceByID(id ServiceID) (*Service, bool) {
	i, ok := s.byID[id]
	if !ok {
		return nil, false
	}
	return &s.Services[i], true
}

// HostByName returns the host with a name.
func (s *Settings) HostByName(name string) (Host, bool) {
	i, ok := slices.BinarySearchFunc(s.Hosts, name, func(h Host, name string) int {
		return strings.Compare(h.Name, name)
	})
	if !ok {
		return Host{}, false
	}
	return s.Hosts[i], true
}

func (s *Settings) buildIndex() {
	s.byAddress = make(map[netip.AddrPort]int, len(s.Services))
	s.byID = make(map[ServiceID]int, len(s.Services))
	for i, service := range s.Services {
		s.byAddress[service.Address] = i
		s.byID[service.ID] = i
	}
}

// FlowKey identifies a flow: the caller's IPv4 address (32 bits), the caller's port (16
// bits) and the service ID (16 bits), from most to least significant.
type FlowKey uint64

// NewFlowKey packs a caller's address and a service into a key. It returns false for a
// caller that is not IPv4.
func NewFlowKey(caller netip.AddrPort, service ServiceID) (FlowKey, bool) {
	address := caller.Addr().Unmap()
	if !address.Is4() {
		return 0, false
	}
	ip := address.As4()
	key := uint64(binary.BigEndian.Uint32(ip[:]))<<32 | uint64(caller.Port())<<16 | uint64(service)
	return FlowKey(key), true
}

// Caller returns the caller's address.
func (k FlowKey) Caller() netip.AddrPort {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], uint32(k>>32))
	return netip.AddrPortFrom(netip.AddrFrom4(ip), uint16(k>>16))
}

// Service returns the service's ID.
func (k FlowKey) Service() ServiceID { return ServiceID(k) }

// ReturnAddress returns the source address of a flow's packets to its target, whichever
// host sends them.
//
// Without it, a stream that host A set up from an address of its own breaks when A is
// replaced, since the peer's address is part of the stream's identity at the target. All
// hosts share the prefix, and the fabric delivers any packet to any of them. The lower 64
// bits are the flow key, so the host that receives a response reads the caller from the
// address alone, as a stateless NAT64 gateway does (RFC 6052).
//
//	prefix fd00:51::/64, caller 10.1.2.3:40000, service 1
//	-> fd00:51::a01:203:9c40:1
func ReturnAddress(prefix netip.Prefix, key FlowKey) netip.Addr {
	ip := prefix.Addr().As16()
	binary.BigEndian.PutUint64(ip[8:], uint64(key))
	return netip.AddrFrom16(ip)
}

// FlowKeyFromAddress extracts the flow key from a return address.
func FlowKeyFromAddress(address netip.Addr) FlowKey {
	ip := address.As16()
	return FlowKey(binary.BigEndian.Uint64(ip[8:]))
}
