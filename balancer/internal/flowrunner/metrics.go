package flowrunner

import (
	"context"
	"time"

	"cranberryspan.dev/balancer/internal/exporter"
	"cranberryspan.dev/core/steerer"
	"github.com/uber-go/tally/v4"
)

const (
	// flushInterval is the maximum age of exported metrics. Operators read them every
	// 5 s.
	flushInterval = 2 * time.Second
	// maxRouteHistograms limits the number of latency histograms, since a fleet may have
	// thousands of routes. The routes beyond the limit share one histogram.
	maxRouteHistograms = 64
	// otherRoutesLabel names the histogram of the routes beyond maxRouteHistograms.
	otherRoutesLabel = "other"
)

// metrics exports a host's metrics.
type metrics struct {
	exporter          *exporter.Exporter
	latencyHistograms map[string]tally.Histogram
}

// recordLatency records the time from a request to its caller's acknowledgment of the first
// bytes of the response, as seen by this host.
func (m *metrics) recordLatency(e *steerer.ObserveLatency) {
	name := e.Route.Name
	histogram, ok := m.latencyHistograms[name]
	if !ok && len(m.latencyHistograms) >= maxRouteHistograms {
		name = otherRoutesLabel
		histogram, ok = m.latencyHistograms[name]
	}
	if !ok {
		histogram = m.exporter.Histogram("answer_latency", map[string]string{"route": name, "kind": e.Route.Kind.String()})
		m.latencyHistograms[name] = histogram
	}
	histogram.RecordDuration(e.Latency)
}

// collect copies the host's counters and state into the metrics.
func (r *Runner) collect(ctx context.Context) {
	var snapshot steerer.Snapshot
	if r.inspector.Inspect(ctx, func(s *steerer.Steerer) { snapshot = s.Snapshot() }) != nil {
		return // The host is shutting down.
	}
	e := r.metrics.exporter
	snapshot.Counters.Each(func(name string, value uint64) { e.SetCounter("decisions", name, value) })
	for name, read := range r.transportCounterReaders {
		e.SetCounter("transport", name, read())
	}
	e.Scope.Gauge("flows").Update(float64(snapshot.Flows))
	e.Scope.Gauge("targets").Update(float64(snapshot.Targets))
	e.Scope.Gauge("targets_unreachable").Update(float64(snapshot.Unreachable))
	e.Scope.Gauge("targets_cold").Update(float64(snapshot.Cold))
	e.Scope.Gauge("targets_slow").Update(float64(snapshot.Slow))
	e.Scope.Gauge("zones_evacuated").Update(float64(snapshot.Evacuated))
	e.Scope.Gauge("peers").Update(float64(snapshot.Peers))
	e.Scope.Gauge("peers_live").Update(float64(snapshot.Live))
	e.Scope.Gauge("settings_version").Update(float64(snapshot.Version))
	e.Scope.Gauge("store_era").Update(float64(snapshot.Era))
	e.Scope.Gauge("settings_age_seconds").Update(snapshot.SettingsAge.Seconds())
	e.Scope.Gauge("targets_age_seconds").Update(snapshot.TargetsAge.Seconds())
	e.Scope.Gauge("requests_paced").Update(float64(snapshot.Queued))
	e.Scope.Gauge("callers_kept").Update(float64(snapshot.Callers))
	e.Scope.Gauge("services_pressed").Update(float64(snapshot.Congested))
	e.Scope.Gauge("services_short").Update(float64(snapshot.Overloaded))
	e.Scope.Gauge("fullest_service_room_slots").Update(snapshot.Capacity)
	e.Scope.Gauge("fullest_service_demand_slots").Update(snapshot.Demand)
	e.Scope.Gauge("connections").Update(float64(snapshot.Connections))
	e.Scope.Gauge("connection_places").Update(float64(snapshot.ConnectionCapacity))
	e.Scope.Gauge("ready").Update(exporter.BoolToFloat(snapshot.Ready))
}

// transportCounters returns functions that read the counters of the components, by name.
func (r *Runner) transportCounters() map[string]func() uint64 {
	return map[string]func() uint64{
		"packets":               r.forwarder.Counters.Received.Load,
		"packetMalformed":       r.forwarder.Counters.Malformed.Load,
		"packetOverflow":        r.forwarder.Counters.Overflow.Load,
		"packetSendFailed":      r.forwarder.Counters.SendFailed.Load,
		"reportUnreadable":      r.gossiper.Counters.Rejected.Load,
		"reportSendFailed":      r.gossiper.Counters.SendFailed.Load,
		"reportBytes":           r.gossiper.Counters.SentBytes.Load,
		"questionsRefused":      r.exchanger.Rejected.Load,
		"transferReceivedBytes": func() uint64 { received, _ := r.meter.Totals(); return received },
		"transferSentBytes":     func() uint64 { _, sent := r.meter.Totals(); return sent },
		"logLinesLeftOut":       r.log.Dropped,
	}
}
