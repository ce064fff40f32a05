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

// Kind is one of the workloads of the users.
type Kind string

// The workloads.
const (
	// KindStream holds a dashboard stream or a live-tuning feed open.
	KindStream Kind = "streams"
	// KindUpload sends an invoice file or a viewing diary in blocks.
	KindUpload Kind = "uploads"
	// KindCheck asks for a commitment check, which must not run twice.
	KindCheck Kind = "checks"
	// KindPress logs a viewer's press, which must not run twice.
	KindPress Kind = "presses"
)

// Tally counts what became of the work of one kind.
type Tally struct {
	Started  int `json:"started"`
	Answered int `json:"answered"`
	// Refused work was said not to have run.
	Refused int `json:"refused"`
	// Unknown work may have run, the caller was told.
	Unknown int `json:"unknown"`
	// Lost work got no answer at all.
	Lost int `json:"lost"`
	// Broken flows changed targets or fell silent; broken uploads were cut.
	Broken int `json:"broken"`
	// Wrong answers belonged to another request.
	Wrong int `json:"wrong"`
	// Repeats are datagrams that were sent again.
	Repeats int `json:"repeats"`
	// The latencies are in microseconds.
	MedianUs int64 `json:"medianUs"`
	P99Us    int64 `json:"p99Us"`
	MaxUs    int64 `json:"maxUs"`
}

// Report is the result of a run.
type Report struct {
	Tallies map[Kind]Tally `json:"tallies"`
	// Problems tells of the first few flows that broke.
	Problems []string `json:"problems"`
	// Doubled and Misrouted come from the targets.
	Doubled   []string `json:"doubled"`
	Misrouted []string `json:"misrouted"`
	Shed      int      `json:"shed"`
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
	sum, most := 0, 0
	for _, n := range counts {
		sum += n
		most = max(most, n)
	}
	mean := float64(sum) / float64(len(counts))
	if mean == 0 {
		return Imbalance{}
	}
	squares := 0.0
	for _, n := range counts {
		squares += (float64(n) - mean) * (float64(n) - mean)
	}
	return Imbalance{MaxOverMean: float64(most) / mean, Variation: math.Sqrt(squares/float64(len(counts))) / mean}
}

// Clean reports whether nothing was broken, lost, doubled, misrouted or wrong.
func (r Report) Clean() bool {
	for _, t := range r.Tallies {
		if t.Lost+t.Broken+t.Wrong > 0 {
			return false
		}
	}
	return len(r.Doubled)+len(r.Misrouted) == 0
}

// String is the report as text.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-8s %8s %8s %8s %8s %6s %6s %6s %8s %10s %10s\n", "work", "started", "answered", "refused", "unknown", "lost", "broken", "wrong", "repeats", "median", "p99")
	kinds := make([]Kind, 0, len(r.Tallies))
	for kind := range r.Tallies {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	for _, kind := range kinds {
		t := r.Tallies[kind]
		fmt.Fprintf(&b, "%-8s %8d %8d %8d %8d %6d %6d %6d %8d %10s %10s\n", kind, t.Started, t.Answered, t.Refused, t.Unknown, t.Lost, t.Broken, t.Wrong, t.Repeats,
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
	fmt.Fprintf(&b, "doubled %d, misrouted %d, shed by targets %d\n", len(r.Doubled), len(r.Misrouted), r.Shed)
	return b.String()
}

// recorder gathers tallies from many flows.
type recorder struct {
	mu         sync.Mutex
	tallies    map[Kind]*Tally
	histograms map[Kind]*hdrhistogram.Histogram
	problems   []string
}

// problem keeps a line about something that went wrong, if it is one of the first.
func (r *recorder) problem(format string, args ...any) {
	const most = 10
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.problems) < most {
		r.problems = append(r.problems, fmt.Sprintf(format, args...))
	}
}

func newRecorder() *recorder {
	return &recorder{tallies: map[Kind]*Tally{}, histograms: map[Kind]*hdrhistogram.Histogram{}}
}

func (r *recorder) add(kind Kind, change func(*Tally)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.tallies[kind]
	if !ok {
		t = &Tally{}
		r.tallies[kind] = t
	}
	change(t)
}

func (r *recorder) latency(kind Kind, d time.Duration) {
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

func (r *recorder) snapshot() map[Kind]Tally {
	r.mu.Lock()
	defer r.mu.Unlock()
	tallies := map[Kind]Tally{}
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
