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
	// drainLimit and inForceWithin are the promises of the pages, with a little for
	// the scheduling of the computer that it runs on.
	drainLimit    = 3200 * time.Millisecond
	inForceWithin = 3200 * time.Millisecond
	// calmAfter is how long after a disturbance promises with a time hold again.
	calmAfter = 4 * time.Second
	// settleTime is how long all is left alone at the end, before the last look.
	settleTime = 6 * time.Second
	// workTime is how long a target takes for a request.
	workTime = 15 * time.Millisecond
	slots    = 3
	// objective is the latency that callers hope for.
	objective = 100 * time.Millisecond
)

// Config says what a run is like.
type Config struct {
	Seed     uint64
	Duration time.Duration
	// Program is the balancer's binary.
	Program string
	// Zones is how many hosts each availability zone has.
	Zones []int
	// Callers is how many callers each zone has.
	Callers int
	// Targets is how many targets of ledger there are; a third as many of intake.
	Targets int
	// Block is the second byte of all addresses, so that runs don't meet.
	Block int
	// Only names the faults that may come; all if empty.
	Only []string
	// Later lets faults come that were added after the kept seeds: these would play
	// other runs with them.
	Later bool
	// Newest lets all faults come, Later's too, for the same reason.
	Newest bool
	// Orders lets operators evacuate zones besides, for the same reason.
	Orders bool
	// Restores lets the store come back from copies besides, for the same reason.
	Restores bool
	// Gap is the mean pause between two faults.
	Gap time.Duration
	// NoFailures makes every attempt that is not answered a problem.
	NoFailures bool
}

// Report is what a run has shown.
type Report struct {
	Seed     uint64
	Outcomes map[asker.Outcome]int
	Faults   []string
	Problems []string
	Reads    int
	// Logs is the folder with the hosts' logs; it is kept if there are problems.
	Logs string
}

// String is the report as a text for people.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d faults, %d reads of the store;", r.Seed, len(r.Faults), r.Reads)
	for outcome := asker.OutcomeAnswered; outcome <= asker.OutcomeWrong; outcome++ {
		if n := r.Outcomes[outcome]; n > 0 {
			fmt.Fprintf(&b, " %s %d", outcome, n)
		}
	}
	for _, p := range r.Problems {
		fmt.Fprintf(&b, "\n  problem: %s", p)
	}
	if len(r.Problems) > 0 {
		fmt.Fprintf(&b, "\n  logs: %s\n  faults: %s", r.Logs, strings.Join(r.Faults, "; "))
	}
	return b.String()
}

type soak struct {
	config Config
	fleet  *fleet
	router *router.Router
	record *answerer.Record

	mu        sync.Mutex
	random    *rand.Rand
	disturbed time.Time
	harming   int
	// targets are those that faults may choose, started all that ever ran.
	targets   []*answerer.Target
	started   []*answerer.Target
	callers   []*asker.Caller
	targetIDs int
	addresses int
	requests  int
	outcomes  map[asker.Outcome]int
	faults    []string
	problems  []string

	orders     orders
	restoring  sync.Mutex
	publishing sync.Mutex
	version    uint64
	optional   bool
}

// Run makes one run.
func Run(ctx context.Context, config Config) (Report, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &soak{config: config, record: answerer.NewRecord(), random: rand.New(rand.NewPCG(config.Seed, 1)), outcomes: map[asker.Outcome]int{}}
	if s.fleet, err = newFleet(ctx, config, dir); err != nil {
		return Report{}, err
	}
	defer s.end()
	if err := s.begin(ctx); err != nil {
		return Report{}, err
	}
	s.load(ctx)
	report := s.report(dir)
	if len(report.Problems) == 0 {
		_ = os.RemoveAll(dir)
	}
	return report, nil
}

// end frees every address, for the next run.
func (s *soak) end() {
	s.fleet.stop()
	s.mu.Lock()
	targets, callers := s.started, s.callers
	s.mu.Unlock() // Targets ask for calm while they end.
	for _, t := range targets {
		t.Close()
	}
	for _, c := range callers {
		c.Close()
	}
}

func (s *soak) pick(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

func (s *soak) float() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

// begin starts targets, hosts and routers, and waits until all hosts are in
// rotation.
func (s *soak) begin(ctx context.Context) error {
	for i := range s.config.Targets {
		s.addTarget(ctx, ledger, i%len(s.config.Zones), s.newAddress())
	}
	for i := range max(s.config.Targets/3, len(s.config.Zones)) {
		s.addTarget(ctx, intake, i%len(s.config.Zones), s.newAddress())
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
	for end := time.Now().Add(startLimit); len(s.router.Rotation()) < len(hosts); {
		if time.Now().After(end) {
			return fmt.Errorf("in rotation after %s: %v", startLimit, s.router.Rotation())
		}
		wait(ctx, 50*time.Millisecond)
	}
	return nil
}

// newAddress is an address that no target had before.
func (s *soak) newAddress() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addresses++
	return s.fleet.at(100+s.addresses/250, 1+s.addresses%250, 8080)
}

func (s *soak) addTarget(ctx context.Context, service string, zone int, address netip.AddrPort) {
	s.mu.Lock()
	s.targetIDs++
	id := fmt.Sprintf("i-%010x", 0x1000000000*(1+uint64(s.targetIDs)%9)+uint64(s.targetIDs))
	s.mu.Unlock()
	entry := platformtest.Target{ID: id, Service: service, Address: address, Zone: zoneName(zone), Slots: slots}
	t, err := answerer.New(ctx, answerer.Config{
		Entry: entry, Work: workTime, PacketPort: packetPort, DrainLimit: drainLimit,
		EvacuatedSince: func() time.Time { return s.orders.since(entry.Zone) },
	}, s.record, s.calm)
	if err != nil {
		s.fleet.problem("start target: %v", err)
		return
	}
	s.mu.Lock()
	s.targets = append(s.targets, t)
	s.started = append(s.started, t)
	s.mu.Unlock()
	s.fleet.store.PutTarget(entry)
}

// target takes a target out of those that later faults may choose.
func (s *soak) target() *answerer.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.random.IntN(len(s.targets))
	t := s.targets[at]
	s.targets = slices.Delete(s.targets, at, at+1)
	return t
}

// giveBack lets later faults choose a target again.
func (s *soak) giveBack(t *answerer.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets = append(s.targets, t)
}

// The addresses that callers use.
var (
	readRoute     = netip.MustParseAddrPort("198.18.0.1:443")
	checkRoute    = netip.MustParseAddrPort("198.18.0.1:444")
	uploadRoute   = netip.MustParseAddrPort("198.18.0.2:443")
	optionalRoute = netip.MustParseAddrPort("198.18.0.3:443")
)

func (s *soak) routes() []platformtest.Route {
	routes := []platformtest.Route{
		{Name: "read", Address: readRoute, Service: ledger, Kind: "idempotent", Timeout: 2500 * time.Millisecond, LatencyObjective: objective},
		{Name: "check", Address: checkRoute, Service: ledger, Kind: "non_idempotent", Timeout: 3 * time.Second, LatencyObjective: objective},
		{Name: "upload", Address: uploadRoute, Service: intake, Kind: "upload", Timeout: 5 * time.Second},
	}
	if s.optional {
		routes = append(routes, platformtest.Route{Name: "optional", Address: optionalRoute, Service: ledger, Kind: "idempotent", Timeout: time.Second})
	}
	return routes
}

// load lets callers work while faults come, and looks at the end whether all is
// well again.
func (s *soak) load(ctx context.Context) {
	loading, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for zone := range s.config.Zones {
		for n := range s.config.Callers {
			address := s.fleet.at(zone, 200+n, packetPort).Addr()
			c, err := asker.New(ctx, address, packetPort, func(p platformtest.Packet) { s.router.Hand(zoneName(zone), p) })
			if err != nil {
				s.fleet.problem("start caller: %v", err)
				continue
			}
			s.callers = append(s.callers, c)
			callers.Go(func() { s.reads(loading, c) })
			callers.Go(func() { s.singles(loading, c) })
		}
	}
	s.bringFaults(ctx)
	wait(ctx, settleTime)
	before := s.snapshot()
	wait(ctx, 2*time.Second)
	s.checkRecovered(before, s.snapshot())
	stop()
	callers.Wait()
}

// bringFaults starts faults, some while others still last, and waits for all.
func (s *soak) bringFaults(ctx context.Context) {
	var running sync.WaitGroup
	end := time.Now().Add(s.config.Duration)
	for time.Now().Before(end) && ctx.Err() == nil {
		kinds := faults
		if s.config.Later {
			kinds = slices.Concat(faults, laterFaults)
		}
		if s.config.Newest {
			kinds = slices.Concat(faults, laterFaults, newestFaults)
		}
		if s.config.Orders {
			kinds = append(slices.Clone(kinds), evacuation)
		}
		if s.config.Restores {
			kinds = append(slices.Clone(kinds), restores)
		}
		f := kinds[s.pick(len(kinds))]
		if len(s.config.Only) > 0 && !slices.Contains(s.config.Only, f.name) {
			continue
		}
		running.Go(func() { s.bring(ctx, f) })
		wait(ctx, s.span(2*s.config.Gap))
	}
	running.Wait()
}

func (s *soak) bring(ctx context.Context, f fault) {
	s.disturb(f, 1)
	began := time.Now()
	what := f.run(ctx, s)
	s.disturb(f, -1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fmt.Sprintf("%s %s %s", began.Format("15:04:05.000"), f.name, what))
}

func (s *soak) disturb(f fault, change int) {
	if f.quiet {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.harming += change
	s.disturbed = time.Now()
}

// calm reports whether nothing has kept news from hosts for a while.
func (s *soak) calm() bool { return s.calmSince(time.Now()) }

// calmSince reports whether nothing kept news from hosts from some time before a
// moment until now.
func (s *soak) calmSince(moment time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.harming == 0 && moment.Sub(s.disturbed) > calmAfter
}

func (s *soak) newID(service string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	return fmt.Sprintf("%s/%d", service, s.requests)
}

// reads asks one request after another in a flow that stays open.
func (s *soak) reads(ctx context.Context, c *asker.Caller) {
	var f *asker.Flow
	for ctx.Err() == nil {
		if f == nil {
			f = c.Open(readRoute)
		}
		id := s.newID(ledger)
		outcome := f.Ask(ctx, id, "read", 0, time.Now().Add(2500*time.Millisecond))
		s.judge(ctx, f, id, outcome, true)
		if outcome != asker.OutcomeAnswered || f.Last() {
			f.Close()
			f = nil
		}
		wait(ctx, 30*time.Millisecond)
	}
}

// singles opens a flow for each request: checks, and now and then an upload.
func (s *soak) singles(ctx context.Context, c *asker.Caller) {
	for n := 0; ctx.Err() == nil; n++ {
		service, route, kind, bytes := ledger, checkRoute, "check", 900
		if n%4 == 3 {
			service, route, kind, bytes = intake, uploadRoute, "upload", 40_000
		}
		f := c.Open(route)
		id := s.newID(service)
		outcome := f.Ask(ctx, id, kind, bytes, time.Now().Add(3*time.Second))
		s.judge(ctx, f, id, outcome, false)
		f.Close()
		wait(ctx, 40*time.Millisecond)
	}
}

// judge counts an attempt and holds it against the promises.
func (s *soak) judge(ctx context.Context, f *asker.Flow, id string, outcome asker.Outcome, idempotent bool) {
	if ctx.Err() != nil {
		return
	}
	runs := s.record.Runs(id)
	cut := ""
	if outcome == asker.OutcomeCut {
		cut = s.cut(s.record.OpenedAt(f.Local()), idempotent)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[outcome]++
	problem := ""
	switch {
	case outcome == asker.OutcomeWrong:
		problem = "got an answer to something else"
	case runs > 1:
		problem = fmt.Sprintf("ran %d times", runs)
	case (outcome == asker.OutcomeNotOpened || outcome == asker.OutcomeShed) && runs > 0:
		problem = "ran though it was refused as not run"
	case outcome == asker.OutcomeAnswered && runs == 0:
		problem = "was answered and did not run"
	case s.config.NoFailures && outcome != asker.OutcomeAnswered:
		problem = "ended with " + outcome.String()
	case outcome == asker.OutcomeCut:
		problem = cut
	}
	if problem != "" {
		s.problems = append(s.problems, fmt.Sprintf("%s %s of %s at %s %s", time.Now().Format("15:04:05.000"), id, f.Local(), s.record.OpenedAt(f.Local()), problem))
	}
}

// cut says what is wrong with a reset of an open flow by a host, if anything. Targets ask
// for calm while they hold their own lock, so the run's may not be held while they are
// asked.
func (s *soak) cut(target string, idempotent bool) string {
	if !idempotent {
		return "was reset though it may have run"
	}
	s.mu.Lock()
	targets := slices.Clone(s.targets)
	s.mu.Unlock()
	for _, t := range targets {
		if t.Entry().ID == target && t.Lives() {
			return "was reset while its target lives"
		}
	}
	return ""
}

// checkInForce looks at every host whether the last version is in force.
func (s *soak) checkInForce(ctx context.Context, published time.Time) {
	for i, h := range s.fleet.hosts {
		if !s.calmSince(published) {
			return
		}
		address := s.fleet.at(150, 1+i, packetPort).Addr()
		checking, stop := context.WithCancel(ctx)
		c, err := asker.New(checking, address, packetPort, func(p platformtest.Packet) { s.router.HandTo(h.Packet, p, 0) })
		if err != nil {
			stop()
			s.fleet.problem("start caller: %v", err)
			return
		}
		f := c.Open(optionalRoute)
		outcome := f.Ask(ctx, s.newID(ledger), "read", 0, time.Now().Add(2*time.Second))
		f.Close()
		stop()
		c.Close()
		opened := outcome != asker.OutcomeNotOpened
		if opened != s.optional && s.calmSince(published) {
			s.fleet.problem("%s has not put version %d in force after %s: optional route %v, flow %s", h.Name, s.version, time.Since(published), s.optional, outcome)
		}
	}
}

func (s *soak) snapshot() map[asker.Outcome]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := map[asker.Outcome]int{}
	for outcome, n := range s.outcomes {
		copied[outcome] = n
	}
	return copied
}

// checkRecovered demands that nothing fails any more once all is left alone.
func (s *soak) checkRecovered(before, after map[asker.Outcome]int) {
	answered := after[asker.OutcomeAnswered] - before[asker.OutcomeAnswered]
	failed := 0
	for outcome, n := range after {
		if outcome != asker.OutcomeAnswered {
			failed += n - before[outcome]
		}
	}
	if failed > 0 || answered == 0 {
		s.fleet.problem("%s after the last fault %d attempts failed and %d were answered", settleTime, failed, answered)
	}
}

func (s *soak) report(dir string) Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	problems := slices.Concat(s.problems, s.fleet.problems, s.record.Problems())
	return Report{Seed: s.config.Seed, Outcomes: s.outcomes, Faults: s.faults, Problems: problems, Reads: s.fleet.store.CallCount(), Logs: dir}
}
