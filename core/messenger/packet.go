// Package messenger defines the messages that hosts send to each other, and the Packet, the
// form of a datagram that decisions work on, independent of any wire format.
//
// The types are plain data. Package encoder encodes them as CBOR, and package translator
// decodes a CoAP datagram into a Packet.
package messenger

import (
	"cranberryspan.dev/core/timekeeper"
)

// Kind is the kind of a packet.
type Kind uint8

// The kinds of Packet.
const (
	// KindRequest is a caller's request to a target.
	KindRequest Kind = iota + 1
	// KindResponse is a target's response, or a notification of a stream.
	KindResponse
	// KindControl is an acknowledgement or a reset. It belongs to a flow and starts no work.
	KindControl
)

// Flags are the properties of a packet that decisions depend on.
type Flags uint16

// The flags of a Packet.
const (
	// FlagIdempotent marks a request that may run twice without harm.
	FlagIdempotent Flags = 1 << iota
	// FlagOpensFlow marks a packet that can be the first of its flow. A packet without it can
	// only continue a flow.
	FlagOpensFlow
	// FlagStream marks the registration or a notification of a stream.
	FlagStream
	// FlagBlockwise marks one block of a transfer that takes several datagrams.
	FlagBlockwise
	// FlagRefused marks a response by which the target says that it has not run the request.
	FlagRefused
	// FlagConfirmable marks a packet that its sender retransmits until it is acknowledged.
	FlagConfirmable
	// FlagPiggybacked marks a response that also acknowledges its request, and so has the
	// message ID of the request.
	FlagPiggybacked
)

// Has reports whether all of the given flags are set.
func (f Flags) Has(flags Flags) bool { return f&flags == flags }

// Exchange identifies a request within its flow. A retransmitted datagram has the same
// Exchange; a new request has another.
type Exchange struct {
	_           struct{} `cbor:",toarray"`
	MessageID   uint16
	Token       uint64
	TokenLength uint8
}

// Packet is a datagram together with the properties that decisions depend on. Payload is the
// whole datagram, which is forwarded unchanged; it must not be modified.
type Packet struct {
	Kind     Kind
	Flags    Flags
	Exchange Exchange
	// Deadline is when the caller stops waiting, on this host's clock; zero if the caller gave
	// no deadline.
	Deadline timekeeper.Instant
	Payload  []byte
}
