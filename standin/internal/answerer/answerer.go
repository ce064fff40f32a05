// Package answerer emulates targets that respond to callers directly, without passing the load
// balancer.
//
// A request is a line "ID KIND LENGTH" followed by LENGTH bytes; an ID begins with the name of
// the service and a slash. The response is a line "ID ok LENGTH" followed by LENGTH bytes. A
// draining target sends "last" instead of "ok", which asks the caller to open a new flow for its
// next request. "ID shed 0" refuses a request that was not executed.
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

// Error is the error type of this package.
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
	// responseBytes is the size of a response without its first line.
	responseBytes = 1500
	initialSeq    = 7000
)

// Record holds what all targets of a test have observed.
type Record struct {
	mu         sync.Mutex
	executions map[string]int
	problems   []string
	// targetByCaller holds the ID of the target that received a flow's first data, by the
	// caller's address and port.
	targetByCaller map[netip.AddrPort]string
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{executions: map[string]int{}, targetByCaller: map[netip.AddrPort]string{}}
}

// Executions returns how often a request was executed.
func (r *Record) Executions(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.executions[id]
}

// Problems returns the violations of guarantees that targets have observed.
func (r *Record) Problems() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.problems...)
}

// TargetOf returns the ID of the target of a flow, by the caller's address and port.
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

// Config is the configuration of a target.
type Config struct {
	Entry platformtest.Target
	// ProcessingTime is the time to execute a request.
	ProcessingTime time.Duration
	// PacketPort is the port at which callers receive packets.
	PacketPort uint16
	// DrainLimit is how long a target may still receive new flows after it has begun to drain
	// or after the evacuation of its zone was ordered.
	DrainLimit time.Duration
	// EvacuatedSince returns when the evacuation of the target's zone was ordered; the zero
	// time if no order is in force.
	EvacuatedSince func() time.Time
}

// Target is an emulated target.
type Target struct {
	config Config
	number steerer.TargetNumber
	record *Record
	conn   *net.UDPConn
	http   *http.Server
	// serving waits for the goroutines that read from the target's sockets.
	serving sync.WaitGroup

	mu    sync.Mutex
	flows map[flowKey]*flow
	// unresponsive makes the target unresponsive: it ignores all packets and sends none.
	unresponsive bool
	// cutOff cuts the target off from all hosts and callers; it goes on working.
	// reachableSince is when the last cut ended.
	cutOff         bool
	reachableSince time.Time
	// incarnation is the number of restarts of the target.
	incarnation   int
	drainingSince time.Time
	undisturbed   func() bool
	jobs          chan job
}

type flowKey struct{ caller, service netip.AddrPort }

type flow struct {
	endpoint     *transporter.Endpoint
	key          flowKey
	echo         uint32
	received     []byte
	dataReceived bool
}

type job struct {
	flow      *flow
	requestID string
	// incarnation is the target's incarnation when it received the request.
	incarnation int
}

// New starts a target. undisturbed reports whether no fault delays updates to hosts; limits on
// new flows are only checked if so.
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
	t.serveHealthChecks(listener)
	t.serving.Go(t.readLoop)
	go t.tickLoop(ctx)
	for range config.Entry.Slots {
		go t.workLoop(ctx)
	}
	return t, nil
}

// serveHealthChecks responds to health checks until the server is closed.
func (t *Target) serveHealthChecks(listener net.Listener) {
	server := &http.Server{Handler: http.HandlerFunc(t.handleHealthCheck), ReadHeaderTimeout: time.Second}
	t.http = server
	t.serving.Go(func() { _ = server.Serve(listener) })
}

// Entry returns the target's registration in the store.
func (t *Target) Entry() platformtest.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.config.Entry
}

// Service returns the target's service. It takes no lock, since the service never changes.
func (t *Target) Service() string { return t.config.Entry.Service }

// Stop stops the target at once, like a crash.
func (t *Target) Stop() {
	t.StopResponding()
	_ = t.conn.Close()
}

// Close stops the target and waits until its address is released, since a socket stays open
// until all of its readers have returned.
func (t *Target) Close() {
	t.Stop()
	t.serving.Wait()
}

// StopResponding makes the target unresponsive. Connections of health checks are refused rather
// than ignored, since a process cannot make its kernel ignore a TCP handshake.
func (t *Target) StopResponding() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unresponsive = true
	_ = t.http.Close()
}

// CutOff drops all packets from and to the target, which keeps its flows and goes on working. As
// with StopResponding, connections of health checks are refused.
func (t *Target) CutOff() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cutOff = true
	_ = t.http.Close()
}

// Reconnect ends a cut.
func (t *Target) Reconnect() error {
	listener, err := net.Listen("tcp4", t.Entry().Address.String())
	if err != nil {
		return &Error{Op: "reconnect target", Err: err}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cutOff, t.reachableSince = false, time.Now()
	t.serveHealthChecks(listener)
	return nil
}

// ReachableFor reports whether the target has been responsive and not cut off for a time.
func (t *Target) ReachableFor(d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.unresponsive && !t.cutOff && time.Since(t.reachableSince) > d
}

// Responding reports whether the target is responsive.
func (t *Target) Responding() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.unresponsive
}

// Restart restarts the target under the same ID. It loses its flows and its requests in flight.
func (t *Target) Restart() platformtest.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.flows)
	t.config.Entry.StartedAtMs = time.Now().UnixMilli()
	t.config.Entry.Draining = false
	t.incarnation++
	return t.config.Entry
}

// SetProcessingTime changes the time to execute a request.
func (t *Target) SetProcessingTime(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.config.ProcessingTime = d
}

// StartDraining marks the target as draining and returns the entry to register.
func (t *Target) StartDraining() platformtest.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drainingSince = time.Now()
	t.config.Entry.Draining = true
	return t.config.Entry
}

func (t *Target) handleHealthCheck(w http.ResponseWriter, r *http.Request) {
	if !t.Responding() {
		// A check accepted before StopResponding gets no response.
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
			continue // The error reports that an earlier packet was undeliverable.
		}
		number, p, ok := platformtest.DecodeForTarget(append([]byte(nil), buffer[:n]...))
		if !ok || !p.ChecksumValid {
			t.record.addProblem("%s received a malformed packet or one with a wrong checksum", t.config.Entry.ID)
			continue
		}
		// Packets for another target, such as an earlier one at this address, are ignored.
		if number == uint64(t.number) {
			t.handlePacket(p)
		}
	}
}

func (t *Target) handlePacket(p platformtest.Packet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unresponsive || t.cutOff {
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
	if !f.dataReceived {
		f.dataReceived = true
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

// nextRequest removes the next request from the bytes that a flow has received, if it is
// complete.
func (t *Target) nextRequest(f *flow) (id string, complete bool) {
	newline := bytes.IndexByte(f.received, '\n')
	if newline < 0 {
		return "", false
	}
	var kind string
	var length int
	if _, err := fmt.Sscanf(string(f.received[:newline]), "%s %s %d", &id, &kind, &length); err != nil {
		t.record.addProblem("%s received a malformed request line: %q", t.config.Entry.ID, f.received[:newline])
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
		t.record.addProblem("%s of service %s ran request %s", t.config.Entry.ID, t.config.Entry.Service, j.requestID)
	}
	select {
	case <-ctx.Done():
		return
	case <-time.After(processingTime):
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unresponsive || j.incarnation != t.incarnation {
		return
	}
	status := "ok"
	if t.config.Entry.Draining {
		status = "last"
	}
	response := append(fmt.Appendf(nil, "%s %s %d\n", j.requestID, status, responseBytes), make([]byte, responseBytes)...)
	j.flow.endpoint.Write(response, time.Now())
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
				if !t.unresponsive && !t.cutOff && f.endpoint.Tick(now) {
					delete(t.flows, key)
				}
			}
			t.mu.Unlock()
		}
	}
}

// send sends a packet to a caller, with the service's address as its source.
func (t *Target) send(key flowKey, echo uint32, flags byte, seq, ack uint32, data []byte) {
	if t.unresponsive || t.cutOff {
		return
	}
	p := platformtest.Encode(platformtest.Packet{From: key.service, To: key.caller, Echo: echo, Flags: flags, Seq: seq, Ack: ack, Data: data})
	to := netip.AddrPortFrom(key.caller.Addr(), t.config.PacketPort)
	_, _ = t.conn.WriteToUDPAddrPort(p, to) // Lost packets are retransmitted.
}
