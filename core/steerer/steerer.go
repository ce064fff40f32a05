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

// TickEvery is how often a host sends Tick events. Stalls are noticed from
// packets; ticks only drive reads, reports and forgetting.
const TickEvery = 50 * time.Millisecond

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
	// FirstStart says that the whole fleet starts for the first time, before any
	// traffic.
	FirstStart bool
	// SettingsWithin and DrainingWithin are the times within which this host has to
	// know new settings, and targets that drain.
	SettingsWithin time.Duration
	DrainingWithin time.Duration
	// EvacuatedWithin is the same for orders to evacuate a zone; 0 is as for settings.
	EvacuatedWithin time.Duration
	// Regions gives the region of each availability zone.
	Regions map[string]string
	// ColdOverage times what cold targets bear for long, and ColdAllowance more, is what
	// they bear in any one second.
	ColdOverage   float64
	ColdAllowance float64
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
	// removed names the addresses of routes that a later version dropped.
	removed map[netip.AddrPort]bool

	// evacuator keeps the orders to evacuate zones, warmer this host's tickets for cold
	// targets.
	evacuator *evacuator.Evacuator
	warmer    *warmer.Warmer
	// diagnoser says how long silence has to last, and which zones have fallen silent.
	diagnoser *diagnoser.Diagnoser
	// throttler keeps what callers ask, and their quotas.
	throttler *throttler.Throttler

	targets table
	// targetsPosition is the newest position of the platform's history that is reflected
	// in targets.
	targetsPosition sequencer.Position
	// targetSweepDeadline is when all targets are next looked at.
	targetSweepDeadline timekeeper.Instant
	// malformed holds the digests of entries that name no target and were logged.
	malformed map[uint64]bool

	flows map[flowKey]*flow
	// flowSweepDeadline is when forgotten flows are next looked for.
	flowSweepDeadline timekeeper.Instant
	// unopened are flows that should have opened within a round trip, opening those that
	// should have opened, or sent a copy, by the time of a caller's repeat.
	unopened flowChecks
	opening  flowChecks
	// held are packets that came before this host knew where packets go.
	held    []heldPacket
	reading reading
	asking  asking
	peers   peers
	pause   pause
	path    path
	// usual holds the usual time until an answer, by route.
	usual map[string]*usualTime
	// services holds the load of each service, paced counts the requests that wait at
	// this host, and underWay lists those that were passed on, the oldest first.
	services map[string]*service
	reach    reach
	paced    int
	underWay flowChecks
	leaving  leaving
	// estimating is how fast targets are.
	estimating estimating
	// connections is what is known of the flows at targets that hold only so many.
	connections connections

	effects   []Effect
	toTargets []ToTarget
	zoneViews []zoneView
	counts    Counts
	// own is what reports of the present event tell of the targets.
	own ownNews
	// selfHash is the hash of this host's name.
	selfHash uint64
}

// New makes the steerer of a host that has just started and knows nothing.
func New(config Config) *Steerer {
	// Hosts that start in the same moment with the same seed must not choose alike.
	own := xxhash.Sum64String(config.Self)
	s := &Steerer{
		config:  config,
		now:     config.Start,
		random:  rand.New(rand.NewPCG(config.Seed^own, config.Incarnation)),
		removed: map[netip.AddrPort]bool{},

		malformed: map[uint64]bool{},

		targets:  newTable(config.AvailabilityZone),
		selfHash: own,
		flows:    map[flowKey]*flow{},
		peers:    newPeers(),
		usual:    map[string]*usualTime{},
		services: map[string]*service{},

		estimating: estimating{zones: map[serviceZone]*estimator.Zone{}},

		evacuator: evacuator.New(),
		warmer:    warmer.New(config.Self, config.Start),
		diagnoser: diagnoser.New(),
		throttler: throttler.New(config.Quotas),

		connections: newConnections(config.Self, config.Start),
	}
	s.pause.lastTick = config.Start
	if config.FirstStart && !slices.Contains(config.Seeds, config.Address) {
		s.reading.wait(config.Start.Add(firstStartPatience))
	}
	return s
}

// Reduce takes in one event and returns what has to be done. The effects and
// what they point to are valid until the next call.
func (s *Steerer) Reduce(event Event) []Effect {
	clear(s.effects)
	s.effects = s.effects[:0]
	s.toTargets = s.toTargets[:0]
	s.own.known = false
	s.advance(*event.at())
	switch event := event.(type) {
	case *CallerPacket:
		s.callerPacket(&event.Packet)
	case *SettingsRead:
		s.settingsRead(event)
	case *TargetsRead:
		s.targetsRead(event)
	case *Probed:
		s.probed(event)
	case *ReportReceived:
		s.reportReceived(event)
	case *HostAnswered:
		s.hostAnswered(event)
	case *Tick:
		s.noteTransfers(event.TransfersReceived, event.TransfersSent)
		s.tick()
	case *Shutdown:
		s.beginLeaving()
	case *SeedsChanged:
		s.config.Seeds = event.Seeds
	}
	s.releaseHeld()
	return s.effects
}

// advance moves time forward; it never goes back, even if events were stamped
// out of order.
func (s *Steerer) advance(at timekeeper.Instant) { s.now = max(s.now, at) }

func (s *Steerer) tick() {
	s.notePause()
	s.connectionsTick()
	s.checkOpenings()
	s.estimatingTick()
	s.assessTick()
	s.pacingTick()
	s.expireFlows()
	s.targetsTick()
	s.expireOrders()
	s.peersTick()
	s.shareQuotas()
	s.readingTick()
	s.askingTick()
	s.leavingTick()
}

func (s *Steerer) emit(effect Effect) { s.effects = append(s.effects, effect) }

func (s *Steerer) log(event string, fields ...Field) {
	s.emit(&Logged{recorder.Line{Event: event, Fields: fields}})
}

func (s *Steerer) sendTarget(to *target, tag Tag, data []byte) {
	s.noteBytes(0, len(data)+packetOverhead)
	s.toTargets = append(s.toTargets, ToTarget{Address: to.Address, Number: to.Number, Tag: tag, Data: data})
	s.emit(&s.toTargets[len(s.toTargets)-1])
}

// Ready reports whether the host can place new flows and the fabric should
// hand it packets.
func (s *Steerer) Ready() bool {
	return s.knows() && !s.leaving.begun && !s.awaitsZone()
}
