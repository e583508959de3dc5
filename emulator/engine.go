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

// EngineSettings are the settings of an emulated model engine.
type EngineSettings struct {
	// Capacity is the maximum number of requests in the batch.
	Capacity int
	// PrefillTime is the time to process one prompt token. TokenTime is the time to generate one output token.
	PrefillTime time.Duration
	TokenTime   time.Duration
	// CacheBlocks is the maximum number of blocks in the prefix cache.
	CacheBlocks int
	// ReportLag is the minimum age of the load reports that the engine returns. Until a report has this age, the engine
	// returns the oldest one that it has.
	ReportLag time.Duration
	// IgnoreFences makes the engine execute an order (see masticway.Order) even if its fencing number is lower than that of an
	// earlier order.
	IgnoreFences bool
}

// EngineFaults are the faults that can be injected into an engine.
type EngineFaults struct {
	// Down makes the engine reject new requests and break running ones. Requests that wait for a slot in the batch break
	// when they get one.
	Down bool `json:"down"`
	// Stall pauses prefills and all output without ending the streams.
	Stall bool `json:"stall"`
	// BreakBeforeFirstToken is the number of streams that break before their first token, after the prompt's token count has
	// been sent.
	BreakBeforeFirstToken int `json:"break_after_count"`
	// HideCache omits the cached prefixes from load reports.
	HideCache bool `json:"hide_cache"`
}

// EngineCounts counts the work that an engine did.
type EngineCounts struct {
	// Runs counts the requests that got a slot in the batch, including resumed ones.
	Runs int64 `json:"runs"`
	// Prompt counts prompt tokens, except those of resumed requests. Completion counts the tokens that were generated.
	Prompt     int64 `json:"prompt_tokens"`
	Completion int64 `json:"completion_tokens"`
	// CacheHits counts the prompt tokens that were found in the prefix cache.
	CacheHits int64 `json:"cache_hit_tokens"`
	// Orders counts the orders that were executed.
	Orders int64 `json:"orders"`
	// Owners splits Prompt and Completion by owner, the workspace that the prompt names (OwnerPrefix).
	Owners map[string]OwnerCounts `json:"owners"`
}

// OwnerCounts counts the work that an engine did for one owner.
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

// Engine emulates a model engine with batching, a prefix cache and lagging load reports.
type Engine struct {
	settings EngineSettings

	mu         sync.Mutex
	faults     EngineFaults
	counts     EngineCounts
	running    int
	waiting    admissionQueue
	lastTicket int64
	// cache holds, by the hash of a block, the value of cacheTick at the block's last use.
	cache map[uint64]int64
	// cacheTick is a logical clock for uses of the cache.
	cacheTick int64
	// reports holds the load reports that may still be returned, oldest first.
	reports []masticway.LoadReport
	// fence is the highest fencing number of the orders that have been executed.
	fence int64
	// down is closed when the engine goes down, and replaced when it is up again.
	down chan struct{}
	// prefillSlot is a semaphore with one slot, which a prefill holds while it runs.
	prefillSlot chan struct{}
}

// admission is a request that waits for a slot in the batch.
type admission struct {
	priority int
	// ticket is a number that increases with each arrival.
	ticket int64
	// admitted is closed when the request has got a slot.
	admitted chan struct{}
	// index is the position in the queue, or -1 if it is no longer there.
	index int
}

// admissionQueue is a heap of waiting requests. The first has the highest priority and, among those, the earliest arrival.
type admissionQueue []*admission

func (q admissionQueue) Len() int { return len(q) }
func (q admissionQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].ticket < q[j].ticket
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

// NewEngine returns an idle engine without faults.
func NewEngine(s EngineSettings) *Engine {
	return &Engine{
		settings: s, cache: map[uint64]int64{}, down: make(chan struct{}), prefillSlot: make(chan struct{}, 1),
		counts: EngineCounts{Owners: map[string]OwnerCounts{}},
	}
}

// SetFaults replaces the engine's faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Down && !e.faults.Down {
		close(e.down)
	}
	if !f.Down && e.faults.Down {
		e.down = make(chan struct{})
	}
	e.faults = f
}

// Counts returns the work that the engine has done so far.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.counts
	counts.Owners = maps.Clone(e.counts.Owners)
	return counts
}

// Record counts tokens of an owner that no request asked for. Tests use it to verify that checks detect this.
func (e *Engine) Record(owner string, prompt, completion int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.add([]Message{{Content: OwnerPrefix + owner + " "}}, prompt, completion)
}

// Running returns the number of requests in the batch.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// Handler returns the handler of the engine's protocol, its fault injection and its counts.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	handleJSON(mux, "/tokenize", func(_ *http.Request, in struct {
		Messages []Message `json:"messages"`
	}) (any, error) {
		return struct {
			Count int `json:"count"`
		}{CountTokens(in.Messages)}, nil
	})
	handleJSON(mux, "/load", func(*http.Request, struct{}) (any, error) { return e.report(), nil })
	handleJSON(mux, "/orders", func(_ *http.Request, o masticway.Order) (any, error) { return struct{}{}, e.applyOrder(o) })
	handleJSON(mux, "/faults", func(_ *http.Request, f EngineFaults) (any, error) {
		e.SetFaults(f)
		return struct{}{}, nil
	})
	handleJSON(mux, "/counts", func(*http.Request, struct{}) (any, error) { return e.Counts(), nil })
	return mux
}

func (e *Engine) applyOrder(o masticway.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence && !e.settings.IgnoreFences {
		return &masticway.ConflictError{Key: fmt.Sprintf("fence %d, not %d", e.fence, o.Fence)}
	}
	e.fence = max(e.fence, o.Fence)
	e.counts.Orders++
	return nil
}

// report makes a new load report and returns the newest one that is at least ReportLag old. If no report is that old, it
// returns the oldest one. It discards the reports older than the returned one.
//
// Reports are made only by calls of report, so the returned one can be much older than ReportLag.
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
	e.reports = append(e.reports, current)
	reported := e.reports[0]
	for len(e.reports) > 1 && now.Sub(e.reports[1].ReportedAt) >= e.settings.ReportLag {
		e.reports = e.reports[1:]
		reported = e.reports[0]
	}
	return reported
}

// maxReportedPrefixes is the maximum number of prefixes in one load report. A prefix is the hash of a block of a prompt and
// of all blocks before it.
const maxReportedPrefixes = 16

// recentPrefixes returns the sorted hashes of the most recently used blocks.
func (e *Engine) recentPrefixes() []uint64 {
	var recent []uint64
	for h, used := range e.cache {
		if e.cacheTick-used < maxReportedPrefixes {
			recent = append(recent, h)
		}
	}
	slices.Sort(recent)
	return recent[:min(len(recent), maxReportedPrefixes)]
}

type completionRequest struct {
	Messages []Message `json:"-"`
	// Raw is the encoding of Messages.
	Raw       json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Priority  int             `json:"priority"`
	// ResumeTokens is the number of tokens of the answer that the caller already has.
	ResumeTokens int `json:"resume_tokens"`
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var in completionRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := json.Unmarshal(in.Raw, &in.Messages); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	down := e.down
	isDown := e.faults.Down
	e.mu.Unlock()
	if isDown {
		http.Error(w, "engine down", http.StatusServiceUnavailable)
		return
	}
	if !e.admit(r.Context(), in.Priority) {
		return
	}
	defer e.releaseSlot()
	e.streamAnswer(r.Context(), w, in, down)
}

// admit takes a slot in the batch. If the batch is full, it waits for a slot, and requests with a higher priority go first.
// If ctx is done first, it returns false and takes no slot.
func (e *Engine) admit(ctx context.Context, priority int) bool {
	e.mu.Lock()
	if e.running < e.settings.Capacity {
		e.running++
		e.mu.Unlock()
		return true
	}
	e.lastTicket++
	a := &admission{priority: priority, ticket: e.lastTicket, admitted: make(chan struct{})}
	heap.Push(&e.waiting, a)
	e.mu.Unlock()
	select {
	case <-a.admitted:
		return true
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.index >= 0 {
		heap.Remove(&e.waiting, a.index)
		return false
	}
	e.releaseSlotLocked()
	return false
}

func (e *Engine) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releaseSlotLocked()
}

func (e *Engine) releaseSlotLocked() {
	if len(e.waiting) == 0 {
		e.running--
		return
	}
	a := heap.Pop(&e.waiting).(*admission)
	close(a.admitted)
}

// lookUpPrompt counts the run, looks the prompt up in the prefix cache and adds it to the cache. It returns the number of
// tokens to prefill and the number of cached tokens. The tokens to prefill include the part of the answer that the caller of
// a resumed request already has.
func (e *Engine) lookUpPrompt(in completionRequest) (uncached, cached int) {
	promptTokens := CountTokens(in.Messages)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Runs++
	if in.ResumeTokens == 0 {
		e.counts.add(in.Messages, int64(promptTokens), 0)
	}
	prefixes := chooser.Prefixes(in.Raw)
	for _, h := range prefixes {
		if _, ok := e.cache[h]; !ok {
			break
		}
		cached += 64
	}
	// The last blocks are marked as used first, so that the end of a prompt, which other prompts rarely share, is evicted first.
	for i := len(prefixes) - 1; i >= 0; i-- {
		e.cacheTick++
		e.cache[prefixes[i]] = e.cacheTick
	}
	e.evictOldest()
	cached = min(cached, promptTokens)
	e.counts.CacheHits += int64(cached)
	return promptTokens - cached + in.ResumeTokens, cached
}

// evictOldest removes the least recently used blocks until the cache has no more than CacheBlocks.
func (e *Engine) evictOldest() {
	for len(e.cache) > e.settings.CacheBlocks {
		var oldest uint64
		oldestTick := e.cacheTick + 1
		for h, used := range e.cache {
			if used < oldestTick {
				oldest, oldestTick = h, used
			}
		}
		delete(e.cache, oldest)
	}
}

func (e *Engine) streamAnswer(ctx context.Context, w http.ResponseWriter, in completionRequest, down chan struct{}) {
	flusher := w.(http.Flusher)
	w.Header().Set("Content-Type", "text/event-stream")
	uncached, cached := e.lookUpPrompt(in)
	if !e.runPrefill(ctx, down, time.Duration(uncached)*e.settings.PrefillTime) {
		panic(http.ErrAbortHandler)
	}
	promptTokens := CountTokens(in.Messages)
	fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":0,\"prompt_tokens_details\":{\"cached_tokens\":%d}}}\n\n", promptTokens, cached)
	flusher.Flush()
	if e.takeBreakFault() {
		panic(http.ErrAbortHandler)
	}
	answerTokens := min(in.MaxTokens, NaturalLength(in.Messages))
	for i := in.ResumeTokens; i < answerTokens; i++ {
		if !e.wait(ctx, down, e.settings.TokenTime) {
			panic(http.ErrAbortHandler)
		}
		e.mu.Lock()
		e.counts.add(in.Messages, 0, 1)
		e.mu.Unlock()
		fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", Token(in.Messages, i))
		flusher.Flush()
	}
	reason := "stop"
	if answerTokens < NaturalLength(in.Messages) {
		reason = "length"
	}
	fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{},\"finish_reason\":%q}],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d}}\n\n", reason, promptTokens, answerTokens-in.ResumeTokens)
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// takeBreakFault reports whether this stream must break before its first token, and counts it off the streams to break.
func (e *Engine) takeBreakFault() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.BreakBeforeFirstToken == 0 {
		return false
	}
	e.faults.BreakBeforeFirstToken--
	return true
}

// runPrefill waits for a prefill of duration d. Prefills of one engine run one at a time, because they share its compute. It
// returns false if ctx is done or the engine goes down first.
func (e *Engine) runPrefill(ctx context.Context, down chan struct{}, d time.Duration) bool {
	select {
	case e.prefillSlot <- struct{}{}:
	case <-ctx.Done():
		return false
	case <-down:
		return false
	}
	defer func() { <-e.prefillSlot }()
	return e.wait(ctx, down, d)
}

// wait waits for d, and longer while the engine stalls. It returns false if ctx is done or the engine goes down first.
func (e *Engine) wait(ctx context.Context, down chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-down:
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

// defaultAnswerTokens is the length of an answer if the prompt does not specify one.
const defaultAnswerTokens = 40
