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

// unheard is a sink that nothing is expected to come to.
type unheard struct{}

func (unheard) PromptCounted(int, int) {}

func (unheard) Chunk(masticway.Chunk) {}

// TestEndOfAnUpstreamIsToldFromABrokenRun has runs break off at an upstream that goes on to listen, and at one that has ended.
func TestEndOfAnUpstreamIsToldFromABrokenRun(t *testing.T) {
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
			_, err := connector.NewUpstream(server.URL, nil, time.Second).Run(t.Context(), masticway.Call{Model: "m", Prompt: []byte("[]")}, unheard{})
			failure, ok := errors.AsType[*masticway.UpstreamError](err)
			qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%v", err))
			qt.Assert(t, failure.Started, qt.IsTrue)
			qt.Assert(t, failure.NotListening, qt.Equals, ends)
		})
	}
}
