package configurer

import (
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strings"
	"time"

	"cranberryspan.dev/core/resolver"
	"cranberryspan.dev/core/throttler"
	"go.yaml.in/yaml/v3"
)

// rawFlowConfig is the settings file of a flow host as written.
type rawFlowConfig struct {
	Name             string `yaml:"name"`
	AvailabilityZone string `yaml:"availabilityZone"`
	Address          string `yaml:"address"`
	// AdvertisedAddress is optional and defaults to Address.
	AdvertisedAddress string `yaml:"advertisedAddress"`
	PacketAddress     string `yaml:"packetAddress"`
	ReadyAddress      string `yaml:"readyAddress"`
	AdminAddress      string `yaml:"adminAddress"`
	Platform          string `yaml:"platform"`
	// Seeds is a list such as "10.0.0.2:7000,10.0.1.1:7000".
	Seeds           string   `yaml:"seeds"`
	PeerKeys        []string `yaml:"peerKeys"`
	MemoryMegabytes int64    `yaml:"memoryMegabytes"`
	// LinkMegabits is the rate of the host's link in Mbit/s. It is optional.
	LinkMegabits float64 `yaml:"linkMegabits"`
	Bootstrap    bool    `yaml:"firstStart"`
	// SettingsPropagationLimit and DrainingPropagationLimit are durations such as "3000ms".
	SettingsPropagationLimit string `yaml:"settingsWithin"`
	DrainingPropagationLimit string `yaml:"drainingWithin"`
	// EvacuationPropagationLimit is optional and defaults to SettingsPropagationLimit.
	EvacuationPropagationLimit string `yaml:"evacuatedWithin"`
	// Regions maps each availability zone to its region. It is optional where no route
	// is restricted to regions.
	Regions map[string]string `yaml:"regions"`
	// ColdBurstFactor and ColdBurstAllowance are optional and default to 1 and 0.
	ColdBurstFactor    *float64 `yaml:"coldOverage"`
	ColdBurstAllowance *float64 `yaml:"coldAllowance"`
	Forwarding         string   `yaml:"forwarding"`
	// Quotas are optional.
	Quotas []throttler.QuotaSpec `yaml:"quotas"`
}

// FlowConfig is the validated configuration that a flow host needs before it can read the
// platform.
type FlowConfig struct {
	Name             string
	AvailabilityZone string
	// Address receives reports from other hosts over UDP, and sync requests over TCP.
	Address netip.AddrPort
	// AdvertisedAddress is the address at which other hosts reach Address. It differs
	// from Address behind network address translation.
	AdvertisedAddress netip.AddrPort
	// PacketAddress receives packets from the fabric over UDP.
	PacketAddress netip.AddrPort
	// ReadyAddress serves the fabric's readiness checks over HTTP.
	ReadyAddress netip.AddrPort
	// AdminAddress serves metrics and the host's state to operators over HTTP.
	AdminAddress netip.AddrPort
	// Platform is the address of the platform's store.
	Platform netip.AddrPort
	// Seeds are addresses at which other hosts may be found.
	Seeds []netip.AddrPort
	// PeerKeys authenticate messages between hosts. Without keys, anyone who can reach
	// Address can send them, so that is safe only on a network that only hosts can use.
	PeerKeys    []resolver.Secret
	MemoryBytes int64
	// LinkBytesPerSecond is the rate of the host's link in each direction, 0 if unknown.
	LinkBytesPerSecond int
	// Bootstrap is set when the whole fleet starts for the first time.
	Bootstrap bool
	// SettingsPropagationLimit and DrainingPropagationLimit are the times within which the
	// host has to learn of new settings and of draining targets.
	SettingsPropagationLimit time.Duration
	DrainingPropagationLimit time.Duration
	// EvacuationPropagationLimit is the time within which the host has to learn of orders
	// to evacuate a zone.
	EvacuationPropagationLimit time.Duration
	// Regions maps each availability zone to its region.
	Regions map[string]string
	// A cold target sustains ColdBurstFactor times its long-term rate limit of new flows,
	// plus ColdBurstAllowance, in any one second.
	ColdBurstFactor    float64
	ColdBurstAllowance float64
	// Quotas limit the request rates of some callers, summed over all hosts of this host's
	// zone.
	Quotas []throttler.Quota
}

// WithSeeds returns a copy with other seeds.
func (c FlowConfig) WithSeeds(seeds []netip.AddrPort) FlowConfig {
	c.Seeds = seeds
	return c
}

// WithPlatform returns a copy with another platform address.
func (c FlowConfig) WithPlatform(platform netip.AddrPort) FlowConfig {
	c.Platform = platform
	return c
}

// Differs reports whether two configurations differ in any value.
func (c FlowConfig) Differs(other FlowConfig) bool { return !reflect.DeepEqual(c, other) }

// forwardingEcho is the only forwarding mode that this release supports: a target echoes
// the tag of a flow's opening packet to the caller, and the caller echoes it in every later
// packet.
const forwardingEcho = "echo"

const (
	// bytesPerMegabit converts link rates, which are given in decimal megabits.
	bytesPerMegabit = 1_000_000 / 8
	// minPropagationLimit leaves time for a platform read and a report to the other hosts.
	minPropagationLimit = time.Second
	// maxPropagationLimit catches typing errors that would delay changes indefinitely.
	maxPropagationLimit = 10 * time.Minute
)

// ReadFlowFile reads and validates the settings file of a flow host.
func ReadFlowFile(path string) (FlowConfig, error) {
	const op = "read host settings"
	file, err := os.Open(path)
	if err != nil {
		return FlowConfig{}, &Error{Op: op, Kind: KindFile, Err: err}
	}
	defer func() { _ = file.Close() }()
	decoder := yaml.NewDecoder(file)
	decoder.KnownFields(true)
	var raw rawFlowConfig
	if err := decoder.Decode(&raw); err != nil {
		return FlowConfig{}, &Error{Op: op, Kind: KindFile, Err: err}
	}
	return raw.parse()
}

func (r rawFlowConfig) parse() (FlowConfig, error) {
	config := FlowConfig{
		Name: r.Name, AvailabilityZone: r.AvailabilityZone, Regions: r.Regions, Bootstrap: r.Bootstrap,
		MemoryBytes: r.MemoryMegabytes << 20, LinkBytesPerSecond: int(r.LinkMegabits * bytesPerMegabit),
		ColdBurstFactor: valueOr(r.ColdBurstFactor, 1), ColdBurstAllowance: valueOr(r.ColdBurstAllowance, 0),
	}
	switch {
	case r.Name == "":
		return FlowConfig{}, missingError("name")
	case r.AvailabilityZone == "":
		return FlowConfig{}, missingError("availabilityZone")
	case r.MemoryMegabytes <= 0:
		return FlowConfig{}, invalidError("memoryMegabytes: %d is not a positive size; set it to the memory that the process may use, in MiB", r.MemoryMegabytes)
	case r.LinkMegabits < 0:
		return FlowConfig{}, invalidError("linkMegabits: %g is negative; set it to the rate of the host's link in each direction, in Mbit/s", r.LinkMegabits)
	case !(config.ColdBurstFactor >= 1):
		return FlowConfig{}, invalidError("coldOverage: %g is not a number from 1 up; set it to how many times its rate limit a cold target sustains in one second", config.ColdBurstFactor)
	case !(config.ColdBurstAllowance >= 0):
		return FlowConfig{}, invalidError("coldAllowance: %g is not a number from 0 up; set it to how many new flows above its rate limit a cold target sustains in one second", config.ColdBurstAllowance)
	case r.Forwarding != forwardingEcho:
		return FlowConfig{}, invalidError("forwarding: unknown mode %q; the only mode is %q", r.Forwarding, forwardingEcho)
	}
	if r.AdvertisedAddress == "" {
		r.AdvertisedAddress = r.Address
	}
	if r.EvacuationPropagationLimit == "" {
		r.EvacuationPropagationLimit = r.SettingsPropagationLimit
	}
	for _, a := range []struct {
		key  string
		text string
		dest *netip.AddrPort
	}{
		{"address", r.Address, &config.Address},
		{"advertisedAddress", r.AdvertisedAddress, &config.AdvertisedAddress},
		{"packetAddress", r.PacketAddress, &config.PacketAddress},
		{"readyAddress", r.ReadyAddress, &config.ReadyAddress},
		{"adminAddress", r.AdminAddress, &config.AdminAddress},
		{"platform", r.Platform, &config.Platform},
	} {
		address, err := parseAddress(a.key, a.text)
		if err != nil {
			return FlowConfig{}, err
		}
		*a.dest = address
	}
	for _, d := range []struct {
		key  string
		text string
		dest *time.Duration
	}{
		{"settingsWithin", r.SettingsPropagationLimit, &config.SettingsPropagationLimit},
		{"drainingWithin", r.DrainingPropagationLimit, &config.DrainingPropagationLimit},
		{"evacuatedWithin", r.EvacuationPropagationLimit, &config.EvacuationPropagationLimit},
	} {
		limit, err := time.ParseDuration(d.text)
		if err != nil || limit < minPropagationLimit || limit > maxPropagationLimit {
			return FlowConfig{}, invalidError("%s: %q is not a duration from %s to %s, such as 3s", d.key, d.text, minPropagationLimit, maxPropagationLimit)
		}
		*d.dest = limit
	}
	for _, part := range strings.FieldsFunc(r.Seeds, func(c rune) bool { return c == ',' || c == ' ' }) {
		address, err := parseAddress("seeds", part)
		if err != nil {
			return FlowConfig{}, err
		}
		config.Seeds = append(config.Seeds, address)
	}
	quotas, err := throttler.ParseQuotas(r.Quotas)
	if err != nil {
		return FlowConfig{}, invalidError("%w", err)
	}
	config.Quotas = quotas
	for _, key := range r.PeerKeys {
		config.PeerKeys = append(config.PeerKeys, resolver.Secret(key))
	}
	return config, nil
}

// valueOr returns the value, or fallback if it is not set.
func valueOr(value *float64, fallback float64) float64 {
	if value == nil {
		return fallback
	}
	return *value
}

func parseAddress(key, text string) (netip.AddrPort, error) {
	if text == "" {
		return netip.AddrPort{}, missingError(key)
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, invalidError("%s: %q is not an IP address and port such as 10.0.0.1:7000", key, text)
	}
	return address, nil
}

func invalidError(format string, args ...any) error {
	return &Error{Op: "check host settings", Kind: KindInvalid, Err: fmt.Errorf(format, args...)}
}
