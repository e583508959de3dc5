package limiter_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/limiter"
)

var start = time.Unix(1_800_000_000, 0)

func entry(id, workspace string, class masticway.Class, priority int) limiter.Entry {
	return limiter.Entry{ID: id, Workspace: workspace, Class: class, Priority: priority, Pool: "p", Deadline: start.Add(time.Second)}
}

func newQueue() *limiter.Queue {
	return limiter.NewQueue(limiter.QueueSettings{MaxPerClass: 100, MaxPerWorkspace: 50, InteractiveBurst: 3})
}

func popAll(q *limiter.Queue) []string {
	var ids []string
	for {
		e, ok := q.Pop("p")
		if !ok {
			return ids
		}
		ids = append(ids, e.ID)
	}
}

func TestQueueOrder(t *testing.T) {
	cases := map[string]struct {
		entries []limiter.Entry
		order   []string
	}{
		"interactive precedes batch": {
			[]limiter.Entry{entry("draft", "w", masticway.ClassBatch, 0), entry("question", "w", masticway.ClassInteractive, 0)},
			[]string{"question", "draft"},
		},
		"batch is not starved": {
			[]limiter.Entry{
				entry("d", "w", masticway.ClassBatch, 0), entry("1", "w", masticway.ClassInteractive, 0), entry("2", "w", masticway.ClassInteractive, 0),
				entry("3", "w", masticway.ClassInteractive, 0), entry("4", "w", masticway.ClassInteractive, 0),
			},
			[]string{"1", "2", "3", "d", "4"},
		},
		"workspaces take turns": {
			[]limiter.Entry{
				entry("a1", "a", masticway.ClassInteractive, 0), entry("a2", "a", masticway.ClassInteractive, 0),
				entry("a3", "a", masticway.ClassInteractive, 0), entry("b1", "b", masticway.ClassInteractive, 0),
			},
			[]string{"a1", "b1", "a2", "a3"},
		},
		"priority within a workspace": {
			[]limiter.Entry{entry("low", "a", masticway.ClassInteractive, 1), entry("high", "a", masticway.ClassInteractive, 5), entry("high2", "a", masticway.ClassInteractive, 5)},
			[]string{"high", "high2", "low"},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			q := newQueue()
			for _, e := range tc.entries {
				qt.Assert(t, q.Push(e), qt.IsTrue)
			}
			qt.Assert(t, popAll(q), qt.DeepEquals, tc.order)
		})
	}
}

func TestPutBackKeepsPosition(t *testing.T) {
	q := newQueue()
	for _, e := range []limiter.Entry{entry("a1", "a", masticway.ClassBatch, 0), entry("a2", "a", masticway.ClassBatch, 0), entry("b1", "b", masticway.ClassBatch, 0)} {
		q.Push(e)
	}
	e, _ := q.Pop("p")
	q.PutBack(e)
	qt.Assert(t, popAll(q), qt.DeepEquals, []string{"a1", "b1", "a2"})
}

// TestQueueKeepsEveryEntry performs random pushes, pops, removals and expiries and checks that no entry is lost or returned
// twice.
func TestQueueKeepsEveryEntry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := limiter.NewQueue(limiter.QueueSettings{MaxPerClass: 20, MaxPerWorkspace: 8, InteractiveBurst: 2})
		inside := map[string]limiter.Entry{}
		serial := 0
		now := start
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				serial++
				e := entry(fmt.Sprint(serial), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
					rapid.SampledFrom([]masticway.Class{masticway.ClassBatch, masticway.ClassInteractive}).Draw(t, "class"), 0)
				e.Deadline = now.Add(time.Duration(rapid.IntRange(1, 10).Draw(t, "wait")) * time.Second)
				if q.Push(e) {
					inside[e.ID] = e
				}
			},
			"pop": func(t *rapid.T) {
				e, ok := q.Pop("p")
				if !ok {
					return
				}
				if _, known := inside[e.ID]; !known {
					t.Fatalf("%s was popped twice", e.ID)
				}
				if rapid.Bool().Draw(t, "back") {
					q.PutBack(e)
					return
				}
				delete(inside, e.ID)
			},
			"remove": func(*rapid.T) {
				for _, e := range inside {
					if !q.Remove(e) {
						t.Fatalf("%s is missing", e.ID)
					}
					delete(inside, e.ID)
					return
				}
			},
			"expire": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "passed")) * time.Second)
				for _, e := range q.Expire(now) {
					delete(inside, e.ID)
				}
			},
			"": func(t *rapid.T) {
				n := q.Len("p", masticway.ClassBatch) + q.Len("p", masticway.ClassInteractive)
				if n != len(inside) {
					t.Fatalf("%d entries in the queue, want %d", n, len(inside))
				}
			},
		})
	})
}

func TestContractLimits(t *testing.T) {
	l := limiter.NewContractLimiter()
	c := masticway.Contract{Workspace: "w", RequestsPerSecond: 2, Burst: 3, Concurrency: 2}
	limit, _ := l.Admit(start, c)
	qt.Assert(t, limit, qt.Equals, limiter.LimitNone)
	_, _ = l.Admit(start, c)
	limit, retry := l.Admit(start, c)
	qt.Assert(t, limit, qt.Equals, limiter.LimitConcurrency)
	qt.Assert(t, retry > 0, qt.IsTrue)
	l.Done("w")
	l.Done("w")
	_, _ = l.Admit(start, c)
	limit, retry = l.Admit(start, c)
	qt.Assert(t, limit, qt.Equals, limiter.LimitRate)
	qt.Assert(t, retry, qt.Equals, 500*time.Millisecond)
	limit, _ = l.Admit(start.Add(retry), c)
	qt.Assert(t, limit, qt.Equals, limiter.LimitNone)
}
