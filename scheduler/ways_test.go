package scheduler_test

import (
	"slices"

	"github.com/masticway/masticway/chooser"
)

// localPolicy is the policy with which package forwarder uses chooser.Servers.
var localPolicy = chooser.ServerPolicy{RankShare: 0.8, ZoneTokenCost: 0.04}

// localChoice chooses at each router with its own observations only.
type localChoice struct {
	w          *world
	routers    [routerCount]*chooser.Servers
	placements map[*request]*chooser.Placement
}

func newLocalChoice(w *world) *localChoice {
	l := &localChoice{w: w, placements: map[*request]*chooser.Placement{}}
	for i := range l.routers {
		l.routers[i] = chooser.NewServers(localPolicy)
	}
	return l
}

func (l *localChoice) prompt(r *request) chooser.Prompt {
	return chooser.Prompt{Tokens: r.tokens, Output: r.output(), Parts: r.parts, Zone: l.w.zones[r.router]}
}

// best returns the index of the engine that the router of a request prefers.
func (l *localChoice) best(r *request) int {
	i, _ := l.routers[r.router].Choose(l.w.time(), true, l.prompt(r), l.w.servers)
	return i
}

// sent records that the router of a request sends it to an engine.
func (l *localChoice) sent(r *request, engine int) {
	l.placements[r] = l.routers[r.router].RecordSent(l.w.time(), l.prompt(r), l.w.servers[engine].ID)
}

func (l *localChoice) choose(r *request) {
	i := l.best(r)
	l.sent(r, i)
	l.w.send(r, i)
}

func (l *localChoice) firstEvent(r *request) {
	l.routers[r.router].RecordFirstEvent(l.w.time(), l.placements[r])
}

func (l *localChoice) end(r *request) {
	l.routers[r.router].RecordEnd(l.w.time(), l.placements[r], chooser.ResultSuccess)
	delete(l.placements, r)
}

func (l *localChoice) routerDied(int) {}

// repeatWeight is the weight of the prefill time of uncached tokens in addition to the time that the request itself waits for
// them, because later requests at the engine wait for them too. Among 0, 0.25, 0.5, 1 and 2, this value gave the least mean time
// to the first event.
const repeatWeight = 0.5

// fullKnowledge is one chooser for all routers that knows the true state of all engines without a delay. It chooses the engine
// with the least sum of the time until the first event of the request and of what the request costs others.
type fullKnowledge struct {
	w *world
	// underWay holds the requests that were sent to each engine and have not arrived there.
	underWay [engineCount][]*request
}

func newFullKnowledge(w *world) *fullKnowledge { return &fullKnowledge{w: w} }

func (f *fullKnowledge) choose(r *request) {
	best, bestCost := -1, 0.0
	for i := range f.w.engines {
		if cost := f.cost(r, i); best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	f.underWay[best] = append(f.underWay[best], r)
	f.w.send(r, best)
}

// cost returns the cost of an engine for a request in milliseconds.
func (f *fullKnowledge) cost(r *request, engine int) float64 {
	e := f.w.engines[engine]
	f.underWay[engine] = slices.DeleteFunc(f.underWay[engine], func(o *request) bool { return o.job != nil || o.cut })
	pending := e.pendingTokens()
	for _, o := range f.underWay[engine] {
		pending += e.uncachedTokens(o)
	}
	running := len(e.batch) + len(e.queue) + len(f.underWay[engine])
	step := (stepTime + stepTimePerRun*float64(running)) / e.speed
	perToken := 1/(prefillSpeed*e.speed) + step/chunkTokens
	uncached := float64(e.uncachedTokens(r))
	cost := (float64(pending)+(1+repeatWeight)*uncached)*perToken + tokensPerEvent*step
	cost += 2 * f.w.delay(r.router, engine).Seconds() * 1000
	if running >= engineSlots {
		// No time is known for the wait for a slot, so that engines with a free slot come first.
		cost += 1000
	}
	return cost
}

func (f *fullKnowledge) firstEvent(*request) {}
func (f *fullKnowledge) end(*request)        {}
func (f *fullKnowledge) routerDied(int)      {}
