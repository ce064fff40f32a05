// Package steerer takes every decision of a host that carries flows whose
// targets answer callers directly. It is one pure function over events, like
// package reducer for the CoAP edge: Reduce reads an event, changes the
// steerer's own state, and returns what has to be done as data.
//
// No host owns a flow. The first packet of a flow is stamped with a tag that
// names its target, and both ends repeat the tag, so every host passes every
// later packet on alike (steering.go). What hosts remember of flows only serves
// to spread new ones (choosing.go) and to notice targets that fell silent
// (health.go); losing it breaks nothing.
//
// Settings and targets come from the platform (reading.go) or from other hosts
// (peers.go).
package steerer

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"cranberryspan.dev/core/diagnoser"
	"cranberryspan.dev/core/estimator"
	"cranberryspan.dev/core/evacuator"
	"cranberryspan.dev/core/recorder"
	"cranberryspan.dev/core/sequencer"
	"cranberryspan.dev/core/throttler"
	"cranberryspan.dev/core/timekeeper"
	"cranberryspan.dev/core/warmer"
	"github.com/cespare/xxhash/v2"
)

// TickInterval is how often a host sends Tick events. Stalls are noticed from
// packets; ticks only drive reads, reports and forgetting.
const TickInterval = 50 * time.Millisecond

// Config is what a steerer needs to know of its host.
type Config struct {
	// Self is the host's name, Address where other hosts reach it.
	Self             string
	Address          netip.AddrPort
	AvailabilityZone string
	// Seeds are addresses at which other hosts may be found.
	Seeds []netip.AddrPort
	// Incarnation is higher than at any earlier start of the same host.
	Incarnation uint64
	// Seed makes every random choice repeatable.
	Seed uint64
	// Bootstrap says that the whole fleet starts for the first time, before any
	// traffic.
	Bootstrap bool
	// SettingsPropagationLimit and DrainingPropagationLimit are the times within which this host has to
	// know new settings, and targets that drain.
	SettingsPropagationLimit time.Duration
	DrainingPropagationLimit time.Duration
	// EvacuationPropagationLimit is the same for orders to evacuate a zone; 0 is as for settings.
	EvacuationPropagationLimit time.Duration
	// Regions gives the region of each availability zone.
	Regions map[string]string
	// ColdBurstFactor times what cold targets bear for long, and ColdBurstAllowance more, is what
	// they bear in any one second.
	ColdBurstFactor    float64
	ColdBurstAllowance float64
	// Quotas bound the requests of some callers.
	Quotas []throttler.Quota
	// MaxFlows bounds the flows that are remembered.
	MaxFlows int
	// LinkBytesPerSecond is what the host's link carries each way; 0 if unknown.
	LinkBytesPerSecond int
	Start              timekeeper.Instant
}

// Steerer is the state of one host. It is not safe for concurrent use.
type Steerer struct {
	config Config
	now    timekeeper.Instant
	random *rand.Rand

	settings *Settings
	document []byte
	// settingsFrom is where they came from: fromPlatform, or a host's name.
	settingsFrom string
	// removedRoutes names the addresses of routes that a later version dropped.
	removedRoutes map[netip.AddrPort]bool

	// evacuator keeps the orders to evacuate zones, warmer this host's tickets for cold
	// targets.
	evacuator *evacuator.Evacuator
	warmer    *warmer.Warmer
	// diagnoser says how long silence has to last, and which zones have fallen silent.
	diagnoser *diagnoser.Diagnoser
	// throttler keeps what callers ask, and their quotas.
	throttler *throttler.Throttler

	targets targetTable
	// targetsPosition is the newest position of the platform's history that is reflected
	// in targets.
	targetsPosition sequencer.Position
	// targetSweepDeadline is when all targets are next looked at.
	targetSweepDeadline timekeeper.Instant
	// loggedMalformed holds the digests of entries that name no target and were logged.
	loggedMalformed map[uint64]bool

	flows map[flowKey]*flow
	// flowSweepDeadline is when forgotten flows are next looked for.
	flowSweepDeadline timekeeper.Instant
	// awaitedOpenings are flows that should have opened within a round trip, opening those that
	// should have opened, or sent a copy, by the time of a caller's repeat.
	awaitedOpenings flowTimers
	overdueOpenings flowTimers
	// heldPackets are packets that came before this host knew where packets go.
	heldPackets []heldPacket
	reading     platformReads
	asking      peerSync
	peers       peers
	pause       pause
	path        path
	// baselines holds the usual time until an answer, by route.
	baselines map[string]*medianEstimator
	// services holds the load of each service, paced counts the requests that wait at
	// this host, and underWay lists those that were passed on, the oldest first.
	services map[string]*service
	reach    peerVisibility
	paced    int
	inFlight flowTimers
	leaving  shutdown
	// estimating is how fast targets are.
	estimating slowdownEstimates
	// connections is what is known of the flows at targets that hold only so many.
	connections connectionState

	effects   []Effect
	forwards  []ForwardPacket
	zoneViews []zoneView
	counts    Counters
	// ownReport is what reports of the present event tell of the targets.
	ownReport targetObservations
	// selfHash is the hash of this host's name.
	selfHash uint64
}

// New makes the steerer of a host that has just started and knows nothing.
func New(config Config) *Steerer {
	// Hosts that start in the same moment with the same seed must not choose alike.
	own := xxhash.Sum64String(config.Self)
	s := &Steerer{
		config:        config,
		now:           config.Start,
		random:        rand.New(rand.NewPCG(config.Seed^own, config.Incarnation)),
		removedRoutes: map[netip.AddrPort]bool{},

		loggedMalformed: map[uint64]bool{},

		targets:   newTargetTable(config.AvailabilityZone),
		selfHash:  own,
		flows:     map[flowKey]*flow{},
		peers:     newPeers(),
		baselines: map[string]*medianEstimator{},
		services:  map[string]*service{},

		estimating: slowdownEstimates{zones: map[serviceZone]*estimator.Zone{}},

		evacuator: evacuator.New(),
		warmer:    warmer.New(config.Self, config.Start),
		diagnoser: diagnoser.New(),
		throttler: throttler.New(config.Quotas),

		connections: newConnectionState(config.Self, config.Start),
	}
	s.pause.lastTick = config.Start
	if config.Bootstrap && !slices.Contains(config.Seeds, config.Address) {
		s.reading.delayUntil(config.Start.Add(fleetStartGrace))
	}
	return s
}

// Reduce takes in one event and returns what has to be done. The effects and
// what they point to are valid until the next call.
func (s *Steerer) Reduce(event Event) []Effect {
	clear(s.effects)
	s.effects = s.effects[:0]
	s.forwards = s.forwards[:0]
	s.ownReport.valid = false
	s.advanceClock(*event.at())
	switch event := event.(type) {
	case *CallerPacket:
		s.callerPacketReceived(&event.Packet)
	case *SettingsRead:
		s.handleSettingsRead(event)
	case *TargetsRead:
		s.handleTargetsRead(event)
	case *ProbeCompleted:
		s.probeCompleted(event)
	case *ReportReceived:
		s.handleReport(event)
	case *SyncResponseReceived:
		s.handleSyncResponse(event)
	case *Tick:
		s.recordTransfers(event.TransfersReceived, event.TransfersSent)
		s.tick()
	case *Shutdown:
		s.beginShutdown()
	case *SeedsChanged:
		s.config.Seeds = event.Seeds
	}
	s.releaseHeldPackets()
	return s.effects
}

// advanceClock moves time forward; it never goes back, even if events were stamped
// out of order.
func (s *Steerer) advanceClock(at timekeeper.Instant) { s.now = max(s.now, at) }

func (s *Steerer) tick() {
	s.detectPause()
	s.connectionTick()
	s.checkOpenings()
	s.estimatesTick()
	s.capacityTick()
	s.queueTick()
	s.expireFlows()
	s.targetsTick()
	s.expireOrders()
	s.peersTick()
	s.divideQuotas()
	s.readTick()
	s.syncTick()
	s.shutdownTick()
}

func (s *Steerer) emit(effect Effect) { s.effects = append(s.effects, effect) }

func (s *Steerer) log(event string, fields ...Field) {
	s.emit(&WriteLog{recorder.Line{Event: event, Fields: fields}})
}

func (s *Steerer) forward(to *target, tag Tag, data []byte) {
	s.recordLinkBytes(0, len(data)+packetOverheadBytes)
	s.forwards = append(s.forwards, ForwardPacket{Address: to.Address, Number: to.Number, Tag: tag, Data: data})
	s.emit(&s.forwards[len(s.forwards)-1])
}

// Ready reports whether the host can place new flows and the fabric should
// hand it packets.
func (s *Steerer) Ready() bool {
	return s.canRoute() && !s.leaving.started && !s.waitsForZone()
}
