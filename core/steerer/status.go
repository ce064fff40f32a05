package steerer

import (
	"fmt"
	"time"
)

// SyncStatus is what a host knows of settings and targets, and from whom, for
// operators.
type SyncStatus struct {
	Host             string `json:"host"`
	AvailabilityZone string `json:"availabilityZone"`
	// Version is of the settings in force, 0 without any. SettingsFrom is where they
	// came from: "platform", or a host's name.
	Version      uint64 `json:"version"`
	SettingsFrom string `json:"settingsFrom,omitempty"`
	// SettingsAge is how long ago the platform is known to have had no newer ones,
	// SettingsConfirmedBy who said so.
	SettingsAge         time.Duration `json:"settingsAge"`
	SettingsConfirmedBy string        `json:"settingsConfirmedBy,omitempty"`
	// Era is the newest era of the platform's history that the host has heard of, 0 if the
	// platform tells none.
	Era uint64 `json:"era,omitempty"`
	// OrdersRevision is the platform's revision up to which orders to evacuate zones are
	// known, 0 if they are not, and Evacuated the zones that get nothing more.
	OrdersRevision uint64   `json:"ordersRevision"`
	Evacuated      []string `json:"evacuated,omitempty"`
	// Revision is the platform's that the list of targets reflects.
	Revision uint64 `json:"revision"`
	// TargetsEra is the era that Revision belongs to. It is below Era while the host still
	// goes by what it knew before a restore.
	TargetsEra         uint64        `json:"targetsEra,omitempty"`
	TargetsAge         time.Duration `json:"targetsAge"`
	TargetsConfirmedBy string        `json:"targetsConfirmedBy,omitempty"`
	// Rank is the host's place among those that read the platform, 0 the first, and Live
	// how many others live as far as it knows.
	Rank       int `json:"rank"`
	AlivePeers int `json:"live"`
	// PlatformLost says that the platform answers neither this host nor one that it
	// hears of.
	PlatformLost bool `json:"platformLost"`
}

// SyncStatus returns what this host knows at present.
func (s *Steerer) SyncStatus() SyncStatus {
	settings, targets := &s.reading.settings, &s.reading.targets
	return SyncStatus{
		Host: s.config.Self, AvailabilityZone: s.config.AvailabilityZone,
		Version: s.version(), SettingsFrom: s.settingsFrom,
		SettingsAge: age(s.now, settings.confirmed), SettingsConfirmedBy: settings.confirmedBy,
		Era: s.reading.era, OrdersRevision: s.evacuator.Orders().Position.Revision, Evacuated: s.evacuator.Zones(),
		Revision: s.targetsPosition.Revision, TargetsEra: s.targetsPosition.Era,
		TargetsAge: age(s.now, targets.confirmed), TargetsConfirmedBy: targets.confirmedBy,
		Rank: s.rank(), AlivePeers: s.alivePeers(), PlatformLost: s.reading.failedSince != 0,
	}
}

// TargetStatus is what a host believes of a target, for operators.
type TargetStatus struct {
	Target           string `json:"target"`
	Service          string `json:"service"`
	AvailabilityZone string `json:"availabilityZone"`
	Address          string `json:"address"`
	Slots            int    `json:"slots"`
	// Flows counts the flows through this host, Busy those of them that wait for an
	// answer or have not opened yet, PeersBusy those of the zone's other hosts.
	Flows     int `json:"flows"`
	Busy      int `json:"busy"`
	PeersBusy int `json:"peersBusy"`
	// Paced counts the requests that wait at this host for the target.
	Paced int `json:"paced"`
	// Slowness is the target's time for a request as a multiple of the usual; 1 is usual.
	Slowness float64 `json:"slowness"`
	// Connections is how many flows the target holds as far as known, ConnectionsBound how
	// many it may; both are 0 unless its service is short of connections.
	Connections      int `json:"connections,omitempty"`
	ConnectionsBound int `json:"connectionsBound,omitempty"`
	// AvoidReason says why new flows go elsewhere; empty if nothing speaks against the
	// target but its load.
	AvoidReason string `json:"avoided,omitempty"`
}

// TargetStatuses lists all targets that this host knows, by ID.
func (s *Steerer) TargetStatuses() []TargetStatus {
	list := make([]TargetStatus, 0, len(s.targets.byID))
	for _, t := range s.targets.ordered() {
		flows, bound := s.connectionsAt(t)
		list = append(list, TargetStatus{
			Target: t.ID, Service: t.Service, AvailabilityZone: t.AvailabilityZone, Address: t.Address.String(), Slots: t.Slots,
			Flows: t.flows, Busy: t.pendingRequests + t.halfOpen, PeersBusy: t.peersBusy, Paced: t.queue.Len(), Slowness: s.slowdown(t), AvoidReason: s.avoidReason(t),
			Connections: flows, ConnectionsBound: bound,
		})
	}
	return list
}

// avoidReason says why new flows go elsewhere, the strongest reason first; see
// excluded and load.
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
	case t.believedFull && s.connections.constrained[t.Service] != nil:
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
