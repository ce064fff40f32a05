package steerer

import (
	"fmt"
	"time"
)

// SyncStatus is the operators' view of a host's settings and targets: which version it has,
// how old that is, and whether it came from the platform or from another host.
type SyncStatus struct {
	Host             string `json:"host"`
	AvailabilityZone string `json:"availabilityZone"`
	// Version is the version of the settings in force, 0 without any. SettingsFrom is where
	// they came from: "platform", or a host's name.
	Version      uint64 `json:"version"`
	SettingsFrom string `json:"settingsFrom,omitempty"`
	// SettingsAge is the time since the platform is known to have had no newer settings.
	// SettingsConfirmedBy is "platform", or the host that reported it.
	SettingsAge         time.Duration `json:"settingsAge"`
	SettingsConfirmedBy string        `json:"settingsConfirmedBy,omitempty"`
	// Era is the newest era of the platform's store that the host knows of, 0 if the platform
	// does not report eras.
	Era uint64 `json:"era,omitempty"`
	// OrdersRevision is the platform's revision up to which evacuation orders are known, 0 if
	// they are not. Evacuated lists the zones that get no new flows.
	OrdersRevision uint64   `json:"ordersRevision"`
	Evacuated      []string `json:"evacuated,omitempty"`
	// Revision is the platform's revision that the list of targets reflects.
	Revision uint64 `json:"revision"`
	// TargetsEra is the era that Revision belongs to. It is below Era while the host still
	// uses the list from before a restore.
	TargetsEra         uint64        `json:"targetsEra,omitempty"`
	TargetsAge         time.Duration `json:"targetsAge"`
	TargetsConfirmedBy string        `json:"targetsConfirmedBy,omitempty"`
	// Rank is the host's position in the order in which hosts read the platform, starting at
	// 0. AlivePeers is the number of other hosts that are presumed alive.
	Rank       int `json:"rank"`
	AlivePeers int `json:"live"`
	// PlatformDown is set while the platform responds neither to this host nor to a host that
	// reports to it.
	PlatformDown bool `json:"platformLost"`
}

// SyncStatus returns this host's current status.
func (s *Steerer) SyncStatus() SyncStatus {
	settings, targets := &s.platformReads.settings, &s.platformReads.targets
	return SyncStatus{
		Host: s.config.Self, AvailabilityZone: s.config.AvailabilityZone,
		Version: s.version(), SettingsFrom: s.settingsFrom,
		SettingsAge: age(s.now, settings.confirmed), SettingsConfirmedBy: settings.confirmedBy,
		Era: s.platformReads.era, OrdersRevision: s.evacuator.Orders().Position.Revision, Evacuated: s.evacuator.Zones(),
		Revision: s.targetsPosition.Revision, TargetsEra: s.targetsPosition.Era,
		TargetsAge: age(s.now, targets.confirmed), TargetsConfirmedBy: targets.confirmedBy,
		Rank: s.rank(), AlivePeers: s.alivePeers(), PlatformDown: s.platformReads.failedSince != 0,
	}
}

// TargetStatus is the operators' view of a target as this host sees it.
type TargetStatus struct {
	Target           string `json:"target"`
	Service          string `json:"service"`
	AvailabilityZone string `json:"availabilityZone"`
	Address          string `json:"address"`
	Slots            int    `json:"slots"`
	// Flows counts the flows through this host. InFlight counts those of them that wait for a
	// response or are half-open, PeersInFlight the same for the zone's other hosts.
	Flows         int `json:"flows"`
	InFlight      int `json:"busy"`
	PeersInFlight int `json:"peersBusy"`
	// Queued counts the requests that are queued at this host for the target.
	Queued int `json:"paced"`
	// Slowdown is the target's time per request as a multiple of the baseline; 1 is normal.
	Slowdown float64 `json:"slowness"`
	// Connections is the estimated number of flows at the target, ConnectionLimit its
	// connection limit. Both are 0 unless connections of its service are constrained.
	Connections     int `json:"connections,omitempty"`
	ConnectionLimit int `json:"connectionsBound,omitempty"`
	// AvoidReason is why new flows avoid the target; empty if only its load counts.
	AvoidReason string `json:"avoided,omitempty"`
}

// TargetStatuses lists all targets that this host knows, by ID.
func (s *Steerer) TargetStatuses() []TargetStatus {
	list := make([]TargetStatus, 0, len(s.targets.byID))
	for _, t := range s.targets.ordered() {
		flows, limit := s.connectionsAt(t)
		list = append(list, TargetStatus{
			Target: t.ID, Service: t.Service, AvailabilityZone: t.AvailabilityZone, Address: t.Address.String(), Slots: t.Slots,
			Flows: t.flows, InFlight: t.pendingRequests + t.halfOpen, PeersInFlight: t.peersInFlight, Queued: t.queue.Len(), Slowdown: s.slowdown(t), AvoidReason: s.avoidReason(t),
			Connections: flows, ConnectionLimit: limit,
		})
	}
	return list
}

// avoidReason returns why new flows avoid a target, the strongest reason first; see
// exclusionOf and targetLoad.
func (s *Steerer) avoidReason(t *target) string {
	switch {
	case s.targets.byTag[t.tag] != t:
		return "another target has its tag"
	case t.Draining:
		return "draining"
	case t.missing:
		return "no longer listed for " + formatAge(s.now, t.missingSince) + " ms"
	case s.avoidedAfterRestore(t):
		return t.restored.String() + " before the platform was restored"
	case s.evacuator.Evacuates(t.AvailabilityZone):
		return "its zone is evacuated"
	case t.health.unreachable():
		return "no answer for " + formatAge(s.now, t.health.unreachableSince) + " ms, last check " + t.health.lastOutcome.String()
	case t.health.suspect:
		return "suspected, last sign of life " + formatAge(s.now, t.health.lastProgress) + " ms ago"
	case t.estimatedFull && s.connections.constrained[t.Service] != nil:
		return "holds all the flows that it may"
	case s.failsFast(t):
		return "answers more quickly than it can work"
	case t.slowdownEstimate.Slow():
		return fmt.Sprintf("takes %.1f times as long as usual", s.slowdown(t))
	case !s.warmUpAllows(t):
		return "cold, and other hosts share out what it bears"
	case !t.warmUpDeadline.Passed(s.now):
		return "slow for " + formatMillis(t.warmUpDeadline.Until(s.now)) + " ms more after its start"
	case s.isCold(t):
		return "cold after its zone was taken back"
	case s.diagnoser.ZoneSuspect(t.AvailabilityZone, s.now):
		return "its zone seems to have fallen silent"
	}
	return ""
}
