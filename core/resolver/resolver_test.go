package resolver_test

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"cranberryspan.dev/core/resolver"
	"github.com/stretchr/testify/require"
)

const validDocument = `version: 1
peerKeys: [an-old-key-of-some-length, a-new-key-of-some-length]
defaults: {slots: 2, requestDeadline: 4s}
regions:
  sicily:
    returnPrefix: fd00:51c1::/64
    availabilityZones:
      pa-hall:
        hosts:
          pa-1: {address: 10.0.0.1:7000, fabricAddress: 10.0.0.1:7001}
    services:
      ledger:
        id: 1
        tenant: consorzio
        address: 10.1.0.1:5683
        slots: 3
        targets:
          ledger-01: {availabilityZone: pa-hall, address: 10.2.0.1:5683}
          ledger-02: {availabilityZone: pa-hall, address: 10.2.0.2:5683, slots: 5}
`

func TestInvalidDocumentFindings(t *testing.T) {
	tests := []struct {
		name     string
		from, to string
		problem  string
	}{
		{"unknown key", "tenant: consorzio", "tenant: consorzio\n        color: red", "unknown key"},
		{"wrong type", "slots: 3", "slots: [3]", "does not fit"},
		{"out of range", "slots: 5", "slots: 0", "does not fit"},
		{"bad duration", "requestDeadline: 4s", "requestDeadline: soon", "does not fit"},
		{"dangling zone", "ledger-01: {availabilityZone: pa-hall", "ledger-01: {availabilityZone: ct-hall", "no availability zone"},
		{"duplicate address", "10.2.0.2:5683", "10.2.0.1:5683", "the address stands at"},
		{"service on a target's address", "address: 10.1.0.1:5683", "address: 10.2.0.1:5683", "the address stands at"},
		{"duplicate key", "id: 1", "id: 1\n        id: 2", "duplicate key"},
		{"missing tenant", "        tenant: consorzio\n", "", "tenant is missing"},
		{"host without address", "pa-1: {address: 10.0.0.1:7000, ", "pa-1: {", "address is missing"},
		{"name instead of number", "10.0.0.1:7001", "fabric.example:7001", "does not fit"},
		{"short prefix", "fd00:51c1::/64", "fd00:51c1::/48", "does not fit"},
		{"missing prefix", "    returnPrefix: fd00:51c1::/64\n", "", "returnPrefix is missing"},
		{"no mapping", "regions:\n", "regions: 7\nelsewhere:\n", "not a mapping"},
		{"no keys", "peerKeys: [an-old-key-of-some-length, a-new-key-of-some-length]\n", "", "peerKeys is missing"},
		{"short key", "a-new-key-of-some-length", "short", "the key is too short"},
		{"version", "version: 1", "version: 2", "unknown version"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Contains(t, validDocument, test.from)
			_, err := resolver.Resolve("tree.yaml", []byte(strings.Replace(validDocument, test.from, test.to, 1)))
			var failure *resolver.Error
			require.ErrorAs(t, err, &failure)
			require.Equal(t, resolver.KindInvalid, failure.Kind)
			require.Contains(t, err.Error(), test.problem)
			for _, f := range failure.Findings {
				require.NotZero(t, f.Line, f)
				require.NotEmpty(t, f.Expected)
				require.NotEmpty(t, f.Fix)
			}
		})
	}
}

func TestOversizedAndMalformedDocumentsAreRejected(t *testing.T) {
	_, err := resolver.Resolve("t", make([]byte, 2<<20))
	var failure *resolver.Error
	require.ErrorAs(t, err, &failure)
	require.Equal(t, resolver.KindTooLarge, failure.Kind)
	_, err = resolver.Resolve("t", []byte("a: [b"))
	require.ErrorAs(t, err, &failure)
	require.Equal(t, resolver.KindSyntax, failure.Kind)
	_, err = resolver.Resolve("t", nil)
	require.ErrorAs(t, err, &failure)
}

// Guards against peer keys in logs or in the output of explain: when settings are printed,
// logged or encoded, a key that is a plain string is shown.
func TestPeerKeysAreNeverPrinted(t *testing.T) {
	settings, err := resolver.Resolve("t", []byte(validDocument))
	require.NoError(t, err)
	require.Len(t, settings.PeerKeys, 2)
	require.NotContains(t, fmt.Sprintf("%v %+v %s", settings, settings.PeerKeys, settings.PeerKeys[0]), "some-length")
	text, err := settings.PeerKeys[0].MarshalText()
	require.NoError(t, err)
	require.NotContains(t, string(text), "some-length")
}

func TestPolicyInheritance(t *testing.T) {
	settings, err := resolver.Resolve("t", []byte(validDocument))
	require.NoError(t, err)
	targets := settings.Services[0].Targets
	require.Equal(t, 3, targets[0].Policy.Slots)
	require.Equal(t, 5, targets[1].Policy.Slots)
	require.Equal(t, "4s", targets[0].Policy.RequestDeadline.String())
}

func TestDiffWarnings(t *testing.T) {
	resolve := func(text string) *resolver.Settings {
		settings, err := resolver.Resolve("t", []byte(text))
		require.NoError(t, err)
		return settings
	}
	before := resolve(validDocument)
	tests := []struct {
		name, from, to, warning string
	}{
		{"drain", "slots: 5", "state: draining", "gets no new flows"},
		{"new prefix", "fd00:51c1::/64", "fd00:2::/64", "every stream and upload breaks"},
		{"new service address", "10.1.0.1:5683", "10.1.0.9:5683", "no longer served"},
		{"new target address", "10.2.0.2:5683", "10.2.0.9:5683", "flows on the old address break"},
		{"target gone", "          ledger-02: {availabilityZone: pa-hall, address: 10.2.0.2:5683, slots: 5}\n", "", "set state: draining first"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			after := resolve(strings.Replace(validDocument, test.from, test.to, 1))
			var warnings []string
			for _, c := range resolver.Diff(before, after) {
				warnings = append(warnings, c.Warning)
			}
			require.Contains(t, strings.Join(warnings, "; "), test.warning)
		})
	}
}

func FuzzResolve(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add([]byte("version: 1\nregions: {a: {services: {s: {targets: {t: null}}}}}"))
	f.Add([]byte("&a [*a]"))
	f.Add([]byte("a: &x {b: *x}"))
	f.Fuzz(func(t *testing.T, document []byte) {
		settings, err := resolver.Resolve("fuzz", document)
		var failure *resolver.Error
		if err != nil && !errors.As(err, &failure) {
			t.Fatalf("an error of another type: %T", err)
		}
		if err == nil && len(settings.Hosts) == 0 {
			t.Fatal("a valid tree without hosts")
		}
	})
}

func FuzzFlowKey(f *testing.F) {
	f.Add(uint32(0x0a010203), uint16(40000), uint16(1))
	f.Fuzz(func(t *testing.T, ip uint32, port, service uint16) {
		caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{byte(ip >> 24), byte(ip >> 16), byte(ip >> 8), byte(ip)}), port)
		key, ok := resolver.NewFlowKey(caller, resolver.ServiceID(service))
		prefix := netip.MustParsePrefix("fd00:51::/64")
		back := resolver.FlowKeyFromAddress(resolver.ReturnAddress(prefix, key))
		if !ok || back != key || back.Caller() != caller || back.Service() != resolver.ServiceID(service) {
			t.Fatalf("%v became %v", caller, back.Caller())
		}
	})
}

func ExampleReturnAddress() {
	caller := netip.MustParseAddrPort("10.1.2.3:40000")
	key, _ := resolver.NewFlowKey(caller, 1)
	address := resolver.ReturnAddress(netip.MustParsePrefix("fd00:51::/64"), key)
	fmt.Println(address)
	fmt.Println(resolver.FlowKeyFromAddress(address).Caller())
	// Output:
	// fd00:51::a01:203:9c40:1
	// 10.1.2.3:40000
}

func ExampleSettings_Explain() {
	settings, err := resolver.Resolve("tree.yaml", []byte(validDocument))
	if err != nil {
		panic(err)
	}
	values, _ := settings.Explain("ledger-02")
	for _, v := range values {
		if v.Key == "slots" || v.Key == "weight" {
			fmt.Println(v.Key, v.Value, v.Level, v.Line)
		}
	}
	// Output:
	// weight 100 built in 0
	// slots 5 regions.sicily.services.ledger.targets.ledger-02 19
}
