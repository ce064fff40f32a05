// Package exchanger sends sync requests to other hosts and serves theirs: one
// authenticated message each way over a WebSocket connection opened for the exchange.
// Connections are not reused, so none can break unnoticed while idle.
package exchanger

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cranberryspan.dev/balancer/internal/meterer"
	"cranberryspan.dev/core/encoder"
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/resolver"
	"cranberryspan.dev/core/sequencer"
	"cranberryspan.dev/core/steerer"
	"github.com/coder/websocket"
)

// Kind classifies errors.
type Kind uint8

// The kinds of Error.
const (
	// KindListen means that the host can't listen on its address.
	KindListen Kind = iota + 1
	// KindUnreachable means that the other host did not respond in time.
	KindUnreachable
	// KindMalformed means that a message can't be encoded or decoded.
	KindMalformed
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
	syncPath = "/knowledge"
	// readHeaderTimeout closes a connection on which no request arrives. It equals the longest
	// time that a host waits for a sync response.
	readHeaderTimeout = 2 * time.Second
	// exchangeTimeout limits a complete exchange. A document of 1 MB and a list of 3,800
	// targets, 170 KB when compressed, take 0.7 s on an otherwise idle link of 2 Mbit/s, and
	// a multiple of that on a full one.
	exchangeTimeout = 5 * time.Second
	// maxConcurrentRequests limits the requests served at once, so that each gets a fair share
	// of the link. Further requests are rejected, and the requesting hosts try another peer.
	maxConcurrentRequests = 4
	// gzipLevel takes less than half of the time of the default level on lists of targets,
	// for output that is a thirtieth larger.
	gzipLevel = 3
	// responseTimeBudget is how long the responses sent at once may take together, and
	// typicalResponseBytes is the size of one: 1,800 routes, compressed. On a slow link a host
	// serves one request at a time.
	responseTimeBudget   = 250 * time.Millisecond
	typicalResponseBytes = 50_000
)

// concurrentRequestLimit returns how many sync requests a host serves at once.
//
// If slow links served as many as fast ones, four responses at once would take 0.7 s on a
// link of 2 Mbit/s, every requesting host would time out before its response, and the bytes
// sent would be wasted. This would show after a change, as hosts that receive many sync
// requests and complete none.
func concurrentRequestLimit(linkBytesPerSecond int) int {
	if linkBytesPerSecond <= 0 {
		return maxConcurrentRequests
	}
	fit := int(float64(linkBytesPerSecond) * responseTimeBudget.Seconds() / typicalResponseBytes)
	return min(max(fit, 1), maxConcurrentRequests)
}

// SettingsDecoder decodes published settings.
type SettingsDecoder func(document []byte) (*steerer.Settings, error)

// RequestHandler builds the response to a sync request from the host's own state.
type RequestHandler func(ctx context.Context, request *messenger.SyncRequest) (*messenger.SyncResponse, error)

// Exchanger sends and serves sync requests.
type Exchanger struct {
	listener net.Listener
	codec    *encoder.MessageCodec
	decode   SettingsDecoder
	handler  RequestHandler
	events   chan<- steerer.Event
	outgoing sync.WaitGroup
	// client opens connections to other hosts.
	client *http.Client
	// requestSemaphore holds an element for each request being served.
	requestSemaphore chan struct{}
	// documentCache and targetsCache hold the last compressed settings document, by revision,
	// and the last compressed full list of targets, by position.
	documentCache compressionCache[uint64]
	targetsCache  compressionCache[sequencer.Position]
	// Rejected counts incoming requests that exceeded the limit of concurrent requests, could
	// not be decoded, or failed while being served.
	Rejected atomic.Uint64
}

// New listens on a host's address. linkBytesPerSecond is the rate of the host's link, 0 if
// unknown. The meter counts the bytes of requests and responses.
func New(address netip.AddrPort, linkBytesPerSecond int, codec *encoder.MessageCodec, decode SettingsDecoder, handler RequestHandler, meter *meterer.Meter, events chan<- steerer.Event) (*Exchanger, error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, &Error{Op: "listen for sync requests", Kind: KindListen, Err: err}
	}
	return &Exchanger{
		listener: meter.WrapListener(listener), codec: codec, decode: decode, handler: handler, events: events,
		client:           &http.Client{Transport: &http.Transport{DialContext: meter.Dial, DisableKeepAlives: true}},
		requestSemaphore: make(chan struct{}, concurrentRequestLimit(linkBytesPerSecond)),
	}, nil
}

// Run serves sync requests until the context is canceled. The returned channel receives the
// error that stopped it, or nil.
func (x *Exchanger) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+syncPath, func(w http.ResponseWriter, request *http.Request) {
		select {
		case x.requestSemaphore <- struct{}{}:
		default:
			x.Rejected.Add(1)
			http.Error(w, "busy with other questions", http.StatusServiceUnavailable)
			return
		}
		defer func() { <-x.requestSemaphore }()
		if err := x.handleRequest(ctx, w, request); err != nil {
			x.Rejected.Add(1)
		}
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() {
		err := server.Serve(x.listener)
		x.outgoing.Wait()
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		done <- err
	}()
	return done
}

func (x *Exchanger) handleRequest(ctx context.Context, w http.ResponseWriter, request *http.Request) error {
	conn, err := websocket.Accept(w, request, nil)
	if err != nil {
		return err
	}
	defer func() { _ = conn.CloseNow() }()
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	_, data, err := conn.Read(ctx)
	if err != nil {
		return err
	}
	from, body, err := x.codec.Decode(data)
	if err != nil {
		return err
	}
	syncRequest, ok := body.(*messenger.SyncRequest)
	if !ok {
		return fmt.Errorf("unexpected message %T, expected a sync request", body)
	}
	syncResponse, err := x.handler(ctx, syncRequest)
	if err != nil {
		return err
	}
	if err := x.compressSyncResponse(syncResponse); err != nil {
		return err
	}
	encoded, err := x.codec.Encode(from, syncResponse)
	if err != nil {
		return err
	}
	if err := conn.Write(ctx, websocket.MessageBinary, encoded); err != nil {
		return err
	}
	return conn.Close(websocket.StatusNormalClosure, "")
}

// Request sends a sync request. The response, or the error that prevented it, becomes an
// event.
func (x *Exchanger) Request(ctx context.Context, e *steerer.SendSyncRequest) {
	x.outgoing.Add(1)
	request := *e
	go func() {
		defer x.outgoing.Done()
		event := &steerer.SyncResponseReceived{From: request.Host}
		event.Response, event.Err = x.roundTrip(ctx, &request)
		if event.Err == nil && len(event.Response.CompressedSettings) > 0 {
			event.Document, event.Settings, event.Err = x.decodeDocument(event.Response.CompressedSettings)
		}
		select {
		case x.events <- event:
		case <-ctx.Done():
		}
	}()
}

// roundTrip sends a request and reads the response. The request's timeout applies only until the
// response begins to arrive; exchangeTimeout limits the complete exchange.
func (x *Exchanger) roundTrip(ctx context.Context, request *steerer.SendSyncRequest) (*messenger.SyncResponse, error) {
	const op = "sync with host"
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	ctx, cancelWait := context.WithCancel(ctx)
	defer cancelWait()
	responseTimer := time.AfterFunc(request.Timeout, cancelWait)
	defer responseTimer.Stop()
	conn, response, err := websocket.Dial(ctx, "ws://"+request.Address.String()+syncPath, &websocket.DialOptions{HTTPClient: x.client})
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		return nil, &Error{Op: op, Kind: KindUnreachable, Err: err}
	}
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(encoder.MaxControlBytes)
	encoded, err := x.codec.Encode(request.Host, request.Request)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindMalformed, Err: err}
	}
	if err := conn.Write(ctx, websocket.MessageBinary, encoded); err != nil {
		return nil, &Error{Op: op, Kind: KindUnreachable, Err: err}
	}
	_, reader, err := conn.Reader(ctx)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindUnreachable, Err: err}
	}
	responseTimer.Stop()
	data, err := io.ReadAll(reader)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindUnreachable, Err: err}
	}
	_, body, err := x.codec.Decode(data)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindMalformed, Err: err}
	}
	syncResponse, ok := body.(*messenger.SyncResponse)
	if !ok {
		return nil, &Error{Op: op, Kind: KindMalformed, Err: fmt.Errorf("unexpected message %T, expected a sync response", body)}
	}
	if err := decompressTargets(syncResponse); err != nil {
		return nil, &Error{Op: op, Kind: KindMalformed, Err: err}
	}
	return syncResponse, nil
}

// compressionCache keeps the last value sent to another host in compressed form, with its
// key.
//
// Without it, after a change or while many hosts start, the few hosts that have the new
// state would compress it again for each sync request. A document of 400 KB, or a list of
// 6,000 targets, takes 10 ms of a full CPU core to compress, and a small host has an eighth
// of a core.
type compressionCache[K comparable] struct {
	mu         sync.Mutex
	key        K
	compressed []byte
}

// get returns the compressed value of a key. encode returns the uncompressed value, and is
// called only if the cache holds another key.
func (c *compressionCache[K]) get(key K, encode func() ([]byte, error)) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.key == key && len(c.compressed) > 0 {
		return c.compressed, nil
	}
	plain, err := encode()
	if err != nil {
		return nil, err
	}
	compressed, err := compress(plain)
	if err != nil {
		return nil, err
	}
	c.key, c.compressed = key, compressed
	return compressed, nil
}

// compressSyncResponse fills in the compressed settings and targets of a response.
func (x *Exchanger) compressSyncResponse(response *messenger.SyncResponse) error {
	var err error
	if document := response.CompressedSettings; len(document) > 0 {
		response.CompressedSettings, err = x.documentCache.get(response.SettingsRevision, func() ([]byte, error) { return document, nil })
		if err != nil {
			return err
		}
	}
	if len(response.Targets) == 0 {
		return nil
	}
	encode := func() ([]byte, error) { return encoder.EncodeTargets(response.Targets) }
	if response.Scope == messenger.ScopeFull && !slices.ContainsFunc(response.Targets, isCold) {
		response.CompressedTargets, err = x.targetsCache.get(sequencer.At(response.TargetsEra, response.TargetsRevision), encode)
		return err
	}
	plain, err := encode()
	if err != nil {
		return err
	}
	response.CompressedTargets, err = compress(plain)
	return err
}

// isCold reports whether a state contains the remaining duration of its target's slow
// start, which is soon out of date and must not be cached.
func isCold(t messenger.TargetState) bool { return t.WarmUp > 0 }

func decompressTargets(response *messenger.SyncResponse) error {
	if len(response.CompressedTargets) == 0 {
		return nil
	}
	data, err := decompress(response.CompressedTargets)
	if err != nil {
		return err
	}
	response.Targets, err = encoder.DecodeTargets(data)
	return err
}

func (x *Exchanger) decodeDocument(compressed []byte) ([]byte, *steerer.Settings, error) {
	const op = "decode settings"
	document, err := decompress(compressed)
	if err != nil {
		return nil, nil, &Error{Op: op, Kind: KindMalformed, Err: err}
	}
	settings, err := x.decode(document)
	if err != nil {
		return nil, nil, &Error{Op: op, Kind: KindMalformed, Err: err}
	}
	return document, settings, nil
}

// maxDecompressedBytes limits the memory that a compressed response may take: enough for a
// settings document of 1 MB, or a list of about 40,000 targets.
const maxDecompressedBytes = 4 * resolver.MaxDocumentBytes

func decompress(compressed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(reader, maxDecompressedBytes))
}

func compress(document []byte) ([]byte, error) {
	if len(document) == 0 {
		return nil, nil
	}
	var buffer bytes.Buffer
	writer, err := gzip.NewWriterLevel(&buffer, gzipLevel)
	if err != nil {
		return nil, err
	}
	if _, err := writer.Write(document); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}
