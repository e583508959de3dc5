package coordinator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/coordinator"
)

const (
	fast = 3 * time.Millisecond
	slow = 12 * time.Millisecond
)

// TestGate guards against a router that delays its requests by queries although its link or processor is saturated, and against
// one that never queries again.
func TestGate(t *testing.T) {
	// each step makes one attempt to query, 10 ms after the previous one.
	type steps struct {
		n                    int
		took                 time.Duration
		unanswered, overload bool
	}
	for name, tc := range map[string]struct {
		steps  []steps
		sent   int
		closed bool
	}{
		"fast replies":                           {steps: []steps{{n: 100, took: fast}}, sent: 100},
		"one lost reply":                         {steps: []steps{{n: 50, took: fast}, {n: 1, unanswered: true}, {n: 49, took: fast}}, sent: 100},
		"slow replies, then probes":              {steps: []steps{{n: 100, took: slow}}, sent: 9 + 4, closed: true},
		"no replies, then probes":                {steps: []steps{{n: 100, unanswered: true}}, sent: 2 + 4, closed: true},
		"slow replies become fast":               {steps: []steps{{n: 100, took: slow}, {n: 400, took: fast}}, sent: 9 + 4 + 10 + 165},
		"replies between the limits stay closed": {steps: []steps{{n: 100, took: slow}, {n: 500, took: 6 * time.Millisecond}}, sent: 9 + 4 + 20, closed: true},
		"replies between the limits stay open":   {steps: []steps{{n: 100, took: 6 * time.Millisecond}}, sent: 100},
		"overloaded":                             {steps: []steps{{n: 100, took: fast, overload: true}}, sent: 4, closed: true},
		"no longer overloaded":                   {steps: []steps{{n: 100, took: fast, overload: true}, {n: 100, took: fast}}, sent: 4 + 100},
	} {
		t.Run(name, func(t *testing.T) {
			g, now, sent := &coordinator.Gate{}, time.Unix(1_000_000, 0), 0
			for _, s := range tc.steps {
				for range s.n {
					if g.TryBegin(now, s.overload) {
						g.End(s.took, !s.unanswered, s.overload)
						sent++
					}
					now = now.Add(10 * time.Millisecond)
				}
			}
			qt.Check(t, sent, qt.Equals, tc.sent)
			qt.Check(t, g.IsClosed(), qt.Equals, tc.closed)
		})
	}
}

// TestGateBoundsQueries guards against any number of requests that wait for a frozen owner, and against a count of queries that
// canceled ones leave too high.
func TestGateBoundsQueries(t *testing.T) {
	g, now := &coordinator.Gate{}, time.Unix(1_000_000, 0)
	begun := 0
	for g.TryBegin(now, false) {
		begun++
	}
	qt.Assert(t, begun, qt.Equals, 32)
	g.Cancel()
	qt.Assert(t, g.TryBegin(now, false), qt.IsTrue)
	qt.Assert(t, g.TryBegin(now, false), qt.IsFalse)
}

// TestReadiness guards against an owner that chooses engines before it knows their load.
func TestReadiness(t *testing.T) {
	for name, tc := range map[string]struct {
		// messages are the times of the messages, at the last of which the owner may be ready.
		messages []time.Duration
		want     bool
	}{
		"first message":       {messages: []time.Duration{0}},
		"messages for 900 ms": {messages: []time.Duration{0, 500 * time.Millisecond, 900 * time.Millisecond}},
		"messages for 1 s":    {messages: []time.Duration{0, time.Second}, want: true},
		"a short gap":         {messages: []time.Duration{0, time.Second, 4 * time.Second}, want: true},
		"a long gap":          {messages: []time.Duration{0, time.Second, 4500 * time.Millisecond}},
		"after a long gap":    {messages: []time.Duration{0, time.Second, 4500 * time.Millisecond, 5500 * time.Millisecond}, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			var r coordinator.Readiness
			start := time.Unix(1_000_000, 0)
			for _, at := range tc.messages {
				r.Record(start.Add(at))
			}
			qt.Assert(t, r.IsReady(start.Add(tc.messages[len(tc.messages)-1])), qt.Equals, tc.want)
		})
	}
}
