// Package encoder encodes the messages of package messenger as CBOR and decodes them.
//
// Every message between hosts is authenticated: an envelope is followed by a MAC under a
// peer key from the settings. Two keys may be valid at once, so that keys can be rotated
// without interruption: the first signs, both are accepted.
package encoder

import (
	"crypto/hmac"
	"crypto/sha256"
	"fmt"
	"net/netip"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/resolver"
	"github.com/fxamacker/cbor/v2"
)

const (
	// Version is the version of the envelope that this release writes.
	Version = 1
	// MaxDatagramBytes bounds an encoded Forward message.
	MaxDatagramBytes = 64 << 10
	// MaxControlBytes bounds any other encoded message; a settings document of
	// resolver.MaxDocumentBytes fits.
	MaxControlBytes = resolver.MaxDocumentBytes + 64<<10
	macBytes        = 16
)

// ErrorKind classifies an Error.
type ErrorKind uint8

// The kinds of Error.
const (
	// KindMalformed means that the bytes are not a valid message or are addressed to another
	// host, or that a value can't be encoded.
	KindMalformed ErrorKind = iota + 1
	// KindUnauthenticated means that the MAC matches none of the peer keys.
	KindUnauthenticated
	// KindUnknown means that this release does not support the message's kind or version;
	// the message is ignored.
	KindUnknown
	// KindTooLarge means that the message exceeds its size limit.
	KindTooLarge
)

func (k ErrorKind) String() string {
	switch k {
	case KindMalformed:
		return "malformed"
	case KindUnauthenticated:
		return "unauthentic"
	case KindUnknown:
		return "unknown"
	case KindTooLarge:
		return "tooLarge"
	}
	return "other"
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

// bodyKind numbers the bodies on the wire. A number is never reused.
type bodyKind uint8

const (
	bodyPing bodyKind = iota + 1
	bodyAck
	bodyPingRequest
	bodyIndirectAck
	bodyForward
	bodyWitnessRequest
	bodyWitnessAck
	bodyHandover
	bodyHandoverAck
	bodyFlowRecords
	bodySettingsRequest
	bodySettingsDocument
	bodyProbeFailures
	bodyReport
	bodySyncRequest
	bodySyncResponse
)

func bodyKindOf(body messenger.Body) bodyKind {
	switch body.(type) {
	case *messenger.Ping:
		return bodyPing
	case *messenger.Ack:
		return bodyAck
	case *messenger.PingRequest:
		return bodyPingRequest
	case *messenger.IndirectAck:
		return bodyIndirectAck
	case *messenger.Forward:
		return bodyForward
	case *messenger.WitnessRequest:
		return bodyWitnessRequest
	case *messenger.WitnessAck:
		return bodyWitnessAck
	case *messenger.Handover:
		return bodyHandover
	case *messenger.HandoverAck:
		return bodyHandoverAck
	case *messenger.FlowRecords:
		return bodyFlowRecords
	case *messenger.SettingsRequest:
		return bodySettingsRequest
	case *messenger.SettingsDocument:
		return bodySettingsDocument
	case *messenger.ProbeFailures:
		return bodyProbeFailures
	case *messenger.Report:
		return bodyReport
	case *messenger.SyncRequest:
		return bodySyncRequest
	case *messenger.SyncResponse:
		return bodySyncResponse
	}
	return 0
}

func newBody(kind bodyKind) messenger.Body {
	switch kind {
	case bodyPing:
		return &messenger.Ping{}
	case bodyAck:
		return &messenger.Ack{}
	case bodyPingRequest:
		return &messenger.PingRequest{}
	case bodyIndirectAck:
		return &messenger.IndirectAck{}
	case bodyForward:
		return &messenger.Forward{}
	case bodyWitnessRequest:
		return &messenger.WitnessRequest{}
	case bodyWitnessAck:
		return &messenger.WitnessAck{}
	case bodyHandover:
		return &messenger.Handover{}
	case bodyHandoverAck:
		return &messenger.HandoverAck{}
	case bodyFlowRecords:
		return &messenger.FlowRecords{}
	case bodySettingsRequest:
		return &messenger.SettingsRequest{}
	case bodySettingsDocument:
		return &messenger.SettingsDocument{}
	case bodyProbeFailures:
		return &messenger.ProbeFailures{}
	case bodyReport:
		return &messenger.Report{}
	case bodySyncRequest:
		return &messenger.SyncRequest{}
	case bodySyncResponse:
		return &messenger.SyncResponse{}
	}
	return nil
}

// envelope encloses every body. Fields that a later release adds are ignored by this one.
type envelope struct {
	Version uint8           `cbor:"v"`
	From    string          `cbor:"from"`
	To      string          `cbor:"to"`
	Kind    bodyKind        `cbor:"kind"`
	Body    cbor.RawMessage `cbor:"body"`
}

// decodeMode bounds what a peer can make this host allocate.
var decodeMode = newDecodeMode()

func newDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: 1 << 16,
		MaxMapPairs:      1 << 12,
		MaxNestedLevels:  8,
	}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}

// MessageCodec encodes the messages of one host and decodes those of its peers.
type MessageCodec struct {
	self string
	keys []resolver.Secret
}

// New returns a MessageCodec. Without keys, as in simulations without a network, the MAC is
// under the empty key.
func New(self string, keys []resolver.Secret) *MessageCodec {
	if len(keys) == 0 {
		keys = []resolver.Secret{""}
	}
	return &MessageCodec{self: self, keys: keys}
}

// Encode encodes a message to a peer.
func (c *MessageCodec) Encode(to string, body messenger.Body) ([]byte, error) {
	const op = "encode message"
	raw, err := cbor.Marshal(body)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindMalformed, Err: err}
	}
	data, err := cbor.Marshal(envelope{Version: Version, From: c.self, To: to, Kind: bodyKindOf(body), Body: raw})
	if err != nil {
		return nil, &Error{Op: op, Kind: KindMalformed, Err: err}
	}
	limit := MaxControlBytes
	if _, ok := body.(*messenger.Forward); ok {
		limit = MaxDatagramBytes
	}
	if len(data)+macBytes > limit {
		return nil, &Error{Op: op, Kind: KindTooLarge, Err: fmt.Errorf("message has %d bytes, limit is %d", len(data)+macBytes, limit)}
	}
	return append(data, computeMAC(c.keys[0], data)...), nil
}

// Decode decodes a message and returns its sender.
func (c *MessageCodec) Decode(message []byte) (from string, body messenger.Body, err error) {
	const op = "decode message"
	if len(message) <= macBytes || len(message) > MaxControlBytes {
		return "", nil, &Error{Op: op, Kind: KindMalformed, Err: fmt.Errorf("invalid message size: %d bytes", len(message))}
	}
	data, receivedMAC := message[:len(message)-macBytes], message[len(message)-macBytes:]
	if !c.verifyMAC(data, receivedMAC) {
		return "", nil, &Error{Op: op, Kind: KindUnauthenticated, Err: fmt.Errorf("MAC matches no peer key")}
	}
	var e envelope
	if err := decodeMode.Unmarshal(data, &e); err != nil {
		return "", nil, &Error{Op: op, Kind: KindMalformed, Err: err}
	}
	// A report may be sent to a seed address, whose host's name is unknown.
	reportToUnknownHost := e.To == "" && e.Kind == bodyReport
	if e.To != c.self && !reportToUnknownHost {
		return "", nil, &Error{Op: op, Kind: KindMalformed, Err: fmt.Errorf("message is addressed to %q", e.To)}
	}
	body = newBody(e.Kind)
	if body == nil || e.Version != Version {
		return e.From, nil, &Error{Op: op, Kind: KindUnknown, Err: fmt.Errorf("kind %d, version %d", e.Kind, e.Version)}
	}
	if err := decodeMode.Unmarshal(e.Body, body); err != nil {
		return e.From, nil, &Error{Op: op, Kind: KindMalformed, Err: err}
	}
	return e.From, body, nil
}

func (c *MessageCodec) verifyMAC(data, receivedMAC []byte) bool {
	for _, key := range c.keys {
		if hmac.Equal(computeMAC(key, data), receivedMAC) {
			return true
		}
	}
	return false
}

func computeMAC(key resolver.Secret, data []byte) []byte {
	mac := hmac.New(sha256.New, []byte(key))
	mac.Write(data)
	return mac.Sum(nil)[:macBytes]
}

// EncapsulatedPacket is a packet between the fabric and a host, with the source and
// destination addresses that callers and targets see. A host sends only from service
// addresses and return addresses, which all hosts share.
type EncapsulatedPacket struct {
	_       struct{} `cbor:",toarray"`
	From    netip.AddrPort
	To      netip.AddrPort
	Payload []byte
}

// EncodeEncapsulatedPacket encodes an EncapsulatedPacket.
func EncodeEncapsulatedPacket(packet EncapsulatedPacket) ([]byte, error) {
	data, err := cbor.Marshal(packet)
	if err != nil {
		return nil, &Error{Op: "encode encapsulated packet", Kind: KindMalformed, Err: err}
	}
	return data, nil
}

// DecodeEncapsulatedPacket decodes an EncapsulatedPacket.
func DecodeEncapsulatedPacket(data []byte) (EncapsulatedPacket, error) {
	var packet EncapsulatedPacket
	if err := decodeMode.Unmarshal(data, &packet); err != nil {
		return EncapsulatedPacket{}, &Error{Op: "decode encapsulated packet", Kind: KindMalformed, Err: err}
	}
	if !packet.From.IsValid() || !packet.To.IsValid() {
		return EncapsulatedPacket{}, &Error{Op: "decode encapsulated packet", Kind: KindMalformed, Err: fmt.Errorf("source or destination address is missing")}
	}
	return packet, nil
}

// Announcement reports to the fabric whether a host accepts packets. It stands in for the
// routing protocol by which a host announces the shared addresses.
type Announcement struct {
	_         struct{} `cbor:",toarray"`
	Host      string
	Accepting bool
}

// EncodeAnnouncement encodes an Announcement.
func EncodeAnnouncement(a Announcement) ([]byte, error) {
	data, err := cbor.Marshal(a)
	if err != nil {
		return nil, &Error{Op: "encode announcement", Kind: KindMalformed, Err: err}
	}
	return data, nil
}

// DecodeAnnouncement decodes an Announcement.
func DecodeAnnouncement(data []byte) (Announcement, error) {
	var a Announcement
	if err := decodeMode.Unmarshal(data, &a); err != nil {
		return Announcement{}, &Error{Op: "decode announcement", Kind: KindMalformed, Err: err}
	}
	return a, nil
}

// maxTargets bounds a list of targets. It is ten times the number of targets expected in
// two years.
const maxTargets = 38_000

// targetsMode bounds what a list of targets can make this host allocate.
var targetsMode = newTargetsMode()

func newTargetsMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxTargets, MaxNestedLevels: 4}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}

// EncodeTargets encodes a list of targets.
func EncodeTargets(targets []messenger.TargetState) ([]byte, error) {
	data, err := cbor.Marshal(targets)
	if err != nil {
		return nil, &Error{Op: "encode targets", Kind: KindMalformed, Err: err}
	}
	return data, nil
}

// DecodeTargets decodes a list of targets.
func DecodeTargets(data []byte) ([]messenger.TargetState, error) {
	var targets []messenger.TargetState
	if err := targetsMode.Unmarshal(data, &targets); err != nil {
		return nil, &Error{Op: "decode targets", Kind: KindMalformed, Err: err}
	}
	return targets, nil
}
