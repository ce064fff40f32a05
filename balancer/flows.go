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

// memoryLimitFraction is the fraction of a host's memory that is the soft limit of the Go
// runtime, its stacks included. The rest is for memory outside of the runtime, such as
// received bytes in socket buffers.
const memoryLimitFraction = 0.7

// flowsCommand returns the command that runs a flow host, which forwards flows to targets
// that respond to callers directly (direct server return).
func flowsCommand(code *int) *cli.Command {
	return &cli.Command{
		Name:  "flows",
		Usage: "run one entry host in front of targets that respond to callers directly",
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
	debug.SetMemoryLimit(int64(float64(config.MemoryBytes) * memoryLimitFraction))
	log := logger.New(os.Stdout)
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	logDone := log.Run(logCtx)
	defer func() {
		stopLog()
		if err := <-logDone; err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}()
	host, err := flowrunner.New(path, config, flowrunner.PlatformAdapter{
		NewClient: func(address netip.AddrPort, dial flowrunner.DialFunc) fetcher.PlatformClient {
			return platform.NewStore(address, platform.Dial(dial))
		},
		Codec:            platform.Codec{},
		MaxDatagramBytes: platform.MaxDatagramBytes,
		DecodeSettings:   platform.DecodeSettings,
		ReadyPath:        platform.ReadyPath,
	}, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitStartFailed
	}
	return runUntilSignal(ctx, host.Run)
}
