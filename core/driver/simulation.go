// Package driver simulates a fleet: it runs many reducers in one process and models links,
// targets and callers. The failure tests, the capacity measurements and the comparison with
// other placement policies are built on it.
//
// Runs are deterministic: time advances only in Step, all random choices come from one seed,
// and events are processed in a fixed order.
package driver

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"cranberryspan.dev/core/detector"
	"cranberryspan.dev/core/encoder"
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/reducer"
	"cranberryspan.dev/core/resolver"
	"cranberryspan.dev/core/timekeeper"
)

// MessageLatency is the one-way delay of every message and packet.
const MessageLatency = time.Millisecond

// Simulation is a simulated fleet of hosts with its platform, targets and callers.
type Simulation struct {
	Now          timekeeper.Instant
	random       *rand.Rand
	hosts        map[string]*host
	hostNames    []string
	queue        eventQueue
	lastSequence uint64
	startCount   uint64

	// documents are the published revisions, in order; see ServedRevision.
	documents [][]byte
	// PlatformDown makes every read of the platform fail.
	PlatformDown bool
	// ServedRevision is the revision that the platform serves; zero means the latest.
	ServedRevision uint64
	cutLinks       map[[2]string]bool

	targets               map[netip.AddrPort]*Target
	packetsByID           map[uint64]packetInfo
	lastPacketID          uint64
	nonIdempotentRequests map[RequestID]bool

	// Seeds are the seed hosts in the configuration of every host that starts.
	Seeds []string
	// Replies records the hosts' own replies, Responses the targets' responses that reached
	// callers.
	Replies   []CallerReply
	Responses []CallerResponse
	// TargetPackets records every packet that reached a target.
	TargetPackets []TargetPacket
	// ControlBytes is the number of control bytes sent by each host while
	// MeasureControlBytes is set, ForwardedPackets the number of packets forwarded between
	// hosts.
	ControlBytes     map[string]int
	ForwardedPackets int
	// ControlMessages is the number of control messages sent, Probes the number of probes
	// of targets.
	ControlMessages int
	Probes          int
	// MeasureControlBytes enables encoding of control messages to count their bytes.
	MeasureControlBytes bool
	codecs              map[string]*encoder.MessageCodec
	// PlatformReads is the number of reads that returned a newer document.
	PlatformReads int
}

type host struct {
	name              string
	reducer           *reducer.Reducer
	running           bool
	paused            bool
	left              bool
	watching          bool
	platformReachable bool
	backlog           []reducer.Event
}

// RequestID identifies a request of a caller.
type RequestID struct {
	Caller   netip.AddrPort
	Service  netip.AddrPort
	Exchange messenger.Exchange
}

// CallerReply is a reply that the load balancer itself sent to a caller.
type CallerReply struct {
	At      timekeeper.Instant
	ID      RequestID
	Outcome reducer.Outcome
	Reason  reducer.Reason
}

// CallerResponse is a target's response that reached a caller.
type CallerResponse struct {
	At     timekeeper.Instant
	Caller netip.AddrPort
	ID     RequestID
	Target netip.AddrPort
}

// TargetPacket is a packet that reached a target.
type TargetPacket struct {
	At     timekeeper.Instant
	Host   string
	Target netip.AddrPort
	ID     RequestID
	Packet messenger.Packet
}

// packetInfo is the request and packet that a payload identifies.
type packetInfo struct {
	id     RequestID
	packet messenger.Packet
}

// New returns a simulation without hosts. The document is published as revision 1.
func New(seed uint64, document []byte) *Simulation {
	return &Simulation{
		Now:                   timekeeper.Instant(time.Second),
		random:                rand.New(rand.NewPCG(seed, 1)),
		hosts:                 map[string]*host{},
		documents:             [][]byte{document},
		cutLinks:              map[[2]string]bool{},
		targets:               map[netip.AddrPort]*Target{},
		packetsByID:           map[uint64]packetInfo{},
		ControlBytes:          map[string]int{},
		nonIdempotentRequests: map[RequestID]bool{},
		codecs:                map[string]*encoder.MessageCodec{},
	}
}

// Start starts hosts, or restarts them under a higher incarnation.
func (s *Simulation) Start(names ...string) {
	for _, name := range names {
		s.startCount++
		if _, ok := s.hosts[name]; !ok {
			s.hostNames = append(s.hostNames, name)
			slices.Sort(s.hostNames)
		}
		s.hosts[name] = &host{
			name: name,
			reducer: reducer.New(reducer.Config{
				Self:        name,
				Incarnation: s.startCount * 1000,
				Seed:        s.startCount,
				Timing:      detector.DefaultTiming(),
				SeedHosts:   s.Seeds,
				Start:       s.Now,
			}),
			running:           true,
			watching:          true,
			platformReachable: true,
		}
	}
}

// Kill crashes a host.
func (s *Simulation) Kill(name string) { s.hosts[name].running = false }

// Pause pauses a host. Events other than ticks are queued until Resume.
func (s *Simulation) Pause(name string) { s.hosts[name].paused = true }

// Resume resumes a paused host, which first processes the events queued during the pause.
func (s *Simulation) Resume(name string) {
	h := s.hosts[name]
	h.paused = false
	backlog := h.backlog
	h.backlog = nil
	for _, event := range backlog {
		s.reduce(h, event)
	}
}

// Shutdown starts the graceful shutdown of a host.
func (s *Simulation) Shutdown(name string) { s.deliver(name, &reducer.Shutdown{}) }

// HasLeft reports whether a host has completed its graceful shutdown.
func (s *Simulation) HasLeft(name string) bool { return s.hosts[name].left }

// Running reports whether a host is running and not paused.
func (s *Simulation) Running(name string) bool {
	h, ok := s.hosts[name]
	return ok && h.running && !h.paused
}

// CutLink makes the simulation drop all messages between two hosts, in both directions.
func (s *Simulation) CutLink(a, b string) {
	s.cutLinks[[2]string{a, b}], s.cutLinks[[2]string{b, a}] = true, true
}

// HealLink restores the link between two hosts that CutLink has cut.
func (s *Simulation) HealLink(a, b string) {
	delete(s.cutLinks, [2]string{a, b})
	delete(s.cutLinks, [2]string{b, a})
}

// Partition cuts every link between a group of hosts and the others.
func (s *Simulation) Partition(group ...string) { s.forEachLinkAcross(group, s.CutLink) }

// HealPartition restores every link between a group of hosts and the others.
func (s *Simulation) HealPartition(group ...string) { s.forEachLinkAcross(group, s.HealLink) }

func (s *Simulation) forEachLinkAcross(group []string, action func(a, b string)) {
	for _, a := range group {
		for _, b := range s.hostNames {
			if !slices.Contains(group, b) {
				action(a, b)
			}
		}
	}
}

// SetPlatformCut sets whether a host is disconnected from the platform.
func (s *Simulation) SetPlatformCut(name string, cut bool) { s.hosts[name].platformReachable = !cut }

// Publish publishes a document as the next revision and returns its number.
func (s *Simulation) Publish(document []byte) uint64 {
	s.documents = append(s.documents, document)
	return uint64(len(s.documents))
}

// Reducer returns a host's reducer, for inspection.
func (s *Simulation) Reducer(name string) *reducer.Reducer { return s.hosts[name].reducer }

// HostNames returns the sorted names of all hosts that were ever started.
func (s *Simulation) HostNames() []string { return s.hostNames }

// SendPacket sends a packet from a caller to a service through the named host or, if the name
// is empty, through a random host that accepts packets. It reports whether a host was found.
func (s *Simulation) SendPacket(host string, id RequestID, packet messenger.Packet) bool {
	return s.SendPacketAfter(0, host, id, packet)
}

// SendPacketAfter is SendPacket with a delay. The host is chosen when it is called.
func (s *Simulation) SendPacketAfter(delay time.Duration, host string, id RequestID, packet messenger.Packet) bool {
	if host == "" {
		host = s.randomHost()
	}
	if host == "" {
		return false
	}
	packet.Exchange = id.Exchange
	if packet.Kind == messenger.KindRequest && !packet.Flags.Has(messenger.FlagIdempotent) {
		s.nonIdempotentRequests[id] = true
	}
	packet.Payload = s.registerPacket(id, packet)
	s.scheduleEvent(delay+MessageLatency, host, &reducer.CallerPacket{Caller: id.Caller, Service: id.Service, Packet: packet})
	return true
}

// registerPacket stores a packet under a new ID and returns the payload that encodes the ID.
func (s *Simulation) registerPacket(id RequestID, packet messenger.Packet) []byte {
	s.lastPacketID++
	s.packetsByID[s.lastPacketID] = packetInfo{id: id, packet: packet}
	return binary.BigEndian.AppendUint64(nil, s.lastPacketID)
}

func (s *Simulation) randomHost() string {
	var accepting []string
	for _, name := range s.hostNames {
		if h := s.hosts[name]; h.running && h.reducer.Accepting() {
			accepting = append(accepting, name)
		}
	}
	if len(accepting) == 0 {
		return ""
	}
	return accepting[s.random.IntN(len(accepting))]
}

// Step advances the simulated time by d, rounded up to whole ticks.
func (s *Simulation) Step(d time.Duration) {
	end := s.Now.Add(d)
	for s.Now < end {
		tick := s.Now.Add(reducer.TickInterval)
		s.runEventsUntil(tick)
		s.Now = tick
		s.pollPlatform()
		for _, name := range s.hostNames {
			s.deliver(name, &reducer.Tick{})
		}
	}
}

// StepUntil advances the simulated time until a condition holds or the timeout has passed,
// and reports whether the condition holds.
func (s *Simulation) StepUntil(timeout time.Duration, condition func() bool) bool {
	for end := s.Now.Add(timeout); s.Now < end; {
		if condition() {
			return true
		}
		s.Step(reducer.TickInterval)
	}
	return condition()
}

// runEventsUntil processes all events that are due at or before the given time.
func (s *Simulation) runEventsUntil(until timekeeper.Instant) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(*scheduledEvent)
		s.Now = max(s.Now, e.at)
		if e.action != nil {
			e.action()
			continue
		}
		s.deliver(e.host, e.event)
	}
}

func (s *Simulation) pollPlatform() {
	if s.PlatformDown {
		return
	}
	revision := uint64(len(s.documents))
	if s.ServedRevision != 0 {
		revision = s.ServedRevision
	}
	for _, name := range s.hostNames {
		h := s.hosts[name]
		if h.watching && h.platformReachable && revision != h.reducer.Revision() && h.running && !h.paused {
			if revision > h.reducer.Revision() {
				s.PlatformReads++
			}
			s.deliver(name, &reducer.SettingsPublished{Revision: revision, Document: s.documents[revision-1]})
		}
	}
}

func (s *Simulation) deliver(name string, event reducer.Event) {
	h, ok := s.hosts[name]
	if !ok || !h.running {
		return
	}
	switch e := event.(type) {
	case *reducer.CallerPacket:
		e.Arrived = s.Now
	case *reducer.PeerMessage:
		e.Arrived = s.Now
	}
	if h.paused {
		if _, isTick := event.(*reducer.Tick); !isTick {
			h.backlog = append(h.backlog, event)
		}
		return
	}
	s.reduce(h, event)
}

func (s *Simulation) reduce(h *host, event reducer.Event) {
	reducer.Stamp(event, s.Now)
	for _, effect := range h.reducer.Reduce(event) {
		s.applyEffect(h, effect)
	}
}

func (s *Simulation) applyEffect(h *host, effect reducer.Effect) {
	switch e := effect.(type) {
	case *reducer.ToTarget:
		s.sendToTarget(h, *e)
	case *reducer.ToCaller:
		s.deliverToCaller(*e)
	case *reducer.Reply:
		id := RequestID{Caller: e.Caller, Service: e.Service, Exchange: e.Exchange}
		s.Replies = append(s.Replies, CallerReply{At: s.Now, ID: id, Outcome: e.Outcome, Reason: e.Reason})
	case *reducer.ToPeer:
		s.sendToPeer(h, e)
	case *reducer.Probe:
		s.probeTarget(h, e.Target)
	case *reducer.Watch:
		h.watching = e.Enabled
	case *reducer.Ended:
		h.left = true
		h.running = false
	case *reducer.Adopted, *reducer.Rejected, *reducer.Completed, *reducer.Logged:
	}
}

func (s *Simulation) deliverToCaller(e reducer.ToCaller) {
	info := s.packetsByID[binary.BigEndian.Uint64(e.Payload)]
	s.Responses = append(s.Responses, CallerResponse{At: s.Now, Caller: e.Caller, ID: info.id})
}

func (s *Simulation) sendToPeer(h *host, e *reducer.ToPeer) {
	from := h.name
	if _, ok := e.Body.(*messenger.Forward); ok {
		s.ForwardedPackets++
	} else {
		s.ControlMessages++
		if s.MeasureControlBytes {
			s.countControlBytes(from, e)
		}
	}
	if s.cutLinks[[2]string{from, e.Host}] {
		return
	}
	s.scheduleEvent(MessageLatency, e.Host, &reducer.PeerMessage{From: from, Body: copyBody(e.Body)})
}

func (s *Simulation) countControlBytes(from string, e *reducer.ToPeer) {
	codec, ok := s.codecs[from]
	if !ok {
		codec = encoder.New(from, nil)
		s.codecs[from] = codec
	}
	data, err := codec.Encode(e.Host, e.Body)
	if err != nil {
		panic(fmt.Sprintf("encode control message: %v", err))
	}
	s.ControlBytes[from] += len(data)
}

// copyBody copies a Forward, since the reducer reuses it in its next call. Other messages
// are returned as they are.
func copyBody(body messenger.Body) messenger.Body {
	if forward, ok := body.(*messenger.Forward); ok {
		copied := *forward
		return &copied
	}
	return body
}

// Executions returns the number of executions of a request over all targets.
func (s *Simulation) Executions(id RequestID) int {
	executions := 0
	for _, t := range s.targets {
		executions += t.Executions[id]
	}
	return executions
}

// ReturnAddress returns the source address of the packets that targets receive for a request.
// It is the zero address if no host has settings with the request's service.
func (s *Simulation) ReturnAddress(id RequestID) netip.Addr {
	for _, name := range s.hostNames {
		settings := s.hosts[name].reducer.Settings()
		if settings == nil {
			continue
		}
		if service, ok := settings.ServiceByAddress(id.Service); ok {
			key, _ := resolver.NewFlowKey(id.Caller, service.ID)
			return resolver.ReturnAddress(service.ReturnPrefix, key)
		}
	}
	return netip.Addr{}
}

// IsNonIdempotent reports whether a request was sent as non-idempotent.
func (s *Simulation) IsNonIdempotent(id RequestID) bool { return s.nonIdempotentRequests[id] }
