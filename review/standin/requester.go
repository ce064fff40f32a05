package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	firstCopy  = 200 * time.Millisecond
	secondCopy = 600 * time.Millisecond
	giveUpOpen = 1400 * time.Millisecond
	// resetWindow is how far the sequence number of a reset may be from the last
	// acknowledgement on an open flow.
	resetWindow = 76_800
)

// outcome is how an attempt of a request ended.
type outcome string

const (
	answered       outcome = "answered"
	notOpened      outcome = "not opened"
	resetByBackend outcome = "reset by the backend"
	resetBySystem  outcome = "reset by the load balancer"
	deadlinePassed outcome = "no answer by its deadline"
)

// foreignReset is a reset that a requester got on an open flow from the load balancer.
type foreignReset struct {
	at   time.Time
	flow flowKey
	// by is the address from which it came.
	by netip.AddrPort
}

// requester is one client address. Each of its flows has a port of its own.
type requester struct {
	address netip.Addr
	zone    string
	router  *router
	record  *recorder
	conn    *net.UDPConn

	mu       sync.Mutex
	flows    map[uint16]*clientFlow
	lastPort uint16
	resets   []foreignReset
}

type clientFlow struct {
	owner    *requester
	key      flowKey
	isn      uint32
	openedAt time.Time
	startAt  time.Time
	copies   uint32
	echo     uint32
	endpoint *endpoint
	received []byte
	failure  outcome
	closing  bool
	updated  chan struct{}
}

func newRequester(ctx context.Context, address netip.Addr, packetPort uint16, zone string, r *router, record *recorder) (*requester, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, packetPort)))
	if err != nil {
		return nil, err
	}
	q := &requester{address: address, zone: zone, router: r, record: record, conn: conn, flows: map[uint16]*clientFlow{}, lastPort: uint16(2000 + rand.IntN(20000))}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	go q.read()
	go q.tick(ctx)
	return q, nil
}

func (q *requester) open(route netip.AddrPort) *clientFlow {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastPort++
	f := &clientFlow{
		owner: q, key: flowKey{netip.AddrPortFrom(q.address, q.lastPort), route}, isn: rand.Uint32(),
		startAt: time.Now(), updated: make(chan struct{}, 1),
	}
	q.flows[q.lastPort] = f
	f.send(flagOpen, f.isn, 0, nil)
	return f
}

func (f *clientFlow) send(flags byte, seq, ack uint32, data []byte) {
	echo := f.echo
	if flags == flagOpen {
		echo = 0
	}
	f.owner.router.forward(f.owner.zone, &packet{from: f.key.from, to: f.key.to, echo: echo, flags: flags, seq: seq, ack: ack, data: data})
}

func (q *requester) read() {
	buffer := make([]byte, 2048)
	for {
		n, by, err := q.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if p, ok := decode(buffer[:n]); ok {
			q.handle(&p, by)
		}
	}
}

func (q *requester) handle(p *packet, by netip.AddrPort) {
	q.mu.Lock()
	defer q.mu.Unlock()
	f, ok := q.flows[p.to.Port()]
	if !ok || f.key.to != p.from || f.failure != "" {
		return
	}
	switch open := !f.openedAt.IsZero(); {
	case p.flags&flagReset != 0 && open && !p.sumValid:
		if distance := int32(p.seq - f.endpoint.expected); distance > resetWindow || distance < -resetWindow {
			return
		}
		q.resets = append(q.resets, foreignReset{time.Now(), f.key, by})
		q.record.printf("requester %s gets a reset of the load balancer from %s on its open flow", f.key.from, by)
		f.failure = resetBySystem
	case p.flags&flagReset != 0 && open:
		f.failure = resetByBackend
	case p.flags&flagReset != 0:
		f.failure = notOpened
	case !p.sumValid:
		return
	case p.flags&flagOpen != 0 && !open:
		f.openedAt = time.Now()
		f.echo = p.echo
		f.endpoint = &endpoint{next: f.isn + 1, expected: p.seq + 1, send: f.send}
		f.endpoint.acknowledge()
	case open && p.flags&flagOpen == 0:
		f.echo = p.echo
		f.received = append(f.received, f.endpoint.receive(p, time.Now())...)
	}
	f.notify()
}

func (f *clientFlow) notify() {
	select {
	case f.updated <- struct{}{}:
	default:
	}
}

func (q *requester) tick(ctx context.Context) {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			q.mu.Lock()
			for _, f := range q.flows {
				f.tick(now)
			}
			q.mu.Unlock()
		}
	}
}

// tick sends again what is overdue. The ack of an opening packet counts its copies.
func (f *clientFlow) tick(now time.Time) {
	age := now.Sub(f.startAt)
	switch {
	case f.failure != "":
	case !f.openedAt.IsZero():
		f.endpoint.tick(now) // A requester gives up at its deadline.
	case age > giveUpOpen:
		f.failure = notOpened
		f.notify()
	case f.copies == 0 && age > firstCopy, f.copies == 1 && age > secondCopy:
		f.copies++
		f.send(flagOpen, f.isn, f.copies, nil)
	}
}

// do sends a request on the flow and waits for its answer.
func (f *clientFlow) do(ctx context.Context, method, attempt string, deadline time.Duration) outcome {
	timer := time.NewTimer(deadline)
	defer timer.Stop()
	sent := false
	for {
		f.owner.mu.Lock()
		if !sent && !f.openedAt.IsZero() && f.failure == "" {
			sent = true
			f.owner.record.printf("requester %s sends %s", f.key.from, attempt)
			f.endpoint.write(fmt.Appendf(nil, "%s /work HTTP/1.1\r\nX-Cranberryspan-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", method, attempt), time.Now())
		}
		done := f.takeResponse(attempt)
		result := f.failure
		f.owner.mu.Unlock()
		switch {
		case done:
			f.owner.record.printf("requester %s: %s %s", f.key.from, attempt, answered)
			return answered
		case result != "":
			f.owner.record.printf("requester %s: %s %s", f.key.from, attempt, result)
			return result
		}
		select {
		case <-f.updated:
		case <-timer.C:
			f.owner.record.printf("requester %s: %s %s", f.key.from, attempt, deadlinePassed)
			return deadlinePassed
		case <-ctx.Done():
			return deadlinePassed
		}
	}
}

// takeResponse consumes a complete response. A response to another request counts as none.
func (f *clientFlow) takeResponse(attempt string) bool {
	head, rest, complete := bytes.Cut(f.received, []byte("\r\n\r\n"))
	if !complete {
		return false
	}
	length, err := strconv.Atoi(headerOf(string(head), "Content-Length"))
	if err != nil || len(rest) < length {
		return false
	}
	f.received = rest[length:]
	f.closing = headerOf(string(head), "Connection") == "close"
	return strings.HasSuffix(headerOf(string(head), "X-Cranberryspan-Server-Signature"), "/"+attempt)
}

// close ends the flow.
func (f *clientFlow) close() {
	f.owner.mu.Lock()
	defer f.owner.mu.Unlock()
	if f.failure == "" && !f.openedAt.IsZero() {
		f.send(flagAck|flagEnd, f.endpoint.next, f.endpoint.expected, nil)
	}
	delete(f.owner.flows, f.key.from.Port())
}

// keepAsking sends one request after another, on a flow that it keeps open as long as they are
// answered.
func (q *requester) keepAsking(ctx context.Context, route netip.AddrPort, method, name string, pause, deadline time.Duration) {
	var f *clientFlow
	for n := 1; ctx.Err() == nil; n++ {
		if f == nil {
			f = q.open(route)
		}
		result := f.do(ctx, method, fmt.Sprintf("%s-%d", name, n), deadline)
		if result != answered || f.closing {
			f.close()
			f = nil
		}
		wait(ctx, pause/2+rand.N(pause))
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
