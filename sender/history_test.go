package sender_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/sender"
)

// send sends a request with an ID and reads its answer.
func send(ctx context.Context, s *sender.Sender, address string, limit int, id string) (sender.History, error) {
	a, err := s.Send(ctx, address, limit, sender.Request{ID: id, Method: "GET", Target: "/", Host: "h", ConnectTimeout: time.Second})
	if err != nil {
		return sender.History{}, err
	}
	defer a.Close()
	_, err = io.Copy(io.Discard, a)
	return a.History, err
}

// serveOK answers all requests on a connection.
func serveOK(c *net.TCPConn) {
	defer c.Close()
	answerOK(c)
}

// answerOK answers requests until the connection ends.
func answerOK(c net.Conn) {
	for r := bufio.NewReader(c); ; {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, okAnswer)
	}
}

// TestConnectionCarriesRequestOnce guards against a request that is sent again on the connection on which an answer to its earlier sending
// may still come, and against requests whose answers name none beside others.
func TestConnectionCarriesRequestOnce(t *testing.T) {
	for name, tc := range map[string]struct {
		limit int
		ids   []string
		dials int64
	}{
		"other requests":                     {ids: []string{"a", "b", "c"}, dials: 1},
		"the same request":                   {ids: []string{"a", "a"}, dials: 2},
		"the same request, at the limit":     {limit: 1, ids: []string{"a", "a", "a", "b", "a"}, dials: 4},
		"the same request after others":      {ids: []string{"a", "b", "c", "a", "b"}, dials: 2},
		"three times":                        {ids: []string{"a", "a", "a", "b"}, dials: 3},
		"answers that name none":             {ids: []string{"", ""}, dials: 2},
		"answers that name none, then one":   {ids: []string{"", "a"}, dials: 2},
		"answers that name none, after one":  {ids: []string{"a", "", "b"}, dials: 2},
		"answers that name none, at a limit": {limit: 1, ids: []string{"a", "", "", "b", ""}, dials: 5},
	} {
		t.Run(name, func(t *testing.T) {
			s := sender.New((&net.Dialer{}).DialContext, time.Now)
			address := accept(t, serveOK)
			for _, id := range tc.ids {
				h, err := send(t.Context(), s, address, tc.limit, id)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, h.Repeated, qt.IsFalse)
			}
			qt.Assert(t, s.Dials(), qt.Equals, tc.dials)
		})
	}
}

// TestFullServerIsNotSentMore guards against requests whose fate is unknown because a server that is at its limit resets the connection that
// takes the place of another one.
func TestFullServerIsNotSentMore(t *testing.T) {
	for name, second := range map[string]string{"the same request": "a", "an answer that names none": ""} {
		t.Run(name, func(t *testing.T) {
			var open atomic.Int64
			address := accept(t, func(c *net.TCPConn) {
				defer c.Close()
				defer open.Add(-1)
				if open.Add(1) > 1 {
					_ = c.SetLinger(0)
					return
				}
				answerOK(c)
			})
			s := sender.New((&net.Dialer{}).DialContext, time.Now)
			for i := range 1000 {
				for _, id := range []string{fmt.Sprint("a", i), strings.Repeat(fmt.Sprint("a", i), len(second))} {
					_, err := send(t.Context(), s, address, 1, id)
					if failure, ok := errors.AsType[*sender.Error](err); ok {
						qt.Assert(t, failure.Sent, qt.IsFalse, qt.Commentf("%v", err))
					}
				}
			}
		})
	}
}

// TestRequestsOfAllKindsFindRoom guards against requests that are denied again and again because only connections that may not carry them are
// idle.
func TestRequestsOfAllKindsFindRoom(t *testing.T) {
	for name, requests := range map[string][]sender.Request{
		"without a body and others":   {{ID: "a", Method: "GET"}, {ID: "b", Method: "HEAD"}},
		"unnamed and others":          {{ID: "a", Method: "GET"}, {Method: "POST"}},
		"the same request and others": {{ID: "a", Method: "GET"}, {ID: "always", Method: "GET"}},
	} {
		for _, limit := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s, limit %d", name, limit), func(t *testing.T) {
				s := sender.New((&net.Dialer{}).DialContext, time.Now)
				address := accept(t, serveOK)
				for i := range 100 {
					r := requests[i%len(requests)]
					if r.ID != "" && r.ID != "always" {
						r.ID += fmt.Sprint(i)
					}
					r.Target, r.Host, r.ConnectTimeout = "/", "h", time.Second
					a, err := s.Send(t.Context(), address, limit, r)
					qt.Assert(t, err, qt.IsNil)
					_, err = io.Copy(io.Discard, a)
					qt.Assert(t, err, qt.IsNil)
					a.Close()
				}
			})
		}
	}
}

// TestRepeatedRequestLeavesNoIdleConnections guards against connections that pile up because none may be used for a request that comes again
// and again.
func TestRepeatedRequestLeavesNoIdleConnections(t *testing.T) {
	var open, most atomic.Int64
	address := accept(t, func(c *net.TCPConn) {
		most.Store(max(most.Load(), open.Add(1)))
		defer open.Add(-1)
		serveOK(c)
	})
	s := sender.New((&net.Dialer{}).DialContext, time.Now)
	for range 200 {
		_, err := send(t.Context(), s, address, 0, "a")
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, most.Load() < 50, qt.IsTrue, qt.Commentf("%d connections", most.Load()))
}

// TestAnswerWithoutBodyIsReadAlone guards against answers that are read as if they had a body, or none, because they belong to a request of
// another method.
func TestAnswerWithoutBodyIsReadAlone(t *testing.T) {
	s := sender.New((&net.Dialer{}).DialContext, time.Now)
	address := accept(t, func(c *net.TCPConn) {
		defer c.Close()
		for r := bufio.NewReader(c); ; {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")
			if q.Method != "HEAD" {
				_, _ = io.WriteString(c, "ok")
			}
		}
	})
	for i, method := range []string{"GET", "HEAD", "HEAD", "POST"} {
		a, err := s.Send(t.Context(), address, 0, sender.Request{ID: nextID(), Method: method, Target: "/", Host: "h", ConnectTimeout: time.Second})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, a.History.Requests, qt.Equals, []int{0, 0, 1, 1}[i])
		_, err = io.Copy(io.Discard, a)
		qt.Assert(t, err, qt.IsNil)
		a.Close()
	}
}

// TestConnectionIsNotReusedForever guards against connections that have forgotten the requests that they carried.
func TestConnectionIsNotReusedForever(t *testing.T) {
	const total = 5000
	s := sender.New((&net.Dialer{}).DialContext, time.Now)
	address := accept(t, serveOK)
	locals := map[string]map[string]bool{}
	for i := range total {
		id := fmt.Sprint(i)
		h, err := send(t.Context(), s, address, 0, id)
		qt.Assert(t, err, qt.IsNil)
		if locals[h.Local] == nil {
			locals[h.Local] = map[string]bool{}
		}
		locals[h.Local][id] = true
		if i%1000 != 0 {
			continue
		}
		for first := range locals[h.Local] {
			again, err := send(t.Context(), s, address, 0, first)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, again.Local, qt.Not(qt.Equals), h.Local)
			break
		}
	}
	qt.Assert(t, s.Dials() < total/100, qt.IsTrue, qt.Commentf("%d connections", s.Dials()))
}

// TestRequestBehindCopiesIsReset guards against a server that works on because its connection ends in the usual way when its answer is
// given up behind answers to other requests.
func TestRequestBehindCopiesIsReset(t *testing.T) {
	for name, after := range map[string]string{
		"nothing follows":          "",
		"half a head follows":      "HTTP/1.1 200",
		"too large a head follows": "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 4<<20),
		"no head follows":          "no head\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			ctx, giveUp := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer giveUp()
			wasReset := make(chan bool, 1)
			address := accept(t, func(c *net.TCPConn) {
				defer c.Close()
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_, _ = io.WriteString(c, okAnswer+after)
				wasReset <- awaitReset(c)
			})
			s := sender.New((&net.Dialer{}).DialContext, time.Now)
			a, err := s.Send(ctx, address, 0, sender.Request{ID: "a", Method: "GET", Target: "/", Host: "h", ConnectTimeout: time.Second})
			qt.Assert(t, err, qt.IsNil)
			_, err = a.Next()
			qt.Assert(t, err, qt.IsNotNil)
			a.Close()
			qt.Assert(t, <-wasReset, qt.IsTrue)
		})
	}
}
