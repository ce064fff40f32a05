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

// The ports of every host, each on an address of its own.
const (
	peerPort   = 18166
	readyPort  = 18167
	packetPort = 18172
	adminPort  = 18160
	storePort  = 18169
)

// process is one host, as a real process.
type process struct {
	router.Host
	real       netip.AddrPort
	advertised netip.AddrPort
	file       string
	log        string
	proxy      *proxy

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// fleet is the hosts of a run, with their store.
type fleet struct {
	program  string
	dir      string
	block    int
	store    *platformtest.Store
	hosts    []*process
	servers  []*http.Server
	ends     sync.WaitGroup
	mu       sync.Mutex
	problems []string
}

// at is an address of this run: 127.block.zone.n.
func (f *fleet) at(zone, n int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(f.block), byte(zone + 1), byte(n)}), port)
}

func zoneName(zone int) string { return string(rune('a' + zone)) }

// newFleet makes the hosts' files, proxies and stores; nothing runs yet.
func newFleet(ctx context.Context, config Config, dir string) (*fleet, error) {
	f := &fleet{program: config.Program, dir: dir, block: config.Block, store: platformtest.NewStore()}
	for zone, count := range config.Zones {
		for n := 1; n <= count; n++ {
			if err := f.addHost(ctx, zone, n); err != nil {
				return nil, err
			}
		}
	}
	var seeds []string
	for _, h := range f.hosts[:min(3, len(f.hosts))] {
		seeds = append(seeds, h.advertised.String())
	}
	for i, h := range f.hosts {
		if err := h.write(f.storeAddress(i), seeds); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) storeAddress(i int) netip.AddrPort { return f.at(200, i+1, storePort) }

func (f *fleet) addHost(ctx context.Context, zone, n int) error {
	name := fmt.Sprintf("%s%d", zoneName(zone), n)
	h := &process{
		Host:       router.Host{Name: name, Zone: zoneName(zone), Packet: f.at(zone, n, packetPort), Ready: f.at(zone, n, readyPort)},
		real:       f.at(zone, n, peerPort),
		advertised: f.at(zone, n+100, peerPort),
		file:       filepath.Join(f.dir, name+".yaml"),
		log:        filepath.Join(f.dir, name+".log"),
	}
	var err error
	if h.proxy, err = newProxy(ctx, h.advertised, h.real); err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", f.storeAddress(len(f.hosts)).String())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: f.store.Handler(name), ReadHeaderTimeout: time.Second}
	f.servers = append(f.servers, server)
	f.ends.Go(func() { _ = server.Serve(listener) }) // It ends with stop.
	f.hosts = append(f.hosts, h)
	return nil
}

// write writes the host's settings file.
func (h *process) write(store netip.AddrPort, seeds []string) error {
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
`, h.Name, h.Zone, h.real, h.advertised, h.Packet, h.Ready, netip.AddrPortFrom(h.real.Addr(), adminPort), store, strings.Join(seeds, ","))
	return os.WriteFile(h.file, []byte(text), 0o600)
}

// start starts a host. Faults overlap, so another may have started it already.
func (f *fleet) start(h *process) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.runs() {
		return nil
	}
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.cmd = exec.Command(f.program, "flows", "--config", h.file)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	h.done = done
	cmd := h.cmd
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		if cmd.ProcessState.Exited() && err != nil {
			f.problem("%s ended by itself: %v", h.Name, err)
		}
		close(done)
	}()
	return nil
}

func (f *fleet) problem(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.problems = append(f.problems, fmt.Sprintf(format, args...))
}

// signal sends a signal to a host's process, which this run has started.
func (h *process) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(s) // It may just have ended.
	}
}

// runs reports whether the process runs; the caller holds mu.
func (h *process) runs() bool {
	if h.done == nil {
		return false
	}
	select {
	case <-h.done:
		return false
	default:
		return true
	}
}

// ended reports whether the process ends within a time.
func (h *process) ended(within time.Duration) bool {
	h.mu.Lock()
	done := h.done
	h.mu.Unlock()
	if done == nil {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(within):
		return false
	}
}

// stop kills every host and frees all addresses, for the next run.
func (f *fleet) stop() {
	for _, h := range f.hosts {
		h.signal(syscall.SIGKILL)
	}
	for _, h := range f.hosts {
		h.ended(5 * time.Second)
		h.proxy.close()
	}
	for _, server := range f.servers {
		_ = server.Close()
	}
	f.ends.Wait()
}
