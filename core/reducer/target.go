package reducer

import (
	"net/netip"
	"slices"
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/placer"
	"cranberryspan.dev/core/resolver"
	"cranberryspan.dev/core/timekeeper"
)

const (
	// addressQuarantine is how long an address that served one service stays unused
	// before it may serve another: twice the time within which a revision is in
	// force on every host, so that no packet of a host with older settings is still
	// in flight.
	addressQuarantine = 18 * time.Second
	// failedProbesToEject is the number of consecutive failed probes after which a
	// target counts as failing.
	failedProbesToEject = 3
	// failedRequestsToEject is the number of consecutive requests without a
	// response after which a target counts as failing, whatever its probes say.
	failedRequestsToEject = 2
	// responseEvidenceTTL is how long a response to a request overrides failed
	// probes of its target.
	responseEvidenceTTL = 2 * time.Second
	// loadReportTTL is how long the load that a target reports is used.
	loadReportTTL = 2 * time.Second
)

// target is this host's view of a target. Its index in the service's registry
// never changes while the process runs, whatever revisions are applied.
type target struct {
	name    string
	address netip.AddrPort
	policy  resolver.Policy
	// targetSettings is set if the revision in force lists the target.
	listed bool
	// settingsIndex is the target's index in the settings, which identifies it in
	// messages between hosts.
	settingsIndex int
	// quarantineDeadline is when an address that belonged to another service may be
	// used.
	quarantineDeadline timekeeper.Instant
	// warmUpDeadline is when a new target gets its full share of new flows.
	warmUpDeadline timekeeper.Instant
	warmUpDuration time.Duration

	failedProbes             int
	failedRequests           int
	responseEvidenceDeadline timekeeper.Instant
	reportedLoad             int
	loadReportDeadline       timekeeper.Instant
	inFlight                 int
	// serviceTime is the average time from sending a request to its response; zero
	// before the first response.
	serviceTime time.Duration
	// peerLoads holds the number of requests that each other host has in flight at
	// the target.
	peerLoads map[string]peerLoad
	queue     []*request
	// failureReports maps each host that reported failed probes of the target to the
	// time at which its report expires.
	failureReports map[string]timekeeper.Instant
}

type peerLoad struct {
	inFlight int
	deadline timekeeper.Instant
}

// isFailing reports whether probes or requests show that the target fails. Failed
// probes are ignored while the target responds to requests.
func (t *target) isFailing(now timekeeper.Instant) bool {
	if !t.responseEvidenceDeadline.Passed(now) && t.responseEvidenceDeadline != 0 {
		return false
	}
	return t.failedProbes >= failedProbesToEject || t.reportedFailing(now) || t.requestsFailing()
}

// requestsFailing reports whether the target fails to respond to requests.
func (t *target) requestsFailing() bool { return t.failedRequests >= failedRequestsToEject }

// usable reports whether the settings allow new flows on the target.
func (t *target) usable(now timekeeper.Instant) bool {
	return t.listed && t.policy.State == resolver.TargetActive && t.quarantineDeadline.Passed(now)
}

// load estimates the number of requests at the target: those of this host, queued
// ones included, plus those that peers reported recently, or the number that the
// target reports if that is higher.
func (t *target) load(now timekeeper.Instant) int {
	sum := t.inFlight + len(t.queue)
	for _, p := range t.peerLoads {
		if !p.deadline.Passed(now) {
			sum += p.inFlight
		}
	}
	if t.loadReportDeadline.Passed(now) {
		return sum
	}
	// The weight of a report decreases with its age, because part of the work that
	// it counts has ended since.
	remaining := t.loadReportDeadline.Until(now)
	discounted := int(float64(t.reportedLoad) * float64(remaining) / float64(loadReportTTL))
	return max(sum, discounted)
}

// concurrencyLimit returns how many requests this host may have in flight at the
// target.
func (t *target) concurrencyLimit(now timekeeper.Instant) int {
	others := 0
	for _, p := range t.peerLoads {
		if !p.deadline.Passed(now) {
			others += p.inFlight
		}
	}
	// The loads of peers lag behind, so this host may always have one request in
	// flight; the target sheds the excess itself.
	return max(1, t.policy.Slots-others)
}

// service is this host's view of a service.
type service struct {
	settings *resolver.Service
	registry []*target
	byAddr   map[netip.AddrPort]uint16
	// tables are the placement tables, newest first. Older ones locate flows that
	// were placed before the targets changed.
	tables []placementTable
	// nextEjectUpdate is when the cached list of ejected targets is recomputed.
	nextEjectUpdate timekeeper.Instant
	ejected         []bool
	retryTokens     float64
	// retained holds the non-idempotent requests that callers may still retransmit,
	// oldest first.
	retained []*request
}

// placementTable is a lookup table with the registry indexes of its candidates.
type placementTable struct {
	table           *placer.LookupTable
	candidates      []placer.Candidate
	registryIndexes []uint16
	// deadline is when previousTarget stops using a table that was replaced; Never for
	// the current one.
	deadline timekeeper.Instant
}

func (t placementTable) firstChoice(hash uint64) (uint16, bool) {
	ranked := t.table.Lookup(hash)
	if ranked[0] < 0 {
		return 0, false
	}
	return t.registryIndexes[ranked[0]], true
}

const maxTables = 8

// updateService creates or updates a service for a revision.
func (r *Reducer) updateService(old *service, settings *resolver.Service, now timekeeper.Instant) *service {
	s := old
	if s == nil {
		s = &service{byAddr: map[netip.AddrPort]uint16{}}
	}
	first := old == nil
	s.settings = settings
	for _, t := range s.registry {
		t.listed = false
	}
	for i := range settings.Targets {
		r.updateTarget(s, &settings.Targets[i], i, first, now)
	}
	r.updateTable(s, now)
	s.nextEjectUpdate = 0
	return s
}

func (r *Reducer) updateTarget(s *service, targetSettings *resolver.Target, settingsIndex int, firstRevision bool, now timekeeper.Instant) {
	index, ok := s.byAddr[targetSettings.Address]
	if !ok {
		index = uint16(len(s.registry))
		t := &target{address: targetSettings.Address, peerLoads: map[string]peerLoad{}, failureReports: map[string]timekeeper.Instant{}}
		if !firstRevision {
			t.warmUpDuration = targetSettings.Policy.WarmUp
			t.warmUpDeadline = now.Add(t.warmUpDuration)
		}
		s.registry = append(s.registry, t)
		s.byAddr[targetSettings.Address] = index
	}
	t := s.registry[index]
	t.name = targetSettings.Name
	t.policy = targetSettings.Policy
	t.listed = true
	t.settingsIndex = settingsIndex
	t.quarantineDeadline = r.quarantineDeadline(targetSettings.Address, s.settings.ID)
}

// updateTable replaces the placement table of a service if the names, weights or
// addresses of the active targets have changed. Replaced tables are kept for
// previousTarget, up to maxTables in all.
func (r *Reducer) updateTable(s *service, now timekeeper.Instant) {
	var candidates []placer.Candidate
	var registryIndexes []uint16
	for i := range s.settings.Targets {
		listed := &s.settings.Targets[i]
		if listed.Policy.State != resolver.TargetActive {
			continue
		}
		candidates = append(candidates, placer.Candidate{Name: listed.Name, Weight: listed.Policy.Weight})
		registryIndexes = append(registryIndexes, s.byAddr[listed.Address])
	}
	if len(s.tables) > 0 && slices.Equal(s.tables[0].candidates, candidates) && slices.Equal(s.tables[0].registryIndexes, registryIndexes) {
		return
	}
	if len(s.tables) > 0 {
		s.tables[0].deadline = now.Add(s.settings.Policy.FlowIdleTimeout)
	}
	fresh := placementTable{table: placer.NewLookupTable(candidates), candidates: candidates, registryIndexes: registryIndexes, deadline: timekeeper.Never}
	s.tables = append([]placementTable{fresh}, s.tables...)
	if len(s.tables) > maxTables {
		s.tables = s.tables[:maxTables]
	}
	r.dirtyShards = flowShards
}

// quarantineDeadline returns when the service may use the address: zero unless the
// address belonged to another service recently.
//
// Without this, when an address moves from one service to another, a host that
// does not have the new revision yet still sends packets of the old service
// there, and packets sent before the change arrive after it. This shows as
// requests of one service in the log of another.
func (r *Reducer) quarantineDeadline(address netip.AddrPort, id resolver.ServiceID) timekeeper.Instant {
	use, ok := r.addressUses[address]
	if ok && use.service != id {
		use.nextService = id
		r.addressUses[address] = use
		return use.quarantineDeadline
	}
	r.addressUses[address] = addressUse{service: id, quarantineDeadline: timekeeper.Never}
	return 0
}

// addressUse records which service used an address last. quarantineDeadline is when
// the address may serve another service; Never while the service still uses it.
// nextService is the service that uses the address after that; zero if none.
type addressUse struct {
	service            resolver.ServiceID
	quarantineDeadline timekeeper.Instant
	nextService        resolver.ServiceID
}

// releaseAddresses runs before a revision is adopted. It starts the quarantine of
// addresses that their services no longer use, and ends quarantines that have
// expired.
func (r *Reducer) releaseAddresses(next *resolver.Settings, now timekeeper.Instant) {
	used := map[netip.AddrPort]resolver.ServiceID{}
	for i := range next.Services {
		for j := range next.Services[i].Targets {
			used[next.Services[i].Targets[j].Address] = next.Services[i].ID
		}
	}
	for address, use := range r.addressUses {
		if use.nextService != 0 && use.quarantineDeadline.Passed(now) {
			use = addressUse{service: use.nextService, quarantineDeadline: timekeeper.Never}
			r.addressUses[address] = use
		}
		id, inUse := used[address]
		switch {
		case use.quarantineDeadline == timekeeper.Never && (!inUse || id != use.service):
			use.quarantineDeadline = now.Add(addressQuarantine)
			r.addressUses[address] = use
		case use.quarantineDeadline.Passed(now):
			delete(r.addressUses, address)
		}
	}
}

// ejectedTargets returns, by registry index, which targets are ejected. Failed
// probes eject at most MaxEjectedFraction of the listed targets, so that health
// endpoints that fail together can't leave a service without targets. Targets that
// do not respond to requests are ejected without that limit, because a partition may
// cut off all of them.
func (s *service) ejectedTargets(now timekeeper.Instant) []bool {
	const updateInterval = 100 * time.Millisecond
	if !s.nextEjectUpdate.Passed(now) {
		return s.ejected
	}
	s.nextEjectUpdate = now.Add(updateInterval)
	s.ejected = make([]bool, len(s.registry))
	listedCount, ejectedCount := 0, 0
	for _, t := range s.registry {
		if t.listed {
			listedCount++
		}
	}
	maxEjected := int(float64(listedCount) * s.settings.Policy.MaxEjectedFraction)
	for i, t := range s.registry {
		switch {
		case !t.listed || !t.isFailing(now):
		case t.requestsFailing():
			s.ejected[i] = true
		case ejectedCount < maxEjected:
			s.ejected[i] = true
			ejectedCount++
		}
	}
	return s.ejected
}

// choose selects the target of a new flow. avoid is a target that was tried
// already, or noTarget.
//
// The flow goes to the first candidate of its table entry, unless that one is full
// and the second candidate is less loaded. Two choices balance the load, and
// taking the second one only when needed keeps exceptions rare: flows whose target
// the table does not give, so that only their owner knows it.
func (s *service) choose(hash uint64, avoid uint16, now timekeeper.Instant) (index uint16, ok bool) {
	if len(s.tables) == 0 {
		return noTarget, false
	}
	ejected := s.ejectedTargets(now)
	ranked := s.tables[0].table.Lookup(hash)
	best := uint16(noTarget)
	for _, candidate := range ranked {
		if candidate < 0 {
			break
		}
		registryIndex := s.tables[0].registryIndexes[candidate]
		t := s.registry[registryIndex]
		if registryIndex == avoid || !t.usable(now) || ejected[registryIndex] || s.skipDuringWarmUp(t, hash, now) {
			continue
		}
		if best == noTarget {
			best = registryIndex
			if t.load(now) < t.policy.Slots {
				return registryIndex, true
			}
			continue
		}
		if t.load(now) < s.registry[best].load(now) {
			return registryIndex, true
		}
		return best, true
	}
	if best != noTarget {
		return best, true
	}
	return s.chooseAny(hash, avoid, ejected, now)
}

// skipDuringWarmUp reports whether a new flow passes over a target that is warming
// up. The fraction of flows that the target receives rises linearly to 1 at its
// deadline, and is at least 0.1, so that it gets enough work to warm up.
func (s *service) skipDuringWarmUp(t *target, hash uint64, now timekeeper.Instant) bool {
	if t.warmUpDuration == 0 || t.warmUpDeadline.Passed(now) {
		return false
	}
	fraction := 1 - float64(t.warmUpDeadline.Until(now))/float64(t.warmUpDuration)
	fraction = max(fraction, 0.1)
	return float64(uint16(hash>>20))/(1<<16) > fraction
}

// chooseAny returns the first usable target of the registry, starting at an index
// that depends on the flow. If all usable targets are ejected, it returns an
// ejected one, since a target that may fail is better than none.
func (s *service) chooseAny(hash uint64, avoid uint16, ejected []bool, now timekeeper.Instant) (uint16, bool) {
	n := len(s.registry)
	for _, allowEjected := range []bool{false, true} {
		for i := range n {
			index := uint16((uint64(i) + hash>>8) % uint64(n))
			if index != avoid && s.registry[index].usable(now) && (allowEjected || !ejected[index]) {
				return index, true
			}
		}
	}
	return noTarget, false
}

// previousTarget returns the target of a flow that has no record: the one that an
// earlier table gave it, if the table has not expired and the target is still
// listed, or else the one that the current table gives.
func (s *service) previousTarget(hash uint64, now timekeeper.Instant) (uint16, bool) {
	for i := 1; i < len(s.tables); i++ {
		if s.tables[i].deadline.Passed(now) {
			break
		}
		if index, ok := s.tables[i].firstChoice(hash); ok && s.registry[index].listed {
			return index, true
		}
	}
	if index, ok := s.tables[0].firstChoice(hash); ok && s.registry[index].listed {
		return index, true
	}
	return noTarget, false
}

// acceptsResponsesFrom reports whether an address belongs to a target of the
// service, or did until recently.
func (s *service) acceptsResponsesFrom(address netip.AddrPort, addressUses map[netip.AddrPort]addressUse) bool {
	index, ok := s.byAddr[address]
	if !ok {
		return false
	}
	return s.registry[index].listed || addressUses[address].service == s.settings.ID
}

// updatePeerLoads records the loads that a peer reports.
func (r *Reducer) updatePeerLoads(from string, loads map[uint32]uint16, now timekeeper.Instant) {
	for key, n := range loads {
		s, ok := r.services[resolver.ServiceID(key>>16)]
		settingsIndex := int(uint16(key))
		if !ok || settingsIndex >= len(s.settings.Targets) {
			continue
		}
		index := s.byAddr[s.settings.Targets[settingsIndex].Address]
		s.registry[index].peerLoads[from] = peerLoad{inFlight: int(n), deadline: now.Add(time.Second)}
	}
}

// inFlightLoads returns the number of this host's in-flight requests by target,
// for at most maxLoads targets.
func (r *Reducer) inFlightLoads() map[uint32]uint16 {
	const maxLoads = 32
	loads := map[uint32]uint16{}
	for _, id := range r.serviceIDs {
		s := r.services[id]
		for _, t := range s.registry {
			if t.listed && t.inFlight > 0 && len(loads) < maxLoads {
				loads[messenger.TargetKey(id, t.settingsIndex)] = uint16(min(t.inFlight, 0xffff))
			}
		}
	}
	return loads
}
