// Command rig plays a case of the review: it starts the system's processes with the command of
// the deploy file, and stands in for the platform, the backends and the requesters.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// init ties the main goroutine to the main thread. The hosts are started from it, and the kernel
// ends them with the thread that started them, even if this process is killed.
func init() { runtime.LockOSThread() }

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", "", "root of the repository")
	folder := flag.String("folder", "", "folder of the case, for record.txt")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	play, known := cases[*name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return exitCannotRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return cannotRun(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	rec, err := newRecord(filepath.Join(*folder, "record.txt"))
	if err != nil {
		return cannotRun(err)
	}
	defer rec.flush()
	r, err := newRig(*root, dir, play.perSecond, rec)
	if err != nil {
		return cannotRun(err)
	}
	defer r.killAll()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		r.killAll()
		os.Exit(exitCannotRun)
	}()
	if err := r.start(); err != nil {
		return cannotRun(err)
	}
	r.startTraffic()
	play.run(r, *trouble)
	for _, h := range r.hosts {
		if h.hasExited() {
			rec.say("host %s has ended by itself", h.name)
		}
	}
	r.stop()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, h := range r.hosts {
			if text, err := os.ReadFile(h.logs); err == nil {
				_ = os.WriteFile(filepath.Join(keep, h.name+".log"), text, 0o600)
			}
		}
	}
	return r.verdict(play)
}

func cannotRun(err error) int {
	fmt.Fprintln(os.Stderr, "the case can't run:", err)
	return exitCannotRun
}

// verdict prints what was counted and returns the exit code.
func (r *rig) verdict(play scenario) int {
	twice := 0
	for _, n := range r.runs {
		if n > 1 {
			twice++
		}
	}
	r.record.say("requests by outcome: %v; run: %d, run twice: %d", r.results, len(r.runs), twice)
	const fewest = 500
	if r.results[succeeded.String()] < fewest {
		r.record.say("too few requests were served for a verdict")
		return exitCannotRun
	}
	if n := r.broken[play.rule]; n > 0 {
		r.record.say("%s broken, %d times", play.rule, n)
		return exitBroken
	}
	r.record.say("%s held", play.rule)
	return exitHeld
}
