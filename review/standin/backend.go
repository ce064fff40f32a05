package main

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is what a backend writes of itself into the store.
type entry struct {
	id                string
	Service           string `json:"service"`
	Address           string `json:"address"`
	Zone              string `json:"zone"`
	Version           string `json:"version"`
	Capacity          int    `json:"capacity"`
	Condition         string `json:"condition"`
	WarmupRemainingMs int64  `json:"warmup_remaining_ms"`
	Sequence          uint64 `json:"sequence"`
	Born              int64  `json:"born,omitempty"`
}

func (e entry) equalButSequence(other entry) bool {
	e.id, e.Sequence = "", 0
	other.id, other.Sequence = "", 0
	return e == other
}

type flowKey struct{ from, to netip.AddrPort }

// arrival is a datagram that a backend received.
type arrival struct {
	at time.Time
	// backend is the ID of the backend that received it, intended that of the one to which it
	// was addressed.
	backend  string
	intended uint64
	flow     flowKey
	flags    byte
	length   int
}

// backend is a server behind the load balancer. It keeps its ID and address when it starts again.
type backend struct {
	id         string
	number     uint64
	service    string
	zone       string
	address    netip.AddrPort
	slots      int
	work       time.Duration
	packetPort uint16
	store      *store
	record     *recorder
	// reportsBorn says whether its entry has the field born.
	reportsBorn bool

	mu        sync.Mutex
	running   bool
	stop      chan struct{}
	udp       *net.UDPConn
	tcp       net.Listener
	flows     map[flowKey]*backendFlow
	ended     map[flowKey]bool
	freeSlots chan struct{}
	condition string
	sequence  uint64
	born      int64
	arrivals  []arrival
	ran       map[string]int
	// isCut is set while nothing passes between the backend and the hosts; see cutOff.
	isCut     bool
	fullQueue int
	filler    net.Conn
}

type backendFlow struct {
	key      flowKey
	endpoint *endpoint
	echo     uint32
	sentSeq  uint32
	openedAt time.Time
	received []byte
}

func newBackend(id, service, zone string, address netip.AddrPort) *backend {
	number, err := strconv.ParseUint(id[strings.LastIndexByte(id, '-')+1:], 16, 64)
	if err != nil {
		panic(err) // All IDs are made here.
	}
	return &backend{id: id, number: number, service: service, zone: zone, address: address, slots: 3, work: 20 * time.Millisecond, ran: map[string]int{}}
}

// start begins a new incarnation, which holds nothing of the one before.
func (b *backend) start() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	var err error
	if b.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(b.address)); err != nil {
		return err
	}
	if err := b.listenHealth(); err != nil {
		return err
	}
	b.flows, b.ended = map[flowKey]*backendFlow{}, map[flowKey]bool{}
	b.freeSlots = make(chan struct{}, b.slots)
	b.condition, b.running, b.stop, b.sequence = "ready", true, make(chan struct{}), 0
	b.born = time.Now().UnixMilli()
	go b.read(b.udp)
	go b.beatUntil(b.stop)
	go b.tickUntil(b.stop)
	b.record.printf("backend %s starts: service %s, %s, born %d", b.id, b.service, b.address, b.born)
	return nil
}

// listenHealth serves liveness checks. b.mu must be held.
func (b *backend) listenHealth() error {
	l, err := net.Listen("tcp4", b.address.String())
	if err != nil {
		return err
	}
	b.tcp = l
	go func() { _ = http.Serve(l, http.HandlerFunc(b.serveHealth)) }() // Ends when the listener is closed.
	return nil
}

// crash ends the backend without a word.
func (b *backend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.running {
		return
	}
	b.running = false
	close(b.stop)
	_ = b.udp.Close()
	_ = b.tcp.Close()
	b.record.printf("backend %s is down", b.id)
}

func (b *backend) entry() entry {
	b.sequence++
	e := entry{
		id: b.id, Service: b.service, Address: b.address.String(), Zone: b.zone, Version: "v1",
		Capacity: b.slots, Condition: b.condition, Sequence: b.sequence,
	}
	if b.reportsBorn {
		e.Born = b.born
	}
	return e
}

func (b *backend) beatUntil(stop <-chan struct{}) {
	for {
		b.mu.Lock()
		e := b.entry()
		b.mu.Unlock()
		b.store.beat(e)
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (b *backend) tickUntil(stop <-chan struct{}) {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			b.mu.Lock()
			for key, f := range b.flows {
				if f.endpoint.tick(now) {
					delete(b.flows, key)
				}
			}
			b.mu.Unlock()
		}
	}
}

func (b *backend) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Cranberryspan-Instance-Id", b.id)
	b.mu.Lock()
	draining := b.condition == "draining"
	b.mu.Unlock()
	if draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (b *backend) read(conn *net.UDPConn) {
	buffer := make([]byte, 2048)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n < idBytes {
			continue
		}
		if p, ok := decode(buffer[idBytes:n]); ok {
			b.handle(binary.BigEndian.Uint64(buffer), &p)
		}
	}
}

func (b *backend) handle(intended uint64, p *packet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.running || b.isCut {
		return
	}
	now := time.Now()
	key := flowKey{p.from, p.to}
	b.arrivals = append(b.arrivals, arrival{now, b.id, intended, key, p.flags, len(p.data)})
	if !p.sumValid || (intended != 0 && intended != b.number) {
		return // It is not the intended backend.
	}
	f := b.flows[key]
	switch {
	case p.opens():
		b.handleOpening(key, f, p)
	case p.flags&flagReset != 0:
		delete(b.flows, key)
	case f == nil && p.flags&flagEnd != 0:
		b.send(key, p.echo, flagAck, p.ack, p.seq+1, nil)
	case f == nil:
		b.record.printf("backend %s resets %s, a flow that it does not hold", b.id, key.from)
		b.send(key, p.echo, flagReset, p.ack, 0, nil)
	default:
		b.handleOpen(f, p, now)
	}
}

func (b *backend) handleOpening(key flowKey, f *backendFlow, p *packet) {
	if f == nil || !f.openedAt.IsZero() {
		f = &backendFlow{key: key, sentSeq: rand.Uint32()}
		b.flows[key] = f
		delete(b.ended, key)
		f.endpoint = &endpoint{next: f.sentSeq + 1, expected: p.seq + 1, send: func(flags byte, seq, ack uint32, data []byte) {
			b.send(key, f.echo, flags, seq, ack, data)
		}}
	}
	f.echo = p.echo
	b.send(key, f.echo, flagOpen|flagAck, f.sentSeq, p.seq+1, nil)
}

func (b *backend) handleOpen(f *backendFlow, p *packet, now time.Time) {
	if f.openedAt.IsZero() {
		if p.ack != f.sentSeq+1 {
			return // The flow opens at another backend.
		}
		f.openedAt = now
	}
	f.echo = p.echo
	f.received = append(f.received, f.endpoint.receive(p, now)...)
	if p.flags&flagEnd != 0 {
		f.endpoint.expected++
		f.endpoint.send(flagAck|flagEnd, f.endpoint.next, f.endpoint.expected, nil)
		delete(b.flows, f.key)
		b.ended[f.key] = true
		return
	}
	for {
		head, rest, complete := bytes.Cut(f.received, []byte("\r\n\r\n"))
		if !complete {
			return
		}
		f.received = rest
		go b.run(f, headerOf(string(head), "X-Cranberryspan-Attempt-Id"), b.freeSlots)
	}
}

// run executes a request and sends its response.
func (b *backend) run(f *backendFlow, attempt string, slots chan struct{}) {
	slots <- struct{}{}
	b.mu.Lock()
	b.ran[attempt]++
	b.mu.Unlock()
	b.record.printf("backend %s runs %s", b.id, attempt)
	time.Sleep(b.work)
	<-slots
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.running || b.flows[f.key] != f {
		return
	}
	body := strings.Repeat("x", 600)
	closing := ""
	if b.condition == "draining" {
		closing = "Connection: close\r\n"
	}
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Cranberryspan-Server-Signature: %s/%s\r\n%sContent-Length: %d\r\n\r\n%s", b.id, attempt, closing, len(body), body)
	f.endpoint.write([]byte(response), time.Now())
}

func (b *backend) send(key flowKey, echo uint32, flags byte, seq, ack uint32, data []byte) {
	if b.isCut {
		return
	}
	p := packet{from: key.to, to: key.from, echo: echo, flags: flags, seq: seq, ack: ack, data: data}
	_, _ = b.udp.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(key.from.Addr(), b.packetPort)) // A lost packet is sent again.
}

// holds reports whether the backend holds an open flow, and since when.
func (b *backend) holds(key flowKey) (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f, ok := b.flows[key]
	if !ok || f.openedAt.IsZero() || !b.running {
		return time.Time{}, false
	}
	return f.openedAt, true
}

// headerOf returns the value of a header field.
func headerOf(head, name string) string {
	for line := range strings.SplitSeq(head, "\r\n") {
		if value, ok := strings.CutPrefix(line, name+": "); ok {
			return value
		}
	}
	return ""
}
