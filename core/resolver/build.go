package resolver

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"go.yaml.in/yaml/v3"
)

// Value is one value in force at a path of the tree, and what set it.
type Value struct {
	Key   string `json:"key"`
	Value string `json:"value"`
	// Level is the path that set the value, such as "defaults" or
	// "regions.sicily.services.ledger"; "built in" where the tree sets nothing.
	Level string `json:"level"`
	Line  int    `json:"line"`
}

// origin is the level and line that set a key.
type origin struct {
	level string
	line  int
}

// inheritedPolicy is the policy that a level passes to its children, with the origin of
// each key.
type inheritedPolicy struct {
	policy  Policy
	origins map[string]origin
}

func (in inheritedPolicy) clone() inheritedPolicy {
	origins := make(map[string]origin, len(in.origins))
	for k, o := range in.origins {
		origins[k] = o
	}
	return inheritedPolicy{policy: in.policy, origins: origins}
}

// builder builds the Settings of one document. It collects findings instead of stopping at
// the first, so that an operator can fix all of them at once.
type builder struct {
	file     string
	findings []Finding
	settings Settings
	// zoneRegions maps each availability zone to its region.
	zoneRegions  map[string]string
	zoneDefaults map[string]*yaml.Node
	addressPaths map[netip.AddrPort]string
	namePaths    map[string]string
}

// Resolve parses and checks a document and builds its Settings. If it returns an error, that
// is an *Error with every finding, and the Settings are nil.
func Resolve(file string, document []byte) (*Settings, error) {
	const op = "resolve settings"
	if len(document) > MaxDocumentBytes {
		return nil, &Error{Op: op, Kind: KindTooLarge, Findings: []Finding{{
			File: file, Line: 1, Path: ".",
			Problem:  fmt.Sprintf("the document has %d bytes", len(document)),
			Expected: fmt.Sprintf("at most %d bytes", MaxDocumentBytes),
			Fix:      "move values that siblings repeat into their parent's defaults",
		}}}
	}
	var root yaml.Node
	if err := yaml.Unmarshal(document, &root); err != nil {
		return nil, &Error{Op: op, Kind: KindSyntax, Err: err}
	}
	b := &builder{
		file:         file,
		settings:     Settings{valuesByPath: map[string][]Value{}},
		zoneRegions:  map[string]string{},
		zoneDefaults: map[string]*yaml.Node{},
		addressPaths: map[netip.AddrPort]string{},
		namePaths:    map[string]string{},
	}
	if len(root.Content) == 0 {
		b.addFinding(&yaml.Node{Line: 1}, ".", "the document is empty", "a mapping with version and regions", "start from a file under examples/")
	} else {
		b.buildRoot(root.Content[0])
	}
	if len(b.findings) > 0 {
		return nil, &Error{Op: op, Kind: KindInvalid, Findings: b.findings}
	}
	settings := b.settings
	settings.buildIndex()
	return &settings, nil
}

func (b *builder) addFinding(node *yaml.Node, path, problem, expected, fix string) {
	line := 0
	if node != nil {
		line = node.Line
	}
	b.findings = append(b.findings, Finding{File: b.file, Line: line, Path: path, Problem: problem, Expected: expected, Fix: fix})
}

// entry is one key of a mapping, with its position.
type entry struct {
	key   string
	path  string
	node  *yaml.Node
	value *yaml.Node
}

// mappingEntries lists a mapping's entries in the order of the file. It reports a node that
// is not a mapping, and duplicate keys.
func (b *builder) mappingEntries(node *yaml.Node, path string) []entry {
	if node.Kind == yaml.AliasNode {
		node = node.Alias
	}
	if node.Kind == yaml.ScalarNode && node.Tag == "!!null" {
		return nil
	}
	if node.Kind != yaml.MappingNode {
		b.addFinding(node, path, "this is not a mapping", "keys with values", "indent the keys below "+path)
		return nil
	}
	seen := map[string]bool{}
	var entries []entry
	for i := 0; i+1 < len(node.Content); i += 2 {
		key := node.Content[i]
		e := entry{key: key.Value, path: join(path, key.Value), node: key, value: node.Content[i+1]}
		if seen[e.key] {
			b.addFinding(key, e.path, "duplicate key", "each key once", "remove one of the two")
			continue
		}
		seen[e.key] = true
		entries = append(entries, e)
	}
	return entries
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func (b *builder) addUnknownKey(e entry, known ...string) {
	b.addFinding(e.node, e.path, "unknown key", "one of "+strings.Join(known, ", "), "correct the spelling or remove the key")
}

func (b *builder) buildRoot(node *yaml.Node) {
	base := inheritedPolicy{policy: DefaultPolicy(), origins: map[string]origin{}}
	entries := b.mappingEntries(node, "")
	for _, e := range entries {
		switch e.key {
		case "version":
			if e.value.Value != "1" {
				b.addFinding(e.value, e.path, "unknown version "+e.value.Value, "1", "write version: 1")
			}
		case "peerKeys":
			b.buildPeerKeys(e)
		case "defaults":
			base = b.buildDefaults(e.value, "defaults", base)
		case "regions":
		default:
			b.addUnknownKey(e, "version", "peerKeys", "defaults", "regions")
		}
	}
	for _, e := range entries {
		if e.key != "regions" {
			continue
		}
		for _, region := range b.mappingEntries(e.value, "regions") {
			b.buildRegion(region, base)
		}
	}
	if !slices.ContainsFunc(entries, func(e entry) bool { return e.key == "peerKeys" }) {
		b.addFinding(node, "peerKeys", "peerKeys is missing", "a list of one or two keys", "generate a random key: without one, anyone could impersonate a host")
	}
	if len(b.settings.Hosts) == 0 && len(b.findings) == 0 {
		b.addFinding(node, "regions", "the tree has no hosts", "at least one host", "add hosts below an availability zone")
	}
	slices.SortFunc(b.settings.Hosts, func(x, y Host) int { return strings.Compare(x.Name, y.Name) })
	slices.SortFunc(b.settings.Services, func(x, y Service) int { return int(x.ID) - int(y.ID) })
}

func (b *builder) buildPeerKeys(e entry) {
	const minKeyLength = 16
	if e.value.Kind != yaml.SequenceNode || len(e.value.Content) == 0 || len(e.value.Content) > 2 {
		b.addFinding(e.value, e.path, "this is not a list of one or two keys", "one key, or two while keys are rotated", "write a list: the first key signs, both are accepted")
		return
	}
	for _, item := range e.value.Content {
		if len(item.Value) < minKeyLength {
			b.addFinding(item, e.path, "the key is too short", fmt.Sprintf("at least %d characters", minKeyLength), "generate a new random key")
			continue
		}
		b.settings.PeerKeys = append(b.settings.PeerKeys, Secret(item.Value))
	}
}

// buildDefaults applies a level's defaults on top of the values that the level inherits.
func (b *builder) buildDefaults(node *yaml.Node, level string, parent inheritedPolicy) inheritedPolicy {
	in := parent.clone()
	for _, e := range b.mappingEntries(node, level) {
		b.applyKey(e, level, &in)
	}
	return in
}

// applyKey sets one inheritable key.
func (b *builder) applyKey(e entry, level string, in *inheritedPolicy) {
	f, ok := fieldByKey(e.key)
	if !ok {
		keys := make([]string, 0, len(policyFields))
		for _, f := range policyFields {
			keys = append(keys, f.key)
		}
		b.addUnknownKey(e, keys...)
		return
	}
	if e.value.Kind != yaml.ScalarNode || !f.parse(&in.policy, e.value.Value) {
		b.addFinding(e.value, e.path, fmt.Sprintf("%q does not fit", e.value.Value), f.expected, "write a value in that range")
		return
	}
	in.origins[e.key] = origin{level: level, line: e.value.Line}
}

func (b *builder) buildRegion(region entry, parent inheritedPolicy) {
	in := parent
	entries := b.mappingEntries(region.value, region.path)
	var prefix netip.Prefix
	for _, e := range entries {
		switch e.key {
		case "defaults":
			in = b.buildDefaults(e.value, e.path, parent)
		case "returnPrefix":
			prefix = b.parseReturnPrefix(e)
		case "availabilityZones":
			for _, zone := range b.mappingEntries(e.value, e.path) {
				b.buildZone(zone, region.key)
			}
		case "services":
		default:
			b.addUnknownKey(e, "defaults", "returnPrefix", "availabilityZones", "services")
		}
	}
	if !prefix.IsValid() {
		b.addFinding(region.node, region.path, "returnPrefix is missing", "an IPv6 /64 that all hosts share towards targets", "add returnPrefix, such as fd00:51::/64")
	}
	for _, e := range entries {
		if e.key != "services" {
			continue
		}
		for _, service := range b.mappingEntries(e.value, e.path) {
			b.buildService(service, region.key, prefix, in)
		}
	}
}

func (b *builder) parseReturnPrefix(e entry) netip.Prefix {
	prefix, err := netip.ParsePrefix(e.value.Value)
	if err != nil || !prefix.Addr().Is6() || prefix.Bits() != 64 || prefix != prefix.Masked() {
		b.addFinding(e.value, e.path, fmt.Sprintf("%q does not fit", e.value.Value), "an IPv6 /64 prefix such as fd00:51::/64", "use a /64 that the fabric routes to the hosts")
		return netip.Prefix{}
	}
	return prefix
}

func (b *builder) buildZone(zone entry, region string) {
	if other, ok := b.zoneRegions[zone.key]; ok {
		b.addFinding(zone.node, zone.path, "the availability zone is defined in region "+other+" already", "each name once", "rename one of the two")
		return
	}
	b.zoneRegions[zone.key] = region
	cells := 1
	var hosts []entry
	for _, e := range b.mappingEntries(zone.value, zone.path) {
		switch e.key {
		case "defaults":
			// This only adds findings; applyZoneDefaults applies the values to each target.
			b.zoneDefaults[zone.key] = e.value
			b.buildDefaults(e.value, e.path, inheritedPolicy{})
		case "cells":
			n, err := strconv.Atoi(e.value.Value)
			if err != nil || n < 1 || n > 1000 {
				b.addFinding(e.value, e.path, fmt.Sprintf("%q does not fit", e.value.Value), "a whole number from 1 to 1000", "use one cell for each 8 hosts")
				continue
			}
			cells = n
		case "hosts":
			hosts = b.mappingEntries(e.value, e.path)
		default:
			b.addUnknownKey(e, "defaults", "cells", "hosts")
		}
	}
	// The hosts are built last, since their cells depend on the number of cells.
	sizes := map[string]int{}
	for _, e := range hosts {
		host := b.buildHost(e, region, zone.key, cells)
		sizes[host.Cell]++
		if sizes[host.Cell] == MaxCellHosts+1 {
			b.addFinding(e.node, e.path, "cell "+host.Cell+" has more than 8 hosts", "at most 8 hosts in a cell", "raise cells of the availability zone, or set the cell of some hosts")
		}
	}
}

func (b *builder) buildHost(e entry, region, zone string, cells int) Host {
	host := Host{Name: e.key, Region: region, AvailabilityZone: zone}
	cell := xxhash.Sum64String(e.key) % uint64(cells)
	b.requireUniqueName(e, "host "+e.key)
	for _, f := range b.mappingEntries(e.value, e.path) {
		switch f.key {
		case "address":
			host.Address = b.parseAddress(f)
		case "fabricAddress":
			host.FabricAddress = b.parseAddress(f)
		case "cell":
			n, err := strconv.ParseUint(f.value.Value, 10, 16)
			if err != nil || n >= uint64(cells) {
				b.addFinding(f.value, f.path, fmt.Sprintf("%q does not fit", f.value.Value), fmt.Sprintf("a whole number below %d, the zone's cells", cells), "write a cell that the zone has")
				continue
			}
			cell = n
		default:
			b.addUnknownKey(f, "address", "fabricAddress", "cell")
		}
	}
	host.Cell = fmt.Sprintf("%s/%d", zone, cell)
	b.requireKey(e, "address", host.Address.IsValid())
	b.requireKey(e, "fabricAddress", host.FabricAddress.IsValid())
	b.settings.Hosts = append(b.settings.Hosts, host)
	return host
}

// requireKey adds a finding for a required key that is missing, unless the key is present with
// a value that has a finding already.
func (b *builder) requireKey(e entry, key string, present bool) {
	if present {
		return
	}
	for _, f := range b.findings {
		if f.Path == join(e.path, key) {
			return
		}
	}
	b.addFinding(e.node, e.path, key+" is missing", "a value for "+key, "add "+key)
}

// requireUniqueName reports a name that is used twice in the whole tree: status, logs and
// metrics identify hosts, services and targets by name alone.
func (b *builder) requireUniqueName(e entry, name string) {
	if other, ok := b.namePaths[name]; ok {
		b.addFinding(e.node, e.path, "the name stands at "+other+" too", "each name once", "rename one of the two")
		return
	}
	b.namePaths[name] = e.path
}

// parseAddress parses an IPv4 address and port that is used only once in the tree.
func (b *builder) parseAddress(e entry) netip.AddrPort {
	address, err := netip.ParseAddrPort(e.value.Value)
	if err != nil || !address.Addr().Is4() || address.Port() == 0 {
		b.addFinding(e.value, e.path, fmt.Sprintf("%q does not fit", e.value.Value), "an IPv4 address and port such as 10.0.0.1:5683", "write an IP address, not a host name")
		return netip.AddrPort{}
	}
	if other, ok := b.addressPaths[address]; ok {
		b.addFinding(e.value, e.path, "the address stands at "+other+" too", "each address once", "give one of the two another address")
		return netip.AddrPort{}
	}
	b.addressPaths[address] = e.path
	return address
}

func (b *builder) buildService(e entry, region string, prefix netip.Prefix, parent inheritedPolicy) {
	service := Service{Name: e.key, Region: region, ReturnPrefix: prefix}
	in := parent.clone()
	b.requireUniqueName(e, "service "+e.key)
	var targets []entry
	for _, f := range b.mappingEntries(e.value, e.path) {
		switch f.key {
		case "id":
			service.ID = b.parseServiceID(f)
		case "tenant":
			service.Tenant = f.value.Value
		case "address":
			service.Address = b.parseAddress(f)
		case "targets":
			targets = b.mappingEntries(f.value, f.path)
		default:
			b.applyKey(f, e.path, &in)
		}
	}
	b.requireKey(e, "id", service.ID != 0)
	b.requireKey(e, "tenant", service.Tenant != "")
	b.requireKey(e, "address", service.Address.IsValid())
	service.Policy = in.policy
	b.recordValues(e.path, in)
	for _, t := range targets {
		service.Targets = append(service.Targets, b.buildTarget(t, region, in))
	}
	slices.SortFunc(service.Targets, func(x, y Target) int { return strings.Compare(x.Name, y.Name) })
	b.settings.Services = append(b.settings.Services, service)
}

func (b *builder) parseServiceID(e entry) ServiceID {
	n, err := strconv.ParseUint(e.value.Value, 10, 16)
	if err != nil || n == 0 {
		b.addFinding(e.value, e.path, fmt.Sprintf("%q does not fit", e.value.Value), "a whole number from 1 to 65535", "give the service a unique number, and never reuse it for another service")
		return 0
	}
	b.requireUniqueName(e, "id "+e.value.Value)
	return ServiceID(n)
}

func (b *builder) buildTarget(e entry, region string, parent inheritedPolicy) Target {
	target := Target{Name: e.key}
	in := parent.clone()
	b.requireUniqueName(e, "target "+e.key)
	entries := b.mappingEntries(e.value, e.path)
	for _, f := range entries {
		if f.key == "availabilityZone" {
			target.AvailabilityZone = b.parseTargetZone(f, region)
		}
	}
	if node, ok := b.zoneDefaults[target.AvailabilityZone]; ok {
		b.applyZoneDefaults(node, target.AvailabilityZone, region, &in)
	}
	for _, f := range entries {
		switch f.key {
		case "availabilityZone":
		case "address":
			target.Address = b.parseAddress(f)
		default:
			b.applyKey(f, e.path, &in)
		}
	}
	b.requireKey(e, "availabilityZone", target.AvailabilityZone != "")
	b.requireKey(e, "address", target.Address.IsValid())
	target.Policy = in.policy
	b.recordValues(e.path, in)
	return target
}

// applyZoneDefaults applies a zone's defaults beneath a target's own values. Values that
// the service sets take precedence over the zone's defaults. Findings are discarded, since
// buildZone has added them already.
func (b *builder) applyZoneDefaults(node *yaml.Node, zone, region string, in *inheritedPolicy) {
	level := fmt.Sprintf("regions.%s.availabilityZones.%s.defaults", region, zone)
	discarding := &builder{file: b.file}
	for _, e := range discarding.mappingEntries(node, level) {
		from := in.origins[e.key]
		if strings.Contains(from.level, ".services.") {
			continue
		}
		discarding.applyKey(e, level, in)
	}
}

func (b *builder) parseTargetZone(e entry, region string) string {
	zoneRegion, ok := b.zoneRegions[e.value.Value]
	if !ok || zoneRegion != region {
		b.addFinding(e.value, e.path, fmt.Sprintf("no availability zone %q in region %s", e.value.Value, region), "an availability zone of the same region", "correct the name or add the zone")
		return e.value.Value
	}
	return e.value.Value
}

// recordValues records the values in force at a path, one for each of policyFields in its
// order.
func (b *builder) recordValues(path string, in inheritedPolicy) {
	values := make([]Value, 0, len(policyFields))
	for _, f := range policyFields {
		from, ok := in.origins[f.key]
		if !ok {
			from = origin{level: "built in"}
		}
		values = append(values, Value{Key: f.key, Value: f.format(in.policy), Level: from.level, Line: from.line})
	}
	b.settings.valuesByPath[path] = values
}
