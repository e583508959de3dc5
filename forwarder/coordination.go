package forwarder

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
)

// uncoordinated is the coordinator of a router that shares no load with others.
type uncoordinated struct{}

func (uncoordinated) AppliesTo(string) bool { return false }

func (uncoordinated) Place(context.Context, masticway.EngineQuery) (masticway.EngineChoice, bool) {
	return masticway.EngineChoice{}, false
}

func (uncoordinated) Begin(string, masticway.EngineRun, masticway.Server) {}

func (uncoordinated) FirstEvent(string, time.Duration) {}

func (uncoordinated) End(string, int, time.Duration, bool) {}

func (uncoordinated) HomeWeights(string) map[string]float64 { return nil }

// coordinatedRun is the run of an attempt that is reported to the coordinator. The ID is empty if none is.
type coordinatedRun struct {
	id      string
	begunAt time.Time
	// events is the number of events that the attempt wrote to the caller.
	events int
}

// maxRunParts is the maximum number of prompt parts in the description of a run. More would make messages to other routers large.
const maxRunParts = 32

// newEngineRun describes the next attempt of the request at an engine. Its number makes the ID unique at this router, also
// if a caller reuses the ID of a request.
func (x *exchange) newEngineRun() *masticway.EngineRun {
	q := &x.q
	return &masticway.EngineRun{
		ID: q.ID + "/" + strconv.FormatInt(x.f.runCount.Add(1), 36), Workspace: q.account.Workspace, Rank: q.rank(), Tokens: q.prompt.Tokens, Output: q.prompt.Output,
		Parts: q.prompt.Parts[:min(len(q.prompt.Parts), maxRunParts)], Zone: q.prompt.Zone, EventGap: q.route.MaxEventGap, Objective: q.route.LatencyObjective,
		TimeLeft: q.deadline.Sub(x.f.clock.Now()),
	}
}

// selectCoordinated is like selectServer. For a pool whose engines are coordinated, it first queries the coordinator, and uses its
// choice if the engine is a warm candidate to which the throttler admits the request. If mayRefuse is set and no engine can take
// the request in time, it returns no server and an outcome with the reason. The caller must pass the run in the choice to
// newAttempt or end it with endUnsent.
func (x *exchange) selectCoordinated(ctx context.Context, servers []masticway.Server, mayRefuse bool) (c choice, none outcome, ok bool) {
	if !x.f.coordinator.AppliesTo(x.q.pool.Name) {
		c.server, ok = x.selectServer(ctx, servers)
		return c, none, ok
	}
	c.run = x.newEngineRun()
	query := x.engineQuery(c.run, servers)
	placed, isPlaced := masticway.EngineChoice{}, false
	if len(query.Candidates) > 0 {
		placed, isPlaced = x.f.coordinator.Place(ctx, query)
	}
	if isPlaced {
		c.level = placed.Level
	}
	if isPlaced && placed.Full && mayRefuse {
		x.endUnsent(c)
		return choice{}, outcome{
			fate: masticway.FateNotRun, result: chooser.ResultNeutral, reason: "no engine can begin the answer in time", code: codeServersFull,
			retryAfter: max(retryAfterDefault, placed.RetryAfter),
		}, false
	}
	if isPlaced && !placed.Full {
		i := slices.IndexFunc(query.Candidates, func(s masticway.Server) bool {
			return strings.HasPrefix(string(placed.Server), s.ID) && s.Incarnation() == placed.Server
		})
		if i >= 0 {
			c.server = query.Candidates[i]
			if x.f.throttler.Admit(ctx, placed.Server) {
				return c, none, true
			}
			servers = slices.DeleteFunc(slices.Clone(servers), func(s masticway.Server) bool { return s.ID == c.server.ID })
		}
	}
	if c.server, ok = x.selectServer(ctx, servers); !ok {
		x.endUnsent(c)
	}
	return c, none, ok
}

// levelCount is the number of levels of a rank (see masticway.EngineChoice).
const levelCount = 3

// urgency returns the urgency with which a run of a level is sent to a server. Where engines are coordinated, the levels refine the
// ranks, so that no run comes before one of a more urgent rank. With maxRank as the upper bound, this distinguishes three ranks.
func (x *exchange) urgency(level int) int {
	rank := x.q.rank()
	if !x.f.coordinator.AppliesTo(x.q.pool.Name) {
		return rank
	}
	return min(maxRank, levelCount*rank+min(levelCount-1, max(0, level)))
}

// engineQuery returns the query for a run. Its candidates are the warm servers among those given to which the throttler allows
// requests.
func (x *exchange) engineQuery(run *masticway.EngineRun, servers []masticway.Server) masticway.EngineQuery {
	q := masticway.EngineQuery{Pool: x.q.pool, Run: *run}
	servers = x.f.throttler.Available(servers)
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	now := x.f.clock.Now()
	q.Candidates, _ = x.f.servers.Eligible(now, servers, x.q.pool.MaxColdRate, x.f.budgets.OwnsKey)
	q.Penalties = x.f.servers.Penalties(now, q.Candidates)
	return q
}

// endUnsent tells the coordinator that the run of a choice is not sent.
func (x *exchange) endUnsent(c choice) {
	if c.run != nil {
		x.f.coordinator.End(c.run.ID, 0, 0, false)
	}
}

// mayRefuseFull reports whether the request may be refused if all engines are full: no attempt was made.
func (x *exchange) mayRefuseFull() bool {
	return x.tries == 0 && x.fate == masticway.FateNotRun && !x.headWritten
}

// beginRun reports to the coordinator that the attempt begins. The run is that of the choice, or nil if the server was chosen
// without the coordinator.
func (a *attempt) beginRun(run *masticway.EngineRun) {
	x := a.x
	if !x.f.coordinator.AppliesTo(x.q.pool.Name) {
		return
	}
	if run == nil {
		run = x.newEngineRun()
	}
	a.coordinated = coordinatedRun{id: run.ID, begunAt: x.f.clock.Now()}
	x.f.coordinator.Begin(x.q.pool.Name, *run, a.server)
}

// reportFirstEvent reports to the coordinator that the first event of the attempt arrived at a time.
func (a *attempt) reportFirstEvent(now time.Time) {
	if a.coordinated.id != "" {
		a.x.f.coordinator.FirstEvent(a.coordinated.id, now.Sub(a.coordinated.begunAt))
	}
}

// endRun reports to the coordinator that the attempt has ended with a result.
func (a *attempt) endRun(r chooser.Result) {
	failed := r == chooser.ResultFailure || r == chooser.ResultUnreachable
	if a.coordinated.id != "" {
		a.x.f.coordinator.End(a.coordinated.id, a.coordinated.events, a.lastAt.Sub(a.firstAt), failed)
	}
}
