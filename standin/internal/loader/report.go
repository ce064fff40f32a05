package loader

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// WorkloadKind is the kind of a workload.
type WorkloadKind string

// The workloads.
const (
	// KindStream keeps a stream of notifications open, as for a dashboard or a live-tuning
	// feed.
	KindStream WorkloadKind = "streams"
	// KindUpload sends a file in blocks, such as an invoice file or a viewing diary.
	KindUpload WorkloadKind = "uploads"
	// KindCheck sends a commitment check, which is non-idempotent.
	KindCheck WorkloadKind = "checks"
	// KindPress records a viewer's presence press, which is non-idempotent.
	KindPress WorkloadKind = "presses"
)

// Tally counts the results of the workloads of one kind: requests, uploads or streams.
type Tally struct {
	Started  int `json:"started"`
	Answered int `json:"answered"`
	// Refused counts those that were refused without being executed, according to the reply.
	Refused int `json:"refused"`
	// OutcomeUnknown counts those that may have been executed, according to the reply.
	OutcomeUnknown int `json:"unknown"`
	// Unanswered counts those without any response.
	Unanswered int `json:"lost"`
	// Broken counts streams that changed targets or stopped, and uploads that did not
	// complete.
	Broken int `json:"broken"`
	// WrongResponses counts responses that belong to another request.
	WrongResponses int `json:"wrong"`
	// Retransmissions counts the transmissions of requests that timed out.
	Retransmissions int `json:"repeats"`
	// MedianUs, P99Us and MaxUs are latencies in microseconds.
	MedianUs int64 `json:"medianUs"`
	P99Us    int64 `json:"p99Us"`
	MaxUs    int64 `json:"maxUs"`
}

// Report is the result of a run.
type Report struct {
	Tallies map[WorkloadKind]Tally `json:"tallies"`
	// Problems describes the first requests and uploads that failed.
	Problems []string `json:"problems"`
	// DuplicateExecutions, Misrouted and RefusedByTargets are sums of the targets' reports.
	DuplicateExecutions []string `json:"doubled"`
	Misrouted           []string `json:"misrouted"`
	RefusedByTargets    int      `json:"shed"`
	// Imbalance describes the distribution of executions over the targets, by service.
	Imbalance map[string]Imbalance `json:"imbalance"`
}

// Imbalance is how unevenly executions are distributed over a service's targets.
type Imbalance struct {
	// MaxOverMean is the ratio of the largest count to the mean.
	MaxOverMean float64 `json:"maxOverMean"`
	// Variation is the coefficient of variation.
	Variation float64 `json:"variation"`
}

// ImbalanceOf computes the imbalance of counts.
func ImbalanceOf(counts []int) Imbalance {
	if len(counts) == 0 {
		return Imbalance{}
	}
	sum, largest := 0, 0
	for _, n := range counts {
		sum += n
		largest = max(largest, n)
	}
	mean := float64(sum) / float64(len(counts))
	if mean == 0 {
		return Imbalance{}
	}
	squares := 0.0
	for _, n := range counts {
		squares += (float64(n) - mean) * (float64(n) - mean)
	}
	return Imbalance{MaxOverMean: float64(largest) / mean, Variation: math.Sqrt(squares/float64(len(counts))) / mean}
}

// Clean reports whether no request, upload or stream was broken, unanswered, executed twice,
// misrouted or answered with the wrong response.
func (r Report) Clean() bool {
	for _, t := range r.Tallies {
		if t.Unanswered+t.Broken+t.WrongResponses > 0 {
			return false
		}
	}
	return len(r.DuplicateExecutions)+len(r.Misrouted) == 0
}

// String returns the report as text.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-8s %8s %8s %8s %8s %6s %6s %6s %8s %10s %10s\n", "work", "started", "answered", "refused", "unknown", "lost", "broken", "wrong", "repeats", "median", "p99")
	kinds := make([]WorkloadKind, 0, len(r.Tallies))
	for kind := range r.Tallies {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	for _, kind := range kinds {
		t := r.Tallies[kind]
		fmt.Fprintf(&b, "%-8s %8d %8d %8d %8d %6d %6d %6d %8d %10s %10s\n", kind, t.Started, t.Answered, t.Refused, t.OutcomeUnknown, t.Unanswered, t.Broken, t.WrongResponses, t.Retransmissions,
			time.Duration(t.MedianUs)*time.Microsecond, time.Duration(t.P99Us)*time.Microsecond)
	}
	names := make([]string, 0, len(r.Imbalance))
	for name := range r.Imbalance {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&b, "imbalance of %s: max over mean %.3f, coefficient of variation %.3f\n", name, r.Imbalance[name].MaxOverMean, r.Imbalance[name].Variation)
	}
	for _, problem := range r.Problems {
		fmt.Fprintf(&b, "problem: %s\n", problem)
	}
	fmt.Fprintf(&b, "doubled %d, misrouted %d, shed by targets %d\n", len(r.DuplicateExecutions), len(r.Misrouted), r.RefusedByTargets)
	return b.String()
}

// recorder collects the results of concurrent flows.
type recorder struct {
	mu            sync.Mutex
	tallies       map[WorkloadKind]*Tally
	histograms    map[WorkloadKind]*hdrhistogram.Histogram
	firstProblems []string
}

// addProblem records a problem unless maxProblems have been recorded already.
func (r *recorder) addProblem(format string, args ...any) {
	const maxProblems = 10
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.firstProblems) < maxProblems {
		r.firstProblems = append(r.firstProblems, fmt.Sprintf(format, args...))
	}
}

func newRecorder() *recorder {
	return &recorder{tallies: map[WorkloadKind]*Tally{}, histograms: map[WorkloadKind]*hdrhistogram.Histogram{}}
}

func (r *recorder) updateTally(kind WorkloadKind, change func(*Tally)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.tallies[kind]
	if !ok {
		t = &Tally{}
		r.tallies[kind] = t
	}
	change(t)
}

func (r *recorder) recordLatency(kind WorkloadKind, d time.Duration) {
	const (
		lowestUs  = 1
		highestUs = 60_000_000
		digits    = 3
	)
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.histograms[kind]
	if !ok {
		h = hdrhistogram.New(lowestUs, highestUs, digits)
		r.histograms[kind] = h
	}
	_ = h.RecordValue(min(max(d.Microseconds(), lowestUs), highestUs))
}

func (r *recorder) snapshot() map[WorkloadKind]Tally {
	r.mu.Lock()
	defer r.mu.Unlock()
	tallies := map[WorkloadKind]Tally{}
	for kind, t := range r.tallies {
		tally := *t
		if h, ok := r.histograms[kind]; ok {
			tally.MedianUs = h.ValueAtQuantile(50)
			tally.P99Us = h.ValueAtQuantile(99)
			tally.MaxUs = h.Max()
		}
		tallies[kind] = tally
	}
	return tallies
}
