package encoder_test

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"net/netip"
	"testing"
	"time"

	"cranberryspan.dev/core/encoder"
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/resolver"
	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

func bodies() []messenger.Body {
	target := netip.MustParseAddrPort("10.2.0.1:5683")
	exchange := messenger.Exchange{MessageID: 7, Token: 9, TokenLength: 8}
	heartbeat := messenger.Heartbeat{Incarnation: 3, Phase: messenger.PhaseReady, SettingsRevision: 4, Votes: []string{"a"}, InFlight: map[uint32]uint16{1: 2}, CellMembers: []messenger.MemberState{{Host: "a", Incarnation: 1}}}
	return []messenger.Body{
		&messenger.Ping{Sequence: 1, Heartbeat: heartbeat},
		&messenger.Ack{Sequence: 1, Heartbeat: heartbeat},
		&messenger.PingRequest{Subject: "b", Heartbeat: heartbeat},
		&messenger.IndirectAck{Subject: messenger.MemberState{Host: "b"}, Heartbeat: heartbeat},
		&messenger.Forward{Key: 5, Direction: messenger.DirectionToCaller, Target: target, Exchange: exchange, Remaining: time.Second, Payload: []byte("p")},
		&messenger.WitnessRequest{Sequence: 2, Identities: []uint64{1, 1 << 63}},
		&messenger.WitnessAck{Sequence: 2},
		&messenger.FlowRecords{Records: []messenger.FlowRecord{{Key: 1, Target: target, LongLived: true}}},
		&messenger.Handover{Sequence: 1, Done: true, Requests: []messenger.RequestRecord{{Key: 1, Exchange: exchange, Target: target}}},
		&messenger.HandoverAck{Sequence: 1, Refused: true},
		&messenger.SettingsRequest{NewerThan: 1},
		&messenger.ProbeFailures{FailingTargets: []uint32{1<<16 | 2}},
		&messenger.SettingsDocument{Revision: 2, Compressed: []byte("gzip")},
	}
}

func TestBodiesRoundTrip(t *testing.T) {
	a := encoder.New("a", []resolver.Secret{"key"})
	b := encoder.New("b", []resolver.Secret{"key"})
	for _, body := range bodies() {
		message, err := a.Encode("b", body)
		require.NoError(t, err)
		from, decoded, err := b.Decode(message)
		require.NoError(t, err)
		require.Equal(t, "a", from)
		require.Equal(t, body, decoded)
	}
}

// Guards against hosts rejecting each other's messages while keys are rotated: when the
// tree gets a second key, the second becomes the first and the old one is removed, hosts
// adopt each revision at different times. With only one valid key at a time, their keys
// would differ.
func TestKeyRotationKeepsHostsConnected(t *testing.T) {
	steps := [][]resolver.Secret{{"old"}, {"old", "new"}, {"new", "old"}, {"new"}}
	for i := 1; i < len(steps); i++ {
		for _, pair := range [][2][]resolver.Secret{{steps[i-1], steps[i]}, {steps[i], steps[i-1]}} {
			message, err := encoder.New("a", pair[0]).Encode("b", &messenger.WitnessAck{Sequence: 1})
			require.NoError(t, err)
			_, _, err = encoder.New("b", pair[1]).Decode(message)
			require.NoError(t, err, "step %d", i)
		}
	}
	message, err := encoder.New("a", steps[0]).Encode("b", &messenger.WitnessAck{Sequence: 1})
	require.NoError(t, err)
	_, _, err = encoder.New("b", steps[3]).Decode(message)
	require.Equal(t, encoder.KindUnauthenticated, errorKind(t, err))
}

func errorKind(t *testing.T, err error) encoder.ErrorKind {
	t.Helper()
	var failure *encoder.Error
	require.ErrorAs(t, err, &failure)
	return failure.Kind
}

func encodeWithMAC(t *testing.T, key string, message any) []byte {
	t.Helper()
	data, err := cbor.Marshal(message)
	require.NoError(t, err)
	mac := hmac.New(sha256.New, []byte(key))
	mac.Write(data)
	return append(data, mac.Sum(nil)[:16]...)
}

// Guards against a rolling upgrade that takes down the hosts of the old release: when a
// newer host sends a message with a field, or of a kind, that this release does not know, a
// strict decoder fails.
func TestNewerReleaseMessagesAreTolerated(t *testing.T) {
	b := encoder.New("b", []resolver.Secret{"key"})
	ack, err := cbor.Marshal(map[string]any{"seq": 5, "novelty": []int{1, 2}})
	require.NoError(t, err)
	known := map[string]any{"v": 1, "from": "a", "to": "b", "kind": 7, "body": cbor.RawMessage(ack), "also": true}
	_, body, err := b.Decode(encodeWithMAC(t, "key", known))
	require.NoError(t, err)
	require.Equal(t, &messenger.WitnessAck{Sequence: 5}, body)

	known["kind"] = 200
	_, _, err = b.Decode(encodeWithMAC(t, "key", known))
	require.Equal(t, encoder.KindUnknown, errorKind(t, err))
	known["kind"], known["v"] = 7, 2
	_, _, err = b.Decode(encodeWithMAC(t, "key", known))
	require.Equal(t, encoder.KindUnknown, errorKind(t, err))
}

func TestInvalidMessagesAreRejected(t *testing.T) {
	b := encoder.New("b", []resolver.Secret{"key"})
	message, err := encoder.New("a", []resolver.Secret{"key"}).Encode("b", &messenger.WitnessAck{Sequence: 1})
	require.NoError(t, err)
	tests := map[string]struct {
		data []byte
		kind encoder.ErrorKind
	}{
		"empty":      {nil, encoder.KindMalformed},
		"short":      {message[:10], encoder.KindMalformed},
		"truncated":  {message[:len(message)-1], encoder.KindUnauthenticated},
		"not CBOR":   {encodeWithMAC(t, "key", "text"), encoder.KindMalformed},
		"not for us": {encodeWithMAC(t, "key", map[string]any{"v": 1, "from": "a", "to": "c", "kind": 7}), encoder.KindMalformed},
		"too large":  {make([]byte, encoder.MaxControlBytes+1), encoder.KindMalformed},
		"wrong key":  {encodeWithMAC(t, "other", map[string]any{"v": 1}), encoder.KindUnauthenticated},
	}
	for name, test := range tests {
		_, _, err := b.Decode(test.data)
		require.Equal(t, test.kind, errorKind(t, err), name)
	}
	_, err = encoder.New("a", nil).Encode("b", &messenger.Forward{Payload: make([]byte, encoder.MaxDatagramBytes)})
	require.Equal(t, encoder.KindTooLarge, errorKind(t, err))
}

func FuzzOpen(f *testing.F) {
	a, b := encoder.New("a", nil), encoder.New("b", nil)
	for _, body := range bodies() {
		message, err := a.Encode("b", body)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(message[:len(message)-16])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		mac := hmac.New(sha256.New, nil)
		mac.Write(data)
		_, body, err := b.Decode(append(data, mac.Sum(nil)[:16]...))
		var failure *encoder.Error
		if err != nil && !errors.As(err, &failure) {
			t.Fatalf("an error of another type: %T", err)
		}
		if err == nil && body == nil {
			t.Fatal("neither a message nor an error")
		}
	})
}

func FuzzDecodeDelivery(f *testing.F) {
	data, err := encoder.EncodeEncapsulatedPacket(encoder.EncapsulatedPacket{From: netip.MustParseAddrPort("10.0.0.1:1"), To: netip.MustParseAddrPort("[fd00::1]:5683"), Payload: []byte("x")})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		if d, err := encoder.DecodeEncapsulatedPacket(data); err == nil && (!d.From.IsValid() || !d.To.IsValid()) {
			t.Fatal("a delivery without addresses")
		}
		_, _ = encoder.DecodeAnnouncement(data)
	})
}

// previousReleaseTarget is a target as the previous release encodes it, which has no eras.
type previousReleaseTarget struct {
	_                struct{} `cbor:",toarray"`
	ID               string
	Seen             uint64
	Service          string
	Address          netip.AddrPort
	AvailabilityZone string
	Slots            int
	Draining         bool
	Missing          bool
	WarmUp           time.Duration
	Born             int64
	Unreadable       bool
}

// Guards against hosts of this release and the previous one that can't exchange lists or
// changes of targets during a rolling upgrade: when one of them reports a change or
// responds to a sync request, the other can't decode it, because a target is encoded as an
// array and has another length.
func TestTargetsAreCompatibleWithPreviousRelease(t *testing.T) {
	address := netip.MustParseAddrPort("10.2.0.1:80")
	earlier := []previousReleaseTarget{{ID: "i-0a", Seen: 9, Service: "ledger", Address: address, Slots: 4, Draining: true, Born: 7, Unreadable: true}}
	current := []messenger.TargetState{{ID: "i-0a", Revision: 9, Service: "ledger", Address: address, Slots: 4, Draining: true, Incarnation: 7, Malformed: true}}

	old, err := cbor.Marshal(earlier)
	require.NoError(t, err)
	read, err := encoder.DecodeTargets(old)
	require.NoError(t, err)
	require.Equal(t, current, read)

	data, err := encoder.EncodeTargets(current)
	require.NoError(t, err)
	require.Equal(t, old, data)
	data, err = cbor.Marshal(&messenger.Report{TargetsEra: 4, TargetChanges: current})
	require.NoError(t, err)
	var report struct {
		Changes []previousReleaseTarget `cbor:"changes,omitempty"`
	}
	require.NoError(t, cbor.Unmarshal(data, &report))
	require.Equal(t, earlier, report.Changes)
}

func FuzzDecodeTargets(f *testing.F) {
	data, err := encoder.EncodeTargets([]messenger.TargetState{{ID: "i-0a", Service: "ledger"}})
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = encoder.DecodeTargets(data) })
}
