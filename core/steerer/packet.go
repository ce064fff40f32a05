package steerer

import "net/netip"

// Flags are the marks of a packet that matter to decisions.
type Flags uint8

// The flags.
const (
	// FlagOpen marks the first packet of a flow and its copies.
	FlagOpen Flags = 1 << iota
	// FlagAck marks a packet that acknowledges data.
	FlagAck
	// FlagEnd marks the last packet of one direction.
	FlagEnd
	// FlagReset ends a flow at once.
	FlagReset
)

// Has reports whether all of some flags are set.
func (f Flags) Has(flags Flags) bool { return f&flags == flags }

// Packet is one packet of a flow as it came from a caller.
type Packet struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
	// Tag is the number that the flow's target was last sent with; see Tag.
	// It means nothing on opening packets.
	Tag   Tag
	Flags Flags
	// Length is the number of data bytes.
	Length uint32
	// Sequence is the number of the first data byte. Opening packets carry
	// their own.
	Sequence uint32
	// Acknowledged is the next byte that the caller expects. On opening packets
	// it counts copies instead: 0 for the first.
	Acknowledged uint32
	// Data is the whole packet as received; it is passed on as it is.
	Data []byte
}

// isOpening reports whether the packet opens a flow.
func (p *Packet) isOpening() bool { return p.Flags.Has(FlagOpen) && !p.Flags.Has(FlagAck) }

// flowKey names a flow.
type flowKey struct {
	caller  netip.AddrPort
	service netip.AddrPort
}

// sequenceAfter reports whether sequence number a lies behind b; numbers wrap around.
func sequenceAfter(a, b uint32) bool { return int32(a-b) > 0 }
