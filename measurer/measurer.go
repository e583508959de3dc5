package measurer

import (
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLabels bounds the number of labels of one histogram, apart from otherLabel. Values with further labels are recorded
	// under otherLabel.
	maxLabels  = 32
	otherLabel = "other"
	// Histograms record durations from minMicros to maxMicros in microseconds (1 µs to 10 minutes), with digits significant
	// decimal digits. A duration outside this range is recorded as the nearest end of the range.
	minMicros = 1
	maxMicros = int64(10 * time.Minute / time.Microsecond)
	digits    = 2
)

// Set holds the metrics of one role.
type Set struct {
	vars *expvar.Map

	mu         sync.Mutex
	histograms map[string]map[string]*hdrhistogram.Histogram
}

// New returns an empty set.
func New() *Set {
	return &Set{vars: new(expvar.Map).Init(), histograms: map[string]map[string]*hdrhistogram.Histogram{}}
}

// Add adds n to a counter.
func (s *Set) Add(name string, n int64) { s.vars.Add(name, n) }

// Gauge sets a gauge to v. A gauge is a value that can increase and decrease.
func (s *Set) Gauge(name string, v int64) {
	g := new(expvar.Int)
	g.Set(v)
	s.vars.Set(name, g)
}

// Count returns the value of a counter or gauge, or zero if there is none with this name.
func (s *Set) Count(name string) int64 {
	v, ok := s.vars.Get(name).(*expvar.Int)
	if !ok {
		return 0
	}
	return v.Value()
}

// Observe records a duration in a histogram under a label. If the label is new and the histogram already has maxLabels
// labels, it uses otherLabel instead.
func (s *Set) Observe(name, label string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	labels, ok := s.histograms[name]
	if !ok {
		labels = map[string]*hdrhistogram.Histogram{}
		s.histograms[name] = labels
	}
	h, ok := labels[label]
	if !ok && len(labels) >= maxLabels {
		label = otherLabel
		h, ok = labels[label]
	}
	if !ok {
		h = hdrhistogram.New(minMicros, maxMicros, digits)
		labels[label] = h
	}
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

// Summary summarizes a histogram of durations. All fields but Count are in milliseconds.
type Summary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Summarize returns the summary of a histogram of microseconds.
func Summarize(h *hdrhistogram.Histogram) Summary {
	ms := func(v int64) float64 { return float64(v) / 1000 }
	return Summary{
		Count: h.TotalCount(), P50: ms(h.ValueAtQuantile(50)), P95: ms(h.ValueAtQuantile(95)),
		P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max()),
	}
}

// NewHistogram returns a histogram of microseconds for use with Summarize.
func NewHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(minMicros, maxMicros, digits) }

// Summaries returns the summaries of all histograms, by name of the histogram and then by label.
func (s *Set) Summaries() map[string]map[string]Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]map[string]Summary, len(s.histograms))
	for name, labels := range s.histograms {
		all[name] = make(map[string]Summary, len(labels))
		for label, h := range labels {
			all[name][label] = Summarize(h)
		}
	}
	return all
}

// ServeHTTP writes counters, gauges, histogram summaries, heap size and the number of goroutines as JSON.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	histograms, err := json.Marshal(s.Summaries())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, "{\"masticway\":%s,\"histograms\":%s,\"heap_bytes\":%d,\"goroutines\":%d}\n",
		s.vars.String(), histograms, memory.HeapAlloc, runtime.NumGoroutine())
}
