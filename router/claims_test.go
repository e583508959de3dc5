package router

import (
	"errors"
	"net/http"
	"net/http/httptest"
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
	q := request{id: "first", identity: "w/k", hasCallerKey: true, nonRepeatable: true, call: masticway.Call{Service: "s"}}
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

// TestBrokenAnswerIsReplayedAsBroken guards against a broken chat answer that comes as complete to a caller that repeats its request:
// its first part with a finish reason and, in a stream, the last event.
func TestBrokenAnswerIsReplayedAsBroken(t *testing.T) {
	for name, stream := range map[string]bool{"stream": true, "whole": false} {
		for recorded, refused := range map[string]*masticway.RefusalError{
			"complete": nil,
			"broken":   {Status: http.StatusBadGateway, Code: "upstream_failed", Message: "ended", Fate: masticway.FateRan},
		} {
			t.Run(name+", "+recorded, func(t *testing.T) {
				r := New(Settings{}, Secrets{}, masticway.SystemClock{}, logger.Discard(), Platform{Table: emulator.NewTable()}, nil, measurer.New())
				defer r.Close()
				q := request{id: "first", identity: "w/k", hasCallerKey: true, nonRepeatable: true, call: masticway.Call{Model: "m"}}
				first := r.newExchange(t.Context(), q, &bufferedWriter{})
				first.claim = &claim{key: claimPrefix + string(q.identity), row: claimRow{Request: q.id, State: claimOpen}}
				_, err := r.insertClaim(t.Context(), first.claim)
				qt.Assert(t, err, qt.IsNil)
				first.relay(masticway.Chunk{Text: "first part", Tokens: 2})
				if refused == nil {
					first.completeClaim(t.Context(), result{outcome: masticway.Outcome{Reason: "stop"}}, nil)
				} else {
					first.completeClaim(t.Context(), result{}, refused)
				}

				to := httptest.NewRecorder()
				w := newChatWriter(to, q, stream)
				second := r.newExchange(t.Context(), q, w)
				second.step(eventAdmitted)
				second.step(eventAttached)
				qt.Assert(t, second.findRecorded(t.Context()), qt.IsTrue)
				out, err := second.replayClaim(*second.replay)
				err = w.finish(out, err)
				body := to.Body.String()
				if refused == nil {
					qt.Assert(t, err, qt.IsNil)
					qt.Check(t, body, qt.Contains, "first part")
					qt.Check(t, body, qt.Contains, `"finish_reason":"stop"`)
					return
				}
				qt.Check(t, body, qt.Not(qt.Contains), "[DONE]")
				qt.Check(t, body, qt.Not(qt.Contains), `"finish_reason":"`)
				got, ok := errors.AsType[*masticway.RefusalError](err)
				qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%s", body))
				qt.Check(t, got.Status, qt.Equals, refused.Status)
				qt.Check(t, got.Code, qt.Equals, refused.Code)
				qt.Check(t, got.Fate, qt.Equals, masticway.FateRan)
			})
		}
	}
}
