// Package readier tells the fabric over HTTP whether this host takes packets.
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

// Kind tells callers which sort of failure an Error is.
type Kind uint8

// KindListen means that the address can't be served.
const KindListen Kind = 1

// Error is the one error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// headerTimeout ends connections on which no question comes.
const headerTimeout = 5 * time.Second

// Server answers whether the host is ready.
type Server struct {
	listener net.Listener
	path     string
	ready    atomic.Bool
}

// New listens on an address.
func New(address netip.AddrPort, path string) (*Server, error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, &Error{Op: "listen for readiness checks", Kind: KindListen, Err: err}
	}
	return &Server{listener: listener, path: path}, nil
}

// SetReady changes the answer.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Run answers until the context ends, and reports its end.
func (s *Server) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+s.path, func(w http.ResponseWriter, _ *http.Request) {
		if !s.ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
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
