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
	// Version is of the settings in force at the sender; SettingsAge is how long
	// ago the platform is known to have had no newer one.
	// SettingsRead is the number of the read that has shown it, 0 if unknown.
	Version      uint64        `cbor:"ver,omitempty"`
	SettingsAge  time.Duration `cbor:"verAge,omitempty"`
	SettingsRead uint64        `cbor:"verRead,omitempty"`
	// TargetsRevision is the platform's revision that the sender's list of targets
	// reflects, TargetsAge how long ago the list is known to have been complete, and
	// TargetsRead the number of the read that has shown it, 0 if unknown.
	TargetsRevision uint64        `cbor:"rev,omitempty"`
	TargetsAge      time.Duration `cbor:"revAge,omitempty"`
	TargetsRead     uint64        `cbor:"revRead,omitempty"`
	// TargetsDigest is equal at hosts that know the same of all targets.
	TargetsDigest uint64 `cbor:"dig,omitempty"`
	// Evacuated are the availability zones that operators have ordered to be evacuated, as
	// of the platform's revision OrdersRevision; 0 if the sender does not know.
	OrdersRevision uint64   `cbor:"ord,omitempty"`
	Evacuated      []string `cbor:"evac,omitempty"`
	// TargetsEra, OrdersEra and SettingsEra are the eras of the platform's history that
	// TargetsRevision, OrdersRevision and the confirmation of Version belong to; 0 if the
	// platform tells none.
	TargetsEra  uint64 `cbor:"era,omitempty"`
	OrdersEra   uint64 `cbor:"ordEra,omitempty"`
	SettingsEra uint64 `cbor:"verEra,omitempty"`
	// Changes are the latest changes of targets.
	Changes []TargetState `cbor:"changes,omitempty"`
	// Busy counts the sender's requests under way by the target's tag. Only hosts
	// of its availability zone are told.
	Busy map[uint32]uint16 `cbor:"busy,omitempty"`
	// Quick names, by tag, the targets that answered the sender more quickly than
	// they can work.
	Quick []uint32 `cbor:"quick,omitempty"`
	// Silent names, by tag, the targets that the sender has found silent of late.
	Silent []uint32 `cbor:"silent,omitempty"`
	// Paces tells how fast the targets are that stand out. Only hosts of the sender's
	// availability zone are told.
	Paces []TargetPace `cbor:"paces,omitempty"`
	// Demands is what the sender's callers ask of each service. Only hosts of its
	// availability zone are told. ZoneDemands is what all callers of that zone ask, as far
	// as the sender knows; only hosts of other zones are told.
	Demands     []ServiceDemand `cbor:"demand,omitempty"`
	ZoneDemands []ServiceDemand `cbor:"zoneDemand,omitempty"`
	// Flows counts the sender's open flows by the target's tag, for services whose
	// targets may run out of connections.
	Flows map[uint32]uint16 `cbor:"flows,omitempty"`
	// Uptime is how long ago the sender started.
	Uptime time.Duration `cbor:"up,omitempty"`
	// ZoneHosts is how many hosts of the receiver's availability zone, another than the
	// sender's, the sender has heard of within the last minute.
	ZoneHosts int `cbor:"zoneHosts,omitempty"`
	// Hosts names some hosts that live as far as the sender knows.
	Hosts []HostHint `cbor:"hosts,omitempty"`
	// HostAgeTenths says of each of Hosts, in tenths of a second, how long ago it last
	// reported to anybody; the sender heard from it just now if there is no entry.
	HostAgeTenths []uint8 `cbor:"hostAges,omitempty"`
	// HostsNear has a bit for each of Hosts, the lowest for the first, that is set if the
	// host is known to be in the sender's availability zone.
	HostsNear uint8 `cbor:"hostsNear,omitempty"`
	// HostLinks says of each of Hosts what its link carries each way, in bytes a second;
	// 0 if unknown.
	HostLinks []int `cbor:"hostLinks,omitempty"`
}

// TargetPace is how fast a target answers, as its sender has seen it of late.
type TargetPace struct {
	_   struct{} `cbor:",toarray"`
	Tag uint32
	// SlownessEighths is the binary logarithm, in eighths, of the target's time for a
	// request as a multiple of what is usual: 8 is twice as slow, -8 twice as quick.
	SlownessEighths int8
	// Samples is how many recent answers that rests on.
	Samples uint8
}

// ServiceDemand is what callers ask of a service.
type ServiceDemand struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// Flows is how many flows are open at the service's targets; for a zone, how many each
	// of its targets has on average.
	Flows uint32
	// Asked is what requests of each priority would keep busy.
	Asked []PriorityDemand
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
	Seen             uint64
	Service          string
	Address          netip.AddrPort
	AvailabilityZone string
	Slots            int
	Draining         bool
	Missing          bool
	WarmUp           time.Duration
	// Born is when the target's process started, in milliseconds since 1970; 0 if it
	// does not say.
	Born int64
	// Unreadable says of a missing target that an entry under its ID names no target.
	Unreadable bool
}

// HostHint tells where a host may be found.
type HostHint struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Address netip.AddrPort
}

func (*KnowledgeRequest) body() {}
func (*Knowledge) body()        {}

// KnowledgeRequest asks a host for what it knows of settings and targets.
type KnowledgeRequest struct {
	// Above is the version in force at the sender; only a higher one is wanted.
	Above uint64 `cbor:"above,omitempty"`
	// Targets asks for targets too: those that changed after the platform's
	// revision Since, up to which the sender knows all.
	Targets bool   `cbor:"tgt,omitempty"`
	Since   uint64 `cbor:"since,omitempty"`
	// SinceEra is the era of the platform's history that Since belongs to.
	SinceEra uint64 `cbor:"sinceEra,omitempty"`
	// Gone asks for the targets that are no longer listed and that open flows may
	// still name.
	Gone bool `cbor:"gone,omitempty"`
}

// Scope says which targets an answer tells.
type Scope uint8

const (
	// ScopeUnknown is that of hosts of an earlier release: what changed after the position that
	// was asked for, but for targets that went before the sender started.
	ScopeUnknown Scope = iota
	// ScopeChanged is all that changed after the position that was asked for.
	ScopeChanged
	// ScopeAll is all that the sender knows: what is not told is gone.
	ScopeAll
)

// Knowledge answers a KnowledgeRequest.
type Knowledge struct {
	// Version and Document are of the settings in force, as they were published;
	// Document is compressed with gzip (RFC 1952), and empty if Version is not
	// above the one asked for.
	Version  uint64 `cbor:"ver,omitempty"`
	Document []byte `cbor:"gz,omitempty"`
	// SettingsAge and SettingsRead, TargetsAge and TargetsRead are as in Report.
	SettingsAge  time.Duration `cbor:"verAge,omitempty"`
	SettingsRead uint64        `cbor:"verRead,omitempty"`
	// Revision is the platform's revision that Targets reflect.
	Revision uint64 `cbor:"rev,omitempty"`
	// TargetsEra and SettingsEra are as in Report. Gone are of TargetsEra, too.
	TargetsEra  uint64        `cbor:"era,omitempty"`
	SettingsEra uint64        `cbor:"verEra,omitempty"`
	TargetsAge  time.Duration `cbor:"revAge,omitempty"`
	TargetsRead uint64        `cbor:"revRead,omitempty"`
	// Scope says which targets are told.
	Scope Scope `cbor:"scope,omitempty"`
	// Targets travel in Packed, as CBOR compressed with gzip: thousands of them say
	// much the same.
	Targets []TargetState `cbor:"-"`
	Packed  []byte        `cbor:"targets,omitempty"`
	// Gone are the targets that were asked for as such; GoneTold says that these are
	// all, also if there is none.
	Gone     []TargetState `cbor:"goneTargets,omitempty"`
	GoneTold bool          `cbor:"goneTold,omitempty"`
}
