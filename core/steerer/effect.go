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

func (*ToTarget) effect()     {}
func (*ResetFlow) effect()    {}
func (*ReadSettings) effect() {}
func (*ReadTargets) effect()  {}
func (*Probe) effect()        {}
func (*SendReport) effect()   {}
func (*AskHost) effect()      {}
func (*Answered) effect()     {}
func (*Logged) effect()       {}
func (*Ended) effect()        {}

// ToTarget passes a packet on to a target.
type ToTarget struct {
	Address netip.AddrPort
	Number  Number
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
	// Born is the life of the target that is to be checked; see Target.
	Born    int64
	Address netip.AddrPort
	Path    string
	// Patience is how long a handshake with the target may take.
	Patience time.Duration
}

// SendReport sends this host's report to another host.
type SendReport struct {
	Host    string
	Address netip.AddrPort
	Report  *messenger.Report
}

// AskHost asks another host for what it knows.
type AskHost struct {
	Host    string
	Address netip.AddrPort
	Request *messenger.SyncRequest
	// Patience is how long the host may take to begin its answer.
	Patience time.Duration
}

// Answered says that a target began to answer a request, for histograms.
type Answered struct {
	Route   Route
	Latency time.Duration
}

// Logged is one line for the log.
type Logged struct{ recorder.Line }

// Field is a key and a value of a log line.
type Field = recorder.Field

func field(key, value string) Field { return Field{Key: key, Value: value} }

// Ended says that the process may end.
type Ended struct{}
