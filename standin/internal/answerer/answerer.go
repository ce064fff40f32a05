// Package answerer stands in for targets that answer callers directly.
//
// A request is a line "ID KIND LENGTH" and LENGTH bytes; an ID begins with the
// name of the service that it is for. The answer is a line "ID ok LENGTH" and
// LENGTH bytes; "last" in place of "ok" asks the caller to open another flow next,
// as a target that drains does.
package answerer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"cranberryspan.dev/core/steerer"
	"cranberryspan.dev/platform/platformtest"
	"cranberryspan.dev/standin/internal/transporter"
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
	maxDatagramBytes = 2048
	tickInterval     = 20 * time.Millisecond
	// answerBytes is the size of an answer.
	answerBytes = 1500
	initialSeq  = 7000
)

// Record is what all targets of a test saw.
type Record struct {
	mu         sync.Mutex
	executions map[string]int
	problems   []string
	// targetByCaller names the target at which a flow opened, by the caller's address.
	targetByCaller map[netip.AddrPort]string
}

// NewRecord makes an empty record.
func NewRecord() *Record {
	return &Record{executions: map[string]int{}, targetByCaller: map[netip.AddrPort]string{}}
}

// Executions tells how often a request ran.
func (r *Record) Executions(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.executions[id]
}

// Problems lists what must not happen at a target.
func (r *Record) Problems() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.problems...)
}

// TargetOf names the target of an open flow.
func (r *Record) TargetOf(caller netip.AddrPort) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.targetByCaller[caller]
}

func (r *Record) addProblem(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems = append(r.problems, fmt.Sprintf(format, args...))
}

// Config says how a target behaves.
type Config struct {
	Entry platformtest.Target
	// ProcessingTime is how long a request takes.
	ProcessingTime time.Duration
	// PacketPort is the port at which callers take packets.
	PacketPort uint16
	// DrainLimit is how long after it began to drain, or its zone was ordered to be
	// evacuated, a target may get new flows.
	DrainLimit time.Duration
	// EvacuatedSince is since when the target's zone is to be evacuated; zero if it is not.
	EvacuatedSince func() time.Time
}

// Target is one target.
type Target struct {
	config Config
	number steerer.TargetNumber
	record *Record
	conn   *net.UDPConn
	http   *http.Server
	// serving waits for what holds the target's address.
	serving sync.WaitGroup

	mu    sync.Mutex
	flows map[flowKey]*flow
	// silent targets take nothing in and send nothing.
	silent bool
	// incarnation counts the target's starts.
	incarnation   int
	drainingSince time.Time
	undisturbed   func() bool
	jobs          chan job
}

type flowKey struct{ caller, service netip.AddrPort }

type flow struct {
	endpoint *transporter.Endpoint
	key      flowKey
	echo     uint32
	received []byte
	opened   bool
}

type job struct {
	flow      *flow
	requestID string
	// incarnation is the target's life in which the request came.
	incarnation int
}

// New starts a target. calm tells whether nothing keeps news from hosts.
func New(ctx context.Context, config Config, record *Record, undisturbed func() bool) (*Target, error) {
	number, ok := steerer.ParseTargetNumber(config.Entry.ID)
	if !ok {
		return nil, &Error{Op: "start target", Err: fmt.Errorf("ID %q has no hex digits", config.Entry.ID)}
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(config.Entry.Address))
	if err != nil {
		return nil, &Error{Op: "start target", Err: err}
	}
	listener, err := net.Listen("tcp4", config.Entry.Address.String())
	if err != nil {
		_ = conn.Close()
		return nil, &Error{Op: "start target", Err: err}
	}
	t := &Target{config: config, number: number, record: record, conn: conn, flows: map[flowKey]*flow{}, undisturbed: undisturbed, jobs: make(chan job, 64)}
	t.http = &http.Server{Handler: http.HandlerFunc(t.handleHealthCheck), ReadHeaderTimeout: time.Second}
	t.serving.Go(func() { _ = t.http.Serve(listener) }) // It ends with Stop.
	t.serving.Go(t.readLoop)
	go t.tickLoop(ctx)
	for range config.Entry.Slots {
		go t.workLoop(ctx)
	}
	return t, nil
}

// Entry is how the target registers itself.
func (t *Target) Entry() platformtest.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.config.Entry
}

// Stop ends the target at once, as a crash does.
func (t *Target) Stop() {
	t.Silence()
	_ = t.conn.Close()
}

// Close ends the target and returns when its address is free. A socket stays open
// until whoever reads it has returned.
func (t *Target) Close() {
	t.Stop()
	t.serving.Wait()
}

// Silence makes the target silent. Its liveness checks are refused: a process can't
// make its own kernel ignore a handshake.
func (t *Target) Silence() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent = true
	_ = t.http.Close()
}

// Answering reports whether the target answers.
func (t *Target) Answering() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.silent
}

// Restart lets the target start again under its ID: it holds none of its flows, and
// what it was at work on is lost.
func (t *Target) Restart() platformtest.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.flows)
	t.config.Entry.StartedAtMs = time.Now().UnixMilli()
	t.config.Entry.Draining = false
	t.incarnation++
	return t.config.Entry
}

// SetProcessingTime changes how long a request takes.
func (t *Target) SetProcessingTime(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.config.ProcessingTime = d
}

// StartDraining notes that the target has said that it drains.
func (t *Target) StartDraining() platformtest.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drainingSince = time.Now()
	t.config.Entry.Draining = true
	return t.config.Entry
}

func (t *Target) handleHealthCheck(w http.ResponseWriter, r *http.Request) {
	if !t.Answering() {
		<-r.Context().Done()
		return
	}
	w.Header().Set(platformtest.InstanceHeader, t.config.Entry.ID)
}

func (t *Target) readLoop() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // An earlier packet came back undeliverable.
		}
		number, p, ok := platformtest.DecodeForTarget(append([]byte(nil), buffer[:n]...))
		if !ok || !p.ChecksumValid {
			t.record.addProblem("%s got a packet that its sender did not write", t.config.Entry.ID)
			continue
		}
		if number == uint64(t.number) {
			t.handlePacket(p)
		}
	}
}

func (t *Target) handlePacket(p platformtest.Packet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.silent {
		return
	}
	key := flowKey{p.From, p.To}
	f := t.flows[key]
	switch {
	case p.Flags&platformtest.FlagOpen != 0:
		t.handleOpen(key, f, p)
	case f == nil:
		t.send(key, 0, platformtest.FlagReset, 0, p.Ack, nil)
	case p.Flags&platformtest.FlagReset != 0:
		delete(t.flows, key)
	default:
		t.handleData(f, p)
	}
}

func (t *Target) handleOpen(key flowKey, f *flow, p platformtest.Packet) {
	if f == nil {
		f = &flow{key: key}
		f.endpoint = transporter.New(initialSeq+1, p.Seq+1, func(flags byte, seq, ack uint32, data []byte) {
			t.send(key, f.echo, flags, seq, ack, data)
		})
		t.flows[key] = f
		if drainDeadline := t.drainingSince.Add(t.config.DrainLimit); t.config.Entry.Draining && time.Now().After(drainDeadline) && t.undisturbed() {
			t.record.addProblem("%s got a new flow %s after it began to drain", t.config.Entry.ID, time.Since(t.drainingSince))
		}
		if since := t.config.EvacuatedSince(); !since.IsZero() && time.Since(since) > t.config.DrainLimit && t.undisturbed() {
			t.record.addProblem("%s got a new flow %s after its zone was to be evacuated", t.config.Entry.ID, time.Since(since))
		}
	}
	f.echo = p.Echo
	t.send(key, f.echo, platformtest.FlagOpen|platformtest.FlagAck, initialSeq, p.Seq+1, nil)
}

func (t *Target) handleData(f *flow, p platformtest.Packet) {
	f.echo = p.Echo
	if !f.opened {
		f.opened = true
		t.record.mu.Lock()
		t.record.targetByCaller[f.key.caller] = t.config.Entry.ID
		t.record.mu.Unlock()
	}
	f.received = append(f.received, f.endpoint.Receive(p, time.Now())...)
	id, complete := t.nextRequest(f)
	if !complete {
		return
	}
	select {
	case t.jobs <- job{flow: f, requestID: id, incarnation: t.incarnation}:
	default:
		f.endpoint.Write([]byte(id+" shed 0\n"), time.Now())
	}
}

// nextRequest takes a whole request out of a flow's bytes.
func (t *Target) nextRequest(f *flow) (id string, complete bool) {
	newline := bytes.IndexByte(f.received, '\n')
	if newline < 0 {
		return "", false
	}
	var kind string
	var length int
	if _, err := fmt.Sscanf(string(f.received[:newline]), "%s %s %d", &id, &kind, &length); err != nil {
		t.record.addProblem("%s got a request that nobody wrote: %q", t.config.Entry.ID, f.received[:newline])
		f.received = nil
		return "", false
	}
	if len(f.received) < newline+1+length {
		return "", false
	}
	f.received = f.received[newline+1+length:]
	return id, true
}

func (t *Target) workLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case j := <-t.jobs:
			t.execute(ctx, j)
		}
	}
}

func (t *Target) execute(ctx context.Context, j job) {
	t.mu.Lock()
	processingTime, lost := t.config.ProcessingTime, j.incarnation != t.incarnation
	t.mu.Unlock()
	if lost {
		return
	}
	t.record.mu.Lock()
	t.record.executions[j.requestID]++
	t.record.mu.Unlock()
	if service, _, _ := strings.Cut(j.requestID, "/"); service != t.config.Entry.Service {
		t.record.addProblem("%s of %s ran %s", t.config.Entry.ID, t.config.Entry.Service, j.requestID)
	}
	select {
	case <-ctx.Done():
		return
	case <-time.After(processingTime):
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.silent || j.incarnation != t.incarnation {
		return
	}
	status := "ok"
	if t.config.Entry.Draining {
		status = "last"
	}
	answer := append(fmt.Appendf(nil, "%s %s %d\n", j.requestID, status, answerBytes), make([]byte, answerBytes)...)
	j.flow.endpoint.Write(answer, time.Now())
}

func (t *Target) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case now := <-ticker.C:
			t.mu.Lock()
			for key, f := range t.flows {
				if !t.silent && f.endpoint.Tick(now) {
					delete(t.flows, key)
				}
			}
			t.mu.Unlock()
		}
	}
}

// send sends a packet to a caller, in the name of the service.
func (t *Target) send(key flowKey, echo uint32, flags byte, seq, ack uint32, data []byte) {
	if t.silent {
		return
	}
	p := platformtest.Encode(platformtest.Packet{From: key.service, To: key.caller, Echo: echo, Flags: flags, Seq: seq, Ack: ack, Data: data})
	to := netip.AddrPortFrom(key.caller.Addr(), t.config.PacketPort)
	_, _ = t.conn.WriteToUDPAddrPort(p, to) // A packet that is not sent is repeated.
}
