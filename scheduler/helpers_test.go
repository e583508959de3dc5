package scheduler_test

import (
	"fmt"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/scheduler"
)

var testStart = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

const (
	routerA masticway.Incarnation = "router-a@1"
	routerB masticway.Incarnation = "router-b@1"
)

var testPolicy = scheduler.Policy{RankShare: 0.8, ZoneTokenCost: 0.04}

var testPool = masticway.Pool{Name: "model", IsEngine: true, Slots: 64, TokensPerEvent: 3, TokenCapacity: 354_798}

func testServers(n int) []masticway.Server {
	list := make([]masticway.Server, n)
	for i := range list {
		list[i] = masticway.Server{ID: fmt.Sprintf("e-%02d", i), Pool: testPool.Name, Zone: "z", StartedAt: testStart}
	}
	return list
}

func newTestEngines(n int) *scheduler.Engines {
	e := scheduler.NewEngines(testPolicy)
	e.Sync(testStart, testPool, testServers(n))
	return e
}

// longRun returns a run with a long prompt whose first part is shared by the runs with the same subject.
func longRun(id, subject string) masticway.EngineRun {
	return masticway.EngineRun{
		ID: id, Tokens: 9190, Output: 51, Zone: "z", EventGap: 200 * time.Millisecond, TimeLeft: 8 * time.Second,
		Parts: []masticway.PromptPart{{ID: subject, Tokens: 6300}, {ID: "own-" + id, Tokens: 2890}},
	}
}

// plainRun returns a run without prompt parts.
func plainRun(id string, tokens, output int) masticway.EngineRun {
	return masticway.EngineRun{ID: id, Tokens: tokens, Output: output, Zone: "z", EventGap: 200 * time.Millisecond, TimeLeft: 15 * time.Second}
}

// place places a run of routerA.
func place(e *scheduler.Engines, now time.Time, r masticway.EngineRun) masticway.ServerIncarnation {
	return e.Place(now, routerA, r, nil, nil).Server
}

// allBut returns the IDs of all engines but the given ones.
func allBut(n int, kept ...string) map[string]bool {
	others := map[string]bool{}
	for _, s := range testServers(n) {
		others[s.ID] = true
	}
	for _, id := range kept {
		delete(others, id)
	}
	return others
}

// sent, streaming and ended return the reports of a run in its three states.
func sent(r masticway.EngineRun, server masticway.ServerIncarnation) masticway.EngineReport {
	return masticway.EngineReport{Run: r.ID, Server: server, Details: &r}
}

func streaming(r masticway.EngineRun, server masticway.ServerIncarnation, took time.Duration) masticway.EngineReport {
	return masticway.EngineReport{Run: r.ID, Server: server, State: masticway.EngineRunStreaming, FirstEventAfter: took, Details: &r}
}

func ended(r masticway.EngineRun, server masticway.ServerIncarnation, took time.Duration) masticway.EngineReport {
	return masticway.EngineReport{
		Run: r.ID, Server: server, State: masticway.EngineRunEnded, FirstEventAfter: took, Events: 17, StreamedFor: time.Second, Details: &r,
	}
}
