package measurer

import (
	"fmt"
	"strings"
	"time"

	"cranberryspan.dev/standin/internal/plotter"
)

// Measurements holds all measurements of a run.
type Measurements struct {
	Settings  []SettingsCost
	Fleets    []FleetCost
	Flows     []FlowCost
	Handovers []HandoverCost
	Requests  []RequestCost
}

// MeasureAll measures all costs at several sizes. Before each measurement it calls progress with a
// description.
func MeasureAll(progress func(string)) Measurements {
	var m Measurements
	for _, size := range [][2]int{{100, 55}, {500, 275}, {1900, 1050}, {PlannedTargets, PlannedServices}} {
		progress(fmt.Sprintf("settings with %d targets", size[0]))
		m.Settings = append(m.Settings, MeasureSettings(size[0], size[1]))
	}
	for _, hosts := range []int{8, 30, 90, 300, PlannedHosts} {
		progress(fmt.Sprintf("fleet of %d hosts", hosts))
		m.Fleets = append(m.Fleets, MeasureFleet(hosts))
	}
	for _, flows := range []int{31_000, 100_000, 250_000, 500_000} {
		progress(fmt.Sprintf("%d flows", flows))
		m.Flows = append(m.Flows, MeasureFlows(flows))
	}
	for _, flows := range []int{1000, 5000, 31_000} {
		progress(fmt.Sprintf("handover of %d flows", flows))
		m.Handovers = append(m.Handovers, MeasureHandover(flows))
	}
	for _, rate := range []int{50, 200, 1000} {
		progress(fmt.Sprintf("%d non-idempotent requests a second", rate))
		m.Requests = append(m.Requests, MeasureRequests(rate))
	}
	return m
}

// HostEstimate is the estimated cost of one host at the planned size in two years.
type HostEstimate struct {
	Flows                   float64
	FlowMemoryBytes         float64
	MemoryBytes             float64
	HeartbeatBytesPerSecond float64
	WitnessBytesPerSecond   float64
	SettingsBytesPerSecond  float64
	HandoverBytesPerSecond  float64
	ControlBytesPerSecond   float64
	ControlCPUShare         float64
	Propagation             time.Duration
}

// EstimateHost derives the estimate for one host from the measurements.
func (m Measurements) EstimateHost() HostEstimate {
	fleet := m.Fleets[len(m.Fleets)-1]
	settings := m.Settings[len(m.Settings)-1]
	handover := m.Handovers[len(m.Handovers)-1]
	request := m.Requests[0]
	const secondsPerDay = 86_400
	estimate := HostEstimate{Flows: float64(PlannedFlows) / PlannedHosts, Propagation: fleet.Propagation}
	estimate.FlowMemoryBytes = estimate.Flows * m.Flows[0].BytesPerFlow
	estimate.MemoryBytes = estimate.FlowMemoryBytes + float64(settings.MemoryBytes)
	estimate.HeartbeatBytesPerSecond = fleet.MaxBytesPerSecond
	// Every new flow is counted as one non-idempotent request.
	estimate.WitnessBytesPerSecond = float64(PlannedNewFlowsPerSecond) / PlannedHosts * request.BytesPerRequest
	estimate.SettingsBytesPerSecond = float64(settings.CompressedBytes) * PlannedChangesPerDay / secondsPerDay
	bytesPerFlow := float64(handover.Bytes) / float64(handover.Flows)
	estimate.HandoverBytesPerSecond = bytesPerFlow * estimate.Flows * PlannedRestartsPerDay / PlannedHosts / secondsPerDay
	estimate.ControlBytesPerSecond = estimate.HeartbeatBytesPerSecond + estimate.WitnessBytesPerSecond + estimate.SettingsBytesPerSecond + 2*estimate.HandoverBytesPerSecond
	adoptionCPUShare := settings.ChangeTime.Seconds() * PlannedChangesPerDay / secondsPerDay
	estimate.ControlCPUShare = fleet.CPUShare + adoptionCPUShare
	return estimate
}

// pageWriter writes one formatted line of the page.
type pageWriter func(format string, args ...any)

// tableHead writes a section heading and the header of its table.
func (w pageWriter) tableHead(title string, columns ...string) {
	w("## %s", title)
	w("")
	w("| %s |", strings.Join(columns, " | "))
	w("|%s", strings.Repeat(" --- |", len(columns)))
}

// plots writes the images that follow a table.
func (w pageWriter) plots(names ...string) {
	w("")
	for _, name := range names {
		w("![%s](plots/%s.svg)", name, name)
	}
	w("")
}

// Page returns the measurements as a Markdown page.
func (m Measurements) Page() string {
	var b strings.Builder
	line := pageWriter(func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) })
	line("# Measured figures")
	line("")
	line("Written by `make capacity`; docs/CAPACITY.md explains them. Times depend on")
	line("the machine; bytes and counts do not.")
	line("")
	m.settingsTable(line)
	m.fleetTable(line)
	m.flowTable(line)
	m.requestTable(line)
	m.estimateTable(line)
	return b.String()
}

func (m Measurements) settingsTable(line pageWriter) {
	line.tableHead(fmt.Sprintf("Settings tree with %d hosts", PlannedHosts), "targets", "services", "bytes", "compressed", "resolve", "adopt", "small change", "memory of a host")
	for _, p := range m.Settings {
		line("| %d | %d | %d | %d | %s | %s | %s | %.1f MB |", p.Targets, p.Services, p.DocumentBytes, p.CompressedBytes, roundDuration(p.ResolveTime), roundDuration(p.AdoptTime), roundDuration(p.ChangeTime), float64(p.MemoryBytes)/(1<<20))
	}
	line.plots("settings")
}

func (m Measurements) fleetTable(line pageWriter) {
	line.tableHead(fmt.Sprintf("Control traffic of a fleet in %d zones, a host and second", PlannedZones), "hosts", "messages", "bytes", "bytes, busiest", "share of a core", "probes", "change in force", "reads of the platform")
	for _, p := range m.Fleets {
		line("| %d | %.1f | %.0f | %.0f | %.2f%% | %.1f | %s | %d |", p.Hosts, p.MessagesPerSecond, p.BytesPerSecond, p.MaxBytesPerSecond, 100*p.CPUShare, p.ProbesPerSecond, roundDuration(p.Propagation), p.PlatformReads)
	}
	line.plots("fleet", "propagation")
}

func (m Measurements) flowTable(line pageWriter) {
	line.tableHead("Flows of one host", "flows", "bytes a flow", "packet of a known flow", "slowest tick of a sweep")
	for _, p := range m.Flows {
		line("| %d | %.1f | %s | %s |", p.Flows, p.BytesPerFlow, p.PacketTime, roundDuration(p.SlowestTick))
	}
	line.plots("flows")
	line.tableHead("Planned leave, cell of three", "flows", "until left", "bytes", "bytes a flow")
	for _, p := range m.Handovers {
		line("| %d | %s | %d | %.1f |", p.Flows, roundDuration(p.Duration), p.Bytes, float64(p.Bytes)/float64(p.Flows))
	}
	line.plots("handover")
}

func (m Measurements) requestTable(line pageWriter) {
	line.tableHead("Requests that must run once, cell of three", "a second", "control bytes a request")
	for _, p := range m.Requests {
		line("| %d | %.0f |", p.RequestsPerSecond, p.BytesPerRequest)
	}
	line.plots("requests")
}

func (m Measurements) estimateTable(line pageWriter) {
	estimate := m.EstimateHost()
	verdict := func(met bool) string {
		if met {
			return "met"
		}
		return "**missed**"
	}
	line.tableHead("One host at the two-year size, worked out", "what", "figure", "bound", "")
	line("| flows | %.0f | | |", estimate.Flows)
	line("| memory: flows %.1f MB, settings and tables %.1f MB | %.1f MB | 128 MB | %s |", estimate.FlowMemoryBytes/(1<<20), (estimate.MemoryBytes-estimate.FlowMemoryBytes)/(1<<20), estimate.MemoryBytes/(1<<20), verdict(estimate.MemoryBytes < MaxMemoryBytes))
	line("| heartbeats, busiest host | %.0f B/s | | |", estimate.HeartbeatBytesPerSecond)
	line("| identities of %d new flows a second | %.0f B/s | | |", PlannedNewFlowsPerSecond, estimate.WitnessBytesPerSecond)
	line("| settings, %d changes a day | %.0f B/s | | |", PlannedChangesPerDay, estimate.SettingsBytesPerSecond)
	line("| handovers, %d restarts a day | %.0f B/s | | |", PlannedRestartsPerDay, estimate.HandoverBytesPerSecond)
	line("| control in all | %.0f B/s | 14000 B/s | %s |", estimate.ControlBytesPerSecond, verdict(estimate.ControlBytesPerSecond < MaxControlBytesPerSecond))
	line("| processor for control | %.2f%% of a core | 4.8%% | %s |", 100*estimate.ControlCPUShare, verdict(estimate.ControlCPUShare < MaxCPUShare))
	line("| a change in force everywhere | %s | 9 s | %s |", roundDuration(estimate.Propagation), verdict(estimate.Propagation < MaxPropagation))
}

func roundDuration(d time.Duration) time.Duration {
	if d > time.Second {
		return d.Round(10 * time.Millisecond)
	}
	return d.Round(10 * time.Microsecond)
}

// Charts returns the charts by file name.
func (m Measurements) Charts() map[string]plotter.Chart {
	var adoption, change, bytes, propagation, flows, packet, handover, requests [][2]float64
	for _, p := range m.Settings {
		adoption = append(adoption, [2]float64{float64(p.Targets), p.AdoptTime.Seconds() * 1000})
		change = append(change, [2]float64{float64(p.Targets), p.ChangeTime.Seconds() * 1000})
	}
	for _, p := range m.Fleets {
		bytes = append(bytes, [2]float64{float64(p.Hosts), p.BytesPerSecond})
		propagation = append(propagation, [2]float64{float64(p.Hosts), p.Propagation.Seconds()})
	}
	for _, p := range m.Flows {
		flows = append(flows, [2]float64{float64(p.Flows), p.BytesPerFlow})
		packet = append(packet, [2]float64{float64(p.Flows), float64(p.PacketTime.Nanoseconds())})
	}
	for _, p := range m.Handovers {
		handover = append(handover, [2]float64{float64(p.Flows), p.Duration.Seconds()})
	}
	for _, p := range m.Requests {
		requests = append(requests, [2]float64{float64(p.RequestsPerSecond), p.BytesPerRequest})
	}
	return map[string]plotter.Chart{
		"settings.svg":    {Title: "Settings against targets", X: "targets", Y: "milliseconds", Series: []plotter.Series{{Name: "first adoption", Points: adoption}, {Name: "small change", Points: change}}},
		"fleet.svg":       {Title: "Control traffic against hosts", X: "hosts", Y: "bytes a second, each host", Series: []plotter.Series{{Name: "control", Points: bytes}}},
		"propagation.svg": {Title: "A change in force everywhere", X: "hosts", Y: "seconds", Series: []plotter.Series{{Name: "all hosts", Points: propagation}}},
		"flows.svg":       {Title: "Flow table", X: "flows of one host", Y: "bytes, nanoseconds", Series: []plotter.Series{{Name: "bytes a flow", Points: flows}, {Name: "ns a packet", Points: packet}}},
		"handover.svg":    {Title: "Planned leave", X: "flows of one host", Y: "seconds", Series: []plotter.Series{{Name: "until left", Points: handover}}},
		"requests.svg":    {Title: "Identities", X: "requests a second", Y: "control bytes a request", Series: []plotter.Series{{Name: "bytes", Points: requests}}},
	}
}
