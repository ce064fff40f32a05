// Command cranberryspan is the daemon that runs on each host of the load balancer.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"cranberryspan.dev/balancer/internal/configurer"
	"cranberryspan.dev/balancer/internal/logger"
	"cranberryspan.dev/balancer/internal/runner"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Exit codes.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitStartFailed = 3
	exitInterrupted = 4
)

func main() { os.Exit(run(os.Args)) }

func run(args []string) int {
	code := exitOK
	command := &cli.Command{
		Name:  "cranberryspan",
		Usage: "run one entry host of the load balancer",
		Flags: []cli.Flag{
			flag("config", "YAML file that sets the values of the flags below"),
			flag("name", "this host's name in the settings tree"),
			flag("address", "address for peers, UDP and TCP, such as 10.0.0.1:7000"),
			flag("fabricAddress", "address for packets from the fabric"),
			flag("fabric", "address of the fabric"),
			flag("platform", "URL of the platform's service"),
			flag("admin", "address for status and metrics over HTTP"),
			flag("seeds", "other hosts to request settings from while the platform is down: NAME=ADDRESS,..."),
			flag("seedKey", "a peer key of the settings tree, for messages to the seeds; prefer the environment to this flag"),
			flag("logLevel", "debug, info, warn or error"),
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			code = serve(ctx, command)
			return nil
		},
	}
	command.Commands = []*cli.Command{flowsCommand(&code)}
	if err := command.Run(context.Background(), args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	return code
}

// flag returns a flag that can also be set in the environment. Flags take precedence over
// the environment, which takes precedence over the file.
func flag(name, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Usage: usage, Sources: cli.EnvVars("CRANBERRYSPAN_" + envVarName(name))}
}

// envVarName converts a camel-case name to that of an environment variable: fabricAddress
// becomes FABRIC_ADDRESS.
func envVarName(name string) string {
	var result []rune
	for _, c := range name {
		if c >= 'A' && c <= 'Z' {
			result = append(result, '_', c)
			continue
		}
		result = append(result, c-'a'+'A')
	}
	return string(result)
}

func serve(ctx context.Context, command *cli.Command) int {
	fromFile, err := configurer.ReadFile(command.String("config"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	fromFlags := configurer.RawConfig{
		Name:          command.String("name"),
		Address:       command.String("address"),
		FabricAddress: command.String("fabricAddress"),
		Fabric:        command.String("fabric"),
		Platform:      command.String("platform"),
		Admin:         command.String("admin"),
		LogLevel:      command.String("logLevel"),
		Seeds:         command.String("seeds"),
		SeedKey:       command.String("seedKey"),
	}
	config, err := fromFlags.WithFallback(fromFile).Parse()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	log, err := newLogger(config.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	host, err := runner.New(config, log)
	if err != nil {
		log.Error("hostNotStarted", zap.Error(err))
		return exitStartFailed
	}
	return runUntilSignal(ctx, host.Run)
}

// runUntilSignal runs the host and shuts it down gracefully at the first SIGTERM or SIGINT.
// A later SIGINT, which a person sends, stops the host at once. A later SIGTERM does not,
// since supervisors send it repeatedly, and requests about to finish would be interrupted.
func runUntilSignal(ctx context.Context, run func(ctx context.Context, shutdown <-chan struct{}) error) int {
	ctx, abort := context.WithCancel(ctx)
	defer abort()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	shutdown := make(chan struct{})
	go func() {
		<-signals
		close(shutdown)
		for s := range signals {
			if s == syscall.SIGINT {
				abort()
				return
			}
		}
	}()
	err := run(ctx, shutdown)
	switch {
	case ctx.Err() != nil:
		return exitInterrupted
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return exitOK
}

// newLogger returns a logger that writes one line of key=value pairs per event. Lines with
// the same message are limited to linesPerSecond.
func newLogger(level string) (*zap.Logger, error) {
	const (
		linesPerSecond  = 5
		linesThereafter = 0
	)
	minLevel := zapcore.InfoLevel
	if level != "" {
		if err := minLevel.UnmarshalText([]byte(level)); err != nil {
			return nil, fmt.Errorf("logLevel: %w", err)
		}
	}
	core := zapcore.NewCore(logger.NewEncoder(), zapcore.Lock(os.Stderr), minLevel)
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, linesPerSecond, linesThereafter)), nil
}
