// Package responder emulates targets. They execute requests in a limited number of slots, serve
// streams, accept uploads, report their load and count executions, so that tests can detect
// requests that were executed twice or reached a target of another service.
package responder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"cranberryspan.dev/core/resolver"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/net/blockwise"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
)

// Error is the error type of this package.
type Error struct {
	Op  string
	Err error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

const (
	maxDatagramBytes   = 2048
	receiveBufferBytes = 4 << 20
	maxOptions         = 16
	requestQueueLength = 64
)

// Config is the configuration of all targets of a process.
type Config struct {
	// ProcessingTime is the time for which a request occupies a slot.
	ProcessingTime time.Duration
	// NotifyInterval is the interval of the notifications of a stream.
	NotifyInterval time.Duration
}

// Report holds the counts of all targets of a process.
type Report struct {
	// Executions is the number of executed requests of each target.
	Executions map[string]int `json:"runs"`
	// OpenStreams is the number of open streams of each target.
	OpenStreams map[string]int `json:"streams"`
	// DuplicateExecutions lists the non-idempotent requests that were executed more than once.
	DuplicateExecutions []string `json:"doubled"`
	// Misrouted lists requests that reached a target of another service.
	Misrouted []string `json:"misrouted"`
	// Refused is the number of requests refused because of a full queue.
	Refused int `json:"shed"`
}

// Responder runs the targets of one process.
type Responder struct {
	config  Config
	control net.Listener
	targets []*target

	mu         sync.Mutex
	executions map[string]int
	misrouted  []string
	refused    int
}

// New opens the control address and the addresses of the targets whose names are included; all
// are if included is nil.
func New(config Config, control string, services []resolver.Service, included func(name string) bool) (*Responder, error) {
	r := &Responder{config: config, executions: map[string]int{}}
	var err error
	if r.control, err = net.Listen("tcp", control); err != nil {
		return nil, &Error{Op: "listen for control", Err: err}
	}
	for _, service := range services {
		for _, configured := range service.Targets {
			if included != nil && !included(configured.Name) {
				continue
			}
			t, err := newTarget(r, service.Name, configured)
			if err != nil {
				return nil, err
			}
			r.targets = append(r.targets, t)
		}
	}
	return r, nil
}

// Run serves until ctx is done. The returned channel then receives the result.
func (r *Responder) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(r.Report())
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	var running sync.WaitGroup
	context.AfterFunc(ctx, func() {
		_ = server.Close()
		for _, t := range r.targets {
			_ = t.conn.Close()
		}
	})
	for _, t := range r.targets {
		running.Go(func() { t.readLoop(ctx) })
		running.Go(func() { t.notifyLoop(ctx) })
		for range t.slots {
			running.Go(func() { t.serveQueue(ctx) })
		}
	}
	go func() {
		err := server.Serve(r.control)
		running.Wait()
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		done <- err
	}()
	return done
}

// Report returns the current counts.
func (r *Responder) Report() Report {
	report := Report{Executions: map[string]int{}, OpenStreams: map[string]int{}}
	for _, t := range r.targets {
		t.mu.Lock()
		report.Executions[t.name] = t.executions
		report.OpenStreams[t.name] = len(t.streams)
		t.mu.Unlock()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, n := range r.executions {
		if n > 1 {
			report.DuplicateExecutions = append(report.DuplicateExecutions, id)
		}
	}
	report.Misrouted = append(report.Misrouted, r.misrouted...)
	report.Refused = r.refused
	return report
}

// target is one emulated target.
type target struct {
	responder *Responder
	service   string
	name      string
	slots     int
	conn      *net.UDPConn
	queue     chan queuedRequest

	mu            sync.Mutex
	executions    int
	inFlight      int
	streams       map[streamKey]*stream
	uploads       map[netip.AddrPort]*upload
	lastMessageID uint16
}

type queuedRequest struct {
	caller    netip.AddrPort
	message   message.Message
	requestID string
}

type streamKey struct {
	caller netip.AddrPort
	token  string
}

type stream struct {
	sequence      uint32
	lastMessageID uint16
}

// upload holds the blocks of an upload that have been received so far.
type upload struct {
	nextBlock int64
	data      []byte
}

func newTarget(responder *Responder, service string, configured resolver.Target) (*target, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(configured.Address))
	if err != nil {
		return nil, &Error{Op: "listen for requests", Err: err}
	}
	_ = conn.SetReadBuffer(receiveBufferBytes)
	return &target{
		responder: responder,
		service:   service,
		name:      configured.Name,
		slots:     configured.Policy.Slots,
		conn:      conn,
		queue:     make(chan queuedRequest, requestQueueLength),
		streams:   map[streamKey]*stream{},
		uploads:   map[netip.AddrPort]*upload{},
	}, nil
}

func (t *target) readLoop(ctx context.Context) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, caller, err := t.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // The error reports that an earlier packet was undeliverable.
		}
		m := message.Message{Options: make(message.Options, 0, maxOptions)}
		data := append([]byte(nil), buffer[:n]...)
		if _, err := coder.DefaultCoder.Decode(data, &m); err == nil {
			t.handleMessage(caller, m)
		}
	}
}

func (t *target) handleMessage(caller netip.AddrPort, m message.Message) {
	path, _ := m.Options.Path()
	switch {
	case m.Code == codes.Empty:
		if m.Type == message.Reset {
			t.cancelStream(caller, uint16(m.MessageID))
		}
	case path == "/health":
		t.handleHealthCheck(caller, m)
	case m.Code == codes.GET && m.Options.HasOption(message.Observe):
		t.handleObserve(caller, m)
	case m.Options.HasOption(message.Block1):
		t.handleBlock(caller, m)
	case m.Code == codes.GET, m.Code == codes.POST, m.Code == codes.PUT:
		t.enqueue(queuedRequest{caller: caller, message: m, requestID: string(m.Payload)})
	default:
		t.sendResponse(caller, m, codes.MethodNotAllowed, nil, nil)
	}
}

func (t *target) handleHealthCheck(caller netip.AddrPort, m message.Message) {
	t.mu.Lock()
	load := t.inFlight + len(t.queue)
	t.mu.Unlock()
	t.sendResponse(caller, m, codes.Content, nil, fmt.Appendf(nil, `{"inFlight":%d}`, load))
}

// enqueue queues a request or, if the queue is full, refuses it without executing it.
func (t *target) enqueue(request queuedRequest) {
	t.responder.checkRouting(t, request.requestID)
	select {
	case t.queue <- request:
	default:
		t.responder.mu.Lock()
		t.responder.refused++
		t.responder.mu.Unlock()
		t.sendResponse(request.caller, request.message, codes.ServiceUnavailable, nil, nil)
	}
}

// checkRouting records a request as misrouted if its ID names a service other than the target's.
// An ID has the form "service/number".
func (r *Responder) checkRouting(t *target, id string) {
	service, _, ok := strings.Cut(id, "/")
	if !ok || service == t.service {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.misrouted = append(r.misrouted, id+" at "+t.name)
}

func (t *target) serveQueue(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-t.queue:
			t.addInFlight(1)
			select {
			case <-ctx.Done():
				return
			case <-time.After(t.responder.config.ProcessingTime):
			}
			t.execute(request)
			t.addInFlight(-1)
		}
	}
}

func (t *target) addInFlight(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight += n
}

func (t *target) execute(request queuedRequest) {
	t.mu.Lock()
	t.executions++
	t.mu.Unlock()
	if request.message.Code != codes.GET && request.requestID != "" {
		t.responder.mu.Lock()
		t.responder.executions[request.requestID]++
		t.responder.mu.Unlock()
	}
	code := codes.Changed
	if request.message.Code == codes.GET {
		code = codes.Content
	}
	t.sendResponse(request.caller, request.message, code, nil, []byte(t.name+" "+request.requestID))
}

// sendResponse sends a response. The response to a confirmable request is piggybacked on the
// acknowledgement.
func (t *target) sendResponse(caller netip.AddrPort, request message.Message, code codes.Code, options message.Options, payload []byte) {
	m := message.Message{Token: request.Token, Code: code, Options: options, Payload: payload, Type: message.NonConfirmable}
	if request.Type == message.Confirmable {
		m.Type = message.Acknowledgement
		m.MessageID = request.MessageID
	} else {
		m.MessageID = int32(t.newMessageID())
	}
	t.sendMessage(caller, m)
}

func (t *target) newMessageID() uint16 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastMessageID++
	return t.lastMessageID
}

func (t *target) sendMessage(caller netip.AddrPort, m message.Message) {
	buffer := make([]byte, maxDatagramBytes)
	n, err := coder.DefaultCoder.Encode(m, buffer)
	if err != nil {
		return
	}
	_, _ = t.conn.WriteToUDPAddrPort(buffer[:n], caller)
}

func observeOption(sequence uint32) message.Options {
	options, _, err := message.Options{}.SetObserve(make([]byte, 4), sequence)
	if err != nil {
		return nil
	}
	return options
}

func (t *target) handleObserve(caller netip.AddrPort, m message.Message) {
	key := streamKey{caller: caller, token: string(m.Token)}
	value, err := m.Options.Observe()
	if err != nil {
		t.sendResponse(caller, m, codes.BadOption, nil, nil)
		return
	}
	t.responder.checkRouting(t, string(m.Payload))
	t.mu.Lock()
	if value == 0 {
		if _, ok := t.streams[key]; !ok {
			t.streams[key] = &stream{sequence: 1}
		}
	} else {
		delete(t.streams, key)
	}
	t.mu.Unlock()
	var options message.Options
	if value == 0 {
		options = observeOption(1)
	}
	t.sendResponse(caller, m, codes.Content, options, []byte(t.name))
}

func (t *target) cancelStream(caller netip.AddrPort, messageID uint16) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, s := range t.streams {
		if key.caller == caller && s.lastMessageID == messageID {
			delete(t.streams, key)
		}
	}
}

func (t *target) notifyLoop(ctx context.Context) {
	ticker := time.NewTicker(t.responder.config.NotifyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t.notifyAll()
		}
	}
}

func (t *target) notifyAll() {
	type notification struct {
		caller  netip.AddrPort
		message message.Message
	}
	var notifications []notification
	t.mu.Lock()
	for key, s := range t.streams {
		s.sequence++
		t.lastMessageID++
		s.lastMessageID = t.lastMessageID
		notifications = append(notifications, notification{caller: key.caller, message: message.Message{
			Token:     []byte(key.token),
			Code:      codes.Content,
			Options:   observeOption(s.sequence),
			Payload:   []byte(t.name),
			MessageID: int32(t.lastMessageID),
			Type:      message.NonConfirmable,
		}})
	}
	t.mu.Unlock()
	for _, n := range notifications {
		t.sendMessage(n.caller, n.message)
	}
}

// handleBlock processes one block of an upload. The first line of the complete payload is the
// request ID.
func (t *target) handleBlock(caller netip.AddrPort, m message.Message) {
	value, _ := m.Options.GetUint32(message.Block1)
	_, number, more, err := blockwise.DecodeBlockOption(value)
	if err != nil {
		t.sendResponse(caller, m, codes.BadOption, nil, nil)
		return
	}
	t.mu.Lock()
	u := t.uploads[caller]
	if number == 0 {
		u = &upload{}
		t.uploads[caller] = u
	}
	expected := u != nil && (number == u.nextBlock || number == u.nextBlock-1)
	if expected && number == u.nextBlock {
		u.data = append(u.data, m.Payload...)
		u.nextBlock++
	}
	if expected && !more {
		delete(t.uploads, caller)
	}
	t.mu.Unlock()
	options, _, _ := message.Options{}.SetUint32(make([]byte, 4), message.Block1, value)
	switch {
	case !expected:
		t.sendResponse(caller, m, codes.RequestEntityIncomplete, nil, nil)
	case more:
		t.sendResponse(caller, m, codes.Continue, options, nil)
	default:
		id, _, _ := strings.Cut(string(u.data), "\n")
		t.responder.checkRouting(t, id)
		t.mu.Lock()
		t.executions++
		t.mu.Unlock()
		t.responder.mu.Lock()
		t.responder.executions[id]++
		t.responder.mu.Unlock()
		t.sendResponse(caller, m, codes.Changed, options, fmt.Appendf(nil, "%s %s %d", t.name, id, len(u.data)))
	}
}
