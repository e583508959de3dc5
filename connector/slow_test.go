package connector_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/connector"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/receiver"
)

const (
	// slowLink is 10 Mbit/s, the slowest link of a router, in bytes per second.
	slowLink = 10_000_000 / 8
	// largeValue is a size in bytes that takes 2.2 s to transfer over a slow link in base64, and 1.7 s unencoded.
	largeValue = 2 << 20
	// callTimeout is much shorter than the transfer of a large value, and much longer than an answer takes to begin.
	callTimeout = 800 * time.Millisecond
	// answerLimit is the largest answer that the client reads, in bytes.
	answerLimit = 64 << 20
)

// overLink returns an address that forwards to another one over a link of limited bandwidth.
func overLink(t *testing.T, rate int64, address string) string {
	link := emulator.NewBandwidthProxy(rate)
	t.Cleanup(link.Close)
	local, err := link.AddTarget(address)
	qt.Assert(t, err, qt.IsNil)
	return local
}

func TestLargeReadsComeOverASlowLink(t *testing.T) {
	cases := map[string]func(p connector.Platform) ([]byte, error){
		"row": func(p connector.Platform) ([]byte, error) {
			row, err := p.Get(t.Context(), "large")
			return row.Value, err
		},
		"rows": func(p connector.Platform) ([]byte, error) {
			rows, err := p.Scan(t.Context(), "lar")
			if err != nil {
				return nil, err
			}
			return rows[0].Value, nil
		},
		"object": func(p connector.Platform) ([]byte, error) { return p.Objects().Get(t.Context(), "large") },
	}
	large := strings.Repeat("x", largeValue)
	platform := emulator.NewPlatform(0)
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	direct := connector.NewPlatform(server.URL, connector.NewHTTPClient(nil), 10*time.Second)
	qt.Assert(t, direct.Commit(t.Context(), putTransaction("large", large, 0)), qt.IsNil)
	qt.Assert(t, direct.Objects().Put(t.Context(), "large", []byte(large)), qt.IsNil)
	address := overLink(t, slowLink, server.Listener.Addr().String())
	for name, read := range cases {
		t.Run(name, func(t *testing.T) {
			value, err := read(connector.NewPlatform("http://"+address, connector.NewHTTPClient(nil), callTimeout))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, value, qt.HasLen, largeValue)
		})
	}
}

// TestAnswerOverTheLimitIsAnError guards against truncating an answer silently: up to the limit, the answer here is valid
// JSON by itself.
func TestAnswerOverTheLimitIsAnError(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"key":"k","value":"dg==","version":1}` + strings.Repeat(" ", answerLimit) + `]`))
	}))
	defer server.Close()
	_, err := connector.NewPlatform(server.URL, connector.NewHTTPClient(nil), 10*time.Second).Get(t.Context(), "k")
	var unavailable *masticway.UnavailableError
	qt.Assert(t, err, qt.ErrorAs, &unavailable)
	qt.Assert(t, unavailable.Reason, qt.Contains, (&receiver.TooLargeError{Limit: answerLimit}).Error())
}

// TestServiceAnswersAreComplete checks that a truncated answer is not passed on as complete, and that one whose transfer
// takes longer than the idle timeout arrives.
func TestServiceAnswersAreComplete(t *testing.T) {
	cases := map[string]struct {
		// rate is the bandwidth of the link in between, or zero without one.
		rate          int64
		idleTimeout   time.Duration
		bytes, passed int
		fails         bool
	}{
		"longer than the idle timeout": {rate: slowLink, idleTimeout: callTimeout, bytes: largeValue, passed: largeValue},
		"larger than the limit":        {idleTimeout: 10 * time.Second, bytes: answerLimit + 1, fails: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			answer := []byte(strings.Repeat("x", tc.bytes))
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(answer) }))
			defer server.Close()
			address := server.Listener.Addr().String()
			if tc.rate > 0 {
				address = overLink(t, tc.rate, address)
			}
			upstream := connector.NewUpstream("http://"+address, nil, tc.idleTimeout)
			call := masticway.Call{Service: "s", Method: http.MethodPost, Path: "/", Key: "k"}
			passed := 0
			_, err := upstream.Run(t.Context(), call, byteCounter{&passed})
			qt.Check(t, passed, qt.Equals, tc.passed)
			if !tc.fails {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			var failed *masticway.UpstreamError
			qt.Assert(t, err, qt.ErrorAs, &failed)
			qt.Check(t, failed.Started, qt.IsTrue)
			qt.Check(t, failed.Reason, qt.Contains, (&receiver.TooLargeError{Limit: answerLimit}).Error())
		})
	}
}

// byteCounter is a sink that adds up the size of the chunks, in bytes.
type byteCounter struct {
	bytes *int
}

func (l byteCounter) PromptCounted(int, int) {}

func (l byteCounter) Chunk(c masticway.Chunk) { *l.bytes += len(c.Text) }
