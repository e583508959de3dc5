package connector_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/connector"
)

// The events of an engine's stream.
const (
	pieceEvent  = `data: {"choices":[{"delta":{"content":"a"}}]}` + "\n\n"
	finishEvent = `data: {"choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\n"
	usageEvent  = `data: {"choices":[],"usage":{"prompt_tokens":1,"completion_tokens":1}}` + "\n\n"
	doneEvent   = "data: [DONE]\n\n"
)

// runStream returns the error of a run at an engine that sends a body. An error must report that the run may have started.
func runStream(t *testing.T, body string) error {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
	defer server.Close()
	_, err := connector.NewUpstream(server.URL, nil, time.Second).Run(t.Context(), masticway.Call{Model: "m", Prompt: []byte("[]")}, discardSink{})
	if err != nil {
		failure, ok := errors.AsType[*masticway.UpstreamError](err)
		qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%v", err))
		qt.Check(t, failure.Started, qt.IsTrue)
	}
	return err
}

// TestErrorAmidStreamOfEngineIsNotItsEnd guards against answers that reach callers as complete although the engine reported an error
// amid them: engines send the same last event after an error as after a whole answer.
func TestErrorAmidStreamOfEngineIsNotItsEnd(t *testing.T) {
	for name, tc := range map[string]struct {
		body   string
		broken bool
	}{
		"no error":             {body: pieceEvent + `data: {"choices":[{"delta":{},"finish_reason":"stop"}],"error":null}` + "\n\n" + doneEvent},
		"error object":         {body: pieceEvent + `data: {"error":{"message":"out of memory","code":500}}` + "\n\n" + doneEvent, broken: true},
		"error text":           {body: pieceEvent + `data: {"error":"out of memory"}` + "\n\n" + doneEvent, broken: true},
		"with a finish reason": {body: pieceEvent + `data: {"error":{"message":"out of memory"}}` + "\n\n" + finishEvent + doneEvent, broken: true},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, runStream(t, tc.body) != nil, qt.Equals, tc.broken)
		})
	}
}

// TestStreamOfEngineWithoutFinishReasonIsNotWhole guards against answers that reach callers with a made-up finish reason although the
// engine ended them before it knew why they end.
func TestStreamOfEngineWithoutFinishReasonIsNotWhole(t *testing.T) {
	for name, tc := range map[string]struct {
		body   string
		broken bool
	}{
		"whole":                    {body: pieceEvent + finishEvent + doneEvent},
		"usage after finish":       {body: pieceEvent + finishEvent + usageEvent + doneEvent},
		"no finish reason":         {body: pieceEvent + doneEvent, broken: true},
		"usage, no finish reason":  {body: pieceEvent + usageEvent + doneEvent, broken: true},
		"no piece":                 {body: doneEvent, broken: true},
		"finish reason, no end":    {body: pieceEvent + finishEvent, broken: true},
		"no finish reason, no end": {body: pieceEvent, broken: true},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, runStream(t, tc.body) != nil, qt.Equals, tc.broken)
		})
	}
}
