package reducer

import (
	"net/netip"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/timekeeper"
)

// Event is an input of the reducer. The set of types is closed. Each event carries
// the time at which it is handled. The reducer neither changes nor keeps events.
type Event interface {
	// at points to the time at which the event is handled.
	at() *timekeeper.Instant
}

func (e *CallerPacket) at() *timekeeper.Instant      { return &e.At }
func (e *TargetPacket) at() *timekeeper.Instant      { return &e.At }
func (e *PeerMessage) at() *timekeeper.Instant       { return &e.At }
func (e *SettingsPublished) at() *timekeeper.Instant { return &e.At }
func (e *HostsPublished) at() *timekeeper.Instant    { return &e.At }
func (e *ProbeCompleted) at() *timekeeper.Instant    { return &e.At }
func (e *Tick) at() *timekeeper.Instant              { return &e.At }
func (e *Shutdown) at() *timekeeper.Instant          { return &e.At }

// CallerPacket is a packet from a caller to a service address.
type CallerPacket struct {
	At timekeeper.Instant
	// Arrived is when the packet arrived at the host, before it waited in the socket
	// to be read.
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

// HostsPublished is the platform's list of hosts. The list may be out of date, so it
// is only a hint: a host that it lists as shutting down does not count as a watcher,
// and nothing else depends on it.
type HostsPublished struct {
	At           timekeeper.Instant
	ShuttingDown []string
}

// ProbeCompleted is the result of a probe. A probe without a response counts as
// unhealthy.
type ProbeCompleted struct {
	At      timekeeper.Instant
	Target  netip.AddrPort
	Healthy bool
	// InFlight is the number of running and queued requests that the target reports.
	InFlight int
}

// Tick advances time and triggers periodic work. The host sends one every
// TickInterval.
type Tick struct {
	At timekeeper.Instant
}

// Shutdown starts a graceful shutdown: the host hands its flows over and then ends.
type Shutdown struct {
	At timekeeper.Instant
}

// Stamp sets the time at which an event is handled. An event that was created before
// its host was paused must not carry the old time, because leases are checked
// against the time of the event.
func Stamp(event Event, now timekeeper.Instant) { *event.at() = now }
