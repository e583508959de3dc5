package linker_test

import (
	"context"
	"net"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/linker"
	"github.com/masticway/masticway/sealer"
)

const (
	// slowLink is 10 Mbit/s, the slowest link of a router, in bytes a second.
	slowLink = 10_000_000 / 8
	// fastLink is 200 Mbit/s, in bytes a second.
	fastLink = 200_000_000 / 8
	// largeAnswer takes 12.6 s on a slow link, in bytes: more than the buffers of its connections hold and it carries in 5 s,
	// so that writing takes longer too.
	largeAnswer = 15 << 20
	// slowAnswerLimit is over twice what the answers of a test take on a slow link.
	slowAnswerLimit = 40 * time.Second
)

// run opens a link to an address and runs it until stop is called.
func run(t *testing.T, address string) (c *linker.Conn, stop func()) {
	d := dialer("0123456789abcdef")
	ctx, cancel := context.WithCancel(context.Background())
	c, err := d.Connect(ctx, address)
	if err != nil {
		cancel()
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	wg.Go(func() { d.Serve(ctx, c) })
	wg.Go(func() { beat(c) })
	return c, func() {
		cancel()
		wg.Wait()
	}
}

// beat sends heartbeats while a link is up; without them the other end takes it for silent.
func beat(c *linker.Conn) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-c.Done():
			return
		case <-tick.C:
			// It fails once the link is down, which the next turn finds.
			_ = c.Send(linker.Message{Heartbeat: &linker.Heartbeat{}})
		}
	}
}

// behindLink dials a listener that answers every question with so many bytes, and runs the link.
func behindLink(t *testing.T, rate int64, bytes int) *linker.Conn {
	trace := make([]byte, bytes)
	answer := func(c *linker.Conn, m linker.Message) {
		if m.Explain == nil {
			return
		}
		_ = c.Reply(m, linker.Message{Explained: &linker.Explained{Trace: trace}})
	}
	l := linker.NewListener(identity("server", "0123456789abcdef"), answer, func(*linker.Conn) {}, func(*linker.Conn) {})
	server := httptest.NewServer(l)
	link := emulator.NewBandwidthProxy(rate)
	address, err := link.AddTarget(server.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	c, stop := run(t, address)
	t.Cleanup(func() {
		stop()
		l.Close()
		link.Close()
		server.Close()
	})
	return c
}

func TestLargeAnswersCome(t *testing.T) {
	cases := map[string]struct {
		rate             int64
		questions, bytes int
	}{
		"one that takes longer than a link may be silent": {rate: slowLink, questions: 1, bytes: largeAnswer},
		"many that wait together":                         {rate: fastLink, questions: 20, bytes: 1 << 20},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := behindLink(t, tc.rate, tc.bytes)
			ctx, cancel := context.WithTimeout(t.Context(), slowAnswerLimit)
			defer cancel()
			var wg sync.WaitGroup
			for range tc.questions {
				wg.Go(func() {
					a, err := c.Call(ctx, linker.Message{Explain: &linker.Explain{}})
					if qt.Check(t, err, qt.IsNil) {
						qt.Check(t, a.Explained.Trace, qt.HasLen, tc.bytes)
					}
				})
			}
			wg.Wait()
		})
	}
}

// faulty is a connection whose writes no longer go out as they are after a number of bytes, and never fail.
type faulty struct {
	net.Conn
	left int
	// trickles sends on a byte now and then; otherwise nothing goes out any more.
	trickles bool
}

func (f *faulty) SetWriteDeadline(time.Time) error { return nil }

func (f *faulty) Write(data []byte) (int, error) {
	whole := min(f.left, len(data))
	f.left -= whole
	if _, err := f.Conn.Write(data[:whole]); err != nil {
		return 0, err
	}
	for _, b := range data[whole:] {
		if !f.trickles {
			break
		}
		time.Sleep(100 * time.Millisecond)
		if _, err := f.Conn.Write([]byte{b}); err != nil {
			return 0, err
		}
	}
	return len(data), nil
}

// faultyListener makes its connections faulty.
type faultyListener struct {
	net.Listener
	after    int
	trickles bool
}

func (l faultyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &faulty{Conn: c, left: l.after, trickles: l.trickles}, nil
}

func TestPeerThatStopsInAMessageLosesItsLink(t *testing.T) {
	cases := map[string]struct{ trickles bool }{
		"stops":    {},
		"trickles": {trickles: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := behindFaultyConn(t, 100_000, tc.trickles)
			asking, cancel := context.WithTimeout(t.Context(), slowAnswerLimit)
			defer cancel()
			select {
			case <-c.Done():
			case <-asking.Done():
				t.Fatal("the link is still up")
			}
		})
	}
}

// behindFaultyConn is behindLink with a connection that is faulty after so many bytes, and a question sent.
func behindFaultyConn(t *testing.T, after int, trickles bool) *linker.Conn {
	answer := func(c *linker.Conn, m linker.Message) {
		if m.Explain == nil {
			return
		}
		_ = c.Reply(m, linker.Message{Explained: &linker.Explained{Trace: make([]byte, 10*after)}})
	}
	l := linker.NewListener(identity("server", "0123456789abcdef"), answer, func(*linker.Conn) {}, func(*linker.Conn) {})
	server := httptest.NewUnstartedServer(l)
	server.Listener = faultyListener{Listener: server.Listener, after: after, trickles: trickles}
	server.Start()
	c, stop := run(t, server.Listener.Addr().String())
	t.Cleanup(func() {
		stop()
		l.Close()
		server.Close()
	})
	qt.Assert(t, c.Send(linker.Message{Explain: &linker.Explain{}}), qt.IsNil)
	return c
}

func TestLargeQuestionsLastWhileSomethingComes(t *testing.T) {
	const pause = 500 * time.Millisecond
	cases := map[string]struct {
		question linker.Message
		late     bool
	}{
		"an answer that takes longer than the pause": {question: linker.Message{Explain: &linker.Explain{}}},
		"no answer": {question: linker.Message{Find: &sealer.Find{}}, late: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := behindLink(t, slowLink, 2<<20)
			ctx, cancel := context.WithTimeout(t.Context(), slowAnswerLimit)
			defer cancel()
			a, err := c.CallLarge(ctx, tc.question, pause)
			if tc.late {
				var late *linker.LateError
				qt.Assert(t, err, qt.ErrorAs, &late)
				qt.Assert(t, late.Pause, qt.Equals, pause)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, a.Explained.Trace, qt.HasLen, 2<<20)
		})
	}
}
