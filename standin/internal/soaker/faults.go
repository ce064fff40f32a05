package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"cranberryspan.dev/platform/platformtest"
	"cranberryspan.dev/standin/internal/answerer"
	"cranberryspan.dev/standin/internal/router"
)

// fault is one kind of fault. Its function run injects the fault, returns when the fault is over
// and describes it.
type fault struct {
	name string
	// updatesUnaffected marks faults that do not delay updates to hosts, so that time limits
	// still hold.
	updatesUnaffected bool
	run               func(ctx context.Context, s *soakRun) string
}

// firstFaultSet lists the faults that every run may inject.
var firstFaultSet = []fault{
	{"terminate", false, terminate},
	{"terminateTwice", false, terminateTwice},
	{"kill", false, kill},
	{"pause", false, pause},
	{"killMany", false, killAllButFirst},
	{"store", false, degradeStore},
	{"storeForAll", false, degradeStoreForAll},
	{"peers", false, degradePeerTraffic},
	{"packets", false, degradePackets},
	{"crashTarget", true, crashTarget},
	{"reuseAddress", true, reuseAddress},
	{"replaceTarget", true, replaceTarget},
	{"publish", true, publishSettings},
	{"reload", true, reloadSettings},
}

// secondFaultSet lists the faults that Config.SecondFaultSet adds.
var secondFaultSet = []fault{
	{"storeLoses", false, loseStoreResponses},
	{"flapTarget", true, flapTarget},
	{"killAll", false, killAll},
	{"restartTarget", true, restartTarget},
	{"foreignEntry", true, writeMalformedEntry},
	{"overload", true, overloadTargets},
}

// thirdFaultSet lists the faults that Config.ThirdFaultSet adds.
var thirdFaultSet = []fault{
	{"forgetHistory", true, dropStoreHistory},
}

// restoreFault is added by Config.StoreRestores.
var restoreFault = fault{"restoreStore", false, restoreStore}

// evacuationFault is added by Config.ZoneEvacuations.
var evacuationFault = fault{"evacuateZone", true, evacuateZone}

// targetCuts lists the faults that Config.TargetCuts adds.
var targetCuts = []fault{
	{"cutTarget", true, cutTarget},
	{"cutEvacuatedTarget", true, cutEvacuatedTarget},
}

// zoneEvacuations holds the evacuation order that is in force, if any. It has its own lock, mu,
// since targets read it for each new flow.
type zoneEvacuations struct {
	// oneAtATime is held while a zone is evacuated, so that other zones remain in use.
	oneAtATime sync.Mutex

	mu        sync.Mutex
	zone      string
	orderedAt time.Time
}

func (e *zoneEvacuations) set(zone string, orderedAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.zone, e.orderedAt = zone, orderedAt
}

// evacuatedSince returns when the evacuation of a zone was ordered; the zero time if no order
// for the zone is in force.
func (e *zoneEvacuations) evacuatedSince(zone string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.zone != zone {
		return time.Time{}
	}
	return e.orderedAt
}

// evacuateZone orders the evacuation of a zone and later withdraws the order.
func evacuateZone(ctx context.Context, s *soakRun) string {
	if !s.evacuations.oneAtATime.TryLock() {
		return "skipped since another zone is being evacuated"
	}
	defer s.evacuations.oneAtATime.Unlock()
	zone, duration := zoneName(s.randomInt(len(s.config.HostsPerZone))), drainLimit+s.randomDuration(4*time.Second)
	s.evacuations.set(zone, time.Now())
	s.fleet.store.Evacuate(zone, true)
	sleep(ctx, duration)
	s.evacuations.set("", time.Time{})
	s.fleet.store.Evacuate(zone, false)
	return fmt.Sprintf("%s for %s", zone, duration)
}

// cutTarget cuts a target off for a while.
func cutTarget(ctx context.Context, s *soakRun) string {
	t, ok := s.takeLedgerTarget()
	if !ok {
		return "skipped since other faults hold all targets"
	}
	duration := s.cutOff(ctx, t)
	return fmt.Sprintf("%s for %s", t.Entry().ID, duration)
}

// cutOff cuts a target off for a while, returns it to the available ones and returns how long the
// cut has lasted.
func (s *soakRun) cutOff(ctx context.Context, t *answerer.Target) time.Duration {
	duration := time.Second + s.randomDuration(1500*time.Millisecond)
	t.CutOff()
	sleep(ctx, duration)
	if err := t.Reconnect(); err != nil {
		s.fleet.addProblem("%v", err)
	}
	s.returnTarget(t)
	return duration
}

// cutEvacuatedTarget orders the evacuation of a zone and cuts one of its targets off for a while.
// It withdraws the order once each idle caller has sent a request after recoveryTime.
func cutEvacuatedTarget(ctx context.Context, s *soakRun) string {
	if !s.evacuations.oneAtATime.TryLock() {
		return "skipped since another zone is being evacuated"
	}
	defer s.evacuations.oneAtATime.Unlock()
	t, ok := s.takeLedgerTarget()
	if !ok {
		return "skipped since other faults hold all targets"
	}
	zone := t.Entry().Zone
	s.evacuations.set(zone, time.Now())
	s.fleet.store.Evacuate(zone, true)
	sleep(ctx, s.randomDuration(time.Second))
	duration := s.cutOff(ctx, t)
	sleep(ctx, recoveryTime+idlePause)
	s.evacuations.set("", time.Time{})
	s.fleet.store.Evacuate(zone, false)
	return fmt.Sprintf("%s of %s for %s", t.Entry().ID, zone, duration)
}

func (s *soakRun) randomHost() *process { return s.fleet.hosts[s.randomInt(len(s.fleet.hosts))] }

func (s *soakRun) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(s.randomFloat() * float64(limit))
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func terminate(_ context.Context, s *soakRun) string {
	h := s.randomHost()
	h.signal(syscall.SIGTERM)
	if !h.exitsWithin(6 * time.Second) {
		s.fleet.addProblem("%s did not exit within 6 s of SIGTERM", h.Name)
		h.signal(syscall.SIGKILL)
		h.exitsWithin(time.Second)
	}
	s.start(h)
	return h.Name
}

func terminateTwice(ctx context.Context, s *soakRun) string {
	h, gap := s.randomHost(), s.randomDuration(time.Second)
	h.signal(syscall.SIGTERM)
	sleep(ctx, gap)
	h.signal(syscall.SIGTERM)
	if !h.exitsWithin(6 * time.Second) {
		s.fleet.addProblem("%s did not exit within 6 s of SIGTERM", h.Name)
	}
	s.start(h)
	return fmt.Sprintf("%s after %s", h.Name, gap)
}

func (s *soakRun) start(h *process) {
	if err := s.fleet.start(h); err != nil {
		s.fleet.addProblem("start %s: %v", h.Name, err)
	}
}

func kill(ctx context.Context, s *soakRun) string {
	h, down := s.randomHost(), s.randomDuration(1500*time.Millisecond)
	h.signal(syscall.SIGKILL)
	h.exitsWithin(time.Second)
	sleep(ctx, down)
	s.start(h)
	return fmt.Sprintf("%s for %s", h.Name, down)
}

// killAllButFirst kills all hosts but the first one at the same time.
func killAllButFirst(ctx context.Context, s *soakRun) string {
	down := s.randomDuration(800 * time.Millisecond)
	for _, h := range s.fleet.hosts[1:] {
		h.signal(syscall.SIGKILL)
	}
	sleep(ctx, down)
	for _, h := range s.fleet.hosts[1:] {
		h.exitsWithin(time.Second)
		s.start(h)
	}
	return down.String()
}

func pause(ctx context.Context, s *soakRun) string {
	h, duration := s.randomHost(), s.randomDuration(3*time.Second)
	h.signal(syscall.SIGSTOP)
	sleep(ctx, duration)
	h.signal(syscall.SIGCONT)
	return fmt.Sprintf("%s for %s", h.Name, duration)
}

func (s *soakRun) randomStoreMode() platformtest.Mode {
	return platformtest.Mode(1 + s.randomInt(3))
}

func degradeStore(ctx context.Context, s *soakRun) string {
	h, mode, duration := s.randomHost(), s.randomStoreMode(), s.randomDuration(5*time.Second)
	s.fleet.store.SetMode(h.Name, mode)
	sleep(ctx, duration)
	s.fleet.store.SetMode(h.Name, platformtest.ModeServing)
	return fmt.Sprintf("%s mode %d for %s", h.Name, mode, duration)
}

func degradeStoreForAll(ctx context.Context, s *soakRun) string {
	mode, duration := s.randomStoreMode(), s.randomDuration(5*time.Second)
	s.setStoreModeForAll(mode)
	sleep(ctx, duration)
	s.setStoreModeForAll(platformtest.ModeServing)
	return fmt.Sprintf("mode %d for %s", mode, duration)
}

// degradePeerTraffic disturbs the datagrams to one host from some of the others, and all
// connections that are opened to it meanwhile. The datagrams that it sends are not affected.
func degradePeerTraffic(ctx context.Context, s *soakRun) string {
	h, duration := s.randomHost(), s.randomDuration(4*time.Second)
	fault := []ProxyFault{{Drop: true}, {Delay: 400 * time.Millisecond}, {Reset: true}}[s.randomInt(3)]
	for _, other := range s.fleet.hosts {
		if s.randomInt(3) > 0 {
			h.proxy.setFault(other.listenAddress, fault)
		}
	}
	sleep(ctx, duration)
	for _, other := range s.fleet.hosts {
		h.proxy.setFault(other.listenAddress, ProxyFault{})
	}
	return fmt.Sprintf("%s %+v for %s", h.Name, fault, duration)
}

// degradePackets drops or delays the packets from the router to a host.
func degradePackets(ctx context.Context, s *soakRun) string {
	h, duration := s.randomHost(), s.randomDuration(1500*time.Millisecond)
	fault := []router.Fault{{Drop: true}, {Delay: 100 * time.Millisecond}}[s.randomInt(2)]
	s.router.SetFault(h.Name, fault)
	sleep(ctx, duration)
	s.router.SetFault(h.Name, router.Fault{})
	return fmt.Sprintf("%s %+v for %s", h.Name, fault, duration)
}

// entryTTL is the time for which the entry of an unresponsive target stays listed: three
// heartbeats.
const entryTTL = 3600 * time.Millisecond

func crashTarget(ctx context.Context, s *soakRun) string {
	t := s.takeTarget()
	t.StopResponding()
	sleep(ctx, entryTTL)
	s.fleet.store.RemoveTarget(t.Entry().ID)
	t.Stop()
	s.addTarget(ctx, t.Entry().Service, s.randomInt(len(s.config.HostsPerZone)), s.newTargetAddress())
	return t.Entry().ID
}

// reuseAddress crashes a target and gives its address to a target of the other service, while
// the old entry is still listed.
func reuseAddress(ctx context.Context, s *soakRun) string {
	t := s.takeTarget()
	entry := t.Entry()
	t.Stop()
	sleep(ctx, 2*time.Second)
	service := ledger
	if entry.Service == ledger {
		service = intake
	}
	s.addTarget(ctx, service, s.randomInt(len(s.config.HostsPerZone)), entry.Address)
	sleep(ctx, entryTTL-2*time.Second)
	s.fleet.store.RemoveTarget(entry.ID)
	s.addTarget(ctx, entry.Service, s.randomInt(len(s.config.HostsPerZone)), s.newTargetAddress())
	return entry.ID
}

func replaceTarget(ctx context.Context, s *soakRun) string {
	t := s.takeTarget()
	s.addTarget(ctx, t.Entry().Service, s.randomInt(len(s.config.HostsPerZone)), s.newTargetAddress())
	s.fleet.store.PutTarget(t.StartDraining())
	sleep(ctx, drainLimit+2*time.Second)
	t.Stop()
	s.fleet.store.RemoveTarget(t.Entry().ID)
	return t.Entry().ID
}

// publishSettings publishes settings that add or remove the optional route, and checks after
// inForceLimit that they are in force at all hosts.
func publishSettings(ctx context.Context, s *soakRun) string {
	s.publishLock.Lock()
	defer s.publishLock.Unlock()
	s.version += uint64(1 + s.randomInt(5))
	s.optionalRoutePublished = !s.optionalRoutePublished
	if err := s.fleet.store.Publish(s.version, s.routes()); err != nil {
		s.fleet.addProblem("publish: %v", err)
	}
	published := time.Now()
	sleep(ctx, inForceLimit)
	s.checkVersionInForce(ctx, published)
	return fmt.Sprintf("version %d, optional route %v", s.version, s.optionalRoutePublished)
}

// reloadSettings appends a comment to a host's settings file and, in two of three cases, sends
// SIGHUP.
func reloadSettings(_ context.Context, s *soakRun) string {
	h := s.randomHost()
	text, err := os.ReadFile(h.settingsPath)
	if err == nil {
		err = os.WriteFile(h.settingsPath, append(text, []byte("# changed\n")...), 0o600)
	}
	if err != nil {
		s.fleet.addProblem("change %s: %v", h.settingsPath, err)
	}
	if s.randomInt(3) > 0 {
		h.signal(syscall.SIGHUP)
	}
	return h.Name
}

// loseStoreResponses makes the store accept the calls of some hosts and close the connections
// without a response.
func loseStoreResponses(ctx context.Context, s *soakRun) string {
	duration := s.randomDuration(4 * time.Second)
	var names []string
	for _, h := range s.fleet.hosts {
		if s.randomInt(2) > 0 {
			s.fleet.store.SetMode(h.Name, platformtest.ModeAborting)
			names = append(names, h.Name)
		}
	}
	sleep(ctx, duration)
	for _, name := range names {
		s.fleet.store.SetMode(name, platformtest.ModeServing)
	}
	return fmt.Sprintf("%v for %s", names, duration)
}

// flapTarget repeatedly removes a target's entry from the list and restores it, while the target
// keeps working.
func flapTarget(ctx context.Context, s *soakRun) string {
	t := s.takeTarget()
	count := 1 + s.randomInt(3)
	for range count {
		s.fleet.store.RemoveTarget(t.Entry().ID)
		sleep(ctx, s.randomDuration(2*time.Second))
		s.fleet.store.PutTarget(t.Entry())
		sleep(ctx, s.randomDuration(2*time.Second))
	}
	s.returnTarget(t)
	return fmt.Sprintf("%s %d times", t.Entry().ID, count)
}

// killAll kills all hosts at the same time, so that a restarted host finds no sync peer.
func killAll(ctx context.Context, s *soakRun) string {
	down := s.randomDuration(1500 * time.Millisecond)
	for _, h := range s.fleet.hosts {
		h.signal(syscall.SIGKILL)
	}
	sleep(ctx, down)
	for _, h := range s.fleet.hosts {
		h.exitsWithin(time.Second)
		s.start(h)
	}
	return down.String()
}

// restartTarget restarts a target after a crash, under the same ID and address, up to three
// times.
func restartTarget(ctx context.Context, s *soakRun) string {
	t := s.takeTarget()
	count := 1 + s.randomInt(3)
	for range count {
		s.fleet.store.PutTarget(t.Restart())
		sleep(ctx, s.randomDuration(2*time.Second))
	}
	s.returnTarget(t)
	return fmt.Sprintf("%s %d times", t.Entry().ID, count)
}

// malformedValues are malformed values of target entries, which are JSON strings in base64. The
// last two decode to {} and [].
var malformedValues = []string{`"not base64!"`, `17`, `null`, `""`, `"e30="`, `"W10="`}

// writeMalformedEntry writes a malformed entry, as another program could, in half of the cases
// over the entry of a target.
func writeMalformedEntry(ctx context.Context, s *soakRun) string {
	id := "readme"
	if s.randomInt(2) > 0 {
		t := s.takeTarget()
		id = t.Entry().ID
		defer s.returnTarget(t)
	}
	value := malformedValues[s.randomInt(len(malformedValues))]
	s.fleet.store.WriteMalformed(id, json.RawMessage(value))
	sleep(ctx, s.randomDuration(3*time.Second))
	s.fleet.store.WriteMalformed(id, nil)
	return fmt.Sprintf("%s of %s", value, id)
}

// changesOutage is how long the store reports no changes before it drops its history.
const changesOutage = time.Second

// dropStoreHistory makes the store drop its history while a target is replaced, so that the
// replacement is never reported as a change.
func dropStoreHistory(ctx context.Context, s *soakRun) string {
	dropped := make(chan struct{})
	go func() {
		s.fleet.store.CompactHistory(changesOutage)
		close(dropped)
	}()
	replaced := replaceTarget(ctx, s)
	<-dropped
	return replaced
}

// restoreStore takes the store down for up to 1 s and restores it from a backup that is up to
// 5 s old, in half of the cases twice. Lost entries are written again within rewriteLimit.
func restoreStore(ctx context.Context, s *soakRun) string {
	if !s.restoreLock.TryLock() {
		return "skipped since another restore is in progress"
	}
	defer s.restoreLock.Unlock()
	backup, age := s.fleet.store.Snapshot(), s.randomDuration(5*time.Second)
	sleep(ctx, age)
	times := 1 + s.randomInt(2)
	for range times {
		outage := s.randomDuration(time.Second)
		s.setStoreModeForAll(platformtest.ModeAborting)
		sleep(ctx, outage)
		rewrite := s.fleet.store.Restore(backup)
		s.setStoreModeForAll(platformtest.ModeServing)
		sleep(ctx, s.randomDuration(rewriteLimit))
		rewrite()
	}
	return fmt.Sprintf("%d times, from %s", times, age)
}

// rewriteLimit is the time within which the entries that a restore has lost are written again.
const rewriteLimit = 2 * time.Second

// setStoreModeForAll sets the mode in which the store serves all hosts.
func (s *soakRun) setStoreModeForAll(mode platformtest.Mode) {
	for _, h := range s.fleet.hosts {
		s.fleet.store.SetMode(h.Name, mode)
	}
}

// overloadTargets multiplies the processing time of every target by twenty, so that demand
// exceeds capacity.
func overloadTargets(ctx context.Context, s *soakRun) string {
	duration := s.randomDuration(4 * time.Second)
	s.setProcessingTime(20 * processingTime)
	sleep(ctx, duration)
	s.setProcessingTime(processingTime)
	return duration.String()
}

func (s *soakRun) setProcessingTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.allTargets {
		t.SetProcessingTime(d)
	}
}
