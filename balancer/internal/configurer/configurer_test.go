package configurer_test

import (
	"os"
	"path/filepath"
	"testing"

	"cranberryspan.dev/balancer/internal/configurer"
	"github.com/stretchr/testify/require"
)

func complete() configurer.Text {
	return configurer.Text{
		Name: "pa-1", Address: "10.0.0.1:7000", FabricAddress: "10.0.0.1:7001",
		Fabric: "10.0.0.9:8500", Platform: "http://10.0.0.9:8400", Admin: "127.0.0.1:8700",
	}
}

func TestValuesAreChecked(t *testing.T) {
	config, err := complete().Check()
	require.NoError(t, err)
	require.EqualValues(t, 7000, config.Address.Port())
	for name, spoil := range map[string]func(*configurer.Text){
		"no name":     func(text *configurer.Text) { text.Name = "" },
		"no address":  func(text *configurer.Text) { text.Address = "" },
		"host name":   func(text *configurer.Text) { text.Fabric = "fabric:8500" },
		"bad seed":    func(text *configurer.Text) { text.Seeds = "pa-2:7000" },
		"no platform": func(text *configurer.Text) { text.Platform = "10.0.0.9" },
	} {
		text := complete()
		spoil(&text)
		_, err := text.Check()
		var failure *configurer.Error
		require.ErrorAs(t, err, &failure, name)
		require.Equal(t, configurer.KindInvalid, failure.Kind)
	}
}

func TestFlagsGoBeforeTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "host.yaml")
	require.NoError(t, os.WriteFile(path, []byte("name: from-file\nadmin: 127.0.0.1:1\n"), 0o600))
	file, err := configurer.ReadFile(path)
	require.NoError(t, err)
	text := configurer.Text{Name: "from-flag"}.Over(file)
	require.Equal(t, "from-flag", text.Name)
	require.Equal(t, "127.0.0.1:1", text.Admin)

	require.NoError(t, os.WriteFile(path, []byte("unheardOf: typo\n"), 0o600))
	_, err = configurer.ReadFile(path)
	require.ErrorContains(t, err, "unheardOf")
	_, err = configurer.ReadFile(filepath.Join(t.TempDir(), "missing"))
	require.Error(t, err)
}
