package sender_test

import (
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/sender"
)

// TestTruncatedAnswersFail guards against answers that end midway, in the head, the size of a chunk or a trailer, and are taken for whole.
func TestTruncatedAnswersFail(t *testing.T) {
	for framing, text := range emulator.TruncatedAnswers("id: 1\ndata: a\n\nid: 2\ndata: b\n\n") {
		for _, resets := range []bool{false, true} {
			t.Run(framing+", reset "+strconv.FormatBool(resets), func(t *testing.T) {
				t.Parallel()
				whole := len(strings.ReplaceAll(text, "{attempt}", ""))
				for n := range whole {
					l, err := emulator.StartTruncatedServer(emulator.TruncatedAnswer{Text: text, Length: n, Resets: resets})
					qt.Assert(t, err, qt.IsNil)
					s := sender.New((&net.Dialer{}).DialContext, time.Now)
					a, err := s.Send(t.Context(), l.Addr().String(), 0, sender.Request{ID: nextID(), Method: "GET", Target: "/", Host: "h", ConnectTimeout: time.Second})
					if err == nil {
						_, err = io.Copy(io.Discard, a)
						a.Close()
					}
					qt.Check(t, err, qt.IsNotNil, qt.Commentf("%d of %d bytes", n, whole))
					_ = l.Close()
				}
			})
		}
	}
}
