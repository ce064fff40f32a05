package steerer

import "net/netip"

// Flags are the flags of a packet that matter to forwarding.
type Flags uint8

// The flags of a packet.
const (
	// FlagOpen marks the opening packet of a flow and its retransmissions.
	FlagOpen Flags = 1 << iota
	// FlagAck marks a packet that acknowledges data.
	FlagAck
	// FlagEnd marks the last packet of one direction.
	FlagEnd
	// FlagReset ends a flow at once.
	FlagReset
)

// Has reports whether all of the given flags are set.
func (f Flags) Has(flags Flags) bool { return f&flags == flags }

// Packet is a packet of a flow as received from a caller.
type Packet struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
	// Tag is the tag of the flow's target that the caller last received; see Tag. It has no
	// meaning in opening packets.
	Tag   Tag
	Flags Flags
	// Length is the number of data bytes.
	Length uint32
	// Sequence is the sequence number of the first data byte. Opening packets carry the
	// initial sequence number.
	Sequence uint32
	// Acknowledged is the next byte that the caller expects. In opening packets it is the
	// number of the retransmission instead: 0 for the first packet.
	Acknowledged uint32
	// Data is the whole packet as received; it is forwarded unchanged.
	Data []byte
}

// isOpening reports whether the packet opens a flow.
func (p *Packet) isOpening() bool { return p.Flags.Has(FlagOpen) && !p.Flags.Has(FlagAck) }

// flowKey identifies a flow.
type flowKey struct {
	caller  netip.AddrPort
	service netip.AddrPort
}

// sequenceAfter reports whether sequence number a comes after b; sequence numbers wrap
// around.
func sequenceAfter(a, b uint32) bool { return int32(a-b) > 0 }
