// Package translator decodes CoAP datagrams (RFC 7252) to packets, which are independent of
// any wire format, and encodes the load balancer's replies as CoAP responses.
//
// The flags of a packet by its method and options:
//
//	request                               opens  idempotent
//	GET, PUT, DELETE, FETCH, iPATCH       yes    yes
//	POST, PATCH                           yes    no
//	GET with Observe 0 (a stream begins)  yes    yes
//	GET with Observe 1 (a stream ends)    no     yes
//	POST, Block1 number 0, more to come   yes    yes
//	POST, Block1 later, more to come      no     yes
//	POST, Block1 later, the last          no     no
//	GET, Block2 later                     no     yes
//
// A block that is not the last runs nothing: the target only stores it, and stores a
// retransmission in the same place. The last block of an upload runs it.
package translator

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/reducer"
	"cranberryspan.dev/core/timekeeper"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/net/blockwise"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
)

// ErrorKind classifies an Error.
type ErrorKind uint8

// The kinds of Error.
const (
	// KindMalformed means that a datagram is not a valid CoAP message.
	KindMalformed ErrorKind = iota + 1
	// KindUnsupported means that a message's code or version is not supported.
	KindUnsupported
)

func (k ErrorKind) String() string {
	if k == KindMalformed {
		return "malformed"
	}
	return "unsupported"
}

// Error is the only error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// deadlineQueryPrefix starts the query option with which a caller may limit its wait, in
// milliseconds: GET /check?deadlineMs=800. It is optional.
const deadlineQueryPrefix = "deadlineMs="

const (
	initialOptionsCapacity = 16
	maxOptionsCapacity     = 256
)

// Translator decodes datagrams. It reuses its buffers, so it is not safe for concurrent
// use.
type Translator struct {
	message message.Message
}

// New returns a Translator.
func New() *Translator {
	return &Translator{message: message.Message{Options: make(message.Options, 0, initialOptionsCapacity)}}
}

// Decode decodes a datagram received at now. The packet's payload is the datagram itself,
// so its buffer must not be reused while the packet is in use.
func (t *Translator) Decode(datagram []byte, now timekeeper.Instant) (messenger.Packet, error) {
	const op = "decode datagram"
	if err := t.parse(datagram); err != nil {
		return messenger.Packet{}, &Error{Op: op, Kind: KindMalformed, Err: err}
	}
	m := &t.message
	packet := messenger.Packet{
		Exchange: messenger.Exchange{
			MessageID:   uint16(m.MessageID),
			Token:       tokenToUint64(m.Token),
			TokenLength: uint8(len(m.Token)),
		},
		Payload: datagram,
	}
	if m.Type == message.Confirmable {
		packet.Flags |= messenger.FlagConfirmable
	}
	switch class := uint8(m.Code) >> 5; {
	case m.Code == codes.Empty:
		packet.Kind = messenger.KindControl
	case class == 0:
		packet.Kind = messenger.KindRequest
		return t.decodeRequest(packet, now)
	case class == 2 || class == 4 || class == 5:
		packet.Kind = messenger.KindResponse
		t.applyResponseFlags(&packet)
	default:
		return messenger.Packet{}, &Error{Op: op, Kind: KindUnsupported, Err: fmt.Errorf("code %v", m.Code)}
	}
	return packet, nil
}

// parse decodes a datagram. It grows the options buffer for the rare message that needs
// more.
func (t *Translator) parse(datagram []byte) error {
	for {
		_, err := coder.DefaultCoder.Decode(datagram, &t.message)
		if !errors.Is(err, message.ErrOptionsTooSmall) || cap(t.message.Options) >= maxOptionsCapacity {
			return err
		}
		t.message.Options = make(message.Options, 0, 2*cap(t.message.Options))
	}
}

func (t *Translator) decodeRequest(packet messenger.Packet, now timekeeper.Instant) (messenger.Packet, error) {
	m := &t.message
	switch m.Code {
	case codes.GET, codes.PUT, codes.DELETE, codes.FETCH, codes.IPATCH:
		packet.Flags |= messenger.FlagIdempotent | messenger.FlagOpensFlow
	case codes.POST, codes.PATCH:
		packet.Flags |= messenger.FlagOpensFlow
	default:
		return messenger.Packet{}, &Error{Op: "decode datagram", Kind: KindUnsupported, Err: fmt.Errorf("method %v", m.Code)}
	}
	t.applyObserve(&packet)
	if err := t.applyBlockOptions(&packet); err != nil {
		return messenger.Packet{}, err
	}
	packet.Deadline = t.requestDeadline(now)
	return packet, nil
}

// applyObserve sets the flags for the Observe option of a request: 0 registers a stream, 1 ends
// it (RFC 7641).
func (t *Translator) applyObserve(packet *messenger.Packet) {
	value, err := t.message.Options.Observe()
	if err != nil {
		return
	}
	packet.Flags |= messenger.FlagStream
	if value != 0 {
		packet.Flags &^= messenger.FlagOpensFlow
	}
}

// applyBlockOptions sets the flags for the options of block-wise transfers (RFC 7959).
func (t *Translator) applyBlockOptions(packet *messenger.Packet) error {
	if value, err := t.message.Options.GetUint32(message.Block1); err == nil {
		_, number, more, err := blockwise.DecodeBlockOption(value)
		if err != nil {
			return &Error{Op: "decode datagram", Kind: KindMalformed, Err: err}
		}
		packet.Flags |= messenger.FlagBlockwise
		if number > 0 {
			packet.Flags &^= messenger.FlagOpensFlow
		}
		if more {
			packet.Flags |= messenger.FlagIdempotent
		}
		return nil
	}
	value, err := t.message.Options.GetUint32(message.Block2)
	if err != nil {
		return nil
	}
	_, number, _, err := blockwise.DecodeBlockOption(value)
	if err != nil {
		return &Error{Op: "decode datagram", Kind: KindMalformed, Err: err}
	}
	if number > 0 {
		packet.Flags |= messenger.FlagBlockwise
		packet.Flags &^= messenger.FlagOpensFlow
	}
	return nil
}

// requestDeadline returns the deadline that the caller set by the query option, or 0 if there
// is none.
func (t *Translator) requestDeadline(now timekeeper.Instant) timekeeper.Instant {
	for _, option := range t.message.Options {
		if option.ID != message.URIQuery {
			continue
		}
		text, ok := strings.CutPrefix(string(option.Value), deadlineQueryPrefix)
		if !ok {
			continue
		}
		if n, err := strconv.ParseUint(text, 10, 31); err == nil && n > 0 {
			return now.Add(time.Duration(n) * time.Millisecond)
		}
	}
	return 0
}

func (t *Translator) applyResponseFlags(packet *messenger.Packet) {
	m := &t.message
	if m.Type == message.Acknowledgement {
		packet.Flags |= messenger.FlagPiggybacked
	}
	if m.Code == codes.ServiceUnavailable {
		packet.Flags |= messenger.FlagRefused
	}
	if m.Options.HasOption(message.Observe) {
		packet.Flags |= messenger.FlagStream
	}
}

func tokenToUint64(token []byte) uint64 {
	var b [8]byte
	copy(b[8-len(token):], token)
	return binary.BigEndian.Uint64(b[:])
}

func tokenFromExchange(e messenger.Exchange) []byte {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], e.Token)
	return b[8-min(int(e.TokenLength), 8):]
}

// EncodeReply encodes a Reply as a CoAP response: 5.03 if the request was not run, 5.04 if
// that is unknown. Max-Age is the time after which the caller may retry.
func EncodeReply(reply *reducer.Reply) ([]byte, error) {
	m := message.Message{
		Token:     tokenFromExchange(reply.Exchange),
		Code:      codes.ServiceUnavailable,
		Payload:   []byte(reply.Outcome.String() + ": " + reply.Reason.String()),
		MessageID: int32(reply.Exchange.MessageID),
		Type:      message.NonConfirmable,
	}
	if reply.Outcome == reducer.OutcomeUnknown {
		m.Code = codes.GatewayTimeout
	}
	if reply.Flags.Has(messenger.FlagConfirmable) {
		m.Type = message.Acknowledgement
	}
	var buffer [8]byte
	// Max-Age is in whole seconds. It is rounded up, so that callers never retry too early.
	maxAge := uint32((reply.RetryAfter + time.Second - 1) / time.Second)
	options, _, err := message.Options{}.SetUint32(buffer[:], message.MaxAge, maxAge)
	if err != nil {
		return nil, &Error{Op: "encode reply", Kind: KindMalformed, Err: err}
	}
	m.Options = options
	size, err := coder.DefaultCoder.Size(m)
	if err != nil {
		return nil, &Error{Op: "encode reply", Kind: KindMalformed, Err: err}
	}
	data := make([]byte, size)
	if _, err := coder.DefaultCoder.Encode(m, data); err != nil {
		return nil, &Error{Op: "encode reply", Kind: KindMalformed, Err: err}
	}
	return data, nil
}
