package translator_test

import (
	"errors"
	"testing"
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/reducer"
	"cranberryspan.dev/core/timekeeper"
	"cranberryspan.dev/core/translator"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/net/blockwise"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
	"github.com/stretchr/testify/require"
)

const (
	opens       = messenger.FlagOpensFlow
	idempotent  = messenger.FlagIdempotent
	stream      = messenger.FlagStream
	block       = messenger.FlagBlockwise
	confirmable = messenger.FlagConfirmable
)

func encode(t testing.TB, m message.Message) []byte {
	t.Helper()
	data := make([]byte, 2048)
	n, err := coder.DefaultCoder.Encode(m, data)
	require.NoError(t, err)
	return data[:n]
}

func option(t testing.TB, options message.Options, id message.OptionID, value uint32) message.Options {
	t.Helper()
	options, _, err := options.SetUint32(make([]byte, 4), id, value)
	require.NoError(t, err)
	return options
}

func blockValue(t testing.TB, number int64, more bool) uint32 {
	t.Helper()
	value, err := blockwise.EncodeBlockOption(blockwise.SZX512, number, more)
	require.NoError(t, err)
	return value
}

func TestDecodeClassifiesDatagrams(t *testing.T) {
	observe := func(v uint32) message.Options { return option(t, nil, message.Observe, v) }
	block1 := func(n int64, more bool) message.Options {
		return option(t, nil, message.Block1, blockValue(t, n, more))
	}
	block2 := func(n int64) message.Options { return option(t, nil, message.Block2, blockValue(t, n, false)) }
	tests := []struct {
		name    string
		code    codes.Code
		kind    message.Type
		options message.Options
		want    messenger.Kind
		flags   messenger.Flags
	}{
		{"read", codes.GET, message.Confirmable, nil, messenger.KindRequest, opens | idempotent | confirmable},
		{"write", codes.POST, message.Confirmable, nil, messenger.KindRequest, opens | confirmable},
		{"write, not confirmable", codes.POST, message.NonConfirmable, nil, messenger.KindRequest, opens},
		{"replace", codes.PUT, message.Confirmable, nil, messenger.KindRequest, opens | idempotent | confirmable},
		{"stream begins", codes.GET, message.Confirmable, observe(0), messenger.KindRequest, opens | idempotent | stream | confirmable},
		{"stream ends", codes.GET, message.Confirmable, observe(1), messenger.KindRequest, idempotent | stream | confirmable},
		{"upload begins", codes.POST, message.Confirmable, block1(0, true), messenger.KindRequest, opens | idempotent | block | confirmable},
		{"upload goes on", codes.POST, message.Confirmable, block1(5, true), messenger.KindRequest, idempotent | block | confirmable},
		{"upload ends", codes.POST, message.Confirmable, block1(6, false), messenger.KindRequest, block | confirmable},
		{"upload in one block", codes.POST, message.Confirmable, block1(0, false), messenger.KindRequest, opens | block | confirmable},
		{"later block of an answer", codes.GET, message.Confirmable, block2(3), messenger.KindRequest, idempotent | block | confirmable},
		{"acknowledgement", codes.Empty, message.Acknowledgement, nil, messenger.KindControl, 0},
		{"reset", codes.Empty, message.Reset, nil, messenger.KindControl, 0},
		{"answer", codes.Content, message.Acknowledgement, nil, messenger.KindResponse, messenger.FlagPiggybacked},
		{"separate answer", codes.Content, message.Confirmable, nil, messenger.KindResponse, confirmable},
		{"notification", codes.Content, message.NonConfirmable, observe(9), messenger.KindResponse, stream},
		{"refusal", codes.ServiceUnavailable, message.Acknowledgement, nil, messenger.KindResponse, messenger.FlagPiggybacked | messenger.FlagRefused},
	}
	decoder := translator.New()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := message.Message{Code: test.code, Type: test.kind, Options: test.options, MessageID: 77}
			if test.code != codes.Empty {
				m.Token = []byte{1, 2, 3}
			}
			packet, err := decoder.Decode(encode(t, m), 0)
			require.NoError(t, err)
			require.Equal(t, test.want, packet.Kind)
			require.Equal(t, test.flags, packet.Flags)
			require.EqualValues(t, 77, packet.Exchange.MessageID)
		})
	}
}

func TestDeadlineFromURIQuery(t *testing.T) {
	options, _, err := message.Options{}.AddString(make([]byte, 64), message.URIQuery, "deadlineMs=800")
	require.NoError(t, err)
	now := timekeeper.Instant(time.Second)
	packet, err := translator.New().Decode(encode(t, message.Message{Code: codes.GET, Type: message.Confirmable, Options: options}), now)
	require.NoError(t, err)
	require.Equal(t, now.Add(800*time.Millisecond), packet.Deadline)
}

func TestInvalidDatagramsAreRejected(t *testing.T) {
	tests := map[string][]byte{
		"empty":                 nil,
		"truncated header":      {0x40, 0x01},
		"version 2":             {0x80, 0x01, 0, 1},
		"token of 9":            {0x49, 0x01, 0, 1, 1, 2, 3, 4, 5, 6, 7, 8, 9},
		"token cut":             {0x44, 0x01, 0, 1, 1},
		"option cut":            {0x40, 0x01, 0, 1, 0xbd},
		"marker, no payload":    {0x40, 0x01, 0, 1, 0xff},
		"unknown method":        {0x40, 0x1f, 0, 1},
		"signal of CoAP on TCP": {0x40, 0xe1, 0, 1},
	}
	decoder := translator.New()
	for name, data := range tests {
		_, err := decoder.Decode(data, 0)
		var failure *translator.Error
		require.ErrorAs(t, err, &failure, name)
	}
	// The decoder still works after each of them, also for messages with many options.
	options := message.Options{}
	for range 40 {
		options, _, _ = options.AddString(make([]byte, 8), message.URIQuery, "a=b")
	}
	_, err := decoder.Decode(encode(t, message.Message{Code: codes.GET, Type: message.Confirmable, Options: options}), 0)
	require.NoError(t, err)
}

func TestEncodeReply(t *testing.T) {
	reply := &reducer.Reply{
		Exchange:   messenger.Exchange{MessageID: 7, Token: 0x0102, TokenLength: 2},
		Flags:      messenger.FlagConfirmable,
		Outcome:    reducer.OutcomeNotRun,
		Reason:     reducer.RefuseQueueFull,
		RetryAfter: 1200 * time.Millisecond,
	}
	decode := func() message.Message {
		data, err := translator.EncodeReply(reply)
		require.NoError(t, err)
		m := message.Message{Options: make(message.Options, 0, 8)}
		_, err = coder.DefaultCoder.Decode(data, &m)
		require.NoError(t, err)
		return m
	}
	m := decode()
	require.Equal(t, codes.ServiceUnavailable, m.Code)
	require.Equal(t, message.Acknowledgement, m.Type)
	require.EqualValues(t, 7, m.MessageID)
	require.Equal(t, message.Token{1, 2}, m.Token)
	maxAge, err := m.Options.GetUint32(message.MaxAge)
	require.NoError(t, err)
	require.EqualValues(t, 2, maxAge)

	reply.Outcome, reply.Flags = reducer.OutcomeUnknown, 0
	m = decode()
	require.Equal(t, codes.GatewayTimeout, m.Code)
	require.Equal(t, message.NonConfirmable, m.Type)
}

func FuzzDecode(f *testing.F) {
	f.Add(encode(f, message.Message{Code: codes.GET, Token: []byte{1}, Type: message.Confirmable, MessageID: 5}))
	f.Add(encode(f, message.Message{Code: codes.POST, Options: option(f, nil, message.Block1, blockValue(f, 3, true)), Payload: []byte("x")}))
	f.Add([]byte{0x40, 0x01, 0, 1, 0xff})
	decoder := translator.New()
	f.Fuzz(func(t *testing.T, datagram []byte) {
		packet, err := decoder.Decode(datagram, 0)
		var failure *translator.Error
		if err != nil && !errors.As(err, &failure) {
			t.Fatalf("an error of another type: %T", err)
		}
		if err == nil && (packet.Kind == 0 || packet.Exchange.TokenLength > 8) {
			t.Fatalf("packet %+v", packet)
		}
	})
}
