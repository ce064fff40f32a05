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
	// failedRequestsToDoubt is how many requests in a row must go unanswered
	// before traffic itself speaks against a target.
	failedRequestsToDoubt = 2
	// evidenceSpan is how long an answer speaks for a target whose health
	// endpoint says otherwise.
	evidenceSpan = 2 * time.Second
	// loadSpan is how long a reported load counts at all.
	loadSpan = 2 * time.Second
)

// target is a target as this host sees it. Its place in the registry stays the
// same for the life of the host, whatever revisions come.
type target struct {
	name    string
	address netip.AddrPort
	policy  resolver.Policy
	// present says that the revision in force lists the target.
	present bool
	// place is its index in the settings' list, for reports among hosts.
	place int
	// restDeadline is when an address that came from another service may be used.
	restDeadline timekeeper.Instant
	// warmDeadline is when a new target has its full share.
	warmDeadline timekeeper.Instant
	warmSpan     time.Duration

	failedProbes   int
	failedRequests int
	answerDeadline timekeeper.Instant
	reported       int
	reportDeadline timekeeper.Instant
	inFlight       int
	serviceTime    time.Duration
	// peers holds what other hosts have in flight at the target.
	peers map[string]peerLoad
	queue []*request
	// accusers are the hosts whose probes fail, with the time until which their
	// word holds.
	accusers map[string]timekeeper.Instant
}

type peerLoad struct {
	inFlight int
	deadline timekeeper.Instant
}

// failing reports whether health speaks against the target. A health endpoint
// that fails while requests are being answered is not believed.
func (t *target) failing(now timekeeper.Instant) bool {
	if !t.answerDeadline.Passed(now) && t.answerDeadline != 0 {
		return false
	}
	return t.failedProbes >= failedProbesToEject || t.accused(now) || t.doubted()
}

// doubted reports whether requests themselves speak against the target.
func (t *target) doubted() bool { return t.failedRequests >= failedRequestsToDoubt }

// usable reports whether new work may go to the target at all.
func (t *target) usable(now timekeeper.Instant) bool {
	return t.present && t.policy.State == resolver.TargetActive && t.restDeadline.Passed(now)
}

// load estimates the requests at the target: what this host knows exactly, what
// peers said lately, or what the target reports if that is more.
func (t *target) load(now timekeeper.Instant) int {
	sum := t.inFlight + len(t.queue)
	for _, p := range t.peers {
		if !p.deadline.Passed(now) {
			sum += p.inFlight
		}
	}
	if t.reportDeadline.Passed(now) {
		return sum
	}
	// An older report counts less: it describes work that has since ended.
	left := t.reportDeadline.Until(now)
	discounted := int(float64(t.reported) * float64(left) / float64(loadSpan))
	return max(sum, discounted)
}

// room is how many requests this host may have in flight at the target.
func (t *target) room(now timekeeper.Instant) int {
	others := 0
	for _, p := range t.peers {
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
	tables []datedTable
	// ejectDeadline is when the cached list of ejected targets is made anew.
	ejectDeadline timekeeper.Instant
	ejected       []bool
	retryTokens   float64
	// forget holds requests that may be repeated, oldest first.
	forget []*request
}

// datedTable is a placement table with the registry places of its candidates.
type datedTable struct {
	table      *placer.LookupTable
	candidates []placer.Candidate
	places     []uint16
	deadline   timekeeper.Instant
}

func (t datedTable) first(hash uint64) (uint16, bool) {
	ranked := t.table.Lookup(hash)
	if ranked[0] < 0 {
		return 0, false
	}
	return t.places[ranked[0]], true
}

const maxTables = 8

// newService makes or renews a service for a revision.
func (r *Reducer) renewService(old *service, settings *resolver.Service, now timekeeper.Instant) *service {
	s := old
	if s == nil {
		s = &service{byAddr: map[netip.AddrPort]uint16{}}
	}
	first := old == nil
	s.settings = settings
	for _, t := range s.registry {
		t.present = false
	}
	for i := range settings.Targets {
		r.renewTarget(s, &settings.Targets[i], i, first, now)
	}
	r.renewTable(s, now)
	s.ejectDeadline = 0
	return s
}

func (r *Reducer) renewTarget(s *service, listed *resolver.Target, place int, firstRevision bool, now timekeeper.Instant) {
	at, ok := s.byAddr[listed.Address]
	if !ok {
		at = uint16(len(s.registry))
		t := &target{address: listed.Address, peers: map[string]peerLoad{}, accusers: map[string]timekeeper.Instant{}}
		if !firstRevision {
			t.warmSpan = listed.Policy.WarmUp
			t.warmDeadline = now.Add(t.warmSpan)
		}
		s.registry = append(s.registry, t)
		s.byAddr[listed.Address] = at
	}
	t := s.registry[at]
	t.name = listed.Name
	t.policy = listed.Policy
	t.present = true
	t.place = place
	t.restDeadline = r.restDeadline(listed.Address, s.settings.ID)
}

func (r *Reducer) renewTable(s *service, now timekeeper.Instant) {
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
	if len(s.tables) > 0 && slices.Equal(s.tables[0].candidates, candidates) && slices.Equal(s.tables[0].places, places) {
		return
	}
	if len(s.tables) > 0 {
		s.tables[0].deadline = now.Add(s.settings.Policy.FlowIdleTimeout)
	}
	fresh := datedTable{table: placer.NewLookupTable(candidates), candidates: candidates, places: places, deadline: timekeeper.Never}
	s.tables = append([]datedTable{fresh}, s.tables...)
	if len(s.tables) > maxTables {
		s.tables = s.tables[:maxTables]
	}
	r.dirtyShards = flowShards
}

// restDeadline looks whether an address belonged to another service of late.
//
// What goes wrong without it: an address moves from intake to ledger. A host
// that has not heard of it still sends intake's packets there, and a packet
// that left before the change arrives after it. One notices by requests of one
// service in another one's log. So the address rests before it is used again.
func (r *Reducer) restDeadline(address netip.AddrPort, id resolver.ServiceID) timekeeper.Instant {
	use, ok := r.lastUse[address]
	if ok && use.service != id {
		use.next = id
		r.lastUse[address] = use
		return use.deadline
	}
	r.lastUse[address] = addressUse{service: id, deadline: timekeeper.Never}
	return 0
}

// addressUse is the service that used an address last. deadline is when it has
// rested since; Never while the service uses it. next is the service that uses it
// from then on, if any.
type addressUse struct {
	service  resolver.ServiceID
	deadline timekeeper.Instant
	next     resolver.ServiceID
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
	for address, use := range r.lastUse {
		if use.next != 0 && use.deadline.Passed(now) {
			use = addressUse{service: use.next, deadline: timekeeper.Never}
			r.lastUse[address] = use
		}
		id, still := used[address]
		switch {
		case use.deadline == timekeeper.Never && (!still || id != use.service):
			use.deadline = now.Add(addressQuarantine)
			r.lastUse[address] = use
		case use.deadline.Passed(now):
			delete(r.lastUse, address)
		}
	}
}

// eject computes which targets health excludes, at most MaxEjectedShare of them
// unless requests themselves fail: health endpoints that lie together must not
// empty a service, but targets behind a partition may all be gone.
func (s *service) eject(now timekeeper.Instant) []bool {
	const renewEvery = 100 * time.Millisecond
	if !s.ejectDeadline.Passed(now) {
		return s.ejected
	}
	s.ejectDeadline = now.Add(renewEvery)
	s.ejected = make([]bool, len(s.registry))
	present, excluded := 0, 0
	for _, t := range s.registry {
		if t.present {
			present++
		}
	}
	most := int(float64(present) * s.settings.Policy.MaxEjectedShare)
	for i, t := range s.registry {
		switch {
		case !t.present || !t.failing(now):
		case t.doubted():
			s.ejected[i] = true
		case excluded < most:
			s.ejected[i] = true
			excluded++
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
func (s *service) choose(hash uint64, avoid uint16, now timekeeper.Instant) (at uint16, ok bool) {
	if len(s.tables) == 0 {
		return noTarget, false
	}
	ejected := s.eject(now)
	ranked := s.tables[0].table.Lookup(hash)
	best := uint16(noTarget)
	for _, candidate := range ranked {
		if candidate < 0 {
			break
		}
		place := s.tables[0].places[candidate]
		t := s.registry[place]
		if place == avoid || !t.usable(now) || ejected[place] || s.tooCold(t, hash, now) {
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

// tooCold keeps a share of new flows away from a target that is warming up: the
// share shrinks as its deadline comes near. It starts at a tenth, so that the
// target gets the work that warms it.
func (s *service) tooCold(t *target, hash uint64, now timekeeper.Instant) bool {
	if t.warmSpan == 0 || t.warmDeadline.Passed(now) {
		return false
	}
	share := 1 - float64(t.warmDeadline.Until(now))/float64(t.warmSpan)
	share = max(share, 0.1)
	return float64(uint16(hash>>20))/(1<<16) > share
}

// chooseAny takes the first usable target, walking from a place that depends on
// the flow; if health excludes all, it takes one of those: a target that may be
// ill is better than none.
func (s *service) chooseAny(hash uint64, avoid uint16, ejected []bool, now timekeeper.Instant) (uint16, bool) {
	n := len(s.registry)
	for _, mayBeIll := range []bool{false, true} {
		for i := range n {
			at := uint16((uint64(i) + hash>>8) % uint64(n))
			if at != avoid && s.registry[at].usable(now) && (mayBeIll || !ejected[at]) {
				return at, true
			}
		}
	}
	return noTarget, false
}

// earlier returns where a flow that nobody remembers was put before the last
// changes of the table, if that target is still there.
func (s *service) earlier(hash uint64, now timekeeper.Instant) (uint16, bool) {
	for i := 1; i < len(s.tables); i++ {
		if s.tables[i].deadline.Passed(now) {
			break
		}
		if at, ok := s.tables[i].first(hash); ok && s.registry[at].present {
			return at, true
		}
	}
	if at, ok := s.tables[0].first(hash); ok && s.registry[at].present {
		return at, true
	}
	return noTarget, false
}

// knows reports whether an address is, or was until lately, a target's.
func (s *service) knows(address netip.AddrPort, use map[netip.AddrPort]addressUse) bool {
	at, ok := s.byAddr[address]
	if !ok {
		return false
	}
	return s.registry[at].present || use[address].service == s.settings.ID
}

// noteLoads takes over what a peer has in flight.
func (r *Reducer) noteLoads(from string, loads map[uint32]uint16, now timekeeper.Instant) {
	for key, n := range loads {
		s, ok := r.services[resolver.ServiceID(key>>16)]
		place := int(uint16(key))
		if !ok || place >= len(s.settings.Targets) {
			continue
		}
		at := s.byAddr[s.settings.Targets[place].Address]
		s.registry[at].peers[from] = peerLoad{inFlight: int(n), deadline: now.Add(time.Second)}
	}
}

// ownLoads lists what this host has in flight, the largest loads first cut.
func (r *Reducer) ownLoads() map[uint32]uint16 {
	const most = 32
	loads := map[uint32]uint16{}
	for _, id := range r.serviceIDs {
		s := r.services[id]
		for _, t := range s.registry {
			if t.present && t.inFlight > 0 && len(loads) < most {
				loads[messenger.TargetKey(id, t.place)] = uint16(min(t.inFlight, 0xffff))
			}
		}
	}
	return loads
}
