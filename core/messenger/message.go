package messenger

import (
	"net/netip"
	"time"

	"cranberryspan.dev/core/resolver"
)

// Body is a message between two hosts. The set is closed: every receiver switches over exactly
// these types.
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

// Phase is the stage of a host's lifecycle as an owner of flows.
type Phase uint8

// The phases of a host, in the order in which it passes through them.
const (
	// PhaseJoining hosts have no records yet and do not vote.
	PhaseJoining Phase = iota + 1
	// PhaseWaited hosts are joining hosts that have waited until no request from before their
	// start can be retransmitted any more.
	PhaseWaited
	// PhaseReady hosts own flows and vote.
	PhaseReady
	// PhaseLeaving hosts are shutting down and hand over their flows.
	PhaseLeaving
	// PhaseLeft hosts have handed over everything and never act again under this incarnation.
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

// Liveness is the state of a host in the failure detector of another.
type Liveness uint8

// The states of liveness.
const (
	// LivenessUnknown is a host from which nothing has been received yet.
	LivenessUnknown Liveness = iota
	// LivenessAlive is a host that answers pings.
	LivenessAlive
	// LivenessSuspect is a host that has not answered recent pings.
	LivenessSuspect
	// LivenessDead is a host that has been declared dead; it has to return under a new
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

// MemberState is the state of one host as another host reports it.
type MemberState struct {
	Host        string `cbor:"host"`
	Incarnation uint64 `cbor:"inc"`
	// Refutations counts how often the host has refuted a report that it is suspect or dead. It
	// says nothing about whether the host still has its state.
	Refutations uint64   `cbor:"ref,omitempty"`
	Liveness    Liveness `cbor:"live"`
	Phase       Phase    `cbor:"phase"`
}

// Heartbeat is part of every Ping, Ack, PingRequest and IndirectAck.
type Heartbeat struct {
	Incarnation uint64 `cbor:"inc"`
	Refutations uint64 `cbor:"ref,omitempty"`
	Phase       Phase  `cbor:"phase"`
	// SettingsRevision is the highest settings revision in force at the sender.
	SettingsRevision uint64 `cbor:"rev"`
	// HeldQuorum says that the sender has held a quorum under this incarnation, so that it may
	// have run requests.
	HeldQuorum bool `cbor:"acted,omitempty"`
	// Votes names the hosts of the cell whose votes the sender casts for the receiver: its own,
	// and those that other hosts transferred to it when they left.
	Votes []string `cbor:"votes,omitempty"`
	// WithheldVotes names votes that the sender holds and does not cast for the receiver.
	// ProvisionalVotes names votes that it casts for hosts, but that do not yet count for
	// declaring a host dead.
	WithheldVotes    []string `cbor:"held,omitempty"`
	ProvisionalVotes []string `cbor:"unset,omitempty"`
	// CellMembers holds the sender's view of every member of its cell. It is sent to hosts of
	// the same cell.
	CellMembers []MemberState `cbor:"cell,omitempty"`
	// MemberUpdates holds pending changes of the states of other hosts.
	MemberUpdates []MemberState `cbor:"news,omitempty"`
	// InFlight maps targets (see TargetKey) to the number of the sender's requests in flight.
	InFlight map[uint32]uint16 `cbor:"loads,omitempty"`
}

// TargetKey packs a service ID and the index of a target in its service's list into one key.
func TargetKey(service resolver.ServiceID, index int) uint32 {
	return uint32(service)<<16 | uint32(uint16(index))
}

// Ping probes whether a host is alive. The Ack has the same sequence number.
type Ping struct {
	Sequence  uint64    `cbor:"seq"`
	Heartbeat Heartbeat `cbor:"n"`
}

// Ack answers a Ping. It also grants the receiver a vote: the sender promises not to declare the
// receiver dead as long as the vote is valid.
type Ack struct {
	Sequence  uint64    `cbor:"seq"`
	Heartbeat Heartbeat `cbor:"n"`
}

// PingRequest asks a host to ping Subject, which the sender can't reach.
type PingRequest struct {
	Subject   string    `cbor:"sub"`
	Heartbeat Heartbeat `cbor:"n"`
}

// IndirectAck reports to a host that a subject it could not reach has answered the sender.
type IndirectAck struct {
	Subject   MemberState `cbor:"sub"`
	Heartbeat Heartbeat   `cbor:"n"`
}

// Direction is the direction in which a forwarded packet travels.
type Direction uint8

// The directions.
const (
	// DirectionToTarget is a caller's packet on its way to the flow's owner.
	DirectionToTarget Direction = iota + 1
	// DirectionToCaller is a target's response on its way to the flow's owner.
	DirectionToCaller
)

// Forward passes a packet to the owner of its flow. Services are identified by ID, so that
// hosts at different settings revisions refer to the same ones.
type Forward struct {
	Key              resolver.FlowKey `cbor:"key"`
	Direction        Direction        `cbor:"dir"`
	Hops             uint8            `cbor:"hops"`
	SettingsRevision uint64           `cbor:"rev"`
	// Target is the address that a response came from.
	Target   netip.AddrPort `cbor:"tgt,omitzero"`
	Kind     Kind           `cbor:"kind"`
	Flags    Flags          `cbor:"flags"`
	Exchange Exchange       `cbor:"ex"`
	// Remaining is the time left until the caller's deadline; zero if there is none.
	Remaining time.Duration `cbor:"left,omitempty"`
	Payload   []byte        `cbor:"p"`
}

// WitnessRequest gives request identities to the successor of their owner, which stores them
// before the owner sends the requests to a target.
//
// If the link between the two is broken, the message goes through another host of the cell:
// Owner and Recipient then name the two ends, and are empty otherwise.
type WitnessRequest struct {
	Sequence   uint64   `cbor:"seq"`
	Identities []uint64 `cbor:"ids"`
	Owner      string   `cbor:"owner,omitempty"`
	Recipient  string   `cbor:"for,omitempty"`
}

// WitnessAck confirms that the identities up to a sequence number are stored. Successor and
// Recipient are set if it goes through another host, as in WitnessRequest.
type WitnessAck struct {
	Sequence  uint64 `cbor:"seq"`
	Successor string `cbor:"succ,omitempty"`
	Recipient string `cbor:"for,omitempty"`
}

// FlowRecord says which target a flow is assigned to.
type FlowRecord struct {
	_      struct{} `cbor:",toarray"`
	Key    resolver.FlowKey
	Target netip.AddrPort
	// LongLived marks streams and uploads.
	LongLived bool
	// NewWorkTarget is where the flow's new requests go while Target only keeps those that
	// began there; invalid if there is no such move. BlockTransferMoved says that the
	// block-wise transfer in progress has moved there too.
	NewWorkTarget      netip.AddrPort
	BlockTransferMoved bool
}

// FlowRecords gives a successor the records of flows that are not on the target that a host
// without records would choose.
type FlowRecords struct {
	Records []FlowRecord `cbor:"recs"`
}

// RequestRecord hands over a request in flight to the next owner of its flow.
type RequestRecord struct {
	_         struct{} `cbor:",toarray"`
	Key       resolver.FlowKey
	Exchange  Exchange
	Flags     Flags
	Target    netip.AddrPort
	Remaining time.Duration
}

// Handover moves the records of flows to their next owner, in chunks. The sender stops acting
// on the flows when it sends the chunk with Done set.
type Handover struct {
	Sequence    uint64 `cbor:"seq"`
	Incarnation uint64 `cbor:"inc"`
	// Session distinguishes the handovers of one sender.
	Session uint64 `cbor:"sess"`
	// Flows and Requests are complete for the flows that change owners; Identities are those of
	// requests that callers may still retransmit.
	Flows      []FlowRecord    `cbor:"flows,omitempty"`
	Requests   []RequestRecord `cbor:"reqs,omitempty"`
	Identities []uint64        `cbor:"ids,omitempty"`
	// WitnessedIdentities lists those of Identities that the sender only stores for an owner as
	// its witness; it has not run their requests.
	WitnessedIdentities []OwnerIdentities `cbor:"wit,omitempty"`
	// Unsent are requests that the sender has not sent to any target, and never will; the
	// receiver runs them.
	Unsent []Forward `cbor:"unsent,omitempty"`
	// IdentitiesIncompleteFor is how much longer the sender's recent request identities may be
	// incomplete.
	IdentitiesIncompleteFor time.Duration `cbor:"unc,omitempty"`
	// AlivePeers names the hosts of the cell that are alive in the sender's view.
	AlivePeers []string `cbor:"peers,omitempty"`
	Done       bool     `cbor:"done,omitempty"`
	// Votes names the votes that the sender transfers to the receiver permanently, and
	// DeniedRecipients the hosts that these must not be cast for.
	Votes            []string      `cbor:"votes,omitempty"`
	DeniedRecipients []MemberState `cbor:"denied,omitempty"`
	// Quorum says that the sender holds a quorum. Without one its records are its own and not
	// necessarily the latest of the cell.
	Quorum bool `cbor:"quorum,omitempty"`
	// Leaving distinguishes a handover by a host that leaves from one to a host that joins.
	Leaving bool `cbor:"leave,omitempty"`
}

// OwnerIdentities are request identities that a host stores for an owner.
type OwnerIdentities struct {
	Owner string `cbor:"owner"`
	// Incarnation is that of the owner.
	Incarnation uint64   `cbor:"inc"`
	Identities  []uint64 `cbor:"ids"`
}

// HandoverAck answers a chunk of a handover.
type HandoverAck struct {
	Sequence    uint64 `cbor:"seq"`
	Incarnation uint64 `cbor:"inc"`
	Session     uint64 `cbor:"sess"`
	// Refused says that the chunk was not applied, since the receiver is about to leave itself.
	// Otherwise it was applied.
	Refused bool `cbor:"refused,omitempty"`
}

// ProbeFailures lists all targets (see TargetKey) that fail the sender's probes. It is sent to
// the hosts of the sender's availability zone when it changes, and periodically while it is not
// empty.
type ProbeFailures struct {
	FailingTargets []uint32 `cbor:"failing"`
}

// SettingsRequest asks a peer for its settings in force if their revision is higher than
// NewerThan.
type SettingsRequest struct {
	NewerThan uint64 `cbor:"above"`
}

// SettingsDocument carries a revision of the settings tree, as published, compressed with gzip
// (RFC 1952).
type SettingsDocument struct {
	Revision   uint64 `cbor:"rev"`
	Compressed []byte `cbor:"gz"`
}
