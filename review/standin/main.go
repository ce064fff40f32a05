// Command standin plays a small installation around real hosts of the load balancer, and shows
// whether a rule holds: standin CASE BINARY RECORD. Its exit code is 1 if the rule was broken, 0 if
// it held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	cases := map[string]func(context.Context, *deployment, bool) (bool, error){
		"foreign-entry":  foreignEntry,
		"evacuated-zone": evacuatedZone,
	}
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE BINARY RECORD")
		return exitNotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	record, err := newRecorder(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Fprintln(os.Stderr, "logs:", dir)
	}
	d := &deployment{binary: args[1], dir: dir, record: record, store: newStore()}
	defer d.end()
	broken, err := cases[args[0]](ctx, d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.result("the case could not run: %v", err)
		return exitNotRun
	case broken:
		return exitBroken
	}
	return exitHeld
}
