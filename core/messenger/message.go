package messenger

import (
	"net/netip"
	"time"

	"cranberryspan.dev/core/resolver"
)

// Body is a message between two hosts. The set is closed: every reader
// switches over exactly these types.
type Body interface{ body() }

func (*Ping) body()             {}
func (*Ack) body()              {}
func (*PingRequest) body()      {}
func (*IndirectAck) body()      {}
func (*Forward) body()          {}
func (*WitnessRequest) body()   {}
func (*WitnessAck) body()       {}
func (*Handover) body()         {}
func (*HandoverAck) body()      {}
func (*SettingsRequest) body()  {}
func (*SettingsDocument) body() {}
func (*FlowRecords) body()      {}
func (*ProbeFailures) body()    {}

// Phase is where a host stands in its life as an owner of flows.
type Phase uint8

// The phases of a host, in the order in which it passes through them.
const (
	// PhaseJoining hosts have no records yet and do not vote.
	PhaseJoining Phase = iota + 1
	// PhaseWaited hosts are joining hosts that have outwaited every repeat of
	// requests from before their start.
	PhaseWaited
	// PhaseReady hosts own flows and vote.
	PhaseReady
	// PhaseLeaving hosts are handing their flows over.
	PhaseLeaving
	// PhaseLeft hosts have handed everything over and never act again under
	// this incarnation.
	PhaseLeft
)

func (p Phase) String() string {
	switch p {
	case PhaseJoining:
		return "joining"
	case PhaseWaited:
		return "waited"
	case PhaseReady:
		return "ready"
	case PhaseLeaving:
		return "leaving"
	case PhaseLeft:
		return "left"
	}
	return "unknown"
}

// Liveness is what a host believes of another.
type Liveness uint8

// The states of liveness.
const (
	// LivenessUnknown is a host never heard of.
	LivenessUnknown Liveness = iota
	// LivenessAlive is a host that answers.
	LivenessAlive
	// LivenessSuspect is a host that did not answer of late.
	LivenessSuspect
	// LivenessDead is a host that is given up; it has to come back under a new
	// incarnation.
	LivenessDead
)

func (l Liveness) String() string {
	switch l {
	case LivenessAlive:
		return "alive"
	case LivenessSuspect:
		return "suspect"
	case LivenessDead:
		return "dead"
	case LivenessUnknown:
	}
	return "unknown"
}

// MemberState is one host's state as another host tells it.
type MemberState struct {
	Host        string `cbor:"host"`
	Incarnation uint64 `cbor:"inc"`
	// Refutations counts how often the host has contradicted a rumor that it is
	// suspect or dead. It says nothing about the host's memory.
	Refutations uint64   `cbor:"ref,omitempty"`
	Liveness    Liveness `cbor:"live"`
	Phase       Phase    `cbor:"phase"`
}

// Heartbeat rides on every heartbeat in both directions.
type Heartbeat struct {
	Incarnation uint64 `cbor:"inc"`
	Refutations uint64 `cbor:"ref,omitempty"`
	Phase       Phase  `cbor:"phase"`
	// SettingsRevision is the highest settings revision in force at the sender.
	SettingsRevision uint64 `cbor:"rev"`
	// HeldQuorum says that the sender has held a quorum under this incarnation, so
	// that it may have run requests.
	HeldQuorum bool `cbor:"acted,omitempty"`
	// Votes names the hosts of the cell whose votes the sender casts for the
	// receiver: its own, and those that hosts left it when they went.
	Votes []string `cbor:"votes,omitempty"`
	// WithheldVotes names votes that the sender holds and does not cast for the
	// receiver. Unsettled names votes that it casts for hosts, but that can't
	// give a host up yet.
	WithheldVotes    []string `cbor:"held,omitempty"`
	ProvisionalVotes []string `cbor:"unset,omitempty"`
	// CellMembers holds the sender's view of every member of its cell, for cell peers.
	CellMembers []MemberState `cbor:"cell,omitempty"`
	// MemberUpdates holds changes about other hosts.
	MemberUpdates []MemberState `cbor:"news,omitempty"`
	// InFlight maps targets (see TargetKey) to the sender's requests in flight.
	InFlight map[uint32]uint16 `cbor:"loads,omitempty"`
}

// TargetKey packs a service ID and the place of a target in its service's list.
func TargetKey(service resolver.ServiceID, index int) uint32 {
	return uint32(service)<<16 | uint32(uint16(index))
}

// Ping asks a host whether it lives. The Ack bears the same sequence number.
type Ping struct {
	Sequence  uint64    `cbor:"seq"`
	Heartbeat Heartbeat `cbor:"n"`
}

// Ack answers a Ping. It is also a vote: the sender promises not to give the
// receiver up for the grant time.
type Ack struct {
	Sequence  uint64    `cbor:"seq"`
	Heartbeat Heartbeat `cbor:"n"`
}

// PingRequest asks a host to ping Subject, which the sender can't reach.
type PingRequest struct {
	Subject   string    `cbor:"sub"`
	Heartbeat Heartbeat `cbor:"n"`
}

// IndirectAck tells a host that a subject it could not reach has answered the sender.
type IndirectAck struct {
	Subject   MemberState `cbor:"sub"`
	Heartbeat Heartbeat   `cbor:"n"`
}

// Direction says which way a forwarded packet travels.
type Direction uint8

// The directions.
const (
	// DirectionToTarget is a caller's packet on its way to the flow's owner.
	DirectionToTarget Direction = iota + 1
	// DirectionToCaller is a target's answer on its way to the flow's owner.
	DirectionToCaller
)

// Forward hands a packet to the owner of its flow. Services are named by ID,
// so hosts at different revisions agree on what they are talking about.
type Forward struct {
	Key              resolver.FlowKey `cbor:"key"`
	Direction        Direction        `cbor:"dir"`
	Hops             uint8            `cbor:"hops"`
	SettingsRevision uint64           `cbor:"rev"`
	// Target is the address that an answer came from.
	Target   netip.AddrPort `cbor:"tgt,omitzero"`
	Kind     Kind           `cbor:"kind"`
	Flags    Flags          `cbor:"flags"`
	Exchange Exchange       `cbor:"ex"`
	// Remaining is what is left until the caller's deadline; zero where there is none.
	Remaining time.Duration `cbor:"left,omitempty"`
	Payload   []byte        `cbor:"p"`
}

// WitnessRequest gives request identities to the successor of their owner before the
// owner hands the requests to a target.
//
// Where the link between the two is broken, the message goes through another
// host of the cell: Owner and For name the ends, and are empty otherwise.
type WitnessRequest struct {
	Sequence   uint64   `cbor:"seq"`
	Identities []uint64 `cbor:"ids"`
	Owner      string   `cbor:"owner,omitempty"`
	Recipient  string   `cbor:"for,omitempty"`
}

// WitnessAck says that the identities up to a sequence number are held.
// Successor and For are set where it goes through another host, as in Witness.
type WitnessAck struct {
	Sequence  uint64 `cbor:"seq"`
	Successor string `cbor:"succ,omitempty"`
	Recipient string `cbor:"for,omitempty"`
}

// FlowRecord says on which target a flow is.
type FlowRecord struct {
	_      struct{} `cbor:",toarray"`
	Key    resolver.FlowKey
	Target netip.AddrPort
	// LongLived marks streams and uploads.
	LongLived bool
	// NewWorkTarget is where the flow's new work goes while Target only keeps what began
	// there; invalid where that is Target. Moved says that the transfer in blocks
	// that is under way is there too.
	NewWorkTarget      netip.AddrPort
	BlockTransferMoved bool
}

// FlowRecords tells a successor about flows that are not where a newcomer
// would look for them.
type FlowRecords struct {
	Records []FlowRecord `cbor:"recs"`
}

// RequestRecord hands a running request to the next owner of its flow.
type RequestRecord struct {
	_         struct{} `cbor:",toarray"`
	Key       resolver.FlowKey
	Exchange  Exchange
	Flags     Flags
	Target    netip.AddrPort
	Remaining time.Duration
}

// Handover moves the records of flows to their next owner, in chunks. The
// sender stops acting on the flows when it sends the chunk with Done set.
type Handover struct {
	Sequence    uint64 `cbor:"seq"`
	Incarnation uint64 `cbor:"inc"`
	// Session tells the sender's handovers apart.
	Session uint64 `cbor:"sess"`
	// Flows and Requests are complete for the flows that change hands;
	// Identities are of requests that may be repeated by callers.
	Flows      []FlowRecord    `cbor:"flows,omitempty"`
	Requests   []RequestRecord `cbor:"reqs,omitempty"`
	Identities []uint64        `cbor:"ids,omitempty"`
	// WitnessedIdentities tells of some of Identities that the sender only holds them for an
	// owner, and has not run their requests.
	WitnessedIdentities []OwnerIdentities `cbor:"wit,omitempty"`
	// Unsent are requests that the sender has not sent to any target, and never
	// will; the receiver runs them.
	Unsent []Forward `cbor:"unsent,omitempty"`
	// IdentitiesIncompleteFor is for how much longer the sender does not know every recent
	// request identity.
	IdentitiesIncompleteFor time.Duration `cbor:"unc,omitempty"`
	// AlivePeers names the hosts of the cell that the sender believes alive.
	AlivePeers []string `cbor:"peers,omitempty"`
	Done       bool     `cbor:"done,omitempty"`
	// Votes names the votes that the sender gives to the receiver for good, with
	// the hosts that they must not be cast for.
	Votes            []string      `cbor:"votes,omitempty"`
	DeniedRecipients []MemberState `cbor:"denied,omitempty"`
	// Quorum says that the sender holds a quorum. Without one its records are
	// its own and not necessarily the cell's latest.
	Quorum bool `cbor:"quorum,omitempty"`
	// Leaving tells a handover by a host that leaves from one to a host that joins.
	Leaving bool `cbor:"leave,omitempty"`
}

// OwnerIdentities are identities that a host holds for an owner.
type OwnerIdentities struct {
	Owner string `cbor:"owner"`
	// Incarnation is the owner's.
	Incarnation uint64   `cbor:"inc"`
	Identities  []uint64 `cbor:"ids"`
}

// HandoverAck says that a chunk was taken in.
type HandoverAck struct {
	Sequence    uint64 `cbor:"seq"`
	Incarnation uint64 `cbor:"inc"`
	Session     uint64 `cbor:"sess"`
	// Refused says that the chunk was not taken in, since the receiver is about
	// to leave itself.
	Refused bool `cbor:"refused,omitempty"`
}

// ProbeFailures lists the targets (see TargetKey) that fail the sender's probes, all of
// them. It goes to the hosts of the sender's availability zone when it changes,
// and regularly while it is not empty.
type ProbeFailures struct {
	FailingTargets []uint32 `cbor:"failing"`
}

// SettingsRequest asks a peer for the settings it has in force.
type SettingsRequest struct {
	NewerThan uint64 `cbor:"above"`
}

// SettingsDocument carries a revision of the settings tree, as published,
// compressed with gzip (RFC 1952).
type SettingsDocument struct {
	Revision   uint64 `cbor:"rev"`
	Compressed []byte `cbor:"gz"`
}
