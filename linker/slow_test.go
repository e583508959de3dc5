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
	// slowLinkRate is the rate of a router's slowest link in bytes per second: 10 Mbit/s.
	slowLinkRate = 10_000_000 / 8
	// fastLinkRate is 200 Mbit/s in bytes per second.
	fastLinkRate = 200_000_000 / 8
	// largeReplyBytes is the size of a reply that takes 12.6 s on a slow link. It exceeds what the buffers of the link's
	// connections hold plus what the link carries in 5 s, so that writing the reply takes longer than writeTimeout too.
	largeReplyBytes = 15 << 20
	// slowReplyTimeout is how long a test waits for its replies. It is over twice the time that they take on a slow link.
	slowReplyTimeout = 40 * time.Second
)

// connect opens a link to an address and runs it until stop is called.
func connect(t *testing.T, address string) (c *linker.Conn, stop func()) {
	d := dialer("0123456789abcdef")
	ctx, cancel := context.WithCancel(context.Background())
	c, err := d.Connect(ctx, address)
	if err != nil {
		cancel()
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	wg.Go(func() { d.Serve(ctx, c) })
	wg.Go(func() { sendHeartbeats(c) })
	return c, func() {
		cancel()
		wg.Wait()
	}
}

// sendHeartbeats sends heartbeats while a link is up. Without them the other end would time out.
func sendHeartbeats(c *linker.Conn) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-c.Done():
			return
		case <-tick.C:
			// Sending fails once the link is down, which the next iteration detects.
			_ = c.Send(linker.Message{Heartbeat: &linker.Heartbeat{}})
		}
	}
}

// connectOverLink connects over an emulated link to a listener that answers every Explain request with the given number of
// bytes.
func connectOverLink(t *testing.T, rate int64, bytes int) *linker.Conn {
	trace := make([]byte, bytes)
	handle := func(c *linker.Conn, m linker.Message) {
		if m.Explain == nil {
			return
		}
		_ = c.Reply(m, linker.Message{Explained: &linker.Explained{Trace: trace}})
	}
	l := linker.NewListener(identity("server", "0123456789abcdef"), handle, func(*linker.Conn) {}, func(*linker.Conn) {})
	server := httptest.NewServer(l)
	link := emulator.NewBandwidthProxy(rate)
	address, err := link.AddTarget(server.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	c, stop := connect(t, address)
	t.Cleanup(func() {
		stop()
		l.Close()
		link.Close()
		server.Close()
	})
	return c
}

// TestLargeRepliesArrive guards against timeouts that bound a whole message: they would close the link before a large reply has
// arrived over a slow connection.
func TestLargeRepliesArrive(t *testing.T) {
	cases := map[string]struct {
		rate         int64
		calls, bytes int
	}{
		"one that takes longer than the read timeout": {rate: slowLinkRate, calls: 1, bytes: largeReplyBytes},
		"many at the same time":                       {rate: fastLinkRate, calls: 20, bytes: 1 << 20},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := connectOverLink(t, tc.rate, tc.bytes)
			ctx, cancel := context.WithTimeout(t.Context(), slowReplyTimeout)
			defer cancel()
			var wg sync.WaitGroup
			for range tc.calls {
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

// faultyConn is a connection that silently drops or delays what is written after a number of bytes. Its writes report no error.
type faultyConn struct {
	net.Conn
	remaining int
	// trickle sends the rest one byte at a time, every 100 ms. Otherwise the rest is dropped.
	trickle bool
}

func (f *faultyConn) SetWriteDeadline(time.Time) error { return nil }

func (f *faultyConn) Write(data []byte) (int, error) {
	whole := min(f.remaining, len(data))
	f.remaining -= whole
	if _, err := f.Conn.Write(data[:whole]); err != nil {
		return 0, err
	}
	for _, b := range data[whole:] {
		if !f.trickle {
			break
		}
		time.Sleep(100 * time.Millisecond)
		if _, err := f.Conn.Write([]byte{b}); err != nil {
			return 0, err
		}
	}
	return len(data), nil
}

// faultyListener accepts connections that are wrapped in a faultyConn.
type faultyListener struct {
	net.Listener
	faultAfter int
	trickle    bool
}

func (l faultyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &faultyConn{Conn: c, remaining: l.faultAfter, trickle: l.trickle}, nil
}

// TestStalledMessageClosesLink guards against a link that stays up although its peer stops, or nearly stops, within a message.
func TestStalledMessageClosesLink(t *testing.T) {
	cases := map[string]struct{ trickle bool }{
		"stalls":   {},
		"trickles": {trickle: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := connectOverFaultyConn(t, 100_000, tc.trickle)
			ctx, cancel := context.WithTimeout(t.Context(), slowReplyTimeout)
			defer cancel()
			select {
			case <-c.Done():
			case <-ctx.Done():
				t.Fatal("the link is still up")
			}
		})
	}
}

// connectOverFaultyConn connects to a listener whose connections are faulty, and sends a request for a large reply.
func connectOverFaultyConn(t *testing.T, faultAfter int, trickle bool) *linker.Conn {
	handle := func(c *linker.Conn, m linker.Message) {
		if m.Explain == nil {
			return
		}
		_ = c.Reply(m, linker.Message{Explained: &linker.Explained{Trace: make([]byte, 10*faultAfter)}})
	}
	l := linker.NewListener(identity("server", "0123456789abcdef"), handle, func(*linker.Conn) {}, func(*linker.Conn) {})
	server := httptest.NewUnstartedServer(l)
	server.Listener = faultyListener{Listener: server.Listener, faultAfter: faultAfter, trickle: trickle}
	server.Start()
	c, stop := connect(t, server.Listener.Addr().String())
	t.Cleanup(func() {
		stop()
		l.Close()
		server.Close()
	})
	qt.Assert(t, c.Send(linker.Message{Explain: &linker.Explain{}}), qt.IsNil)
	return c
}

func TestLargeCallsTimeOutOnlyWhenIdle(t *testing.T) {
	const idleTimeout = 500 * time.Millisecond
	cases := map[string]struct {
		request  linker.Message
		timesOut bool
	}{
		"a reply that takes longer than the idle timeout": {request: linker.Message{Explain: &linker.Explain{}}},
		"no reply": {request: linker.Message{Find: &sealer.Find{}}, timesOut: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := connectOverLink(t, slowLinkRate, 2<<20)
			ctx, cancel := context.WithTimeout(t.Context(), slowReplyTimeout)
			defer cancel()
			a, err := c.CallLarge(ctx, tc.request, idleTimeout)
			if tc.timesOut {
				var timeoutErr *linker.IdleTimeoutError
				qt.Assert(t, err, qt.ErrorAs, &timeoutErr)
				qt.Assert(t, timeoutErr.Timeout, qt.Equals, idleTimeout)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, a.Explained.Trace, qt.HasLen, 2<<20)
		})
	}
}
