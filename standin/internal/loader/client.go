package loader

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/net/blockwise"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
)

const (
	maxDatagramBytes = 2048
	maxOptions       = 16
	// ackTimeout and maxRetransmit are ACK_TIMEOUT and MAX_RETRANSMIT of RFC 7252, with a
	// shorter timeout than the 2 s of the RFC: a request is retransmitted after 0.5, 1.5, 3.5
	// and 7.5 s, and given up after 15.5 s.
	ackTimeout    = 500 * time.Millisecond
	maxRetransmit = 4
)

// client is one flow to a service. Each client has its own socket.
type client struct {
	conn      *net.UDPConn
	messageID uint16
	token     uint64
	// onNotification is called for every notification of the flow's stream.
	onNotification func(payload string)
	// retransmissions counts the transmissions of requests that timed out. It includes the last
	// one of a request that is given up.
	retransmissions int
}

func newClient(service netip.AddrPort, firstMessageID uint16) (*client, error) {
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(service))
	if err != nil {
		return nil, &Error{Op: "dial", Err: err}
	}
	return &client{conn: conn, messageID: firstMessageID, token: uint64(firstMessageID) << 32}, nil
}

func (c *client) close() { _ = c.conn.Close() }

// request is one CoAP request of a client. Its observe value is that of the Observe option (RFC
// 7641): 0 opens a stream, 1 cancels it, and observeNone omits the option.
type request struct {
	code        codes.Code
	path        string
	payload     []byte
	observe     int
	blockNumber int64
	moreBlocks  bool
	blockwise   bool
}

const observeNone = -1

func (c *client) encode(r request) ([]byte, uint16, uint64, error) {
	c.messageID++
	c.token++
	var token [8]byte
	binary.BigEndian.PutUint64(token[:], c.token)
	var options message.Options
	var err error
	if r.observe != observeNone {
		options, _, err = options.SetObserve(make([]byte, 4), uint32(r.observe))
		if err != nil {
			return nil, 0, 0, &Error{Op: "encode", Err: err}
		}
	}
	options, _, err = options.SetPath(make([]byte, 64), r.path)
	if err != nil {
		return nil, 0, 0, &Error{Op: "encode", Err: err}
	}
	if r.blockwise {
		value, err := blockwise.EncodeBlockOption(blockwise.SZX512, r.blockNumber, r.moreBlocks)
		if err != nil {
			return nil, 0, 0, &Error{Op: "encode", Err: err}
		}
		options, _, err = options.SetUint32(make([]byte, 4), message.Block1, value)
		if err != nil {
			return nil, 0, 0, &Error{Op: "encode", Err: err}
		}
	}
	m := message.Message{Token: token[:], Code: r.code, Options: options, Payload: r.payload, MessageID: int32(c.messageID), Type: message.Confirmable}
	buffer := make([]byte, maxDatagramBytes)
	n, err := coder.DefaultCoder.Encode(m, buffer)
	if err != nil {
		return nil, 0, 0, &Error{Op: "encode", Err: err}
	}
	return buffer[:n], c.messageID, c.token, nil
}

// do sends a request, retransmits it as specified by RFC 7252, and returns the response.
func (c *client) do(ctx context.Context, r request) (message.Message, error) {
	datagram, _, token, err := c.encode(r)
	if err != nil {
		return message.Message{}, err
	}
	timeout := ackTimeout
	for range maxRetransmit + 1 {
		if _, err := c.conn.Write(datagram); err != nil && ctx.Err() != nil {
			return message.Message{}, &Error{Op: "send", Err: err}
		}
		m, err := c.awaitResponse(ctx, token, time.Now().Add(timeout))
		if err == nil || ctx.Err() != nil {
			return m, err
		}
		timeout *= 2
		c.retransmissions++
	}
	return message.Message{}, &Error{Op: "await response", Err: errNoResponse}
}

var errNoResponse = errors.New("no response to any transmission")

// awaitResponse reads until the response with the given token arrives or the deadline passes.
func (c *client) awaitResponse(ctx context.Context, token uint64, deadline time.Time) (message.Message, error) {
	if end, ok := ctx.Deadline(); ok && end.Before(deadline) {
		deadline = end
	}
	for {
		m, err := c.readMessage(deadline)
		if err != nil {
			return message.Message{}, err
		}
		if m.Code != codes.Empty && len(m.Token) == 8 && binary.BigEndian.Uint64(m.Token) == token {
			return m, nil
		}
	}
}

// readMessage reads one message and calls onNotification if it is a notification.
func (c *client) readMessage(deadline time.Time) (message.Message, error) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		if err := c.conn.SetReadDeadline(deadline); err != nil {
			return message.Message{}, &Error{Op: "read", Err: err}
		}
		n, err := c.conn.Read(buffer)
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, net.ErrClosed) {
			return message.Message{}, &Error{Op: "read", Err: err}
		}
		if err != nil {
			time.Sleep(time.Millisecond)
			continue // An earlier packet was undeliverable, since the fabric was not listening.
		}
		m := message.Message{Options: make(message.Options, 0, maxOptions)}
		if _, err := coder.DefaultCoder.Decode(buffer[:n], &m); err != nil {
			continue
		}
		if m.Type != message.Acknowledgement && m.Options.HasOption(message.Observe) && c.onNotification != nil {
			c.onNotification(string(m.Payload))
		}
		return m, nil
	}
}
