package main

import (
	"context"
	"fmt"
	"time"

	"cranberryspan.dev/standin/internal/soaker"
	"github.com/urfave/cli/v3"
)

// soakCommand runs real hosts under random faults.
func soakCommand() *cli.Command {
	return &cli.Command{
		Name: "soak", Usage: "run real hosts that steer flows under random faults, and check the promises", Action: runSoak,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Value: "bin/cranberryspan", Usage: "the balancer"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "of the first run"},
			&cli.IntFlag{Name: "runs", Value: 1, Usage: "how many runs, with seeds one after another"},
			&cli.DurationFlag{Name: "duration", Value: 20 * time.Second, Usage: "for how long faults come"},
			&cli.IntSliceFlag{Name: "zones", Value: []int{3, 3, 2}, Usage: "hosts of each availability zone"},
			&cli.IntFlag{Name: "callers", Value: 6, Usage: "callers of each zone"},
			&cli.IntFlag{Name: "targets", Value: 9, Usage: "targets of the larger service"},
			&cli.IntFlag{Name: "block", Value: 40, Usage: "second byte of all addresses; runs at the same time need different ones"},
			&cli.StringSliceFlag{Name: "only", Usage: "faults that may come; all where none is given"},
			&cli.BoolFlag{Name: "later", Value: true, Usage: "also the faults that were added after the kept seeds"},
			&cli.BoolFlag{Name: "newest", Value: true, Usage: "all faults, also those that were added last"},
			&cli.BoolFlag{Name: "orders", Value: true, Usage: "also orders to evacuate zones"},
			&cli.BoolFlag{Name: "restores", Value: true, Usage: "also restores of the store from a copy"},
			&cli.DurationFlag{Name: "gap", Value: 700 * time.Millisecond, Usage: "mean pause between two faults"},
		},
	}
}

func runSoak(ctx context.Context, command *cli.Command) error {
	clean := true
	for i := range command.Int("runs") {
		report, err := soaker.Run(ctx, soaker.Config{
			Seed: command.Uint64("seed") + uint64(i), Duration: command.Duration("duration"), BalancerPath: command.String("program"),
			HostsPerZone: command.IntSlice("zones"), CallersPerZone: command.Int("callers"), LedgerTargets: command.Int("targets"),
			SecondFaultSet: command.Bool("later"), ThirdFaultSet: command.Bool("newest"), ZoneEvacuations: command.Bool("orders"), StoreRestores: command.Bool("restores"),
			AddressBlock: command.Int("block"), OnlyFaults: command.StringSlice("only"), MeanFaultInterval: command.Duration("gap"),
		})
		if err != nil {
			return err
		}
		fmt.Println(report)
		clean = clean && len(report.Problems) == 0
	}
	if !clean {
		return cli.Exit("the soak found problems", exitRunFailed)
	}
	return nil
}
