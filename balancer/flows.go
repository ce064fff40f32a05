package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"runtime/debug"

	"cranberryspan.dev/balancer/internal/configurer"
	"cranberryspan.dev/balancer/internal/fetcher"
	"cranberryspan.dev/balancer/internal/flowrunner"
	"cranberryspan.dev/balancer/internal/logger"
	"cranberryspan.dev/platform"
	"github.com/urfave/cli/v3"
)

// memoryHeadroom is the part of a host's memory up to which the garbage
// collector may let the heap grow; the rest is for stacks and received bytes.
const memoryHeadroom = 0.7

// flowCommand runs a host that steers flows to targets which answer callers
// directly.
func flowCommand(code *int) *cli.Command {
	return &cli.Command{
		Name:  "flows",
		Usage: "run one entry host in front of targets that answer callers directly",
		Flags: []cli.Flag{flag("config", "YAML file with the host's settings")},
		Action: func(ctx context.Context, command *cli.Command) error {
			*code = serveFlows(ctx, command.String("config"))
			return nil
		},
	}
}

func serveFlows(ctx context.Context, path string) int {
	config, err := configurer.ReadFlowFile(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	debug.SetMemoryLimit(int64(float64(config.MemoryBytes) * memoryHeadroom))
	log := logger.New(os.Stdout)
	logging, stopLogging := context.WithCancel(context.WithoutCancel(ctx))
	logged := log.Run(logging)
	defer func() {
		stopLogging()
		if err := <-logged; err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}()
	host, err := flowrunner.New(path, config, flowrunner.Platform{
		NewCalls: func(address netip.AddrPort, dial flowrunner.Dial) fetcher.Platform {
			return platform.NewStore(address, platform.Dial(dial))
		},
		Codec:            platform.Codec{},
		MaxDatagramBytes: platform.MaxDatagramBytes,
		DecodeSettings:   platform.DecodeSettings,
		ReadyPath:        platform.ReadyPath,
	}, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSockets
	}
	return untilSignal(ctx, host.Run)
}
