// Package configurer reads the local configuration of a host, which it needs before it can
// read published settings: its own addresses and those of the platform and the fabric.
package configurer

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"

	"cranberryspan.dev/core/resolver"
	"go.yaml.in/yaml/v3"
)

// Kind classifies errors.
type Kind uint8

// The kinds of Error.
const (
	// KindFile means that the file can't be read, is not valid YAML or has an unknown key.
	KindFile Kind = iota + 1
	// KindInvalid means that a value is missing or invalid.
	KindInvalid
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// RawConfig is a host's local configuration as written in flags, environment or file.
type RawConfig struct {
	Name          string `yaml:"name"`
	Address       string `yaml:"address"`
	FabricAddress string `yaml:"fabricAddress"`
	Fabric        string `yaml:"fabric"`
	Platform      string `yaml:"platform"`
	Admin         string `yaml:"admin"`
	LogLevel      string `yaml:"logLevel"`
	// Seeds is a list such as "pa-2=10.0.0.2:7000,ct-1=10.0.1.1:7000".
	Seeds string `yaml:"seeds"`
	// SeedKey is one of the peer keys in the settings tree.
	SeedKey string `yaml:"seedKey"`
}

// Config is a host's validated local configuration.
type Config struct {
	// Name is the host's name in the settings tree.
	Name string
	// Address receives messages from peers over UDP and TCP.
	Address netip.AddrPort
	// FabricAddress receives packets from the fabric.
	FabricAddress netip.AddrPort
	// Fabric is the address to which packets for callers and targets are sent.
	Fabric netip.AddrPort
	// Platform is the base URL of the platform's HTTP service.
	Platform *url.URL
	// Admin serves status and metrics over HTTP.
	Admin netip.AddrPort
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// Seeds are other hosts by name, from which settings are requested while the platform
	// does not respond. SeedKey authenticates the messages to them.
	Seeds   map[string]netip.AddrPort
	SeedKey resolver.Secret
}

// ReadFile reads a YAML file. An empty path gives an empty RawConfig.
func ReadFile(path string) (RawConfig, error) {
	if path == "" {
		return RawConfig{}, nil
	}
	file, err := os.Open(path)
	if err != nil {
		return RawConfig{}, &Error{Op: "read host settings", Kind: KindFile, Err: err}
	}
	defer func() { _ = file.Close() }()
	decoder := yaml.NewDecoder(file)
	decoder.KnownFields(true)
	var raw RawConfig
	if err := decoder.Decode(&raw); err != nil {
		return RawConfig{}, &Error{Op: "read host settings", Kind: KindFile, Err: err}
	}
	return raw, nil
}

// WithFallback returns a copy of r in which values that r does not set are those of other.
func (r RawConfig) WithFallback(other RawConfig) RawConfig {
	firstNonEmpty := func(first, second string) string {
		if first != "" {
			return first
		}
		return second
	}
	return RawConfig{
		Name:          firstNonEmpty(r.Name, other.Name),
		Address:       firstNonEmpty(r.Address, other.Address),
		FabricAddress: firstNonEmpty(r.FabricAddress, other.FabricAddress),
		Fabric:        firstNonEmpty(r.Fabric, other.Fabric),
		Platform:      firstNonEmpty(r.Platform, other.Platform),
		Admin:         firstNonEmpty(r.Admin, other.Admin),
		LogLevel:      firstNonEmpty(r.LogLevel, other.LogLevel),
		Seeds:         firstNonEmpty(r.Seeds, other.Seeds),
		SeedKey:       firstNonEmpty(r.SeedKey, other.SeedKey),
	}
}

// Parse validates the configuration.
func (r RawConfig) Parse() (Config, error) {
	config := Config{Name: r.Name, LogLevel: r.LogLevel}
	if r.Name == "" {
		return Config{}, missingError("name")
	}
	for _, a := range []struct {
		key  string
		text string
		dest *netip.AddrPort
	}{
		{"address", r.Address, &config.Address},
		{"fabricAddress", r.FabricAddress, &config.FabricAddress},
		{"fabric", r.Fabric, &config.Fabric},
		{"admin", r.Admin, &config.Admin},
	} {
		address, err := parseAddress(a.key, a.text)
		if err != nil {
			return Config{}, err
		}
		*a.dest = address
	}
	platform, err := url.Parse(r.Platform)
	if err != nil || platform.Host == "" {
		return Config{}, invalidError("platform: %q is not a URL such as http://10.0.0.9:8080", r.Platform)
	}
	config.Platform = platform
	config.SeedKey = resolver.Secret(r.SeedKey)
	if config.Seeds, err = parseSeeds(r.Seeds); err != nil {
		return Config{}, err
	}
	return config, nil
}

func parseSeeds(text string) (map[string]netip.AddrPort, error) {
	seeds := map[string]netip.AddrPort{}
	if text == "" {
		return seeds, nil
	}
	for _, part := range strings.Split(text, ",") {
		name, address, _ := strings.Cut(part, "=")
		parsed, err := netip.ParseAddrPort(address)
		if err != nil || name == "" {
			return nil, invalidError("seeds: %q is not NAME=ADDRESS such as pa-2=10.0.0.2:7000", part)
		}
		seeds[name] = parsed
	}
	return seeds, nil
}

func missingError(key string) error {
	return invalidError("%s is missing: set it with a flag, in the environment or in the file", key)
}
