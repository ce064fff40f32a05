// Package reporter shows operators what a host does: metrics, health, status
// and flows over HTTP.
package reporter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"cranberryspan.dev/core/reducer"
	"cranberryspan.dev/core/resolver"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// Kind tells callers which sort of failure an Error is.
type Kind uint8

// The kinds of Error.
const (
	// KindListen means that the admin address can't be served.
	KindListen Kind = iota + 1
	// KindMetrics means that the metrics can't be set up.
	KindMetrics
)

// Error is the one error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

const (
	readTimeout    = 5 * time.Second
	flushEvery     = time.Second
	defaultFlows   = 100
	maxListedFlows = 10_000
)

// Inspector runs a function on the host's reducer, between two events.
type Inspector func(ctx context.Context, look func(*reducer.Reducer)) error

// Reporter owns the admin address and the metrics of a host.
type Reporter struct {
	inspect  Inspector
	listener net.Listener
	scope    tally.Scope
	closer   func() error
	handler  http.Handler
	buckets  tally.Buckets
	gauges   map[string]func() uint64
	last     map[string]uint64
}

// New listens on the admin address. gauges are counters of other parts by name.
func New(admin netip.AddrPort, host string, inspect Inspector, gauges map[string]func() uint64) (*Reporter, error) {
	listener, err := net.Listen("tcp", admin.String())
	if err != nil {
		return nil, &Error{Op: "listen for admin", Kind: KindListen, Err: err}
	}
	metrics := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "cranberryspan",
		Tags:           map[string]string{"host": host},
		CachedReporter: metrics,
		Separator:      prometheus.DefaultSeparator,
		// The library's metrics about itself have names that scrapers refuse.
		OmitCardinalityMetrics: true,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
	}, flushEvery)
	return &Reporter{
		inspect:  inspect,
		listener: listener,
		scope:    scope,
		closer:   closer.Close,
		handler:  metrics.HTTPHandler(),
		buckets:  tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 2, 18),
		gauges:   gauges,
		last:     map[string]uint64{},
	}, nil
}

// Completed records the latency of a request for its tenant and service.
func (r *Reporter) Completed(service *resolver.Service, latency time.Duration) {
	r.scope.Tagged(map[string]string{"tenant": service.Tenant, "service": service.Name}).
		Histogram("request_latency", r.buckets).RecordDuration(latency)
}

// Run serves until the context ends, and reports the ends of its server and its
// collector on the returned channel, which gets two values.
func (r *Reporter) Run(ctx context.Context) <-chan error {
	ends := make(chan error, 2)
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", r.handler)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", r.ready)
	mux.HandleFunc("GET /status", r.status)
	mux.HandleFunc("GET /flows", r.flows)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() {
		err := server.Serve(r.listener)
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		ends <- err
	}()
	go func() { ends <- r.collect(ctx) }()
	return ends
}

// collect copies counters and gauges into the metrics once a second.
func (r *Reporter) collect(ctx context.Context) error {
	ticker := time.NewTicker(flushEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return r.closer()
		case <-ticker.C:
			r.collectOnce(ctx)
		}
	}
}

func (r *Reporter) collectOnce(ctx context.Context) {
	var snapshot reducer.Snapshot
	if r.inspect(ctx, func(host *reducer.Reducer) { snapshot = host.Snapshot() }) != nil {
		return
	}
	for name, value := range snapshot.Counts {
		r.add("decisions", name, value)
	}
	for name, read := range r.gauges {
		r.add("transport", name, read())
	}
	r.scope.Gauge("revision").Update(float64(snapshot.Revision))
	r.scope.Gauge("rejected_revision").Update(float64(snapshot.RejectedRevision))
	r.scope.Gauge("flows").Update(float64(snapshot.Flows))
	r.scope.Gauge("requests").Update(float64(snapshot.Requests))
	r.scope.Gauge("quorum").Update(oneIf(snapshot.Quorum))
	r.scope.Gauge("ready").Update(oneIf(snapshot.Ready))
	for _, s := range snapshot.Services {
		for _, t := range s.Targets {
			scope := r.scope.Tagged(map[string]string{"service": s.Service, "target": t.Target})
			scope.Gauge("target_in_flight").Update(float64(t.InFlight))
			scope.Gauge("target_ejected").Update(oneIf(t.Ejected))
		}
	}
}

func (r *Reporter) add(name, reason string, value uint64) {
	key := name + "/" + reason
	r.scope.Tagged(map[string]string{"reason": reason}).Counter(name).Inc(int64(value - r.last[key]))
	r.last[key] = value
}

func oneIf(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

func (r *Reporter) ready(w http.ResponseWriter, request *http.Request) {
	ready := false
	err := r.inspect(request.Context(), func(host *reducer.Reducer) { ready = host.Ready() })
	if err != nil || !ready {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, "ready")
}

func (r *Reporter) status(w http.ResponseWriter, request *http.Request) {
	var snapshot reducer.Snapshot
	if err := r.inspect(request.Context(), func(host *reducer.Reducer) { snapshot = host.Snapshot() }); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, snapshot)
}

func (r *Reporter) flows(w http.ResponseWriter, request *http.Request) {
	limit := defaultFlows
	if text := request.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxListedFlows {
			http.Error(w, fmt.Sprintf("limit: expected a whole number from 1 to %d", maxListedFlows), http.StatusBadRequest)
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
