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

// WorkloadKind is one of the workloads of the users.
type WorkloadKind string

// The workloads.
const (
	// KindStream holds a dashboard stream or a live-tuning feed open.
	KindStream WorkloadKind = "streams"
	// KindUpload sends an invoice file or a viewing diary in blocks.
	KindUpload WorkloadKind = "uploads"
	// KindCheck asks for a commitment check, which must not run twice.
	KindCheck WorkloadKind = "checks"
	// KindPress logs a viewer's press, which must not run twice.
	KindPress WorkloadKind = "presses"
)

// Tally counts what became of the work of one kind.
type Tally struct {
	Started  int `json:"started"`
	Answered int `json:"answered"`
	// Refused work was said not to have run.
	Refused int `json:"refused"`
	// OutcomeUnknown work may have run, the caller was told.
	OutcomeUnknown int `json:"unknown"`
	// Unanswered work got no answer at all.
	Unanswered int `json:"lost"`
	// Broken flows changed targets or fell silent; broken uploads were cut.
	Broken int `json:"broken"`
	// WrongResponses answers belonged to another request.
	WrongResponses int `json:"wrong"`
	// Retransmissions are datagrams that were sent again.
	Retransmissions int `json:"repeats"`
	// The latencies are in microseconds.
	MedianUs int64 `json:"medianUs"`
	P99Us    int64 `json:"p99Us"`
	MaxUs    int64 `json:"maxUs"`
}

// Report is the result of a run.
type Report struct {
	Tallies map[WorkloadKind]Tally `json:"tallies"`
	// Problems tells of the first few flows that broke.
	Problems []string `json:"problems"`
	// DuplicateExecutions and Misrouted come from the targets.
	DuplicateExecutions []string `json:"doubled"`
	Misrouted           []string `json:"misrouted"`
	RefusedByTargets    int      `json:"shed"`
	// MaxOverMean and Variation describe the runs of each service's targets.
	Imbalance map[string]Imbalance `json:"imbalance"`
}

// Imbalance is how unevenly work lies on a service's targets.
type Imbalance struct {
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

// Clean reports whether nothing was broken, lost, doubled, misrouted or wrong.
func (r Report) Clean() bool {
	for _, t := range r.Tallies {
		if t.Unanswered+t.Broken+t.WrongResponses > 0 {
			return false
		}
	}
	return len(r.DuplicateExecutions)+len(r.Misrouted) == 0
}

// String is the report as text.
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

// recorder gathers tallies from many flows.
type recorder struct {
	mu            sync.Mutex
	tallies       map[WorkloadKind]*Tally
	histograms    map[WorkloadKind]*hdrhistogram.Histogram
	firstProblems []string
}

// addProblem keeps a line about something that went wrong, if it is one of the first.
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
		now := *t
		if h, ok := r.histograms[kind]; ok {
			now.MedianUs = h.ValueAtQuantile(50)
			now.P99Us = h.ValueAtQuantile(99)
			now.MaxUs = h.Max()
		}
		tallies[kind] = now
	}
	return tallies
}
