package main

import (
	"context"
	"io"
	"os"

	"cranberryspan.dev/core/steerer"
	"cranberryspan.dev/platform"
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// routes shows the routes of settings as they are published on the operators'
// platform, or what a change of them does.
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
		var versions []*steerer.Settings
		for _, path := range paths {
			settings, err := published(path)
			if err != nil {
				return err
			}
			versions = append(versions, settings)
		}
		if len(versions) == 2 {
			return p.Differences(steerer.Compare(versions[0], versions[1]))
		}
		return p.Routes(versions[0])
	}
}

func published(path string) (*steerer.Settings, error) {
	document, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read published settings")
	}
	settings, err := platform.DecodeSettings(document)
	return settings, errors.Wrapf(err, "%s", path)
}
