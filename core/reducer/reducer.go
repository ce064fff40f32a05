// Package reducer takes every decision of a host. It is one pure function over
// events: Reduce reads an event, changes the reducer's own state, and returns
// what has to be done as data. It knows no clock, socket or goroutine, so a
// test or a foreign harness drives any number of reducers in one process.
//
// The state falls into parts, each with files of its own: settings in force
// (adoption.go), who owns a flow (route.go), where a flow goes (target.go,
// flow.go, pinning.go, exceptions.go, health.go), requests on their way
// (request.go, dispatch.go, answer.go, refusal.go, hold.go), the identities that
// make at-most-once hold (witness.go, permission.go, isolation.go), and joining
// and leaving (joining.go, handover.go, leaving.go). Package detector keeps the
// leases.
package reducer

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"cranberryspan.dev/core/detector"
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/placer"
	"cranberryspan.dev/core/recorder"
	"cranberryspan.dev/core/resolver"
	"cranberryspan.dev/core/timekeeper"
)

// TickEvery is how often a host sends Tick events.
const TickEvery = 20 * time.Millisecond

// Config is what a reducer needs to know of its host.
type Config struct {
	// Self is the host's name in the settings tree.
	Self string
	// Incarnation is higher than at any earlier start of the same host.
	Incarnation uint64
	// Seed makes every random choice repeatable.
	Seed uint64
	// Timing of failure detection; see detector.DefaultTiming.
	Timing detector.Timing
	// Seeds names hosts that may be asked for settings while the platform does
	// not answer; empty if none are known.
	Seeds []string
	// Start is the present time.
	Start timekeeper.Instant
}

// Reducer is the state of one host. It is not safe for concurrent use.
type Reducer struct {
	self      string
	now       timekeeper.Instant
	startedAt timekeeper.Instant
	random    *rand.Rand

	settings *resolver.Settings
	document []byte
	// compressedDocument is the document of compressedRevision, as peers get it.
	compressedDocument []byte
	compressedRevision uint64
	rejected           uint64
	ownCell            string
	cells              placer.CellMap
	cellSizes          map[string]int
	rankers            map[string]placer.Ranker
	// movedDeadline is until when requests from before a change of home cells
	// may be repeated; earlierCells tells which buckets moved.
	movedDeadline timekeeper.Instant
	earlierCells  placer.CellMap

	detector   *detector.Detector
	services   map[resolver.ServiceID]*service
	serviceIDs []resolver.ServiceID
	lastUse    map[netip.AddrPort]addressUse
	// listedLeaving names hosts that the platform's list says are leaving.
	listedLeaving map[string]bool

	flows       *flowTable
	dirtyShards int

	requests map[uint64]*request
	byToken  map[tokenKey]*request
	active   []*request
	spare    []*request
	// tenantLoad counts the requests under way by tenant.
	tenantLoad map[string]int
	seeds      []string
	held       []heldPacket
	heldIDs    map[uint64]bool

	identities    identitySet
	witnessed     witnessedSet
	witnessLinks  map[string]*witnessLink
	joining       joining
	handovers     map[string]*handoverOut
	sessions      uint64
	handedTo      map[string]uint64
	leavingFrom   map[string]uint64
	refusedBy     map[string]uint64
	tookVotes     map[string]handoverMark
	steppedDown   bool
	shutdown      bool
	leftDeadline  timekeeper.Instant
	ended         bool
	watching      bool
	askedDeadline timekeeper.Instant
	prober        prober
	copyTokens    float64
	powerless     timekeeper.Instant
	isolation     isolation
	loadsDeadline map[string]timekeeper.Instant

	counts   [numReasons]uint64
	effects  []Effect
	toTarget []ToTarget
	toCaller []ToCaller
	toPeer   []ToPeer
	forward  []messenger.Forward
}

// New makes the reducer of a host that has just started and knows nothing.
func New(config Config) *Reducer {
	r := &Reducer{
		self:          config.Self,
		now:           config.Start,
		startedAt:     config.Start,
		seeds:         config.Seeds,
		random:        rand.New(rand.NewPCG(config.Seed, config.Incarnation)),
		rankers:       map[string]placer.Ranker{},
		services:      map[resolver.ServiceID]*service{},
		lastUse:       map[netip.AddrPort]addressUse{},
		listedLeaving: map[string]bool{},
		flows:         newFlowTable(),
		requests:      map[uint64]*request{},
		byToken:       map[tokenKey]*request{},
		tenantLoad:    map[string]int{},
		heldIDs:       map[uint64]bool{},
		identities:    newIdentitySet(),
		witnessLinks:  map[string]*witnessLink{},
		handovers:     map[string]*handoverOut{},
		handedTo:      map[string]uint64{},
		leavingFrom:   map[string]uint64{},
		refusedBy:     map[string]uint64{},
		tookVotes:     map[string]handoverMark{},
		loadsDeadline: map[string]timekeeper.Instant{},
		powerless:     config.Start,
	}
	r.joining = newJoining(config.Start)
	r.isolation.since = config.Start
	r.detector = detector.New(config.Self, config.Incarnation, config.Seed, config.Timing, config.Start, r.decorate)
	return r
}

// Reduce takes in one event and returns what has to be done. The effects and
// what they point to are valid until the next call.
func (r *Reducer) Reduce(event Event) []Effect {
	r.effects = r.effects[:0]
	r.toTarget = r.toTarget[:0]
	r.toCaller = r.toCaller[:0]
	r.toPeer = r.toPeer[:0]
	r.forward = r.forward[:0]
	r.advance(*event.at())
	switch event := event.(type) {
	case *CallerPacket:
		r.callerPacket(event)
	case *TargetPacket:
		r.targetPacket(event)
	case *PeerMessage:
		r.peerMessage(event)
	case *SettingsPublished:
		r.notePlatform()
		r.settingsPublished(event.Revision, event.Document)
	case *HostsPublished:
		r.notePlatform()
		r.hostsPublished(event)
	case *ProbeAnswered:
		r.probeAnswered(event)
	case *Tick:
		r.tick()
	case *Shutdown:
		r.beginLeaving()
	}
	for _, out := range r.detector.TakeOutgoing() {
		r.emit(&ToPeer{Host: out.To, Body: out.Body})
	}
	return r.effects
}

// advance moves time forward; a clock never goes back, even if events were
// stamped out of order.
func (r *Reducer) advance(at timekeeper.Instant) {
	before := r.now
	r.now = max(r.now, at)
	r.noteTime(before, r.now)
}

func (r *Reducer) emit(effect Effect) { r.effects = append(r.effects, effect) }

func (r *Reducer) log(event string, fields ...Field) {
	r.emit(&Logged{recorder.Line{Event: event, Fields: fields}})
}

func (r *Reducer) sendPeer(host string, body messenger.Body) {
	r.toPeer = append(r.toPeer, ToPeer{Host: host, Body: body})
	r.emit(&r.toPeer[len(r.toPeer)-1])
}

func (r *Reducer) sendTarget(e ToTarget) {
	r.toTarget = append(r.toTarget, e)
	r.emit(&r.toTarget[len(r.toTarget)-1])
}

func (r *Reducer) sendCaller(e ToCaller) {
	r.toCaller = append(r.toCaller, e)
	r.emit(&r.toCaller[len(r.toCaller)-1])
}

func (r *Reducer) peerMessage(e *PeerMessage) {
	switch body := e.Body.(type) {
	case *messenger.Ping:
		r.detector.Receive(e.From, body, r.now)
		r.noteLoads(e.From, body.Heartbeat.InFlight, r.now)
	case *messenger.Ack:
		r.detector.Receive(e.From, body, r.now)
		r.noteLoads(e.From, body.Heartbeat.InFlight, r.now)
	case *messenger.PingRequest, *messenger.IndirectAck:
		r.detector.Receive(e.From, body, r.now)
	case *messenger.Forward:
		r.detector.NoteRevision(e.From, body.SettingsRevision)
		r.forwarded(body, e.Arrived)
	case *messenger.WitnessRequest:
		r.witness(e.From, body)
	case *messenger.WitnessAck:
		r.witnessAcked(e.From, body)
	case *messenger.ProbeFailures:
		r.takeVerdicts(e.From, body.FailingTargets)
	case *messenger.FlowRecords:
		r.takeRecords(body.Records, true)
	case *messenger.Handover:
		r.takeHandover(e.From, body)
	case *messenger.HandoverAck:
		r.handoverAcked(e.From, body)
	case *messenger.SettingsRequest:
		r.sendSettings(e.From, body.NewerThan)
	case *messenger.SettingsDocument:
		r.takeSettings(body)
	}
	if r.detector.Rejoined() {
		r.rejoin()
	}
}

// decorate adds to a heartbeat what the detector does not know.
func (r *Reducer) decorate(peer string) messenger.Heartbeat {
	const loadsEvery = 250 * time.Millisecond
	news := messenger.Heartbeat{}
	if r.loadsDeadline[peer].Passed(r.now) {
		r.loadsDeadline[peer] = r.now.Add(loadsEvery)
		news.InFlight = r.ownLoads()
	}
	return news
}

func (r *Reducer) tick() {
	r.detector.Tick(r.now)
	if r.settings == nil {
		r.askSeeds()
		return
	}
	r.catchUp()
	r.chooseWatchers()
	r.requestTick()
	r.heldTick()
	r.witnessTick()
	r.joinTick()
	r.handoverTick()
	r.flowTick()
	r.probeTick()
	r.identities.expire(r.now)
	r.witnessed.expire(r.now)
	r.noteQuorum()
	r.isolationTick()
}

// noteQuorum remembers since when this host lacks a quorum, so that a request
// that only a quorum may run is refused at once when waiting is of no use.
func (r *Reducer) noteQuorum() {
	if r.detector.HasQuorum(r.now) {
		r.powerless = timekeeper.Never
	} else if r.powerless == timekeeper.Never {
		r.powerless = r.now
	}
}
