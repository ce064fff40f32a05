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

// rawFlowConfig is the file of a host that steers flows.
type rawFlowConfig struct {
	Name             string `yaml:"name"`
	AvailabilityZone string `yaml:"availabilityZone"`
	Address          string `yaml:"address"`
	// AdvertisedAddress may be left out.
	AdvertisedAddress string `yaml:"advertisedAddress"`
	PacketAddress     string `yaml:"packetAddress"`
	ReadyAddress      string `yaml:"readyAddress"`
	AdminAddress      string `yaml:"adminAddress"`
	Platform          string `yaml:"platform"`
	// Seeds is a list such as "10.0.0.2:7000,10.0.1.1:7000".
	Seeds           string   `yaml:"seeds"`
	PeerKeys        []string `yaml:"peerKeys"`
	MemoryMegabytes int64    `yaml:"memoryMegabytes"`
	// LinkMegabits may be left out.
	LinkMegabits float64 `yaml:"linkMegabits"`
	Bootstrap    bool    `yaml:"firstStart"`
	// SettingsPropagationLimit and DrainingPropagationLimit are durations such as "3000ms".
	SettingsPropagationLimit string `yaml:"settingsWithin"`
	DrainingPropagationLimit string `yaml:"drainingWithin"`
	// EvacuationPropagationLimit may be left out, and then is SettingsPropagationLimit.
	EvacuationPropagationLimit string `yaml:"evacuatedWithin"`
	// Regions gives the region of each availability zone. It may be left out where no
	// route names regions.
	Regions map[string]string `yaml:"regions"`
	// ColdBurstFactor and ColdBurstAllowance may be left out, and then are 1 and 0.
	ColdBurstFactor    *float64 `yaml:"coldOverage"`
	ColdBurstAllowance *float64 `yaml:"coldAllowance"`
	Forwarding         string   `yaml:"forwarding"`
	// Quotas may be left out.
	Quotas []throttler.QuotaSpec `yaml:"quotas"`
}

// FlowConfig is what a host that steers flows has to know before it can read the
// platform, checked.
type FlowConfig struct {
	Name             string
	AvailabilityZone string
	// Address takes reports from other hosts, over UDP.
	Address netip.AddrPort
	// AdvertisedAddress is where other hosts reach Address, if that is translated
	// on the way.
	AdvertisedAddress netip.AddrPort
	// PacketAddress takes packets from the fabric, over UDP.
	PacketAddress netip.AddrPort
	// ReadyAddress answers the fabric's readiness checks, over HTTP.
	ReadyAddress netip.AddrPort
	// AdminAddress serves metrics over HTTP.
	AdminAddress netip.AddrPort
	// Platform is the address of the platform's store.
	Platform netip.AddrPort
	// Seeds are addresses at which other hosts may be found.
	Seeds []netip.AddrPort
	// PeerKeys authenticate reports. Without any, whoever reaches Address may
	// report: this suits only a network that admits hosts alone.
	PeerKeys    []resolver.Secret
	MemoryBytes int64
	// LinkBytesPerSecond is what the host's link carries each way; 0 if unknown.
	LinkBytesPerSecond int
	// Bootstrap says that the whole fleet starts for the first time.
	Bootstrap bool
	// SettingsPropagationLimit and DrainingPropagationLimit are the times within which the host has to
	// know new settings, and targets that drain.
	SettingsPropagationLimit time.Duration
	DrainingPropagationLimit time.Duration
	// EvacuationPropagationLimit is the time within which the host has to know orders to evacuate a
	// zone.
	EvacuationPropagationLimit time.Duration
	// Regions gives the region of each availability zone.
	Regions map[string]string
	// ColdBurstFactor times the new flows a second that a cold target bears for long, and
	// ColdBurstAllowance more, is what it bears in any one second.
	ColdBurstFactor    float64
	ColdBurstAllowance float64
	// Quotas bound the requests of some callers, over all hosts of this host's zone together.
	Quotas []throttler.Quota
}

// WithSeeds returns a copy with other seeds.
func (c FlowConfig) WithSeeds(seeds []netip.AddrPort) FlowConfig {
	c.Seeds = seeds
	return c
}

// WithPlatform returns a copy with another address of the platform.
func (c FlowConfig) WithPlatform(platform netip.AddrPort) FlowConfig {
	c.Platform = platform
	return c
}

// Differs reports whether two configurations are not the same.
func (c FlowConfig) Differs(other FlowConfig) bool { return !reflect.DeepEqual(c, other) }

// forwardingEcho is the one way of forwarding that this release knows: targets
// and callers repeat the tag of each packet.
const forwardingEcho = "echo"

const (
	// bytesPerMegabit turns a link's rate, which networks give in decimal megabits.
	bytesPerMegabit = 1_000_000 / 8
	// minPropagationLimit leaves time for a read and a report to the other hosts.
	minPropagationLimit = time.Second
	// maxPropagationLimit keeps a slip of the pen from hiding changes for ever.
	maxPropagationLimit = 10 * time.Minute
)

// ReadFlowFile reads and checks the file of a host that steers flows.
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
		return FlowConfig{}, invalidError("memoryMegabytes: %d is no size; write the megabytes that the process may take", r.MemoryMegabytes)
	case r.LinkMegabits < 0:
		return FlowConfig{}, invalidError("linkMegabits: %g is no rate; write the megabits a second that the host's link carries each way", r.LinkMegabits)
	case !(config.ColdBurstFactor >= 1):
		return FlowConfig{}, invalidError("coldOverage: %g is below 1; write how many times its rate a cold target bears in one second", config.ColdBurstFactor)
	case !(config.ColdBurstAllowance >= 0):
		return FlowConfig{}, invalidError("coldAllowance: %g is below 0; write how many new flows a cold target bears beyond its rate in one second", config.ColdBurstAllowance)
	case r.Forwarding != forwardingEcho:
		return FlowConfig{}, invalidError("forwarding: %q is not known; only %q is", r.Forwarding, forwardingEcho)
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
			return FlowConfig{}, invalidError("%s: %q is no duration from %s to %s, such as 3s", d.key, d.text, minPropagationLimit, maxPropagationLimit)
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

// valueOr returns what was written, or a default if nothing was.
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
		return netip.AddrPort{}, invalidError("%s: %q is no address and port such as 10.0.0.1:7000", key, text)
	}
	return address, nil
}

func invalidError(format string, args ...any) error {
	return &Error{Op: "check host settings", Kind: KindInvalid, Err: fmt.Errorf(format, args...)}
}
