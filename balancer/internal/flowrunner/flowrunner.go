// Package flowrunner is the daemon of a flow host, whose targets respond to callers
// directly (direct server return). It passes events to the steerer one at a time and
// executes the effects that the steerer returns.
package flowrunner

import (
	"context"
	"net"
	"net/netip"
	"time"

	"cranberryspan.dev/balancer/internal/configurer"
	"cranberryspan.dev/balancer/internal/exchanger"
	"cranberryspan.dev/balancer/internal/exporter"
	"cranberryspan.dev/balancer/internal/fetcher"
	"cranberryspan.dev/balancer/internal/forwarder"
	"cranberryspan.dev/balancer/internal/gatherer"
	"cranberryspan.dev/balancer/internal/gossiper"
	"cranberryspan.dev/balancer/internal/inspector"
	"cranberryspan.dev/balancer/internal/logger"
	"cranberryspan.dev/balancer/internal/meterer"
	"cranberryspan.dev/balancer/internal/readier"
	"cranberryspan.dev/balancer/internal/reloader"
	"cranberryspan.dev/core/encoder"
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/steerer"
	"cranberryspan.dev/core/timekeeper"
	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

const (
	// eventQueueSize limits the events queued for the steerer: about a tenth of a second
	// of packets at the highest rate that a host can forward.
	eventQueueSize = 4096
	// bytesPerFlow is the memory that an entry of the flow table takes, including that of
	// the map, rounded up: 381 bytes with 50,000 flows (TestFlowsTakeLittleMemory).
	bytesPerFlow = 512
	// flowMemoryFraction is the fraction of a host's memory that the flow table may take.
	flowMemoryFraction = 0.25
)

// PlatformAdapter is the part of the host that depends on its platform: the client of the
// store, and the formats of packets and settings.
type PlatformAdapter struct {
	// NewClient returns a client of the platform at an address, which opens its
	// connections with dial.
	NewClient func(address netip.AddrPort, dial DialFunc) fetcher.PlatformClient
	Codec     forwarder.Codec
	// MaxDatagramBytes is the size of the largest datagram of Codec.
	MaxDatagramBytes int
	// DecodeSettings decodes published settings.
	DecodeSettings exchanger.SettingsDecoder
	// ReadyPath is the HTTP path of the fabric's readiness checks.
	ReadyPath string
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Runner is one host's daemon.
type Runner struct {
	// path is that of the host's settings file.
	path      string
	config    configurer.FlowConfig
	platform  PlatformAdapter
	log       *logger.Logger
	startTime time.Time
	steerer   *steerer.Steerer
	events    chan steerer.Event
	inspector inspector.Inspector[*steerer.Steerer]

	meter *meterer.Meter
	// lastTransferTotals are the meter's totals at the last tick.
	lastTransferTotals      transferTotals
	forwarder               *forwarder.Forwarder
	gossiper                *gossiper.Gossiper
	exchanger               *exchanger.Exchanger
	fetcher                 *fetcher.Fetcher
	readier                 *readier.Server
	reloader                *reloader.Reloader
	metrics                 metrics
	transportCounterReaders map[string]func() uint64
	ready                   bool
}

// New opens the host's sockets. config was read from the file at path.
func New(path string, config configurer.FlowConfig, platform PlatformAdapter, log *logger.Logger) (*Runner, error) {
	r := &Runner{path: path, config: config, platform: platform, log: log, startTime: time.Now(), events: make(chan steerer.Event, eventQueueSize), meter: meterer.New(), inspector: inspector.New[*steerer.Steerer]()}
	incarnation := uint64(r.startTime.UnixMilli())
	r.steerer = steerer.New(steerer.Config{
		Self:                       config.Name,
		Address:                    config.AdvertisedAddress,
		AvailabilityZone:           config.AvailabilityZone,
		Seeds:                      config.Seeds,
		Incarnation:                incarnation,
		Seed:                       incarnation,
		Bootstrap:                  config.Bootstrap,
		SettingsPropagationLimit:   config.SettingsPropagationLimit,
		DrainingPropagationLimit:   config.DrainingPropagationLimit,
		EvacuationPropagationLimit: config.EvacuationPropagationLimit,
		Regions:                    config.Regions,
		ColdBurstFactor:            config.ColdBurstFactor,
		ColdBurstAllowance:         config.ColdBurstAllowance,
		Quotas:                     config.Quotas,
		MaxFlows:                   int(float64(config.MemoryBytes) * flowMemoryFraction / bytesPerFlow),
		LinkBytesPerSecond:         config.LinkBytesPerSecond,
		Start:                      r.now(),
	})
	var err error
	if r.forwarder, err = forwarder.New(config.PacketAddress, platform.Codec, platform.MaxDatagramBytes, r.events); err != nil {
		return nil, errors.Wrap(err, "start")
	}
	codec := encoder.New(config.Name, config.PeerKeys)
	if r.gossiper, err = gossiper.New(config.Address, codec, r.events); err != nil {
		return nil, errors.Wrap(err, "start")
	}
	if r.exchanger, err = exchanger.New(config.Address, config.LinkBytesPerSecond, codec, platform.DecodeSettings, r.handleSyncRequest, r.meter, r.events); err != nil {
		return nil, errors.Wrap(err, "start")
	}
	if r.readier, err = readier.New(config.ReadyAddress, platform.ReadyPath); err != nil {
		return nil, errors.Wrap(err, "start")
	}
	r.fetcher = fetcher.New(platform.NewClient(config.Platform, r.meter.Dial), r.now, r.events)
	r.reloader = reloader.New(path)
	if r.metrics.exporter, err = exporter.New(config.AdminAddress, config.Name, flushInterval); err != nil {
		return nil, errors.Wrap(err, "start")
	}
	r.metrics.exporter.Mux.HandleFunc("GET /targets", serveState(r, (*steerer.Steerer).TargetStatuses))
	r.metrics.exporter.Mux.HandleFunc("GET /knowledge", serveState(r, (*steerer.Steerer).SyncStatus))
	r.metrics.latencyHistograms = map[string]tally.Histogram{}
	r.transportCounterReaders = r.transportCounters()
	return r, nil
}

// now reads the host's clock. Unlike CLOCK_MONOTONIC, it includes time during which the
// host was suspended: after a resume, the host must recognize its state as outdated. The
// clock starts above zero, since zero stands for no deadline.
func (r *Runner) now() timekeeper.Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return timekeeper.Instant(time.Since(r.startTime) + time.Second) // The kernel lacks CLOCK_BOOTTIME.
	}
	return timekeeper.Instant(t.Nano()) + timekeeper.Instant(time.Second)
}

// handleSyncRequest builds the response to another host's sync request.
func (r *Runner) handleSyncRequest(ctx context.Context, request *messenger.SyncRequest) (*messenger.SyncResponse, error) {
	var response *messenger.SyncResponse
	err := r.inspector.Inspect(ctx, func(s *steerer.Steerer) { response = s.SyncResponse(request) })
	return response, err
}

// Run serves until shutdown is closed and the graceful shutdown is complete, or until ctx
// is canceled, which stops the host at once.
func (r *Runner) Run(ctx context.Context, shutdown <-chan struct{}) error {
	componentCtx, stop := context.WithCancel(ctx)
	defer stop()
	components := gatherer.New(
		gatherer.Component{Results: r.forwarder.Run(componentCtx), ResultCount: 1},
		gatherer.Component{Results: r.gossiper.Run(componentCtx), ResultCount: 1},
		gatherer.Component{Results: r.exchanger.Run(componentCtx), ResultCount: 1},
		gatherer.Component{Results: r.fetcher.Run(componentCtx), ResultCount: 1},
		gatherer.Component{Results: r.readier.Run(componentCtx), ResultCount: 1},
		gatherer.Component{Results: r.reloader.Run(componentCtx), ResultCount: 1},
		gatherer.Component{Results: r.metrics.exporter.Run(componentCtx, r.collect), ResultCount: 2},
	)
	r.log.Write("hostStarted", zap.String("host", r.config.Name), zap.String("zone", r.config.AvailabilityZone))
	err := r.loop(componentCtx, shutdown, components.FirstError())
	stop()
	components.Wait()
	r.log.Write("hostEnded", zap.String("host", r.config.Name), zap.Error(err))
	return err
}

// loop handles all events. It is the only goroutine that accesses the steerer.
func (r *Runner) loop(ctx context.Context, shutdown <-chan struct{}, componentErrors <-chan error) error {
	ticker := time.NewTicker(steerer.TickInterval)
	defer ticker.Stop()
	if r.handle(ctx, &steerer.Tick{}) { // Starts the first platform reads without waiting for the ticker.
		return nil
	}
	for {
		var event steerer.Event
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-componentErrors:
			return err
		case <-shutdown:
			shutdown = nil
			event = &steerer.Shutdown{}
		case <-ticker.C:
			event = r.newTickEvent()
		case cause := <-r.reloader.Changed():
			if event = r.reload(cause); event == nil {
				continue
			}
		case inspection := <-r.inspector.Requests():
			inspection.Run(r.steerer)
			continue
		case event = <-r.events:
		}
		if r.handle(ctx, event) {
			return nil
		}
	}
}

// transferTotals are the bytes transferred over connections other than flows.
type transferTotals struct{ received, sent uint64 }

// newTickEvent returns a Tick with the bytes transferred since the last one.
func (r *Runner) newTickEvent() *steerer.Tick {
	var now transferTotals
	now.received, now.sent = r.meter.Totals()
	event := &steerer.Tick{
		TransfersReceived: int(now.received - r.lastTransferTotals.received),
		TransfersSent:     int(now.sent - r.lastTransferTotals.sent),
	}
	r.lastTransferTotals = now
	return event
}

// handle processes one event and reports whether the graceful shutdown is complete.
func (r *Runner) handle(ctx context.Context, event steerer.Event) bool {
	steerer.SetTime(event, r.now())
	ended := r.executeEffects(ctx, r.steerer.Reduce(event))
	if packet, ok := event.(*steerer.CallerPacket); ok {
		r.forwarder.Release(packet)
		return ended
	}
	if ready := r.steerer.Ready(); ready != r.ready {
		r.ready = ready
		r.readier.SetReady(ready)
		r.log.Write("readyChanged", zap.Bool("ready", ready), zap.Int64("sinceStartMillis", time.Since(r.startTime).Milliseconds()))
	}
	return ended
}

func (r *Runner) executeEffects(ctx context.Context, effects []steerer.Effect) bool {
	ended := false
	for _, effect := range effects {
		switch e := effect.(type) {
		case *steerer.ForwardPacket:
			r.forwarder.SendToTarget(e)
		case *steerer.ResetFlow:
			r.forwarder.SendReset(e)
		case *steerer.ReadSettings:
			r.fetcher.ReadSettings(ctx, e)
		case *steerer.ReadTargets:
			r.fetcher.ReadTargets(ctx, e)
		case *steerer.Probe:
			r.fetcher.Probe(ctx, e)
		case *steerer.SendReport:
			r.gossiper.Send(e)
		case *steerer.SendSyncRequest:
			r.exchanger.Request(ctx, e)
		case *steerer.ObserveLatency:
			r.metrics.recordLatency(e)
		case *steerer.WriteLog:
			if r.log.Allow() {
				r.log.Write(e.Event, logger.Fields(e.Line)...)
			}
		case *steerer.Exit:
			ended = true
		}
	}
	return ended
}
