// Package forwarder moves the packets of flows between the fabric, this host and
// targets.
package forwarder

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"cranberryspan.dev/core/steerer"
)

// Kind tells callers which sort of failure an Error is.
type Kind uint8

// KindSocket means that the socket can't be opened or read.
const KindSocket Kind = 1

// Error is the one error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// socketBufferBytes holds what arrives while the process waits for its share of
// the processor, some hundred packets of 1.2 KB, twice over.
const socketBufferBytes = 1 << 20

// Codec reads and writes packets.
type Codec interface {
	Decode(data []byte) (steerer.Packet, error)
	AppendToTarget(buffer []byte, e *steerer.ForwardPacket) []byte
	AppendReset(buffer []byte, e *steerer.ResetFlow) []byte
}

// Counters count what could not be passed on. They are safe for concurrent use.
type Counters struct {
	Malformed  atomic.Uint64
	Overflow   atomic.Uint64
	SendFailed atomic.Uint64
	Received   atomic.Uint64
}

// Forwarder owns the socket for packets.
type Forwarder struct {
	conn       *net.UDPConn
	codec      Codec
	events     chan<- steerer.Event
	buffers    sync.Pool
	sendBuffer []byte
	port       uint16
	Counters   Counters
}

// New opens the socket. Packets become events; maxBytes is the size of the
// largest datagram.
func New(address netip.AddrPort, codec Codec, maxBytes int, events chan<- steerer.Event) (*Forwarder, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, &Error{Op: "listen for packets", Kind: KindSocket, Err: err}
	}
	// A larger buffer than the kernel allows is cut by the kernel.
	_ = conn.SetReadBuffer(socketBufferBytes)
	f := &Forwarder{conn: conn, codec: codec, events: events, port: address.Port()}
	f.buffers.New = func() any { return &pooledPacket{buffer: make([]byte, maxBytes)} }
	return f, nil
}

// pooledPacket is a packet on its way through the host, with its memory.
type pooledPacket struct {
	event  steerer.CallerPacket
	buffer []byte
}

// Run reads packets until the context ends, and reports its end.
func (f *Forwarder) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	context.AfterFunc(ctx, func() { _ = f.conn.Close() })
	go func() { done <- f.read(ctx) }()
	return done
}

func (f *Forwarder) read(ctx context.Context) error {
	for {
		d := f.buffers.Get().(*pooledPacket)
		n, _, err := f.conn.ReadFromUDPAddrPort(d.buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return &Error{Op: "read packet", Kind: KindSocket, Err: err}
		}
		f.Counters.Received.Add(1)
		packet, err := f.codec.Decode(d.buffer[:n])
		if err != nil {
			f.Counters.Malformed.Add(1)
			f.buffers.Put(d)
			continue
		}
		d.event.Packet = packet
		select {
		case f.events <- &d.event:
		default:
			// The host is overloaded. Callers repeat what matters, so the newest
			// packet is dropped rather than all delayed.
			f.Counters.Overflow.Add(1)
			f.buffers.Put(d)
		}
	}
}

// Release takes back the memory of a packet whose effects are carried out.
func (f *Forwarder) Release(event *steerer.CallerPacket) {
	f.buffers.Put(&pooledPacket{buffer: event.Packet.Data[:cap(event.Packet.Data)]})
}

// SendToTarget passes a packet on. Only one goroutine may send.
func (f *Forwarder) SendToTarget(e *steerer.ForwardPacket) {
	f.sendBuffer = f.codec.AppendToTarget(f.sendBuffer[:0], e)
	f.send(e.Address)
}

// SendReset tells a caller that its flow has ended. Callers take packets at the port
// at which hosts do.
func (f *Forwarder) SendReset(e *steerer.ResetFlow) {
	f.sendBuffer = f.codec.AppendReset(f.sendBuffer[:0], e)
	f.send(netip.AddrPortFrom(e.Caller.Addr(), f.port))
}

func (f *Forwarder) send(to netip.AddrPort) {
	if _, err := f.conn.WriteToUDPAddrPort(f.sendBuffer, to); err != nil {
		f.Counters.SendFailed.Add(1)
	}
}
