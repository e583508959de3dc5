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

type question struct {
	Word string `cbor:"1,keyasint"`
}

type answer struct {
	Length int `cbor:"1,keyasint"`
}

// serve answers questions at /peer/length, and sends invalid CBOR at /peer/rubbish.
func serve(t *testing.T) string {
	mux := http.NewServeMux()
	messenger.Handle(mux, "/peer/length", func(_ context.Context, q question) answer { return answer{Length: len(q.Word)} })
	mux.HandleFunc("POST /peer/rubbish", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte{0xff}) })
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestMessagesAreAnswered(t *testing.T) {
	address := serve(t)
	client := messenger.NewClient()
	for _, word := range []string{"", "coat", strings.Repeat("x", 1<<20)} {
		got, err := messenger.Call[answer](t.Context(), client, address, "/peer/length", question{Word: word})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got.Length, qt.Equals, len(word))
	}
}

func TestErrorsNameTheAddress(t *testing.T) {
	address := serve(t)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	cases := map[string]struct {
		ctx     context.Context
		address string
		path    string
		message any
		status  int
	}{
		"no such path":       {ctx: t.Context(), address: address, path: "/peer/none", status: http.StatusNotFound},
		"wrong message type": {ctx: t.Context(), address: address, path: "/peer/length", message: []int{1}, status: http.StatusBadRequest},
		"over the limit":     {ctx: t.Context(), address: address, path: "/peer/length", message: question{Word: strings.Repeat("x", 5<<20)}, status: http.StatusBadRequest},
		"invalid answer":     {ctx: t.Context(), address: address, path: "/peer/rubbish"},
		"connection refused": {ctx: t.Context(), address: "127.0.0.1:1", path: "/peer/length"},
		"canceled context":   {ctx: ended, address: address, path: "/peer/length"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := messenger.Call[answer](tc.ctx, messenger.NewClient(), tc.address, tc.path, tc.message)
			qt.Assert(t, err, qt.IsNotNil)
			var status *messenger.StatusError
			if tc.status != 0 {
				qt.Assert(t, err, qt.ErrorAs, &status)
				qt.Assert(t, status.Status, qt.Equals, tc.status)
			}
			qt.Assert(t, err.Error(), qt.Contains, tc.address)
		})
	}
}
