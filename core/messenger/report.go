package messenger

import (
	"net/netip"
	"time"
)

func (*Report) body() {}

// Report is the state that a host which steers flows sends to other hosts a few times a second.
// A report may be lost: the next one repeats all that is still relevant.
type Report struct {
	Address          netip.AddrPort `cbor:"addr"`
	AvailabilityZone string         `cbor:"zone"`
	Incarnation      uint64         `cbor:"inc"`
	// LinkBytesPerSecond is the bandwidth of the sender's link in each direction; 0 if unknown.
	LinkBytesPerSecond int `cbor:"link,omitempty"`
	// Leaving says that the sender is shutting down and that this is one of its last reports.
	Leaving bool `cbor:"leave,omitempty"`
	// ReplyRequested asks the receiver for a report at once.
	ReplyRequested bool `cbor:"ask,omitempty"`
	// SettingsRevision is that of the settings in force at the sender. SettingsAge is how long
	// ago the platform was last known to have no newer ones, and SettingsReadNumber the number
	// of the read that confirmed this; 0 if unknown.
	SettingsRevision   uint64        `cbor:"ver,omitempty"`
	SettingsAge        time.Duration `cbor:"verAge,omitempty"`
	SettingsReadNumber uint64        `cbor:"verRead,omitempty"`
	// TargetsRevision is the platform's revision that the sender's list of targets reflects.
	// TargetsAge is how long ago the list was last known to be complete, and TargetsReadNumber
	// the number of the read that confirmed this; 0 if unknown.
	TargetsRevision   uint64        `cbor:"rev,omitempty"`
	TargetsAge        time.Duration `cbor:"revAge,omitempty"`
	TargetsReadNumber uint64        `cbor:"revRead,omitempty"`
	// TargetsDigest is equal at hosts with the same state of all targets.
	TargetsDigest uint64 `cbor:"dig,omitempty"`
	// EvacuatedZones are the availability zones that operators have ordered to be evacuated, as
	// of the platform's revision OrdersRevision; 0 if the sender does not know the orders.
	OrdersRevision uint64   `cbor:"ord,omitempty"`
	EvacuatedZones []string `cbor:"evac,omitempty"`
	// TargetsEra, OrdersEra and SettingsEra are the eras of the platform's history that
	// TargetsRevision, OrdersRevision and the confirmation of SettingsRevision belong to; 0 if
	// the platform reports no era.
	TargetsEra  uint64 `cbor:"era,omitempty"`
	OrdersEra   uint64 `cbor:"ordEra,omitempty"`
	SettingsEra uint64 `cbor:"verEra,omitempty"`
	// TargetChanges are the latest changes of targets.
	TargetChanges []TargetState `cbor:"changes,omitempty"`
	// InFlight maps the tag of each target to the number of the sender's requests in flight. It
	// is sent only to hosts of the sender's availability zone.
	InFlight map[uint32]uint16 `cbor:"busy,omitempty"`
	// FastFailing lists, by tag, the targets whose responses to the sender were implausibly
	// fast.
	FastFailing []uint32 `cbor:"quick,omitempty"`
	// Unreachable lists, by tag, the targets that the sender has recently found unresponsive.
	Unreachable []uint32 `cbor:"silent,omitempty"`
	// Slowdowns holds the slowdowns of targets that stand out. It is sent only to hosts of the
	// sender's availability zone.
	Slowdowns []TargetSlowdown `cbor:"paces,omitempty"`
	// Demands is the demand of the sender's callers for each service. It is sent only to hosts
	// of the sender's availability zone. ZoneDemands is the demand of all callers of that zone,
	// as far as the sender knows. It is sent only to hosts of other zones.
	Demands     []ServiceDemand `cbor:"demand,omitempty"`
	ZoneDemands []ServiceDemand `cbor:"zoneDemand,omitempty"`
	// OpenFlows maps the tag of each target to the number of the sender's open flows, for
	// services whose targets may run out of connections.
	OpenFlows map[uint32]uint16 `cbor:"flows,omitempty"`
	// Uptime is how long ago the sender started.
	Uptime time.Duration `cbor:"up,omitempty"`
	// ReceiverZoneHosts is how many hosts of the receiver's availability zone the sender has
	// learned of, directly or through others, within the last minute. It is sent only to hosts
	// of other zones.
	ReceiverZoneHosts int `cbor:"zoneHosts,omitempty"`
	// Hosts names some hosts that are alive in the sender's view.
	Hosts []HostHint `cbor:"hosts,omitempty"`
	// HostAgeTenths holds, for each of Hosts, how long ago it last sent a report to any host,
	// in tenths of a second. A missing entry means that the sender has just received one.
	HostAgeTenths []uint8 `cbor:"hostAges,omitempty"`
	// HostsInZoneMask has a bit for each of Hosts, the lowest for the first, that is set if the
	// host is known to be in the sender's availability zone.
	HostsInZoneMask uint8 `cbor:"hostsNear,omitempty"`
	// HostLinkBytesPerSecond holds, for each of Hosts, the bandwidth of its link in each
	// direction, in bytes per second; 0 if unknown.
	HostLinkBytesPerSecond []int `cbor:"hostLinks,omitempty"`
}

// TargetSlowdown is the speed of a target, as the sender has recently observed it.
type TargetSlowdown struct {
	_   struct{} `cbor:",toarray"`
	Tag uint32
	// LogSlowdownEighths is log2, in eighths, of the target's time for a request relative to
	// the baseline: 8 is twice as slow, -8 twice as fast.
	LogSlowdownEighths int8
	// Samples is the number of recent responses that the slowdown is based on.
	Samples uint8
}

// ServiceDemand is the demand of callers for a service.
type ServiceDemand struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// OpenFlows is, in Report.ZoneDemands, the mean number of open flows per target of the
	// sender's zone if the service's targets may run out of connections, and 0 otherwise.
	OpenFlows uint32
	// ByPriority is the demand of the requests of each priority.
	ByPriority []PriorityDemand
}

// PriorityDemand is the demand of the callers of one priority.
type PriorityDemand struct {
	_ struct{} `cbor:",toarray"`
	// Priority is that of the routes. The demand of open flows at priority p, which can't be
	// refused, is reported as priority -1-p.
	Priority int
	// MilliSlots is the demand in thousandths of a slot: requests per second times the time
	// that a target works on one.
	MilliSlots uint32
}

// TargetState is a target as the platform listed it at Revision, which belongs to the era that
// the message gives as TargetsEra. It is encoded as an array: if a release added or removed a
// field, hosts of two releases could not decode each other's messages.
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
	// Incarnation is when the target's process started, in milliseconds since 1970; 0 if
	// unknown.
	Incarnation int64
	// Malformed says of a missing target that the platform has an entry under its ID that is
	// malformed.
	Malformed bool
}

// HostHint gives the address at which a host can be reached.
type HostHint struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Address netip.AddrPort
}

func (*SyncRequest) body()  {}
func (*SyncResponse) body() {}

// SyncRequest asks a host for its settings and targets.
type SyncRequest struct {
	// SettingsNewerThan is the settings revision in force at the sender; only a higher one is
	// requested.
	SettingsNewerThan uint64 `cbor:"above,omitempty"`
	// IncludeTargets requests targets too: those that changed after the platform's revision
	// TargetsSince, up to which the sender has all changes.
	IncludeTargets bool   `cbor:"tgt,omitempty"`
	TargetsSince   uint64 `cbor:"since,omitempty"`
	// TargetsSinceEra is the era of the platform's history that TargetsSince belongs to.
	TargetsSinceEra uint64 `cbor:"sinceEra,omitempty"`
	// IncludeMissing requests the targets that the platform no longer lists but that open flows
	// may still refer to.
	IncludeMissing bool `cbor:"gone,omitempty"`
}

// Scope says which targets a sync response includes.
type Scope uint8

const (
	// ScopeUnknown is that of hosts of an earlier release: what changed after the requested
	// position, except for targets that were removed before the sender started.
	ScopeUnknown Scope = iota
	// ScopeDelta is all that changed after the requested position.
	ScopeDelta
	// ScopeFull is the sender's full list: a target that is not included is missing.
	ScopeFull
)

// SyncResponse answers a SyncRequest.
type SyncResponse struct {
	// SettingsRevision and CompressedSettings are those of the settings in force, as they were
	// published. CompressedSettings is compressed with gzip (RFC 1952), and empty if
	// SettingsRevision is not above the one in the request.
	SettingsRevision   uint64 `cbor:"ver,omitempty"`
	CompressedSettings []byte `cbor:"gz,omitempty"`
	// SettingsAge and SettingsReadNumber, TargetsAge and TargetsReadNumber are as in Report.
	SettingsAge        time.Duration `cbor:"verAge,omitempty"`
	SettingsReadNumber uint64        `cbor:"verRead,omitempty"`
	// TargetsRevision is the platform's revision that Targets reflects.
	TargetsRevision uint64 `cbor:"rev,omitempty"`
	// TargetsEra and SettingsEra are as in Report. TargetsEra also applies to MissingTargets.
	TargetsEra        uint64        `cbor:"era,omitempty"`
	SettingsEra       uint64        `cbor:"verEra,omitempty"`
	TargetsAge        time.Duration `cbor:"revAge,omitempty"`
	TargetsReadNumber uint64        `cbor:"revRead,omitempty"`
	// Scope says which targets are included.
	Scope Scope `cbor:"scope,omitempty"`
	// Targets is sent as CompressedTargets, CBOR compressed with gzip: thousands of targets are
	// largely alike.
	Targets           []TargetState `cbor:"-"`
	CompressedTargets []byte        `cbor:"targets,omitempty"`
	// MissingTargets are those that IncludeMissing requested; MissingComplete says that these
	// are all, even if there are none.
	MissingTargets  []TargetState `cbor:"goneTargets,omitempty"`
	MissingComplete bool          `cbor:"goneTold,omitempty"`
}
