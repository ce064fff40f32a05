// Package reporter serves a host's metrics, health, readiness, status and flows to
// operators over HTTP.
package reporter

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"cranberryspan.dev/balancer/internal/exporter"
	"cranberryspan.dev/core/reducer"
	"cranberryspan.dev/core/resolver"
)

const (
	flushInterval    = time.Second
	defaultFlowLimit = 100
	maxFlowLimit     = 10_000
)

// InspectFunc runs a function on the host's reducer, between two of its events.
type InspectFunc func(ctx context.Context, fn func(*reducer.Reducer)) error

// Reporter exports the state of one host.
type Reporter struct {
	inspect  InspectFunc
	exporter *exporter.Exporter
	counters map[string]func() uint64
}

// New listens on the admin address. counters read the counters of other components, by
// name.
func New(admin netip.AddrPort, host string, inspect InspectFunc, counters map[string]func() uint64) (*Reporter, error) {
	e, err := exporter.New(admin, host, flushInterval)
	if err != nil {
		return nil, err
	}
	return &Reporter{inspect: inspect, exporter: e, counters: counters}, nil
}

// RecordLatency adds the latency of a request to the histogram of its tenant and service.
func (r *Reporter) RecordLatency(service *resolver.Service, latency time.Duration) {
	r.exporter.Histogram("request_latency", map[string]string{"tenant": service.Tenant, "service": service.Name}).RecordDuration(latency)
}

// Run serves until the context is canceled. The returned channel receives two values: the
// errors, or nil, that stopped the server and the collector.
func (r *Reporter) Run(ctx context.Context) <-chan error {
	r.exporter.Mux.HandleFunc("GET /readyz", r.serveReady)
	r.exporter.Mux.HandleFunc("GET /status", r.serveStatus)
	r.exporter.Mux.HandleFunc("GET /flows", r.serveFlows)
	return r.exporter.Run(ctx, r.collect)
}

// collect copies the host's counters and state into the metrics.
func (r *Reporter) collect(ctx context.Context) {
	var snapshot reducer.Snapshot
	if r.inspect(ctx, func(host *reducer.Reducer) { snapshot = host.Snapshot() }) != nil {
		return
	}
	scope := r.exporter.Scope
	for name, value := range snapshot.Counts {
		r.exporter.SetCounter("decisions", name, value)
	}
	for name, read := range r.counters {
		r.exporter.SetCounter("transport", name, read())
	}
	scope.Gauge("revision").Update(float64(snapshot.Revision))
	scope.Gauge("rejected_revision").Update(float64(snapshot.RejectedRevision))
	scope.Gauge("flows").Update(float64(snapshot.Flows))
	scope.Gauge("requests").Update(float64(snapshot.Requests))
	scope.Gauge("quorum").Update(exporter.BoolToFloat(snapshot.Quorum))
	scope.Gauge("ready").Update(exporter.BoolToFloat(snapshot.Ready))
	for _, s := range snapshot.Services {
		for _, t := range s.Targets {
			scope := scope.Tagged(map[string]string{"service": s.Service, "target": t.Target})
			scope.Gauge("target_in_flight").Update(float64(t.InFlight))
			scope.Gauge("target_ejected").Update(exporter.BoolToFloat(t.Ejected))
		}
	}
}

func (r *Reporter) serveReady(w http.ResponseWriter, request *http.Request) {
	ready := false
	err := r.inspect(request.Context(), func(host *reducer.Reducer) { ready = host.Ready() })
	if err != nil || !ready {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, "ready")
}

func (r *Reporter) serveStatus(w http.ResponseWriter, request *http.Request) {
	var snapshot reducer.Snapshot
	if err := r.inspect(request.Context(), func(host *reducer.Reducer) { snapshot = host.Snapshot() }); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, snapshot)
}

func (r *Reporter) serveFlows(w http.ResponseWriter, request *http.Request) {
	limit := defaultFlowLimit
	if text := request.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxFlowLimit {
			http.Error(w, fmt.Sprintf("limit: expected a whole number from 1 to %d", maxFlowLimit), http.StatusBadRequest)
			return
		}
		limit = n
	}
	var flows []reducer.FlowStatus
	if err := r.inspect(request.Context(), func(host *reducer.Reducer) { flows = host.Flows(limit) }); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, flows)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
