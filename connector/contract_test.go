package connector_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/connector"
	"github.com/masticway/masticway/emulator"
)

// tables returns the implementations that the contract holds for, each with the emulated table that injects its faults.
func tables(t *testing.T) map[string]func() (masticway.Table, *emulator.Table) {
	return map[string]func() (masticway.Table, *emulator.Table){
		"in memory": func() (masticway.Table, *emulator.Table) {
			table := emulator.NewTable()
			return table, table
		},
		"over HTTP": func() (masticway.Table, *emulator.Table) {
			platform := emulator.NewPlatform(0)
			server := httptest.NewServer(platform.Handler())
			t.Cleanup(server.Close)
			return connector.NewPlatform(server.URL, connector.NewHTTPClient(nil), time.Second), platform.Table
		},
	}
}

func putTransaction(key, value string, version int64) masticway.Transaction {
	return masticway.Transaction{
		ID: "t", Conditions: []masticway.Condition{{Key: key, Version: version}}, Puts: []masticway.Put{{Key: key, Value: []byte(value)}},
	}
}

func TestTableContract(t *testing.T) {
	cases := map[string]struct {
		faults      emulator.TableFaults
		tx          masticway.Transaction
		conflict    bool
		unavailable bool
		unknown     bool
		value       string
	}{
		"put of an absent row":             {tx: putTransaction("new", "v", 0), value: "v"},
		"condition on absence, row exists": {tx: putTransaction("old", "v", 0), conflict: true, value: "was"},
		"one failed condition aborts all":  {tx: masticway.Transaction{Conditions: []masticway.Condition{{Key: "old", Version: 99}}, Puts: []masticway.Put{{Key: "new", Value: []byte("v")}}}, conflict: true},
		"no condition":                     {tx: masticway.Transaction{Puts: []masticway.Put{{Key: "new", Value: []byte("v")}}}, value: "v"},
		"removal":                          {tx: masticway.Transaction{Puts: []masticway.Put{{Key: "old"}}}},
		"down":                             {faults: emulator.TableFaults{Down: true}, tx: putTransaction("new", "v", 0), unavailable: true},
		"rate limited":                     {faults: emulator.TableFaults{MaxWritesPerSecond: -1}, tx: putTransaction("new", "v", 0), unavailable: true},
		"answer lost after the commit":     {faults: emulator.TableFaults{DropAnswers: 1}, tx: putTransaction("new", "v", 0), unknown: true, value: "v"},
	}
	for implementation, build := range tables(t) {
		for name, tc := range cases {
			t.Run(implementation+"/"+name, func(t *testing.T) {
				table, faults := build()
				ctx := context.Background()
				qt.Assert(t, table.Commit(ctx, putTransaction("old", "was", 0)), qt.IsNil)
				faults.SetFaults(tc.faults)
				err := table.Commit(ctx, tc.tx)
				faults.SetFaults(emulator.TableFaults{})
				var conflictErr *masticway.ConflictError
				var unavailableErr *masticway.UnavailableError
				var unknownErr *masticway.OutcomeUnknownError
				switch {
				case tc.conflict:
					qt.Assert(t, err, qt.ErrorAs, &conflictErr)
				case tc.unavailable:
					qt.Assert(t, err, qt.ErrorAs, &unavailableErr)
				case tc.unknown:
					qt.Assert(t, err, qt.ErrorAs, &unknownErr)
				default:
					qt.Assert(t, err, qt.IsNil)
				}
				row, err := table.Get(ctx, tc.tx.Puts[0].Key)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, string(row.Value), qt.Equals, tc.value)
				qt.Assert(t, row.Version != 0, qt.Equals, tc.value != "")
			})
		}
	}
}

func TestTableScanIsOrdered(t *testing.T) {
	for implementation, build := range tables(t) {
		t.Run(implementation, func(t *testing.T) {
			table, _ := build()
			for _, k := range []string{"a/2", "b/1", "a/1"} {
				qt.Assert(t, table.Commit(context.Background(), putTransaction(k, k, 0)), qt.IsNil)
			}
			rows, err := table.Scan(context.Background(), "a/")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, rows, qt.HasLen, 2)
			qt.Assert(t, rows[0].Key, qt.Equals, "a/1")
		})
	}
}

func TestRefusedConnectionMeansNotWritten(t *testing.T) {
	server := httptest.NewServer(nil)
	server.Close()
	p := connector.NewPlatform(server.URL, connector.NewHTTPClient(nil), time.Second)
	var unavailable *masticway.UnavailableError
	qt.Assert(t, p.Commit(context.Background(), putTransaction("k", "v", 0)), qt.ErrorAs, &unavailable)
}

func TestSlowCommitHasUnknownOutcome(t *testing.T) {
	platform := emulator.NewPlatform(0)
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	p := connector.NewPlatform(server.URL, connector.NewHTTPClient(nil), 20*time.Millisecond)
	platform.Table.SetFaults(emulator.TableFaults{DelayMillis: 200})
	var unknown *masticway.OutcomeUnknownError
	qt.Assert(t, p.Commit(context.Background(), putTransaction("k", "v", 0)), qt.ErrorAs, &unknown)
}

func TestObjectStoreContract(t *testing.T) {
	platform := emulator.NewPlatform(0)
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	stores := map[string]masticway.ObjectStore{
		"in memory": emulator.NewObjectStore(),
		"over HTTP": connector.NewPlatform(server.URL, connector.NewHTTPClient(nil), time.Second).Objects(),
	}
	for name, store := range stores {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			for _, n := range []string{"p/2", "p/1", "q/1", "p/2"} {
				qt.Assert(t, store.Put(ctx, n, []byte(n)), qt.IsNil)
			}
			names, err := store.List(ctx, "p/")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, names, qt.DeepEquals, []string{"p/1", "p/2"})
			data, err := store.Get(ctx, "p/2")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(data), qt.Equals, "p/2")
			_, err = store.Get(ctx, "none")
			var missing *masticway.NotFoundError
			qt.Assert(t, err, qt.ErrorAs, &missing)
		})
	}
}

// recorder is a sink that records the prompt's token count and the text.
type recorder struct {
	prompt int
	text   string
}

func (r *recorder) PromptCounted(n, _ int)  { r.prompt = n }
func (r *recorder) Chunk(c masticway.Chunk) { r.text += c.Text }

func TestEngineContract(t *testing.T) {
	messages := []emulator.Message{{Role: "user", Content: "sleeve [tokens=6]"}}
	raw := []byte(`[{"role":"user","content":"sleeve [tokens=6]"}]`)
	fullText := emulator.Answer(messages, 6)
	cases := map[string]struct {
		call    masticway.Call
		faults  emulator.EngineFaults
		text    string
		failed  bool
		started bool
	}{
		"complete answer":        {call: masticway.Call{Model: "m", Prompt: raw, MaxOutput: 100}, text: fullText},
		"cut at the token limit": {call: masticway.Call{Model: "m", Prompt: raw, MaxOutput: 2}, text: fullText[:10]},
		"resumed":                {call: masticway.Call{Model: "m", Prompt: raw, MaxOutput: 100, Resumed: 4}, text: fullText[20:]},
		"down":                   {call: masticway.Call{Model: "m", Prompt: raw, MaxOutput: 100}, faults: emulator.EngineFaults{Down: true}, failed: true},
		"silent":                 {call: masticway.Call{Model: "m", Prompt: raw, MaxOutput: 100}, faults: emulator.EngineFaults{Stall: true}, failed: true, started: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			engine := emulator.NewEngine(emulator.EngineSettings{Capacity: 1, CacheBlocks: 8})
			server := httptest.NewServer(engine.Handler())
			defer server.Close()
			engine.SetFaults(tc.faults)
			u := connector.NewUpstream(server.URL, nil, 200*time.Millisecond)
			var r recorder
			_, err := u.Run(context.Background(), tc.call, &r)
			if tc.failed {
				var failure *masticway.UpstreamError
				qt.Assert(t, err, qt.ErrorAs, &failure)
				qt.Assert(t, failure.Started, qt.Equals, tc.started)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, r.text, qt.Equals, tc.text)
			qt.Assert(t, r.prompt, qt.Equals, emulator.CountTokens(messages))
			n, err := u.Count(context.Background(), raw)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, n, qt.Equals, r.prompt)
		})
	}
}

func TestServiceThatDropsItsAnswerIsNotRunTwice(t *testing.T) {
	bodies := map[string]string{"with a body": "b", "without a body": ""}
	for name, body := range bodies {
		t.Run(name, func(t *testing.T) {
			service := emulator.NewService()
			server := httptest.NewServer(service.Handler())
			defer server.Close()
			u := connector.NewUpstream(server.URL, nil, time.Second)
			call := masticway.Call{Service: "s", Method: "POST", Path: "/x", Body: []byte("first"), Key: "k1"}
			_, err := u.Run(context.Background(), call, &recorder{})
			qt.Assert(t, err, qt.IsNil)
			// The call must not be sent again if the open connection breaks.
			service.SetFaults(emulator.ServiceFaults{DropAnswers: 1})
			call.Body, call.Key = []byte(body), "k2"
			_, err = u.Run(context.Background(), call, &recorder{})
			var failure *masticway.UpstreamError
			qt.Assert(t, err, qt.ErrorAs, &failure)
			qt.Assert(t, failure.Started, qt.IsTrue)
			qt.Assert(t, service.Runs()[body], qt.Equals, 1)
		})
	}
}

func TestOrdersWithOldFencingNumbers(t *testing.T) {
	for name, ignores := range map[string]bool{"engine that checks": false, "engine that ignores": true} {
		t.Run(name, func(t *testing.T) {
			engine := emulator.NewEngine(emulator.EngineSettings{Capacity: 1, IgnoreFences: ignores})
			server := httptest.NewServer(engine.Handler())
			defer server.Close()
			u := connector.NewUpstream(server.URL, nil, time.Second)
			qt.Assert(t, u.Order(context.Background(), masticway.Order{Fence: 5, Action: "load_model"}), qt.IsNil)
			err := u.Order(context.Background(), masticway.Order{Fence: 4, Action: "load_model"})
			qt.Assert(t, err == nil, qt.Equals, ignores)
		})
	}
}
