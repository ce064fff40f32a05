// Package soaker runs real hosts as processes, lets callers use them, and injects
// faults from outside: signals, a store in trouble, proxies that harm what hosts
// tell each other, routers that lose packets, targets that crash. It checks the
// promises from what callers and targets see.
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
	// drainLimit and inForceLimit are the promises of the pages, with a little for
	// the scheduling of the computer that it runs on.
	drainLimit   = 3200 * time.Millisecond
	inForceLimit = 3200 * time.Millisecond
	// recoveryTime is how long after a disturbance promises with a time hold again.
	recoveryTime = 4 * time.Second
	// settleTime is how long all is left alone at the end, before the last look.
	settleTime = 6 * time.Second
	// processingTime is how long a target takes for a request.
	processingTime = 15 * time.Millisecond
	slotsPerTarget = 3
	// latencyObjective is the latency that callers hope for.
	latencyObjective = 100 * time.Millisecond
)

// Config says what a run is like.
type Config struct {
	Seed     uint64
	Duration time.Duration
	// BalancerPath is the balancer's binary.
	BalancerPath string
	// HostsPerZone is how many hosts each availability zone has.
	HostsPerZone []int
	// CallersPerZone is how many callers each zone has.
	CallersPerZone int
	// LedgerTargets is how many targets of ledger there are; a third as many of intake.
	LedgerTargets int
	// AddressBlock is the second byte of all addresses, so that runs don't meet.
	AddressBlock int
	// OnlyFaults names the faults that may come; all if empty.
	OnlyFaults []string
	// SecondFaultSet lets faults come that were added after the kept seeds: these would play
	// other runs with them.
	SecondFaultSet bool
	// ThirdFaultSet lets all faults come, Later's too, for the same reason.
	ThirdFaultSet bool
	// ZoneEvacuations lets operators evacuate zones besides, for the same reason.
	ZoneEvacuations bool
	// StoreRestores lets the store come back from copies besides, for the same reason.
	StoreRestores bool
	// MeanFaultInterval is the mean pause between two faults.
	MeanFaultInterval time.Duration
	// RequireAllAnswered makes every attempt that is not answered a problem.
	RequireAllAnswered bool
}

// Report is what a run has shown.
type Report struct {
	Seed       uint64
	Outcomes   map[asker.Outcome]int
	Faults     []string
	Problems   []string
	StoreReads int
	// LogDir is the folder with the hosts' logs; it is kept if there are problems.
	LogDir string
}

// String is the report as a text for people.
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
	// availableTargets are those that faults may choose, started all that ever ran.
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

// Run makes one run.
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

// close frees every address, for the next run.
func (s *soakRun) close() {
	s.fleet.killAll()
	s.mu.Lock()
	targets, callers := s.allTargets, s.callers
	s.mu.Unlock() // Targets ask for calm while they end.
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

// setUp starts targets, hosts and routers, and waits until all hosts are in
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
			return fmt.Errorf("in rotation after %s: %v", startLimit, s.router.InRotation())
		}
		sleep(ctx, 50*time.Millisecond)
	}
	return nil
}

// newTargetAddress is an address that no target had before.
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

// takeTarget takes a target out of those that later faults may choose.
func (s *soakRun) takeTarget() *answerer.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	index := s.random.IntN(len(s.availableTargets))
	t := s.availableTargets[index]
	s.availableTargets = slices.Delete(s.availableTargets, index, index+1)
	return t
}

// returnTarget lets later faults choose a target again.
func (s *soakRun) returnTarget(t *answerer.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.availableTargets = append(s.availableTargets, t)
}

// The addresses that callers use.
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

// runLoad lets callers work while faults come, and looks at the end whether all is
// well again.
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
			callers.Go(func() { s.readRequestLoop(loading, c) })
			callers.Go(func() { s.singleRequestLoop(loading, c) })
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

// injectFaults starts faults, some while others still last, and waits for all.
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
	began := time.Now()
	details := f.run(ctx, s)
	s.recordDisturbance(f, -1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fmt.Sprintf("%s %s %s", began.Format("15:04:05.000"), f.name, details))
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

// undisturbed reports whether nothing has kept news from hosts for a while.
func (s *soakRun) undisturbed() bool { return s.undisturbedSince(time.Now()) }

// undisturbedSince reports whether nothing kept news from hosts from some time before a
// moment until now.
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

// readRequestLoop asks one request after another in a flow that stays open.
func (s *soakRun) readRequestLoop(ctx context.Context, c *asker.Caller) {
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
		sleep(ctx, 30*time.Millisecond)
	}
}

// singleRequestLoop opens a flow for each request: checks, and now and then an upload.
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

// checkOutcome counts an attempt and holds it against the promises.
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
		problem = "got an answer to something else"
	case executions > 1:
		problem = fmt.Sprintf("ran %d times", executions)
	case (outcome == asker.OutcomeNotOpened || outcome == asker.OutcomeRefused) && executions > 0:
		problem = "ran though it was refused as not run"
	case outcome == asker.OutcomeAnswered && executions == 0:
		problem = "was answered and did not run"
	case s.config.RequireAllAnswered && outcome != asker.OutcomeAnswered:
		problem = "ended with " + outcome.String()
	case outcome == asker.OutcomeResetByBalancer:
		problem = resetProblem
	}
	if problem != "" {
		s.problems = append(s.problems, fmt.Sprintf("%s %s of %s at %s %s", time.Now().Format("15:04:05.000"), id, f.LocalAddress(), s.record.TargetOf(f.LocalAddress()), problem))
	}
}

// checkReset says what is wrong with a reset of an open flow by a host, if anything. Targets ask
// for calm while they hold their own lock, so the run's may not be held while they are
// asked.
func (s *soakRun) checkReset(target string, idempotent bool) string {
	if !idempotent {
		return "was reset though it may have run"
	}
	s.mu.Lock()
	targets := slices.Clone(s.availableTargets)
	s.mu.Unlock()
	for _, t := range targets {
		if t.Entry().ID == target && t.Answering() {
			return "was reset while its target lives"
		}
	}
	return ""
}

// checkVersionInForce looks at every host whether the last version is in force.
func (s *soakRun) checkVersionInForce(ctx context.Context, published time.Time) {
	for i, h := range s.fleet.hosts {
		if !s.undisturbedSince(published) {
			return
		}
		address := s.fleet.address(150, 1+i, packetPort).Addr()
		checking, stop := context.WithCancel(ctx)
		c, err := asker.New(checking, address, packetPort, func(p platformtest.Packet) { s.router.ForwardTo(h.PacketAddress, p, 0) })
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

// checkRecovered demands that nothing fails any more once all is left alone.
func (s *soakRun) checkRecovered(before, after map[asker.Outcome]int) {
	answered := after[asker.OutcomeAnswered] - before[asker.OutcomeAnswered]
	failed := 0
	for outcome, n := range after {
		if outcome != asker.OutcomeAnswered {
			failed += n - before[outcome]
		}
	}
	if failed > 0 || answered == 0 {
		s.fleet.addProblem("%s after the last fault %d attempts failed and %d were answered", settleTime, failed, answered)
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
