package coordinator_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/coordinator"
	"github.com/masticway/masticway/measurer"
)

// reportedRuns delivers the IDs of reported runs.
type reportedRuns chan string

func (r reportedRuns) Send(_ context.Context, _ string, m coordinator.Message) (coordinator.Reply, error) {
	for _, report := range m.Reports {
		r <- report.Run
	}
	return coordinator.Reply{Ready: true}, nil
}

func (r reportedRuns) SendSpeeds(context.Context, string, coordinator.Speeds) error { return nil }

// TestRunSendsReports guards against reports that Run does not send, and against data races between Run and
// requests.
func TestRunSendsReports(t *testing.T) {
	const runs = 50
	log, _ := test.NewNullLogger()
	reported := make(reportedRuns, 100*runs)
	c := coordinator.New(coordinator.Dependencies{
		Routers: reported, Members: fixedMembers{"other"}, Clock: masticway.SystemClock{}, Log: log.WithField("", ""), Metrics: measurer.New(),
		Self: "self~1", Address: "self", Applies: func(masticway.Deployment, int) bool { return true }, IsOverloaded: func() bool { return false },
		NewEngines: func() coordinator.Engines { return nil }, QueryTimeout: time.Minute,
	})
	pool, engines := masticway.Pool{Name: "llm", IsEngine: true}, []masticway.Server{{ID: "e", Pool: "llm"}}
	c.Update(masticway.Deployment{Pools: map[string]masticway.Pool{"llm": pool}}, map[string][]masticway.Server{"llm": engines})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.Run(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	for i := range runs {
		run := masticway.EngineRun{ID: fmt.Sprint(i), TimeLeft: time.Minute}
		c.Place(ctx, masticway.EngineQuery{Pool: pool, Run: run, Candidates: engines})
		c.Begin("llm", run, engines[0])
		c.FirstEvent(run.ID, time.Millisecond)
	}
	missing := map[string]bool{}
	for i := range runs {
		missing[fmt.Sprint(i)] = true
	}
	for len(missing) > 0 {
		select {
		case id := <-reported:
			delete(missing, id)
		case <-time.After(30 * time.Second):
			t.Fatalf("%d runs were not reported", len(missing))
		}
	}
}
