package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of each machine, which has an address of its own.
const (
	packetPort  = 18172
	readyPort   = 18167
	controlPort = 18166
	adminPort   = 18160
	storePort   = 18169
	backendPort = 18080
)

// host is one machine with a process of the system.
type host struct {
	name, zone    string
	address       netip.AddrPort
	packetAddress netip.AddrPort
	readyAddress  netip.AddrPort
	settings      string
	logs          string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// writeSettings fills in the fields of platform/host.yaml.tmpl.
func (h *host) writeSettings(r *rig, seeds []string, firstStart bool) error {
	zones := map[string]string{}
	for _, z := range zoneNames {
		zones[z] = region
	}
	regions, err := json.Marshal(zones)
	if err != nil {
		return err
	}
	limit := smallSiteLimit
	if r.perSecond > 0 {
		limit = grownSiteLimit
	}
	lines := []string{
		fmt.Sprintf("name: %q", h.name),
		fmt.Sprintf("availabilityZone: %q", h.zone),
		fmt.Sprintf("address: %q", h.address),
		fmt.Sprintf("packetAddress: %q", h.packetAddress),
		fmt.Sprintf("readyAddress: %q", h.readyAddress),
		fmt.Sprintf("adminAddress: %q", netip.AddrPortFrom(h.address.Addr(), adminPort)),
		fmt.Sprintf("platform: %q", r.storeAddress),
		fmt.Sprintf("seeds: %q", strings.Join(seeds, ",")),
		"memoryMegabytes: 284",
		"linkMegabits: 1000",
		`forwarding: "echo"`,
		fmt.Sprintf("settingsWithin: %dms", limit.Milliseconds()),
		fmt.Sprintf("drainingWithin: %dms", limit.Milliseconds()),
	}
	if r.perSecond > 0 {
		lines = append(lines, fmt.Sprintf("evacuatedWithin: %dms", limit.Milliseconds()),
			fmt.Sprintf("coldOverage: %g", warmUpOverage), fmt.Sprintf("coldAllowance: %g", warmUpAllowance))
	}
	lines = append(lines, "regions: "+string(regions), fmt.Sprintf("firstStart: %v", firstStart))
	return os.WriteFile(h.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// start starts the process with the command of the deploy file.
func (h *host) start(root string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	out, err := os.OpenFile(h.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(root, "target/cranberryspan"), "flows")
	cmd.Dir = root
	cmd.Env = []string{"CRANBERRYSPAN_CONFIG=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	exited := make(chan struct{})
	h.cmd, h.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process, if one runs.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	if exited != nil {
		select {
		case <-exited:
		case <-time.After(5 * time.Second):
		}
	}
}

// hasExited reports whether the process has ended by itself.
func (h *host) hasExited() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.exited:
		return true
	default:
		return false
	}
}
