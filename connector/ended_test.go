package connector_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/connector"
)

// discardSink is a sink that ignores what it gets.
type discardSink struct{}

func (discardSink) PromptCounted(int, int) {}

func (discardSink) Chunk(masticway.Chunk) {}

// TestEndedUpstreamIsDistinguishedFromBrokenRun breaks off a run at an upstream that keeps listening and at one that stops
// listening.
func TestEndedUpstreamIsDistinguishedFromBrokenRun(t *testing.T) {
	for name, ends := range map[string]bool{"the run breaks off": false, "the upstream ends": true} {
		t.Run(name, func(t *testing.T) {
			var server *httptest.Server
			server = httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				if ends {
					server.Listener.Close()
				}
				panic(http.ErrAbortHandler)
			}))
			defer server.Close()
			_, err := connector.NewUpstream(server.URL, nil, time.Second).Run(t.Context(), masticway.Call{Model: "m", Prompt: []byte("[]")}, discardSink{})
			failure, ok := errors.AsType[*masticway.UpstreamError](err)
			qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%v", err))
			qt.Assert(t, failure.Started, qt.IsTrue)
			qt.Assert(t, failure.NotListening, qt.Equals, ends)
		})
	}
}
