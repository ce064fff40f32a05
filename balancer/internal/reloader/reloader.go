// Package reloader detects that a host's settings file may have changed: at SIGHUP, and by
// polling the file's modification time, so that a signal is not required.
package reloader

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// pollInterval is how often the file's modification time is read, with one system call.
// Changes without a signal are not urgent.
const pollInterval = 2 * time.Second

// Reloader watches one file.
type Reloader struct {
	path        string
	changed     chan string
	signals     chan os.Signal
	lastModTime time.Time
}

// New returns a Reloader of the file at path. It handles SIGHUP, which would otherwise
// terminate the process.
func New(path string) *Reloader {
	r := &Reloader{path: path, changed: make(chan string, 1), signals: make(chan os.Signal, 1)}
	signal.Notify(r.signals, syscall.SIGHUP)
	r.lastModTime, _ = r.modTime()
	return r
}

// Changed returns a channel that receives the cause whenever the file should be reloaded.
func (r *Reloader) Changed() <-chan string { return r.changed }

// Run watches the file until the context is canceled. The returned channel then receives
// nil.
func (r *Reloader) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer signal.Stop(r.signals)
		ticker := time.NewTicker(pollInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				done <- nil
				return
			case <-r.signals:
				r.lastModTime, _ = r.modTime()
				r.notify("signal")
			case <-ticker.C:
				r.poll()
			}
		}
	}()
	return done
}

// poll reports a change if the file's modification time differs from the last one. A file
// that is missing, as it briefly is while being replaced, is checked again at the next poll.
func (r *Reloader) poll() {
	modTime, err := r.modTime()
	if err != nil || modTime.Equal(r.lastModTime) {
		return
	}
	r.lastModTime = modTime
	r.notify("fileChanged")
}

func (r *Reloader) modTime() (time.Time, error) {
	info, err := os.Stat(r.path)
	if err != nil {
		return time.Time{}, err
	}
	return info.ModTime(), nil
}

// notify sends the cause to Changed. It is dropped if another one is pending, since one
// reload covers both.
func (r *Reloader) notify(cause string) {
	select {
	case r.changed <- cause:
	default:
	}
}
