package sender_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"github.com/masticway/masticway/sender"
)

// scriptedServer answers the requests on each connection with the given bytes, one entry per request.
type scriptedServer struct {
	t       *testing.T
	l       net.Listener
	answers []string
	// closeAfter closes the connection after the last answer.
	closeAfter bool
	// unsolicited is sent 30 ms after the last answer.
	unsolicited string
	// ignoreBodies leaves the bodies of requests unread.
	ignoreBodies bool
	accepted     chan net.Conn
}

func (s *scriptedServer) serve() {
	defer close(s.accepted)
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		s.accepted <- c
		go s.serveConn(c)
	}
}

func (s *scriptedServer) serveConn(c net.Conn) {
	r := bufio.NewReader(c)
	for _, answer := range s.answers {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if !s.ignoreBodies {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		_, _ = io.WriteString(c, answer)
	}
	if s.unsolicited != "" {
		time.Sleep(30 * time.Millisecond)
		_, _ = io.WriteString(c, s.unsolicited)
	}
	if s.closeAfter {
		_ = c.Close()
	}
}

func startServer(t *testing.T, s *scriptedServer) (*sender.Sender, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s.t, s.l, s.accepted = t, l, make(chan net.Conn, 16)
	go s.serve()
	t.Cleanup(func() {
		_ = l.Close()
		for c := range s.accepted {
			_ = c.Close()
		}
	})
	return sender.New((&net.Dialer{}).DialContext, time.Now), l.Addr().String()
}

// requests counts the requests that have got an ID.
var requests atomic.Int64

// nextID returns the ID of the next request.
func nextID() string { return strconv.FormatInt(requests.Add(1), 10) }

func get(ctx context.Context, s *sender.Sender, address string) (status int, body string, err error) {
	a, err := s.Send(ctx, address, 0, sender.Request{ID: nextID(), Method: "GET", Target: "/", Host: "h", ConnectTimeout: time.Second})
	if err != nil {
		return 0, "", err
	}
	defer a.Close()
	data, err := io.ReadAll(a)
	return a.Status, string(data), err
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestConnectionReuse(t *testing.T) {
	cases := map[string]struct {
		script scriptedServer
		pause  time.Duration
		// dials is the number of connections dialed for two requests.
		dials int64
	}{
		"complete answers":           {script: scriptedServer{answers: []string{okAnswer, okAnswer}}, dials: 1},
		"chunked":                    {script: scriptedServer{answers: []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", okAnswer}}, dials: 1},
		"the server says close":      {script: scriptedServer{answers: []string{"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", okAnswer}}, dials: 2},
		"more bytes at once":         {script: scriptedServer{answers: []string{okAnswer + okAnswer, okAnswer}}, dials: 2},
		"more bytes later":           {script: scriptedServer{answers: []string{okAnswer}, unsolicited: okAnswer}, pause: 100 * time.Millisecond, dials: 2},
		"closed while idle":          {script: scriptedServer{answers: []string{okAnswer}, closeAfter: true}, pause: 50 * time.Millisecond, dials: 2},
		"no length, ended by server": {script: scriptedServer{answers: []string{"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok"}, closeAfter: true}, dials: 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s, address := startServer(t, &tc.script)
			for range 2 {
				status, body, err := get(t.Context(), s, address)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, status, qt.Equals, 200)
				qt.Assert(t, body, qt.Equals, "ok")
				time.Sleep(tc.pause)
			}
			qt.Assert(t, s.Dials(), qt.Equals, tc.dials)
		})
	}
}

func TestErrorReportsWhetherRequestWasSent(t *testing.T) {
	cases := map[string]struct {
		script scriptedServer
		down   bool
		sent   bool
	}{
		"no listener":         {down: true},
		"closed, no answer":   {script: scriptedServer{answers: []string{""}, closeAfter: true}, sent: true},
		"no answer at all":    {script: scriptedServer{answers: []string{"", ""}}, sent: true},
		"a partial head":      {script: scriptedServer{answers: []string{"HTTP/1.1 20"}, closeAfter: true}, sent: true},
		"not an answer":       {script: scriptedServer{answers: []string{"\x00\x01garbage\r\n\r\n"}, closeAfter: true}, sent: true},
		"only informational":  {script: scriptedServer{answers: []string{"HTTP/1.1 103 Early Hints\r\n\r\n"}, closeAfter: true}, sent: true},
		"an unfinished chunk": {script: scriptedServer{answers: []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"}, closeAfter: true}, sent: true},
		"a truncated body":    {script: scriptedServer{answers: []string{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"}, closeAfter: true}, sent: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s, address := startServer(t, &tc.script)
			if tc.down {
				_ = tc.script.l.Close()
			}
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			_, _, err := get(ctx, s, address)
			qt.Assert(t, err, qt.IsNotNil)
			var failure *sender.Error
			if errors.As(err, &failure) {
				qt.Assert(t, failure.Sent, qt.Equals, tc.sent)
			}
		})
	}
}

func TestNextSkipsAnswerToOtherRequest(t *testing.T) {
	foreign := "HTTP/1.1 200 OK\r\nX-For: other\r\nContent-Length: 5\r\n\r\nother"
	s, address := startServer(t, &scriptedServer{answers: []string{foreign + okAnswer, okAnswer}})
	a, err := s.Send(t.Context(), address, 0, sender.Request{ID: nextID(), Method: "GET", Target: "/", Host: "h", ConnectTimeout: time.Second})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, a.Header.Get("X-For"), qt.Equals, "other")
	a, err = a.Next()
	qt.Assert(t, err, qt.IsNil)
	body, err := io.ReadAll(a)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(body), qt.Equals, "ok")
	a.Close()
	_, _, err = get(t.Context(), s, address)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.Dials(), qt.Equals, int64(2), qt.Commentf("a connection on which an answer was skipped was reused"))
}

func TestEarlyAnswerPreventsReuse(t *testing.T) {
	s, address := startServer(t, &scriptedServer{answers: []string{okAnswer, okAnswer}, ignoreBodies: true})
	for range 2 {
		a, err := s.Send(t.Context(), address, 0, sender.Request{
			ID: nextID(), Method: "POST", Target: "/", Host: "h", ConnectTimeout: time.Second, Body: []byte(strings.Repeat("x", 8<<20)),
		})
		qt.Assert(t, err, qt.IsNil)
		_, err = io.ReadAll(a)
		qt.Assert(t, err, qt.IsNil)
		a.Close()
	}
	qt.Assert(t, s.Dials(), qt.Equals, int64(2))
}

func TestConnectionLimit(t *testing.T) {
	s, address := startServer(t, &scriptedServer{answers: []string{okAnswer, okAnswer}})
	a, err := s.Send(t.Context(), address, 1, sender.Request{ID: nextID(), Method: "GET", Target: "/", Host: "h", ConnectTimeout: time.Second})
	qt.Assert(t, err, qt.IsNil)
	_, err = s.Send(t.Context(), address, 1, sender.Request{ID: nextID(), Method: "GET", Target: "/", Host: "h", ConnectTimeout: time.Second})
	var full *sender.ConnectionLimitError
	qt.Assert(t, err, qt.ErrorAs, &full)
	_, err = io.ReadAll(a)
	qt.Assert(t, err, qt.IsNil)
	a.Close()
	_, _, err = get(t.Context(), s, address)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.Dials(), qt.Equals, int64(1))
}

func TestMaxIdleRejectsOlderConnections(t *testing.T) {
	s, address := startServer(t, &scriptedServer{answers: []string{okAnswer, okAnswer}})
	_, _, err := get(t.Context(), s, address)
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(30 * time.Millisecond)
	a, err := s.Send(t.Context(), address, 0, sender.Request{ID: nextID(), Method: "GET", Target: "/", Host: "h", ConnectTimeout: time.Second, MaxIdle: 5 * time.Millisecond})
	qt.Assert(t, err, qt.IsNil)
	a.Close()
	qt.Assert(t, s.Dials(), qt.Equals, int64(2))
}

// TestAckTimeoutFollowsTheRequest sends two requests with different timeouts on one connection and reads the socket option after
// each. It guards against a request without a timeout, which must not be retried, that inherits the timeout of the previous
// request.
func TestAckTimeoutFollowsTheRequest(t *testing.T) {
	_, address := startServer(t, &scriptedServer{answers: []string{okAnswer, okAnswer}})
	var conn *net.TCPConn
	s := sender.New(func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		conn, _ = c.(*net.TCPConn)
		return c, err
	}, time.Now)
	for _, timeout := range []time.Duration{700 * time.Millisecond, 0} {
		a, err := s.Send(t.Context(), address, 0, sender.Request{
			ID: nextID(), Method: "GET", Target: "/", Host: "h", ConnectTimeout: time.Second, AckTimeout: timeout,
		})
		qt.Assert(t, err, qt.IsNil)
		_, err = io.Copy(io.Discard, a)
		qt.Assert(t, err, qt.IsNil)
		a.Close()
		raw, err := conn.SyscallConn()
		qt.Assert(t, err, qt.IsNil)
		got := 0
		qt.Assert(t, raw.Control(func(fd uintptr) {
			got, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		}), qt.IsNil)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.Equals, int(timeout.Milliseconds()))
	}
}

// hold sends a request and returns its answer, which keeps the connection in use until it is read and closed.
func hold(t *testing.T, s *sender.Sender, address string) *sender.Answer {
	t.Helper()
	a, err := s.Send(t.Context(), address, 0, sender.Request{ID: nextID(), Method: "GET", Target: "/", Host: "h", ConnectTimeout: time.Second})
	qt.Assert(t, err, qt.IsNil)
	return a
}

// TestConnectionsAboveLoweredLimitAreClosed guards against idle connections that stay open after the limit has been lowered, now or
// when their requests end, and against connections in use that are cut off.
func TestConnectionsAboveLoweredLimitAreClosed(t *testing.T) {
	cases := map[string]struct {
		// Of four connections, inUse are in use when the limit is set.
		inUse, limit int
		// open is how many are open afterwards, and then after the ends of the requests.
		open, openAfterwards int
	}{
		"all idle, limit of two":          {limit: 2, open: 2, openAfterwards: 2},
		"all idle, limit of four":         {limit: 4, open: 4, openAfterwards: 4},
		"no limit":                        {open: 4, openAfterwards: 4},
		"three in use, limit of two":      {inUse: 3, limit: 2, open: 3, openAfterwards: 2},
		"one in use, limit of three":      {inUse: 1, limit: 3, open: 3, openAfterwards: 3},
		"all in use, the limit is lifted": {inUse: 4, open: 4, openAfterwards: 4},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s, address := startServer(t, &scriptedServer{answers: []string{okAnswer, okAnswer}})
			var answers []*sender.Answer
			for range 4 {
				answers = append(answers, hold(t, s, address))
			}
			end := func(a *sender.Answer) {
				_, err := io.ReadAll(a)
				qt.Assert(t, err, qt.IsNil)
				a.Close()
			}
			for _, a := range answers[tc.inUse:] {
				end(a)
			}
			s.LimitConnections(map[string]int{address: tc.limit, "127.0.0.1:1": 1})
			// openCount returns the number of open connections, which a request beyond them reports.
			openCount := func() int {
				_, err := s.Send(t.Context(), address, 1, sender.Request{ID: nextID(), Method: "GET", Target: "/", Host: "h", MaxIdle: time.Nanosecond, ConnectTimeout: time.Second})
				var full *sender.ConnectionLimitError
				qt.Assert(t, err, qt.ErrorAs, &full)
				return full.Open
			}
			qt.Assert(t, openCount(), qt.Equals, tc.open)
			for _, a := range answers[:tc.inUse] {
				end(a)
			}
			qt.Assert(t, openCount(), qt.Equals, tc.openAfterwards)
		})
	}
}

// TestLimitOfConnectionsEnds guards against a limit that still closes connections after it has been lifted.
func TestLimitOfConnectionsEnds(t *testing.T) {
	s, address := startServer(t, &scriptedServer{answers: []string{okAnswer, okAnswer}})
	a, b := hold(t, s, address), hold(t, s, address)
	s.LimitConnections(map[string]int{address: 1})
	s.LimitConnections(nil)
	for _, o := range []*sender.Answer{a, b} {
		_, err := io.ReadAll(o)
		qt.Assert(t, err, qt.IsNil)
		o.Close()
	}
	for range 2 {
		hold(t, s, address)
	}
	qt.Assert(t, s.Dials(), qt.Equals, int64(2))
}

func TestUseOfConnections(t *testing.T) {
	s, address := startServer(t, &scriptedServer{answers: []string{okAnswer, okAnswer}})
	a, b := hold(t, s, address), hold(t, s, address)
	_, err := s.Send(t.Context(), address, 2, sender.Request{ID: nextID(), Method: "GET", Target: "/", Host: "h", ConnectTimeout: time.Second})
	qt.Assert(t, err, qt.IsNotNil)
	for _, o := range []*sender.Answer{a, b} {
		_, err := io.ReadAll(o)
		qt.Assert(t, err, qt.IsNil)
		o.Close()
	}
	for _, want := range [][2]int{{2, 1}, {0, 0}} {
		peak, denied := s.TakeUse(address)
		qt.Assert(t, [2]int{peak, denied}, qt.Equals, want)
	}
	defer hold(t, s, address).Close()
	for range 2 {
		peak, _ := s.TakeUse(address)
		qt.Assert(t, peak, qt.Equals, 1, qt.Commentf("one is in use all the time"))
	}
	peak, denied := s.TakeUse("127.0.0.1:1")
	qt.Assert(t, peak+denied, qt.Equals, 0)
}

// errUnwanted is an error of Check.
var errUnwanted = errors.New("nobody waits for the answer")

// TestCheckKeepsRequestFromBeingSent guards against requests that are sent although they were given up while the router connected,
// and against connections that are lost by that.
func TestCheckKeepsRequestFromBeingSent(t *testing.T) {
	server := &scriptedServer{answers: []string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}}
	s, address := startServer(t, server)
	for range 2 {
		_, err := s.Send(t.Context(), address, 0, sender.Request{ID: nextID(), Method: "GET", Target: "/", Host: "h", ConnectTimeout: time.Second, Check: func() error { return errUnwanted }})
		failure, ok := errors.AsType[*sender.Error](err)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, failure.Sent, qt.IsFalse)
		qt.Assert(t, err, qt.ErrorIs, errUnwanted)
		status, _, err := get(t.Context(), s, address)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, status, qt.Equals, 200)
	}
	qt.Assert(t, s.Dials(), qt.Equals, int64(1))
}

// TestCheckEndsLargeBody guards against sending the rest of a large body of a request that was given up meanwhile.
func TestCheckEndsLargeBody(t *testing.T) {
	s, address := startServer(t, &scriptedServer{answers: []string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}})
	checks := 0
	_, err := s.Send(t.Context(), address, 0, sender.Request{
		ID: nextID(), Method: "POST", Target: "/", Host: "h", Body: make([]byte, 256<<10), ConnectTimeout: time.Second,
		Check: func() error {
			if checks++; checks > 2 {
				return errUnwanted
			}
			return nil
		},
	})
	failure, ok := errors.AsType[*sender.Error](err)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, failure.Sent, qt.IsTrue)
	qt.Assert(t, err, qt.ErrorIs, errUnwanted)
}

// TestTimeoutThatIsNoticedLateIsNoFailure guards against taking a server for unreachable because this process was stopped while it
// connected.
func TestTimeoutThatIsNoticedLateIsNoFailure(t *testing.T) {
	for name, tc := range map[string]struct {
		delay time.Duration
		dials int
		fails bool
	}{
		"noticed late":        {delay: 300 * time.Millisecond, dials: 2},
		"noticed at its time": {dials: 1, fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			_, address := startServer(t, &scriptedServer{answers: []string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}})
			dials, began := 0, time.Now()
			var passed atomic.Int64
			s := sender.New(func(ctx context.Context, network, address string) (net.Conn, error) {
				if dials++; dials == 1 {
					<-ctx.Done()
					passed.Store(int64(time.Second + tc.delay))
					return nil, ctx.Err()
				}
				return (&net.Dialer{}).DialContext(ctx, network, address)
			}, func() time.Time { return began.Add(time.Duration(passed.Load())) })
			_, _, err := get(t.Context(), s, address)
			qt.Assert(t, err != nil, qt.Equals, tc.fails)
			qt.Assert(t, dials, qt.Equals, tc.dials)
		})
	}
}

// TestHeaderIsPreparedAgainAfterDelay guards against headers that are out of date, and requests that are not wanted any more, because
// this process was stopped after it had prepared them.
func TestHeaderIsPreparedAgainAfterDelay(t *testing.T) {
	for name, unwanted := range map[string]bool{"still wanted": false, "not wanted any more": true} {
		t.Run(name, func(t *testing.T) {
			s, address := startServer(t, &scriptedServer{answers: []string{okAnswer}})
			checks, prepared := 0, 0
			_, err := s.Send(t.Context(), address, 0, sender.Request{
				ID: nextID(), Method: "GET", Target: "/", Host: "h", ConnectTimeout: time.Second,
				Check: func() error {
					if checks++; checks > 1 && unwanted {
						return errUnwanted
					}
					return nil
				},
				Prepare: func() http.Header {
					if prepared++; prepared == 1 {
						time.Sleep(50 * time.Millisecond)
					}
					return http.Header{}
				},
			})
			qt.Assert(t, checks, qt.Equals, 2)
			qt.Assert(t, errors.Is(err, errUnwanted), qt.Equals, unwanted)
			qt.Assert(t, prepared == 2, qt.Equals, !unwanted)
		})
	}
}
