package steerer_test

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"cranberryspan.dev/core/evacuator"
	"cranberryspan.dev/core/sequencer"
	"cranberryspan.dev/core/steerer"
	"cranberryspan.dev/core/throttler"
	"cranberryspan.dev/core/timekeeper"
	"github.com/stretchr/testify/require"
)

// tester is the interface that a test and a fuzz run have in common.
type tester interface {
	require.TestingT
	Fatalf(format string, args ...any)
	Helper()
}

// fleet simulates hosts and a platform with a clock of its own. Calls and messages take
// linkDelay.
type fleet struct {
	t      tester
	now    timekeeper.Instant
	names  []string
	hosts  map[string]*host
	timers []timer

	settings *steerer.Settings
	targets  map[string]steerer.Target
	revision uint64
	// era counts the platform's restores; 0 if the platform reports no era.
	era uint64
	// orders are the platform's evacuation orders.
	orders evacuator.Orders
	// settingsPropagationLimit is the propagation limit of settings in the configuration of
	// hosts that start; 3 s if 0. documentBytes is the size of the published document.
	settingsPropagationLimit time.Duration
	documentBytes            int
	// drainingPropagationLimit is the same limit for draining targets.
	drainingPropagationLimit time.Duration
	// hostsWithoutSyncResponses are hosts whose sync requests get no response. inboundDelay is
	// how late hosts process what they receive.
	hostsWithoutSyncResponses map[string]bool
	inboundDelay              map[string]time.Duration
	// evacuationPropagationLimit and regions are in the configuration of hosts that start.
	evacuationPropagationLimit time.Duration
	regions                    map[string]string
	// quotas are in the configuration of hosts that start.
	quotas []throttler.Quota
	// listings holds what the platform listed at each position that it has returned.
	listings map[sequencer.Position]platformListing
	// malformed are the malformed entries that the platform lists.
	malformed []steerer.MalformedTarget
	// down says that the platform responds to no host, deniedHosts names hosts that it denies.
	down        bool
	deniedHosts map[string]bool
	cutLinks    map[[2]string]bool
	// isolatedZone is cut off from the other zones and from the platform; see isolateZone.
	isolatedZone string
	// probeOutcomes holds the outcome of probes by target; the others are healthy.
	probeOutcomes map[string]steerer.ProbeOutcome
	reads         int
	// staleReads counts the reads that may have returned data some seconds old.
	staleReads   int
	syncRequests int
	// settingsReadTime and targetsReadTime are how long a read of them takes; linkDelay if 0.
	settingsReadTime time.Duration
	targetsReadTime  time.Duration
	// reportDelay is how long a report is in transit; linkDelay if 0.
	reportDelay time.Duration
	// syncResponseDelay is how long a host takes to respond to a sync request; linkDelay if 0.
	syncResponseDelay time.Duration
	// pendingSyncRequests counts the sync requests of each host that have no response yet,
	// peakPendingSyncRequests is the most that any host had at once.
	pendingSyncRequests     map[string]int
	peakPendingSyncRequests int
	// maxConcurrentSyncResponses limits the sync requests that a host responds to at once; 0 is
	// no limit.
	maxConcurrentSyncResponses int
	probes                     int
	// reports counts the reports that hosts sent each other, crossZoneReports those that went
	// to another zone.
	reports          int
	crossZoneReports int
	// reportBytes counts the bytes of encoded reports that hosts sent each other; -1 disables
	// the count.
	reportBytes int
	// syncResponseBytes counts the bytes of target lists in sync responses while reportBytes is
	// counted.
	syncResponseBytes int
}

type host struct {
	steerer *steerer.Steerer
	address netip.AddrPort
	running bool
	starts  uint64
	sent    []sentPacket
	resets  []steerer.ResetFlow
	logs    []steerer.WriteLog
	ended   bool
	// activeSyncResponses counts the sync requests that the host is responding to.
	activeSyncResponses int
	// maxFlows is the size of the host's flow table; 10,000 if 0.
	maxFlows int
	// linkBytesPerSecond is the capacity of the host's link; 0 is unknown.
	linkBytesPerSecond int
	// reads counts the host's reads of the platform.
	reads int
}

// sentPacket is a packet that a host forwarded.
type sentPacket struct {
	target string
	tag    steerer.Tag
	data   string
	// flow is the address of the packet's caller.
	flow string
}

type timer struct {
	at  timekeeper.Instant
	run func()
}

const linkDelay = 2 * time.Millisecond

var (
	errPlatformDown   = errors.New("the platform does not answer")
	errMalformedEntry = errors.New("no service")
)

// Routes of every test: reads and checks go to ledger, uploads to intake.
var (
	readRoute   = netip.MustParseAddrPort("198.18.0.1:443")
	checkRoute  = netip.MustParseAddrPort("198.18.0.1:444")
	uploadRoute = netip.MustParseAddrPort("198.18.0.2:443")
)

func routes() []steerer.Route {
	ledger, intake := []steerer.WeightedService{{Service: "ledger", Weight: 1}}, []steerer.WeightedService{{Service: "intake", Weight: 1}}
	return []steerer.Route{
		{Name: "read", Address: readRoute, Shares: ledger, Kind: steerer.KindIdempotent, Timeout: 2500 * time.Millisecond},
		{Name: "check", Address: checkRoute, Shares: ledger, Kind: steerer.KindNonIdempotent, Timeout: 3 * time.Second},
		{Name: "upload", Address: uploadRoute, Shares: intake, Kind: steerer.KindUpload, Timeout: 5 * time.Second},
	}
}

func newSettings(version uint64, routes []steerer.Route) *steerer.Settings {
	return steerer.NewSettings(version, routes, []steerer.Service{{Name: "ledger", HealthPath: "/healthz"}}, 15*time.Second)
}

// newFleet starts hosts in zones a, b, ... and waits until all are ready. A host's name is its
// zone and a number.
func newFleet(t tester, hostsByZone ...int) *fleet {
	t.Helper()
	f := &fleet{
		t: t, now: timekeeper.Instant(time.Second), hosts: map[string]*host{}, targets: map[string]steerer.Target{},
		deniedHosts: map[string]bool{}, cutLinks: map[[2]string]bool{}, pendingSyncRequests: map[string]int{}, listings: map[sequencer.Position]platformListing{}, probeOutcomes: map[string]steerer.ProbeOutcome{},
		settings: newSettings(1, routes()), revision: 1, reportBytes: -1,
	}
	for zone, count := range hostsByZone {
		for n := 1; n <= count; n++ {
			name := fmt.Sprintf("%c%d", 'a'+zone, n)
			f.names = append(f.names, name)
			f.hosts[name] = &host{address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(zone + 1), byte(n >> 8), byte(n)}), 7000)}
		}
	}
	for i := range 6 {
		f.addTarget(fmt.Sprintf("i-1%07x", i+1), "ledger", string(rune('a'+i%max(len(hostsByZone), 1))))
	}
	for i := range 3 {
		f.addTarget(fmt.Sprintf("i-2%07x", i+1), "intake", string(rune('a'+i%max(len(hostsByZone), 1))))
	}
	for _, name := range f.names {
		f.start(name)
	}
	f.step(2 * time.Second)
	for _, name := range f.names {
		require.True(t, f.hosts[name].steerer.Ready(), name)
	}
	return f
}

// addTarget adds a target to the platform's list and returns it.
func (f *fleet) addTarget(id, service, zone string) steerer.Target {
	number, ok := steerer.ParseTargetNumber(id)
	require.True(f.t, ok)
	f.revision++
	target := steerer.Target{
		ID: id, Number: number, Service: service, AvailabilityZone: zone, Slots: 3,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 64, byte(number >> 28), byte(number)}), 8080),
	}
	f.targets[id] = target
	return target
}

func (f *fleet) drain(id string) {
	target := f.targets[id]
	target.Draining = true
	f.targets[id] = target
	f.revision++
}

// restart restarts a target under its ID.
func (f *fleet) restart(id string) {
	target := f.targets[id]
	target.Incarnation += 1000
	target.Draining = false
	f.targets[id] = target
	f.revision++
}

// malformEntry replaces a target's entry by a malformed one.
func (f *fleet) malformEntry(id string) {
	f.remove(id)
	f.malformed = append(f.malformed, steerer.MalformedTarget{ID: id, Digest: f.revision, Err: errMalformedEntry})
}

// evacuate issues an evacuation order for a zone, withdrawEvacuation withdraws it.
func (f *fleet) evacuate(zone string) {
	f.revision++
	f.orders = f.orders.WithZone(zone, f.revision)
}

func (f *fleet) withdrawEvacuation(zone string) {
	f.revision++
	f.orders = f.orders.WithoutZone(zone, f.revision)
}

func (f *fleet) remove(id string) {
	delete(f.targets, id)
	f.revision++
}

// start starts a host that knows only seeds.
func (f *fleet) start(name string) {
	h := f.hosts[name]
	var seeds []netip.AddrPort
	for _, seed := range f.names[:min(3, len(f.names))] {
		seeds = append(seeds, f.hosts[seed].address)
	}
	h.starts++
	h.running = true
	h.ended = false
	if h.maxFlows == 0 {
		h.maxFlows = 10_000
	}
	h.steerer = steerer.New(steerer.Config{
		Self: name, Address: h.address, AvailabilityZone: name[:1], Seeds: seeds,
		Incarnation: h.starts, Seed: h.starts, MaxFlows: h.maxFlows, LinkBytesPerSecond: h.linkBytesPerSecond, Start: f.now,
		SettingsPropagationLimit: cmp.Or(f.settingsPropagationLimit, 3*time.Second), DrainingPropagationLimit: cmp.Or(f.drainingPropagationLimit, 3*time.Second),
		EvacuationPropagationLimit: f.evacuationPropagationLimit, Regions: f.regions, ColdBurstFactor: 1.5, ColdBurstAllowance: 5, Quotas: f.quotas,
	})
	f.reduce(name, &steerer.Tick{})
}

func (f *fleet) kill(name string) { f.hosts[name].running = false }

func (f *fleet) schedule(d time.Duration, do func()) {
	f.timers = append(f.timers, timer{at: f.now.Add(d), run: do})
}

// step advances the clock tick by tick; at each tick the hosts run in order of their names.
func (f *fleet) step(d time.Duration) {
	end := f.now.Add(d)
	for f.now < end {
		next := min(f.now.Add(steerer.TickInterval), end)
		f.runUntil(next)
		f.now = next
		for _, name := range f.names {
			f.reduce(name, &steerer.Tick{})
		}
	}
}

// runUntil runs the timers due until the given time, in order of time and insertion.
func (f *fleet) runUntil(end timekeeper.Instant) {
	for {
		best := -1
		for i, timer := range f.timers {
			if timer.at <= end && (best < 0 || timer.at < f.timers[best].at) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		next := f.timers[best]
		f.timers = slices.Delete(f.timers, best, best+1)
		f.now = max(f.now, next.at)
		next.run()
	}
}

func (f *fleet) reduce(name string, event steerer.Event) {
	h := f.hosts[name]
	if !h.running {
		return
	}
	steerer.SetTime(event, f.now)
	for _, effect := range slices.Clone(h.steerer.Reduce(event)) {
		f.perform(name, effect)
	}
}

func (f *fleet) perform(name string, effect steerer.Effect) {
	h := f.hosts[name]
	switch e := effect.(type) {
	case *steerer.ForwardPacket:
		data, flow, _ := strings.Cut(string(e.Data), "|")
		h.sent = append(h.sent, sentPacket{target: idOf(e.Number), tag: e.Tag, data: data, flow: flow})
	case *steerer.ResetFlow:
		h.resets = append(h.resets, *e)
	case *steerer.ReadSettings:
		f.readSettings(name, e.Options)
	case *steerer.ReadTargets:
		f.readTargets(name, e.Options)
	case *steerer.Probe:
		f.probe(name, *e)
	case *steerer.SendReport:
		f.sendReport(name, e)
	case *steerer.SendSyncRequest:
		f.sendSyncRequest(name, e)
	case *steerer.WriteLog:
		h.logs = append(h.logs, *e)
	case *steerer.Exit:
		h.ended = true
	case *steerer.ObserveLatency:
	}
}

func idOf(number steerer.TargetNumber) string { return fmt.Sprintf("i-%x", uint64(number)) }

func (f *fleet) platformResponds(name string) bool {
	return !f.down && !f.deniedHosts[name] && f.isolatedZone != name[:1]
}

// countRead counts a read of the platform by a host.
func (f *fleet) countRead(name string, mayBeStale bool) {
	f.reads++
	f.hosts[name].reads++
	if mayBeStale {
		f.staleReads++
	}
}

// document stands for the settings as they were published.
func (f *fleet) document() []byte {
	document := make([]byte, max(f.documentBytes, 1))
	document[0] = byte(f.settings.Version)
	return document
}

func (f *fleet) readSettings(name string, options steerer.ReadOptions) {
	f.countRead(name, options.MayBeStale)
	event := &steerer.SettingsRead{Started: f.now, MayBeStale: options.MayBeStale, Err: errPlatformDown}
	if f.platformResponds(name) {
		orders := f.orders.WithRevision(f.revision)
		orders.Position.Era = f.responseEra(options)
		event.Published = steerer.Published{Settings: f.settings, Document: f.document(), Orders: orders}
		event.Err = nil
	}
	f.schedule(max(linkDelay, f.settingsReadTime)+f.inboundDelay[name], func() { f.reduce(name, event) })
}

// responseEra is the era of a platform response: the platform's own, or, if it reports none,
// the one in the read options.
func (f *fleet) responseEra(options steerer.ReadOptions) uint64 {
	if f.era == 0 {
		return options.Era
	}
	return f.era
}

func (f *fleet) readTargets(name string, options steerer.ReadOptions) {
	f.countRead(name, options.MayBeStale)
	event := &steerer.TargetsRead{Started: f.now, MayBeStale: options.MayBeStale, Err: errPlatformDown}
	if f.platformResponds(name) {
		event.Err, event.List = nil, f.changesSince(options)
	}
	f.schedule(max(linkDelay, f.targetsReadTime), func() { f.reduce(name, event) })
}

// platformListing is what the platform listed at a position.
type platformListing struct {
	targets   map[string]steerer.Target
	malformed []steerer.MalformedTarget
}

// changesSince returns the changes since a position that the platform has returned before, or
// the full list.
func (f *fleet) changesSince(options steerer.ReadOptions) steerer.TargetList {
	list := steerer.TargetList{Position: sequencer.At(f.responseEra(options), f.revision)}
	previous, known := f.listings[options.Since]
	if known && options.Since.Era == list.Position.Era {
		list.Since = options.Since
	} else {
		previous = platformListing{}
	}
	for id, target := range f.targets {
		if old, listed := previous.targets[id]; !listed || old != target {
			list.Targets = append(list.Targets, target)
		}
	}
	for id := range previous.targets {
		_, listed := f.targets[id]
		malformed := slices.ContainsFunc(f.malformed, func(one steerer.MalformedTarget) bool { return one.ID == id })
		if !listed && !malformed {
			list.MissingIDs = append(list.MissingIDs, id)
		}
	}
	for _, one := range f.malformed {
		if !slices.Contains(previous.malformed, one) {
			list.Malformed = append(list.Malformed, one)
		}
	}
	slices.SortFunc(list.Targets, func(x, y steerer.Target) int { return strings.Compare(x.ID, y.ID) })
	slices.Sort(list.MissingIDs)
	f.listings[list.Position] = platformListing{targets: maps.Clone(f.targets), malformed: slices.Clone(f.malformed)}
	return list
}

func (f *fleet) probe(name string, e steerer.Probe) {
	f.probes++
	outcome, ok := f.probeOutcomes[e.Target]
	took := linkDelay
	if !ok {
		outcome = steerer.ProbeHealthy
	}
	if f.cutOff(name[:1], f.targetZone(e.Target)) {
		outcome = steerer.ProbeConnectTimeout
	}
	if outcome == steerer.ProbeConnectTimeout {
		took = e.Timeout * 5 / 3 // The host notices the timeout late.
	}
	f.schedule(took, func() {
		f.reduce(name, &steerer.ProbeCompleted{Target: e.Target, Incarnation: e.Incarnation, Outcome: outcome, Took: took})
	})
}

func (f *fleet) sendReport(name string, e *steerer.SendReport) {
	report := *e.Report
	if f.reportBytes >= 0 {
		f.reportBytes += encodedSize(f.t, e)
	}
	f.reports++
	for _, other := range f.names {
		if f.hosts[other].address == e.Address && other[0] != name[0] {
			f.crossZoneReports++
		}
		if f.hosts[other].address == e.Address && !f.cutLinks[[2]string{name, other}] {
			f.schedule(max(linkDelay, f.reportDelay)+f.inboundDelay[other], func() { f.reduce(other, &steerer.ReportReceived{From: name, Report: &report}) })
		}
	}
}

func (f *fleet) sendSyncRequest(name string, e *steerer.SendSyncRequest) {
	f.syncRequests++
	f.pendingSyncRequests[name]++
	f.peakPendingSyncRequests = max(f.peakPendingSyncRequests, f.pendingSyncRequests[name])
	other := f.hosts[e.Host]
	event := &steerer.SyncResponseReceived{From: e.Host, Err: errPlatformDown}
	busy := f.maxConcurrentSyncResponses > 0 && other.activeSyncResponses == f.maxConcurrentSyncResponses
	took := max(linkDelay, f.syncResponseDelay) + f.inboundDelay[name]
	switch {
	case f.hostsWithoutSyncResponses[name]:
		took = e.Timeout
	case other.running && !busy && !f.cutLinks[[2]string{name, e.Host}]:
		other.activeSyncResponses++
		f.schedule(50*time.Millisecond, func() { other.activeSyncResponses-- })
		event.Err = nil
		event.Response = other.steerer.SyncResponse(e.Request)
		if f.reportBytes >= 0 {
			f.syncResponseBytes += compressedSize(f.t, event.Response.Targets)
		}
		if event.Response.CompressedSettings != nil {
			event.Document, event.Settings = event.Response.CompressedSettings, f.settings
		}
	}
	f.schedule(took, func() {
		f.pendingSyncRequests[name]--
		f.reduce(name, event)
	})
}

// splitZone cuts all links between a zone and the others; the platform stays reachable.
func (f *fleet) splitZone(zone string) {
	for _, x := range f.names {
		for _, y := range f.names {
			f.cutLinks[[2]string{x, y}] = (x[:1] == zone) != (y[:1] == zone)
		}
	}
}

// isolateZone cuts a zone off from the other zones and from the platform; rejoinZone ends this.
func (f *fleet) isolateZone(zone string) {
	f.isolatedZone = zone
	f.splitZone(zone)
}

func (f *fleet) rejoinZone() {
	f.isolatedZone = ""
	clear(f.cutLinks)
}

// cutOff reports whether one of two zones is cut off from the other.
func (f *fleet) cutOff(x, y string) bool {
	return f.isolatedZone != "" && x != y && (f.isolatedZone == x || f.isolatedZone == y)
}

// caller is the caller's end of a flow.
type caller struct {
	f       *fleet
	address netip.AddrPort
	route   netip.AddrPort
	// target and tag are those of the forwarded opening packet.
	target       string
	tag          steerer.Tag
	sequence     uint32
	acknowledged uint32
}

func (f *fleet) caller(n int, route netip.AddrPort) *caller {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 8), byte(n)}), 40000)
	return &caller{f: f, address: address, route: route, sequence: 1000, acknowledged: 5000}
}

func (c *caller) packet(flags steerer.Flags, length uint32, data string) steerer.Packet {
	return steerer.Packet{
		Caller: c.address, Service: c.route, Tag: c.tag, Flags: flags, Length: length,
		Sequence: c.sequence, Acknowledged: c.acknowledged, Data: []byte(data + "|" + c.address.String()),
	}
}

// open sends the opening packet through a host, or a retransmission of it if copies is not 0,
// and records the target that it reached.
func (c *caller) open(name string, retransmits uint32) {
	p := c.packet(steerer.FlagOpen, 0, "open")
	p.Acknowledged, p.Tag = retransmits, 0
	before := len(c.f.hosts[name].sent)
	c.f.reduce(name, &steerer.CallerPacket{Packet: p})
	if all := c.f.hosts[name].sent; len(all) > before {
		c.target, c.tag = all[len(all)-1].target, all[len(all)-1].tag
	}
}

// establish acknowledges the target's response to the opening packet.
func (c *caller) establish(name string) {
	c.f.reduce(name, &steerer.CallerPacket{Packet: c.packet(steerer.FlagAck, 0, "ack")})
}

// sendRequest sends a request of one packet.
func (c *caller) sendRequest(name string) {
	p := c.packet(steerer.FlagAck, 100, "ask")
	c.f.reduce(name, &steerer.CallerPacket{Packet: p})
	c.sequence += 100
}

// sendPart sends a part of a large request.
func (c *caller) sendPart(name string, bytes uint32) {
	p := c.packet(steerer.FlagAck, bytes, strings.Repeat("x", int(bytes)))
	c.f.reduce(name, &steerer.CallerPacket{Packet: p})
	c.sequence += bytes
}

// retransmit sends the last request again.
func (c *caller) retransmit(name string) {
	p := c.packet(steerer.FlagAck, 100, "ask")
	p.Sequence -= 100
	c.f.reduce(name, &steerer.CallerPacket{Packet: p})
}

// ackResponse acknowledges a response.
func (c *caller) ackResponse(name string) {
	c.acknowledged += 500
	c.establish(name)
}

// close closes the caller's end.
func (c *caller) close(name string) {
	c.f.reduce(name, &steerer.CallerPacket{Packet: c.packet(steerer.FlagAck|steerer.FlagEnd, 0, "end")})
}

// lastTarget returns the target of the last packet forwarded by a host; empty before any.
func (f *fleet) lastTarget(name string) string {
	all := f.hosts[name].sent
	if len(all) == 0 {
		return ""
	}
	return all[len(all)-1].target
}
