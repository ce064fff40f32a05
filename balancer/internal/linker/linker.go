// Package linker maintains the control links between hosts: WebSocket connections that
// carry authenticated messages in order.
//
// Each host dials the hosts that it sends to, and only reads from the links that others
// dialed. So each link has one writer, and hosts need not agree on which of them dials.
package linker

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"cranberryspan.dev/core/encoder"
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/reducer"
	"github.com/coder/websocket"
	"golang.org/x/time/rate"
)

// Kind classifies errors.
type Kind uint8

// KindListen means that the host can't listen on its address for control links.
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

const (
	// queueCapacity limits the messages queued for a link. The oldest is dropped first,
	// since old heartbeats are useless and all other messages are retransmitted.
	queueCapacity = 512
	dialTimeout   = time.Second
	writeTimeout  = 2 * time.Second
	minBackoff    = 100 * time.Millisecond
	maxBackoff    = 2 * time.Second
	linkPath      = "/link"
	// messagesPerSecond limits the messages received on one link. Beyond that, TCP flow
	// control blocks the sender, whose queue drops its oldest messages.
	messagesPerSecond = 5000
	messageBurst      = 1000
)

// Counters count the messages on all links by outcome. They are safe for concurrent use.
type Counters struct {
	Sent            atomic.Uint64
	SentBytes       atomic.Uint64
	Received        atomic.Uint64
	Dropped         atomic.Uint64
	Malformed       atomic.Uint64
	Unauthenticated atomic.Uint64
	Unknown         atomic.Uint64
}

// Linker manages the control links of a host.
type Linker struct {
	codec    *atomic.Pointer[encoder.MessageCodec]
	events   chan<- reducer.Event
	listener net.Listener
	Counters Counters

	mu      sync.Mutex
	links   map[string]*outgoingLink
	writers sync.WaitGroup
}

type outgoingLink struct {
	address netip.AddrPort
	queue   chan []byte
}

// New listens on a host's address. Messages from peers are sent to events.
func New(address netip.AddrPort, codec *atomic.Pointer[encoder.MessageCodec], events chan<- reducer.Event) (*Linker, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, &Error{Op: "listen for links", Kind: KindListen, Err: err}
	}
	return &Linker{codec: codec, events: events, listener: listener, links: map[string]*outgoingLink{}}, nil
}

// Run serves incoming links until the context is canceled. The returned channel receives
// the error that stopped it, or nil.
func (l *Linker) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	mux := http.NewServeMux()
	mux.HandleFunc(linkPath, func(w http.ResponseWriter, request *http.Request) { l.accept(ctx, w, request) })
	server := &http.Server{Handler: mux, ReadHeaderTimeout: dialTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() {
		err := server.Serve(l.listener)
		l.writers.Wait()
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		done <- err
	}()
	return done
}

func (l *Linker) accept(ctx context.Context, w http.ResponseWriter, request *http.Request) {
	conn, err := websocket.Accept(w, request, nil)
	if err != nil {
		return
	}
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(encoder.MaxControlBytes)
	limiter := rate.NewLimiter(messagesPerSecond, messageBurst)
	for {
		if limiter.Wait(ctx) != nil {
			return
		}
		_, data, err := conn.Read(ctx)
		if err != nil {
			return
		}
		if !l.receive(ctx, data) {
			return
		}
	}
}

// receive decodes a message and reports whether to keep the link. A link is closed if a
// message on it is malformed or can't be authenticated: its sender has another key, or is
// not a host of this system. Messages of unknown kinds or versions are skipped.
func (l *Linker) receive(ctx context.Context, data []byte) bool {
	from, body, err := l.codec.Load().Decode(data)
	var failure *encoder.Error
	if errors.As(err, &failure) {
		switch failure.Kind {
		case encoder.KindUnknown:
			l.Counters.Unknown.Add(1)
			return true
		case encoder.KindUnauthenticated:
			l.Counters.Unauthenticated.Add(1)
		case encoder.KindMalformed, encoder.KindTooLarge:
			l.Counters.Malformed.Add(1)
		}
		return false
	}
	l.Counters.Received.Add(1)
	select {
	case l.events <- &reducer.PeerMessage{From: from, Body: body}:
		return true
	case <-ctx.Done():
		return false
	}
}

// Send queues a message for a peer, opening a link if there is none. It never blocks: if
// the queue is full, its oldest message is dropped.
func (l *Linker) Send(ctx context.Context, name string, address netip.AddrPort, body messenger.Body) {
	data, err := l.codec.Load().Encode(name, body)
	if err != nil {
		l.Counters.Dropped.Add(1)
		return
	}
	link := l.linkTo(ctx, name, address)
	for {
		select {
		case link.queue <- data:
			return
		default:
		}
		select {
		case <-link.queue:
			l.Counters.Dropped.Add(1)
		default:
		}
	}
}

func (l *Linker) linkTo(ctx context.Context, name string, address netip.AddrPort) *outgoingLink {
	l.mu.Lock()
	defer l.mu.Unlock()
	link, ok := l.links[name]
	if ok && link.address == address {
		return link
	}
	if ok {
		close(link.queue)
	}
	link = &outgoingLink{address: address, queue: make(chan []byte, queueCapacity)}
	l.links[name] = link
	l.writers.Add(1)
	go func() {
		defer l.writers.Done()
		l.writeLoop(ctx, link)
	}()
	return link
}

// writeLoop sends a link's queued messages, and reconnects with exponential backoff when
// the connection breaks.
func (l *Linker) writeLoop(ctx context.Context, link *outgoingLink) {
	backoff := minBackoff
	for ctx.Err() == nil {
		conn, err := dial(ctx, link.address)
		if err == nil {
			backoff = minBackoff
			finished := l.writeQueue(ctx, conn, link)
			_ = conn.CloseNow()
			if finished {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func dial(ctx context.Context, address netip.AddrPort) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, response, err := websocket.Dial(ctx, "ws://"+address.String()+linkPath, nil)
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	return conn, err
}

// writeQueue writes queued messages until the connection breaks, and reports whether the
// link is finished: replaced by one to another address, or the context is canceled.
func (l *Linker) writeQueue(ctx context.Context, conn *websocket.Conn, link *outgoingLink) bool {
	// The peer never writes; reading detects that it closed the connection.
	peerClosed := conn.CloseRead(ctx)
	for {
		select {
		case <-ctx.Done():
			return true
		case <-peerClosed.Done():
			return false
		case data, ok := <-link.queue:
			if !ok {
				return true
			}
			writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
			err := conn.Write(writeCtx, websocket.MessageBinary, data)
			cancel()
			if err != nil {
				return false
			}
			l.Counters.Sent.Add(1)
			l.Counters.SentBytes.Add(uint64(len(data)))
		}
	}
}
