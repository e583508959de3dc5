package coordinator_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/coordinator"
	"github.com/masticway/masticway/measurer"
)

// answeringRouters acknowledges reports, and answers queries as given.
type answeringRouters struct {
	answer func(ctx context.Context, query int) (coordinator.Reply, error)

	mu        sync.Mutex
	deadlines []time.Time
}

func (r *answeringRouters) Send(ctx context.Context, _ string, m coordinator.Message) (coordinator.Reply, error) {
	if m.Run == nil {
		return coordinator.Reply{Ready: true}, nil
	}
	deadline, _ := ctx.Deadline()
	r.mu.Lock()
	r.deadlines = append(r.deadlines, deadline)
	n := len(r.deadlines)
	r.mu.Unlock()
	return r.answer(ctx, n)
}

func (r *answeringRouters) SendSpeeds(context.Context, string, coordinator.Speeds) error { return nil }

// fullReply is the reply of an owner all of whose engines are full.
var fullReply = coordinator.Reply{Ready: true, Choice: &masticway.EngineChoice{Full: true, RetryAfter: time.Second}}

// queryFixture is a coordinator for which another router owns all groups and is ready.
type queryFixture struct {
	*coordinator.Coordinator
	clock   *manualClock
	pool    masticway.Pool
	engines []masticway.Server
	metrics *measurer.Set
	queries int
}

func newQueryFixture(t *testing.T, engines int, timeout time.Duration, r coordinator.Routers) *queryFixture {
	log, _ := test.NewNullLogger()
	f := &queryFixture{clock: &manualClock{now: time.Unix(1_000_000, 0)}, pool: masticway.Pool{Name: "llm", IsEngine: true, Slots: 64}, metrics: measurer.New()}
	for i := range engines {
		f.engines = append(f.engines, masticway.Server{ID: fmt.Sprintf("e-%d", i), Pool: "llm"})
	}
	f.Coordinator = coordinator.New(coordinator.Dependencies{
		Routers: r, Members: fixedMembers{"other"}, Clock: f.clock, Log: log.WithField("", ""), Metrics: f.metrics, Self: "self~1", Address: "self",
		Applies: func(masticway.Deployment, int) bool { return true }, IsOverloaded: func() bool { return false },
		NewEngines: func() coordinator.Engines { return nil }, QueryTimeout: timeout,
	})
	f.Update(masticway.Deployment{Pools: map[string]masticway.Pool{"llm": f.pool}}, map[string][]masticway.Server{"llm": f.engines})
	for i, s := range f.engines {
		f.Begin("llm", masticway.EngineRun{ID: fmt.Sprint("begun", i), TimeLeft: time.Minute}, s)
	}
	f.clock.advance(time.Second)
	f.Step(t.Context())
	return f
}

func (f *queryFixture) place(ctx context.Context) (masticway.EngineChoice, bool) {
	f.queries++
	run := masticway.EngineRun{ID: fmt.Sprint("placed", f.queries), Tokens: 100, TimeLeft: time.Second}
	return f.Place(ctx, masticway.EngineQuery{Pool: f.pool, Run: run, Candidates: f.engines})
}

// TestQueryTimeout guards against a request that waits for an owner which does not reply, or for longer because it queries a second
// group.
func TestQueryTimeout(t *testing.T) {
	for name, tc := range map[string]struct{ engines, queries int }{"one group": {8, 1}, "a second group": {192, 2}} {
		t.Run(name, func(t *testing.T) {
			r := &answeringRouters{answer: func(ctx context.Context, query int) (coordinator.Reply, error) {
				if query < tc.queries {
					return fullReply, nil
				}
				<-ctx.Done()
				return coordinator.Reply{}, ctx.Err()
			}}
			f := newQueryFixture(t, tc.engines, 0, r)
			// The test fails by this timeout, which the coordinator takes for the end of the request.
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, ok := f.place(ctx)
			qt.Check(t, ok, qt.IsFalse)
			qt.Check(t, ctx.Err(), qt.IsNil)
			qt.Assert(t, r.deadlines, qt.HasLen, tc.queries)
			qt.Check(t, r.deadlines[tc.queries-1].After(r.deadlines[0]), qt.IsFalse, qt.Commentf("the second query extends the timeout"))
		})
	}
}

// TestTimeoutOfShortQuery guards against skipping a healthy owner because the query to another one has left it little time.
func TestTimeoutOfShortQuery(t *testing.T) {
	for name, tc := range map[string]struct {
		first   time.Duration
		queries int64
	}{"less than half is left": {11 * time.Millisecond, 6}, "more than half is left": {9 * time.Millisecond, 2}} {
		t.Run(name, func(t *testing.T) {
			var f *queryFixture
			f = newQueryFixture(t, 192, 0, &answeringRouters{answer: func(ctx context.Context, query int) (coordinator.Reply, error) {
				if query%2 == 1 {
					f.clock.advance(tc.first)
					return fullReply, nil
				}
				<-ctx.Done()
				return coordinator.Reply{}, ctx.Err()
			}})
			for range 3 {
				_, ok := f.place(t.Context())
				qt.Assert(t, ok, qt.IsFalse)
			}
			qt.Assert(t, f.metrics.Count("engine_asks"), qt.Equals, tc.queries)
		})
	}
}

// TestDelayedReplyKeepsClasses guards against the loss of the lists of slow and fast engines by a reply without lists that arrives
// after a newer one.
func TestDelayedReplyKeepsClasses(t *testing.T) {
	lists := func(version uint64, slow ...string) coordinator.Reply {
		return coordinator.Reply{Ready: true, ClassVersion: version, Slow: slow, Choice: &masticway.EngineChoice{Server: "e-0"}}
	}
	var f *queryFixture
	f = newQueryFixture(t, 8, time.Minute, &answeringRouters{answer: func(_ context.Context, query int) (coordinator.Reply, error) {
		switch query {
		case 1:
			return lists(1, "e-1"), nil
		case 2:
			// The reply to the third query arrives before this one.
			f.place(t.Context())
			return lists(1), nil
		}
		return lists(2, "e-2", "e-3"), nil
	}})
	f.place(t.Context())
	qt.Assert(t, f.HomeWeights("llm"), qt.DeepEquals, map[string]float64{"e-1": 0.5})
	f.place(t.Context())
	qt.Assert(t, f.HomeWeights("llm"), qt.DeepEquals, map[string]float64{"e-2": 0.5, "e-3": 0.5})
}

// rankedMembers ranks the same addresses first for all groups.
type rankedMembers []string

func (m rankedMembers) Members() int { return len(m) }

func (m rankedMembers) RankedLargeAddresses(_ string, limit int) []string {
	return m[:min(limit, len(m))]
}

// frozenRouter counts the messages to the router at the address "frozen", which does not reply.
type frozenRouter struct{ reports, speeds int }

func (r *frozenRouter) Send(_ context.Context, address string, _ coordinator.Message) (coordinator.Reply, error) {
	if address == "frozen" {
		r.reports++
		return coordinator.Reply{}, context.DeadlineExceeded
	}
	return coordinator.Reply{Ready: true}, nil
}

func (r *frozenRouter) SendSpeeds(context.Context, string, coordinator.Speeds) error {
	r.speeds++
	return context.DeadlineExceeded
}

// TestFrozenRouterDelaysOnce guards against reports that wait for a frozen router again and again, once for each of its groups.
func TestFrozenRouterDelaysOnce(t *testing.T) {
	for name, tc := range map[string]struct {
		members         rankedMembers
		reports, speeds int
	}{"the owner": {rankedMembers{"frozen", "other"}, 1, 0}, "the backup": {rankedMembers{"self", "frozen"}, 0, 1}} {
		t.Run(name, func(t *testing.T) {
			log, _ := test.NewNullLogger()
			r, clock := &frozenRouter{}, &manualClock{now: time.Unix(1_000_000, 0)}
			speeds := map[masticway.ServerIncarnation]masticway.EngineSpeed{"e-1": {TokensPerMS: 10, Tokens: 1000}}
			c := coordinator.New(coordinator.Dependencies{
				Routers: r, Members: tc.members, Clock: clock, Log: log.WithField("", ""), Metrics: measurer.New(), Self: "self~1", Address: "self",
				Applies: func(masticway.Deployment, int) bool { return true }, IsOverloaded: func() bool { return false },
				NewEngines: func() coordinator.Engines {
					return &simEngines{runs: map[string]*simEntry{}, senders: map[masticway.Incarnation]*simSender{}, speeds: speeds}
				},
			})
			var engines []masticway.Server
			for i := range 192 {
				engines = append(engines, masticway.Server{ID: fmt.Sprintf("e-%d", i), Pool: "llm"})
			}
			pool := masticway.Pool{Name: "llm", IsEngine: true, Slots: 64}
			c.Update(masticway.Deployment{Pools: map[string]masticway.Pool{"llm": pool}}, map[string][]masticway.Server{"llm": engines})
			for i, s := range engines {
				c.Begin("llm", masticway.EngineRun{ID: fmt.Sprint("r", i), TimeLeft: time.Minute}, s)
			}
			for range 25 {
				clock.advance(100 * time.Millisecond)
				c.Step(t.Context())
				if r.reports+r.speeds > 0 {
					break
				}
			}
			qt.Check(t, r.reports, qt.Equals, tc.reports)
			qt.Check(t, r.speeds, qt.Equals, tc.speeds)
		})
	}
}
