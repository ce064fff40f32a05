// Package reducer makes every decision of a host as a deterministic state
// machine: Reduce consumes an event, updates the reducer's state, and returns the
// resulting actions as data. It uses no clock, socket or goroutine, so a test or
// an external harness can run any number of reducers in one process.
//
// The state is divided by file: the settings in force (settings.go), flow
// ownership (route.go), target selection (target.go, flow_table.go, pinning.go,
// exceptions.go, health.go), outstanding requests (request.go, dispatch.go,
// response.go, refusal.go, held_packets.go), the request identities that guarantee
// at-most-once execution (witness.go, permission.go, isolation.go), and joining and
// graceful shutdown (joining.go, handover.go, shutdown.go). Package detector manages
// the leases.
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

// TickInterval is the interval at which a host passes Tick events to its reducer.
const TickInterval = 20 * time.Millisecond

// Config describes a reducer's host and its start.
type Config struct {
	// Self is the host's name in the settings tree.
	Self string
	// Incarnation identifies this start of the host; it is higher than that of any
	// earlier start.
	Incarnation uint64
	// Seed initializes the random generator, so that runs are reproducible.
	Seed uint64
	// Timing configures failure detection; see detector.DefaultTiming.
	Timing detector.Timing
	// SeedHosts names hosts from which settings may be requested while the
	// platform does not respond; empty if none are configured.
	SeedHosts []string
	// Start is the time at which the host starts.
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
	// compressedDocument is the gzipped document of compressedRevision, as sent to
	// peers.
	compressedDocument []byte
	compressedRevision uint64
	rejectedRevision   uint64
	localCell          string
	cells              placer.CellMap
	cellSizes          map[string]int
	rankers            map[string]placer.Ranker
	// homeMoveDeadline is when callers stop retransmitting requests from before the
	// last change of home cells. previousCells is the cell map before that change
	// and shows which buckets moved.
	homeMoveDeadline timekeeper.Instant
	previousCells    placer.CellMap

	detector    *detector.Detector
	services    map[resolver.ServiceID]*service
	serviceIDs  []resolver.ServiceID
	addressUses map[netip.AddrPort]addressUse
	// listedShuttingDown is the set of hosts that the platform lists as shutting down.
	listedShuttingDown map[string]bool

	flows *flowTable
	// dirtyShards is the number of shards whose flowException flags may be out of date;
	// sweepFlows updates one shard per tick.
	dirtyShards int

	requests     map[uint64]*request
	byToken      map[tokenKey]*request
	active       []*request
	freeRequests []*request
	// tenantInFlight counts the queued and in-flight requests of each tenant.
	tenantInFlight map[string]int
	seedHosts      []string
	heldPackets    []heldPacket
	heldIDs        map[uint64]bool

	identities          identitySet
	witnessed           witnessedSet
	witnessLinks        map[string]*witnessLink
	joining             joinState
	handovers           map[string]*outgoingHandover
	lastHandoverSession uint64
	// handedOverTo holds the incarnations of the joining hosts to which this host has
	// handed over its records.
	handedOverTo map[string]uint64
	// leaveHandoverFrom holds the incarnations of the hosts that have handed over to
	// this host in their graceful shutdown.
	leaveHandoverFrom map[string]uint64
	// handoverRefusedBy holds the incarnations of the hosts that have refused a
	// handover because they are shutting down themselves.
	handoverRefusedBy map[string]uint64
	// votesAcceptedFrom holds each peer's latest handover whose votes were accepted.
	votesAcceptedFrom map[string]handoverID
	// steppedDown is set once this host no longer acts on flows in its graceful
	// shutdown.
	steppedDown         bool
	shuttingDown        bool
	forwardDeadline     timekeeper.Instant
	shutdownComplete    bool
	watching            bool
	nextSettingsRequest timekeeper.Instant
	prober              prober
	// copyBudgetBytes is the number of bytes that may be spent at present on copying
	// exceptions to successors; see copyBytesPerSecond.
	copyBudgetBytes float64
	// noQuorumSince is since when this host has lacked a quorum; Never while it has one.
	noQuorumSince  timekeeper.Instant
	isolation      isolation
	nextLoadReport map[string]timekeeper.Instant

	counts      [numReasons]uint64
	effects     []Effect
	targetSends []ToTarget
	callerSends []ToCaller
	peerSends   []ToPeer
	forwards    []messenger.Forward
}

// New returns the reducer of a host that has just started and has no settings yet.
func New(config Config) *Reducer {
	r := &Reducer{
		self:               config.Self,
		now:                config.Start,
		startedAt:          config.Start,
		seedHosts:          config.SeedHosts,
		random:             rand.New(rand.NewPCG(config.Seed, config.Incarnation)),
		rankers:            map[string]placer.Ranker{},
		services:           map[resolver.ServiceID]*service{},
		addressUses:        map[netip.AddrPort]addressUse{},
		listedShuttingDown: map[string]bool{},
		flows:              newFlowTable(),
		requests:           map[uint64]*request{},
		byToken:            map[tokenKey]*request{},
		tenantInFlight:     map[string]int{},
		heldIDs:            map[uint64]bool{},
		identities:         newIdentitySet(),
		witnessLinks:       map[string]*witnessLink{},
		handovers:          map[string]*outgoingHandover{},
		handedOverTo:       map[string]uint64{},
		leaveHandoverFrom:  map[string]uint64{},
		handoverRefusedBy:  map[string]uint64{},
		votesAcceptedFrom:  map[string]handoverID{},
		nextLoadReport:     map[string]timekeeper.Instant{},
		noQuorumSince:      config.Start,
	}
	r.joining = newJoinState(config.Start)
	r.isolation.lostContactSince = config.Start
	r.detector = detector.New(config.Self, config.Incarnation, config.Seed, config.Timing, config.Start, r.extraHeartbeatFields)
	return r
}

// Reduce handles one event and returns the actions that the host must perform. The
// effects and the data that they point to are valid until the next call.
func (r *Reducer) Reduce(event Event) []Effect {
	r.effects = r.effects[:0]
	r.targetSends = r.targetSends[:0]
	r.callerSends = r.callerSends[:0]
	r.peerSends = r.peerSends[:0]
	r.forwards = r.forwards[:0]
	r.advanceClock(*event.at())
	switch event := event.(type) {
	case *CallerPacket:
		r.handleCallerPacket(event)
	case *TargetPacket:
		r.handleTargetPacket(event)
	case *PeerMessage:
		r.handlePeerMessage(event)
	case *SettingsPublished:
		r.recordPlatformContact()
		r.handleSettingsPublished(event.Revision, event.Document)
	case *HostsPublished:
		r.recordPlatformContact()
		r.handleHostsPublished(event)
	case *ProbeCompleted:
		r.handleProbeResponse(event)
	case *Tick:
		r.handleTick()
	case *Shutdown:
		r.beginShutdown()
	}
	for _, out := range r.detector.TakeOutgoing() {
		r.emit(&ToPeer{Host: out.To, Body: out.Body})
	}
	return r.effects
}

// advanceClock moves the reducer's time forward. It never goes back, even if
// events are stamped out of order.
func (r *Reducer) advanceClock(at timekeeper.Instant) {
	before := r.now
	r.now = max(r.now, at)
	r.detectPause(before, r.now)
}

func (r *Reducer) emit(effect Effect) { r.effects = append(r.effects, effect) }

func (r *Reducer) log(event string, fields ...Field) {
	r.emit(&Logged{recorder.Line{Event: event, Fields: fields}})
}

func (r *Reducer) sendPeer(host string, body messenger.Body) {
	r.peerSends = append(r.peerSends, ToPeer{Host: host, Body: body})
	r.emit(&r.peerSends[len(r.peerSends)-1])
}

func (r *Reducer) sendTarget(e ToTarget) {
	r.targetSends = append(r.targetSends, e)
	r.emit(&r.targetSends[len(r.targetSends)-1])
}

func (r *Reducer) sendCaller(e ToCaller) {
	r.callerSends = append(r.callerSends, e)
	r.emit(&r.callerSends[len(r.callerSends)-1])
}

func (r *Reducer) handlePeerMessage(e *PeerMessage) {
	switch body := e.Body.(type) {
	case *messenger.Ping:
		r.detector.Receive(e.From, body, r.now)
		r.updatePeerLoads(e.From, body.Heartbeat.InFlight, r.now)
	case *messenger.Ack:
		r.detector.Receive(e.From, body, r.now)
		r.updatePeerLoads(e.From, body.Heartbeat.InFlight, r.now)
	case *messenger.PingRequest, *messenger.IndirectAck:
		r.detector.Receive(e.From, body, r.now)
	case *messenger.Forward:
		r.detector.RecordRevision(e.From, body.SettingsRevision)
		r.handleForward(body, e.Arrived)
	case *messenger.WitnessRequest:
		r.handleWitnessRequest(e.From, body)
	case *messenger.WitnessAck:
		r.handleWitnessAck(e.From, body)
	case *messenger.ProbeFailures:
		r.handleProbeFailures(e.From, body.FailingTargets)
	case *messenger.FlowRecords:
		r.importFlowRecords(body.Records, true)
	case *messenger.Handover:
		r.handleHandover(e.From, body)
	case *messenger.HandoverAck:
		r.handleHandoverAck(e.From, body)
	case *messenger.SettingsRequest:
		r.sendSettings(e.From, body.NewerThan)
	case *messenger.SettingsDocument:
		r.handleSettingsDocument(body)
	}
	if r.detector.Rejoined() {
		r.rejoin()
	}
}

// extraHeartbeatFields returns the heartbeat fields that the detector does not fill in:
// the in-flight loads of this host.
func (r *Reducer) extraHeartbeatFields(peer string) messenger.Heartbeat {
	const loadReportInterval = 250 * time.Millisecond
	heartbeat := messenger.Heartbeat{}
	if r.nextLoadReport[peer].Passed(r.now) {
		r.nextLoadReport[peer] = r.now.Add(loadReportInterval)
		heartbeat.InFlight = r.inFlightLoads()
	}
	return heartbeat
}

func (r *Reducer) handleTick() {
	r.detector.Tick(r.now)
	if r.settings == nil {
		r.requestSettingsFromSeeds()
		return
	}
	r.requestNewerSettings()
	r.updateWatching()
	r.advanceRequests()
	r.retryHeldPackets()
	r.advanceWitnesses()
	r.advanceJoin()
	r.advanceHandovers()
	r.sweepFlows()
	r.sendProbes()
	r.identities.expire(r.now)
	r.witnessed.expire(r.now)
	r.recordQuorumLoss()
	r.updateIsolation()
}

// recordQuorumLoss records since when this host has lacked a quorum, so that a request
// that needs one is refused at once after futileWaitAfter.
func (r *Reducer) recordQuorumLoss() {
	if r.detector.HasQuorum(r.now) {
		r.noQuorumSince = timekeeper.Never
	} else if r.noQuorumSince == timekeeper.Never {
		r.noQuorumSince = r.now
	}
}
