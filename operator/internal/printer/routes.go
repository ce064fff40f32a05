package printer

import (
	"fmt"
	"io"

	"cranberryspan.dev/core/steerer"
)

// Routes writes the routes of a published version.
func (p Printer) Routes(settings *steerer.Settings) error {
	return p.print(settings, func(w io.Writer) {
		row(w, fmt.Sprintf("version %d", settings.Version))
		row(w, "ROUTE", "ADDRESS", "KIND", "SERVICES", "TIMEOUT", "PRIORITY")
		for _, r := range settings.Routes {
			row(w, r.Name, r.Address, r.Kind, r.Shares, r.Timeout, r.Priority)
		}
	})
}

// Differences writes what a change of published settings does.
func (p Printer) Differences(differences []steerer.Difference) error {
	return p.print(differences, func(w io.Writer) {
		row(w, "ROUTE", "CHANGE", "EFFECT")
		for _, d := range differences {
			row(w, d.Route, d.Change, d.Effect)
		}
	})
}
