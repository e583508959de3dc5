package connector_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/connector"
	"github.com/masticway/masticway/emulator"
)

// TestTruncatedAnswersOfUpstreamsFail guards against answers to sidecars that end midway and are taken for whole.
func TestTruncatedAnswersOfUpstreamsFail(t *testing.T) {
	const done = "data: [DONE]"
	stream := `data: {"choices":[{"delta":{"content":"a"},"finish_reason":"stop"}]}` + "\n\n" + done + "\n\n"
	for name, tc := range map[string]struct {
		call masticway.Call
		body string
	}{
		"a service": {call: masticway.Call{Service: "s", Method: "POST", Path: "/x"}, body: "booked"},
		"a model":   {call: masticway.Call{Model: "m", Prompt: []byte("[]")}, body: stream},
	} {
		for framing, text := range emulator.TruncatedAnswers(tc.body) {
			t.Run(name+", "+framing, func(t *testing.T) {
				t.Parallel()
				whole := len(strings.ReplaceAll(text, "{attempt}", ""))
				if i := strings.Index(text, done); i >= 0 {
					// The last event ends the answer, whatever follows it.
					whole = len(strings.ReplaceAll(text[:i+len(done)], "{attempt}", ""))
				}
				for n := range whole {
					l, err := emulator.StartTruncatedServer(emulator.TruncatedAnswer{Text: text, Length: n, Resets: n%2 == 0})
					qt.Assert(t, err, qt.IsNil)
					_, err = connector.NewUpstream("http://"+l.Addr().String(), nil, time.Second).Run(t.Context(), tc.call, discardSink{})
					qt.Check(t, err, qt.IsNotNil, qt.Commentf("%d of %d bytes", n, whole))
					_ = l.Close()
				}
			})
		}
	}
}
