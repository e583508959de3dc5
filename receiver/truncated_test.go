package receiver_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/receiver"
)

// TestTruncatedResponsesFail guards against responses of the store, of routers and of sidecars that end midway and are taken for whole.
func TestTruncatedResponsesFail(t *testing.T) {
	for framing, text := range emulator.TruncatedAnswers(`{"rows":[],"row_version":12}`) {
		for _, resets := range []bool{false, true} {
			t.Run(framing+", reset "+strconv.FormatBool(resets), func(t *testing.T) {
				t.Parallel()
				whole := len(strings.ReplaceAll(text, "{attempt}", ""))
				client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
				for n := range whole {
					l, err := emulator.StartTruncatedServer(emulator.TruncatedAnswer{Text: text, Length: n, Resets: resets})
					qt.Assert(t, err, qt.IsNil)
					request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+l.Addr().String(), strings.NewReader("x"))
					qt.Assert(t, err, qt.IsNil)
					_, err = receiver.Do(client, request, receiver.Limits{HeaderTimeout: time.Second, IdleTimeout: time.Second, MaxBytes: 1 << 20})
					qt.Check(t, err, qt.IsNotNil, qt.Commentf("%d of %d bytes", n, whole))
					_ = l.Close()
				}
			})
		}
	}
}
