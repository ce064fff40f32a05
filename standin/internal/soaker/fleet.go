package soaker

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"cranberryspan.dev/platform/platformtest"
	"cranberryspan.dev/standin/internal/router"
)

// The ports of every host and of its store server. They are the same for all hosts, since each
// host has its own addresses.
const (
	peerPort   = 18166
	readyPort  = 18167
	packetPort = 18172
	adminPort  = 18160
	storePort  = 18169
)

// process is one host, which runs as a process.
type process struct {
	router.Host
	listenAddress     netip.AddrPort
	advertisedAddress netip.AddrPort
	settingsPath      string
	logPath           string
	proxy             *proxy

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// fleet holds the hosts of a run and their store.
type fleet struct {
	balancerPath string
	dir          string
	addressBlock int
	store        *platformtest.Store
	hosts        []*process
	storeServers []*http.Server
	serving      sync.WaitGroup
	mu           sync.Mutex
	problems     []string
}

// address returns an address of this run: 127.addressBlock.(zone+1).n. Addresses that belong to no
// zone have a zone number from 100: those of targets count up from 100, those of the callers of
// checkVersionInForce have 150, those of store servers 200.
func (f *fleet) address(zone, n int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(f.addressBlock), byte(zone + 1), byte(n)}), port)
}

func zoneName(zone int) string { return string(rune('a' + zone)) }

// newFleet writes the hosts' settings files and starts their proxies and store servers, one of
// each for every host. It does not start the hosts.
func newFleet(ctx context.Context, config Config, dir string) (*fleet, error) {
	f := &fleet{balancerPath: config.BalancerPath, dir: dir, addressBlock: config.AddressBlock, store: platformtest.NewStore()}
	for zone, count := range config.HostsPerZone {
		for n := 1; n <= count; n++ {
			if err := f.addHost(ctx, zone, n); err != nil {
				return nil, err
			}
		}
	}
	var seeds []string
	for _, h := range f.hosts[:min(3, len(f.hosts))] {
		seeds = append(seeds, h.advertisedAddress.String())
	}
	for i, h := range f.hosts {
		if err := h.writeSettings(f.storeAddress(i), seeds); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) storeAddress(i int) netip.AddrPort { return f.address(200, i+1, storePort) }

func (f *fleet) addHost(ctx context.Context, zone, n int) error {
	name := fmt.Sprintf("%s%d", zoneName(zone), n)
	h := &process{
		Host:              router.Host{Name: name, Zone: zoneName(zone), PacketAddress: f.address(zone, n, packetPort), ReadyAddress: f.address(zone, n, readyPort)},
		listenAddress:     f.address(zone, n, peerPort),
		advertisedAddress: f.address(zone, n+100, peerPort),
		settingsPath:      filepath.Join(f.dir, name+".yaml"),
		logPath:           filepath.Join(f.dir, name+".log"),
	}
	var err error
	if h.proxy, err = newProxy(ctx, h.advertisedAddress, h.listenAddress); err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", f.storeAddress(len(f.hosts)).String())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: f.store.Handler(name), ReadHeaderTimeout: time.Second}
	f.storeServers = append(f.storeServers, server)
	f.serving.Go(func() { _ = server.Serve(listener) }) // Returns when killAll closes the server.
	f.hosts = append(f.hosts, h)
	return nil
}

// writeSettings writes the host's settings file.
func (h *process) writeSettings(storeAddress netip.AddrPort, seeds []string) error {
	text := fmt.Sprintf(`name: %s
availabilityZone: %s
address: %s
advertisedAddress: %s
packetAddress: %s
readyAddress: %s
adminAddress: %s
platform: %s
seeds: %q
memoryMegabytes: 128
forwarding: echo
settingsWithin: 3s
drainingWithin: 3s
`, h.Name, h.Zone, h.listenAddress, h.advertisedAddress, h.PacketAddress, h.ReadyAddress, netip.AddrPortFrom(h.listenAddress.Addr(), adminPort), storeAddress, strings.Join(seeds, ","))
	return os.WriteFile(h.settingsPath, []byte(text), 0o600)
}

// start starts a host unless it is running, since an overlapping fault may have started it.
func (f *fleet) start(h *process) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.running() {
		return nil
	}
	log, err := os.OpenFile(h.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.cmd = exec.Command(f.balancerPath, "flows", "--config", h.settingsPath)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.exited = exited
	cmd := h.cmd
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		if cmd.ProcessState.Exited() && err != nil {
			f.addProblem("%s exited with an error: %v", h.Name, err)
		}
		close(exited)
	}()
	return nil
}

func (f *fleet) addProblem(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.problems = append(f.problems, fmt.Sprintf(format, args...))
}

// signal sends a signal to the host's process, if it was ever started.
func (h *process) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(s) // The process may have exited.
	}
}

// running reports whether the process is running; the caller must hold mu.
func (h *process) running() bool {
	if h.exited == nil {
		return false
	}
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// exitsWithin waits until the process exits and reports whether it does so within the given time.
func (h *process) exitsWithin(within time.Duration) bool {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(within):
		return false
	}
}

// killAll kills all hosts, stops their proxies and store servers, and releases their addresses
// for the next run.
func (f *fleet) killAll() {
	for _, h := range f.hosts {
		h.signal(syscall.SIGKILL)
	}
	for _, h := range f.hosts {
		h.exitsWithin(5 * time.Second)
		h.proxy.close()
	}
	for _, server := range f.storeServers {
		_ = server.Close()
	}
	f.serving.Wait()
}
