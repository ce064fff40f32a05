package printer

import (
	"fmt"
	"io"
	"strings"
	"time"

	"cranberryspan.dev/core/steerer"
)

// Routes writes the routes of a published version.
func (p Printer) Routes(settings *steerer.Settings) error {
	return p.print(settings, func(w io.Writer) {
		writeRow(w, fmt.Sprintf("version %d", settings.Version))
		writeRow(w, "ROUTE", "ADDRESS", "KIND", "SERVICES", "TIMEOUT", "PRIORITY")
		for _, r := range settings.Routes {
			writeRow(w, r.Name, r.Address, r.Kind, r.Shares, r.Timeout, r.Priority)
		}
	})
}

// ValidPublished writes that a published version is valid, and how many routes and services
// it has.
func (p Printer) ValidPublished(file string, settings *steerer.Settings) error {
	summary := struct {
		File     string `json:"file"`
		Valid    bool   `json:"valid"`
		Version  uint64 `json:"version"`
		Routes   int    `json:"routes"`
		Services int    `json:"services"`
	}{file, true, settings.Version, len(settings.Routes), len(settings.Services)}
	return p.print(summary, func(w io.Writer) {
		writeRow(w, fmt.Sprintf("%s: valid: version %d, %d routes, %d services", file, summary.Version, summary.Routes, summary.Services))
	})
}

// PublishedFindings writes the errors found in a published version, and their effects.
func (p Printer) PublishedFindings(findings []steerer.Finding) error {
	return p.print(findings, func(w io.Writer) {
		writeRow(w, "PATH", "PROBLEM", "EFFECT")
		for _, f := range findings {
			writeRow(w, f.Path, f.Problem, f.Effect)
		}
	})
}

// Differences writes the differences between two published versions, and their effects.
func (p Printer) Differences(differences []steerer.Difference) error {
	return p.print(differences, func(w io.Writer) {
		if len(differences) == 0 {
			writeRow(w, "no change")
			return
		}
		writeRow(w, "ROUTE", "CHANGE", "EFFECT")
		for _, d := range differences {
			writeRow(w, d.Route, d.Change, d.Effect)
		}
	})
}

// HostTargets is the state of targets as estimated by one host, or the error of reading it.
type HostTargets struct {
	Admin   string                 `json:"admin"`
	Targets []steerer.TargetStatus `json:"targets,omitempty"`
	Error   string                 `json:"error,omitempty"`
}

// Targets writes the state of targets as estimated by hosts. Text output omits targets that
// have no flows and are not avoided by new ones.
func (p Printer) Targets(hosts []HostTargets) error {
	return p.print(hosts, func(w io.Writer) {
		writeRow(w, "HOST", "TARGET", "SERVICE", "ZONE", "SLOTS", "FLOWS", "BUSY", "PEERS BUSY", "SLOWNESS", "AVOIDED")
		for _, h := range hosts {
			if h.Error != "" {
				writeRow(w, h.Admin, h.Error)
			}
			for _, t := range h.Targets {
				if t.Flows > 0 || t.AvoidReason != "" {
					writeRow(w, h.Admin, t.Target, t.Service, t.AvailabilityZone, t.Slots, t.Flows, t.InFlight, t.PeersInFlight, fmt.Sprintf("%.1f", t.Slowdown), t.AvoidReason)
				}
			}
		}
	})
}

// HostSyncStatus is the sync status of one host, or the error of reading it.
type HostSyncStatus struct {
	Admin      string              `json:"admin"`
	SyncStatus *steerer.SyncStatus `json:"knowledge,omitempty"`
	Error      string              `json:"error,omitempty"`
}

// SyncStatuses writes which versions of settings and targets hosts have, how old these are, and
// who confirmed them.
func (p Printer) SyncStatuses(hosts []HostSyncStatus) error {
	return p.print(hosts, func(w io.Writer) {
		writeRow(w, "HOST", "NAME", "VERSION", "FROM", "AGE", "CONFIRMED BY", "EVACUATED", "ERA", "REVISION", "AGE", "CONFIRMED BY", "RANK", "LIVE", "PLATFORM")
		for _, h := range hosts {
			if h.Error != "" {
				writeRow(w, h.Admin, h.Error)
				continue
			}
			s, platformState := h.SyncStatus, "answers"
			if s.PlatformDown {
				platformState = "lost"
			}
			writeRow(w, h.Admin, s.Host, s.Version, s.SettingsFrom, formatAge(s.SettingsAge), s.SettingsConfirmedBy,
				formatEvacuated(s), formatEra(s), s.Revision, formatAge(s.TargetsAge), s.TargetsConfirmedBy, s.Rank, s.AlivePeers, platformState)
		}
	})
}

// formatEra formats the era of the platform's store that a host's targets belong to, with
// the newest era that the host knows of if that is a later one.
func formatEra(s *steerer.SyncStatus) string {
	switch {
	case s.Era == 0:
		return "none"
	case s.TargetsEra < s.Era:
		return fmt.Sprintf("%d of %d", s.TargetsEra, s.Era)
	}
	return fmt.Sprint(s.Era)
}

// formatEvacuated lists the zones that are evacuated according to a host.
func formatEvacuated(s *steerer.SyncStatus) string {
	switch {
	case s.OrdersRevision == 0:
		return "unknown"
	case len(s.Evacuated) == 0:
		return "none"
	}
	return strings.Join(s.Evacuated, ",")
}

// formatAge formats an age, rounded to 10 ms.
func formatAge(age time.Duration) string { return age.Round(10 * time.Millisecond).String() }
