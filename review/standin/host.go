package main

import (
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

// host is a machine of the system, which runs the command of the deploy file.
type host struct {
	name, zone                     string
	control, packets, ready, admin netip.AddrPort
	settings                       string
	binary                         string
	log                            string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// writeSettings writes what the platform renders from platform/host.yaml.tmpl.
func (h *host) writeSettings(d *deployment) error {
	zones := make([]string, 0, len(d.zones))
	for _, z := range d.zones {
		zones = append(zones, fmt.Sprintf("%q: %q", z, d.region))
	}
	text := fmt.Sprintf(`name: %q
availabilityZone: %q
address: %q
packetAddress: %q
readyAddress: %q
adminAddress: %q
platform: %q
seeds: %q
memoryMegabytes: 280
linkMegabits: 200
forwarding: "echo"
settingsWithin: %dms
drainingWithin: %dms
%sregions: {%s}
firstStart: true
`, h.name, h.zone, h.control, h.packets, h.ready, h.admin, d.storeAddress, d.seeds(), d.configMs, d.drainMs, d.moreSettings, strings.Join(zones, ", "))
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.cmd = exec.Command(h.binary, "flows")
	h.cmd.Env = append(os.Environ(), "CRANBERRYSPAN_CONFIG="+h.settings)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.exited = exited
	cmd := h.cmd
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// end sends a signal and waits until the process has ended.
func (h *host) end(s syscall.Signal, within time.Duration) {
	h.mu.Lock()
	cmd, exited := h.cmd, h.exited
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(s)
	select {
	case <-exited:
	case <-time.After(within):
		_ = cmd.Process.Kill()
		<-exited
	}
}

// running reports whether the process runs.
func (h *host) running() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

func logPath(dir, name string) string { return filepath.Join(dir, name+".log") }
