package main

import (
	"context"
	"io"

	"cranberryspan.dev/core/resolver"
	"cranberryspan.dev/core/steerer"
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// routes returns the action that shows the routes of published settings, or the effects of
// changing them.
func routes(out io.Writer) cli.ActionFunc {
	return func(_ context.Context, command *cli.Command) error {
		paths := command.Args().Slice()
		if len(paths) != 1 && len(paths) != 2 {
			return errors.Newf("usage: spanctl %s %s", command.Name, command.ArgsUsage)
		}
		p, err := newPrinter(out, command)
		if err != nil {
			return err
		}
		file, err := readSettingsFile(paths[0])
		if err != nil {
			return err
		}
		settings, err := file.decodePublished()
		if err != nil {
			return err
		}
		if len(paths) == 1 {
			return errors.CombineErrors(p.Routes(settings), routeErrors(settings))
		}
		newer, err := readSettingsFile(paths[1])
		if err != nil {
			return err
		}
		differences, err := diffPublished(file, newer)
		if err != nil {
			return err
		}
		return p.Differences(differences)
	}
}

// routeErrors returns an error that names the routes that could not be decoded, nil if there
// are none.
func routeErrors(settings *steerer.Settings) error {
	var combined error
	for _, problem := range settings.Faults {
		combined = errors.CombineErrors(combined, errors.Newf("%v", problem))
	}
	if combined == nil {
		return nil
	}
	return &resolver.Error{Op: "read routes", Kind: resolver.KindInvalid, Err: combined}
}
