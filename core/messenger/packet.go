// Package messenger defines what the hosts of the system say to each other,
// and the packet, free of any wire format, that the decisions work on.
//
// The types are plain data. Package encoder writes them as CBOR, package
// translator makes a Packet from a CoAP datagram.
package messenger

import (
	"cranberryspan.dev/core/timekeeper"
)

// Kind says what a packet is.
type Kind uint8

// The kinds of Packet.
const (
	// KindRequest asks a target to do something.
	KindRequest Kind = iota + 1
	// KindResponse carries a target's answer or a notification of a stream.
	KindResponse
	// KindControl acknowledges or resets; it belongs to a flow and runs nothing.
	KindControl
)

// Flags are the properties of a packet that decisions depend on.
type Flags uint16

// The flags of a Packet.
const (
	// FlagIdempotent marks a request that may run twice without harm.
	FlagIdempotent Flags = 1 << iota
	// FlagOpensFlow marks a packet that can be the first of its flow. A packet
	// without it can only continue a flow.
	FlagOpensFlow
	// FlagStream marks the registration or a notification of a stream.
	FlagStream
	// FlagBlockwise marks one block of a transfer that needs several datagrams.
	FlagBlockwise
	// FlagRefused marks an answer by which the target says that it ran nothing.
	FlagRefused
	// FlagConfirmable marks a packet that its sender repeats until it is
	// acknowledged.
	FlagConfirmable
	// FlagPiggybacked marks an answer that acknowledges its request, and so
	// bears the request's message ID.
	FlagPiggybacked
)

// Has reports whether all of the given flags are set.
func (f Flags) Has(flags Flags) bool { return f&flags == flags }

// Exchange identifies a request within its flow. A repeated datagram bears the
// same Exchange; a new request bears another.
type Exchange struct {
	_           struct{} `cbor:",toarray"`
	MessageID   uint16
	Token       uint64
	TokenLength uint8
}

// Packet is a datagram with what the decisions need to know of it. Payload is
// the whole datagram, which is passed on unchanged; it must not be modified.
type Packet struct {
	Kind     Kind
	Flags    Flags
	Exchange Exchange
	// Deadline is when the caller stops waiting, on this host's clock; zero
	// where the caller did not say.
	Deadline timekeeper.Instant
	Payload  []byte
}
