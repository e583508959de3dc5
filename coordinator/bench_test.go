package coordinator_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/coordinator"
	"github.com/masticway/masticway/measurer"
	"github.com/masticway/masticway/messenger"
	"github.com/masticway/masticway/scheduler"
)

// benchmarkOwner returns a coordinator that owns a group of 56 engines and is ready.
func benchmarkOwner(b *testing.B) *coordinator.Coordinator {
	pool := masticway.Pool{Name: "llm", IsEngine: true, Slots: 64, TokenCapacity: 354_798, TokensPerEvent: 3}
	var engines []masticway.Server
	for i := range 56 {
		engines = append(engines, masticway.Server{ID: fmt.Sprintf("engine-%d", i), Pool: "llm", StartedAt: time.UnixMilli(1_700_000_000_000 + int64(i))})
	}
	log, _ := test.NewNullLogger()
	c := coordinator.New(coordinator.Dependencies{
		Members: fixedMembers{"self"}, Clock: masticway.SystemClock{}, Log: log.WithField("", ""), Metrics: measurer.New(), Self: "self~1", Address: "self",
		Applies: func(masticway.Deployment, int) bool { return true }, IsOverloaded: func() bool { return false },
		NewEngines: func() coordinator.Engines { return scheduler.NewEngines(scheduler.Policy{RankShare: 0.8}) },
	})
	c.Update(masticway.Deployment{Pools: map[string]masticway.Pool{"llm": pool}}, map[string][]masticway.Server{"llm": engines})
	c.Answer(coordinator.Message{Sender: "x~1", Pool: "llm", Resync: true})
	time.Sleep(1100 * time.Millisecond)
	return c
}

// benchmarkMessage returns a query with the reports of the last run.
func benchmarkMessage(i int, last masticway.ServerIncarnation) coordinator.Message {
	run := masticway.EngineRun{
		ID: fmt.Sprintf("request-%d/1", i), Workspace: "workspace-1", Tokens: 9190, Output: 51, Zone: "z-1", EventGap: 200 * time.Millisecond, Objective: 600 * time.Millisecond,
		TimeLeft: 8 * time.Second, Parts: []masticway.PromptPart{{ID: fmt.Sprintf("part-%d", i%20), Tokens: 6300}, {ID: fmt.Sprintf("own-%d", i), Tokens: 2890}},
	}
	before := fmt.Sprintf("request-%d/1", i-1)
	return coordinator.Message{Sender: "x~1", Pool: "llm", Run: &run, Reports: []masticway.EngineReport{
		{Run: before, Server: last, State: masticway.EngineRunStreaming, Age: time.Millisecond, FirstEventAfter: 300 * time.Millisecond},
		{Run: before, Server: last, State: masticway.EngineRunEnded, Age: time.Millisecond, FirstEventAfter: 300 * time.Millisecond, Events: 17, StreamedFor: time.Second},
	}}
}

// BenchmarkAnswer measures what a query costs its receiver, without and with the transport.
func BenchmarkAnswer(b *testing.B) {
	b.Run("decisions", func(b *testing.B) {
		c := benchmarkOwner(b)
		var last masticway.ServerIncarnation
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			last = c.Answer(benchmarkMessage(i, last)).Choice.Server
		}
	})
	b.Run("HTTP", func(b *testing.B) {
		c := benchmarkOwner(b)
		mux := http.NewServeMux()
		c.Serve(mux)
		s := httptest.NewServer(mux)
		defer s.Close()
		client, address := coordinator.NewClient(messenger.NewClient()), strings.TrimPrefix(s.URL, "http://")
		var last masticway.ServerIncarnation
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			r, err := client.Send(context.Background(), address, benchmarkMessage(i, last))
			if err != nil {
				b.Fatal(err)
			}
			last = r.Choice.Server
		}
	})
}

// BenchmarkMessageSize reports the encoded size of a query with two reports.
func BenchmarkMessageSize(b *testing.B) {
	var data []byte
	for b.Loop() {
		data, _ = cbor.Marshal(benchmarkMessage(1, "engine-1@1700000000000"))
	}
	b.ReportMetric(float64(len(data)), "B/message")
}
