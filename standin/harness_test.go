package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cranberryspan.dev/core/driver"
	"cranberryspan.dev/core/reducer"
	"cranberryspan.dev/core/resolver"
	"cranberryspan.dev/standin/internal/loader"
	"cranberryspan.dev/standin/internal/responder"
	"github.com/stretchr/testify/require"
)

// buildBinaries builds the balancer and standin programs once for all tests.
var buildBinaries = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "cranberryspan")
	if err != nil {
		return "", err
	}
	for _, program := range []string{"balancer", "standin"} {
		build := exec.Command("go", "build", "-o", filepath.Join(dir, program), ".")
		build.Dir = filepath.Join("..", program)
		if out, err := build.CombinedOutput(); err != nil {
			return "", fmt.Errorf("build %s: %w: %s", program, err, out)
		}
	}
	return dir, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if dir, err := buildBinaries(); err == nil {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

// testSystem is a complete system of real processes on its own loopback addresses.
type testSystem struct {
	t            *testing.T
	addressBlock int
	binDir       string
	settingsPath string
	settings     *resolver.Settings
	hosts        []*process
}

type process struct {
	name         string
	adminAddress string
	args         []string
	cmd          *exec.Cmd
	exited       chan struct{}
	log          *lockedBuffer
}

type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// startTestSystem starts five hosts in two zones. Tests that run in parallel need different
// address blocks.
func startTestSystem(t *testing.T, block int) *testSystem {
	t.Helper()
	bin, err := buildBinaries()
	require.NoError(t, err)
	s := &testSystem{t: t, addressBlock: block, binDir: bin, settingsPath: filepath.Join(t.TempDir(), "tree.yaml")}
	document := s.document()
	s.settings = driver.MustResolve(document)
	require.NoError(t, os.WriteFile(s.settingsPath, document, 0o600))
	s.start("platform", "", filepath.Join(bin, "standin"), "platform", "--settings", s.settingsPath, "--listen", s.address(1, 8400))
	s.start("fabric", "", filepath.Join(bin, "standin"), "fabric", "--settings", s.settingsPath, "--listen", s.address(1, 8500), "--control", s.address(1, 8501))
	s.start("target", "", filepath.Join(bin, "standin"), "target", "--settings", s.settingsPath, "--control", s.address(1, 8600), "--notifyEvery", "100ms")
	for i, host := range s.settings.Hosts {
		admin := s.address(1, 8701+i)
		s.hosts = append(s.hosts, s.start(host.Name, admin, filepath.Join(bin, "balancer"),
			"--name", host.Name, "--address", host.Address.String(), "--fabricAddress", host.FabricAddress.String(),
			"--fabric", s.address(1, 8500), "--platform", "http://"+s.address(1, 8400), "--admin", admin))
	}
	t.Cleanup(func() {
		if t.Failed() {
			for _, p := range s.hosts {
				t.Logf("%s:\n%s", p.name, p.log)
			}
		}
	})
	for _, p := range s.hosts {
		s.waitReady(p)
	}
	return s
}

func (s *testSystem) address(last, port int) string {
	return fmt.Sprintf("127.0.%d.%d:%d", s.addressBlock, last, port)
}

// document returns the settings tree, with six targets of ledger and two of intake. The targets
// named by draining are in state "draining".
func (s *testSystem) document(draining ...string) []byte {
	var b strings.Builder
	b.WriteString("version: 1\npeerKeys: [a-key-for-these-tests]\ndefaults: {exchangeLifetime: 9s, slots: 8}\nregions:\n  r:\n    returnPrefix: fd00:1::/64\n    availabilityZones:\n")
	n := 10
	for _, zone := range []struct {
		name  string
		hosts int
	}{{"a", 3}, {"b", 2}} {
		fmt.Fprintf(&b, "      %s:\n        hosts:\n", zone.name)
		for i := range zone.hosts {
			n++
			fmt.Fprintf(&b, "          %s%d: {address: \"%s\", fabricAddress: \"%s\"}\n", zone.name, i+1, s.address(n, 7000), s.address(n, 7001))
		}
	}
	b.WriteString("    services:\n")
	for id, service := range []struct {
		name    string
		targets int
	}{{"ledger", 6}, {"intake", 2}} {
		fmt.Fprintf(&b, "      %s:\n        id: %d\n        tenant: t\n        address: \"%s\"\n        targets:\n", service.name, id+1, s.address(30+id, 5683))
		for i := range service.targets {
			name := fmt.Sprintf("%s-%d", service.name, i+1)
			state := "active"
			for _, d := range draining {
				if d == name {
					state = "draining"
				}
			}
			fmt.Fprintf(&b, "          %s: {availabilityZone: a, address: \"%s\", state: %s}\n", name, s.address(40+10*id+i, 5683), state)
		}
	}
	return []byte(b.String())
}

func (s *testSystem) start(name, admin string, args ...string) *process {
	s.t.Helper()
	p := &process{name: name, adminAddress: admin, args: args, log: &lockedBuffer{}}
	s.launch(p)
	s.t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.exited
	})
	return p
}

// launch starts a process, or starts it again after it has exited.
func (s *testSystem) launch(p *process) {
	s.t.Helper()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	require.NoError(s.t, p.cmd.Start())
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(p.cmd, p.exited)
}

func (s *testSystem) waitReady(p *process) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		response, err := http.Get("http://" + p.adminAddress + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, time.Minute, 100*time.Millisecond, "%s is not ready", p.name)
}

func (s *testSystem) signal(p *process, signal syscall.Signal) {
	s.t.Helper()
	require.NoError(s.t, p.cmd.Process.Signal(signal))
}

func (s *testSystem) postControl(port int, path, body string) {
	s.t.Helper()
	response, err := http.Post("http://"+s.address(1, port)+path, "text/plain", strings.NewReader(body))
	require.NoError(s.t, err)
	require.NoError(s.t, response.Body.Close())
	require.Equal(s.t, http.StatusOK, response.StatusCode)
}

func (s *testSystem) status(p *process) (reducer.Snapshot, error) {
	var snapshot reducer.Snapshot
	response, err := http.Get("http://" + p.adminAddress + "/status")
	if err != nil {
		return snapshot, err
	}
	defer func() { _ = response.Body.Close() }()
	return snapshot, json.NewDecoder(response.Body).Decode(&snapshot)
}

func (s *testSystem) metrics(p *process) string {
	s.t.Helper()
	response, err := http.Get("http://" + p.adminAddress + "/metrics")
	require.NoError(s.t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(s.t, err)
	return string(text)
}

// waitRevisionInForce waits until a revision is in force at all of the given hosts.
func (s *testSystem) waitRevisionInForce(revision uint64, hosts ...*process) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		for _, p := range hosts {
			if snapshot, err := s.status(p); err != nil || snapshot.Revision != revision {
				return false
			}
		}
		return true
	}, 9*time.Second, 50*time.Millisecond, "revision %d is not in force everywhere", revision)
}

// runLoad runs callers, calls disrupt one second after their start, and returns their report.
func (s *testSystem) runLoad(duration time.Duration, disrupt func()) loader.Report {
	s.t.Helper()
	config := loader.Config{
		Workloads: []loader.Workload{
			{Kind: loader.KindStream, Service: "ledger", Flows: 20},
			{Kind: loader.KindCheck, Service: "ledger", Flows: 20},
			{Kind: loader.KindUpload, Service: "intake", Flows: 4},
		},
		Duration:               duration,
		ThinkTime:              50 * time.Millisecond,
		NotifyInterval:         100 * time.Millisecond,
		UploadBlocks:           12,
		TargetControlAddresses: []string{s.address(1, 8600)},
	}
	var report loader.Report
	var err error
	var running sync.WaitGroup
	running.Go(func() { report, err = loader.New(config, s.settings).Run(context.Background()) })
	time.Sleep(time.Second)
	disrupt()
	running.Wait()
	require.NoError(s.t, err)
	s.t.Logf("\n%s", report)
	return report
}

func (s *testSystem) targetReport() responder.Report {
	s.t.Helper()
	response, err := http.Get("http://" + s.address(1, 8600) + "/report")
	require.NoError(s.t, err)
	defer func() { _ = response.Body.Close() }()
	var report responder.Report
	require.NoError(s.t, json.NewDecoder(response.Body).Decode(&report))
	return report
}

func dialUDP(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("udp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}
