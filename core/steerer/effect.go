package steerer

import (
	"net/netip"
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/recorder"
	"cranberryspan.dev/core/sequencer"
)

// Effect is something that the host has to do. The set is closed. Effects are
// data; those of one Reduce call are valid until the next call.
type Effect interface{ effect() }

func (*ForwardPacket) effect()   {}
func (*ResetFlow) effect()       {}
func (*ReadSettings) effect()    {}
func (*ReadTargets) effect()     {}
func (*Probe) effect()           {}
func (*SendReport) effect()      {}
func (*SendSyncRequest) effect() {}
func (*ObserveLatency) effect()  {}
func (*WriteLog) effect()        {}
func (*Exit) effect()            {}

// ForwardPacket passes a packet on to a target.
type ForwardPacket struct {
	Address netip.AddrPort
	Number  TargetNumber
	// Tag is written into an opening packet; it is 0 on all others.
	Tag  Tag
	Data []byte
}

// ResetFlow tells a caller that its flow has ended.
type ResetFlow struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
	// Sequence lies in the window in which the caller takes a reset.
	Sequence uint32
}

// ReadOptions says how to read the platform.
type ReadOptions struct {
	// MayBeStale allows an answer that is some seconds old; never with Since.
	MayBeStale bool
	// Since is a position up to which this host knows all that is read, so that what has changed
	// since is enough; zero if it knows none.
	Since sequencer.Position
	// Era is the newest era of the platform's history that this host has heard of: an
	// answer that tells none counts as of it.
	Era uint64
}

// ReadSettings asks the platform for the newest settings and orders.
type ReadSettings struct{ Options ReadOptions }

// ReadTargets asks the platform for the targets.
type ReadTargets struct{ Options ReadOptions }

// Probe checks whether a target lives.
type Probe struct {
	Target string
	// Incarnation is the life of the target that is to be checked; see Target.
	Incarnation int64
	Address     netip.AddrPort
	Path        string
	// Timeout is how long a handshake with the target may take.
	Timeout time.Duration
}

// SendReport sends this host's report to another host.
type SendReport struct {
	Host    string
	Address netip.AddrPort
	Report  *messenger.Report
}

// SendSyncRequest asks another host for what it knows.
type SendSyncRequest struct {
	Host    string
	Address netip.AddrPort
	Request *messenger.SyncRequest
	// Timeout is how long the host may take to begin its answer.
	Timeout time.Duration
}

// ObserveLatency says that a target began to answer a request, for histograms.
type ObserveLatency struct {
	Route   Route
	Latency time.Duration
}

// WriteLog is one line for the log.
type WriteLog struct{ recorder.Line }

// Field is a key and a value of a log line.
type Field = recorder.Field

func field(key, value string) Field { return Field{Key: key, Value: value} }

// Exit says that the process may end.
type Exit struct{}
