package messenger

import (
	"net/netip"
	"time"
)

func (*Report) body() {}

// Report is what a host that steers flows tells others a few times a second. It
// may be lost: the next one says all that still matters.
type Report struct {
	Address          netip.AddrPort `cbor:"addr"`
	AvailabilityZone string         `cbor:"zone"`
	Incarnation      uint64         `cbor:"inc"`
	// LinkBytesPerSecond is what the sender's link carries each way; 0 if unknown.
	LinkBytesPerSecond int `cbor:"link,omitempty"`
	// Leaving says that this is among the sender's last reports.
	Leaving bool `cbor:"leave,omitempty"`
	// SettingsRevision is of the settings in force at the sender; SettingsAge is how long
	// ago the platform is known to have had no newer one.
	// SettingsReadNumber is the number of the read that has shown it, 0 if unknown.
	SettingsRevision   uint64        `cbor:"ver,omitempty"`
	SettingsAge        time.Duration `cbor:"verAge,omitempty"`
	SettingsReadNumber uint64        `cbor:"verRead,omitempty"`
	// TargetsRevision is the platform's revision that the sender's list of targets
	// reflects, TargetsAge how long ago the list is known to have been complete, and
	// TargetsReadNumber the number of the read that has shown it, 0 if unknown.
	TargetsRevision   uint64        `cbor:"rev,omitempty"`
	TargetsAge        time.Duration `cbor:"revAge,omitempty"`
	TargetsReadNumber uint64        `cbor:"revRead,omitempty"`
	// TargetsDigest is equal at hosts that know the same of all targets.
	TargetsDigest uint64 `cbor:"dig,omitempty"`
	// Evacuated are the availability zones that operators have ordered to be evacuated, as
	// of the platform's revision OrdersRevision; 0 if the sender does not know.
	OrdersRevision uint64   `cbor:"ord,omitempty"`
	EvacuatedZones []string `cbor:"evac,omitempty"`
	// TargetsEra, OrdersEra and SettingsEra are the eras of the platform's history that
	// TargetsRevision, OrdersRevision and the confirmation of Version belong to; 0 if the
	// platform tells none.
	TargetsEra  uint64 `cbor:"era,omitempty"`
	OrdersEra   uint64 `cbor:"ordEra,omitempty"`
	SettingsEra uint64 `cbor:"verEra,omitempty"`
	// TargetChanges are the latest changes of targets.
	TargetChanges []TargetState `cbor:"changes,omitempty"`
	// InFlight counts the sender's requests under way by the target's tag. Only hosts
	// of its availability zone are told.
	InFlight map[uint32]uint16 `cbor:"busy,omitempty"`
	// FastFailing names, by tag, the targets that answered the sender more quickly than
	// they can work.
	FastFailing []uint32 `cbor:"quick,omitempty"`
	// Unresponsive names, by tag, the targets that the sender has found silent of late.
	Unresponsive []uint32 `cbor:"silent,omitempty"`
	// Slowdowns tells how fast the targets are that stand out. Only hosts of the sender's
	// availability zone are told.
	Slowdowns []TargetSlowdown `cbor:"paces,omitempty"`
	// Demands is what the sender's callers ask of each service. Only hosts of its
	// availability zone are told. ZoneDemands is what all callers of that zone ask, as far
	// as the sender knows; only hosts of other zones are told.
	Demands     []ServiceDemand `cbor:"demand,omitempty"`
	ZoneDemands []ServiceDemand `cbor:"zoneDemand,omitempty"`
	// OpenFlows counts the sender's open flows by the target's tag, for services whose
	// targets may run out of connections.
	OpenFlows map[uint32]uint16 `cbor:"flows,omitempty"`
	// Uptime is how long ago the sender started.
	Uptime time.Duration `cbor:"up,omitempty"`
	// ReceiverZoneHosts is how many hosts of the receiver's availability zone, another than the
	// sender's, the sender has heard of within the last minute.
	ReceiverZoneHosts int `cbor:"zoneHosts,omitempty"`
	// Hosts names some hosts that live as far as the sender knows.
	Hosts []HostHint `cbor:"hosts,omitempty"`
	// HostAgeTenths says of each of Hosts, in tenths of a second, how long ago it last
	// reported to anybody; the sender heard from it just now if there is no entry.
	HostAgeTenths []uint8 `cbor:"hostAges,omitempty"`
	// HostsInZoneMask has a bit for each of Hosts, the lowest for the first, that is set if the
	// host is known to be in the sender's availability zone.
	HostsInZoneMask uint8 `cbor:"hostsNear,omitempty"`
	// HostLinkBytesPerSecond says of each of Hosts what its link carries each way, in bytes a second;
	// 0 if unknown.
	HostLinkBytesPerSecond []int `cbor:"hostLinks,omitempty"`
}

// TargetSlowdown is how fast a target answers, as its sender has seen it of late.
type TargetSlowdown struct {
	_   struct{} `cbor:",toarray"`
	Tag uint32
	// LogSlowdownEighths is the binary logarithm, in eighths, of the target's time for a
	// request as a multiple of what is usual: 8 is twice as slow, -8 twice as quick.
	LogSlowdownEighths int8
	// Samples is how many recent answers that rests on.
	Samples uint8
}

// ServiceDemand is what callers ask of a service.
type ServiceDemand struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// OpenFlows is how many flows are open at the service's targets; for a zone, how many each
	// of its targets has on average.
	OpenFlows uint32
	// ByPriority is what requests of each priority would keep busy.
	ByPriority []PriorityDemand
}

// PriorityDemand is what callers of one priority ask.
type PriorityDemand struct {
	_ struct{} `cbor:",toarray"`
	// Priority is that of the routes. What open flows ask at priority p, which can't be
	// refused, is told as -1-p.
	Priority int
	// MilliSlots is the work asked for, in thousandths of a slot: requests a second times
	// the time that a target works on one.
	MilliSlots uint32
}

// TargetState is a target as the platform listed it at revision Seen, which belongs to the
// era that the message tells as TargetsEra. It is an array: with a field more or less, hosts
// of two releases could not read each other.
type TargetState struct {
	_                struct{} `cbor:",toarray"`
	ID               string
	Revision         uint64
	Service          string
	Address          netip.AddrPort
	AvailabilityZone string
	Slots            int
	Draining         bool
	Missing          bool
	WarmUp           time.Duration
	// Incarnation is when the target's process started, in milliseconds since 1970; 0 if it
	// does not say.
	Incarnation int64
	// Unreadable says of a missing target that an entry under its ID names no target.
	Unreadable bool
}

// HostHint tells where a host may be found.
type HostHint struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Address netip.AddrPort
}

func (*SyncRequest) body()  {}
func (*SyncResponse) body() {}

// SyncRequest asks a host for what it knows of settings and targets.
type SyncRequest struct {
	// SettingsNewerThan is the version in force at the sender; only a higher one is wanted.
	SettingsNewerThan uint64 `cbor:"above,omitempty"`
	// IncludeTargets asks for targets too: those that changed after the platform's
	// revision Since, up to which the sender knows all.
	IncludeTargets bool   `cbor:"tgt,omitempty"`
	TargetsSince   uint64 `cbor:"since,omitempty"`
	// TargetsSinceEra is the era of the platform's history that Since belongs to.
	TargetsSinceEra uint64 `cbor:"sinceEra,omitempty"`
	// IncludeMissing asks for the targets that are no longer listed and that open flows may
	// still name.
	IncludeMissing bool `cbor:"gone,omitempty"`
}

// Scope says which targets an answer tells.
type Scope uint8

const (
	// ScopeUnknown is that of hosts of an earlier release: what changed after the position that
	// was asked for, but for targets that went before the sender started.
	ScopeUnknown Scope = iota
	// ScopeDelta is all that changed after the position that was asked for.
	ScopeDelta
	// ScopeFull is all that the sender knows: what is not told is gone.
	ScopeFull
)

// SyncResponse answers a SyncRequest.
type SyncResponse struct {
	// SettingsRevision and Document are of the settings in force, as they were published;
	// Document is compressed with gzip (RFC 1952), and empty if Version is not
	// above the one asked for.
	SettingsRevision   uint64 `cbor:"ver,omitempty"`
	CompressedSettings []byte `cbor:"gz,omitempty"`
	// SettingsAge and SettingsReadNumber, TargetsAge and TargetsReadNumber are as in Report.
	SettingsAge        time.Duration `cbor:"verAge,omitempty"`
	SettingsReadNumber uint64        `cbor:"verRead,omitempty"`
	// TargetsRevision is the platform's revision that Targets reflect.
	TargetsRevision uint64 `cbor:"rev,omitempty"`
	// TargetsEra and SettingsEra are as in Report. Gone are of TargetsEra, too.
	TargetsEra        uint64        `cbor:"era,omitempty"`
	SettingsEra       uint64        `cbor:"verEra,omitempty"`
	TargetsAge        time.Duration `cbor:"revAge,omitempty"`
	TargetsReadNumber uint64        `cbor:"revRead,omitempty"`
	// Scope says which targets are told.
	Scope Scope `cbor:"scope,omitempty"`
	// Targets travel in Packed, as CBOR compressed with gzip: thousands of them say
	// much the same.
	Targets           []TargetState `cbor:"-"`
	CompressedTargets []byte        `cbor:"targets,omitempty"`
	// MissingTargets are the targets that were asked for as such; MissingComplete says that these are
	// all, also if there is none.
	MissingTargets  []TargetState `cbor:"goneTargets,omitempty"`
	MissingComplete bool          `cbor:"goneTold,omitempty"`
}
