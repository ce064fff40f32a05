package reducer

import (
	"net/netip"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/timekeeper"
)

// Event is something that happened to a host. The set is closed. Events carry
// their own time; they are read, never kept or changed.
type Event interface {
	// at is when the event is handled.
	at() *timekeeper.Instant
}

func (e *CallerPacket) at() *timekeeper.Instant      { return &e.At }
func (e *TargetPacket) at() *timekeeper.Instant      { return &e.At }
func (e *PeerMessage) at() *timekeeper.Instant       { return &e.At }
func (e *SettingsPublished) at() *timekeeper.Instant { return &e.At }
func (e *HostsPublished) at() *timekeeper.Instant    { return &e.At }
func (e *ProbeAnswered) at() *timekeeper.Instant     { return &e.At }
func (e *Tick) at() *timekeeper.Instant              { return &e.At }
func (e *Shutdown) at() *timekeeper.Instant          { return &e.At }

// CallerPacket is a packet from a caller to a service address.
type CallerPacket struct {
	At timekeeper.Instant
	// Arrived is when the network took the packet in, before it waited for this
	// host to read it.
	Arrived timekeeper.Instant
	Caller  netip.AddrPort
	Service netip.AddrPort
	Packet  messenger.Packet
}

// TargetPacket is a packet from a target to a return address.
type TargetPacket struct {
	At     timekeeper.Instant
	Target netip.AddrPort
	Return netip.Addr
	Packet messenger.Packet
}

// PeerMessage is a message from another host.
type PeerMessage struct {
	At timekeeper.Instant
	// Arrived is set for Forward messages, as in CallerPacket.
	Arrived timekeeper.Instant
	From    string
	Body    messenger.Body
}

// SettingsPublished is a revision of the settings tree, read from the platform.
type SettingsPublished struct {
	At       timekeeper.Instant
	Revision uint64
	Document []byte
}

// HostsPublished is the platform's list of hosts. It lags, so it is a hint: a
// host that it lists as leaving does not count as a watcher, nothing more.
type HostsPublished struct {
	At      timekeeper.Instant
	Leaving []string
}

// ProbeAnswered is what a target's health endpoint said, or that it said nothing.
type ProbeAnswered struct {
	At      timekeeper.Instant
	Target  netip.AddrPort
	Healthy bool
	// InFlight is how many requests the target reports to be running or queued.
	InFlight int
}

// Tick lets time pass. It comes every TickInterval.
type Tick struct {
	At timekeeper.Instant
}

// Shutdown asks the host to hand its flows over and leave.
type Shutdown struct {
	At timekeeper.Instant
}

// Stamp sets the time at which an event is handled. An event that waited while
// its host was paused must not look as old as it is: leases are judged by it.
func Stamp(event Event, now timekeeper.Instant) { *event.at() = now }
