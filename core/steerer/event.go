package steerer

import (
	"net/netip"
	"time"

	"cranberryspan.dev/core/evacuator"
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/sequencer"
	"cranberryspan.dev/core/timekeeper"
)

// Event is something that happened to a host. The set is closed. Events carry their own
// time; they are only read, never kept or changed.
type Event interface {
	// at returns the time at which the event is handled.
	at() *timekeeper.Instant
}

func (e *CallerPacket) at() *timekeeper.Instant         { return &e.At }
func (e *SettingsRead) at() *timekeeper.Instant         { return &e.At }
func (e *TargetsRead) at() *timekeeper.Instant          { return &e.At }
func (e *ProbeCompleted) at() *timekeeper.Instant       { return &e.At }
func (e *ReportReceived) at() *timekeeper.Instant       { return &e.At }
func (e *SyncResponseReceived) at() *timekeeper.Instant { return &e.At }
func (e *Tick) at() *timekeeper.Instant                 { return &e.At }
func (e *Shutdown) at() *timekeeper.Instant             { return &e.At }
func (e *SeedsChanged) at() *timekeeper.Instant         { return &e.At }

// CallerPacket is a packet that the fabric handed to this host.
type CallerPacket struct {
	At     timekeeper.Instant
	Packet Packet
}

// SettingsRead is the outcome of a ReadSettings effect.
type SettingsRead struct {
	At timekeeper.Instant
	// Started is when the read began: the response is at least as new as that, unless
	// MayBeStale is set.
	Started    timekeeper.Instant
	MayBeStale bool
	Published  Published
	// Err is set if the read failed; evacuation orders that it returned are valid
	// nevertheless.
	Err error
}

// Published is what operators have published, as shown by one read.
type Published struct {
	// Settings is nil if none were published yet, or if they could not be read.
	Settings *Settings
	// Document is the settings as published, for hosts that cannot read them themselves.
	Document []byte
	// Orders are the orders to evacuate availability zones.
	Orders evacuator.Orders
}

// TargetsRead is the outcome of a ReadTargets effect.
type TargetsRead struct {
	At timekeeper.Instant
	// Started and MayBeStale are as in SettingsRead.
	Started    timekeeper.Instant
	MayBeStale bool
	List       TargetList
	Err        error
}

// TargetList holds all targets that the platform lists, or the changes since an earlier
// position.
type TargetList struct {
	// Position is the position in the platform's history that the list reflects.
	Position sequencer.Position
	// Since is the position after which the list holds changes; zero for a full list.
	Since   sequencer.Position
	Targets []Target
	// MissingIDs holds the IDs of targets that are no longer listed, if the list holds only
	// changes.
	MissingIDs []string
	// Malformed holds the entries that cannot be read as targets.
	Malformed []MalformedTarget
}

// MalformedTarget is a listed entry that cannot be read as a target: another program's
// entry, or one that was overwritten.
type MalformedTarget struct {
	// ID is empty if it could not be read either.
	ID string
	// Digest changes whenever the entry does.
	Digest uint64
	Err    error
}

// ProbeOutcome is the outcome of a probe.
type ProbeOutcome uint8

// The outcomes of a probe.
const (
	// ProbeHealthy means that the target responded as healthy.
	ProbeHealthy ProbeOutcome = iota + 1
	// ProbeNotReady means that the target responded and does not want new flows.
	ProbeNotReady
	// ProbeWrongTarget means that another target responded at its address.
	ProbeWrongTarget
	// ProbeRefused means that nothing listens at its address.
	ProbeRefused
	// ProbeConnectTimeout means that the connection did not open in time.
	ProbeConnectTimeout
	// ProbeResponseTimeout means that the target accepted the connection and did not
	// respond in time.
	ProbeResponseTimeout
	// ProbeClosed means that the target accepted the connection and closed it at once
	// without a response.
	ProbeClosed
	// ProbeReset means that the connection was reset before this host had seen it open: by
	// a target at its connection limit, or by one that is about to exit.
	ProbeReset
)

func (o ProbeOutcome) String() string {
	switch o {
	case ProbeHealthy:
		return "healthy"
	case ProbeNotReady:
		return "unwilling"
	case ProbeWrongTarget:
		return "otherTarget"
	case ProbeRefused:
		return "refused"
	case ProbeConnectTimeout:
		return "silent"
	case ProbeResponseTimeout:
		return "busy"
	case ProbeClosed:
		return "cut"
	case ProbeReset:
		return "reset"
	}
	return "unknown"
}

// ProbeCompleted is the outcome of a Probe effect.
type ProbeCompleted struct {
	At     timekeeper.Instant
	Target string
	// Incarnation is the incarnation of the target that was probed.
	Incarnation int64
	Outcome     ProbeOutcome
	// Took is the duration of the probe.
	Took time.Duration
}

// ReportReceived is another host's report.
type ReportReceived struct {
	At     timekeeper.Instant
	From   string
	Report *messenger.Report
}

// SyncResponseReceived is the outcome of a SendSyncRequest effect.
type SyncResponseReceived struct {
	At   timekeeper.Instant
	From string
	// Response is nil if Err is set. Settings and Document are those in the response, if
	// any.
	Response *messenger.SyncResponse
	Settings *Settings
	Document []byte
	Err      error
}

// Tick marks the passing of time. It comes every TickInterval.
type Tick struct {
	At timekeeper.Instant
	// TransfersReceived and TransfersSent are the bytes that reads of the platform and sync
	// responses have put on this host's link since the last tick.
	TransfersReceived int
	TransfersSent     int
}

// Shutdown requests a graceful shutdown: the host reports itself as not ready, so that the
// fabric stops sending packets to it, and then exits.
type Shutdown struct {
	At timekeeper.Instant
}

// SeedsChanged replaces the addresses at which other hosts may be found.
type SeedsChanged struct {
	At    timekeeper.Instant
	Seeds []netip.AddrPort
}

// SetTime sets the time at which an event is handled.
func SetTime(event Event, now timekeeper.Instant) { *event.at() = now }
