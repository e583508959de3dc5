package receiver_test

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/receiver"
)

func newClient() *http.Client {
	return &http.Client{Transport: receiver.NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext})}
}

var callLimits = receiver.Limits{HeaderTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second, MaxBytes: 1 << 20}

// call makes a call to a server at an address, with a body of some bytes.
func call(t *testing.T, c *http.Client, address string, size int) (receiver.Response, error) {
	method, body := http.MethodGet, []byte(nil)
	if size > 0 {
		method, body = http.MethodPost, make([]byte, size)
	}
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+"/", bytes.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	return receiver.Do(c, r, callLimits)
}

// TestTransportFailsForInvalidAnswers guards against answers whose heads are not valid, of the store or of other routers, that are taken.
func TestTransportFailsForInvalidAnswers(t *testing.T) {
	for name, text := range emulator.InvalidAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := emulator.StartTruncatedServer(emulator.TruncatedAnswer{Text: text, Length: len(text)})
			qt.Assert(t, err, qt.IsNil)
			defer l.Close()
			answer, err := call(t, newClient(), l.Addr().String(), 0)
			qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%+v", answer))
		})
	}
}

// TestTransportTakesValidAnswers guards against valid answers in unusual forms that are lost.
func TestTransportTakesValidAnswers(t *testing.T) {
	for name, text := range emulator.ValidAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := emulator.StartTruncatedServer(emulator.TruncatedAnswer{Text: text, Length: len(text)})
			qt.Assert(t, err, qt.IsNil)
			defer l.Close()
			for _, size := range []int{0, 100, 1 << 20} {
				answer, err := call(t, newClient(), l.Addr().String(), size)
				qt.Assert(t, err, qt.IsNil, qt.Commentf("body of %d bytes", size))
				qt.Check(t, string(answer.Body), qt.Equals, "ok")
			}
		})
	}
}

// TestTransportKeepsConnections guards against connections that are not reused because their answers' heads are checked.
func TestTransportKeepsConnections(t *testing.T) {
	dials := 0
	server := newServer(t)
	c := &http.Client{Transport: receiver.NewTransport(&http.Transport{DialContext: countDials(&dials)})}
	for range 20 {
		answer, err := call(t, c, server, 3000)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, string(answer.Body), qt.Equals, "fine")
	}
	qt.Check(t, dials, qt.Equals, 1)
}

// TestTransportFailsForPartOfEarlyAnswer guards against a part of an answer without a length that is taken for all of it, because the
// reset of the connection was told to the goroutine that was still writing the request.
func TestTransportFailsForPartOfEarlyAnswer(t *testing.T) {
	for _, after := range []time.Duration{0, 2 * time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond} {
		l, err := emulator.StartEarlyServer(emulator.EarlyAnswer{Text: "HTTP/1.1 200 OK\r\n\r\npart of the body", After: after})
		qt.Assert(t, err, qt.IsNil)
		for range 10 {
			_, err := call(t, newClient(), l.Addr().String(), 64<<20)
			qt.Check(t, err, qt.IsNotNil, qt.Commentf("reset after %v", after))
		}
		_ = l.Close()
	}
}

// TestInvalidAnswerIsTold guards against an error that does not tell what was wrong with an answer.
func TestInvalidAnswerIsTold(t *testing.T) {
	text := emulator.InvalidAnswers["blank before the colon"]
	l, err := emulator.StartTruncatedServer(emulator.TruncatedAnswer{Text: text, Length: len(text)})
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	_, err = call(t, newClient(), l.Addr().String(), 0)
	invalid, ok := errors.AsType[*receiver.InvalidAnswerError](err)
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%v", err))
	qt.Check(t, invalid.Reason, qt.Equals, `a field named "Content-Length "`)
}
