package router

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/logger"
	"github.com/masticway/masticway/measurer"
)

// replayed records an answer of a request that is not repeatable, and returns what a later request with its key is answered.
func replayed(t *testing.T, body string) (string, result) {
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
	out := second.replayClaim(*second.replay)
	return w.text.String(), out
}

// TestRecordedAnswerIsReplayedByteByByte guards against answers that come changed to a caller that repeats its request, because the
// record replaced bytes that are no UTF-8.
func TestRecordedAnswerIsReplayedByteByByte(t *testing.T) {
	for name, body := range map[string]string{
		"text": "booked ä", "replacement character": "\ufffd", "empty": "", "image": "\x89PNG\r\n\x1a\n\x00\xff\xc3", "cut text": "ä"[:1],
	} {
		t.Run(name, func(t *testing.T) {
			got, out := replayed(t, body)
			qt.Check(t, got, qt.Equals, body)
			qt.Check(t, out.outcome.Status, qt.Equals, http.StatusOK)
		})
	}
}
