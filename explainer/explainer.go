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
	// kept bounds the traces in memory.
	kept = 1024
	// candidatesKept bounds the candidates of one attempt, best first.
	candidatesKept = 6
	// pendingMost bounds the traces that wait for the object store.
	pendingMost = 4096
	// prefix is where batches lie in the object store.
	prefix = "explain/"
)

// Attempt is one try at an upstream.
type Attempt struct {
	Number     int                `json:"number"`
	Sidecar    string             `json:"sidecar"`
	Candidates []chooser.Score    `json:"candidates,omitempty"`
	Queued     masticway.Duration `json:"queued"`
	FirstToken masticway.Duration `json:"first_token"`
	Took       masticway.Duration `json:"took"`
	Fate       masticway.Fate     `json:"fate"`
	Cause      string             `json:"cause,omitempty"`
	Cost       masticway.Amount   `json:"cost"`
}

// Hold is the money taken for a request.
type Hold struct {
	ID     masticway.HoldID   `json:"id"`
	Payer  string             `json:"payer"`
	Bound  masticway.Amount   `json:"bound"`
	Amount masticway.Amount   `json:"amount"`
	Exact  bool               `json:"exact"`
	Waited masticway.Duration `json:"waited"`
}

// Trace is what was decided about one request.
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
	Attached  bool               `json:"attached,omitempty"`
	Refusal   string             `json:"refusal,omitempty"`
	Bill      masticway.Amount   `json:"bill"`
	Usage     masticway.Usage    `json:"usage"`
	Took      masticway.Duration `json:"took"`
}

// TraceCache holds recent traces; it is safe for concurrent use.
type TraceCache struct {
	batches *batcher.Batcher[Trace]

	mu     sync.Mutex
	traces map[string]Trace
	order  []string
}

// NewTraceCache returns an empty memory whose batches carry the owner's name.
func NewTraceCache(owner masticway.Incarnation) *TraceCache {
	return &TraceCache{batches: batcher.New[Trace](prefix, owner, pendingMost), traces: map[string]Trace{}}
}

// Add remembers a trace.
func (m *TraceCache) Add(t Trace) {
	for i, a := range t.Attempts {
		slices.SortFunc(a.Candidates, func(x, y chooser.Score) int { return cmp.Compare(x.Seconds, y.Seconds) })
		t.Attempts[i].Candidates = slices.Clone(a.Candidates[:min(len(a.Candidates), candidatesKept)])
	}
	m.batches.Add(t)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.traces[t.Request] = t
	m.order = append(m.order, t.Request)
	if len(m.order) > kept {
		delete(m.traces, m.order[0])
		m.order = m.order[1:]
	}
}

// Flush writes what waits as one object; after a failure it is written by the next flush.
func (m *TraceCache) Flush(ctx context.Context, store masticway.ObjectStore) error {
	return m.batches.Flush(ctx, store, "")
}

// Get returns a trace that is still in memory.
func (m *TraceCache) Get(request string) (Trace, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t, ok := m.traces[request]
	return t, ok
}

// RequestID makes a request id that names the incarnation which traces it.
func RequestID(owner masticway.Incarnation, serial string) string {
	return string(owner) + "." + serial
}

// FindTrace looks for a trace in the object store; it fails with NotFoundError when there is none.
func FindTrace(ctx context.Context, store masticway.ObjectStore, request string) (Trace, error) {
	owner, _, _ := strings.Cut(request, ".")
	names, err := store.List(ctx, prefix+owner+"/")
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
