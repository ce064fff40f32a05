package reducer

import (
	"net/netip"
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/recorder"
	"cranberryspan.dev/core/resolver"
	"cranberryspan.dev/core/timekeeper"
)

// Effect is something that the host has to do. The set is closed. Effects are
// data; those of one Reduce call are valid until the next call.
type Effect interface{ effect() }

func (*ToTarget) effect()  {}
func (*ToCaller) effect()  {}
func (*Reply) effect()     {}
func (*ToPeer) effect()    {}
func (*Probe) effect()     {}
func (*Watch) effect()     {}
func (*Adopted) effect()   {}
func (*Rejected) effect()  {}
func (*Completed) effect() {}
func (*Logged) effect()    {}
func (*Ended) effect()     {}

// ToTarget sends a flow's packet to a target from the flow's return address.
type ToTarget struct {
	Target netip.AddrPort
	Return netip.Addr
	// Deadline, if not zero, is when the host's right to send this ends. A host
	// that was paused between deciding and sending must not send any more.
	Deadline timekeeper.Instant
	Payload  []byte
}

// ToCaller sends a packet to a caller from its service's address.
type ToCaller struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
	Payload []byte
}

// Outcome is what a Reply says of a request.
type Outcome uint8

// The outcomes.
const (
	// OutcomeNotRun says that the request certainly did not run.
	OutcomeNotRun Outcome = iota + 1
	// OutcomeUnknown says that the request may have run.
	OutcomeUnknown
)

func (o Outcome) String() string {
	if o == OutcomeNotRun {
		return "not run"
	}
	return "unknown"
}

// Reply answers a caller on the system's own behalf.
type Reply struct {
	Caller   netip.AddrPort
	Service  netip.AddrPort
	Exchange messenger.Exchange
	Flags    messenger.Flags
	Outcome  Outcome
	// Reason is a short word for logs and the diagnostic payload.
	Reason Reason
	// RetryAfter tells the caller when to come back.
	RetryAfter time.Duration
}

// ToPeer sends a message to another host. Forward messages go as datagrams and
// may be lost; the others go over the control link in order, or not at all.
type ToPeer struct {
	Host string
	Body messenger.Body
}

// Probe asks a target how it is.
type Probe struct {
	Target netip.AddrPort
}

// Watch says whether this host is to watch the platform, or learn from peers.
type Watch struct {
	Enabled bool
}

// Adopted says that a revision is in force.
type Adopted struct {
	Settings *resolver.Settings
}

// Rejected says that a revision was refused; the last one stays in force.
type Rejected struct {
	Revision uint64
	Err      error
}

// Completed reports a request whose answer went to its caller, for histograms.
type Completed struct {
	Service *resolver.Service
	Latency time.Duration
}

// Logged is one line for the log.
type Logged struct{ recorder.Line }

// Field is a key and a value of a log line.
type Field = recorder.Field

// Ended says that the host has left and the process may end.
type Ended struct{}
