package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/scheduler"
)

var start = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

const (
	routerA masticway.Incarnation = "router-a@1"
	routerB masticway.Incarnation = "router-b@1"
)

var policy = scheduler.Policy{RankShare: 0.8, ZoneTokenCost: 0.04}

var pool = masticway.Pool{Name: "model", IsEngine: true, Slots: 64, TokensPerEvent: 3, TokenCapacity: 354_798}

func servers(n int) []masticway.Server {
	list := make([]masticway.Server, n)
	for i := range list {
		list[i] = masticway.Server{ID: fmt.Sprintf("e-%02d", i), Pool: pool.Name, Zone: "z", StartedAt: start}
	}
	return list
}

func newEngines(n int) *scheduler.Engines {
	e := scheduler.NewEngines(policy)
	e.Sync(start, pool, servers(n))
	return e
}

// longRun returns a run with a long prompt whose first part is shared by the runs with the same subject.
func longRun(id, subject string) masticway.EngineRun {
	return masticway.EngineRun{
		ID: id, Tokens: 9190, Output: 51, Zone: "z", EventGap: 200 * time.Millisecond, TimeLeft: 8 * time.Second,
		Parts: []masticway.PromptPart{{ID: subject, Tokens: 6300}, {ID: "own-" + id, Tokens: 2890}},
	}
}

// plainRun returns a run without parts.
func plainRun(id string, tokens, output int) masticway.EngineRun {
	return masticway.EngineRun{ID: id, Tokens: tokens, Output: output, Zone: "z", EventGap: 200 * time.Millisecond, TimeLeft: 15 * time.Second}
}

func place(e *scheduler.Engines, now time.Time, r masticway.EngineRun) masticway.ServerIncarnation {
	return e.Place(now, routerA, r, nil, nil).Server
}

func TestReservationIsVisible(t *testing.T) {
	// Without reservations, all runs of a burst would go to the engine that was the cheapest before it.
	e := newEngines(8)
	used := map[masticway.ServerIncarnation]int{}
	for i := range 8 {
		used[place(e, start, plainRun(fmt.Sprint("r", i), 3000, 50))]++
	}
	qt.Assert(t, used, qt.HasLen, 8)
}
