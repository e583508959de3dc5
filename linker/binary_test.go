package linker_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/linker"
	"github.com/masticway/masticway/sealer"
)

// TestBytesThatAreNoTextKeepLinkUp guards against links, with all streams on them, that break because a caller or an upstream sent
// bytes that are no UTF-8: in an answer, a path, a content type or an idempotency key.
func TestBytesThatAreNoTextKeepLinkUp(t *testing.T) {
	const bytes = "\x89PNG\xff\x00\xc3"
	run := masticway.RunKey{Identity: "w/" + bytes, Attempt: 1}
	for name, m := range map[string]linker.Message{
		"answer":       {Frame: &sealer.Frame{Run: masticway.RunKey{Identity: "w/k", Attempt: 1}, Chunk: masticway.Chunk{Text: bytes}}},
		"path":         {Dispatch: &sealer.Dispatch{Call: masticway.Call{Service: "s", Path: "/" + bytes}}},
		"content type": {Dispatch: &sealer.Dispatch{Call: masticway.Call{Service: "s", ContentType: bytes}}},
		"key":          {Cancel: &sealer.Cancel{Run: run}},
		"outcome":      {Final: &sealer.RunResult{Run: run, Outcome: masticway.Outcome{ContentType: bytes, Reason: bytes}}},
	} {
		t.Run(name, func(t *testing.T) {
			address, _, l := serve(t, "0123456789abcdef")
			received := make(chan linker.Message, 2)
			down := make(chan struct{})
			d := dialer("0123456789abcdef")
			d.Handler = func(_ *linker.Conn, m linker.Message) { received <- m }
			d.OnDown = func(*linker.Conn) { close(down) }
			c, err := d.Connect(t.Context(), address)
			qt.Assert(t, err, qt.IsNil)
			go d.Serve(t.Context(), c)
			// The listener has the link once it has answered.
			_, err = c.Call(t.Context(), linker.Message{Find: &sealer.Find{}})
			qt.Assert(t, err, qt.IsNil)
			peer := l.Get("client~1")
			qt.Assert(t, peer, qt.IsNotNil)
			qt.Assert(t, peer.Send(m), qt.IsNil)
			select {
			case got := <-received:
				qt.Check(t, got, qt.DeepEquals, m)
			case <-down:
				t.Fatal("the link broke")
			case <-time.After(10 * time.Second):
				t.Fatal("nothing came")
			}
			batch, err := linker.Encode([]linker.Message{m})
			qt.Assert(t, err, qt.IsNil)
			decoded, err := linker.Decode(batch)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, decoded, qt.DeepEquals, []linker.Message{m})
		})
	}
}
