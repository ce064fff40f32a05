// Package printer writes the output of spanctl, as text for people or as JSON for
// programs.
package printer

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"cranberryspan.dev/core/reducer"
	"cranberryspan.dev/core/resolver"
)

// Format is an output format.
type Format string

// Output formats.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// ParseFormat parses the name of a format.
func ParseFormat(text string) (Format, error) {
	switch f := Format(text); f {
	case FormatText, FormatJSON:
		return f, nil
	}
	return "", &Error{Op: "parse output format", Err: fmt.Errorf("%q: expected text or json", text)}
}

// Error is the error type of this package.
type Error struct {
	Op  string
	Err error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Printer writes to one writer in one format.
type Printer struct {
	out    io.Writer
	format Format
}

// New returns a Printer that writes to out.
func New(out io.Writer, format Format) Printer { return Printer{out: out, format: format} }

// print writes a value: as JSON, or as the rows of a table that text writes.
func (p Printer) print(value any, text func(w io.Writer)) error {
	if p.format == FormatJSON {
		encoder := json.NewEncoder(p.out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(value); err != nil {
			return &Error{Op: "print", Err: err}
		}
		return nil
	}
	w := tabwriter.NewWriter(p.out, 0, 4, 2, ' ', 0)
	text(w)
	if err := w.Flush(); err != nil {
		return &Error{Op: "print", Err: err}
	}
	return nil
}

func writeRow(w io.Writer, cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(w, "\t")
		}
		_, _ = fmt.Fprint(w, cell)
	}
	_, _ = fmt.Fprintln(w)
}

// Findings writes the errors found in a settings tree.
func (p Printer) Findings(findings []resolver.Finding) error {
	return p.print(findings, func(w io.Writer) {
		for _, f := range findings {
			writeRow(w, f)
		}
	})
}

// ValidTree writes that a settings tree is valid, and how many hosts, services and targets
// it has.
func (p Printer) ValidTree(file string, settings *resolver.Settings) error {
	targets := 0
	for _, s := range settings.Services {
		targets += len(s.Targets)
	}
	summary := struct {
		File     string `json:"file"`
		Valid    bool   `json:"valid"`
		Hosts    int    `json:"hosts"`
		Services int    `json:"services"`
		Targets  int    `json:"targets"`
	}{file, true, len(settings.Hosts), len(settings.Services), targets}
	return p.print(summary, func(w io.Writer) {
		writeRow(w, fmt.Sprintf("%s: valid: %d hosts, %d services, %d targets", file, summary.Hosts, summary.Services, summary.Targets))
	})
}

// Values writes the values in force at a path.
func (p Printer) Values(values []resolver.Value) error {
	return p.print(values, func(w io.Writer) {
		writeRow(w, "KEY", "VALUE", "FROM", "LINE")
		for _, v := range values {
			line := "-"
			if v.Line > 0 {
				line = fmt.Sprint(v.Line)
			}
			writeRow(w, v.Key, v.Value, v.Level, line)
		}
	})
}

// Changes writes the differences between two settings trees.
func (p Printer) Changes(changes []resolver.Change) error {
	return p.print(changes, func(w io.Writer) {
		if len(changes) == 0 {
			writeRow(w, "no change")
		}
		for _, c := range changes {
			writeRow(w, c)
		}
	})
}

// HostStatus is the status of one host, or the error of reading it.
type HostStatus struct {
	Admin    string            `json:"admin"`
	Snapshot *reducer.Snapshot `json:"snapshot,omitempty"`
	Error    string            `json:"error,omitempty"`
}

// Status writes the state of hosts.
func (p Printer) Status(hosts []HostStatus) error {
	return p.print(hosts, func(w io.Writer) {
		writeRow(w, "HOST", "ZONE", "CELL", "PHASE", "READY", "QUORUM", "REVISION", "FLOWS", "REQUESTS", "PEERS ALIVE")
		for _, h := range hosts {
			if h.Snapshot == nil {
				writeRow(w, h.Admin, h.Error)
				continue
			}
			s := h.Snapshot
			revision := fmt.Sprint(s.Revision)
			if s.RejectedRevision > s.Revision {
				revision += fmt.Sprintf(" (%d refused)", s.RejectedRevision)
			}
			writeRow(w, s.Host, s.AvailabilityZone, s.Cell, s.Phase, s.Ready, s.Quorum, revision, s.Flows, s.Requests, formatAlive(s.Peers))
		}
		for _, h := range hosts {
			if h.Snapshot != nil {
				writeCounters(w, h.Snapshot)
			}
		}
		writeTargets(w, hosts)
	})
}

func formatAlive(peers []reducer.PeerStatus) string {
	n := 0
	for _, peer := range peers {
		if peer.Liveness == "alive" {
			n++
		}
	}
	return fmt.Sprintf("%d/%d", n, len(peers))
}

// writeCounters writes a host's counters that are not zero, by name.
func writeCounters(w io.Writer, s *reducer.Snapshot) {
	var parts []string
	for name, n := range s.Counts {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%s=%d", name, n))
		}
	}
	slices.Sort(parts)
	writeRow(w, s.Host, strings.Join(parts, " "))
}

// writeTargets writes a table of targets with their in-flight and queued requests, summed
// over hosts, and the number of hosts that eject them.
func writeTargets(w io.Writer, hosts []HostStatus) {
	type sum struct {
		state                     string
		inFlight, queued, ejected int
	}
	sums := map[string]sum{}
	for _, h := range hosts {
		if h.Snapshot == nil {
			continue
		}
		for _, s := range h.Snapshot.Services {
			for _, t := range s.Targets {
				total := sums[s.Service+" "+t.Target]
				total.state = t.State
				total.inFlight += t.InFlight
				total.queued += t.Queued
				if t.Ejected {
					total.ejected++
				}
				sums[s.Service+" "+t.Target] = total
			}
		}
	}
	names := make([]string, 0, len(sums))
	for name := range sums {
		names = append(names, name)
	}
	slices.Sort(names)
	writeRow(w, "TARGET", "STATE", "IN FLIGHT", "QUEUED", "EJECTED BY")
	for _, name := range names {
		writeRow(w, name, sums[name].state, sums[name].inFlight, sums[name].queued, sums[name].ejected)
	}
}

// Flows writes entries of a host's flow table.
func (p Printer) Flows(flows []reducer.FlowStatus) error {
	return p.print(flows, func(w io.Writer) {
		writeRow(w, "CALLER", "SERVICE", "TARGET", "LONG", "EXCEPTION", "OWNER")
		for _, f := range flows {
			writeRow(w, f.Caller, f.Service, f.Target, f.LongLived, f.Exception, f.Owner)
		}
	})
}
