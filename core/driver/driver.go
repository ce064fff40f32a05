// Package driver runs many reducers in one process, with links, targets and
// callers that are plain data. Failure tests, the capacity measurements and the
// comparison with other placements are built on it.
//
// Time only moves when Step is called, every random choice comes from one seed,
// and events happen in one order, so a run repeats exactly.
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

// Latency is the time that every message and packet takes.
const Latency = time.Millisecond

// Fleet is hosts, targets and callers.
type Fleet struct {
	Now    timekeeper.Instant
	random *rand.Rand
	hosts  map[string]*host
	names  []string
	queue  eventQueue
	order  uint64
	starts uint64

	// documents are the published revisions; the platform serves Serving.
	documents [][]byte
	// PlatformDown stops all reads of the platform.
	PlatformDown bool
	// Serving is the revision that the platform serves; zero is the latest.
	Serving uint64
	cut     map[[2]string]bool

	targets       map[netip.AddrPort]*Target
	packets       map[uint64]packetNote
	nextID        uint64
	nonIdempotent map[RequestID]bool

	// Seeds are told to hosts that start.
	Seeds []string
	// Replies and Answers record what callers got, by exchange.
	Replies []CallerReply
	Answers []CallerAnswer
	// Sent records every packet that reached a target.
	Sent []TargetPacket
	// Bytes counts control bytes by sending host; Forwards counts packets.
	Bytes    map[string]int
	Forwards int
	// Messages counts control messages, Probes probes of targets.
	Messages int
	Probes   int
	// Measure makes the fleet encode control messages to count their bytes.
	Measure bool
	sealers map[string]*encoder.MessageCodec
	// PlatformReads counts reads that brought a document.
	PlatformReads int
}

type host struct {
	name     string
	reducer  *reducer.Reducer
	running  bool
	paused   bool
	ended    bool
	watching bool
	platform bool
	backlog  []reducer.Event
}

// RequestID names a request of a caller.
type RequestID struct {
	Caller   netip.AddrPort
	Service  netip.AddrPort
	Exchange messenger.Exchange
}

// CallerReply is a Reply of the system's own that reached a caller.
type CallerReply struct {
	At      timekeeper.Instant
	ID      RequestID
	Outcome reducer.Outcome
	Reason  reducer.Reason
}

// CallerAnswer is a target's answer that reached a caller.
type CallerAnswer struct {
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

// packetNote is what a payload stands for.
type packetNote struct {
	id     RequestID
	packet messenger.Packet
}

// New makes a fleet without hosts. document becomes revision 1.
func New(seed uint64, document []byte) *Fleet {
	return &Fleet{
		Now:           timekeeper.Instant(time.Second),
		random:        rand.New(rand.NewPCG(seed, 1)),
		hosts:         map[string]*host{},
		documents:     [][]byte{document},
		cut:           map[[2]string]bool{},
		targets:       map[netip.AddrPort]*Target{},
		packets:       map[uint64]packetNote{},
		Bytes:         map[string]int{},
		nonIdempotent: map[RequestID]bool{},
		sealers:       map[string]*encoder.MessageCodec{},
	}
}

// Start starts hosts, or starts them anew under a higher incarnation.
func (f *Fleet) Start(names ...string) {
	for _, name := range names {
		f.starts++
		if _, ok := f.hosts[name]; !ok {
			f.names = append(f.names, name)
			slices.Sort(f.names)
		}
		f.hosts[name] = &host{
			name: name,
			reducer: reducer.New(reducer.Config{
				Self:        name,
				Incarnation: f.starts * 1000,
				Seed:        f.starts,
				Timing:      detector.DefaultTiming(),
				SeedHosts:   f.Seeds,
				Start:       f.Now,
			}),
			running:  true,
			watching: true,
			platform: true,
		}
	}
}

// Kill ends a host without warning.
func (f *Fleet) Kill(name string) { f.hosts[name].running = false }

// Pause freezes a host; what reaches it waits until Wake.
func (f *Fleet) Pause(name string) { f.hosts[name].paused = true }

// Wake lets a paused host go on. It finds everything that came meanwhile.
func (f *Fleet) Wake(name string) {
	h := f.hosts[name]
	h.paused = false
	backlog := h.backlog
	h.backlog = nil
	for _, event := range backlog {
		f.reduce(h, event)
	}
}

// Shutdown asks a host to leave.
func (f *Fleet) Shutdown(name string) { f.deliver(name, &reducer.Shutdown{}) }

// Ended reports whether a host has left by itself.
func (f *Fleet) Ended(name string) bool { return f.hosts[name].ended }

// Running reports whether a host runs and is not paused.
func (f *Fleet) Running(name string) bool {
	h, ok := f.hosts[name]
	return ok && h.running && !h.paused
}

// Cut breaks the link between two hosts in both directions; Heal mends it.
func (f *Fleet) Cut(a, b string) { f.cut[[2]string{a, b}], f.cut[[2]string{b, a}] = true, true }

// Heal mends the link between two hosts.
func (f *Fleet) Heal(a, b string) { delete(f.cut, [2]string{a, b}); delete(f.cut, [2]string{b, a}) }

// Split cuts every link between a group of hosts and the others.
func (f *Fleet) Split(group ...string) { f.each(group, f.Cut) }

// Join mends every link between a group of hosts and the others.
func (f *Fleet) Join(group ...string) { f.each(group, f.Heal) }

func (f *Fleet) each(group []string, do func(a, b string)) {
	for _, a := range group {
		for _, b := range f.names {
			if !slices.Contains(group, b) {
				do(a, b)
			}
		}
	}
}

// CutPlatform sets whether a host reaches the platform.
func (f *Fleet) CutPlatform(name string, cut bool) { f.hosts[name].platform = !cut }

// Publish publishes a document as the next revision and returns its number.
func (f *Fleet) Publish(document []byte) uint64 {
	f.documents = append(f.documents, document)
	return uint64(len(f.documents))
}

// Reducer returns a host's reducer, to look at.
func (f *Fleet) Reducer(name string) *reducer.Reducer { return f.hosts[name].reducer }

// Names returns the hosts that were ever started, sorted.
func (f *Fleet) Names() []string { return f.names }

// Call sends a packet from a caller to a service, through the named host or,
// with an empty name, through a random running one. It reports whether there
// was a host to send through.
func (f *Fleet) Call(host string, id RequestID, packet messenger.Packet) bool {
	return f.CallAfter(0, host, id, packet)
}

// CallAfter is Call, a while later.
func (f *Fleet) CallAfter(d time.Duration, host string, id RequestID, packet messenger.Packet) bool {
	if host == "" {
		host = f.randomHost()
	}
	if host == "" {
		return false
	}
	packet.Exchange = id.Exchange
	if packet.Kind == messenger.KindRequest && !packet.Flags.Has(messenger.FlagIdempotent) {
		f.nonIdempotent[id] = true
	}
	packet.Payload = f.note(id, packet)
	f.after(d+Latency, host, &reducer.CallerPacket{Caller: id.Caller, Service: id.Service, Packet: packet})
	return true
}

// note gives a packet a payload that names it.
func (f *Fleet) note(id RequestID, packet messenger.Packet) []byte {
	f.nextID++
	f.packets[f.nextID] = packetNote{id: id, packet: packet}
	return binary.BigEndian.AppendUint64(nil, f.nextID)
}

func (f *Fleet) randomHost() string {
	var open []string
	for _, name := range f.names {
		if h := f.hosts[name]; h.running && h.reducer.Accepting() {
			open = append(open, name)
		}
	}
	if len(open) == 0 {
		return ""
	}
	return open[f.random.IntN(len(open))]
}

// Step lets time pass.
func (f *Fleet) Step(d time.Duration) {
	end := f.Now.Add(d)
	for f.Now < end {
		tick := f.Now.Add(reducer.TickInterval)
		f.drain(tick)
		f.Now = tick
		f.readPlatform()
		for _, name := range f.names {
			f.deliver(name, &reducer.Tick{})
		}
	}
}

// StepUntil lets time pass until a condition holds, at most for a while, and
// reports whether it holds.
func (f *Fleet) StepUntil(most time.Duration, condition func() bool) bool {
	for end := f.Now.Add(most); f.Now < end; {
		if condition() {
			return true
		}
		f.Step(reducer.TickInterval)
	}
	return condition()
}

// drain carries out everything that happens before a time.
func (f *Fleet) drain(until timekeeper.Instant) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(*scheduled)
		f.Now = max(f.Now, e.at)
		if e.do != nil {
			e.do()
			continue
		}
		f.deliver(e.host, e.event)
	}
}

func (f *Fleet) readPlatform() {
	if f.PlatformDown {
		return
	}
	revision := uint64(len(f.documents))
	if f.Serving != 0 {
		revision = f.Serving
	}
	for _, name := range f.names {
		h := f.hosts[name]
		if h.watching && h.platform && revision != h.reducer.Revision() && h.running && !h.paused {
			if revision > h.reducer.Revision() {
				f.PlatformReads++
			}
			f.deliver(name, &reducer.SettingsPublished{Revision: revision, Document: f.documents[revision-1]})
		}
	}
}

func (f *Fleet) deliver(name string, event reducer.Event) {
	h, ok := f.hosts[name]
	if !ok || !h.running {
		return
	}
	switch e := event.(type) {
	case *reducer.CallerPacket:
		e.Arrived = f.Now
	case *reducer.PeerMessage:
		e.Arrived = f.Now
	}
	if h.paused {
		if _, isTick := event.(*reducer.Tick); !isTick {
			h.backlog = append(h.backlog, event)
		}
		return
	}
	f.reduce(h, event)
}

func (f *Fleet) reduce(h *host, event reducer.Event) {
	reducer.Stamp(event, f.Now)
	for _, effect := range h.reducer.Reduce(event) {
		f.carryOut(h, effect)
	}
}

func (f *Fleet) carryOut(h *host, effect reducer.Effect) {
	switch e := effect.(type) {
	case *reducer.ToTarget:
		f.toTarget(h, *e)
	case *reducer.ToCaller:
		f.toCaller(*e)
	case *reducer.Reply:
		id := RequestID{Caller: e.Caller, Service: e.Service, Exchange: e.Exchange}
		f.Replies = append(f.Replies, CallerReply{At: f.Now, ID: id, Outcome: e.Outcome, Reason: e.Reason})
	case *reducer.ToPeer:
		f.toPeer(h, e)
	case *reducer.Probe:
		f.probe(h, e.Target)
	case *reducer.Watch:
		h.watching = e.Enabled
	case *reducer.Ended:
		h.ended = true
		h.running = false
	case *reducer.Adopted, *reducer.Rejected, *reducer.Completed, *reducer.Logged:
	}
}

func (f *Fleet) toCaller(e reducer.ToCaller) {
	note := f.packets[binary.BigEndian.Uint64(e.Payload)]
	f.Answers = append(f.Answers, CallerAnswer{At: f.Now, Caller: e.Caller, ID: note.id})
}

func (f *Fleet) toPeer(h *host, e *reducer.ToPeer) {
	from := h.name
	if _, ok := e.Body.(*messenger.Forward); ok {
		f.Forwards++
	} else {
		f.Messages++
		if f.Measure {
			f.count(from, e)
		}
	}
	if f.cut[[2]string{from, e.Host}] {
		return
	}
	f.after(Latency, e.Host, &reducer.PeerMessage{From: from, Body: copyBody(e.Body)})
}

func (f *Fleet) count(from string, e *reducer.ToPeer) {
	s, ok := f.sealers[from]
	if !ok {
		s = encoder.New(from, nil)
		f.sealers[from] = s
	}
	data, err := s.Encode(e.Host, e.Body)
	if err != nil {
		panic(fmt.Sprintf("a host made a message that can't be sealed: %v", err))
	}
	f.Bytes[from] += len(data)
}

// copyBody copies a message that the reducer uses again with its next call.
func copyBody(body messenger.Body) messenger.Body {
	if forward, ok := body.(*messenger.Forward); ok {
		kept := *forward
		return &kept
	}
	return body
}

// Runs sums the executions of a request over all targets.
func (f *Fleet) Runs(id RequestID) int {
	runs := 0
	for _, t := range f.targets {
		runs += t.Runs[id]
	}
	return runs
}

// ReturnAddress returns the address from which targets get a caller's packets.
func (f *Fleet) ReturnAddress(id RequestID) netip.Addr {
	for _, name := range f.names {
		settings := f.hosts[name].reducer.Settings()
		if settings == nil {
			continue
		}
		if s, ok := settings.ServiceByAddress(id.Service); ok {
			key, _ := resolver.NewFlowKey(id.Caller, s.ID)
			return resolver.ReturnAddress(s.ReturnPrefix, key)
		}
	}
	return netip.Addr{}
}

// IsNonIdempotent reports whether a request was one that must not run twice.
func (f *Fleet) IsNonIdempotent(id RequestID) bool { return f.nonIdempotent[id] }
