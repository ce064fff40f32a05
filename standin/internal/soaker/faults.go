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
	"cranberryspan.dev/standin/internal/router"
)

// fault is one kind of trouble. It returns when the trouble is over.
type fault struct {
	name string
	// quiet faults keep no news from hosts, so promises with a time still hold.
	quiet bool
	run   func(ctx context.Context, s *soak) string
}

// faults lists every kind of trouble that a run may bring.
var faults = []fault{
	{"terminate", false, terminate},
	{"terminateTwice", false, terminateTwice},
	{"kill", false, kill},
	{"pause", false, pause},
	{"killMany", false, killMany},
	{"store", false, harmStore},
	{"storeForAll", false, harmStoreForAll},
	{"peers", false, harmPeers},
	{"packets", false, harmPackets},
	{"crashTarget", true, crashTarget},
	{"reuseAddress", true, reuseAddress},
	{"replaceTarget", true, replaceTarget},
	{"publish", true, publish},
	{"reload", true, reload},
}

// laterFaults come with Config.Later only.
var laterFaults = []fault{
	{"storeLoses", false, loseAnswers},
	{"flapTarget", true, flapTarget},
	{"killAll", false, killAll},
	{"restartTarget", true, restartTarget},
	{"foreignEntry", true, foreignEntry},
	{"overload", true, overload},
}

// newestFaults come with Config.Newest only.
var newestFaults = []fault{
	{"forgetHistory", true, forgetHistory},
}

// restores come with Config.Restores only.
var restores = fault{"restoreStore", false, restoreStore}

// evacuation comes with Config.Orders only.
var evacuation = fault{"evacuateZone", true, evacuateZone}

// orders are the operators' orders to evacuate zones. It has a lock of its own, since
// targets look at it with each new flow.
type orders struct {
	// giving lets one zone at a time be evacuated, so that there is always another.
	giving sync.Mutex

	mu        sync.Mutex
	zone      string
	evacuated time.Time
}

func (o *orders) set(zone string, evacuated time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.zone, o.evacuated = zone, evacuated
}

// since returns since when a zone is to be evacuated; zero if it is not.
func (o *orders) since(zone string) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.zone != zone {
		return time.Time{}
	}
	return o.evacuated
}

// evacuateZone orders a zone to be evacuated, and takes the order back.
func evacuateZone(ctx context.Context, s *soak) string {
	if !s.orders.giving.TryLock() {
		return "nothing, since another zone is"
	}
	defer s.orders.giving.Unlock()
	zone, span := zoneName(s.pick(len(s.config.Zones))), drainLimit+s.span(4*time.Second)
	s.orders.set(zone, time.Now())
	s.fleet.store.Evacuate(zone, true)
	wait(ctx, span)
	s.orders.set("", time.Time{})
	s.fleet.store.Evacuate(zone, false)
	return fmt.Sprintf("%s for %s", zone, span)
}

func (s *soak) host() *process { return s.fleet.hosts[s.pick(len(s.fleet.hosts))] }

func (s *soak) span(most time.Duration) time.Duration {
	return time.Duration(s.float() * float64(most))
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func terminate(_ context.Context, s *soak) string {
	h := s.host()
	h.signal(syscall.SIGTERM)
	if !h.ended(6 * time.Second) {
		s.fleet.problem("%s did not end within 6 s of SIGTERM", h.Name)
		h.signal(syscall.SIGKILL)
		h.ended(time.Second)
	}
	s.start(h)
	return h.Name
}

func terminateTwice(ctx context.Context, s *soak) string {
	h, gap := s.host(), s.span(time.Second)
	h.signal(syscall.SIGTERM)
	wait(ctx, gap)
	h.signal(syscall.SIGTERM)
	if !h.ended(6 * time.Second) {
		s.fleet.problem("%s did not end within 6 s of SIGTERM", h.Name)
	}
	s.start(h)
	return fmt.Sprintf("%s after %s", h.Name, gap)
}

func (s *soak) start(h *process) {
	if err := s.fleet.start(h); err != nil {
		s.fleet.problem("start %s: %v", h.Name, err)
	}
}

func kill(ctx context.Context, s *soak) string {
	h, down := s.host(), s.span(1500*time.Millisecond)
	h.signal(syscall.SIGKILL)
	h.ended(time.Second)
	wait(ctx, down)
	s.start(h)
	return fmt.Sprintf("%s for %s", h.Name, down)
}

// killMany kills all hosts but the first at once.
func killMany(ctx context.Context, s *soak) string {
	down := s.span(800 * time.Millisecond)
	for _, h := range s.fleet.hosts[1:] {
		h.signal(syscall.SIGKILL)
	}
	wait(ctx, down)
	for _, h := range s.fleet.hosts[1:] {
		h.ended(time.Second)
		s.start(h)
	}
	return down.String()
}

func pause(ctx context.Context, s *soak) string {
	h, still := s.host(), s.span(3*time.Second)
	h.signal(syscall.SIGSTOP)
	wait(ctx, still)
	h.signal(syscall.SIGCONT)
	return fmt.Sprintf("%s for %s", h.Name, still)
}

func (s *soak) mode() platformtest.Mode {
	return platformtest.Mode(1 + s.pick(3))
}

func harmStore(ctx context.Context, s *soak) string {
	h, mode, span := s.host(), s.mode(), s.span(5*time.Second)
	s.fleet.store.SetMode(h.Name, mode)
	wait(ctx, span)
	s.fleet.store.SetMode(h.Name, platformtest.ModeServing)
	return fmt.Sprintf("%s mode %d for %s", h.Name, mode, span)
}

func harmStoreForAll(ctx context.Context, s *soak) string {
	mode, span := s.mode(), s.span(5*time.Second)
	s.treatAll(mode)
	wait(ctx, span)
	s.treatAll(platformtest.ModeServing)
	return fmt.Sprintf("mode %d for %s", mode, span)
}

// harmPeers harms what one host hears of some others, one way.
func harmPeers(ctx context.Context, s *soak) string {
	h, span := s.host(), s.span(4*time.Second)
	harm := []Harm{{Drop: true}, {Delay: 400 * time.Millisecond}, {Reset: true}}[s.pick(3)]
	for _, other := range s.fleet.hosts {
		if s.pick(3) > 0 {
			h.proxy.harm(other.real, harm)
		}
	}
	wait(ctx, span)
	for _, other := range s.fleet.hosts {
		h.proxy.harm(other.real, Harm{})
	}
	return fmt.Sprintf("%s %+v for %s", h.Name, harm, span)
}

// harmPackets harms the way from the routers to a host.
func harmPackets(ctx context.Context, s *soak) string {
	h, span := s.host(), s.span(1500*time.Millisecond)
	harm := []router.Fault{{Drop: true}, {Delay: 100 * time.Millisecond}}[s.pick(2)]
	s.router.Harm(h.Name, harm)
	wait(ctx, span)
	s.router.Harm(h.Name, router.Fault{})
	return fmt.Sprintf("%s %+v for %s", h.Name, harm, span)
}

// entryLapse is how long the entry of a silent target stays listed: three of its
// heartbeats.
const entryLapse = 3600 * time.Millisecond

func crashTarget(ctx context.Context, s *soak) string {
	t := s.target()
	t.Darken()
	wait(ctx, entryLapse)
	s.fleet.store.RemoveTarget(t.Entry().ID)
	t.Stop()
	s.addTarget(ctx, t.Entry().Service, s.pick(len(s.config.Zones)), s.newAddress())
	return t.Entry().ID
}

// reuseAddress crashes a target and gives its address to another service.
func reuseAddress(ctx context.Context, s *soak) string {
	t := s.target()
	entry := t.Entry()
	t.Stop()
	wait(ctx, 2*time.Second)
	service := ledger
	if entry.Service == ledger {
		service = intake
	}
	s.addTarget(ctx, service, s.pick(len(s.config.Zones)), entry.Address)
	wait(ctx, entryLapse-2*time.Second)
	s.fleet.store.RemoveTarget(entry.ID)
	s.addTarget(ctx, entry.Service, s.pick(len(s.config.Zones)), s.newAddress())
	return entry.ID
}

func replaceTarget(ctx context.Context, s *soak) string {
	t := s.target()
	s.addTarget(ctx, t.Entry().Service, s.pick(len(s.config.Zones)), s.newAddress())
	s.fleet.store.PutTarget(t.Drain())
	wait(ctx, drainLimit+2*time.Second)
	t.Stop()
	s.fleet.store.RemoveTarget(t.Entry().ID)
	return t.Entry().ID
}

// publish brings the optional route, or takes it away, and looks at every host
// once it must be in force.
func publish(ctx context.Context, s *soak) string {
	s.publishing.Lock()
	defer s.publishing.Unlock()
	s.version += uint64(1 + s.pick(5))
	s.optional = !s.optional
	if err := s.fleet.store.Publish(s.version, s.routes()); err != nil {
		s.fleet.problem("publish: %v", err)
	}
	published := time.Now()
	wait(ctx, inForceWithin)
	s.checkInForce(ctx, published)
	return fmt.Sprintf("version %d, optional route %v", s.version, s.optional)
}

// reload changes a host's file by a line that changes nothing, and mostly says so.
func reload(_ context.Context, s *soak) string {
	h := s.host()
	text, err := os.ReadFile(h.file)
	if err == nil {
		err = os.WriteFile(h.file, append(text, []byte("# changed\n")...), 0o600)
	}
	if err != nil {
		s.fleet.problem("change %s: %v", h.file, err)
	}
	if s.pick(3) > 0 {
		h.signal(syscall.SIGHUP)
	}
	return h.Name
}

// loseAnswers has the store take the calls of some hosts and answer none.
func loseAnswers(ctx context.Context, s *soak) string {
	span := s.span(4 * time.Second)
	var names []string
	for _, h := range s.fleet.hosts {
		if s.pick(2) > 0 {
			s.fleet.store.SetMode(h.Name, platformtest.ModeAborting)
			names = append(names, h.Name)
		}
	}
	wait(ctx, span)
	for _, name := range names {
		s.fleet.store.SetMode(name, platformtest.ModeServing)
	}
	return fmt.Sprintf("%v for %s", names, span)
}

// flapTarget takes a target's entry out of the list and back by turns, while it
// works on.
func flapTarget(ctx context.Context, s *soak) string {
	t := s.target()
	turns := 1 + s.pick(3)
	for range turns {
		s.fleet.store.RemoveTarget(t.Entry().ID)
		wait(ctx, s.span(2*time.Second))
		s.fleet.store.PutTarget(t.Entry())
		wait(ctx, s.span(2*time.Second))
	}
	s.giveBack(t)
	return fmt.Sprintf("%s %d times", t.Entry().ID, turns)
}

// killAll kills every host at once; none is left to ask.
func killAll(ctx context.Context, s *soak) string {
	down := s.span(1500 * time.Millisecond)
	for _, h := range s.fleet.hosts {
		h.signal(syscall.SIGKILL)
	}
	wait(ctx, down)
	for _, h := range s.fleet.hosts {
		h.ended(time.Second)
		s.start(h)
	}
	return down.String()
}

// restartTarget lets a target crash and start again under its ID, at its address, up to
// three times.
func restartTarget(ctx context.Context, s *soak) string {
	t := s.target()
	turns := 1 + s.pick(3)
	for range turns {
		s.fleet.store.PutTarget(t.Restart())
		wait(ctx, s.span(2*time.Second))
	}
	s.giveBack(t)
	return fmt.Sprintf("%s %d times", t.Entry().ID, turns)
}

// foreignValues are values of entries that name no target.
var foreignValues = []string{`"not base64!"`, `17`, `null`, `""`, `"e30="`, `"W10="`}

// foreignEntry has another program write an entry, over that of a target by turns.
func foreignEntry(ctx context.Context, s *soak) string {
	id := "readme"
	if s.pick(2) > 0 {
		t := s.target()
		id = t.Entry().ID
		defer s.giveBack(t)
	}
	value := foreignValues[s.pick(len(foreignValues))]
	s.fleet.store.WriteForeign(id, json.RawMessage(value))
	wait(ctx, s.span(3*time.Second))
	s.fleet.store.WriteForeign(id, nil)
	return fmt.Sprintf("%s of %s", value, id)
}

// blindSpan is how long the store tells no changes before it drops its history.
const blindSpan = time.Second

// forgetHistory has the store drop its history while a target is replaced, so that
// nobody is ever told of that as a change.
func forgetHistory(ctx context.Context, s *soak) string {
	forgotten := make(chan struct{})
	go func() {
		s.fleet.store.CompactHistory(blindSpan)
		close(forgotten)
	}()
	replaced := replaceTarget(ctx, s)
	<-forgotten
	return replaced
}

// restoreStore has the store go away for a moment and come back from a copy some seconds
// old, now and then twice; what was lost is written again within two seconds.
func restoreStore(ctx context.Context, s *soak) string {
	if !s.restoring.TryLock() {
		return "nothing, since it is under way"
	}
	defer s.restoring.Unlock()
	from, age := s.fleet.store.Snapshot(), s.span(5*time.Second)
	wait(ctx, age)
	times := 1 + s.pick(2)
	for range times {
		away := s.span(time.Second)
		s.treatAll(platformtest.ModeAborting)
		wait(ctx, away)
		rewrite := s.fleet.store.Restore(from)
		s.treatAll(platformtest.ModeServing)
		wait(ctx, s.span(rewriteTime))
		rewrite()
	}
	return fmt.Sprintf("%d times, from %s", times, age)
}

// rewriteTime is the time within which everybody writes again what a restore has lost.
const rewriteTime = 2 * time.Second

// treatAll sets how the store treats all hosts.
func (s *soak) treatAll(mode platformtest.Mode) {
	for _, h := range s.fleet.hosts {
		s.fleet.store.SetMode(h.Name, mode)
	}
}

// overload lets every target take twenty times as long, so that more is asked of them
// than they can do.
func overload(ctx context.Context, s *soak) string {
	span := s.span(4 * time.Second)
	s.setWork(20 * workTime)
	wait(ctx, span)
	s.setWork(workTime)
	return span.String()
}

func (s *soak) setWork(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.started {
		t.SetWork(d)
	}
}
