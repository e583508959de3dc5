package router

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/logger"
	"github.com/masticway/masticway/measurer"
)

// replayed records an answer of a request that is not repeatable, and returns what a later request with its key is answered.
func replayed(t *testing.T, body string) (string, result, error) {
	r := New(Settings{}, Secrets{}, masticway.SystemClock{}, logger.Discard(), Platform{Table: emulator.NewTable()}, nil, measurer.New())
	t.Cleanup(r.Close)
	q := request{id: "first", identity: "w/k", hasCallerKey: true, nonRepeatable: true}
	first := r.newExchange(t.Context(), q, &bufferedWriter{})
	first.claim = &claim{key: claimPrefix + string(q.identity), row: claimRow{Request: q.id, State: claimOpen}}
	_, err := r.insertClaim(t.Context(), first.claim)
	qt.Assert(t, err, qt.IsNil)
	first.relay(masticway.Chunk{Text: body})
	first.completeClaim(t.Context(), result{outcome: masticway.Outcome{Status: http.StatusOK, ContentType: "image/png"}}, nil)

	q.id = "second"
	var w bufferedWriter
	second := r.newExchange(t.Context(), q, &w)
	second.step(eventAdmitted)
	second.step(eventAttached)
	qt.Assert(t, second.findRecorded(t.Context()), qt.IsTrue)
	out, err := second.replayClaim(*second.replay)
	return w.text.String(), out, err
}

// TestRecordedAnswerIsReplayedByteByByte guards against answers that come changed to a caller that repeats its request, because the
// record replaced bytes that are no UTF-8.
func TestRecordedAnswerIsReplayedByteByByte(t *testing.T) {
	for name, body := range map[string]string{
		"text": "booked ä", "replacement character": "\ufffd", "empty": "", "image": "\x89PNG\r\n\x1a\n\x00\xff\xc3", "cut text": "ä"[:1],
	} {
		t.Run(name, func(t *testing.T) {
			got, out, err := replayed(t, body)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, got, qt.Equals, body)
			qt.Check(t, out.outcome.Status, qt.Equals, http.StatusOK)
		})
	}
}

// TestAnswerThatIsTooLargeToRecordIsNotReplayedEmpty guards against an empty answer with the status of the whole one, for a caller that
// repeats a request of which the record holds no body.
func TestAnswerThatIsTooLargeToRecordIsNotReplayedEmpty(t *testing.T) {
	for name, size := range map[string]int{"empty": 0, "largest that is kept": maxRecordedBody, "too large": maxRecordedBody + 1} {
		t.Run(name, func(t *testing.T) {
			body := strings.Repeat("x", size)
			got, out, err := replayed(t, body)
			if size <= maxRecordedBody {
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, got == body, qt.IsTrue)
				qt.Check(t, out.outcome.Status, qt.Equals, http.StatusOK)
				return
			}
			refused, ok := errors.AsType[*masticway.RefusalError](err)
			qt.Assert(t, ok, qt.IsTrue, qt.Commentf("status %d, %d bytes", out.outcome.Status, len(got)))
			qt.Check(t, refused.Fate, qt.Equals, masticway.FateRan)
			qt.Check(t, got, qt.Equals, "")
		})
	}
}
