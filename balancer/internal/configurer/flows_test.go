package configurer

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cranberryspan.dev/core/throttler"
	"github.com/stretchr/testify/require"
)

const validFlowFile = `name: a1
availabilityZone: a
address: 10.0.0.1:7000
packetAddress: 10.0.0.1:7001
readyAddress: 10.0.0.1:7002
adminAddress: 10.0.0.1:7003
platform: 10.0.9.9:80
seeds: 10.0.0.1:7000,10.0.0.2:7000
memoryMegabytes: 128
forwarding: echo
settingsWithin: 3000ms
drainingWithin: 3s
`

func readFlowText(t *testing.T, text string) (FlowConfig, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "host.yaml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return ReadFlowFile(path)
}

func TestReadFlowFile(t *testing.T) {
	config, err := readFlowText(t, validFlowFile)
	require.NoError(t, err)
	require.Equal(t, config.Address, config.AdvertisedAddress, "as long as nothing translates it")
	require.Len(t, config.Seeds, 2)
	require.Equal(t, 3*time.Second, config.SettingsPropagationLimit)
	require.Equal(t, int64(128<<20), config.MemoryBytes)
	require.False(t, config.Differs(config.WithSeeds(config.Seeds)))
	require.True(t, config.Differs(config.WithSeeds(nil)))
}

func TestReadFlowFileErrors(t *testing.T) {
	for _, test := range []struct{ old, replacement, wantErr string }{
		{"name: a1\n", "", "name is missing"},
		{"availabilityZone: a\n", "", "availabilityZone is missing"},
		{"10.0.0.1:7001", "here", `packetAddress: "here" is not an IP address and port`},
		{"memoryMegabytes: 128", "memoryMegabytes: 0", "memoryMegabytes"},
		{"memoryMegabytes: 128", "memoryMegabytes: 128\nlinkMegabits: -1", "linkMegabits"},
		{"forwarding: echo", "forwarding: tunnel", `forwarding: unknown mode "tunnel"`},
		{"settingsWithin: 3000ms", "settingsWithin: 3", `settingsWithin: "3" is not a duration`},
		{"10.0.0.2:7000", "b", `seeds: "b" is not an IP address`},
		{"name: a1", "title: a1", "title"},
		{"name: a1", "name: a1\nquotas:\n- {prefix: here, requestsPerSecond: 1}", `quotas[0]: prefix: "here" is no prefix`},
		{"name: a1", "name: a1\nquotas:\n- {route: read}", "requestsPerSecond: 0 is no rate above 0"},
	} {
		_, err := readFlowText(t, strings.Replace(validFlowFile, test.old, test.replacement, 1))
		require.ErrorContains(t, err, test.wantErr)
	}
}

func TestReadFlowFileQuotas(t *testing.T) {
	config, err := readFlowText(t, validFlowFile+"quotas:\n- prefix: 203.0.113.0/24\n  requestsPerSecond: 50\n- route: read\n  requestsPerSecond: 200\n")
	require.NoError(t, err)
	require.Equal(t, []throttler.Quota{
		{Prefix: netip.MustParsePrefix("203.0.113.0/24"), PerSecond: 50},
		{Route: "read", PerSecond: 200},
	}, config.Quotas)
}
