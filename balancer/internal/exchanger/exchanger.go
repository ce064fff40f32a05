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
	path = "/knowledge"
	// headTimeout gives up a connection on which no question comes: as long as the most
	// patient host waits for an answer.
	headTimeout = 2 * time.Second
	// exchangeTimeout gives up a whole exchange: a document of 1 MB and a list of 3,800
	// targets, 170 KB when compressed, take 0.7 s on a link of 2 Mbit/s that carries
	// nothing else, and some times that on a full one.
	exchangeTimeout = 5 * time.Second
	// maxAnswers bounds the questions that are answered at once, so that each gets
	// a fair part of the link. Others are turned away and ask elsewhere.
	maxAnswers = 4
	// compressLevel takes less than half of the time of the usual level on lists of targets,
	// and makes them a thirtieth longer.
	compressLevel = 3
	// answerSpan is how long the answers that are sent at once may take together, and
	// answerBytes what one takes: 1,800 routes, compressed. A small link answers one
	// question at a time.
	answerSpan  = 250 * time.Millisecond
	answerBytes = 50_000
)

// answersAtOnce is how many questions a host answers at once.
//
// What goes wrong if small links take as many as large ones: four answers at once take
// 0.7 s on a link of 2 Mbit/s, no asker hears anything in time, all give
// up, and what was sent was sent for nothing. One notices by hosts that are asked by
// many after a change, and of which none gets an answer.
func answersAtOnce(linkBytesPerSecond int) int {
	if linkBytesPerSecond <= 0 {
		return maxAnswers
	}
	fit := int(float64(linkBytesPerSecond) * answerSpan.Seconds() / answerBytes)
	return min(max(fit, 1), maxAnswers)
}

// Decoder reads published settings.
type Decoder func(document []byte) (*steerer.Settings, error)

// Answerer answers a question from the host's own state.
type Answerer func(ctx context.Context, request *messenger.SyncRequest) (*messenger.SyncResponse, error)

// Exchanger serves and asks.
type Exchanger struct {
	listener net.Listener
	sealer   *encoder.MessageCodec
	decode   Decoder
	answer   Answerer
	events   chan<- steerer.Event
	calls    sync.WaitGroup
	// dial opens connections to other hosts.
	dial *http.Client
	// answering holds a place for each question that is being answered.
	answering chan struct{}
	// document and targets are what was last told: the settings by version, and whole lists of
	// targets by their position.
	document packed[uint64]
	targets  packed[sequencer.Position]
	// Refused counts questions that could not be read or answered.
	Refused atomic.Uint64
}

// New listens on a host's address, on a link that carries so many bytes a second; 0 if that
// is unknown. The meter counts the bytes of questions and answers.
func New(address netip.AddrPort, linkBytesPerSecond int, sealer *encoder.MessageCodec, decode Decoder, answer Answerer, meter *meterer.Meterer, events chan<- steerer.Event) (*Exchanger, error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, &Error{Op: "listen for questions", Kind: KindListen, Err: err}
	}
	return &Exchanger{
		listener: meter.Listener(listener), sealer: sealer, decode: decode, answer: answer, events: events,
		dial:      &http.Client{Transport: &http.Transport{DialContext: meter.Dial, DisableKeepAlives: true}},
		answering: make(chan struct{}, answersAtOnce(linkBytesPerSecond)),
	}, nil
}

// Run answers questions until the context ends, and reports its end.
func (x *Exchanger) Run(ctx context.Context) <-chan error {
	end := make(chan error, 1)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, request *http.Request) {
		select {
		case x.answering <- struct{}{}:
		default:
			x.Refused.Add(1)
			http.Error(w, "busy with other questions", http.StatusServiceUnavailable)
			return
		}
		defer func() { <-x.answering }()
		if err := x.serve(ctx, w, request); err != nil {
			x.Refused.Add(1)
		}
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() {
		err := server.Serve(x.listener)
		x.calls.Wait()
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		end <- err
	}()
	return end
}

func (x *Exchanger) serve(ctx context.Context, w http.ResponseWriter, request *http.Request) error {
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
	question, ok := body.(*messenger.SyncRequest)
	if !ok {
		return fmt.Errorf("unexpected %T", body)
	}
	knowledge, err := x.answer(ctx, question)
	if err != nil {
		return err
	}
	if err := x.pack(knowledge); err != nil {
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

// Ask sends a question; the answer, or why there is none, becomes an event.
func (x *Exchanger) Ask(ctx context.Context, e *steerer.SendSyncRequest) {
	x.calls.Add(1)
	ask := *e
	go func() {
		defer x.calls.Done()
		event := &steerer.SyncResponseReceived{From: ask.Host}
		event.Knowledge, event.Err = x.exchange(ctx, &ask)
		if event.Err == nil && len(event.Knowledge.CompressedSettings) > 0 {
			event.Document, event.Settings, event.Err = x.unpack(event.Knowledge.CompressedSettings)
		}
		select {
		case x.events <- event:
		case <-ctx.Done():
		}
	}()
}

func (x *Exchanger) exchange(ctx context.Context, ask *steerer.SendSyncRequest) (*messenger.SyncResponse, error) {
	const op = "ask host"
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	ctx, giveUp := context.WithCancel(ctx)
	defer giveUp()
	unanswered := time.AfterFunc(ask.Timeout, giveUp)
	defer unanswered.Stop()
	conn, response, err := websocket.Dial(ctx, "ws://"+ask.Address.String()+path, &websocket.DialOptions{HTTPClient: x.dial})
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		return nil, &Error{Op: op, Kind: KindUnreachable, Err: err}
	}
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(encoder.MaxControlBytes)
	sealed, err := x.sealer.Encode(ask.Host, ask.Request)
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
	unanswered.Stop()
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
	if err := unpackTargets(knowledge); err != nil {
		return nil, &Error{Op: op, Kind: KindMalformed, Err: err}
	}
	return knowledge, nil
}

// packed keeps what was last told to another host, compressed, with the key that it belongs
// to.
//
// What goes wrong without it: after a change, or while many hosts start, many ask the few
// that know. A document of 400 KB, or a list of 6,000 targets, takes 10 ms of a whole
// processor to compress, for each of them, and a small host has an eighth of one.
type packed[K comparable] struct {
	mu         sync.Mutex
	key        K
	compressed []byte
}

// pack returns what belongs to a key, compressed; write writes it plain.
func (p *packed[K]) pack(key K, write func() ([]byte, error)) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.key == key && len(p.compressed) > 0 {
		return p.compressed, nil
	}
	plain, err := write()
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

// pack compresses what a host tells another.
func (x *Exchanger) pack(k *messenger.SyncResponse) error {
	var err error
	if document := k.CompressedSettings; len(document) > 0 {
		k.CompressedSettings, err = x.document.pack(k.SettingsRevision, func() ([]byte, error) { return document, nil })
		if err != nil {
			return err
		}
	}
	if len(k.Targets) == 0 {
		return nil
	}
	write := func() ([]byte, error) { return encoder.EncodeTargets(k.Targets) }
	if k.Scope == messenger.ScopeFull && !slices.ContainsFunc(k.Targets, isCold) {
		k.CompressedTargets, err = x.targets.pack(sequencer.At(k.TargetsEra, k.TargetsRevision), write)
		return err
	}
	plain, err := write()
	if err != nil {
		return err
	}
	k.CompressedTargets, err = compress(plain)
	return err
}

// isCold reports whether a state says for how much longer its target is slow, which is soon
// out of date.
func isCold(t messenger.TargetState) bool { return t.WarmUp > 0 }

func unpackTargets(k *messenger.SyncResponse) error {
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

func (x *Exchanger) unpack(compressed []byte) ([]byte, *steerer.Settings, error) {
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

// maxUnpackedBytes bounds what a compressed answer may take in memory: a settings
// document of 1 MB, or a list of some 40,000 targets.
const maxUnpackedBytes = 4 * resolver.MaxDocumentBytes

func decompress(compressed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(reader, maxUnpackedBytes))
}

func compress(document []byte) ([]byte, error) {
	if len(document) == 0 {
		return nil, nil
	}
	var buffer bytes.Buffer
	writer, err := gzip.NewWriterLevel(&buffer, compressLevel)
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
