// Package reloader notices that a host's settings file may have changed: at
// SIGHUP, and by the file's time of change, since nobody has to send a signal.
package reloader

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// pollInterval is how often the file's time of change is read, by one system call;
// settings that change without a signal are in no hurry.
const pollInterval = 2 * time.Second

// Reloader watches one file.
type Reloader struct {
	path        string
	changed     chan string
	signals     chan os.Signal
	lastModTime time.Time
}

// New takes over SIGHUP, which otherwise ends the process.
func New(path string) *Reloader {
	r := &Reloader{path: path, changed: make(chan string, 1), signals: make(chan os.Signal, 1)}
	signal.Notify(r.signals, syscall.SIGHUP)
	r.lastModTime, _ = r.modTime()
	return r
}

// Changed delivers the cause whenever the file should be read again.
func (r *Reloader) Changed() <-chan string { return r.changed }

// Run watches until the context ends, and reports its end.
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

// poll compares the file's time of change. A file that is missing for a moment,
// while it is replaced, is looked at again at the next round.
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

// notify hands the cause on; one that waits already is enough.
func (r *Reloader) notify(cause string) {
	select {
	case r.changed <- cause:
	default:
	}
}
