// Package runner is the daemon of a host that relays requests to CoAP targets. It passes
// events to the reducer one at a time and executes the effects that the reducer returns.
package runner

import (
	"context"
	"crypto/rand"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"cranberryspan.dev/balancer/internal/carrier"
	"cranberryspan.dev/balancer/internal/configurer"
	"cranberryspan.dev/balancer/internal/gatherer"
	"cranberryspan.dev/balancer/internal/inspector"
	"cranberryspan.dev/balancer/internal/linker"
	"cranberryspan.dev/balancer/internal/logger"
	"cranberryspan.dev/balancer/internal/prober"
	"cranberryspan.dev/balancer/internal/reporter"
	"cranberryspan.dev/balancer/internal/watcher"
	"cranberryspan.dev/core/detector"
	"cranberryspan.dev/core/encoder"
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/reducer"
	"cranberryspan.dev/core/resolver"
	"cranberryspan.dev/core/timekeeper"
	"cranberryspan.dev/core/translator"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// eventQueueSize limits the events queued for the reducer.
const eventQueueSize = 8192

// Runner is one host's daemon.
type Runner struct {
	config    configurer.Config
	log       *zap.Logger
	startTime time.Time
	reducer   *reducer.Reducer
	events    chan reducer.Event
	inspector inspector.Inspector[*reducer.Reducer]
	codec     atomic.Pointer[encoder.MessageCodec]
	settings  *resolver.Settings

	accepting        bool
	announceDeadline timekeeper.Instant

	carrier  *carrier.Carrier
	linker   *linker.Linker
	watcher  *watcher.Watcher
	prober   *prober.Prober
	reporter *reporter.Reporter
}

// New opens the host's sockets.
func New(config configurer.Config, log *zap.Logger) (*Runner, error) {
	r := &Runner{
		config:    config,
		log:       log,
		startTime: time.Now(),
		events:    make(chan reducer.Event, eventQueueSize),
		inspector: inspector.New[*reducer.Reducer](),
	}
	timing := detector.DefaultTiming()
	if err := timing.Check(); err != nil {
		return nil, errors.Wrap(err, "start")
	}
	incarnation := uint64(r.startTime.UnixMilli())
	r.reducer = reducer.New(reducer.Config{
		Self:        config.Name,
		Incarnation: incarnation,
		Seed:        incarnation,
		Timing:      timing,
		SeedHosts:   slices.Sorted(maps.Keys(config.Seeds)),
		Start:       r.now(),
	})
	// Until the host has the settings tree, it exchanges messages only with peers that
	// have the seed key. Without a seed key, a random one makes it reject all messages.
	key := config.SeedKey
	if key == "" {
		key = resolver.Secret(rand.Text())
	}
	r.codec.Store(encoder.New(config.Name, []resolver.Secret{key}))
	var err error
	if r.carrier, err = carrier.New(config.FabricAddress, config.Address, config.Fabric, &r.codec, r.now, r.events); err != nil {
		return nil, errors.Wrap(err, "start")
	}
	if r.linker, err = linker.New(config.Address, &r.codec, r.events); err != nil {
		return nil, errors.Wrap(err, "start")
	}
	if r.prober, err = prober.New(config.Address.Addr(), r.events); err != nil {
		return nil, errors.Wrap(err, "start")
	}
	r.watcher = watcher.New(config.Platform, r.events)
	if r.reporter, err = reporter.New(config.Admin, config.Name, r.inspector.Inspect, r.transportCounters()); err != nil {
		return nil, errors.Wrap(err, "start")
	}
	return r, nil
}

func (r *Runner) transportCounters() map[string]func() uint64 {
	return map[string]func() uint64{
		"datagramMalformed":   r.carrier.Counters.Malformed.Load,
		"datagramUnauthentic": r.carrier.Counters.Unauthenticated.Load,
		"datagramUnknown":     r.carrier.Counters.Unknown.Load,
		"datagramOverflow":    r.carrier.Counters.Overflow.Load,
		"datagramSendFailed":  r.carrier.Counters.SendFailed.Load,
		"sendFenced":          r.carrier.Counters.Fenced.Load,
		"linkSent":            r.linker.Counters.Sent.Load,
		"linkSentBytes":       r.linker.Counters.SentBytes.Load,
		"linkReceived":        r.linker.Counters.Received.Load,
		"linkDropped":         r.linker.Counters.Dropped.Load,
		"linkMalformed":       r.linker.Counters.Malformed.Load,
		"linkUnauthentic":     r.linker.Counters.Unauthenticated.Load,
		"linkUnknown":         r.linker.Counters.Unknown.Load,
		"platformCalls":       r.watcher.Requests.Load,
		"platformFailures":    r.watcher.Failures.Load,
	}
}

// now reads the host's monotonic clock. The clock starts above zero, since zero stands
// for no deadline.
func (r *Runner) now() timekeeper.Instant {
	return timekeeper.Instant(time.Since(r.startTime) + time.Second)
}

// Run serves until shutdown is closed and the graceful shutdown is complete, or until ctx
// is canceled, which stops the host at once. All components run until then.
func (r *Runner) Run(ctx context.Context, shutdown <-chan struct{}) error {
	componentCtx, stop := context.WithCancel(ctx)
	defer stop()
	components := gatherer.New(
		gatherer.Component{Results: r.carrier.Run(componentCtx), ResultCount: 2},
		gatherer.Component{Results: r.linker.Run(componentCtx), ResultCount: 1},
		gatherer.Component{Results: r.watcher.Run(componentCtx), ResultCount: 1},
		gatherer.Component{Results: r.prober.Run(componentCtx), ResultCount: 2},
		gatherer.Component{Results: r.reporter.Run(componentCtx), ResultCount: 2},
	)
	r.log.Info("hostStarted", zap.String("host", r.config.Name))
	err := r.loop(componentCtx, shutdown, components.FirstError())
	stop()
	components.Wait()
	r.log.Info("hostEnded", zap.String("host", r.config.Name))
	return err
}

// loop handles all events. It is the only goroutine that accesses the reducer.
func (r *Runner) loop(ctx context.Context, shutdown <-chan struct{}, componentErrors <-chan error) error {
	ticker := time.NewTicker(reducer.TickInterval)
	defer ticker.Stop()
	for {
		var event reducer.Event
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-componentErrors:
			return err
		case <-shutdown:
			shutdown = nil
			event = &reducer.Shutdown{}
		case inspection := <-r.inspector.Requests():
			inspection.Run(r.reducer)
			continue
		case <-ticker.C:
			event = &reducer.Tick{}
		case event = <-r.events:
		}
		reducer.Stamp(event, r.now())
		if r.executeEffects(ctx, r.reducer.Reduce(event)) {
			return nil
		}
		r.announce()
	}
}

// announce reports to the fabric whether this host accepts packets: immediately when that
// changes, and then once per interval.
func (r *Runner) announce() {
	const announceInterval = 200 * time.Millisecond
	accepting := r.reducer.Accepting()
	now := r.now()
	if accepting == r.accepting && !r.announceDeadline.Passed(now) {
		return
	}
	r.accepting = accepting
	r.announceDeadline = now.Add(announceInterval)
	r.carrier.Announce(r.config.Name, accepting)
}

// executeEffects executes effects and reports whether the graceful shutdown is complete.
func (r *Runner) executeEffects(ctx context.Context, effects []reducer.Effect) bool {
	for _, effect := range effects {
		switch e := effect.(type) {
		case *reducer.ToTarget:
			r.carrier.SendToTarget(e)
		case *reducer.ToCaller:
			r.carrier.SendToCaller(e.Service, e.Caller, e.Payload)
		case *reducer.Reply:
			r.sendReply(e)
		case *reducer.ToPeer:
			r.sendToPeer(ctx, e)
		case *reducer.Probe:
			r.prober.Probe(e.Target)
		case *reducer.Watch:
			r.watcher.SetEnabled(e.Enabled)
		case *reducer.Adopted:
			r.applySettings(e.Settings)
		case *reducer.Rejected:
			r.log.Error("settingsRejected", zap.Uint64("revision", e.Revision), zap.Error(e.Err))
		case *reducer.Completed:
			r.reporter.RecordLatency(e.Service, e.Latency)
		case *reducer.Logged:
			r.log.Info(e.Event, logger.Fields(e.Line)...)
		case *reducer.Ended:
			return true
		}
	}
	return false
}

func (r *Runner) sendReply(e *reducer.Reply) {
	data, err := translator.EncodeReply(e)
	if err != nil {
		r.log.Warn("replyNotEncoded", zap.Error(err))
		return
	}
	r.carrier.SendToCaller(e.Service, e.Caller, data)
}

func (r *Runner) sendToPeer(ctx context.Context, e *reducer.ToPeer) {
	if r.settings == nil {
		if address, ok := r.config.Seeds[e.Host]; ok {
			r.linker.Send(ctx, e.Host, address, e.Body)
		}
		return
	}
	host, ok := r.settings.HostByName(e.Host)
	if !ok {
		return
	}
	if forward, ok := e.Body.(*messenger.Forward); ok {
		r.carrier.SendToPeer(host.Name, host.Address, forward)
		return
	}
	r.linker.Send(ctx, host.Name, host.Address, e.Body)
}

func (r *Runner) applySettings(settings *resolver.Settings) {
	r.settings = settings
	r.codec.Store(encoder.New(r.config.Name, settings.PeerKeys))
	r.watcher.SetRevision(settings.Revision)
	r.log.Info("settingsAdopted", zap.Uint64("revision", settings.Revision))
	host, ok := settings.HostByName(r.config.Name)
	switch {
	case !ok:
		r.log.Error("hostNotListed", zap.String("host", r.config.Name))
	case host.Address != r.config.Address || host.FabricAddress != r.config.FabricAddress:
		r.log.Error("hostAddressDiffers", zap.Stringer("own", r.config.Address), zap.Stringer("listed", host.Address))
	}
}
