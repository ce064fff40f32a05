// Package carrier sends and receives datagrams: packets exchanged with the fabric, and
// packets forwarded between hosts.
package carrier

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"cranberryspan.dev/core/encoder"
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/reducer"
	"cranberryspan.dev/core/timekeeper"
	"cranberryspan.dev/core/translator"
)

// Kind classifies errors.
type Kind uint8

// KindSocket means that a socket can't be opened, read or written.
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

const (
	socketBufferBytes = 4 << 20
	// returnPort is the port of every return address, the default port of CoAP.
	returnPort = 5683
)

// Counters count dropped datagrams and failed sends by reason. They are safe for concurrent
// use.
type Counters struct {
	Malformed       atomic.Uint64
	Unauthenticated atomic.Uint64
	Unknown         atomic.Uint64
	Overflow        atomic.Uint64
	SendFailed      atomic.Uint64
	Fenced          atomic.Uint64
}

// Carrier manages the two datagram sockets of a host: one to the fabric, one to its peers.
type Carrier struct {
	fabric     netip.AddrPort
	fabricConn *net.UDPConn
	peerConn   *net.UDPConn
	codec      *atomic.Pointer[encoder.MessageCodec]
	clock      func() timekeeper.Instant
	events     chan<- reducer.Event
	Counters   Counters
}

// New opens the sockets. Received packets are sent to events; clock gives their arrival
// times and is compared with send deadlines.
func New(fabricAddress, peerAddress, fabric netip.AddrPort, codec *atomic.Pointer[encoder.MessageCodec], clock func() timekeeper.Instant, events chan<- reducer.Event) (*Carrier, error) {
	fabricConn, err := listen(fabricAddress)
	if err != nil {
		return nil, err
	}
	peerConn, err := listen(peerAddress)
	if err != nil {
		_ = fabricConn.Close()
		return nil, err
	}
	return &Carrier{fabric: fabric, fabricConn: fabricConn, peerConn: peerConn, codec: codec, clock: clock, events: events}, nil
}

func listen(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, &Error{Op: "listen for datagrams", Kind: KindSocket, Err: err}
	}
	// The kernel silently limits the buffers to the maximum that it allows.
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	if err := enableReceiveTimestamps(conn); err != nil {
		_ = conn.Close()
		return nil, &Error{Op: "listen for datagrams", Kind: KindSocket, Err: err}
	}
	return conn, nil
}

// Run reads both sockets until the context is canceled. The returned channel receives two
// values: for each socket, the error that stopped its reader, or nil.
func (c *Carrier) Run(ctx context.Context) <-chan error {
	done := make(chan error, 2)
	context.AfterFunc(ctx, func() {
		_ = c.fabricConn.Close()
		_ = c.peerConn.Close()
	})
	go func() { done <- c.read(ctx, c.fabricConn, c.newPacketDecoder()) }()
	go func() { done <- c.read(ctx, c.peerConn, c.decodePeerMessage) }()
	return done
}

func (c *Carrier) read(ctx context.Context, conn *net.UDPConn, decode func([]byte, timekeeper.Instant) reducer.Event) error {
	buffer := make([]byte, encoder.MaxDatagramBytes)
	control := make([]byte, controlBufferBytes)
	for {
		n, m, _, _, err := conn.ReadMsgUDPAddrPort(buffer, control)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return &Error{Op: "read datagram", Kind: KindSocket, Err: err}
		}
		event := decode(buffer[:n], c.clock().Add(-socketDelay(control[:m], time.Now())))
		if event == nil {
			continue
		}
		select {
		case c.events <- event:
		default:
			// The event queue is full. Callers retransmit what matters, so the newest
			// packet is dropped instead of delaying all.
			c.Counters.Overflow.Add(1)
		}
	}
}

func (c *Carrier) newPacketDecoder() func([]byte, timekeeper.Instant) reducer.Event {
	decoder := translator.New()
	return func(data []byte, receivedAt timekeeper.Instant) reducer.Event {
		encapsulated, err := encoder.DecodeEncapsulatedPacket(data)
		if err != nil {
			c.Counters.Malformed.Add(1)
			return nil
		}
		packet, err := decoder.Decode(encapsulated.Payload, receivedAt)
		if err != nil {
			c.Counters.Malformed.Add(1)
			return nil
		}
		if encapsulated.To.Addr().Is4() {
			return &reducer.CallerPacket{Arrived: receivedAt, Caller: encapsulated.From, Service: encapsulated.To, Packet: packet}
		}
		return &reducer.TargetPacket{Target: encapsulated.From, Return: encapsulated.To.Addr(), Packet: packet}
	}
}

func (c *Carrier) decodePeerMessage(data []byte, receivedAt timekeeper.Instant) reducer.Event {
	from, body, err := c.codec.Load().Decode(data)
	if err != nil {
		c.countDecodeError(err)
		return nil
	}
	forward, ok := body.(*messenger.Forward)
	if !ok {
		c.Counters.Unknown.Add(1)
		return nil
	}
	return &reducer.PeerMessage{Arrived: receivedAt, From: from, Body: forward}
}

func (c *Carrier) countDecodeError(err error) {
	var failure *encoder.Error
	switch {
	case !errors.As(err, &failure):
		c.Counters.Malformed.Add(1)
	case failure.Kind == encoder.KindUnauthenticated:
		c.Counters.Unauthenticated.Add(1)
	case failure.Kind == encoder.KindUnknown:
		c.Counters.Unknown.Add(1)
	default:
		c.Counters.Malformed.Add(1)
	}
}

// SendToCaller sends a packet to a caller from its service's address.
func (c *Carrier) SendToCaller(service, caller netip.AddrPort, payload []byte) {
	c.sendToFabric(encoder.EncapsulatedPacket{From: service, To: caller, Payload: payload})
}

// SendToTarget sends a packet to a target from a return address, unless the packet's
// deadline has passed.
func (c *Carrier) SendToTarget(e *reducer.ToTarget) {
	if e.Deadline != 0 && e.Deadline.Passed(c.clock()) {
		// The process was paused after the decision, and the host's permission to send
		// has expired.
		c.Counters.Fenced.Add(1)
		return
	}
	c.sendToFabric(encoder.EncapsulatedPacket{From: netip.AddrPortFrom(e.Return, returnPort), To: e.Target, Payload: e.Payload})
}

func (c *Carrier) sendToFabric(packet encoder.EncapsulatedPacket) {
	data, err := encoder.EncodeEncapsulatedPacket(packet)
	if err == nil {
		_, err = c.fabricConn.WriteToUDPAddrPort(data, c.fabric)
	}
	if err != nil {
		c.Counters.SendFailed.Add(1)
	}
}

// Announce reports to the fabric whether this host accepts packets.
func (c *Carrier) Announce(host string, accepting bool) {
	data, err := encoder.EncodeAnnouncement(encoder.Announcement{Host: host, Accepting: accepting})
	if err == nil {
		_, err = c.fabricConn.WriteToUDPAddrPort(data, c.fabric)
	}
	if err != nil {
		c.Counters.SendFailed.Add(1)
	}
}

// SendToPeer sends a forwarded packet to a host.
func (c *Carrier) SendToPeer(name string, address netip.AddrPort, body *messenger.Forward) {
	data, err := c.codec.Load().Encode(name, body)
	if err == nil {
		_, err = c.peerConn.WriteToUDPAddrPort(data, address)
	}
	if err != nil {
		c.Counters.SendFailed.Add(1)
	}
}
