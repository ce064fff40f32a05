// Package fetcher performs platform reads and target probes, each in its own goroutine, and
// turns their results into events.
package fetcher

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"cranberryspan.dev/core/steerer"
	"cranberryspan.dev/core/timekeeper"
)

// PlatformClient is the client of the platform that a host needs.
type PlatformClient interface {
	ReadSettings(ctx context.Context, options steerer.ReadOptions) (steerer.Published, error)
	ReadTargets(ctx context.Context, options steerer.ReadOptions) (steerer.TargetList, error)
	Check(ctx context.Context, target string, address netip.AddrPort, path string, timeout time.Duration) steerer.ProbeOutcome
}

// Fetcher runs calls to the platform and to targets. It does not limit how many are in
// flight: the steerer starts one read of each kind and one probe of each target at a time.
type Fetcher struct {
	platform PlatformClient
	clock    func() timekeeper.Instant
	events   chan<- steerer.Event
	inFlight sync.WaitGroup
}

// New returns a Fetcher that sends results to events.
func New(platform PlatformClient, clock func() timekeeper.Instant, events chan<- steerer.Event) *Fetcher {
	return &Fetcher{platform: platform, clock: clock, events: events}
}

// SetPlatform sets the platform of later calls. It must not be called while another
// goroutine starts calls.
func (f *Fetcher) SetPlatform(platform PlatformClient) { f.platform = platform }

// Run waits until the context is canceled and every call has returned. The returned
// channel then receives nil.
func (f *Fetcher) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		<-ctx.Done()
		f.inFlight.Wait()
		done <- nil
	}()
	return done
}

// ReadSettings starts a read of the published settings.
func (f *Fetcher) ReadSettings(ctx context.Context, e *steerer.ReadSettings) {
	platform, options := f.platform, e.Options
	f.start(ctx, func(started timekeeper.Instant) steerer.Event {
		published, err := platform.ReadSettings(ctx, options)
		return &steerer.SettingsRead{Started: started, MayBeStale: options.MayBeStale, Published: published, Err: err}
	})
}

// ReadTargets starts a read of the list of targets.
func (f *Fetcher) ReadTargets(ctx context.Context, e *steerer.ReadTargets) {
	platform, options := f.platform, e.Options
	f.start(ctx, func(started timekeeper.Instant) steerer.Event {
		list, err := platform.ReadTargets(ctx, options)
		return &steerer.TargetsRead{Started: started, MayBeStale: options.MayBeStale, List: list, Err: err}
	})
}

// Probe starts a probe of a target.
func (f *Fetcher) Probe(ctx context.Context, e *steerer.Probe) {
	platform, probe := f.platform, *e
	f.start(ctx, func(started timekeeper.Instant) steerer.Event {
		outcome := platform.Check(ctx, probe.Target, probe.Address, probe.Path, probe.Timeout)
		return &steerer.ProbeCompleted{Target: probe.Target, Incarnation: probe.Incarnation, Outcome: outcome, Took: time.Duration(f.clock() - started)}
	})
}

func (f *Fetcher) start(ctx context.Context, call func(started timekeeper.Instant) steerer.Event) {
	f.inFlight.Add(1)
	started := f.clock()
	go func() {
		defer f.inFlight.Done()
		event := call(started)
		select {
		case f.events <- event:
		case <-ctx.Done():
		}
	}()
}
