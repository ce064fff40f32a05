// Package asker reads the state of hosts from their admin addresses over HTTP.
package asker

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"cranberryspan.dev/core/reducer"
	"cranberryspan.dev/core/steerer"
)

// Kind classifies errors.
type Kind uint8

// The kinds of Error.
const (
	// KindUnreachable means that a host did not respond.
	KindUnreachable Kind = iota + 1
	// KindInvalidResponse means that a host responded with an error or with invalid JSON.
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
	timeout          = 3 * time.Second
	maxResponseBytes = 16 << 20
)

// Client reads the state of hosts.
type Client struct {
	client *http.Client
}

// New returns a Client that gives each request the same timeout.
func New() *Client { return &Client{client: &http.Client{Timeout: timeout}} }

// Status reads a host's snapshot. admin is an address such as 10.0.0.1:9000.
func (c *Client) Status(ctx context.Context, admin string) (reducer.Snapshot, error) {
	return get[reducer.Snapshot](ctx, c.client, admin, "/status", nil)
}

// Flows reads at most limit entries of a host's flow table.
func (c *Client) Flows(ctx context.Context, admin string, limit int) ([]reducer.FlowStatus, error) {
	return get[[]reducer.FlowStatus](ctx, c.client, admin, "/flows", url.Values{"limit": {fmt.Sprint(limit)}})
}

// Targets reads the state of all targets as estimated by a flow host.
func (c *Client) Targets(ctx context.Context, admin string) ([]steerer.TargetStatus, error) {
	return get[[]steerer.TargetStatus](ctx, c.client, admin, "/targets", nil)
}

// SyncStatus reads which settings and targets a flow host has, and who confirmed them.
func (c *Client) SyncStatus(ctx context.Context, admin string) (steerer.SyncStatus, error) {
	return get[steerer.SyncStatus](ctx, c.client, admin, "/knowledge", nil)
}

func get[T any](ctx context.Context, client *http.Client, admin, path string, query url.Values) (T, error) {
	op := "query host at " + admin
	var value T
	address := url.URL{Scheme: "http", Host: admin, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), nil)
	if err != nil {
		return value, &Error{Op: op, Kind: KindUnreachable, Err: err}
	}
	response, err := client.Do(request)
	if err != nil {
		return value, &Error{Op: op, Kind: KindUnreachable, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body := io.LimitReader(response.Body, maxResponseBytes)
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(body)
		return value, &Error{Op: op, Kind: KindInvalidResponse, Err: fmt.Errorf("%s: %s", response.Status, text)}
	}
	if err := json.NewDecoder(body).Decode(&value); err != nil {
		return value, &Error{Op: op, Kind: KindInvalidResponse, Err: err}
	}
	return value, nil
}
