package sender_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/sender"
)

// sendTo sends a request with a body, if there is one, to a new server that reads it and then answers with some bytes.
func sendTo(t *testing.T, answer string, body []byte) (*sender.Answer, error) {
	l, err := emulator.StartTruncatedServer(emulator.TruncatedAnswer{Text: answer, Length: len(answer)})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	s := sender.New((&net.Dialer{}).DialContext, time.Now)
	return s.Send(t.Context(), l.Addr().String(), 0, sender.Request{
		ID: nextID(), Method: http.MethodPost, Target: "/", Host: "h", ConnectTimeout: time.Second, Body: body, Header: http.Header{},
	})
}

// TestInvalidAnswersFail guards against answers of a server in trouble that reach the caller, or whose heads hide where the body ends.
func TestInvalidAnswersFail(t *testing.T) {
	for name, text := range emulator.InvalidAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, err := sendTo(t, text, nil)
			if err == nil {
				a.Close()
			}
			failure, ok := errors.AsType[*sender.Error](err)
			qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%+v", a))
			qt.Check(t, failure.Sent, qt.IsTrue)
		})
	}
}

// TestValidAnswersAreTaken guards against answers in unusual forms that are taken for those of a server in trouble.
func TestValidAnswersAreTaken(t *testing.T) {
	for name, text := range emulator.ValidAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, err := sendTo(t, text, nil)
			qt.Assert(t, err, qt.IsNil)
			defer a.Close()
			body, err := io.ReadAll(a)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, string(body), qt.Equals, "ok")
		})
	}
}

// uploadBytes is more than the kernels take of a body that the server does not read.
const uploadBytes = 64 << 20

// TestPartOfEarlyAnswerIsNotWhole guards against a part of an answer without a length that is taken for all of it, because the reset of
// the connection was told to the goroutine that was still writing the request's body.
func TestPartOfEarlyAnswerIsNotWhole(t *testing.T) {
	body := make([]byte, uploadBytes)
	for _, size := range []int{1 << 10, 64 << 10, uploadBytes} {
		for _, after := range []time.Duration{0, 2 * time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond} {
			l, err := emulator.StartEarlyServer(emulator.EarlyAnswer{Text: "HTTP/1.1 200 OK\r\nX-Server-Signature: a\r\n\r\npart of the body", After: after})
			qt.Assert(t, err, qt.IsNil)
			s := sender.New((&net.Dialer{}).DialContext, time.Now)
			for range 10 {
				a, err := s.Send(t.Context(), l.Addr().String(), 0, sender.Request{ID: nextID(), Method: "POST", Target: "/", Host: "h", ConnectTimeout: time.Second, Body: body[:size], Header: http.Header{}})
				if err != nil {
					continue
				}
				_, err = io.Copy(io.Discard, a)
				a.Close()
				qt.Check(t, err, qt.IsNotNil, qt.Commentf("body of %d bytes, reset after %v", size, after))
			}
			_ = l.Close()
		}
	}
}

// TestWholeEarlyAnswerIsTaken guards against an early answer that is lost although its framing shows that it is whole.
func TestWholeEarlyAnswerIsTaken(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 413 Too Large\r\nContent-Length: 3\r\n\r\nno!", "HTTP/1.1 413 Too Large\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nno!\r\n0\r\n\r\n",
	} {
		l, err := emulator.StartEarlyServer(emulator.EarlyAnswer{Text: text, After: time.Second})
		qt.Assert(t, err, qt.IsNil)
		defer l.Close()
		s := sender.New((&net.Dialer{}).DialContext, time.Now)
		a, err := s.Send(t.Context(), l.Addr().String(), 0, sender.Request{ID: nextID(), Method: "POST", Target: "/", Host: "h", ConnectTimeout: time.Second, Body: bytes.Repeat([]byte("x"), uploadBytes), Header: http.Header{}})
		qt.Assert(t, err, qt.IsNil)
		got, err := io.ReadAll(a)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, string(got), qt.Equals, "no!")
		qt.Check(t, a.Status, qt.Equals, http.StatusRequestEntityTooLarge)
		a.Close()
	}
}

// TestAnswerThatEndsWithItsConnectionAfterUploadIsTaken guards against answers without a length that count as broken because their request
// had a long body.
func TestAnswerThatEndsWithItsConnectionAfterUploadIsTaken(t *testing.T) {
	for range 20 {
		a, err := sendTo(t, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole", make([]byte, 1<<20))
		qt.Assert(t, err, qt.IsNil)
		got, err := io.ReadAll(a)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, string(got), qt.Equals, "whole")
		a.Close()
	}
}
