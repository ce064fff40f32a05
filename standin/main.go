// Command standin emulates the environment of the load balancer for demonstrations and tests: the
// platform, the fabric, targets and callers. It also runs the soak test, the capacity measurements
// and the comparison with simpler placement policies.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"cranberryspan.dev/core/comparer"
	"cranberryspan.dev/core/resolver"
	"cranberryspan.dev/standin/internal/loader"
	"cranberryspan.dev/standin/internal/measurer"
	"cranberryspan.dev/standin/internal/plotter"
	"cranberryspan.dev/standin/internal/publisher"
	"cranberryspan.dev/standin/internal/responder"
	"cranberryspan.dev/standin/internal/sprayer"
	"github.com/urfave/cli/v3"
)

// exitRunFailed is the exit code of a run in which requests were broken, lost, duplicated,
// misrouted or answered with a wrong response, or of a soak test that has found problems.
const exitRunFailed = 10

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	settings := &cli.StringFlag{Name: "settings", Usage: "settings tree to emulate", Required: true}
	command := &cli.Command{
		Name:  "standin",
		Usage: "emulate the platform, the fabric, targets or callers",
		Commands: []*cli.Command{
			{Name: "platform", Usage: "publish a settings tree", Action: runPlatform, Flags: []cli.Flag{
				settings,
				&cli.StringFlag{Name: "listen", Value: "127.0.0.1:8400"},
			}},
			{Name: "fabric", Usage: "distribute packets over hosts at random", Action: runFabric, Flags: []cli.Flag{
				settings,
				&cli.StringFlag{Name: "listen", Value: "127.0.0.1:8500"},
				&cli.StringFlag{Name: "control", Value: "127.0.0.1:8501"},
				&cli.Uint64Flag{Name: "seed", Value: 1},
			}},
			{Name: "target", Usage: "run the targets of the tree", Action: runTargets, Flags: []cli.Flag{
				settings,
				&cli.StringFlag{Name: "control", Value: "127.0.0.1:8600"},
				&cli.StringSliceFlag{Name: "only", Usage: "names of the targets to run; all if none is given"},
				&cli.DurationFlag{Name: "work", Value: 10 * time.Millisecond},
				&cli.DurationFlag{Name: "notifyEvery", Value: 200 * time.Millisecond},
			}},
			{Name: "capacity", Usage: "measure how costs grow with size, and write figures and plots", Action: runCapacity, Flags: []cli.Flag{
				&cli.StringFlag{Name: "out", Value: "docs", Usage: "directory of FIGURES.md and plots"},
			}},
			{Name: "compare", Usage: "compare the load balancer with simpler placement policies", Action: runCompare},
			soakCommand(),
			{Name: "caller", Usage: "run callers against the services", Action: runCallers, Flags: []cli.Flag{
				settings,
				&cli.StringSliceFlag{Name: "work", Usage: "KIND:SERVICE:FLOWS, where KIND is streams, uploads, checks or presses"},
				&cli.IntFlag{Name: "openRate", Usage: "additional new flows per second, with one request each"},
				&cli.DurationFlag{Name: "duration", Value: 20 * time.Second},
				&cli.DurationFlag{Name: "think", Value: 100 * time.Millisecond},
				&cli.DurationFlag{Name: "notifyEvery", Value: 200 * time.Millisecond},
				&cli.IntFlag{Name: "uploadBlocks", Value: 20},
				&cli.StringSliceFlag{Name: "targets", Value: []string{"127.0.0.1:8600"}, Usage: "control addresses of the targets"},
				&cli.BoolFlag{Name: "direct", Usage: "send directly to the targets, as a baseline"},
				&cli.BoolFlag{Name: "json"},
			}},
		},
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func readSettings(command *cli.Command) (*resolver.Settings, []byte, error) {
	path := command.String("settings")
	document, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	settings, err := resolver.Resolve(path, document)
	return settings, document, err
}

func runPlatform(ctx context.Context, command *cli.Command) error {
	_, document, err := readSettings(command)
	if err != nil {
		return err
	}
	platform, err := publisher.New(command.String("listen"), document)
	if err != nil {
		return err
	}
	return <-platform.Run(ctx)
}

func runFabric(ctx context.Context, command *cli.Command) error {
	settings, _, err := readSettings(command)
	if err != nil {
		return err
	}
	hostListen, err := netip.ParseAddrPort(command.String("listen"))
	if err != nil {
		return err
	}
	control, err := netip.ParseAddrPort(command.String("control"))
	if err != nil {
		return err
	}
	fabric, err := sprayer.New(hostListen, control, settings, command.Uint64("seed"))
	if err != nil {
		return err
	}
	return <-fabric.Run(ctx)
}

func runTargets(ctx context.Context, command *cli.Command) error {
	settings, _, err := readSettings(command)
	if err != nil {
		return err
	}
	var only func(string) bool
	if names := command.StringSlice("only"); len(names) > 0 {
		only = func(name string) bool { return slices.Contains(names, name) }
	}
	config := responder.Config{ProcessingTime: command.Duration("work"), NotifyInterval: command.Duration("notifyEvery")}
	r, err := responder.New(config, command.String("control"), settings.Services, only)
	if err != nil {
		return err
	}
	return <-r.Run(ctx)
}

func runCapacity(_ context.Context, command *cli.Command) error {
	out := command.String("out")
	if err := os.MkdirAll(filepath.Join(out, "plots"), 0o755); err != nil {
		return err
	}
	measurements := measurer.MeasureAll(func(line string) { fmt.Fprintln(os.Stderr, line) })
	for name, chart := range measurements.Charts() {
		if err := plotter.Draw(chart, filepath.Join(out, "plots", name)); err != nil {
			return err
		}
	}
	return os.WriteFile(filepath.Join(out, "FIGURES.md"), []byte(measurements.Page()), 0o644)
}

// runCompare prints a Markdown table of the broken flows per 10,000 for each scenario and policy.
func runCompare(context.Context, *cli.Command) error {
	fmt.Print("| story | planned |")
	for _, p := range comparer.Policies() {
		fmt.Printf(" %s |", comparer.PolicyName(p))
	}
	fmt.Println(" control bytes a second |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	for _, s := range comparer.Scenarios() {
		fmt.Printf("| %s | %v |", s.Name, s.Planned)
		bytes := 0.0
		for _, p := range comparer.Policies() {
			result := comparer.RunScenario(p, s, 1)
			fmt.Printf(" %.0f |", result.BrokenFlowsPer10000())
			bytes = result.ControlBytesPerSecond
		}
		fmt.Printf(" %.0f |\n", bytes)
	}
	for _, skewed := range []bool{false, true} {
		fmt.Printf("| variation of work, skewed %v | |", skewed)
		for _, p := range comparer.Policies() {
			fmt.Printf(" %.3f |", comparer.MeasureBalance(p, skewed, 1).LoadVariation)
		}
		fmt.Println(" |")
	}
	return nil
}

func runCallers(ctx context.Context, command *cli.Command) error {
	settings, _, err := readSettings(command)
	if err != nil {
		return err
	}
	config := loader.Config{
		NewFlowsPerSecond:      command.Int("openRate"),
		Direct:                 command.Bool("direct"),
		Duration:               command.Duration("duration"),
		ThinkTime:              command.Duration("think"),
		NotifyInterval:         command.Duration("notifyEvery"),
		UploadBlocks:           command.Int("uploadBlocks"),
		TargetControlAddresses: command.StringSlice("targets"),
		OnProgress:             func(line string) { fmt.Fprintln(os.Stderr, line) },
	}
	for _, text := range command.StringSlice("work") {
		workload, err := parseWorkload(text)
		if err != nil {
			return err
		}
		config.Workloads = append(config.Workloads, workload)
	}
	report, err := loader.New(config, settings).Run(ctx)
	if err != nil {
		return err
	}
	if command.Bool("json") {
		if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
			return err
		}
	} else {
		fmt.Print(report)
	}
	if !report.Clean() {
		return cli.Exit("the run failed: see lost, broken, wrong, doubled and misrouted in the report", exitRunFailed)
	}
	return nil
}

func parseWorkload(text string) (loader.Workload, error) {
	parts := strings.Split(text, ":")
	if len(parts) != 3 {
		return loader.Workload{}, fmt.Errorf("work %q: expected KIND:SERVICE:FLOWS such as checks:ledger:20", text)
	}
	kind := loader.WorkloadKind(parts[0])
	switch kind {
	case loader.KindStream, loader.KindUpload, loader.KindCheck, loader.KindPress:
	default:
		return loader.Workload{}, fmt.Errorf("work %q: expected streams, uploads, checks or presses, not %q", text, parts[0])
	}
	flows, err := strconv.Atoi(parts[2])
	if err != nil || flows < 1 || flows > 10_000 {
		return loader.Workload{}, fmt.Errorf("work %q: expected 1 to 10000 flows", text)
	}
	return loader.Workload{Kind: kind, Service: parts[1], Flows: flows}, nil
}
