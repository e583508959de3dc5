package explainer

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/batcher"
	"github.com/masticway/masticway/chooser"
)

const (
	// maxTraces bounds the number of traces that are kept in memory for Get.
	maxTraces = 1024
	// maxCandidates bounds the number of candidates in the trace of one attempt. The ones with the shortest expected times
	// are kept.
	maxCandidates = 6
	// maxPending bounds the number of traces that wait to be written to the object store. Traces beyond it are not written.
	maxPending = 4096
	// objectPrefix is the prefix of the names that batches of traces have in the object store.
	objectPrefix = "explain/"
)

// Attempt is one attempt to run the request at an upstream.
type Attempt struct {
	Number  int    `json:"number"`
	Sidecar string `json:"sidecar"`
	// Candidates are the upstreams that were considered, with their scores.
	Candidates []chooser.Score    `json:"candidates,omitempty"`
	Queued     masticway.Duration `json:"queued"`
	FirstToken masticway.Duration `json:"first_token"`
	Took       masticway.Duration `json:"took"`
	Fate       masticway.Fate     `json:"fate"`
	Cause      string             `json:"cause,omitempty"`
	Cost       masticway.Amount   `json:"cost"`
}

// Hold is money that was held for the request.
type Hold struct {
	ID    masticway.HoldID `json:"id"`
	Payer string           `json:"payer"`
	// Bound is the maximum cost of the attempt. Amount is how much was held for it.
	Bound  masticway.Amount `json:"bound"`
	Amount masticway.Amount `json:"amount"`
	// Exact is set if Bound is based on an exact token count of the prompt.
	Exact bool `json:"exact"`
	// Waited is how long the request waited for the money.
	Waited masticway.Duration `json:"waited"`
}

// Trace records the decisions about one request.
type Trace struct {
	Request   string             `json:"request"`
	Identity  masticway.Identity `json:"identity"`
	Workspace string             `json:"workspace"`
	Revision  masticway.Revision `json:"revision"`
	Target    string             `json:"target"`
	Class     masticway.Class    `json:"class"`
	Received  time.Time          `json:"received"`
	State     string             `json:"state"`
	Holds     []Hold             `json:"holds,omitempty"`
	Attempts  []Attempt          `json:"attempts,omitempty"`
	// Attached is set if the request attached to a run that an earlier request with its identity had started.
	Attached bool               `json:"attached,omitempty"`
	Refusal  string             `json:"refusal,omitempty"`
	Bill     masticway.Amount   `json:"bill"`
	Usage    masticway.Usage    `json:"usage"`
	Took     masticway.Duration `json:"took"`
}

// TraceCache holds recent traces and the traces that wait to be written to the object store. It is safe for concurrent use,
// but calls of Flush must not overlap.
type TraceCache struct {
	batches *batcher.Batcher[Trace]

	mu     sync.Mutex
	traces map[string]Trace
	order  []string
}

// NewTraceCache returns an empty cache of traces. The names of the objects that it writes contain the owner.
func NewTraceCache(owner masticway.Incarnation) *TraceCache {
	return &TraceCache{batches: batcher.New[Trace](objectPrefix, owner, maxPending), traces: map[string]Trace{}}
}

// Add adds a trace. It keeps at most maxCandidates candidates of each attempt. The caller must not use the trace's attempts
// afterwards, because Add changes them.
func (m *TraceCache) Add(t Trace) {
	for i, a := range t.Attempts {
		slices.SortFunc(a.Candidates, func(x, y chooser.Score) int { return cmp.Compare(x.Seconds, y.Seconds) })
		t.Attempts[i].Candidates = slices.Clone(a.Candidates[:min(len(a.Candidates), maxCandidates)])
	}
	m.batches.Add(t)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.traces[t.Request] = t
	m.order = append(m.order, t.Request)
	if len(m.order) > maxTraces {
		delete(m.traces, m.order[0])
		m.order = m.order[1:]
	}
}

// Flush writes the waiting traces to the store as one object. After a failure, the next Flush writes the same batch again.
func (m *TraceCache) Flush(ctx context.Context, store masticway.ObjectStore) error {
	return m.batches.Flush(ctx, store, "")
}

// Get returns the trace of a request. It returns false if the trace is not in memory.
func (m *TraceCache) Get(request string) (Trace, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t, ok := m.traces[request]
	return t, ok
}

// RequestID returns a request id: the incarnation of the router that records the request's trace, a dot, and serial.
// FindTrace takes the incarnation from the id.
func RequestID(owner masticway.Incarnation, serial string) string {
	return string(owner) + "." + serial
}

// FindTrace searches the object store for the trace of a request. The id must be one that RequestID returned. If there is no
// trace, it fails with a NotFoundError.
func FindTrace(ctx context.Context, store masticway.ObjectStore, request string) (Trace, error) {
	owner, _, _ := strings.Cut(request, ".")
	names, err := store.List(ctx, objectPrefix+owner+"/")
	if err != nil {
		return Trace{}, fmt.Errorf("listing traces of %s: %w", owner, err)
	}
	for i := len(names) - 1; i >= 0; i-- {
		batch, err := batcher.ReadBatch[Trace](ctx, store, names[i])
		if err != nil {
			return Trace{}, err
		}
		for _, t := range batch {
			if t.Request == request {
				return t, nil
			}
		}
	}
	return Trace{}, &masticway.NotFoundError{Kind: "request", Name: request}
}
