package steerer

import (
	"net/netip"
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/recorder"
	"cranberryspan.dev/core/sequencer"
)

// Effect is an action that the host has to carry out. The set is closed. Effects are data;
// those returned by a Reduce call are valid until the next call.
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

// ForwardPacket forwards a packet to a target.
type ForwardPacket struct {
	Address netip.AddrPort
	Number  TargetNumber
	// Tag is written into an opening packet; it is 0 for all other packets.
	Tag  Tag
	Data []byte
}

// ResetFlow sends a caller a reset that ends its flow.
type ResetFlow struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
	// Sequence lies in the window in which the caller accepts a reset.
	Sequence uint32
}

// ReadOptions are the options of a read of the platform.
type ReadOptions struct {
	// MayBeStale allows a response that is a few seconds old. It is never set together with
	// Since.
	MayBeStale bool
	// Since is a position up to which this host has everything that is read, so that the
	// changes after it are enough; zero if there is none.
	Since sequencer.Position
	// Era is the newest era of the platform's history that this host has learned of. A
	// response without an era counts as one of this era.
	Era uint64
}

// ReadSettings reads the newest settings and evacuation orders from the platform.
type ReadSettings struct{ Options ReadOptions }

// ReadTargets reads the targets from the platform.
type ReadTargets struct{ Options ReadOptions }

// Probe checks whether a target is alive.
type Probe struct {
	Target string
	// Incarnation is the incarnation of the target to be probed; see Target.
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

// SendSyncRequest requests settings and targets from another host.
type SendSyncRequest struct {
	Host    string
	Address netip.AddrPort
	Request *messenger.SyncRequest
	// Timeout is how long the host may take to begin its response.
	Timeout time.Duration
}

// ObserveLatency records for the histograms that a target has begun to respond to a
// request.
type ObserveLatency struct {
	Route   Route
	Latency time.Duration
}

// WriteLog writes a log line.
type WriteLog struct{ recorder.Line }

// Field is a key and a value of a log line.
type Field = recorder.Field

func field(key, value string) Field { return Field{Key: key, Value: value} }

// Exit ends the process.
type Exit struct{}
