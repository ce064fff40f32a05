// Package forwarder receives the packets of flows from the fabric and sends packets to
// targets and callers.
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

// Kind classifies errors.
type Kind uint8

// KindSocket means that the packet socket can't be opened or read.
const KindSocket Kind = 1

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// socketBufferBytes is the size of the receive buffer. It holds twice what arrives while
// the process waits to be scheduled, which is several hundred packets of 1.2 KB.
const socketBufferBytes = 1 << 20

// Codec encodes and decodes packets.
type Codec interface {
	Decode(data []byte) (steerer.Packet, error)
	AppendToTarget(buffer []byte, e *steerer.ForwardPacket) []byte
	AppendReset(buffer []byte, e *steerer.ResetFlow) []byte
}

// Counters count received and dropped packets and failed sends. They are safe for
// concurrent use.
type Counters struct {
	Malformed  atomic.Uint64
	Overflow   atomic.Uint64
	SendFailed atomic.Uint64
	Received   atomic.Uint64
}

// Forwarder manages the packet socket.
type Forwarder struct {
	conn       *net.UDPConn
	codec      Codec
	events     chan<- steerer.Event
	buffers    sync.Pool
	sendBuffer []byte
	port       uint16
	Counters   Counters
}

// New opens the socket. Received packets are sent to events; maxBytes is the size of the
// largest datagram.
func New(address netip.AddrPort, codec Codec, maxBytes int, events chan<- steerer.Event) (*Forwarder, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, &Error{Op: "listen for packets", Kind: KindSocket, Err: err}
	}
	// The kernel silently limits the buffer to the maximum that it allows.
	_ = conn.SetReadBuffer(socketBufferBytes)
	f := &Forwarder{conn: conn, codec: codec, events: events, port: address.Port()}
	f.buffers.New = func() any { return &pooledPacket{buffer: make([]byte, maxBytes)} }
	return f, nil
}

// pooledPacket is a packet event with its reusable receive buffer.
type pooledPacket struct {
	event  steerer.CallerPacket
	buffer []byte
}

// Run reads packets until the context is canceled. The returned channel receives the error
// that stopped it, or nil.
func (f *Forwarder) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	context.AfterFunc(ctx, func() { _ = f.conn.Close() })
	go func() { done <- f.read(ctx) }()
	return done
}

func (f *Forwarder) read(ctx context.Context) error {
	for {
		pooled := f.buffers.Get().(*pooledPacket)
		n, _, err := f.conn.ReadFromUDPAddrPort(pooled.buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return &Error{Op: "read packet", Kind: KindSocket, Err: err}
		}
		f.Counters.Received.Add(1)
		packet, err := f.codec.Decode(pooled.buffer[:n])
		if err != nil {
			f.Counters.Malformed.Add(1)
			f.buffers.Put(pooled)
			continue
		}
		pooled.event.Packet = packet
		select {
		case f.events <- &pooled.event:
		default:
			// The event queue is full. Callers retransmit what matters, so the newest
			// packet is dropped instead of delaying all.
			f.Counters.Overflow.Add(1)
			f.buffers.Put(pooled)
		}
	}
}

// Release returns the buffer of a packet to the pool once its effects are executed. Packet.Data
// must be the packet as received, so that it begins at the start of the buffer.
func (f *Forwarder) Release(event *steerer.CallerPacket) {
	f.buffers.Put(&pooledPacket{buffer: event.Packet.Data[:cap(event.Packet.Data)]})
}

// SendToTarget forwards a packet to its target. It is not safe for concurrent use with
// itself or SendReset.
func (f *Forwarder) SendToTarget(e *steerer.ForwardPacket) {
	f.sendBuffer = f.codec.AppendToTarget(f.sendBuffer[:0], e)
	f.send(e.Address)
}

// SendReset sends a caller the packet that resets its flow. Callers receive packets on the
// same port number as hosts.
func (f *Forwarder) SendReset(e *steerer.ResetFlow) {
	f.sendBuffer = f.codec.AppendReset(f.sendBuffer[:0], e)
	f.send(netip.AddrPortFrom(e.Caller.Addr(), f.port))
}

func (f *Forwarder) send(to netip.AddrPort) {
	if _, err := f.conn.WriteToUDPAddrPort(f.sendBuffer, to); err != nil {
		f.Counters.SendFailed.Add(1)
	}
}
