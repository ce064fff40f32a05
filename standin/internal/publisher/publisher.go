// Package publisher emulates the platform: it serves a settings document that can be read and
// watched by revision, and a list of hosts that can be stale. Its control paths change what it
// serves and inject failures.
package publisher

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cranberryspan.dev/core/resolver"
)

// Error is the error type of this package.
type Error struct {
	Op  string
	Err error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// RevisionHeader is the HTTP header with the revision of a settings document.
const RevisionHeader = "Settings-Revision"

// Platform is an emulated platform.
type Platform struct {
	listener  net.Listener
	callCount atomic.Uint64

	mu        sync.Mutex
	documents [][]byte
	hosts     json.RawMessage
	mode      failureMode
	changed   chan struct{}
}

// failureMode holds the failures that the platform currently emulates.
type failureMode struct {
	// Down makes every read fail.
	Down bool `json:"down"`
	// ServedRevision is the revision to serve instead of the latest; zero serves the latest.
	ServedRevision uint64 `json:"stale"`
	// DelayMs delays every response by this number of milliseconds.
	DelayMs int `json:"slowMs"`
}

// New listens on an address and publishes a document as revision 1.
func New(address string, document []byte) (*Platform, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &Error{Op: "listen", Err: err}
	}
	return &Platform{
		listener:  listener,
		documents: [][]byte{document},
		hosts:     json.RawMessage("[]"),
		changed:   make(chan struct{}),
	}, nil
}

// Run serves until ctx is done. The returned channel then receives the result.
func (p *Platform) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /settings", p.serveSettings)
	mux.HandleFunc("GET /hosts", p.serveHosts)
	mux.HandleFunc("POST /control/publish", p.handlePublish)
	mux.HandleFunc("POST /control/hosts", p.handleSetHosts)
	mux.HandleFunc("POST /control/mode", p.handleSetMode)
	mux.HandleFunc("GET /control/calls", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, p.callCount.Load())
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() {
		err := server.Serve(p.listener)
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		done <- err
	}()
	return done
}

// applyFailureMode counts a call, applies the failure mode to it, and reports whether the handler
// must respond.
func (p *Platform) applyFailureMode(w http.ResponseWriter) bool {
	p.callCount.Add(1)
	p.mu.Lock()
	mode := p.mode
	p.mu.Unlock()
	time.Sleep(time.Duration(mode.DelayMs) * time.Millisecond)
	if mode.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
	}
	return !mode.Down
}

func (p *Platform) serveSettings(w http.ResponseWriter, request *http.Request) {
	if !p.applyFailureMode(w) {
		return
	}
	query := request.URL.Query()
	above, _ := strconv.ParseUint(query.Get("above"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		revision, document, changed := p.servedDocument()
		if revision > above || waitMs == 0 {
			w.Header().Set(RevisionHeader, strconv.FormatUint(revision, 10))
			_, _ = w.Write(document)
			return
		}
		select {
		case <-request.Context().Done():
			return
		case <-timeout:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-changed:
		}
	}
}

func (p *Platform) servedDocument() (uint64, []byte, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	revision := uint64(len(p.documents))
	if p.mode.ServedRevision > 0 && p.mode.ServedRevision < revision {
		revision = p.mode.ServedRevision
	}
	return revision, p.documents[revision-1], p.changed
}

func (p *Platform) serveHosts(w http.ResponseWriter, _ *http.Request) {
	if !p.applyFailureMode(w) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	_, _ = w.Write(p.hosts)
}

// handlePublish publishes a document as the next revision without validating it, so that tests
// can observe how hosts treat invalid documents.
func (p *Platform) handlePublish(w http.ResponseWriter, request *http.Request) {
	document, err := io.ReadAll(io.LimitReader(request.Body, 4*resolver.MaxDocumentBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.documents = append(p.documents, document)
	revision := len(p.documents)
	p.notifyWatchers()
	p.mu.Unlock()
	_, _ = fmt.Fprintln(w, revision)
}

func (p *Platform) handleSetHosts(w http.ResponseWriter, request *http.Request) {
	var hosts json.RawMessage
	if err := json.NewDecoder(request.Body).Decode(&hosts); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.hosts = hosts
	p.mu.Unlock()
}

func (p *Platform) handleSetMode(w http.ResponseWriter, request *http.Request) {
	var next failureMode
	if err := json.NewDecoder(request.Body).Decode(&next); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.mode = next
	p.notifyWatchers()
	p.mu.Unlock()
}

// notifyWatchers wakes all pending watches. The caller must hold mu.
func (p *Platform) notifyWatchers() {
	close(p.changed)
	p.changed = make(chan struct{})
}
