package measurer

import (
	"fmt"
	"strings"
	"time"

	"cranberryspan.dev/standin/internal/plotter"
)

// Measures is all that one run measured.
type Measures struct {
	Settings  []SettingsPoint
	Fleets    []FleetPoint
	Flows     []FlowPoint
	Handovers []HandoverPoint
	Requests  []RequestPoint
}

// All measures every slope. progress gets a line for each point.
func All(progress func(string)) Measures {
	var m Measures
	for _, size := range [][2]int{{100, 55}, {500, 275}, {1900, 1050}, {TargetTargets, TargetServices}} {
		progress(fmt.Sprintf("settings with %d targets", size[0]))
		m.Settings = append(m.Settings, Settings(size[0], size[1]))
	}
	for _, hosts := range []int{8, 30, 90, 300, TargetHosts} {
		progress(fmt.Sprintf("fleet of %d hosts", hosts))
		m.Fleets = append(m.Fleets, Fleet(hosts))
	}
	for _, flows := range []int{31_000, 100_000, 250_000, 500_000} {
		progress(fmt.Sprintf("%d flows", flows))
		m.Flows = append(m.Flows, Flows(flows))
	}
	for _, flows := range []int{1000, 5000, 31_000} {
		progress(fmt.Sprintf("handover of %d flows", flows))
		m.Handovers = append(m.Handovers, Handover(flows))
	}
	for _, rate := range []int{50, 200, 1000} {
		progress(fmt.Sprintf("%d non-idempotent requests a second", rate))
		m.Requests = append(m.Requests, Requests(rate))
	}
	return m
}

// Derived is what the slopes mean for one host at the two-year size.
type Derived struct {
	FlowsAHost       float64
	FlowMemory       float64
	Memory           float64
	HeartbeatBytes   float64
	WitnessBytes     float64
	SettingsBytes    float64
	HandoverBytes    float64
	ControlBytes     float64
	ControlProcessor float64
	Propagation      time.Duration
}

// Derive works the figures out.
func (m Measures) Derive() Derived {
	fleet := m.Fleets[len(m.Fleets)-1]
	settings := m.Settings[len(m.Settings)-1]
	handover := m.Handovers[len(m.Handovers)-1]
	request := m.Requests[0]
	const secondsADay = 86_400
	d := Derived{FlowsAHost: float64(TargetFlows) / TargetHosts, Propagation: fleet.Propagation}
	d.FlowMemory = d.FlowsAHost * m.Flows[0].BytesAFlow
	d.Memory = d.FlowMemory + float64(settings.Memory)
	d.HeartbeatBytes = fleet.MaxBytes
	// Every new flow is taken for one request that must run once.
	d.WitnessBytes = float64(TargetFlowsASecond) / TargetHosts * request.BytesARequest
	d.SettingsBytes = float64(settings.Compressed) * TargetChangesADay / secondsADay
	perFlow := float64(handover.Bytes) / float64(handover.Flows)
	d.HandoverBytes = perFlow * d.FlowsAHost * TargetRestartsADay / TargetHosts / secondsADay
	d.ControlBytes = d.HeartbeatBytes + d.WitnessBytes + d.SettingsBytes + 2*d.HandoverBytes
	adopting := settings.Change.Seconds() * TargetChangesADay / secondsADay
	d.ControlProcessor = fleet.Processor + adopting
	return d
}

// pageWriter writes a line of the page.
type pageWriter func(format string, args ...any)

// table writes the head of a table below a section's title.
func (w pageWriter) table(title string, columns ...string) {
	w("## %s", title)
	w("")
	w("| %s |", strings.Join(columns, " | "))
	w("|%s", strings.Repeat(" --- |", len(columns)))
}

// plots ends a table with its pictures.
func (w pageWriter) plots(names ...string) {
	w("")
	for _, name := range names {
		w("![%s](plots/%s.svg)", name, name)
	}
	w("")
}

// Page writes the measures as Markdown.
func (m Measures) Page() string {
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
	m.derivedTable(line)
	return b.String()
}

func (m Measures) settingsTable(line pageWriter) {
	line.table(fmt.Sprintf("Settings tree with %d hosts", TargetHosts), "targets", "services", "bytes", "compressed", "resolve", "adopt", "small change", "memory of a host")
	for _, p := range m.Settings {
		line("| %d | %d | %d | %d | %s | %s | %s | %.1f MB |", p.Targets, p.Services, p.Bytes, p.Compressed, round(p.Resolve), round(p.Adopt), round(p.Change), float64(p.Memory)/(1<<20))
	}
	line.plots("settings")
}

func (m Measures) fleetTable(line pageWriter) {
	line.table(fmt.Sprintf("Control traffic of a fleet in %d zones, a host and second", TargetZones), "hosts", "messages", "bytes", "bytes, busiest", "share of a core", "probes", "change in force", "reads of the platform")
	for _, p := range m.Fleets {
		line("| %d | %.1f | %.0f | %.0f | %.2f%% | %.1f | %s | %d |", p.Hosts, p.Messages, p.Bytes, p.MaxBytes, 100*p.Processor, p.Probes, round(p.Propagation), p.Reads)
	}
	line.plots("fleet", "propagation")
}

func (m Measures) flowTable(line pageWriter) {
	line.table("Flows of one host", "flows", "bytes a flow", "packet of a known flow", "slowest tick of a sweep")
	for _, p := range m.Flows {
		line("| %d | %.1f | %s | %s |", p.Flows, p.BytesAFlow, p.Packet, round(p.SweepTick))
	}
	line.plots("flows")
	line.table("Planned leave, cell of three", "flows", "until left", "bytes", "bytes a flow")
	for _, p := range m.Handovers {
		line("| %d | %s | %d | %.1f |", p.Flows, round(p.Span), p.Bytes, float64(p.Bytes)/float64(p.Flows))
	}
	line.plots("handover")
}

func (m Measures) requestTable(line pageWriter) {
	line.table("Requests that must run once, cell of three", "a second", "control bytes a request")
	for _, p := range m.Requests {
		line("| %d | %.0f |", p.ASecond, p.BytesARequest)
	}
	line.plots("requests")
}

func (m Measures) derivedTable(line pageWriter) {
	d := m.Derive()
	verdict := func(met bool) string {
		if met {
			return "met"
		}
		return "**missed**"
	}
	line.table("One host at the two-year size, worked out", "what", "figure", "bound", "")
	line("| flows | %.0f | | |", d.FlowsAHost)
	line("| memory: flows %.1f MB, settings and tables %.1f MB | %.1f MB | 128 MB | %s |", d.FlowMemory/(1<<20), (d.Memory-d.FlowMemory)/(1<<20), d.Memory/(1<<20), verdict(d.Memory < BoundMemoryBytes))
	line("| heartbeats, busiest host | %.0f B/s | | |", d.HeartbeatBytes)
	line("| identities of %d new flows a second | %.0f B/s | | |", TargetFlowsASecond, d.WitnessBytes)
	line("| settings, %d changes a day | %.0f B/s | | |", TargetChangesADay, d.SettingsBytes)
	line("| handovers, %d restarts a day | %.0f B/s | | |", TargetRestartsADay, d.HandoverBytes)
	line("| control in all | %.0f B/s | 14000 B/s | %s |", d.ControlBytes, verdict(d.ControlBytes < BoundControlBytes))
	line("| processor for control | %.2f%% of a core | 4.8%% | %s |", 100*d.ControlProcessor, verdict(d.ControlProcessor < BoundProcessorShare))
	line("| a change in force everywhere | %s | 9 s | %s |", round(d.Propagation), verdict(d.Propagation < BoundPropagation))
}

func round(d time.Duration) time.Duration {
	if d > time.Second {
		return d.Round(10 * time.Millisecond)
	}
	return d.Round(10 * time.Microsecond)
}

// Charts returns the pictures, by file name.
func (m Measures) Charts() map[string]plotter.Chart {
	var parse, change, bytes, spread, flows, packet, handover, requests [][2]float64
	for _, p := range m.Settings {
		parse = append(parse, [2]float64{float64(p.Targets), p.Adopt.Seconds() * 1000})
		change = append(change, [2]float64{float64(p.Targets), p.Change.Seconds() * 1000})
	}
	for _, p := range m.Fleets {
		bytes = append(bytes, [2]float64{float64(p.Hosts), p.Bytes})
		spread = append(spread, [2]float64{float64(p.Hosts), p.Propagation.Seconds()})
	}
	for _, p := range m.Flows {
		flows = append(flows, [2]float64{float64(p.Flows), p.BytesAFlow})
		packet = append(packet, [2]float64{float64(p.Flows), float64(p.Packet.Nanoseconds())})
	}
	for _, p := range m.Handovers {
		handover = append(handover, [2]float64{float64(p.Flows), p.Span.Seconds()})
	}
	for _, p := range m.Requests {
		requests = append(requests, [2]float64{float64(p.ASecond), p.BytesARequest})
	}
	return map[string]plotter.Chart{
		"settings.svg":    {Title: "Settings against targets", X: "targets", Y: "milliseconds", Slopes: []plotter.Slope{{Name: "first adoption", Points: parse}, {Name: "small change", Points: change}}},
		"fleet.svg":       {Title: "Control traffic against hosts", X: "hosts", Y: "bytes a second, each host", Slopes: []plotter.Slope{{Name: "control", Points: bytes}}},
		"propagation.svg": {Title: "A change in force everywhere", X: "hosts", Y: "seconds", Slopes: []plotter.Slope{{Name: "all hosts", Points: spread}}},
		"flows.svg":       {Title: "Flow table", X: "flows of one host", Y: "bytes, nanoseconds", Slopes: []plotter.Slope{{Name: "bytes a flow", Points: flows}, {Name: "ns a packet", Points: packet}}},
		"handover.svg":    {Title: "Planned leave", X: "flows of one host", Y: "seconds", Slopes: []plotter.Slope{{Name: "until left", Points: handover}}},
		"requests.svg":    {Title: "Identities", X: "requests a second", Y: "control bytes a request", Slopes: []plotter.Slope{{Name: "bytes", Points: requests}}},
	}
}
