package reducer

import (
	"cmp"
	"net/netip"
	"slices"

	"cranberryspan.dev/core/placer"
	"cranberryspan.dev/core/resolver"
)

// Snapshot is an immutable copy of a host's state for operators.
type Snapshot struct {
	Host             string            `json:"host"`
	AvailabilityZone string            `json:"availabilityZone"`
	Cell             string            `json:"cell"`
	Phase            string            `json:"phase"`
	Ready            bool              `json:"ready"`
	Quorum           bool              `json:"quorum"`
	Revision         uint64            `json:"revision"`
	RejectedRevision uint64            `json:"rejectedRevision"`
	Watching         bool              `json:"watching"`
	Flows            int               `json:"flows"`
	Requests         int               `json:"requests"`
	Held             int               `json:"held"`
	Peers            []PeerStatus      `json:"peers"`
	Services         []ServiceStatus   `json:"services"`
	Counts           map[string]uint64 `json:"counts"`
}

// PeerStatus is this host's view of another host.
type PeerStatus struct {
	Host          string `json:"host"`
	Liveness      string `json:"liveness"`
	Phase         string `json:"phase"`
	Revision      uint64 `json:"revision"`
	ConfirmedDead bool   `json:"denied"`
}

// ServiceStatus is this host's view of a service.
type ServiceStatus struct {
	Service string         `json:"service"`
	Tenant  string         `json:"tenant"`
	Targets []TargetStatus `json:"targets"`
}

// TargetStatus is this host's view of a target.
type TargetStatus struct {
	Target       string `json:"target"`
	Address      string `json:"address"`
	State        string `json:"state"`
	Ejected      bool   `json:"ejected"`
	InFlight     int    `json:"inFlight"`
	Queued       int    `json:"queued"`
	ReportedLoad int    `json:"reported"`
}

// Snapshot returns the host's current state for operators.
func (r *Reducer) Snapshot() Snapshot {
	s := Snapshot{
		Host:             r.self,
		Cell:             r.localCell,
		Phase:            r.detector.Phase().String(),
		Ready:            r.Ready(),
		Quorum:           r.detector.HasQuorum(r.now),
		Revision:         r.Revision(),
		RejectedRevision: r.rejectedRevision,
		Watching:         r.watching,
		Flows:            r.flows.size,
		Requests:         len(r.requests),
		Held:             len(r.heldPackets),
		Counts:           make(map[string]uint64, numReasons),
	}
	if r.settings != nil {
		host, _ := r.settings.HostByName(r.self)
		s.AvailabilityZone = host.AvailabilityZone
	}
	for _, reason := range Reasons() {
		s.Counts[reason.String()] = r.counts[reason]
	}
	for _, name := range r.detector.Others() {
		state := r.detector.State(name)
		s.Peers = append(s.Peers, PeerStatus{
			Host:          name,
			Liveness:      state.Liveness.String(),
			Phase:         state.Phase.String(),
			Revision:      state.Revision,
			ConfirmedDead: r.detector.InCell(name) && r.detector.ConfirmedDead(name),
		})
	}
	for _, id := range r.serviceIDs {
		s.Services = append(s.Services, r.services[id].status(r))
	}
	return s
}

func (s *service) status(r *Reducer) ServiceStatus {
	status := ServiceStatus{Service: s.settings.Name, Tenant: s.settings.Tenant}
	ejected := s.ejectedTargets(r.now)
	for i, t := range s.registry {
		if !t.listed {
			continue
		}
		status.Targets = append(status.Targets, TargetStatus{
			Target:       t.name,
			Address:      t.address.String(),
			State:        t.policy.State.String(),
			Ejected:      ejected[i],
			InFlight:     t.inFlight,
			Queued:       len(t.queue),
			ReportedLoad: t.reportedLoad,
		})
	}
	return status
}

// FlowStatus is a flow in this host's flow table.
type FlowStatus struct {
	Caller    netip.AddrPort `json:"caller"`
	Service   string         `json:"service"`
	Target    string         `json:"target"`
	LongLived bool           `json:"long"`
	// Exception is set if the flow's target differs from the one that the current
	// placement table gives.
	Exception bool   `json:"exception"`
	Owner     string `json:"owner"`
}

// Flows lists at most limit flows, sorted by key. If there are more, it lists flows of
// the first shards.
func (r *Reducer) Flows(limit int) []FlowStatus {
	type entry struct {
		key  resolver.FlowKey
		flow flow
	}
	var entries []entry
	for shard := 0; shard < flowShards && len(entries) < limit; shard++ {
		for key, f := range r.flows.shards[shard] {
			entries = append(entries, entry{key: key, flow: f})
		}
	}
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Compare(a.key, b.key) })
	entries = entries[:min(limit, len(entries))]
	list := make([]FlowStatus, 0, len(entries))
	for _, e := range entries {
		s := r.services[e.key.Service()]
		if s == nil {
			continue
		}
		owner, _ := r.ownerOf(placer.BucketOf(placer.Hash(e.key)), true)
		list = append(list, FlowStatus{
			Caller:    e.key.Caller(),
			Service:   s.settings.Name,
			Target:    s.registry[e.flow.target].name,
			LongLived: e.flow.flags&flowLongLived != 0,
			Exception: e.flow.flags&flowException != 0,
			Owner:     owner,
		})
	}
	return list
}

// TargetOf returns the target that the flow table gives for a flow, and whether the
// table has the flow.
func (r *Reducer) TargetOf(key resolver.FlowKey) (netip.AddrPort, bool) {
	f, ok := r.flows.get(key, placer.Hash(key))
	s := r.services[key.Service()]
	if !ok || s == nil {
		return netip.AddrPort{}, false
	}
	return s.registry[f.target].address, true
}

// Owner returns the host that this host considers the owner of a flow.
func (r *Reducer) Owner(key resolver.FlowKey) string {
	owner, _ := r.ownerOf(placer.BucketOf(placer.Hash(key)), true)
	return owner
}
