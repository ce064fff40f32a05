// Package soaker is a soak test: it runs real hosts as processes under load from callers and
// injects faults from outside: signals, failures of the store, proxies that disturb the traffic
// between hosts, routers that lose packets, targets that crash. It checks the guarantees of the
// load balancer from what callers and targets observe.
package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"cranberryspan.dev/platform/platformtest"
	"cranberryspan.dev/standin/internal/answerer"
	"cranberryspan.dev/standin/internal/asker"
	"cranberryspan.dev/standin/internal/router"
)

const (
	ledger = "ledger"
	intake = "intake"
	// drainLimit and inForceLimit are the guaranteed limits, which the hosts' settings
	// drainingWithin and settingsWithin set to 3 s, plus 200 ms for scheduling delays of
	// the machine.
	drainLimit   = 3200 * time.Millisecond
	inForceLimit = 3200 * time.Millisecond
	// recoveryTime is the time after a disturbance from which time limits hold again.
	recoveryTime = 4 * time.Second
	// settleTime is the time without faults at the end of a run, before the final check.
	settleTime = 6 * time.Second
	// processingTime is the time that a target needs for a request.
	processingTime = 15 * time.Millisecond
	slotsPerTarget = 3
	// busyPause is the pause of other callers between two reads.
	busyPause = 30 * time.Millisecond
	// idlePause is the pause of idle callers between two requests: longer than a cut of a target and
	// recoveryTime together, and shorter than the idle timeout of flows.
	idlePause = 9 * time.Second
	// idleFlowsPerCaller is the number of flows that each idle caller keeps open.
	idleFlowsPerCaller = 4
	// latencyObjective is the latency objective of the routes that have one.
	latencyObjective = 100 * time.Millisecond
)

// Config is the configuration of a run.
type Config struct {
	Seed     uint64
	Duration time.Duration
	// BalancerPath is the balancer's binary.
	BalancerPath string
	// HostsPerZone is the number of hosts in each availability zone.
	HostsPerZone []int
	// CallersPerZone is the number of callers in each zone.
	CallersPerZone int
	// LedgerTargets is the initial number of targets of the service ledger. The service
	// intake has a third as many, but at least one per zone.
	LedgerTargets int
	// AddressBlock is the second byte of all addresses. Concurrent runs need different ones.
	AddressBlock int
	// OnlyFaults names the faults to inject; all if empty.
	OnlyFaults []string
	// SecondFaultSet adds the second fault set. It is optional since additional kinds of
	// faults change the faults that a seed yields, and regression tests use seeds of runs
	// without them.
	SecondFaultSet bool
	// ThirdFaultSet adds the second and the third fault set. It is optional for the same
	// reason.
	ThirdFaultSet bool
	// ZoneEvacuations adds evacuations of zones. It is optional for the same reason.
	ZoneEvacuations bool
	// StoreRestores adds restores of the store from a backup. It is optional for the same
	// reason.
	StoreRestores bool
	// TargetCuts adds faults that cut targets off while they go on working, and callers with idle
	// flows. It is optional for the same reason.
	TargetCuts bool
	// MeanFaultInterval is the mean time between the starts of two faults.
	MeanFaultInterval time.Duration
	// RequireAllAnswered makes every outcome other than OutcomeAnswered a problem, also a
	// refusal.
	RequireAllAnswered bool
}

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Outcomes   map[asker.Outcome]int
	Faults     []string
	Problems   []string
	StoreReads int
	// LogDir is the directory of the hosts' logs. It is kept if there are problems.
	LogDir string
}

// String returns the report as text.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d faults, %d reads of the store;", r.Seed, len(r.Faults), r.StoreReads)
	for outcome := asker.OutcomeAnswered; outcome <= asker.OutcomeWrongResponse; outcome++ {
		if n := r.Outcomes[outcome]; n > 0 {
			fmt.Fprintf(&b, " %s %d", outcome, n)
		}
	}
	for _, p := range r.Problems {
		fmt.Fprintf(&b, "\n  problem: %s", p)
	}
	if len(r.Problems) > 0 {
		fmt.Fprintf(&b, "\n  logs: %s\n  faults: %s", r.LogDir, strings.Join(r.Faults, "; "))
	}
	return b.String()
}

type soakRun struct {
	config Config
	fleet  *fleet
	router *router.Router
	record *answerer.Record

	mu            sync.Mutex
	random        *rand.Rand
	lastDisturbed time.Time
	activeFaults  int
	// availableTargets are the targets that faults may select, allTargets all that were ever
	// started.
	availableTargets []*answerer.Target
	allTargets       []*answerer.Target
	callers          []*asker.Caller
	targetIDCount    int
	addressCount     int
	requestCount     int
	outcomes         map[asker.Outcome]int
	faults           []string
	problems         []string

	evacuations            zoneEvacuations
	restoreLock            sync.Mutex
	publishLock            sync.Mutex
	version                uint64
	optionalRoutePublished bool
}

// Run executes one run.
func Run(ctx context.Context, config Config) (Report, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &soakRun{config: config, record: answerer.NewRecord(), random: rand.New(rand.NewPCG(config.Seed, 1)), outcomes: map[asker.Outcome]int{}}
	if s.fleet, err = newFleet(ctx, config, dir); err != nil {
		return Report{}, err
	}
	defer s.close()
	if err := s.setUp(ctx); err != nil {
		return Report{}, err
	}
	s.runLoad(ctx)
	report := s.buildReport(dir)
	if len(report.Problems) == 0 {
		_ = os.RemoveAll(dir)
	}
	return report, nil
}

// close stops the hosts, targets and callers, and releases their addresses for the next run.
func (s *soakRun) close() {
	s.fleet.killAll()
	s.mu.Lock()
	targets, callers := s.allTargets, s.callers
	s.mu.Unlock() // Targets call undisturbed, which locks mu, until they are closed.
	for _, t := range targets {
		t.Close()
	}
	for _, c := range callers {
		c.Close()
	}
}

func (s *soakRun) randomInt(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

func (s *soakRun) randomFloat() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

// setUp starts the targets, the hosts and the router, and waits until all hosts are in
// rotation.
func (s *soakRun) setUp(ctx context.Context) error {
	for i := range s.config.LedgerTargets {
		s.addTarget(ctx, ledger, i%len(s.config.HostsPerZone), s.newTargetAddress())
	}
	for i := range max(s.config.LedgerTargets/3, len(s.config.HostsPerZone)) {
		s.addTarget(ctx, intake, i%len(s.config.HostsPerZone), s.newTargetAddress())
	}
	s.version = 1
	if err := s.fleet.store.Publish(s.version, s.routes()); err != nil {
		return err
	}
	var hosts []router.Host
	for _, h := range s.fleet.hosts {
		hosts = append(hosts, h.Host)
		s.start(h)
	}
	var err error
	if s.router, err = router.New(hosts); err != nil {
		return err
	}
	s.router.Run(ctx)
	const startLimit = 15 * time.Second
	for end := time.Now().Add(startLimit); len(s.router.InRotation()) < len(hosts); {
		if time.Now().After(end) {
			return fmt.Errorf("not all hosts are in rotation after %s, only %v", startLimit, s.router.InRotation())
		}
		sleep(ctx, 50*time.Millisecond)
	}
	return nil
}

// newTargetAddress returns an address that has not been used by a target of this run.
func (s *soakRun) newTargetAddress() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addressCount++
	return s.fleet.address(100+s.addressCount/250, 1+s.addressCount%250, 8080)
}

func (s *soakRun) addTarget(ctx context.Context, service string, zone int, address netip.AddrPort) {
	s.mu.Lock()
	s.targetIDCount++
	id := fmt.Sprintf("i-%010x", 0x1000000000*(1+uint64(s.targetIDCount)%9)+uint64(s.targetIDCount))
	s.mu.Unlock()
	entry := platformtest.Target{ID: id, Service: service, Address: address, Zone: zoneName(zone), Slots: slotsPerTarget}
	t, err := answerer.New(ctx, answerer.Config{
		Entry: entry, ProcessingTime: processingTime, PacketPort: packetPort, DrainLimit: drainLimit,
		EvacuatedSince: func() time.Time { return s.evacuations.evacuatedSince(entry.Zone) },
	}, s.record, s.undisturbed)
	if err != nil {
		s.fleet.addProblem("start target: %v", err)
		return
	}
	s.mu.Lock()
	s.availableTargets = append(s.availableTargets, t)
	s.allTargets = append(s.allTargets, t)
	s.mu.Unlock()
	s.fleet.store.PutTarget(entry)
}

// takeTarget removes a random target from those that faults may select, and returns it.
func (s *soakRun) takeTarget() *answerer.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.removeTarget(s.random.IntN(len(s.availableTargets)))
}

// takeLedgerTarget does the same among the targets of the service ledger, which has the idle flows.
// It reports whether there is one.
func (s *soakRun) takeLedgerTarget() (*answerer.Target, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var indices []int
	for i, t := range s.availableTargets {
		if t.Service() == ledger {
			indices = append(indices, i)
		}
	}
	if len(indices) == 0 {
		return nil, false
	}
	return s.removeTarget(indices[s.random.IntN(len(indices))]), true
}

// removeTarget removes an available target by its index. s.mu is held.
func (s *soakRun) removeTarget(index int) *answerer.Target {
	t := s.availableTargets[index]
	s.availableTargets = slices.Delete(s.availableTargets, index, index+1)
	return t
}

// returnTarget makes a target available to other faults again.
func (s *soakRun) returnTarget(t *answerer.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.availableTargets = append(s.availableTargets, t)
}

// The addresses of the routes.
var (
	readRoute     = netip.MustParseAddrPort("198.18.0.1:443")
	checkRoute    = netip.MustParseAddrPort("198.18.0.1:444")
	uploadRoute   = netip.MustParseAddrPort("198.18.0.2:443")
	optionalRoute = netip.MustParseAddrPort("198.18.0.3:443")
)

func (s *soakRun) routes() []platformtest.Route {
	routes := []platformtest.Route{
		{Name: "read", Address: readRoute, Service: ledger, Kind: "idempotent", Timeout: 2500 * time.Millisecond, LatencyObjective: latencyObjective},
		{Name: "check", Address: checkRoute, Service: ledger, Kind: "non_idempotent", Timeout: 3 * time.Second, LatencyObjective: latencyObjective},
		{Name: "upload", Address: uploadRoute, Service: intake, Kind: "upload", Timeout: 5 * time.Second},
	}
	if s.optionalRoutePublished {
		routes = append(routes, platformtest.Route{Name: "optional", Address: optionalRoute, Service: ledger, Kind: "idempotent", Timeout: time.Second})
	}
	return routes
}

// runLoad runs the callers while faults are injected, and checks at the end that the system has
// recovered.
func (s *soakRun) runLoad(ctx context.Context) {
	loading, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for zone := range s.config.HostsPerZone {
		for n := range s.config.CallersPerZone {
			address := s.fleet.address(zone, 200+n, packetPort).Addr()
			c, err := asker.New(ctx, address, packetPort, func(p platformtest.Packet) { s.router.Forward(zoneName(zone), p) })
			if err != nil {
				s.fleet.addProblem("start caller: %v", err)
				continue
			}
			s.callers = append(s.callers, c)
			callers.Go(func() { s.readLoop(loading, c, busyPause) })
			callers.Go(func() { s.singleRequestLoop(loading, c) })
			if s.config.TargetCuts {
				for range idleFlowsPerCaller {
					callers.Go(func() { s.readLoop(loading, c, idlePause) })
				}
			}
		}
	}
	s.injectFaults(ctx)
	sleep(ctx, settleTime)
	before := s.outcomeCounts()
	sleep(ctx, 2*time.Second)
	s.checkRecovered(before, s.outcomeCounts())
	stop()
	callers.Wait()
}

// injectFaults starts random faults, which may overlap, and waits until all have ended.
func (s *soakRun) injectFaults(ctx context.Context) {
	var running sync.WaitGroup
	end := time.Now().Add(s.config.Duration)
	for time.Now().Before(end) && ctx.Err() == nil {
		kinds := firstFaultSet
		if s.config.SecondFaultSet {
			kinds = slices.Concat(firstFaultSet, secondFaultSet)
		}
		if s.config.ThirdFaultSet {
			kinds = slices.Concat(firstFaultSet, secondFaultSet, thirdFaultSet)
		}
		if s.config.ZoneEvacuations {
			kinds = append(slices.Clone(kinds), evacuationFault)
		}
		if s.config.TargetCuts {
			kinds = slices.Concat(kinds, targetCuts)
		}
		if s.config.StoreRestores {
			kinds = append(slices.Clone(kinds), restoreFault)
		}
		f := kinds[s.randomInt(len(kinds))]
		if len(s.config.OnlyFaults) > 0 && !slices.Contains(s.config.OnlyFaults, f.name) {
			continue
		}
		running.Go(func() { s.inject(ctx, f) })
		sleep(ctx, s.randomDuration(2*s.config.MeanFaultInterval))
	}
	running.Wait()
}

func (s *soakRun) inject(ctx context.Context, f fault) {
	s.recordDisturbance(f, 1)
	startedAt := time.Now()
	details := f.run(ctx, s)
	s.recordDisturbance(f, -1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fmt.Sprintf("%s %s %s", startedAt.Format("15:04:05.000"), f.name, details))
}

func (s *soakRun) recordDisturbance(f fault, change int) {
	if f.updatesUnaffected {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeFaults += change
	s.lastDisturbed = time.Now()
}

// undisturbed reports whether no fault has delayed updates to hosts during the last
// recoveryTime.
func (s *soakRun) undisturbed() bool { return s.undisturbedSince(time.Now()) }

// undisturbedSince reports whether no fault has delayed updates to hosts from recoveryTime
// before the given moment until now.
func (s *soakRun) undisturbedSince(moment time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.activeFaults == 0 && moment.Sub(s.lastDisturbed) > recoveryTime
}

func (s *soakRun) newRequestID(service string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestCount++
	return fmt.Sprintf("%s/%d", service, s.requestCount)
}

// readLoop sends one read after another, with a pause between two, in a flow that it keeps open
// while requests succeed.
func (s *soakRun) readLoop(ctx context.Context, c *asker.Caller, pause time.Duration) {
	var f *asker.Flow
	for ctx.Err() == nil {
		if f == nil {
			f = c.Open(readRoute)
		}
		id := s.newRequestID(ledger)
		outcome := f.Do(ctx, id, "read", 0, time.Now().Add(2500*time.Millisecond))
		s.checkOutcome(ctx, f, id, outcome, true)
		if outcome != asker.OutcomeAnswered || f.NoMoreRequests() {
			f.Close()
			f = nil
		}
		sleep(ctx, pause)
	}
}

// singleRequestLoop opens a new flow for each request. Every fourth request is an upload, the
// others are checks.
func (s *soakRun) singleRequestLoop(ctx context.Context, c *asker.Caller) {
	for n := 0; ctx.Err() == nil; n++ {
		service, route, kind, bytes := ledger, checkRoute, "check", 900
		if n%4 == 3 {
			service, route, kind, bytes = intake, uploadRoute, "upload", 40_000
		}
		f := c.Open(route)
		id := s.newRequestID(service)
		outcome := f.Do(ctx, id, kind, bytes, time.Now().Add(3*time.Second))
		s.checkOutcome(ctx, f, id, outcome, false)
		f.Close()
		sleep(ctx, 40*time.Millisecond)
	}
}

// checkOutcome counts the outcome of a request and records a problem if it violates a guarantee.
func (s *soakRun) checkOutcome(ctx context.Context, f *asker.Flow, id string, outcome asker.Outcome, idempotent bool) {
	if ctx.Err() != nil {
		return
	}
	executions := s.record.Executions(id)
	resetProblem := ""
	if outcome == asker.OutcomeResetByBalancer {
		resetProblem = s.checkReset(s.record.TargetOf(f.LocalAddress()), idempotent)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[outcome]++
	problem := ""
	switch {
	case outcome == asker.OutcomeWrongResponse:
		problem = "received the response to a different request"
	case executions > 1:
		problem = fmt.Sprintf("ran %d times", executions)
	case (outcome == asker.OutcomeNotOpened || outcome == asker.OutcomeRefused) && executions > 0:
		problem = "ran although it was refused as not run"
	case outcome == asker.OutcomeAnswered && executions == 0:
		problem = "was answered but did not run"
	case s.config.RequireAllAnswered && outcome != asker.OutcomeAnswered:
		problem = "ended with " + outcome.String()
	case outcome == asker.OutcomeResetByBalancer:
		problem = resetProblem
	}
	if problem != "" {
		s.problems = append(s.problems, fmt.Sprintf("%s %s of %s at %s %s", time.Now().Format("15:04:05.000"), id, f.LocalAddress(), s.record.TargetOf(f.LocalAddress()), problem))
	}
}

// checkReset returns the problem with a reset of an open flow by a host, or an empty string if
// the reset was justified. Targets call undisturbed, which locks s.mu, while they hold their own
// lock; to avoid a deadlock, s.mu must not be held during calls of their methods.
func (s *soakRun) checkReset(target string, idempotent bool) string {
	if !idempotent {
		return "was reset though it may have run"
	}
	s.mu.Lock()
	targets := slices.Clone(s.availableTargets)
	s.mu.Unlock()
	for _, t := range targets {
		if t.Entry().ID == target && t.ReachableFor(recoveryTime) {
			return "was reset while its target responds"
		}
	}
	return ""
}

// checkVersionInForce checks at every host that the latest settings version is in force, by
// opening a flow to the optional route. It gives up when a fault delays updates.
func (s *soakRun) checkVersionInForce(ctx context.Context, published time.Time) {
	for i, h := range s.fleet.hosts {
		if !s.undisturbedSince(published) {
			return
		}
		address := s.fleet.address(150, 1+i, packetPort).Addr()
		checkCtx, stop := context.WithCancel(ctx)
		c, err := asker.New(checkCtx, address, packetPort, func(p platformtest.Packet) { s.router.ForwardTo(h.PacketAddress, p, 0) })
		if err != nil {
			stop()
			s.fleet.addProblem("start caller: %v", err)
			return
		}
		f := c.Open(optionalRoute)
		outcome := f.Do(ctx, s.newRequestID(ledger), "read", 0, time.Now().Add(2*time.Second))
		f.Close()
		stop()
		c.Close()
		opened := outcome != asker.OutcomeNotOpened
		if opened != s.optionalRoutePublished && s.undisturbedSince(published) {
			s.fleet.addProblem("%s has not put version %d in force after %s: optional route %v, flow %s", h.Name, s.version, time.Since(published), s.optionalRoutePublished, outcome)
		}
	}
}

func (s *soakRun) outcomeCounts() map[asker.Outcome]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := map[asker.Outcome]int{}
	for outcome, n := range s.outcomes {
		copied[outcome] = n
	}
	return copied
}

// checkRecovered records a problem if requests failed, or none were answered, after the last
// fault and settleTime.
func (s *soakRun) checkRecovered(before, after map[asker.Outcome]int) {
	answered := after[asker.OutcomeAnswered] - before[asker.OutcomeAnswered]
	failed := 0
	for outcome, n := range after {
		if outcome != asker.OutcomeAnswered {
			failed += n - before[outcome]
		}
	}
	if failed > 0 || answered == 0 {
		s.fleet.addProblem("%s after the last fault, %d requests failed and %d were answered", settleTime, failed, answered)
	}
}

func (s *soakRun) buildReport(dir string) Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	problems := slices.Concat(s.problems, s.fleet.problems, s.record.Problems())
	return Report{Seed: s.config.Seed, Outcomes: s.outcomes, Faults: s.faults, Problems: problems, StoreReads: s.fleet.store.CallCount(), LogDir: dir}
}
