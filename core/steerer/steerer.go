// Package steerer makes all decisions of a host that forwards flows to targets which
// respond to callers directly (direct server return). It is a pure function over events,
// like package reducer for the CoAP edge: Reduce handles an event, changes the steerer's
// own state, and returns the actions to be carried out as data.
//
// No host owns a flow. The opening packet of a flow is stamped with a tag that identifies
// its target, and both ends repeat the tag, so every host forwards every later packet to
// the same target (forwarding.go). The state that hosts keep of flows is used only to
// balance new flows (target_selection.go) and to detect unresponsive targets (health.go);
// losing it breaks no flow.
//
// Settings and targets come from the platform (platformread.go) or from other hosts
// (peersync.go).
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

// TickInterval is the interval between Tick events. Retransmissions are detected as packets
// arrive; ticks drive reads, reports, timers such as those of opening packets, and the
// expiry of state.
const TickInterval = 50 * time.Millisecond

// Config is what a steerer needs to know of its host.
type Config struct {
	// Self is the host's name, Address the address at which other hosts reach it.
	Self             string
	Address          netip.AddrPort
	AvailabilityZone string
	// Seeds are addresses at which other hosts may be found.
	Seeds []netip.AddrPort
	// Incarnation is higher than at any earlier start of the same host.
	Incarnation uint64
	// Seed makes every random choice repeatable.
	Seed uint64
	// Bootstrap reports whether the whole fleet starts for the first time, before any
	// traffic.
	Bootstrap bool
	// SettingsPropagationLimit and DrainingPropagationLimit are the times within which this
	// host has to learn of new settings and of draining targets.
	SettingsPropagationLimit time.Duration
	DrainingPropagationLimit time.Duration
	// EvacuationPropagationLimit is the same for orders to evacuate a zone; 0 means as for
	// settings.
	EvacuationPropagationLimit time.Duration
	// Regions gives the region of each availability zone.
	Regions map[string]string
	// A cold target sustains ColdBurstFactor times its long-term rate limit, plus
	// ColdBurstAllowance, in any one second.
	ColdBurstFactor    float64
	ColdBurstAllowance float64
	// Quotas limit the requests of some callers.
	Quotas []throttler.Quota
	// MaxFlows limits the size of the flow table.
	MaxFlows int
	// LinkBytesPerSecond is the capacity of the host's link in each direction; 0 if
	// unknown.
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
	// settingsFrom is the source of the settings: fromPlatform, or a host's name.
	settingsFrom string
	// removedRoutes holds the addresses of routes that a later version removed.
	removedRoutes map[netip.AddrPort]bool

	// evacuator holds the orders to evacuate zones; warmer holds this host's tickets for
	// cold targets.
	evacuator *evacuator.Evacuator
	warmer    *warmer.Warmer
	// diagnoser determines response timeouts, and which zones are suspect.
	diagnoser *diagnoser.Diagnoser
	// throttler tracks the demand of callers and their quotas.
	throttler *throttler.Throttler

	targets targetTable
	// targetsPosition is the newest position in the platform's history that targets
	// reflects.
	targetsPosition sequencer.Position
	// targetSweepDeadline is the time of the next sweep over all targets.
	targetSweepDeadline timekeeper.Instant
	// loggedMalformed holds the digests of malformed entries that were logged.
	loggedMalformed map[uint64]bool

	flows map[flowKey]*flow
	// flowSweepDeadline is the time of the next sweep for expired flows.
	flowSweepDeadline timekeeper.Instant
	// awaitedOpenings holds the timers of flows that should be established within a round
	// trip; overdueOpenings holds those of flows that were not, and that should be
	// established or retransmitted by the caller's retransmission timeout.
	awaitedOpenings flowTimers
	overdueOpenings flowTimers
	// heldPackets are packets that came before this host was ready.
	heldPackets   []heldPacket
	platformReads platformReads
	peerSync      peerSync
	peers         peers
	pause         pause
	path          path
	isolation     isolation
	// baselines holds the baseline latency of each route, by route name.
	baselines map[string]*medianEstimator
	// services holds the load of each service, visibility the hosts and zones whose reports
	// count in it; queued counts the requests queued at this host; inFlight holds the
	// timers of the forwarded requests, the oldest first.
	services   map[string]*service
	visibility peerVisibility
	queued     int
	inFlight   flowTimers
	shutdown   shutdown
	// slowdowns holds the slowdown estimates of targets and zones.
	slowdowns slowdownEstimates
	// connections holds the state of services whose targets have a connection limit.
	connections connectionState

	effects   []Effect
	forwards  []ForwardPacket
	zoneViews []zoneView
	counters  Counters
	// ownReport caches what this host's reports say about targets; it is valid during one
	// event.
	ownReport targetObservations
	// selfHash is the hash of this host's name.
	selfHash uint64
}

// New returns the steerer of a host that has just started, without any state.
func New(config Config) *Steerer {
	// Hosts that start at the same time with the same seed must not make the same choices.
	selfHash := xxhash.Sum64String(config.Self)
	s := &Steerer{
		config:        config,
		now:           config.Start,
		random:        rand.New(rand.NewPCG(config.Seed^selfHash, config.Incarnation)),
		removedRoutes: map[netip.AddrPort]bool{},

		loggedMalformed: map[uint64]bool{},

		targets:   newTargetTable(config.AvailabilityZone),
		selfHash:  selfHash,
		flows:     map[flowKey]*flow{},
		peers:     newPeers(),
		baselines: map[string]*medianEstimator{},
		services:  map[string]*service{},

		slowdowns: slowdownEstimates{zones: map[serviceZone]*estimator.Zone{}},

		evacuator: evacuator.New(),
		warmer:    warmer.New(config.Self, config.Start),
		diagnoser: diagnoser.New(),
		throttler: throttler.New(config.Quotas),

		connections: newConnectionState(config.Self, config.Start),
	}
	s.pause.lastTick = config.Start
	if config.Bootstrap && !slices.Contains(config.Seeds, config.Address) {
		s.platformReads.delayUntil(config.Start.Add(fleetStartGrace))
	}
	return s
}

// Reduce handles an event and returns the actions to be carried out. The effects and what
// they point to are valid until the next call.
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

// advanceClock moves time forward. It never goes back, even if events were stamped out of
// order.
func (s *Steerer) advanceClock(at timekeeper.Instant) { s.now = max(s.now, at) }

func (s *Steerer) tick() {
	s.detectPause()
	s.connectionTick()
	s.checkOpenings()
	s.estimatesTick()
	s.refreshCapacities()
	s.queueTick()
	s.expireFlows()
	s.targetsTick()
	s.expireOrders()
	s.isolationTick()
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

// Ready reports whether the host can place new flows and the fabric should hand it packets.
func (s *Steerer) Ready() bool {
	return s.canRoute() && !s.shutdown.started && !s.waitsForZone()
}
