package emulator

import (
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
)

// EngineSettings shape a model engine stand-in.
type EngineSettings struct {
	// Capacity is the size of the batch.
	Capacity int
	// PrefillTime is the time for one prompt token, and TokenTime for one output token.
	PrefillTime time.Duration
	TokenTime   time.Duration
	// CacheBlocks bounds the prefix cache.
	CacheBlocks int
	// ReportLag is the age of the load that the engine reports.
	ReportLag time.Duration
	// IgnoreFences makes the engine carry out orders with old fencing numbers.
	IgnoreFences bool
}

// EngineFaults are the faults of an engine.
type EngineFaults struct {
	// Down refuses new requests and breaks open streams.
	Down bool `json:"down"`
	// Stall stops all output without ending it.
	Stall bool `json:"stall"`
	// BreakBeforeFirstToken breaks so many streams between the prompt's count and the first token.
	BreakBeforeFirstToken int `json:"break_after_count"`
	// HideCache leaves cached prefixes out of load reports.
	HideCache bool `json:"hide_cache"`
}

// EngineCounts is what an engine really did.
type EngineCounts struct {
	Runs       int64 `json:"runs"`
	Prompt     int64 `json:"prompt_tokens"`
	Completion int64 `json:"completion_tokens"`
	CacheHits  int64 `json:"cache_hit_tokens"`
	Orders     int64 `json:"orders"`
	// Owners splits the tokens by the owner that a prompt names.
	Owners map[string]OwnerCounts `json:"owners"`
}

// OwnerCounts is what an engine did for one owner.
type OwnerCounts struct {
	Prompt     int64 `json:"prompt_tokens"`
	Completion int64 `json:"completion_tokens"`
}

func (c *EngineCounts) add(messages []Message, prompt, completion int64) {
	c.Prompt += prompt
	c.Completion += completion
	if len(messages) == 0 {
		return
	}
	owner := Owner(messages[0].Content)
	o := c.Owners[owner]
	o.Prompt += prompt
	o.Completion += completion
	c.Owners[owner] = o
}

// Engine is a model engine stand-in with batches, a prefix cache and lagging load reports.
type Engine struct {
	settings EngineSettings

	mu      sync.Mutex
	faults  EngineFaults
	counts  EngineCounts
	running int
	waiting admissionQueue
	serial  int64
	cache   map[uint64]int64
	clock   int64
	history []masticway.LoadReport
	fence   int64
	broken  chan struct{}
	// prefilling holds the one place for a prefill.
	prefilling chan struct{}
}

type admission struct {
	priority int
	serial   int64
	ready    chan struct{}
	index    int
}

type admissionQueue []*admission

func (q admissionQueue) Len() int { return len(q) }
func (q admissionQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].serial < q[j].serial
}
func (q admissionQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}
func (q *admissionQueue) Push(x any) {
	a := x.(*admission)
	a.index = len(*q)
	*q = append(*q, a)
}
func (q *admissionQueue) Pop() any {
	old := *q
	a := old[len(old)-1]
	*q = old[:len(old)-1]
	a.index = -1
	return a
}

// NewEngine returns an idle engine.
func NewEngine(s EngineSettings) *Engine {
	return &Engine{
		settings: s, cache: map[uint64]int64{}, broken: make(chan struct{}), prefilling: make(chan struct{}, 1),
		counts: EngineCounts{Owners: map[string]OwnerCounts{}},
	}
}

// SetFaults replaces the engine's faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Down && !e.faults.Down {
		close(e.broken)
	}
	if !f.Down && e.faults.Down {
		e.broken = make(chan struct{})
	}
	e.faults = f
}

// Counts returns what the engine has done so far.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.counts
	counts.Owners = maps.Clone(e.counts.Owners)
	return counts
}

// Record counts work that no request asked for, so that tests can see the checks notice it.
func (e *Engine) Record(owner string, prompt, completion int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.add([]Message{{Content: OwnerPrefix + owner + " "}}, prompt, completion)
}

// Running returns the size of the batch now.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// Handler serves the engine's protocol and its fault switch.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	handle(mux, "/tokenize", func(_ *http.Request, in struct {
		Messages []Message `json:"messages"`
	}) (any, error) {
		return struct {
			Count int `json:"count"`
		}{CountTokens(in.Messages)}, nil
	})
	handle(mux, "/load", func(*http.Request, struct{}) (any, error) { return e.report(), nil })
	handle(mux, "/orders", func(_ *http.Request, o masticway.Order) (any, error) { return struct{}{}, e.order(o) })
	handle(mux, "/faults", func(_ *http.Request, f EngineFaults) (any, error) {
		e.SetFaults(f)
		return struct{}{}, nil
	})
	handle(mux, "/counts", func(*http.Request, struct{}) (any, error) { return e.Counts(), nil })
	return mux
}

func (e *Engine) order(o masticway.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence && !e.settings.IgnoreFences {
		return &masticway.ConflictError{Key: fmt.Sprintf("fence %d, not %d", e.fence, o.Fence)}
	}
	e.fence = max(e.fence, o.Fence)
	e.counts.Orders++
	return nil
}

// report returns the load as it was a lag ago.
func (e *Engine) report() masticway.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	current := masticway.LoadReport{
		Running: e.running, Queued: len(e.waiting), ReportedAt: now, Capacity: e.settings.Capacity,
		TokenTime: e.settings.TokenTime.Seconds(), PrefillTime: e.settings.PrefillTime.Seconds(),
	}
	if !e.faults.HideCache {
		current.Prefixes = e.recentPrefixes()
	}
	e.history = append(e.history, current)
	old := e.history[0]
	for len(e.history) > 1 && now.Sub(e.history[1].ReportedAt) >= e.settings.ReportLag {
		e.history = e.history[1:]
		old = e.history[0]
	}
	return old
}

// reportedPrefixes bounds the prefixes in one report.
const reportedPrefixes = 16

func (e *Engine) recentPrefixes() []uint64 {
	var recent []uint64
	for h, used := range e.cache {
		if e.clock-used < reportedPrefixes {
			recent = append(recent, h)
		}
	}
	slices.Sort(recent)
	return recent[:min(len(recent), reportedPrefixes)]
}

type completion struct {
	Messages     []Message       `json:"-"`
	Raw          json.RawMessage `json:"messages"`
	MaxTokens    int             `json:"max_tokens"`
	Priority     int             `json:"priority"`
	ResumeTokens int             `json:"resume_tokens"`
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var in completion
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := json.Unmarshal(in.Raw, &in.Messages); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	broken := e.broken
	down := e.faults.Down
	e.mu.Unlock()
	if down {
		http.Error(w, "engine down", http.StatusServiceUnavailable)
		return
	}
	if !e.admit(r.Context(), in.Priority) {
		return
	}
	defer e.leave()
	e.stream(r.Context(), w, in, broken)
}

// admit waits for a place in the batch; higher priorities go first.
func (e *Engine) admit(ctx context.Context, priority int) bool {
	e.mu.Lock()
	if e.running < e.settings.Capacity {
		e.running++
		e.mu.Unlock()
		return true
	}
	e.serial++
	a := &admission{priority: priority, serial: e.serial, ready: make(chan struct{})}
	heap.Push(&e.waiting, a)
	e.mu.Unlock()
	select {
	case <-a.ready:
		return true
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.index >= 0 {
		heap.Remove(&e.waiting, a.index)
		return false
	}
	e.release()
	return false
}

func (e *Engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.release()
}

func (e *Engine) release() {
	if len(e.waiting) == 0 {
		e.running--
		return
	}
	a := heap.Pop(&e.waiting).(*admission)
	close(a.ready)
}

// prefill looks the prompt up in the prefix cache and returns the tokens still to be computed.
func (e *Engine) prefill(in completion) (todo, cached int) {
	total := CountTokens(in.Messages)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Runs++
	if in.ResumeTokens == 0 {
		e.counts.add(in.Messages, int64(total), 0)
	}
	prefixes := chooser.Prefixes(in.Raw)
	for _, h := range prefixes {
		if _, ok := e.cache[h]; !ok {
			break
		}
		cached += 64
	}
	// The deepest blocks count as used first, so that a prompt's own end is evicted before what it shares.
	for i := len(prefixes) - 1; i >= 0; i-- {
		e.clock++
		e.cache[prefixes[i]] = e.clock
	}
	e.evict()
	cached = min(cached, total)
	e.counts.CacheHits += int64(cached)
	return total - cached + in.ResumeTokens, cached
}

func (e *Engine) evict() {
	for len(e.cache) > e.settings.CacheBlocks {
		var oldest uint64
		at := e.clock + 1
		for h, used := range e.cache {
			if used < at {
				oldest, at = h, used
			}
		}
		delete(e.cache, oldest)
	}
}

func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, in completion, broken chan struct{}) {
	flusher := w.(http.Flusher)
	w.Header().Set("Content-Type", "text/event-stream")
	todo, cached := e.prefill(in)
	if !e.compute(ctx, broken, time.Duration(todo)*e.settings.PrefillTime) {
		panic(http.ErrAbortHandler)
	}
	total := CountTokens(in.Messages)
	fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":0,\"prompt_tokens_details\":{\"cached_tokens\":%d}}}\n\n", total, cached)
	flusher.Flush()
	if e.breaks() {
		panic(http.ErrAbortHandler)
	}
	length := min(in.MaxTokens, NaturalLength(in.Messages))
	for i := in.ResumeTokens; i < length; i++ {
		if !e.pause(ctx, broken, e.settings.TokenTime) {
			panic(http.ErrAbortHandler)
		}
		e.mu.Lock()
		e.counts.add(in.Messages, 0, 1)
		e.mu.Unlock()
		fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", Token(in.Messages, i))
		flusher.Flush()
	}
	reason := "stop"
	if length < NaturalLength(in.Messages) {
		reason = "length"
	}
	fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{},\"finish_reason\":%q}],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d}}\n\n", reason, total, length-in.ResumeTokens)
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// breaks tells whether this stream breaks off before its first token.
func (e *Engine) breaks() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.BreakBeforeFirstToken == 0 {
		return false
	}
	e.faults.BreakBeforeFirstToken--
	return true
}

// compute waits for a prefill; prefills of one engine share its compute, so they go one after the other.
func (e *Engine) compute(ctx context.Context, broken chan struct{}, d time.Duration) bool {
	select {
	case e.prefilling <- struct{}{}:
	case <-ctx.Done():
		return false
	case <-broken:
		return false
	}
	defer func() { <-e.prefilling }()
	return e.pause(ctx, broken, d)
}

// pause waits for compute time; it reports false when the caller has gone or the engine has failed.
func (e *Engine) pause(ctx context.Context, broken chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-broken:
			return false
		case <-timer.C:
		}
		e.mu.Lock()
		stalled := e.faults.Stall
		e.mu.Unlock()
		if !stalled {
			return true
		}
		timer.Reset(10 * time.Millisecond)
	}
}

// defaultLength is the length of an answer whose prompt does not say.
const defaultLength = 40
