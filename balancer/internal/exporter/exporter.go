// Package exporter serves a host's admin address over HTTP: its metrics, a health check,
// and any handlers that its user adds.
package exporter

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// Kind classifies errors.
type Kind uint8

// The kinds of Error.
const (
	// KindListen means that the host can't listen on the admin address.
	KindListen Kind = iota + 1
	// KindServe means that the HTTP server on it failed.
	KindServe
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

const (
	readHeaderTimeout = 5 * time.Second
	// smallestBucket, bucketGrowth and bucketCount span the latencies that matter to
	// callers, from a quarter of a millisecond to half a minute.
	smallestBucket = 250 * time.Microsecond
	bucketGrowth   = 2
	bucketCount    = 18
)

// Exporter manages the admin address and the metrics of a host.
type Exporter struct {
	Scope tally.Scope
	// Mux accepts further handlers before Run.
	Mux           *http.ServeMux
	flushInterval time.Duration
	listener      net.Listener
	closeScope    func() error
	buckets       tally.Buckets
	lastValues    map[string]uint64
}

// New listens on the admin address. flushInterval is the maximum age of exported values.
func New(admin netip.AddrPort, host string, flushInterval time.Duration) (*Exporter, error) {
	listener, err := net.Listen("tcp", admin.String())
	if err != nil {
		return nil, &Error{Op: "listen on admin address", Kind: KindListen, Err: err}
	}
	metrics := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "cranberryspan",
		Tags:           map[string]string{"host": host},
		CachedReporter: metrics,
		Separator:      prometheus.DefaultSeparator,
		// The names of the library's metrics about itself are rejected by scrapers.
		OmitCardinalityMetrics: true,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
	}, flushInterval)
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics.HTTPHandler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintln(w, "ok") })
	return &Exporter{
		Scope:         scope,
		Mux:           mux,
		flushInterval: flushInterval,
		listener:      listener,
		closeScope:    closer.Close,
		buckets:       tally.MustMakeExponentialDurationBuckets(smallestBucket, bucketGrowth, bucketCount),
		lastValues:    map[string]uint64{},
	}, nil
}

// Run serves, and calls collect once per flush interval, until the context is canceled. The
// returned channel receives two values: the errors, or nil, that stopped the server and the
// collector.
func (e *Exporter) Run(ctx context.Context, collect func(ctx context.Context)) <-chan error {
	done := make(chan error, 2)
	server := &http.Server{Handler: e.Mux, ReadHeaderTimeout: readHeaderTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() {
		err := server.Serve(e.listener)
		if errors.Is(err, http.ErrServerClosed) {
			done <- nil
			return
		}
		done <- &Error{Op: "serve admin address", Kind: KindServe, Err: err}
	}()
	go func() { done <- e.collect(ctx, collect) }()
	return done
}

func (e *Exporter) collect(ctx context.Context, collect func(ctx context.Context)) error {
	ticker := time.NewTicker(e.flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return e.closeScope()
		case <-ticker.C:
			collect(ctx)
		}
	}
}

// SetCounter raises a counter to value, which must never decrease. A counter is exported
// from the first call on, even while it is zero, so that alerts on it can tell zero from
// missing data.
func (e *Exporter) SetCounter(name, reason string, value uint64) {
	key := name + "/" + reason
	if last, exists := e.lastValues[key]; exists && value == last {
		return
	}
	e.Scope.Tagged(map[string]string{"reason": reason}).Counter(name).Inc(int64(value - e.lastValues[key]))
	e.lastValues[key] = value
}

// Histogram returns the latency histogram with the given name and tags.
func (e *Exporter) Histogram(name string, tags map[string]string) tally.Histogram {
	return e.Scope.Tagged(tags).Histogram(name, e.buckets)
}

// BoolToFloat returns 1 if a condition holds and 0 otherwise.
func BoolToFloat(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
