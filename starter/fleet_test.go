package starter_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/authenticator"
	"github.com/masticway/masticway/bookkeeper"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/logger"
	"github.com/masticway/masticway/starter"
)

const (
	callerKey   = "mw_test"
	waitTimeout = 30 * time.Second
)

// testbed is a small fleet with one workspace.
type testbed struct {
	*starter.Fleet
	t *testing.T
}

// option changes the fleet or the contract of a test.
type option func(*starter.FleetSpec, *masticway.Contract)

// withBudget gives the contract a budget of a number of tokens.
func withBudget(tokens int) option {
	return func(_ *starter.FleetSpec, c *masticway.Contract) { c.Budget = fmt.Sprintf("b-%d", tokens) }
}

func withTokenTime(tokenTime time.Duration) option {
	return func(s *starter.FleetSpec, _ *masticway.Contract) { s.Engines[0].Settings.TokenTime = tokenTime }
}

func withContract(f func(*masticway.Contract)) option {
	return func(_ *starter.FleetSpec, c *masticway.Contract) { f(c) }
}

// failureLog returns a logger whose output the test prints if it fails.
func failureLog(t *testing.T) *logrus.Logger {
	out := &lockedBuffer{}
	log, err := logger.New("info", out)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("the fleet's log:\n%s", out)
		}
	})
	return log
}

// newTestbed starts a fleet with one contract, waits until it is ready and stops it at the end of the test.
func newTestbed(t *testing.T, options ...option) *testbed {
	t.Helper()
	spec := starter.FleetSpec{
		Regions: []starter.RegionSpec{{Name: "local", Zones: []string{"a", "b"}, Routers: 2}},
		Engines: []starter.EngineGroup{{Model: "m", Count: 2, Settings: emulator.EngineSettings{
			Capacity: 8, TokenTime: 2 * time.Millisecond, CacheBlocks: 64,
		}}},
		Services: []starter.ServiceGroup{{Name: "stock", Count: 1}},
		Router:   json.RawMessage(`{"poll":"50ms","lost_after":"1500ms","lease":"2s"}`),
		Sidecar:  json.RawMessage(`{"beat":"100ms"}`),
		Log:      failureLog(t),
	}
	contract := masticway.Contract{
		Workspace: "w", Budget: "b-100000", HoldWait: masticway.Duration(waitTimeout), Models: []masticway.ModelTerms{{Name: "m", MinOutput: 4, MaxOutput: 500}},
		Services: []masticway.ServiceTerms{{Name: "stock", NonRepeatable: []masticway.CallPattern{{Method: "POST", Path: "/reservations"}}}},
	}
	for _, o := range options {
		o(&spec, &contract)
	}
	fleet, err := starter.StartFleet(spec)
	t.Cleanup(fleet.Stop)
	qt.Assert(t, err, qt.IsNil)
	b := &testbed{Fleet: fleet, t: t}
	var sum int
	_, _ = fmt.Sscanf(contract.Budget, "b-%d", &sum)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	err = fleet.Seed(ctx, masticway.Catalog{
		Models:   []masticway.Model{{Name: "m", PromptWeight: 1000, CompletionWeight: 3000}, {Name: "other", PromptWeight: 1, CompletionWeight: 1}},
		Services: []masticway.Service{{Name: "stock", Price: 10_000}, {Name: "hidden", Price: 1}},
	}, []masticway.Contract{contract.WithKeyHashes(authenticator.HashKey(callerKey))}, []starter.Prepaid{{Budget: contract.Budget, Amount: masticway.Amount(sum) * masticway.PerToken}})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, fleet.AwaitReady(ctx), qt.IsNil)
	return b
}

// reply is the response that a caller received.
type reply struct {
	status int
	header http.Header
	body   string
	// text is a model's answer, done is set if the answer ended normally.
	text  string
	done  bool
	code  string
	fate  masticway.Fate
	err   error
	usage masticway.Usage
}

func (b *testbed) call(router int, method, path, key, body string, headers ...string) reply {
	return b.callAt(context.Background(), b.Routers()[router].CallerURL, method, path, key, body, headers...)
}

func (b *testbed) callAt(ctx context.Context, base, method, path, key, body string, headers ...string) reply {
	request, err := http.NewRequestWithContext(ctx, method, base+path, strings.NewReader(body))
	qt.Assert(b.t, err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+callerKey)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	r := reply{status: response.StatusCode, header: response.Header, body: string(data), err: err}
	r.read(data)
	return r
}

func (r *reply) read(data []byte) {
	var v struct {
		Error struct {
			Code string         `json:"code"`
			Run  masticway.Fate `json:"run"`
		} `json:"error"`
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Usage masticway.Usage `json:"usage"`
	}
	if !strings.HasPrefix(r.header.Get("Content-Type"), "text/event-stream") {
		_ = json.Unmarshal(data, &v)
		r.code, r.fate, r.usage = v.Error.Code, v.Error.Run, v.Usage
		if len(v.Choices) > 0 {
			r.text, r.done = v.Choices[0].Message.Content, true
		}
		return
	}
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		event, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if event == "[DONE]" {
			r.done = true
			continue
		}
		v.Choices = nil
		_ = json.Unmarshal([]byte(event), &v)
		for _, c := range v.Choices {
			r.text += c.Delta.Content
		}
		r.code, r.fate, r.usage = v.Error.Code, v.Error.Run, v.Usage
	}
}

func chatBody(content string, stream bool) string {
	return fmt.Sprintf(`{"model":"m","stream":%t,"max_tokens":400,"messages":[{"role":"user","content":%q}]}`, stream, content)
}

func expectedAnswer(content string) string {
	messages := []emulator.Message{{Role: "user", Content: content}}
	return emulator.Answer(messages, emulator.NaturalLength(messages))
}

func (b *testbed) chat(router int, key, content string, stream bool) reply {
	return b.call(router, http.MethodPost, "/v1/chat/completions", key, chatBody(content, stream))
}

// assertServed sends a router a request and fails the test with the reply unless it is a complete answer.
func (b *testbed) assertServed(router int, content string) {
	b.t.Helper()
	got := b.chat(router, "", content, false)
	qt.Assert(b.t, got.done, qt.IsTrue, qt.Commentf("%+v", got))
}

// totalRuns returns the number of requests that all engines and services have begun to process.
func (b *testbed) totalRuns() int64 {
	var sum int64
	for _, s := range b.Sidecars() {
		sum += s.Runs()
	}
	return sum
}

// eventually waits until f returns true, and fails the test after waitTimeout.
func (b *testbed) eventually(what string, f func() bool) {
	b.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !f() {
		if time.Now().After(deadline) {
			b.t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// drainAndReadBudget drains all routers and returns the budget's row, which must not have an open grant then.
func (b *testbed) drainAndReadBudget(budget string) bookkeeper.Budget {
	b.t.Helper()
	for _, r := range b.Routers() {
		qt.Assert(b.t, b.DrainRouter(r.Name), qt.IsTrue)
	}
	row, err := bookkeeper.New(b.Platform.Table).Budget(context.Background(), budget)
	qt.Assert(b.t, err, qt.IsNil)
	qt.Assert(b.t, row.Check(), qt.IsNil)
	qt.Assert(b.t, row.Grants, qt.HasLen, 0)
	return row
}

// answerCost returns the price of one complete answer with its prompt.
func answerCost(content string) masticway.Amount {
	messages := []emulator.Message{{Role: "user", Content: content}}
	return masticway.Amount(emulator.CountTokens(messages)*1000 + emulator.NaturalLength(messages)*3000)
}

// callAdmin calls the operators' API of the first router and returns the status and the body of its response.
func (b *testbed) callAdmin(method, path, body string, headers ...string) (int, string) {
	request, err := http.NewRequest(method, b.Routers()[0].AdminURL+path, strings.NewReader(body))
	qt.Assert(b.t, err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+b.AdminToken())
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	qt.Assert(b.t, err, qt.IsNil)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	qt.Assert(b.t, err, qt.IsNil)
	return response.StatusCode, string(data)
}

func TestWholePathIsServedAndBilledOnce(t *testing.T) {
	t.Parallel()
	b := newTestbed(t)
	content := "a jacket [tokens=20]"
	for i, stream := range []bool{true, false} {
		r := b.chat(i, "", content, stream)
		qt.Assert(t, r.status, qt.Equals, 200, qt.Commentf("%s", r.body))
		qt.Assert(t, r.text, qt.Equals, expectedAnswer(content))
		qt.Assert(t, r.done, qt.IsTrue)
		qt.Assert(t, r.usage.Completion, qt.Equals, 20)
		status, trace := b.callAdmin(http.MethodGet, "/admin/v1/requests/"+r.header.Get("Masticway-Request-Id"), "")
		qt.Assert(t, status, qt.Equals, 200)
		qt.Assert(t, trace, qt.Contains, `"fate":"ran"`)
		qt.Assert(t, strings.Contains(trace, "jacket"), qt.IsFalse)
	}
	models := b.call(0, http.MethodGet, "/v1/models", "", "")
	qt.Assert(t, models.body, qt.Contains, `"id":"m"`)
	qt.Assert(t, strings.Contains(models.body, "other"), qt.IsFalse)
	qt.Assert(t, b.drainAndReadBudget("b-100000").Settled, qt.Equals, 2*answerCost(content))
}

func TestBadInputRunsAndBillsNothing(t *testing.T) {
	t.Parallel()
	b := newTestbed(t, withContract(func(c *masticway.Contract) { c.RequestsPerSecond, c.Burst = 1000, 1000 }))
	chat := "/v1/chat/completions"
	cases := map[string]struct {
		method, path, body string
		headers            []string
		status             int
		code               string
	}{
		"malformed JSON":       {"POST", chat, `{"model":`, nil, 400, "malformed_json"},
		"wrong type":           {"POST", chat, `{"model":7}`, nil, 400, "malformed_json"},
		"no messages":          {"POST", chat, `{"model":"m","messages":[]}`, nil, 422, "bad_messages"},
		"message without role": {"POST", chat, `{"model":"m","messages":[{"content":"x"}]}`, nil, 422, "bad_messages"},
		"negative maximum":     {"POST", chat, `{"model":"m","max_tokens":-1,"messages":[{"role":"user","content":"x"}]}`, nil, 422, "bad_max_tokens"},
		"huge maximum":         {"POST", chat, `{"model":"m","max_tokens":99999999999,"messages":[{"role":"user","content":"x"}]}`, nil, 422, "bad_max_tokens"},
		"unknown model":        {"POST", chat, `{"model":"none","messages":[{"role":"user","content":"x"}]}`, nil, 404, "unknown_model"},
		"model not allowed":    {"POST", chat, `{"model":"other","messages":[{"role":"user","content":"x"}]}`, nil, 403, "model_not_allowed"},
		"oversized body":       {"POST", chat, strings.Repeat("x", 5<<20), nil, 413, "body_too_large"},
		"wrong key":            {"POST", chat, `{}`, []string{"Authorization", "Bearer mw_wrong"}, 401, "bad_key"},
		"operators' token":     {"POST", chat, `{}`, []string{"Authorization", "Bearer " + b.AdminToken()}, 401, "bad_key"},
		"no key":               {"POST", chat, `{}`, []string{"Authorization", ""}, 401, "bad_key"},
		"bad idempotency":      {"POST", chat, chatBody("x", false), []string{"Idempotency-Key", strings.Repeat("k", 300)}, 422, "bad_idempotency_key"},
		"bad class":            {"POST", chat, chatBody("x", false), []string{"Masticway-Class", "royal"}, 422, "bad_class"},
		"unknown service":      {"POST", "/v1/services/none/x", "", nil, 404, "unknown_service"},
		"service forbidden":    {"POST", "/v1/services/hidden/x", "", nil, 403, "service_not_allowed"},
		"unknown path":         {"POST", "/v1/nothing", "", nil, 404, "no_such_path"},
	}
	for name, tc := range cases {
		r := b.call(0, tc.method, tc.path, "", tc.body, tc.headers...)
		qt.Check(t, r.status, qt.Equals, tc.status, qt.Commentf("%s: %s", name, r.body))
		qt.Check(t, r.code, qt.Equals, tc.code, qt.Commentf("%s", name))
		qt.Check(t, r.fate, qt.Equals, masticway.FateNotRun, qt.Commentf("%s", name))
		qt.Check(t, r.header.Get("Masticway-Request-Id") != "", qt.IsTrue, qt.Commentf("%s", name))
	}
	qt.Check(t, b.call(0, "GET", "/debug/vars", "", "").status, qt.Equals, 404)
	status, body := b.callAdmin(http.MethodGet, "/admin/v1/contracts", "", "Authorization", "Bearer "+callerKey)
	qt.Check(t, status, qt.Equals, 401, qt.Commentf("%s", body))
	qt.Assert(t, b.totalRuns(), qt.Equals, int64(0))
	qt.Assert(t, b.drainAndReadBudget("b-100000").Settled, qt.Equals, masticway.Amount(0))
}

func TestBudgetExhaustionAndTopUp(t *testing.T) {
	t.Parallel()
	// 5+8 prompt tokens and 20 output tokens at three each are about 73. The upper bound computed from the body's size is far
	// higher.
	content := "hem [tokens=20]"
	b := newTestbed(t, withBudget(130))
	body := fmt.Sprintf(`{"model":"m","max_tokens":20,"messages":[{"role":"user","content":%q}]}`, content)
	first := b.call(0, "POST", "/v1/chat/completions", "", body)
	qt.Assert(t, first.text, qt.Equals, expectedAnswer(content), qt.Commentf("%s", first.body))
	second := b.call(1, "POST", "/v1/chat/completions", "", body)
	qt.Assert(t, second.status, qt.Equals, 402, qt.Commentf("%s", second.body))
	qt.Assert(t, second.fate, qt.Equals, masticway.FateNotRun)
	status, _ := b.callAdmin("POST", "/admin/v1/budgets/b-130/top-ups", `{"amount":200000}`, "Idempotency-Key", "order-1")
	qt.Assert(t, status, qt.Equals, 200)
	third := b.call(1, "POST", "/v1/chat/completions", "", body)
	qt.Assert(t, third.text, qt.Equals, expectedAnswer(content), qt.Commentf("%s", third.body))
	qt.Assert(t, b.drainAndReadBudget("b-130").Settled, qt.Equals, 2*answerCost(content))
}

func TestSameKeyAtTwoRoutersRunsOnce(t *testing.T) {
	t.Parallel()
	b := newTestbed(t)
	content := "twice [tokens=60]"
	replies := make([]reply, 6)
	var wg sync.WaitGroup
	for i := range replies {
		wg.Go(func() { replies[i] = b.chat(i%2, "same", content, i%3 == 0) })
	}
	wg.Wait()
	for _, r := range replies {
		qt.Assert(t, r.text, qt.Equals, expectedAnswer(content), qt.Commentf("%d %s", r.status, r.body))
		qt.Assert(t, r.done, qt.IsTrue)
	}
	// A later request with the same key gets the stored answer and isn't run.
	qt.Assert(t, b.chat(1, "same", content, false).text, qt.Equals, expectedAnswer(content))
	qt.Assert(t, b.totalRuns(), qt.Equals, int64(1))
	qt.Assert(t, b.drainAndReadBudget("b-100000").Settled, qt.Equals, answerCost(content))
}

func TestNonRepeatableRunsOnceAndIsReplayed(t *testing.T) {
	t.Parallel()
	b := newTestbed(t)
	var wg sync.WaitGroup
	replies := make([]reply, 4)
	for i := range replies {
		wg.Go(func() { replies[i] = b.call(i%2, "POST", "/v1/services/stock/reservations", "bolt", "ws:w cloth") })
	}
	wg.Wait()
	ok := 0
	for _, r := range replies {
		if r.status == 200 {
			ok++
			qt.Assert(t, r.body, qt.Contains, `"echo":"ws:w cloth"`)
		} else {
			qt.Assert(t, r.fate, qt.Equals, masticway.FateUnknown, qt.Commentf("%s", r.body))
		}
	}
	qt.Assert(t, ok > 0, qt.IsTrue)
	again := b.call(1, "POST", "/v1/services/stock/reservations", "bolt", "ws:w cloth")
	qt.Assert(t, again.status, qt.Equals, 200, qt.Commentf("%s", again.body))
	qt.Assert(t, b.totalRuns(), qt.Equals, int64(1))
	qt.Assert(t, b.drainAndReadBudget("b-100000").Settled, qt.Equals, masticway.Amount(10_000))
}

// TestRecordedOutcomeOutlivesTheSidecarsMemory repeats a non-repeatable call after the sidecar has forgotten the run. The answer
// must come from the recorded outcome.
func TestRecordedOutcomeOutlivesTheSidecarsMemory(t *testing.T) {
	t.Parallel()
	b := newTestbed(t, func(s *starter.FleetSpec, _ *masticway.Contract) {
		s.Sidecar = json.RawMessage(`{"beat":"20ms","keep_for":"1ms"}`)
	})
	first := b.call(0, "POST", "/v1/services/stock/reservations", "bolt", "cloth")
	qt.Assert(t, first.status, qt.Equals, 200, qt.Commentf("%s", first.body))
	time.Sleep(200 * time.Millisecond)
	for i := range 2 {
		again := b.call(i, "POST", "/v1/services/stock/reservations", "bolt", "cloth")
		qt.Assert(t, again.body, qt.Equals, first.body)
	}
	qt.Assert(t, b.totalRuns(), qt.Equals, int64(1))
	// For a repeatable call no outcome is recorded: the reply says that the answer isn't available, and the call isn't run again.
	qt.Assert(t, b.call(0, "POST", "/v1/services/stock/orders", "order", "status").status, qt.Equals, 200)
	time.Sleep(200 * time.Millisecond)
	gone := b.call(1, "POST", "/v1/services/stock/orders", "order", "status")
	qt.Assert(t, gone.code, qt.Equals, "answer_not_available")
	qt.Assert(t, b.totalRuns(), qt.Equals, int64(2))
	qt.Assert(t, b.drainAndReadBudget("b-100000").Settled, qt.Equals, masticway.Amount(20_000))
}

func TestNonRepeatableUnderFaults(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		table   emulator.TableFaults
		service emulator.ServiceFaults
		run     masticway.Fate
		runs    int64
	}{
		"table down, so no claim":      {table: emulator.TableFaults{Down: true}, run: masticway.FateNotRun},
		"claim's answer lost":          {table: emulator.TableFaults{DropAnswers: 1}, runs: 1},
		"several answers lost":         {table: emulator.TableFaults{DropAnswers: 4}, runs: 1},
		"table slow":                   {table: emulator.TableFaults{DelayMillis: 100}, runs: 1},
		"service ran, answer was lost": {service: emulator.ServiceFaults{DropAnswers: 9}, run: masticway.FateUnknown, runs: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestbed(t)
			// The first call gets the router a grant, so that later only the claim of the idempotency key needs the table.
			qt.Assert(t, b.call(0, "POST", "/v1/services/stock/orders", "", "first").status, qt.Equals, 200)
			var service *emulator.Service
			for _, s := range b.Sidecars() {
				if s.Service != nil {
					service = s.Service
				}
			}
			service.SetFaults(tc.service)
			b.Platform.Table.SetFaults(tc.table)
			for range 2 {
				r := b.call(0, "POST", "/v1/services/stock/reservations", "bolt", "cloth")
				if tc.run == "" {
					qt.Assert(t, r.status, qt.Equals, 200, qt.Commentf("%s", r.body))
				} else {
					qt.Assert(t, r.fate, qt.Equals, tc.run, qt.Commentf("%s", r.body))
				}
			}
			qt.Assert(t, int64(service.Runs()["cloth"]), qt.Equals, tc.runs)
		})
	}
}

func TestRepeatableCallIsRetriedAfterALostAnswer(t *testing.T) {
	t.Parallel()
	b := newTestbed(t)
	for _, s := range b.Sidecars() {
		if s.Service != nil {
			s.Service.SetFaults(emulator.ServiceFaults{DropAnswers: 1})
		}
	}
	r := b.call(0, "POST", "/v1/services/stock/orders", "", "status")
	qt.Assert(t, r.status, qt.Equals, 200, qt.Commentf("%s", r.body))
	qt.Assert(t, b.totalRuns(), qt.Equals, int64(2))
}
