// Package loader is a small load generator: it runs callers with up to four kinds of workloads and
// reports the results. Runs are bounded in the number of flows and in time.
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

// Error is the error type of this package.
type Error struct {
	Op  string
	Err error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

const (
	uploadBlockBytes = 512
	// lastResponseTimeout is how long a run waits for outstanding responses at its end.
	lastResponseTimeout = 16 * time.Second
	// maxMissedNotifications is the number of notification intervals without a notification
	// after which a stream counts as broken.
	maxMissedNotifications = 15
)

// Workload is a number of flows of one kind to one service.
type Workload struct {
	Kind    WorkloadKind
	Service string
	Flows   int
}

// Config is the configuration of a run.
type Config struct {
	Workloads []Workload
	// NewFlowsPerSecond is the rate of additional flows with one request each, which are
	// opened whether or not earlier ones have received responses. They use the first workload
	// of checks or presses.
	NewFlowsPerSecond int
	Duration          time.Duration
	// ThinkTime is the time between two requests of a flow.
	ThinkTime time.Duration
	// NotifyInterval is the interval at which the targets are configured to send notifications.
	NotifyInterval time.Duration
	// UploadBlocks is the number of blocks of an upload.
	UploadBlocks int
	// Direct sends each flow directly to one target, bypassing the load balancer, as a
	// baseline.
	Direct bool
	// TargetControlAddresses are the control addresses of the targets' processes.
	TargetControlAddresses []string
	// OnProgress receives a progress line every second.
	OnProgress func(line string)
}

// Loader runs callers.
type Loader struct {
	config       Config
	settings     *resolver.Settings
	recorder     *recorder
	requestCount atomic.Uint64
	runID        int64
}

// New returns a Loader for the services of a settings tree.
func New(config Config, settings *resolver.Settings) *Loader {
	return &Loader{config: config, settings: settings, recorder: newRecorder(), runID: time.Now().UnixNano()}
}

// Run runs all callers until the end of the run and returns the report.
func (l *Loader) Run(ctx context.Context) (Report, error) {
	end := time.Now().Add(l.config.Duration)
	ctxWithDeadline, cancel := context.WithDeadline(ctx, end.Add(lastResponseTimeout))
	defer cancel()
	var running sync.WaitGroup
	for _, workload := range l.config.Workloads {
		address, err := l.serviceAddress(workload.Service)
		if err != nil {
			return Report{}, err
		}
		for i := range workload.Flows {
			to := address
			if l.config.Direct {
				to = l.targetAddress(workload.Service, i)
			}
			running.Go(func() { l.runFlow(ctxWithDeadline, workload, to, uint16(i*7), end) })
		}
	}
	if l.config.NewFlowsPerSecond > 0 {
		running.Go(func() { l.runOpenLoop(ctxWithDeadline, end) })
	}
	stop := make(chan struct{})
	go l.reportProgress(stop)
	running.Wait()
	close(stop)
	return l.buildReport(ctx)
}

func (l *Loader) serviceAddress(name string) (netip.AddrPort, error) {
	for _, service := range l.settings.Services {
		if service.Name == name {
			return service.Address, nil
		}
	}
	return netip.AddrPort{}, &Error{Op: "find service", Err: fmt.Errorf("no service %q in the settings", name)}
}

// targetAddress returns the address of the service's target for the flow with the given number.
func (l *Loader) targetAddress(name string, n int) netip.AddrPort {
	for _, service := range l.settings.Services {
		if service.Name == name && len(service.Targets) > 0 {
			return service.Targets[n%len(service.Targets)].Address
		}
	}
	return netip.AddrPort{}
}

func (l *Loader) reportProgress(stop <-chan struct{}) {
	if l.config.OnProgress == nil {
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
			for _, kind := range []WorkloadKind{KindStream, KindUpload, KindCheck, KindPress} {
				if t, ok := l.recorder.snapshot()[kind]; ok {
					parts = append(parts, fmt.Sprintf("%s %d/%d", kind, t.Answered, t.Started))
				}
			}
			l.config.OnProgress(strings.Join(parts, ", "))
		}
	}
}

func (l *Loader) runFlow(ctx context.Context, workload Workload, address netip.AddrPort, firstMessageID uint16, end time.Time) {
	c, err := newClient(address, firstMessageID)
	if err != nil {
		l.recorder.updateTally(workload.Kind, func(t *Tally) { t.Started++; t.Unanswered++ })
		return
	}
	defer c.close()
	switch workload.Kind {
	case KindStream:
		l.runStream(ctx, c, end)
	case KindUpload:
		for time.Now().Before(end) && ctx.Err() == nil {
			l.sendUpload(ctx, c, workload.Service)
			sleep(ctx, l.config.ThinkTime)
		}
	case KindCheck, KindPress:
		for time.Now().Before(end) && ctx.Err() == nil {
			l.sendCheck(ctx, c, workload)
			sleep(ctx, l.config.ThinkTime)
		}
	}
	l.recorder.updateTally(workload.Kind, func(t *Tally) { t.Retransmissions += c.retransmissions })
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// newRequestID returns a unique request ID, by which targets detect repeated executions.
func (l *Loader) newRequestID(service string) string {
	return fmt.Sprintf("%s/%d-%d", service, l.runID, l.requestCount.Add(1))
}

// sendCheck sends one non-idempotent request.
func (l *Loader) sendCheck(ctx context.Context, c *client, workload Workload) {
	id := l.newRequestID(workload.Service)
	l.recorder.updateTally(workload.Kind, func(t *Tally) { t.Started++ })
	startedAt := time.Now()
	m, err := c.do(ctx, request{code: codes.POST, path: "/" + string(workload.Kind), payload: []byte(id), observe: observeNone})
	if err == nil && m.Code == codes.Changed && strings.HasSuffix(string(m.Payload), " "+id) {
		l.recorder.recordLatency(workload.Kind, time.Since(startedAt))
	} else {
		l.recorder.addProblem("%s %s: code %v, %q, error %v", workload.Kind, id, m.Code, m.Payload, err)
	}
	l.recorder.updateTally(workload.Kind, func(t *Tally) { t.countResult(m, err, id) })
}

// countResult counts the result of a check or press.
func (t *Tally) countResult(m message.Message, err error, id string) {
	switch {
	case err != nil:
		t.Unanswered++
	case m.Code == codes.ServiceUnavailable:
		t.Refused++
	case m.Code == codes.GatewayTimeout:
		t.OutcomeUnknown++
	case m.Code == codes.Changed && strings.Contains(string(m.Payload), " "+id):
		t.Answered++
	default:
		t.WrongResponses++
	}
}

func (l *Loader) sendUpload(ctx context.Context, c *client, service string) {
	id := l.newRequestID(service)
	l.recorder.updateTally(KindUpload, func(t *Tally) { t.Started++ })
	startedAt := time.Now()
	var last message.Message
	var err error
	lastBlock := 0
	for block := range l.config.UploadBlocks {
		payload := make([]byte, uploadBlockBytes)
		if block == 0 {
			copy(payload, id+"\n")
		}
		lastBlock = block
		more := block < l.config.UploadBlocks-1
		last, err = c.do(ctx, request{code: codes.POST, path: "/upload", payload: payload, observe: observeNone, blockwise: true, blockNumber: int64(block), moreBlocks: more})
		if err != nil || (more && last.Code != codes.Continue) {
			break
		}
	}
	wantSuffix := fmt.Sprintf(" %s %d", id, l.config.UploadBlocks*uploadBlockBytes)
	broken := false
	l.recorder.updateTally(KindUpload, func(t *Tally) {
		switch {
		case err == nil && last.Code == codes.Changed && strings.HasSuffix(string(last.Payload), wantSuffix):
			t.Answered++
		case err == nil && last.Code == codes.ServiceUnavailable:
			t.Refused++
		case err == nil && last.Code == codes.GatewayTimeout:
			t.OutcomeUnknown++
		default:
			t.Broken++
			broken = true
		}
	})
	if broken || (err == nil && last.Code == codes.GatewayTimeout) {
		l.recorder.addProblem("upload %s: block %d: code %v, %q, error %v", id, lastBlock, last.Code, last.Payload, err)
	}
	l.recorder.recordLatency(KindUpload, time.Since(startedAt))
}

// runStream keeps a stream open until the end of the run. The stream is broken if notifications
// stop or come from another target.
func (l *Loader) runStream(ctx context.Context, c *client, end time.Time) {
	l.recorder.updateTally(KindStream, func(t *Tally) { t.Started++ })
	startedAt := time.Now()
	m, err := c.do(ctx, request{code: codes.GET, path: "/stream", observe: 0})
	if err != nil || m.Code != codes.Content {
		l.recorder.updateTally(KindStream, func(t *Tally) {
			if err == nil && m.Code == codes.ServiceUnavailable {
				t.Refused++
				return
			}
			t.Unanswered++
		})
		return
	}
	l.recorder.recordLatency(KindStream, time.Since(startedAt))
	// The payload of the response and of each notification is the name of the target.
	target, broken := string(m.Payload), false
	last := time.Now()
	c.onNotification = func(from string) {
		broken = broken || from != target || time.Since(last) > maxMissedNotifications*l.config.NotifyInterval
		last = time.Now()
	}
	for time.Now().Before(end) && ctx.Err() == nil {
		_, err := c.readMessage(earlier(end, time.Now().Add(maxMissedNotifications*l.config.NotifyInterval)))
		if err != nil && time.Since(last) > maxMissedNotifications*l.config.NotifyInterval {
			broken = true
			break
		}
	}
	_, err = c.do(ctx, request{code: codes.GET, path: "/stream", observe: 1})
	l.recorder.updateTally(KindStream, func(t *Tally) {
		if broken || err != nil {
			t.Broken++
			return
		}
		t.Answered++
	})
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// runOpenLoop opens flows with one request each at a fixed rate, independent of responses to
// earlier ones.
func (l *Loader) runOpenLoop(ctx context.Context, end time.Time) {
	var workload Workload
	for _, w := range l.config.Workloads {
		if w.Kind == KindCheck || w.Kind == KindPress {
			workload = w
			break
		}
	}
	address, err := l.serviceAddress(workload.Service)
	if err != nil {
		return
	}
	ticker := time.NewTicker(time.Second / time.Duration(l.config.NewFlowsPerSecond))
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
				l.sendCheck(ctx, c, workload)
				l.recorder.updateTally(workload.Kind, func(t *Tally) { t.Retransmissions += c.retransmissions })
			})
		}
	}
}

// buildReport combines the results of the callers with the reports of the targets.
func (l *Loader) buildReport(ctx context.Context) (Report, error) {
	report := Report{Tallies: l.recorder.snapshot(), Imbalance: map[string]Imbalance{}, Problems: l.recorder.firstProblems}
	executions := map[string]int{}
	for _, control := range l.config.TargetControlAddresses {
		r, err := fetchTargetReport(ctx, control)
		if err != nil {
			return Report{}, err
		}
		report.DuplicateExecutions = append(report.DuplicateExecutions, r.DuplicateExecutions...)
		report.Misrouted = append(report.Misrouted, r.Misrouted...)
		report.RefusedByTargets += r.Refused
		for name, n := range r.Executions {
			executions[name] += n
		}
	}
	for _, service := range l.settings.Services {
		var counts []int
		for _, t := range service.Targets {
			if n, ok := executions[t.Name]; ok {
				counts = append(counts, n)
			}
		}
		report.Imbalance[service.Name] = ImbalanceOf(counts)
	}
	return report, nil
}

func fetchTargetReport(ctx context.Context, control string) (responder.Report, error) {
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
