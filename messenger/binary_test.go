package messenger_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/messenger"
)

// TestBytesThatAreNoTextReachRouters guards against messages that other routers reject, with all that they hold of other callers,
// because one caller sent bytes that are no UTF-8 as the ID of a request or of a part of its prompt.
func TestBytesThatAreNoTextReachRouters(t *testing.T) {
	mux := http.NewServeMux()
	messenger.Handle(mux, "/peer/echo", func(_ context.Context, q question) question { return q })
	server := httptest.NewServer(mux)
	defer server.Close()
	for name, word := range map[string]string{"text": "ä", "Latin-1": "\xe4", "cut text": "ä"[:1], "any bytes": "\x00\xff\xfe"} {
		t.Run(name, func(t *testing.T) {
			got, err := messenger.Call[question](t.Context(), messenger.NewClient(), strings.TrimPrefix(server.URL, "http://"), "/peer/echo", question{Word: word})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got.Word, qt.Equals, word)
		})
	}
}
