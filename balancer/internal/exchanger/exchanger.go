// Package exchanger asks other hosts questions and answers theirs: one sealed
// message each way over a WebSocket of its own. No connection is kept, so none
// can fall silent unnoticed.
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

// Kind tells callers which sort of failure an Error is.
type Kind uint8

// The kinds of Error.
const (
	// KindListen means that the address can't be served.
	KindListen Kind = iota + 1
	// KindUnreachable means that the other host did not answer in time.
	KindUnreachable
	// KindMalformed means that its answer makes no sense.
	KindMalformed
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
	syncPath = "/knowledge"
	// readHeaderTimeout gives up a connection on which no question comes: as long as the most
	// patient host waits for an answer.
	readHeaderTimeout = 2 * time.Second
	// exchangeTimeout gives up a whole exchange: a document of 1 MB and a list of 3,800
	// targets, 170 KB when compressed, take 0.7 s on a link of 2 Mbit/s that carries
	// nothing else, and some times that on a full one.
	exchangeTimeout = 5 * time.Second
	// maxConcurrentRequests bounds the questions that are answered at once, so that each gets
	// a fair part of the link. Others are turned away and ask elsewhere.
	maxConcurrentRequests = 4
	// gzipLevel takes less than half of the time of the usual level on lists of targets,
	// and makes them a thirtieth longer.
	gzipLevel = 3
	// responseTimeBudget is how long the answers that are sent at once may take together, and
	// typicalResponseBytes what one takes: 1,800 routes, compressed. A small link answers one
	// question at a time.
	responseTimeBudget   = 250 * time.Millisecond
	typicalResponseBytes = 50_000
)

// concurrentRequestLimit is how many questions a host answers at once.
//
// What goes wrong if small links take as many as large ones: four answers at once take
// 0.7 s on a link of 2 Mbit/s, no asker hears anything in time, all give
// up, and what was sent was sent for nothing. One notices by hosts that are asked by
// many after a change, and of which none gets an answer.
func concurrentRequestLimit(linkBytesPerSecond int) int {
	if linkBytesPerSecond <= 0 {
		return maxConcurrentRequests
	}
	fit := int(float64(linkBytesPerSecond) * responseTimeBudget.Seconds() / typicalResponseBytes)
	return min(max(fit, 1), maxConcurrentRequests)
}

// SettingsDecoder reads published settings.
type SettingsDecoder func(document []byte) (*steerer.Settings, error)

// RequestHandler answers a question from the host's own state.
type RequestHandler func(ctx context.Context, request *messenger.SyncRequest) (*messenger.SyncResponse, error)

// Exchanger serves and asks.
type Exchanger struct {
	listener net.Listener
	sealer   *encoder.MessageCodec
	decode   SettingsDecoder
	handler  RequestHandler
	events   chan<- steerer.Event
	outgoing sync.WaitGroup
	// client opens connections to other hosts.
	client *http.Client
	// requestSemaphore holds a place for each question that is being answered.
	requestSemaphore chan struct{}
	// documentCache and targets are what was last told: the settings by version, and whole lists of
	// targets by their position.
	documentCache compressionCache[uint64]
	targetsCache  compressionCache[sequencer.Position]
	// Rejected counts questions that could not be read or answered.
	Rejected atomic.Uint64
}

// New listens on a host's address, on a link that carries so many bytes a second; 0 if that
// is unknown. The meter counts the bytes of questions and answers.
func New(address netip.AddrPort, linkBytesPerSecond int, sealer *encoder.MessageCodec, decode SettingsDecoder, handler RequestHandler, meter *meterer.Meter, events chan<- steerer.Event) (*Exchanger, error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, &Error{Op: "listen for questions", Kind: KindListen, Err: err}
	}
	return &Exchanger{
		listener: meter.WrapListener(listener), sealer: sealer, decode: decode, handler: handler, events: events,
		client:           &http.Client{Transport: &http.Transport{DialContext: meter.Dial, DisableKeepAlives: true}},
		requestSemaphore: make(chan struct{}, concurrentRequestLimit(linkBytesPerSecond)),
	}, nil
}

// Run answers questions until the context ends, and reports its end.
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
	from, body, err := x.sealer.Decode(data)
	if err != nil {
		return err
	}
	syncRequest, ok := body.(*messenger.SyncRequest)
	if !ok {
		return fmt.Errorf("unexpected %T", body)
	}
	knowledge, err := x.handler(ctx, syncRequest)
	if err != nil {
		return err
	}
	if err := x.compressSyncResponse(knowledge); err != nil {
		return err
	}
	sealed, err := x.sealer.Encode(from, knowledge)
	if err != nil {
		return err
	}
	if err := conn.Write(ctx, websocket.MessageBinary, sealed); err != nil {
		return err
	}
	return conn.Close(websocket.StatusNormalClosure, "")
}

// Request sends a question; the answer, or why there is none, becomes an event.
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

func (x *Exchanger) roundTrip(ctx context.Context, request *steerer.SendSyncRequest) (*messenger.SyncResponse, error) {
	const op = "ask host"
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
	sealed, err := x.sealer.Encode(request.Host, request.Request)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindMalformed, Err: err}
	}
	if err := conn.Write(ctx, websocket.MessageBinary, sealed); err != nil {
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
	_, body, err := x.sealer.Decode(data)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindMalformed, Err: err}
	}
	knowledge, ok := body.(*messenger.SyncResponse)
	if !ok {
		return nil, &Error{Op: op, Kind: KindMalformed, Err: fmt.Errorf("unexpected %T", body)}
	}
	if err := decompressTargets(knowledge); err != nil {
		return nil, &Error{Op: op, Kind: KindMalformed, Err: err}
	}
	return knowledge, nil
}

// compressionCache keeps what was last told to another host, compressed, with the key that it belongs
// to.
//
// What goes wrong without it: after a change, or while many hosts start, many ask the few
// that know. A document of 400 KB, or a list of 6,000 targets, takes 10 ms of a whole
// processor to compress, for each of them, and a small host has an eighth of one.
type compressionCache[K comparable] struct {
	mu         sync.Mutex
	key        K
	compressed []byte
}

// get returns what belongs to a key, compressed; write writes it plain.
func (p *compressionCache[K]) get(key K, encode func() ([]byte, error)) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.key == key && len(p.compressed) > 0 {
		return p.compressed, nil
	}
	plain, err := encode()
	if err != nil {
		return nil, err
	}
	compressed, err := compress(plain)
	if err != nil {
		return nil, err
	}
	p.key, p.compressed = key, compressed
	return compressed, nil
}

// compressSyncResponse compresses what a host tells another.
func (x *Exchanger) compressSyncResponse(k *messenger.SyncResponse) error {
	var err error
	if document := k.CompressedSettings; len(document) > 0 {
		k.CompressedSettings, err = x.documentCache.get(k.SettingsRevision, func() ([]byte, error) { return document, nil })
		if err != nil {
			return err
		}
	}
	if len(k.Targets) == 0 {
		return nil
	}
	encode := func() ([]byte, error) { return encoder.EncodeTargets(k.Targets) }
	if k.Scope == messenger.ScopeFull && !slices.ContainsFunc(k.Targets, isCold) {
		k.CompressedTargets, err = x.targetsCache.get(sequencer.At(k.TargetsEra, k.TargetsRevision), encode)
		return err
	}
	plain, err := encode()
	if err != nil {
		return err
	}
	k.CompressedTargets, err = compress(plain)
	return err
}

// isCold reports whether a state says for how much longer its target is slow, which is soon
// out of date.
func isCold(t messenger.TargetState) bool { return t.WarmUp > 0 }

func decompressTargets(k *messenger.SyncResponse) error {
	if len(k.CompressedTargets) == 0 {
		return nil
	}
	data, err := decompress(k.CompressedTargets)
	if err != nil {
		return err
	}
	k.Targets, err = encoder.DecodeTargets(data)
	return err
}

func (x *Exchanger) decodeDocument(compressed []byte) ([]byte, *steerer.Settings, error) {
	const op = "unpack settings"
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

// maxDecompressedBytes bounds what a compressed answer may take in memory: a settings
// document of 1 MB, or a list of some 40,000 targets.
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
