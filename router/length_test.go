package router

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
)

// TestWholeAnswersTellTheirLength guards against answers that a caller of HTTP/1.0 takes for whole although the router was killed amid
// them: without a length, it knows their end by that of the connection alone.
func TestWholeAnswersTellTheirLength(t *testing.T) {
	text := strings.Repeat("x", 100_000)
	for name, write := range map[string]func(http.ResponseWriter){
		"chat": func(to http.ResponseWriter) {
			w := newChatWriter(to, request{}, false)
			w.writeChunk(masticway.Chunk{Text: text})
			qt.Check(t, w.finish(result{}, nil), qt.IsNil)
		},
		"service": func(to http.ResponseWriter) {
			writeOutcome(to, masticway.Outcome{Status: http.StatusOK, ContentType: "text/plain"}, text)
		},
		"refusal": func(to http.ResponseWriter) {
			writeRefusal(to, &masticway.RefusalError{Status: http.StatusBadGateway, Code: "upstream_failed", Message: text})
		},
	} {
		for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
			t.Run(name+", "+protocol, func(t *testing.T) {
				server := httptest.NewServer(http.HandlerFunc(func(to http.ResponseWriter, _ *http.Request) { write(to) }))
				defer server.Close()
				response := askIn(t, server, protocol)
				body, err := io.ReadAll(response.Body)
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, strings.Contains(string(body), text), qt.IsTrue)
				qt.Check(t, response.ContentLength, qt.Equals, int64(len(body)))
			})
		}
	}
}

// TestAnswersWithoutBodyHaveNone guards against a length in answers that must not have a body, after which callers wait for one or
// take the next answer for it.
func TestAnswersWithoutBodyHaveNone(t *testing.T) {
	for _, status := range []int{http.StatusNoContent, http.StatusNotModified} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(to http.ResponseWriter, _ *http.Request) {
				writeOutcome(to, masticway.Outcome{Status: status}, "")
			}))
			defer server.Close()
			response := askIn(t, server, "HTTP/1.1")
			qt.Check(t, response.StatusCode, qt.Equals, status)
			qt.Check(t, response.Header.Get("Content-Length"), qt.Equals, "")
		})
	}
}

// TestBrokenStreamLacksItsEnd guards against streams that look complete to a caller of HTTP/1.0, for which the connection ends in the
// same way after an error: the last event and a finish reason come only after a whole answer.
func TestBrokenStreamLacksItsEnd(t *testing.T) {
	broken := &masticway.RefusalError{Status: http.StatusBadGateway, Code: "upstream_failed", Message: "ended", Fate: masticway.FateRan}
	for name, isBroken := range map[string]bool{"whole": false, "broken": true} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(to http.ResponseWriter, _ *http.Request) {
				w := newChatWriter(to, request{}, true)
				w.writeChunk(masticway.Chunk{Text: "a", Tokens: 1})
				var err error
				if isBroken {
					err = broken
				}
				qt.Check(t, w.finish(result{}, err), qt.IsNil)
			}))
			defer server.Close()
			body, err := io.ReadAll(askIn(t, server, "HTTP/1.0").Body)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, strings.HasSuffix(string(body), "data: [DONE]\n\n"), qt.Equals, !isBroken)
			qt.Check(t, strings.Contains(string(body), `"finish_reason":"stop"`), qt.Equals, !isBroken)
			qt.Check(t, strings.Contains(string(body), `"code":"upstream_failed"`), qt.Equals, isBroken)
		})
	}
}

// askIn sends a request in a version of the protocol and returns the response.
func askIn(t *testing.T, server *httptest.Server, protocol string) *http.Response {
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, "GET / "+protocol+"\r\nHost: x\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	qt.Assert(t, err, qt.IsNil)
	return response
}
