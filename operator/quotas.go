package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"

	"cranberryspan.dev/core/resolver"
	"cranberryspan.dev/core/throttler"
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"go.yaml.in/yaml/v3"
)

// quotaFile is the part of a flow host's settings file that contains quotas.
type quotaFile struct {
	Quotas []throttler.QuotaSpec `yaml:"quotas"`
}

// quotas returns the action that lists the quotas in a flow host's settings file, or those
// that apply to a caller.
func quotas(out io.Writer) cli.ActionFunc {
	return func(_ context.Context, command *cli.Command) error {
		args := command.Args().Slice()
		if len(args) != 1 && len(args) != 2 {
			return errors.Newf("usage: spanctl %s %s", command.Name, command.ArgsUsage)
		}
		p, err := newPrinter(out, command)
		if err != nil {
			return err
		}
		all, err := readQuotas(args[0])
		if err != nil {
			return err
		}
		if len(args) == 1 {
			return p.Values(quotaValues(all))
		}
		caller, err := netip.ParseAddr(args[1])
		if err != nil {
			return errors.Wrapf(err, "caller")
		}
		return p.Values(quotaValues(quotasForCaller(all, caller)))
	}
}

// readQuotas reads and validates the quotas in a settings file. The rest of the file is not
// validated.
func readQuotas(path string) ([]throttler.Quota, error) {
	file, err := readSettingsFile(path)
	if err != nil {
		return nil, err
	}
	var raw quotaFile
	if err := yaml.Unmarshal(file.document, &raw); err != nil {
		return nil, errors.Wrapf(err, "%s", path)
	}
	return throttler.ParseQuotas(raw.Quotas)
}

// quotasForCaller returns the quotas that apply to a caller's requests on any route.
func quotasForCaller(all []throttler.Quota, caller netip.Addr) []throttler.Quota {
	var matching []throttler.Quota
	for _, q := range all {
		if q.Matches(caller, q.Route) {
			matching = append(matching, q)
		}
	}
	return matching
}

// quotaValues converts quotas to the values that the printer lists.
func quotaValues(all []throttler.Quota) []resolver.Value {
	values := make([]resolver.Value, 0, len(all))
	for _, q := range all {
		values = append(values, resolver.Value{Key: q.String(), Value: fmt.Sprintf("%g requests a second over the hosts of a zone", q.PerSecond), Level: "quotas"})
	}
	return values
}
