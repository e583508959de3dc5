package linker_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/linker"
	"github.com/masticway/masticway/sealer"
)

// TestMain checks that no link leaves a goroutine behind.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func identity(instance, key string) linker.Identity {
	return linker.Identity{Self: masticway.Peer{Instance: instance, Incarnation: masticway.Incarnation(instance + "~1")}, Key: []byte(key)}
}

// serve starts a listener that answers Find, and keeps the order of what it hears.
func serve(t *testing.T, key string) (address string, heard func() []string, l *linker.Listener) {
	var mu sync.Mutex
	var list []string
	handle := func(c *linker.Conn, m linker.Message) {
		mu.Lock()
		defer mu.Unlock()
		if m.Find != nil {
			list = append(list, string(m.Find.Identity))
			_ = c.Reply(m, linker.Message{Status: &sealer.RunStatus{Found: true}})
		}
	}
	l = linker.NewListener(identity("server", key), handle, func(*linker.Conn) {}, func(*linker.Conn) {})
	server := httptest.NewServer(l)
	t.Cleanup(func() {
		l.Close()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://"), func() []string {
		mu.Lock()
		defer mu.Unlock()
		return append([]string(nil), list...)
	}, l
}

func dialer(key string) linker.Dialer {
	return linker.Dialer{
		Identity: identity("client", key), Dial: (&net.Dialer{}).DialContext,
		Handler: func(*linker.Conn, linker.Message) {}, OnUp: func(*linker.Conn) {}, OnDown: func(*linker.Conn) {},
	}
}

func TestQuestionsAreAnsweredInOrder(t *testing.T) {
	address, heard, l := serve(t, "0123456789abcdef")
	d := dialer("0123456789abcdef")
	ctx, cancel := context.WithCancel(context.Background())
	c, err := d.Connect(ctx, address)
	qt.Assert(t, err, qt.IsNil)
	var wg sync.WaitGroup
	wg.Go(func() { d.Serve(ctx, c) })
	for _, id := range []string{"a", "b", "c"} {
		a, err := c.Call(ctx, linker.Message{Find: &sealer.Find{Identity: masticway.Identity(id)}})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, a.Status.Found, qt.IsTrue)
	}
	qt.Assert(t, heard(), qt.DeepEquals, []string{"a", "b", "c"})
	qt.Assert(t, c.Peer().Incarnation, qt.Equals, masticway.Incarnation("server~1"))
	cancel()
	wg.Wait()
	var down *linker.DownError
	_, err = c.Call(context.Background(), linker.Message{Find: &sealer.Find{}})
	qt.Assert(t, err, qt.ErrorAs, &down)
	l.Close()
}

func TestWrongKeyGetsNoLink(t *testing.T) {
	cases := map[string]struct{ server, client string }{
		"other key": {"0123456789abcdef", "fedcba9876543210"},
		"no key":    {"0123456789abcdef", ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			address, _, l := serve(t, tc.server)
			_, err := dialer(tc.client).Connect(context.Background(), address)
			var refused *linker.HandshakeError
			qt.Assert(t, err, qt.ErrorAs, &refused)
			qt.Assert(t, l.All(), qt.HasLen, 0)
		})
	}
}

func TestNewerLinkReplacesTheOlder(t *testing.T) {
	address, _, l := serve(t, "0123456789abcdef")
	d := dialer("0123456789abcdef")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	first, err := d.Connect(ctx, address)
	qt.Assert(t, err, qt.IsNil)
	go d.Serve(ctx, first)
	_, err = first.Call(ctx, linker.Message{Find: &sealer.Find{}})
	qt.Assert(t, err, qt.IsNil)
	second, err := d.Connect(ctx, address)
	qt.Assert(t, err, qt.IsNil)
	go d.Serve(ctx, second)
	_, err = second.Call(ctx, linker.Message{Find: &sealer.Find{}})
	qt.Assert(t, err, qt.IsNil)
	<-first.Done()
	qt.Assert(t, l.All(), qt.HasLen, 1)
}

func TestKeepDialsAgain(t *testing.T) {
	address, _, l := serve(t, "0123456789abcdef")
	d := dialer("0123456789abcdef")
	ups := make(chan *linker.Conn, 4)
	d.OnUp = func(c *linker.Conn) { ups <- c }
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { d.KeepConnected(ctx, address) })
	(<-ups).Close()
	(<-ups).Close()
	<-ups
	cancel()
	wg.Wait()
	l.Close()
}

func TestPeerThatDoesNotReadLosesItsLink(t *testing.T) {
	address, _, _ := serve(t, "0123456789abcdef")
	d := dialer("0123456789abcdef")
	c, err := d.Connect(context.Background(), address)
	qt.Assert(t, err, qt.IsNil)
	// Nothing runs the link, so its queue fills: memory stays bounded and the link ends.
	var down *linker.DownError
	for {
		if err = c.Send(linker.Message{Find: &sealer.Find{}}); err != nil {
			break
		}
	}
	qt.Assert(t, err, qt.ErrorAs, &down)
	<-c.Done()
}

func FuzzDecode(f *testing.F) {
	seeds := []linker.Message{
		{Frame: &sealer.Frame{Run: masticway.RunKey{Identity: "w/k", Attempt: 1}, Chunk: masticway.Chunk{Text: "x", Tokens: 1}}},
		{CallID: 7, Hold: nil, Heartbeat: &linker.Heartbeat{Revision: 3, Load: &masticway.LoadReport{ReportedAt: time.Unix(1, 0)}}},
		{Dispatch: &sealer.Dispatch{Bound: 5, Call: masticway.Call{Model: "m"}}},
	}
	for _, m := range seeds {
		data, err := linker.Encode([]linker.Message{m})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		batch, err := linker.Decode(data)
		if err != nil {
			return
		}
		again, err := linker.Encode(batch)
		if err != nil {
			t.Fatalf("decoded but not encoded: %v", err)
		}
		if _, err := linker.Decode(again); err != nil {
			t.Fatalf("encoded but not decoded: %v", err)
		}
	})
}

func BenchmarkFrame(b *testing.B) {
	batch := []linker.Message{{Frame: &sealer.Frame{Run: masticway.RunKey{Identity: "workspace/8f14e45f", Attempt: 1}, Chunk: masticway.Chunk{Index: 41, Text: "lapel ", Tokens: 1}}}}
	for b.Loop() {
		data, err := linker.Encode(batch)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := linker.Decode(data); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkChangeBytes reports the bytes of one changed contract on a link.
func BenchmarkChangeBytes(b *testing.B) {
	for _, n := range []int{1, 4, 11} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := masticway.Contract{Workspace: "workspace-17", Budget: "workspace-17", Class: masticway.ClassInteractive, KeyHashes: []string{strings.Repeat("f", 64), strings.Repeat("e", 64)}}
			for i := range n {
				c.Models = append(c.Models, masticway.ModelTerms{Name: fmt.Sprint("model-", i), MaxOutput: 512})
			}
			batch := []linker.Message{{Changes: &linker.Changes{List: []masticway.Change{{Revision: 7200, ID: "1b4e28ba-2fa1-11d2-883f-0016d3cca427", Contract: &c}}, Revision: 7200}}}
			size := 0
			for b.Loop() {
				data, err := linker.Encode(batch)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes/change")
		})
	}
}
