package forwarder_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/forwarder"
)

// reportedRun is what a coordinator was told about a run.
type reportedRun struct {
	run         masticway.EngineRun
	server      string
	firstEvents int
	ends        int
	events      int
	failed      bool
}

// fakeCoordinator coordinates the pool "llm" and returns given choices.
type fakeCoordinator struct {
	mu sync.Mutex
	// choices are the choices in order; when they are used up, local estimates decide.
	choices []masticway.EngineChoice
	queries []masticway.EngineQuery
	// runs are the runs that have begun, in order, and unsent the IDs of those that ended without having begun.
	runs    []*reportedRun
	unsent  []string
	weights map[string]float64
}

func (c *fakeCoordinator) AppliesTo(pool string) bool { return pool == "llm" }

func (c *fakeCoordinator) Place(_ context.Context, q masticway.EngineQuery) (masticway.EngineChoice, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queries = append(c.queries, q)
	if len(c.choices) == 0 {
		return masticway.EngineChoice{}, false
	}
	choice := c.choices[0]
	c.choices = c.choices[1:]
	return choice, choice != masticway.EngineChoice{}
}

func (c *fakeCoordinator) Begin(_ string, r masticway.EngineRun, server masticway.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs = append(c.runs, &reportedRun{run: r, server: server.ID})
}

func (c *fakeCoordinator) find(id string) *reportedRun {
	if i := slices.IndexFunc(c.runs, func(r *reportedRun) bool { return r.run.ID == id }); i >= 0 {
		return c.runs[i]
	}
	return nil
}

func (c *fakeCoordinator) FirstEvent(run string, _ time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.find(run).firstEvents++
}

func (c *fakeCoordinator) End(run string, events int, _ time.Duration, failed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.find(run); r != nil {
		r.ends++
		r.events, r.failed = events, failed
		return
	}
	c.unsent = append(c.unsent, run)
}

func (c *fakeCoordinator) HomeWeights(string) map[string]float64 { return c.weights }

// chosen returns the choice of an engine of the fixture.
func chosen(id string) masticway.EngineChoice {
	return masticway.EngineChoice{Server: masticway.ServerIncarnation(id)}
}

func newCoordinatedFixture(t *testing.T, servers int, c *fakeCoordinator, change func(*forwarder.Dependencies)) *fixture {
	settings := forwarder.Settings{Retries: forwarder.RetriesSettings{Ratio: 0.2, FixedRetries: 50, WindowSeconds: 10}}
	return newFixtureWith(t, servers, settings, func(d *forwarder.Dependencies) {
		d.Examiner, d.Coordinator = noSuspects{}, c
		if change != nil {
			change(d)
		}
	})
}

// TestCoordinatedChoices guards against requests that do not use the engine that the coordinator chose, that fail because they
// cannot, or that send more than one query for an attempt, and against runs that the coordinator is not told of.
func TestCoordinatedChoices(t *testing.T) {
	full := masticway.EngineChoice{Full: true, RetryAfter: 700 * time.Millisecond}
	type run struct {
		Server      string
		FirstEvents int
		Events      int
	}
	for name, tc := range map[string]struct {
		path    string
		choices []masticway.EngineChoice
		// faults are by server.
		faults  map[int]emulator.OpaqueFault
		change  func(*forwarder.Dependencies)
		prepare func(f *fixture)
		status  int
		retry   string
		queries int
		runs    []run
		// anyRuns is set if the servers of the runs are left to local estimates.
		anyRuns int
		unsent  int
	}{
		"the owner's choice":            {path: "/stream/x", choices: []masticway.EngineChoice{chosen("i-2")}, status: 200, queries: 1, runs: []run{{"i-2", 1, 5}}},
		"no choice":                     {path: "/stream/x", status: 200, queries: 1, anyRuns: 1},
		"an engine that is not known":   {path: "/stream/x", choices: []masticway.EngineChoice{chosen("i-9")}, status: 200, queries: 1, anyRuns: 1},
		"another incarnation":           {path: "/stream/x", choices: []masticway.EngineChoice{chosen("i-2@7")}, status: 200, queries: 1, anyRuns: 1},
		"all engines are full":          {path: "/stream/x", choices: []masticway.EngineChoice{full}, status: 503, retry: "0.700", queries: 1, unsent: 1},
		"a plain service":               {path: "/freely/x", status: 200},
		"the chosen engine is not free": {path: "/stream/x", choices: []masticway.EngineChoice{chosen("i-2"), chosen("i-0")}, faults: map[int]emulator.OpaqueFault{2: emulator.OpaqueOverloaded}, status: 200, queries: 2, runs: []run{{"i-2", 0, 0}, {"i-0", 1, 5}}},
		"all are full at the second attempt": {
			path: "/stream/x", choices: []masticway.EngineChoice{chosen("i-2"), full}, faults: map[int]emulator.OpaqueFault{2: emulator.OpaqueOverloaded}, status: 200, queries: 2, anyRuns: 2,
		},
		"a resumption": {
			path: "/resume/x", choices: []masticway.EngineChoice{chosen("i-2"), chosen("i-1")}, faults: map[int]emulator.OpaqueFault{2: emulator.OpaqueTruncated}, status: 200, queries: 2,
			runs: []run{{"i-2", 1, 3}, {"i-1", 1, 2}},
		},
		"a handover": {
			path: "/resume/x", choices: []masticway.EngineChoice{chosen("i-2"), chosen("i-1")}, faults: map[int]emulator.OpaqueFault{2: emulator.OpaqueHang}, status: 200, queries: 2,
			runs: []run{{"i-2", 0, 0}, {"i-1", 1, 5}},
		},
		"a suspect in quarantine": {
			path: "/stream/x", choices: []masticway.EngineChoice{chosen("i-2")}, change: func(d *forwarder.Dependencies) { d.Examiner = quarantining{claimable: true} }, status: 200, anyRuns: 1,
		},
		"the throttler does not admit": {
			path: "/stream/x", choices: []masticway.EngineChoice{chosen("i-2")}, change: func(d *forwarder.Dependencies) { d.Throttler = refusing{d.Throttler, "i-2"} }, status: 200, queries: 1, anyRuns: 1,
		},
		"no server": {path: "/stream/x", prepare: func(f *fixture) { f.snapshot.Servers["llm"] = nil }, status: 503, retry: "0.250", unsent: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := &fakeCoordinator{choices: tc.choices}
			f := newCoordinatedFixture(t, 3, c, tc.change)
			if tc.prepare != nil {
				tc.prepare(f)
			}
			for i, fault := range tc.faults {
				f.servers[i].InjectFaults(fault)
			}
			got := f.do(t.Context(), "POST", tc.path)
			qt.Assert(t, got.err, qt.IsNil)
			qt.Assert(t, got.status, qt.Equals, tc.status)
			if tc.retry != "" {
				qt.Check(t, got.header.Get("Retry-After"), qt.Equals, tc.retry)
			}
			f.frontend.Close()
			c.mu.Lock()
			defer c.mu.Unlock()
			qt.Check(t, c.queries, qt.HasLen, tc.queries)
			qt.Check(t, c.unsent, qt.HasLen, tc.unsent)
			var runs []run
			for _, r := range c.runs {
				runs = append(runs, run{r.server, r.firstEvents, r.events})
				qt.Check(t, r.ends, qt.Equals, 1, qt.Commentf("ends of a run at %s", r.server))
			}
			if tc.anyRuns > 0 {
				qt.Check(t, runs, qt.HasLen, tc.anyRuns)
				qt.Check(t, runs[len(runs)-1].FirstEvents, qt.Equals, 1)
				return
			}
			qt.Check(t, runs, qt.DeepEquals, tc.runs)
		})
	}
}

// refusing is a throttler that admits no request to one server, although it counts as available.
type refusing struct {
	masticway.Throttler
	server masticway.ServerIncarnation
}

func (r refusing) Admit(ctx context.Context, server masticway.ServerIncarnation) bool {
	return server != r.server && r.Throttler.Admit(ctx, server)
}

// TestQueryDescribesRequest guards against an owner that chooses by wrong values, or an engine that the forwarder must not use.
func TestQueryDescribesRequest(t *testing.T) {
	c := &fakeCoordinator{}
	f := newCoordinatedFixture(t, 3, c, nil)
	f.snapshot.Servers["llm"][0].ColdUntil = f.clock.Now().Add(time.Minute)
	for range 2 {
		got := f.do(t.Context(), "POST", "/stream/x", "X-Deadline-Ms", "2000")
		qt.Assert(t, got.status, qt.Equals, 200)
	}
	q := c.queries[0]
	qt.Check(t, q.Pool.Name, qt.Equals, "llm")
	var candidates []string
	for _, s := range q.Candidates {
		candidates = append(candidates, s.ID)
	}
	qt.Check(t, candidates, qt.DeepEquals, []string{"i-1", "i-2"})
	qt.Check(t, q.Penalties, qt.HasLen, 0)
	left := q.Run.TimeLeft
	qt.Check(t, left > time.Second && left <= 2*time.Second, qt.IsTrue, qt.Commentf("%v left", left))
	q.Run.TimeLeft, q.Run.ID = 0, ""
	qt.Check(t, q.Run, qt.DeepEquals, masticway.EngineRun{
		Workspace: "w", Tokens: promptTokens, Output: maxOutputTokens, EventGap: 100 * time.Millisecond, Objective: 300 * time.Millisecond,
	})
	qt.Check(t, c.runs[0].run.ID != c.runs[1].run.ID, qt.IsTrue, qt.Commentf("a caller may reuse the ID of a request"))
}

// TestQueryHasPenaltiesOfFailures guards against an owner that sends requests to an engine which this router cannot reach.
func TestQueryHasPenaltiesOfFailures(t *testing.T) {
	c := &fakeCoordinator{choices: []masticway.EngineChoice{chosen("i-1")}}
	f := newCoordinatedFixture(t, 2, c, nil)
	f.servers[1].Close()
	for range 2 {
		got := f.do(t.Context(), "POST", "/stream/x")
		qt.Assert(t, got.status, qt.Equals, 200)
	}
	last := c.queries[len(c.queries)-1]
	qt.Check(t, last.Penalties["i-1"] > 6000, qt.IsTrue, qt.Commentf("%v", last.Penalties))
	qt.Check(t, last.Penalties["i-0"], qt.Equals, 0.0)
}

// TestLocalChoicesUseHomesOfOwner guards against local choices that prefer other engines for a prompt than the owner does, so that
// the shared parts of the prompt are prefilled twice.
func TestLocalChoicesUseHomesOfOwner(t *testing.T) {
	const prompts = 60
	// atFirst returns how many prompts run at the first of three engines.
	atFirst := func(weight float64) (n int) {
		c := &fakeCoordinator{weights: map[string]float64{"i-0": weight}}
		f := newCoordinatedFixture(t, 3, c, nil)
		for i := range prompts {
			got := f.do(t.Context(), "POST", "/stream/x", "X-Token-Count", "2000,40", "X-Prefix-Hash", fmt.Sprintf("shared%d:1500,own%d:500", i, i))
			qt.Assert(t, got.status, qt.Equals, 200)
		}
		f.frontend.Close()
		for _, r := range c.runs {
			if r.server == "i-0" {
				n++
			}
		}
		return n
	}
	usual, slow, fast := atFirst(1), atFirst(0.5), atFirst(2)
	t.Logf("%d of %d prompts at the first engine, %d if it is slow, %d if it is fast", usual, prompts, slow, fast)
	qt.Check(t, usual >= prompts/5, qt.IsTrue)
	qt.Check(t, slow < usual && slow > 0, qt.IsTrue)
	qt.Check(t, fast > usual && fast < prompts, qt.IsTrue)
}

// TestRefusedHandoverEndsRun guards against a run that the coordinator counts for its whole time limit, because the server to which
// the request was to be handed over has refused it.
func TestRefusedHandoverEndsRun(t *testing.T) {
	c := &fakeCoordinator{choices: []masticway.EngineChoice{chosen("i-2"), chosen("i-1")}}
	f := newCoordinatedFixture(t, 3, c, nil)
	f.servers[2].SetStream(2, 400*time.Millisecond)
	f.servers[1].InjectFaults(emulator.OpaqueOverloaded)
	f.servers[0].InjectFaults(emulator.OpaqueOverloaded)
	got := f.do(t.Context(), "POST", "/resume/x")
	qt.Assert(t, got.err, qt.IsNil)
	qt.Assert(t, got.body, qt.Equals, eventStream(1, 2))
	f.frontend.Close()
	f.failUnless("a run has not ended", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return !slices.ContainsFunc(c.runs, func(r *reportedRun) bool { return r.ends == 0 })
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	qt.Assert(t, len(c.runs) >= 2, qt.IsTrue)
	qt.Check(t, c.runs[0].server, qt.Equals, "i-2")
	qt.Check(t, c.runs[0].events, qt.Equals, 2)
	qt.Check(t, c.runs[1].server, qt.Equals, "i-1")
	for _, r := range c.runs {
		qt.Check(t, r.ends, qt.Equals, 1, qt.Commentf("ends of a run at %s", r.server))
	}
}

// TestEndsOfRuns guards against an owner that takes a request whose caller has left for a failure of the engine, or does not learn
// of a failure.
func TestEndsOfRuns(t *testing.T) {
	for name, tc := range map[string]struct {
		fault  emulator.OpaqueFault
		leaves bool
		failed bool
	}{
		"the caller leaves":       {fault: emulator.OpaqueHang, leaves: true},
		"the engine is not free":  {fault: emulator.OpaqueOverloaded, failed: true},
		"the engine sends a part": {fault: emulator.OpaqueTruncated, failed: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := &fakeCoordinator{choices: []masticway.EngineChoice{chosen("i-0")}}
			f := newCoordinatedFixture(t, 1, c, nil)
			f.servers[0].InjectFaults(tc.fault)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			done := make(chan struct{})
			go func() {
				defer close(done)
				f.do(ctx, "POST", "/stream/x")
			}()
			if tc.leaves {
				f.failUnless("no run has begun", func() bool {
					c.mu.Lock()
					defer c.mu.Unlock()
					return len(c.runs) > 0
				})
				cancel()
			}
			<-done
			f.failUnless("a run has not ended", func() bool {
				c.mu.Lock()
				defer c.mu.Unlock()
				return len(c.runs) > 0 && c.runs[0].ends == 1
			})
			c.mu.Lock()
			defer c.mu.Unlock()
			qt.Check(t, c.runs[0].failed, qt.Equals, tc.failed)
		})
	}
}

// TestRunHasLimitedParts guards against messages between routers whose size a caller determines.
func TestRunHasLimitedParts(t *testing.T) {
	for name, tc := range map[string]struct{ declared, want int }{"as many as are sent": {32, 32}, "more": {40, 32}} {
		t.Run(name, func(t *testing.T) {
			c := &fakeCoordinator{}
			f := newCoordinatedFixture(t, 1, c, nil)
			var declared []string
			for i := range tc.declared {
				declared = append(declared, fmt.Sprintf("part%d:10", i))
			}
			got := f.do(t.Context(), "POST", "/stream/x", "X-Token-Count", "2000,40", "X-Prefix-Hash", strings.Join(declared, ","))
			qt.Assert(t, got.status, qt.Equals, 200)
			parts := c.queries[0].Run.Parts
			qt.Assert(t, parts, qt.HasLen, tc.want)
			qt.Check(t, parts[0].Tokens, qt.Equals, 10)
			f.frontend.Close()
			c.mu.Lock()
			defer c.mu.Unlock()
			qt.Check(t, c.runs[0].run.Parts, qt.HasLen, tc.want)
		})
	}
}
