package reducer

import (
	"net/netip"
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/recorder"
	"cranberryspan.dev/core/resolver"
	"cranberryspan.dev/core/timekeeper"
)

// Effect is an action that the host must perform. The set of types is closed.
// Effects are plain data; those of one Reduce call are valid until the next call.
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
	// Deadline, if not zero, is the time after which the packet must not be sent:
	// the host may have been paused between the decision and the sending, and may
	// have lost ownership of the flow.
	Deadline timekeeper.Instant
	Payload  []byte
}

// ToCaller sends a packet to a caller from its service's address.
type ToCaller struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
	Payload []byte
}

// Outcome is what a Reply states about the execution of a request.
type Outcome uint8

// The outcomes.
const (
	// OutcomeNotRun means that the request certainly did not run.
	OutcomeNotRun Outcome = iota + 1
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
)

func (o Outcome) String() string {
	if o == OutcomeNotRun {
		return "not run"
	}
	return "unknown"
}

// Reply sends a caller a reply from the load balancer itself, not from a target.
type Reply struct {
	Caller   netip.AddrPort
	Service  netip.AddrPort
	Exchange messenger.Exchange
	Flags    messenger.Flags
	Outcome  Outcome
	// Reason appears in logs and in the diagnostic payload.
	Reason Reason
	// RetryAfter is how long the caller should wait before it sends a new request.
	RetryAfter time.Duration
}

// ToPeer sends a message to another host. Forward messages are sent as datagrams and
// may be lost. Other messages are sent over the control link, which may lose them
// but keeps their order.
type ToPeer struct {
	Host string
	Body messenger.Body
}

// Probe sends a health check to a target.
type Probe struct {
	Target netip.AddrPort
}

// Watch enables or disables this host's watch on the platform. A host that does not
// watch gets its settings from peers.
type Watch struct {
	Enabled bool
}

// Adopted reports that a revision of the settings is in force.
type Adopted struct {
	Settings *resolver.Settings
}

// Rejected reports that a revision was rejected; the previous one stays in force.
type Rejected struct {
	Revision uint64
	Err      error
}

// Completed reports the latency of a request whose response went to its caller, for
// histograms.
type Completed struct {
	Service *resolver.Service
	Latency time.Duration
}

// Logged is one line for the log.
type Logged struct{ recorder.Line }

// Field is a key and a value of a log line.
type Field = recorder.Field

// Ended reports that the graceful shutdown is complete and the process may exit.
type Ended struct{}
