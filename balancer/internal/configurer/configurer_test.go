package configurer_test

import (
	"os"
	"path/filepath"
	"testing"

	"cranberryspan.dev/balancer/internal/configurer"
	"github.com/stretchr/testify/require"
)

func validConfig() configurer.RawConfig {
	return configurer.RawConfig{
		Name: "pa-1", Address: "10.0.0.1:7000", FabricAddress: "10.0.0.1:7001",
		Fabric: "10.0.0.9:8500", Platform: "http://10.0.0.9:8400", Admin: "127.0.0.1:8700",
	}
}

func TestParseRejectsInvalidValues(t *testing.T) {
	config, err := validConfig().Parse()
	require.NoError(t, err)
	require.EqualValues(t, 7000, config.Address.Port())
	for name, corrupt := range map[string]func(*configurer.RawConfig){
		"no name":     func(raw *configurer.RawConfig) { raw.Name = "" },
		"no address":  func(raw *configurer.RawConfig) { raw.Address = "" },
		"host name":   func(raw *configurer.RawConfig) { raw.Fabric = "fabric:8500" },
		"bad seed":    func(raw *configurer.RawConfig) { raw.Seeds = "pa-2:7000" },
		"no platform": func(raw *configurer.RawConfig) { raw.Platform = "10.0.0.9" },
	} {
		raw := validConfig()
		corrupt(&raw)
		_, err := raw.Parse()
		var failure *configurer.Error
		require.ErrorAs(t, err, &failure, name)
		require.Equal(t, configurer.KindInvalid, failure.Kind)
	}
}

func TestFlagsOverrideFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "host.yaml")
	require.NoError(t, os.WriteFile(path, []byte("name: from-file\nadmin: 127.0.0.1:1\n"), 0o600))
	file, err := configurer.ReadFile(path)
	require.NoError(t, err)
	raw := configurer.RawConfig{Name: "from-flag"}.WithFallback(file)
	require.Equal(t, "from-flag", raw.Name)
	require.Equal(t, "127.0.0.1:1", raw.Admin)

	require.NoError(t, os.WriteFile(path, []byte("unheardOf: typo\n"), 0o600))
	_, err = configurer.ReadFile(path)
	require.ErrorContains(t, err, "unheardOf")
	_, err = configurer.ReadFile(filepath.Join(t.TempDir(), "missing"))
	require.Error(t, err)
}
