// Command spanctl is the operators' command line: it checks and explains
// settings trees before they are published, and shows what hosts do.
package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"cranberryspan.dev/core/resolver"
	"cranberryspan.dev/core/throttler"
	"cranberryspan.dev/operator/internal/asker"
	"cranberryspan.dev/operator/internal/printer"
	"cranberryspan.dev/platform"
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// The exit codes.
const (
	exitOK          = 0
	exitInvalid     = 1
	exitUsage       = 2
	exitUnreachable = 3
)

func main() {
	os.Exit(run(context.Background(), os.Args, os.Stdout, os.Stderr))
}

// run executes one command line and returns the exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	command := newCommand(out)
	err := command.Run(ctx, args)
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(errOut, err)
	var invalidTree *resolver.Error
	var unreachable *asker.Error
	var invalidPublished *platform.Error
	var invalidQuota *throttler.Error
	switch {
	case errors.As(err, &invalidTree), errors.As(err, &invalidPublished), errors.As(err, &invalidQuota):
		return exitInvalid
	case errors.As(err, &unreachable):
		return exitUnreachable
	}
	return exitUsage
}

func newCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:                  "spanctl",
		Usage:                 "check and explain settings, and look at hosts",
		EnableShellCompletion: true,
		Writer:                out,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "output", Value: "text", Usage: "text or json"},
		},
		Commands: []*cli.Command{
			{Name: "check", Usage: "report everything that is wrong with a settings tree, or with published settings", ArgsUsage: "FILE", Action: check(out)},
			{Name: "explain", Usage: "list the values in force at a path, or for a published route or service, and where they come from", ArgsUsage: "FILE PATH", Action: explain(out)},
			{Name: "diff", Usage: "list what a change alters and what it does to flows", ArgsUsage: "OLD NEW", Action: diff(out)},
			{Name: "routes", Usage: "show published routes, or what a change of them does to flows", ArgsUsage: "FILE [NEW]", Action: routes(out)},
			{Name: "quotas", Usage: "list the quotas of a flow host's file, or those that touch a caller", ArgsUsage: "FILE [CALLER]", Action: quotas(out)},
			{Name: "status", Usage: "show the state of hosts", ArgsUsage: "ADMIN...", Action: status(out)},
			{Name: "knowledge", Usage: "show which version and revision hosts of the flow edge know, how old that is, and from whom", ArgsUsage: "ADMIN...", Action: knowledge(out)},
			{Name: "targets", Usage: "show what hosts of the flow edge believe of their targets, and why new flows avoid some", ArgsUsage: "ADMIN...", Action: targets(out)},
			{Name: "flows", Usage: "list flows that a host remembers", ArgsUsage: "ADMIN", Action: flows(out), Flags: []cli.Flag{
				&cli.IntFlag{Name: "limit", Value: 20, Usage: "how many at most"},
			}},
		},
	}
}

func newPrinter(out io.Writer, command *cli.Command) (printer.Printer, error) {
	format, err := printer.ParseFormat(command.String("output"))
	if err != nil {
		return printer.Printer{}, err
	}
	return printer.New(out, format), nil
}

// parseArgs checks the number of arguments and makes the printer.
func parseArgs(out io.Writer, command *cli.Command, n int) ([]string, printer.Printer, error) {
	if command.Args().Len() != n {
		return nil, printer.Printer{}, errors.Newf("usage: spanctl %s %s", command.Name, command.ArgsUsage)
	}
	p, err := newPrinter(out, command)
	return command.Args().Slice(), p, err
}

func check(out io.Writer) cli.ActionFunc {
	return func(_ context.Context, command *cli.Command) error {
		args, p, err := parseArgs(out, command, 1)
		if err != nil {
			return err
		}
		file, err := readSettingsFile(args[0])
		if err != nil {
			return err
		}
		if file.isPublished() {
			return checkPublished(p, file)
		}
		return checkTree(p, file)
	}
}

func checkTree(p printer.Printer, file settingsFile) error {
	settings, err := file.parseTree()
	var invalid *resolver.Error
	if errors.As(err, &invalid) && len(invalid.Findings) > 0 {
		if err := p.Findings(invalid.Findings); err != nil {
			return err
		}
		return &resolver.Error{Op: invalid.Op, Kind: invalid.Kind, Err: errors.Newf("%d findings", len(invalid.Findings))}
	}
	if err != nil {
		return err
	}
	return p.ValidTree(file.path, settings)
}

func checkPublished(p printer.Printer, file settingsFile) error {
	settings, err := file.decodePublished()
	if err != nil {
		return err
	}
	findings := settings.Check()
	if len(findings) == 0 {
		return p.ValidPublished(file.path, settings)
	}
	if err := p.PublishedFindings(findings); err != nil {
		return err
	}
	return &resolver.Error{Op: "check published settings", Kind: resolver.KindInvalid, Err: errors.Newf("%d findings", len(findings))}
}

func explain(out io.Writer) cli.ActionFunc {
	return func(_ context.Context, command *cli.Command) error {
		args, p, err := parseArgs(out, command, 2)
		if err != nil {
			return err
		}
		file, err := readSettingsFile(args[0])
		if err != nil {
			return err
		}
		values, err := valuesAt(file, args[1])
		if err != nil {
			return err
		}
		return p.Values(values)
	}
}

// valuesAt lists what is in force at a path of either sort of settings.
func valuesAt(file settingsFile, path string) ([]resolver.Value, error) {
	if file.isPublished() {
		return explainPublished(file, path)
	}
	settings, err := file.parseTree()
	if err != nil {
		return nil, err
	}
	return settings.Explain(path)
}

func diff(out io.Writer) cli.ActionFunc {
	return func(_ context.Context, command *cli.Command) error {
		args, p, err := parseArgs(out, command, 2)
		if err != nil {
			return err
		}
		older, newer, err := readSettingsPair(args[0], args[1])
		if err != nil {
			return err
		}
		if older.isPublished() {
			differences, err := diffPublished(older, newer)
			if err != nil {
				return err
			}
			return p.Differences(differences)
		}
		before, err := older.parseTree()
		if err != nil {
			return err
		}
		after, err := newer.parseTree()
		if err != nil {
			return err
		}
		return p.Changes(resolver.Diff(before, after))
	}
}

func status(out io.Writer) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		p, err := parseHostArgs(out, command)
		if err != nil {
			return err
		}
		var hosts []printer.HostStatus
		client := asker.New()
		lastErr := forEachHost(command, func(admin string) error {
			host := printer.HostStatus{Admin: admin}
			snapshot, err := client.Status(ctx, admin)
			if err != nil {
				host.Error = err.Error()
			} else {
				host.Snapshot = &snapshot
			}
			hosts = append(hosts, host)
			return err
		})
		if err := p.Status(hosts); err != nil {
			return err
		}
		return lastErr
	}
}

func targets(out io.Writer) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		p, err := parseHostArgs(out, command)
		if err != nil {
			return err
		}
		var hosts []printer.HostTargets
		client := asker.New()
		lastErr := forEachHost(command, func(admin string) error {
			host := printer.HostTargets{Admin: admin}
			var err error
			if host.Targets, err = client.Targets(ctx, admin); err != nil {
				host.Error = err.Error()
			}
			hosts = append(hosts, host)
			return err
		})
		if err := p.Targets(hosts); err != nil {
			return err
		}
		return lastErr
	}
}

func knowledge(out io.Writer) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		p, err := parseHostArgs(out, command)
		if err != nil {
			return err
		}
		var hosts []printer.HostKnowledge
		client := asker.New()
		lastErr := forEachHost(command, func(admin string) error {
			host := printer.HostKnowledge{Admin: admin}
			syncStatus, err := client.Knowledge(ctx, admin)
			if err != nil {
				host.Error = err.Error()
			} else {
				host.Knowledge = &syncStatus
			}
			hosts = append(hosts, host)
			return err
		})
		if err := p.Knowledge(hosts); err != nil {
			return err
		}
		return lastErr
	}
}

// parseHostArgs checks that hosts are named and makes the printer.
func parseHostArgs(out io.Writer, command *cli.Command) (printer.Printer, error) {
	if command.Args().Len() == 0 {
		return printer.Printer{}, errors.Newf("usage: spanctl %s %s", command.Name, command.ArgsUsage)
	}
	return newPrinter(out, command)
}

// forEachHost asks every host that the command names, also after one failed, and returns
// the last failure.
func forEachHost(command *cli.Command, visit func(admin string) error) error {
	var lastErr error
	for _, admin := range command.Args().Slice() {
		if err := visit(admin); err != nil {
			lastErr = err
		}
	}
	return lastErr
}

func flows(out io.Writer) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		args, p, err := parseArgs(out, command, 1)
		if err != nil {
			return err
		}
		list, err := asker.New().Flows(ctx, args[0], command.Int("limit"))
		if err != nil {
			return err
		}
		return p.Flows(list)
	}
}
