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

// flowText is the file of a host that steers flows.
type flowText struct {
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
	FirstStart   bool    `yaml:"firstStart"`
	// SettingsWithin and DrainingWithin are durations such as "3000ms".
	SettingsWithin string `yaml:"settingsWithin"`
	DrainingWithin string `yaml:"drainingWithin"`
	// EvacuatedWithin may be left out, and then is SettingsWithin.
	EvacuatedWithin string `yaml:"evacuatedWithin"`
	// Regions gives the region of each availability zone. It may be left out where no
	// route names regions.
	Regions map[string]string `yaml:"regions"`
	// ColdOverage and ColdAllowance may be left out, and then are 1 and 0.
	ColdOverage   *float64 `yaml:"coldOverage"`
	ColdAllowance *float64 `yaml:"coldAllowance"`
	Forwarding    string   `yaml:"forwarding"`
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
	// FirstStart says that the whole fleet starts for the first time.
	FirstStart bool
	// SettingsWithin and DrainingWithin are the times within which the host has to
	// know new settings, and targets that drain.
	SettingsWithin time.Duration
	DrainingWithin time.Duration
	// EvacuatedWithin is the time within which the host has to know orders to evacuate a
	// zone.
	EvacuatedWithin time.Duration
	// Regions gives the region of each availability zone.
	Regions map[string]string
	// ColdOverage times the new flows a second that a cold target bears for long, and
	// ColdAllowance more, is what it bears in any one second.
	ColdOverage   float64
	ColdAllowance float64
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
	// minWithin leaves time for a read and a report to the other hosts.
	minWithin = time.Second
	// maxWithin keeps a slip of the pen from hiding changes for ever.
	maxWithin = 10 * time.Minute
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
	var text flowText
	if err := decoder.Decode(&text); err != nil {
		return FlowConfig{}, &Error{Op: op, Kind: KindFile, Err: err}
	}
	return text.check()
}

func (t flowText) check() (FlowConfig, error) {
	config := FlowConfig{
		Name: t.Name, AvailabilityZone: t.AvailabilityZone, Regions: t.Regions, FirstStart: t.FirstStart,
		MemoryBytes: t.MemoryMegabytes << 20, LinkBytesPerSecond: int(t.LinkMegabits * bytesPerMegabit),
		ColdOverage: valueOr(t.ColdOverage, 1), ColdAllowance: valueOr(t.ColdAllowance, 0),
	}
	switch {
	case t.Name == "":
		return FlowConfig{}, missing("name")
	case t.AvailabilityZone == "":
		return FlowConfig{}, missing("availabilityZone")
	case t.MemoryMegabytes <= 0:
		return FlowConfig{}, invalid("memoryMegabytes: %d is no size; write the megabytes that the process may take", t.MemoryMegabytes)
	case t.LinkMegabits < 0:
		return FlowConfig{}, invalid("linkMegabits: %g is no rate; write the megabits a second that the host's link carries each way", t.LinkMegabits)
	case !(config.ColdOverage >= 1):
		return FlowConfig{}, invalid("coldOverage: %g is below 1; write how many times its rate a cold target bears in one second", config.ColdOverage)
	case !(config.ColdAllowance >= 0):
		return FlowConfig{}, invalid("coldAllowance: %g is below 0; write how many new flows a cold target bears beyond its rate in one second", config.ColdAllowance)
	case t.Forwarding != forwardingEcho:
		return FlowConfig{}, invalid("forwarding: %q is not known; only %q is", t.Forwarding, forwardingEcho)
	}
	if t.AdvertisedAddress == "" {
		t.AdvertisedAddress = t.Address
	}
	if t.EvacuatedWithin == "" {
		t.EvacuatedWithin = t.SettingsWithin
	}
	for _, a := range []struct {
		key  string
		text string
		into *netip.AddrPort
	}{
		{"address", t.Address, &config.Address},
		{"advertisedAddress", t.AdvertisedAddress, &config.AdvertisedAddress},
		{"packetAddress", t.PacketAddress, &config.PacketAddress},
		{"readyAddress", t.ReadyAddress, &config.ReadyAddress},
		{"adminAddress", t.AdminAddress, &config.AdminAddress},
		{"platform", t.Platform, &config.Platform},
	} {
		address, err := parseAddress(a.key, a.text)
		if err != nil {
			return FlowConfig{}, err
		}
		*a.into = address
	}
	for _, d := range []struct {
		key  string
		text string
		into *time.Duration
	}{
		{"settingsWithin", t.SettingsWithin, &config.SettingsWithin},
		{"drainingWithin", t.DrainingWithin, &config.DrainingWithin},
		{"evacuatedWithin", t.EvacuatedWithin, &config.EvacuatedWithin},
	} {
		within, err := time.ParseDuration(d.text)
		if err != nil || within < minWithin || within > maxWithin {
			return FlowConfig{}, invalid("%s: %q is no duration from %s to %s, such as 3s", d.key, d.text, minWithin, maxWithin)
		}
		*d.into = within
	}
	for _, part := range strings.FieldsFunc(t.Seeds, func(c rune) bool { return c == ',' || c == ' ' }) {
		address, err := parseAddress("seeds", part)
		if err != nil {
			return FlowConfig{}, err
		}
		config.Seeds = append(config.Seeds, address)
	}
	quotas, err := throttler.ParseQuotas(t.Quotas)
	if err != nil {
		return FlowConfig{}, invalid("%w", err)
	}
	config.Quotas = quotas
	for _, key := range t.PeerKeys {
		config.PeerKeys = append(config.PeerKeys, resolver.Secret(key))
	}
	return config, nil
}

// valueOr returns what was written, or a default if nothing was.
func valueOr(written *float64, otherwise float64) float64 {
	if written == nil {
		return otherwise
	}
	return *written
}

func parseAddress(key, text string) (netip.AddrPort, error) {
	if text == "" {
		return netip.AddrPort{}, missing(key)
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, invalid("%s: %q is no address and port such as 10.0.0.1:7000", key, text)
	}
	return address, nil
}

func invalid(format string, args ...any) error {
	return &Error{Op: "check host settings", Kind: KindInvalid, Err: fmt.Errorf(format, args...)}
}
