// Package driver runs many reducers in one process, with links, targets and
// callers that are plain data. Failure tests, the capacity measurements and the
// comparison with other placements are built on it.
//
// Time only moves when Step is called, every random choice comes from one seed,
// and events happen in one order, so a run repeats exactly.
package driver

import (
	"cmp"
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

	targets map[netip.AddrPort]*Target
	packets map[uint64]packetNote
	nextID  uint64
	careful map[RequestID]bool

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
	sealers map[string]*encoder.Sealer
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

// Target is a target that answers every request after Work.
type Target struct {
	Address netip.AddrPort
	Work    time.Duration
	// Down makes the target silent.
	Down bool
	// Lies makes the target's health endpoint fail while requests are answered.
	Lies bool
	// Shed makes the target refuse every request without running it.
	Shed bool
	// Runs counts the executions of each request.
	Runs     map[RequestID]int
	InFlight int
	// Standing is work that the target reports beside what is in flight.
	Standing int
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
		Now:       timekeeper.Instant(time.Second),
		random:    rand.New(rand.NewPCG(seed, 1)),
		hosts:     map[string]*host{},
		documents: [][]byte{document},
		cut:       map[[2]string]bool{},
		targets:   map[netip.AddrPort]*Target{},
		packets:   map[uint64]packetNote{},
		Bytes:     map[string]int{},
		careful:   map[RequestID]bool{},
		sealers:   map[string]*encoder.Sealer{},
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

// Target returns the target at an address, made on first use.
func (f *Fleet) Target(address netip.AddrPort) *Target {
	t, ok := f.targets[address]
	if !ok {
		t = &Target{Address: address, Work: 5 * time.Millisecond, Runs: map[RequestID]int{}}
		f.targets[address] = t
	}
	return t
}

// Targets returns every target that was ever used, by address.
func (f *Fleet) Targets() map[netip.AddrPort]*Target { return f.targets }

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
		f.careful[id] = true
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
		tick := f.Now.Add(reducer.TickEvery)
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
		f.Step(reducer.TickEvery)
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
	switch e := event.(type) {
	case *reducer.CallerPacket:
		e.At = f.Now
	case *reducer.TargetPacket:
		e.At = f.Now
	case *reducer.PeerMessage:
		e.At = f.Now
	case *reducer.SettingsPublished:
		e.At = f.Now
	case *reducer.HostsPublished:
		e.At = f.Now
	case *reducer.ProbeAnswered:
		e.At = f.Now
	case *reducer.Tick:
		e.At = f.Now
	case *reducer.Shutdown:
		e.At = f.Now
	}
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

func (f *Fleet) toTarget(h *host, e reducer.ToTarget) {
	name, target := h.name, f.Target(e.Target)
	f.schedule(Latency, func() {
		note := f.packets[binary.BigEndian.Uint64(e.Payload)]
		f.Sent = append(f.Sent, TargetPacket{At: f.Now, Host: name, Target: e.Target, ID: note.id, Packet: note.packet})
		if target.Down || note.packet.Kind != messenger.KindRequest {
			return
		}
		f.run(target, e.Return, note)
	})
}

// run executes a request at a target and sends its answer.
func (f *Fleet) run(target *Target, back netip.Addr, note packetNote) {
	flags := messenger.FlagPiggybacked | note.packet.Flags&messenger.FlagStream
	work := target.Work
	if target.Shed {
		flags |= messenger.FlagRefused
		work = 0
	} else {
		target.Runs[note.id]++
		target.InFlight++
	}
	f.schedule(work, func() {
		if flags&messenger.FlagRefused == 0 {
			target.InFlight--
		}
		f.AnswerFrom(target.Address, back, note.id, flags)
	})
}

// AnswerFrom sends an answer from a target to a return address, through a
// random host.
func (f *Fleet) AnswerFrom(target netip.AddrPort, back netip.Addr, id RequestID, flags messenger.Flags) {
	packet := messenger.Packet{Kind: messenger.KindAnswer, Flags: flags, Exchange: id.Exchange}
	packet.Payload = f.note(id, packet)
	if host := f.randomHost(); host != "" {
		f.after(Latency, host, &reducer.TargetPacket{Target: target, Return: back, Packet: packet})
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
	data, err := s.Seal(e.Host, e.Body)
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

func (f *Fleet) probe(h *host, address netip.AddrPort) {
	target := f.Target(address)
	name := h.name
	f.Probes++
	f.schedule(2*Latency, func() {
		f.deliver(name, &reducer.ProbeAnswered{Target: address, Healthy: !target.Down && !target.Lies, InFlight: target.InFlight + target.Standing})
	})
}

// scheduled is something that happens at a time. Events of the same time happen
// in the order in which they were scheduled.
type scheduled struct {
	at    timekeeper.Instant
	order uint64
	host  string
	event reducer.Event
	do    func()
}

func (f *Fleet) after(d time.Duration, host string, event reducer.Event) {
	f.order++
	heap.Push(&f.queue, &scheduled{at: f.Now.Add(d), order: f.order, host: host, event: event})
}

func (f *Fleet) schedule(d time.Duration, do func()) {
	f.order++
	heap.Push(&f.queue, &scheduled{at: f.Now.Add(d), order: f.order, do: do})
}

// eventQueue is a heap of scheduled events.
type eventQueue []*scheduled

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if byTime := cmp.Compare(q[i].at, q[j].at); byTime != 0 {
		return byTime < 0
	}
	return q[i].order < q[j].order
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is for package heap.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(*scheduled)) }

// Pop is for package heap.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
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
		if s, ok := settings.ServiceAt(id.Service); ok {
			key, _ := resolver.NewFlowKey(id.Caller, s.ID)
			return resolver.ReturnAddress(s.ReturnPrefix, key)
		}
	}
	return netip.Addr{}
}

// IsCareful reports whether a request was one that must not run twice.
func (f *Fleet) IsCareful(id RequestID) bool { return f.careful[id] }

// Tree builds a settings tree of one region for experiments.
type Tree struct {
	// Zones lists how many hosts each availability zone has; hosts are named
	// "a1", "a2", "b1" and so on.
	Zones []int
	// Cells is how many cells each zone has.
	Cells int
	// Services are named s1, s2 and so on, with IDs from 1.
	Services []TreeService
	// RepeatWindow and the like go into the defaults, as "key: value" lines.
	Defaults []string
}

// TreeService is one service of a Tree.
type TreeService struct {
	// Targets are the numbers of the service's targets; see TargetAddress.
	Targets []int
	// Draining are the numbers of targets in the state draining.
	Draining []int
	// Address is the number of the service's address; see ServiceAddress.
	Address int
}

// ServiceAddress returns the address of the service with a number.
func ServiceAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 5683)
}

// TargetAddress returns the address of the target with a number.
func TargetAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(n >> 8), byte(n)}), 5683)
}

// HostName returns the name of a host of a Tree.
func HostName(zone, n int) string { return fmt.Sprintf("%c%d", 'a'+zone, n+1) }

// HostNames returns all names of hosts of the tree.
func (t Tree) HostNames() []string {
	var names []string
	for zone, hosts := range t.Zones {
		for n := range hosts {
			names = append(names, HostName(zone, n))
		}
	}
	return names
}

// Document writes the tree as YAML.
func (t Tree) Document() []byte {
	var b []byte
	line := func(format string, args ...any) { b = fmt.Appendf(b, format+"\n", args...) }
	line("version: 1")
	line("defaults:")
	line("  requestDeadline: 2s")
	for _, d := range t.Defaults {
		line("  %s", d)
	}
	line("regions:\n  r:\n    returnPrefix: fd00:1::/64\n    availabilityZones:")
	for zone, hosts := range t.Zones {
		line("      %c:\n        cells: %d\n        hosts:", 'a'+zone, max(t.Cells, 1))
		for n := range hosts {
			line("          %s: {address: 10.0.%d.%d:7000, fabricAddress: 10.0.%d.%d:7001, cell: %d}", HostName(zone, n), zone, n+1, zone, n+1, n%max(t.Cells, 1))
		}
	}
	line("    services:")
	for i, s := range t.Services {
		line("      s%d:\n        id: %d\n        tenant: t\n        address: %s\n        targets:", i+1, i+1, ServiceAddress(s.Address))
		for _, n := range s.Targets {
			state := "active"
			if slices.Contains(s.Draining, n) {
				state = "draining"
			}
			line("          t%d: {availabilityZone: %c, address: %s, state: %s}", n, 'a'+n%len(t.Zones), TargetAddress(n), state)
		}
	}
	return b
}

// MustResolve resolves a document that is known to be valid.
func MustResolve(document []byte) *resolver.Settings {
	settings, err := resolver.Resolve("tree", document)
	if err != nil {
		panic(err)
	}
	return settings
}
