// Package watcher reads the settings tree and the list of hosts from the platform. It never
// writes to the platform.
package watcher

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"cranberryspan.dev/core/reducer"
	"cranberryspan.dev/core/resolver"
)

// Kind classifies errors.
type Kind uint8

// The kinds of Error.
const (
	// KindUnreachable means that the platform did not respond, or not completely.
	KindUnreachable Kind = iota + 1
	// KindInvalidResponse means that the platform's response is invalid or outdated.
	KindInvalidResponse
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
	// longPollTimeout limits how long the platform holds a request while the settings do
	// not change. hostsInterval, between two reads of the list of hosts, limits it further.
	longPollTimeout = 20 * time.Second
	// readTimeout exceeds longPollTimeout, so that the platform ends a long poll first.
	readTimeout   = longPollTimeout + 5*time.Second
	minBackoff    = 300 * time.Millisecond
	maxBackoff    = 5 * time.Second
	hostsInterval = 5 * time.Second
	// RevisionHeader carries the revision of a settings document.
	RevisionHeader = "Settings-Revision"
)

// Watcher polls the platform while it is enabled.
type Watcher struct {
	platform *url.URL
	client   *http.Client
	events   chan<- reducer.Event
	enabled  chan bool
	revision atomic.Uint64
	// Requests counts the requests to the platform; Failures those that failed.
	Requests atomic.Uint64
	Failures atomic.Uint64
}

// New returns an enabled Watcher, since a host starts without settings and has to read
// them.
func New(platform *url.URL, events chan<- reducer.Event) *Watcher {
	return &Watcher{platform: platform, client: &http.Client{Timeout: readTimeout}, events: events, enabled: make(chan bool, 16)}
}

// SetEnabled starts or stops polling. It does not block: a change is discarded if too many
// are pending.
func (w *Watcher) SetEnabled(enabled bool) {
	select {
	case w.enabled <- enabled:
	default:
	}
}

// SetRevision sets the revision in force; only settings above it are read.
func (w *Watcher) SetRevision(revision uint64) { w.revision.Store(revision) }

// Run polls until the context is canceled. The returned channel then receives nil.
func (w *Watcher) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		w.run(ctx)
		done <- nil
	}()
	return done
}

func (w *Watcher) run(ctx context.Context) {
	enabled := true
	for ctx.Err() == nil {
		watchCtx, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func(enabled bool) {
			defer close(done)
			if enabled {
				w.watch(watchCtx)
			}
		}(enabled)
		select {
		case <-ctx.Done():
		case enabled = <-w.enabled:
		}
		cancel()
		<-done
	}
}

func (w *Watcher) watch(ctx context.Context) {
	backoff := minBackoff
	var nextHostsRead time.Time
	for ctx.Err() == nil {
		if time.Now().After(nextHostsRead) {
			w.readHosts(ctx)
			nextHostsRead = time.Now().Add(hostsInterval)
		}
		if err := w.readSettings(ctx); err == nil {
			backoff = minBackoff
			continue
		}
		w.Failures.Add(1)
		// Jitter spreads the retries of hosts that lost the platform at the same time.
		delay := backoff/2 + rand.N(backoff)
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (w *Watcher) readSettings(ctx context.Context) error {
	const op = "read settings"
	query := url.Values{
		"above":  {strconv.FormatUint(w.revision.Load(), 10)},
		"waitMs": {strconv.FormatInt(min(longPollTimeout, hostsInterval).Milliseconds(), 10)},
	}
	response, err := w.get(ctx, "settings", query)
	if err != nil {
		return &Error{Op: op, Kind: KindUnreachable, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotModified {
		return nil
	}
	if response.StatusCode != http.StatusOK {
		return &Error{Op: op, Kind: KindInvalidResponse, Err: fmt.Errorf("unexpected HTTP status %d", response.StatusCode)}
	}
	revision, err := strconv.ParseUint(response.Header.Get(RevisionHeader), 10, 64)
	if err != nil {
		return &Error{Op: op, Kind: KindInvalidResponse, Err: err}
	}
	// One byte above the limit is enough to detect that a document is too large.
	document, err := io.ReadAll(io.LimitReader(response.Body, resolver.MaxDocumentBytes+1))
	if err != nil {
		return &Error{Op: op, Kind: KindUnreachable, Err: err}
	}
	if w.revision.Load() >= revision {
		// The platform's state is stale. The error causes a backoff, since an immediate
		// retry would only load the platform.
		return &Error{Op: op, Kind: KindInvalidResponse, Err: fmt.Errorf("stale response: revision %d is not above the known revision %d", revision, w.revision.Load())}
	}
	w.emit(ctx, &reducer.SettingsPublished{Revision: revision, Document: document})
	w.revision.Store(revision)
	return nil
}

// hostEntry is one entry of the platform's list of hosts.
type hostEntry struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

func (w *Watcher) readHosts(ctx context.Context) {
	response, err := w.get(ctx, "hosts", nil)
	if err != nil {
		w.Failures.Add(1)
		return
	}
	defer func() { _ = response.Body.Close() }()
	var hosts []hostEntry
	if json.NewDecoder(io.LimitReader(response.Body, resolver.MaxDocumentBytes)).Decode(&hosts) != nil {
		w.Failures.Add(1)
		return
	}
	event := &reducer.HostsPublished{}
	for _, h := range hosts {
		if h.State == "leaving" {
			event.ShuttingDown = append(event.ShuttingDown, h.Name)
		}
	}
	w.emit(ctx, event)
}

func (w *Watcher) emit(ctx context.Context, event reducer.Event) {
	select {
	case w.events <- event:
	case <-ctx.Done():
	}
}

func (w *Watcher) get(ctx context.Context, path string, query url.Values) (*http.Response, error) {
	w.Requests.Add(1)
	address := w.platform.JoinPath(path)
	address.RawQuery = query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), nil)
	if err != nil {
		return nil, err
	}
	return w.client.Do(request)
}
