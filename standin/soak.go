package main

import (
	"context"
	"fmt"
	"time"

	"cranberryspan.dev/standin/internal/soaker"
	"github.com/urfave/cli/v3"
)

// soakCommand returns the soak command, which runs real hosts under random faults.
func soakCommand() *cli.Command {
	return &cli.Command{
		Name: "soak", Usage: "run real hosts under load and random faults, and check their guarantees", Action: runSoak,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Value: "bin/cranberryspan", Usage: "path of the balancer's binary"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the first run"},
			&cli.IntFlag{Name: "runs", Value: 1, Usage: "number of runs, with consecutive seeds"},
			&cli.DurationFlag{Name: "duration", Value: 20 * time.Second, Usage: "how long faults are injected"},
			&cli.IntSliceFlag{Name: "zones", Value: []int{3, 3, 2}, Usage: "number of hosts in each availability zone"},
			&cli.IntFlag{Name: "callers", Value: 6, Usage: "number of callers in each zone"},
			&cli.IntFlag{Name: "targets", Value: 9, Usage: "number of targets of the larger service"},
			&cli.IntFlag{Name: "block", Value: 40, Usage: "second byte of all addresses; concurrent runs need different ones"},
			&cli.StringSliceFlag{Name: "only", Usage: "names of the faults to inject; all if none is given"},
			&cli.BoolFlag{Name: "later", Value: true, Usage: "also inject the second set of faults"},
			&cli.BoolFlag{Name: "newest", Value: true, Usage: "also inject the second and the third set of faults"},
			&cli.BoolFlag{Name: "orders", Value: true, Usage: "also evacuate zones"},
			&cli.BoolFlag{Name: "restores", Value: true, Usage: "also restore the store from a backup"},
			&cli.BoolFlag{Name: "cuts", Usage: "also cut targets off while they go on working, and keep idle flows"},
			&cli.DurationFlag{Name: "gap", Value: 700 * time.Millisecond, Usage: "mean time between the starts of two faults"},
		},
	}
}

func runSoak(ctx context.Context, command *cli.Command) error {
	clean := true
	for i := range command.Int("runs") {
		report, err := soaker.Run(ctx, soaker.Config{
			Seed: command.Uint64("seed") + uint64(i), Duration: command.Duration("duration"), BalancerPath: command.String("program"),
			HostsPerZone: command.IntSlice("zones"), CallersPerZone: command.Int("callers"), LedgerTargets: command.Int("targets"),
			SecondFaultSet: command.Bool("later"), ThirdFaultSet: command.Bool("newest"), ZoneEvacuations: command.Bool("orders"), StoreRestores: command.Bool("restores"), TargetCuts: command.Bool("cuts"),
			AddressBlock: command.Int("block"), OnlyFaults: command.StringSlice("only"), MeanFaultInterval: command.Duration("gap"),
		})
		if err != nil {
			return err
		}
		fmt.Println(report)
		clean = clean && len(report.Problems) == 0
	}
	if !clean {
		return cli.Exit("the soak test found problems", exitRunFailed)
	}
	return nil
}
