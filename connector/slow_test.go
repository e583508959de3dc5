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
	// slowLink is 10 Mbit/s, the slowest link of a router, in bytes a second.
	slowLink = 10_000_000 / 8
	// largeValue takes 2.2 s on a slow link in base64 and 1.7 s as it is, in bytes.
	largeValue = 2 << 20
	// callTimeout is much shorter than a large value takes, and much longer than the start of an answer does.
	callTimeout = 800 * time.Millisecond
	// answerLimit is what the client reads of one answer, in bytes.
	answerLimit = 64 << 20
)

// behindLink returns an address at which another is reached over a link.
func behindLink(t *testing.T, rate int64, address string) string {
	link := emulator.NewLink(rate)
	t.Cleanup(link.Close)
	near, err := link.To(address)
	qt.Assert(t, err, qt.IsNil)
	return near
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
	near := connector.NewPlatform(server.URL, connector.NewHTTP(nil), 10*time.Second)
	qt.Assert(t, near.Commit(t.Context(), put("large", large, 0)), qt.IsNil)
	qt.Assert(t, near.Objects().Put(t.Context(), "large", []byte(large)), qt.IsNil)
	address := behindLink(t, slowLink, server.Listener.Addr().String())
	for name, read := range cases {
		t.Run(name, func(t *testing.T) {
			value, err := read(connector.NewPlatform("http://"+address, connector.NewHTTP(nil), callTimeout))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, value, qt.HasLen, largeValue)
		})
	}
}

// TestAnswerOverTheLimitIsAnError has an answer whose first part, up to the limit, is a whole value by itself.
func TestAnswerOverTheLimitIsAnError(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"key":"k","value":"dg==","version":1}` + strings.Repeat(" ", answerLimit) + `]`))
	}))
	defer server.Close()
	_, err := connector.NewPlatform(server.URL, connector.NewHTTP(nil), 10*time.Second).Get(t.Context(), "k")
	var unavailable *masticway.UnavailableError
	qt.Assert(t, err, qt.ErrorAs, &unavailable)
	qt.Assert(t, unavailable.Reason, qt.Contains, (&receiver.TooLargeError{Limit: answerLimit}).Error())
}

// TestServiceAnswersAreWhole checks that no part of an answer is passed on as the whole, and that a long one comes.
func TestServiceAnswersAreWhole(t *testing.T) {
	cases := map[string]struct {
		// rate is that of the link between, if there is one.
		rate          int64
		silence       time.Duration
		bytes, passed int
		fails         bool
	}{
		"longer than a silence": {rate: slowLink, silence: callTimeout, bytes: largeValue, passed: largeValue},
		"larger than the limit": {silence: 10 * time.Second, bytes: answerLimit + 1, fails: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			answer := []byte(strings.Repeat("x", tc.bytes))
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(answer) }))
			defer server.Close()
			address := server.Listener.Addr().String()
			if tc.rate > 0 {
				address = behindLink(t, tc.rate, address)
			}
			upstream := connector.NewUpstream("http://"+address, nil, tc.silence)
			call := masticway.Call{Service: "s", Method: http.MethodPost, Path: "/", Key: "k"}
			passed := 0
			_, err := upstream.Run(t.Context(), call, lengths{&passed})
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

// lengths adds up what a sink is given, in bytes.
type lengths struct {
	bytes *int
}

func (l lengths) PromptCounted(int, int) {}

func (l lengths) Chunk(c masticway.Chunk) { *l.bytes += len(c.Text) }
