// Package exporter serves a host's admin address: its metrics, and whatever else
// its owner adds.
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

// Kind tells callers which sort of failure an Error is.
type Kind uint8

// The kinds of Error.
const (
	// KindListen means that the admin address can't be served.
	KindListen Kind = iota + 1
	// KindServe means that serving it failed.
	KindServe
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
	readHeaderTimeout = 5 * time.Second
	// smallestBucket, bucketGrowth and buckets span the latencies that matter to
	// callers, from a quarter of a millisecond to half a minute.
	smallestBucket = 250 * time.Microsecond
	bucketGrowth   = 2
	bucketCount    = 18
)

// Exporter owns the admin address and the metrics of a host.
type Exporter struct {
	Scope tally.Scope
	// Mux takes further handlers before Run.
	Mux           *http.ServeMux
	flushInterval time.Duration
	listener      net.Listener
	closeScope    func() error
	buckets       tally.Buckets
	lastValues    map[string]uint64
}

// New listens on the admin address. flushInterval is the age that a figure may have
// when it is read.
func New(admin netip.AddrPort, host string, flushInterval time.Duration) (*Exporter, error) {
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

// Run serves, and calls collect before each flush, until the context ends. Server
// and collector report their ends on the returned channel, which gets two values.
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
		done <- &Error{Op: "serve admin", Kind: KindServe, Err: err}
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

// SetCounter brings a counter to a value that only grows. A counter is shown from the
// first call on, also while it is zero: whoever watches it has to see that it is
// there.
func (e *Exporter) SetCounter(name, reason string, value uint64) {
	key := name + "/" + reason
	if last, exists := e.lastValues[key]; exists && value == last {
		return
	}
	e.Scope.Tagged(map[string]string{"reason": reason}).Counter(name).Inc(int64(value - e.lastValues[key]))
	e.lastValues[key] = value
}

// Histogram returns a histogram of latencies with tags.
func (e *Exporter) Histogram(name string, tags map[string]string) tally.Histogram {
	return e.Scope.Tagged(tags).Histogram(name, e.buckets)
}

// BoolToFloat is 1 if a condition holds and 0 otherwise.
func BoolToFloat(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
