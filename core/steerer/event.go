package steerer

import (
	"net/netip"
	"time"

	"cranberryspan.dev/core/evacuator"
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/sequencer"
	"cranberryspan.dev/core/timekeeper"
)

// Event is something that happened to a host. The set is closed. Events carry
// their own time; they are read, never kept or changed.
type Event interface {
	// at is when the event is handled.
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
	// Started is when the read began: the answer is at least as new as that, unless
	// MayBeStale is set.
	Started    timekeeper.Instant
	MayBeStale bool
	Published  Published
	// Err says that the read failed; orders that it brought nevertheless hold.
	Err error
}

// Published is what operators have published, as one read shows it.
type Published struct {
	// Settings is nil if none were published yet, or if they could not be read.
	Settings *Settings
	// Document is the settings as they were published, for hosts that can't read them
	// themselves.
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

// TargetList is all targets that the platform lists, or what has changed since an earlier
// position.
type TargetList struct {
	// Position is that of the platform's history that the list shows.
	Position sequencer.Position
	// Since is the position after which the list tells of changes; zero for a whole list.
	Since   sequencer.Position
	Targets []Target
	// MissingIDs are the IDs of targets that are no longer listed, if only changes are told.
	MissingIDs []string
	// Malformed lists the entries that name no target.
	Malformed []MalformedTarget
}

// MalformedTarget is a listed entry that names no target: another program's, or one
// that was written over.
type MalformedTarget struct {
	// ID is empty if not even that could be read.
	ID string
	// Digest differs as soon as the entry does.
	Digest uint64
	Err    error
}

// ProbeOutcome is what a liveness check has shown.
type ProbeOutcome uint8

// The outcomes.
const (
	// ProbeHealthy means that the target answered that it is well.
	ProbeHealthy ProbeOutcome = iota + 1
	// ProbeNotReady means that it answered, and wants no new work.
	ProbeNotReady
	// ProbeWrongTarget means that another target answered at its address.
	ProbeWrongTarget
	// ProbeRefused means that nothing listens at its address.
	ProbeRefused
	// ProbeConnectTimeout means that not even a connection opened in time.
	ProbeConnectTimeout
	// ProbeResponseTimeout means that the target took the connection and did not answer in
	// time.
	ProbeResponseTimeout
	// ProbeClosed means that the target took the connection and ended it at once, with no
	// answer.
	ProbeClosed
	// ProbeReset means that the connection was reset before this host had seen it open: by a
	// target that holds all the connections that it may, or by one that is about to end.
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
	// Incarnation is the life of the target that was checked.
	Incarnation int64
	Outcome     ProbeOutcome
	// Took is how long the check lasted.
	Took time.Duration
}

// ReportReceived is another host's report.
type ReportReceived struct {
	At     timekeeper.Instant
	From   string
	Report *messenger.Report
}

// SyncResponseReceived is the outcome of an SendSyncRequest effect.
type SyncResponseReceived struct {
	At   timekeeper.Instant
	From string
	// Knowledge is nil if Err is set. Settings and Document are what it brought,
	// if anything.
	Knowledge *messenger.SyncResponse
	Settings  *Settings
	Document  []byte
	Err       error
}

// Tick lets time pass. It comes every TickInterval.
type Tick struct {
	At timekeeper.Instant
	// TransfersReceived and TransfersSent are the bytes that reads of the platform and answers
	// between hosts have put on this host's link since the last tick.
	TransfersReceived int
	TransfersSent     int
}

// Shutdown asks the host to leave the fabric's rotation and end.
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
