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
	// addressQuarantine is how long an address that served one service rests
	// before it serves another: twice the time within which a revision is in
	// force everywhere, so that no packet of a host that lags is still under way.
	addressQuarantine = 18 * time.Second
	// failedProbesToEject is how many probes in a row a target must fail.
	failedProbesToEject = 3
	// failedRequestsToEject is how many requests in a row must go unanswered
	// before traffic itself speaks against a target.
	failedRequestsToEject = 2
	// responseEvidenceTTL is how long an answer speaks for a target whose health
	// endpoint says otherwise.
	responseEvidenceTTL = 2 * time.Second
	// loadReportTTL is how long a reported load counts at all.
	loadReportTTL = 2 * time.Second
)

// target is a target as this host sees it. Its place in the registry stays the
// same for the life of the host, whatever revisions come.
type target struct {
	name    string
	address netip.AddrPort
	policy  resolver.Policy
	// listed says that the revision in force lists the target.
	listed bool
	// settingsIndex is its index in the settings' list, for reports among hosts.
	settingsIndex int
	// quarantineDeadline is when an address that came from another service may be used.
	quarantineDeadline timekeeper.Instant
	// warmUpDeadline is when a new target has its full share.
	warmUpDeadline timekeeper.Instant
	warmUpDuration time.Duration

	failedProbes       int
	failedRequests     int
	answerDeadline     timekeeper.Instant
	reportedLoad       int
	loadReportDeadline timekeeper.Instant
	inFlight           int
	serviceTime        time.Duration
	// peerLoads holds what other hosts have in flight at the target.
	peerLoads map[string]peerLoad
	queue     []*request
	// failureReports are the hosts whose probes fail, with the time until which their
	// word holds.
	failureReports map[string]timekeeper.Instant
}

type peerLoad struct {
	inFlight int
	deadline timekeeper.Instant
}

// isFailing reports whether health speaks against the target. A health endpoint
// that fails while requests are being answered is not believed.
func (t *target) isFailing(now timekeeper.Instant) bool {
	if !t.answerDeadline.Passed(now) && t.answerDeadline != 0 {
		return false
	}
	return t.failedProbes >= failedProbesToEject || t.reportedFailing(now) || t.requestsFailing()
}

// requestsFailing reports whether requests themselves speak against the target.
func (t *target) requestsFailing() bool { return t.failedRequests >= failedRequestsToEject }

// usable reports whether new work may go to the target at all.
func (t *target) usable(now timekeeper.Instant) bool {
	return t.listed && t.policy.State == resolver.TargetActive && t.quarantineDeadline.Passed(now)
}

// load estimates the requests at the target: what this host knows exactly, what
// peers said lately, or what the target reports if that is more.
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
	// An older report counts less: it describes work that has since ended.
	remaining := t.loadReportDeadline.Until(now)
	discounted := int(float64(t.reportedLoad) * float64(remaining) / float64(loadReportTTL))
	return max(sum, discounted)
}

// concurrencyLimit is how many requests this host may have in flight at the target.
func (t *target) concurrencyLimit(now timekeeper.Instant) int {
	others := 0
	for _, p := range t.peerLoads {
		if !p.deadline.Passed(now) {
			others += p.inFlight
		}
	}
	// Peers' figures lag, so that a host never stops for their sake entirely:
	// the target itself sheds what is too much.
	return max(1, t.policy.Slots-others)
}

// service is a service as this host sees it.
type service struct {
	settings *resolver.Service
	registry []*target
	byAddr   map[netip.AddrPort]uint16
	// tables are the placement tables, the current one first.
	tables []placementTable
	// nextEjectUpdate is when the cached list of ejected targets is made anew.
	nextEjectUpdate timekeeper.Instant
	ejected         []bool
	retryTokens     float64
	// retained holds requests that may be repeated, oldest first.
	retained []*request
}

// placementTable is a placement table with the registry places of its candidates.
type placementTable struct {
	table           *placer.LookupTable
	candidates      []placer.Candidate
	registryIndexes []uint16
	deadline        timekeeper.Instant
}

func (t placementTable) firstChoice(hash uint64) (uint16, bool) {
	ranked := t.table.Lookup(hash)
	if ranked[0] < 0 {
		return 0, false
	}
	return t.registryIndexes[ranked[0]], true
}

const maxTables = 8

// newService makes or renews a service for a revision.
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

func (r *Reducer) updateTarget(s *service, listed *resolver.Target, settingsIndex int, firstRevision bool, now timekeeper.Instant) {
	index, ok := s.byAddr[listed.Address]
	if !ok {
		index = uint16(len(s.registry))
		t := &target{address: listed.Address, peerLoads: map[string]peerLoad{}, failureReports: map[string]timekeeper.Instant{}}
		if !firstRevision {
			t.warmUpDuration = listed.Policy.WarmUp
			t.warmUpDeadline = now.Add(t.warmUpDuration)
		}
		s.registry = append(s.registry, t)
		s.byAddr[listed.Address] = index
	}
	t := s.registry[index]
	t.name = listed.Name
	t.policy = listed.Policy
	t.listed = true
	t.settingsIndex = settingsIndex
	t.quarantineDeadline = r.quarantineDeadline(listed.Address, s.settings.ID)
}

func (r *Reducer) updateTable(s *service, now timekeeper.Instant) {
	var candidates []placer.Candidate
	var places []uint16
	for i := range s.settings.Targets {
		listed := &s.settings.Targets[i]
		if listed.Policy.State != resolver.TargetActive {
			continue
		}
		candidates = append(candidates, placer.Candidate{Name: listed.Name, Weight: listed.Policy.Weight})
		places = append(places, s.byAddr[listed.Address])
	}
	if len(s.tables) > 0 && slices.Equal(s.tables[0].candidates, candidates) && slices.Equal(s.tables[0].registryIndexes, places) {
		return
	}
	if len(s.tables) > 0 {
		s.tables[0].deadline = now.Add(s.settings.Policy.FlowIdleTimeout)
	}
	fresh := placementTable{table: placer.NewLookupTable(candidates), candidates: candidates, registryIndexes: places, deadline: timekeeper.Never}
	s.tables = append([]placementTable{fresh}, s.tables...)
	if len(s.tables) > maxTables {
		s.tables = s.tables[:maxTables]
	}
	r.dirtyShards = flowShards
}

// quarantineDeadline looks whether an address belonged to another service of late.
//
// What goes wrong without it: an address moves from intake to ledger. A host
// that has not heard of it still sends intake's packets there, and a packet
// that left before the change arrives after it. One notices by requests of one
// service in another one's log. So the address rests before it is used again.
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

// addressUse is the service that used an address last. deadline is when it has
// rested since; Never while the service uses it. next is the service that uses it
// from then on, if any.
type addressUse struct {
	service            resolver.ServiceID
	quarantineDeadline timekeeper.Instant
	nextService        resolver.ServiceID
}

// releaseAddresses notes, before a revision comes into force, which addresses
// its services no longer use, and lets rested ones go.
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

// ejectedTargets computes which targets health excludes, at most MaxEjectedShare of them
// unless requests themselves fail: health endpoints that lie together must not
// empty a service, but targets behind a partition may all be gone.
func (s *service) ejectedTargets(now timekeeper.Instant) []bool {
	const updateInterval = 100 * time.Millisecond
	if !s.nextEjectUpdate.Passed(now) {
		return s.ejected
	}
	s.nextEjectUpdate = now.Add(updateInterval)
	s.ejected = make([]bool, len(s.registry))
	present, ejectedCount := 0, 0
	for _, t := range s.registry {
		if t.listed {
			present++
		}
	}
	maxEjected := int(float64(present) * s.settings.Policy.MaxEjectedShare)
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

// choose picks the target of a new flow. avoid is a target that was tried
// already, or noTarget.
//
// The first candidate of the slot gets the flow unless it is full and the
// second one has room: two choices even out load, and the condition keeps flows
// that only their owner can find rare.
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
		place := s.tables[0].registryIndexes[candidate]
		t := s.registry[place]
		if place == avoid || !t.usable(now) || ejected[place] || s.skipDuringWarmUp(t, hash, now) {
			continue
		}
		if best == noTarget {
			best = place
			if t.load(now) < t.policy.Slots {
				return place, true
			}
			continue
		}
		if t.load(now) < s.registry[best].load(now) {
			return place, true
		}
		return best, true
	}
	if best != noTarget {
		return best, true
	}
	return s.chooseAny(hash, avoid, ejected, now)
}

// skipDuringWarmUp keeps a share of new flows away from a target that is warming up: the
// share shrinks as its deadline comes near. It starts at a tenth, so that the
// target gets the work that warms it.
func (s *service) skipDuringWarmUp(t *target, hash uint64, now timekeeper.Instant) bool {
	if t.warmUpDuration == 0 || t.warmUpDeadline.Passed(now) {
		return false
	}
	share := 1 - float64(t.warmUpDeadline.Until(now))/float64(t.warmUpDuration)
	share = max(share, 0.1)
	return float64(uint16(hash>>20))/(1<<16) > share
}

// chooseAny takes the first usable target, walking from a place that depends on
// the flow; if health excludes all, it takes one of those: a target that may be
// ill is better than none.
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

// previousTarget returns where a flow that nobody remembers was put before the last
// changes of the table, if that target is still there.
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

// acceptsResponsesFrom reports whether an address is, or was until lately, a target's.
func (s *service) acceptsResponsesFrom(address netip.AddrPort, use map[netip.AddrPort]addressUse) bool {
	index, ok := s.byAddr[address]
	if !ok {
		return false
	}
	return s.registry[index].listed || use[address].service == s.settings.ID
}

// updatePeerLoads takes over what a peer has in flight.
func (r *Reducer) updatePeerLoads(from string, loads map[uint32]uint16, now timekeeper.Instant) {
	for key, n := range loads {
		s, ok := r.services[resolver.ServiceID(key>>16)]
		place := int(uint16(key))
		if !ok || place >= len(s.settings.Targets) {
			continue
		}
		index := s.byAddr[s.settings.Targets[place].Address]
		s.registry[index].peerLoads[from] = peerLoad{inFlight: int(n), deadline: now.Add(time.Second)}
	}
}

// inFlightLoads lists what this host has in flight, the largest loads first cut.
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
