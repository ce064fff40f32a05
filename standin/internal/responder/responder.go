// Package responder is a small stand-in for targets. It runs requests in a few
// slots, streams, takes uploads, reports its load, and counts what ran, so that
// tests see whether a request ran twice or reached another service's target.
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

// Error is the one error type of this package.
type Error struct {
	Op  string
	Err error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

const (
	maxDatagram = 2048
	bufferBytes = 4 << 20
	maxOptions  = 16
	queueLength = 64
)

// Config says how all targets of one process behave.
type Config struct {
	// Work is how long a request takes in its slot.
	Work time.Duration
	// NotifyEvery is the time between two notifications of a stream.
	NotifyEvery time.Duration
}

// Report is what the targets of one process counted.
type Report struct {
	// Runs counts what ran, by target.
	Runs map[string]int `json:"runs"`
	// Streams counts open streams, by target.
	Streams map[string]int `json:"streams"`
	// Doubled lists requests that ran more than once.
	Doubled []string `json:"doubled"`
	// Misrouted lists requests that reached a target of another service.
	Misrouted []string `json:"misrouted"`
	Shed      int      `json:"shed"`
}

// Responder is the targets of one process.
type Responder struct {
	config  Config
	control net.Listener
	targets []*target

	mu        sync.Mutex
	runs      map[string]int
	misrouted []string
	shed      int
}

// New opens the addresses of targets and the control address.
func New(config Config, control string, services []resolver.Service, only func(name string) bool) (*Responder, error) {
	r := &Responder{config: config, runs: map[string]int{}}
	var err error
	if r.control, err = net.Listen("tcp", control); err != nil {
		return nil, &Error{Op: "listen for control", Err: err}
	}
	for _, service := range services {
		for _, listed := range service.Targets {
			if only != nil && !only(listed.Name) {
				continue
			}
			t, err := newTarget(r, service.Name, listed)
			if err != nil {
				return nil, err
			}
			r.targets = append(r.targets, t)
		}
	}
	return r, nil
}

// Run serves until the context ends, and reports its end.
func (r *Responder) Run(ctx context.Context) <-chan error {
	end := make(chan error, 1)
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
		running.Go(func() { t.read(ctx) })
		running.Go(func() { t.notify(ctx) })
		for range t.slots {
			running.Go(func() { t.work(ctx) })
		}
	}
	go func() {
		err := server.Serve(r.control)
		running.Wait()
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		end <- err
	}()
	return end
}

// Report returns what was counted so far.
func (r *Responder) Report() Report {
	report := Report{Runs: map[string]int{}, Streams: map[string]int{}}
	for _, t := range r.targets {
		t.mu.Lock()
		report.Runs[t.name] = t.runs
		report.Streams[t.name] = len(t.streams)
		t.mu.Unlock()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, n := range r.runs {
		if n > 1 {
			report.Doubled = append(report.Doubled, id)
		}
	}
	report.Misrouted = append(report.Misrouted, r.misrouted...)
	report.Shed = r.shed
	return report
}

// target is one target.
type target struct {
	owner   *Responder
	service string
	name    string
	slots   int
	conn    *net.UDPConn
	queue   chan job

	mu       sync.Mutex
	runs     int
	inFlight int
	streams  map[streamKey]*stream
	uploads  map[netip.AddrPort]*upload
	nextID   uint16
}

type job struct {
	peer    netip.AddrPort
	request message.Message
	id      string
}

type streamKey struct {
	peer  netip.AddrPort
	token string
}

type stream struct {
	sequence uint32
	lastID   uint16
}

// upload is the blocks of an upload that came so far.
type upload struct {
	next int64
	data []byte
}

func newTarget(owner *Responder, service string, listed resolver.Target) (*target, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listed.Address))
	if err != nil {
		return nil, &Error{Op: "listen for requests", Err: err}
	}
	_ = conn.SetReadBuffer(bufferBytes)
	return &target{
		owner:   owner,
		service: service,
		name:    listed.Name,
		slots:   listed.Policy.Slots,
		conn:    conn,
		queue:   make(chan job, queueLength),
		streams: map[streamKey]*stream{},
		uploads: map[netip.AddrPort]*upload{},
	}, nil
}

func (t *target) read(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for {
		n, peer, err := t.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // An earlier packet came back undeliverable.
		}
		m := message.Message{Options: make(message.Options, 0, maxOptions)}
		data := append([]byte(nil), buffer[:n]...)
		if _, err := coder.DefaultCoder.Decode(data, &m); err == nil {
			t.handle(peer, m)
		}
	}
}

func (t *target) handle(peer netip.AddrPort, m message.Message) {
	path, _ := m.Options.Path()
	switch {
	case m.Code == codes.Empty:
		if m.Type == message.Reset {
			t.cancel(peer, uint16(m.MessageID))
		}
	case path == "/health":
		t.health(peer, m)
	case m.Code == codes.GET && m.Options.HasOption(message.Observe):
		t.observe(peer, m)
	case m.Options.HasOption(message.Block1):
		t.block(peer, m)
	case m.Code == codes.GET, m.Code == codes.POST, m.Code == codes.PUT:
		t.submit(job{peer: peer, request: m, id: string(m.Payload)})
	default:
		t.answer(peer, m, codes.MethodNotAllowed, nil, nil)
	}
}

func (t *target) health(peer netip.AddrPort, m message.Message) {
	t.mu.Lock()
	load := t.inFlight + len(t.queue)
	t.mu.Unlock()
	t.answer(peer, m, codes.Content, nil, fmt.Appendf(nil, `{"inFlight":%d}`, load))
}

// submit queues a request, or sheds it without running it.
func (t *target) submit(j job) {
	t.owner.check(t, j.id)
	select {
	case t.queue <- j:
	default:
		t.owner.mu.Lock()
		t.owner.shed++
		t.owner.mu.Unlock()
		t.answer(j.peer, j.request, codes.ServiceUnavailable, nil, nil)
	}
}

// check notes a request whose id names another service than the target's. An id
// is "service/number".
func (r *Responder) check(t *target, id string) {
	service, _, ok := strings.Cut(id, "/")
	if !ok || service == t.service {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.misrouted = append(r.misrouted, id+" at "+t.name)
}

func (t *target) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case j := <-t.queue:
			t.addInFlight(1)
			select {
			case <-ctx.Done():
				return
			case <-time.After(t.owner.config.Work):
			}
			t.run(j)
			t.addInFlight(-1)
		}
	}
}

func (t *target) addInFlight(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight += n
}

func (t *target) run(j job) {
	t.mu.Lock()
	t.runs++
	t.mu.Unlock()
	if j.request.Code != codes.GET && j.id != "" {
		t.owner.mu.Lock()
		t.owner.runs[j.id]++
		t.owner.mu.Unlock()
	}
	code := codes.Changed
	if j.request.Code == codes.GET {
		code = codes.Content
	}
	t.answer(j.peer, j.request, code, nil, []byte(t.name+" "+j.id))
}

// answer sends an answer in the acknowledgement of a confirmable request.
func (t *target) answer(peer netip.AddrPort, request message.Message, code codes.Code, options message.Options, payload []byte) {
	m := message.Message{Token: request.Token, Code: code, Options: options, Payload: payload, Type: message.NonConfirmable}
	if request.Type == message.Confirmable {
		m.Type = message.Acknowledgement
		m.MessageID = request.MessageID
	} else {
		m.MessageID = int32(t.newID())
	}
	t.send(peer, m)
}

func (t *target) newID() uint16 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nextID++
	return t.nextID
}

func (t *target) send(peer netip.AddrPort, m message.Message) {
	buffer := make([]byte, maxDatagram)
	n, err := coder.DefaultCoder.Encode(m, buffer)
	if err != nil {
		return
	}
	_, _ = t.conn.WriteToUDPAddrPort(buffer[:n], peer)
}

func observeOption(sequence uint32) message.Options {
	options, _, err := message.Options{}.SetObserve(make([]byte, 4), sequence)
	if err != nil {
		return nil
	}
	return options
}

func (t *target) observe(peer netip.AddrPort, m message.Message) {
	key := streamKey{peer: peer, token: string(m.Token)}
	value, err := m.Options.Observe()
	if err != nil {
		t.answer(peer, m, codes.BadOption, nil, nil)
		return
	}
	t.owner.check(t, string(m.Payload))
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
	t.answer(peer, m, codes.Content, options, []byte(t.name))
}

func (t *target) cancel(peer netip.AddrPort, id uint16) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, s := range t.streams {
		if key.peer == peer && s.lastID == id {
			delete(t.streams, key)
		}
	}
}

func (t *target) notify(ctx context.Context) {
	ticker := time.NewTicker(t.owner.config.NotifyEvery)
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
	type note struct {
		peer    netip.AddrPort
		message message.Message
	}
	var notes []note
	t.mu.Lock()
	for key, s := range t.streams {
		s.sequence++
		t.nextID++
		s.lastID = t.nextID
		notes = append(notes, note{peer: key.peer, message: message.Message{
			Token:     []byte(key.token),
			Code:      codes.Content,
			Options:   observeOption(s.sequence),
			Payload:   []byte(t.name),
			MessageID: int32(t.nextID),
			Type:      message.NonConfirmable,
		}})
	}
	t.mu.Unlock()
	for _, n := range notes {
		t.send(n.peer, n.message)
	}
}

// block takes one block of an upload. The first payload line of the whole is
// the id.
func (t *target) block(peer netip.AddrPort, m message.Message) {
	value, _ := m.Options.GetUint32(message.Block1)
	_, number, more, err := blockwise.DecodeBlockOption(value)
	if err != nil {
		t.answer(peer, m, codes.BadOption, nil, nil)
		return
	}
	t.mu.Lock()
	u := t.uploads[peer]
	if number == 0 {
		u = &upload{}
		t.uploads[peer] = u
	}
	known := u != nil && (number == u.next || number == u.next-1)
	if known && number == u.next {
		u.data = append(u.data, m.Payload...)
		u.next++
	}
	if known && !more {
		delete(t.uploads, peer)
	}
	t.mu.Unlock()
	options, _, _ := message.Options{}.SetUint32(make([]byte, 4), message.Block1, value)
	switch {
	case !known:
		t.answer(peer, m, codes.RequestEntityIncomplete, nil, nil)
	case more:
		t.answer(peer, m, codes.Continue, options, nil)
	default:
		id, _, _ := strings.Cut(string(u.data), "\n")
		t.owner.check(t, id)
		t.mu.Lock()
		t.runs++
		t.mu.Unlock()
		t.owner.mu.Lock()
		t.owner.runs[id]++
		t.owner.mu.Unlock()
		t.answer(peer, m, codes.Changed, options, fmt.Appendf(nil, "%s %s %d", t.name, id, len(u.data)))
	}
}
