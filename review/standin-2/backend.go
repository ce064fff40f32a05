package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	firstRepeat     = 200 * time.Millisecond
	longestRepeat   = 1600 * time.Millisecond
	backendRepeats  = 8
	coldSlowdown    = 1.6
	healthCheckPath = "/healthz"
)

// backend is a backend that answers requesters directly. Each start is a new incarnation.
type backend struct {
	rig     *rig
	id      string
	service string
	zone    string
	address netip.AddrPort
	slots   int
	work    time.Duration
	warmUp  time.Duration

	mu          sync.Mutex
	incarnation int
	running     bool
	frozen      bool
	conn        *net.UDPConn
	http        *http.Server
	flows       map[string]*served
	jobs        chan job
	started     time.Time
	clockAhead  time.Duration
	born        int64
	cold        bool
	draining    bool
	sequence    int
	openings    []opening
	arrivals    map[string][]time.Time
}

// opening is an opening packet that a backend took.
type opening struct {
	flow    string
	sent    time.Time
	arrived time.Time
	cold    bool
	born    int64
}

// served is a flow that a backend holds.
type served struct {
	key      string
	caller   netip.AddrPort
	service  netip.AddrPort
	echo     uint32
	open     bool
	next     uint32
	sent     uint32
	acked    uint32
	openedAt time.Time
	ended    bool
}

type job struct {
	flow        *served
	request     string
	incarnation int
}

func flowName(caller, service netip.AddrPort) string { return caller.String() + ">" + service.String() }

// number is the number by which packets name the intended backend.
func (b *backend) number() uint64 {
	n, _ := strconv.ParseUint(b.id[strings.LastIndexByte(b.id, '-')+1:], 16, 64)
	return n
}

// start starts an incarnation. It registers itself before it takes its first packet.
func (b *backend) start(cold bool) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(b.address))
	if err != nil {
		return err
	}
	var listener net.Listener
	for range 50 {
		if listener, err = net.Listen("tcp4", b.address.String()); err == nil {
			break
		}
		time.Sleep(2 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.incarnation++
	b.running, b.draining, b.cold = true, false, cold
	b.conn, b.flows = conn, map[string]*served{}
	b.jobs = make(chan job, 1024)
	b.started = time.Now()
	b.born = b.started.Add(b.clockAhead).UnixMilli()
	b.sequence = 0
	b.http = &http.Server{Handler: http.HandlerFunc(b.handleHealth), ReadHeaderTimeout: time.Second}
	server, incarnation, jobs := b.http, b.incarnation, b.jobs
	b.mu.Unlock()
	b.rig.record.add("backend %s starts, born %d, cold %v", b.id, b.born, cold)
	b.beat()
	go func() { _ = server.Serve(listener) }()
	for range b.slots {
		go b.workLoop(jobs)
	}
	go b.readLoop(conn, incarnation)
	go b.beatLoop(incarnation)
	return nil
}

// crash ends the incarnation without a word. Its flows are gone.
func (b *backend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.running {
		return
	}
	b.running = false
	b.flows = map[string]*served{}
	close(b.jobs)
	_ = b.conn.Close()
	_ = b.http.Close()
	b.rig.record.add("backend %s crashes", b.id)
}

// drain reports that the backend is draining and returns when the store accepted it.
func (b *backend) drain() time.Time {
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	at := b.beat()
	b.rig.record.addAt(at, "store accepted that backend %s is draining", b.id)
	return at
}

// remainingWarmUp is how much longer the incarnation is cold. b.mu must be held.
func (b *backend) remainingWarmUp() time.Duration {
	if !b.cold {
		return 0
	}
	return max(b.warmUp-time.Since(b.started), 0)
}

// entry is what the backend writes of itself. b.mu must be held.
func (b *backend) entry() string {
	condition := "ready"
	if b.draining {
		condition = "draining"
	}
	b.sequence++
	value, _ := json.Marshal(map[string]any{
		"service": b.service, "address": b.address.String(), "zone": b.zone, "version": "v1", "capacity": b.slots,
		"condition": condition, "warmup_remaining_ms": b.remainingWarmUp().Milliseconds(), "sequence": b.sequence, "born": b.born,
	})
	return string(value)
}

// beat writes the entry and returns when the store accepted it.
func (b *backend) beat() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rig.store.put("servers/"+b.id, b.entry(), entryLifetime)
}

// setClockAhead sets how far the clock of the backend's machine is ahead.
func (b *backend) setClockAhead(ahead time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.clockAhead = ahead
}

func (b *backend) beatLoop(incarnation int) {
	for range time.Tick(heartbeat) {
		b.mu.Lock()
		over := !b.running || b.incarnation != incarnation
		b.mu.Unlock()
		if over {
			return
		}
		b.beat()
	}
}

func (b *backend) handleHealth(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	draining := b.draining
	b.mu.Unlock()
	w.Header().Set("X-Cranberryspan-Instance-Id", b.id)
	if r.URL.Path != healthCheckPath || draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (b *backend) readLoop(conn *net.UDPConn, incarnation int) {
	buffer := make([]byte, 4096)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n < numberBytes {
			continue
		}
		intended := binary.BigEndian.Uint64(buffer)
		p, genuine, ok := decode(append([]byte(nil), buffer[numberBytes:n]...))
		if !ok || !genuine {
			b.rig.record.say("UNASKED: backend %s got a packet that its sender didn't write", b.id)
			b.rig.fail("UNASKED")
			continue
		}
		b.mu.Lock()
		if b.running && b.incarnation == incarnation {
			b.handle(&p, intended)
		}
		b.mu.Unlock()
	}
}

// handle handles a packet. b.mu must be held.
func (b *backend) handle(p *packet, intended uint64) {
	key := flowName(p.src, p.dst)
	now := time.Now()
	b.rig.packetArrived(key, b, p, now)
	if intended != 0 && intended != b.number() {
		return // A backend sends nothing if it isn't the intended one.
	}
	if p.flags&flagSYN != 0 && p.flags&flagACK != 0 {
		b.rig.fail("UNASKED")
		return
	}
	f := b.flows[key]
	switch {
	case p.flags&flagSYN != 0:
		b.handleOpening(p, key, f, now)
	case p.flags&flagRST != 0:
		delete(b.flows, key)
	case f == nil || (f.ended && len(p.data) > 0):
		b.send(&packet{src: p.dst, dst: p.src, echo: p.echo, flags: flagRST, seq: p.ack, ack: p.seq})
	default:
		b.handleLater(p, f)
	}
}

func (b *backend) handleOpening(p *packet, key string, f *served, now time.Time) {
	if f == nil || f.ended || f.open {
		f = &served{key: key, caller: p.src, service: p.dst, next: p.seq + 1, sent: b.rig.random(), openedAt: now}
		f.acked = f.sent
		f.sent++
		b.flows[key] = f
		one := opening{flow: key, sent: b.rig.openingSent(key), arrived: now, cold: b.remainingWarmUp() > 0, born: b.born}
		b.openings = append(b.openings, one)
		b.rig.record.addAt(now, "backend %s took the opening packet of %s, cold %v, draining %v", b.id, key, one.cold, b.draining)
	}
	f.echo = p.echo
	b.send(&packet{src: p.dst, dst: p.src, echo: f.echo, flags: flagSYN | flagACK, seq: f.sent - 1, ack: f.next})
}

func (b *backend) handleLater(p *packet, f *served) {
	if p.echo != 0 {
		f.echo = p.echo
	}
	if !f.open {
		if p.ack != f.sent {
			b.send(&packet{src: p.dst, dst: p.src, echo: p.echo, flags: flagRST, seq: p.ack, ack: p.seq})
			return
		}
		f.open = true
		b.rig.flowOpened(f.key, b)
	}
	if int32(p.ack-f.acked) > 0 {
		f.acked = p.ack
	}
	if len(p.data) > 0 {
		if p.seq == f.next {
			f.next += uint32(len(p.data))
			select {
			case b.jobs <- job{flow: f, request: string(p.data), incarnation: b.incarnation}:
			default:
			}
		}
		b.send(&packet{src: p.dst, dst: p.src, echo: f.echo, flags: flagACK, seq: f.sent, ack: f.next})
	}
	if p.flags&flagFIN != 0 {
		f.ended = true
		b.send(&packet{src: p.dst, dst: p.src, echo: f.echo, flags: flagACK | flagFIN, seq: f.sent, ack: p.seq + 1})
	}
}

func (b *backend) workLoop(jobs chan job) {
	for j := range jobs {
		id, _, _ := strings.Cut(j.request, "\n")
		b.rig.ran(id, b)
		b.mu.Lock()
		work := b.work
		if b.remainingWarmUp() > 0 {
			work = time.Duration(float64(work) * coldSlowdown)
		}
		b.mu.Unlock()
		time.Sleep(work)
		b.respond(j, fmt.Sprintf("%s\nrun by %s\n", id, b.id))
	}
}

// respond sends a response and repeats it until it is acknowledged.
func (b *backend) respond(j job, text string) {
	b.mu.Lock()
	f := j.flow
	if !b.running || b.incarnation != j.incarnation {
		b.mu.Unlock()
		return
	}
	seq := f.sent
	f.sent += uint32(len(text))
	end := f.sent
	b.mu.Unlock()
	go func() {
		wait := firstRepeat
		for range backendRepeats + 1 {
			b.mu.Lock()
			done := !b.running || b.incarnation != j.incarnation || f.ended || int32(f.acked-end) >= 0
			if !done {
				b.send(&packet{src: f.service, dst: f.caller, echo: f.echo, flags: flagACK, seq: seq, ack: f.next, data: []byte(text)})
			}
			b.mu.Unlock()
			if done {
				return
			}
			time.Sleep(wait)
			wait = min(2*wait, longestRepeat)
		}
	}()
}

// send sends a packet straight to a requester. b.mu must be held.
func (b *backend) send(p *packet) {
	_, _ = b.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(p.dst.Addr(), packetPort))
}
