// Package loader is a small load tool: callers with the four workloads of the
// users, and a report of what became of them. It is bounded in count and time.
package loader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cranberryspan.dev/core/resolver"
	"cranberryspan.dev/standin/internal/responder"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
)

// Error is the one error type of this package.
type Error struct {
	Op  string
	Err error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

const (
	blockBytes = 512
	// settleSpan is how long a run waits for the last answers.
	settleSpan = 16 * time.Second
	// silence is how long a stream may be quiet before it counts as broken,
	// in notifications.
	silence = 15
)

// Work is so many flows of one kind to one service.
type Work struct {
	Kind    Kind
	Service string
	Flows   int
}

// Config says what a run does.
type Config struct {
	Work []Work
	// OpenRate is how many new flows a second bring one check each, beside the
	// closed-loop flows. They go to the service of the first checks or presses.
	OpenRate int
	Duration time.Duration
	// Think is the pause of a flow between two requests.
	Think time.Duration
	// NotifyEvery is what the targets are set to.
	NotifyEvery time.Duration
	// UploadBlocks is the length of an upload.
	UploadBlocks int
	// Direct sends to the targets themselves, each flow to one, as a baseline.
	Direct bool
	// Targets are the control addresses of the targets' processes.
	Targets []string
	// Progress gets a line a second.
	Progress func(line string)
}

// Loader runs callers.
type Loader struct {
	config   Config
	settings *resolver.Settings
	recorder *recorder
	ids      atomic.Uint64
	run      int64
}

// New makes a Loader for the services of a settings tree.
func New(config Config, settings *resolver.Settings) *Loader {
	return &Loader{config: config, settings: settings, recorder: newRecorder(), run: time.Now().UnixNano()}
}

// Run runs all callers to the end and returns the report.
func (l *Loader) Run(ctx context.Context) (Report, error) {
	end := time.Now().Add(l.config.Duration)
	hard, cancel := context.WithDeadline(ctx, end.Add(settleSpan))
	defer cancel()
	var running sync.WaitGroup
	for _, work := range l.config.Work {
		address, err := l.addressOf(work.Service)
		if err != nil {
			return Report{}, err
		}
		for i := range work.Flows {
			to := address
			if l.config.Direct {
				to = l.targetOf(work.Service, i)
			}
			running.Go(func() { l.flow(hard, work, to, uint16(i*7), end) })
		}
	}
	if l.config.OpenRate > 0 {
		running.Go(func() { l.openLoop(hard, end) })
	}
	stop := make(chan struct{})
	go l.progress(stop)
	running.Wait()
	close(stop)
	return l.report(ctx)
}

func (l *Loader) addressOf(name string) (netip.AddrPort, error) {
	for _, service := range l.settings.Services {
		if service.Name == name {
			return service.Address, nil
		}
	}
	return netip.AddrPort{}, &Error{Op: "find service", Err: fmt.Errorf("no service %q in the settings", name)}
}

// targetOf returns a target of a service for the flow with a number.
func (l *Loader) targetOf(name string, n int) netip.AddrPort {
	for _, service := range l.settings.Services {
		if service.Name == name && len(service.Targets) > 0 {
			return service.Targets[n%len(service.Targets)].Address
		}
	}
	return netip.AddrPort{}
}

func (l *Loader) progress(stop <-chan struct{}) {
	if l.config.Progress == nil {
		return
	}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			var parts []string
			for _, kind := range []Kind{KindStream, KindUpload, KindCheck, KindPress} {
				if t, ok := l.recorder.snapshot()[kind]; ok {
					parts = append(parts, fmt.Sprintf("%s %d/%d", kind, t.Answered, t.Started))
				}
			}
			l.config.Progress(strings.Join(parts, ", "))
		}
	}
}

func (l *Loader) flow(ctx context.Context, work Work, address netip.AddrPort, seed uint16, end time.Time) {
	c, err := newClient(address, seed)
	if err != nil {
		l.recorder.add(work.Kind, func(t *Tally) { t.Started++; t.Lost++ })
		return
	}
	defer c.close()
	switch work.Kind {
	case KindStream:
		l.stream(ctx, c, end)
	case KindUpload:
		for time.Now().Before(end) && ctx.Err() == nil {
			l.upload(ctx, c, work.Service)
			pause(ctx, l.config.Think)
		}
	case KindCheck, KindPress:
		for time.Now().Before(end) && ctx.Err() == nil {
			l.check(ctx, c, work)
			pause(ctx, l.config.Think)
		}
	}
	l.recorder.add(work.Kind, func(t *Tally) { t.Repeats += c.repeats })
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// id names a request so that targets can tell whether it ran before.
func (l *Loader) id(service string) string {
	return fmt.Sprintf("%s/%d-%d", service, l.run, l.ids.Add(1))
}

// check asks once for something that must not run twice.
func (l *Loader) check(ctx context.Context, c *client, work Work) {
	id := l.id(work.Service)
	l.recorder.add(work.Kind, func(t *Tally) { t.Started++ })
	began := time.Now()
	m, err := c.do(ctx, request{code: codes.POST, path: "/" + string(work.Kind), payload: []byte(id), observe: noObserve})
	if err == nil && m.Code == codes.Changed && strings.HasSuffix(string(m.Payload), " "+id) {
		l.recorder.latency(work.Kind, time.Since(began))
	} else {
		l.recorder.problem("%s %s: code %v, %q, error %v", work.Kind, id, m.Code, m.Payload, err)
	}
	l.recorder.add(work.Kind, func(t *Tally) { t.judge(m, err, id) })
}

// judge counts an answer.
func (t *Tally) judge(m message.Message, err error, id string) {
	switch {
	case err != nil:
		t.Lost++
	case m.Code == codes.ServiceUnavailable:
		t.Refused++
	case m.Code == codes.GatewayTimeout:
		t.Unknown++
	case m.Code == codes.Changed && strings.Contains(string(m.Payload), " "+id):
		t.Answered++
	default:
		t.Wrong++
	}
}

func (l *Loader) upload(ctx context.Context, c *client, service string) {
	id := l.id(service)
	l.recorder.add(KindUpload, func(t *Tally) { t.Started++ })
	began := time.Now()
	var last message.Message
	var err error
	sent := 0
	for block := range l.config.UploadBlocks {
		payload := make([]byte, blockBytes)
		if block == 0 {
			copy(payload, id+"\n")
		}
		sent = block
		more := block < l.config.UploadBlocks-1
		last, err = c.do(ctx, request{code: codes.POST, path: "/upload", payload: payload, observe: noObserve, blocks: true, block: int64(block), more: more})
		if err != nil || (more && last.Code != codes.Continue) {
			break
		}
	}
	whole := fmt.Sprintf(" %s %d", id, l.config.UploadBlocks*blockBytes)
	broken := false
	l.recorder.add(KindUpload, func(t *Tally) {
		switch {
		case err == nil && last.Code == codes.Changed && strings.HasSuffix(string(last.Payload), whole):
			t.Answered++
		case err == nil && last.Code == codes.ServiceUnavailable:
			t.Refused++
		case err == nil && last.Code == codes.GatewayTimeout:
			t.Unknown++
		default:
			t.Broken++
			broken = true
		}
	})
	if broken || (err == nil && last.Code == codes.GatewayTimeout) {
		l.recorder.problem("upload %s: block %d: code %v, %q, error %v", id, sent, last.Code, last.Payload, err)
	}
	l.recorder.latency(KindUpload, time.Since(began))
}

// stream holds a stream open until the end. It is broken if it falls silent or
// its notifications come from another target.
func (l *Loader) stream(ctx context.Context, c *client, end time.Time) {
	l.recorder.add(KindStream, func(t *Tally) { t.Started++ })
	began := time.Now()
	m, err := c.do(ctx, request{code: codes.GET, path: "/stream", observe: 0})
	if err != nil || m.Code != codes.Content {
		l.recorder.add(KindStream, func(t *Tally) {
			if err == nil && m.Code == codes.ServiceUnavailable {
				t.Refused++
				return
			}
			t.Lost++
		})
		return
	}
	l.recorder.latency(KindStream, time.Since(began))
	target, broken := string(m.Payload), false
	last := time.Now()
	c.notified = func(from string) {
		broken = broken || from != target || time.Since(last) > silence*l.config.NotifyEvery
		last = time.Now()
	}
	for time.Now().Before(end) && ctx.Err() == nil {
		_, err := c.read(minTime(end, time.Now().Add(silence*l.config.NotifyEvery)))
		if err != nil && time.Since(last) > silence*l.config.NotifyEvery {
			broken = true
			break
		}
	}
	_, err = c.do(ctx, request{code: codes.GET, path: "/stream", observe: 1})
	l.recorder.add(KindStream, func(t *Tally) {
		if broken || err != nil {
			t.Broken++
			return
		}
		t.Answered++
	})
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// openLoop starts new flows at a fixed rate, whether or not earlier ones have
// been answered.
func (l *Loader) openLoop(ctx context.Context, end time.Time) {
	var work Work
	for _, w := range l.config.Work {
		if w.Kind == KindCheck || w.Kind == KindPress {
			work = w
			break
		}
	}
	address, err := l.addressOf(work.Service)
	if err != nil {
		return
	}
	ticker := time.NewTicker(time.Second / time.Duration(l.config.OpenRate))
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for n := uint16(0); time.Now().Before(end); n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			running.Go(func() {
				c, err := newClient(address, n)
				if err != nil {
					return
				}
				defer c.close()
				l.check(ctx, c, work)
				l.recorder.add(work.Kind, func(t *Tally) { t.Repeats += c.repeats })
			})
		}
	}
}

// report adds what the targets counted to what the callers saw.
func (l *Loader) report(ctx context.Context) (Report, error) {
	report := Report{Tallies: l.recorder.snapshot(), Imbalance: map[string]Imbalance{}, Problems: l.recorder.problems}
	runs := map[string]int{}
	for _, control := range l.config.Targets {
		r, err := readTargets(ctx, control)
		if err != nil {
			return Report{}, err
		}
		report.Doubled = append(report.Doubled, r.Doubled...)
		report.Misrouted = append(report.Misrouted, r.Misrouted...)
		report.Shed += r.Shed
		for name, n := range r.Runs {
			runs[name] += n
		}
	}
	for _, service := range l.settings.Services {
		var counts []int
		for _, t := range service.Targets {
			if n, ok := runs[t.Name]; ok {
				counts = append(counts, n)
			}
		}
		report.Imbalance[service.Name] = ImbalanceOf(counts)
	}
	return report, nil
}

func readTargets(ctx context.Context, control string) (responder.Report, error) {
	const op = "read report of targets"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+control+"/report", nil)
	if err != nil {
		return responder.Report{}, &Error{Op: op, Err: err}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return responder.Report{}, &Error{Op: op, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return responder.Report{}, &Error{Op: op, Err: errors.New(response.Status)}
	}
	var report responder.Report
	if err := json.NewDecoder(response.Body).Decode(&report); err != nil {
		return responder.Report{}, &Error{Op: op, Err: err}
	}
	return report, nil
}
