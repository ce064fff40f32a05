package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const treeYAML = `version: 1
peerKeys: [a-key-for-these-tests]
defaults:
  weight: 100
regions:
  sicily:
    returnPrefix: fd00:51c1::/64
    defaults: {slots: 3}
    availabilityZones:
      pa-hall:
        defaults: {connections: 1500}
        hosts:
          pa-1: {address: 10.0.0.1:7000, fabricAddress: 10.0.0.1:7001}
    services:
      ledger:
        id: 1
        tenant: consorzio
        address: 10.1.0.1:5683
        targets:
          ledger-01: {availabilityZone: pa-hall, address: 10.2.0.1:5683, weight: 50}
`

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func runSpanctl(args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	code = run(context.Background(), append([]string{"spanctl"}, args...), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// commandTest is a command line with its expected exit code and parts of its output.
type commandTest struct {
	name     string
	args     []string
	code     int
	contains []string
}

func runCommandTests(t *testing.T, tests []commandTest) {
	t.Helper()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			code, out, errOut := runSpanctl(test.args...)
			require.Equal(t, test.code, code, errOut)
			for _, part := range test.contains {
				require.Contains(t, out, part)
			}
			if code != exitOK {
				require.NotEmpty(t, errOut)
			}
		})
	}
}

func TestCommands(t *testing.T) {
	valid := writeFile(t, "tree.yaml", treeYAML)
	// The same tree, except that ledger-01 has no weight and is draining.
	drained := writeFile(t, "drained.yaml", treeYAML[:len(treeYAML)-1-len("weight: 50}")]+"state: draining}\n")
	broken := writeFile(t, "broken.yaml", treeYAML+"          ledger-02: {availabilityZone: nowhere, address: 10.2.0.1:5683, slots: 0, colour: red}\n")
	tests := []commandTest{
		{"check valid", []string{"check", valid}, exitOK, []string{"valid: 1 hosts, 1 services, 1 targets"}},
		{"check reports all", []string{"check", broken}, exitInvalid, []string{"nowhere", "stands at", `"0" does not fit`, "colour: unknown key", "broken.yaml:21"}},
		{"check as JSON", []string{"--output", "json", "check", broken}, exitInvalid, []string{`"problem": "unknown key"`, `"line": 21`}},
		{"explain", []string{"explain", valid, "ledger-01"}, exitOK, []string{
			"weight", "50", "regions.sicily.services.ledger.targets.ledger-01",
			"slots", "regions.sicily.defaults", "connections", "1500", "pa-hall.defaults", "built in",
		}},
		{"explain unknown", []string{"explain", valid, "nobody"}, exitInvalid, nil},
		{"diff", []string{"diff", valid, drained}, exitOK, []string{"state: active -> draining", "weight: 50 -> 100", "warning: a draining target gets no new flows"}},
		{"diff of the same", []string{"diff", valid, valid}, exitOK, []string{"no change"}},
		{"status of nobody", []string{"status", "127.0.0.1:1"}, exitUnreachable, []string{"127.0.0.1:1"}},
		{"wrong format", []string{"--output", "xml", "check", valid}, exitUsage, nil},
		{"missing file", []string{"check", "/does/not/exist"}, exitUsage, nil},
		{"missing argument", []string{"explain", valid}, exitUsage, nil},
	}
	runCommandTests(t, tests)
}

func TestShellCompletion(t *testing.T) {
	code, out, _ := runSpanctl("completion", "bash")
	require.Equal(t, exitOK, code)
	require.Contains(t, out, "spanctl")
}

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"sicily.yaml", "tasmania.yaml"} {
		code, out, errOut := runSpanctl("check", filepath.Join("..", "examples", name))
		require.Equal(t, exitOK, code, errOut)
		require.Contains(t, out, "8 hosts, 2 services, 18 targets")
	}
}

const publishedBefore = `{"version":7,"routes":[
{"name":"r-a","host":"198.18.0.1","prefix":"/8443/","type":"idempotent","timeout_ms":2500,"service":"ledger"},
{"name":"r-b","host":"198.18.0.2","prefix":"/8443/","type":"upload","timeout_ms":5000,"service":"intake"}]}`

const publishedAfter = `{"version":9,"routes":[
{"name":"r-a","host":"198.18.0.1","prefix":"/8443/","type":"idempotent","timeout_ms":2000,"service":"ledger"},
{"name":"r-c","host":"198.18.0.3","prefix":"/443/","type":"upload","timeout_ms":5000,"service":"intake"}]}`

func TestRoutes(t *testing.T) {
	before, after := writeFile(t, "before.json", publishedBefore), writeFile(t, "after.json", publishedAfter)
	code, out, _ := runSpanctl("routes", before)
	require.Equal(t, exitOK, code)
	require.Contains(t, out, "version 7")
	require.Contains(t, out, "198.18.0.1:8443")
	code, out, _ = runSpanctl("routes", before, after)
	require.Equal(t, exitOK, code)
	require.Contains(t, out, "timeout: 2.5s -> 2s")
	require.Contains(t, out, "removed")
	require.Contains(t, out, "added at 198.18.0.3:443")
	code, _, errOut := runSpanctl("routes", writeFile(t, "bad.json", `{"version":7,"routes":[{"name":"r-a","host":"here"}]}`))
	require.Equal(t, exitInvalid, code)
	require.Contains(t, errOut, "r-a")
	code, _, _ = runSpanctl("routes")
	require.Equal(t, exitUsage, code)
}

// check, explain and diff accept published settings as well as settings trees.
func TestCommandsOnPublishedSettings(t *testing.T) {
	before, after := writeFile(t, "before.json", publishedBefore), writeFile(t, "after.json", publishedAfter)
	invalid := writeFile(t, "odd.json", `{"version":7,"services":[{"name":"ledger","health_check_path":"/well"}],"routes":[
{"name":"r-a","host":"198.18.0.1","prefix":"/443/","type":"later","timeout_ms":2500,"service":"ledger"},
{"name":"r-b","host":"198.18.0.1","prefix":"/443/","type":"upload","timeout_ms":2500,"service":"nobody"},
{"name":"r-c","host":"here"}]}`)
	tree := writeFile(t, "tree.yaml", treeYAML)
	tests := []commandTest{
		{"check valid", []string{"check", before}, exitOK, []string{"valid: version 7, 2 routes"}},
		{"check reports all", []string{"check", invalid}, exitInvalid, []string{`unknown type "later"`, "the rest of the route is in force", "as the version before had it", "198.18.0.1:443 is the address of r-a, too", "service nobody is not listed", "r-c"}},
		{"check no JSON", []string{"check", writeFile(t, "broken.json", `{"version":`)}, exitInvalid, nil},
		{"explain a route", []string{"explain", before, "r-a"}, exitOK, []string{"2.5s", "routes.r-a", "idempotent", "built in"}},
		{"explain an address", []string{"explain", before, "198.18.0.2:8443"}, exitOK, []string{"upload"}},
		{"explain a service", []string{"explain", invalid, "ledger"}, exitOK, []string{"r-a at 198.18.0.1:443", "/well", "services.ledger"}},
		{"explain unknown", []string{"explain", before, "nobody"}, exitInvalid, nil},
		{"diff", []string{"diff", before, after}, exitOK, []string{"timeout: 2.5s -> 2s", "removed", "added at 198.18.0.3:443"}},
		{"diff of the same", []string{"diff", before, before}, exitOK, []string{"no change"}},
		{"diff of two sorts", []string{"diff", tree, after}, exitUsage, nil},
	}
	runCommandTests(t, tests)
}

func TestQuotas(t *testing.T) {
	file := writeFile(t, "host.yaml", "name: a1\nquotas:\n- {prefix: 203.0.113.0/24, requestsPerSecond: 50}\n- {route: read, requestsPerSecond: 200}\n- {prefix: 198.51.100.7, route: check, requestsPerSecond: 5}\n")
	broken := writeFile(t, "broken.yaml", "quotas:\n- {requestsPerSecond: 50}\n")
	runCommandTests(t, []commandTest{
		{"all", []string{"quotas", file}, exitOK, []string{"203.0.113.0/24 on all routes", "all callers on route read", "198.51.100.7/32 on route check", "200 requests a second"}},
		{"of a caller", []string{"quotas", file, "203.0.113.9"}, exitOK, []string{"203.0.113.0/24 on all routes", "all callers on route read"}},
		{"of none", []string{"quotas", file, "here"}, exitUsage, nil},
		{"broken", []string{"quotas", broken}, exitInvalid, nil},
	})
	_, out, _ := runSpanctl("quotas", file, "203.0.113.9")
	require.NotContains(t, out, "198.51.100.7")
}

func TestTargets(t *testing.T) {
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		require.Equal(t, "/targets", r.URL.Path)
		_, _ = io.WriteString(w, `[{"target":"i-1","service":"ledger","slots":3,"avoided":"draining"},{"target":"i-2","service":"ledger","flows":4},{"target":"i-3"}]`)
	}))
	defer host.Close()
	admin := strings.TrimPrefix(host.URL, "http://")
	code, out, _ := runSpanctl("targets", admin)
	require.Equal(t, exitOK, code)
	require.Contains(t, out, "draining")
	require.Contains(t, out, "i-2")
	require.NotContains(t, out, "i-3")
	code, out, _ = runSpanctl("targets", admin, "127.0.0.1:1")
	require.Equal(t, exitUnreachable, code)
	require.Contains(t, out, "i-2", "one silent host does not hide the others")
	code, _, _ = runSpanctl("targets")
	require.Equal(t, exitUsage, code)
}

func TestSyncStatus(t *testing.T) {
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		require.Equal(t, "/knowledge", r.URL.Path)
		_, _ = io.WriteString(w, `{"host":"edge-7","version":12,"settingsFrom":"edge-3","settingsAge":1234000000,"revision":130,"targetsConfirmedBy":"platform","rank":4,"live":294,"platformLost":true,"ordersRevision":131,"evacuated":["pa-hall"]}`)
	}))
	defer host.Close()
	code, out, _ := runSpanctl("knowledge", strings.TrimPrefix(host.URL, "http://"), "127.0.0.1:1")
	require.Equal(t, exitUnreachable, code)
	for _, part := range []string{"edge-7", "12", "edge-3", "1.23s", "130", "platform", "294", "lost", "pa-hall"} {
		require.Contains(t, out, part)
	}
	code, _, _ = runSpanctl("knowledge")
	require.Equal(t, exitUsage, code)
}
