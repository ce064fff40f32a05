// Package encoder writes the messages of package messenger as CBOR and reads
// them back.
//
// Every message between hosts is sealed: an envelope followed by a tag that
// proves knowledge of a peer key from the settings. Two keys may be valid at
// once, so that keys are changed without a break: the first signs, both are
// accepted.
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
	// MaxDatagramBytes bounds a sealed Forward message.
	MaxDatagramBytes = 64 << 10
	// MaxControlBytes bounds any other sealed message; a settings document of
	// resolver.MaxDocumentBytes fits.
	MaxControlBytes = resolver.MaxDocumentBytes + 64<<10
	tagBytes        = 16
)

// Kind tells callers which sort of failure an Error is.
type Kind uint8

// The kinds of Error.
const (
	// KindMalformed means that the bytes are no message.
	KindMalformed Kind = iota + 1
	// KindUnauthentic means that no known key made the tag.
	KindUnauthentic
	// KindUnknown means that the message is of a kind or version that this
	// release does not know; it is passed over.
	KindUnknown
	// KindTooLarge means that the message exceeds its bound.
	KindTooLarge
)

func (k Kind) String() string {
	switch k {
	case KindMalformed:
		return "malformed"
	case KindUnauthentic:
		return "unauthentic"
	case KindUnknown:
		return "unknown"
	case KindTooLarge:
		return "tooLarge"
	}
	return "other"
}

// Error is the one error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// bodyKind numbers the bodies on the wire. A number is never used again.
type bodyKind uint8

const (
	kindPing bodyKind = iota + 1
	kindAck
	kindPingRequest
	kindVouch
	kindForward
	kindWitness
	kindWitnessAck
	kindHandover
	kindHandoverAck
	kindFlowRecords
	kindSettingsRequest
	kindSettingsDocument
	kindVerdicts
	kindReport
	kindKnowledgeRequest
	kindKnowledge
)

func kindOf(body messenger.Body) bodyKind {
	switch body.(type) {
	case *messenger.Ping:
		return kindPing
	case *messenger.Ack:
		return kindAck
	case *messenger.PingRequest:
		return kindPingRequest
	case *messenger.IndirectAck:
		return kindVouch
	case *messenger.Forward:
		return kindForward
	case *messenger.WitnessRequest:
		return kindWitness
	case *messenger.WitnessAck:
		return kindWitnessAck
	case *messenger.Handover:
		return kindHandover
	case *messenger.HandoverAck:
		return kindHandoverAck
	case *messenger.FlowRecords:
		return kindFlowRecords
	case *messenger.SettingsRequest:
		return kindSettingsRequest
	case *messenger.SettingsDocument:
		return kindSettingsDocument
	case *messenger.ProbeFailures:
		return kindVerdicts
	case *messenger.Report:
		return kindReport
	case *messenger.SyncRequest:
		return kindKnowledgeRequest
	case *messenger.SyncResponse:
		return kindKnowledge
	}
	return 0
}

func newBody(kind bodyKind) messenger.Body {
	switch kind {
	case kindPing:
		return &messenger.Ping{}
	case kindAck:
		return &messenger.Ack{}
	case kindPingRequest:
		return &messenger.PingRequest{}
	case kindVouch:
		return &messenger.IndirectAck{}
	case kindForward:
		return &messenger.Forward{}
	case kindWitness:
		return &messenger.WitnessRequest{}
	case kindWitnessAck:
		return &messenger.WitnessAck{}
	case kindHandover:
		return &messenger.Handover{}
	case kindHandoverAck:
		return &messenger.HandoverAck{}
	case kindFlowRecords:
		return &messenger.FlowRecords{}
	case kindSettingsRequest:
		return &messenger.SettingsRequest{}
	case kindSettingsDocument:
		return &messenger.SettingsDocument{}
	case kindVerdicts:
		return &messenger.ProbeFailures{}
	case kindReport:
		return &messenger.Report{}
	case kindKnowledgeRequest:
		return &messenger.SyncRequest{}
	case kindKnowledge:
		return &messenger.SyncResponse{}
	}
	return nil
}

// envelope is what stands around every body. Fields that a later release adds
// are passed over by this one.
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

// Sealer seals the messages of one host and opens those of its peers.
type Sealer struct {
	self string
	keys []resolver.Secret
}

// New makes a Sealer. Without keys, as in experiments without a network, messages
// bear a tag under the empty key.
func New(self string, keys []resolver.Secret) *Sealer {
	if len(keys) == 0 {
		keys = []resolver.Secret{""}
	}
	return &Sealer{self: self, keys: keys}
}

// Seal writes a message to a peer.
func (s *Sealer) Seal(to string, body messenger.Body) ([]byte, error) {
	const op = "seal message"
	raw, err := cbor.Marshal(body)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindMalformed, Err: err}
	}
	data, err := cbor.Marshal(envelope{Version: Version, From: s.self, To: to, Kind: kindOf(body), Body: raw})
	if err != nil {
		return nil, &Error{Op: op, Kind: KindMalformed, Err: err}
	}
	limit := MaxControlBytes
	if _, ok := body.(*messenger.Forward); ok {
		limit = MaxDatagramBytes
	}
	if len(data)+tagBytes > limit {
		return nil, &Error{Op: op, Kind: KindTooLarge, Err: fmt.Errorf("%d bytes, at most %d", len(data)+tagBytes, limit)}
	}
	return append(data, tag(s.keys[0], data)...), nil
}

// Open reads a message and names its sender.
func (s *Sealer) Open(sealed []byte) (from string, body messenger.Body, err error) {
	const op = "open message"
	if len(sealed) <= tagBytes || len(sealed) > MaxControlBytes {
		return "", nil, &Error{Op: op, Kind: KindMalformed, Err: fmt.Errorf("%d bytes", len(sealed))}
	}
	data, given := sealed[:len(sealed)-tagBytes], sealed[len(sealed)-tagBytes:]
	if !s.authentic(data, given) {
		return "", nil, &Error{Op: op, Kind: KindUnauthentic, Err: fmt.Errorf("no peer key matches")}
	}
	var e envelope
	if err := decodeMode.Unmarshal(data, &e); err != nil {
		return "", nil, &Error{Op: op, Kind: KindMalformed, Err: err}
	}
	// A report may go to a seed address whose host is not known by name.
	anyone := e.To == "" && e.Kind == kindReport
	if e.To != s.self && !anyone {
		return "", nil, &Error{Op: op, Kind: KindMalformed, Err: fmt.Errorf("message for %q", e.To)}
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

func (s *Sealer) authentic(data, given []byte) bool {
	for _, key := range s.keys {
		if hmac.Equal(tag(key, data), given) {
			return true
		}
	}
	return false
}

func tag(key resolver.Secret, data []byte) []byte {
	mac := hmac.New(sha256.New, []byte(key))
	mac.Write(data)
	return mac.Sum(nil)[:tagBytes]
}

// Delivery is a packet between the fabric and a host: the packet with the
// addresses that it bears outside. A host sends only from service addresses and
// return addresses, which are its own.
type Delivery struct {
	_       struct{} `cbor:",toarray"`
	From    netip.AddrPort
	To      netip.AddrPort
	Payload []byte
}

// EncodeDelivery writes a Delivery.
func EncodeDelivery(d Delivery) ([]byte, error) {
	data, err := cbor.Marshal(d)
	if err != nil {
		return nil, &Error{Op: "encode delivery", Kind: KindMalformed, Err: err}
	}
	return data, nil
}

// DecodeDelivery reads a Delivery.
func DecodeDelivery(data []byte) (Delivery, error) {
	var d Delivery
	if err := decodeMode.Unmarshal(data, &d); err != nil {
		return Delivery{}, &Error{Op: "decode delivery", Kind: KindMalformed, Err: err}
	}
	if !d.From.IsValid() || !d.To.IsValid() {
		return Delivery{}, &Error{Op: "decode delivery", Kind: KindMalformed, Err: fmt.Errorf("an address is missing")}
	}
	return d, nil
}

// Announcement tells the fabric whether a host takes packets. It stands in for
// the routing protocol by which a host announces the shared addresses.
type Announcement struct {
	_         struct{} `cbor:",toarray"`
	Host      string
	Accepting bool
}

// EncodeAnnouncement writes an Announcement.
func EncodeAnnouncement(a Announcement) ([]byte, error) {
	data, err := cbor.Marshal(a)
	if err != nil {
		return nil, &Error{Op: "encode announcement", Kind: KindMalformed, Err: err}
	}
	return data, nil
}

// DecodeAnnouncement reads an Announcement.
func DecodeAnnouncement(data []byte) (Announcement, error) {
	var a Announcement
	if err := decodeMode.Unmarshal(data, &a); err != nil {
		return Announcement{}, &Error{Op: "decode announcement", Kind: KindMalformed, Err: err}
	}
	return a, nil
}

// maxTargets bounds a list of targets, ten times what the two-year size has.
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

// EncodeTargets writes a list of targets.
func EncodeTargets(targets []messenger.TargetState) ([]byte, error) {
	data, err := cbor.Marshal(targets)
	if err != nil {
		return nil, &Error{Op: "encode targets", Kind: KindMalformed, Err: err}
	}
	return data, nil
}

// DecodeTargets reads a list of targets.
func DecodeTargets(data []byte) ([]messenger.TargetState, error) {
	var targets []messenger.TargetState
	if err := targetsMode.Unmarshal(data, &targets); err != nil {
		return nil, &Error{Op: "decode targets", Kind: KindMalformed, Err: err}
	}
	return targets, nil
}
