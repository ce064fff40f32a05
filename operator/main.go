// Command spanctl is the operators' command line: it checks and explains settings, before
// they are published or after, and shows the state of hosts.
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

// Exit codes.
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
		Usage:                 "check and explain settings, and show the state of hosts",
		EnableShellCompletion: true,
		Writer:                out,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "output", Value: "text", Usage: "text or json"},
		},
		Commands: []*cli.Command{
			{Name: "check", Usage: "report all errors in a settings tree, or in published settings", ArgsUsage: "FILE", Action: check(out)},
			{Name: "explain", Usage: "list the values in force at a path, or for a published route or service, and where they come from", ArgsUsage: "FILE PATH", Action: explain(out)},
			{Name: "diff", Usage: "list the changes between two files and their effects on flows", ArgsUsage: "OLD NEW", Action: diff(out)},
			{Name: "routes", Usage: "show published routes, or the effects on flows of changing them", ArgsUsage: "FILE [NEW]", Action: routes(out)},
			{Name: "quotas", Usage: "list the quotas in a flow host's settings file, or those that apply to a caller", ArgsUsage: "FILE [CALLER]", Action: quotas(out)},
			{Name: "status", Usage: "show the state of hosts", ArgsUsage: "ADMIN...", Action: status(out)},
			{Name: "knowledge", Usage: "show which versions of settings and targets flow hosts have, how old these are, and who confirmed them", ArgsUsage: "ADMIN...", Action: showSyncStatus(out)},
			{Name: "targets", Usage: "show the state of targets as estimated by flow hosts, and why new flows avoid some", ArgsUsage: "ADMIN...", Action: targets(out)},
			{Name: "flows", Usage: "list flows in a host's flow table", ArgsUsage: "ADMIN", Action: flows(out), Flags: []cli.Flag{
				&cli.IntFlag{Name: "limit", Value: 20, Usage: "maximum number of flows"},
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

// parseArgs returns the command's arguments, of which there must be n, and a printer.
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

// valuesAt lists the values in force at a path of a settings tree, or for a published route
// or service.
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

func showSyncStatus(out io.Writer) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		p, err := parseHostArgs(out, command)
		if err != nil {
			return err
		}
		var hosts []printer.HostSyncStatus
		client := asker.New()
		lastErr := forEachHost(command, func(admin string) error {
			host := printer.HostSyncStatus{Admin: admin}
			syncStatus, err := client.SyncStatus(ctx, admin)
			if err != nil {
				host.Error = err.Error()
			} else {
				host.SyncStatus = &syncStatus
			}
			hosts = append(hosts, host)
			return err
		})
		if err := p.SyncStatuses(hosts); err != nil {
			return err
		}
		return lastErr
	}
}

// parseHostArgs checks that the command has at least one host as argument, and returns a
// printer.
func parseHostArgs(out io.Writer, command *cli.Command) (printer.Printer, error) {
	if command.Args().Len() == 0 {
		return printer.Printer{}, errors.Newf("usage: spanctl %s %s", command.Name, command.ArgsUsage)
	}
	return newPrinter(out, command)
}

// forEachHost calls visit for each host in the command's arguments, even if it fails for
// some, and returns the last error.
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
