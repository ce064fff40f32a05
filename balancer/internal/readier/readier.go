// Package readier serves the fabric's readiness checks over HTTP.
package readier

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"
)

// Kind classifies errors.
type Kind uint8

// KindListen means that the host can't listen on the address for readiness checks.
const KindListen Kind = 1

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// readHeaderTimeout closes connections on which no request arrives.
const readHeaderTimeout = 5 * time.Second

// Server serves readiness checks: status 200 while the host accepts packets, otherwise 503.
type Server struct {
	listener net.Listener
	path     string
	ready    atomic.Bool
}

// New listens on an address. path is the path of the readiness checks.
func New(address netip.AddrPort, path string) (*Server, error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, &Error{Op: "listen for readiness checks", Kind: KindListen, Err: err}
	}
	return &Server{listener: listener, path: path}, nil
}

// SetReady sets whether the host is ready; at first it is not.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Run serves until the context is canceled. The returned channel receives the error that
// stopped it, or nil.
func (s *Server) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+s.path, func(w http.ResponseWriter, _ *http.Request) {
		if !s.ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() {
		err := server.Serve(s.listener)
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		done <- err
	}()
	return done
}
